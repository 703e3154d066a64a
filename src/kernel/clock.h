/* clock: the only source of time, in milliseconds.
 *
 * The clock also advances while the machine is suspended: the core uses it to
 * prove the age of data, and an age must not be underestimated.
 *
 * A clock is a vtable as the first member of a struct, so that tests can supply
 * their own.
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

/* ss_clock_monotonic: returns a clock that reads the time since boot. */
const SsClock *ss_clock_monotonic (void);

static inline int64_t
ss_clock_now_ms (const SsClock *clock)
{
  return clock->now_ms (clock);
}

#endif
