/* server: one stand-in database server of a group.
 *
 * It remembers the highest term it was shown, refuses older ones, and follows
 * a primary by asking it for its log.  Roles change only by the calls
 * sapphirestair_raise, _promote and _follow.
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

/* What a server gets wrong, so that the checks can be seen to fail. */
#define SS_LIES(X)                                                             \
  X (NONE, "none")                                                             \
  X (APPLIED, "applied") /* tells that all it holds is applied */              \
  X (TERM, "term")       /* goes on as a primary after a later term */         \
  X (COMMIT, "commit")   /* knows no transactions */                           \
  X (REQUEST, "request") /* takes a request id twice */                        \
  X (REFUSAL, "refusal") /* refuses some commits that it ran */                \
  X (CHECK, "check")     /* fails some commits that it ran for good */         \
  X (ANSWER, "answer")   /* gives other values now and then */

typedef enum
{
#define X(id, name) SS_LIE_##id,
  SS_LIES (X)
#undef X
} SsLie;

typedef struct
{
  const SsClock *clock;
  SsStore store;
  SsRole role;
  uint64_t shown_term;
  uint64_t follow_term;
  char *upstream;           /* "ip port", or NULL */
  int64_t heard_ms;         /* the primary's last answer */
  uint64_t first_wanted;    /* while the common prefix is looked for */
  uint64_t link_generation; /* moves when the link has to be made anew */
  GPtrArray *sessions;      /* of SsSqlSession */
  FILE *term_file;

  int64_t apply_lag_ms;
  int64_t connect_ms;
  int64_t slow_ms;
  int64_t max_connections;
  bool cut; /* replication, both ways */
  SsLie lie;
  uint32_t lie_turns;
} SsServer;

int64_t ss_server_now_ms (const SsServer *server);

/* ss_server_init: DATA_PATH may be NULL (memory only). */
void ss_server_init (SsServer *server, const SsClock *clock,
                     const char *data_path);
void ss_server_finish (SsServer *server);

/* ss_server_set_lie: returns false where NAME is none. */
bool ss_server_set_lie (SsServer *server, const char *name);
/* ss_server_is_lying: whether it tells LIE now: one time in EVERY. */
bool ss_server_is_lying (SsServer *server, SsLie lie, uint32_t every);

/* ss_server_raise: returns whether TERM is now the highest shown one. */
bool ss_server_raise (SsServer *server, uint64_t term);
bool ss_server_promote (SsServer *server, uint64_t term);
bool ss_server_follow (SsServer *server, uint64_t term, const char *ip,
                       const char *port);
const char *ss_server_role_name (const SsServer *server);

/* ss_server_tick: applies what is due. */
void ss_server_tick (SsServer *server);

/* ss_server_wants_log: whether it follows a primary now. */
bool ss_server_wants_log (const SsServer *server);
/* ss_server_take_log: the primary's answer to a request for the log after
 * server->first_wanted: "ok", "mismatch" or "refused", and COUNT entries.
 */
void ss_server_take_log (SsServer *server, const char *found,
                         const uint64_t *terms, const char *const *payloads,
                         uint32_t count);

#endif
