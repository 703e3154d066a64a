#include <string.h>

#include "core/internal.h"

/* Connections of the server that are left to control and to others. */
#define CONTROL_RESERVE 2
#define CONNECT_TIMEOUT_MS 1000
#define CONNECT_BACKOFF_MS 50
#define IDLE_CONNECTION_MS 30000
#define OWNER_SETTLE_MS 3000
#define TOO_MANY_CONNECTIONS "53300"
#define UNIQUE_VIOLATION "23505"
#define LOCK_NOT_AVAILABLE "55P03"
#define READ_ONLY_SERVER "25006"

static void dispatch (SsNode *node, SsOwned *owned);

static void
free_job (SsJob *job)
{
  g_free (job->vm);
  g_free (job->service);
  g_free (job->sql);
  g_free (job->key);
  g_free (job->trace);
  g_free (job->tag);
  g_clear_pointer (&job->wire, g_bytes_unref);
  g_free (job);
}

static void
free_ask (gpointer data)
{
  SsAsk *ask = data;

  g_free (ask->vm);
  g_free (ask);
}

static void
free_owned (gpointer data)
{
  SsOwned *o = data;

  ss_queue_finish (&o->queue);
  g_ptr_array_free (o->connections, TRUE);
  g_ptr_array_free (o->asks, TRUE);
  g_ptr_array_free (o->raise_vms, TRUE);
  g_ptr_array_free (o->round.askers, TRUE);
  g_ptr_array_free (o->round.next, TRUE);
  g_hash_table_destroy (o->subscribers);
  g_free (o);
}

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

void
ss_owner_init (SsNode *node)
{
  node->owned = g_tree_new_full (compare_names, NULL, g_free, free_owned);
  node->connections = g_hash_table_new (g_int64_hash, g_int64_equal);
}

static void
free_connection (SsConnection *c)
{
  if (c->job)
    free_job (c->job);
  g_free (c->vm);
  g_free (c);
}

static gboolean
free_waiting (gpointer key, gpointer value, gpointer data)
{
  SsOwned *o = value;
  SsJob *job;

  (void) key;
  (void) data;
  while ((job = g_queue_pop_head (&o->waiters)))
    free_job (job);
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (o->queue.waiting[i]);

      for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
        free_job (g_sequence_get (iter));
    }
  return FALSE;
}

void
ss_owner_finish (SsNode *node)
{
  GHashTableIter iter;
  gpointer connection;

  g_hash_table_iter_init (&iter, node->connections);
  while (g_hash_table_iter_next (&iter, NULL, &connection))
    free_connection (connection);
  g_hash_table_destroy (node->connections);
  g_tree_foreach (node->owned, free_waiting, NULL);
  g_tree_destroy (node->owned);
}

SsOwned *
ss_owner_find (SsNode *node, const char *target)
{
  return g_tree_lookup (node->owned, target);
}

/* --- connections --- */

/* While another vm may believe that it owns the target too, each keeps to
 * half of the server's connections.
 */
uint32_t
ss_owner_budget (SsNode *node, const SsOwned *owned)
{
  uint32_t connections = owned->target->max_connections;

  if (node->now_ms - owned->owner_since_ms < OWNER_SETTLE_MS
      || !ss_members_is_settled (&node->members))
    connections /= 2;
  return connections > CONTROL_RESERVE ? connections - CONTROL_RESERVE : 1;
}

SsConnection *
ss_owner_connect (SsNode *node, SsOwned *owned, bool is_control)
{
  SsConnection *c = g_new0 (SsConnection, 1);
  SsAction *a = ss_node_push (node, SS_ACTION_TARGET_CONNECT);

  c->id = ++node->next_connection;
  c->owned = owned;
  c->is_control = is_control;
  c->since_ms = node->now_ms;
  g_hash_table_insert (node->connections, &c->id, c);
  a->id = c->id;
  a->name = g_strdup (owned->target->name);
  a->text = g_strdup (owned->target->ip);
  a->port = owned->target->port;
  ss_node_count (node, SS_COUNTER_TARGET_CONNECTS);
  return c;
}

/* Frees the connection's place; RAN_MS below 0: not a measure. */
static void
release_slot (SsConnection *c, int64_t ran_ms)
{
  if (!c->holds_slot)
    return;
  c->holds_slot = false;
  ss_queue_done (&c->owned->queue, c->queue_class, ran_ms);
}

/* Forgets a connection that is closed already. */
static void
forget_connection (SsNode *node, SsConnection *c)
{
  release_slot (c, -1);
  if (!c->is_control)
    g_ptr_array_remove_fast (c->owned->connections, c);
  g_hash_table_remove (node->connections, &c->id);
  free_connection (c);
}

void
ss_owner_close (SsNode *node, SsConnection *connection)
{
  ss_node_push (node, SS_ACTION_TARGET_CLOSE)->id = connection->id;
  forget_connection (node, connection);
}

static SsConnection *
find_pinned (SsOwned *owned, const char *vm, uint64_t session)
{
  for (guint i = 0; i < owned->connections->len; i++)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i);

      if (c->session == session && c->vm && strcmp (c->vm, vm) == 0)
        return c;
    }
  return NULL;
}

static SsConnection *
find_idle (SsOwned *owned)
{
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->state == SS_CONNECTION_IDLE)
        return c;
    }
  return NULL;
}

static uint32_t
count_connecting (const SsOwned *owned)
{
  uint32_t count = 0;

  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);

      count += c->state == SS_CONNECTION_CONNECTING ? 1 : 0;
    }
  return count;
}

static void
open_more (SsNode *node, SsOwned *owned)
{
  uint32_t budget = ss_owner_budget (node, owned);
  uint32_t wanted = ss_queue_length (&owned->queue);
  uint32_t connecting = count_connecting (owned);

  if (node->now_ms < owned->connect_after_ms)
    return;
  while (connecting < wanted && owned->connections->len < budget)
    {
      g_ptr_array_add (owned->connections,
                       ss_owner_connect (node, owned, false));
      connecting++;
    }
}

/* --- answers --- */

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
  if (reason == SS_REASON_BEHIND)
    ss_node_count (node, SS_COUNTER_BEHIND);
  if (reason == SS_REASON_OVERLOAD)
    ss_node_count (node, SS_COUNTER_OVERLOAD);
  send_reply (node, vm, &reply);
}

void
ss_owner_answer (SsNode *node, SsJob *job, SsVerdict verdict, SsReason reason,
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
  send_reply (node, job->vm, &reply);
  free_job (job);
}

/* --- running --- */

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
    case SS_STEP_REPLAY:
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

static void
start_step (SsNode *node, SsConnection *c, SsStep step)
{
  SsAction *a;
  uint32_t skip_results;

  c->job->step = step;
  c->state = SS_CONNECTION_BUSY;
  a = ss_node_push (node, SS_ACTION_TARGET_QUERY);
  a->id = c->id;
  a->text = step_sql (node, c->job, &skip_results);
  a->skip_results = skip_results;
  a->want_row = step == SS_STEP_REPLAY;
}

static void
start_job (SsNode *node, SsConnection *c, SsJob *job)
{
  c->job = job;
  job->connection = c;
  job->started_ms = node->now_ms;
  if (!job->key)
    start_step (node, c, SS_STEP_PLAIN);
  else
    start_step (node, c, c->vm ? SS_STEP_COMMIT : SS_STEP_CLAIM);
}

static void
dispatch (SsNode *node, SsOwned *owned)
{
  SsConnection *c;

  while ((c = find_idle (owned)))
    {
      SsQueueItem *item
          = ss_queue_pop (&owned->queue, ss_owner_budget (node, owned));

      if (!item)
        return;
      c->holds_slot = true;
      c->queue_class = item->queue_class;
      start_job (node, c, (SsJob *) item);
    }
  open_more (node, owned);
}

static bool
shows_floor (const SsOwned *owned, SsPosition applied, SsPosition floor)
{
  SsPosition translated
      = ss_position_translate (floor, &owned->target->state.history);

  return ss_position_covers (applied, translated);
}

/* Whether the target may take a new statement; SS_REASON_NONE if so. */
static SsReason
check_target (SsNode *node, SsOwned *owned, const Ss__Peer__Run *run)
{
  SsTarget *t = owned->target;
  SsGroup *group = ss_config_group (&node->config, t->group);

  if (!owned->active || node->stopping)
    return SS_REASON_NOT_OWNER;
  if (t->draining)
    return SS_REASON_DRAINING;
  if (!t->state.reachable)
    return SS_REASON_CONNECT;
  if (run->is_read)
    return shows_floor (owned, t->state.applied,
                        ss_position_unpack (run->floor))
               ? SS_REASON_NONE
               : SS_REASON_BEHIND;
  if (!group || strcmp (group->primary, t->name) != 0
      || t->state.role != SS_SERVER_PRIMARY
      || t->state.shown_term != group->term)
    return SS_REASON_NO_PRIMARY;
  return SS_REASON_NONE;
}

static SsJob *
new_job (SsNode *node, SsOwned *owned, const char *from,
         const Ss__Peer__Run *run)
{
  SsJob *job = g_new0 (SsJob, 1);

  job->owned = owned;
  job->request = run->request;
  job->vm = g_strdup (from);
  job->session = run->session;
  job->service = g_strdup (run->service);
  job->sql = g_strndup ((const char *) run->sql.data, run->sql.len);
  job->key = *run->request_key ? g_strdup (run->request_key) : NULL;
  job->trace = g_strdup (run->trace);
  job->is_read = run->is_read;
  job->floor = ss_position_unpack (run->floor);
  job->received_ms = node->now_ms;
  job->transaction_status = 'I';
  job->item.deadline_ms = node->now_ms + run->left_ms;
  job->item.queue_class = run->is_read ? SS_QUEUE_READ : SS_QUEUE_WRITE;
  job->item.bytes = (uint32_t) run->sql.len;
  return job;
}

static void
run_pinned (SsNode *node, SsOwned *owned, const char *from,
            const Ss__Peer__Run *run)
{
  SsConnection *c = find_pinned (owned, from, run->session);

  if (!c || c->state != SS_CONNECTION_PINNED)
    refuse_run (node, from, run, SS_REASON_TRANSACTION_LOST, 0);
  else
    start_job (node, c, new_job (node, owned, from, run));
}

void
ss_owner_run (SsNode *node, const char *from, const Ss__Peer__Run *run)
{
  SsOwned *owned = ss_owner_find (node, run->target);
  SsService *service = ss_config_service (&node->config, run->service);
  uint32_t retry_after_ms = SS_RETRY_SOON_MS;
  SsReason reason;
  SsJob *job;

  if (!owned)
    {
      refuse_run (node, from, run, SS_REASON_NOT_OWNER, SS_RETRY_SOON_MS);
      return;
    }
  if (run->pinned)
    {
      run_pinned (node, owned, from, run);
      return;
    }
  reason = check_target (node, owned, run);
  if (reason != SS_REASON_NONE)
    {
      refuse_run (node, from, run, reason, retry_after_ms);
      return;
    }
  job = new_job (node, owned, from, run);
  if (!ss_queue_admit (&owned->queue, &job->item, ss_owner_budget (node, owned),
                       node->now_ms, g_rand_double (node->rand),
                       &retry_after_ms))
    {
      refuse_run (node, from, run, SS_REASON_OVERLOAD, retry_after_ms);
      free_job (job);
      return;
    }
  ss_queue_push (&owned->queue, &job->item, job->service,
                 service ? service->weight : 1);
  dispatch (node, owned);
}

/* --- results --- */

/* Gives the connection to its session's transaction, or back to all. */
static void
release_connection (SsNode *node, SsConnection *c, const SsJob *job)
{
  SsOwned *owned = c->owned;

  c->job = NULL;
  c->since_ms = node->now_ms;
  if (job->transaction_status != 'I')
    {
      c->state = SS_CONNECTION_PINNED;
      if (!c->vm)
        c->vm = g_strdup (job->vm);
      c->session = job->session;
      return;
    }
  g_clear_pointer (&c->vm, g_free);
  release_slot (c, node->now_ms - job->started_ms);
  c->state = SS_CONNECTION_IDLE;
  if (!owned->active)
    ss_owner_close (node, c);
  dispatch (node, owned);
}

static void
end_job (SsNode *node, SsConnection *c, SsVerdict verdict, SsReason reason,
         uint32_t retry_after_ms)
{
  SsJob *job = c->job;

  job->connection = NULL;
  release_connection (node, c, job);
  ss_owner_answer (node, job, verdict, reason, retry_after_ms);
}

/* The job's statement is done; a commit is answered once it is held. */
static void
end_committed (SsNode *node, SsConnection *c)
{
  SsJob *job = c->job;
  SsService *service = ss_config_service (&node->config, job->service);

  if (!job->commit.offset || (service && !service->acknowledge_majority))
    {
      end_job (node, c, SS_VERDICT_RAN, SS_REASON_NONE, 0);
      return;
    }
  job->connection = NULL;
  release_connection (node, c, job);
  ss_hold_wait (node, job);
}

static void
end_plain (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (result->ok)
    {
      if (job->is_read && !shows_floor (c->owned, job->applied, job->floor)
          && job->transaction_status == 'I')
        end_job (node, c, SS_VERDICT_NOT_RUN, SS_REASON_BEHIND,
                 SS_RETRY_SOON_MS);
      else
        end_committed (node, c);
      return;
    }
  /* A part of the message may have been committed before the error. */
  if (job->commit.offset)
    end_committed (node, c);
  else if (strcmp (job->sqlstate, READ_ONLY_SERVER) == 0 && !job->is_read
           && job->transaction_status == 'I')
    end_job (node, c, SS_VERDICT_NOT_RUN, SS_REASON_NO_PRIMARY,
             SS_RETRY_PROMOTION_MS);
  else
    end_job (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
}

static void
end_claim (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (!result->ok)
    {
      bool is_taken = strcmp (job->sqlstate, UNIQUE_VIOLATION) == 0
                      || strcmp (job->sqlstate, LOCK_NOT_AVAILABLE) == 0;

      start_step (node, c, is_taken ? SS_STEP_REPLAY : SS_STEP_ROLLBACK);
      return;
    }
  job->tag = g_strdup (result->tag);
  if (job->transaction_status == 'I')
    end_committed (node, c);
  else
    start_step (node, c, SS_STEP_RECORD);
}

static void
end_record (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  if (result->ok)
    end_committed (node, c);
  else
    start_step (node, c, SS_STEP_ROLLBACK);
}

/* The key was there: its record says how the first try ended. */
static void
end_replay (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (result->ok && result->row && result->row_cells && result->row[0])
    {
      g_clear_pointer (&job->wire, g_bytes_unref);
      g_free (job->tag);
      job->tag = g_strdup (result->row[0]);
      /* The record counts once a majority holds it, as any commit. */
      job->commit = job->applied;
      ss_node_count (node, SS_COUNTER_REPLAYS);
      end_committed (node, c);
    }
  else if (strcmp (job->sqlstate, UNIQUE_VIOLATION) == 0)
    end_job (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
  else
    end_job (node, c, SS_VERDICT_MAY_HAVE_RUN, SS_REASON_STILL_RUNNING,
             SS_RETRY_PROMOTION_MS);
}

static bool
keeps_wire (SsStep step)
{
  return step == SS_STEP_PLAIN || step == SS_STEP_CLAIM
         || step == SS_STEP_COMMIT;
}

static void
take_result (SsJob *job, const SsTargetResult *result)
{
  job->transaction_status = result->transaction_status;
  job->applied = result->applied;
  if (result->commit.offset)
    job->commit = result->commit;
  if (!keeps_wire (job->step) && (result->ok || job->step != SS_STEP_RECORD))
    return;
  if (!result->ok)
    g_strlcpy (job->sqlstate, result->sqlstate, sizeof job->sqlstate);
  g_clear_pointer (&job->wire, g_bytes_unref);
  job->wire = g_bytes_ref (result->wire);
}

/* An answer tells the server's position later than the last poll did. */
static void
note_applied (SsTarget *t, SsPosition applied)
{
  if (applied.term != t->state.held.term
      || applied.offset <= t->state.applied.offset)
    return;
  t->state.applied = applied;
  if (t->state.held.offset < applied.offset)
    t->state.held = applied;
}

void
ss_owner_result (SsNode *node, uint64_t connection,
                 const SsTargetResult *result)
{
  SsConnection *c = g_hash_table_lookup (node->connections, &connection);

  if (!c || (!c->is_control && !c->job))
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  if (c->is_control)
    {
      ss_monitor_result (node, c->owned, result);
      return;
    }
  take_result (c->job, result);
  note_applied (c->owned->target, result->applied);
  switch (c->job->step)
    {
    case SS_STEP_CLAIM:
    case SS_STEP_COMMIT:
      if (c->job->step == SS_STEP_COMMIT && result->ok)
        end_committed (node, c);
      else
        end_claim (node, c, result);
      break;
    case SS_STEP_RECORD:
      end_record (node, c, result);
      break;
    case SS_STEP_REPLAY:
      end_replay (node, c, result);
      break;
    case SS_STEP_ROLLBACK:
      end_job (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
      break;
    case SS_STEP_PLAIN:
    default:
      end_plain (node, c, result);
      break;
    }
}

void
ss_owner_ready (SsNode *node, uint64_t connection)
{
  SsConnection *c = g_hash_table_lookup (node->connections, &connection);

  if (!c)
    return;
  c->state = SS_CONNECTION_IDLE;
  c->since_ms = node->now_ms;
  if (c->is_control)
    ss_monitor_ready (node, c->owned);
  else
    dispatch (node, c->owned);
}

/* What a job whose connection broke can be told. */
static SsVerdict
lost_verdict (const SsJob *job)
{
  switch (job->step)
    {
    case SS_STEP_CLAIM:
      /* Its COMMIT was not sent, unless the statement holds one. */
      return strchr (job->sql, ';') ? SS_VERDICT_MAY_HAVE_RUN
                                    : SS_VERDICT_NOT_RUN;
    case SS_STEP_ROLLBACK:
      return SS_VERDICT_NOT_RUN;
    default:
      return SS_VERDICT_MAY_HAVE_RUN;
    }
}

void
ss_owner_closed (SsNode *node, uint64_t connection, bool refused,
                 const char *sqlstate)
{
  SsConnection *c = g_hash_table_lookup (node->connections, &connection);
  SsOwned *owned;
  SsJob *job;

  if (!c)
    return;
  owned = c->owned;
  if (c->is_control)
    {
      owned->control = NULL;
      forget_connection (node, c);
      ss_monitor_closed (node, owned, refused);
      return;
    }
  if (c->state == SS_CONNECTION_CONNECTING)
    owned->connect_after_ms = node->now_ms + CONNECT_BACKOFF_MS;
  if (sqlstate && strcmp (sqlstate, TOO_MANY_CONNECTIONS) == 0)
    owned->connect_after_ms = node->now_ms + CONNECT_BACKOFF_MS * 4;
  job = g_steal_pointer (&c->job);
  forget_connection (node, c);
  if (job)
    {
      job->transaction_status = 'I';
      ss_owner_answer (node, job, lost_verdict (job), SS_REASON_CONNECTION_LOST,
                       SS_RETRY_SOON_MS);
    }
  ss_monitor_poll_soon (node, owned);
}

/* --- cancelling and clean-up --- */

/* A running statement is not waited for any more.  Its answer may still come,
 * so the connection can't be used again; closing it ends a transaction.
 */
static void
give_up_job (SsNode *node, SsConnection *c, SsReason reason)
{
  SsJob *job = g_steal_pointer (&c->job);

  job->transaction_status = 'I';
  ss_owner_close (node, c);
  ss_owner_answer (node, job, lost_verdict (job), reason, SS_RETRY_SOON_MS);
}

typedef struct
{
  const char *vm;
  uint64_t request; /* 0: any of the session */
  uint64_t session; /* with request 0; 0: any of the vm */
} Wanted;

static bool
job_matches (const SsJob *job, const Wanted *w)
{
  if (strcmp (job->vm, w->vm) != 0)
    return false;
  if (w->request)
    return job->request == w->request;
  return !w->session || job->session == w->session;
}

static GPtrArray *
queued_jobs (SsOwned *owned, const Wanted *w)
{
  GPtrArray *found = g_ptr_array_new ();

  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (owned->queue.waiting[i]);

      for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
        if (!w || job_matches (g_sequence_get (iter), w))
          g_ptr_array_add (found, g_sequence_get (iter));
    }
  return found;
}

static void
refuse_queued (SsNode *node, SsOwned *owned, const Wanted *w, SsReason reason)
{
  GPtrArray *jobs = queued_jobs (owned, w);

  for (guint i = 0; i < jobs->len; i++)
    {
      SsJob *job = g_ptr_array_index (jobs, i);

      ss_queue_remove (&owned->queue, &job->item);
      ss_owner_answer (node, job, SS_VERDICT_NOT_RUN, reason, SS_RETRY_SOON_MS);
    }
  g_ptr_array_free (jobs, TRUE);
}

static GPtrArray *all_owned (SsNode *node);

void
ss_owner_cancel (SsNode *node, const char *from, uint64_t request)
{
  Wanted w = { from, request, 0 };
  GPtrArray *owned = all_owned (node);

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwned *o = g_ptr_array_index (owned, i);

      refuse_queued (node, o, &w, SS_REASON_CANCELLED);
      for (guint j = 0; j < o->connections->len; j++)
        {
          SsConnection *c = g_ptr_array_index (o->connections, j);

          if (!c->job || !job_matches (c->job, &w))
            continue;
          give_up_job (node, c, SS_REASON_CANCELLED);
          break;
        }
    }
  g_ptr_array_free (owned, TRUE);
}

/* Closes the connections of what W names; the server then rolls back. */
static void
close_sessions (SsNode *node, SsOwned *owned, const Wanted *w)
{
  refuse_queued (node, owned, w, SS_REASON_CANCELLED);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);
      bool is_pinned = c->vm && strcmp (c->vm, w->vm) == 0
                       && (!w->session || c->session == w->session);

      if (is_pinned || (c->job && job_matches (c->job, w)))
        ss_owner_close (node, c);
    }
  dispatch (node, owned);
}

void
ss_owner_session_end (SsNode *node, const char *vm, uint64_t session)
{
  Wanted w = { vm, 0, session };
  GPtrArray *owned = all_owned (node);

  for (guint i = 0; i < owned->len; i++)
    close_sessions (node, g_ptr_array_index (owned, i), &w);
  g_ptr_array_free (owned, TRUE);
}

void
ss_owner_vm_lost (SsNode *node, const char *vm)
{
  ss_owner_session_end (node, vm, 0);
}

/* --- upkeep --- */

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  g_ptr_array_add (data, value);
  return FALSE;
}

static GPtrArray *
all_owned (SsNode *node)
{
  GPtrArray *found = g_ptr_array_new ();

  g_tree_foreach (node->owned, collect, found);
  return found;
}

static SsOwned *
add_owned (SsNode *node, SsTarget *target)
{
  SsOwned *o = g_new0 (SsOwned, 1);

  o->target = target;
  ss_queue_init (&o->queue);
  o->connections = g_ptr_array_new ();
  o->asks = g_ptr_array_new_with_free_func (free_ask);
  o->raise_vms = g_ptr_array_new_with_free_func (g_free);
  o->round.askers = g_ptr_array_new_with_free_func (free_ask);
  o->round.next = g_ptr_array_new_with_free_func (free_ask);
  o->subscribers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_tree_insert (node->owned, g_strdup (target->name), o);
  return o;
}

/* Another vm owns the target now: what runs goes on, the rest is let go. */
static void
let_go (SsNode *node, SsOwned *owned)
{
  refuse_queued (node, owned, NULL, SS_REASON_NOT_OWNER);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->state == SS_CONNECTION_IDLE
          || c->state == SS_CONNECTION_CONNECTING)
        ss_owner_close (node, c);
    }
  if (owned->control)
    ss_owner_close (node, g_steal_pointer (&owned->control));
  owned->control_step = SS_CONTROL_NONE;
}

void
ss_owner_unreachable (SsNode *node, SsOwned *owned)
{
  refuse_queued (node, owned, NULL, SS_REASON_CONNECT);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->job && c->job->is_read)
        give_up_job (node, c, SS_REASON_CONNECTION_LOST);
    }
}

/* A later term is in force: what the target still runs as a primary can't be
 * acknowledged any more, so it gets its answer now.
 */
static void
end_superseded (SsNode *node, SsOwned *owned)
{
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);

      if (c->queue_class != SS_QUEUE_WRITE)
        continue;
      if (c->job)
        give_up_job (node, c, SS_REASON_SUPERSEDED);
      else if (c->state == SS_CONNECTION_PINNED)
        ss_owner_close (node, c);
    }
}

static void
check_term (SsNode *node, SsOwned *owned)
{
  const SsGroup *group = ss_config_group (&node->config, owned->target->group);

  if (!group || group->term == owned->group_term)
    return;
  if (owned->group_term && strcmp (group->primary, owned->target->name) != 0)
    end_superseded (node, owned);
  owned->group_term = group->term;
}

static gboolean
update_one (gpointer key, gpointer value, gpointer data)
{
  SsNode *node = data;
  SsTarget *t = value;
  bool is_owner = ss_node_is_owner (node, t);
  SsOwned *o = ss_owner_find (node, t->name);

  (void) key;
  if (!o && is_owner)
    o = add_owned (node, t);
  if (o)
    check_term (node, o);
  if (!o || o->active == is_owner)
    return FALSE;
  o->active = is_owner;
  o->owner_since_ms = node->now_ms;
  if (!is_owner)
    let_go (node, o);
  return FALSE;
}

void
ss_owner_update (SsNode *node)
{
  g_tree_foreach (node->config.targets, update_one, node);
}

static void
refuse_expired (SsNode *node, SsOwned *owned)
{
  SsQueueItem *item;

  while ((item = ss_queue_expired (&owned->queue, node->now_ms)))
    {
      ss_queue_remove (&owned->queue, item);
      ss_owner_answer (node, (SsJob *) item, SS_VERDICT_NOT_RUN,
                       SS_REASON_DEADLINE, SS_RETRY_SOON_MS);
    }
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
          ss_owner_close (node, c);
        }
      break;
    case SS_CONNECTION_IDLE:
      if (age_ms >= IDLE_CONNECTION_MS)
        ss_owner_close (node, c);
      break;
    case SS_CONNECTION_PINNED:
      if (age_ms >= node->params.transaction_idle_ms)
        ss_owner_close (node, c);
      break;
    case SS_CONNECTION_BUSY:
    default:
      if (c->job && node->now_ms >= c->job->item.deadline_ms)
        give_up_job (node, c, SS_REASON_DEADLINE);
      break;
    }
}

void
ss_owner_tick (SsNode *node)
{
  GPtrArray *owned = all_owned (node);

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwned *o = g_ptr_array_index (owned, i);

      refuse_expired (node, o);
      for (guint j = o->connections->len; j > 0; j--)
        tick_connection (node, g_ptr_array_index (o->connections, j - 1));
      if (ss_queue_length (&o->queue))
        dispatch (node, o);
      ss_hold_tick (node, o);
      if (o->active)
        ss_monitor_tick (node, o);
    }
  g_ptr_array_free (owned, TRUE);
}

bool
ss_owner_is_idle (SsNode *node)
{
  GPtrArray *owned = all_owned (node);
  bool idle = true;

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwned *o = g_ptr_array_index (owned, i);

      if (ss_queue_length (&o->queue) || !g_queue_is_empty (&o->waiters))
        idle = false;
      for (guint j = 0; j < o->connections->len; j++)
        {
          const SsConnection *c = g_ptr_array_index (o->connections, j);

          if (c->job || c->vm)
            idle = false;
        }
    }
  g_ptr_array_free (owned, TRUE);
  return idle;
}
