/* lease: for how long a primary may be used without asking its group.
 *
 * The platform's object of a group names its primary.  Where the platform,
 * asked at some time, says that the object is still as this vm holds it, the
 * vm may take that primary for the only one for SS_LEASE_MS from that time.
 * A change of primary begins with a write to that object, and goes on only
 * once every listed vm has taken it over or that time has passed
 * (ss_lease_is_released).  A vm that the platform does not answer asks a
 * majority of the servers instead (hold.c).
 */
#include <string.h>

#include "core/internal.h"

/* Well below the lease, so that one lost answer does not end it. */
#define RENEW_MS 1200
#define RENEW_AGAIN_MS 300
#define ASK_TIMEOUT_MS 1500
/* The clocks of two vms run apart by less than this in a lease. */
#define DRIFT_MS 50

bool
ss_lease_holds (const SsNode *node, const SsGroup *group)
{
  return group->version && *group->primary && group->confirmed_ms
         && ss_directory_lists_self (node)
         && node->now_ms - group->confirmed_ms < SS_LEASE_MS;
}

/* --- keeping it --- */

static gboolean
find_owned_primary (gpointer key, gpointer value, gpointer data)
{
  const SsGroup *group = value;
  SsTarget *primary = ss_group_primary (group);
  SsNode **node = data;

  (void) key;
  if (!primary || !ss_node_is_owner (*node, primary))
    return FALSE;
  *node = NULL;
  return TRUE;
}

static bool
owns_primary (SsNode *node)
{
  SsNode *found = node;

  g_tree_foreach (node->config.groups, find_owned_primary, &found);
  return !found;
}

void
ss_lease_tick (SsNode *node)
{
  if (!node->dialect->platform_promotes || node->now_ms < node->lease_due_ms
      || !owns_primary (node))
    return;
  node->lease_due_ms = node->now_ms + ASK_TIMEOUT_MS;
  node->lease_asked_ms = node->now_ms;
  ss_node_push (node, SS_ACTION_PLATFORM_LIST)->id = SS_FEED_GROUPS;
}

static void
confirm (SsNode *node, const SsObject *object, int64_t asked_ms)
{
  SsGroup *group
      = ss_config_group (&node->config, strchr (object->key, '/') + 1);

  if (group && group->version == object->version)
    group->confirmed_ms = MAX (group->confirmed_ms, asked_ms);
}

void
ss_lease_listed (SsNode *node, const SsEvent *e)
{
  if (e->platform_objects.feed != SS_FEED_GROUPS || !node->lease_asked_ms)
    return;
  if (e->platform_objects.outcome != SS_PLATFORM_DONE)
    {
      node->lease_due_ms = node->now_ms + RENEW_AGAIN_MS;
      node->lease_asked_ms = 0;
      return;
    }
  node->lease_due_ms = node->lease_asked_ms + RENEW_MS;
  for (uint32_t i = 0; i < e->platform_objects.object_count; i++)
    confirm (node, &e->platform_objects.objects[i], node->lease_asked_ms);
  node->lease_asked_ms = 0;
}

/* --- ending it everywhere --- */

typedef struct
{
  SsNode *node;
  SsPromotion *promotion;
  bool pending;
} Release;

static gboolean
check_released (gpointer key, gpointer value, gpointer data)
{
  Release *r = data;
  const SsMember *m = value;

  if (strcmp (key, r->node->params.vm) == 0 || (!m->listed && !m->live)
      || g_hash_table_contains (r->promotion->released, key))
    return FALSE;
  r->pending = true;
  return FALSE;
}

bool
ss_lease_is_released (SsNode *node, SsPromotion *p)
{
  Release r = { node, p, !p->vms_listed };

  if (node->now_ms - p->since_ms >= SS_LEASE_MS + DRIFT_MS)
    return true;
  g_tree_foreach (node->members.by_name, check_released, &r);
  return !r.pending;
}

static gboolean
ask_one (gpointer key, gpointer value, gpointer data)
{
  Release *r = data;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ClaimAsk ask = SS__PEER__CLAIM_ASK__INIT;

  (void) value;
  if (strcmp (key, r->node->params.vm) == 0
      || g_hash_table_contains (r->promotion->released, key))
    return FALSE;
  ask.group = r->promotion->group;
  ask.version = r->promotion->version;
  e.body_case = SS__PEER__ENVELOPE__BODY_CLAIM_ASK;
  e.claim_ask = &ask;
  ss_node_send (r->node, key, &e);
  return FALSE;
}

void
ss_lease_ask_release (SsNode *node, SsPromotion *p)
{
  Release r = { node, p, false };

  g_tree_foreach (node->members.by_name, ask_one, &r);
}

void
ss_lease_begin_release (SsNode *node, SsPromotion *p)
{
  if (!p->released)
    p->released = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_remove_all (p->released);
  p->vms_listed = false;
  ss_node_push (node, SS_ACTION_PLATFORM_LIST)->id = SS_FEED_VMS;
}

void
ss_lease_claim_ask (SsNode *node, const char *from,
                    const Ss__Peer__ClaimAsk *ask)
{
  const SsGroup *group = ss_config_group (&node->config, ask->group);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ClaimReply reply = SS__PEER__CLAIM_REPLY__INIT;

  if (!group || group->version < ask->version)
    return;
  reply.group = ask->group;
  reply.version = ask->version;
  e.body_case = SS__PEER__ENVELOPE__BODY_CLAIM_REPLY;
  e.claim_reply = &reply;
  ss_node_send (node, from, &e);
}

void
ss_lease_claim_reply (SsNode *node, const char *from,
                      const Ss__Peer__ClaimReply *reply)
{
  SsPromotion *p = g_tree_lookup (node->promotions, reply->group);

  if (p && p->released && p->step == SS_PROMOTE_RAISE
      && p->version == reply->version)
    g_hash_table_add (p->released, g_strdup (from));
}
