/* roles: which of the live VMs holds a role, by rendezvous hashing.
 *
 * Every VM computes the ranks for itself from its view of the members.  Roles
 * are asked for far more often than members change, so ranks are kept until
 * they do.
 */
#ifndef SS_ROLES_H
#define SS_ROLES_H

#include "core/members.h"

typedef struct SsRoles SsRoles;

SsRoles *ss_roles_new (void);
void ss_roles_free (SsRoles *roles);

/* ss_roles_owner: returns the live VM of FAILURE_DOMAIN (NULL: any) that ranks
 * first for SUBJECT by rendezvous hashing weighted by capacity, or NULL.  A VM
 * in its graceful shutdown takes no role and counts in no rank.
 */
const char *ss_roles_owner (const SsMembers *members,
                            const char *failure_domain, const char *subject);
/* ss_roles_rank: returns this VM's rank for SUBJECT among the live VMs of
 * FAILURE_DOMAIN (NULL: any), from 0.
 */
uint32_t ss_roles_rank (const SsMembers *members, const char *failure_domain,
                        const char *subject);
/* ss_roles_coordinator: returns the VM that ranks first for SUBJECT among the
 * live VMs that the platform answers, or NULL.  SUBJECT is kept: there may be
 * only a few.
 */
const char *ss_roles_coordinator (const SsMembers *members,
                                  const char *subject);
/* ss_roles_coordinator_rank: returns how many live VMs that the platform
 * answers rank before this VM for SUBJECT, as in ss_roles_coordinator.
 */
uint32_t ss_roles_coordinator_rank (const SsMembers *members,
                                    const char *subject);
/* ss_roles_relays_before: whether A ranks before B as a relay. */
bool ss_roles_relays_before (const SsMember *a, const SsMember *b);
/* ss_roles_is_watcher: whether this VM watches the platform for its failure
 * domain: the platform answers fewer than SS_MEMBERS_RELAYS live VMs there that
 * rank before it.
 */
bool ss_roles_is_watcher (const SsMembers *members);
/* ss_roles_watcher_rank: returns how many live VMs of this failure domain that
 * the platform answers rank before this VM as watchers.
 */
uint32_t ss_roles_watcher_rank (const SsMembers *members);

#endif
