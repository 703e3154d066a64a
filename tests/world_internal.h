/* world_internal: what the parts of the world share. */
#ifndef SS_TESTS_WORLD_INTERNAL_H
#define SS_TESTS_WORLD_INTERNAL_H

#include "bench/ledger.h"
#include "tests/world.h"

typedef struct World World;

typedef enum
{
  ITEM_MESSAGE,
  ITEM_LOST,
  ITEM_CONNECT,
  ITEM_QUERY,
  ITEM_RESULT,
  ITEM_CLOSED,
  ITEM_PLATFORM,
  ITEM_PLATFORM_ANSWER,
  ITEM_CALLER,
  ITEM_TICK,
  ITEM_FAULT
} ItemKind;

typedef struct
{
  int64_t at_ms;
  uint64_t sequence;
  ItemKind kind;
  int32_t node; /* it is for this node, or comes from it */
  uint32_t life;
  int32_t other;  /* node, server or caller */
  uint64_t epoch; /* of the connection between two nodes */
  uint64_t id;
  bool flag;
  SsAction action; /* owned; of connections and the platform */
  GBytes *bytes;   /* message */
  SsTargetResult result;
  GBytes *wire;
  char *row;
  char tag[32];
  char sqlstate[6];
  SsPlatformOutcome outcome;
  int64_t revision;
  GPtrArray *objects; /* of StoredObject copies */
} Item;

typedef struct
{
  SsNode core;
  bool alive;
  uint32_t life;
  int64_t paused_until_ms;
  char vm[8];
  char domain[8];
  char ip[16];
  int64_t versions_seen; /* highest configuration revision in force */
} WorldNode;

typedef struct
{
  SsServer server;
  bool alive;
  bool frozen;
  char name[8];
  char ip[16];
  int64_t pull_ms;
} WorldServer;

/* A connection of a node to a server. */
typedef struct
{
  uint64_t key; /* node life and id */
  int32_t node;
  uint32_t life;
  uint64_t id;
  int32_t server;
  SsSqlSession sql;
  GByteArray *out;
} WorldConnection;

typedef enum
{
  OP_WRITE,
  OP_WRITE_WITH_ID,
  OP_TRANSACTION,
  OP_READ_OWN,
  OP_READ_STRICT,
  OP_READ_AGED
} WorldOp;

typedef struct
{
  int32_t number;
  int32_t node; /* -1: not connected */
  uint32_t life;
  uint64_t session;
  uint64_t plan; /* number of its next item; others are void */
  bool open;
  bool waiting; /* a statement is out */
  char token[64];
  WorldOp op;
  int32_t step;
  int32_t sequence;
  SsFiling *filing;
  SsFiling *wanted;
  SsFiling *last_own;
  bool with_id_unknown; /* an earlier try may have run */
  int64_t statement_ms;
  int64_t op_ms;
  bool final; /* the write after the last fault */
} WorldCaller;

typedef struct
{
  SsClock klass; /* first: read by the servers */
  int64_t now_ms;
} WorldClock;

struct World
{
  WorldClock clock;
  WorldParams params;
  WorldReport *report;
  GRand *rand;
  GSequence *items;
  uint64_t sequence;
  WorldNode nodes[WORLD_NODES];
  WorldServer servers[WORLD_SERVERS];
  WorldCaller callers[WORLD_CALLERS];
  GHashTable *connections; /* key -> WorldConnection */
  GHashTable *sessions;    /* session id -> WorldCaller */
  uint64_t next_session;
  uint64_t epochs[WORLD_NODES][WORLD_NODES];
  int64_t last_ms[WORLD_NODES][WORLD_NODES];
  bool cut_domain[WORLD_DOMAINS];
  GTree *objects; /* key -> StoredObject */
  int64_t revision;
  bool platform_down;
  int32_t lose_answers;
  int64_t quiet_ms; /* no faults after this */
  bool closing;
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
Item *world_add (World *w, ItemKind kind, int64_t delay_ms);
int32_t world_random (World *w, int32_t from, int32_t to);
bool world_chance (World *w, int32_t per_mille);
void world_event (World *w, int32_t node, const SsEvent *event);
bool world_is_cut (const World *w, int32_t a_domain, int32_t b_domain);
int32_t world_domain_of (int32_t index);
void world_violation (World *w, uint64_t *counter, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* world_target.c */
void world_targets_init (World *w);
void world_targets_finish (World *w);
void world_target_action (World *w, int32_t node, SsAction *action);
void world_target_item (World *w, Item *item);
void world_replicate (World *w);
void world_server_crash (World *w, int32_t server);
void world_server_restart (World *w, int32_t server);
/* world_node_gone: closes the connections of a node that died. */
void world_node_gone (World *w, int32_t node);
int32_t world_primary (const World *w);

/* world_platform.c */
void world_platform_init (World *w);
void world_platform_finish (World *w);
void world_platform_action (World *w, int32_t node, SsAction *action);
void world_platform_item (World *w, Item *item);
void world_free_stored (gpointer stored);

/* world_callers.c */
void world_callers_init (World *w);
void world_caller_item (World *w, Item *item);
void world_caller_action (World *w, int32_t node, const SsAction *action);
void world_callers_node_gone (World *w, int32_t node);
void world_callers_compare (World *w);
void world_callers_final (World *w);

#endif
