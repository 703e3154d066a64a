/* ss-bench: throughput and latency of one statement on many connections.
 *
 * Closed loop by default.  With --rate, an open loop: statements arrive at a
 * constant rate, however long the answers take.  With --idle, it only opens
 * connections and holds them.  Ends after a fixed time and prints one JSON
 * object.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/ledger.h"

#define PENDING_CONNECTS_MAX 64
#define ARRIVAL_INTERVAL_S 0.002

typedef struct
{
  PGconn *pq;
  ev_io io;
  bool connecting;
  bool busy;
  int64_t sent_us;
  bool failed;
} Conn;

static struct
{
  struct ev_loop *loop;
  char *address;
  char *database;
  char *options;
  char *sql;
  int callers;
  int seconds;
  int rate;
  gboolean idle;
  int pid; /* process whose memory is reported; 0: none */
  Conn *conns;
  GQueue idle_conns;
  int opened;
  int ready;
  int64_t started_us;
  uint64_t completed;
  uint64_t refused;
  uint64_t dropped;    /* arrivals while no connection was idle */
  double due_arrivals; /* a fraction carries over to the next interval */
  SsLedger ledger;     /* only its latencies are used */
  GArray *refusal_latencies_us;
  int64_t memory_before_kb;
  bool running;
} bench;

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

static int64_t
resident_kb (void)
{
  char *path = g_strdup_printf ("/proc/%d/status", bench.pid);
  char *text = NULL;
  const char *at;
  int64_t kb = 0;

  if (bench.pid && g_file_get_contents (path, &text, NULL, NULL))
    {
      at = strstr (text, "VmRSS:");
      kb = at ? g_ascii_strtoll (at + strlen ("VmRSS:"), NULL, 10) : 0;
    }
  g_free (text);
  g_free (path);
  return kb;
}

static void open_next_connection (void);

static void
send_statement (Conn *c)
{
  c->busy = true;
  c->failed = false;
  c->sent_us = now_us ();
  if (!PQsendQuery (c->pq, bench.sql))
    {
      fprintf (stderr, "ss-bench: %s", PQerrorMessage (c->pq));
      exit (1);
    }
  PQflush (c->pq);
}

static void
end_statement (Conn *c)
{
  uint32_t latency_us = (uint32_t) (now_us () - c->sent_us);

  c->busy = false;
  if (c->failed)
    {
      bench.refused++;
      g_array_append_val (bench.refusal_latencies_us, latency_us);
    }
  else
    {
      bench.completed++;
      g_array_append_val (bench.ledger.latencies_us, latency_us);
    }
  if (bench.rate)
    g_queue_push_tail (&bench.idle_conns, c);
  else if (bench.running)
    send_statement (c);
}

static void
read_answer (Conn *c)
{
  PGresult *r;

  if (!PQconsumeInput (c->pq))
    {
      fprintf (stderr, "ss-bench: connection lost\n");
      ev_io_stop (bench.loop, &c->io);
      return;
    }
  while (c->busy && !PQisBusy (c->pq))
    {
      r = PQgetResult (c->pq);
      if (!r)
        {
          end_statement (c);
          return;
        }
      if (PQresultStatus (r) != PGRES_TUPLES_OK
          && PQresultStatus (r) != PGRES_COMMAND_OK)
        c->failed = true;
      PQclear (r);
    }
}

static void
start_measurement (void)
{
  bench.running = true;
  bench.started_us = now_us ();
  for (int i = 0; i < bench.callers; i++)
    {
      if (bench.rate)
        g_queue_push_tail (&bench.idle_conns, &bench.conns[i]);
      else if (!bench.idle)
        send_statement (&bench.conns[i]);
    }
}

static void
on_stop (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) w;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

static void
on_connected (Conn *c)
{
  static ev_timer stop;

  c->connecting = false;
  ev_io_stop (bench.loop, &c->io);
  ev_io_set (&c->io, PQsocket (c->pq), EV_READ);
  ev_io_start (bench.loop, &c->io);
  bench.ready++;
  if (bench.opened < bench.callers)
    open_next_connection ();
  if (bench.ready < bench.callers)
    return;
  ev_timer_init (&stop, on_stop, bench.seconds, 0);
  ev_timer_start (bench.loop, &stop);
  start_measurement ();
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  Conn *c = w->data;
  PostgresPollingStatusType poll;

  (void) loop;
  (void) events;
  if (!c->connecting)
    {
      read_answer (c);
      return;
    }
  poll = PQconnectPoll (c->pq);
  if (poll == PGRES_POLLING_FAILED)
    {
      fprintf (stderr, "ss-bench: %s", PQerrorMessage (c->pq));
      exit (1);
    }
  if (poll == PGRES_POLLING_OK)
    {
      on_connected (c);
      return;
    }
  ev_io_stop (bench.loop, w);
  ev_io_set (w, PQsocket (c->pq),
             poll == PGRES_POLLING_WRITING ? EV_WRITE : EV_READ);
  ev_io_start (bench.loop, w);
}

static void
open_next_connection (void)
{
  Conn *c = &bench.conns[bench.opened++];
  char **parts = g_strsplit (bench.address, ":", 2);
  char *conninfo = g_strdup_printf (
      "hostaddr=%s port=%s dbname=%s user=bench sslmode=disable "
      "gssencmode=disable options='%s'",
      parts[0], parts[1], bench.database, bench.options);

  c->connecting = true;
  c->pq = PQconnectStart (conninfo);
  ev_io_init (&c->io, on_io, PQsocket (c->pq), EV_WRITE);
  c->io.data = c;
  ev_io_start (bench.loop, &c->io);
  g_free (conninfo);
  g_strfreev (parts);
}

static void
on_arrivals (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) w;
  (void) events;
  if (!bench.running)
    return;
  for (bench.due_arrivals += bench.rate * ARRIVAL_INTERVAL_S;
       bench.due_arrivals >= 1; bench.due_arrivals--)
    {
      Conn *c = g_queue_pop_head (&bench.idle_conns);

      if (c)
        send_statement (c);
      else
        bench.dropped++;
    }
}

static void
print_report (void)
{
  double seconds = (double) (now_us () - bench.started_us) / 1e6;
  SsLedger refusals = { .latencies_us = bench.refusal_latencies_us };
  int64_t growth_kb = resident_kb () - bench.memory_before_kb;
  json_t *json
      = json_pack ("{s:i, s:f, s:f, s:f, s:f, s:I, s:f, s:f, s:I, s:f}",
                   "callers", bench.callers, "seconds", seconds,
                   "completed_per_s", (double) bench.completed / seconds,
                   "p50_ms", ss_ledger_latency_ms (&bench.ledger, 0.5),
                   "p99_ms", ss_ledger_latency_ms (&bench.ledger, 0.99),
                   "refused", (json_int_t) bench.refused, "refusal_p50_ms",
                   ss_ledger_latency_ms (&refusals, 0.5), "refusal_p99_ms",
                   ss_ledger_latency_ms (&refusals, 0.99), "dropped",
                   (json_int_t) bench.dropped, "memory_bytes_per_connection",
                   bench.pid ? (double) growth_kb * 1024 / bench.callers : 0.0);
  char *text = json_dumps (json, JSON_COMPACT | JSON_REAL_PRECISION (5)
                                     | JSON_PRESERVE_ORDER);

  puts (text);
  free (text);
  json_decref (json);
}

int
main (int argc, char **argv)
{
  static const GOptionEntry entries[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &bench.address, "Address",
      "IP:PORT" },
    { "database", 0, 0, G_OPTION_ARG_STRING, &bench.database, "Service",
      "NAME" },
    { "options", 0, 0, G_OPTION_ARG_STRING, &bench.options,
      "Session settings, as the libpq option \"options\"", "TEXT" },
    { "sql", 0, 0, G_OPTION_ARG_STRING, &bench.sql, "Statement", "SQL" },
    { "callers", 0, 0, G_OPTION_ARG_INT, &bench.callers, "Connections", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &bench.seconds, "Length", "S" },
    { "rate", 0, 0, G_OPTION_ARG_INT, &bench.rate,
      "Statements per second (open loop)", "N" },
    { "idle", 0, 0, G_OPTION_ARG_NONE, &bench.idle,
      "Only hold idle connections", NULL },
    { "pid", 0, 0, G_OPTION_ARG_INT, &bench.pid,
      "Process whose memory is reported", "PID" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- throughput and latency of one statement");
  GError *error = NULL;
  ev_timer arrivals;

  bench.database = (char *) "claims";
  bench.options = (char *) "";
  bench.sql = (char *) "SELECT 1";
  bench.callers = 64;
  bench.seconds = 3;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || !bench.address)
    {
      fprintf (stderr, "ss-bench: %s\n",
               error ? error->message : "--address is required");
      return 2;
    }
  bench.loop = ev_default_loop (0);
  bench.conns = g_new0 (Conn, bench.callers);
  bench.refusal_latencies_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_queue_init (&bench.idle_conns);
  ss_ledger_init (&bench.ledger);
  bench.memory_before_kb = resident_kb ();
  ev_timer_init (&arrivals, on_arrivals, ARRIVAL_INTERVAL_S,
                 ARRIVAL_INTERVAL_S);
  if (bench.rate)
    ev_timer_start (bench.loop, &arrivals);
  for (int i = 0; i < PENDING_CONNECTS_MAX && i < bench.callers; i++)
    open_next_connection ();
  ev_run (bench.loop, 0);
  print_report ();
  return 0;
}
