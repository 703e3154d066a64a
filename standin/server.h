/* server: one stand-in database server of a group.
 *
 * Stores the highest term it has received and rejects older terms.  A replica
 * requests the log from its primary.  Roles change only by the SQL functions
 * sapphirestair_raise, sapphirestair_promote and sapphirestair_follow.
 */
#ifndef SS_STANDIN_SERVER_H
#define SS_STANDIN_SERVER_H

#include "kernel/clock.h"
#include "standin/store.h"

typedef enum
{
  SS_ROLE_REPLICA,
  SS_ROLE_PRIMARY,
  SS_ROLE_FENCED
} SsRole;

/* Seeded defects, to test that the checks of the soak test detect them. */
#define SS_DEFECTS(X)                                                          \
  X (NONE, "none")                                                             \
  X (APPLIED, "applied") /* reports its whole log as applied */                \
  X (TERM, "term")       /* remains primary after a later term */              \
  X (COMMIT, "commit")   /* ignores BEGIN and COMMIT */                        \
  X (REQUEST, "request") /* accepts a duplicate idempotency key */             \
  X (REFUSAL, "refusal") /* 40001 (retryable) for some executed commits */     \
  X (CHECK, "check")     /* 23514 (permanent) for some executed commits */     \
  X (ANSWER, "answer")   /* returns some wrong values */

typedef enum
{
#define X(id, name) SS_DEFECT_##id,
  SS_DEFECTS (X)
#undef X
} SsDefect;

typedef struct
{
  const SsClock *clock;
  SsStore store;
  SsRole role;
  uint64_t shown_term;      /* highest term received */
  uint64_t follow_term;     /* term of the primary that it follows */
  char *upstream;           /* "IP PORT" of the primary, or NULL */
  int64_t last_response_ms; /* time of the primary's last response */
  /* Position after which the log is requested; moves back while the common
   * prefix of both logs is searched.
   */
  uint64_t fetch_after;
  /* Incremented when the log receiver has to reconnect. */
  uint64_t replication_generation;
  GPtrArray *sessions; /* of SsSqlSession */
  FILE *term_file;     /* NULL: shown_term is kept in memory only */

  /* faults set by sapphirestair_control */
  int64_t apply_lag_ms; /* delay before a replica applies an entry */
  int64_t connect_ms;   /* delay of new connections */
  int64_t slow_ms;      /* delay of each query */
  int64_t max_connections;
  bool partitioned; /* for replication, in both directions */

  SsDefect defect;
  uint32_t defect_calls;
} SsServer;

int64_t ss_server_now_ms (const SsServer *server);

/* ss_server_init: loads the log from DATA_PATH and the term from
 * DATA_PATH.term, and appends later changes to them.  With a NULL path, or
 * where a file cannot be opened, the data is kept in memory only.
 */
void ss_server_init (SsServer *server, const SsClock *clock,
                     const char *data_path);
void ss_server_finish (SsServer *server);

/* ss_server_set_defect: returns false if NAME is not in SS_DEFECTS. */
bool ss_server_set_defect (SsServer *server, const char *name);
/* ss_server_defect_occurs: returns whether the server shows DEFECT in this
 * call.  A server that has it does so in one of PERIOD calls.
 */
bool ss_server_defect_occurs (SsServer *server, SsDefect defect,
                              uint32_t period);

/* ss_server_raise_term: raises the highest received term to TERM.  A primary of
 * an older term becomes fenced.  Returns false if a later term was received.
 */
bool ss_server_raise_term (SsServer *server, uint64_t term);
/* ss_server_promote: makes the server the primary of TERM, appends an empty
 * entry of TERM and applies the whole log.  Returns false if a later term was
 * received or the server follows another primary of TERM.
 */
bool ss_server_promote (SsServer *server, uint64_t term);
/* ss_server_follow: makes the server a replica of the primary of TERM at IP and
 * PORT.  Returns false if a later term was received or the server is the
 * primary of TERM.
 */
bool ss_server_follow (SsServer *server, uint64_t term, const char *ip,
                       const char *port);
const char *ss_server_role_name (const SsServer *server);

/* ss_server_tick: applies log entries whose apply lag has passed. */
void ss_server_tick (SsServer *server);

/* ss_server_is_following: returns whether the server is a replica of the
 * primary of the highest received term and is not partitioned.
 */
bool ss_server_is_following (const SsServer *server);
/* ss_server_handle_log: handles the primary's response to a request for the log
 * after server->fetch_after.  OUTCOME is "ok", "mismatch" if the terms at that
 * position differ, or "refused" if the sender is not the primary of the
 * followed term.  TERMS and PAYLOADS hold COUNT entries.
 */
void ss_server_handle_log (SsServer *server, const char *outcome,
                           const uint64_t *terms, const char *const *payloads,
                           uint32_t count);

#endif
