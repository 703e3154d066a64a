#include <string.h>

#include "core/peers.h"
#include "core/settling.h"
#include "core/version.h"

/* A heartbeat lists the VMs that were heard within this time. */
#define HEARD_WITHIN_MS 600
/* Uptime from which this VM may be ready. */
#define READY_AFTER_MS 500
/* As READY_AFTER_MS, once all platform objects are listed: only the peers'
 * first heartbeats are missing then.
 */
#define READY_AFTER_LISTING_MS 150
/* A change reaches all VMs within less than this, unless a VM's watch is
 * silent.
 */
#define BEHIND_MS 400
/* Interval of further requests: this VM may refuse what the peer has in force.
 */
#define BEHIND_RETRY_MS 2000
/* Name prefix of a peer known only by its address. */
#define SEED_PREFIX "@"

bool
ss_peers_is_self (const SsNode *node, const char *vm)
{
  return strcmp (vm, node->params.vm) == 0;
}

typedef struct
{
  SsNode *node;
  SsPeerVisitor visit;
  void *data;
} VisitContext;

static gboolean
visit_peer (gpointer key, gpointer value, gpointer data)
{
  VisitContext *v = data;

  if (!ss_peers_is_self (v->node, key))
    v->visit (v->node, value, v->data);
  return FALSE;
}

void
ss_peers_visit (SsNode *node, SsPeerVisitor visit, void *data)
{
  VisitContext v = { node, visit, data };

  g_tree_foreach (node->members.by_name, visit_peer, &v);
}

typedef struct
{
  SsEnvelope *envelope;
  GHashTable *answered;
} AskContext;

static void
ask_peer (SsNode *node, SsMember *member, void *data)
{
  const AskContext *c = data;

  if (!g_hash_table_contains (c->answered, member->vm))
    ss_node_send (node, member->vm, c->envelope);
}

void
ss_peers_ask (SsNode *node, SsEnvelope *envelope, GHashTable *answered)
{
  AskContext c = { envelope, answered };

  ss_peers_visit (node, ask_peer, &c);
}

/* --- peers' addresses --- */

static void
push_address (SsNode *node, const char *vm, const char *ip, uint16_t port)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PEER_ADDRESS);

  a->name = g_strdup (vm);
  a->text = g_strdup (ip);
  a->port = port;
}

SsMember *
ss_peers_add_member (SsNode *node, const char *vm, const char *failure_domain,
                     const char *ip, uint16_t port)
{
  SsMember *m = ss_members_find (&node->members, vm);
  bool is_new = !m;
  bool moved = !m || strcmp (m->ip, ip) != 0 || m->peer_port != port;

  m = ss_members_add (&node->members, vm, failure_domain, ip, port);
  if (is_new)
    m->added_ms = node->now_ms;
  /* Peers answer sooner if they are told at once that this VM has started. */
  if (is_new && !node->settled)
    node->heartbeat_due_ms = node->now_ms;
  if (moved && !ss_peers_is_self (node, vm))
    push_address (node, vm, ip, port);
  return m;
}

/* Whether there are too many VMs for a full mesh of heartbeats. */
static bool
is_relayed (const SsNode *node)
{
  return !ss_watch_is_single (node)
         && node->members.known_others >= SS_MEMBERS_MESH_MAX;
}

/* --- heartbeats --- */

static void
collect_heard (SsNode *node, SsMember *member, void *data)
{
  if (node->now_ms - member->heard_ms < HEARD_WITHIN_MS)
    g_ptr_array_add (data, member->vm);
}

static void
send_heartbeat (SsNode *node, SsMember *member, void *data)
{
  ss_node_send (node, member->vm, data);
}

static void
send_to_seeds (SsNode *node, SsEnvelope *e)
{
  char **seeds = g_strsplit (node->params.seeds, " ", -1);

  for (uint32_t i = 0; seeds[i]; i++)
    {
      char **parts = g_strsplit (seeds[i], ":", 2);

      if (g_strv_length (parts) == 2)
        {
          char *name = g_strconcat (SEED_PREFIX, seeds[i], NULL);
          uint64_t port = g_ascii_strtoull (parts[1], NULL, 10);

          if (node->params.seed_port)
            port = node->params.seed_port;
          push_address (node, name, parts[0], (uint16_t) port);
          ss_node_send (node, name, e);
          g_free (name);
        }
      g_strfreev (parts);
    }
  g_strfreev (seeds);
}

void
ss_peers_send_heartbeat (SsNode *node)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat heartbeat = SS__PEER__HEARTBEAT__INIT;
  GPtrArray *heard = g_ptr_array_new ();

  node->heartbeat_due_ms = node->now_ms + node->params.timing.heartbeat_ms;
  if (!node->members.relayed)
    ss_peers_visit (node, collect_heard, heard);
  heartbeat.vm = (char *) node->params.vm;
  heartbeat.failure_domain = (char *) node->params.failure_domain;
  heartbeat.ip = (char *) node->params.ip;
  heartbeat.peer_port = node->params.peer_port;
  heartbeat.leaving = node->stopping;
  heartbeat.revision = node->config.revision;
  heartbeat.sequence = node->config.sequence;
  heartbeat.heard = (char **) heard->pdata;
  heartbeat.n_heard = heard->len;
  heartbeat.ready = node->ready;
  heartbeat.capacity_millicores = node->params.capacity_millicores;
  heartbeat.platform_up = ss_watch_is_active (node) && !node->platform_down;
  if (node->platform_contact_ms)
    heartbeat.contact_age_ms
        = (uint32_t) MIN (node->now_ms - node->platform_contact_ms, G_MAXINT32)
          + 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &heartbeat;
  if (node->members.relayed)
    ss_relay_send_heartbeat (node, &e);
  else
    ss_peers_visit (node, send_heartbeat, &e);
  if (!node->ready && heard->len == 0)
    send_to_seeds (node, &e);
  g_ptr_array_free (heard, TRUE);
}

/* This does not depend on the watches: the one of the routes may be silent
 * while others are answered.
 */
void
ss_peers_check_behind (SsNode *node, const char *vm, int64_t sequence)
{
  if (sequence <= node->config.sequence)
    return;
  if (!node->behind_due_ms || node->behind_sequence != node->config.sequence)
    {
      node->behind_sequence = node->config.sequence;
      node->behind_due_ms = node->now_ms + (node->ready ? BEHIND_MS : 0);
    }
  if (node->now_ms < node->behind_due_ms)
    return;
  node->behind_due_ms = node->now_ms + BEHIND_RETRY_MS;
  ss_config_sync_pull_operator (node, vm);
}

/* A VM with its own watches pulls from peers only while the watches do not
 * deliver.
 */
static bool
pulls_from_peers (const SsNode *node)
{
  return ss_watch_is_single (node) || node->platform_down || !node->ready;
}

void
ss_peers_handle_heartbeat (SsNode *node, const Ss__Peer__Heartbeat *heartbeat)
{
  SsMember *m;

  if (!*heartbeat->vm || ss_peers_is_self (node, heartbeat->vm)
      || heartbeat->peer_port > 65535)
    return;
  m = ss_peers_add_member (node, heartbeat->vm, heartbeat->failure_domain,
                           heartbeat->ip, (uint16_t) heartbeat->peer_port);
  ss_members_record_heartbeat (&node->members, m, heartbeat->leaving,
                               heartbeat->heard, heartbeat->n_heard,
                               node->now_ms);
  if (heartbeat->contact_age_ms)
    ss_contact_learn (node, m, heartbeat->contact_age_ms - 1);
  ss_members_set_capacity (&node->members, m, heartbeat->capacity_millicores);
  ss_members_set_platform_up (&node->members, m, heartbeat->platform_up);
  if (node->members.relayed && ss_members_is_in_domain (&node->members, m))
    {
      ss_relay_send_digest (node, heartbeat->vm, heartbeat->digest);
      ss_config_sync_push_late (node, m, heartbeat->sequence);
    }
  ss_era_observe (node, ss_version_era (heartbeat->revision), heartbeat->vm);
  ss_peers_check_behind (node, heartbeat->vm, heartbeat->sequence);
  if (heartbeat->revision > node->config.revision && pulls_from_peers (node))
    ss_config_sync_pull_newer (node, heartbeat->vm);
}

/* --- ticks --- */

static void
on_member_changed (void *data, const SsMember *member)
{
  SsNode *node = data;

  ss_node_log (node,
               member->live ? SS_EVENT_LOG_VM_FOUND : SS_EVENT_LOG_VM_LOST,
               member->vm, "failure_domain=%s", member->failure_domain);
  if (!member->live)
    g_queue_push_tail (&node->lost_vms, g_strdup (member->vm));
}

static void
count_other (SsNode *node, SsMember *member, void *data)
{
  SsSettlingView *view = data;

  (void) node;
  if (!member->listed)
    return;
  view->others++;
  view->others_live += member->live ? 1 : 0;
}

static void
check_settled (SsNode *node)
{
  SsSettlingView view = { .uptime_ms = node->now_ms - node->started_ms,
                          .listed = node->watches[SS_WATCH_VMS].complete };

  if (node->settled)
    return;
  ss_peers_visit (node, count_other, &view);
  if (view.others && !node->others_since_ms)
    node->others_since_ms = node->now_ms;
  if (view.others)
    view.known_ms = node->now_ms - node->others_since_ms;
  if (!ss_settling_is_over (&view))
    return;
  node->settled = true;
  node->members.generation++;
  ss_node_log (node, SS_EVENT_LOG_SETTLED, node->params.vm,
               "ms=%" G_GINT64_FORMAT " others=%u live=%u", view.uptime_ms,
               view.others, view.others_live);
}

static void
check_ready (SsNode *node)
{
  int64_t after_ms = ss_watch_is_complete (node) && !ss_watch_is_single (node)
                         ? READY_AFTER_LISTING_MS
                         : READY_AFTER_MS;

  if (node->ready || !node->settled
      || node->now_ms - node->started_ms < after_ms
      || g_tree_nnodes (node->config.services) == 0
      || g_tree_nnodes (node->config.targets) == 0)
    return;
  node->ready = true;
  ss_node_log (node, SS_EVENT_LOG_READY, node->params.vm,
               "revision=" SS_VERSION_FORMAT,
               SS_VERSION_ARGS (node->config.revision));
}

void
ss_peers_update_members (SsNode *node)
{
  ss_members_set_platform_up (&node->members, node->members.self_member,
                              ss_watch_is_active (node)
                                  && !node->platform_down);
  node->members.relayed = is_relayed (node);
  ss_members_update (&node->members, node->now_ms, on_member_changed, node);
  check_settled (node);
}

void
ss_peers_tick (SsNode *node)
{
  if (node->now_ms >= node->heartbeat_due_ms)
    ss_peers_send_heartbeat (node);
  if (!ss_watch_is_single (node) || ss_watch_is_active (node))
    ss_watch_tick (node);
  if (g_hash_table_size (node->pending_deletions))
    ss_config_sync_delete_expired (node);
  check_ready (node);
}
