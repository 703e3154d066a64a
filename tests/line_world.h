/* line_world: a deterministic simulation with the line dialect.
 *
 * One decision core, three servers, callers and a platform run on one simulated
 * clock.  All randomness comes from the seed.  The servers check each caller
 * statement: its connection has the settings and prepared statements of its
 * session, a transaction stays on its connection, and a session sees its own
 * commits.
 */
#ifndef SS_TESTS_LINE_WORLD_H
#define SS_TESTS_LINE_WORLD_H

#include "core/internal.h"

#define LINE_SERVERS 3
#define LINE_SESSIONS_MAX 16

typedef struct LineWorld LineWorld;

typedef struct
{
  const char *name;
  SsServerRole role;
  uint64_t term;
  uint64_t barred_term; /* replicates no lower term; 0: not barred */
  SsPosition received;
  SsPosition applied;
  int64_t lag_ms;     /* from receiving to applying */
  bool deaf;          /* receives no replication */
  bool down;          /* refuses connections and does not replicate */
  int64_t in_sync_ms; /* when a replica last had applied all it received */
} LineServer;

typedef struct
{
  uint64_t id;
  LineServer *server;
  SsSessionState state; /* settings and prepared statements in force */
  char status;          /* transaction status: I, T or E */
  uint32_t session;     /* of the open transaction; 0: none */
  bool wrote;           /* the open transaction has written */
} LineConnection;

typedef struct
{
  uint32_t id;          /* from 1 */
  SsSessionState state; /* that its statements must find */
  char status;          /* transaction status: I, T or E */
  uint32_t statements;  /* sent so far */
  uint32_t remaining;   /* random statements still to send */
  bool waits;           /* for a reply */
  int64_t next_statement_ms;
  SsStatement statement;     /* the last one sent */
  uint64_t first_connection; /* of its transaction; 0: none ran yet */
  SsPosition committing;     /* its last commit at a server */
  SsPosition committed;      /* its last acknowledged commit */
  SsVerdict verdict;         /* of the last reply */
  SsReason reason;
} LineSession;

struct LineWorld
{
  SsNode node;
  GRand *rand;
  int64_t now_ms;
  int64_t version;      /* of the last object written at the platform */
  GTree *objects;       /* key -> value */
  GHashTable *versions; /* key -> version */
  GQueue schedule;      /* of ScheduledEvent, by time */
  LineServer servers[LINE_SERVERS];
  GHashTable *connections; /* id -> LineConnection */
  LineSession sessions[LINE_SESSIONS_MAX];
  uint32_t session_count;
  bool platform_down;
  uint32_t promotions;
  int64_t last_fencing_token;
  int64_t promote_ms;   /* when a promotion takes effect; 0: none in progress */
  LineServer *promoted; /* of the last promotion, or NULL */
  uint64_t lease_nonce; /* of the core's last lease request; 0: none */
  /* Probability of injected faults, per mille. */
  uint32_t busy_permille; /* a server answers BUSY */
  uint32_t lost_permille; /* the connection closes instead of the answer */
  /* The same faults, for the next caller statement that a server gets. */
  bool busy_next;
  bool lose_next;
  /* Results. */
  GHashTable *runs;      /* label -> how often a server ran the statement */
  uint32_t status_asks;  /* status requests to all servers */
  uint32_t primary_asks; /* status requests to the first server */
  uint32_t violations;
  char first_violation[160];
  uint32_t served;   /* replies with the verdict RAN */
  uint32_t not_run;  /* NOT_RUN */
  uint32_t in_doubt; /* MAY_HAVE_RUN */
};

/* line_world_init: starts the core, waits until it has found the primary and
 * opens SESSIONS sessions, at most LINE_SESSIONS_MAX.  MAX_CONNECTIONS is the
 * limit of the group.
 */
void line_world_init (LineWorld *world, uint32_t seed, uint32_t sessions,
                      uint32_t max_connections);
void line_world_finish (LineWorld *world);
/* line_world_advance: advances the clock by MS milliseconds. */
void line_world_advance (LineWorld *world, int64_t ms);
/* line_world_say: sends TEXT from SESSION (from 1) and runs until the reply,
 * for at most 5 s.  Returns false if none came.
 */
bool line_world_say (LineWorld *world, uint32_t session, const char *text);
/* line_world_start: sends TEXT from SESSION without waiting for the reply. */
void line_world_start (LineWorld *world, uint32_t session, const char *text);
/* line_world_peer: delivers ENVELOPE to the core as a message from VM "b". */
void line_world_peer (LineWorld *world, SsEnvelope *envelope);
/* line_world_mingle: runs until each session has sent STATEMENTS random
 * statements and got its replies.
 */
void line_world_mingle (LineWorld *world, uint32_t statements);
/* line_world_crash: crashes SERVER (from 0): its connections break, new ones
 * are refused.
 */
void line_world_crash (LineWorld *world, uint32_t server);
/* line_world_put: writes an object at the platform and notifies the core. */
void line_world_put (LineWorld *world, const char *key, const char *value);
/* line_world_last_label: returns the label of SESSION's last statement, valid
 * until the next call.
 */
const char *line_world_last_label (LineWorld *world, uint32_t session);
/* line_world_ran: returns how often servers ran the statement LABEL. */
uint32_t line_world_ran (LineWorld *world, const char *label);

#endif
