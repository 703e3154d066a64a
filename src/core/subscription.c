#include "core/subscription.h"

#include <string.h>
#include <xxhash.h>

#include "core/fanout.h"
#include "core/owned.h"
#include "core/promotion.h"
#include "kernel/compare.h"

#define SUBSCRIBE_INTERVAL_MS 1000
/* A VM whose rank as a group's coordinator is below this subscribes to the
 * group even if it neither uses it nor owns a server of it.
 */
#define COORDINATOR_RANKS 3
/* Owners report more often than this.  Where no report arrives, the VM that
 * should pass them on has failed, can't be reached or is of an earlier version.
 */
#define SILENCE_MS 1500
/* How long to subscribe at the owner then. */
#define DIRECT_MS 10000

/* --- subscribing --- */

typedef struct
{
  SsNode *node;
  GTree *by_source; /* vm -> GPtrArray of target names */
  GHashTable *sent; /* vm -> hash of these names */
  bool renew;       /* also those that have not changed */
} Subscriptions;

/* Whether a promotion of GROUP may depend on what this VM knows. */
static bool
is_involved (SsNode *node, const SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    if (ss_node_is_owner (node, group->servers[i]))
      return true;
  if (node->dialect->platform_promotes)
    return node->all_groups_since_ms != 0;
  return ss_promote_rank (node, ss_promote_get (node, group->name))
         < COORDINATOR_RANKS;
}

/* Whether the reports of T that another VM should pass on do not arrive. */
static bool
is_silent (SsNode *node, const SsTarget *t)
{
  return t->indirect_since_ms
         && node->now_ms - MAX (t->reported_ms, t->indirect_since_ms)
                >= SILENCE_MS;
}

static bool
is_in_domain (const SsNode *node, const char *vm)
{
  return ss_members_is_in_domain (&node->members,
                                  ss_members_find (&node->members, vm));
}

/* Returns the VM that passes on the reports of T, which OWNER sends, in this
 * failure domain; OWNER itself if there is none.
 */
static const char *
indirect_source (SsNode *node, SsTarget *t, const char *owner)
{
  const char *vm;

  if (is_silent (node, t))
    {
      t->indirect_since_ms = 0;
      t->direct_until_ms = node->now_ms + DIRECT_MS;
      ss_node_log (node, SS_EVENT_LOG_REPORTS_MISSING, t->name,
                   "owner=%s age_ms=%" G_GINT64_FORMAT, owner,
                   node->now_ms - t->reported_ms);
    }
  if (node->now_ms < t->direct_until_ms)
    return owner;
  vm = ss_roles_owner (&node->members, node->params.failure_domain, t->name);
  if (!vm || strcmp (vm, node->params.vm) == 0)
    return owner;
  if (!t->indirect_since_ms)
    t->indirect_since_ms = node->now_ms;
  return vm;
}

/* Returns the VM to subscribe to T at; NULL: none, as this VM owns it. */
static const char *
source_of (SsNode *node, SsTarget *t, bool involved)
{
  const char *owner = ss_node_owner (node, t);

  if (!owner || strcmp (owner, node->params.vm) == 0)
    return NULL;
  if (involved || !node->members.relayed || is_in_domain (node, owner)
      || ss_fanout_serves (&node->fanout, t->name))
    {
      t->indirect_since_ms = 0;
      return owner;
    }
  return indirect_source (node, t, owner);
}

static void
add_subscription (Subscriptions *s, SsTarget *t, const char *source)
{
  GPtrArray *names = g_tree_lookup (s->by_source, source);

  if (!names)
    {
      names = g_ptr_array_new ();
      g_tree_insert (s->by_source, (gpointer) source, names);
    }
  g_ptr_array_add (names, t->name);
}

static gboolean
collect_group (gpointer key, gpointer value, gpointer data)
{
  Subscriptions *s = data;
  SsGroup *group = value;
  bool involved = is_involved (s->node, group);
  bool uses = involved || ss_entry_uses_group (s->node, key);

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      const char *source;

      if (!uses && !ss_fanout_serves (&s->node->fanout, t->name))
        continue;
      source = source_of (s->node, t, involved);
      if (source)
        add_subscription (s, t, source);
    }
  return FALSE;
}

static uint64_t
hash_names (const GPtrArray *names)
{
  XXH64_hash_t hash = names->len;

  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      hash = XXH3_64bits_withSeed (name, strlen (name), hash);
    }
  return hash;
}

/* Records that VM gets a subscription to NAMES.  Returns whether the last one
 * was to other targets.
 */
static bool
record_sent (Subscriptions *s, const char *vm, const GPtrArray *names)
{
  const uint64_t *before = g_hash_table_lookup (s->node->subscribed, vm);
  uint64_t *hash = g_new (uint64_t, 1);

  *hash = hash_names (names);
  g_hash_table_insert (s->sent, g_strdup (vm), hash);
  return !before || *before != *hash;
}

static gboolean
send_subscription (gpointer key, gpointer value, gpointer data)
{
  Subscriptions *s = data;
  SsNode *node = s->node;
  GPtrArray *names = value;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Subscribe m = SS__PEER__SUBSCRIBE__INIT;

  if (!record_sent (s, key, names) && !s->renew)
    return FALSE;
  m.targets = (char **) names->pdata;
  m.n_targets = names->len;
  m.sent_ms = node->now_ms;
  e.body_case = SS__PEER__ENVELOPE__BODY_SUBSCRIBE;
  e.subscribe = &m;
  ss_node_send (node, key, &e);
  return FALSE;
}

static GHashTable *
new_hashes (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
ss_subscription_init (SsNode *node)
{
  node->subscribed = new_hashes ();
}

void
ss_subscription_finish (SsNode *node)
{
  g_hash_table_destroy (node->subscribed);
}

/* While members change many times a second, only the VMs whose list of targets
 * changes with them get a new one.
 */
void
ss_subscription_tick (SsNode *node)
{
  Subscriptions s
      = { .node = node, .renew = node->now_ms >= node->subscribe_due_ms };

  if (!s.renew && node->subscribed_generation == node->members.generation)
    return;
  node->subscribed_generation = node->members.generation;
  if (!node->settled)
    return;
  if (s.renew)
    node->subscribe_due_ms = node->now_ms + SUBSCRIBE_INTERVAL_MS;
  ss_fanout_expire (&node->fanout, node->now_ms);
  s.sent = new_hashes ();
  s.by_source = g_tree_new_full (ss_compare_strings, NULL, NULL,
                                 (GDestroyNotify) g_ptr_array_unref);
  g_tree_foreach (node->config.groups, collect_group, &s);
  g_tree_foreach (s.by_source, send_subscription, &s);
  g_tree_destroy (s.by_source);
  g_hash_table_destroy (node->subscribed);
  node->subscribed = s.sent;
}

void
ss_subscription_changed (SsNode *node)
{
  node->subscribed_generation = 0;
}

/* --- messages --- */

void
ss_subscription_handle (SsNode *node, const char *from,
                        const Ss__Peer__Subscribe *subscribe)
{
  bool passes_on = node->members.relayed && is_in_domain (node, from);

  for (size_t i = 0; i < subscribe->n_targets; i++)
    {
      const char *name = subscribe->targets[i];
      SsOwnedTarget *owned = ss_owner_find (node, name);

      if (owned && owned->active)
        ss_target_monitor_subscribe (node, owned, from, subscribe->sent_ms);
      else if (passes_on && ss_config_target (&node->config, name)
               && ss_fanout_subscribe (&node->fanout, name, from,
                                       subscribe->sent_ms, node->now_ms))
        ss_subscription_changed (node);
    }
}

/* Whether AFTER allows other statements at a target than BEFORE. */
static bool
is_route_changed (const SsServerState *before, const SsServerState *after)
{
  return before->reachable != after->reachable || before->role != after->role
         || before->shown_term != after->shown_term
         || before->follow_term != after->follow_term
         || before->barred_term != after->barred_term;
}

void
ss_subscription_handle_report (SsNode *node,
                               const Ss__Peer__StatusReport *report)
{
  SsTarget *t = ss_config_target (&node->config, report->target);
  SsServerState state;
  SsGroup *group;
  bool urgent;

  if (!t || !report->state)
    return;
  ss_state_unpack (report->state, &state);
  urgent = is_route_changed (&t->state, &state);
  if (!ss_node_is_owner (node, t))
    ss_node_update_state (node, t, &state, report->state->age_ms);
  if (!report->ask)
    {
      t->reported_ms = node->now_ms;
      ss_fanout_note_report (&node->fanout, t->name, urgent);
    }
  /* A position whose time is not known by this VM's clock may be of any age. */
  if (report->mark && report->mark_at_ms)
    ss_confirmed_handle_unsolicited (
        node, t->group, ss_position_unpack (report->mark), report->mark_at_ms);
  if (report->ask)
    ss_quorum_handle_status (node, t, report->ask, &state);
  group = ss_config_group (&node->config, t->group);
  if (!group)
    return;
  ss_quorum_check (node, group);
  if (node->status_waiters)
    ss_pending_wake (node, group->name, SS_WAIT_STATUS);
}
