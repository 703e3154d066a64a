/* session: one client's statements at a stand-in server; no sockets.
 *
 * Shared by the server's process and by the property tests.
 */
#ifndef SS_STANDIN_SESSION_H
#define SS_STANDIN_SESSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "standin/server.h"

#define SS_SQL_SESSION_CELLS_MAX 16

typedef struct
{
  SsServer *server;
  GByteArray *out; /* set before each call; borrowed */
  bool is_link;    /* a replica's link does not count */
  bool waits_for_log;
  int64_t log_due_ms;
  uint64_t log_position;
  uint64_t log_term;
  uint64_t link_term;
  char status; /* transaction status: I, T or E */
  bool read_only;
  GPtrArray *ops; /* of the open transaction */
  uint64_t shown_applied;
  uint64_t shown_commit;
  /* the last message's answer */
  bool failed;
  char sqlstate[6];
  char tag[32];
  char *row[SS_SQL_SESSION_CELLS_MAX]; /* first row */
  uint32_t row_cells;
  uint64_t committed; /* position of its commit; 0: none */
} SsSqlSession;

void ss_sql_session_init (SsSqlSession *session, SsServer *server);
void ss_sql_session_finish (SsSqlSession *session);

/* ss_sql_session_run: runs one simple query message; its answer is appended
 * to session->out, unless the session then waits for the log.
 */
void ss_sql_session_run (SsSqlSession *session, const char *text);
/* ss_sql_session_answer_log: answers a replica that waits for the log; false
 * while there is nothing to tell it.
 */
bool ss_sql_session_answer_log (SsSqlSession *session, bool expired);
/* ss_sql_session_end: closes a message's answer. */
void ss_sql_session_end (SsSqlSession *session);
void ss_sql_session_fail (SsSqlSession *session, const char *sqlstate,
                          const char *message);

#endif
