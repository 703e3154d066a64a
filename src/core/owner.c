#include <string.h>

#include "core/owner.h"
#include "kernel/compare.h"

#define CONNECT_TIMEOUT_MS 1000
#define CONNECT_BACKOFF_MS 50
/* Longest pause while the target has too many connections. */
#define CONNECT_BACKOFF_MAX_MS 1600
#define IDLE_CONNECTION_MS 30000
/* A connection of an organisation is closed when another one needs its place,
 * or after this time.
 */
#define CACHED_CONNECTION_MS 300000
/* A target that does not answer ROLLBACK within this time is assumed to have
 * lost the transaction; the connection is closed.
 */
#define ROLLBACK_TIMEOUT_MS 2000
#define TOO_MANY_CONNECTIONS "53300"
/* Statements let through in this time before a later term is known are logged:
 * longer than a lease and a promotion.
 */
#define RELIED_LOGGED_MS 10000

static void
free_status_request (gpointer data)
{
  SsStatusRequest *request = data;

  g_free (request->vm);
  g_strfreev (request->identities);
  g_free (request);
}

static void
free_owned (gpointer data)
{
  SsOwnedTarget *o = data;

  ss_queue_finish (&o->queue);
  ss_owner_speed_finish (o);
  ss_writers_finish (&o->writers);
  g_ptr_array_free (o->connections, TRUE);
  ss_connection_cache_finish (&o->cache);
  g_array_free (o->cache_view, TRUE);
  g_ptr_array_free (o->status_requests, TRUE);
  g_ptr_array_free (o->raise_requesters, TRUE);
  g_ptr_array_free (o->round.requesters, TRUE);
  g_ptr_array_free (o->round.next, TRUE);
  g_hash_table_destroy (o->subscribers);
  g_free (o);
}

void
ss_owner_init (SsNode *node)
{
  node->owned = g_tree_new_full (ss_compare_strings, NULL, g_free, free_owned);
  node->connections = g_hash_table_new (g_int64_hash, g_int64_equal);
}

SsOwnedTarget *
ss_owner_find (SsNode *node, const char *target)
{
  return g_tree_lookup (node->owned, target);
}

void
ss_owner_ready (SsNode *node, uint64_t connection)
{
  SsConnection *c = g_hash_table_lookup (node->connections, &connection);

  if (!c)
    return;
  if (!c->is_control)
    ss_connection_cache_note_opened (&c->owned->cache,
                                     node->now_ms - c->since_ms);
  c->state = SS_CONNECTION_IDLE;
  c->since_ms = node->now_ms;
  if (!c->owned->cache.is_shrunk)
    ss_backoff_reset (&c->owned->connect_backoff);
  if (c->is_control)
    ss_target_monitor_ready (node, c->owned);
  else if (c->job)
    ss_job_start_attached (node, c);
  else
    ss_job_dispatch (node, c->owned);
}

void
ss_owner_closed (SsNode *node, const SsEvent *event)
{
  const char *sqlstate = event->target.sqlstate;
  SsConnection *c
      = g_hash_table_lookup (node->connections, &event->target.connection);
  SsOwnedTarget *owned;
  SsJob *job;
  bool was_connecting;
  bool is_full;
  int64_t pause_ms = 0;

  if (!c)
    return;
  owned = c->owned;
  if (c->is_control)
    {
      owned->control = NULL;
      ss_pool_forget (node, c);
      ss_target_monitor_closed (
          node, owned, event->target.refused || event->target.is_wrong_server);
      return;
    }
  if (c->state == SS_CONNECTION_CONNECTING)
    owned->connect_after_ms = node->now_ms + CONNECT_BACKOFF_MS;
  is_full = sqlstate && strcmp (sqlstate, TOO_MANY_CONNECTIONS) == 0;
  if (is_full)
    pause_ms = ss_backoff_next (&owned->connect_backoff, node->rand,
                                CONNECT_BACKOFF_MS * 4, CONNECT_BACKOFF_MAX_MS);
  /* With a limit that has just been lowered, another attempt may succeed. */
  if (is_full && !(node->config.organisations && owned->connections->len > 1))
    owned->connect_after_ms = node->now_ms + pause_ms;
  was_connecting = c->state == SS_CONNECTION_CONNECTING;
  job = g_steal_pointer (&c->job);
  if (job)
    ss_owner_speed_lost (node, job);
  ss_pool_forget (node, c);
  if (is_full && node->config.organisations)
    ss_pool_refused (node, owned, pause_ms);
  if (job && was_connecting)
    ss_job_connect_failed (node, job);
  else if (job)
    {
      job->transaction_status = 'I';
      ss_job_answer (node, job, ss_job_lost_verdict (job),
                     SS_REASON_CONNECTION_LOST, SS_RETRY_SOON_MS);
    }
  ss_target_monitor_poll_soon (node, owned);
}

static gboolean
free_waiting_jobs (gpointer key, gpointer value, gpointer data)
{
  SsOwnedTarget *o = value;
  SsJob *job;
  GPtrArray *unsent;

  (void) key;
  (void) data;
  while ((job = g_queue_pop_head (&o->waiters)))
    ss_job_free (job);
  unsent = ss_owner_unsent_jobs (o, NULL);
  for (guint i = 0; i < unsent->len; i++)
    ss_job_free (g_ptr_array_index (unsent, i));
  g_ptr_array_free (unsent, TRUE);
  g_queue_clear (&o->unconfirmed);
  return FALSE;
}

void
ss_owner_finish (SsNode *node)
{
  GHashTableIter iter;
  gpointer connection;

  g_hash_table_iter_init (&iter, node->connections);
  while (g_hash_table_iter_next (&iter, NULL, &connection))
    ss_pool_free (connection);
  g_hash_table_destroy (node->connections);
  g_tree_foreach (node->owned, free_waiting_jobs, NULL);
  g_tree_destroy (node->owned);
}

static SsOwnedTarget *
add_owned (SsNode *node, SsTarget *target)
{
  SsOwnedTarget *o = g_new0 (SsOwnedTarget, 1);

  o->target = target;
  o->incarnation = target->incarnation;
  ss_queue_init (&o->queue);
  ss_owner_speed_init (o);
  ss_writers_init (&o->writers);
  o->connections = g_ptr_array_new ();
  ss_connection_cache_init (&o->cache);
  o->cache_view = g_array_new (FALSE, FALSE, sizeof (SsCacheConnection));
  o->status_requests = g_ptr_array_new_with_free_func (free_status_request);
  o->raise_requesters = g_ptr_array_new_with_free_func (g_free);
  o->round.requesters = g_ptr_array_new_with_free_func (free_status_request);
  o->round.next = g_ptr_array_new_with_free_func (free_status_request);
  o->subscribers = ss_subscribers_new ();
  g_tree_insert (node->owned, g_strdup (target->name), o);
  return o;
}

static void
add_load (SsOwnedTarget *owned, SsOwnerLoad *load)
{
  load->queued += ss_queue_length (&owned->queue);
  load->unconfirmed += owned->unconfirmed.length;
  load->commits += owned->waiters.length;
  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);

      if (c->job)
        load->running++;
      else if (c->vm || c->rolls_back)
        load->transactions++;
    }
}

static bool
is_no_load (const SsOwnerLoad *load)
{
  return !load->queued && !load->unconfirmed && !load->running
         && !load->transactions && !load->commits;
}

/* Records whether statements run or wait at OWNED, which this VM has given up.
 */
static void
update_finishing (SsOwnedTarget *owned)
{
  SsOwnerLoad load = { 0 };

  add_load (owned, &load);
  owned->target->is_finishing = !owned->active && !is_no_load (&load);
}

/* Another VM owns the target now.  Running statements, open transactions and
 * commits that wait for a majority continue; what has not been sent is refused,
 * and unused connections are closed.
 */
static void
release_target (SsNode *node, SsOwnedTarget *owned)
{
  ss_owner_refuse_unsent (node, owned, NULL, SS_REASON_NOT_OWNER);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->state == SS_CONNECTION_IDLE
          || c->state == SS_CONNECTION_CONNECTING)
        ss_owner_end_connection (node, c, SS_REASON_NOT_OWNER);
    }
  if (owned->control)
    ss_pool_close (node, g_steal_pointer (&owned->control));
  owned->control_step = SS_CONTROL_NONE;
  /* Those who asked ask the new owner after a pause. */
  g_ptr_array_set_size (owned->status_requests, 0);
  owned->raise_term = 0;
  g_ptr_array_set_size (owned->raise_requesters, 0);
  update_finishing (owned);
}

SsGroup *
ss_owned_group (SsNode *node, const SsOwnedTarget *owned)
{
  return ss_config_group (&node->config, owned->target->group);
}

void
ss_owner_unreachable (SsNode *node, SsOwnedTarget *owned)
{
  ss_owner_refuse_unsent (node, owned, NULL, SS_REASON_CONNECT);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->job && c->state == SS_CONNECTION_CONNECTING)
        ss_job_give_up (node, c, SS_REASON_CONNECT);
      else if (c->job && c->job->is_read)
        ss_job_give_up (node, c, SS_REASON_CONNECTION_LOST);
    }
}

/* A later term is in force.  Writes that the target still runs as the former
 * primary can't be acknowledged any more, so they are answered now.
 */
static void
end_superseded (SsNode *node, SsOwnedTarget *owned)
{
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->queue_class != SS_QUEUE_WRITE)
        continue;
      if (c->job)
        ss_job_give_up (node, c, SS_REASON_SUPERSEDED);
      else if (c->state == SS_CONNECTION_PINNED)
        ss_pool_close (node, c);
    }
}

/* Logs the latest statements that were let through in an earlier term: those
 * that are stale if the term began before.
 */
static void
log_relied (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  int64_t since_ms = node->now_ms - RELIED_LOGGED_MS;
  SsReliedStatement s;

  while (ss_reliance_take (&owned->reliance, group->term, since_ms, &s))
    ss_node_log (node, SS_EVENT_LOG_STATEMENT_RELIED, s.label,
                 "target=%s term=%" G_GUINT64_FORMAT
                 " later_term=%" G_GUINT64_FORMAT
                 " basis=%s before_ms=%" G_GINT64_FORMAT
                 " basis_age_ms=%" G_GINT64_FORMAT,
                 owned->target->name, s.term, group->term,
                 ss_reliance_basis_name (s.basis), node->now_ms - s.at_ms,
                 s.at_ms - s.confirmed_ms);
}

static void
check_term (SsNode *node, SsOwnedTarget *owned)
{
  const SsGroup *group = ss_owned_group (node, owned);

  if (!group || group->term == owned->group_term)
    return;
  log_relied (node, owned, group);
  if (owned->group_term && strcmp (group->primary, owned->target->name) != 0)
    end_superseded (node, owned);
  owned->group_term = group->term;
  if (ss_dialect_multiplexes_sessions (node->dialect) && owned->active)
    ss_target_monitor_poll_soon (node, owned);
}

/* The target has restarted, or its name has passed to another server.  A
 * connection to the former one may not have broken yet, and what it still
 * answers is void.
 */
static void
end_incarnation (SsNode *node, SsOwnedTarget *owned)
{
  owned->incarnation = owned->target->incarnation;
  ss_node_log (node, SS_EVENT_LOG_TARGET_RESTARTED, owned->target->name,
               "born_ms=%" G_GINT64_FORMAT " connections=%u",
               owned->target->born_ms, owned->connections->len);
  ss_owner_refuse_unsent (node, owned, NULL, SS_REASON_CONNECT);
  for (guint i = owned->connections->len; i > 0; i--)
    ss_owner_end_connection (node,
                             g_ptr_array_index (owned->connections, i - 1),
                             SS_REASON_CONNECTION_LOST);
  if (owned->control)
    ss_pool_close (node, g_steal_pointer (&owned->control));
  owned->control_step = SS_CONTROL_NONE;
  owned->control_after_ms = node->now_ms;
  owned->connect_after_ms = node->now_ms;
  owned->poll_due_ms = node->now_ms;
  owned->last_position = (SsConfirmedPosition){ 0 };
  owned->last_position.requested_ms = node->now_ms;
  /* The server that has lost them counts for no majority. */
  ss_quorum_end_commits (node, owned, SS_REASON_NOT_HELD);
}

/* Adds T to the targets owned here if this VM has become its owner. */
static gboolean
add_new (gpointer key, gpointer value, gpointer data)
{
  SsNode *node = data;
  SsTarget *t = value;

  (void) key;
  if (ss_node_is_owner (node, t) && !ss_owner_find (node, t->name))
    add_owned (node, t);
  return FALSE;
}

static void
update_owned (SsNode *node, SsOwnedTarget *o)
{
  bool is_owner = ss_node_is_owner (node, o->target);

  if (o->incarnation != o->target->incarnation)
    end_incarnation (node, o);
  check_term (node, o);
  if (o->active == is_owner)
    return;
  o->active = is_owner;
  o->owner_since_ms = node->now_ms;
  ss_connection_cache_restart (&o->cache);
  if (!is_owner)
    {
      release_target (node, o);
      return;
    }
  o->target->is_finishing = false;
  ss_owner_speed_resume (node, o);
}

void
ss_owner_update (SsNode *node)
{
  GPtrArray *owned;

  /* Until then this VM owns nothing. */
  if (!node->settled)
    return;
  if (node->targets_changed
      || node->owners_generation != node->members.generation)
    g_tree_foreach (node->config.targets, add_new, node);
  node->targets_changed = false;
  node->owners_generation = node->members.generation;
  owned = ss_owner_all (node);
  for (guint i = 0; i < owned->len; i++)
    update_owned (node, g_ptr_array_index (owned, i));
  g_ptr_array_free (owned, TRUE);
  /* A change of ownership changes the leases that this VM may hold, so its
   * directory object is written at once.
   */
  node->directory_due_ms = MIN (node->directory_due_ms, node->now_ms);
}

static void
refuse_expired (SsNode *node, SsOwnedTarget *owned)
{
  SsQueueItem *item;

  while ((item = ss_queue_expired (&owned->queue, node->now_ms)))
    {
      ss_queue_remove (&owned->queue, item);
      ss_job_answer (node, (SsJob *) item, SS_VERDICT_NOT_RUN,
                     SS_REASON_DEADLINE, SS_RETRY_SOON_MS);
    }
}

static int64_t
transaction_idle_ms (const SsNode *node)
{
  return node->config.transaction_idle_ms ? node->config.transaction_idle_ms
                                          : node->params.transaction_idle_ms;
}

/* Closes C, whose target has not answered, and returns its job to the queue if
 * there is time for another attempt.
 */
static void
end_connect_attempt (SsNode *node, SsConnection *c)
{
  SsJob *job = g_steal_pointer (&c->job);

  ss_pool_close (node, c);
  if (job)
    ss_job_connect_failed (node, job);
}

/* The cache keeps idle connections, but none to a target that is leaving. */
static int64_t
idle_limit_ms (const SsNode *node, const SsOwnedTarget *owned)
{
  if (!node->config.organisations)
    return IDLE_CONNECTION_MS;
  return owned->target->draining && !ss_queue_length (&owned->queue)
             ? 0
             : CACHED_CONNECTION_MS;
}

static void
tick_connection (SsNode *node, SsConnection *c)
{
  int64_t age_ms = node->now_ms - c->since_ms;

  switch (c->state)
    {
    case SS_CONNECTION_CONNECTING:
      if (age_ms >= CONNECT_TIMEOUT_MS)
        {
          c->owned->connect_after_ms = node->now_ms + CONNECT_BACKOFF_MS;
          end_connect_attempt (node, c);
        }
      else if (c->job && node->now_ms >= c->job->item.deadline_ms)
        ss_owner_end_connection (node, c, SS_REASON_DEADLINE);
      break;
    case SS_CONNECTION_IDLE:
      if (age_ms >= idle_limit_ms (node, c->owned))
        ss_pool_close (node, c);
      break;
    case SS_CONNECTION_PINNED:
      if (age_ms >= transaction_idle_ms (node))
        ss_multiplex_end_transaction (node, c);
      break;
    case SS_CONNECTION_BUSY:
    default:
      if (c->job && node->now_ms >= c->job->item.deadline_ms)
        ss_job_give_up (node, c, SS_REASON_DEADLINE);
      else if (c->job && c->resend_at_ms && node->now_ms >= c->resend_at_ms)
        ss_multiplex_resend (node, c);
      else if (c->rolls_back && age_ms >= ROLLBACK_TIMEOUT_MS)
        ss_pool_close (node, c);
      break;
    }
}

void
ss_owner_tick (SsNode *node)
{
  GPtrArray *owned = ss_owner_all (node);

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwnedTarget *o = g_ptr_array_index (owned, i);

      refuse_expired (node, o);
      for (guint j = o->connections->len; j > 0; j--)
        tick_connection (node, g_ptr_array_index (o->connections, j - 1));
      if (node->config.organisations && o->active)
        ss_pool_tick (node, o);
      if (ss_queue_length (&o->queue))
        ss_job_dispatch (node, o);
      ss_quorum_tick (node, o);
      if (o->active)
        ss_target_monitor_tick (node, o);
      else
        update_finishing (o);
    }
  g_ptr_array_free (owned, TRUE);
}

void
ss_owner_load (SsNode *node, SsOwnerLoad *load)
{
  GPtrArray *owned = ss_owner_all (node);

  memset (load, 0, sizeof *load);
  for (guint i = 0; i < owned->len; i++)
    add_load (g_ptr_array_index (owned, i), load);
  g_ptr_array_free (owned, TRUE);
}

bool
ss_owner_is_idle (SsNode *node)
{
  SsOwnerLoad load;

  ss_owner_load (node, &load);
  return is_no_load (&load);
}
