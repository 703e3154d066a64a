/* spread: what the modules of membership and configuration share: heartbeats
 * and subscriptions (spread.c), what the platform tells (feeds.c), and what
 * vms tell each other of it (adopt.c).
 */
#ifndef SS_SPREAD_H
#define SS_SPREAD_H

#include "core/internal.h"

/* --- spread.c --- */

typedef void (*SsPeerVisitor) (SsNode *node, SsMember *member, void *data);

bool ss_peers_is_self (const SsNode *node, const char *vm);
/* ss_peers_visit: calls VISIT for every other vm that is known. */
void ss_peers_visit (SsNode *node, SsPeerVisitor visit, void *data);

/* --- feeds.c --- */

/* ss_feeds_are_one: whether one watch tells of all objects; else each kind
 * has its own.
 */
bool ss_feeds_are_one (const SsNode *node);
/* ss_feeds_are_complete: whether all objects of every feed were seen once. */
bool ss_feeds_are_complete (const SsNode *node);
/* ss_feeds_tick: asks the platform for what is due. */
void ss_feeds_tick (SsNode *node);

/* --- adopt.c --- */

/* ss_adopt_object: takes OBJECT where it is later than what is held; returns
 * whether it did.
 */
bool ss_adopt_object (SsNode *node, const SsObject *object);
/* ss_adopt_forward: passes OBJECTS on, as a relay. */
void ss_adopt_forward (SsNode *node, const SsObject *objects, uint32_t count);
/* ss_adopt_drop_missing: what is held of PREFIX up to REVISION, and is not
 * PRESENT, is gone; returns whether there was any.
 */
bool ss_adopt_drop_missing (SsNode *node, const char *prefix, int64_t revision,
                            GHashTable *present);
/* ss_adopt_remove_gone: takes the targets away whose entries did not come
 * back.
 */
void ss_adopt_remove_gone (SsNode *node);
/* ss_adopt_pull_since: asks VM for what is later than is held here. */
void ss_adopt_pull_since (SsNode *node, const char *vm);
/* ss_adopt_push_domain: sends what is later than SINCE to the failure domain.
 */
void ss_adopt_push_domain (SsNode *node, int64_t since);

#endif
