/* subscribers: the VMs that get state reports of a target, and their clocks.
 *
 * A subscription tells when it was sent, by the subscriber's clock.  A time of
 * this VM's clock less the time since the subscription arrived here is then, by
 * the subscriber's clock, at or before the true one: the message was under way
 * for a while.  So what a report says of the past never looks younger than it
 * is, however long the report itself is delayed.
 */
#ifndef SS_SUBSCRIBERS_H
#define SS_SUBSCRIBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A subscription expires after this unless it is renewed, in milliseconds. */
#define SS_SUBSCRIPTION_MS 3500

typedef struct
{
  int64_t expires_ms;
  int64_t sent_ms;     /* by the subscriber's clock; 0: unknown */
  int64_t received_ms; /* by this VM's clock */
} SsSubscriber;

/* ss_subscribers_new: returns an empty table of VM -> SsSubscriber. */
GHashTable *ss_subscribers_new (void);
/* ss_subscribers_renew: adds VM or renews its subscription, which it sent at
 * SENT_MS by its own clock.  Returns whether VM is new.
 */
bool ss_subscribers_renew (GHashTable *subscribers, const char *vm,
                           int64_t sent_ms, int64_t now_ms);
/* ss_subscribers_expire: removes the subscriptions that were not renewed. */
void ss_subscribers_expire (GHashTable *subscribers, int64_t now_ms);
/* ss_subscriber_time_ms: returns AT_MS, a time of this VM's clock, by the
 * subscriber's clock, or an earlier time; 0: unknown.
 */
int64_t ss_subscriber_time_ms (const SsSubscriber *subscriber, int64_t at_ms);

#endif
