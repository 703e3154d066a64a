/* pqtarget: connections to targets through non-blocking libpq. */
#include <errno.h>
#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests.h"
#include "kernel/target_connections.h"
#include "plugins/pgwire.h"
#include "plugins/pqparams.h"

#define COMMIT_PARAMETER "sapphirestair.commit"
#define APPLIED_PARAMETER "sapphirestair.applied"

typedef struct
{
  SsTargetConnection base; /* first: callbacks cast to this struct */
  PGconn *pq;
  ev_io io;
  bool ready;
  bool busy;
  /* Of the response that is being read. */
  uint32_t results; /* number received so far */
  uint32_t skip_results;
  bool has_error;
  bool changes_session;
  bool copies_out; /* the target sends the rows of a COPY */
  char sqlstate[6];
  char *tag;
  SsPosition commit; /* the last commit position that was reported */
} TargetConnection;

static SsTargetConnections targets;

static void
finish_connection (SsTargetConnection *connection)
{
  TargetConnection *t = (TargetConnection *) connection;

  ev_io_stop (targets.runtime->loop, &t->io);
  g_free (t->tag);
  PQfinish (t->pq);
}

static void
report_closed (TargetConnection *t)
{
  const char *message = PQerrorMessage (t->pq);
  bool starting = !t->ready;
  SsEvent e = { 0 };

  e.target.refused
      = starting && strstr (message, strerror (ECONNREFUSED)) != NULL;
  if (starting && strstr (message, "too many clients"))
    e.target.sqlstate = SS_SQLSTATE_TOO_MANY_CONNECTIONS;
  ss_target_connection_closed (&t->base, &e);
}

static void
set_io_events (TargetConnection *t, int events)
{
  if (ev_is_active (&t->io) && t->io.events == events
      && t->io.fd == PQsocket (t->pq) && t->ready)
    return;
  ev_io_stop (targets.runtime->loop, &t->io);
  ev_io_set (&t->io, PQsocket (t->pq), events);
  ev_io_start (targets.runtime->loop, &t->io);
}

/* Sends what libpq has queued, and waits for the rest. */
static void
flush (TargetConnection *t)
{
  int left = PQflush (t->pq);

  set_io_events (t, left == 1 ? EV_READ | EV_WRITE : EV_READ);
}

/* --- responses --- */

static void
put_error (TargetConnection *t, const PGresult *r)
{
  const char *sqlstate = PQresultErrorField (r, PG_DIAG_SQLSTATE);

  t->has_error = true;
  g_strlcpy (t->sqlstate, sqlstate ? sqlstate : "XX000", sizeof t->sqlstate);
  ss_pgwire_error (t->base.wire, "ERROR", t->sqlstate,
                   PQresultErrorField (r, PG_DIAG_MESSAGE_PRIMARY)
                       ? PQresultErrorField (r, PG_DIAG_MESSAGE_PRIMARY)
                       : PQresultErrorMessage (r),
                   PQresultErrorField (r, PG_DIAG_MESSAGE_DETAIL),
                   PQresultErrorField (r, PG_DIAG_MESSAGE_HINT));
}

/* --- COPY, which the proxy does not pass on --- */

static void
put_unsupported (TargetConnection *t)
{
  t->has_error = true;
  /* The error is the last result that the caller gets. */
  t->skip_results = G_MAXUINT32;
  g_strlcpy (t->sqlstate, "0A000", sizeof t->sqlstate);
  ss_pgwire_error (t->base.wire, "ERROR", t->sqlstate,
                   "COPY TO STDOUT is not supported", NULL,
                   "Use SELECT instead.");
}

/* Drops the rows of a COPY that have arrived.  Returns false if more are to
 * come.
 */
static bool
drop_copied (TargetConnection *t)
{
  char *row = NULL;
  int bytes;

  while ((bytes = PQgetCopyData (t->pq, &row, 1)) > 0)
    PQfreemem (row);
  t->copies_out = bytes == 0;
  return !t->copies_out;
}

/* Begins a COPY if R is the first result of one: the target's next results come
 * after it.  The target reports the error of a COPY FROM STDIN itself.  Returns
 * false if R is of another kind.
 */
static bool
begin_copy (TargetConnection *t, const PGresult *r)
{
  switch (PQresultStatus (r))
    {
    case PGRES_COPY_IN:
      PQputCopyEnd (t->pq, "COPY FROM STDIN is not supported");
      flush (t);
      return true;
    case PGRES_COPY_OUT:
      put_unsupported (t);
      t->copies_out = true;
      return true;
    default:
      return false;
    }
}

static void
put_rows (TargetConnection *t, const PGresult *r)
{
  int columns = PQnfields (r);
  SsPgwireColumn *description = g_new (SsPgwireColumn, columns + 1);
  const char **cells = g_new (const char *, columns + 1);

  for (int i = 0; i < columns; i++)
    {
      description[i].name = PQfname (r, i);
      description[i].type_id = PQftype (r, i);
    }
  ss_pgwire_row_description (t->base.wire, description, (uint16_t) columns);
  for (int row = 0; row < PQntuples (r); row++)
    {
      for (int i = 0; i < columns; i++)
        cells[i] = PQgetisnull (r, row, i) ? NULL : PQgetvalue (r, row, i);
      ss_pgwire_row (t->base.wire, cells, (uint16_t) columns);
    }
  g_free (description);
  g_free (cells);
}

static void
keep_row (TargetConnection *t, const PGresult *r)
{
  if (PQntuples (r) < 1)
    return;
  for (int i = 0; i < PQnfields (r); i++)
    ss_target_connection_add_cell (&t->base, PQgetvalue (r, 0, i));
}

static void
put_result (TargetConnection *t, PGresult *r)
{
  switch (PQresultStatus (r))
    {
    case PGRES_TUPLES_OK:
      if (t->base.want_row)
        keep_row (t, r);
      put_rows (t, r);
      ss_pgwire_complete (t->base.wire, PQcmdStatus (r));
      break;
    case PGRES_COMMAND_OK:
      ss_pgwire_complete (t->base.wire, PQcmdStatus (r));
      break;
    case PGRES_EMPTY_QUERY:
      ss_pgwire_empty_query (t->base.wire);
      break;
    default:
      put_error (t, r);
      break;
    }
}

static void
handle_result (TargetConnection *t, PGresult *r)
{
  bool failed = PQresultStatus (r) == PGRES_FATAL_ERROR;

  t->results++;
  t->changes_session = t->changes_session
                       || ss_session_sql_tag_changes_session (PQcmdStatus (r));
  if (t->results <= t->skip_results && !failed)
    return;
  g_free (t->tag);
  t->tag = g_strdup (PQcmdStatus (r));
  put_result (t, r);
  if (t->base.wire->len <= SS_TARGET_RESPONSE_MAX_BYTES)
    return;
  g_byte_array_set_size (t->base.wire, 0);
  t->has_error = true;
  g_strlcpy (t->sqlstate, "54000", sizeof t->sqlstate);
  ss_pgwire_error (t->base.wire, "ERROR", t->sqlstate,
                   "the result is larger than 8 MiB", NULL, NULL);
}

static SsPosition
parameter_position (TargetConnection *t, const char *name)
{
  const char *text = PQparameterStatus (t->pq, name);
  SsPosition p = { 0, 0 };

  if (text)
    ss_position_parse (text, &p);
  return p;
}

static char
transaction_status (TargetConnection *t)
{
  switch (PQtransactionStatus (t->pq))
    {
    case PQTRANS_INTRANS:
      return 'T';
    case PQTRANS_INERROR:
      return 'E';
    default:
      return 'I';
    }
}

static void
report_result (TargetConnection *t)
{
  SsPosition commit = parameter_position (t, COMMIT_PARAMETER);
  SsTargetResult result = { 0 };
  char *tag = g_steal_pointer (&t->tag);
  char sqlstate[sizeof t->sqlstate];

  memcpy (sqlstate, t->sqlstate, sizeof sqlstate);
  result.ok = !t->has_error;
  result.transaction_status = transaction_status (t);
  result.sqlstate = sqlstate;
  result.tag = tag ? tag : "";
  result.changes_session = t->changes_session;
  result.applied = parameter_position (t, APPLIED_PARAMETER);
  /* The parameter keeps its value after the statement, so only a changed value
   * is a new commit.
   */
  if (ss_position_compare (commit, t->commit) != 0)
    result.commit = commit;
  t->commit = commit;
  t->busy = false;
  ss_target_connection_result (&t->base, &result);
  g_free (tag);
}

static void
read_response (TargetConnection *t)
{
  PGresult *r;

  if (!PQconsumeInput (t->pq))
    {
      report_closed (t);
      return;
    }
  while (t->busy && !PQisBusy (t->pq))
    {
      if (t->copies_out && !drop_copied (t))
        return;
      r = PQgetResult (t->pq);
      if (!r)
        {
          if (PQstatus (t->pq) == CONNECTION_BAD)
            report_closed (t);
          else
            report_result (t);
          return;
        }
      if (PQstatus (t->pq) != CONNECTION_BAD && !begin_copy (t, r))
        handle_result (t, r);
      PQclear (r);
    }
  if (PQstatus (t->pq) == CONNECTION_BAD)
    report_closed (t);
}

static void
poll_connect (TargetConnection *t)
{
  switch (PQconnectPoll (t->pq))
    {
    case PGRES_POLLING_READING:
      set_io_events (t, EV_READ);
      break;
    case PGRES_POLLING_WRITING:
      set_io_events (t, EV_WRITE);
      break;
    case PGRES_POLLING_OK:
      t->ready = true;
      PQsetnonblocking (t->pq, 1);
      set_io_events (t, EV_READ);
      ss_target_connection_ready (&t->base);
      break;
    default:
      report_closed (t);
      break;
    }
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  TargetConnection *t = w->data;

  (void) loop;
  if (!t->ready)
    {
      poll_connect (t);
      return;
    }
  if (events & EV_WRITE)
    flush (t);
  if (events & EV_READ)
    read_response (t);
}

/* --- actions --- */

static void
on_failed (SsTargetConnection *connection)
{
  report_closed ((TargetConnection *) connection);
}

static void
start_connection (SsTargetConnection *connection, const SsAction *a)
{
  TargetConnection *t = (TargetConnection *) connection;
  SsPqParams params;

  ss_pqparams_fill (&params, a->text, a->port);
  t->pq = PQconnectStartParams (params.names, params.values, 0);
  ev_io_init (&t->io, on_io, -1, EV_READ);
  t->io.data = t;
  if (PQstatus (t->pq) == CONNECTION_BAD)
    ss_target_connection_schedule_failure (connection);
  else
    set_io_events (t, EV_WRITE);
}

static void
send_query (SsTargetConnection *connection, const SsAction *a)
{
  TargetConnection *t = (TargetConnection *) connection;

  connection->wire = g_byte_array_new ();
  g_clear_pointer (&t->tag, g_free);
  t->results = 0;
  t->has_error = false;
  t->changes_session = false;
  t->copies_out = false;
  t->sqlstate[0] = 0;
  t->skip_results = a->skip_results;
  t->busy = true;
  if (PQsendQuery (t->pq, a->text))
    flush (t);
  else
    ss_target_connection_schedule_failure (connection);
}

static const SsTargetConnectionsClass klass
    = { sizeof (TargetConnection), start_connection, send_query, on_failed,
        finish_connection };

static void
on_action (SsRuntime *runtime, SsAction *a)
{
  (void) runtime;
  ss_target_connections_action (&targets, a);
}

static char *
init (SsRuntime *runtime)
{
  ss_target_connections_init (&targets, &klass, runtime);
  return NULL;
}

static void
finish (SsRuntime *runtime)
{
  (void) runtime;
  ss_target_connections_finish (&targets);
}

static const SsPlugin plugin = { .name = "pqtarget",
                                 .interface = SS_INTERFACE_POSTGRESQL,
                                 .handles = SS_TARGET_CONNECTIONS_HANDLES,
                                 .init = init,
                                 .finish = finish,
                                 .on_action = on_action };

SS_PLUGIN_REGISTER (plugin)
