/* job_result: handles the results of statements and decides the reply. */
#include <string.h>

#include "core/owner.h"

#define UNIQUE_VIOLATION "23505"
#define LOCK_NOT_AVAILABLE "55P03"
#define READ_ONLY_SERVER "25006"

/* Pins the connection to its session if the transaction is open, else returns
 * the connection to the pool.
 */
static void
release_connection (SsNode *node, SsConnection *c, const SsJob *job)
{
  SsOwnedTarget *owned = c->owned;

  if (node->params.spans)
    ss_node_log (node, SS_EVENT_LOG_SPAN, job->trace,
                 "hop=target target=%s ms=%" G_GINT64_FORMAT,
                 owned->target->name, node->now_ms - job->started_ms);
  c->job = NULL;
  c->since_ms = node->now_ms;
  ss_queue_sample_run (&owned->queue, job->service,
                       node->now_ms - job->started_ms);
  if (node->config.organisations)
    ss_queue_charge (&owned->queue, &job->item, c->organisation,
                     node->now_ms - job->started_ms);
  if (job->transaction_status != 'I')
    {
      c->state = SS_CONNECTION_PINNED;
      if (!c->vm)
        {
          c->vm = g_strdup (job->vm);
          c->session = job->session;
          c->transaction = job->request;
        }
      if (!ss_dialect_multiplexes_sessions (node->dialect))
        return;
      /* Frees the slot for other sessions until the next statement. */
      ss_pool_release_slot (c, node->now_ms - job->started_ms);
      ss_job_dispatch (node, owned);
      return;
    }
  g_clear_pointer (&c->vm, g_free);
  ss_pool_release_slot (c, node->now_ms - job->started_ms);
  ss_pool_note_held (node, owned, job);
  c->state = SS_CONNECTION_IDLE;
  /* What a caller has set or prepared there is not for the others. */
  if (!owned->active || c->is_changed)
    ss_pool_close (node, c);
  ss_job_dispatch (node, owned);
}

void
ss_job_end (SsNode *node, SsConnection *c, SsVerdict verdict, SsReason reason,
            uint32_t retry_after_ms)
{
  SsJob *job = c->job;

  job->connection = NULL;
  release_connection (node, c, job);
  /* With this reply the entry VM treats the transaction as lost, so it must be
   * rolled back at the target, too.
   */
  if (job->transaction_status != 'I' && reason != SS_REASON_NONE
      && reason != SS_REASON_TARGET_ERROR
      && ss_dialect_multiplexes_sessions (node->dialect))
    ss_multiplex_roll_back (node, c);
  ss_job_answer (node, job, verdict, reason, retry_after_ms);
}

void
ss_job_end_committed (SsNode *node, SsConnection *c)
{
  SsJob *job = c->job;
  SsService *service = ss_config_service (&node->config, job->service);

  if (!job->commit.offset || (service && !service->acknowledge_majority))
    {
      ss_job_end (node, c, SS_VERDICT_RAN, SS_REASON_NONE, 0);
      return;
    }
  job->connection = NULL;
  release_connection (node, c, job);
  ss_quorum_wait (node, job);
}

static void
end_plain (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (result->ok)
    {
      if (job->is_read
          && !ss_owned_covers_floor (c->owned, job->applied, job->floor)
          && job->transaction_status == 'I')
        ss_job_end (node, c, SS_VERDICT_NOT_RUN, SS_REASON_BEHIND,
                    SS_RETRY_SOON_MS);
      else
        ss_job_end_committed (node, c);
      return;
    }
  /* Earlier statements of the same text may have committed. */
  if (job->commit.offset)
    ss_job_end_committed (node, c);
  else if (strcmp (job->sqlstate, READ_ONLY_SERVER) == 0 && !job->is_read
           && job->transaction_status == 'I')
    ss_job_end (node, c, SS_VERDICT_NOT_RUN, SS_REASON_NO_PRIMARY,
                SS_RETRY_PROMOTION_MS);
  else
    ss_job_end (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
}

static void
end_claim (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (!result->ok)
    {
      bool is_taken = strcmp (job->sqlstate, UNIQUE_VIOLATION) == 0
                      || strcmp (job->sqlstate, LOCK_NOT_AVAILABLE) == 0;

      ss_job_start_step (node, c, is_taken ? SS_STEP_LOOKUP : SS_STEP_ROLLBACK);
      return;
    }
  job->tag = g_strdup (result->tag);
  if (job->transaction_status == 'I')
    ss_job_end_committed (node, c);
  else
    ss_job_start_step (node, c, SS_STEP_RECORD);
}

static void
end_record (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  if (result->ok)
    ss_job_end_committed (node, c);
  else
    ss_job_start_step (node, c, SS_STEP_ROLLBACK);
}

/* Ends a job whose claim failed.  If the idempotency key has a record, answers
 * with the result recorded by the first attempt.  Without a record, a unique
 * violation is an error of the statement itself; otherwise the first attempt
 * still runs.
 */
static void
end_lookup (SsNode *node, SsConnection *c, const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (result->ok && result->row && result->row_cells && result->row[0])
    {
      g_clear_pointer (&job->wire, g_bytes_unref);
      g_free (job->tag);
      job->tag = g_strdup (result->row[0]);
      /* The record may not be replicated yet: wait for a majority up to the
       * present position, as for any commit.
       */
      job->commit = job->applied;
      ss_node_count (node, SS_COUNTER_REPLAYS);
      ss_job_end_committed (node, c);
    }
  else if (strcmp (job->sqlstate, UNIQUE_VIOLATION) == 0)
    ss_job_end (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
  else
    ss_job_end (node, c, SS_VERDICT_MAY_HAVE_RUN, SS_REASON_STILL_RUNNING,
                SS_RETRY_PROMOTION_MS);
}

static bool
stores_wire (SsStep step)
{
  return step == SS_STEP_PLAIN || step == SS_STEP_CLAIM
         || step == SS_STEP_COMMIT;
}

static void
record_result (SsJob *job, const SsTargetResult *result)
{
  job->transaction_status = result->transaction_status;
  job->applied = result->applied;
  if (result->commit.offset)
    {
      job->commit = result->commit;
      ss_writers_committed (&job->owned->writers, job->identity,
                            result->commit);
    }
  if (!stores_wire (job->step) && (result->ok || job->step != SS_STEP_RECORD))
    return;
  if (!result->ok)
    g_strlcpy (job->sqlstate, result->sqlstate, sizeof job->sqlstate);
  g_clear_pointer (&job->wire, g_bytes_unref);
  job->wire = g_bytes_ref (result->wire);
}

/* Advances the known position of the server: a response is more recent than
 * the last poll.
 */
static void
advance_applied (SsTarget *t, SsPosition applied)
{
  if (applied.term < t->state.held.term
      || ss_position_compare (applied, t->state.applied) <= 0)
    return;
  t->state.applied = applied;
  if (ss_position_compare (t->state.held, applied) < 0)
    t->state.held = applied;
}

void
ss_job_result (SsNode *node, uint64_t connection, const SsTargetResult *result)
{
  SsConnection *c = g_hash_table_lookup (node->connections, &connection);

  if (!c || (!c->is_control && !c->job && !c->rolls_back))
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  if (c->is_control)
    {
      ss_target_monitor_result (node, c->owned, result);
      return;
    }
  c->is_changed = c->is_changed || result->changes_session;
  advance_applied (c->owned->target, result->applied);
  c->owned->target->reachable_ms = node->now_ms;
  if (ss_dialect_multiplexes_sessions (node->dialect))
    ss_multiplex_note_position (node, c, result);
  if (c->rolls_back)
    {
      ss_multiplex_rolled_back (node, c, result);
      return;
    }
  ss_owner_speed_result (node, c, result);
  record_result (c->job, result);
  if (ss_dialect_multiplexes_sessions (node->dialect))
    {
      ss_multiplex_note_commit (c->job, result);
      ss_multiplex_result (node, c, result);
      return;
    }
  switch (c->job->step)
    {
    case SS_STEP_CLAIM:
    case SS_STEP_COMMIT:
      if (c->job->step == SS_STEP_COMMIT && result->ok)
        ss_job_end_committed (node, c);
      else
        end_claim (node, c, result);
      break;
    case SS_STEP_RECORD:
      end_record (node, c, result);
      break;
    case SS_STEP_LOOKUP:
      end_lookup (node, c, result);
      break;
    case SS_STEP_ROLLBACK:
      ss_job_end (node, c, SS_VERDICT_NOT_RUN, SS_REASON_TARGET_ERROR, 0);
      break;
    case SS_STEP_PLAIN:
    default:
      end_plain (node, c, result);
      break;
    }
}

SsVerdict
ss_job_lost_verdict (const SsJob *job)
{
  if (!job->keeps)
    return SS_VERDICT_NOT_RUN;
  switch (job->step)
    {
    case SS_STEP_SETUP:
      return SS_VERDICT_NOT_RUN;
    case SS_STEP_CLAIM:
      /* COMMIT was not sent, unless the statement text contains it. */
      return strchr (job->sql, ';') ? SS_VERDICT_MAY_HAVE_RUN
                                    : SS_VERDICT_NOT_RUN;
    case SS_STEP_ROLLBACK:
      return SS_VERDICT_NOT_RUN;
    default:
      return SS_VERDICT_MAY_HAVE_RUN;
    }
}

/* Stops waiting for a running statement.  Its response may still arrive, so the
 * connection can't be reused; closing it ends its transaction.
 */
void
ss_job_give_up (SsNode *node, SsConnection *c, SsReason reason)
{
  SsJob *job = g_steal_pointer (&c->job);
  SsVerdict verdict = c->state == SS_CONNECTION_CONNECTING
                          ? SS_VERDICT_NOT_RUN
                          : ss_job_lost_verdict (job);

  job->transaction_status = 'I';
  if (reason == SS_REASON_DEADLINE || reason == SS_REASON_CONNECTION_LOST)
    ss_owner_speed_lost (node, job);
  ss_pool_close (node, c);
  ss_job_answer (node, job, verdict, reason, SS_RETRY_SOON_MS);
}
