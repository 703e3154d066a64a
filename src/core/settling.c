#include "core/settling.h"

/* So few VMs may each take all roles for a moment without harm. */
#define FEW_VMS 12
/* The others answer within a few heartbeats, if they run. */
#define WAIT_MS 1000
/* In a new deployment no VM is listed before the others have started too. */
#define WAIT_UNLISTED_MS 2000

bool
ss_settling_is_over (const SsSettlingView *view)
{
  if (!view->others)
    return view->uptime_ms >= WAIT_UNLISTED_MS;
  return (view->listed && view->others < FEW_VMS)
         || view->others_live * 2 >= view->others || view->known_ms >= WAIT_MS;
}
