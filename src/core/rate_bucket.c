#include "core/rate_bucket.h"

#include <glib.h>

/* Tokens that a bucket starts with: a VM that takes over the shares of most VMs
 * serves the first operations at once.
 */
#define START_TOKENS 2.0
/* Tokens ahead of need are granted above this part of the capacity only: the
 * rest is kept for operations that wait.
 */
#define RESERVE 0.75
/* A VM with operations that wait gets at most one in so many of the tokens that
 * are left, for those that follow.
 */
#define AHEAD_PART 8.0
/* While an organisation is beyond its limit, a VM asks for it no more often
 * than this.  The bucket collects tokens meanwhile.
 */
#define DENIAL_MS 200.0
/* If the bucket is not filled at all. */
#define DENIAL_MAX_MS 1000.0

void
ss_rate_bucket_init (SsRateBucket *b, double slack, int64_t now_ms)
{
  *b = (SsRateBucket){ .slack = slack, .filled_ms = now_ms };
}

/* A share of a burst that is less than a token is raised by the same share of
 * the slack.  So the capacities of all buckets together exceed the burst by the
 * slack at most.
 */
static double
capacity (const SsRateBucket *b)
{
  double whole = b->burst * b->share;

  if (!b->rate_per_s)
    return 0;
  return whole >= 1 ? whole : MIN (1, whole + b->slack * b->share);
}

static double
tokens_per_ms (const SsRateBucket *b)
{
  return b->rate_per_s * b->share / 1000;
}

static void
fill (SsRateBucket *b, int64_t now_ms)
{
  int64_t elapsed_ms = MAX (now_ms - b->filled_ms, 0);

  b->tokens += (double) elapsed_ms * tokens_per_ms (b);
  b->tokens = MIN (b->tokens, capacity (b));
  b->filled_ms = now_ms;
  if (b->tokens * 2 >= capacity (b))
    b->was_low = false;
}

void
ss_rate_bucket_set_limit (SsRateBucket *b, uint32_t rate_per_s, uint32_t burst,
                          int64_t now_ms)
{
  if (b->rate_per_s == rate_per_s && b->burst == burst)
    return;
  fill (b, now_ms);
  b->rate_per_s = rate_per_s;
  b->burst = burst;
  b->tokens = MIN (b->tokens, capacity (b));
}

/* At most one bucket is filled for more than half of the limit, so the first
 * tokens exist once.
 */
static void
add_first_tokens (SsRateBucket *b)
{
  if (b->share == 0)
    b->started = false;
  if (b->started || b->share <= 0.5)
    return;
  b->started = true;
  b->was_low = true;
  b->tokens = MIN (b->tokens + START_TOKENS, capacity (b));
}

void
ss_rate_bucket_set_share (SsRateBucket *b, double share, int64_t now_ms)
{
  double before = b->share;

  if (share == before)
    return;
  /* A share that has ended may have done so at any time since the last fill. */
  b->share = MIN (share, before);
  fill (b, now_ms);
  b->share = share;
  b->tokens = MIN (b->tokens, capacity (b));
  add_first_tokens (b);
}

static uint32_t
take_up_to (SsRateBucket *b, uint32_t wanted, double available)
{
  uint32_t taken = available < 1 ? 0 : (uint32_t) MIN (available, wanted);

  b->tokens -= taken;
  return taken;
}

uint32_t
ss_rate_bucket_take (SsRateBucket *b, uint32_t needed, uint32_t ahead,
                     int64_t now_ms)
{
  uint32_t taken;
  double spare;

  fill (b, now_ms);
  taken = take_up_to (b, needed, b->tokens);
  spare = b->tokens - RESERVE * capacity (b);
  /* A VM that expects a single operation may not get it: it has to ask again
   * then.  One that expects several gets them.
   */
  if (taken && ahead >= 2)
    spare = MAX (spare, b->tokens / AHEAD_PART);
  return taken + take_up_to (b, ahead, spare);
}

bool
ss_rate_bucket_was_low (SsRateBucket *b, int64_t now_ms)
{
  fill (b, now_ms);
  return b->was_low;
}

int64_t
ss_rate_bucket_wait_ms (SsRateBucket *b, int64_t now_ms)
{
  double per_ms = tokens_per_ms (b);
  double next_ms;
  double half_ms;

  fill (b, now_ms);
  if (per_ms <= 0 || capacity (b) < 1)
    return (int64_t) DENIAL_MAX_MS;
  next_ms = b->tokens >= 1 ? 0 : (1 - b->tokens) / per_ms;
  half_ms = (capacity (b) / 2 - b->tokens) / per_ms;
  next_ms = MAX (next_ms, MIN (DENIAL_MS, half_ms));
  return (int64_t) CLAMP (next_ms + 1, 1, 60000);
}
