#include <string.h>

#include "tests/sim_internal.h"

#define CONNECT_DELAY_MS 10
#define CONNECTION_LOSS_PER_MILLE 4
#define FROZEN_RETRY_MS 20
#define MAX_CONNECTIONS 12

/* --- servers --- */

static bool
read_status_overstating_held (const SsDialect *dialect, const char *const *row,
                              uint32_t cells, SsServerState *state)
{
  const SsDialect *real = ss_dialect_sql ();

  (void) dialect;
  if (!real->read_status (real, row, cells, state))
    return false;
  state->held.offset += 1000000;
  return true;
}

static bool
read_status_overstating_applied (const SsDialect *dialect,
                                 const char *const *row, uint32_t cells,
                                 SsServerState *state)
{
  const SsDialect *real = ss_dialect_sql ();

  (void) dialect;
  if (!real->read_status (real, row, cells, state))
    return false;
  state->applied = state->held;
  return true;
}

static char *
claim_key_without_uniqueness (const SsDialect *dialect, const char *key)
{
  (void) dialect;
  return g_strdup_printf ("INSERT INTO elsewhere (id, outcome) VALUES "
                          "('%s', '')",
                          key);
}

void
sim_targets_init (Simulation *sim)
{
  sim->connections = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int32_t i = 0; i < SIM_SERVERS; i++)
    {
      SimServer *s = &sim->servers[i];

      g_snprintf (s->name, sizeof s->name, "s%d", i);
      g_snprintf (s->ip, sizeof s->ip, "10.1.0.%d", i);
      ss_server_init (&s->server, &sim->clock.base, NULL);
      s->server.max_connections = MAX_CONNECTIONS;
      s->server.apply_lag_ms = sim_random (sim, 0, 100);
      s->alive = true;
    }
  if (sim->params.defect == SIM_DEFECT_HELD_POSITION)
    sim->dialect.read_status = read_status_overstating_held;
  if (sim->params.defect == SIM_DEFECT_APPLIED_POSITION)
    sim->dialect.read_status = read_status_overstating_applied;
  if (sim->params.defect == SIM_DEFECT_IDEMPOTENCY)
    sim->dialect.claim_key = claim_key_without_uniqueness;
}

static void
free_connection (SimConnection *c)
{
  ss_sql_session_finish (&c->sql);
  g_byte_array_free (c->out, TRUE);
  g_free (c);
}

void
sim_targets_finish (Simulation *sim)
{
  GHashTableIter iter;
  gpointer c;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &c))
    free_connection (c);
  g_hash_table_destroy (sim->connections);
  for (int32_t i = 0; i < SIM_SERVERS; i++)
    ss_server_finish (&sim->servers[i].server);
}

int32_t
sim_primary (const Simulation *sim)
{
  int32_t best = -1;

  for (int32_t i = 0; i < SIM_SERVERS; i++)
    {
      const SsServer *s = &sim->servers[i].server;

      if (s->role == SS_ROLE_PRIMARY
          && (best < 0 || s->shown_term > sim->servers[best].server.shown_term))
        best = i;
    }
  return best;
}

static int32_t
server_by_ip (const Simulation *sim, const char *ip)
{
  for (int32_t i = 0; i < SIM_SERVERS; i++)
    if (strcmp (sim->servers[i].ip, ip) == 0)
      return i;
  return -1;
}

/* --- replication --- */

static bool
can_reach_primary (const Simulation *sim, int32_t replica, int32_t primary)
{
  const SimServer *p = &sim->servers[primary];

  return p->alive && !p->frozen && !sim_is_partitioned (sim, replica, primary);
}

static void
pull_log (Simulation *sim, int32_t replica, int32_t primary)
{
  SsServer *s = &sim->servers[replica].server;
  const SsServer *p = &sim->servers[primary].server;
  uint64_t from = s->fetch_after;
  uint64_t held = ss_store_last_position (&p->store);
  uint64_t *terms;
  const char **payloads;
  uint32_t count = 0;

  if (p->role != SS_ROLE_PRIMARY || p->shown_term != s->follow_term)
    return;
  if (from > held
      || ss_store_term_at (&p->store, from)
             != ss_store_term_at (&s->store, from))
    {
      ss_server_handle_log (s, "mismatch", NULL, NULL, 0);
      return;
    }
  terms = g_new (uint64_t, held - from + 1);
  payloads = g_new (const char *, held - from + 1);
  for (uint64_t at = from + 1; at <= held; at++)
    {
      terms[count] = ss_store_term_at (&p->store, at);
      payloads[count++] = ss_store_entry (&p->store, at)->payload;
    }
  ss_server_handle_log (s, "ok", terms, payloads, count);
  g_free (terms);
  g_free (payloads);
}

void
sim_replicate (Simulation *sim)
{
  for (int32_t i = 0; i < SIM_SERVERS; i++)
    {
      SimServer *s = &sim->servers[i];
      char **address;
      int32_t primary;

      if (!s->alive || s->frozen)
        continue;
      ss_server_tick (&s->server);
      if (!ss_server_is_following (&s->server)
          || sim->clock.now_ms < s->next_pull_ms)
        continue;
      s->next_pull_ms = sim->clock.now_ms + sim_random (sim, 2, 15);
      address = g_strsplit (s->server.upstream, " ", 2);
      primary = server_by_ip (sim, address[0]);
      g_strfreev (address);
      if (primary >= 0 && can_reach_primary (sim, i, primary))
        pull_log (sim, i, primary);
    }
}

/* --- connections --- */

static uint64_t
connection_key (const Simulation *sim, int32_t node, uint64_t id)
{
  return ((uint64_t) node << 60)
         | ((uint64_t) sim->nodes[node].incarnation << 40) | id;
}

static void
schedule_closed (Simulation *sim, int32_t node, uint32_t incarnation,
                 uint64_t id, bool refused, const char *sqlstate)
{
  ScheduledEvent *scheduled
      = sim_schedule (sim, SCHEDULED_TARGET_CLOSED, sim_random (sim, 1, 3));

  scheduled->node = node;
  scheduled->incarnation = incarnation;
  scheduled->id = id;
  scheduled->flag = refused;
  g_strlcpy (scheduled->sqlstate, sqlstate, sizeof scheduled->sqlstate);
}

static void
drop_connection (Simulation *sim, SimConnection *c, bool notify)
{
  if (notify)
    schedule_closed (sim, c->node, c->incarnation, c->id, false, "");
  g_hash_table_remove (sim->connections, &c->key);
  free_connection (c);
}

/* Closes all connections of NODE and all connections to SERVER; -1 stands for
 * none.
 */
static void
drop_connections (Simulation *sim, int32_t node, int32_t server, bool notify)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SimConnection *c = value;

      if (c->node == node || c->server == server)
        g_ptr_array_add (found, value);
    }
  for (guint i = 0; i < found->len; i++)
    drop_connection (sim, g_ptr_array_index (found, i), notify);
  g_ptr_array_free (found, TRUE);
}

void
sim_close_node_connections (Simulation *sim, int32_t node)
{
  drop_connections (sim, node, -1, false);
}

void
sim_server_crash (Simulation *sim, int32_t server)
{
  SimServer *s = &sim->servers[server];

  if (!s->alive)
    return;
  s->alive = false;
  s->frozen = false;
  drop_connections (sim, -1, server, true);
}

/* Restarts a server as a replica that follows no primary.  Its log and highest
 * term are persistent; its role is not.
 */
void
sim_server_restart (Simulation *sim, int32_t server)
{
  SimServer *s = &sim->servers[server];

  if (s->alive)
    return;
  s->alive = true;
  s->server.role = SS_ROLE_REPLICA;
  s->server.follow_term = 0;
  g_clear_pointer (&s->server.upstream, g_free);
  s->server.last_response_ms = sim->clock.now_ms;
  ss_store_apply_to (&s->server.store,
                     ss_store_last_position (&s->server.store));
}

static uint32_t
count_connections (const Simulation *sim, int32_t server)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((SimConnection *) value)->server == server ? 1 : 0;
  return count;
}

static void
handle_connect (Simulation *sim, ScheduledEvent *scheduled)
{
  int32_t server = server_by_ip (sim, scheduled->action.text);
  SimConnection *c;
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  if (server < 0 || !sim->servers[server].alive)
    {
      schedule_closed (sim, scheduled->node, scheduled->incarnation,
                       scheduled->action.id, true, "");
      return;
    }
  if (sim->servers[server].frozen)
    return; /* no answer: the attempt times out at the node */
  if (count_connections (sim, server) >= MAX_CONNECTIONS)
    {
      schedule_closed (sim, scheduled->node, scheduled->incarnation,
                       scheduled->action.id, false, "53300");
      return;
    }
  c = g_new0 (SimConnection, 1);
  c->key = connection_key (sim, scheduled->node, scheduled->action.id);
  c->node = scheduled->node;
  c->incarnation = scheduled->incarnation;
  c->id = scheduled->action.id;
  c->server = server;
  c->out = g_byte_array_new ();
  ss_sql_session_init (&c->sql, &sim->servers[server].server);
  g_hash_table_insert (sim->connections, &c->key, c);
  e.target.connection = scheduled->action.id;
  sim_deliver (sim, scheduled->node, &e);
}

/* --- statements --- */

/* SIM_DEFECT_ATOMICITY skips these statements, so that each write commits on
 * its own.
 */
static bool
is_transaction_boundary (const char *sql)
{
  return g_str_has_prefix (sql, "BEGIN") || g_str_has_prefix (sql, "COMMIT");
}

static void
run_statement (Simulation *sim, SimConnection *c, const char *sql)
{
  bool was_primary;

  g_byte_array_set_size (c->out, 0);
  c->sql.out = c->out;
  if (sim->params.defect == SIM_DEFECT_ATOMICITY
      && is_transaction_boundary (sql))
    sql = "SELECT 1";
  was_primary = c->sql.server->role == SS_ROLE_PRIMARY;
  ss_sql_session_run (&c->sql, sql);
  if (sim->params.defect == SIM_DEFECT_FENCING && was_primary)
    c->sql.server->role = SS_ROLE_PRIMARY;
}

static SsPosition
held_position (const SsStore *store)
{
  uint64_t held = ss_store_last_position (store);
  SsPosition p = { ss_store_term_at (store, held), held };

  return p;
}

static void
schedule_result (Simulation *sim, SimConnection *c, const SsAction *query)
{
  ScheduledEvent *scheduled
      = sim_schedule (sim, SCHEDULED_TARGET_RESULT, sim_random (sim, 1, 3));
  const SsStore *store = &c->sql.server->store;

  scheduled->node = c->node;
  scheduled->incarnation = c->incarnation;
  scheduled->id = c->id;
  scheduled->index = c->server;
  scheduled->flag = !c->sql.failed;
  scheduled->result.transaction_status = c->sql.status;
  scheduled->result.commit.offset = c->sql.commit_position;
  scheduled->result.commit.term
      = ss_store_term_at (store, c->sql.commit_position);
  scheduled->result.applied.offset = store->applied;
  scheduled->result.applied.term = ss_store_term_at (store, store->applied);
  if (sim->params.defect == SIM_DEFECT_APPLIED_POSITION)
    scheduled->result.applied = held_position (store);
  scheduled->result.row_cells = query->want_row ? c->sql.row_cells : 0;
  g_strlcpy (scheduled->tag, c->sql.tag, sizeof scheduled->tag);
  g_strlcpy (scheduled->sqlstate, c->sql.sqlstate, sizeof scheduled->sqlstate);
  for (uint32_t i = 0; i < c->sql.row_cells; i++)
    {
      char *joined = g_strconcat (scheduled->row ? scheduled->row : "",
                                  c->sql.row[i], "\n", NULL);

      g_free (scheduled->row);
      scheduled->row = joined;
    }
  scheduled->wire = g_bytes_new (scheduled->row ? scheduled->row : "",
                                 scheduled->row ? strlen (scheduled->row) : 0);
}

static void
handle_query (Simulation *sim, ScheduledEvent *scheduled)
{
  uint64_t key = connection_key (sim, scheduled->node, scheduled->action.id);
  SimConnection *c = g_hash_table_lookup (sim->connections, &key);
  ScheduledEvent *retry;

  if (!c || scheduled->incarnation != sim->nodes[scheduled->node].incarnation)
    return;
  if (sim->servers[c->server].frozen)
    {
      retry = sim_schedule (sim, SCHEDULED_TARGET_QUERY, FROZEN_RETRY_MS);
      retry->node = scheduled->node;
      retry->incarnation = scheduled->incarnation;
      retry->action = scheduled->action;
      memset (&scheduled->action, 0, sizeof scheduled->action);
      return;
    }
  if (sim->params.faults && sim_chance (sim, CONNECTION_LOSS_PER_MILLE))
    {
      /* The connection is lost before the statement runs or after it. */
      if (sim_chance (sim, 500))
        run_statement (sim, c, scheduled->action.text);
      drop_connection (sim, c, true);
      return;
    }
  run_statement (sim, c, scheduled->action.text);
  schedule_result (sim, c, &scheduled->action);
}

static void
deliver_result (Simulation *sim, ScheduledEvent *scheduled)
{
  static uint64_t results;
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  uint64_t key = connection_key (sim, scheduled->node, scheduled->id);
  char **cells;

  if (!g_hash_table_contains (sim->connections, &key))
    return;
  if (sim->params.defect == SIM_DEFECT_RESULT && ++results % 50 == 0)
    {
      g_bytes_unref (scheduled->wire);
      scheduled->wire = g_bytes_new_static ("other\n", 6);
    }
  cells = g_strsplit (scheduled->row ? scheduled->row : "", "\n", -1);
  scheduled->result.ok = scheduled->flag;
  scheduled->result.sqlstate = scheduled->sqlstate;
  scheduled->result.tag = scheduled->tag;
  scheduled->result.wire = scheduled->wire;
  scheduled->result.row
      = scheduled->result.row_cells ? (const char *const *) cells : NULL;
  e.target_result.connection = scheduled->id;
  e.target_result.result = &scheduled->result;
  sim_deliver (sim, scheduled->node, &e);
  g_strfreev (cells);
}

static void
deliver_closed (Simulation *sim, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_CLOSED };

  e.target.connection = scheduled->id;
  e.target.refused = scheduled->flag;
  e.target.sqlstate = *scheduled->sqlstate ? scheduled->sqlstate : NULL;
  sim_deliver (sim, scheduled->node, &e);
}

void
sim_target_handle (Simulation *sim, ScheduledEvent *scheduled)
{
  if (scheduled->incarnation != sim->nodes[scheduled->node].incarnation
      || !sim->nodes[scheduled->node].alive)
    return;
  switch (scheduled->kind)
    {
    case SCHEDULED_TARGET_CONNECT:
      handle_connect (sim, scheduled);
      break;
    case SCHEDULED_TARGET_QUERY:
      handle_query (sim, scheduled);
      break;
    case SCHEDULED_TARGET_RESULT:
      deliver_result (sim, scheduled);
      break;
    default:
      deliver_closed (sim, scheduled);
      break;
    }
}

void
sim_target_action (Simulation *sim, int32_t node, SsAction *action)
{
  uint64_t key = connection_key (sim, node, action->id);
  SimConnection *c = g_hash_table_lookup (sim->connections, &key);
  ScheduledEvent *scheduled;

  if (action->kind == SS_ACTION_TARGET_CLOSE)
    {
      if (c)
        drop_connection (sim, c, false);
      return;
    }
  scheduled = sim_schedule (
      sim,
      action->kind == SS_ACTION_TARGET_CONNECT ? SCHEDULED_TARGET_CONNECT
                                               : SCHEDULED_TARGET_QUERY,
      action->kind == SS_ACTION_TARGET_CONNECT ? CONNECT_DELAY_MS
                                               : sim_random (sim, 0, 2));
  scheduled->node = node;
  scheduled->incarnation = sim->nodes[node].incarnation;
  scheduled->action = *action;
  memset (action, 0, sizeof *action);
}
