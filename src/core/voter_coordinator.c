/* voter_coordinator: the coordinator's writes of a group's voters, and the VMs'
 * adoption of them.  What is due is decided by voter_change.c.
 */
#include <stdlib.h>
#include <string.h>

#include "core/config_store.h"
#include "core/peers.h"
#include "core/promotion.h"
#include "core/voter_change.h"

/* Uptime from which this VM changes voters: before, not all servers and VMs may
 * be known.
 */
#define MIN_UPTIME_MS 3000
/* Uptime from which the first voters are written even if a listed server has
 * not been seen to live.
 */
#define FIRST_VOTERS_MS 8000
/* Interval at which the coordinator looks at the voters of a group. */
#define INTERVAL_MS 50
/* A write without a response is repeated after this time. */
#define CALL_TIMEOUT_MS 2000
/* Interval at which VMs are asked and servers are polled during a change. */
#define ASK_INTERVAL_MS 200
/* How long too few servers of the set before must be listed or seen to live
 * until all VMs are asked whether to give up what only the others may hold.
 */
#define SHORT_MS 1000

static char *
voters_key (const char *group)
{
  return g_strconcat (SS_VOTERS_PREFIX, group, NULL);
}

/* --- adoption by the VMs --- */

/* Whether this VM has counted the voters of P's group and promotes a server: a
 * change must not end meanwhile.
 */
static bool
has_counted (const SsPromotion *p)
{
  switch (p ? p->step : SS_PROMOTE_IDLE)
    {
    case SS_PROMOTE_DUTY:
    case SS_PROMOTE_CALL:
    case SS_PROMOTE_LEAD:
    case SS_PROMOTE_NAME:
    case SS_PROMOTE_NAME_READ:
      return true;
    default:
      return false;
    }
}

void
ss_voter_coordinator_handle_ask (SsNode *node, const char *from,
                                 const Ss__Peer__VotersAsk *ask)
{
  const SsVoters *v = ss_config_voters (&node->config, ask->group);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__VotersReply reply = SS__PEER__VOTERS_REPLY__INIT;

  if (!v || v->version < ask->version
      || has_counted (g_tree_lookup (node->promotions, ask->group)))
    return;
  reply.group = ask->group;
  reply.version = ask->version;
  e.body_case = SS__PEER__ENVELOPE__BODY_VOTERS_REPLY;
  e.voters_reply = &reply;
  ss_node_send (node, from, &e);
}

void
ss_voter_coordinator_handle_reply (SsNode *node, const char *from,
                                   const Ss__Peer__VotersReply *reply)
{
  SsPromotion *p = g_tree_lookup (node->promotions, reply->group);

  if (p && p->agreement.adopted && p->agreement.version == reply->version)
    g_hash_table_add (p->agreement.adopted, g_strdup (from));
}

/* Begins to ask which VMs have adopted VERSION, now. */
static void
begin_asking (SsNode *node, SsVoterAgreement *a, int64_t version)
{
  if (!a->adopted)
    a->adopted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_remove_all (a->adopted);
  a->version = version;
  a->vm_list = SS_VM_LIST_WANTED;
  a->asked_ms = 0;
  ss_lease_list_wanted (node);
}

static void
begin_agreement (SsNode *node, SsVoterAgreement *a, int64_t version)
{
  begin_asking (node, a, version);
  a->adopted_ms = 0;
  a->mark = (SsPosition){ 0, 0 };
  a->short_since_ms = 0;
  a->asks_again = false;
}

static bool
all_have_answered (const SsNode *node, const SsVoterAgreement *a)
{
  return a->vm_list == SS_VM_LIST_RECEIVED
         && !ss_directory_has_other (node, a->adopted);
}

/* Asks the VMs that have not answered, and polls the servers once all have. */
static void
ask (SsNode *node, SsVoterAgreement *a, const SsVoters *v, const SsGroup *group)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__VotersAsk ask = SS__PEER__VOTERS_ASK__INIT;

  if (node->now_ms - a->asked_ms < ASK_INTERVAL_MS)
    return;
  a->asked_ms = node->now_ms;
  ss_lease_list_wanted (node);
  ask.group = v->group;
  ask.version = v->version;
  e.body_case = SS__PEER__ENVELOPE__BODY_VOTERS_ASK;
  e.voters_ask = &ask;
  ss_peers_ask (node, &e, a->adopted);
  if (a->adopted_ms)
    ss_coordinator_poll_servers (node, group);
}

/* Records the position of the primary, once it was asked for after all VMs had
 * adopted the change: it covers what they acknowledged before.
 */
static void
update_mark (SsVoterAgreement *a, const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);

  if (a->mark.term || !primary || primary->state_ms <= a->adopted_ms
      || primary->state.role != SS_SERVER_PRIMARY
      || primary->state.follow_term < group->term)
    return;
  a->mark = primary->state.held;
}

/* Tracks whether too few of the set before are among SERVERS.  If so for some
 * time, all VMs are asked again: one that is cut off may reach the others.
 */
static void
update_short (SsNode *node, SsVoterAgreement *a, const SsVoters *v,
              const SsGroup *group, uint32_t servers)
{
  if (ss_group_has_former (group, servers))
    {
      a->short_since_ms = 0;
      a->asks_again = false;
      return;
    }
  if (!a->short_since_ms)
    a->short_since_ms = node->now_ms;
  if (a->asks_again || node->now_ms - a->short_since_ms < SHORT_MS)
    return;
  a->asks_again = true;
  begin_asking (node, a, v->version);
}

static void
update_agreement (SsNode *node, SsVoterAgreement *a, const SsVoters *v,
                  const SsGroup *group, uint32_t servers)
{
  if (a->version != v->version)
    begin_agreement (node, a, v->version);
  if (!a->adopted_ms && all_have_answered (node, a))
    {
      a->adopted_ms = node->now_ms;
      a->asked_ms = 0;
    }
  ask (node, a, v, group);
  if (!a->adopted_ms)
    return;
  update_mark (a, group);
  update_short (node, a, v, group, servers);
}

/* --- writes --- */

static void
write_voters (SsNode *node, SsVoterAgreement *a, const SsVoters *next)
{
  char *key = voters_key (next->group);
  char *text = ss_voters_text (next);

  a->call = ++node->next_call;
  a->call_ms = node->now_ms;
  ss_platform_put (node, a->call, key, text,
                   ss_config_expected_version (&node->config, key));
  free (text);
  g_free (key);
}

static void
log_step (SsNode *node, SsVoterStep step, const SsVoters *next,
          const SsVoterAgreement *a)
{
  SsLogEvent event = step == SS_VOTER_STEP_BEGIN  ? SS_EVENT_LOG_VOTERS_CHANGED
                     : step == SS_VOTER_STEP_LOST ? SS_EVENT_LOG_VOTERS_LOST
                                                  : SS_EVENT_LOG_VOTERS_SETTLED;
  GString *names = g_string_new (NULL);

  for (guint i = 0; i < next->current->len; i++)
    g_string_append_printf (
        names, "%s%s", i ? "," : "",
        ((const SsVoter *) g_ptr_array_index (next->current, i))->name);
  ss_node_log (node, event, next->group,
               "generation=%" G_GUINT64_FORMAT " voters=%s former=%u"
               " adopted=%u mark=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
               next->generation, names->str, next->former->len,
               a->adopted ? g_hash_table_size (a->adopted) : 0, a->mark.term,
               a->mark.offset);
  g_string_free (names, TRUE);
}

/* Writes the voters again that the platform, restored from a copy, has lost. */
static bool
rewrite (SsNode *node, SsVoterAgreement *a, const SsVoters *v)
{
  char *key = voters_key (v->group);
  bool lost = ss_config_is_lost (&node->config, key);
  SsVoters next = *v; /* borrows the sets */

  g_free (key);
  if (!lost)
    return false;
  next.generation++;
  write_voters (node, a, &next);
  return true;
}

/* Whether no other VM's promotion runs: it counts the voters that it knows. */
static bool
is_undisturbed (const SsPromotion *p, const SsGroup *group)
{
  if (*group->primary)
    return p->step == SS_PROMOTE_IDLE;
  return (p->step == SS_PROMOTE_IDLE || p->step == SS_PROMOTE_RAISE)
         && strcmp (group->operation, p->operation) == 0;
}

static bool
may_change (const SsNode *node, const SsPromotion *p, const SsGroup *group)
{
  return node->dialect->platform_promotes && node->coordinates
         && !node->stopping && !node->platform_down && group->version
         && node->now_ms - node->started_ms >= MIN_UPTIME_MS
         && node->watches[SS_WATCH_TARGETS].complete
         && node->watches[SS_WATCH_VOTERS].complete && node->listed_version
         && is_undisturbed (p, group);
}

/* Returns the servers that are to be voters, as a bit set: those that are seen
 * to live, and voters that are listed.  An entry alone makes no voter: nobody
 * may run there.
 */
static uint32_t
voters_to_be (const SsNode *node, const SsVoters *v, const SsGroup *group)
{
  uint32_t servers = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      if (ss_coordinator_sees (node, t)
          || (!t->unlisted && v && ss_voters_contain (v, t)))
        servers |= 1U << i;
    }
  return servers;
}

/* Whether the first voters of GROUP are to wait for servers that start. */
static bool
waits_for_servers (const SsNode *node, const SsGroup *group, uint32_t servers)
{
  return servers != (1U << group->server_count) - 1
         && node->now_ms - node->started_ms < FIRST_VOTERS_MS;
}

void
ss_voter_coordinator_tick (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  SsVoterAgreement *a = &p->agreement;
  const SsVoters *v = ss_config_voters (&node->config, group->name);
  SsVoterView view = { .voters = v, .group = group };
  SsVoters *next;
  SsVoterStep step;

  if (node->now_ms < a->due_ms)
    return;
  a->due_ms = node->now_ms + INTERVAL_MS;
  if (!may_change (node, p, group)
      || (a->call && node->now_ms - a->call_ms < CALL_TIMEOUT_MS)
      || (v && rewrite (node, a, v)))
    return;
  view.targets = ss_config_group_targets (&node->config, group->name);
  view.servers = voters_to_be (node, v, group);
  if (!v && waits_for_servers (node, group, view.servers))
    return;
  if (v && v->former->len)
    update_agreement (node, a, v, group, view.servers);
  view.is_adopted = a->adopted_ms != 0;
  view.is_replicated = a->mark.term && ss_voter_change_holds (group, a->mark);
  view.is_short = a->asks_again && all_have_answered (node, a);
  step = ss_voter_change_next (&view, &next);
  if (step == SS_VOTER_STEP_NONE)
    return;
  log_step (node, step, next, a);
  write_voters (node, a, next);
  ss_voters_free (next);
}

static gboolean
end_call (gpointer key, gpointer value, gpointer data)
{
  SsPromotion *p = value;

  (void) key;
  if (p->agreement.call != *(uint64_t *) data)
    return FALSE;
  p->agreement.call = 0;
  return TRUE;
}

void
ss_voter_coordinator_handle_object (SsNode *node, uint64_t call,
                                    SsPlatformOutcome outcome,
                                    const SsObject *object)
{
  if (!object->key || !g_str_has_prefix (object->key, SS_VOTERS_PREFIX))
    return;
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    ss_config_sync_publish (node, object);
  if (outcome == SS_PLATFORM_ABSENT)
    ss_config_record_absent (&node->config, object->key, node->now_ms);
  /* Without an answer the write may still take effect: it is repeated later. */
  if (outcome != SS_PLATFORM_UNKNOWN)
    g_tree_foreach (node->promotions, end_call, &call);
}
