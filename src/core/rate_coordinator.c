/* rate_coordinator: the part of rate_limiter that coordinates slots: it chooses
 * their coordinators, accepts delegations and grants tokens.
 */
#include "core/rank.h"
#include "core/rate_share.h"

/* --- ranks --- */

/* Whether the coordinator of a slot before SLOT is VM. */
static bool
has_slot (const char *const *out, uint32_t slot, const char *vm)
{
  for (uint32_t i = 0; i < slot; i++)
    if (out[i] == vm)
      return true;
  return false;
}

static const char *
find_first_ranked (const GPtrArray *vms, uint32_t slot, const char *const *out)
{
  static const char *const subjects[SS_RATE_SLOTS]
      = { "rate/0", "rate/1", "rate/2", "rate/3" };
  const char *best = NULL;
  uint64_t best_score = 0;

  for (guint i = 0; i < vms->len; i++)
    {
      const char *vm = g_ptr_array_index (vms, i);
      uint64_t score = ss_rank_score (vm, subjects[slot]);

      if ((best && score <= best_score)
          || (vms->len >= SS_RATE_SLOTS && has_slot (out, slot, vm)))
        continue;
      best = vm;
      best_score = score;
    }
  return best;
}

void
ss_rate_limiter_rank (const GPtrArray *vms, const char *out[SS_RATE_SLOTS])
{
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    out[i] = find_first_ranked (vms, i, out);
}

/* --- delegations and tokens --- */

static SsRateDelegation *
find_delegation (SsRateSlot *s, const char *vm)
{
  SsRateDelegation *d = g_hash_table_lookup (s->delegations, vm);

  if (d)
    return d;
  d = g_new0 (SsRateDelegation, 1);
  g_hash_table_insert (s->delegations, g_strdup (vm), d);
  return d;
}

static gboolean
is_outdated (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  return *(int64_t *) data - *(int64_t *) value >= SS_RATE_HOLD_MS;
}

/* Whether all VMs have restarted, so that no earlier delegation is left. */
static bool
have_all_restarted (const SsRateLimiter *l, SsRateSlot *s, int64_t now_ms)
{
  uint32_t vms = MAX (ss_rate_share_highest (&l->known),
                      ss_rate_share_highest (&l->reported));

  if (!ss_rate_share_has_restarted (l, now_ms))
    return false;
  g_hash_table_foreach_remove (s->restarted, is_outdated, &now_ms);
  return g_hash_table_size (s->restarted) + 1 >= vms;
}

/* Whether the share of FROM, which has restarted, is not delegated elsewhere.
 */
static bool
has_share_back (const SsRateLimiter *l, SsRateSlot *s, const char *from,
                int64_t now_ms)
{
  const SsRateDelegation *d = g_hash_table_lookup (s->delegations, from);
  int64_t *asked_ms = g_new (int64_t, 1);

  *asked_ms = now_ms;
  g_hash_table_replace (s->restarted, g_strdup (from), asked_ms);
  return (d && now_ms < d->until_ms) || have_all_restarted (l, s, now_ms);
}

/* Counts the delegation of FROM, if its echo is valid.  Readings of an earlier
 * incarnation of this VM, or from before a release, are not.
 */
static void
accept_echo (SsRateLimiter *l, const char *from, const SsRateAsk *ask,
             int64_t now_ms)
{
  SsRateSlot *s = &l->slots[ask->slot];
  SsRateDelegation *d;
  int64_t until_ms;

  if (ask->echo_ms > now_ms || ask->echo_ms <= l->started_ms
      || ask->echo_ms <= s->floor_ms
      || (ask->restarted && !has_share_back (l, s, from, now_ms)))
    return;
  until_ms = ask->echo_ms + SS_RATE_DELEGATION_MS;
  if (until_ms <= now_ms)
    return;
  /* The buckets are filled up to now for the shares of before. */
  ss_rate_share_update (l, ask->slot, now_ms);
  d = find_delegation (s, from);
  if (ask->echo_ms <= d->floor_ms || until_ms <= d->until_ms)
    return;
  if (d->until_ms <= now_ms)
    s->valid++;
  d->until_ms = until_ms;
  s->check_ms = MIN (s->check_ms, until_ms);
}

static void
release_delegation (SsRateSlot *s, const char *vm, int64_t now_ms)
{
  SsRateDelegation *d = find_delegation (s, vm);

  d->until_ms = now_ms;
  d->floor_ms = now_ms;
  s->check_ms = now_ms;
}

/* Grants tokens for WANT, or all of them if the configuration in force here has
 * no limit for that organisation.
 */
static void
grant (SsRateLimiter *l, const SsRateWant *want, SsRateReply *reply,
       int64_t now_ms)
{
  SsRateOrganisation *o
      = g_hash_table_lookup (l->organisations, want->organisation);
  SsRateTokens *out = &reply->tokens[reply->token_count++];
  uint32_t needed = MIN (want->needed, SS_RATE_TOKENS_MAX);
  uint32_t ahead = MIN (want->ahead, SS_RATE_TOKENS_MAX);

  out->organisation = want->organisation;
  out->tokens = needed + ahead;
  out->next_ms = 0;
  if (!o)
    return;
  out->tokens = ss_rate_bucket_take (&o->bucket, needed, ahead, now_ms);
  if (out->tokens < needed && !ss_rate_share_is_starting (l, o, now_ms))
    out->next_ms = (uint32_t) ss_rate_bucket_wait_ms (&o->bucket, now_ms);
}

uint32_t
ss_rate_limiter_handle_ask (SsRateLimiter *l, const char *from,
                            const SsRateAsk *ask, bool is_member,
                            int64_t now_ms)
{
  SsRateReply reply = { .slot = ask->slot };
  uint32_t granted = 0;

  if (ask->slot >= SS_RATE_SLOTS)
    return 0;
  reply.sent_ms = ask->sent_ms;
  reply.clock_ms = now_ms;
  reply.released = ask->release || !l->active || l->stopping;
  ss_rate_share_count_vms (&l->reported, ask->vms, now_ms);
  if (ask->release)
    release_delegation (&l->slots[ask->slot], from, now_ms);
  else if (!reply.released && is_member)
    accept_echo (l, from, ask, now_ms);
  ss_rate_share_update (l, ask->slot, now_ms);
  for (uint32_t i = 0; i < ask->want_count && !reply.released; i++)
    {
      grant (l, &ask->wants[i], &reply, now_ms);
      granted += reply.tokens[i].tokens;
    }
  l->output.reply (l->output.data, from, &reply);
  return granted;
}

/* Releases all delegations of slot INDEX and tells their VMs. */
static void
release_all (SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[index];
  SsRateReply reply = { .slot = index, .clock_ms = now_ms, .released = true };
  GHashTableIter iter;
  gpointer vm;
  gpointer value;

  s->floor_ms = now_ms;
  g_hash_table_iter_init (&iter, s->delegations);
  while (g_hash_table_iter_next (&iter, &vm, &value))
    {
      SsRateDelegation *d = value;

      if (now_ms >= d->until_ms)
        continue;
      d->until_ms = now_ms;
      l->output.reply (l->output.data, vm, &reply);
    }
  s->check_ms = now_ms;
  ss_rate_share_update (l, index, now_ms);
}

void
ss_rate_limiter_stop (SsRateLimiter *l, int64_t now_ms)
{
  l->stopping = true;
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    release_all (l, i, now_ms);
}
