#include "core/placement.h"

#include <glib.h>

/* A move that follows the last one within this many pauses shows that the last
 * one did not help for long.
 */
#define REPEATED_WITHIN_PAUSES 4

void
ss_placement_sample (SsPlacement *p, SsPosition position, int64_t now_ms)
{
  if (now_ms - p->sampled_ms < SS_PLACEMENT_SAMPLE_MS)
    return;
  p->expected = p->sampled;
  p->sampled = position;
  p->sampled_ms = now_ms;
}

bool
ss_placement_receives (const SsPlacement *p, SsPosition held)
{
  return held.term == p->sampled.term && p->expected.term == held.term
         && ss_position_covers (held, p->expected);
}

static bool
has_queue (const SsPlacementView *view)
{
  return view->wait_ms >= SS_PLACEMENT_WAIT_MS;
}

static bool
has_stalled (const SsPlacementView *view)
{
  return view->stalled_ms >= SS_PLACEMENT_STALLED_MS;
}

bool
ss_placement_is_in_trouble (const SsPlacementView *view)
{
  return has_queue (view) || has_stalled (view);
}

static bool
is_overloaded_by_lag (const SsPlacementView *view)
{
  return view->receiving && has_queue (view)
         && view->lag_ms >= view->staleness_ms + view->failover_ms;
}

static bool
is_cut_from_replicas (const SsPlacementView *view)
{
  return view->candidates && has_stalled (view);
}

bool
ss_placement_should_move (const SsPlacement *p, const SsPlacementView *view,
                          int64_t now_ms)
{
  if (view->settled_ms < SS_PLACEMENT_SETTLE_MS
      || (p->moved_ms && now_ms - p->moved_ms < p->pause_ms))
    return false;
  return is_overloaded_by_lag (view) || is_cut_from_replicas (view);
}

void
ss_placement_moved (SsPlacement *p, int64_t now_ms)
{
  bool repeated
      = p->moved_ms
        && now_ms - p->moved_ms < REPEATED_WITHIN_PAUSES * p->pause_ms;

  p->pause_ms = repeated ? MIN (2 * p->pause_ms, SS_PLACEMENT_PAUSE_MAX_MS)
                         : SS_PLACEMENT_PAUSE_MS;
  p->moved_ms = now_ms;
}
