#include "standin/session.h"

#include <string.h>

#include "plugins/pgwire.h"
#include "standin/sql.h"

/* A defect affects one of this many commits or values. */
#define COMMIT_DEFECT_PERIOD 20
#define VALUE_DEFECT_PERIOD 50

static GByteArray *
out (SsSqlSession *c)
{
  return c->out;
}

void
ss_sql_session_fail (SsSqlSession *c, const char *sqlstate, const char *message)
{
  c->failed = true;
  g_strlcpy (c->sqlstate, sqlstate, sizeof c->sqlstate);
  ss_pgwire_error (out (c), "ERROR", sqlstate, message, NULL, NULL);
  c->status = c->status == 'I' ? 'I' : 'E';
  g_ptr_array_set_size (c->ops, 0);
}

static void
complete (SsSqlSession *c, const char *tag)
{
  g_strlcpy (c->tag, tag, sizeof c->tag);
  ss_pgwire_complete (out (c), tag);
}

static void
put_row (SsSqlSession *c, const char *const *cells, uint16_t count)
{
  ss_pgwire_row (out (c), cells, count);
  if (c->row_cells)
    return;
  for (uint16_t i = 0; i < count; i++)
    c->row[c->row_cells++] = g_strdup (cells[i]);
}

/* Returns whether an open transaction has inserted the idempotency key KEY. */
static bool
key_is_pending (SsSqlSession *c, const char *key)
{
  for (guint i = 0; i < c->server->sessions->len; i++)
    {
      SsSqlSession *other = g_ptr_array_index (c->server->sessions, i);

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
write_allowed (SsSqlSession *c)
{
  if (c->server->role == SS_ROLE_PRIMARY && !c->read_only)
    return true;
  ss_sql_session_fail (c, "25006",
                       "cannot write: the server or transaction is read-only");
  return false;
}

static void
add_op (SsSqlSession *c, SsOpKind kind, const SsSql *q)
{
  SsOp *op = g_new0 (SsOp, 1);

  op->kind = kind;
  op->table = g_strdup (q->name);
  op->key = g_strdup (q->key);
  op->value = g_strdup (q->value);
  g_ptr_array_add (c->ops, op);
}

static bool
run_insert (SsSqlSession *c, const SsSql *q)
{
  if (!write_allowed (c))
    return false;
  if (strcmp (q->name, SS_STORE_UNIQUE_TABLE) == 0
      && c->server->defect != SS_DEFECT_REQUEST)
    {
      if (ss_store_values (&c->server->store, q->name, q->key))
        {
          ss_sql_session_fail (c, "23505",
                               "duplicate key value in sapphirestair_requests");
          return false;
        }
      if (key_is_pending (c, q->key))
        {
          ss_sql_session_fail (c, "55P03",
                               "the key is locked by another transaction");
          return false;
        }
    }
  add_op (c, SS_OP_INSERT, q);
  complete (c, "INSERT 0 1");
  return true;
}

/* Returns copies of the values of KEY, with the changes of the open
 * transaction; free with g_ptr_array_free.
 */
static GPtrArray *
visible_values (SsSqlSession *c, const char *table, const char *key)
{
  const GPtrArray *stored = ss_store_values (&c->server->store, table, key);
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
run_update (SsSqlSession *c, const SsSql *q)
{
  GPtrArray *values;
  char tag[32];

  if (!write_allowed (c))
    return false;
  if (!q->key)
    {
      ss_sql_session_fail (c, "0A000", "UPDATE needs WHERE key = ...");
      return false;
    }
  values = visible_values (c, q->name, q->key);
  if (values->len)
    add_op (c, SS_OP_UPDATE, q);
  g_snprintf (tag, sizeof tag, "UPDATE %u", values->len);
  complete (c, tag);
  g_ptr_array_free (values, TRUE);
  return true;
}

static void
put_rows (SsSqlSession *c, const SsSql *q, const char *key, uint64_t *rows)
{
  GPtrArray *values = visible_values (c, q->name, key);

  for (guint i = 0; i < values->len; i++)
    {
      const char *cells[2] = { key, g_ptr_array_index (values, i) };

      if (ss_server_defect_occurs (c->server, SS_DEFECT_ANSWER,
                                   VALUE_DEFECT_PERIOD))
        cells[1] = "other";
      if (q->columns == SS_SQL_KEY_VALUE)
        put_row (c, cells, 2);
      else if (q->columns == SS_SQL_VALUE)
        put_row (c, cells + 1, 1);
    }
  *rows += values->len;
  g_ptr_array_free (values, TRUE);
}

static void
run_select (SsSqlSession *c, const SsSql *q)
{
  static const char *const key_value[] = { "key", "value" };
  static const char *const value[] = { "value" };
  static const char *const count[] = { "count" };
  GHashTable *table = ss_store_table (&c->server->store, q->name);
  uint64_t rows = 0;
  char text[48];
  const char *cell = text;

  if (q->columns == SS_SQL_KEY_VALUE)
    ss_pgwire_text_columns (out (c), key_value, 2);
  else
    ss_pgwire_text_columns (out (c), q->columns == SS_SQL_VALUE ? value : count,
                            1);
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
      put_row (c, &cell, 1);
      rows = 1;
    }
  g_snprintf (text, sizeof text, "SELECT %" G_GUINT64_FORMAT, rows);
  complete (c, text);
}

static void
put_one_row (SsSqlSession *c, const char *const *names,
             const char *const *cells, uint16_t count)
{
  ss_pgwire_text_columns (out (c), names, count);
  put_row (c, cells, count);
  complete (c, "SELECT 1");
}

/* Returns the position that the server reports as applied. */
static uint64_t
reported_applied (const SsServer *s)
{
  return s->defect == SS_DEFECT_APPLIED ? ss_store_last_position (&s->store)
                                        : s->store.applied;
}

static void
call_status (SsSqlSession *c)
{
  static const char *const names[]
      = { "role",    "shown_term", "log_term",    "held",   "applied_term",
          "applied", "silence_ms", "follow_term", "history" };
  SsServer *s = c->server;
  SsStore *store = &s->store;
  uint64_t numbers[7];
  char texts[7][24];
  const char *cells[9];
  char *history = ss_store_history (store);

  numbers[0] = s->shown_term;
  numbers[1] = ss_store_term_at (store, ss_store_last_position (store));
  numbers[2] = ss_store_last_position (store);
  numbers[3] = ss_store_term_at (store, reported_applied (s));
  numbers[4] = reported_applied (s);
  numbers[5] = (uint64_t) (ss_server_now_ms (s) - s->last_response_ms);
  numbers[6] = s->follow_term;
  cells[0] = ss_server_role_name (s);
  for (uint32_t i = 0; i < 7; i++)
    {
      g_snprintf (texts[i], sizeof texts[i], "%" G_GUINT64_FORMAT, numbers[i]);
      cells[i + 1] = texts[i];
    }
  cells[8] = history;
  put_one_row (c, names, cells, 9);
  g_free (history);
}

static void
call_control (SsSqlSession *c, const SsSql *q)
{
  static const char *const names[] = { "control" };
  static const char *const cells[] = { "done" };
  SsServer *s = c->server;
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
    s->partitioned = number != 0;
  else
    {
      ss_sql_session_fail (c, "22023", "no such control");
      return;
    }
  put_one_row (c, names, cells, 1);
}

static void
put_accepted (SsSqlSession *c, bool ok)
{
  static const char *const names[] = { "accepted" };
  const char *cell = ok ? "t" : "f";

  put_one_row (c, names, &cell, 1);
}

bool
ss_sql_session_answer_log (SsSqlSession *c, bool expired)
{
  static const char *const names[] = { "term", "payload" };
  SsServer *s = c->server;
  SsStore *store = &s->store;
  const char *cells[2] = { "ok", "" };
  char term[24];
  bool is_current
      = s->role == SS_ROLE_PRIMARY && c->replica_follow_term == s->shown_term;

  if (s->partitioned)
    return false;
  if (!is_current)
    cells[0] = "refused";
  else if (c->log_position > ss_store_last_position (store)
           || ss_store_term_at (store, c->log_position) != c->log_term)
    cells[0] = "mismatch";
  else if (c->log_position == ss_store_last_position (store) && !expired)
    return false;
  ss_pgwire_text_columns (out (c), names, 2);
  put_row (c, cells, 2);
  for (uint64_t p = c->log_position + 1;
       cells[0][0] == 'o' && p <= ss_store_last_position (store)
       && p <= c->log_position + 500;
       p++)
    {
      const SsLogEntry *e = ss_store_entry (store, p);
      const char *row[2] = { term, e->payload };

      g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, e->term);
      put_row (c, row, 2);
    }
  complete (c, "SELECT 1");
  return true;
}

static uint64_t
number_argument (const SsSql *q, uint32_t i)
{
  return g_ascii_strtoull (q->arguments[i], NULL, 10);
}

/* Arguments: followed term; position and term of the replica's last entry;
 * batch size, which is ignored (500 entries at most are sent); wait in
 * milliseconds.
 */
static void
call_log (SsSqlSession *c, const SsSql *q)
{
  c->replica_follow_term = number_argument (q, 0);
  c->log_position = number_argument (q, 1);
  c->log_term = number_argument (q, 2);
  c->log_due_ms
      = ss_server_now_ms (c->server) + (int64_t) number_argument (q, 4);
  c->waits_for_log = !ss_sql_session_answer_log (c, false);
}

static bool
is_call (const SsSql *q, const char *name, uint32_t arguments)
{
  return strcmp (q->name, name) == 0 && q->argument_count == arguments;
}

static bool
run_call (SsSqlSession *c, const SsSql *q)
{
  SsServer *s = c->server;

  if (is_call (q, "sapphirestair_status", 0))
    call_status (c);
  else if (is_call (q, "sapphirestair_raise", 1))
    put_accepted (c, ss_server_raise_term (s, number_argument (q, 0)));
  else if (is_call (q, "sapphirestair_promote", 1))
    put_accepted (c, ss_server_promote (s, number_argument (q, 0)));
  else if (is_call (q, "sapphirestair_follow", 3))
    put_accepted (c, ss_server_follow (s, number_argument (q, 0),
                                       q->arguments[1], q->arguments[2]));
  else if (is_call (q, "sapphirestair_log", 5))
    call_log (c, q);
  else if (is_call (q, "sapphirestair_control", 2))
    call_control (c, q);
  else
    {
      ss_sql_session_fail (c, "42883", "no such function");
      return false;
    }
  return true;
}

static void
commit (SsSqlSession *c)
{
  SsServer *s = c->server;
  uint64_t position;
  char *payload;

  if (c->ops->len == 0)
    return;
  payload = ss_ops_encode (c->ops);
  position = ss_store_append (&s->store, s->shown_term, payload,
                              ss_server_now_ms (s));
  ss_store_apply_to (&s->store, position);
  c->commit_position = position;
  c->unreported_commit = position;
  g_free (payload);
  g_ptr_array_set_size (c->ops, 0);
}

static bool
run_commit (SsSqlSession *c)
{
  bool failed = c->status == 'E';

  c->status = 'I';
  c->read_only = false;
  if (failed)
    {
      g_ptr_array_set_size (c->ops, 0);
      complete (c, "ROLLBACK");
      return true;
    }
  if (c->ops->len && c->server->role != SS_ROLE_PRIMARY)
    {
      ss_sql_session_fail (c, "25006",
                           "cannot commit: the server is no longer a primary");
      return false;
    }
  commit (c);
  if (ss_server_defect_occurs (c->server, SS_DEFECT_REFUSAL,
                               COMMIT_DEFECT_PERIOD))
    {
      ss_sql_session_fail (c, "40001", "could not serialize access");
      return false;
    }
  if (ss_server_defect_occurs (c->server, SS_DEFECT_CHECK,
                               COMMIT_DEFECT_PERIOD))
    {
      ss_sql_session_fail (c, "23514", "a check constraint is violated");
      return false;
    }
  complete (c, "COMMIT");
  return true;
}

/* The formats of a COPY: text, and no columns. */
#define COPY_FORMAT_BYTES 3
#define COPY_ROW "row\n"

/* Sends COPY_ROW, which stands for the rows of a table, or waits for some. */
static void
run_copy (SsSqlSession *c, const SsSql *q)
{
  static const uint8_t in[] = { 'G', 0, 0, 0, 4 + COPY_FORMAT_BYTES, 0, 0, 0 };
  static const uint8_t begin[]
      = { 'H', 0, 0, 0, 4 + COPY_FORMAT_BYTES, 0, 0, 0 };
  static const uint8_t row[] = { 'd', 0, 0, 0, 4 + sizeof COPY_ROW - 1 };
  static const uint8_t end[] = { 'c', 0, 0, 0, 4 };

  c->waits_for_copy = q->kind == SS_SQL_COPY_IN;
  if (c->waits_for_copy)
    {
      g_byte_array_append (out (c), in, sizeof in);
      return;
    }
  g_byte_array_append (out (c), begin, sizeof begin);
  g_byte_array_append (out (c), row, sizeof row);
  g_byte_array_append (out (c), (const uint8_t *) COPY_ROW,
                       sizeof COPY_ROW - 1);
  g_byte_array_append (out (c), end, sizeof end);
  complete (c, "COPY 1");
}

void
ss_sql_session_end_copy (SsSqlSession *c)
{
  c->waits_for_copy = false;
  ss_sql_session_fail (c, "57014", "COPY from stdin failed");
  ss_sql_session_put_ready (c);
}

static bool
is_ignored (const SsSqlSession *c, const SsSql *q)
{
  return c->server->defect == SS_DEFECT_COMMIT
         && (q->kind == SS_SQL_BEGIN || q->kind == SS_SQL_COMMIT);
}

static bool
run_statement (SsSqlSession *c, const SsSql *q)
{
  if (is_ignored (c, q))
    {
      complete (c, q->kind == SS_SQL_BEGIN ? "BEGIN" : "COMMIT");
      return true;
    }
  if (c->status == 'E' && q->kind != SS_SQL_COMMIT
      && q->kind != SS_SQL_ROLLBACK)
    {
      ss_sql_session_fail (c, "25P02", "current transaction is aborted");
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
      complete (c, "BEGIN");
      return true;
    case SS_SQL_COMMIT:
      return run_commit (c);
    case SS_SQL_ROLLBACK:
      c->status = 'I';
      c->read_only = false;
      g_ptr_array_set_size (c->ops, 0);
      complete (c, "ROLLBACK");
      return true;
    case SS_SQL_SET:
      complete (c, "SET");
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
    case SS_SQL_COPY_IN:
    case SS_SQL_COPY_OUT:
      run_copy (c, q);
      return !c->waits_for_copy;
    case SS_SQL_INVALID:
    default:
      ss_sql_session_fail (c, "42601",
                           "syntax is not supported by this stand-in");
      return false;
    }
}

static void
put_position (SsSqlSession *c, const char *name, uint64_t position)
{
  char text[48];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
              ss_store_term_at (&c->server->store, position), position);
  ss_pgwire_parameter (out (c), name, text);
}

void
ss_sql_session_put_ready (SsSqlSession *c)
{
  if (c->unreported_commit)
    {
      put_position (c, "sapphirestair.commit", c->unreported_commit);
      c->unreported_commit = 0;
    }
  if (c->last_reported_applied != reported_applied (c->server)
      && !c->is_replication)
    {
      c->last_reported_applied = reported_applied (c->server);
      put_position (c, "sapphirestair.applied", c->last_reported_applied);
    }
  ss_pgwire_ready (out (c), c->status);
}

static void
clear_result (SsSqlSession *c)
{
  for (uint32_t i = 0; i < c->row_cells; i++)
    g_free (c->row[i]);
  c->row_cells = 0;
  c->failed = false;
  c->sqlstate[0] = 0;
  c->tag[0] = 0;
  c->commit_position = 0;
}

void
ss_sql_session_run (SsSqlSession *c, const char *text)
{
  char **parts = ss_sql_split (text);
  bool ok = true;

  c->waits_for_log = false;
  clear_result (c);
  for (uint32_t i = 0; parts[i] && ok; i++)
    {
      SsSql q;

      ss_sql_init (&q, parts[i]);
      if (i == 0 || q.kind != SS_SQL_EMPTY)
        ok = run_statement (c, &q);
      ss_sql_finish (&q);
    }
  g_strfreev (parts);
  /* Statements outside a transaction block commit at the end of the message. */
  if (c->status == 'I' && ok)
    commit (c);
  if (c->status == 'I' && !ok)
    g_ptr_array_set_size (c->ops, 0);
  if (!c->waits_for_log && !c->waits_for_copy)
    ss_sql_session_put_ready (c);
}

void
ss_sql_session_init (SsSqlSession *session, SsServer *server)
{
  memset (session, 0, sizeof *session);
  session->server = server;
  session->status = 'I';
  session->ops = g_ptr_array_new_with_free_func (ss_op_free);
  g_ptr_array_add (server->sessions, session);
}

void
ss_sql_session_finish (SsSqlSession *session)
{
  clear_result (session);
  g_ptr_array_remove_fast (session->server->sessions, session);
  g_ptr_array_free (session->ops, TRUE);
}
