#include "core/server_speed.h"

#include <math.h>
#include <string.h>

/* Weight of a new run time in its mean. */
#define RUN_TIME_GAIN 0.03
/* Largest deviation from the mean that one run time counts as. */
#define RUN_TIME_DEVIATION_MAX G_LN2
/* Added to run times before they are compared, as the clock counts whole
 * milliseconds.
 */
#define RESOLUTION_MS 1.0
/* Highest factor that stands for failures. */
#define FAILING_FACTOR_MAX 8.0

void
ss_run_time_sample (SsRunTime *run, double run_ms)
{
  double deviation = log (MAX (run_ms, 0.1)) - run->log_ms;

  run->samples += run->samples < G_MAXUINT32 ? 1 : 0;
  if (run->samples > SS_RUN_TIME_SAMPLES_MIN)
    deviation
        = CLAMP (deviation, -RUN_TIME_DEVIATION_MAX, RUN_TIME_DEVIATION_MAX);
  run->log_ms += deviation * MAX (RUN_TIME_GAIN, 1.0 / run->samples);
}

double
ss_run_time_ms (const SsRunTime *run)
{
  return run->samples < SS_RUN_TIME_SAMPLES_MIN ? 0 : exp (run->log_ms);
}

void
ss_server_speed_init (SsServerSpeed *speed)
{
  memset (speed, 0, sizeof *speed);
  speed->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
ss_server_speed_finish (SsServerSpeed *speed)
{
  g_hash_table_destroy (speed->services);
}

void
ss_server_speed_resume (SsServerSpeed *speed, double factor, int64_t now_ms)
{
  speed->log_factor
      = log (CLAMP (factor, SS_SPEED_FACTOR_MIN, SS_SPEED_FACTOR_MAX));
  speed->known = true;
  speed->known_ms = now_ms;
  speed->failures = 0;
  speed->count = 0;
}

static SsRunTime *
get_run_time (SsServerSpeed *speed, const char *service, bool is_read)
{
  SsRunTime *runs = g_hash_table_lookup (speed->services, service);

  if (!runs)
    {
      runs = g_new0 (SsRunTime, 2);
      g_hash_table_insert (speed->services, g_strdup (service), runs);
    }
  return &runs[is_read];
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  const double *x = a;
  const double *y = b;

  return *x < *y ? -1 : *x > *y;
}

static double
window_median (SsServerSpeed *speed)
{
  qsort (speed->logs, speed->count, sizeof *speed->logs, compare_doubles);
  return (speed->logs[(speed->count - 1) / 2] + speed->logs[speed->count / 2])
         / 2;
}

static double
valid_log_factor (const SsServerSpeed *speed, int64_t now_ms)
{
  int64_t over_ms = now_ms - speed->known_ms - SS_SPEED_VALID_MS;

  if (over_ms <= 0)
    return speed->log_factor;
  return speed->log_factor * exp2 (-(double) over_ms / SS_SPEED_VALID_MS);
}

static void
end_window (SsServerSpeed *speed, int64_t now_ms)
{
  double median = CLAMP (window_median (speed), log (SS_SPEED_FACTOR_MIN),
                         log (SS_SPEED_FACTOR_MAX));
  double before = valid_log_factor (speed, now_ms);
  double gain = median > before ? SS_SPEED_GAIN_UP : SS_SPEED_GAIN_DOWN;

  speed->log_factor = speed->known ? before + gain * (median - before) : median;
  speed->known = true;
  speed->known_ms = now_ms;
  speed->count = 0;
}

static void
add_ratio (SsServerSpeed *speed, double ratio, int64_t now_ms)
{
  if (!speed->count)
    speed->since_ms = now_ms;
  speed->logs[speed->count++] = log (ratio);
  if (speed->count == SS_SPEED_WINDOW
      || (speed->count >= SS_SPEED_WINDOW_MIN
          && now_ms - speed->since_ms >= SS_SPEED_WINDOW_MS))
    end_window (speed, now_ms);
}

double
ss_server_speed_sample (SsServerSpeed *speed, const char *service, bool is_read,
                        double run_ms, double usual_ms, int64_t now_ms)
{
  SsRunTime *own = get_run_time (speed, service, is_read);
  double reference_ms = usual_ms > 0 ? usual_ms : ss_run_time_ms (own);
  double ratio = 1.0;

  speed->failures -= SS_SPEED_FAILURE_GAIN * speed->failures;
  ss_run_time_sample (own, run_ms);
  if (reference_ms > 0)
    ratio = (run_ms + RESOLUTION_MS) / (reference_ms + RESOLUTION_MS);
  /* Only reads have servers to compare: writes run at the primary alone. */
  if (is_read && usual_ms > 0)
    add_ratio (speed, ratio, now_ms);
  return ratio;
}

void
ss_server_speed_failed (SsServerSpeed *speed, double run_ms, double usual_ms,
                        int64_t now_ms)
{
  double ratio = (run_ms + RESOLUTION_MS) / (usual_ms + RESOLUTION_MS);

  speed->failures += SS_SPEED_FAILURE_GAIN * (1.0 - speed->failures);
  if (usual_ms > 0 && log (ratio) > MAX (speed->log_factor, 0))
    add_ratio (speed, ratio, now_ms);
}

/* Returns the factor that stands for the share of failures. */
static double
failing_factor (const SsServerSpeed *speed)
{
  if (speed->failures <= SS_SPEED_FAILURES_MAX)
    return 1.0;
  return MIN ((1 - SS_SPEED_FAILURES_MAX) / (1 - speed->failures),
              FAILING_FACTOR_MAX);
}

double
ss_server_speed_factor (const SsServerSpeed *speed, int64_t now_ms)
{
  double factor = exp (valid_log_factor (speed, now_ms));
  double failing = failing_factor (speed);

  if (failing > 1.0)
    factor = MAX (factor, 1.0) * failing;
  return MIN (factor, SS_SPEED_FACTOR_MAX);
}

double
ss_server_speed_run_ms (const SsServerSpeed *speed, const char *service,
                        bool is_read)
{
  const SsRunTime *runs = g_hash_table_lookup (speed->services, service);

  return runs ? ss_run_time_ms (&runs[is_read]) : 0;
}
