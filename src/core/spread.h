/* spread: declarations shared by the modules that maintain membership and
 * configuration: heartbeats and subscriptions (spread.c), watches on the
 * platform (feeds.c), and configuration exchange between VMs (adopt.c).
 */
#ifndef SS_SPREAD_H
#define SS_SPREAD_H

#include "core/internal.h"

/* --- spread.c --- */

typedef void (*SsPeerVisitor) (SsNode *node, SsMember *member, void *data);

bool ss_peers_is_self (const SsNode *node, const char *vm);
/* ss_peers_visit: calls VISIT for every other known VM. */
void ss_peers_visit (SsNode *node, SsPeerVisitor visit, void *data);

/* --- feeds.c --- */

/* ss_feeds_are_one: whether a single watch covers all objects.  Otherwise each
 * kind of object has its own watch.
 */
bool ss_feeds_are_one (const SsNode *node);
/* ss_feeds_are_complete: whether every watch has listed all of its objects at
 * least once.
 */
bool ss_feeds_are_complete (const SsNode *node);
/* ss_feeds_tick: starts the platform watches and lists that are due. */
void ss_feeds_tick (SsNode *node);

/* --- adopt.c --- */

/* ss_adopt_object: adopts OBJECT if it is newer than the stored one; returns
 * whether it did.  The deletion of a target is deferred.
 */
bool ss_adopt_object (SsNode *node, const SsObject *object);
/* ss_adopt_forward: as a relay, forwards OBJECTS to the failure domain, whose
 * other VMs do not watch the platform.
 */
void ss_adopt_forward (SsNode *node, const SsObject *objects, uint32_t count);
/* ss_adopt_drop_missing: deletes the stored objects under PREFIX with versions
 * up to REVISION that are not in PRESENT.  Returns whether any was deleted.
 */
bool ss_adopt_drop_missing (SsNode *node, const char *prefix, int64_t revision,
                            GHashTable *present);
/* ss_adopt_remove_gone: deletes targets whose objects did not reappear within
 * the grace period.
 */
void ss_adopt_remove_gone (SsNode *node);
/* ss_adopt_pull_since: requests from VM the objects newer than this VM's
 * revision; at most one request every 300 ms.
 */
void ss_adopt_pull_since (SsNode *node, const char *vm);
/* ss_adopt_push_domain: sends the objects newer than SINCE to the other VMs of
 * the failure domain.
 */
void ss_adopt_push_domain (SsNode *node, int64_t since);

#endif
