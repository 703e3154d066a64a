#include <string.h>

#include "core/owner.h"
#include "core/run_check.h"

void
ss_job_free (SsJob *job)
{
  g_free (job->vm);
  g_free (job->service);
  g_free (job->organisation);
  g_free (job->sql);
  g_free (job->key);
  g_free (job->trace);
  g_free (job->identity);
  g_free (job->tag);
  g_free (job->label);
  g_strfreev (job->values);
  g_free (job->shape);
  g_clear_pointer (&job->wire, g_bytes_unref);
  g_free (job);
}

static void
log_span (SsNode *node, const SsJob *job, SsVerdict verdict)
{
  if (!node->params.spans)
    return;
  ss_node_log (node, SS_EVENT_LOG_SPAN, job->trace,
               "hop=owner target=%s queue_ms=%" G_GINT64_FORMAT
               " ms=%" G_GINT64_FORMAT " verdict=%s",
               job->owned->target->name,
               job->started_ms ? job->started_ms - job->received_ms : 0,
               node->now_ms - job->received_ms, ss_verdict_name (verdict));
}

static void
send_reply (SsNode *node, const char *vm, Ss__Peer__RunReply *reply)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;

  e.body_case = SS__PEER__ENVELOPE__BODY_RUN_REPLY;
  e.run_reply = reply;
  ss_node_send (node, vm, &e);
}

static void
refuse_run (SsNode *node, const char *vm, const Ss__Peer__Run *run,
            SsReason reason, uint32_t retry_after_ms)
{
  Ss__Peer__RunReply reply = SS__PEER__RUN_REPLY__INIT;

  reply.request = run->request;
  reply.target = run->target;
  reply.verdict = SS_VERDICT_NOT_RUN;
  reply.reason = reason;
  reply.retry_after_ms = retry_after_ms;
  reply.transaction_status = 'I';
  reply.owner_ms = node->params.learn_speed ? 1 : 0;
  if (reason == SS_REASON_BEHIND)
    ss_node_count (node, SS_COUNTER_BEHIND);
  send_reply (node, vm, &reply);
}

void
ss_job_answer (SsNode *node, SsJob *job, SsVerdict verdict, SsReason reason,
               uint32_t retry_after_ms)
{
  Ss__Peer__RunReply reply = SS__PEER__RUN_REPLY__INIT;
  Ss__Peer__Position commit;
  Ss__Peer__Position applied;
  gsize bytes;

  log_span (node, job, verdict);
  reply.request = job->request;
  reply.target = job->owned->target->name;
  reply.verdict = verdict;
  reply.reason = reason;
  reply.retry_after_ms = retry_after_ms;
  reply.waited_ms
      = (uint32_t) ((job->started_ms ? job->started_ms : node->now_ms)
                    - job->received_ms);
  reply.transaction_status = (uint8_t) job->transaction_status;
  ss_position_pack (&commit, job->commit);
  ss_position_pack (&applied, job->applied);
  if (verdict == SS_VERDICT_RAN && job->commit.offset)
    reply.commit = &commit;
  reply.applied = &applied;
  if (job->wire
      && (verdict == SS_VERDICT_RAN || reason == SS_REASON_TARGET_ERROR))
    {
      reply.wire.data = (uint8_t *) g_bytes_get_data (job->wire, &bytes);
      reply.wire.len = bytes;
    }
  if (job->tag)
    reply.tag = job->tag;
  reply.sent = job->sent;
  if (node->params.learn_speed)
    {
      reply.owner_ms = (uint32_t) (node->now_ms - job->received_ms) + 1;
      reply.run_us = (uint32_t) (job->run_ms * 1000);
      reply.behind_ms = job->behind_since_ms
                            ? (uint32_t) (node->now_ms - job->behind_since_ms)
                            : 0;
    }
  send_reply (node, job->vm, &reply);
  ss_job_free (job);
}

static char *
step_sql (SsNode *node, const SsJob *job, uint32_t *skip_results)
{
  const SsDialect *d = node->dialect;
  char *first = NULL;
  char *second = NULL;
  char *sql;

  *skip_results = 0;
  switch (job->step)
    {
    case SS_STEP_CLAIM:
      first = d->claim_key (d, job->key);
      sql = g_strdup_printf ("BEGIN; %s; %s", first, job->sql);
      *skip_results = 2;
      break;
    case SS_STEP_RECORD:
      first = d->record_key (d, job->key, job->tag);
      sql = g_strdup_printf ("%s; COMMIT", first);
      break;
    case SS_STEP_COMMIT:
      first = d->claim_key (d, job->key);
      second = d->record_key (d, job->key, "COMMIT");
      sql = g_strdup_printf ("%s; %s; COMMIT", first, second);
      *skip_results = 2;
      break;
    case SS_STEP_LOOKUP:
      first = d->find_key (d, job->key);
      sql = g_strdup_printf ("ROLLBACK; %s", first);
      *skip_results = 1;
      break;
    case SS_STEP_ROLLBACK:
      sql = g_strdup ("ROLLBACK");
      break;
    case SS_STEP_PLAIN:
    default:
      sql = g_strdup (job->sql);
      break;
    }
  g_free (first);
  g_free (second);
  return sql;
}

void
ss_job_start_step (SsNode *node, SsConnection *c, SsStep step)
{
  SsAction *a;
  uint32_t skip_results;

  c->job->step = step;
  c->state = SS_CONNECTION_BUSY;
  ss_owner_speed_started (node, c);
  a = ss_node_push (node, SS_ACTION_TARGET_QUERY);
  a->id = c->id;
  a->text = step_sql (node, c->job, &skip_results);
  a->skip_results = skip_results;
  a->want_row = step == SS_STEP_LOOKUP;
}

static void
attach_job (SsNode *node, SsConnection *c, SsJob *job)
{
  c->job = job;
  job->connection = c;
  job->started_ms = node->now_ms;
}

static void
start_job (SsNode *node, SsConnection *c, SsJob *job)
{
  attach_job (node, c, job);
  if (ss_dialect_multiplexes_sessions (node->dialect))
    ss_multiplex_start (node, c);
  else if (!job->key)
    ss_job_start_step (node, c, SS_STEP_PLAIN);
  else
    ss_job_start_step (node, c, c->vm ? SS_STEP_COMMIT : SS_STEP_CLAIM);
}

/* Runs queued statements on idle connections, which serve all callers. */
static void
dispatch_shared (SsNode *node, SsOwnedTarget *owned)
{
  while (ss_pool_find_idle (owned))
    {
      SsQueueItem *item = ss_queue_pop (
          &owned->queue, ss_pool_capacity (node, owned), node->now_ms);
      SsConnection *c;

      if (!item)
        return;
      c = ss_pool_find_nearest (owned, (SsJob *) item);
      c->holds_slot = true;
      c->queue_class = item->queue_class;
      start_job (node, c, (SsJob *) item);
    }
  ss_pool_open_more (node, owned);
}

typedef struct
{
  SsNode *node;
  uint64_t victim; /* connection that a waiting statement has closed; 0: none */
} DispatchPass;

static bool
may_run (SsQueueItem *item, void *data)
{
  DispatchPass *pass = data;
  SsJob *job = (SsJob *) item;
  const SsConnection *victim;

  if (ss_pool_may_run (pass->node, job))
    return true;
  if (job->decision.victim >= 0)
    {
      victim
          = g_ptr_array_index (job->owned->connections, job->decision.victim);
      pass->victim = victim->id;
    }
  return false;
}

static SsJob *
pop_runnable (SsNode *node, SsOwnedTarget *owned, DispatchPass *pass)
{
  pass->victim = 0;
  if (ss_queue_length (&owned->queue))
    ss_pool_load (node, owned);
  /* Also where the queue is empty: it then forgets who is ahead. */
  return (SsJob *) ss_queue_pop_where (&owned->queue,
                                       ss_pool_capacity (node, owned),
                                       node->now_ms, may_run, pass);
}

/* Runs queued statements on connections of their organisations.  Statements
 * that have to wait for a connection don't delay the others.  A statement for
 * which one is opened holds its slot meanwhile: at the target, the new
 * connection occupies a slot, too.
 */
static void
dispatch_by_organisation (SsNode *node, SsOwnedTarget *owned)
{
  DispatchPass pass = { node, 0 };
  SsConnection *victim;
  SsJob *job;

  while ((job = pop_runnable (node, owned, &pass)))
    {
      SsConnection *c = ss_pool_acquire (node, owned, job);

      c->holds_slot = true;
      c->queue_class = job->item.queue_class;
      if (c->state == SS_CONNECTION_CONNECTING)
        attach_job (node, c, job);
      else
        start_job (node, c, job);
    }
  victim = g_hash_table_lookup (node->connections, &pass.victim);
  if (victim)
    ss_pool_close_replaced (node, victim);
}

static bool
has_named_connections (const SsOwnedTarget *owned)
{
  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);

      if (*c->organisation)
        return true;
    }
  return false;
}

/* Whether statements run on connections of their organisations.  That remains
 * so for a time after the configuration has lost its organisations: idle
 * connections, queued statements and those of VMs that still have the former
 * configuration belong to one.
 */
static bool
uses_organisations (const SsNode *node, SsOwnedTarget *owned)
{
  if (node->config.organisations)
    owned->by_organisation = true;
  else if (owned->by_organisation && !ss_queue_length (&owned->queue))
    owned->by_organisation = has_named_connections (owned);
  return owned->by_organisation;
}

void
ss_job_dispatch (SsNode *node, SsOwnedTarget *owned)
{
  if (uses_organisations (node, owned))
    dispatch_by_organisation (node, owned);
  else
    dispatch_shared (node, owned);
}

void
ss_job_start_attached (SsNode *node, SsConnection *c)
{
  start_job (node, c, c->job);
}

/* Whether JOB can still run in time after the pause that follows a failed
 * attempt to connect.
 */
static bool
may_try_again (SsNode *node, const SsJob *job)
{
  const SsOwnedTarget *owned = job->owned;
  int64_t pause_ms = MAX (owned->connect_after_ms - node->now_ms, 0);
  int64_t needed_ms
      = pause_ms
        + (int64_t) (owned->cache.connect_ms + owned->queue.mean_run_ms);

  return node->config.organisations && owned->active && !node->stopping
         && !owned->target->draining
         && node->now_ms + needed_ms < job->item.deadline_ms;
}

/* Returns until when JOB meets the latency goal of SERVICE, which counts from
 * the arrival at the entry VM as its deadline does; 0: there is none.
 */
static int64_t
goal_ms (const SsJob *job, const SsService *service)
{
  int64_t arrived_ms = job->received_ms;

  if (!service || !service->latency_goal_ms)
    return 0;
  if (service->timeout_ms)
    arrived_ms = job->item.deadline_ms - service->timeout_ms;
  return MIN (arrived_ms + service->latency_goal_ms, job->item.deadline_ms);
}

static void
assign_job (SsNode *node, SsOwnedTarget *owned, SsJob *job)
{
  SsService *service = ss_config_service (&node->config, job->service);

  job->item.after_run_ms = job->keeps ? (int64_t) owned->mean_hold_ms : 0;
  if (!node->config.organisations)
    {
      ss_queue_assign (&owned->queue, &job->item, job->service,
                       service ? service->flow : job->service,
                       service ? service->weight : 1);
      return;
    }
  job->item.goal_ms = goal_ms (job, service);
  ss_queue_assign_organisation (&owned->queue, &job->item, job->service,
                                job->organisation);
}

void
ss_job_connect_failed (SsNode *node, SsJob *job)
{
  if (!may_try_again (node, job))
    {
      ss_job_answer (node, job, SS_VERDICT_NOT_RUN, SS_REASON_CONNECT,
                     SS_RETRY_SOON_MS);
      return;
    }
  job->connection = NULL;
  job->started_ms = 0;
  ss_node_count (node, SS_COUNTER_CONNECT_RETURNS);
  /* It keeps its rank, which is by its arrival, and has not run.  The queue may
   * have freed its flow meanwhile.
   */
  assign_job (node, job->owned, job);
  ss_queue_charge (&job->owned->queue, &job->item, job->organisation, 0);
  ss_queue_push (&job->owned->queue, &job->item, job->received_ms);
}

bool
ss_owned_covers_floor (const SsOwnedTarget *owned, SsPosition applied,
                       SsPosition floor)
{
  SsPosition translated
      = ss_position_translate (floor, &owned->target->state.history);

  return ss_position_covers (applied, translated);
}

/* A target that still follows an earlier term may hold diverged entries: its
 * offset can be above the floor's although it lacks the entries that the floor
 * counts.  The target checks floors by offset alone, so it gets no read whose
 * floor is of a term that it does not know.
 */
static SsReason
check_floor_term (SsNode *node, SsOwnedTarget *owned, SsPosition floor)
{
  const SsServerState *s = &owned->target->state;

  if (floor.term <= MAX (s->follow_term, s->applied.term))
    return SS_REASON_NONE;
  ss_target_monitor_poll_soon (node, owned);
  return SS_REASON_BEHIND;
}

/* Returns SS_REASON_NONE if the target may take a new statement, else the
 * reason to refuse it.
 */
static SsReason
check_target (SsNode *node, SsOwnedTarget *owned, const Ss__Peer__Run *run)
{
  SsTarget *t = owned->target;
  SsGroup *group = ss_config_group (&node->config, t->group);

  if (!owned->active || node->stopping)
    return SS_REASON_NOT_OWNER;
  if (t->draining)
    return SS_REASON_DRAINING;
  if (!t->state.reachable)
    return SS_REASON_CONNECT;
  if (run->is_read && !run->confirm
      && ss_dialect_multiplexes_sessions (node->dialect))
    return check_floor_term (node, owned, ss_position_unpack (run->floor));
  if (run->is_read && !run->confirm)
    return ss_owned_covers_floor (owned, t->state.applied,
                                  ss_position_unpack (run->floor))
               ? SS_REASON_NONE
               : SS_REASON_BEHIND;
  if (!group || strcmp (group->primary, t->name) != 0
      || t->state.role != SS_SERVER_PRIMARY
      || t->state.shown_term != group->term)
    return SS_REASON_NO_PRIMARY;
  return SS_REASON_NONE;
}

static char **
copy_values (const Ss__Peer__Run *run)
{
  char **values = g_new0 (char *, run->n_values + 2);

  for (size_t i = 0; i + 1 < run->n_values; i += 2)
    {
      values[i] = g_strdup (run->values[i]);
      values[i + 1] = g_strdup (run->values[i + 1]);
    }
  return values;
}

static SsJob *
new_job (SsNode *node, SsOwnedTarget *owned, const char *from,
         const Ss__Peer__Run *run)
{
  const SsService *service = ss_config_service (&node->config, run->service);
  SsJob *job = g_new0 (SsJob, 1);

  job->owned = owned;
  job->request = run->request;
  job->vm = g_strdup (from);
  job->session = run->session;
  job->service = g_strdup (run->service);
  job->organisation = g_strdup (run->organisation);
  if (*job->organisation)
    owned->by_organisation = true;
  job->sql = g_strndup ((const char *) run->sql.data, run->sql.len);
  job->key = *run->request_key ? g_strdup (run->request_key) : NULL;
  job->trace = g_strdup (run->trace);
  job->identity = g_strdup (run->identity);
  job->is_read = run->is_read;
  job->label = *run->label ? g_strdup (run->label) : NULL;
  job->values = copy_values (run);
  job->shape = *run->shape ? g_strdup (run->shape) : NULL;
  job->shape_is_read = run->shape_is_read;
  job->begins = run->begins;
  job->transaction_is_read = run->transaction_is_read;
  job->keeps = run->keeps;
  job->pinned = run->pinned;
  job->confirm = run->confirm;
  job->floor = ss_position_unpack (run->floor);
  job->usual_run_ms = run->usual_run_us / 1000.0;
  job->received_ms = node->now_ms;
  job->transaction_status = 'I';
  job->item.deadline_ms = node->now_ms + run->left_ms;
  job->item.queue_class = run->is_read ? SS_QUEUE_READ : SS_QUEUE_WRITE;
  job->item.bytes = (uint32_t) run->sql.len;
  job->item.urgency = service ? service->urgency : 0;
  return job;
}

static void
run_pinned (SsNode *node, SsOwnedTarget *owned, const char *from,
            const Ss__Peer__Run *run)
{
  SsConnection *c = ss_pool_find_pinned (owned, from, run->transaction);

  if (!c || c->state != SS_CONNECTION_PINNED)
    refuse_run (node, from, run, SS_REASON_TRANSACTION_LOST, 0);
  else
    start_job (node, c, new_job (node, owned, from, run));
}

/* A session that sends a statement outside of a transaction has none open.  A
 * connection that is still pinned to it holds a transaction whose reply was
 * lost, so that transaction is ended.
 */
static void
end_orphaned_transactions (SsNode *node, SsOwnedTarget *owned, const char *from,
                           uint64_t session)
{
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->state == SS_CONNECTION_PINNED && c->session == session && c->vm
          && strcmp (c->vm, from) == 0)
        ss_multiplex_end_transaction (node, c);
    }
}

/* Refuses the last-ranked statements for which the queue leaves no time. */
static void
refuse_overflow (SsNode *node, SsOwnedTarget *owned)
{
  SsQueueItem *item;
  uint32_t retry_after_ms;

  while ((item = ss_queue_overflow (
              &owned->queue, ss_pool_capacity (node, owned), node->now_ms,
              g_rand_double (node->rand), &retry_after_ms)))
    {
      SsJob *job = (SsJob *) item;

      ss_queue_remove (&owned->queue, item);
      ss_node_count (node, SS_COUNTER_OVERLOAD);
      ss_node_count (node, SS_COUNTER_DISPLACED);
      ss_node_log (node, SS_EVENT_LOG_STATEMENT_DISPLACED,
                   job->label ? job->label : job->trace,
                   "target=%s organisation=%s service=%s late=%d"
                   " waited_ms=%" G_GINT64_FORMAT " retry_after_ms=%u",
                   owned->target->name, job->organisation, job->service,
                   item->is_late, node->now_ms - item->queued_ms,
                   retry_after_ms);
      ss_job_answer (node, job, SS_VERDICT_NOT_RUN, SS_REASON_OVERLOAD,
                     retry_after_ms);
    }
}

void
ss_job_queue (SsNode *node, SsOwnedTarget *owned, SsJob *job)
{
  uint32_t retry_after_ms;

  assign_job (node, owned, job);
  if (!ss_queue_admit (&owned->queue, &job->item,
                       ss_pool_capacity (node, owned), node->now_ms,
                       g_rand_double (node->rand), &retry_after_ms))
    {
      ss_node_count (node, SS_COUNTER_OVERLOAD);
      ss_job_answer (node, job, SS_VERDICT_NOT_RUN, SS_REASON_OVERLOAD,
                     retry_after_ms);
      return;
    }
  ss_queue_push (&owned->queue, &job->item, node->now_ms);
  if (node->config.organisations)
    {
      ss_pool_load (node, owned);
      ss_connection_cache_note_arrival (&owned->cache, job->organisation);
    }
  ss_job_dispatch (node, owned);
  if (node->config.organisations)
    refuse_overflow (node, owned);
}

static void
refuse_text (SsNode *node, const char *from, const Ss__Peer__Run *run)
{
  SsShapeSummary shape = ss_shape_summary (run->shape);

  ss_node_count (node, SS_COUNTER_TEXTS_REFUSED);
  ss_node_log (node, SS_EVENT_LOG_TEXT_REFUSED, run->label,
               "vm=%s target=%s text_bytes=%zu " SS_SHAPE_FORMAT, from,
               run->target, run->sql.len, SS_SHAPE_ARGS (shape));
  refuse_run (node, from, run, SS_REASON_BAD_STATEMENT, 0);
}

void
ss_job_run (SsNode *node, const char *from, const Ss__Peer__Run *run)
{
  SsOwnedTarget *owned = ss_owner_find (node, run->target);
  SsReason reason;
  SsJob *job;

  if (!owned)
    {
      refuse_run (node, from, run, SS_REASON_NOT_OWNER, SS_RETRY_SOON_MS);
      return;
    }
  if (!ss_run_is_valid (node->dialect, run))
    {
      refuse_text (node, from, run);
      return;
    }
  if (run->keeps && owned->replication_stalled
      && ss_dialect_multiplexes_sessions (node->dialect))
    {
      refuse_run (node, from, run, SS_REASON_NO_MAJORITY,
                  SS_RETRY_PROMOTION_MS);
      return;
    }
  if (run->pinned)
    {
      run_pinned (node, owned, from, run);
      return;
    }
  end_orphaned_transactions (node, owned, from, run->session);
  reason = check_target (node, owned, run);
  if (reason != SS_REASON_NONE)
    {
      refuse_run (node, from, run, reason, SS_RETRY_SOON_MS);
      return;
    }
  job = new_job (node, owned, from, run);
  if (job->confirm)
    ss_quorum_confirm (node, job);
  else
    ss_job_queue (node, owned, job);
}
