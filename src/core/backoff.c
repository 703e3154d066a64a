#include "core/backoff.h"

int64_t
ss_backoff_next (SsBackoff *backoff, GRand *rand, int64_t shortest_ms,
                 int64_t longest_ms)
{
  int64_t pause_ms = CLAMP (backoff->pause_ms, shortest_ms, longest_ms);

  backoff->pause_ms = MIN (pause_ms * 2, longest_ms);
  return pause_ms - g_rand_int_range (rand, 0, (gint32) (pause_ms / 2) + 1);
}

void
ss_backoff_reset (SsBackoff *backoff)
{
  backoff->pause_ms = 0;
}
