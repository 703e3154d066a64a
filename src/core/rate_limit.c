#include "core/rate_limit.h"

#include <string.h>

#include "core/entry.h"

#define WINDOW_MS 5000
#define OVERAGE 0.1
#define SLACK 20
/* An operation waits for a token for this part of its time at most, so that it
 * can still run: a coordinator that is lost is replaced within 2 s.
 */
#define WAIT_PERCENT 75
/* Told to callers of organisations with a limit of 0. */
#define RETRY_NEVER_MS 1000

/* --- messages --- */

static void
send_ask (void *data, const char *vm, const SsRateAsk *ask)
{
  SsNode *node = data;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RateAsk m = SS__PEER__RATE_ASK__INIT;
  Ss__Peer__RateWant wants[SS_RATE_WANTS_MAX];
  Ss__Peer__RateWant *list[SS_RATE_WANTS_MAX];

  for (uint32_t i = 0; i < ask->want_count; i++)
    {
      ss__peer__rate_want__init (&wants[i]);
      wants[i].organisation = (char *) ask->wants[i].organisation;
      wants[i].needed = ask->wants[i].needed;
      wants[i].ahead = ask->wants[i].ahead;
      list[i] = &wants[i];
    }
  m.slot = ask->slot;
  m.sent_ms = ask->sent_ms;
  m.echo_ms = ask->echo_ms;
  m.vms = ask->vms;
  m.release = ask->release;
  m.restarted = ask->restarted;
  m.wants = list;
  m.n_wants = ask->want_count;
  e.body_case = SS__PEER__ENVELOPE__BODY_RATE_ASK;
  e.rate_ask = &m;
  ss_node_count (node, SS_COUNTER_RATE_ASKS);
  ss_node_send (node, vm, &e);
}

static void
send_grant (void *data, const char *vm, const SsRateReply *reply)
{
  SsNode *node = data;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RateGrant m = SS__PEER__RATE_GRANT__INIT;
  Ss__Peer__RateTokens tokens[SS_RATE_WANTS_MAX];
  Ss__Peer__RateTokens *list[SS_RATE_WANTS_MAX];

  for (uint32_t i = 0; i < reply->token_count; i++)
    {
      ss__peer__rate_tokens__init (&tokens[i]);
      tokens[i].organisation = (char *) reply->tokens[i].organisation;
      tokens[i].tokens = reply->tokens[i].tokens;
      tokens[i].next_ms = reply->tokens[i].next_ms;
      list[i] = &tokens[i];
    }
  m.slot = reply->slot;
  m.sent_ms = reply->sent_ms;
  m.clock_ms = reply->clock_ms;
  m.released = reply->released;
  m.tokens = list;
  m.n_tokens = reply->token_count;
  e.body_case = SS__PEER__ENVELOPE__BODY_RATE_GRANT;
  e.rate_grant = &m;
  ss_node_send (node, vm, &e);
}

static void
log_coordinator (void *data, uint32_t slot, const char *vm)
{
  ss_node_log (data, SS_EVENT_LOG_RATE_COORDINATOR, vm, "slot=%u", slot);
}

void
ss_rate_limit_init (SsNode *node)
{
  const SsNodeParams *p = &node->params;
  SsRateOutput output = { send_ask, send_grant, log_coordinator, node };
  bool is_set = p->rate_window_ms != 0;

  ss_rate_limiter_init (&node->rate_limiter, p->vm, &output,
                        is_set ? p->rate_window_ms : WINDOW_MS,
                        is_set ? p->rate_overage : OVERAGE,
                        is_set ? p->rate_slack : SLACK, node->now_ms);
}

void
ss_rate_limit_finish (SsNode *node)
{
  ss_rate_limiter_finish (&node->rate_limiter);
}

/* --- what the limiter knows of the configuration and the VMs --- */

static gboolean
set_limit (gpointer key, gpointer value, gpointer data)
{
  const SsOrganisation *o = value;
  SsNode *node = data;

  if (o->is_limited)
    ss_rate_limiter_set_limit (&node->rate_limiter, key, o->rate_per_s,
                               o->burst, node->now_ms);
  return FALSE;
}

/* Takes the limits from the configuration in force. */
static void
update_limits (SsNode *node)
{
  if (node->rate_hash == node->config.hash)
    return;
  node->rate_hash = node->config.hash;
  ss_rate_limiter_begin_limits (&node->rate_limiter);
  if (node->config.organisations)
    g_tree_foreach (node->config.organisations, set_limit, node);
  ss_rate_limiter_end_limits (&node->rate_limiter);
}

static gboolean
add_candidate (gpointer key, gpointer value, gpointer data)
{
  const SsMember *m = value;

  if (m->live && !m->leaving)
    g_ptr_array_add (data, key);
  return FALSE;
}

static void
update_ranks (SsNode *node)
{
  GPtrArray *vms;
  const char *first[SS_RATE_SLOTS];

  if (node->rate_generation == node->members.generation)
    return;
  node->rate_generation = node->members.generation;
  vms = g_ptr_array_new ();
  g_tree_foreach (node->members.by_name, add_candidate, vms);
  ss_rate_limiter_rank (vms, first);
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    ss_rate_limiter_set_ranked (&node->rate_limiter, i, first[i]);
  g_ptr_array_free (vms, TRUE);
}

static void
update_members (SsNode *node)
{
  ss_rate_limiter_set_vms (&node->rate_limiter,
                           (uint32_t) g_tree_nnodes (node->members.by_name),
                           node->now_ms);
  ss_rate_limiter_set_active (&node->rate_limiter, node->settled);
  update_ranks (node);
}

/* Logs when a coordinator falls silent for so long that this VM uses its own
 * share, and when one answers again.
 */
static void
note_alone (SsNode *node, uint32_t slot)
{
  const SsRateSlot *s = &node->rate_limiter.slots[slot];
  bool is_alone = s->vm && strcmp (s->vm, node->params.vm) != 0
                  && s->silent_since_ms
                  && node->now_ms - s->silent_since_ms >= SS_RATE_HOLD_MS
                  && ss_rate_limiter_uses_own_share (&node->rate_limiter, slot,
                                                     node->now_ms);

  if (is_alone == node->rate_alone[slot])
    return;
  node->rate_alone[slot] = is_alone;
  ss_node_log (node,
               is_alone ? SS_EVENT_LOG_RATE_ALONE : SS_EVENT_LOG_RATE_REJOINED,
               s->vm ? s->vm : "-", "slot=%u share=%.4f", slot, s->share);
}

/* --- operations --- */

static void
refuse (SsNode *node, SsRequest *r, int64_t retry_ms)
{
  ss_node_count (node, SS_COUNTER_RATE_REFUSED);
  ss_node_log (
      node, SS_EVENT_LOG_RATE_LIMITED, r->organisation,
      "statement=%s retry_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT,
      r->label ? r->label : r->trace, retry_ms, node->now_ms - r->started_ms);
  ss_request_finish (node, r, SS_VERDICT_NOT_RUN, SS_REASON_RATE_LIMIT,
                     (uint32_t) retry_ms);
}

/* Has R wait for a reply of the coordinator. */
static void
wait_for_token (SsNode *node, SsRequest *r)
{
  int64_t until_ms
      = r->started_ms + (r->deadline_ms - r->started_ms) * WAIT_PERCENT / 100;

  if (!r->waited_for_token)
    ss_node_count (node, SS_COUNTER_RATE_WAITS);
  r->waited_for_token = true;
  node->token_waiters++;
  ss_request_begin_wait (node, r, SS_WAIT_TOKEN, until_ms - node->now_ms);
  if (node->now_ms < until_ms)
    return;
  ss_request_end_wait (node, r);
  refuse (node, r, SS_RETRY_PROMOTION_MS);
}

bool
ss_rate_limit_admit (SsNode *node, SsRequest *r)
{
  SsRateResult result;

  update_limits (node);
  if (r->has_token || !r->organisation
      || !ss_rate_limiter_is_on (&node->rate_limiter))
    return true;
  result = ss_rate_limiter_take (&node->rate_limiter, r->organisation,
                                 r->counted, node->now_ms);
  r->counted = true;
  switch (result.outcome)
    {
    case SS_RATE_WAIT:
      wait_for_token (node, r);
      return false;
    case SS_RATE_REFUSED:
      refuse (node, r, result.retry_ms ? result.retry_ms : RETRY_NEVER_MS);
      return false;
    case SS_RATE_TAKEN:
      r->has_token = true;
      r->token_expires_ms = result.expires_ms;
      return true;
    case SS_RATE_UNLIMITED:
    default:
      return true;
    }
}

void
ss_rate_limit_end_wait (SsNode *node, const SsRequest *r)
{
  node->token_waiters--;
  ss_rate_limiter_end_wait (&node->rate_limiter, r->organisation);
}

void
ss_rate_limit_refund (SsNode *node, SsRequest *r)
{
  if (!r->has_token)
    return;
  r->has_token = false;
  if (ss_rate_limiter_refund (&node->rate_limiter, r->organisation,
                              r->token_expires_ms, node->now_ms))
    ss_node_count (node, SS_COUNTER_RATE_REFUNDS);
}

void
ss_rate_limit_spend (SsRequest *r)
{
  r->has_token = false;
}

static gint
compare_arrival (gconstpointer a, gconstpointer b)
{
  const SsRequest *x = *(const SsRequest *const *) a;
  const SsRequest *y = *(const SsRequest *const *) b;

  if (x->started_ms != y->started_ms)
    return x->started_ms < y->started_ms ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
}

/* Routes the requests that wait for a token, the earliest first. */
static void
wake (SsNode *node)
{
  GPtrArray *waiting;
  GHashTableIter iter;
  gpointer value;

  if (!node->token_waiters)
    return;
  waiting = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, node->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((SsRequest *) value)->wait == SS_WAIT_TOKEN)
      g_ptr_array_add (waiting, value);
  g_ptr_array_sort (waiting, compare_arrival);
  for (guint i = 0; i < waiting->len; i++)
    {
      SsRequest *r = g_ptr_array_index (waiting, i);

      ss_request_end_wait (node, r);
      ss_route (node, r);
    }
  g_ptr_array_free (waiting, TRUE);
}

/* --- events --- */

void
ss_rate_limit_handle_ask (SsNode *node, const char *from,
                          const Ss__Peer__RateAsk *ask)
{
  SsRateAsk a = { .slot = ask->slot };
  bool is_member = ss_members_find (&node->members, from) != NULL;

  a.sent_ms = ask->sent_ms;
  a.echo_ms = ask->echo_ms;
  a.vms = ask->vms;
  a.release = ask->release;
  a.restarted = ask->restarted;
  for (size_t i = 0; i < ask->n_wants && i < SS_RATE_WANTS_MAX; i++)
    a.wants[a.want_count++]
        = (SsRateWant){ ask->wants[i]->organisation, ask->wants[i]->needed,
                        ask->wants[i]->ahead };
  update_limits (node);
  update_members (node);
  node->counters.values[SS_COUNTER_RATE_TOKENS] += ss_rate_limiter_handle_ask (
      &node->rate_limiter, from, &a, is_member, node->now_ms);
}

void
ss_rate_limit_handle_grant (SsNode *node, const char *from,
                            const Ss__Peer__RateGrant *grant)
{
  SsRateReply reply = { .slot = grant->slot };

  reply.sent_ms = grant->sent_ms;
  reply.clock_ms = grant->clock_ms;
  reply.released = grant->released;
  for (size_t i = 0; i < grant->n_tokens && i < SS_RATE_WANTS_MAX; i++)
    reply.tokens[reply.token_count++]
        = (SsRateTokens){ grant->tokens[i]->organisation,
                          grant->tokens[i]->tokens, grant->tokens[i]->next_ms };
  ss_rate_limiter_handle_reply (&node->rate_limiter, from, &reply,
                                node->now_ms);
  wake (node);
}

void
ss_rate_limit_stop (SsNode *node)
{
  update_ranks (node);
  ss_rate_limiter_stop (&node->rate_limiter, node->now_ms);
}

void
ss_rate_limit_tick (SsNode *node)
{
  update_limits (node);
  update_members (node);
  if (ss_rate_limiter_is_on (&node->rate_limiter))
    {
      ss_rate_limiter_tick (&node->rate_limiter, node->now_ms);
      for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
        note_alone (node, i);
    }
  wake (node);
}
