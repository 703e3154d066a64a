/* rate_share: the share of the limits that a VM fills its buckets for: its own,
 * unless it is delegated, and those that other VMs delegate to it.  A part of
 * rate_limiter.
 */
#ifndef SS_RATE_SHARE_H
#define SS_RATE_SHARE_H

#include "core/rate_limiter.h"

/* Bound on what one message may ask for. */
#define SS_RATE_TOKENS_MAX 10000U

/* ss_rate_share_count_vms: notes that there are COUNT VMs. */
void ss_rate_share_count_vms (SsRateVmCount *c, uint32_t count, int64_t now_ms);
/* ss_rate_share_highest: returns the highest number of VMs that counts. */
uint32_t ss_rate_share_highest (const SsRateVmCount *c);
/* ss_rate_share_has_restarted: whether an earlier incarnation of this VM may
 * have delegated its share.
 */
bool ss_rate_share_has_restarted (const SsRateLimiter *l, int64_t now_ms);
/* ss_rate_share_update: sets the share that the buckets of slot INDEX are
 * filled for.
 */
void ss_rate_share_update (SsRateLimiter *l, uint32_t index, int64_t now_ms);
/* ss_rate_share_is_starting: whether a lack of tokens for O may be due to the
 * start of its bucket, which begins almost empty: delegations are still to
 * come, and callers have waited while no VM coordinated.  Such callers are
 * within their limit and soon get tokens.
 */
bool ss_rate_share_is_starting (const SsRateLimiter *l, SsRateOrganisation *o,
                                int64_t now_ms);

#endif
