#include "core/read_spread.h"

#include <glib.h>
#include <math.h>

static double
total_ms (const SsReadCost *c)
{
  return c->wait_ms + c->other_ms;
}

static double
best_total_ms (const SsReadCost *costs, uint32_t count)
{
  double best_ms = total_ms (&costs[0]);

  for (uint32_t i = 1; i < count; i++)
    best_ms = MIN (best_ms, total_ms (&costs[i]));
  return best_ms;
}

static double
wait_range_ms (const SsReadCost *costs, uint32_t count)
{
  double lowest_ms = costs[0].wait_ms;
  double highest_ms = costs[0].wait_ms;

  for (uint32_t i = 1; i < count; i++)
    {
      lowest_ms = MIN (lowest_ms, costs[i].wait_ms);
      highest_ms = MAX (highest_ms, costs[i].wait_ms);
    }
  return highest_ms - lowest_ms;
}

static double
weight (const SsReadCost *c, double best_ms, double range_ms)
{
  double w = exp ((best_ms - total_ms (c)) / range_ms);

  return c->is_probed ? MAX (w, SS_SPREAD_PROBE_SHARE) : w;
}

uint32_t
ss_read_spread_pick (const SsReadCost *costs, uint32_t count, double random)
{
  double best_ms = best_total_ms (costs, count);
  double range_ms = MAX (SS_SPREAD_MIN_MS, best_ms * SS_SPREAD_SHARE);
  double sum = 0;
  uint32_t i;

  range_ms = MAX (range_ms,
                  MIN (wait_range_ms (costs, count) * SS_SPREAD_WAIT_FACTOR,
                       SS_SPREAD_WAIT_MAX_MS));
  for (i = 0; i < count; i++)
    sum += weight (&costs[i], best_ms, range_ms);
  random *= sum;
  for (i = 0; i + 1 < count; i++)
    {
      random -= weight (&costs[i], best_ms, range_ms);
      if (random < 0)
        break;
    }
  return i;
}
