/* multiplex: runs statements of sessions that share server connections.
 *
 * The entry VM keeps the state of a session, and a connection serves many
 * sessions in turn.  Before a statement, session state replay applies the
 * session's settings and creates the prepared statement that is executed, if
 * any.  BEGIN follows if the statement opens a transaction.
 */
#include "core/owner.h"

/* How long a read waits for its replica to reach the floor.  A replica that
 * needs longer does not catch up in time.
 */
#define BEHIND_WAIT_MS 150
/* A target that is at its limit gets the statement again at this interval, for
 * as long as a statement may wait in the target's own queue.
 */
#define BUSY_RETRY_MS 20
#define BUSY_WAIT_MS 400
#define BEHIND_RETRY_MS 15

static void
take_slot (SsConnection *c, SsQueueClass queue_class)
{
  if (c->holds_slot)
    return;
  c->holds_slot = true;
  c->queue_class = queue_class;
  c->owned->queue.running[queue_class]++;
}

static void
send_query (SsNode *node, SsConnection *c, SsStep step, const char *label,
            char *text)
{
  SsAction *a = ss_node_push (node, SS_ACTION_TARGET_QUERY);

  c->job->step = step;
  c->state = SS_CONNECTION_BUSY;
  c->sent_ms = node->now_ms;
  a->id = c->id;
  a->label = g_strdup (label);
  a->text = text;
}

/* Adds the job's floor to TEXT if the job is a read with a floor.  Takes
 * ownership of TEXT and returns the text to send.
 */
static char *
with_floor (SsNode *node, const SsJob *job, char *text)
{
  char *whole;

  if (!job->is_read || !job->floor.offset)
    return text;
  whole = node->dialect->add_floor (node->dialect, job->floor, text);
  g_free (text);
  return whole;
}

/* Sends the next statement of the session state replay, or the job's own
 * statement once the replay is complete.
 */
static void
send_next (SsNode *node, SsConnection *c)
{
  SsJob *job = c->job;
  char *text = g_queue_pop_head (&c->setup_queue);

  take_slot (c, job->item.queue_class);
  if (text)
    {
      g_free (c->last_setup);
      c->last_setup = g_strdup (text);
      send_query (node, c, SS_STEP_SETUP, NULL, text);
      return;
    }
  job->sent = true;
  text = g_strdup (job->sql);
  if (!job->pinned && !job->begins)
    text = with_floor (node, job, text);
  send_query (node, c, SS_STEP_PLAIN, job->label, text);
  ss_owner_speed_started (node, c);
}

/* Counts and logs that the shape of C's job is prepared. */
static void
note_prepare (SsNode *node, const SsConnection *c)
{
  const SsJob *job = c->job;
  SsShapeSummary shape = ss_shape_summary (job->shape);

  ss_node_count (node, SS_COUNTER_PREPARES);
  ss_node_log (node, SS_EVENT_LOG_STATEMENT_PREPARED,
               job->label ? job->label : job->trace,
               "target=%s connection=%" G_GUINT64_FORMAT " " SS_SHAPE_FORMAT,
               c->owned->target->name, c->id, SS_SHAPE_ARGS (shape));
}

void
ss_multiplex_start (SsNode *node, SsConnection *c)
{
  SsJob *job = c->job;
  char *begin;
  SsReplayPlan plan = ss_replay_plan (
      node->dialect, &c->held, (const char *const *) job->values, job->shape,
      job->shape_is_read, job->pinned, &c->setup_queue);

  if (plan == SS_REPLAY_IMPOSSIBLE)
    {
      job->step = SS_STEP_SETUP;
      ss_job_give_up (node, c, SS_REASON_TRANSACTION_LOST);
      return;
    }
  if (plan == SS_REPLAY_PREPARES)
    note_prepare (node, c);
  if (job->begins)
    {
      begin = node->dialect->begin (node->dialect, job->transaction_is_read);
      g_queue_push_tail (&c->setup_queue, with_floor (node, job, begin));
    }
  send_next (node, c);
}

void
ss_multiplex_resend (SsNode *node, SsConnection *c)
{
  c->resend_at_ms = 0;
  if (c->job->step == SS_STEP_SETUP)
    g_queue_push_head (&c->setup_queue, g_steal_pointer (&c->last_setup));
  send_next (node, c);
}

/* Ends a job whose statement was not run.  If the session state replay failed
 * part-way, the state of the connection is unknown and the connection is
 * closed.
 */
static void
end_not_run (SsNode *node, SsConnection *c, SsReason reason,
             uint32_t retry_after_ms)
{
  const SsJob *job = c->job;
  bool is_begin = job->begins && g_queue_is_empty (&c->setup_queue);

  if (job->step == SS_STEP_SETUP && !is_begin)
    ss_job_give_up (node, c, reason);
  else
    ss_job_end (node, c, SS_VERDICT_NOT_RUN, reason, retry_after_ms);
}

/* The target did not run the statement.  Resends it after PAUSE_MS if the
 * transaction status is as before, until LIMIT_MS have passed since the job
 * started.
 */
static void
retry_later (SsNode *node, SsConnection *c, SsReason reason, int64_t pause_ms,
             int64_t limit_ms)
{
  SsJob *job = c->job;
  bool in_transaction
      = job->pinned || (job->begins && job->step == SS_STEP_PLAIN);

  job->sent = false;
  if (job->transaction_status != (in_transaction ? 'T' : 'I')
      || node->now_ms - job->started_ms + pause_ms > limit_ms)
    {
      end_not_run (node, c, reason, SS_RETRY_SOON_MS);
      return;
    }
  c->resend_at_ms = node->now_ms + pause_ms;
  ss_pool_release_slot (c, -1);
  ss_job_dispatch (node, c->owned);
}

/* The target does not know the prepared statement, so the connection's state is
 * not the one assumed here.
 */
static void
end_unprepared (SsNode *node, SsConnection *c)
{
  c->job->step = SS_STEP_SETUP;
  ss_job_give_up (node, c, SS_REASON_CONNECTION_LOST);
}

/* Handles the failure of the job's statement or of its session state replay.
 */
static void
handle_fault (SsNode *node, SsConnection *c, SsTargetFault fault)
{
  SsOwnedTarget *owned = c->owned;

  switch (fault)
    {
    case SS_TARGET_FAULT_BUSY:
      retry_later (node, c, SS_REASON_OVERLOAD, BUSY_RETRY_MS, BUSY_WAIT_MS);
      break;
    case SS_TARGET_FAULT_BEHIND:
      if (!c->job->behind_since_ms)
        c->job->behind_since_ms = c->sent_ms;
      retry_later (node, c, SS_REASON_BEHIND, BEHIND_RETRY_MS, BEHIND_WAIT_MS);
      break;
    case SS_TARGET_FAULT_NOT_PRIMARY:
      owned->target->state.role = SS_SERVER_REPLICA;
      end_not_run (node, c, SS_REASON_NO_PRIMARY, SS_RETRY_PROMOTION_MS);
      ss_target_monitor_poll_soon (node, owned);
      break;
    case SS_TARGET_FAULT_UNPREPARED:
      end_unprepared (node, c);
      break;
    default:
      if (c->job->step == SS_STEP_SETUP)
        ss_job_give_up (node, c, SS_REASON_CONNECTION_LOST);
      else
        ss_job_end (node, c, SS_VERDICT_MAY_HAVE_RUN, SS_REASON_TARGET_ERROR,
                    0);
      break;
    }
}

void
ss_multiplex_result (SsNode *node, SsConnection *c,
                     const SsTargetResult *result)
{
  if (!result->ok)
    handle_fault (node, c, result->fault);
  else if (c->job->step == SS_STEP_SETUP)
    send_next (node, c);
  else
    ss_job_end_committed (node, c);
}

void
ss_multiplex_roll_back (SsNode *node, SsConnection *c)
{
  SsAction *a = ss_node_push (node, SS_ACTION_TARGET_QUERY);

  g_clear_pointer (&c->vm, g_free);
  c->state = SS_CONNECTION_BUSY;
  c->rolls_back = true;
  c->since_ms = node->now_ms;
  c->sent_ms = node->now_ms;
  a->id = c->id;
  a->text = node->dialect->rollback (node->dialect);
}

void
ss_multiplex_end_transaction (SsNode *node, SsConnection *c)
{
  if (ss_dialect_multiplexes_sessions (node->dialect))
    ss_multiplex_roll_back (node, c);
  else
    ss_pool_close (node, c);
}

void
ss_multiplex_rolled_back (SsNode *node, SsConnection *c,
                          const SsTargetResult *result)
{
  SsOwnedTarget *owned = c->owned;

  c->rolls_back = false;
  c->since_ms = node->now_ms;
  if (!result->ok || result->transaction_status != 'I' || !owned->active)
    ss_pool_close (node, c);
  else
    c->state = SS_CONNECTION_IDLE;
  ss_job_dispatch (node, owned);
}

void
ss_multiplex_note_position (SsNode *node, const SsConnection *c,
                            const SsTargetResult *result)
{
  SsOwnedTarget *owned = c->owned;
  SsTarget *t = owned->target;

  t->state_ms = MAX (t->state_ms, c->sent_ms);
  if (c->sent_ms >= owned->polled_ms)
    owned->applied_since_poll
        = ss_position_max (owned->applied_since_poll, result->applied);
  ss_quorum_note_position (node, owned, c->sent_ms, result->applied);
  if (owned->status_requests->len)
    ss_target_monitor_answer_requests (node, owned);
}

void
ss_multiplex_note_commit (SsJob *job, const SsTargetResult *result)
{
  /* The position that the target reports right after a commit covers it. */
  if (result->ok && job->keeps && job->step == SS_STEP_PLAIN)
    job->commit = result->applied;
}
