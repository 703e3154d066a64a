#include "core/members.h"

#include <string.h>

#include "core/roles.h"
#include "kernel/compare.h"

static void
member_free (gpointer data)
{
  SsMember *m = data;

  g_free (m->vm);
  g_free (m->failure_domain);
  g_free (m->ip);
  g_hash_table_destroy (m->heard);
  g_free (m);
}

void
ss_members_init (SsMembers *members, const char *vm, const char *failure_domain,
                 const char *ip, uint16_t peer_port, int64_t now_ms)
{
  SsMember *self;

  members->by_name
      = g_tree_new_full (ss_compare_strings, NULL, NULL, member_free);
  members->self = g_strdup (vm);
  members->failure_domain = g_strdup (failure_domain);
  members->generation = 1;
  members->platform_generation = 1;
  members->known_others = 0;
  members->converged_known = false;
  members->relayed = false;
  members->relay_reply_ms = 0;
  members->relay_grace_until_ms = 0;
  members->roles = ss_roles_new ();
  self = ss_members_add (members, vm, failure_domain, ip, peer_port);
  self->live = true;
  self->heard_ms = now_ms;
  members->self_member = self;
}

void
ss_members_finish (SsMembers *members)
{
  ss_roles_free (members->roles);
  g_tree_destroy (members->by_name);
  g_free (members->self);
  g_free (members->failure_domain);
}

SsMember *
ss_members_find (const SsMembers *members, const char *vm)
{
  return g_tree_lookup (members->by_name, vm);
}

bool
ss_members_is_in_domain (const SsMembers *members, const SsMember *member)
{
  return member
         && strcmp (member->failure_domain, members->failure_domain) == 0;
}

SsMember *
ss_members_add (SsMembers *members, const char *vm, const char *failure_domain,
                const char *ip, uint16_t peer_port)
{
  SsMember *m = ss_members_find (members, vm);

  if (!m)
    {
      m = g_new0 (SsMember, 1);
      m->vm = g_strdup (vm);
      m->capacity_millicores = SS_MEMBER_CAPACITY_MILLICORES;
      m->heard_ms = INT64_MIN / 2;
      m->heartbeat_ms = INT64_MIN / 2;
      m->reported_ms = INT64_MIN / 2;
      m->remote_report_ms = INT64_MIN / 2;
      m->domain_report_ms = INT64_MIN / 2;
      m->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_tree_insert (members->by_name, m->vm, m);
    }
  if (g_strcmp0 (m->failure_domain, failure_domain) != 0)
    {
      members->converged_known = false;
      members->generation++;
    }
  g_free (m->failure_domain);
  g_free (m->ip);
  m->failure_domain = g_strdup (failure_domain);
  m->ip = g_strdup (ip);
  m->peer_port = peer_port;
  return m;
}

void
ss_members_set_capacity (SsMembers *members, SsMember *member,
                         uint32_t capacity_millicores)
{
  if (!capacity_millicores)
    capacity_millicores = SS_MEMBER_CAPACITY_MILLICORES;
  if (member->capacity_millicores != capacity_millicores)
    members->generation++;
  member->capacity_millicores = capacity_millicores;
}

void
ss_members_record_heartbeat (SsMembers *members, SsMember *member, bool leaving,
                             char **heard, size_t count, int64_t now_ms)
{
  member->heard_ms = now_ms;
  member->heartbeat_ms = now_ms;
  if (member->leaving != leaving)
    members->generation++;
  member->leaving = leaving;
  g_hash_table_remove_all (member->heard);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (member->heard, g_strdup (heard[i]));
}

void
ss_members_record_disconnect (SsMembers *members, const char *vm,
                              int64_t now_ms)
{
  SsMember *m = ss_members_find (members, vm);
  int64_t heard_ms = now_ms - SS_MEMBER_HEARTBEAT_TIMEOUT_MS
                     + SS_MEMBER_DISCONNECT_TIMEOUT_MS;

  if (!m)
    return;
  /* It has deleted its directory object: it has stopped. */
  if (!m->listed && m->live && !m->leaving)
    {
      m->leaving = true;
      members->generation++;
    }
  m->heard_ms = MIN (m->heard_ms, heard_ms);
  m->reported_ms = MIN (m->reported_ms, now_ms - SS_MEMBER_REPORT_TIMEOUT_MS
                                            + SS_MEMBER_DISCONNECT_TIMEOUT_MS);
}

typedef struct
{
  const SsMembers *members;
  const SsMember *subject;
  int64_t now_ms;
  uint32_t witnesses; /* VMs whose heartbeats arrive here */
  uint32_t missing;   /* of them, those that do not receive the subject's */
} Vote;

static bool
has_timed_out (const SsMember *m, int64_t now_ms)
{
  return now_ms - m->heard_ms >= SS_MEMBER_HEARTBEAT_TIMEOUT_MS;
}

static gboolean
count_witness (gpointer key, gpointer value, gpointer data)
{
  Vote *v = data;
  const SsMember *m = value;

  if (m == v->subject || strcmp (key, v->members->self) == 0
      || has_timed_out (m, v->now_ms))
    return FALSE;
  v->witnesses++;
  if (!g_hash_table_contains (m->heard, v->subject->vm))
    v->missing++;
  return FALSE;
}

void
ss_members_record_relay_reply (SsMembers *members, int64_t now_ms)
{
  members->relay_reply_ms = now_ms;
}

bool
ss_members_in_relay_grace (const SsMembers *members, int64_t now_ms)
{
  return members->relayed && now_ms < members->relay_grace_until_ms;
}

static void
detect_lost_relays (SsMembers *members, int64_t now_ms)
{
  if (!members->relay_reply_ms
      || now_ms - members->relay_reply_ms < SS_MEMBER_REPORT_TIMEOUT_MS)
    return;
  members->lost_relay_reply_ms = members->relay_reply_ms;
  members->relay_reply_ms = 0;
  members->relay_grace_until_ms = now_ms + SS_MEMBER_RELAY_GRACE_MS;
}

/* Whether M keeps its liveness in the grace period: it was known only through
 * the relays that were lost.  A VM that was heard directly around the time of
 * the loss times out on its own.
 */
static bool
keeps_liveness (const SsMembers *members, const SsMember *m, int64_t now_ms)
{
  return ss_members_in_relay_grace (members, now_ms) && m->live
         && strcmp (m->failure_domain, members->failure_domain) == 0
         && members->lost_relay_reply_ms - m->heard_ms
                >= SS_MEMBER_HEARTBEAT_TIMEOUT_MS;
}

static bool
is_member_live (const SsMembers *members, const SsMember *m, int64_t now_ms)
{
  Vote v = { members, m, now_ms, 0, 0 };

  if (m == members->self_member)
    return true;
  if (!has_timed_out (m, now_ms)
      || now_ms - m->reported_ms < SS_MEMBER_REPORT_TIMEOUT_MS)
    return true;
  if (members->relayed)
    return keeps_liveness (members, m, now_ms);
  /* A VM takes no role before its first heartbeat. */
  if (!m->live)
    return false;
  g_tree_foreach (members->by_name, count_witness, &v);
  return v.missing * 2 < v.witnesses;
}

/* Sets whether the platform lists M and whether it is live, and keeps the count
 * of the other VMs that are either.
 */
static void
set_presence (SsMembers *members, SsMember *m, bool listed, bool live)
{
  bool before = m->listed || m->live;
  bool after = listed || live;

  m->listed = listed;
  m->live = live;
  if (before == after || m == members->self_member)
    return;
  if (after)
    members->known_others++;
  else
    members->known_others--;
}

typedef struct
{
  SsMembers *members;
  int64_t now_ms;
  GPtrArray *changed;
  GPtrArray *removed;
} Update;

static gboolean
update_one (gpointer key, gpointer value, gpointer data)
{
  Update *u = data;
  SsMember *m = value;
  bool live = is_member_live (u->members, m, u->now_ms);

  (void) key;
  if (live != m->live)
    g_ptr_array_add (u->changed, m);
  else if (!live && !m->listed
           && u->now_ms - m->heard_ms > SS_MEMBER_RETENTION_MS)
    g_ptr_array_add (u->removed, m);
  return FALSE;
}

void
ss_members_update (SsMembers *members, int64_t now_ms,
                   void (*changed) (void *data, const SsMember *member),
                   void *data)
{
  Update u = { members, now_ms, g_ptr_array_new (), g_ptr_array_new () };

  detect_lost_relays (members, now_ms);
  g_tree_foreach (members->by_name, update_one, &u);
  for (guint i = 0; i < u.changed->len; i++)
    {
      SsMember *m = g_ptr_array_index (u.changed, i);

      set_presence (members, m, m->listed, !m->live);
      members->generation++;
      members->converged_known = false;
      changed (data, m);
    }
  for (guint i = 0; i < u.removed->len; i++)
    {
      SsMember *m = g_ptr_array_index (u.removed, i);

      g_tree_remove (members->by_name, m->vm);
    }
  g_ptr_array_free (u.changed, TRUE);
  g_ptr_array_free (u.removed, TRUE);
}

typedef struct
{
  const char *failure_domain;
  bool converged;
} Convergence;

static gboolean
check_converged (gpointer key, gpointer value, gpointer data)
{
  Convergence *s = data;
  const SsMember *m = value;

  (void) key;
  if (m->listed && !m->live
      && strcmp (m->failure_domain, s->failure_domain) == 0)
    s->converged = false;
  return FALSE;
}

void
ss_members_set_listed (SsMembers *members, SsMember *member, bool listed)
{
  if (member->listed != listed)
    members->converged_known = false;
  set_presence (members, member, listed, member->live);
}

void
ss_members_set_platform_up (SsMembers *members, SsMember *member,
                            bool platform_up)
{
  if (member->platform_up != platform_up)
    members->platform_generation++;
  member->platform_up = platform_up;
}

bool
ss_members_has_silent (const SsMembers *members, const char *failure_domain)
{
  Convergence s = { failure_domain, true };

  g_tree_foreach (members->by_name, check_converged, &s);
  return !s.converged;
}

bool
ss_members_is_converged (SsMembers *members)
{
  Convergence s = { members->failure_domain, true };

  if (members->converged_known)
    return members->converged;
  g_tree_foreach (members->by_name, check_converged, &s);
  members->converged = s.converged;
  members->converged_known = true;
  return s.converged;
}

typedef struct
{
  const char *self;
  int64_t since_ms;
  GPtrArray *out;
} Silent;

static gboolean
collect_silent (gpointer key, gpointer value, gpointer data)
{
  Silent *s = data;
  SsMember *m = value;

  if (strcmp (key, s->self) != 0 && !m->live && m->heard_ms < s->since_ms
      && m->reported_ms < s->since_ms && m->added_ms < s->since_ms)
    g_ptr_array_add (s->out, m);
  return FALSE;
}

void
ss_members_collect_silent (const SsMembers *members, int64_t since_ms,
                           GPtrArray *out)
{
  Silent s = { members->self, since_ms, out };

  g_tree_foreach (members->by_name, collect_silent, &s);
}

void
ss_members_record_report (SsMembers *members, SsMember *member, bool leaving,
                          bool platform_up, int64_t now_ms)
{
  member->reported_ms = now_ms;
  /* What it tells itself is newer than what passed through others. */
  if (now_ms - member->heartbeat_ms < SS_MEMBER_HEARTBEAT_TIMEOUT_MS)
    return;
  ss_members_set_platform_up (members, member, platform_up);
  if (member->leaving != leaving)
    members->generation++;
  member->leaving = leaving;
}

typedef struct
{
  const SsMembers *members;
  const char *failure_domain;
  int64_t now_ms;
  bool live;            /* live VMs; else those that are listed but not live */
  const SsMember *last; /* only VMs that rank before it; NULL: any */
  const SsMember *best[SS_MEMBERS_RELAYS];
  uint32_t relay_count;
} Relays;

/* After the loss of its relays a VM needs new ones that it hears directly. */
static bool
may_relay_live (const Relays *r, const SsMember *m)
{
  if (!m->live || !ss_members_in_relay_grace (r->members, r->now_ms)
      || strcmp (m->failure_domain, r->members->failure_domain) != 0)
    return m->live;
  return strcmp (m->vm, r->members->self) == 0 || !has_timed_out (m, r->now_ms);
}

static bool
may_relay (const Relays *r, const SsMember *m)
{
  if (m->leaving || strcmp (m->failure_domain, r->failure_domain) != 0
      || (r->last && !ss_roles_relays_before (m, r->last)))
    return false;
  if (r->live)
    return may_relay_live (r, m);
  return !m->live && m->listed && r->now_ms >= m->relay_retry_ms;
}

static void
insert_relay (Relays *r, uint32_t position, const SsMember *m)
{
  for (uint32_t i = r->relay_count - 1; i > position; i--)
    r->best[i] = r->best[i - 1];
  r->best[position] = m;
}

static gboolean
rank_relay (gpointer key, gpointer value, gpointer data)
{
  Relays *r = data;
  const SsMember *m = value;

  (void) key;
  if (!may_relay (r, m))
    return FALSE;
  for (uint32_t i = 0; i < r->relay_count; i++)
    {
      if (r->best[i] && !ss_roles_relays_before (m, r->best[i]))
        continue;
      insert_relay (r, i, m);
      break;
    }
  return FALSE;
}

static void
add_relays (const SsMembers *members, Relays *r, GPtrArray *out)
{
  g_tree_foreach (members->by_name, rank_relay, r);
  for (uint32_t i = 0; i < r->relay_count; i++)
    if (r->best[i])
      g_ptr_array_add (out, r->best[i]->vm);
}

/* After the loss of its relays a failure domain may have no VM known as live.
 * The VMs that the platform lists are then tried in the order of their rank.
 * Those of this VM's failure domain are also tried if they rank before its live
 * relays: the parts of a split have relays of their own and meet again through
 * the first of all.
 */
void
ss_members_relays (const SsMembers *members, const char *failure_domain,
                   int64_t now_ms, GPtrArray *out)
{
  Relays live = { .members = members,
                  .failure_domain = failure_domain,
                  .now_ms = now_ms,
                  .live = true,
                  .relay_count = SS_MEMBERS_RELAYS };
  Relays listed = { .members = members,
                    .failure_domain = failure_domain,
                    .now_ms = now_ms };
  guint before = out->len;

  add_relays (members, &live, out);
  listed.relay_count = SS_MEMBERS_RELAYS - (out->len - before);
  if (!listed.relay_count
      && strcmp (failure_domain, members->failure_domain) == 0)
    {
      listed.last = live.best[SS_MEMBERS_RELAYS - 1];
      listed.relay_count = SS_MEMBERS_RELAYS;
    }
  if (listed.relay_count)
    add_relays (members, &listed, out);
}
