#include <stdlib.h>
#include <string.h>

#include "tests/world_internal.h"

#define STALENESS_MS 2000
#define RETRY_LIMIT_MS 6000
#define DEADLINE_MS 2000
/* How far past its deadline a final reply may come: allows for a pause of the
 * entry VM and the owner's grace period.
 */
#define LATENESS_LIMIT_MS 400

static void
schedule_step (World *w, WorldCaller *c, int64_t delay_ms)
{
  ScheduledEvent *scheduled
      = world_schedule (w, SCHEDULED_CALLER_STEP, delay_ms);

  scheduled->index = c->number;
  scheduled->id = ++c->next_step_id;
}

static void
disconnect (World *w, WorldCaller *c)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CLOSE };

  if (c->node < 0)
    return;
  e.caller.caller = c->session;
  g_hash_table_remove (w->sessions, &c->session);
  if (w->nodes[c->node].incarnation == c->incarnation)
    world_deliver (w, c->node, &e);
  c->node = -1;
  c->open = false;
  c->waiting = false;
}

static void
send_statement (World *w, WorldCaller *c, const char *sql)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  c->waiting = true;
  c->statement_sent_ms = w->clock.now_ms;
  w->report->statements++;
  e.caller_statement.caller = c->session;
  e.caller_statement.sql = sql;
  world_deliver (w, c->node, &e);
}

static void
connect_caller (World *w, WorldCaller *c)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
  int32_t node = world_random (w, 0, WORLD_NODES - 1);
  const char *settings[] = { "token", c->token, NULL };
  bool has_token = *c->token && world_chance (w, 500);
  char user[16];

  if (!w->nodes[node].alive || w->nodes[node].paused_until_ms > w->clock.now_ms)
    {
      schedule_step (w, c, 50);
      return;
    }
  c->node = node;
  c->incarnation = w->nodes[node].incarnation;
  c->session = ++w->next_session;
  c->open = false;
  g_hash_table_insert (w->sessions, &c->session, c);
  e.caller_open.caller = c->session;
  g_snprintf (user, sizeof user, "c%d",
              w->params.broken == WORLD_BREAK_IDENTITY
                  ? world_random (w, 0, WORLD_CALLERS - 1)
                  : c->number);
  e.caller_open.service = "app";
  e.caller_open.user = user;
  e.caller_open.settings = has_token ? settings : NULL;
  world_deliver (w, node, &e);
}

/* --- operations --- */

static bool
is_write (const WorldCaller *c)
{
  return c->op <= OP_TRANSACTION;
}

static SsFiling *
pick_acknowledged (World *w, int64_t before_ms)
{
  GPtrArray *all = w->ledger.acknowledged;

  for (int32_t i = 0; all->len && i < 5; i++)
    {
      SsFiling *f = g_ptr_array_index (
          all, world_random (w, 0, (int32_t) all->len - 1));

      if (f->acknowledged_ms <= before_ms)
        return f;
    }
  return NULL;
}

static void
choose_operation (World *w, WorldCaller *c)
{
  int32_t draw = world_random (w, 0, 99);

  c->expected = NULL;
  c->step = 0;
  c->op_started_ms = w->clock.now_ms;
  c->in_doubt = false;
  if (draw < 45 || c->is_final)
    {
      char key[40];
      char partner[40];

      c->op = draw < 15 ? OP_WRITE
                        : (draw < 30 ? OP_WRITE_IDEMPOTENT : OP_TRANSACTION);
      c->sequence++;
      g_snprintf (key, sizeof key, "c%d-%d", c->number, c->sequence);
      g_snprintf (partner, sizeof partner, "%s-b", key);
      c->write = ss_ledger_add (&w->ledger, key,
                                c->op == OP_TRANSACTION ? partner : NULL);
      return;
    }
  c->op = draw < 75 ? OP_READ_YOUR_WRITES
                    : (draw < 88 ? OP_READ_STRICT : OP_READ_BOUNDED);
}

static char *
insert_sql (const char *key)
{
  return g_strdup_printf ("INSERT INTO t (key, value) VALUES ('%s', '%s')", key,
                          key);
}

static char *
write_sql (const WorldCaller *c)
{
  static const char *const rest[] = { "BEGIN", NULL, NULL, "COMMIT" };

  if (c->op == OP_WRITE_IDEMPOTENT && c->step == 0)
    return g_strdup_printf ("SET sapphirestair.request_id = '%s'",
                            c->write->key);
  if (c->op != OP_TRANSACTION)
    return insert_sql (c->write->key);
  if (c->step == 1)
    return insert_sql (c->write->key);
  if (c->step == 2)
    return insert_sql (c->write->partner);
  return g_strdup (rest[c->step]);
}

static char *
read_sql (World *w, WorldCaller *c)
{
  static const char *const kinds[] = { "session", "strict", "aged" };

  if (c->step == 0)
    return g_strdup_printf ("SET sapphirestair.kind = '%s'",
                            kinds[c->op - OP_READ_YOUR_WRITES]);
  if (c->step == 2)
    return g_strdup ("RESET sapphirestair.kind");
  if (c->op == OP_READ_YOUR_WRITES)
    c->expected = c->last_acknowledged;
  else
    c->expected = pick_acknowledged (
        w, w->clock.now_ms - (c->op == OP_READ_BOUNDED ? STALENESS_MS : 0));
  return g_strdup_printf ("SELECT value FROM t WHERE key = '%s'",
                          c->expected ? c->expected->key : "none");
}

static int32_t
last_step (const WorldCaller *c)
{
  switch (c->op)
    {
    case OP_WRITE:
      return 0;
    case OP_WRITE_IDEMPOTENT:
      return 1;
    case OP_TRANSACTION:
      return 3;
    default:
      return 2;
    }
}

static void
send_next_statement (World *w, WorldCaller *c)
{
  char *sql = is_write (c) ? write_sql (c) : read_sql (w, c);

  send_statement (w, c, sql);
  g_free (sql);
}

static void
end_operation (World *w, WorldCaller *c)
{
  c->write = NULL;
  c->expected = NULL;
  c->step = 0;
  schedule_step (w, c, world_random (w, 1, 60));
}

/* --- replies --- */

static void
check_read (World *w, WorldCaller *c, const SsAction *a)
{
  gsize bytes = 0;
  const char *data = a->bytes ? g_bytes_get_data (a->bytes, &bytes) : "";
  char *value = g_strndup (data, bytes);

  g_strchomp (value);
  if (c->expected && !*value)
    world_violation (w, &w->report->stale,
                     "operation %d of caller %d at node %d does not see %s",
                     c->op, c->number, c->node, c->expected->key);
  else if (*value && (!c->expected || strcmp (value, c->expected->key) != 0))
    world_violation (w, &w->report->crossed, "caller %d read %s instead of %s",
                     c->number, value, c->expected ? c->expected->key : "none");
  g_free (value);
}

static void
operation_succeeded (World *w, WorldCaller *c)
{
  w->report->acknowledged++;
  if (is_write (c))
    {
      ss_ledger_acknowledge (&w->ledger, c->write, w->clock.now_ms);
      c->last_acknowledged = c->write;
      if (c->is_final)
        w->report->recovered = true;
    }
  end_operation (w, c);
}

static bool
stops_retrying (const World *w, const WorldCaller *c)
{
  return w->closing || w->clock.now_ms - c->op_started_ms > RETRY_LIMIT_MS;
}

/* Retries an operation that is safe to retry, or records its outcome. */
static void
operation_failed (World *w, WorldCaller *c, SsVerdict verdict,
                  uint32_t retry_after_ms)
{
  bool not_run = verdict == SS_VERDICT_NOT_RUN;

  if (not_run)
    w->report->not_run++;
  else
    w->report->may_have_run++;
  c->step = 0;
  if (!is_write (c))
    {
      disconnect (w, c);
      end_operation (w, c);
      return;
    }
  if (!not_run)
    c->in_doubt = true;
  if ((not_run || c->op == OP_WRITE_IDEMPOTENT) && !stops_retrying (w, c))
    {
      schedule_step (w, c, MAX (retry_after_ms, 5));
      return;
    }
  c->write->fate = c->in_doubt ? SS_FATE_UNKNOWN : SS_FATE_NOT_RUN;
  end_operation (w, c);
}

static void
check_lateness (World *w, const WorldCaller *c)
{
  if (w->clock.now_ms - c->statement_sent_ms <= DEADLINE_MS + LATENESS_LIMIT_MS)
    return;
  /* With faults, the entry VM may be paused and sends no replies. */
  if (w->params.faults)
    return;
  world_violation (w, &w->report->late, "caller %d waited %d ms for a reply",
                   c->number, (int) (w->clock.now_ms - c->statement_sent_ms));
}

static void
handle_reply (World *w, WorldCaller *c, const SsAction *a)
{
  if (!c->open)
    {
      c->open = a->verdict == SS_VERDICT_RAN;
      if (c->open)
        schedule_step (w, c, 1);
      return;
    }
  c->waiting = false;
  check_lateness (w, c);
  if (a->verdict != SS_VERDICT_RAN)
    {
      if (a->transaction_status != 'I')
        disconnect (w, c);
      operation_failed (w, c, a->verdict, a->retry_after_ms);
      return;
    }
  if (!is_write (c) && c->step == 1)
    check_read (w, c, a);
  if (c->step++ == last_step (c))
    operation_succeeded (w, c);
  else
    schedule_step (w, c, 1);
}

/* The connection to the entry VM is lost.  Of a pending statement, only a
 * COMMIT or a statement outside a transaction may have taken effect.
 */
static void
entry_lost (World *w, WorldCaller *c)
{
  bool was_waiting = c->waiting;
  bool may_have_run = was_waiting && c->step == last_step (c);

  g_hash_table_remove (w->sessions, &c->session);
  c->node = -1;
  c->open = false;
  c->waiting = false;
  if (was_waiting || (c->write && c->step > 0))
    operation_failed (
        w, c, may_have_run ? SS_VERDICT_MAY_HAVE_RUN : SS_VERDICT_NOT_RUN, 20);
  else
    schedule_step (w, c, 20);
}

void
world_callers_node_crashed (World *w, int32_t node)
{
  for (int32_t i = 0; i < WORLD_CALLERS; i++)
    if (w->callers[i].node == node)
      entry_lost (w, &w->callers[i]);
}

void
world_caller_action (World *w, int32_t node, const SsAction *a)
{
  WorldCaller *c = g_hash_table_lookup (w->sessions, &a->id);

  if (!c || c->node != node)
    return;
  switch (a->kind)
    {
    case SS_ACTION_CALLER_REPLY:
      handle_reply (w, c, a);
      break;
    case SS_ACTION_CALLER_PARAMETER:
      g_strlcpy (c->token, a->text, sizeof c->token);
      break;
    default:
      entry_lost (w, c);
      break;
    }
}

/* --- scheduling and final checks --- */

void
world_caller_handle (World *w, ScheduledEvent *scheduled)
{
  WorldCaller *c = &w->callers[scheduled->index];

  if (c->waiting || scheduled->id != c->next_step_id)
    return;
  if (w->closing && !c->is_final && !c->write)
    return;
  if (c->node >= 0 && !c->write && !c->expected && c->step == 0
      && world_chance (w, 120))
    disconnect (w, c);
  if (c->node < 0)
    {
      connect_caller (w, c);
      return;
    }
  if (!c->open || w->nodes[c->node].paused_until_ms > w->clock.now_ms)
    {
      schedule_step (w, c, 50);
      return;
    }
  if (!c->write && c->step == 0)
    choose_operation (w, c);
  send_next_statement (w, c);
}

void
world_callers_init (World *w)
{
  w->sessions = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int32_t i = 0; i < WORLD_CALLERS; i++)
    {
      w->callers[i].number = i;
      w->callers[i].node = -1;
      schedule_step (w, &w->callers[i], world_random (w, 0, 100));
    }
}

/* After the last fault, one caller makes a write that has to succeed; the
 * others finish their current operation.
 */
void
world_callers_start_final_write (World *w)
{
  WorldCaller *c = &w->callers[0];

  w->closing = true;
  c->is_final = true;
  if (!c->waiting && !c->write)
    schedule_step (w, c, 1);
}

static void
count_row (gpointer key, gpointer value, gpointer data)
{
  const GPtrArray *values = value;

  g_hash_table_insert (data, g_strdup (key), GUINT_TO_POINTER (values->len));
}

void
world_callers_check_rows (World *w)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int32_t primary = world_primary (w);
  GHashTable *table
      = primary < 0 ? NULL
                    : ss_store_table (&w->servers[primary].server.store, "t");
  WorldReport *r = w->report;

  if (table)
    g_hash_table_foreach (table, count_row, counts);
  ss_ledger_compare (&w->ledger, counts);
  r->lost += w->ledger.lost;
  r->doubled += w->ledger.doubled;
  r->mixed += w->ledger.mixed;
  r->ran_though_not_run += w->ledger.ran_though_not_run;
  for (int32_t i = 0; i < WORLD_NODES; i++)
    if (w->nodes[i].alive)
      r->replica_reads
          += w->nodes[i].core.counters.values[SS_COUNTER_READS_REPLICA];
  g_hash_table_destroy (counts);
}
