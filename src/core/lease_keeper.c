#include "core/lease_keeper.h"

/* Interval of renewals from the answer: VMs that were answered together ask
 * again together, so that few lists serve them.
 */
#define RENEW_MS 600
/* How long the first ask waits for others, and least interval of lists. */
#define BATCH_MS 40
#define LIST_INTERVAL_MS 300
/* The keeper answers within the two above, a round trip and a call.  A VM that
 * gets no answer then still has time to list before its lease ends.
 */
#define ANSWER_MS 450
/* Pauses between attempts without an answer of the platform. */
#define RETRY_MS 200
#define RETRY_MAX_MS 400

void
ss_lease_ask_free (SsLeaseAsk *ask)
{
  g_free (ask->vm);
  g_strfreev (ask->groups);
  g_free (ask);
}

static void
free_ask (gpointer ask)
{
  ss_lease_ask_free (ask);
}

void
ss_lease_keeper_init (SsLeaseKeeper *keeper)
{
  g_queue_init (&keeper->asks);
  keeper->listed_ms = 0;
}

void
ss_lease_keeper_finish (SsLeaseKeeper *keeper)
{
  g_queue_clear_full (&keeper->asks, free_ask);
}

void
ss_lease_keeper_add (SsLeaseKeeper *keeper, const char *vm, uint64_t nonce,
                     char **groups, size_t group_count, int64_t now_ms)
{
  SsLeaseAsk *ask = g_new0 (SsLeaseAsk, 1);

  ask->vm = g_strdup (vm);
  ask->nonce = nonce;
  ask->groups = g_new0 (char *, group_count + 1);
  for (size_t i = 0; i < group_count; i++)
    ask->groups[i] = g_strdup (groups[i]);
  ask->received_ms = now_ms;
  g_queue_push_tail (&keeper->asks, ask);
}

bool
ss_lease_keeper_is_due (const SsLeaseKeeper *keeper, int64_t now_ms)
{
  const SsLeaseAsk *oldest = keeper->asks.head ? keeper->asks.head->data : NULL;

  return oldest && now_ms - oldest->received_ms >= BATCH_MS
         && now_ms - keeper->listed_ms >= LIST_INTERVAL_MS;
}

SsLeaseAsk *
ss_lease_keeper_take (SsLeaseKeeper *keeper, int64_t listed_ms)
{
  const SsLeaseAsk *oldest = keeper->asks.head ? keeper->asks.head->data : NULL;

  if (!oldest || oldest->received_ms > listed_ms)
    return NULL;
  return g_queue_pop_head (&keeper->asks);
}

SsRenewalStep
ss_renewal_step (SsRenewal *renewal, bool has_keeper, bool holds_all,
                 int64_t now_ms)
{
  if (now_ms < renewal->due_ms)
    return SS_RENEWAL_WAIT;
  if (has_keeper && holds_all && !renewal->asked)
    {
      renewal->asked = true;
      renewal->due_ms = now_ms + ANSWER_MS;
      return SS_RENEWAL_ASK;
    }
  renewal->asked = false;
  renewal->due_ms = now_ms + RETRY_MS;
  return SS_RENEWAL_LIST;
}

void
ss_renewal_done (SsRenewal *renewal, int64_t now_ms)
{
  renewal->asked = false;
  renewal->due_ms = now_ms + RENEW_MS;
  ss_backoff_reset (&renewal->backoff);
}

void
ss_renewal_failed (SsRenewal *renewal, GRand *rand, int64_t now_ms)
{
  renewal->due_ms
      = now_ms
        + ss_backoff_next (&renewal->backoff, rand, RETRY_MS, RETRY_MAX_MS);
}
