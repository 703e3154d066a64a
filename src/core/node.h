/* node: the decision core of one VM, a deterministic state machine.
 *
 * The node performs no I/O.  The embedding program passes events in with the
 * current time and takes actions out.  The same events and the same seed give
 * the same actions, so a test harness can drive many nodes on one clock.
 *
 *   ss_node_init (&node, &params, now_ms);
 *   ss_node_on_event (&node, &event, now_ms);
 *   while (ss_node_take_action (&node, &action))
 *     { ...; ss_action_clear (&action); }
 *   wait until ss_node_next_deadline (&node), then send SS_EVENT_TICK
 *   ss_node_finish (&node);
 */
#ifndef SS_NODE_H
#define SS_NODE_H

#include "core/retry_budget.h"
#include "core/config.h"
#include "core/dialect.h"
#include "core/duty.h"
#include "core/event.h"
#include "core/fanout.h"
#include "core/lease_keeper.h"
#include "core/lease_listing.h"
#include "core/roles.h"
#include "core/organisation_stats.h"
#include "core/platform_calls.h"
#include "core/timing.h"
#include "core/traffic.h"
#include "core/predict.h"
#include "core/rate_limiter.h"
#include "kernel/counters.h"

/* Parameters.  Strings are borrowed and must outlive the node. */
typedef struct
{
  const char *vm;
  const char *failure_domain;
  const char *ip;
  uint16_t peer_port;
  uint32_t capacity_millicores; /* processor time that this VM may use; 0: a
                                   core */
  const char *seeds;           /* "IP:PORT ..." of bootstrap peers; may be "" */
  uint32_t seed;               /* of the random number generator */
  int64_t deadline_ms;         /* default statement deadline */
  int64_t transaction_idle_ms; /* limit of an idle transaction */
  int64_t stop_bound_ms;       /* limit of a graceful shutdown */
  bool spans;                  /* log a trace span for each hop */
  SsTiming timing;             /* fields that are 0 get their defaults */
  const SsDialect *dialect;    /* NULL: plain SQL */
  uint32_t watches; /* bit set of the SsWatch to use; 0: only SS_WATCH_ALL */
  bool cross_domain_owners; /* if a failure domain has no live VM, VMs of others
                           own its targets */
  int64_t apply_ms;       /* limit for a configuration change to take effect */
  int64_t drain_ms;       /* limit for draining a removed target */
  uint32_t seed_port;     /* peer port at the seeds; 0: as in seeds */
  int64_t rate_window_ms; /* of the bound on operations; 0: defaults of all
                             three */
  double rate_overage;    /* above the limits in a window, as a fraction */
  uint32_t rate_slack;    /* operations above that */
  bool learn_speed;       /* learn the speed of targets (entry_speed.h) */
} SsNodeParams;

/* The deferred removal of a target whose object was deleted at the platform. */
typedef struct
{
  int64_t version;
  int64_t due_ms; /* when the removal takes effect */
} SsPendingDeletion;

/* State of the rate limit on the log lines of one event. */
typedef struct
{
  int64_t since_ms; /* start of the current one-second window */
  uint32_t written;
  uint32_t left_out; /* suppressed since the last line written */
} SsLogQuota;

/* Attempts to reach a platform that does not answer this VM. */
typedef struct
{
  int64_t due_ms; /* when the next one is due */
  SsBackoff backoff;
} SsPlatformProbe;

/* State of one watch on the platform. */
typedef struct
{
  bool watching;       /* a watch request is outstanding */
  bool is_probe;       /* it is an attempt of SsPlatformProbe */
  bool complete;       /* all of its objects were received once */
  int64_t due_ms;      /* when the next watch request is due */
  int64_t revision;    /* version up to which its objects are known */
  int64_t since;       /* version that the last request started from */
  int64_t answered_ms; /* when the platform last answered it; 0: never */
} SsWatchState;

/* State of the graceful shutdown (stop.c). */
typedef struct
{
  int64_t started_ms;
  int64_t due_ms;  /* its bound */
  int64_t idle_ms; /* since when there is no work left */
  int64_t log_due_ms;
  bool replied;      /* a caller got a reply since sessions were ended */
  bool forced;       /* the bound was reached */
  bool deregistered; /* the deletion of this VM's object was requested */
  bool stopped;
} SsStop;

typedef struct
{
  SsNodeParams params;
  int64_t now_ms;
  int64_t started_ms;
  int64_t ticked_ms;
  GRand *rand;
  SsCounters counters;
  SsTraffic traffic;
  SsPlatformCalls platform_calls;
  SsOrganisationStats organisation_stats;
  SsConfig config;
  SsMembers members;
  SsRetryBudget retry_budget;
  const SsDialect *dialect;
  SsLogQuota log_quotas[SS_EVENT_LOG_COUNT];
  GQueue actions;          /* of SsAction */
  GQueue local;            /* of GBytes: messages from this VM to itself */
  int64_t others_since_ms; /* since when others are listed; 0: none were */
  bool settled;            /* may take roles (settling.h) */
  bool ready;              /* a configuration is in force */
  bool stopping;
  SsStop stop; /* if stopping */

  GQueue startup_callers; /* callers that wait for this VM to be ready */
  GHashTable *sessions;   /* id -> SsSession */
  GHashTable *requests;   /* id -> SsRequest */
  uint64_t next_request;
  uint32_t status_waiters;    /* requests waiting for a first state report */
  GTree *confirmed_positions; /* group -> SsConfirmedPositions */
  uint64_t first_sequence;    /* that their requests count from; random, as an
                                 answer to an earlier life of this VM may arrive */

  SsRateLimiter rate_limiter;
  uint64_t rate_hash;       /* config.hash that its limits are from */
  uint64_t rate_generation; /* members.generation that its ranks are from */
  uint32_t token_waiters;   /* requests waiting for a token */
  bool rate_alone[SS_RATE_SLOTS]; /* no coordinator answers */
  GHashTable *usual_runs;         /* service -> SsRunTime[2] (entry_speed.h) */
  GHashTable *round_trips;        /* failure domain -> SsRoundTrip */

  GTree *owned;               /* target -> SsOwnedTarget */
  bool targets_changed;       /* since ss_owner_update last looked at all */
  uint64_t owners_generation; /* members.generation of that time */
  GHashTable *connections;    /* id -> SsConnection */
  uint64_t next_connection;
  uint64_t next_status_request;

  SsPrediction prediction;
  GTree *promotions;      /* group -> SsPromotion */
  GHashTable *operations; /* call -> SsOperation */
  uint64_t next_call;
  uint64_t next_operation;
  int64_t rewrite_due_ms; /* when the next lost group object may be written */
  bool coordinates;       /* this VM starts promotions (coordinator.c) */
  int64_t all_groups_since_ms; /* since when it watches all primaries; 0: not */
  int64_t groups_due_ms;       /* when it looks at all groups, if it does not
                                  watch them */
  SsDuty duty;                 /* may it call the platform (duty.h) */

  int64_t era;          /* the latest era of the platform's store (era.c) */
  bool era_known;       /* the store of that era has responded */
  int64_t era_since_ms; /* when this VM learned of it; 0: the first era */

  int64_t heartbeat_due_ms;
  int64_t subscribe_due_ms;
  uint64_t subscribed_generation;
  GHashTable *subscribed; /* VM -> hash of the targets that this VM last
                             subscribed to there */
  SsFanout fanout;
  GQueue lost_vms; /* names of VMs found dead whose requests have yet to end */
  int64_t pull_due_ms;
  int64_t behind_sequence; /* config.sequence when a peer was last seen ahead */
  int64_t behind_due_ms;   /* when a peer that is ahead is asked; 0: never */
  SsWatchState watches[SS_WATCH_COUNT];
  SsPlatformProbe probe;
  GHashTable *pending_deletions; /* key -> SsPendingDeletion */
  GHashTable *relay_views;       /* VM -> the VMs in its last full report */
  GHashTable *reports;           /* relay -> the last full report sent to it */
  int64_t config_synced_ms; /* when the configuration last agreed with a relay's
                               or was requested from one */
  int64_t directory_due_ms;
  bool directory_refused; /* the platform did not answer the last write of this
                             VM's object */
  SsLeaseListing lease_listing; /* what this VM's object lists */
  int64_t listed_version; /* since which the platform lists this VM; 0: it does
                             not */
  int64_t
      voters_version; /* up to which an explicit list has shown the voters */
  int64_t leases_renewed_version; /* the one of the last request for leases */
  bool vm_list_outstanding;       /* a list request for the objects vm/NAME is
                                     outstanding */
  bool isolated;             /* partitioned from most VMs and the platform */
  int64_t minority_since_ms; /* since when less than half of the other listed
                                VMs are live; 0: at least half are */
  SsRenewal renewal;         /* of this VM's leases */
  SsLeaseKeeper lease_keeper;
  bool
      lease_list_outstanding; /* a list request for the groups is outstanding */
  uint64_t lease_nonce;       /* of the last ask; starts at random, as an answer
                                 to an earlier life of this VM may arrive */
  int64_t lease_asked_ms;     /* when it was sent */
  bool vms_requested;         /* a request for vms_json is outstanding */
  int64_t vms_due_ms;
  GBytes *vms_json; /* the platform's last list of VMs, as JSON */
  bool platform_down;
  int64_t platform_contact_ms; /* when the platform last answered this VM or one
                                  that it hears; 0: unknown */
} SsNode;

void ss_node_init (SsNode *node, const SsNodeParams *params, int64_t now_ms);
void ss_node_finish (SsNode *node);

/* ss_node_on_event: processes EVENT, which is borrowed for the call. */
void ss_node_on_event (SsNode *node, const SsEvent *event, int64_t now_ms);

/* ss_node_next_deadline: returns when the next TICK is due at the latest, in
 * milliseconds of the clock of now_ms.
 */
int64_t ss_node_next_deadline (const SsNode *node);

/* ss_node_takes_callers: whether this VM accepts new callers. */
bool ss_node_takes_callers (const SsNode *node);

/* ss_node_take_action: moves the next action to ACTION.  Returns false if there
 * is none.
 */
bool ss_node_take_action (SsNode *node, SsAction *action);

#endif
