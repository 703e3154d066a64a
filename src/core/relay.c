/* relay: who lives, where there are too many vms for each to hear all.
 *
 * A vm sends heartbeats to the relays of its failure domain only.  A relay
 * answers each with a digest: the vms of its own failure domain that it hears
 * itself, and those of others that their relays report.  Relays of different
 * failure domains send each other reports of their own.  What the receiver
 * has already goes as a hash.  So a vm's messages grow with the relays, a
 * relay's with the vms of its failure domain, and what goes between failure
 * domains with their number.
 *
 * A digest holds nothing that came from another digest: a vm that is gone
 * can't be kept alive by relays that repeat each other.
 */
#include <string.h>
#include <xxhash.h>

#include "core/internal.h"

/* A report in full at the latest after this, for relays that have begun anew.
 */
#define REPORT_FULL_MS 2000
/* Another configuration than a relay's is fetched this often at most. */
#define PULL_AGAIN_MS 1000

/* The vms that a peer last sent in full. */
typedef struct
{
  uint64_t hash;
  GPtrArray *vms; /* of names */
} View;

static void
free_view (gpointer data)
{
  View *v = data;

  g_ptr_array_unref (v->vms);
  g_free (v);
}

void
ss_relay_init (SsNode *node)
{
  node->views
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_view);
}

void
ss_relay_finish (SsNode *node)
{
  g_hash_table_destroy (node->views);
}

/* --- what this vm tells --- */

typedef struct
{
  SsNode *node;
  bool own_only;
  GPtrArray *found; /* of SsMember */
} Collect;

static bool
is_own (const SsNode *node, const SsMember *m)
{
  return strcmp (m->failure_domain, node->params.failure_domain) == 0;
}

static bool
is_known_live (const SsNode *node, const SsMember *m)
{
  if (strcmp (m->vm, node->params.vm) == 0)
    return true;
  if (is_own (node, m))
    return node->now_ms - m->heard_ms < SS_MEMBER_SILENCE_MS;
  return node->now_ms - m->remote_ms < SS_MEMBER_REPORTED_MS;
}

static gboolean
collect_one (gpointer key, gpointer value, gpointer data)
{
  Collect *c = data;
  SsMember *m = value;

  (void) key;
  if ((!c->own_only || is_own (c->node, m)) && is_known_live (c->node, m))
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
      uint64_t flags = (m->leaving ? 1U : 0) | (m->platform_up ? 2U : 0);

      hash = XXH3_64bits_withSeed (m->vm, strlen (m->vm), hash + flags);
    }
  return hash;
}

typedef struct
{
  Ss__Peer__VmState *states;
  Ss__Peer__VmState **list;
} Packed;

static void
packed_init (Packed *p, const GPtrArray *vms)
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
      p->list[i] = s;
    }
}

static void
packed_finish (Packed *p)
{
  g_free (p->states);
  g_free (p->list);
}

void
ss_relay_answer (SsNode *node, const char *vm, uint64_t known_hash)
{
  GPtrArray *vms = collect_live (node, false);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Digest digest = SS__PEER__DIGEST__INIT;
  Packed p;

  packed_init (&p, vms);
  digest.hash = hash_view (vms);
  digest.full = digest.hash != known_hash;
  digest.config_hash = node->config.hash;
  if (digest.full)
    {
      digest.vms = p.list;
      digest.n_vms = vms->len;
    }
  e.body_case = SS__PEER__ENVELOPE__BODY_DIGEST;
  e.digest = &digest;
  ss_node_send (node, vm, &e);
  packed_finish (&p);
  g_ptr_array_free (vms, TRUE);
}

static void
add_domain (gpointer key, gpointer value, gpointer data)
{
  (void) value;
  g_ptr_array_add (data, key);
}

static gboolean
note_domain (gpointer key, gpointer value, gpointer data)
{
  const SsMember *m = value;

  (void) key;
  g_hash_table_add (data, m->failure_domain);
  return FALSE;
}

/* The relays of all other failure domains. */
static GPtrArray *
other_relays (SsNode *node)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *names = g_ptr_array_new ();
  GPtrArray *relays = g_ptr_array_new ();

  g_tree_foreach (node->members.by_name, note_domain, domains);
  g_hash_table_foreach (domains, add_domain, names);
  for (guint i = 0; i < names->len; i++)
    {
      const char *domain = g_ptr_array_index (names, i);

      if (strcmp (domain, node->params.failure_domain) != 0)
        ss_members_relays (&node->members, domain, node->now_ms, relays);
    }
  g_ptr_array_free (names, TRUE);
  g_hash_table_destroy (domains);
  return relays;
}

static void
send_reports (SsNode *node)
{
  GPtrArray *vms = collect_live (node, true);
  GPtrArray *relays = other_relays (node);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__DomainReport report = SS__PEER__DOMAIN_REPORT__INIT;
  Packed p;

  packed_init (&p, vms);
  report.failure_domain = (char *) node->params.failure_domain;
  report.hash = hash_view (vms);
  report.full = report.hash != node->report_hash
                || node->now_ms - node->report_full_ms >= REPORT_FULL_MS;
  if (report.full)
    {
      report.vms = p.list;
      report.n_vms = vms->len;
      node->report_hash = report.hash;
      node->report_full_ms = node->now_ms;
    }
  e.body_case = SS__PEER__ENVELOPE__BODY_DOMAIN_REPORT;
  e.domain_report = &report;
  for (guint i = 0; i < relays->len; i++)
    ss_node_send (node, g_ptr_array_index (relays, i), &e);
  packed_finish (&p);
  g_ptr_array_free (relays, TRUE);
  g_ptr_array_free (vms, TRUE);
}

static uint64_t
known_hash (const SsNode *node, const char *vm)
{
  const View *v = g_hash_table_lookup (node->views, vm);

  return v ? v->hash : 0;
}

/* A relay that is only listed has to answer. */
static void
note_try (SsNode *node, SsMember *m)
{
  if (m->live)
    m->relay_tried_ms = 0;
  else if (!m->relay_tried_ms)
    m->relay_tried_ms = node->now_ms;
  else if (node->now_ms - m->relay_tried_ms >= SS_MEMBER_RELAY_TRY_MS)
    {
      m->relay_tried_ms = 0;
      m->relay_again_ms = node->now_ms + SS_MEMBER_RELAY_AGAIN_MS;
    }
}

void
ss_relay_beat (SsNode *node, SsEnvelope *beat)
{
  GPtrArray *relays = g_ptr_array_new ();
  bool relays_here = false;

  ss_members_relays (&node->members, node->params.failure_domain, node->now_ms,
                     relays);
  for (guint i = 0; i < relays->len; i++)
    {
      const char *vm = g_ptr_array_index (relays, i);

      if (strcmp (vm, node->params.vm) == 0)
        {
          relays_here = true;
          continue;
        }
      note_try (node, ss_members_find (&node->members, vm));
      beat->heartbeat->digest = known_hash (node, vm);
      ss_node_send (node, vm, beat);
    }
  if (relays_here)
    send_reports (node);
  g_ptr_array_free (relays, TRUE);
}

/* --- what others tell --- */

static void
keep_view (SsNode *node, const char *from, uint64_t hash,
           Ss__Peer__VmState **vms, size_t count)
{
  View *v = g_new0 (View, 1);

  v->hash = hash;
  v->vms = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (v->vms, g_strdup (vms[i]->vm));
  g_hash_table_replace (node->views, g_strdup (from), v);
}

static void
take_states (SsNode *node, Ss__Peer__VmState **vms, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const Ss__Peer__VmState *s = vms[i];
      SsMember *m;

      if (!*s->vm || strcmp (s->vm, node->params.vm) == 0 || s->peer_port == 0
          || s->peer_port > 65535)
        continue;
      m = ss_spread_add_member (node, s->vm, s->failure_domain, s->ip,
                                (uint16_t) s->peer_port);
      ss_members_reported (&node->members, m, s->leaving, s->platform_up,
                           node->now_ms);
    }
}

/* The vms of FROM's last full list are live still; REMOTE: it relays for
 * their failure domain.
 */
static void
refresh (SsNode *node, const char *from, bool remote)
{
  const View *v = g_hash_table_lookup (node->views, from);

  for (guint i = 0; v && i < v->vms->len; i++)
    {
      SsMember *m
          = ss_members_find (&node->members, g_ptr_array_index (v->vms, i));

      if (!m)
        continue;
      m->reported_ms = node->now_ms;
      if (remote)
        m->remote_ms = node->now_ms;
    }
}

void
ss_relay_digest (SsNode *node, const char *from, const Ss__Peer__Digest *digest)
{
  SsMember *m = ss_members_find (&node->members, from);

  if (!m)
    return;
  m->heard_ms = node->now_ms;
  if (digest->full)
    {
      take_states (node, digest->vms, digest->n_vms);
      keep_view (node, from, digest->hash, digest->vms, digest->n_vms);
    }
  if (digest->hash == known_hash (node, from))
    refresh (node, from, false);
  if (digest->config_hash == node->config.hash)
    node->config_differs_ms = node->now_ms;
  else if (node->now_ms - node->config_differs_ms >= PULL_AGAIN_MS
           && !ss_spread_watches (node))
    {
      node->config_differs_ms = node->now_ms;
      ss_spread_pull_all (node, from);
    }
}

void
ss_relay_report (SsNode *node, const char *from,
                 const Ss__Peer__DomainReport *report)
{
  if (strcmp (report->failure_domain, node->params.failure_domain) == 0)
    return;
  if (report->full)
    {
      take_states (node, report->vms, report->n_vms);
      keep_view (node, from, report->hash, report->vms, report->n_vms);
    }
  if (report->hash == known_hash (node, from))
    refresh (node, from, true);
}
