/* lease: how long a VM may use a primary without asking the group's servers.
 *
 * The platform's object of a group names its primary.  When the platform
 * confirms that the object is unchanged since this VM adopted it, the VM holds
 * a lease: it may rely on that primary being the only one for SS_LEASE_MS from
 * the time it sent the request.  A VM's own object names the groups that it
 * may hold leases on.  A promotion starts with a write to the group's object,
 * the claim.  It proceeds once every holder has adopted the claim, as its reply
 * or its own object shows, or once all leases have expired
 * (ss_lease_is_released).  VMs renew their leases through one of them, the
 * keeper (lease_keeper.h), or list the groups themselves if it does not answer.
 * If the platform answers none of the VMs that a VM hears, that VM asks a
 * majority of the voters instead (quorum.c, voters.h).
 */
#include <string.h>

#include "core/membership.h"
#include "core/owned.h"
#include "core/peers.h"
#include "core/promotion.h"
#include "core/version.h"
#include "core/voters.h"

#define KEEPER_SUBJECT "leases"
/* Bound on the clock drift between two VMs during a lease. */
#define CLOCK_DRIFT_MS 50

bool
ss_lease_holds (const SsNode *node, const SsGroup *group)
{
  return group->version && *group->primary && group->confirmed_ms
         && ss_lease_listing_since (&node->lease_listing, group->name)
         && node->now_ms - group->confirmed_ms < SS_LEASE_MS;
}

/* --- listing the holders that a claim waits for --- */

static void
begin_one (SsVmListState *list, bool *wanted)
{
  if (*list != SS_VM_LIST_WANTED)
    return;
  *list = SS_VM_LIST_REQUESTED;
  *wanted = true;
}

static gboolean
begin_listing (gpointer key, gpointer value, gpointer data)
{
  SsPromotion *p = value;

  (void) key;
  begin_one (&p->vm_list, data);
  begin_one (&p->agreement.vm_list, data);
  return FALSE;
}

void
ss_lease_list_wanted (SsNode *node)
{
  bool wanted = false;

  if (node->vm_list_outstanding)
    return;
  g_tree_foreach (node->promotions, begin_listing, &wanted);
  if (wanted)
    ss_lease_list_vms (node);
}

void
ss_lease_list_vms (SsNode *node)
{
  if (node->vm_list_outstanding)
    return;
  node->vm_list_outstanding = true;
  ss_node_push (node, SS_ACTION_PLATFORM_LIST)->id = SS_WATCH_VMS;
}

static gboolean
end_listing (gpointer key, gpointer value, gpointer data)
{
  SsPromotion *p = value;
  SsVmListState state = *(SsVmListState *) data;

  (void) key;
  if (p->vm_list == SS_VM_LIST_REQUESTED)
    p->vm_list = state;
  if (p->agreement.vm_list == SS_VM_LIST_REQUESTED)
    p->agreement.vm_list = state;
  return FALSE;
}

static void
handle_vm_list (SsNode *node, SsPlatformOutcome outcome)
{
  SsVmListState state
      = outcome == SS_PLATFORM_DONE ? SS_VM_LIST_RECEIVED : SS_VM_LIST_WANTED;

  node->vm_list_outstanding = false;
  g_tree_foreach (node->promotions, end_listing, &state);
}

/* --- renewing leases --- */

typedef struct
{
  SsNode *node;
  GPtrArray *groups; /* names */
  bool holds_all;    /* a lease on each */
} OwnedPrimaries;

/* Skips groups that this VM's object does not list yet: a request would give no
 * lease on them.
 */
static gboolean
collect_owned_primary (gpointer key, gpointer value, gpointer data)
{
  OwnedPrimaries *o = data;
  const SsOwnedTarget *owned = value;
  const SsGroup *group;

  (void) key;
  if (!owned->active && !owned->target->is_finishing)
    return FALSE;
  group = ss_config_group (&o->node->config, owned->target->group);
  if (!group || ss_group_primary (group) != owned->target
      || !ss_lease_listing_since (&o->node->lease_listing, group->name))
    return FALSE;
  g_ptr_array_add (o->groups, group->name);
  o->holds_all = o->holds_all && ss_lease_holds (o->node, group);
  return FALSE;
}

typedef struct
{
  const SsNode *node;
  GPtrArray *up; /* names of the VMs found; NULL: stop at the first */
  bool found;
} PeerSearch;

static gboolean
find_platform_up (gpointer key, gpointer value, gpointer data)
{
  PeerSearch *s = data;
  const SsMember *m = value;

  if (!m->live || !m->platform_up || strcmp (key, s->node->params.vm) == 0)
    return FALSE;
  s->found = true;
  if (!s->up)
    return TRUE;
  g_ptr_array_add (s->up, key);
  return FALSE;
}

bool
ss_lease_may_ask_servers (const SsNode *node)
{
  PeerSearch s = { node, NULL, false };

  if (!node->dialect->platform_promotes)
    return true;
  if (!node->platform_down)
    return false;
  g_tree_foreach (node->members.by_name, find_platform_up, &s);
  return !s.found;
}

bool
ss_lease_is_confirmed_by (const SsNode *node, const SsGroup *group,
                          uint32_t servers)
{
  if (!ss_lease_may_ask_servers (node)
      || !ss_group_is_majority (group, servers))
    return false;
  if (!node->dialect->platform_promotes)
    return true;
  return ss_watch_knows_voters (node)
         && (ss_contact_is_recent (node) || ss_group_is_all (group, servers));
}

const char *
ss_lease_keeper (const SsNode *node)
{
  return ss_roles_coordinator (&node->members, KEEPER_SUBJECT);
}

/* Asks VM to confirm the leases on GROUPS. */
static void
ask_vm (SsNode *node, const char *vm, const GPtrArray *groups)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__LeaseAsk ask = SS__PEER__LEASE_ASK__INIT;

  node->lease_asked_ms = node->now_ms;
  ask.nonce = ++node->lease_nonce;
  ask.groups = (char **) groups->pdata;
  ask.n_groups = groups->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_LEASE_ASK;
  e.lease_ask = &ask;
  ss_node_send (node, vm, &e);
}

/* Asks a random live VM that the platform answers, as it does not answer this
 * VM.
 */
static void
ask_any (SsNode *node, const GPtrArray *groups)
{
  PeerSearch s = { node, g_ptr_array_new (), false };

  g_tree_foreach (node->members.by_name, find_platform_up, &s);
  if (s.found)
    {
      guint choice
          = (guint) g_rand_int_range (node->rand, 0, (gint32) s.up->len);

      ask_vm (node, g_ptr_array_index (s.up, choice), groups);
    }
  g_ptr_array_free (s.up, TRUE);
}

static void
request_group_list (SsNode *node)
{
  if (node->lease_list_outstanding)
    return;
  node->lease_list_outstanding = true;
  node->lease_keeper.listed_ms = node->now_ms;
  ss_node_push (node, SS_ACTION_PLATFORM_LIST)->id = SS_WATCH_GROUPS;
}

void
ss_lease_handle_ask (SsNode *node, const char *from,
                     const Ss__Peer__LeaseAsk *ask)
{
  ss_lease_keeper_add (&node->lease_keeper, from, ask->nonce, ask->groups,
                       ask->n_groups, node->now_ms);
}

static void
send_reply (SsNode *node, const SsLeaseAsk *ask, const SsEvent *list)
{
  uint32_t count = list->platform_objects.object_count;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__LeaseReply reply = SS__PEER__LEASE_REPLY__INIT;
  Ss__Peer__GroupVersion *versions = g_new (Ss__Peer__GroupVersion, count + 1);
  Ss__Peer__GroupVersion **entries
      = g_new (Ss__Peer__GroupVersion *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      const SsObject *o = &list->platform_objects.objects[i];
      const char *group = strchr (o->key, '/') + 1;

      if (*ask->groups
          && !g_strv_contains ((const char *const *) ask->groups, group))
        continue;
      ss__peer__group_version__init (&versions[i]);
      versions[i].group = (char *) group;
      versions[i].version = o->version;
      entries[reply.n_groups++] = &versions[i];
    }
  reply.nonce = ask->nonce;
  reply.groups = entries;
  e.body_case = SS__PEER__ENVELOPE__BODY_LEASE_REPLY;
  e.lease_reply = &reply;
  ss_node_send (node, ask->vm, &e);
  g_free (entries);
  g_free (versions);
}

/* Answers the asks that arrived before LIST was requested.  Without a list they
 * get no answer: their senders list by themselves.
 */
static void
answer_asks (SsNode *node, const SsEvent *list, int64_t listed_ms)
{
  SsLeaseAsk *ask;

  while ((ask = ss_lease_keeper_take (&node->lease_keeper, listed_ms)))
    {
      if (list->platform_objects.outcome == SS_PLATFORM_DONE)
        send_reply (node, ask, list);
      ss_lease_ask_free (ask);
    }
}

static void
renew (SsNode *node, const OwnedPrimaries *owned)
{
  const char *keeper = ss_lease_keeper (node);

  switch (ss_renewal_step (&node->renewal, keeper != NULL, owned->holds_all,
                           node->now_ms))
    {
    case SS_RENEWAL_ASK:
      ask_vm (node, keeper, owned->groups);
      break;
    case SS_RENEWAL_LIST:
      if (node->platform_down)
        ask_any (node, owned->groups);
      request_group_list (node);
      break;
    case SS_RENEWAL_WAIT:
    default:
      break;
    }
}

void
ss_lease_hurry (SsNode *node)
{
  if (!node->renewal.asked && !node->lease_list_outstanding)
    node->renewal.due_ms = MIN (node->renewal.due_ms, node->now_ms);
}

/* Once this VM's object lists other groups, their leases are requested at once.
 */
static void
note_listed_groups (SsNode *node)
{
  if (node->lease_listing.version == node->leases_renewed_version
      || node->renewal.asked || node->lease_list_outstanding)
    return;
  node->leases_renewed_version = node->lease_listing.version;
  ss_lease_hurry (node);
}

void
ss_lease_tick (SsNode *node)
{
  OwnedPrimaries owned = { node, NULL, true };

  if (!node->dialect->platform_promotes)
    return;
  ss_contact_tick (node);
  note_listed_groups (node);
  if (ss_lease_keeper_is_due (&node->lease_keeper, node->now_ms))
    request_group_list (node);
  if (node->now_ms < node->renewal.due_ms)
    return;
  owned.groups = g_ptr_array_new ();
  g_tree_foreach (node->owned, collect_owned_primary, &owned);
  if (owned.groups->len)
    renew (node, &owned);
  g_ptr_array_free (owned.groups, TRUE);
}

/* Extends the lease on group NAME.  A lease is valid only if this VM's object
 * named it before the request was sent, in the same era: a VM that claims the
 * group later then sees either the holder or its release.
 */
static void
confirm_lease (SsNode *node, const char *name, int64_t version,
               int64_t requested_ms)
{
  SsGroup *group = ss_config_group (&node->config, name);
  const int64_t *since_ms = ss_lease_listing_since (&node->lease_listing, name);

  if (!group || !since_ms || *since_ms > requested_ms
      || group->version != version
      || ss_version_era (node->lease_listing.version)
             != ss_version_era (version))
    return;
  group->confirmed_ms = MAX (group->confirmed_ms, requested_ms);
  if (ss_lease_holds (node, group))
    ss_quorum_lease_obtained (node, group);
}

void
ss_lease_handle_reply (SsNode *node, const Ss__Peer__LeaseReply *reply)
{
  if (reply->nonce != node->lease_nonce)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  ss_renewal_done (&node->renewal, node->now_ms);
  for (size_t i = 0; i < reply->n_groups; i++)
    confirm_lease (node, reply->groups[i]->group, reply->groups[i]->version,
                   node->lease_asked_ms);
}

void
ss_lease_handle_list (SsNode *node, const SsEvent *e)
{
  int64_t listed_ms = node->lease_keeper.listed_ms;

  if (e->platform_objects.watch == SS_WATCH_VMS)
    handle_vm_list (node, e->platform_objects.outcome);
  if (e->platform_objects.watch != SS_WATCH_GROUPS
      || !node->lease_list_outstanding)
    return;
  node->lease_list_outstanding = false;
  if (e->platform_objects.outcome == SS_PLATFORM_DONE)
    {
      ss_renewal_done (&node->renewal, node->now_ms);
      for (uint32_t i = 0; i < e->platform_objects.object_count; i++)
        confirm_lease (node,
                       strchr (e->platform_objects.objects[i].key, '/') + 1,
                       e->platform_objects.objects[i].version, listed_ms);
    }
  else
    ss_renewal_failed (&node->renewal, node->rand, node->now_ms);
  answer_asks (node, e, listed_ms);
}

/* --- releasing leases before a promotion --- */

/* Whether all leases on the previous primary have expired.  Each was confirmed
 * before the platform's object stopped naming a primary, and so before this VM
 * adopted that object.
 */
static bool
is_expired (const SsNode *node, const SsPromotion *p)
{
  const SsGroup *group = ss_config_group (&node->config, p->group);
  int64_t since_ms = p->since_ms;

  if (group && group->no_primary_since_ms)
    since_ms = MIN (since_ms, group->no_primary_since_ms);
  return node->now_ms - since_ms >= SS_LEASE_MS + CLOCK_DRIFT_MS;
}

/* Whether a lease of an earlier era may still be valid: the object that lists
 * its holder may be lost.  It was requested before this VM learned of the era.
 */
static bool
may_have_lost_holders (const SsNode *node)
{
  return node->era_since_ms
         && node->now_ms - node->era_since_ms < SS_LEASE_MS + CLOCK_DRIFT_MS;
}

bool
ss_lease_is_released (SsNode *node, SsPromotion *p)
{
  if (is_expired (node, p))
    return true;
  return !may_have_lost_holders (node) && p->vm_list == SS_VM_LIST_RECEIVED
         && !ss_directory_has_holder (node, p->group, p->released);
}

void
ss_lease_ask_release (SsNode *node, SsPromotion *p)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ClaimAsk ask = SS__PEER__CLAIM_ASK__INIT;

  ss_lease_list_wanted (node);
  ask.group = p->group;
  ask.version = p->version;
  e.body_case = SS__PEER__ENVELOPE__BODY_CLAIM_ASK;
  e.claim_ask = &ask;
  ss_peers_ask (node, &e, p->released);
}

void
ss_lease_begin_release (SsNode *node, SsPromotion *p)
{
  if (!p->released)
    p->released = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_remove_all (p->released);
  p->vm_list = SS_VM_LIST_WANTED;
  ss_lease_list_wanted (node);
}

void
ss_lease_handle_claim_ask (SsNode *node, const char *from,
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
ss_lease_handle_claim_reply (SsNode *node, const char *from,
                             const Ss__Peer__ClaimReply *reply)
{
  SsPromotion *p = g_tree_lookup (node->promotions, reply->group);

  if (p && p->released && p->step == SS_PROMOTE_RAISE
      && p->version == reply->version)
    g_hash_table_add (p->released, g_strdup (from));
}
