/* concurrency_limit: how many statements at once a server takes well.
 *
 * Load pattern: a server slows down long before all of its slots are busy, so
 * more statements at once bring longer run times and no more throughput.
 *
 * The limit is a hill climb on throughput, which by Little's law is the
 * concurrency divided by the run time.  If run times are longer than usual, or
 * grow with the concurrency, a lower limit is tried for one window; it stays if
 * the throughput does.  If the throughput falls in proportion, the server is
 * slower at any concurrency and the limit returns.  A limit below the ceiling
 * is raised step by step while that brings throughput.  Times are in
 * milliseconds of the node's clock.
 */
#ifndef SS_CONCURRENCY_LIMIT_H
#define SS_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* A window ends after this many statements, or after this time with at least
 * the minimum number of them.
 */
#define SS_LIMIT_WINDOW 24
#define SS_LIMIT_WINDOW_MIN 12
#define SS_LIMIT_WINDOW_MS 400
/* Run time, as a multiple of the usual one, above which a lower limit is tried:
 * in two windows one after the other, as one alone may be noise, or in one.
 */
#define SS_LIMIT_RUN_RATIO 1.5
#define SS_LIMIT_RUN_RATIO_AT_ONCE 2.25
/* Gradient of run times against concurrency, both as logarithms, above which a
 * lower limit is tried; at 1, more statements at once bring no throughput.
 */
#define SS_LIMIT_GRADIENT 0.8
/* Variance of the concurrency's logarithm that a gradient needs, and what is
 * kept of the older windows.
 */
#define SS_LIMIT_VARIANCE_MIN 0.05
#define SS_LIMIT_GRADIENT_KEPT 0.7
/* A tried lower limit is this percentage of the one before. */
#define SS_LIMIT_DOWN_PERCENT 75
/* Share of the throughput that a lower limit has to keep. */
#define SS_LIMIT_KEEP 0.82
/* Share of the proportional gain that a higher limit has to bring. */
#define SS_LIMIT_GAIN 0.5
/* Pauses between attempts to raise the limit, and after a lower one failed. */
#define SS_LIMIT_PROBE_MS 1000
#define SS_LIMIT_PROBE_MAX_MS 8000
#define SS_LIMIT_LOWER_MS 2000
#define SS_LIMIT_LOWER_MAX_MS 30000

typedef enum
{
  SS_LIMIT_HOLD,
  SS_LIMIT_TRY_LOWER,
  SS_LIMIT_TRY_HIGHER
} SsLimitPhase;

/* Sums over the last statements, for a regression of the logarithm of the run
 * time (y) on that of the concurrency (x).
 */
typedef struct
{
  double count;
  double x;
  double xx;
  double y;
  double xy;
} SsLimitGradient;

typedef struct
{
  uint32_t limit; /* in force, unless the ceiling is lower */
  SsLimitPhase phase;
  uint32_t before;         /* while trying: the limit to return to */
  double before_log_ratio; /* of the run times under it */
  double before_running;   /* mean concurrency under it */
  double usual_log_ratio;  /* of the run times, where they count as usual */
  bool was_slow;           /* the last window was, as follows */
  double slow_log_ratio;   /* of that window */
  int64_t changed_ms;      /* statements that started earlier do not count */
  int64_t higher_due_ms;
  int64_t higher_pause_ms;
  int64_t lower_due_ms;
  int64_t lower_pause_ms;
  SsLimitGradient gradient; /* since the limit changed */
  /* The current window. */
  uint32_t count;
  double log_ratio_sum;
  double running_sum;
  int64_t since_ms;
} SsConcurrencyLimit;

/* A statement that ran. */
typedef struct
{
  int64_t started_ms;
  uint32_t running; /* at its start, with itself */
  double ratio;     /* run time as a multiple of the usual one */
} SsLimitSample;

/* ss_concurrency_limit_init: starts at the ceiling. */
void ss_concurrency_limit_init (SsConcurrencyLimit *limit);
/* ss_concurrency_limit_resume: starts from VALUE, which another owner reported;
 * 0: the ceiling.
 */
void ss_concurrency_limit_resume (SsConcurrencyLimit *limit, uint32_t value,
                                  int64_t now_ms);
/* ss_concurrency_limit_sample: records SAMPLE.  CEILING is the highest limit
 * allowed now.
 */
void ss_concurrency_limit_sample (SsConcurrencyLimit *limit,
                                  const SsLimitSample *sample, uint32_t ceiling,
                                  int64_t now_ms);
/* ss_concurrency_limit_get: returns the limit, from 1 to CEILING. */
uint32_t ss_concurrency_limit_get (const SsConcurrencyLimit *limit,
                                   uint32_t ceiling);
/* ss_concurrency_limit_settled: as ss_concurrency_limit_get, but not the one
 * that is only tried.
 */
uint32_t ss_concurrency_limit_settled (const SsConcurrencyLimit *limit,
                                       uint32_t ceiling);

#endif
