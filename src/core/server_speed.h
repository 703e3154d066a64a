/* server_speed: how long statements run at one server, and how much slower it
 * is than usual.
 *
 * Load pattern: a server is slow from the start, becomes slower for seconds,
 * recovers, fails some statements at once, or gets another mix of kinds of
 * work.
 *
 * The factor of slowness compares each run time with the usual one of its kind,
 * so the mix of kinds does not change it.  It follows the median of a window,
 * so single slow statements do not change it either.  Only statements that ran
 * count as run times; failures and lost answers are counted as such.  Times are
 * in milliseconds of the node's clock.
 */
#ifndef SS_SERVER_SPEED_H
#define SS_SERVER_SPEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A window ends after this many run times, or after this time with at least
 * the minimum number of them.
 */
#define SS_SPEED_WINDOW 12
#define SS_SPEED_WINDOW_MIN 3
#define SS_SPEED_WINDOW_MS 1000
/* Weight of a window that is slower than the factor, and of a faster one. */
#define SS_SPEED_GAIN_UP 0.7
#define SS_SPEED_GAIN_DOWN 0.3
#define SS_SPEED_FACTOR_MIN 0.25
#define SS_SPEED_FACTOR_MAX 16.0
/* Without a new window the factor is valid for this time, and its logarithm is
 * then halved at the same interval.
 */
#define SS_SPEED_VALID_MS 3000
/* Weight of one outcome in the share of failures, and the share above which
 * the server is regarded as failing: statements with errors of their own are
 * fewer.
 */
#define SS_SPEED_FAILURE_GAIN 0.03
#define SS_SPEED_FAILURES_MAX 0.5
/* Number of run times from which a moving average is used. */
#define SS_RUN_TIME_SAMPLES_MIN 5

/* Moving geometric mean of run times of one kind. */
typedef struct
{
  double log_ms;
  uint32_t samples;
} SsRunTime;

/* ss_run_time_sample: adds RUN_MS.  Once the mean is established, one sample
 * counts as at most twice or at least half of it.
 */
void ss_run_time_sample (SsRunTime *run, double run_ms);
/* ss_run_time_ms: returns the mean in milliseconds, or 0 if it is unknown. */
double ss_run_time_ms (const SsRunTime *run);

typedef struct
{
  GHashTable *services; /* name -> SsRunTime[2], of writes and of reads */
  double log_factor;
  bool known;                   /* log_factor comes from a window or a report */
  int64_t known_ms;             /* when the last window ended */
  double failures;              /* share of the last statements that failed */
  double logs[SS_SPEED_WINDOW]; /* of the ratios in the current window */
  uint32_t count;
  int64_t since_ms; /* start of the current window */
} SsServerSpeed;

void ss_server_speed_init (SsServerSpeed *speed);
void ss_server_speed_finish (SsServerSpeed *speed);
/* ss_server_speed_resume: starts from FACTOR, which another owner reported. */
void ss_server_speed_resume (SsServerSpeed *speed, double factor,
                             int64_t now_ms);
/* ss_server_speed_sample: records that a statement of SERVICE ran for RUN_MS.
 * USUAL_MS is the usual run time of its kind in the group; 0: unknown, it does
 * not count for the factor.  Returns RUN_MS as a multiple of the usual run
 * time, or of the one at this server if that is unknown.
 */
double ss_server_speed_sample (SsServerSpeed *speed, const char *service,
                               bool is_read, double run_ms, double usual_ms,
                               int64_t now_ms);
/* ss_server_speed_failed: records a statement that failed or whose answer was
 * lost after RUN_MS.  If that is longer than USUAL_MS, it counts as slow, too.
 */
void ss_server_speed_failed (SsServerSpeed *speed, double run_ms,
                             double usual_ms, int64_t now_ms);
/* ss_server_speed_factor: returns how many times slower than usual the server
 * is; above 1 also while it fails most statements.
 */
double ss_server_speed_factor (const SsServerSpeed *speed, int64_t now_ms);
/* ss_server_speed_run_ms: returns the run time of SERVICE here, or 0. */
double ss_server_speed_run_ms (const SsServerSpeed *speed, const char *service,
                               bool is_read);

#endif
