/* node: the decision core of one vm, as one state machine.
 *
 * It does no input or output: the owner hands in events with the time, and
 * takes actions out.  The same events and the same seed give the same
 * actions, so a harness can drive many nodes on one clock.
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

#include "core/budget.h"
#include "core/config.h"
#include "core/dialect.h"
#include "core/event.h"
#include "core/members.h"
#include "core/pace.h"
#include "core/predict.h"
#include "kernel/counters.h"

/* Strings are borrowed and must outlive the node. */
typedef struct
{
  const char *vm;
  const char *failure_domain;
  const char *ip;
  uint16_t peer_port;
  const char *seeds;   /* "IP:PORT ..." of peers to start from; may be "" */
  uint32_t seed;       /* of every random choice */
  int64_t deadline_ms; /* of a statement, unless the caller sets one */
  int64_t transaction_idle_ms; /* bound on an idle transaction */
  int64_t stop_bound_ms;       /* bound on a planned stop */
  bool spans;                  /* log a span for each hop */
  SsPace pace;                 /* fields that are 0 get their defaults */
  const SsDialect *dialect;    /* NULL: the one in plain SQL */
  uint32_t feeds; /* bit by SsFeed that is watched; 0: all objects in one */
  bool owners_anywhere; /* a failure domain without live vms gives its targets
                           to vms of others */
  int64_t apply_ms;     /* a change of configuration is in force by then */
  int64_t drain_ms;     /* a leaving target gets nothing after that */
  uint32_t seed_port;   /* of peers at the seeds; 0: as the seeds say */
} SsNodeParams;

/* A target whose entry at the platform went. */
typedef struct
{
  int64_t version;
  int64_t due_ms; /* when it counts as gone */
} SsRemoval;

/* Log lines of one event: at most so many a second. */
typedef struct
{
  int64_t since_ms; /* of the present second */
  uint32_t written;
  uint32_t left_out;
} SsLogQuota;

/* A vm that the platform does not answer, and that asks this one. */
typedef struct
{
  char *vm;
  uint64_t nonce;
  int64_t asked_ms;
} SsLeaseAsker;

/* What is watched at the platform. */
typedef struct
{
  bool watching; /* a watch is out */
  bool complete; /* all of its objects were seen once */
  int64_t due_ms;
  int64_t revision;
} SsFeedState;

typedef struct
{
  SsNodeParams params;
  int64_t now_ms;
  int64_t started_ms;
  int64_t ticked_ms;
  GRand *rand;
  SsCounters counters;
  SsConfig config;
  SsMembers members;
  SsBudget budget;
  const SsDialect *dialect;
  SsLogQuota log_quotas[SS_EVENT_LOG_COUNT];
  GQueue actions; /* of SsAction */
  GQueue local;   /* of GBytes: messages to this vm itself */
  bool ready;     /* configuration is in force */
  bool stopping;
  bool stopped;
  int64_t stop_due_ms;
  int64_t stop_idle_ms; /* since when nothing is left to do */

  GQueue opens;         /* callers that wait for this vm to be ready */
  GHashTable *sessions; /* id -> SsSession */
  GHashTable *requests; /* id -> SsRequest */
  uint64_t next_request;
  uint32_t view_waiters; /* requests that wait for a first report */
  GTree *marks;          /* group -> SsMarks */

  GTree *owned;            /* target -> SsOwned */
  GHashTable *connections; /* id -> SsConnection */
  uint64_t next_connection;
  uint64_t next_ask;

  SsPrediction prediction;
  GTree *promotions;      /* group -> SsPromotion */
  GHashTable *operations; /* call -> SsOperation */
  uint64_t next_call;
  uint64_t next_operation;
  int64_t duty_version; /* of the duty's object, as last seen */

  int64_t heartbeat_due_ms;
  int64_t subscribe_due_ms;
  uint64_t subscribed_generation;
  int64_t pull_due_ms;
  SsFeedState feeds[SS_FEED_COUNT];
  GHashTable *removals;      /* key -> SsRemoval */
  GHashTable *views;         /* vm -> the vms that it last reported in full */
  GHashTable *reports;       /* relay -> the last full report that it got */
  int64_t config_differs_ms; /* since when a relay holds another one */
  int64_t directory_due_ms;
  GHashTable *leases; /* group -> since when this vm's object names it, ms */
  bool vms_listing;   /* a list of the vms is out */
  bool isolated;      /* can serve nobody */
  int64_t alone_since_ms; /* since when most vms are missed; 0: they are not */
  int64_t lease_due_ms;
  int64_t lease_asked_ms; /* 0: no question is out */
  uint64_t lease_nonce;   /* of the last question to another vm */
  int64_t lease_peer_ms;  /* when it was sent */
  GQueue lease_askers;    /* of SsLeaseAsker, oldest first */
  bool vms_asked;
  int64_t vms_due_ms;
  GBytes *vms_json; /* the platform's list as last seen */
  bool platform_down;
} SsNode;

void ss_node_init (SsNode *node, const SsNodeParams *params, int64_t now_ms);
void ss_node_finish (SsNode *node);

/* ss_node_on_event: EVENT is borrowed for the call. */
void ss_node_on_event (SsNode *node, const SsEvent *event, int64_t now_ms);

/* ss_node_next_deadline: when a TICK is due at the latest, in the clock's
 * milliseconds.
 */
int64_t ss_node_next_deadline (const SsNode *node);

/* ss_node_takes_callers: whether new callers are served here. */
bool ss_node_takes_callers (const SsNode *node);

/* ss_node_take_action: moves the next action to ACTION; false when none. */
bool ss_node_take_action (SsNode *node, SsAction *action);

#endif
