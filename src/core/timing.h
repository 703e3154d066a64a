/* timing: the intervals and time limits of the core's polls and reports, as
 * settings.
 *
 * Small values detect changes early; large values save CPU time, messages and
 * the targets' capacity for statements.
 */
#ifndef SS_TIMING_H
#define SS_TIMING_H

#include <stdint.h>

/* X (field, default, minimum, maximum), in milliseconds */
#define SS_TIMINGS(X)                                                          \
  X (tick_asked_ms, 1, 1, 1000)      /* with a status request outstanding */   \
  X (tick_busy_ms, 5, 1, 1000)       /* while requests are in progress */      \
  X (tick_idle_ms, 20, 1, 1000)      /* otherwise */                           \
  X (heartbeat_ms, 200, 20, 10000)   /* heartbeats to other VMs */             \
  X (poll_idle_ms, 50, 1, 60000)     /* status polls of a target */            \
  X (poll_lagging_ms, 10, 1, 60000)  /* of one that has log left to apply */   \
  X (poll_asked_ms, 1, 1, 1000)      /* of one with such a request */          \
  X (silence_ms, 60000, 1, 60000)    /* silence after which to poll at once */ \
  X (unreachable_ms, 1200, 1, 60000) /* silence that counts as unreachable */  \
  X (report_idle_ms, 250, 1, 60000)  /* state reports to other VMs */          \
  X (report_min_ms, 10, 1, 60000)    /* of a target whose state changed */

typedef struct
{
#define X(field, fallback, lowest, highest) int64_t field;
  SS_TIMINGS (X)
#undef X
} SsTiming;

/* ss_timing_fill_defaults: gives every field that is 0 its default. */
static inline void
ss_timing_fill_defaults (SsTiming *timing)
{
#define X(field, fallback, lowest, highest)                                    \
  timing->field = timing->field ? timing->field : (fallback);
  SS_TIMINGS (X)
#undef X
}

#endif
