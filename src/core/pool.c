#include <string.h>

#include "core/owner.h"

/* Connections of the server reserved for the control connection and for other
 * clients.
 */
#define CONTROL_RESERVE 2
#define OWNER_SETTLE_MS 3000
#define SUBSTITUTE_CHECK_MS 100

void
ss_pool_free (SsConnection *c)
{
  if (c->job)
    ss_job_free (c->job);
  ss_session_state_finish (&c->held);
  g_queue_clear_full (&c->setup_queue, g_free);
  g_free (c->last_setup);
  g_free (c->vm);
  g_free (c->organisation);
  g_free (c);
}

/* While another VM may also regard itself as the owner of the target, each
 * uses at most half of the server's connections.
 */
uint32_t
ss_pool_max_connections (SsNode *node, const SsOwnedTarget *owned)
{
  uint32_t connections
      = ss_config_max_connections (&node->config, owned->target);

  if (node->config.organisations)
    return MAX (owned->cache.limit, 1);
  if (node->now_ms - owned->owner_since_ms < OWNER_SETTLE_MS
      || !ss_members_is_converged (&node->members))
    connections /= 2;
  return connections > CONTROL_RESERVE ? connections - CONTROL_RESERVE : 1;
}

/* One statement more than the target runs concurrently is sent to it, so that
 * it is never idle between two statements.
 */
uint32_t
ss_pool_capacity_max (SsNode *node, const SsOwnedTarget *owned)
{
  uint32_t connections = ss_pool_max_connections (node, owned);

  if (!owned->target->slots)
    return connections;
  return MIN (owned->target->slots + 1, connections);
}

uint32_t
ss_pool_capacity (SsNode *node, const SsOwnedTarget *owned)
{
  return ss_owner_speed_limit (node, owned, ss_pool_capacity_max (node, owned));
}

SsConnection *
ss_pool_connect (SsNode *node, SsOwnedTarget *owned, const char *organisation,
                 bool is_control)
{
  SsConnection *c = g_new0 (SsConnection, 1);
  SsAction *a = ss_node_push (node, SS_ACTION_TARGET_CONNECT);

  c->id = ++node->next_connection;
  c->owned = owned;
  c->organisation = g_strdup (organisation);
  c->is_control = is_control;
  c->since_ms = node->now_ms;
  g_queue_init (&c->setup_queue);
  ss_session_state_init (&c->held);
  g_hash_table_insert (node->connections, &c->id, c);
  a->id = c->id;
  a->name = g_strdup (owned->target->name);
  a->label = g_strdup (owned->target->group);
  a->organisation = *organisation ? g_strdup (organisation) : NULL;
  a->text = g_strdup (owned->target->ip);
  a->port = owned->target->port;
  ss_node_count (node, SS_COUNTER_TARGET_CONNECTS);
  return c;
}

void
ss_pool_release_slot (SsConnection *c, int64_t ran_ms)
{
  if (!c->holds_slot)
    return;
  c->holds_slot = false;
  ss_queue_done (&c->owned->queue, c->queue_class, ran_ms);
}

void
ss_pool_forget (SsNode *node, SsConnection *c)
{
  ss_pool_release_slot (c, -1);
  if (!c->is_control)
    g_ptr_array_remove_fast (c->owned->connections, c);
  g_hash_table_remove (node->connections, &c->id);
  ss_pool_free (c);
}

void
ss_pool_close (SsNode *node, SsConnection *connection)
{
  ss_node_push (node, SS_ACTION_TARGET_CLOSE)->id = connection->id;
  if (node->config.organisations && !connection->is_control)
    ss_connection_cache_note_closed (&connection->owned->cache, node->now_ms);
  ss_pool_forget (node, connection);
}

SsConnection *
ss_pool_find_pinned (SsOwnedTarget *owned, const char *vm, uint64_t transaction)
{
  for (guint i = 0; i < owned->connections->len; i++)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i);

      if (c->transaction == transaction && c->vm && strcmp (c->vm, vm) == 0)
        return c;
    }
  return NULL;
}

SsConnection *
ss_pool_find_idle (SsOwnedTarget *owned)
{
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->state == SS_CONNECTION_IDLE)
        return c;
    }
  return NULL;
}

SsConnection *
ss_pool_find_nearest (SsOwnedTarget *owned, const SsJob *job)
{
  SsConnection *nearest = NULL;
  uint32_t least = 0;

  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);
      uint32_t distance;

      if (c->state != SS_CONNECTION_IDLE
          || strcmp (c->organisation, job->organisation) != 0)
        continue;
      distance
          = ss_replay_distance (&c->held, (const char *const *) job->values);
      if (nearest && distance >= least)
        continue;
      nearest = c;
      least = distance;
    }
  return nearest;
}

static uint32_t
count_connecting (const SsOwnedTarget *owned)
{
  uint32_t count = 0;

  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);

      count += c->state == SS_CONNECTION_CONNECTING ? 1 : 0;
    }
  return count;
}

void
ss_pool_open_more (SsNode *node, SsOwnedTarget *owned)
{
  uint32_t limit = ss_pool_max_connections (node, owned);
  uint32_t wanted = ss_queue_length (&owned->queue);
  uint32_t connecting = count_connecting (owned);

  if (node->now_ms < owned->connect_after_ms)
    return;
  while (connecting < wanted && owned->connections->len < limit)
    {
      g_ptr_array_add (owned->connections,
                       ss_pool_connect (node, owned, "", false));
      connecting++;
    }
}

/* --- connections that belong to one organisation each --- */

/* Where no VM of the target's failure domain is live, a VM of another one owns
 * it.  Those that the platform still lists may only be cut off, and don't miss
 * this VM.
 */
static bool
is_substitute (SsNode *node, SsOwnedTarget *owned)
{
  const char *domain = owned->target->failure_domain;

  if (node->now_ms - owned->substitute_ms < SUBSTITUTE_CHECK_MS)
    return owned->is_substitute;
  owned->substitute_ms = node->now_ms;
  owned->is_substitute = strcmp (domain, node->members.failure_domain) != 0
                         && ss_members_has_silent (&node->members, domain);
  return owned->is_substitute;
}

/* Records the limit in use and logs what it follows from, where that has
 * changed.
 */
static void
update_limit (SsNode *node, SsOwnedTarget *owned)
{
  SsConnectionCache *cache = &owned->cache;
  SsCacheBounds bounds;
  bool contested;
  uint32_t limit;

  bounds.server_limit
      = ss_config_max_connections (&node->config, owned->target);
  bounds.owner_since_ms = owned->owner_since_ms;
  bounds.is_contested = !ss_members_is_converged (&node->members);
  bounds.is_substitute = is_substitute (node, owned);
  limit = ss_connection_cache_update_limit (cache, &bounds, node->now_ms);
  contested = bounds.is_contested || bounds.is_substitute;
  if (contested != owned->is_contested)
    ss_node_log (node,
                 contested ? SS_EVENT_LOG_TARGET_CONTESTED
                           : SS_EVENT_LOG_TARGET_UNCONTESTED,
                 owned->target->name, "limit=%u bound=%u open=%u", limit,
                 cache->bound, owned->connections->len);
  owned->is_contested = contested;
  if (!cache->is_shrunk || limit < cache->bound)
    return;
  cache->is_shrunk = false;
  ss_node_log (node, SS_EVENT_LOG_CONNECTIONS_REGROWN, owned->target->name,
               "limit=%u", limit);
}

static bool
opens_transaction (const SsJob *job)
{
  return job->begins || ss_session_sql_begins_transaction (job->sql);
}

static SsCacheState
cache_state (const SsConnection *c)
{
  switch (c->state)
    {
    case SS_CONNECTION_CONNECTING:
      return SS_CACHE_CONNECTING;
    case SS_CONNECTION_IDLE:
      return SS_CACHE_IDLE;
    case SS_CONNECTION_PINNED:
      return SS_CACHE_IN_TRANSACTION;
    case SS_CONNECTION_BUSY:
    default:
      return c->vm || (c->job && opens_transaction (c->job))
                 ? SS_CACHE_IN_TRANSACTION
                 : SS_CACHE_RUNNING;
    }
}

void
ss_pool_load (SsNode *node, SsOwnedTarget *owned)
{
  update_limit (node, owned);
  g_array_set_size (owned->cache_view, 0);
  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);
      SsCacheConnection v
          = { c->organisation, cache_state (c),
              c->job && opens_transaction (c->job), c->since_ms };

      g_array_append_val (owned->cache_view, v);
    }
  ss_connection_cache_load (
      &owned->cache, (const SsCacheConnection *) owned->cache_view->data,
      owned->cache_view->len, node->now_ms >= owned->connect_after_ms,
      node->now_ms);
}

static void
log_share (SsNode *node, const SsJob *job)
{
  const SsConnectionCache *cache = &job->owned->cache;

  ss_node_log (node, SS_EVENT_LOG_TRANSACTIONS_WAIT, job->owned->target->name,
               "organisation=%s open=%u share=%u all_share=%u",
               job->organisation, cache->transactions,
               ss_connection_cache_organisation_share (cache),
               ss_connection_cache_total_share (cache));
}

bool
ss_pool_may_run (SsNode *node, SsJob *job)
{
  SsCacheStatement s
      = { job->organisation, opens_transaction (job),
          job->connection_wait_ms ? node->now_ms - job->connection_wait_ms
                                  : 0 };

  job->decision = ss_connection_cache_decide (&job->owned->cache, &s);
  if (job->decision.reaches_share)
    log_share (node, job);
  if (job->decision.action != SS_CACHE_WAIT)
    return true;
  if (!job->connection_wait_ms)
    {
      job->connection_wait_ms = node->now_ms;
      ss_node_count (node, SS_COUNTER_CONNECTION_WAITS);
    }
  return false;
}

void
ss_pool_close_replaced (SsNode *node, SsConnection *connection)
{
  ss_node_count (node, SS_COUNTER_CONNECTIONS_REPLACED);
  ss_pool_close (node, connection);
}

SsConnection *
ss_pool_acquire (SsNode *node, SsOwnedTarget *owned, const SsJob *job)
{
  SsConnection *c;

  if (job->decision.action == SS_CACHE_REUSE)
    {
      ss_node_count (node, SS_COUNTER_CONNECTION_HITS);
      return ss_pool_find_nearest (owned, job);
    }
  if (job->decision.victim >= 0)
    ss_pool_close_replaced (
        node, g_ptr_array_index (owned->connections, job->decision.victim));
  ss_node_count (node, SS_COUNTER_CONNECTION_OPENS);
  c = ss_pool_connect (node, owned, job->organisation, false);
  g_ptr_array_add (owned->connections, c);
  return c;
}

void
ss_pool_tick (SsNode *node, SsOwnedTarget *owned)
{
  int32_t excess;

  update_limit (node, owned);
  if (owned->connections->len <= owned->cache.limit)
    return;
  ss_pool_load (node, owned);
  while ((excess = ss_connection_cache_excess (&owned->cache)) >= 0)
    {
      ss_pool_close (node, g_ptr_array_index (owned->connections, excess));
      ss_pool_load (node, owned);
    }
}

void
ss_pool_refused (SsNode *node, SsOwnedTarget *owned, int64_t pause_ms)
{
  SsConnectionCache *cache = &owned->cache;
  uint32_t before = cache->limit;

  ss_connection_cache_refused (cache, owned->connections->len, pause_ms,
                               node->now_ms);
  ss_node_log (node, SS_EVENT_LOG_CONNECTIONS_REFUSED, owned->target->name,
               "limit=%u before=%u pause_ms=%" G_GINT64_FORMAT, cache->limit,
               before, pause_ms);
}

void
ss_pool_note_held (SsNode *node, SsOwnedTarget *owned, const SsJob *job)
{
  if (!job->pinned && !opens_transaction (job))
    ss_connection_cache_note_held (&owned->cache,
                                   node->now_ms - job->started_ms);
}
