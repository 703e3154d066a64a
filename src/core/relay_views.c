/* relay_views: which VMs the relays report as live.
 *
 * A relay sends its full list of live VMs when the list changed, and otherwise
 * only the hash of the list.
 */
#include <string.h>

#include "core/membership.h"

/* The last full list of live VMs from a relay. */
typedef struct
{
  uint64_t hash;
  int64_t confirmed_ms; /* when the relay last confirmed it */
  GHashTable *vms;      /* name of a VM -> its Flags */
} View;

/* What a relay reports of a VM.  Never 0, as GLib's tables take 0 for absent.
 */
typedef enum
{
  FLAG_LISTED = 1,
  FLAG_LEAVING = 2,
  FLAG_PLATFORM_UP = 4,
  FLAG_PENDING = 8 /* not applied: the VM's own heartbeat was newer */
} Flags;

static void
free_view (gpointer data)
{
  View *v = data;

  g_hash_table_unref (v->vms);
  g_free (v);
}

void
ss_relay_views_init (SsNode *node)
{
  node->relay_views
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_view);
}

void
ss_relay_views_finish (SsNode *node)
{
  g_hash_table_destroy (node->relay_views);
}

uint64_t
ss_relay_views_hash (const SsNode *node, const char *vm)
{
  const View *v = g_hash_table_lookup (node->relay_views, vm);

  return v ? v->hash : 0;
}

/* Whether a relay of FAILURE_DOMAIN currently reports VM as live. */
static bool
is_reported_live (SsNode *node, const char *failure_domain, const char *vm)
{
  GHashTableIter iter;
  gpointer relay;
  gpointer view;

  g_hash_table_iter_init (&iter, node->relay_views);
  while (g_hash_table_iter_next (&iter, &relay, &view))
    {
      const View *v = view;
      const SsMember *m = ss_members_find (&node->members, relay);

      if (node->now_ms - v->confirmed_ms < SS_MEMBER_HEARTBEAT_TIMEOUT_MS
          && g_hash_table_contains (v->vms, vm) && m
          && strcmp (m->failure_domain, failure_domain) == 0)
        return true;
    }
  return false;
}

/* Expires the reports of the VMs in BEFORE, the previous list of a relay of
 * FAILURE_DOMAIN, that no relay there lists any longer, so that they count as
 * dead without a further timeout.
 */
static void
expire_omitted (SsNode *node, const char *failure_domain, GHashTable *before)
{
  int64_t expired_ms = node->now_ms - SS_MEMBER_REPORT_TIMEOUT_MS;
  GHashTableIter iter;
  gpointer vm;

  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &vm, NULL))
    {
      SsMember *m = ss_members_find (&node->members, vm);

      if (!m || is_reported_live (node, failure_domain, vm))
        continue;
      m->reported_ms = MIN (m->reported_ms, expired_ms);
      m->remote_report_ms = MIN (m->remote_report_ms, expired_ms);
    }
}

static bool
is_heartbeat_recent (const SsNode *node, const SsMember *m)
{
  return node->now_ms - m->heartbeat_ms < SS_MEMBER_HEARTBEAT_TIMEOUT_MS;
}

static guint
flags_of (const SsNode *node, const Ss__Peer__VmState *s)
{
  const SsMember *m = ss_members_find (&node->members, s->vm);

  return FLAG_LISTED | (s->leaving ? FLAG_LEAVING : 0)
         | (s->platform_up ? FLAG_PLATFORM_UP : 0)
         | (m && is_heartbeat_recent (node, m) ? FLAG_PENDING : 0);
}

/* Applies what was not applied when the list arrived; once, as it gets old.
 * Returns the flags that are left.
 */
static guint
apply_pending (SsNode *node, SsMember *m, guint flags)
{
  if (!(flags & FLAG_PENDING) || is_heartbeat_recent (node, m))
    return flags;
  ss_members_record_report (&node->members, m, (flags & FLAG_LEAVING) != 0,
                            (flags & FLAG_PLATFORM_UP) != 0, node->now_ms);
  return flags & ~(guint) FLAG_PENDING;
}

void
ss_relay_views_store (SsNode *node, const char *from,
                      const char *failure_domain, uint64_t hash,
                      Ss__Peer__VmState **vms, size_t count)
{
  const View *before = g_hash_table_lookup (node->relay_views, from);
  GHashTable *listed = before ? g_hash_table_ref (before->vms) : NULL;
  View *v = g_new0 (View, 1);

  v->hash = hash;
  v->confirmed_ms = node->now_ms;
  v->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < count; i++)
    g_hash_table_insert (v->vms, g_strdup (vms[i]->vm),
                         GUINT_TO_POINTER (flags_of (node, vms[i])));
  g_hash_table_replace (node->relay_views, g_strdup (from), v);
  if (!listed)
    return;
  expire_omitted (node, failure_domain, listed);
  g_hash_table_unref (listed);
}

void
ss_relay_views_refresh (SsNode *node, const char *from, bool remote)
{
  View *v = g_hash_table_lookup (node->relay_views, from);
  GHashTableIter iter;
  gpointer vm;
  gpointer value;

  if (!v)
    return;
  v->confirmed_ms = node->now_ms;
  g_hash_table_iter_init (&iter, v->vms);
  while (g_hash_table_iter_next (&iter, &vm, &value))
    {
      SsMember *m = ss_members_find (&node->members, vm);

      if (!m || m == node->members.self_member)
        continue;
      g_hash_table_iter_replace (
          &iter,
          GUINT_TO_POINTER (apply_pending (node, m, GPOINTER_TO_UINT (value))));
      m->reported_ms = node->now_ms;
      if (remote)
        m->remote_report_ms = node->now_ms;
    }
}
