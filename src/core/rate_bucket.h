/* rate_bucket: a token bucket that is filled for a share of a rate limit.
 *
 * One VM holds one bucket for each limited organisation.  It is filled for the
 * shares of the limit that the VM holds: its own and those delegated to it
 * (rate_limiter.h).  Times are milliseconds of the VM's clock.
 */
#ifndef SS_RATE_BUCKET_H
#define SS_RATE_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t rate_per_s;
  uint32_t burst;
  double share; /* of the limit that it is filled for, 0 to 1 */
  double slack; /* tokens that all buckets together may hold above burst */
  double tokens;
  int64_t filled_ms;
  bool started; /* it got its first tokens since its share was last 0 */
  bool was_low; /* since then it has never had half of its capacity */
} SsRateBucket;

/* ss_rate_bucket_init: SLACK is the number of tokens by which all buckets of
 * the organisation together may exceed its burst, so that small shares of a
 * burst still make a whole token.
 */
void ss_rate_bucket_init (SsRateBucket *bucket, double slack, int64_t now_ms);
void ss_rate_bucket_set_limit (SsRateBucket *bucket, uint32_t rate_per_s,
                               uint32_t burst, int64_t now_ms);
/* ss_rate_bucket_set_share: sets the share.  The tokens above the capacity of
 * a smaller share are lost.
 */
void ss_rate_bucket_set_share (SsRateBucket *bucket, double share,
                               int64_t now_ms);
/* ss_rate_bucket_take: takes up to NEEDED tokens, and up to AHEAD more if
 * enough are left for others.  Returns how many.
 */
uint32_t ss_rate_bucket_take (SsRateBucket *bucket, uint32_t needed,
                              uint32_t ahead, int64_t now_ms);
/* ss_rate_bucket_was_low: whether the bucket has not had half of its capacity
 * since it started almost empty: a lack of tokens does not show yet that
 * callers are beyond the limit.
 */
bool ss_rate_bucket_was_low (SsRateBucket *bucket, int64_t now_ms);
/* ss_rate_bucket_wait_ms: returns the time until it is worth asking again, at
 * least 1 ms.
 */
int64_t ss_rate_bucket_wait_ms (SsRateBucket *bucket, int64_t now_ms);

#endif
