/* term_raise: raises the term of enough servers to the term of a claim, and
 * chooses the new primary among them.
 */
#include <string.h>

#include "core/membership.h"
#include "core/promotion.h"
#include "core/voters.h"

/* Retry interval of raise requests. */
#define RAISE_RETRY_MS 150
/* Wait for further servers once enough have raised their term. */
#define RAISE_GRACE_MS 30
/* In a requested promotion, the old primary's last writes reach its replicas
 * in this time.
 */
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

/* Whether T may become primary: it is neither draining nor to be replaced. */
static bool
is_candidate (const SsPromotion *p, const SsTarget *t)
{
  return !t->draining
         && (!p->replaced_primary
             || strcmp (p->replaced_primary, t->name) != 0);
}

/* Returns the log position of TARGET when its term was raised, or NULL if it
 * was not raised.
 */
static const SsPosition *
raised_position (const SsPromotion *p, const SsTarget *target)
{
  return g_hash_table_lookup (p->raised_positions, target->name);
}

static const SsTarget *
best_candidate (const SsPromotion *p, const SsGroup *group)
{
  const SsTarget *best = NULL;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];
      const SsPosition *held = raised_position (p, t);
      int32_t order;

      if (!held || !is_candidate (p, t))
        continue;
      order
          = best ? ss_position_compare (*held, *raised_position (p, best)) : 1;
      if (order > 0
          || (order == 0 && p->requested_server
              && strcmp (p->requested_server, t->name) == 0))
        best = t;
    }
  return best;
}

/* Whether the best candidate is at or past the position of every raised server
 * and enough servers are RAISED, a bit set of group->servers.  It then has
 * every write that a majority may have acknowledged.
 */
static bool
covers_majority (const SsPromotion *p, const SsGroup *group, uint32_t raised)
{
  const SsTarget *best = best_candidate (p, group);
  SsPosition highest = { 0, 0 };

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsPosition *held = raised_position (p, group->servers[i]);

      if (held)
        highest = ss_position_max (highest, *held);
    }
  return best && ss_group_is_blocking (group, raised)
         && ss_position_compare (*raised_position (p, best), highest) >= 0;
}

static void
choose_primary (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  const SsTarget *best = best_candidate (p, group);
  GString *raised = g_string_new (NULL);

  g_free (p->chosen);
  p->chosen = g_strdup (best->name);
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsPosition *held = raised_position (p, group->servers[i]);

      if (held)
        g_string_append_printf (
            raised, " %s=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
            group->servers[i]->name, held->term, held->offset);
    }
  ss_node_log (node, SS_EVENT_LOG_PROMOTION_RAISED, p->group,
               "term=%" G_GUINT64_FORMAT " chosen=%s ms=%" G_GINT64_FORMAT
               " servers=%u%s",
               p->term, p->chosen, node->now_ms - p->started_ms,
               group->server_count, raised->str);
  g_string_free (raised, TRUE);
  if (node->dialect->platform_promotes)
    {
      ss_coordinator_call_platform (node, p);
      return;
    }
  ss_promote_enter (node, p, SS_PROMOTE_NAME);
  ss_promote_write_group (node, p, p->chosen);
}

static bool
is_released (SsNode *node, SsPromotion *p)
{
  return !node->dialect->platform_promotes || ss_lease_is_released (node, p);
}

void
ss_term_raise_tick (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  uint32_t all = (1U << group->server_count) - 1;
  uint32_t raised = 0;     /* bit sets of group->servers */
  uint32_t candidates = 0; /* those of them that may become primary */

  if (p->adopts)
    {
      ss_coordinator_tick_adoption (node, p);
      return;
    }
  /* Lets the old primary's last writes reach its replicas first. */
  if (p->replaced_primary && node->dialect->platform_promotes
      && node->now_ms - p->since_ms < HANDOVER_MS)
    return;
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (!raised_position (p, group->servers[i]))
        continue;
      raised |= 1U << i;
      if (is_candidate (p, group->servers[i]))
        candidates |= 1U << i;
    }
  if (!ss_group_is_blocking (group, candidates)
      && !(node->dialect->platform_promotes
           && covers_majority (p, group, raised)))
    p->quorum_ms = 0; /* the voters may have changed meanwhile */
  else if (!p->quorum_ms)
    p->quorum_ms = node->now_ms;
  if (p->quorum_ms && candidates && is_released (node, p)
      && (raised == all || node->now_ms - p->quorum_ms >= RAISE_GRACE_MS))
    {
      choose_primary (node, p, group);
      return;
    }
  if (node->now_ms - p->asked_ms < RAISE_RETRY_MS)
    return;
  p->asked_ms = node->now_ms;
  if (node->dialect->platform_promotes)
    ss_lease_ask_release (node, p);
  for (uint32_t i = 0; i < group->server_count; i++)
    if (!raised_position (p, group->servers[i]))
      send_raise (node, p, group->servers[i]);
}

void
ss_term_raise_handle_reply (SsNode *node, const Ss__Peer__RaiseReply *reply)
{
  SsTarget *t = ss_config_target (&node->config, reply->target);
  SsGroup *group = t ? ss_config_group (&node->config, t->group) : NULL;
  SsPromotion *p = group ? g_tree_lookup (node->promotions, group->name) : NULL;
  SsServerState state;
  SsPosition *held;

  if (!p || p->step != SS_PROMOTE_RAISE || p->adopts || reply->term != p->term
      || !reply->state)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  if (!reply->accepted)
    {
      ss_promote_give_up (node, p, "a server has a higher term");
      return;
    }
  ss_state_unpack (reply->state, &state);
  held = g_new (SsPosition, 1);
  *held = state.held;
  g_hash_table_replace (p->raised_positions, g_strdup (t->name), held);
  ss_term_raise_tick (node, p, group);
}
