/* sim_internal: state and functions shared by the simulation's modules. */
#ifndef SS_TESTS_SIM_INTERNAL_H
#define SS_TESTS_SIM_INTERNAL_H

#include "bench/ledger.h"
#include "tests/sim.h"

typedef struct Simulation Simulation;

typedef enum
{
  SCHEDULED_PEER_MESSAGE,
  SCHEDULED_PEER_LOST,
  SCHEDULED_TARGET_CONNECT,
  SCHEDULED_TARGET_QUERY,
  SCHEDULED_TARGET_RESULT,
  SCHEDULED_TARGET_CLOSED,
  SCHEDULED_PLATFORM_CALL,
  SCHEDULED_PLATFORM_ANSWER,
  SCHEDULED_CALLER_STEP,
  SCHEDULED_TICK,
  SCHEDULED_FAULT
} ScheduledKind;

typedef struct
{
  int64_t at_ms;
  uint64_t sequence; /* orders events of the same time */
  ScheduledKind kind;
  int32_t node;         /* its receiver, or the source of the action */
  uint32_t incarnation; /* of the node; the event is void in a later one */
  int32_t index;        /* of the peer node, server or caller */
  uint64_t epoch;       /* PEER_MESSAGE: of the connection; see epochs below */
  uint64_t id;     /* of the connection or step; PLATFORM_CALL: call time, ms */
  bool flag;       /* TARGET_RESULT: success; TARGET_CLOSED: refused */
  SsAction action; /* owned; target and platform events */
  GBytes *bytes;   /* PEER_MESSAGE: encoded message */
  SsTargetResult result;
  GBytes *wire;
  char *row;
  char tag[32];
  char sqlstate[6];
  SsPlatformOutcome outcome;
  int64_t era; /* PLATFORM_ANSWER: of the store */
  int64_t revision;
  GPtrArray *objects; /* of StoredObject copies */
} ScheduledEvent;

typedef struct
{
  SsNode core;
  bool alive;
  uint32_t incarnation; /* incremented at each start */
  int64_t paused_until_ms;
  char vm[8];
  char domain[8];
  char ip[16];
  int64_t last_version; /* of the group object in the configuration */
  uint64_t last_rank;   /* rises with its term, and once that has a primary */
} SimNode;

typedef struct
{
  SsServer server;
  bool alive;
  bool frozen; /* answers nothing; its connections stay open */
  char name[8];
  char ip[16];
  int64_t next_pull_ms; /* when a replica next fetches the primary's log */
} SimServer;

/* A connection of a node to a server. */
typedef struct
{
  uint64_t key; /* combines node, incarnation and id */
  int32_t node;
  uint32_t incarnation;
  uint64_t id;
  int32_t server;
  SsSqlSession sql;
  GByteArray *out;
} SimConnection;

typedef enum
{
  OP_WRITE,
  OP_WRITE_IDEMPOTENT, /* with an idempotency key */
  OP_TRANSACTION,
  OP_READ_YOUR_WRITES,
  OP_READ_STRICT,
  OP_READ_BOUNDED /* bounded staleness */
} SimOp;

typedef struct
{
  int32_t number;
  int32_t node; /* -1: not connected */
  uint32_t incarnation;
  uint64_t session;
  uint64_t next_step_id; /* of its pending step; others are stale */
  bool open;             /* the session is accepted */
  bool waiting;          /* for the reply to a statement */
  char token[64];        /* session token, as last received */
  SimOp op;
  int32_t step;            /* index of the statement within the operation */
  int32_t sequence;        /* of its writes, for unique keys */
  SsLedgerWrite *write;    /* of the current operation, or NULL */
  SsLedgerWrite *expected; /* write that the current read must see */
  SsLedgerWrite *last_acknowledged; /* its own last acknowledged write */
  bool in_doubt;                    /* an earlier attempt may have run */
  int64_t statement_sent_ms;
  int64_t op_started_ms;
  bool is_final; /* it makes the write after the last fault */
} SimCaller;

typedef struct
{
  SsClock base; /* must be first: the clock function casts it */
  int64_t now_ms;
} SimClock;

struct Simulation
{
  SimClock clock;
  SimParams params;
  SimReport *report;
  GRand *rand;
  GSequence *schedule; /* of ScheduledEvent, by time and sequence */
  uint64_t sequence;   /* of the last scheduled event */
  SimNode nodes[SIM_NODES];
  SimServer servers[SIM_SERVERS];
  SimCaller callers[SIM_CALLERS];
  GHashTable *connections; /* key -> SimConnection */
  GHashTable *sessions;    /* session id -> SimCaller */
  uint64_t next_session;
  /* From sender to receiver.  A broken connection starts a new epoch; messages
   * of earlier epochs are lost.
   */
  uint64_t epochs[SIM_NODES][SIM_NODES];
  int64_t last_delivery_ms[SIM_NODES][SIM_NODES]; /* keeps the order */
  bool domain_partitioned[SIM_DOMAINS];
  GTree *objects; /* key -> StoredObject */
  int64_t revision;
  int64_t era;
  GTree *copy; /* of objects, or NULL */
  int64_t copy_revision;
  bool platform_down;
  int32_t put_answers_to_lose;
  int64_t faults_end_ms;
  bool closing; /* callers start no new operations */
  SsLedger ledger;
  SsDialect dialect;
};

typedef struct
{
  char *key;
  int64_t revision;
  char *value;
} StoredObject;

/* sim.c */
/* sim_schedule: adds an event of KIND in DELAY_MS; the schedule owns it. */
ScheduledEvent *sim_schedule (Simulation *sim, ScheduledKind kind,
                              int64_t delay_ms);
/* sim_random: returns a random number from FROM to TO, both included. */
int32_t sim_random (Simulation *sim, int32_t from, int32_t to);
bool sim_chance (Simulation *sim, int32_t per_mille);
/* sim_deliver: passes EVENT to the core of NODE and executes its actions. */
void sim_deliver (Simulation *sim, int32_t node, const SsEvent *event);
/* sim_is_partitioned: returns whether a network partition separates two failure
 * domains.
 */
bool sim_is_partitioned (const Simulation *sim, int32_t a_domain,
                         int32_t b_domain);
/* sim_domain_of: returns the index of the failure domain of node INDEX.  Server
 * I is in failure domain I.
 */
int32_t sim_domain_of (int32_t index);
/* sim_violation: increments COUNTER, a field of the report, and records the
 * message if it is the first violation.
 */
void sim_violation (Simulation *sim, uint64_t *counter, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* sim_target.c */
void sim_targets_init (Simulation *sim);
void sim_targets_finish (Simulation *sim);
/* sim_target_action: executes ACTION of NODE and takes over its contents. */
void sim_target_action (Simulation *sim, int32_t node, SsAction *action);
void sim_target_handle (Simulation *sim, ScheduledEvent *scheduled);
/* sim_replicate: lets replicas fetch and apply the log of their primary. */
void sim_replicate (Simulation *sim);
void sim_server_crash (Simulation *sim, int32_t server);
void sim_server_restart (Simulation *sim, int32_t server);
/* sim_close_node_connections: closes the connections of a crashed node. */
void sim_close_node_connections (Simulation *sim, int32_t node);
/* sim_primary: returns the index of the primary with the highest term, even if
 * it has crashed, or -1.
 */
int32_t sim_primary (const Simulation *sim);

/* sim_platform.c */
void sim_platform_init (Simulation *sim);
/* sim_platform_copy: takes a copy of the store. */
void sim_platform_copy (Simulation *sim);
/* sim_platform_restore: returns to the last copy, if there is one. */
void sim_platform_restore (Simulation *sim);
void sim_platform_finish (Simulation *sim);
/* sim_platform_action: executes ACTION of NODE and takes over its contents. */
void sim_platform_action (Simulation *sim, int32_t node, SsAction *action);
void sim_platform_handle (Simulation *sim, ScheduledEvent *scheduled);
void sim_stored_object_free (gpointer stored);

/* sim_callers.c */
void sim_callers_init (Simulation *sim);
void sim_caller_handle (Simulation *sim, ScheduledEvent *scheduled);
void sim_caller_action (Simulation *sim, int32_t node, const SsAction *action);
void sim_callers_node_crashed (Simulation *sim, int32_t node);
/* sim_callers_check_rows: compares the primary's rows with the ledger and adds
 * the violations to the report.
 */
void sim_callers_check_rows (Simulation *sim);
/* sim_callers_start_final_write: lets one caller make a write, which has to
 * succeed now that all faults have ended; the others only finish their current
 * operation.
 */
void sim_callers_start_final_write (Simulation *sim);

#endif
