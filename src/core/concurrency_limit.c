#include "core/concurrency_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Weight of a window in the usual run time, if it is shorter or longer. */
#define USUAL_GAIN_DOWN 0.1
#define USUAL_GAIN_UP 0.02
/* Bounds on the logarithm of one run time's ratio. */
#define LOG_RATIO_MIN (-1.0)
#define LOG_RATIO_MAX 5.0
/* A higher limit that adds less concurrency than this has shown nothing: the
 * reserve for writes takes up one step.
 */
#define RUNNING_GAIN_MIN 0.5
/* Concurrency below which long run times are not due to it. */
#define RUNNING_MIN 1.2

void
ss_concurrency_limit_init (SsConcurrencyLimit *limit)
{
  memset (limit, 0, sizeof *limit);
  limit->limit = G_MAXUINT32;
  limit->higher_pause_ms = SS_LIMIT_PROBE_MS;
  limit->lower_pause_ms = SS_LIMIT_LOWER_MS;
}

void
ss_concurrency_limit_resume (SsConcurrencyLimit *limit, uint32_t value,
                             int64_t now_ms)
{
  ss_concurrency_limit_init (limit);
  if (value)
    limit->limit = value;
  limit->changed_ms = now_ms;
  limit->higher_due_ms = now_ms + SS_LIMIT_PROBE_MS;
}

uint32_t
ss_concurrency_limit_get (const SsConcurrencyLimit *limit, uint32_t ceiling)
{
  return MAX (MIN (limit->limit, ceiling), 1);
}

uint32_t
ss_concurrency_limit_settled (const SsConcurrencyLimit *limit, uint32_t ceiling)
{
  uint32_t settled
      = limit->phase == SS_LIMIT_HOLD ? limit->limit : limit->before;

  return MAX (MIN (settled, ceiling), 1);
}

/* --- windows --- */

typedef struct
{
  double log_ratio;
  double running;
} Window;

static double
throughput (double running, double log_ratio)
{
  return running / exp (log_ratio);
}

/* --- gradient --- */

static void
gradient_add (SsLimitGradient *g, double running, double log_ratio)
{
  double x = log (running);

  g->count++;
  g->x += x;
  g->xx += x * x;
  g->y += log_ratio;
  g->xy += x * log_ratio;
}

static void
gradient_age (SsLimitGradient *g)
{
  g->count *= SS_LIMIT_GRADIENT_KEPT;
  g->x *= SS_LIMIT_GRADIENT_KEPT;
  g->xx *= SS_LIMIT_GRADIENT_KEPT;
  g->y *= SS_LIMIT_GRADIENT_KEPT;
  g->xy *= SS_LIMIT_GRADIENT_KEPT;
}

/* Returns 0 also if the concurrency varied too little. */
static double
gradient_get (const SsLimitGradient *g)
{
  double variance = g->xx / g->count - g->x / g->count * g->x / g->count;

  if (g->count < 2 * SS_LIMIT_WINDOW || variance < SS_LIMIT_VARIANCE_MIN)
    return 0;
  return (g->xy / g->count - g->x / g->count * g->y / g->count) / variance;
}

/* --- trials --- */

static void
set_limit (SsConcurrencyLimit *limit, uint32_t value, SsLimitPhase phase,
           int64_t now_ms)
{
  limit->limit = value;
  limit->phase = phase;
  limit->was_slow = false;
  limit->gradient = (SsLimitGradient){ 0 };
  limit->changed_ms = now_ms;
}

static void
start_trial (SsConcurrencyLimit *limit, const Window *w, uint32_t value,
             SsLimitPhase phase, int64_t now_ms)
{
  limit->before = limit->limit;
  limit->before_log_ratio = w->log_ratio;
  limit->before_running = w->running;
  set_limit (limit, value, phase, now_ms);
}

static bool
is_slow (const SsConcurrencyLimit *limit, const Window *w, double ratio)
{
  return w->log_ratio > limit->usual_log_ratio + log (ratio);
}

static void
try_lower (SsConcurrencyLimit *limit, const Window *w, uint32_t ceiling,
           int64_t now_ms)
{
  /* A limit far above the concurrency would change nothing.  One step more, as
   * the reserve for writes takes one up.
   */
  uint32_t used = (uint32_t) ceil (w->running) + 1;
  uint32_t value
      = MIN (limit->limit, MIN (used, ceiling)) * SS_LIMIT_DOWN_PERCENT / 100;

  start_trial (limit, w, MAX (value, 1), SS_LIMIT_TRY_LOWER, now_ms);
}

static void
end_lower (SsConcurrencyLimit *limit, const Window *w, uint32_t ceiling,
           int64_t now_ms)
{
  double before = throughput (limit->before_running, limit->before_log_ratio);

  if (throughput (w->running, w->log_ratio) < before * SS_LIMIT_KEEP)
    {
      /* The server is slower at any concurrency, or this was its best. */
      limit->lower_due_ms = now_ms + limit->lower_pause_ms;
      limit->lower_pause_ms
          = MIN (limit->lower_pause_ms * 2, SS_LIMIT_LOWER_MAX_MS);
      set_limit (limit, limit->before, SS_LIMIT_HOLD, now_ms);
      return;
    }
  limit->higher_pause_ms = SS_LIMIT_PROBE_MS;
  limit->higher_due_ms = now_ms + SS_LIMIT_PROBE_MS;
  limit->lower_pause_ms = SS_LIMIT_LOWER_MS;
  limit->phase = SS_LIMIT_HOLD;
  if (is_slow (limit, w, SS_LIMIT_RUN_RATIO) && limit->limit > 1)
    try_lower (limit, w, ceiling, now_ms);
}

static bool
brings_throughput (const SsConcurrencyLimit *limit, const Window *w)
{
  double before = throughput (limit->before_running, limit->before_log_ratio);
  double gain = w->running / limit->before_running - 1;

  if (w->running < limit->before_running + RUNNING_GAIN_MIN)
    return true;
  return throughput (w->running, w->log_ratio)
         >= before * (1 + SS_LIMIT_GAIN * gain);
}

static void
end_higher (SsConcurrencyLimit *limit, const Window *w, uint32_t ceiling,
            int64_t now_ms)
{
  if (brings_throughput (limit, w))
    {
      limit->higher_pause_ms = SS_LIMIT_PROBE_MS;
      limit->higher_due_ms = now_ms;
      limit->phase = SS_LIMIT_HOLD;
      if (limit->limit >= ceiling)
        limit->limit = G_MAXUINT32;
      return;
    }
  limit->higher_pause_ms
      = MIN (limit->higher_pause_ms * 2, SS_LIMIT_PROBE_MAX_MS);
  limit->higher_due_ms = now_ms + limit->higher_pause_ms;
  set_limit (limit, limit->before, SS_LIMIT_HOLD, now_ms);
}

static void
note_usual (SsConcurrencyLimit *limit, const Window *w)
{
  double deviation = w->log_ratio - limit->usual_log_ratio;

  if (deviation < 0)
    limit->usual_log_ratio += USUAL_GAIN_DOWN * deviation;
  else if (!is_slow (limit, w, SS_LIMIT_RUN_RATIO))
    limit->usual_log_ratio += USUAL_GAIN_UP * deviation;
}

static void
end_hold (SsConcurrencyLimit *limit, const Window *w, uint32_t ceiling,
          int64_t now_ms)
{
  bool was_slow = limit->was_slow;
  bool grows = gradient_get (&limit->gradient) > SS_LIMIT_GRADIENT;
  Window slow = *w;

  note_usual (limit, w);
  limit->was_slow
      = w->running >= RUNNING_MIN && is_slow (limit, w, SS_LIMIT_RUN_RATIO);
  if (was_slow)
    slow.log_ratio = (w->log_ratio + limit->slow_log_ratio) / 2;
  limit->slow_log_ratio = w->log_ratio;
  if (grows && now_ms >= limit->lower_due_ms
      && ss_concurrency_limit_get (limit, ceiling) > 1)
    try_lower (limit, w, ceiling, now_ms);
  else if (limit->was_slow && now_ms >= limit->lower_due_ms
           && (was_slow || is_slow (limit, w, SS_LIMIT_RUN_RATIO_AT_ONCE))
           && ss_concurrency_limit_get (limit, ceiling) > 1)
    try_lower (limit, &slow, ceiling, now_ms);
  else if (limit->limit < ceiling && now_ms >= limit->higher_due_ms)
    start_trial (limit, w, limit->limit + MAX (limit->limit / 8, 1),
                 SS_LIMIT_TRY_HIGHER, now_ms);
}

static void
end_window (SsConcurrencyLimit *limit, uint32_t ceiling, int64_t now_ms)
{
  Window w = { limit->log_ratio_sum / limit->count,
               limit->running_sum / limit->count };

  limit->count = 0;
  switch (limit->phase)
    {
    case SS_LIMIT_TRY_LOWER:
      end_lower (limit, &w, ceiling, now_ms);
      break;
    case SS_LIMIT_TRY_HIGHER:
      end_higher (limit, &w, ceiling, now_ms);
      break;
    case SS_LIMIT_HOLD:
    default:
      end_hold (limit, &w, ceiling, now_ms);
      gradient_age (&limit->gradient);
      break;
    }
}

void
ss_concurrency_limit_sample (SsConcurrencyLimit *limit,
                             const SsLimitSample *sample, uint32_t ceiling,
                             int64_t now_ms)
{
  double log_ratio;

  if (sample->started_ms < limit->changed_ms)
    return;
  if (!limit->count)
    {
      limit->log_ratio_sum = 0;
      limit->running_sum = 0;
      limit->since_ms = now_ms;
    }
  limit->count++;
  log_ratio
      = CLAMP (log (MAX (sample->ratio, 0.01)), LOG_RATIO_MIN, LOG_RATIO_MAX);
  limit->log_ratio_sum += log_ratio;
  gradient_add (&limit->gradient, sample->running, log_ratio);
  limit->running_sum += sample->running;
  if (limit->count >= SS_LIMIT_WINDOW
      || (limit->count >= SS_LIMIT_WINDOW_MIN
          && now_ms - limit->since_ms >= SS_LIMIT_WINDOW_MS))
    end_window (limit, ceiling, now_ms);
}
