/* clock: the one source of time, in milliseconds.
 *
 * It also counts the time that the machine was suspended: what it measures
 * proves ages, and an age must not come out too low.
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
  /* Returns time that never goes back, in milliseconds; never fails. */
  int64_t (*now_ms) (const SsClock *clock);
};

/* ss_clock_monotonic: a clock that reads the system's time since boot. */
const SsClock *ss_clock_monotonic (void);

static inline int64_t
ss_clock_now_ms (const SsClock *clock)
{
  return clock->now_ms (clock);
}

#endif
