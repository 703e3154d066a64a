#include "core/rate_share.h"

/* Time in which callers that have waited for a coordinator have come back and
 * got tokens, if they are within their limit.  Those of an organisation beyond
 * its limit wait in vain meanwhile.
 */
#define CATCH_UP_MS 4000

void
ss_rate_share_count_vms (SsRateVmCount *c, uint32_t count, int64_t now_ms)
{
  if (now_ms - c->since_ms >= SS_RATE_VMS_PERIOD_MS)
    {
      c->previous = c->current;
      c->current = 1;
      c->since_ms = now_ms;
    }
  c->current = MAX (c->current, count);
}

uint32_t
ss_rate_share_highest (const SsRateVmCount *c)
{
  return MAX (c->current, c->previous);
}

bool
ss_rate_share_has_restarted (const SsRateLimiter *l, int64_t now_ms)
{
  return now_ms - l->started_ms < SS_RATE_HOLD_MS;
}

bool
ss_rate_limiter_uses_own_share (const SsRateLimiter *l, uint32_t slot,
                                int64_t now_ms)
{
  return l->active && now_ms - l->started_ms >= SS_RATE_HOLD_MS
         && now_ms >= l->slots[slot].delegated_until_ms;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const SsRateDelegation *d = value;
  int64_t now_ms = *(int64_t *) data;

  (void) key;
  return now_ms >= d->until_ms && now_ms >= d->floor_ms + SS_RATE_DELEGATION_MS;
}

/* Counts the valid delegations again, and when the next of them may end. */
static void
count_delegations (SsRateSlot *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  s->valid = 0;
  s->check_ms = INT64_MAX;
  g_hash_table_foreach_remove (s->delegations, is_forgotten, &now_ms);
  g_hash_table_iter_init (&iter, s->delegations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsRateDelegation *d = value;

      if (now_ms >= d->until_ms)
        continue;
      s->valid++;
      s->check_ms = MIN (s->check_ms, d->until_ms);
    }
}

void
ss_rate_share_update (SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[index];
  uint32_t vms = MAX (ss_rate_share_highest (&l->known),
                      ss_rate_share_highest (&l->reported));
  uint32_t shares;
  double share;

  if (now_ms >= s->check_ms)
    count_delegations (s, now_ms);
  shares = s->valid;
  if (ss_rate_limiter_uses_own_share (l, index, now_ms))
    shares++;
  share = shares >= vms ? 1 : (double) shares / vms;
  if (share == s->share)
    return;
  if (s->share == 0)
    s->share_since_ms = now_ms;
  s->share = share;
  for (guint i = 0; i < s->organisations->len; i++)
    {
      SsRateOrganisation *o = g_ptr_array_index (s->organisations, i);

      ss_rate_bucket_set_share (&o->bucket, share, now_ms);
    }
}

bool
ss_rate_share_is_starting (const SsRateLimiter *l, SsRateOrganisation *o,
                           int64_t now_ms)
{
  const SsRateSlot *s = &l->slots[o->slot];
  int64_t since_ms = now_ms - s->share_since_ms;

  if (s->share == 0 || since_ms < SS_RATE_DELEGATION_MS)
    return true;
  return since_ms < CATCH_UP_MS && ss_rate_bucket_was_low (&o->bucket, now_ms);
}
