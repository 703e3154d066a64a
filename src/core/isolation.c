/* isolation: a vm that neither hears most of the others nor has an answer of
 * the platform.
 *
 * It answers this load: callers stay on the connections that they have, and
 * new ones come by the platform's choice, while their vm can serve nobody.
 * Such a vm says that it takes no callers, and ends the sessions that rest, so
 * that they come back elsewhere.  Where no vm is ready the platform uses all
 * of them, so nothing is lost if every vm steps aside.
 */
#include "core/internal.h"

/* Longer than a lost heartbeat, shorter than callers' patience. */
#define ISOLATED_AFTER_MS 600
/* Sessions ended in one tick: their return is spread over some time. */
#define SESSIONS_A_TICK 4

typedef struct
{
  const char *self;
  uint32_t listed;
  uint32_t live;
} Peers;

static gboolean
count_peer (gpointer key, gpointer value, gpointer data)
{
  Peers *p = data;
  const SsMember *m = value;

  (void) key;
  if (m->vm == p->self || !m->listed)
    return FALSE;
  p->listed++;
  p->live += m->live ? 1 : 0;
  return FALSE;
}

bool
ss_isolation_misses_most (const SsNode *node)
{
  Peers p = { ss_members_find (&node->members, node->params.vm)->vm, 0, 0 };

  g_tree_foreach (node->members.by_name, count_peer, &p);
  return p.listed > 0 && p.live * 2 < p.listed;
}

static void
set_isolated (SsNode *node, bool isolated)
{
  if (node->isolated == isolated)
    return;
  node->isolated = isolated;
  ss_node_log (node, isolated ? SS_EVENT_LOG_ISOLATED : SS_EVENT_LOG_REJOINED,
               node->params.vm, "platform_down=%d", node->platform_down);
}

void
ss_isolation_tick (SsNode *node)
{
  if (!node->dialect->platform_promotes)
    return;
  if (!ss_isolation_misses_most (node))
    {
      node->alone_since_ms = 0;
      set_isolated (node, false);
      return;
    }
  if (!node->alone_since_ms)
    {
      node->alone_since_ms = node->now_ms;
      /* Whether the platform still answers is worth a question now. */
      ss_lease_list_vms (node);
    }
  if (!node->platform_down)
    set_isolated (node, false);
  else if (node->now_ms - node->alone_since_ms >= ISOLATED_AFTER_MS)
    set_isolated (node, true);
  if (node->isolated)
    ss_entry_end_idle (node, SESSIONS_A_TICK);
}
