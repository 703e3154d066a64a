/* membership: the layer of membership and configuration: which VMs live, what
 * they tell each other, and what the platform stores.
 */
#ifndef SS_MEMBERSHIP_H
#define SS_MEMBERSHIP_H

#include "core/message.h"

/* --- relay.c: failure detection through relays, for many VMs --- */

void ss_relay_init (SsNode *node);
void ss_relay_finish (SsNode *node);
/* ss_relay_send_heartbeat: sends HEARTBEAT to this VM's relays, each with the
 * hash of the last full list from that relay.  If this VM is a relay, also
 * sends reports to the relays of other failure domains.
 */
void ss_relay_send_heartbeat (SsNode *node, SsEnvelope *heartbeat);
/* ss_relay_send_digest: answers a heartbeat of VM with a digest, which is full
 * unless VM has the one with KNOWN_HASH.
 */
void ss_relay_send_digest (SsNode *node, const char *vm, uint64_t known_hash);
void ss_relay_handle_digest (SsNode *node, const char *from,
                             const Ss__Peer__Digest *digest);
void ss_relay_handle_report (SsNode *node, const char *from,
                             const Ss__Peer__DomainReport *report);

/* --- relay_views.c: which VMs the relays report as live --- */

void ss_relay_views_init (SsNode *node);
void ss_relay_views_finish (SsNode *node);
/* ss_relay_views_hash: returns the hash of the last full list from VM, or 0. */
uint64_t ss_relay_views_hash (const SsNode *node, const char *vm);
/* ss_relay_views_store: stores a full list from FROM, a relay of
 * FAILURE_DOMAIN.  A VM that was in its previous list, and that no relay there
 * lists now, is dead.
 */
void ss_relay_views_store (SsNode *node, const char *from,
                           const char *failure_domain, uint64_t hash,
                           Ss__Peer__VmState **vms, size_t count);
/* ss_relay_views_refresh: records that FROM's last list is still valid. REMOTE:
 * FROM is a relay of another failure domain.
 */
void ss_relay_views_refresh (SsNode *node, const char *from, bool remote);

/* --- isolation.c: detection of an isolated VM --- */

/* ss_isolation_lost_majority: whether less than half of the other VMs that the
 * platform lists are live.
 */
bool ss_isolation_lost_majority (const SsNode *node);
/* ss_isolation_tick: updates whether this VM is isolated, and ends idle
 * sessions while it is.
 */
void ss_isolation_tick (SsNode *node);

/* --- peers.c: heartbeats --- */

/* ss_peers_update_members: re-evaluates which VMs are live; adds those that are
 * found dead to node->lost_vms.
 */
void ss_peers_update_members (SsNode *node);
void ss_peers_tick (SsNode *node);
void ss_peers_handle_heartbeat (SsNode *node,
                                const Ss__Peer__Heartbeat *heartbeat);
/* ss_peers_check_behind: asks VM for its configuration if that of the operator
 * has SEQUENCE there and peers have been ahead of this VM for some time.
 */
void ss_peers_check_behind (SsNode *node, const char *vm, int64_t sequence);
/* ss_peers_send_heartbeat: sends a heartbeat at once. */
void ss_peers_send_heartbeat (SsNode *node);
/* ss_peers_add_member: adds VM or updates its address. */
SsMember *ss_peers_add_member (SsNode *node, const char *vm,
                               const char *failure_domain, const char *ip,
                               uint16_t port);

/* --- contact.c: contact with the platform --- */

/* How long after its last contact with the platform a VM relies on a majority
 * of the voters that it knows.
 */
#define SS_RELIANCE_MS (10 * 60 * 1000)

/* ss_contact_tick: records whether the platform answers this VM or one that
 * hears it.
 */
void ss_contact_tick (SsNode *node);
/* ss_contact_learn: records that MEMBER had contact AGE_MS milliseconds ago, if
 * it hears this VM.  A VM that starts knows of no contact of its own.
 */
void ss_contact_learn (SsNode *node, const SsMember *member, uint32_t age_ms);
/* ss_contact_is_recent: whether the last contact was within SS_RELIANCE_MS. */
bool ss_contact_is_recent (const SsNode *node);

/* --- watch.c: watches on the platform --- */

/* ss_watch_handle_objects: handles the response to a watch or list request. */
void ss_watch_handle_objects (SsNode *node, const SsEvent *event);
/* ss_watch_handle_vms: handles the platform's list of VMs, a JSON array. */
void ss_watch_handle_vms (SsNode *node, const char *json, uint32_t json_bytes);
/* ss_watch_is_active: whether this VM watches the platform itself. */
bool ss_watch_is_active (SsNode *node);

/* ss_watch_knows_voters: whether the platform lists this VM, and this VM knows
 * all changes of voters that began before.  Later ones wait for it.
 */
bool ss_watch_knows_voters (const SsNode *node);

/* --- era.c: returns of the platform's store from a copy --- */

/* ss_era_observe: records that the store is in ERA, as SOURCE shows: the
 * platform or a VM.  If the store has come back from a copy, the watches list
 * all objects again.
 */
void ss_era_observe (SsNode *node, int64_t era, const char *source);
/* ss_era_confirm: records that the store has responded: later eras are returns
 * from a copy.
 */
void ss_era_confirm (SsNode *node);
/* ss_era_is_current: whether VERSION is of the present era. */
bool ss_era_is_current (const SsNode *node, int64_t version);

/* ss_platform_get: reads the object KEY; the response has the id CALL. */
void ss_platform_get (SsNode *node, uint64_t call, const char *key);
/* ss_platform_put: writes VALUE to the object KEY if its version is VERSION; 0:
 * if there is no such object.  If VERSION is of an earlier era, reads the
 * object instead: the response then shows another writer's object, or none.
 */
void ss_platform_put (SsNode *node, uint64_t call, const char *key,
                      const char *value, int64_t version);
/* ss_platform_delete: deletes the object KEY if its version is VERSION; 0: any.
 * Does nothing if VERSION is of an earlier era.
 */
void ss_platform_delete (SsNode *node, uint64_t call, const char *key,
                         int64_t version);

/* --- config_sync.c: configuration exchange between VMs --- */

/* ss_config_sync_extend_deletions: restarts the grace periods of all deferred
 * deletions, as what led to them was read before the store was restored.
 */
void ss_config_sync_extend_deletions (SsNode *node);

void ss_config_sync_handle_pull (SsNode *node, const char *from,
                                 const Ss__Peer__ConfigPull *pull);
void ss_config_sync_handle_push (SsNode *node, const char *from,
                                 const Ss__Peer__ConfigPush *push);
/* ss_config_sync_send: sends VM the object KEY as it is stored here. */
void ss_config_sync_send (SsNode *node, const char *vm, const char *key);
/* ss_config_sync_publish: adopts OBJECT if it is newer, and then forwards it to
 * all peers.
 */
void ss_config_sync_publish (SsNode *node, const SsObject *object);
/* ss_config_sync_pull_all: requests all objects that VM stores. */
void ss_config_sync_pull_all (SsNode *node, const char *vm);

/* --- directory.c: the VM directory at the platform --- */

void ss_directory_tick (SsNode *node);
/* ss_directory_apply: applies OBJECT, an adopted object vm/NAME. */
void ss_directory_apply (SsNode *node, const SsObject *object);
/* ss_directory_handle_object: handles the outcome of a write of a VM's object.
 */
void ss_directory_handle_object (SsNode *node, SsPlatformOutcome outcome,
                                 const SsObject *object);
/* ss_directory_handle_ask: writes the object of VM, which the platform turns
 * away.
 */
void ss_directory_handle_ask (SsNode *node, const char *vm,
                              const Ss__Peer__DirectoryAsk *ask);
/* ss_directory_has_holder: whether the object of another VM that is not in
 * RELEASED lists a lease on GROUP.
 */
bool ss_directory_has_holder (const SsNode *node, const char *group,
                              GHashTable *released);
/* ss_directory_has_other: whether the platform lists another VM that is not in
 * PASSED_OVER.
 */
bool ss_directory_has_other (const SsNode *node, GHashTable *passed_over);
/* ss_directory_deregister: deletes this VM's object, on shutdown. */
void ss_directory_deregister (SsNode *node);

/* ss_node_begin_shutdown: begins the graceful shutdown of this VM. */
void ss_node_begin_shutdown (SsNode *node);
/* ss_stop_tick: continues the graceful shutdown. */
void ss_stop_tick (SsNode *node);
/* ss_stop_end_sessions: ends sessions right after their last reply: a later
 * statement is refused and not begun.
 */
void ss_stop_end_sessions (SsNode *node);

#endif
