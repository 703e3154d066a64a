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
} SsNodeParams;

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
  GQueue actions; /* of SsAction */
  GQueue local;   /* of GBytes: messages to this vm itself */
  bool ready;     /* configuration is in force */
  bool stopping;
  bool stopped;
  int64_t stop_due_ms;
  int64_t stop_idle_ms; /* since when nothing is left to do */

  GHashTable *sessions; /* id -> SsSession */
  GHashTable *requests; /* id -> SsRequest */
  uint64_t next_request;
  uint32_t view_waiters; /* requests that wait for a first report */
  GTree *marks;          /* group -> SsMarks */

  GTree *owned;            /* target -> SsOwned */
  GHashTable *connections; /* id -> SsConnection */
  uint64_t next_connection;
  uint64_t next_ask;

  GTree *promotions;      /* group -> SsPromotion */
  GHashTable *operations; /* call -> SsOperation */
  uint64_t next_call;
  uint64_t next_operation;

  int64_t heartbeat_due_ms;
  int64_t subscribe_due_ms;
  uint64_t subscribed_generation;
  int64_t pull_due_ms;
  bool watching; /* a watch is out */
  int64_t watch_due_ms;
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

/* ss_node_take_action: moves the next action to ACTION; false when none. */
bool ss_node_take_action (SsNode *node, SsAction *action);

#endif
