/* owner_speed: learns the speed of the targets owned here from the results of
 * statements, if targets.learn_speed is set.
 */
#include <math.h>

#include "core/owner.h"

/* Factors are reported in steps of this share of a doubling, and not at all
 * within this share of one: small differences are noise.
 */
#define STEPS_PER_DOUBLING 4
#define USUAL_DOUBLINGS 0.32
/* Factor from which the log calls a target slow, and below which it does not
 * any more.
 */
#define SLOW_PERCENT 168
#define USUAL_PERCENT 125

void
ss_owner_speed_init (SsOwnedTarget *owned)
{
  ss_server_speed_init (&owned->speed);
  ss_concurrency_limit_init (&owned->limit);
}

void
ss_owner_speed_finish (SsOwnedTarget *owned)
{
  ss_server_speed_finish (&owned->speed);
}

void
ss_owner_speed_resume (SsNode *node, SsOwnedTarget *owned)
{
  const SsServerState *s = &owned->target->state;

  if (!node->params.learn_speed || !owned->target->state_ms)
    return;
  if (!s->speed_unknown)
    ss_server_speed_resume (
        &owned->speed, s->slowness_percent ? s->slowness_percent / 100.0 : 1.0,
        node->now_ms);
  ss_concurrency_limit_resume (&owned->limit, s->concurrency_limit,
                               node->now_ms);
}

uint32_t
ss_owner_speed_limit (SsNode *node, const SsOwnedTarget *owned,
                      uint32_t ceiling)
{
  if (!node->params.learn_speed)
    return ceiling;
  return ss_concurrency_limit_get (&owned->limit, ceiling);
}

/* Returns the factor of slowness in percent as it is reported; 0: as usual. */
static uint32_t
reported_slowness (const SsNode *node, const SsOwnedTarget *owned)
{
  double doublings
      = log2 (ss_server_speed_factor (&owned->speed, node->now_ms));

  if (fabs (doublings) < USUAL_DOUBLINGS)
    return 0;
  doublings = round (doublings * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING;
  return (uint32_t) (exp2 (doublings) * 100);
}

void
ss_owner_speed_fill (SsNode *node, const SsOwnedTarget *owned,
                     SsServerState *state)
{
  uint32_t ceiling;
  uint32_t limit;

  if (!node->params.learn_speed)
    return;
  ceiling = ss_pool_capacity_max (node, owned);
  limit = ss_concurrency_limit_settled (&owned->limit, ceiling);
  state->concurrency_limit = limit < ceiling ? limit : 0;
  state->slowness_percent = owned->slowness_percent;
  state->speed_unknown = !owned->speed.known;
}

/* --- beliefs --- */

static void
log_slowness (SsNode *node, SsOwnedTarget *owned)
{
  uint32_t percent = owned->slowness_percent ? owned->slowness_percent : 100;
  bool is_slow
      = owned->is_slow ? percent > USUAL_PERCENT : percent >= SLOW_PERCENT;

  if (is_slow == owned->is_slow)
    return;
  owned->is_slow = is_slow;
  ss_node_log (node,
               is_slow ? SS_EVENT_LOG_SERVER_SLOW : SS_EVENT_LOG_SERVER_USUAL,
               owned->target->name,
               "slowness_percent=%u failures_percent=%u mean_run_ms=%u",
               percent, (uint32_t) (owned->speed.failures * 100),
               (uint32_t) owned->queue.mean_run_ms);
}

static void
log_limit (SsNode *node, SsOwnedTarget *owned)
{
  uint32_t ceiling = ss_pool_capacity_max (node, owned);
  uint32_t limit = ss_concurrency_limit_settled (&owned->limit, ceiling);
  bool is_limited = limit < ceiling;

  if (is_limited == owned->is_limited)
    return;
  owned->is_limited = is_limited;
  owned->speed_changed = true;
  ss_node_log (
      node, is_limited ? SS_EVENT_LOG_LIMIT_LOWERED : SS_EVENT_LOG_LIMIT_RAISED,
      owned->target->name, "limit=%u ceiling=%u slots=%u", limit, ceiling,
      owned->target->slots);
}

void
ss_owner_speed_tick (SsNode *node, SsOwnedTarget *owned)
{
  uint32_t slowness;

  if (!node->params.learn_speed)
    return;
  slowness = reported_slowness (node, owned);
  if (slowness != owned->slowness_percent)
    {
      owned->slowness_percent = slowness;
      owned->speed_changed = true;
      log_slowness (node, owned);
    }
  log_limit (node, owned);
}

/* --- samples --- */

void
ss_owner_speed_started (SsNode *node, SsConnection *c)
{
  const SsQueue *q = &c->owned->queue;
  SsJob *job = c->job;

  job->run_started_ms = node->now_ms;
  job->running = q->running[SS_QUEUE_WRITE] + q->running[SS_QUEUE_READ];
}

/* Returns how many times longer statements run because JOB's target runs more
 * of them than it has slots.
 */
static double
sharing (const SsJob *job)
{
  uint32_t slots = job->owned->target->slots;

  return slots && job->running > slots ? (double) job->running / slots : 1.0;
}

static void
sample_run (SsNode *node, SsJob *job)
{
  SsOwnedTarget *owned = job->owned;
  double run_ms = (double) (node->now_ms - job->run_started_ms);
  SsLimitSample sample = { job->run_started_ms, MAX (job->running, 1), 1.0 };

  job->run_ms = run_ms / sharing (job);
  sample.ratio
      = ss_server_speed_sample (&owned->speed, job->service, job->is_read,
                                job->run_ms, job->usual_run_ms, node->now_ms);
  ss_concurrency_limit_sample (
      &owned->limit, &sample, ss_pool_capacity_max (node, owned), node->now_ms);
}

static void
sample_failure (SsNode *node, const SsJob *job)
{
  double run_ms = (double) (node->now_ms - job->run_started_ms);

  ss_server_speed_failed (&job->owned->speed, run_ms / sharing (job),
                          job->is_read ? job->usual_run_ms : 0, node->now_ms);
}

void
ss_owner_speed_result (SsNode *node, SsConnection *c,
                       const SsTargetResult *result)
{
  SsJob *job = c->job;

  if (!node->params.learn_speed || job->step != SS_STEP_PLAIN)
    return;
  if (result->ok)
    sample_run (node, job);
  /* The others tell the state of the log or of the session, not of the server.
   */
  else if (result->fault == SS_TARGET_FAULT_NONE
           || result->fault == SS_TARGET_FAULT_STATEMENT
           || result->fault == SS_TARGET_FAULT_BUSY)
    sample_failure (node, job);
}

void
ss_owner_speed_lost (SsNode *node, const SsJob *job)
{
  if (node->params.learn_speed && job->run_started_ms
      && job->step == SS_STEP_PLAIN)
    sample_failure (node, job);
}
