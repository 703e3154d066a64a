/* line_sim: a deterministic simulation with the line dialect.
 *
 * One decision core, three servers, callers and a platform run on one simulated
 * clock.  All randomness comes from the seed.  The servers check each caller
 * statement: its connection has the settings and prepared statements of its
 * session, a transaction stays on its connection, and a session sees its own
 * commits.
 */
#ifndef SS_TESTS_LINE_SIM_H
#define SS_TESTS_LINE_SIM_H

#include "core/internal.h"

#define LINE_SERVERS 3
#define LINE_SESSIONS_MAX 16
#define LINE_SLOTS_MAX 8

typedef struct LineSim LineSim;

typedef struct
{
  const char *name;
  SsServerRole role;
  uint64_t term;
  uint64_t barred_term; /* while set, it does not replicate; 0: none */
  SsPosition received;
  SsPosition applied;
  int64_t lag_ms;           /* from receiving to applying */
  uint32_t reported_lag_ms; /* that its status tells */
  bool replication_stopped; /* receives no replication */
  bool down;                /* refuses connections and does not replicate */
  int64_t run_ms; /* mean run time of a caller's statement; 0: as answers */
  uint32_t slots; /* statements at once, if run_ms is set */
  uint32_t knee;  /* beyond so many at once, run times grow with the square of
                     their number; 0: they do not */
  int64_t slot_free_ms[LINE_SLOTS_MAX];
  uint32_t ran;       /* callers' statements */
  int64_t in_sync_ms; /* when a replica last had applied all it received */
} LineServer;

typedef struct
{
  uint64_t id;
  LineServer *server;
  SsSessionState state; /* settings and prepared statements in force */
  char status;          /* transaction status: I, T or E */
  uint32_t session;     /* of the open transaction; 0: none */
  bool is_plain;        /* the open transaction is not BEGIN READ */
  bool wrote;           /* the open transaction has written */
  char *organisation;   /* that it was opened for; NULL: none */
} LineConnection;

typedef struct
{
  uint32_t id;          /* from 1 */
  SsSessionState state; /* that its statements must find */
  char status;          /* transaction status: I, T or E */
  bool begin_is_read;   /* its transaction is BEGIN READ */
  uint32_t statements;  /* sent so far */
  uint32_t remaining;   /* random statements still to send */
  bool awaiting_reply;
  bool ended;      /* by the core, with CALLER_CLOSE */
  int64_t sent_ms; /* when its last statement was sent */
  int64_t replied_ms;
  int64_t next_statement_ms;
  SsStatement statement;     /* the last one sent, as a server reads it */
  char *text;                /* and its text */
  uint64_t first_connection; /* of its transaction; 0: none ran yet */
  SsPosition committing;     /* its last commit at a server */
  SsPosition committed;      /* its last acknowledged commit */
  SsVerdict verdict;         /* of the last reply */
  SsReason reason;
  uint32_t retry_after_ms;
  const char *organisation; /* that its statements must run for; "": none */
} LineSession;

struct LineSim
{
  SsNode node;
  GRand *rand;
  int64_t now_ms;
  int64_t era;     /* of the platform's store */
  int64_t version; /* of the last object written at the platform */
  int64_t watch_since[SS_WATCH_COUNT]; /* of the last watch requests */
  GTree *objects;                      /* key -> value */
  GHashTable *versions;                /* key -> version */
  GTree *copied_objects; /* as objects, when the store was copied */
  GHashTable *copied_versions;
  int64_t copied_version;
  GQueue schedule; /* of ScheduledEvent, by time */
  LineServer servers[LINE_SERVERS];
  GHashTable *connections; /* id -> LineConnection */
  LineSession sessions[LINE_SESSIONS_MAX];
  uint32_t session_count;
  bool platform_down;
  bool puts_lost; /* writes are neither done nor answered */
  int64_t
      stopped_ms; /* when the core's graceful shutdown ended; 0: it has not */
  uint32_t promotions;
  int64_t last_fencing_token;
  int64_t
      promotion_due_ms; /* when a promotion takes effect; 0: none in progress */
  LineServer *promoted; /* of the last promotion, or NULL */
  uint32_t config_pulls;       /* requests for configuration to VM "b" */
  uint32_t rate_asks;          /* requests for tokens to VM "b" */
  uint32_t rate_slot;          /* of the last one */
  int64_t rate_sent_ms;        /* its time by the core's clock */
  int64_t rate_echo_ms;        /* and its echo */
  uint32_t rate_needed;        /* tokens that it asks for */
  uint64_t lease_nonce;        /* of the core's last lease request; 0: none */
  uint32_t position_replies;   /* confirmed positions sent to VM "b" */
  uint32_t position_age_ms;    /* age of the last one */
  SsPosition replied_position; /* and the position itself */
  uint32_t status_replies;     /* sent to requests of VM "b" */
  uint64_t replied_shown_term; /* that the last one tells */
  /* Probability of injected faults, per mille. */
  uint32_t busy_permille; /* a server answers BUSY */
  uint32_t lost_permille; /* the connection closes instead of the answer */
  /* Faults for the next caller statement that a server gets. */
  SsTargetFault fault_next;
  bool lose_next;
  bool odd_texts;   /* random statements have odd texts (line_texts.h) */
  GString *emitted; /* all that the core writes and sends, with NUL bytes as
                       newlines; NULL: not kept */
  /* Results. */
  size_t longest_message_bytes; /* of those to servers */
  GHashTable *runs;         /* label -> how often a server ran the statement */
  uint32_t status_requests; /* to all servers */
  uint32_t primary_status_requests; /* to the first server */
  uint32_t violations;
  char first_violation[160];
  uint32_t served;   /* replies with the verdict RAN */
  uint32_t not_run;  /* NOT_RUN */
  uint32_t in_doubt; /* MAY_HAVE_RUN */
};

/* line_sim_init: starts the core, waits until it has found the primary and
 * opens SESSIONS sessions, at most LINE_SESSIONS_MAX.  MAX_CONNECTIONS is the
 * limit of the group.  The first session uses the service "strict", the second
 * one "bounded", and so on in turn.
 */
void line_sim_init (LineSim *sim, uint32_t seed, uint32_t sessions,
                    uint32_t max_connections);
void line_sim_finish (LineSim *sim);
/* line_sim_open: opens SESSION (from 1) for SERVICE with KEY, which may be
 * NULL; a session of this number must not be open.  The session's verdict tells
 * whether it was accepted.
 */
void line_sim_open (LineSim *sim, uint32_t session, const char *service,
                    const char *key);
/* line_sim_close: closes SESSION. */
void line_sim_close (LineSim *sim, uint32_t session);
/* line_sim_stop: has the core begin its graceful shutdown. */
void line_sim_stop (LineSim *sim);
/* line_sim_cancel: SESSION cancels its statement. */
void line_sim_cancel (LineSim *sim, uint32_t session);
/* line_sim_send_random: sends a random statement from SESSION. */
void line_sim_send_random (LineSim *sim, uint32_t session);
/* line_sim_operator: runs the operator command TEXT. */
void line_sim_operator (LineSim *sim, const char *text);
/* line_sim_advance: advances the clock by MS milliseconds. */
void line_sim_advance (LineSim *sim, int64_t ms);
/* line_sim_execute: sends TEXT from SESSION (from 1) and runs until the reply,
 * for at most 5 s.  Returns false if none came.
 */
bool line_sim_execute (LineSim *sim, uint32_t session, const char *text);
/* line_sim_reopen: closes SESSION and opens it again, by a caller with KEY. */
void line_sim_reopen (LineSim *sim, uint32_t session, const char *key);
/* line_sim_send: sends TEXT from SESSION without waiting for the reply. */
void line_sim_send (LineSim *sim, uint32_t session, const char *text);
/* line_sim_deliver_peer_message: delivers ENVELOPE to the core as a message
 * from VM "b". */
void line_sim_deliver_peer_message (LineSim *sim, SsEnvelope *envelope);
/* line_sim_run_random: runs until each session has sent STATEMENTS random
 * statements and got its replies.
 */
void line_sim_run_random (LineSim *sim, uint32_t statements);
/* line_sim_write: writes in session 1 until a write runs, for at most
 * WITHIN_MS. Returns whether one did.
 */
bool line_sim_write (LineSim *sim, int64_t within_ms);
/* line_sim_crash: crashes SERVER (from 0): its connections break, new ones
 * are refused.
 */
void line_sim_crash (LineSim *sim, uint32_t server);
/* line_sim_put: writes an object at the platform and notifies the core. */
void line_sim_put (LineSim *sim, const char *key, const char *value);
/* line_sim_store: writes an object at the platform without telling the core. */
void line_sim_store (LineSim *sim, const char *key, const char *value);
/* line_sim_copy: takes a copy of the platform's store. */
void line_sim_copy (LineSim *sim);
/* line_sim_restore: returns the store to the last copy, in a new era. */
void line_sim_restore (LineSim *sim);
/* line_sim_stored: returns the value of the object KEY at the platform, or
 * NULL.
 */
const char *line_sim_stored (LineSim *sim, const char *key);
/* line_sim_last_label: returns the label of SESSION's last statement, valid
 * until the next call.
 */
const char *line_sim_last_label (LineSim *sim, uint32_t session);
/* line_sim_run_count: returns how often servers ran the statement LABEL. */
uint32_t line_sim_run_count (LineSim *sim, const char *label);

#endif
