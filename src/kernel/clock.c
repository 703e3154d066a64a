#include "kernel/clock.h"

#include <time.h>

static int64_t
monotonic_now_ms (const SsClock *clock)
{
  struct timespec ts;

  (void) clock;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t) ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

const SsClock *
ss_clock_monotonic (void)
{
  static const SsClock clock = { monotonic_now_ms };

  return &clock;
}
