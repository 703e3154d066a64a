/* pqtarget: connections to targets, by libpq without blocking. */
#include <errno.h>
#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/plugin.h"
#include "plugins/pgwire.h"

#define ROW_CELLS_MAX 16
#define WIRE_MAX_BYTES (8 * 1024 * 1024)
#define COMMIT_PARAMETER "sapphirestair.commit"
#define APPLIED_PARAMETER "sapphirestair.applied"
#define TOO_MANY_CONNECTIONS "53300"

typedef struct
{
  uint64_t id;
  PGconn *pq;
  ev_io io;
  ev_timer failed; /* reports a start that failed at once */
  bool ready;
  bool busy;
  /* the answer that is being read */
  GByteArray *wire;
  uint32_t results;
  uint32_t skip_results;
  bool want_row;
  bool has_error;
  char sqlstate[6];
  char *tag;
  char *row[ROW_CELLS_MAX];
  uint32_t row_cells;
  SsPosition commit; /* last one reported */
} Target;

static struct
{
  SsShell *shell;
  GHashTable *targets; /* id -> Target */
} pool;

static void
clear_answer (Target *t)
{
  g_clear_pointer (&t->wire, g_byte_array_unref);
  g_clear_pointer (&t->tag, g_free);
  for (uint32_t i = 0; i < t->row_cells; i++)
    g_free (t->row[i]);
  t->row_cells = 0;
  t->results = 0;
  t->has_error = false;
  t->sqlstate[0] = 0;
}

static void
free_target (Target *t)
{
  ev_io_stop (pool.shell->loop, &t->io);
  ev_timer_stop (pool.shell->loop, &t->failed);
  g_hash_table_remove (pool.targets, &t->id);
  clear_answer (t);
  PQfinish (t->pq);
  g_free (t);
}

static void
report_closed (Target *t)
{
  const char *message = PQerrorMessage (t->pq);
  bool starting = !t->ready;
  SsEvent e = { .kind = SS_EVENT_TARGET_CLOSED };

  e.target.connection = t->id;
  e.target.refused
      = starting && strstr (message, strerror (ECONNREFUSED)) != NULL;
  if (starting && strstr (message, "too many clients"))
    e.target.sqlstate = TOO_MANY_CONNECTIONS;
  free_target (t);
  ss_shell_event (pool.shell, &e);
}

static void
watch (Target *t, int events)
{
  if (ev_is_active (&t->io) && t->io.events == events
      && t->io.fd == PQsocket (t->pq) && t->ready)
    return;
  ev_io_stop (pool.shell->loop, &t->io);
  ev_io_set (&t->io, PQsocket (t->pq), events);
  ev_io_start (pool.shell->loop, &t->io);
}

/* --- answers --- */

static void
put_error (Target *t, const PGresult *r)
{
  const char *sqlstate = PQresultErrorField (r, PG_DIAG_SQLSTATE);

  t->has_error = true;
  g_strlcpy (t->sqlstate, sqlstate ? sqlstate : "XX000", sizeof t->sqlstate);
  ss_pgwire_error (t->wire, "ERROR", t->sqlstate,
                   PQresultErrorField (r, PG_DIAG_MESSAGE_PRIMARY)
                       ? PQresultErrorField (r, PG_DIAG_MESSAGE_PRIMARY)
                       : PQresultErrorMessage (r),
                   PQresultErrorField (r, PG_DIAG_MESSAGE_DETAIL),
                   PQresultErrorField (r, PG_DIAG_MESSAGE_HINT));
}

static void
put_rows (Target *t, const PGresult *r)
{
  int columns = PQnfields (r);
  SsPgwireColumn *description = g_new (SsPgwireColumn, columns + 1);
  const char **cells = g_new (const char *, columns + 1);

  for (int i = 0; i < columns; i++)
    {
      description[i].name = PQfname (r, i);
      description[i].type_id = PQftype (r, i);
    }
  ss_pgwire_row_description (t->wire, description, (uint16_t) columns);
  for (int row = 0; row < PQntuples (r); row++)
    {
      for (int i = 0; i < columns; i++)
        cells[i] = PQgetisnull (r, row, i) ? NULL : PQgetvalue (r, row, i);
      ss_pgwire_row (t->wire, cells, (uint16_t) columns);
    }
  g_free (description);
  g_free (cells);
}

static void
keep_row (Target *t, const PGresult *r)
{
  if (PQntuples (r) < 1)
    return;
  for (int i = 0; i < PQnfields (r) && t->row_cells < ROW_CELLS_MAX; i++)
    t->row[t->row_cells++] = g_strdup (PQgetvalue (r, 0, i));
}

static void
put_result (Target *t, PGresult *r)
{
  switch (PQresultStatus (r))
    {
    case PGRES_TUPLES_OK:
      if (t->want_row)
        keep_row (t, r);
      put_rows (t, r);
      ss_pgwire_complete (t->wire, PQcmdStatus (r));
      break;
    case PGRES_COMMAND_OK:
      ss_pgwire_complete (t->wire, PQcmdStatus (r));
      break;
    case PGRES_EMPTY_QUERY:
      ss_pgwire_empty_query (t->wire);
      break;
    default:
      put_error (t, r);
      break;
    }
}

static void
take_result (Target *t, PGresult *r)
{
  bool failed = PQresultStatus (r) == PGRES_FATAL_ERROR;

  t->results++;
  if (t->results <= t->skip_results && !failed)
    return;
  g_free (t->tag);
  t->tag = g_strdup (PQcmdStatus (r));
  put_result (t, r);
  if (t->wire->len <= WIRE_MAX_BYTES)
    return;
  g_byte_array_set_size (t->wire, 0);
  t->has_error = true;
  g_strlcpy (t->sqlstate, "54000", sizeof t->sqlstate);
  ss_pgwire_error (t->wire, "ERROR", t->sqlstate,
                   "the result is larger than 8 MiB", NULL, NULL);
}

static SsPosition
parameter_position (Target *t, const char *name)
{
  const char *text = PQparameterStatus (t->pq, name);
  SsPosition p = { 0, 0 };

  if (text)
    ss_position_parse (text, &p);
  return p;
}

static char
transaction_status (Target *t)
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
report_result (Target *t)
{
  SsPosition commit = parameter_position (t, COMMIT_PARAMETER);
  SsTargetResult result = { 0 };
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  Target answer = *t;

  result.ok = !t->has_error;
  result.transaction_status = transaction_status (t);
  result.sqlstate = answer.sqlstate;
  result.wire = g_byte_array_free_to_bytes (g_steal_pointer (&t->wire));
  result.tag = t->tag ? t->tag : "";
  result.applied = parameter_position (t, APPLIED_PARAMETER);
  /* The parameter stays after its statement: only a new value counts. */
  if (ss_position_compare (commit, t->commit) != 0)
    result.commit = commit;
  t->commit = commit;
  result.row = t->row_cells ? (const char *const *) answer.row : NULL;
  result.row_cells = t->row_cells;
  e.target_result.connection = t->id;
  e.target_result.result = &result;
  /* The core may use or close the connection: its answer is kept aside. */
  t->tag = NULL;
  t->row_cells = 0;
  t->busy = false;
  clear_answer (t);
  ss_shell_event (pool.shell, &e);
  answer.wire = NULL;
  clear_answer (&answer);
  g_bytes_unref (result.wire);
}

static void
read_answer (Target *t)
{
  PGresult *r;

  if (!PQconsumeInput (t->pq))
    {
      report_closed (t);
      return;
    }
  while (t->busy && !PQisBusy (t->pq))
    {
      r = PQgetResult (t->pq);
      if (!r)
        {
          if (PQstatus (t->pq) == CONNECTION_BAD)
            report_closed (t);
          else
            report_result (t);
          return;
        }
      if (PQstatus (t->pq) != CONNECTION_BAD)
        take_result (t, r);
      PQclear (r);
    }
  if (PQstatus (t->pq) == CONNECTION_BAD)
    report_closed (t);
}

static void
flush (Target *t)
{
  int left = PQflush (t->pq);

  watch (t, left == 1 ? EV_READ | EV_WRITE : EV_READ);
}

static void
poll_start (Target *t)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  switch (PQconnectPoll (t->pq))
    {
    case PGRES_POLLING_READING:
      watch (t, EV_READ);
      break;
    case PGRES_POLLING_WRITING:
      watch (t, EV_WRITE);
      break;
    case PGRES_POLLING_OK:
      t->ready = true;
      PQsetnonblocking (t->pq, 1);
      watch (t, EV_READ);
      e.target.connection = t->id;
      ss_shell_event (pool.shell, &e);
      break;
    default:
      report_closed (t);
      break;
    }
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  Target *t = w->data;

  (void) loop;
  if (!t->ready)
    {
      poll_start (t);
      return;
    }
  if (events & EV_WRITE)
    flush (t);
  if (events & EV_READ)
    read_answer (t);
}

static void
on_failed (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  report_closed (w->data);
}

/* --- actions --- */

static void
connect_target (SsAction *a)
{
  Target *t = g_new0 (Target, 1);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%u dbname=sapphirestair user=sapphirestair "
      "sslmode=disable gssencmode=disable application_name=sapphirestair",
      a->text, a->port);

  t->id = a->id;
  t->pq = PQconnectStart (conninfo);
  g_free (conninfo);
  g_hash_table_insert (pool.targets, &t->id, t);
  ev_io_init (&t->io, on_io, -1, EV_READ);
  t->io.data = t;
  ev_timer_init (&t->failed, on_failed, 0, 0);
  t->failed.data = t;
  if (PQstatus (t->pq) == CONNECTION_BAD)
    ev_timer_start (pool.shell->loop, &t->failed);
  else
    watch (t, EV_WRITE);
}

static void
query_target (Target *t, SsAction *a)
{
  clear_answer (t);
  t->wire = g_byte_array_new ();
  t->skip_results = a->skip_results;
  t->want_row = a->want_row;
  t->busy = true;
  if (PQsendQuery (t->pq, a->text))
    flush (t);
  else
    ev_timer_start (pool.shell->loop, &t->failed);
}

static void
on_action (SsShell *shell, SsAction *a)
{
  Target *t = g_hash_table_lookup (pool.targets, &a->id);

  (void) shell;
  if (a->kind == SS_ACTION_TARGET_CONNECT)
    connect_target (a);
  else if (t && a->kind == SS_ACTION_TARGET_QUERY)
    query_target (t, a);
  else if (t && a->kind == SS_ACTION_TARGET_CLOSE)
    free_target (t);
}

static char *
init (SsShell *shell)
{
  pool.shell = shell;
  pool.targets = g_hash_table_new (g_int64_hash, g_int64_equal);
  return NULL;
}

static void
finish (SsShell *shell)
{
  GList *targets;

  (void) shell;
  if (!pool.targets)
    return;
  targets = g_hash_table_get_values (pool.targets);
  for (GList *l = targets; l; l = l->next)
    free_target (l->data);
  g_list_free (targets);
  g_hash_table_destroy (pool.targets);
}

static const SsPlugin plugin
    = { .name = "pqtarget",
        .interface = SS_INTERFACE_POSTGRESQL,
        .handles = SS_HANDLES (TARGET_CONNECT) | SS_HANDLES (TARGET_QUERY)
                   | SS_HANDLES (TARGET_CLOSE),
        .init = init,
        .finish = finish,
        .on_action = on_action };

SS_PLUGIN_REGISTER (plugin)
