/* change: changes of primary, and who may use one meanwhile. */
#ifndef SS_CHANGE_H
#define SS_CHANGE_H

#include "core/node.h"
#include "proto/peer.pb-c.h"

/* --- promote.c: changes of primary --- */

/* A list of the vms that a claim waits for. */
typedef enum
{
  SS_LIST_NONE,
  SS_LIST_WANTED,
  SS_LIST_ASKED,
  SS_LISTED
} SsListing;

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
  int64_t primary_ok_ms; /* when the primary was last known to serve */
  uint64_t seen_term;
  int64_t since_ms; /* of the step */
  int64_t started_ms;
  int64_t retry_ms; /* no new try before */
  int64_t asked_ms;
  uint64_t call;
  uint64_t term;
  int64_t version;
  char operation[96];
  char *wanted;  /* server ordered by an operator, or NULL */
  char *leaving; /* server that must not be chosen, or NULL */
  char *chosen;
  bool ordered;
  uint64_t order;     /* operation to be answered; 0: none */
  GHashTable *raised; /* server -> SsPosition that it holds; by name, as
                         servers may come and go meanwhile */
  int64_t enough_ms;  /* when enough servers were raised; 0: not yet */
  uint32_t rank;      /* of this vm as the group's coordinator */
  uint64_t rank_generation;
  int64_t fence;        /* of the platform's promotion call */
  SsPosition received;  /* the highest that a replica had */
  int64_t received_ms;  /* when that last rose */
  int64_t watched_ms;   /* when the replicas were last asked */
  GHashTable *released; /* vms that know of the claim */
  SsListing vms_listed; /* since the claim */
} SsPromotion;

/* The object whose holder may have the platform promote servers. */
#define SS_PROMOTE_DUTY_KEY "duty/failover"

/* ss_promote_enter: begins STEP. */
void ss_promote_enter (SsNode *node, SsPromotion *promotion,
                       SsPromoteStep step);
void ss_promote_give_up (SsNode *node, SsPromotion *promotion, const char *why);
/* ss_promote_put: writes the group's object with PRIMARY and its term. */
void ss_promote_put (SsNode *node, SsPromotion *promotion, const char *primary);
void ss_promote_tick (SsNode *node);
void ss_promote_raised (SsNode *node, const Ss__Peer__RaiseReply *reply);
void ss_promote_object (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                        const SsObject *object);
/* ss_promote_called: how the platform's promotion of a server ended. */
void ss_promote_called (SsNode *node, uint64_t call, SsPlatformOutcome outcome);
/* ss_promote_order: an operator's order, answered as operation CALL. */
void ss_promote_order (SsNode *node, const char *group, const char *to,
                       uint64_t call);
SsPromotion *ss_promote_get (SsNode *node, const char *group);
/* ss_promote_rank: this vm's place as GROUP's coordinator, from 0. */
uint32_t ss_promote_rank (SsNode *node, SsPromotion *promotion);
/* ss_promote_resumed: this vm was paused: what it saw before is void. */
void ss_promote_resumed (SsNode *node);

/* --- raise.c --- */

/* ss_raise_tick: asks servers to take the claim's term, and goes on once
 * enough of them did.
 */
void ss_raise_tick (SsNode *node, SsPromotion *promotion, const SsGroup *group);

/* --- lease.c: use of a primary without asking its group --- */

/* The longest that a vm uses a primary after the platform confirmed it; a
 * change of primary waits for so long for a vm that does not answer.
 */
#define SS_LEASE_MS 1800

bool ss_lease_holds (const SsNode *node, const SsGroup *group);
void ss_lease_tick (SsNode *node);
/* ss_lease_may_ask_servers: whether the platform answers no vm that this one
 * hears: then nobody here can change a primary, and a majority of its servers
 * can confirm it.
 */
bool ss_lease_may_ask_servers (const SsNode *node);
void ss_lease_ask (SsNode *node, const char *from,
                   const Ss__Peer__LeaseAsk *ask);
void ss_lease_asker_free (gpointer asker);
void ss_lease_reply (SsNode *node, const Ss__Peer__LeaseReply *reply);
/* ss_lease_listed: the answer to a list of objects, adopted already. */
void ss_lease_listed (SsNode *node, const SsEvent *event);
/* ss_lease_list_vms: has the platform list the vms now. */
void ss_lease_list_vms (SsNode *node);
/* ss_lease_begin_release: a claim took effect: no vm may go on to use the
 * primary before it.
 */
void ss_lease_begin_release (SsNode *node, SsPromotion *promotion);
void ss_lease_ask_release (SsNode *node, SsPromotion *promotion);
bool ss_lease_is_released (SsNode *node, SsPromotion *promotion);
void ss_lease_claim_ask (SsNode *node, const char *from,
                         const Ss__Peer__ClaimAsk *ask);
void ss_lease_claim_reply (SsNode *node, const char *from,
                           const Ss__Peer__ClaimReply *reply);

/* --- lead.c: promotions that the platform carries out --- */

/* ss_lead_is_coordinator: whether this vm orders promotions; never while it
 * is unsure who lives.
 */
bool ss_lead_is_coordinator (SsNode *node);
/* ss_lead_term: the term that a new primary of GROUP will lead. */
uint64_t ss_lead_term (const SsGroup *group);
/* ss_lead_adopt: where servers follow a primary that GROUP does not name,
 * begins to name it; returns whether it did.
 */
bool ss_lead_adopt (SsNode *node, SsPromotion *promotion, SsGroup *group);
/* ss_lead_watch: looks at the replicas while their primary is missed. */
void ss_lead_watch (SsNode *node, SsPromotion *promotion, const SsGroup *group);
bool ss_lead_is_suspect (SsNode *node, const SsPromotion *promotion,
                         const SsGroup *group);
/* ss_lead_begin: has the platform promote the server that was chosen. */
void ss_lead_begin (SsNode *node, SsPromotion *promotion);
void ss_lead_tick (SsNode *node, SsPromotion *promotion);
/* ss_lead_duty: how the write of the duty's object ended. */
void ss_lead_duty (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                   const SsObject *object);

#endif
