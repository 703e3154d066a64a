/* relay: hierarchical failure detection, for more VMs than a full mesh of
 * heartbeats serves.
 *
 * A VM sends heartbeats only to the relays of its failure domain.  A relay
 * answers each with a digest: the VMs of its own failure domain that it hears
 * directly, and those of other failure domains that their relays report.
 * Relays of different failure domains send each other reports of the VMs of
 * their own failure domain.  A list that the receiver already has is replaced
 * by its hash.  So the messages of a VM grow with the number of relays, those
 * of a relay with the VMs of its failure domain, and those between failure
 * domains with the number of these.
 *
 * A digest contains nothing learned from another digest, so relays can't keep a
 * dead VM live by repeating each other.
 */
#include <string.h>
#include <xxhash.h>

#include "core/membership.h"

/* A relay gets a full report at least this often, as it may have restarted and
 * lost the previous one.
 */
#define FULL_REPORT_INTERVAL_MS 2000
/* Minimum interval between fetches of a configuration that differs from the
 * relay's.
 */
#define PULL_INTERVAL_MS 1000

/* The last full report that a relay got. */
typedef struct
{
  uint64_t hash;
  int64_t sent_ms;
} FullReport;

void
ss_relay_init (SsNode *node)
{
  ss_relay_views_init (node);
  node->reports
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
ss_relay_finish (SsNode *node)
{
  ss_relay_views_finish (node);
  g_hash_table_destroy (node->reports);
}

/* --- sending digests, reports and heartbeats --- */

typedef struct
{
  SsNode *node;
  bool own_only;    /* only VMs of this failure domain */
  GPtrArray *found; /* of SsMember */
} Collect;

/* Whether a digest or report lists M: this VM itself, a VM of its failure
 * domain that it hears directly, or one of another that its relays report.
 */
static bool
is_known_live (const SsNode *node, const SsMember *m)
{
  if (strcmp (m->vm, node->params.vm) == 0)
    return true;
  if (ss_members_is_in_domain (&node->members, m))
    return node->now_ms - m->heard_ms < SS_MEMBER_HEARTBEAT_TIMEOUT_MS;
  return node->now_ms - m->remote_report_ms < SS_MEMBER_REPORT_TIMEOUT_MS;
}

static gboolean
collect_one (gpointer key, gpointer value, gpointer data)
{
  Collect *c = data;
  SsMember *m = value;

  (void) key;
  if ((!c->own_only || ss_members_is_in_domain (&c->node->members, m))
      && is_known_live (c->node, m))
    g_ptr_array_add (c->found, m);
  return FALSE;
}

static GPtrArray *
collect_live (SsNode *node, bool own_only)
{
  Collect c = { node, own_only, g_ptr_array_new () };

  g_tree_foreach (node->members.by_name, collect_one, &c);
  return c.found;
}

static uint64_t
hash_view (const GPtrArray *vms)
{
  XXH64_hash_t hash = vms->len;

  for (guint i = 0; i < vms->len; i++)
    {
      const SsMember *m = g_ptr_array_index (vms, i);
      uint64_t flags = (m->leaving ? 1U : 0) | (m->platform_up ? 2U : 0)
                       | (uint64_t) m->capacity_millicores << 2;

      hash = XXH3_64bits_withSeed (m->vm, strlen (m->vm), hash + flags);
    }
  return hash;
}

typedef struct
{
  Ss__Peer__VmState *states;
  Ss__Peer__VmState **list;
} PackedStates;

static void
packed_states_init (PackedStates *p, const GPtrArray *vms)
{
  p->states = g_new (Ss__Peer__VmState, vms->len + 1);
  p->list = g_new (Ss__Peer__VmState *, vms->len + 1);
  for (guint i = 0; i < vms->len; i++)
    {
      const SsMember *m = g_ptr_array_index (vms, i);
      Ss__Peer__VmState *s = &p->states[i];

      ss__peer__vm_state__init (s);
      s->vm = m->vm;
      s->failure_domain = m->failure_domain;
      s->ip = m->ip;
      s->peer_port = m->peer_port;
      s->leaving = m->leaving;
      s->platform_up = m->platform_up;
      s->capacity_millicores = m->capacity_millicores;
      p->list[i] = s;
    }
}

static void
packed_states_finish (PackedStates *p)
{
  g_free (p->states);
  g_free (p->list);
}

void
ss_relay_send_digest (SsNode *node, const char *vm, uint64_t known_hash)
{
  GPtrArray *vms = collect_live (node, false);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Digest digest = SS__PEER__DIGEST__INIT;
  PackedStates p;

  packed_states_init (&p, vms);
  digest.hash = hash_view (vms);
  digest.full = digest.hash != known_hash;
  digest.config_hash = node->config.hash;
  digest.sequence = node->config.sequence;
  if (digest.full)
    {
      digest.vms = p.list;
      digest.n_vms = vms->len;
    }
  e.body_case = SS__PEER__ENVELOPE__BODY_DIGEST;
  e.digest = &digest;
  ss_node_send (node, vm, &e);
  packed_states_finish (&p);
  g_ptr_array_free (vms, TRUE);
}

static void
append_domain (gpointer key, gpointer value, gpointer data)
{
  (void) value;
  g_ptr_array_add (data, key);
}

static gboolean
collect_domain (gpointer key, gpointer value, gpointer data)
{
  const SsMember *m = value;

  (void) key;
  g_hash_table_add (data, m->failure_domain);
  return FALSE;
}

typedef struct
{
  const SsNode *node;
  GPtrArray *relays;
} RelayList;

/* Adds the VM if it reports for another failure domain. */
static gboolean
add_reporter (gpointer key, gpointer value, gpointer data)
{
  RelayList *r = data;
  const SsMember *m = value;

  if (r->node->now_ms - m->domain_report_ms < SS_MEMBER_HEARTBEAT_TIMEOUT_MS
      && !ss_members_is_in_domain (&r->node->members, m)
      && !g_ptr_array_find_with_equal_func (r->relays, key, g_str_equal, NULL))
    g_ptr_array_add (r->relays, key);
  return FALSE;
}

typedef struct
{
  const char *failure_domain;
  bool any_live;
  GPtrArray *listed;
} Domain;

static gboolean
collect_listed (gpointer key, gpointer value, gpointer data)
{
  Domain *d = data;
  const SsMember *m = value;

  if (strcmp (m->failure_domain, d->failure_domain) != 0)
    return FALSE;
  d->any_live |= m->live;
  if (m->listed)
    g_ptr_array_add (d->listed, key);
  return d->any_live;
}

/* Adds the relays of FAILURE_DOMAIN.  After a network partition that took all
 * VMs known to be live there, rank does not tell which VMs remain: then every
 * listed VM of the failure domain is tried.
 */
static void
add_relays_of (SsNode *node, const char *failure_domain, GPtrArray *relays)
{
  Domain d = { failure_domain, false, g_ptr_array_new () };

  g_tree_foreach (node->members.by_name, collect_listed, &d);
  if (d.any_live || !ss_members_in_relay_grace (&node->members, node->now_ms))
    ss_members_relays (&node->members, failure_domain, node->now_ms, relays);
  else
    g_ptr_array_extend (relays, d.listed, NULL, NULL);
  g_ptr_array_free (d.listed, TRUE);
}

/* Returns the relays of all other failure domains: those that rank first and
 * those that send reports.  New relays start to report before their
 * predecessors time out here.
 */
static GPtrArray *
other_relays (SsNode *node)
{
  RelayList list = { node, NULL };
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *names = g_ptr_array_new ();
  GPtrArray *relays = g_ptr_array_new ();

  g_tree_foreach (node->members.by_name, collect_domain, domains);
  g_hash_table_foreach (domains, append_domain, names);
  for (guint i = 0; i < names->len; i++)
    {
      const char *domain = g_ptr_array_index (names, i);

      if (strcmp (domain, node->params.failure_domain) != 0)
        add_relays_of (node, domain, relays);
    }
  g_ptr_array_free (names, TRUE);
  g_hash_table_destroy (domains);
  list.relays = relays;
  g_tree_foreach (node->members.by_name, add_reporter, &list);
  return relays;
}

/* Records that RELAY gets a report with HASH now; returns whether the report
 * has to be a full one.
 */
static bool
record_sent_report (SsNode *node, const char *relay, uint64_t hash)
{
  FullReport *last = g_hash_table_lookup (node->reports, relay);

  if (last && last->hash == hash
      && node->now_ms - last->sent_ms < FULL_REPORT_INTERVAL_MS)
    return false;
  last = g_new (FullReport, 1);
  last->hash = hash;
  last->sent_ms = node->now_ms;
  g_hash_table_replace (node->reports, g_strdup (relay), last);
  return true;
}

static gboolean
is_expired_report (gpointer key, gpointer value, gpointer data)
{
  const SsNode *node = data;
  const FullReport *last = value;

  (void) key;
  return node->now_ms - last->sent_ms > FULL_REPORT_INTERVAL_MS;
}

/* Starts or checks the timeout of a relay that is listed but not live. */
static void
update_relay_timeout (SsNode *node, SsMember *m)
{
  if (m->live)
    m->relay_tried_ms = 0;
  else if (!m->relay_tried_ms)
    m->relay_tried_ms = node->now_ms;
  else if (node->now_ms - m->relay_tried_ms >= SS_MEMBER_RELAY_TIMEOUT_MS)
    {
      m->relay_tried_ms = 0;
      m->relay_retry_ms = node->now_ms + SS_MEMBER_RELAY_BACKOFF_MS;
    }
}

static void
send_reports (SsNode *node)
{
  GPtrArray *vms = collect_live (node, true);
  GPtrArray *relays = other_relays (node);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__DomainReport report = SS__PEER__DOMAIN_REPORT__INIT;
  PackedStates p;

  packed_states_init (&p, vms);
  report.failure_domain = (char *) node->params.failure_domain;
  report.hash = hash_view (vms);
  report.sequence = node->config.sequence;
  e.body_case = SS__PEER__ENVELOPE__BODY_DOMAIN_REPORT;
  e.domain_report = &report;
  for (guint i = 0; i < relays->len; i++)
    {
      const char *relay = g_ptr_array_index (relays, i);

      update_relay_timeout (node, ss_members_find (&node->members, relay));
      report.full = record_sent_report (node, relay, report.hash);
      report.vms = p.list;
      report.n_vms = report.full ? vms->len : 0;
      ss_node_send (node, relay, &e);
    }
  g_hash_table_foreach_remove (node->reports, is_expired_report, node);
  packed_states_finish (&p);
  g_ptr_array_free (relays, TRUE);
  g_ptr_array_free (vms, TRUE);
}

static gboolean
add_own_live (gpointer key, gpointer value, gpointer data)
{
  RelayList *r = data;
  const SsMember *m = value;

  if (m->live && ss_members_is_in_domain (&r->node->members, m)
      && strcmp (key, r->node->params.vm) != 0
      && !g_ptr_array_find_with_equal_func (r->relays, key, g_str_equal, NULL))
    g_ptr_array_add (r->relays, key);
  return FALSE;
}

/* Returns the relays of this VM.  In the grace period after the loss of its
 * relays, all other live VMs of its failure domain are added, as the next ones
 * by rank may be lost as well.
 */
static GPtrArray *
own_relays (SsNode *node)
{
  GPtrArray *relays = g_ptr_array_new ();
  RelayList list = { node, relays };

  ss_members_relays (&node->members, node->params.failure_domain, node->now_ms,
                     relays);
  if (ss_members_in_relay_grace (&node->members, node->now_ms))
    g_tree_foreach (node->members.by_name, add_own_live, &list);
  return relays;
}

void
ss_relay_send_heartbeat (SsNode *node, SsEnvelope *heartbeat)
{
  GPtrArray *relays = own_relays (node);
  bool is_relay = false;

  for (guint i = 0; i < relays->len; i++)
    {
      const char *vm = g_ptr_array_index (relays, i);

      if (strcmp (vm, node->params.vm) == 0)
        {
          is_relay = true;
          continue;
        }
      update_relay_timeout (node, ss_members_find (&node->members, vm));
      heartbeat->heartbeat->digest = ss_relay_views_hash (node, vm);
      ss_node_send (node, vm, heartbeat);
    }
  if (is_relay)
    {
      ss_members_record_relay_reply (&node->members, node->now_ms);
      send_reports (node);
    }
  g_ptr_array_free (relays, TRUE);
}

/* --- receiving digests and reports --- */

static void
apply_states (SsNode *node, Ss__Peer__VmState **vms, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const Ss__Peer__VmState *s = vms[i];
      SsMember *m;

      if (!*s->vm || strcmp (s->vm, node->params.vm) == 0 || s->peer_port == 0
          || s->peer_port > 65535)
        continue;
      m = ss_peers_add_member (node, s->vm, s->failure_domain, s->ip,
                               (uint16_t) s->peer_port);
      ss_members_set_capacity (&node->members, m, s->capacity_millicores);
      ss_members_record_report (&node->members, m, s->leaving, s->platform_up,
                                node->now_ms);
    }
}

void
ss_relay_handle_digest (SsNode *node, const char *from,
                        const Ss__Peer__Digest *digest)
{
  SsMember *m = ss_members_find (&node->members, from);

  if (!m)
    return;
  m->heard_ms = node->now_ms;
  ss_members_record_relay_reply (&node->members, node->now_ms);
  if (digest->full)
    {
      apply_states (node, digest->vms, digest->n_vms);
      ss_relay_views_store (node, from, m->failure_domain, digest->hash,
                            digest->vms, digest->n_vms);
    }
  if (digest->hash == ss_relay_views_hash (node, from))
    ss_relay_views_refresh (node, from, false);
  /* A VM that watches the platform may be turned away by it. */
  ss_peers_check_behind (node, from, digest->sequence);
  if (digest->config_hash == node->config.hash)
    node->config_synced_ms = node->now_ms;
  else if (node->now_ms - node->config_synced_ms >= PULL_INTERVAL_MS
           && !ss_watch_is_active (node))
    {
      node->config_synced_ms = node->now_ms;
      ss_config_sync_pull_all (node, from);
    }
}

void
ss_relay_handle_report (SsNode *node, const char *from,
                        const Ss__Peer__DomainReport *report)
{
  SsMember *m = ss_members_find (&node->members, from);

  if (strcmp (report->failure_domain, node->params.failure_domain) == 0)
    return;
  /* The platform may turn away all VMs of this failure domain. */
  ss_peers_check_behind (node, from, report->sequence);
  if (m)
    m->domain_report_ms = node->now_ms;
  if (report->full)
    {
      apply_states (node, report->vms, report->n_vms);
      ss_relay_views_store (node, from, report->failure_domain, report->hash,
                            report->vms, report->n_vms);
    }
  if (report->hash == ss_relay_views_hash (node, from))
    ss_relay_views_refresh (node, from, true);
}
