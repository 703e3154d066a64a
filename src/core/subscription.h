/* subscription: which VM sends this VM the state of each target that it uses,
 * and what the reports tell.
 *
 * Load pattern: hundreds of VMs use every database, so reports from each owner
 * to each VM would grow with VMs times targets, and most would leave the
 * owner's failure domain.  One VM of each other failure domain, chosen by rank
 * for each target, subscribes at the owner (fanout.h); the rest subscribe at
 * that VM.  The VMs that a promotion depends on, and those of the owner's
 * failure domain, subscribe at the owner.
 */
#ifndef SS_SUBSCRIPTION_H
#define SS_SUBSCRIPTION_H

#include "core/message.h"

void ss_subscription_init (SsNode *node);
void ss_subscription_finish (SsNode *node);
/* ss_subscription_tick: sends the subscriptions that are due. */
void ss_subscription_tick (SsNode *node);
/* ss_subscription_changed: the groups that this VM needs reports of have
 * changed: new subscriptions are sent with the next tick.
 */
void ss_subscription_changed (SsNode *node);
/* ss_subscription_handle: handles a subscription of VM FROM, to targets that
 * this VM owns or whose reports it passes on.
 */
void ss_subscription_handle (SsNode *node, const char *from,
                             const Ss__Peer__Subscribe *subscribe);
void ss_subscription_handle_report (SsNode *node,
                                    const Ss__Peer__StatusReport *report);

#endif
