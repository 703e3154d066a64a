#include <string.h>

#include "core/owner.h"

/* Connections of the server reserved for the control connection and for other
 * clients.
 */
#define CONTROL_RESERVE 2
#define OWNER_SETTLE_MS 3000

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

  if (node->now_ms - owned->owner_since_ms < OWNER_SETTLE_MS
      || !ss_members_is_converged (&node->members))
    connections /= 2;
  return connections > CONTROL_RESERVE ? connections - CONTROL_RESERVE : 1;
}

/* One statement more than the target runs concurrently is sent to it, so that
 * it is never idle between two statements.
 */
uint32_t
ss_pool_capacity (SsNode *node, const SsOwnedTarget *owned)
{
  uint32_t limit = ss_pool_max_connections (node, owned);

  if (owned->target->slots)
    limit = MIN (owned->target->slots + 1, limit);
  return ss_owner_speed_limit (node, owned, limit);
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

static bool
may_connect (SsNode *node, const SsOwnedTarget *owned)
{
  return node->now_ms >= owned->connect_after_ms;
}

/* Returns the idle connection that was not used for the longest time, or NULL.
 */
static SsConnection *
find_least_recently_used (const SsOwnedTarget *owned)
{
  SsConnection *oldest = NULL;

  for (guint i = 0; i < owned->connections->len; i++)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i);

      if (c->state == SS_CONNECTION_IDLE
          && (!oldest || c->since_ms < oldest->since_ms))
        oldest = c;
    }
  return oldest;
}

bool
ss_pool_has_room (SsNode *node, const SsOwnedTarget *owned)
{
  return may_connect (node, owned)
         && (owned->connections->len < ss_pool_max_connections (node, owned)
             || find_least_recently_used (owned) != NULL);
}

SsConnection *
ss_pool_acquire (SsNode *node, SsOwnedTarget *owned, const SsJob *job)
{
  SsConnection *c = ss_pool_find_nearest (owned, job);

  if (c)
    return c;
  if (owned->connections->len >= ss_pool_max_connections (node, owned))
    ss_pool_close (node, find_least_recently_used (owned));
  c = ss_pool_connect (node, owned, job->organisation, false);
  g_ptr_array_add (owned->connections, c);
  return c;
}
