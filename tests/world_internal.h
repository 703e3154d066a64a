/* world_internal: state and functions shared by the simulation's modules. */
#ifndef SS_TESTS_WORLD_INTERNAL_H
#define SS_TESTS_WORLD_INTERNAL_H

#include "bench/ledger.h"
#include "tests/world.h"

typedef struct World World;

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
} WorldNode;

typedef struct
{
  SsServer server;
  bool alive;
  bool frozen; /* answers nothing; its connections stay open */
  char name[8];
  char ip[16];
  int64_t next_pull_ms; /* when a replica next fetches the primary's log */
} WorldServer;

/* A connection of a node to a server. */
typedef struct
{
  uint64_t key; /* node, its incarnation and id */
  int32_t node;
  uint32_t incarnation;
  uint64_t id;
  int32_t server;
  SsSqlSession sql;
  GByteArray *out;
} WorldConnection;

typedef enum
{
  OP_WRITE,
  OP_WRITE_IDEMPOTENT, /* with an idempotency key */
  OP_TRANSACTION,
  OP_READ_YOUR_WRITES,
  OP_READ_STRICT,
  OP_READ_BOUNDED /* bounded staleness */
} WorldOp;

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
  WorldOp op;
  int32_t step;                /* index of the statement within the operation */
  int32_t sequence;            /* of its writes, for unique keys */
  SsFiling *write;             /* of the current operation, or NULL */
  SsFiling *expected;          /* write that the current read must see */
  SsFiling *last_acknowledged; /* its own last acknowledged write */
  bool in_doubt;               /* an earlier attempt may have run */
  int64_t statement_sent_ms;
  int64_t op_started_ms;
  bool is_final; /* it makes the write after the last fault */
} WorldCaller;

typedef struct
{
  SsClock base; /* must be first: the clock function casts it */
  int64_t now_ms;
} WorldClock;

struct World
{
  WorldClock clock;
  WorldParams params;
  WorldReport *report;
  GRand *rand;
  GSequence *schedule; /* of ScheduledEvent, by time and sequence */
  uint64_t sequence;   /* of the last scheduled event */
  WorldNode nodes[WORLD_NODES];
  WorldServer servers[WORLD_SERVERS];
  WorldCaller callers[WORLD_CALLERS];
  GHashTable *connections; /* key -> WorldConnection */
  GHashTable *sessions;    /* session id -> WorldCaller */
  uint64_t next_session;
  /* From sender to receiver.  A broken connection starts a new epoch; messages
   * of earlier epochs are lost.
   */
  uint64_t epochs[WORLD_NODES][WORLD_NODES];
  int64_t last_delivery_ms[WORLD_NODES][WORLD_NODES]; /* keeps the order */
  bool domain_partitioned[WORLD_DOMAINS];
  GTree *objects; /* key -> StoredObject */
  int64_t revision;
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
  int64_t version;
  char *value;
} StoredObject;

/* world.c */
/* world_schedule: adds an event of KIND in DELAY_MS; the schedule owns it. */
ScheduledEvent *world_schedule (World *w, ScheduledKind kind, int64_t delay_ms);
/* world_random: returns a random number from FROM to TO, both included. */
int32_t world_random (World *w, int32_t from, int32_t to);
bool world_chance (World *w, int32_t per_mille);
/* world_deliver: passes EVENT to the core of NODE and executes its actions. */
void world_deliver (World *w, int32_t node, const SsEvent *event);
/* world_is_partitioned: whether two failure domains cannot reach each other. */
bool world_is_partitioned (const World *w, int32_t a_domain, int32_t b_domain);
int32_t world_domain_of (int32_t index);
/* world_violation: increments COUNTER, a field of the report, and records the
 * message if it is the first violation.
 */
void world_violation (World *w, uint64_t *counter, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* world_target.c */
void world_targets_init (World *w);
void world_targets_finish (World *w);
void world_target_action (World *w, int32_t node, SsAction *action);
void world_target_handle (World *w, ScheduledEvent *scheduled);
/* world_replicate: lets replicas fetch and apply the log of their primary. */
void world_replicate (World *w);
void world_server_crash (World *w, int32_t server);
void world_server_restart (World *w, int32_t server);
/* world_close_node_connections: closes the connections of a crashed node. */
void world_close_node_connections (World *w, int32_t node);
/* world_primary: returns the primary with the highest term, or -1. */
int32_t world_primary (const World *w);

/* world_platform.c */
void world_platform_init (World *w);
void world_platform_finish (World *w);
void world_platform_action (World *w, int32_t node, SsAction *action);
void world_platform_handle (World *w, ScheduledEvent *scheduled);
void world_stored_object_free (gpointer stored);

/* world_callers.c */
void world_callers_init (World *w);
void world_caller_handle (World *w, ScheduledEvent *scheduled);
void world_caller_action (World *w, int32_t node, const SsAction *action);
void world_callers_node_crashed (World *w, int32_t node);
void world_callers_check_rows (World *w);
void world_callers_start_final_write (World *w);

#endif
