/* ss-load: load generator and consistency checker.
 *
 * Callers write rows, read them back and reconnect to random entry VMs.  A
 * ledger records the reported outcome of each write; at the end it is compared
 * with the contents of the primary.  Connects only to the addresses given and
 * ends after a fixed time.  The last line of the output is one JSON object.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load.h"

#define RECONNECT_DELAY_MS 50
#define OP_TIMEOUT_MS 8000
#define DRAIN_TIMEOUT_MS 12000

Load load;

static void begin_op (Caller *c);
static void fail_op (Caller *c);
static void open_connection (Caller *c);

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

int64_t
load_now_ms (void)
{
  return now_us () / 1000;
}

bool
load_chance (int32_t percent)
{
  return g_rand_int_range (load.rand, 0, 100) < percent;
}

static bool
detail_contains (const Caller *c, const char *text)
{
  return strstr (c->detail, text) != NULL;
}

static void
start_timer (Caller *c, int64_t wait_ms)
{
  ev_timer_stop (load.loop, &c->timer);
  ev_timer_set (&c->timer, (double) MAX (wait_ms, 0) / 1000.0, 0);
  ev_timer_start (load.loop, &c->timer);
}

static void
close_connection (Caller *c)
{
  const char *token;

  if (!c->pq)
    return;
  token = PQparameterStatus (c->pq, "sapphirestair.token");
  if (token)
    {
      g_free (c->token);
      c->token = g_strdup (token);
      c->token_covers_ms = c->must_see_ms;
    }
  ev_io_stop (load.loop, &c->io);
  PQfinish (c->pq);
  c->pq = NULL;
}

static void
end_caller (Caller *c)
{
  c->done = true;
  close_connection (c);
  ev_timer_stop (load.loop, &c->timer);
  if (--load.live_callers == 0)
    ev_break (load.loop, EVBREAK_ALL);
}

static void
on_notice (void *data, const PGresult *r)
{
  Caller *c = data;
  const char *detail = PQresultErrorField (r, PG_DIAG_MESSAGE_DETAIL);

  if (detail && strstr (detail, "reason=stopping"))
    c->vm_stopping = true;
}

static void
send_step (Caller *c)
{
  if (c->vm_stopping)
    {
      close_connection (c);
      g_strlcpy (c->detail, "verdict=not_run reason=stopping",
                 sizeof c->detail);
      fail_op (c);
      return;
    }
  c->failed = false;
  c->statement_pending = true;
  c->rows = 0;
  c->value_matches = true;
  c->step_started_us = now_us ();
  load.ledger.statements++;
  if (!PQsendQuery (c->pq, c->steps[c->step]))
    c->failed = true;
  PQflush (c->pq);
}

static void
start_attempt (Caller *c)
{
  c->attempt_started_ms = load_now_ms ();
  c->step = 0;
  send_step (c);
}

static void
begin_op (Caller *c)
{
  if (load.stopping)
    {
      end_caller (c);
      return;
    }
  if (c->pq && load_chance (load.reconnect_percent))
    {
      close_connection (c);
      open_connection (c);
      return;
    }
  c->op_started_ms = load_now_ms ();
  load_choose_op (c);
  start_attempt (c);
}

static int32_t
think_ms (const Caller *c)
{
  return c->number < load.readers || load.writer_think_ms < 0
             ? load.think_ms
             : load.writer_think_ms;
}

static void
end_op (Caller *c)
{
  c->current_write = NULL;
  c->expected_write = NULL;
  if (load.stopping)
    end_caller (c);
  else
    start_timer (c, think_ms (c));
}

static void
check_read (Caller *c)
{
  load.ledger.reads++;
  if (!c->expected_write)
    return;
  if (c->rows == 0 && c->may_be_absent)
    return;
  if (c->rows == 0)
    load.ledger.stale++;
  if (c->rows > 1)
    load.ledger.read_doubled++;
  if (c->rows > 0 && !c->value_matches)
    load.ledger.crossed++;
  if (c->rows == 0)
    fprintf (stderr,
             "ss-load: stale: caller %d key %s op %d token %s "
             "age_ms %" G_GINT64_FORMAT "\n",
             c->number, c->expected_write->key, c->op,
             c->token ? c->token : "-",
             load_now_ms () - c->expected_write->acknowledged_ms);
}

static void
complete_op (Caller *c)
{
  load.ledger.acknowledged_ops++;
  if (load_is_write (c))
    {
      ss_ledger_acknowledge (&load.ledger, c->current_write, load_now_ms ());
      c->last_acknowledged = c->current_write;
    }
  end_op (c);
}

static int64_t
retry_after_ms (const Caller *c)
{
  const char *at = strstr (c->detail, "retry_after_ms=");
  int64_t wait_ms = at ? atoi (at + strlen ("retry_after_ms=")) : 0;

  return CLAMP (wait_ms, 5, 1000);
}

static bool
op_timed_out (const Caller *c)
{
  return load.stopping ? load_now_ms () > load.stop_ms + DRAIN_TIMEOUT_MS
                       : load_now_ms () - c->op_started_ms > OP_TIMEOUT_MS;
}

/* Retries a failed write if it did not run or has an idempotency key. */
static void
fail_write (Caller *c, bool not_run)
{
  bool safe = not_run || c->op == OP_WRITE_WITH_ID;

  ss_ledger_write_failed (&load.ledger, c->attempt_started_ms);
  if (!safe || op_timed_out (c))
    {
      /* An earlier attempt with the same idempotency key may have run. */
      c->current_write->outcome = not_run && c->op != OP_WRITE_WITH_ID
                                      ? SS_WRITE_NOT_RUN
                                      : SS_WRITE_UNKNOWN;
      end_op (c);
      return;
    }
  start_timer (c, retry_after_ms (c));
}

static void
fail_op (Caller *c)
{
  bool not_run = detail_contains (c, "verdict=not_run");

  ss_ledger_count_reason (&load.ledger, c->detail);
  if (not_run)
    load.ledger.not_run++;
  else
    load.ledger.may_have_run++;
  if (load_is_write (c))
    fail_write (c, not_run);
  else
    {
      /* The session still has the kind of the read, so it can't be reused for a
       * write.
       */
      close_connection (c);
      c->current_write = NULL;
      c->expected_write = NULL;
      if (load.stopping)
        end_caller (c);
      else
        start_timer (c, retry_after_ms (c));
    }
}

/* Closes the connection if a statement in a transaction failed: a ROLLBACK
 * would have no verdict of its own.
 */
static void
end_step (Caller *c)
{
  uint32_t latency_us = (uint32_t) (now_us () - c->step_started_us);

  g_array_append_val (load.ledger.latencies_us, latency_us);
  if (c->failed)
    {
      if (PQtransactionStatus (c->pq) != PQTRANS_IDLE)
        close_connection (c);
      fail_op (c);
      return;
    }
  if (!load_is_write (c) && c->step == 1)
    check_read (c);
  if (++c->step < c->step_count)
    send_step (c);
  else
    complete_op (c);
}

static void
take_result (Caller *c, PGresult *r)
{
  ExecStatusType status = PQresultStatus (r);

  if (status == PGRES_TUPLES_OK)
    {
      c->rows += PQntuples (r);
      for (int i = 0; c->expected_write && i < PQntuples (r); i++)
        if (strcmp (PQgetvalue (r, i, 0), c->expected_write->key) != 0)
          c->value_matches = false;
    }
  else if (status != PGRES_COMMAND_OK && status != PGRES_EMPTY_QUERY)
    {
      const char *sqlstate = PQresultErrorField (r, PG_DIAG_SQLSTATE);
      const char *detail = PQresultErrorField (r, PG_DIAG_MESSAGE_DETAIL);

      c->failed = true;
      g_strlcpy (c->sqlstate, sqlstate ? sqlstate : "", sizeof c->sqlstate);
      /* Without a DETAIL, the message may have the verdict.  If it has none
       * either, an SQLSTATE shows that the target rejected the statement, which
       * then did not run.
       */
      if (!detail)
        detail = strstr (PQresultErrorMessage (r), "verdict=");
      if (detail)
        g_strlcpy (c->detail, detail, sizeof c->detail);
      else
        g_snprintf (c->detail, sizeof c->detail, "%s reason=%s",
                    sqlstate ? "verdict=not_run" : "",
                    sqlstate ? sqlstate : "none");
    }
}

/* Handles the loss of the connection to the entry VM.  The pending operation
 * may have run, unless its COMMIT or its INSERT was not sent yet or the VM
 * reported that it is stopping.
 */
static void
on_connection_lost (Caller *c)
{
  bool was_pending = c->statement_pending;
  bool uncommitted = c->op == OP_TRANSACTION && c->step < c->step_count - 1;
  bool setting_id = c->op == OP_WRITE_WITH_ID && c->step == 0;

  bool stop_reported
      = strstr (PQerrorMessage (c->pq), "reason=stopping") != NULL;

  close_connection (c);
  c->statement_pending = false;
  c->detail[0] = 0;
  if (uncommitted || setting_id || stop_reported)
    g_strlcpy (c->detail, "verdict=not_run", sizeof c->detail);
  if (was_pending)
    fail_op (c);
  else if (load.stopping)
    end_caller (c);
  else
    start_timer (c, RECONNECT_DELAY_MS);
}

static void
read_results (Caller *c)
{
  if (!PQconsumeInput (c->pq))
    {
      on_connection_lost (c);
      return;
    }
  while (c->pq && !PQisBusy (c->pq))
    {
      PGresult *r = PQgetResult (c->pq);

      if (!r)
        {
          bool has_verdict = c->failed && detail_contains (c, "verdict=");

          /* A verdict is valid even if the connection closes after it. */
          if (PQstatus (c->pq) == CONNECTION_BAD && !has_verdict)
            on_connection_lost (c);
          else if (c->statement_pending)
            {
              c->statement_pending = false;
              end_step (c);
            }
          return;
        }
      take_result (c, r);
      PQclear (r);
    }
}

static void
on_connected (Caller *c)
{
  c->connecting = false;
  c->vm_stopping = false;
  PQsetNoticeReceiver (c->pq, on_notice, c);
  PQsetnonblocking (c->pq, 1);
  ev_io_stop (load.loop, &c->io);
  ev_io_set (&c->io, PQsocket (c->pq), EV_READ);
  ev_io_start (load.loop, &c->io);
  if (c->current_write)
    start_attempt (c);
  else
    begin_op (c);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  Caller *c = w->data;
  PostgresPollingStatusType poll;

  (void) loop;
  (void) events;
  if (!c->connecting)
    {
      read_results (c);
      return;
    }
  poll = PQconnectPoll (c->pq);
  if (poll == PGRES_POLLING_OK)
    {
      on_connected (c);
      return;
    }
  if (poll == PGRES_POLLING_FAILED)
    {
      load.ledger.refused_connections++;
      close_connection (c);
      if (load.stopping && op_timed_out (c))
        {
          if (c->current_write)
            c->current_write->outcome = SS_WRITE_UNKNOWN;
          end_caller (c);
        }
      else
        start_timer (c, RECONNECT_DELAY_MS);
      return;
    }
  ev_io_stop (load.loop, w);
  ev_io_set (w, PQsocket (c->pq),
             poll == PGRES_POLLING_WRITING ? EV_WRITE : EV_READ);
  ev_io_start (load.loop, w);
}

static void
open_connection (Caller *c)
{
  guint count = g_strv_length (load.entries);
  const char *entry
      = load.entries[g_rand_int_range (load.rand, 0, (gint32) count)];
  char **parts = g_strsplit (entry, ":", 2);
  bool sends_token = c->token && load_chance (load.token_percent);
  char *options
      = sends_token
            ? g_strdup_printf ("options='-c sapphirestair.token=%s'", c->token)
            : g_strdup ("");
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s dbname=%s user=c%d sslmode=disable "
      "gssencmode=disable connect_timeout=3 %s",
      parts[0], parts[1], load.service, load.identity ? c->number : 0, options);

  c->connecting = true;
  c->must_see_ms = sends_token ? c->token_covers_ms : load_now_ms ();
  c->pq = PQconnectStart (conninfo);
  g_free (conninfo);
  g_free (options);
  g_strfreev (parts);
  if (PQstatus (c->pq) == CONNECTION_BAD)
    {
      load.ledger.refused_connections++;
      PQfinish (c->pq);
      c->pq = NULL;
      start_timer (c, RECONNECT_DELAY_MS);
      return;
    }
  ev_io_init (&c->io, on_io, PQsocket (c->pq), EV_WRITE);
  c->io.data = c;
  ev_io_start (load.loop, &c->io);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  Caller *c = w->data;

  (void) loop;
  (void) events;
  if (c->done)
    return;
  if (!c->pq)
    open_connection (c);
  else if (c->current_write)
    start_attempt (c);
  else
    begin_op (c);
}

static void
on_stop (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) w;
  (void) events;
  load.stopping = true;
}

static void
on_overrun (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) w;
  (void) events;
  fprintf (stderr, "ss-load: %d callers did not finish in time\n",
           load.live_callers);
  ev_break (loop, EVBREAK_ALL);
}

static void
on_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void) loop;
  (void) w;
  (void) events;
  load.stopping = true;
}

static void
run_callers (void)
{
  Caller *callers = g_new0 (Caller, load.callers);
  ev_timer stop;
  ev_timer overrun;
  ev_signal on_int;
  ev_signal on_term;

  load.started_ms = load_now_ms ();
  load.stop_ms = load.started_ms + load.seconds * 1000;
  load.live_callers = load.callers;
  for (int32_t i = 0; i < load.callers; i++)
    {
      callers[i].number = i;
      ev_timer_init (&callers[i].timer, on_timer, 0, 0);
      callers[i].timer.data = &callers[i];
      start_timer (&callers[i], g_rand_int_range (load.rand, 0, 100));
    }
  ev_timer_init (&stop, on_stop, load.seconds, 0);
  ev_timer_start (load.loop, &stop);
  ev_timer_init (&overrun, on_overrun,
                 load.seconds + 2 * DRAIN_TIMEOUT_MS / 1000.0, 0);
  ev_timer_start (load.loop, &overrun);
  ev_signal_init (&on_int, on_signal, SIGINT);
  ev_signal_start (load.loop, &on_int);
  ev_signal_init (&on_term, on_signal, SIGTERM);
  ev_signal_start (load.loop, &on_term);
  ev_run (load.loop, 0);
  for (int32_t i = 0; i < load.callers; i++)
    {
      close_connection (&callers[i]);
      load_clear_steps (&callers[i]);
      g_free (callers[i].token);
    }
  g_free (callers);
}

int
main (int argc, char **argv)
{
  static int seed = 1;
  static int staleness_ms = 30000;
  static const GOptionEntry options[] = {
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.entries,
      "Address at which an entry vm accepts callers", "IP:PORT" },
    { "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.targets,
      "Address of a target, to compare its contents at the end", "IP:PORT" },
    { "admin", 0, 0, G_OPTION_ARG_STRING_ARRAY, &load.admins,
      "Address of a vm's admin API", "IP:PORT" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &load.service, "Service", "NAME" },
    { "callers", 0, 0, G_OPTION_ARG_INT, &load.callers, "Callers", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds, "Length", "S" },
    { "writes", 0, 0, G_OPTION_ARG_INT, &load.write_percent,
      "Share of writes in percent", "P" },
    { "ids", 0, 0, G_OPTION_ARG_INT, &load.id_percent,
      "Share of writes outside transactions that have an idempotency key",
      "P" },
    { "transactions", 0, 0, G_OPTION_ARG_INT, &load.transaction_percent,
      "Share of writes that are transactions of two rows", "P" },
    { "aged", 0, 0, G_OPTION_ARG_INT, &load.bounded_percent,
      "Share of reads with bounded staleness", "P" },
    { "aged-kind", 0, 0, G_OPTION_ARG_STRING, &load.bounded_kind,
      "Kind of the reads with bounded staleness", "NAME" },
    { "staleness-ms", 0, 0, G_OPTION_ARG_INT, &staleness_ms,
      "Staleness bound of these reads", "MS" },
    { "roam", 0, 0, G_OPTION_ARG_INT, &load.reconnect_percent,
      "Probability of a reconnect before an operation", "P" },
    { "tokens", 0, 0, G_OPTION_ARG_INT, &load.token_percent,
      "Share of reconnects that present the session token", "P" },
    { "think-ms", 0, 0, G_OPTION_ARG_INT, &load.think_ms,
      "Think time between operations", "MS" },
    { "readers", 0, 0, G_OPTION_ARG_INT, &load.readers,
      "Callers that never write", "N" },
    { "writer-think-ms", 0, 0, G_OPTION_ARG_INT, &load.writer_think_ms,
      "Think time of callers that write", "MS" },
    { "identity", 0, 0, G_OPTION_ARG_NONE, &load.identity,
      "Each caller has its own user name; reads are checked for its own "
      "writes only",
      NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- load generator and consistency checker");
  GError *error = NULL;
  bool compared;

  load.callers = 16;
  load.seconds = 5;
  load.write_percent = 20;
  load.id_percent = 50;
  load.transaction_percent = 20;
  load.bounded_percent = 50;
  load.reconnect_percent = 10;
  load.token_percent = 50;
  load.think_ms = 2;
  load.writer_think_ms = -1;
  load.bounded_kind = (char *) "report";
  load.service = "claims";
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !load.entries)
    {
      fprintf (stderr, "ss-load: %s\n",
               error ? error->message : "--entry is required");
      return 2;
    }
  load.staleness_ms = staleness_ms;
  load.rand = g_rand_new_with_seed ((guint32) seed);
  load.loop = ev_default_loop (0);
  ss_ledger_init (&load.ledger);
  run_callers ();
  compared = load_compare ();
  load_print_report (compared);
  ss_ledger_finish (&load.ledger);
  g_rand_free (load.rand);
  g_option_context_free (context);
  return 0;
}
