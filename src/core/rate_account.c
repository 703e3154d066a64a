#include "core/rate_account.h"

#include <glib.h>
#include <math.h>

/* Time constant of the average of the demand: long enough that one operation
 * does not look like steady demand, short against a burst of seconds.
 */
#define DEMAND_MS 2000.0

static double
decayed (const SsRateAccount *a, int64_t now_ms)
{
  double elapsed_ms = (double) MAX (now_ms - a->demand_ms, 0);

  return a->demand_per_s * exp (-elapsed_ms / DEMAND_MS);
}

void
ss_rate_account_note (SsRateAccount *a, int64_t now_ms)
{
  a->demand_per_s = decayed (a, now_ms) + 1000 / DEMAND_MS;
  a->demand_ms = now_ms;
}

double
ss_rate_account_expected (const SsRateAccount *a, int64_t horizon_ms,
                          int64_t now_ms)
{
  return decayed (a, now_ms) * (double) horizon_ms / 1000;
}

static void
remove_grant (SsRateAccount *a, uint32_t index)
{
  a->grants[index] = a->grants[--a->grant_count];
}

static void
remove_expired (SsRateAccount *a, int64_t now_ms)
{
  for (uint32_t i = a->grant_count; i-- > 0;)
    if (now_ms >= a->grants[i].expires_ms || !a->grants[i].tokens)
      remove_grant (a, i);
}

/* Returns the grant that expires first; there is one. */
static SsRateGrant *
find_first (SsRateAccount *a)
{
  SsRateGrant *first = &a->grants[0];

  for (uint32_t i = 1; i < a->grant_count; i++)
    if (a->grants[i].expires_ms < first->expires_ms)
      first = &a->grants[i];
  return first;
}

void
ss_rate_account_add (SsRateAccount *a, uint32_t tokens, int64_t expires_ms,
                     int64_t now_ms)
{
  remove_expired (a, now_ms);
  if (!tokens || now_ms >= expires_ms)
    return;
  /* Without room, tokens join the grant that expires first.  They expire with
   * the earlier of the two.
   */
  if (a->grant_count == SS_RATE_GRANTS_MAX)
    {
      SsRateGrant *first = find_first (a);

      first->tokens += tokens;
      first->expires_ms = MIN (first->expires_ms, expires_ms);
      return;
    }
  a->grants[a->grant_count++] = (SsRateGrant){ tokens, expires_ms };
}

bool
ss_rate_account_take (SsRateAccount *a, int64_t *expires_ms, int64_t now_ms)
{
  SsRateGrant *first;

  remove_expired (a, now_ms);
  if (!a->grant_count)
    return false;
  first = find_first (a);
  first->tokens--;
  *expires_ms = first->expires_ms;
  return true;
}

uint32_t
ss_rate_account_held (const SsRateAccount *a, int64_t at_ms)
{
  uint32_t held = 0;

  for (uint32_t i = 0; i < a->grant_count; i++)
    if (at_ms < a->grants[i].expires_ms)
      held += a->grants[i].tokens;
  return held;
}
