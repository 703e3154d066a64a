/* ss-standin-target: one server of a stand-in database group.
 *
 * It speaks the PostgreSQL protocol.  SELECT sapphirestair_control('NAME', N)
 * sets its faults: apply_lag_ms, connect_ms, slow_ms, max_connections, cut.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/stream.h"
#include "plugins/pgwire.h"
#include "standin/server.h"
#include "standin/sql.h"

#define TICK_S 0.002

typedef struct Client Client;

typedef struct
{
  SsServer server;
  ev_io accept_io;
  ev_timer tick;
  GPtrArray *clients;
  uint32_t next_process;
} Target;

struct Client
{
  SsStream stream; /* first: callbacks cast back */
  Target *target;
  ev_timer delay;
  uint32_t process;
  bool started;
  bool is_link; /* a replica's link does not count */
  bool delayed;
  bool waits_for_log;
  int64_t log_due_ms;
  uint64_t log_position;
  uint64_t log_term;
  uint64_t link_term;
  char status; /* transaction status: I, T or E */
  bool read_only;
  GPtrArray *ops; /* of the open transaction */
  char *query;    /* delayed */
  uint64_t shown_applied;
  uint64_t shown_commit;
  bool skip_to_sync;
};

static GByteArray *
out (Client *c)
{
  return ss_stream_output (&c->stream);
}

static void
fail (Client *c, const char *sqlstate, const char *message)
{
  ss_pgwire_error (out (c), "ERROR", sqlstate, message, NULL, NULL);
  c->status = c->status == 'I' ? 'I' : 'E';
  g_ptr_array_set_size (c->ops, 0);
}

static void
client_free (Client *c)
{
  ev_timer_stop (c->stream.loop, &c->delay);
  ss_stream_finish (&c->stream);
  g_ptr_array_remove_fast (c->target->clients, c);
  g_ptr_array_free (c->ops, TRUE);
  g_free (c->query);
  g_free (c);
}

static bool
key_is_pending (Client *c, const char *key)
{
  for (guint i = 0; i < c->target->clients->len; i++)
    {
      Client *other = g_ptr_array_index (c->target->clients, i);

      for (guint j = 0; j < other->ops->len; j++)
        {
          const SsOp *op = g_ptr_array_index (other->ops, j);

          if (op->kind == SS_OP_INSERT && strcmp (op->key, key) == 0
              && strcmp (op->table, SS_STORE_UNIQUE_TABLE) == 0)
            return true;
        }
    }
  return false;
}

static bool
write_allowed (Client *c)
{
  if (c->target->server.role == SS_ROLE_PRIMARY && !c->read_only)
    return true;
  fail (c, "25006", "cannot write: the server or transaction is read-only");
  return false;
}

static void
add_op (Client *c, SsOpKind kind, const SsSql *q)
{
  SsOp *op = g_new0 (SsOp, 1);

  op->kind = kind;
  op->table = g_strdup (q->name);
  op->key = g_strdup (q->key);
  op->value = g_strdup (q->value);
  g_ptr_array_add (c->ops, op);
}

static bool
run_insert (Client *c, const SsSql *q)
{
  if (!write_allowed (c))
    return false;
  if (strcmp (q->name, SS_STORE_UNIQUE_TABLE) == 0)
    {
      if (ss_store_values (&c->target->server.store, q->name, q->key))
        {
          fail (c, "23505", "duplicate key value in sapphirestair_requests");
          return false;
        }
      if (key_is_pending (c, q->key))
        {
          fail (c, "55P03", "the key is locked by another transaction");
          return false;
        }
    }
  add_op (c, SS_OP_INSERT, q);
  ss_pgwire_complete (out (c), "INSERT 0 1");
  return true;
}

/* The values of KEY as the transaction sees them. */
static GPtrArray *
visible_values (Client *c, const char *table, const char *key)
{
  const GPtrArray *stored
      = ss_store_values (&c->target->server.store, table, key);
  GPtrArray *values = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; stored && i < stored->len; i++)
    g_ptr_array_add (values, g_strdup (g_ptr_array_index (stored, i)));
  for (guint i = 0; i < c->ops->len; i++)
    {
      const SsOp *op = g_ptr_array_index (c->ops, i);

      if (strcmp (op->table, table) != 0 || strcmp (op->key, key) != 0)
        continue;
      if (op->kind == SS_OP_INSERT)
        g_ptr_array_add (values, g_strdup (op->value));
      for (guint j = 0; op->kind == SS_OP_UPDATE && j < values->len; j++)
        {
          g_free (values->pdata[j]);
          values->pdata[j] = g_strdup (op->value);
        }
    }
  return values;
}

static bool
run_update (Client *c, const SsSql *q)
{
  GPtrArray *values;
  char tag[32];

  if (!write_allowed (c))
    return false;
  if (!q->key)
    {
      fail (c, "0A000", "UPDATE needs WHERE key = ...");
      return false;
    }
  values = visible_values (c, q->name, q->key);
  if (values->len)
    add_op (c, SS_OP_UPDATE, q);
  g_snprintf (tag, sizeof tag, "UPDATE %u", values->len);
  ss_pgwire_complete (out (c), tag);
  g_ptr_array_free (values, TRUE);
  return true;
}

static void
put_rows (Client *c, const SsSql *q, const char *key, uint64_t *rows)
{
  GPtrArray *values = visible_values (c, q->name, key);

  for (guint i = 0; i < values->len; i++)
    {
      const char *cells[2] = { key, g_ptr_array_index (values, i) };

      if (q->columns == SS_SQL_KEY_VALUE)
        ss_pgwire_row (out (c), cells, 2);
      else if (q->columns == SS_SQL_VALUE)
        ss_pgwire_row (out (c), cells + 1, 1);
    }
  *rows += values->len;
  g_ptr_array_free (values, TRUE);
}

static void
run_select (Client *c, const SsSql *q)
{
  static const char *const key_value[] = { "key", "value" };
  static const char *const value[] = { "value" };
  static const char *const count[] = { "count" };
  GHashTable *table = ss_store_table (&c->target->server.store, q->name);
  uint64_t rows = 0;
  char text[48];
  const char *cell = text;

  if (q->columns == SS_SQL_KEY_VALUE)
    ss_pgwire_text_columns (out (c), key_value, 2);
  else
    ss_pgwire_text_columns (out (c),
                            q->columns == SS_SQL_VALUE ? value : count, 1);
  if (q->key)
    put_rows (c, q, q->key, &rows);
  else if (table)
    {
      GHashTableIter iter;
      gpointer key;

      g_hash_table_iter_init (&iter, table);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        put_rows (c, q, key, &rows);
    }
  if (q->columns == SS_SQL_COUNT)
    {
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, rows);
      ss_pgwire_row (out (c), &cell, 1);
      rows = 1;
    }
  g_snprintf (text, sizeof text, "SELECT %" G_GUINT64_FORMAT, rows);
  ss_pgwire_complete (out (c), text);
}

static void
put_one_row (Client *c, const char *const *names, const char *const *cells,
             uint16_t count)
{
  ss_pgwire_text_columns (out (c), names, count);
  ss_pgwire_row (out (c), cells, count);
  ss_pgwire_complete (out (c), "SELECT 1");
}

static void
call_status (Client *c)
{
  static const char *const names[]
      = { "role",         "shown_term", "log_term", "held",
          "applied_term", "applied",    "silence_ms", "follow_term",
          "history" };
  SsServer *s = &c->target->server;
  SsStore *store = &s->store;
  uint64_t numbers[7];
  char texts[7][24];
  const char *cells[9];
  char *history = ss_store_history (store);

  numbers[0] = s->shown_term;
  numbers[1] = ss_store_term_at (store, ss_store_held (store));
  numbers[2] = ss_store_held (store);
  numbers[3] = ss_store_term_at (store, store->applied);
  numbers[4] = store->applied;
  numbers[5] = (uint64_t) (ss_server_now_ms (s) - s->heard_ms);
  numbers[6] = s->follow_term;
  cells[0] = ss_server_role_name (s);
  for (uint32_t i = 0; i < 7; i++)
    {
      g_snprintf (texts[i], sizeof texts[i], "%" G_GUINT64_FORMAT,
                  numbers[i]);
      cells[i + 1] = texts[i];
    }
  cells[8] = history;
  put_one_row (c, names, cells, 9);
  g_free (history);
}

static void
call_control (Client *c, const SsSql *q)
{
  static const char *const names[] = { "control" };
  static const char *const cells[] = { "done" };
  SsServer *s = &c->target->server;
  int64_t number = g_ascii_strtoll (q->arguments[1], NULL, 10);
  const char *name = q->arguments[0];

  if (strcmp (name, "apply_lag_ms") == 0)
    s->apply_lag_ms = number;
  else if (strcmp (name, "connect_ms") == 0)
    s->connect_ms = number;
  else if (strcmp (name, "slow_ms") == 0)
    s->slow_ms = number;
  else if (strcmp (name, "max_connections") == 0)
    s->max_connections = number;
  else if (strcmp (name, "cut") == 0)
    s->cut = number != 0;
  else
    {
      fail (c, "22023", "no such control");
      return;
    }
  put_one_row (c, names, cells, 1);
}

static void
put_result (Client *c, bool ok)
{
  static const char *const names[] = { "accepted" };
  const char *cell = ok ? "t" : "f";

  put_one_row (c, names, &cell, 1);
}

/* Answers a replica's request for the log after a position. */
static bool
answer_log (Client *c, bool expired)
{
  static const char *const names[] = { "term", "payload" };
  SsServer *s = &c->target->server;
  SsStore *store = &s->store;
  const char *cells[2] = { "ok", "" };
  char term[24];
  bool is_current
      = s->role == SS_ROLE_PRIMARY && c->link_term == s->shown_term;

  if (s->cut)
    return false;
  if (!is_current)
    cells[0] = "refused";
  else if (c->log_position > ss_store_held (store)
           || ss_store_term_at (store, c->log_position) != c->log_term)
    cells[0] = "mismatch";
  else if (c->log_position == ss_store_held (store) && !expired)
    return false;
  ss_pgwire_text_columns (out (c), names, 2);
  ss_pgwire_row (out (c), cells, 2);
  for (uint64_t p = c->log_position + 1;
       cells[0][0] == 'o' && p <= ss_store_held (store)
       && p <= c->log_position + 500;
       p++)
    {
      const SsLogEntry *e = ss_store_entry (store, p);
      const char *row[2] = { term, e->payload };

      g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, e->term);
      ss_pgwire_row (out (c), row, 2);
    }
  ss_pgwire_complete (out (c), "SELECT 1");
  return true;
}

static uint64_t
number_argument (const SsSql *q, uint32_t i)
{
  return g_ascii_strtoull (q->arguments[i], NULL, 10);
}

static void
call_log (Client *c, const SsSql *q)
{
  c->link_term = number_argument (q, 0);
  c->log_position = number_argument (q, 1);
  c->log_term = number_argument (q, 2);
  c->log_due_ms = ss_server_now_ms (&c->target->server)
                  + (int64_t) number_argument (q, 4);
  c->waits_for_log = !answer_log (c, false);
}

static bool
is_call (const SsSql *q, const char *name, uint32_t arguments)
{
  return strcmp (q->name, name) == 0 && q->argument_count == arguments;
}

static bool
run_call (Client *c, const SsSql *q)
{
  SsServer *s = &c->target->server;

  if (is_call (q, "sapphirestair_status", 0))
    call_status (c);
  else if (is_call (q, "sapphirestair_raise", 1))
    put_result (c, ss_server_raise (s, number_argument (q, 0)));
  else if (is_call (q, "sapphirestair_promote", 1))
    put_result (c, ss_server_promote (s, number_argument (q, 0)));
  else if (is_call (q, "sapphirestair_follow", 3))
    put_result (c, ss_server_follow (s, number_argument (q, 0),
                                     q->arguments[1], q->arguments[2]));
  else if (is_call (q, "sapphirestair_log", 5))
    call_log (c, q);
  else if (is_call (q, "sapphirestair_control", 2))
    call_control (c, q);
  else
    {
      fail (c, "42883", "no such function");
      return false;
    }
  return true;
}

static void
commit (Client *c)
{
  SsServer *s = &c->target->server;
  uint64_t position;
  char *payload;

  if (c->ops->len == 0)
    return;
  payload = ss_ops_encode (c->ops);
  position = ss_store_append (&s->store, s->shown_term, payload,
                              ss_server_now_ms (s));
  ss_store_apply_to (&s->store, position);
  c->shown_commit = position;
  g_free (payload);
  g_ptr_array_set_size (c->ops, 0);
}

static bool
run_commit (Client *c)
{
  bool failed = c->status == 'E';

  c->status = 'I';
  c->read_only = false;
  if (failed)
    {
      g_ptr_array_set_size (c->ops, 0);
      ss_pgwire_complete (out (c), "ROLLBACK");
      return true;
    }
  if (c->ops->len && c->target->server.role != SS_ROLE_PRIMARY)
    {
      fail (c, "25006", "cannot commit: the server is no longer a primary");
      return false;
    }
  commit (c);
  ss_pgwire_complete (out (c), "COMMIT");
  return true;
}

static bool
run_statement (Client *c, const SsSql *q)
{
  if (c->status == 'E' && q->kind != SS_SQL_COMMIT
      && q->kind != SS_SQL_ROLLBACK)
    {
      fail (c, "25P02", "current transaction is aborted");
      return false;
    }
  switch (q->kind)
    {
    case SS_SQL_EMPTY:
      ss_pgwire_empty_query (out (c));
      return true;
    case SS_SQL_BEGIN:
      c->status = 'T';
      c->read_only = q->read_only;
      ss_pgwire_complete (out (c), "BEGIN");
      return true;
    case SS_SQL_COMMIT:
      return run_commit (c);
    case SS_SQL_ROLLBACK:
      c->status = 'I';
      c->read_only = false;
      g_ptr_array_set_size (c->ops, 0);
      ss_pgwire_complete (out (c), "ROLLBACK");
      return true;
    case SS_SQL_SET:
      ss_pgwire_complete (out (c), "SET");
      return true;
    case SS_SQL_INSERT:
      return run_insert (c, q);
    case SS_SQL_UPDATE:
      return run_update (c, q);
    case SS_SQL_SELECT:
      run_select (c, q);
      return true;
    case SS_SQL_SELECT_NUMBER:
      {
        static const char *const names[] = { "?column?" };
        const char *cell = q->value;

        put_one_row (c, names, &cell, 1);
        return true;
      }
    case SS_SQL_CALL:
      return run_call (c, q);
    case SS_SQL_INVALID:
    default:
      fail (c, "42601", "syntax not understood by this stand-in");
      return false;
    }
}

static void
put_position (Client *c, const char *name, uint64_t position)
{
  char text[48];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
              ss_store_term_at (&c->target->server.store, position),
              position);
  ss_pgwire_parameter (out (c), name, text);
}

static void
end_query (Client *c)
{
  if (c->shown_commit)
    {
      put_position (c, "sapphirestair.commit", c->shown_commit);
      c->shown_commit = 0;
    }
  if (c->shown_applied != c->target->server.store.applied && !c->is_link)
    {
      c->shown_applied = c->target->server.store.applied;
      put_position (c, "sapphirestair.applied", c->shown_applied);
    }
  ss_pgwire_ready (out (c), c->status);
}

static void
run_query (Client *c, const char *text)
{
  char **parts = ss_sql_split (text);
  bool ok = true;

  c->waits_for_log = false;
  for (uint32_t i = 0; parts[i] && ok; i++)
    {
      SsSql q;

      ss_sql_init (&q, parts[i]);
      if (i == 0 || q.kind != SS_SQL_EMPTY)
        ok = run_statement (c, &q);
      ss_sql_finish (&q);
    }
  g_strfreev (parts);
  /* Statements outside of a transaction block commit with the message. */
  if (c->status == 'I' && ok)
    commit (c);
  if (c->status == 'I' && !ok)
    g_ptr_array_set_size (c->ops, 0);
  if (!c->waits_for_log)
    end_query (c);
}

static void
start_client (Client *c)
{
  ss_pgwire_auth_ok (out (c));
  ss_pgwire_parameter (out (c), "server_version", "15.0");
  ss_pgwire_parameter (out (c), "client_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "standard_conforming_strings", "on");
  ss_pgwire_key_data (out (c), c->process, 1);
  end_query (c);
  c->started = true;
}

static void
take_messages (Client *c);

static void
on_delay (struct ev_loop *loop, ev_timer *w, int events)
{
  Client *c = w->data;

  (void) loop;
  (void) events;
  c->delayed = false;
  if (!c->started)
    start_client (c);
  else if (c->query)
    {
      char *query = g_steal_pointer (&c->query);

      run_query (c, query);
      g_free (query);
    }
  ss_stream_flush (&c->stream);
  take_messages (c);
}

static void
delay (Client *c, int64_t wait_ms)
{
  c->delayed = true;
  ev_timer_stop (c->stream.loop, &c->delay);
  ev_timer_set (&c->delay, (double) wait_ms / 1000.0, 0);
  ev_timer_start (c->stream.loop, &c->delay);
}

static int64_t
counted_clients (const Target *t)
{
  int64_t count = 0;

  for (guint i = 0; i < t->clients->len; i++)
    {
      const Client *c = g_ptr_array_index (t->clients, i);

      count += c->is_link ? 0 : 1;
    }
  return count;
}

static void
take_startup (Client *c, const SsPgwireMessage *m)
{
  const char *user = ss_pgwire_startup_value (m, "user");

  c->is_link = user && strcmp (user, "replication") == 0;
  if (counted_clients (c->target) > c->target->server.max_connections
      && !c->is_link)
    {
      ss_pgwire_error (out (c), "FATAL", "53300",
                       "sorry, too many clients already", NULL, NULL);
      ss_stream_close_when_sent (&c->stream);
      return;
    }
  delay (c, c->is_link ? 0 : c->target->server.connect_ms);
}

static void
cancel_client (Client *c, const SsPgwireMessage *m)
{
  for (guint i = 0; i < c->target->clients->len; i++)
    {
      Client *other = g_ptr_array_index (c->target->clients, i);

      if (other->process != m->cancel_process || !other->query)
        continue;
      g_clear_pointer (&other->query, g_free);
      ev_timer_stop (other->stream.loop, &other->delay);
      other->delayed = false;
      fail (other, "57014", "canceling statement due to user request");
      end_query (other);
      ss_stream_flush (&other->stream);
    }
}

/* Returns false where the client was freed. */
static bool
take_message (Client *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_SSL_REQUEST:
      g_byte_array_append (out (c), (const uint8_t *) "N", 1);
      break;
    case SS_PGWIRE_STARTUP:
      take_startup (c, m);
      break;
    case SS_PGWIRE_CANCEL:
      cancel_client (c, m);
      client_free (c);
      return false;
    case SS_PGWIRE_QUERY:
      if (c->target->server.slow_ms > 0 && !c->is_link
          && !strstr (m->text, "sapphirestair_control"))
        {
          c->query = g_strdup (m->text);
          delay (c, c->target->server.slow_ms);
        }
      else
        run_query (c, m->text);
      break;
    case SS_PGWIRE_IGNORED:
      break;
    case SS_PGWIRE_SYNC:
      end_query (c);
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
take_messages (Client *c)
{
  while (c->stream.input && !c->delayed && !c->waits_for_log)
    {
      SsPgwireMessage m = ss_pgwire_read (c->stream.input->data,
                                          c->stream.input->len, !c->started);

      if (m.kind == SS_PGWIRE_NONE)
        break;
      if (!take_message (c, &m))
        return;
      ss_stream_consume (&c->stream, m.used_bytes);
    }
  ss_stream_flush (&c->stream);
}

static void
on_input (SsStream *stream)
{
  take_messages ((Client *) stream);
}

static void
on_closed (SsStream *stream)
{
  client_free ((Client *) stream);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL };
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
  c->status = 'I';
  c->process = ++t->next_process;
  c->ops = g_ptr_array_new_with_free_func (ss_op_free);
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
  for (guint i = 0; i < t->clients->len; i++)
    {
      Client *c = g_ptr_array_index (t->clients, i);

      if (!c->waits_for_log || !answer_log (c, now_ms >= c->log_due_ms))
        continue;
      c->waits_for_log = false;
      end_query (c);
      ss_stream_flush (&c->stream);
    }
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
  int fd;

  if (argc < 4)
    {
      fprintf (stderr,
               "usage: ss-standin-target NAME IP PORT [DATA-FILE]\n");
      return 2;
    }
  ss_server_init (&target.server, loop, argv[1], argc > 4 ? argv[4] : NULL);
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
