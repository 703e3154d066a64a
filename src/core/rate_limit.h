/* rate_limit: rate limits in the node: which operations need a token, and the
 * messages between VMs (rate_limiter.h).
 *
 * A single statement outside of a transaction needs one token, and so does the
 * first statement of a transaction.  Nothing is done where no organisation has
 * a limit.
 */
#ifndef SS_RATE_LIMIT_H
#define SS_RATE_LIMIT_H

#include "core/requests.h"

void ss_rate_limit_init (SsNode *node);
void ss_rate_limit_finish (SsNode *node);
/* ss_rate_limit_admit: whether R, which is in no transaction at a target, may
 * be sent to one now.  If not, R waits for a token or has ended.
 */
bool ss_rate_limit_admit (SsNode *node, SsRequest *r);
/* ss_rate_limit_end_wait: R does not wait for a token any more. */
void ss_rate_limit_end_wait (SsNode *node, const SsRequest *r);
/* ss_rate_limit_refund: returns the token of R, which was not run with it. */
void ss_rate_limit_refund (SsNode *node, SsRequest *r);
/* ss_rate_limit_spend: an attempt of R may have run.  The next one needs
 * another token.
 */
void ss_rate_limit_spend (SsRequest *r);
void ss_rate_limit_handle_ask (SsNode *node, const char *from,
                               const Ss__Peer__RateAsk *ask);
void ss_rate_limit_handle_grant (SsNode *node, const char *from,
                                 const Ss__Peer__RateGrant *grant);
/* ss_rate_limit_stop: this VM begins its graceful shutdown. */
void ss_rate_limit_stop (SsNode *node);
void ss_rate_limit_tick (SsNode *node);

#endif
