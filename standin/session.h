/* session: executes one client's statements at a stand-in server.
 *
 * Uses no sockets.  Shared by ss-standin-target and by the property tests.
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
  GByteArray *out; /* receives the responses; set before each call;
                   borrowed */
  /* The user is "replication" (a replica or a test tool): the connection is not
   * limited in number nor delayed, and positions applied are not reported.
   */
  bool is_replication;
  /* request of a replica for the log */
  bool waits_for_log;
  bool waits_for_copy;   /* for the client's end of a COPY FROM STDIN */
  int64_t log_due_ms;    /* time by which it is answered */
  uint64_t log_position; /* the last entry that the replica has */
  uint64_t log_term;     /* of that entry */
  uint64_t replica_follow_term;
  char status; /* transaction status: I, T or E */
  bool read_only;
  GPtrArray *ops; /* of SsOp; changes of the open transaction */
  uint64_t last_reported_applied;
  uint64_t unreported_commit; /* position; 0: none */
  /* result of the last message */
  bool failed;
  char sqlstate[6];
  char tag[32];
  char *row[SS_SQL_SESSION_CELLS_MAX]; /* first row */
  uint32_t row_cells;
  uint64_t commit_position; /* position of the last message's commit; 0: none */
} SsSqlSession;

void ss_sql_session_init (SsSqlSession *session, SsServer *server);
void ss_sql_session_finish (SsSqlSession *session);

/* ss_sql_session_run: executes one simple query message.  Appends the response
 * to session->out.  If the session then waits for the log, the result of the
 * log request and ReadyForQuery are still missing from the response.
 */
void ss_sql_session_run (SsSqlSession *session, const char *text);
/* ss_sql_session_answer_log: answers a replica's request for the log, without
 * ReadyForQuery.  Returns false without an answer if replication is
 * partitioned, or if there are no new entries and the wait has not EXPIRED.
 */
bool ss_sql_session_answer_log (SsSqlSession *session, bool expired);
/* ss_sql_session_end_copy: ends COPY FROM STDIN with an error, and appends
 * ReadyForQuery.
 */
void ss_sql_session_end_copy (SsSqlSession *session);
/* ss_sql_session_put_ready: ends the response to a message: appends the changed
 * positions as ParameterStatus messages, and ReadyForQuery.
 */
void ss_sql_session_put_ready (SsSqlSession *session);
/* ss_sql_session_fail: appends an error response and aborts the open
 * transaction.
 */
void ss_sql_session_fail (SsSqlSession *session, const char *sqlstate,
                          const char *message);

#endif
