#include "core/rate_limiter.h"

#include <string.h>

#include "core/rank.h"
#include "core/rate_share.h"

/* Highest drift of a clock that the bound covers. */
#define DRIFT 0.01
/* Limits of the time that a token is valid: a round trip takes 20 ms, and
 * tokens that are valid for long delay the effect of a lower limit.
 */
#define VALIDITY_MIN_MS 50
#define VALIDITY_MAX_MS 1000
/* Part of the slack that the buckets may hold above a burst.  The rest covers
 * the first tokens of coordinators, and VMs that join.
 */
#define BUCKET_SLACK 0.4
/* A VM asks its coordinator at this interval to keep its delegation.  One ask
 * may be lost.
 */
#define RENEW_MS 400
/* The same until its share is certainly its own again after a restart. */
#define RENEW_RESTARTED_MS 100
/* An ask without a reply is repeated after this; a reply takes 16 ms. */
#define RETRY_MS 150
/* Silence after which a coordinator is replaced by the one that ranks first. */
#define SILENT_MS 400
/* A VM that ranks first is asked at this interval whether it coordinates. */
#define PROBE_MS 250
/* A VM asks ahead of need for organisations with at least so many operations
 * expected while a token is valid.
 */
#define AHEAD_MIN 0.8
/* Tokens that expire within this time are replaced. */
#define AHEAD_REFRESH_MS 100
/* After a refusal of tokens ahead of need. */
#define AHEAD_PAUSE_MS 300

static void
free_organisation (gpointer data)
{
  SsRateOrganisation *o = data;

  g_free (o->name);
  g_free (o);
}

/* Returns how long a token is valid.  A window sees the tokens of its own time
 * and of this time before it, by clocks that drift: (1 + DRIFT) (W + V (1 +
 * DRIFT)) = W (1 + overage).
 */
static int64_t
find_validity_ms (int64_t window_ms, double overage)
{
  double window = (double) window_ms;
  double validity
      = (window * (1 + overage) / (1 + DRIFT) - window) / (1 + DRIFT);

  return (int64_t) CLAMP (validity, VALIDITY_MIN_MS, VALIDITY_MAX_MS);
}

void
ss_rate_limiter_init (SsRateLimiter *l, const char *vm,
                      const SsRateOutput *output, int64_t window_ms,
                      double overage, uint32_t slack, int64_t now_ms)
{
  memset (l, 0, sizeof *l);
  l->self = g_strdup (vm);
  l->output = *output;
  l->started_ms = now_ms;
  l->validity_ms = find_validity_ms (window_ms, overage);
  l->slack = slack * BUCKET_SLACK;
  l->organisations = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            free_organisation);
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    {
      l->slots[i].organisations = g_ptr_array_new ();
      l->slots[i].delegations
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      l->slots[i].restarted
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  l->known = (SsRateVmCount){ 1, 1, now_ms };
  l->reported = (SsRateVmCount){ 1, 1, now_ms };
}

void
ss_rate_limiter_finish (SsRateLimiter *l)
{
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    {
      g_ptr_array_free (l->slots[i].organisations, TRUE);
      g_hash_table_destroy (l->slots[i].delegations);
      g_hash_table_destroy (l->slots[i].restarted);
      g_free (l->slots[i].ranked);
      g_free (l->slots[i].vm);
      g_free (l->slots[i].delegate);
    }
  g_hash_table_destroy (l->organisations);
  g_free (l->self);
}

static bool
is_self (const SsRateLimiter *l, const char *vm)
{
  return vm && strcmp (vm, l->self) == 0;
}

/* --- limits --- */

static void
mark (gpointer key, gpointer value, gpointer data)
{
  SsRateOrganisation *o = value;

  (void) key;
  (void) data;
  o->is_current = false;
}

void
ss_rate_limiter_begin_limits (SsRateLimiter *l)
{
  g_hash_table_foreach (l->organisations, mark, NULL);
}

static SsRateOrganisation *
add_organisation (SsRateLimiter *l, const char *name, int64_t now_ms)
{
  SsRateOrganisation *o = g_new0 (SsRateOrganisation, 1);

  o->name = g_strdup (name);
  o->slot = (uint32_t) (ss_rank_score (name, "rate_limit") % SS_RATE_SLOTS);
  ss_rate_bucket_init (&o->bucket, l->slack, now_ms);
  g_hash_table_insert (l->organisations, o->name, o);
  g_ptr_array_add (l->slots[o->slot].organisations, o);
  return o;
}

void
ss_rate_limiter_set_limit (SsRateLimiter *l, const char *name,
                           uint32_t rate_per_s, uint32_t burst, int64_t now_ms)
{
  SsRateOrganisation *o = g_hash_table_lookup (l->organisations, name);
  bool is_new = !o;

  if (is_new)
    o = add_organisation (l, name, now_ms);
  o->is_current = true;
  if (!is_new && o->rate_per_s == rate_per_s && o->burst == burst)
    return;
  o->rate_per_s = rate_per_s;
  o->burst = burst;
  o->account.refused_until_ms = 0;
  ss_rate_bucket_set_limit (&o->bucket, rate_per_s, burst, now_ms);
  if (is_new)
    ss_rate_bucket_set_share (&o->bucket, l->slots[o->slot].share, now_ms);
}

static gboolean
remove_unmarked (gpointer key, gpointer value, gpointer data)
{
  SsRateOrganisation *o = value;
  SsRateLimiter *l = data;

  (void) key;
  if (o->is_current)
    return FALSE;
  g_ptr_array_remove (l->slots[o->slot].organisations, o);
  return TRUE;
}

void
ss_rate_limiter_end_limits (SsRateLimiter *l)
{
  g_hash_table_foreach_remove (l->organisations, remove_unmarked, l);
}

bool
ss_rate_limiter_is_on (const SsRateLimiter *l)
{
  return g_hash_table_size (l->organisations) != 0;
}

/* --- asks --- */

static uint32_t
tokens_ahead (const SsRateLimiter *l, const SsRateAccount *a, int64_t now_ms)
{
  double expected = ss_rate_account_expected (a, l->validity_ms, now_ms);
  uint32_t held = ss_rate_account_held (a, now_ms + AHEAD_REFRESH_MS);
  uint32_t wanted
      = MAX (1, (uint32_t) (MIN (expected, SS_RATE_TOKENS_MAX) + 0.5));

  if (expected < AHEAD_MIN || now_ms < a->ahead_due_ms || held * 2 > wanted)
    return 0;
  return wanted - MIN (held, wanted);
}

/* Adds what is wanted of O to ASK. */
static void
add_want (const SsRateLimiter *l, SsRateAsk *ask, SsRateOrganisation *o,
          int64_t now_ms)
{
  SsRateAccount *a = &o->account;
  SsRateWant want = { .organisation = o->name, .needed = a->waiting };

  if (ask->want_count == SS_RATE_WANTS_MAX || now_ms < a->refused_until_ms
      || (a->asked_ms && now_ms - a->asked_ms < RETRY_MS))
    return;
  want.ahead = tokens_ahead (l, a, now_ms);
  if (!want.needed && !want.ahead)
    return;
  a->asked_ms = now_ms;
  ask->wants[ask->want_count++] = want;
}

/* Whether this VM's share of slot INDEX may go to the coordinator in use. While
 * an earlier incarnation of this VM may have delegated it, the coordinator
 * decides.
 */
static bool
may_delegate (const SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  const SsRateSlot *s = &l->slots[index];

  if (!s->reading_ms || now_ms - s->read_ms >= SS_RATE_DELEGATION_MS)
    return false;
  return g_strcmp0 (s->delegate, s->vm) == 0
         || ss_rate_limiter_uses_own_share (l, index, now_ms)
         || (!s->delegate && ss_rate_share_has_restarted (l, now_ms));
}

static bool
is_renewal_due (const SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  const SsRateSlot *s = &l->slots[index];
  int64_t since_ms = now_ms - s->asked_ms;

  if (!s->asked_ms || since_ms >= RENEW_MS
      || (ss_rate_share_has_restarted (l, now_ms)
          && since_ms >= RENEW_RESTARTED_MS))
    return true;
  if (s->silent_since_ms)
    return since_ms >= RETRY_MS;
  return g_strcmp0 (s->delegate, s->vm) != 0 && may_delegate (l, index, now_ms);
}

/* Delegates this VM's share of the slot of ASK to the coordinator in use. */
static void
add_echo (SsRateLimiter *l, SsRateAsk *ask, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[ask->slot];

  if (!may_delegate (l, ask->slot, now_ms))
    return;
  if (g_strcmp0 (s->delegate, s->vm) != 0)
    {
      g_free (s->delegate);
      s->delegate = g_strdup (s->vm);
    }
  ask->echo_ms = s->reading_ms;
  s->echoed_ms = s->reading_ms;
  /* The reading was taken before it arrived. */
  s->delegated_until_ms = s->read_ms + SS_RATE_HOLD_MS;
  ss_rate_share_update (l, ask->slot, now_ms);
}

static void
init_ask (const SsRateLimiter *l, SsRateAsk *ask, uint32_t slot, int64_t now_ms)
{
  memset (ask, 0, sizeof *ask);
  ask->slot = slot;
  ask->sent_ms = now_ms;
  ask->vms = ss_rate_share_highest (&l->known);
  ask->restarted = ss_rate_share_has_restarted (l, now_ms);
}

/* Asks the coordinator of slot INDEX, if anything is due. */
static void
ask_coordinator (SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[index];
  SsRateAsk ask;

  if (!s->vm || is_self (l, s->vm))
    return;
  init_ask (l, &ask, index, now_ms);
  for (guint i = 0; i < s->organisations->len; i++)
    add_want (l, &ask, g_ptr_array_index (s->organisations, i), now_ms);
  if (!ask.want_count && !is_renewal_due (l, index, now_ms))
    return;
  add_echo (l, &ask, now_ms);
  s->asked_ms = now_ms;
  if (!s->silent_since_ms)
    s->silent_since_ms = now_ms;
  l->output.ask (l->output.data, s->vm, &ask);
}

static void
ask_release (SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  SsRateAsk ask;

  init_ask (l, &ask, index, now_ms);
  ask.release = true;
  l->output.ask (l->output.data, l->slots[index].delegate, &ask);
}

static void
clear_asked (SsRateSlot *s)
{
  for (guint i = 0; i < s->organisations->len; i++)
    {
      SsRateOrganisation *o = g_ptr_array_index (s->organisations, i);

      o->account.asked_ms = 0;
      o->account.refused_until_ms = 0;
    }
}

/* Uses VM as the coordinator of slot INDEX.  VM may be s->ranked. */
static void
use_coordinator (SsRateLimiter *l, uint32_t index, const char *vm,
                 int64_t now_ms)
{
  SsRateSlot *s = &l->slots[index];

  g_free (s->vm);
  s->vm = g_strdup (vm);
  s->reading_ms = 0;
  s->asked_ms = 0;
  s->silent_since_ms = 0;
  clear_asked (s);
  if (s->delegate && strcmp (s->delegate, vm) != 0
      && now_ms < s->delegated_until_ms)
    ask_release (l, index, now_ms);
  l->output.changed (l->output.data, index, vm);
}

/* Replaces the coordinator in use by the one that ranks first, once that has
 * answered or the one in use is silent.
 */
static void
choose_coordinator (SsRateLimiter *l, uint32_t index, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[index];
  bool is_silent
      = s->silent_since_ms && now_ms - s->silent_since_ms >= SILENT_MS;
  SsRateAsk ask;

  if (!s->ranked || g_strcmp0 (s->ranked, s->vm) == 0)
    return;
  if (!s->vm || is_silent || (is_self (l, s->ranked) && l->active))
    {
      use_coordinator (l, index, s->ranked, now_ms);
      return;
    }
  if (now_ms - s->probed_ms < PROBE_MS)
    return;
  s->probed_ms = now_ms;
  init_ask (l, &ask, index, now_ms);
  l->output.ask (l->output.data, s->ranked, &ask);
}

void
ss_rate_limiter_tick (SsRateLimiter *l, int64_t now_ms)
{
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    {
      if (!l->slots[i].organisations->len)
        continue;
      ss_rate_share_update (l, i, now_ms);
      choose_coordinator (l, i, now_ms);
      ask_coordinator (l, i, now_ms);
    }
}

void
ss_rate_limiter_set_vms (SsRateLimiter *l, uint32_t count, int64_t now_ms)
{
  ss_rate_share_count_vms (&l->known, count, now_ms);
  ss_rate_share_count_vms (&l->reported, 1, now_ms);
}

void
ss_rate_limiter_set_ranked (SsRateLimiter *l, uint32_t slot, const char *vm)
{
  SsRateSlot *s = &l->slots[slot];

  if (g_strcmp0 (s->ranked, vm) == 0)
    return;
  g_free (s->ranked);
  s->ranked = g_strdup (vm);
  s->probed_ms = 0;
}

void
ss_rate_limiter_set_active (SsRateLimiter *l, bool active)
{
  l->active = active;
}

/* --- replies --- */

/* FROM does not coordinate, and has ended the delegations with readings up to
 * that of REPLY.
 */
static void
handle_release (SsRateLimiter *l, const char *from, const SsRateReply *reply,
                int64_t now_ms)
{
  SsRateSlot *s = &l->slots[reply->slot];

  if (g_strcmp0 (s->delegate, from) == 0 && s->echoed_ms <= reply->clock_ms)
    {
      g_clear_pointer (&s->delegate, g_free);
      s->delegated_until_ms = MIN (s->delegated_until_ms, now_ms);
      ss_rate_share_update (l, reply->slot, now_ms);
    }
  if (g_strcmp0 (s->vm, from) != 0)
    return;
  s->reading_ms = 0;
  s->silent_since_ms = now_ms - SILENT_MS;
  clear_asked (s);
}

static void
handle_tokens (SsRateLimiter *l, const SsRateTokens *t, int64_t sent_ms,
               int64_t now_ms)
{
  SsRateOrganisation *o
      = g_hash_table_lookup (l->organisations, t->organisation);
  SsRateAccount *a;

  if (!o)
    return;
  a = &o->account;
  ss_rate_account_add (a, MIN (t->tokens, 2 * SS_RATE_TOKENS_MAX),
                       sent_ms + l->validity_ms, now_ms);
  if (t->next_ms)
    a->refused_until_ms = now_ms + t->next_ms;
  if (!t->tokens)
    a->ahead_due_ms = now_ms + AHEAD_PAUSE_MS;
  /* A coordinator without an answer yet is asked again after RETRY_MS. */
  if (t->tokens || t->next_ms || !a->waiting)
    a->asked_ms = 0;
}

static void
note_reading (SsRateSlot *s, int64_t reading_ms, int64_t now_ms)
{
  if (reading_ms <= s->reading_ms)
    return;
  s->reading_ms = reading_ms;
  s->read_ms = now_ms;
}

void
ss_rate_limiter_handle_reply (SsRateLimiter *l, const char *from,
                              const SsRateReply *reply, int64_t now_ms)
{
  SsRateSlot *s;

  if (reply->slot >= SS_RATE_SLOTS || reply->sent_ms > now_ms)
    return;
  s = &l->slots[reply->slot];
  if (reply->released)
    {
      handle_release (l, from, reply, now_ms);
      return;
    }
  if (g_strcmp0 (s->ranked, from) == 0 && g_strcmp0 (s->vm, from) != 0)
    use_coordinator (l, reply->slot, from, now_ms);
  if (g_strcmp0 (s->vm, from) == 0)
    {
      s->silent_since_ms = 0;
      note_reading (s, reply->clock_ms, now_ms);
    }
  for (uint32_t i = 0; i < reply->token_count; i++)
    handle_tokens (l, &reply->tokens[i], reply->sent_ms, now_ms);
}

/* --- operations --- */

static SsRateResult
taken (int64_t expires_ms)
{
  return (SsRateResult){ .outcome = SS_RATE_TAKEN, .expires_ms = expires_ms };
}

static SsRateResult
refused (int64_t retry_ms)
{
  return (SsRateResult){ .outcome = SS_RATE_REFUSED, .retry_ms = retry_ms };
}

static SsRateResult
begin_wait (SsRateLimiter *l, SsRateOrganisation *o, int64_t now_ms)
{
  o->account.waiting++;
  ask_coordinator (l, o->slot, now_ms);
  return (SsRateResult){ .outcome = SS_RATE_WAIT };
}

/* Takes from the bucket of O here, if this VM fills it.  The VM that
 * coordinates refuses as it refuses others.
 */
static bool
take_here (SsRateLimiter *l, SsRateOrganisation *o, int64_t now_ms)
{
  SsRateSlot *s = &l->slots[o->slot];

  ss_rate_share_update (l, o->slot, now_ms);
  if (now_ms < o->account.refused_until_ms)
    return false;
  if (ss_rate_bucket_take (&o->bucket, 1, 0, now_ms))
    return true;
  if (is_self (l, s->vm) && !ss_rate_share_is_starting (l, o, now_ms))
    o->account.refused_until_ms
        = now_ms + ss_rate_bucket_wait_ms (&o->bucket, now_ms);
  return false;
}

SsRateResult
ss_rate_limiter_take (SsRateLimiter *l, const char *organisation, bool again,
                      int64_t now_ms)
{
  SsRateOrganisation *o = g_hash_table_lookup (l->organisations, organisation);
  int64_t expires_ms;

  if (!o)
    return (SsRateResult){ .outcome = SS_RATE_UNLIMITED };
  if (!o->rate_per_s)
    return refused (0);
  if (!again)
    ss_rate_account_note (&o->account, now_ms);
  if (ss_rate_account_take (&o->account, &expires_ms, now_ms))
    return taken (expires_ms);
  if (take_here (l, o, now_ms))
    return taken (now_ms + l->validity_ms);
  if (now_ms < o->account.refused_until_ms)
    return refused (o->account.refused_until_ms - now_ms);
  return begin_wait (l, o, now_ms);
}

void
ss_rate_limiter_end_wait (SsRateLimiter *l, const char *organisation)
{
  SsRateOrganisation *o = g_hash_table_lookup (l->organisations, organisation);

  if (o && o->account.waiting)
    o->account.waiting--;
}

bool
ss_rate_limiter_refund (SsRateLimiter *l, const char *organisation,
                        int64_t expires_ms, int64_t now_ms)
{
  SsRateOrganisation *o = g_hash_table_lookup (l->organisations, organisation);

  if (!o || now_ms >= expires_ms)
    return false;
  ss_rate_account_add (&o->account, 1, expires_ms, now_ms);
  return true;
}
