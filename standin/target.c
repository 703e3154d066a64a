/* ss-standin-target: one server of a stand-in database group.
 *
 * Speaks the simple query protocol of PostgreSQL.
 *
 * SELECT sapphirestair_control('NAME', N) injects faults.  "apply_lag_ms",
 * "connect_ms" and "slow_ms" delay the application of the log, connections and
 * queries, in milliseconds; "max_connections" limits connections; "cut" (0 or
 * 1) stops replication in both directions.
 *
 * The environment variable SS_STANDIN_LIE names a seeded defect (SS_DEFECTS).
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/stream.h"
#include "plugins/pgwire.h"
#include "standin/log_receiver.h"
#include "standin/session.h"

#define TICK_S 0.002

typedef struct Client Client;

typedef struct
{
  SsServer server;
  SsLogReceiver log_receiver;
  ev_io accept_io;
  ev_timer tick;
  GPtrArray *clients;
  uint32_t last_process_id;
} Target;

struct Client
{
  SsStream stream; /* must be first: callbacks cast it to Client */
  Target *target;
  ev_timer delay;
  uint32_t process_id;
  bool started;
  bool delayed;
  char *query; /* runs at the end of the delay; NULL: none */
  SsSqlSession sql;
};

static void
client_free (Client *c)
{
  ev_timer_stop (c->stream.loop, &c->delay);
  ss_stream_finish (&c->stream);
  ss_sql_session_finish (&c->sql);
  g_ptr_array_remove_fast (c->target->clients, c);
  g_free (c->query);
  g_free (c);
}

static GByteArray *
out (Client *c)
{
  return ss_stream_output (&c->stream);
}

static void
put_ready (Client *c)
{
  c->sql.out = out (c);
  ss_sql_session_put_ready (&c->sql);
}

/* Answers replicas whose requests for the log can be answered or have expired.
 */
static void
answer_waiting_replicas (Target *t, int64_t now_ms)
{
  for (guint i = 0; i < t->clients->len; i++)
    {
      Client *c = g_ptr_array_index (t->clients, i);

      if (!c->sql.waits_for_log)
        continue;
      c->sql.out = out (c);
      if (!ss_sql_session_answer_log (&c->sql, now_ms >= c->sql.log_due_ms))
        continue;
      c->sql.waits_for_log = false;
      put_ready (c);
      ss_stream_flush (&c->stream);
    }
}

static void
run_query (Client *c, const char *text)
{
  c->sql.out = out (c);
  ss_sql_session_run (&c->sql, text);
  if (c->sql.commit_position)
    answer_waiting_replicas (c->target, ss_server_now_ms (&c->target->server));
}

static void
finish_startup (Client *c)
{
  ss_pgwire_auth_ok (out (c));
  ss_pgwire_parameter (out (c), "server_version", "15.0");
  ss_pgwire_parameter (out (c), "client_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "standard_conforming_strings", "on");
  ss_pgwire_key_data (out (c), c->process_id, 1);
  put_ready (c);
  c->started = true;
}

static void handle_messages (Client *c);

static void
on_delay (struct ev_loop *loop, ev_timer *w, int events)
{
  Client *c = w->data;

  (void) loop;
  (void) events;
  c->delayed = false;
  if (!c->started)
    finish_startup (c);
  else if (c->query)
    {
      char *query = g_steal_pointer (&c->query);

      run_query (c, query);
      g_free (query);
    }
  ss_stream_flush (&c->stream);
  handle_messages (c);
}

static void
start_delay (Client *c, int64_t wait_ms)
{
  c->delayed = true;
  ev_timer_stop (c->stream.loop, &c->delay);
  ev_timer_set (&c->delay, (double) wait_ms / 1000.0, 0);
  ev_timer_start (c->stream.loop, &c->delay);
}

static int64_t
count_clients (const Target *t)
{
  int64_t count = 0;

  for (guint i = 0; i < t->clients->len; i++)
    {
      const Client *c = g_ptr_array_index (t->clients, i);

      count += c->sql.is_replication ? 0 : 1;
    }
  return count;
}

static void
handle_startup (Client *c, const SsPgwireMessage *m)
{
  const char *user = ss_pgwire_startup_value (m, "user");

  c->sql.is_replication = user && strcmp (user, "replication") == 0;
  if (count_clients (c->target) > c->target->server.max_connections
      && !c->sql.is_replication)
    {
      ss_pgwire_error (out (c), "FATAL", "53300",
                       "sorry, too many clients already", NULL, NULL);
      ss_stream_close_when_sent (&c->stream);
      return;
    }
  start_delay (c, c->sql.is_replication ? 0 : c->target->server.connect_ms);
}

static void
cancel_client (Client *c, const SsPgwireMessage *m)
{
  for (guint i = 0; i < c->target->clients->len; i++)
    {
      Client *other = g_ptr_array_index (c->target->clients, i);

      if (other->process_id != m->cancel_process || !other->query)
        continue;
      g_clear_pointer (&other->query, g_free);
      ev_timer_stop (other->stream.loop, &other->delay);
      other->delayed = false;
      other->sql.out = out (other);
      ss_sql_session_fail (&other->sql, "57014",
                           "canceling statement due to user request");
      put_ready (other);
      ss_stream_flush (&other->stream);
    }
}

/* Handles a message of COPY, which is the first one of the input. */
static void
handle_copy (Client *c)
{
  uint8_t type = c->stream.input->data[0];

  if (!c->sql.waits_for_copy || (type != 'f' && type != 'c'))
    return;
  c->sql.out = out (c);
  ss_sql_session_end_copy (&c->sql);
}

/* Returns false if it has freed the client. */
static bool
handle_message (Client *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_SSL_REQUEST:
      g_byte_array_append (out (c), (const uint8_t *) "N", 1);
      break;
    case SS_PGWIRE_STARTUP:
      handle_startup (c, m);
      break;
    case SS_PGWIRE_CANCEL:
      cancel_client (c, m);
      client_free (c);
      return false;
    case SS_PGWIRE_QUERY:
      if (c->target->server.slow_ms > 0 && !c->sql.is_replication
          && !strstr (m->text, "sapphirestair_control"))
        {
          c->query = g_strdup (m->text);
          start_delay (c, c->target->server.slow_ms);
        }
      else
        run_query (c, m->text);
      break;
    case SS_PGWIRE_IGNORED:
      handle_copy (c);
      break;
    case SS_PGWIRE_SYNC:
      put_ready (c);
      break;
    case SS_PGWIRE_EXTENDED:
      ss_pgwire_error (out (c), "ERROR", "0A000",
                       "the extended protocol is not supported", NULL, NULL);
      break;
    default:
      client_free (c);
      return false;
    }
  return true;
}

static void
handle_messages (Client *c)
{
  while (c->stream.input && !c->delayed && !c->sql.waits_for_log)
    {
      SsPgwireMessage m = ss_pgwire_read (c->stream.input->data,
                                          c->stream.input->len, !c->started);

      if (m.kind == SS_PGWIRE_NONE)
        break;
      if (!handle_message (c, &m))
        return;
      ss_stream_consume (&c->stream, m.used_bytes);
    }
  ss_stream_flush (&c->stream);
}

static void
on_input (SsStream *stream)
{
  handle_messages ((Client *) stream);
}

static void
on_closed (SsStream *stream)
{
  client_free ((Client *) stream);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL, NULL };
  Target *t = w->data;
  int fd = ss_stream_accept (w->fd, NULL);
  Client *c;

  (void) events;
  if (fd < 0)
    return;
  c = g_new0 (Client, 1);
  ss_stream_init (&c->stream, &klass, loop, fd, false);
  ev_timer_init (&c->delay, on_delay, 0, 0);
  c->delay.data = c;
  c->target = t;
  ss_sql_session_init (&c->sql, &t->server);
  c->process_id = ++t->last_process_id;
  g_ptr_array_add (t->clients, c);
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  Target *t = w->data;
  int64_t now_ms = ss_server_now_ms (&t->server);

  (void) loop;
  (void) events;
  ss_server_tick (&t->server);
  ss_log_receiver_tick (&t->log_receiver);
  answer_waiting_replicas (t, now_ms);
}

static void
on_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void) w;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  static Target target;
  static ev_signal on_term;
  static ev_signal on_int;
  struct ev_loop *loop = ev_default_loop (0);
  const char *defect = getenv ("SS_STANDIN_LIE");
  int fd;

  if (argc < 4)
    {
      fprintf (stderr, "usage: ss-standin-target NAME IP PORT [DATA-FILE]\n");
      return 2;
    }
  ss_server_init (&target.server, ss_clock_monotonic (),
                  argc > 4 ? argv[4] : NULL);
  if (defect && !ss_server_set_defect (&target.server, defect))
    {
      fprintf (stderr, "ss-standin-target: unknown SS_STANDIN_LIE value: %s\n",
               defect);
      return 2;
    }
  ss_log_receiver_init (&target.log_receiver, loop, &target.server);
  target.clients = g_ptr_array_new ();
  fd = ss_stream_listen (argv[2], (uint16_t) atoi (argv[3]));
  if (fd < 0)
    {
      perror ("ss-standin-target: listen");
      return 1;
    }
  ev_io_init (&target.accept_io, on_accept, fd, EV_READ);
  target.accept_io.data = &target;
  ev_io_start (loop, &target.accept_io);
  ev_timer_init (&target.tick, on_tick, TICK_S, TICK_S);
  target.tick.data = &target;
  ev_timer_start (loop, &target.tick);
  ev_signal_init (&on_term, on_signal, SIGTERM);
  ev_signal_start (loop, &on_term);
  ev_signal_init (&on_int, on_signal, SIGINT);
  ev_signal_start (loop, &on_int);
  ev_run (loop, 0);
  return 0;
}
