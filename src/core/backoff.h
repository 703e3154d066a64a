/* backoff: pauses between attempts that keep failing, which grow up to a limit.
 * Half of each pause is random, so that many VMs do not try at the same time.
 */
#ifndef SS_BACKOFF_H
#define SS_BACKOFF_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  int64_t pause_ms; /* the next one before it is spread; 0: the shortest */
} SsBackoff;

/* ss_backoff_next: returns the pause before the next attempt, between half of
 * SHORTEST_MS and LONGEST_MS, and doubles the one after it.
 */
int64_t ss_backoff_next (SsBackoff *backoff, GRand *rand, int64_t shortest_ms,
                         int64_t longest_ms);
/* ss_backoff_reset: an attempt has succeeded. */
void ss_backoff_reset (SsBackoff *backoff);

#endif
