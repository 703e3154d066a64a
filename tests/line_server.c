/* The servers of the simulation: replication, promotion, and the statements
 * that they run and check.
 */
#include <string.h>

#include "platform/line.h"
#include "tests/line_sim_internal.h"
#include "tests/server_reader.h"

#define HANDSHAKE_MS 12
#define ANSWER_MAX_MS 30

LineServer *
line_sim_find_server (LineSim *sim, const char *name)
{
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    if (strcmp (sim->servers[i].name, name) == 0)
      return &sim->servers[i];
  return NULL;
}

static LineServer *
find_primary (LineSim *sim)
{
  LineServer *primary = NULL;

  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      LineServer *s = &sim->servers[i];

      if (s->role == SS_SERVER_PRIMARY && !s->down
          && (!primary || s->term > primary->term))
        primary = s;
    }
  return primary;
}

/* Completes a promotion when it is due.  It clears the barred term of every
 * server; the replicas that receive replication follow the new primary.
 */
static void
finish_promotion (LineSim *sim)
{
  if (!sim->promotion_due_ms || sim->now_ms < sim->promotion_due_ms)
    return;
  sim->promotion_due_ms = 0;
  sim->promoted->role = SS_SERVER_PRIMARY;
  sim->promoted->term++;
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      LineServer *s = &sim->servers[i];

      s->barred_term = 0;
      if (s != sim->promoted && !s->replication_stopped && !s->down
          && s->role == SS_SERVER_REPLICA)
        s->term = sim->promoted->term;
    }
}

/* Replicas receive entries at once and apply them after their lag. */
void
line_server_replicate (LineSim *sim)
{
  const LineServer *primary;

  finish_promotion (sim);
  primary = find_primary (sim);
  for (uint32_t i = 0; primary && i < LINE_SERVERS; i++)
    {
      LineServer *s = &sim->servers[i];

      if (s == primary || s->down || s->replication_stopped || s->barred_term
          || s->term != primary->term)
        continue;
      s->received = primary->received;
      if (ss_position_compare (s->applied, s->received) == 0)
        s->in_sync_ms = sim->now_ms;
      else if (sim->now_ms - s->in_sync_ms >= s->lag_ms)
        s->applied = s->received;
    }
}

static uint32_t
session_of (const char *label)
{
  return (uint32_t) g_ascii_strtoull (label + 1, NULL, 10);
}

typedef struct
{
  const SsSessionState *other;
  bool same;
} SettingsComparison;

static gboolean
compare_setting (gpointer key, gpointer value, gpointer data)
{
  SettingsComparison *c = data;
  const char *other
      = c->other->values ? g_tree_lookup (c->other->values, key) : NULL;

  c->same = other && strcmp (other, value) == 0;
  return !c->same;
}

static bool
has_same_settings (const SsSessionState *a, const SsSessionState *b)
{
  SettingsComparison c = { b, true };
  gint count_a = a->values ? g_tree_nnodes (a->values) : 0;
  gint count_b = b->values ? g_tree_nnodes (b->values) : 0;

  if (count_a != count_b)
    return false;
  if (a->values)
    g_tree_foreach (a->values, compare_setting, &c);
  return c.same;
}

/* Checks that a server runs what the caller sent.  Only the name of a prepared
 * statement may differ.
 */
static void
check_text (LineSim *sim, const LineSession *s, const char *label,
            const char *text, const SsStatement *st)
{
  bool same = st->kind == SS_STATEMENT_EXECUTE
                  ? s->statement.kind == SS_STATEMENT_EXECUTE
                        && strcmp (st->value, s->statement.value) == 0
                  : g_strcmp0 (text, s->text) == 0;

  if (!same)
    line_sim_violation (sim, "text differs", label, text);
}

static void
check_prepared (LineSim *sim, const LineConnection *c, const LineSession *s,
                const char *label, const SsStatement *st)
{
  const SsPrepared *p = ss_session_state_prepared (&c->state, st->name);
  const SsPrepared *wanted
      = s->statement.name
            ? ss_session_state_prepared (&s->state, s->statement.name)
            : NULL;

  if (!p || !wanted || strcmp (p->shape, wanted->shape) != 0
      || p->is_read != wanted->is_read)
    line_sim_violation (sim, "prepared statement differs", label,
                        c->server->name);
}

/* Checks a statement without a caller's id: none that writes, executes a
 * prepared statement or commits.
 */
static void
check_own (LineSim *sim, const LineConnection *c, const char *text,
           const SsStatement *st)
{
  bool opens = st->kind == SS_STATEMENT_BEGIN;

  if (st->kind == SS_STATEMENT_WRITE || st->kind == SS_STATEMENT_EXECUTE
      || st->kind == SS_STATEMENT_COMMIT)
    line_sim_violation (sim, "statement that nobody sent", "-", text);
  if (opens && c->status != 'I')
    line_sim_violation (sim, "BEGIN in a transaction", "-", text);
}

/* Checks that a statement of S runs in the transaction that S has opened, if it
 * has one.
 */
static void
check_transaction (LineSim *sim, const LineConnection *c, const LineSession *s,
                   const char *label)
{
  if ((s->status == 'T') != (c->status == 'T'))
    line_sim_violation (sim, "transaction differs", label, c->server->name);
  else if (s->status == 'T' && c->is_plain == s->begin_is_read)
    line_sim_violation (sim, "kind of transaction differs", label,
                        c->server->name);
}

/* Checks TEXT, read as ST, and the connection and the server that run it
 * against the state of its session.
 */
static void
check_execution (LineSim *sim, LineConnection *c, const char *label,
                 const char *text, const SsStatement *st)
{
  LineSession *s = &sim->sessions[session_of (label) - 1];

  check_text (sim, s, label, text, st);
  check_transaction (sim, c, s, label);
  if (!has_same_settings (&c->state, &s->state))
    line_sim_violation (sim, "settings differ", label, c->server->name);
  if (st->kind == SS_STATEMENT_EXECUTE)
    check_prepared (sim, c, s, label, st);
  if (s->status == 'T' && s->first_connection && s->first_connection != c->id)
    line_sim_violation (sim, "transaction changed connection", label,
                        c->server->name);
  if (s->status == 'T')
    s->first_connection = c->id;
  if (c->session && c->session != s->id)
    line_sim_violation (sim, "connection is in another session's transaction",
                        label, c->server->name);
  if (g_strcmp0 (c->organisation ? c->organisation : "",
                 s->organisation ? s->organisation : "")
      != 0)
    line_sim_violation (sim, "connection of another organisation", label,
                        c->organisation ? c->organisation : "(none)");
  if (s->status != 'T'
      && !ss_position_covers (c->server->applied, s->committed))
    line_sim_violation (sim, "server lacks own commit of session", label,
                        c->server->name);
}

static void
count_run (LineSim *sim, const char *label)
{
  uint32_t ran = line_sim_run_count (sim, label);

  g_hash_table_replace (sim->runs, g_strdup (label),
                        GUINT_TO_POINTER (ran + 1));
}

static void
commit (LineSim *sim, LineServer *s, const char *label)
{
  s->received.term = s->term;
  s->received.offset++;
  s->applied = s->received;
  if (label)
    sim->sessions[session_of (label) - 1].committing = s->received;
  line_server_replicate (sim);
}

/* Whether the server refuses ST, as it does not lead: a write, a plain BEGIN,
 * and any statement of a plain transaction but the COMMIT of one that wrote
 * nothing.
 */
static bool
refuses_as_replica (const LineConnection *c, const SsStatement *st, bool writes)
{
  if (c->server->role == SS_SERVER_PRIMARY || st->kind == SS_STATEMENT_ROLLBACK)
    return false;
  if (writes || (st->kind == SS_STATEMENT_BEGIN && !st->is_read))
    return true;
  return c->status == 'T' && c->is_plain
         && (st->kind != SS_STATEMENT_COMMIT || c->wrote);
}

static void
end_transaction (LineConnection *c)
{
  c->status = 'I';
  c->session = 0;
  c->wrote = false;
}

/* Answers ST in a transaction that has failed. */
static SsTargetFault
run_in_failed_transaction (LineConnection *c, const SsStatement *st)
{
  if (st->kind != SS_STATEMENT_COMMIT && st->kind != SS_STATEMENT_ROLLBACK)
    return SS_TARGET_FAULT_STATEMENT;
  end_transaction (c);
  return st->kind == SS_STATEMENT_ROLLBACK ? SS_TARGET_FAULT_NONE
                                           : SS_TARGET_FAULT_STATEMENT;
}

/* Runs TEXT at the connection's server; returns the fault, if any.  LABEL is
 * the id of a caller's statement, or NULL for a statement of the proxy.
 */
static SsTargetFault
run_statement (LineSim *sim, LineConnection *c, const char *label,
               const char *text)
{
  LineServer *s = c->server;
  SsStatement st;
  bool writes;
  SsTargetFault fault = SS_TARGET_FAULT_NONE;

  server_reader_read (text, &st);
  if (st.kind == SS_STATEMENT_INVALID)
    {
      line_sim_violation (sim, "malformed statement", label ? label : "-",
                          text);
      fault = SS_TARGET_FAULT_STATEMENT;
    }
  if (!label && st.kind != SS_STATEMENT_INVALID)
    check_own (sim, c, text, &st);
  if (c->status == 'E')
    {
      fault = run_in_failed_transaction (c, &st);
      goto done;
    }
  writes = st.kind == SS_STATEMENT_WRITE;
  if (st.kind == SS_STATEMENT_EXECUTE)
    {
      const SsPrepared *p = ss_session_state_prepared (&c->state, st.name);

      writes = p && !p->is_read;
      if (!p)
        fault = SS_TARGET_FAULT_UNPREPARED;
    }
  if (refuses_as_replica (c, &st, writes))
    {
      fault = SS_TARGET_FAULT_NOT_PRIMARY;
      c->status = c->status == 'T' ? 'E' : c->status;
    }
  if (fault != SS_TARGET_FAULT_NONE)
    goto done;
  if (label)
    {
      check_execution (sim, c, label, text, &st);
      count_run (sim, label);
      s->ran++;
    }
  switch (st.kind)
    {
    case SS_STATEMENT_SET:
      ss_session_state_set (&c->state, st.name, st.value);
      break;
    case SS_STATEMENT_PREPARE:
      ss_session_state_prepare (&c->state, st.name, st.value, st.is_read);
      break;
    case SS_STATEMENT_BEGIN:
      c->status = 'T';
      c->is_plain = !st.is_read;
      break;
    case SS_STATEMENT_COMMIT:
    case SS_STATEMENT_ROLLBACK:
      if (st.kind == SS_STATEMENT_COMMIT && c->wrote)
        commit (sim, s, label);
      end_transaction (c);
      break;
    default:
      c->wrote = c->status == 'T' && (c->wrote || writes);
      if (writes && c->status == 'I')
        commit (sim, s, label);
      break;
    }
  if (label && c->status == 'T')
    c->session = session_of (label);
done:
  ss_statement_finish (&st);
  return fault;
}

static void
fill_status (LineServer *s, ScheduledEvent *scheduled)
{
  scheduled->cells[0]
      = g_strdup (s->role == SS_SERVER_PRIMARY ? "primary" : "replica");
  scheduled->cells[1] = g_strdup_printf ("%" G_GUINT64_FORMAT, s->term);
  scheduled->cells[2]
      = g_strdup_printf ("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                         s->received.term, s->received.offset);
  scheduled->cells[3] = g_strdup_printf ("%" G_GUINT64_FORMAT, s->barred_term);
  scheduled->cells[4] = g_strdup_printf ("%u", s->reported_lag_ms);
  scheduled->cells[5] = g_strdup ("0");
  scheduled->cells[6] = g_strdup ("0");
  scheduled->cells[7]
      = g_strdup_printf ("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                         s->applied.term, s->applied.offset);
  scheduled->cell_count = 8;
  scheduled->result.row = (const char *const *) scheduled->cells;
  scheduled->result.row_cells = scheduled->cell_count;
}

/* Removes the floor that TEXT may begin with.  Compares only its offset, not
 * its term, as the platform's servers do.  Returns the remaining text, or NULL
 * if the server has not applied that offset.
 */
static const char *
strip_floor (const LineServer *s, const char *text)
{
  SsPosition floor;
  char **parts;

  if (!g_str_has_prefix (text, "WAITFOR "))
    return text;
  parts = g_strsplit (text, " ", 3);
  floor = ss_line_parse_position (parts[1]);
  g_strfreev (parts);
  if (s->applied.offset < floor.offset)
    return NULL;
  return strchr (strchr (text, ' ') + 1, ' ') + 1;
}

static SsTargetFault
run_text (LineSim *sim, LineConnection *c, const char *label, const char *text,
          ScheduledEvent *scheduled)
{
  LineServer *s = c->server;

  if (strcmp (text, "STATUS") == 0)
    {
      sim->status_requests++;
      sim->primary_status_requests += s == &sim->servers[0] ? 1 : 0;
      fill_status (s, scheduled);
      return SS_TARGET_FAULT_NONE;
    }
  if (strcmp (text, "RESET") == 0)
    {
      if (c->status != 'I')
        line_sim_violation (sim, "RESET in a transaction", "-",
                            c->server->name);
      ss_session_state_finish (&c->state);
      return SS_TARGET_FAULT_NONE;
    }
  if (strcmp (text, "RESUME") == 0)
    {
      s->barred_term = 0;
      return SS_TARGET_FAULT_NONE;
    }
  if (g_str_has_prefix (text, "PAUSE "))
    {
      s->barred_term = g_ascii_strtoull (text + 6, NULL, 10);
      return SS_TARGET_FAULT_NONE;
    }
  /* Servers of the simulation step down only by the promotion itself. */
  if (g_str_has_prefix (text, "STEPDOWN "))
    return SS_TARGET_FAULT_NONE;
  if (label && sim->fault_next != SS_TARGET_FAULT_NONE)
    {
      SsTargetFault fault = sim->fault_next;

      sim->fault_next = SS_TARGET_FAULT_NONE;
      return fault;
    }
  if (g_rand_int_range (sim->rand, 0, 1000) < (gint32) sim->busy_permille)
    return SS_TARGET_FAULT_BUSY;
  text = strip_floor (s, text);
  return text ? run_statement (sim, c, label, text) : SS_TARGET_FAULT_BEHIND;
}

static bool
loses_answer (LineSim *sim, const char *label)
{
  if (label && sim->lose_next)
    {
      sim->lose_next = false;
      return true;
    }
  return label
         && g_rand_int_range (sim->rand, 0, 1000) < (gint32) sim->lost_permille;
}

static uint32_t
busy_slots (const LineSim *sim, const LineServer *s)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < s->slots; i++)
    count += s->slot_free_ms[i] > sim->now_ms ? 1 : 0;
  return count;
}

/* Returns the time until S has run one more statement in the first slot that
 * is free.  Run times are uniform, from half to one and a half of the mean.
 */
static int64_t
occupy_slot (LineSim *sim, LineServer *s)
{
  double run_ms
      = (double) s->run_ms * g_rand_double_range (sim->rand, 0.5, 1.5);
  double running = MIN (busy_slots (sim, s) + 1, s->slots);
  int64_t *slot = &s->slot_free_ms[0];

  if (s->knee && running > s->knee)
    run_ms *= (running / s->knee) * (running / s->knee);
  for (uint32_t i = 1; i < s->slots; i++)
    if (s->slot_free_ms[i] < *slot)
      slot = &s->slot_free_ms[i];
  *slot = MAX (*slot, sim->now_ms) + MAX ((int64_t) run_ms, 1);
  return *slot - sim->now_ms;
}

static int64_t
answer_ms (LineSim *sim, LineServer *s, const char *label)
{
  if (!s->run_ms)
    return 1 + g_rand_int_range (sim->rand, 0, ANSWER_MAX_MS);
  return label ? occupy_slot (sim, s) : 1;
}

/* Checks that the adapter can send the statement of A as one message. */
static void
check_message (LineSim *sim, const SsAction *a)
{
  const char *label = a->label ? a->label : "-";
  GByteArray *message = g_byte_array_new ();
  SsLineWriter w;

  ss_line_writer_init_message (&w, SS_LINE_QUERY);
  ss_line_writer_add_field (&w, label);
  ss_line_writer_add_last (&w, a->text);
  if (!ss_line_writer_put (&w, message))
    line_sim_violation (sim, "statement is not one message", label, a->text);
  sim->longest_message_bytes = MAX (sim->longest_message_bytes, message->len);
  g_byte_array_unref (message);
}

void
line_server_query (LineSim *sim, const SsAction *a)
{
  LineConnection *c = g_hash_table_lookup (sim->connections, &a->id);
  int64_t after_ms;
  ScheduledEvent *scheduled;

  if (!c)
    return;
  check_message (sim, a);
  after_ms = answer_ms (sim, c->server, a->label);
  line_server_replicate (sim);
  scheduled = line_sim_schedule (sim, after_ms, SS_EVENT_TARGET_RESULT);
  scheduled->result.fault = run_text (sim, c, a->label, a->text, scheduled);
  if (loses_answer (sim, a->label))
    {
      scheduled->event.kind = SS_EVENT_TARGET_CLOSED;
      scheduled->event.target.connection = c->id;
      return;
    }
  scheduled->result.ok = scheduled->result.fault == SS_TARGET_FAULT_NONE;
  scheduled->result.transaction_status = c->status;
  scheduled->result.applied = c->server->applied;
  scheduled->result.sqlstate = "";
  scheduled->result.tag = "";
  scheduled->wire = g_bytes_new_static ("x", 1);
  scheduled->result.wire = scheduled->wire;
  scheduled->event.target_result.connection = c->id;
  scheduled->event.target_result.result = &scheduled->result;
}

void
line_server_free_connection (gpointer data)
{
  LineConnection *c = data;

  ss_session_state_finish (&c->state);
  g_free (c->organisation);
  g_free (c);
}

void
line_server_connect (LineSim *sim, const SsAction *a)
{
  LineConnection *c = g_new0 (LineConnection, 1);
  ScheduledEvent *scheduled
      = line_sim_schedule (sim, HANDSHAKE_MS, SS_EVENT_TARGET_READY);

  c->id = a->id;
  c->server = line_sim_find_server (sim, a->name);
  if (!c->server || c->server->down)
    {
      scheduled->event.kind = SS_EVENT_TARGET_CLOSED;
      scheduled->event.target.refused = true;
    }
  c->status = 'I';
  c->organisation = g_strdup (a->organisation);
  g_hash_table_insert (sim->connections, &c->id, c);
  scheduled->event.target.connection = c->id;
}
