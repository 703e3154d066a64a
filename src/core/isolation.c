/* isolation: detects that this VM is isolated: less than half of the other VMs
 * that the platform lists are live here, and the platform does not answer.
 *
 * An isolated VM can serve nobody, but callers stay on their connections and
 * the platform routes new ones to it.  It therefore reports that it is not
 * ready and ends idle sessions, so that their callers reconnect to another VM.
 * Where no VM is ready the platform uses all of them, so it does no harm if
 * every VM reports this.
 */
#include "core/owned.h"
#include "core/promotion.h"

/* More than the delay of one lost heartbeat, less than the timeouts of callers.
 */
#define ISOLATED_AFTER_MS 600
/* Sessions ended per tick, to spread the reconnections over time. */
#define SESSIONS_PER_TICK 4

typedef struct
{
  const char *self;
  uint32_t listed;
  uint32_t live;
} PeerCount;

static gboolean
count_peer (gpointer key, gpointer value, gpointer data)
{
  PeerCount *p = data;
  const SsMember *m = value;

  (void) key;
  if (m->vm == p->self || !m->listed)
    return FALSE;
  p->listed++;
  p->live += m->live ? 1 : 0;
  return FALSE;
}

bool
ss_isolation_lost_majority (const SsNode *node)
{
  PeerCount p = { ss_members_find (&node->members, node->params.vm)->vm, 0, 0 };

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
  /* Before it is settled, a VM has not heard the others yet. */
  if (!node->dialect->platform_promotes || !node->settled)
    return;
  if (!ss_isolation_lost_majority (node))
    {
      node->minority_since_ms = 0;
      set_isolated (node, false);
      return;
    }
  if (!node->minority_since_ms)
    {
      node->minority_since_ms = node->now_ms;
      /* Find out now whether the platform still answers. */
      ss_lease_list_vms (node);
    }
  if (!node->platform_down)
    set_isolated (node, false);
  else if (node->now_ms - node->minority_since_ms >= ISOLATED_AFTER_MS)
    set_isolated (node, true);
  if (node->isolated)
    ss_entry_end_idle (node, SESSIONS_PER_TICK);
}
