/* raise: a claim shows its term to enough servers and chooses among them. */
#include <string.h>

#include "core/internal.h"

#define RAISE_AGAIN_MS 150
#define RAISE_MORE_MS 30
/* A planned change: the last writes reach the replicas in this time. */
#define HANDOVER_MS 150

static void
send_raise (SsNode *node, const SsPromotion *p, SsTarget *t)
{
  const char *owner = ss_node_owner (node, t);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RaiseAsk ask = SS__PEER__RAISE_ASK__INIT;

  if (!owner)
    return;
  ask.target = t->name;
  ask.term = p->term;
  e.body_case = SS__PEER__ENVELOPE__BODY_RAISE_ASK;
  e.raise_ask = &ask;
  ss_node_send (node, owner, &e);
}

static bool
may_be_chosen (const SsPromotion *p, const SsTarget *t)
{
  return !t->draining && (!p->leaving || strcmp (p->leaving, t->name) != 0);
}

/* Every majority that may have acknowledged a write has to contain a raised
 * candidate: this many candidates leave room for no other majority.
 */
static uint32_t
candidates_needed (const SsGroup *group)
{
  return group->server_count - ss_group_majority (group) + 1;
}

static const char *
best_candidate (const SsPromotion *p, const SsGroup *group)
{
  int32_t best = -1;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      int32_t order;

      if (!p->raised[i] || !may_be_chosen (p, group->servers[i]))
        continue;
      order = best < 0 ? 1
                       : ss_position_compare (p->raised_held[i],
                                              p->raised_held[best]);
      if (order > 0
          || (order == 0 && p->wanted
              && strcmp (p->wanted, group->servers[i]->name) == 0))
        best = (int32_t) i;
    }
  return best < 0 ? NULL : group->servers[best]->name;
}

/* A server that has all that any raised one holds has all that a majority
 * may have acknowledged, if enough of them were raised.
 */
static bool
is_covered (const SsPromotion *p, const SsGroup *group, uint32_t raised)
{
  const char *best = best_candidate (p, group);
  SsPosition held = { 0, 0 };
  SsPosition highest = { 0, 0 };

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (!p->raised[i])
        continue;
      highest = ss_position_max (highest, p->raised_held[i]);
      if (best && strcmp (group->servers[i]->name, best) == 0)
        held = p->raised_held[i];
    }
  return best && raised >= candidates_needed (group)
         && ss_position_compare (held, highest) >= 0;
}

static void
name_primary (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  g_free (p->chosen);
  p->chosen = g_strdup (best_candidate (p, group));
  ss_node_log (node, SS_EVENT_LOG_PROMOTION_RAISED, p->group,
               "term=%" G_GUINT64_FORMAT " chosen=%s ms=%" G_GINT64_FORMAT,
               p->term, p->chosen, node->now_ms - p->started_ms);
  if (node->dialect->platform_promotes)
    {
      ss_lead_begin (node, p);
      return;
    }
  ss_promote_enter (node, p, SS_PROMOTE_NAME);
  ss_promote_put (node, p, p->chosen);
}

static bool
is_released (SsNode *node, SsPromotion *p)
{
  return !node->dialect->platform_promotes || ss_lease_is_released (node, p);
}

void
ss_raise_tick (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  uint32_t raised = 0;
  uint32_t candidates = 0;

  /* What the old primary has taken still reaches its replicas. */
  if (p->leaving && node->dialect->platform_promotes
      && node->now_ms - p->since_ms < HANDOVER_MS)
    return;
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      raised += p->raised[i] ? 1 : 0;
      if (p->raised[i] && may_be_chosen (p, group->servers[i]))
        candidates++;
    }
  if ((candidates >= candidates_needed (group)
       || (node->dialect->platform_promotes && is_covered (p, group, raised)))
      && !p->enough_ms)
    p->enough_ms = node->now_ms;
  if (p->enough_ms && is_released (node, p)
      && (raised == group->server_count
          || node->now_ms - p->enough_ms >= RAISE_MORE_MS))
    {
      name_primary (node, p, group);
      return;
    }
  if (node->now_ms - p->asked_ms < RAISE_AGAIN_MS)
    return;
  p->asked_ms = node->now_ms;
  if (node->dialect->platform_promotes)
    ss_lease_ask_release (node, p);
  for (uint32_t i = 0; i < group->server_count; i++)
    if (!p->raised[i])
      send_raise (node, p, group->servers[i]);
}

void
ss_promote_raised (SsNode *node, const Ss__Peer__RaiseReply *reply)
{
  SsTarget *t = ss_config_target (&node->config, reply->target);
  SsGroup *group = t ? ss_config_group (&node->config, t->group) : NULL;
  SsPromotion *p = group ? g_tree_lookup (node->promotions, group->name) : NULL;
  SsServerState state;

  if (!p || p->step != SS_PROMOTE_RAISE || reply->term != p->term
      || !reply->state)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  if (!reply->accepted)
    {
      ss_promote_give_up (node, p, "a server was shown a higher term");
      return;
    }
  ss_state_unpack (reply->state, &state);
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (group->servers[i] != t)
        continue;
      p->raised[i] = true;
      p->raised_held[i] = state.held;
    }
  ss_raise_tick (node, p, group);
}
