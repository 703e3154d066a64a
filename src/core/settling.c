#include "core/settling.h"

/* The others answer within a few heartbeats, if they run. */
#define WAIT_MS 1000
/* In a new deployment no VM is listed before the others have started too. */
#define WAIT_UNLISTED_MS 2000

bool
ss_settling_is_over (const SsSettlingView *view)
{
  if (!view->others)
    return view->uptime_ms >= WAIT_UNLISTED_MS;
  return view->others_live * 2 >= view->others || view->known_ms >= WAIT_MS;
}
