#include <string.h>

#include "tests/world_internal.h"

#define CONNECT_MS 10
#define BREAK_PER_MILLE 4
#define FROZEN_STEP_MS 20
#define MAX_CONNECTIONS 12

/* --- servers --- */

static bool
broken_read_status (const SsDialect *dialect, const char *const *row,
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
eager_read_status (const SsDialect *dialect, const char *const *row,
                   uint32_t cells, SsServerState *state)
{
  const SsDialect *real = ss_dialect_sql ();

  (void) dialect;
  if (!real->read_status (real, row, cells, state))
    return false;
  state->applied = state->held;
  return true;
}

static char *
careless_claim (const SsDialect *dialect, const char *key)
{
  (void) dialect;
  return g_strdup_printf ("INSERT INTO elsewhere (id, outcome) VALUES "
                          "('%s', '')",
                          key);
}

void
world_targets_init (World *w)
{
  w->connections = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    {
      WorldServer *s = &w->servers[i];

      g_snprintf (s->name, sizeof s->name, "s%d", i);
      g_snprintf (s->ip, sizeof s->ip, "10.1.0.%d", i);
      ss_server_init (&s->server, &w->clock.klass, NULL);
      s->server.max_connections = MAX_CONNECTIONS;
      s->server.apply_lag_ms = world_random (w, 0, 100);
      s->alive = true;
    }
  if (w->params.broken == WORLD_BREAK_HELD)
    w->dialect.read_status = broken_read_status;
  if (w->params.broken == WORLD_BREAK_APPLIED)
    w->dialect.read_status = eager_read_status;
  if (w->params.broken == WORLD_BREAK_REQUEST)
    w->dialect.claim_key = careless_claim;
}

static void
free_connection (WorldConnection *c)
{
  ss_sql_session_finish (&c->sql);
  g_byte_array_free (c->out, TRUE);
  g_free (c);
}

void
world_targets_finish (World *w)
{
  GHashTableIter iter;
  gpointer c;

  g_hash_table_iter_init (&iter, w->connections);
  while (g_hash_table_iter_next (&iter, NULL, &c))
    free_connection (c);
  g_hash_table_destroy (w->connections);
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    ss_server_finish (&w->servers[i].server);
}

int32_t
world_primary (const World *w)
{
  int32_t best = -1;

  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    {
      const SsServer *s = &w->servers[i].server;

      if (s->role == SS_ROLE_PRIMARY
          && (best < 0 || s->shown_term > w->servers[best].server.shown_term))
        best = i;
    }
  return best;
}

static int32_t
server_by_ip (const World *w, const char *ip)
{
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    if (strcmp (w->servers[i].ip, ip) == 0)
      return i;
  return -1;
}

/* --- replication --- */

static bool
can_hear (const World *w, int32_t replica, int32_t primary)
{
  const WorldServer *p = &w->servers[primary];

  return p->alive && !p->frozen && !world_is_cut (w, replica, primary);
}

static void
pull (World *w, int32_t replica, int32_t primary)
{
  SsServer *s = &w->servers[replica].server;
  const SsServer *p = &w->servers[primary].server;
  uint64_t from = s->first_wanted;
  uint64_t held = ss_store_held (&p->store);
  uint64_t *terms;
  const char **payloads;
  uint32_t count = 0;

  if (p->role != SS_ROLE_PRIMARY || p->shown_term != s->follow_term)
    return;
  if (from > held
      || ss_store_term_at (&p->store, from)
             != ss_store_term_at (&s->store, from))
    {
      ss_server_take_log (s, "mismatch", NULL, NULL, 0);
      return;
    }
  terms = g_new (uint64_t, held - from + 1);
  payloads = g_new (const char *, held - from + 1);
  for (uint64_t at = from + 1; at <= held; at++)
    {
      terms[count] = ss_store_term_at (&p->store, at);
      payloads[count++] = ss_store_entry (&p->store, at)->payload;
    }
  ss_server_take_log (s, "ok", terms, payloads, count);
  g_free (terms);
  g_free (payloads);
}

void
world_replicate (World *w)
{
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    {
      WorldServer *s = &w->servers[i];
      char **address;
      int32_t primary;

      if (!s->alive || s->frozen)
        continue;
      ss_server_tick (&s->server);
      if (!ss_server_wants_log (&s->server) || w->clock.now_ms < s->pull_ms)
        continue;
      s->pull_ms = w->clock.now_ms + world_random (w, 2, 15);
      address = g_strsplit (s->server.upstream, " ", 2);
      primary = server_by_ip (w, address[0]);
      g_strfreev (address);
      if (primary >= 0 && can_hear (w, i, primary))
        pull (w, i, primary);
    }
}

/* --- connections --- */

static uint64_t
connection_key (const World *w, int32_t node, uint64_t id)
{
  return ((uint64_t) node << 60) | ((uint64_t) w->nodes[node].life << 40) | id;
}

static void
report_closed (World *w, int32_t node, uint32_t life, uint64_t id, bool refused,
               const char *sqlstate)
{
  Item *item = world_add (w, ITEM_CLOSED, world_random (w, 1, 3));

  item->node = node;
  item->life = life;
  item->id = id;
  item->flag = refused;
  g_strlcpy (item->sqlstate, sqlstate, sizeof item->sqlstate);
}

static void
drop_connection (World *w, WorldConnection *c, bool tell)
{
  if (tell)
    report_closed (w, c->node, c->life, c->id, false, "");
  g_hash_table_remove (w->connections, &c->key);
  free_connection (c);
}

static void
drop_where (World *w, int32_t node, int32_t server, bool tell)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, w->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const WorldConnection *c = value;

      if (c->node == node || c->server == server)
        g_ptr_array_add (found, value);
    }
  for (guint i = 0; i < found->len; i++)
    drop_connection (w, g_ptr_array_index (found, i), tell);
  g_ptr_array_free (found, TRUE);
}

void
world_node_gone (World *w, int32_t node)
{
  drop_where (w, node, -1, false);
}

void
world_server_crash (World *w, int32_t server)
{
  WorldServer *s = &w->servers[server];

  if (!s->alive)
    return;
  s->alive = false;
  s->frozen = false;
  drop_where (w, -1, server, true);
}

/* The log and the shown term outlive the process; its role does not. */
void
world_server_restart (World *w, int32_t server)
{
  WorldServer *s = &w->servers[server];

  if (s->alive)
    return;
  s->alive = true;
  s->server.role = SS_ROLE_REPLICA;
  s->server.follow_term = 0;
  g_clear_pointer (&s->server.upstream, g_free);
  s->server.heard_ms = w->clock.now_ms;
  ss_store_apply_to (&s->server.store, ss_store_held (&s->server.store));
}

static uint32_t
count_connections (const World *w, int32_t server)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, w->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((WorldConnection *) value)->server == server ? 1 : 0;
  return count;
}

static void
take_connect (World *w, Item *item)
{
  int32_t server = server_by_ip (w, item->action.text);
  WorldConnection *c;
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  if (server < 0 || !w->servers[server].alive)
    {
      report_closed (w, item->node, item->life, item->action.id, true, "");
      return;
    }
  if (w->servers[server].frozen)
    return; /* no answer: the node gives up */
  if (count_connections (w, server) >= MAX_CONNECTIONS)
    {
      report_closed (w, item->node, item->life, item->action.id, false,
                     "53300");
      return;
    }
  c = g_new0 (WorldConnection, 1);
  c->key = connection_key (w, item->node, item->action.id);
  c->node = item->node;
  c->life = item->life;
  c->id = item->action.id;
  c->server = server;
  c->out = g_byte_array_new ();
  ss_sql_session_init (&c->sql, &w->servers[server].server);
  g_hash_table_insert (w->connections, &c->key, c);
  e.target.connection = item->action.id;
  world_event (w, item->node, &e);
}

/* --- statements --- */

/* A transaction's statements are run one by one where that is broken. */
static bool
is_transaction_word (const char *sql)
{
  return g_str_has_prefix (sql, "BEGIN") || g_str_has_prefix (sql, "COMMIT");
}

static void
run (World *w, WorldConnection *c, const char *sql)
{
  bool was_primary;

  g_byte_array_set_size (c->out, 0);
  c->sql.out = c->out;
  if (w->params.broken == WORLD_BREAK_COMMIT && is_transaction_word (sql))
    sql = "SELECT 1";
  was_primary = c->sql.server->role == SS_ROLE_PRIMARY;
  ss_sql_session_run (&c->sql, sql);
  if (w->params.broken == WORLD_BREAK_TERM && was_primary)
    c->sql.server->role = SS_ROLE_PRIMARY;
}

static SsPosition
held_position (const SsStore *store)
{
  uint64_t held = ss_store_held (store);
  SsPosition p = { ss_store_term_at (store, held), held };

  return p;
}

static void
add_result (World *w, WorldConnection *c, const SsAction *query)
{
  Item *item = world_add (w, ITEM_RESULT, world_random (w, 1, 3));
  const SsStore *store = &c->sql.server->store;

  item->node = c->node;
  item->life = c->life;
  item->id = c->id;
  item->other = c->server;
  item->flag = !c->sql.failed;
  item->result.transaction_status = c->sql.status;
  item->result.commit.offset = c->sql.committed;
  item->result.commit.term = ss_store_term_at (store, c->sql.committed);
  item->result.applied.offset = store->applied;
  item->result.applied.term = ss_store_term_at (store, store->applied);
  if (w->params.broken == WORLD_BREAK_APPLIED)
    item->result.applied = held_position (store);
  item->result.row_cells = query->want_row ? c->sql.row_cells : 0;
  g_strlcpy (item->tag, c->sql.tag, sizeof item->tag);
  g_strlcpy (item->sqlstate, c->sql.sqlstate, sizeof item->sqlstate);
  for (uint32_t i = 0; i < c->sql.row_cells; i++)
    {
      char *joined
          = g_strconcat (item->row ? item->row : "", c->sql.row[i], "\n", NULL);

      g_free (item->row);
      item->row = joined;
    }
  item->wire = g_bytes_new (item->row ? item->row : "",
                            item->row ? strlen (item->row) : 0);
}

static void
take_query (World *w, Item *item)
{
  uint64_t key = connection_key (w, item->node, item->action.id);
  WorldConnection *c = g_hash_table_lookup (w->connections, &key);
  Item *later;

  if (!c || item->life != w->nodes[item->node].life)
    return;
  if (w->servers[c->server].frozen)
    {
      later = world_add (w, ITEM_QUERY, FROZEN_STEP_MS);
      later->node = item->node;
      later->life = item->life;
      later->action = item->action;
      memset (&item->action, 0, sizeof item->action);
      return;
    }
  if (w->params.faults && world_chance (w, BREAK_PER_MILLE))
    {
      /* Lost before it ran, or its answer lost after. */
      if (world_chance (w, 500))
        run (w, c, item->action.text);
      drop_connection (w, c, true);
      return;
    }
  run (w, c, item->action.text);
  add_result (w, c, &item->action);
}

static void
deliver_result (World *w, Item *item)
{
  static uint64_t crossing;
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  uint64_t key = connection_key (w, item->node, item->id);
  char **cells;

  if (!g_hash_table_contains (w->connections, &key))
    return;
  if (w->params.broken == WORLD_BREAK_ANSWER && ++crossing % 50 == 0)
    {
      g_bytes_unref (item->wire);
      item->wire = g_bytes_new_static ("other\n", 6);
    }
  cells = g_strsplit (item->row ? item->row : "", "\n", -1);
  item->result.ok = item->flag;
  item->result.sqlstate = item->sqlstate;
  item->result.tag = item->tag;
  item->result.wire = item->wire;
  item->result.row
      = item->result.row_cells ? (const char *const *) cells : NULL;
  e.target_result.connection = item->id;
  e.target_result.result = &item->result;
  world_event (w, item->node, &e);
  g_strfreev (cells);
}

static void
deliver_closed (World *w, Item *item)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_CLOSED };

  e.target.connection = item->id;
  e.target.refused = item->flag;
  e.target.sqlstate = *item->sqlstate ? item->sqlstate : NULL;
  world_event (w, item->node, &e);
}

void
world_target_item (World *w, Item *item)
{
  if (item->life != w->nodes[item->node].life || !w->nodes[item->node].alive)
    return;
  switch (item->kind)
    {
    case ITEM_CONNECT:
      take_connect (w, item);
      break;
    case ITEM_QUERY:
      take_query (w, item);
      break;
    case ITEM_RESULT:
      deliver_result (w, item);
      break;
    default:
      deliver_closed (w, item);
      break;
    }
}

void
world_target_action (World *w, int32_t node, SsAction *action)
{
  uint64_t key = connection_key (w, node, action->id);
  WorldConnection *c = g_hash_table_lookup (w->connections, &key);
  Item *item;

  if (action->kind == SS_ACTION_TARGET_CLOSE)
    {
      if (c)
        drop_connection (w, c, false);
      return;
    }
  item = world_add (
      w, action->kind == SS_ACTION_TARGET_CONNECT ? ITEM_CONNECT : ITEM_QUERY,
      action->kind == SS_ACTION_TARGET_CONNECT ? CONNECT_MS
                                               : world_random (w, 0, 2));
  item->node = node;
  item->life = w->nodes[node].life;
  item->action = *action;
  memset (action, 0, sizeof *action);
}
