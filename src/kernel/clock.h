/* clock: the one source of time, in milliseconds.
 *
 * A clock is a vtable in the first member, so a test hands in a clock of its
 * own.
 */
#ifndef SS_CLOCK_H
#define SS_CLOCK_H

#include <stdint.h>

typedef struct SsClock SsClock;

struct SsClock
{
  /* Returns monotonic time in milliseconds; never fails. */
  int64_t (*now_ms) (const SsClock *clock);
};

/* ss_clock_monotonic: a clock that reads the system's monotonic time. */
const SsClock *ss_clock_monotonic (void);

static inline int64_t
ss_clock_now_ms (const SsClock *clock)
{
  return clock->now_ms (clock);
}

#endif
