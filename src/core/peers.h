/* peers: declarations shared by the modules that maintain membership and
 * configuration: heartbeats and subscriptions (peers.c), watches on the
 * platform (watch.c), and configuration exchange between VMs (config_sync.c).
 */
#ifndef SS_PEERS_H
#define SS_PEERS_H

#include "core/membership.h"

/* --- peers.c --- */

typedef void (*SsPeerVisitor) (SsNode *node, SsMember *member, void *data);

bool ss_peers_is_self (const SsNode *node, const char *vm);
/* ss_peers_visit: calls VISIT for every other known VM. */
void ss_peers_visit (SsNode *node, SsPeerVisitor visit, void *data);
/* ss_peers_ask: sends ENVELOPE to every other known VM that is not in ANSWERED.
 */
void ss_peers_ask (SsNode *node, SsEnvelope *envelope, GHashTable *answered);

/* --- watch.c --- */

/* ss_watch_is_single: whether a single watch covers all objects.  Otherwise
 * each kind of object has its own watch.
 */
bool ss_watch_is_single (const SsNode *node);
/* ss_watch_is_complete: whether every watch has listed all of its objects at
 * least once.
 */
bool ss_watch_is_complete (const SsNode *node);
/* ss_watch_tick: starts the platform watches and lists that are due. */
void ss_watch_tick (SsNode *node);

/* --- config_sync.c --- */

/* ss_config_sync_adopt: adopts OBJECT if it is newer than the stored one;
 * returns whether it did.  The deletion of a target is deferred.
 */
bool ss_config_sync_adopt (SsNode *node, const SsObject *object);
/* ss_config_sync_push_late: as a watcher, sends the operator's configuration to
 * MEMBER, which has the one with number SEQUENCE, if this VM adopted a later
 * one a while ago.
 */
void ss_config_sync_push_late (SsNode *node, SsMember *member,
                               int64_t sequence);
/* ss_config_sync_forward: as a relay, forwards OBJECTS to the failure domain,
 * whose other VMs do not watch the platform.
 */
void ss_config_sync_forward (SsNode *node, const SsObject *objects,
                             uint32_t count);
/* ss_config_sync_delete_missing: deletes the stored objects under PREFIX with
 * versions up to REVISION that are not in PRESENT.  Returns whether any was
 * deleted.
 */
bool ss_config_sync_delete_missing (SsNode *node, const char *prefix,
                                    int64_t revision, GHashTable *present);
/* ss_config_sync_delete_expired: deletes targets whose objects did not reappear
 * within the grace period.
 */
void ss_config_sync_delete_expired (SsNode *node);
/* ss_config_sync_pull_operator: requests from VM the objects that the operator
 * numbers, whatever their versions are.
 */
void ss_config_sync_pull_operator (SsNode *node, const char *vm);
/* ss_config_sync_pull_newer: requests from VM the objects newer than this VM's
 * revision; at most one request every 300 ms.
 */
void ss_config_sync_pull_newer (SsNode *node, const char *vm);
/* ss_config_sync_push_domain: sends the objects newer than SINCE to the other
 * VMs of the failure domain.
 */
void ss_config_sync_push_domain (SsNode *node, int64_t since);

#endif
