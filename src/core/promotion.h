/* promotion: promotions of a group's server to primary, and leases on the
 * primary.
 *
 * A promotion claims a higher term in the group's object, raises the term of
 * enough servers, chooses the most advanced one and names it in the object.
 */
#ifndef SS_PROMOTION_H
#define SS_PROMOTION_H

#include "core/node.h"
#include "core/placement.h"
#include "proto/peer.pb-c.h"

/* --- promote.c: promotions --- */

/* State of the list of VMs that a claim needs to find the lease holders, and a
 * change of voters to know who has to adopt it.
 */
typedef enum
{
  SS_VM_LIST_NONE,
  SS_VM_LIST_WANTED,
  SS_VM_LIST_REQUESTED,
  SS_VM_LIST_RECEIVED
} SsVmListState;

/* The coordinator's progress with the voters of a group. */
typedef struct
{
  int64_t due_ms;         /* when the coordinator next looks at the voters */
  uint64_t call;          /* the outstanding write of the voters; 0: none */
  int64_t call_ms;        /* when it was sent */
  int64_t version;        /* of the voters whose adoption is asked for */
  SsVmListState vm_list;  /* requested since this VM adopted that version */
  GHashTable *adopted;    /* VMs that have adopted it */
  int64_t asked_ms;       /* when the others were last asked */
  int64_t adopted_ms;     /* since when all have; 0: not yet */
  SsPosition mark;        /* the primary's position after that; 0: not known */
  int64_t short_since_ms; /* since when too few servers of the set before are
                             listed or seen to live; 0: enough are */
  bool asks_again;        /* because of that, all VMs are asked anew */
} SsVoterAgreement;

/* Steps of a promotion:
 *
 *   IDLE        none is running
 *   ADOPT       names a server that already leads a later term, once the leases
 * on the primary before are released CLAIM       writes the claim to the
 * group's object CLAIM_READ  reads whether a claim with a lost response took
 * effect RAISE       raises the servers' terms, unless one leads already, and
 * has leases released DUTY        writes the duty object to get a fencing token
 *   CALL        the platform is called to promote the chosen server
 *   LEAD        waits until the chosen server leads the term
 *   NAME        writes the primary's name to the group's object
 *   NAME_READ   reads whether that write, with a lost response, took effect
 */
#define SS_PROMOTE_STEPS(X)                                                    \
  X (IDLE, "idle")                                                             \
  X (ADOPT, "adopt")                                                           \
  X (CLAIM, "claim")                                                           \
  X (CLAIM_READ, "claim_read")                                                 \
  X (RAISE, "raise")                                                           \
  X (DUTY, "duty")                                                             \
  X (CALL, "call")                                                             \
  X (LEAD, "lead")                                                             \
  X (NAME, "name")                                                             \
  X (NAME_READ, "name_read")

typedef enum
{
#define SS_PROMOTE_ENUM(id, name) SS_PROMOTE_##id,
  SS_PROMOTE_STEPS (SS_PROMOTE_ENUM)
#undef SS_PROMOTE_ENUM
} SsPromoteStep;

typedef struct
{
  char *group;
  SsPromoteStep step;
  int64_t primary_seen_ms; /* when the primary was last known to serve */
  int64_t overtaken_ms;    /* since when too few servers are left in the term of
                              the group; 0: enough are */
  uint64_t seen_term;      /* term of the group when it was last looked at */
  int64_t since_ms;        /* when the step started */
  int64_t started_ms;      /* when the promotion started */
  int64_t retry_ms;        /* no new attempt before this */
  int64_t asked_ms;        /* when the step last sent a repeated request */
  uint64_t call;           /* id of the last platform call */
  uint64_t term;           /* that the new primary is to lead */
  int64_t version;    /* of the group's object that the next write expects */
  int64_t era;        /* of the platform's store when it started */
  bool claim_lost;    /* the platform may have lost the claim */
  bool adopts;        /* the chosen server leads already */
  char operation[96]; /* unique id, stored in the group's object */
  char *requested_server; /* server that an operator requests, or NULL */
  char *replaced_primary; /* primary to be replaced, never chosen; or NULL */
  char *chosen;           /* the new primary; NULL: not chosen yet */
  bool requested;         /* the primary has not failed: an operator, a drain or
                             its placement (placement.h) asks for it */
  uint64_t operator_call; /* operator command to be answered; 0: none */
  GHashTable *raised_positions; /* server name -> SsPosition of its log; not by
                  pointer, as servers may be added and removed meanwhile */
  int64_t quorum_ms; /* when enough servers were raised; 0: not yet */
  uint32_t rank;     /* of this VM as the group's coordinator */
  uint64_t rank_generation;
  int64_t hold_ms;       /* that the last write of the duty object names */
  int64_t fencing_token; /* of the platform's promotion call */
  SsPosition replica_position; /* the highest position of a replica */
  int64_t replica_position_ms; /* when that last rose */
  int64_t replicas_polled_ms;  /* when the replicas were last polled */
  GHashTable *released;        /* VMs that have adopted the claim */
  SsVmListState vm_list;       /* since the claim */
  SsPlacement placement;       /* of the group's primary */
  SsVoterAgreement agreement;
} SsPromotion;

/* Key of the duty object: the VM that wrote it last may call the platform to
 * promote servers, with its version as fencing token.
 */
#define SS_PROMOTE_DUTY_KEY "duty/failover"

/* ss_promote_enter: starts STEP and its timeout. */
void ss_promote_enter (SsNode *node, SsPromotion *promotion,
                       SsPromoteStep step);
/* ss_promote_give_up: ends a failed promotion.  REASON goes to the log and to
 * the operator who requested it, if any.
 */
void ss_promote_give_up (SsNode *node, SsPromotion *promotion,
                         const char *reason);
/* ss_promote_write_group: writes the group's object with the promotion's term
 * and PRIMARY, which is empty in a claim.
 */
void ss_promote_write_group (SsNode *node, SsPromotion *promotion,
                             const char *primary);
/* ss_promote_begin: starts an attempt for TERM that writes GROUP's object over
 * the one that the platform has.  KIND is part of its operation id.
 */
void ss_promote_begin (SsNode *node, SsPromotion *promotion,
                       const SsGroup *group, uint64_t term, const char *kind);
/* ss_promote_is_void: whether PROMOTION runs and the platform's store has come
 * back from a copy since it started: what it wrote may be lost.
 */
bool ss_promote_is_void (const SsNode *node, const SsPromotion *promotion);
/* ss_promote_is_superseded: whether another operation has changed GROUP's
 * object since PROMOTION, which runs, claimed it.
 */
bool ss_promote_is_superseded (const SsPromotion *promotion,
                               const SsGroup *group);
void ss_promote_tick (SsNode *node);
void ss_term_raise_handle_reply (SsNode *node,
                                 const Ss__Peer__RaiseReply *reply);
/* ss_promote_handle_object: handles the result of platform call CALL, a read or
 * write of a group's object or of the duty object.
 */
void ss_promote_handle_object (SsNode *node, uint64_t call,
                               SsPlatformOutcome outcome,
                               const SsObject *object);
/* ss_coordinator_handle_call: handles the result of the platform's promotion
 * call CALL.
 */
void ss_coordinator_handle_call (SsNode *node, uint64_t call,
                                 SsPlatformOutcome outcome);
/* ss_promote_request: starts a promotion of GROUP that an operator requests, to
 * the server TO (NULL: any).  Its result answers the operator command CALL.
 * Among the most advanced servers TO is preferred; another one is chosen if TO
 * is behind.
 */
void ss_promote_request (SsNode *node, const char *group, const char *to,
                         uint64_t call);
SsPromotion *ss_promote_get (SsNode *node, const char *group);
/* ss_promote_rank: returns this VM's rank as coordinator of the group, from 0.
 */
uint32_t ss_promote_rank (SsNode *node, SsPromotion *promotion);
/* ss_promote_resumed: restarts failure detection after this VM was paused, as
 * its observations are out of date.
 */
void ss_promote_resumed (SsNode *node);

/* --- suspicion.c: detection of a failed primary --- */

/* A frozen or partitioned primary answers nobody for this long; a slow one
 * still does.
 */
#define SS_SUSPICION_SILENT_MS 1500

/* ss_suspicion_track_primary: records when the primary was last known to serve.
 */
void ss_suspicion_track_primary (SsNode *node, SsPromotion *promotion,
                                 const SsGroup *group);
/* ss_suspicion_is_primary_suspect: whether a promotion of GROUP is due, as its
 * primary has failed or can't gather a majority.
 */
bool ss_suspicion_is_primary_suspect (SsNode *node, SsPromotion *promotion,
                                      const SsGroup *group);

/* --- term_raise.c: raising the servers' terms --- */

/* ss_term_raise_tick: asks the servers to raise their term to the claim's, and
 * starts the next step once enough of them did.
 */
void ss_term_raise_tick (SsNode *node, SsPromotion *promotion,
                         const SsGroup *group);

/* --- voter_coordinator.c: changes of the voters of a group --- */

/* ss_voter_coordinator_tick: changes the voters of GROUP if that is due, or
 * goes on with a change.  Only the coordinator does.
 */
void ss_voter_coordinator_tick (SsNode *node, SsPromotion *promotion,
                                const SsGroup *group);
/* ss_voter_coordinator_handle_object: handles the result of platform call CALL
 * if OBJECT is a group's voters.
 */
void ss_voter_coordinator_handle_object (SsNode *node, uint64_t call,
                                         SsPlatformOutcome outcome,
                                         const SsObject *object);
void ss_voter_coordinator_handle_ask (SsNode *node, const char *from,
                                      const Ss__Peer__VotersAsk *ask);
void ss_voter_coordinator_handle_reply (SsNode *node, const char *from,
                                        const Ss__Peer__VotersReply *reply);

/* --- lease.c: use of a primary without asking its servers --- */

/* Length of a lease, in milliseconds from the request that the platform
 * confirmed.  A promotion waits this long for a lease holder that does not
 * answer.
 */
#define SS_LEASE_MS 1800

/* ss_lease_holds: whether this VM holds a valid lease on GROUP's primary. */
bool ss_lease_holds (const SsNode *node, const SsGroup *group);
/* ss_lease_keeper: returns the VM that lists the groups for all
 * (lease_keeper.h), or NULL.
 */
const char *ss_lease_keeper (const SsNode *node);
/* ss_lease_tick: renews this VM's leases when that is due, if it owns the
 * primary of a group.
 */
void ss_lease_tick (SsNode *node);
/* ss_lease_hurry: renews this VM's leases now, unless that is under way. */
void ss_lease_hurry (SsNode *node);
/* ss_lease_may_ask_servers: whether the servers may confirm the primary in
 * place of a lease.  With promotions by the platform, this requires that the
 * platform answers neither this VM nor any VM that it hears.
 */
bool ss_lease_may_ask_servers (const SsNode *node);
/* ss_lease_is_confirmed_by: whether SERVERS, a bit set of group->servers that
 * showed no later term, confirm the primary in place of a lease: a majority of
 * the voters for SS_RELIANCE_MS after the last contact with the platform, and
 * all of them at any time.
 */
bool ss_lease_is_confirmed_by (const SsNode *node, const SsGroup *group,
                               uint32_t servers);
void ss_lease_handle_ask (SsNode *node, const char *from,
                          const Ss__Peer__LeaseAsk *ask);
void ss_lease_handle_reply (SsNode *node, const Ss__Peer__LeaseReply *reply);
/* ss_lease_handle_list: handles the result of a list request, whose objects are
 * already adopted.
 */
void ss_lease_handle_list (SsNode *node, const SsEvent *event);
/* ss_lease_list_vms: requests the list of VMs from the platform, unless a
 * request is outstanding.
 */
void ss_lease_list_vms (SsNode *node);
/* ss_lease_list_wanted: requests that list for the claims and changes of voters
 * that want one.  At most one request is outstanding: they need one that was
 * sent after they took effect.
 */
void ss_lease_list_wanted (SsNode *node);
/* ss_lease_begin_release: starts the release of all leases on the previous
 * primary, after a claim took effect.
 */
void ss_lease_begin_release (SsNode *node, SsPromotion *promotion);
/* ss_lease_ask_release: asks the VMs that have not released their lease whether
 * they have adopted the claim.
 */
void ss_lease_ask_release (SsNode *node, SsPromotion *promotion);
/* ss_lease_is_released: whether no VM can use the previous primary any longer.
 */
bool ss_lease_is_released (SsNode *node, SsPromotion *promotion);
void ss_lease_handle_claim_ask (SsNode *node, const char *from,
                                const Ss__Peer__ClaimAsk *ask);
void ss_lease_handle_claim_reply (SsNode *node, const char *from,
                                  const Ss__Peer__ClaimReply *reply);

/* --- coordinator.c: promotions carried out by the platform --- */

/* ss_coordinator_is_self: whether this VM starts promotions.  False in the
 * grace period after the loss of its relays (ss_members_in_relay_grace).
 */
bool ss_coordinator_is_self (SsNode *node);
/* ss_coordinator_update_role: updates node->coordinates and since when this VM
 * watches the primaries of all groups, as coordinator or as one of the next by
 * rank.
 */
void ss_coordinator_update_role (SsNode *node);
/* ss_coordinator_down_ms: returns for how long the primary has not been seen to
 * serve by this VM while it watched all groups.
 */
int64_t ss_coordinator_down_ms (const SsNode *node,
                                const SsPromotion *promotion);
/* ss_coordinator_next_term: returns the term that a new primary of GROUP will
 * lead. */
uint64_t ss_coordinator_next_term (const SsGroup *group);
/* ss_coordinator_adopt_primary: starts to name the primary in GROUP's object if
 * a server leads a later term than the object has, leads its term while the
 * object names no primary, or leads any term while there is no object.  Returns
 * whether it did.
 */
bool ss_coordinator_adopt_primary (SsNode *node, SsPromotion *promotion,
                                   SsGroup *group);
/* ss_coordinator_rewrite: starts to name GROUP's primary again if the platform,
 * restored from a copy, has lost it and the VMs of higher rank have had time
 * to. Returns whether it did.
 */
bool ss_coordinator_rewrite (SsNode *node, SsPromotion *promotion,
                             const SsGroup *group);
/* ss_coordinator_poll_replicas: polls the replicas while their primary is
 * unreachable. */
void ss_coordinator_poll_replicas (SsNode *node, SsPromotion *promotion,
                                   const SsGroup *group);
/* ss_coordinator_sees: whether the owner of TARGET has lately reported that it
 * answers.
 */
bool ss_coordinator_sees (const SsNode *node, const SsTarget *target);
/* ss_coordinator_poll_servers: polls all servers of GROUP. */
void ss_coordinator_poll_servers (SsNode *node, const SsGroup *group);
/* ss_coordinator_is_primary_suspect: whether the primary of GROUP is considered
 * failed, or the group has been without one for too long.
 */
bool ss_coordinator_is_primary_suspect (SsNode *node,
                                        const SsPromotion *promotion,
                                        const SsGroup *group);
/* ss_coordinator_should_move: whether GROUP's primary should move to a replica
 * so that reads have replicas again (placement.h).  Logs the decision.
 */
bool ss_coordinator_should_move (SsNode *node, SsPromotion *promotion,
                                 const SsGroup *group);
/* ss_coordinator_call_platform: starts the platform's promotion of the chosen
 * server. */
void ss_coordinator_call_platform (SsNode *node, SsPromotion *promotion);
void ss_coordinator_tick (SsNode *node, SsPromotion *promotion);
/* ss_coordinator_tick_adoption: names the server that leads already once the
 * leases on the primary before are released.
 */
void ss_coordinator_tick_adoption (SsNode *node, SsPromotion *promotion);
/* ss_coordinator_handle_duty: handles the result of a read or write of the duty
 * object. */
void ss_coordinator_handle_duty (SsNode *node, uint64_t call,
                                 SsPlatformOutcome outcome,
                                 const SsObject *object);

#endif
