#include "core/roles.h"

#include <string.h>

#include "core/rank.h"

/* Subject of the rank of relays and watchers. */
#define RELAY_SUBJECT "relay"

/* The members that a rank was computed from. */
typedef struct
{
  uint64_t members;
  uint64_t platform;
} Generation;

typedef struct
{
  Generation generation;
  const char *vm; /* borrowed from the member */
  uint32_t better;
} Coordinator;

struct SsRoles
{
  uint64_t generation;      /* of candidates */
  GPtrArray *all;           /* of SsMember: live VMs that may hold roles */
  GHashTable *by_domain;    /* failure domain -> GPtrArray, of those in it */
  GHashTable *coordinators; /* subject -> Coordinator */
  Generation watcher_generation;
  uint32_t watcher_rank;
};

static void
free_list (gpointer list)
{
  g_ptr_array_free (list, TRUE);
}

SsRoles *
ss_roles_new (void)
{
  SsRoles *r = g_new0 (SsRoles, 1);

  r->all = g_ptr_array_new ();
  r->by_domain
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_list);
  r->coordinators
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return r;
}

void
ss_roles_free (SsRoles *r)
{
  g_ptr_array_free (r->all, TRUE);
  g_hash_table_destroy (r->by_domain);
  g_hash_table_destroy (r->coordinators);
  g_free (r);
}

/* --- candidates --- */

static gboolean
add_candidate (gpointer key, gpointer value, gpointer data)
{
  SsMember *m = value;
  SsRoles *r = data;
  GPtrArray *domain;

  (void) key;
  if (!m->live || m->leaving)
    return FALSE;
  g_ptr_array_add (r->all, m);
  domain = g_hash_table_lookup (r->by_domain, m->failure_domain);
  if (!domain)
    {
      domain = g_ptr_array_new ();
      g_hash_table_insert (r->by_domain, g_strdup (m->failure_domain), domain);
    }
  g_ptr_array_add (domain, m);
  return FALSE;
}

/* Returns the candidates of FAILURE_DOMAIN (NULL: all); NULL if none is known
 * there.
 */
static const GPtrArray *
candidates (const SsMembers *members, const char *failure_domain)
{
  SsRoles *r = members->roles;

  if (r->generation != members->generation)
    {
      r->generation = members->generation;
      g_ptr_array_set_size (r->all, 0);
      g_hash_table_remove_all (r->by_domain);
      g_tree_foreach (members->by_name, add_candidate, r);
    }
  return failure_domain ? g_hash_table_lookup (r->by_domain, failure_domain)
                        : r->all;
}

/* --- ranks --- */

typedef struct
{
  const SsMember *best;
  uint32_t better; /* VMs that rank before this one */
} Ranking;

static double
score_of (const SsMember *m, const char *subject)
{
  return ss_rank_weighted (m->vm, subject, m->capacity_millicores);
}

/* Ranks VMS, which may be NULL.  PLATFORM_UP: only VMs that the platform
 * answers.
 */
static Ranking
rank_all (const SsMembers *members, const GPtrArray *vms, bool platform_up,
          const char *subject)
{
  double own = score_of (members->self_member, subject);
  double best_score = 0;
  Ranking r = { NULL, 0 };

  for (guint i = 0; vms && i < vms->len; i++)
    {
      const SsMember *m = g_ptr_array_index (vms, i);
      double score;

      if (platform_up && !m->platform_up)
        continue;
      score = score_of (m, subject);
      if (score > own)
        r.better++;
      if (r.best && score <= best_score)
        continue;
      r.best = m;
      best_score = score;
    }
  return r;
}

const char *
ss_roles_owner (const SsMembers *members, const char *failure_domain,
                const char *subject)
{
  Ranking r = rank_all (members, candidates (members, failure_domain), false,
                        subject);

  return r.best ? r.best->vm : NULL;
}

uint32_t
ss_roles_rank (const SsMembers *members, const char *failure_domain,
               const char *subject)
{
  return rank_all (members, candidates (members, failure_domain), false,
                   subject)
      .better;
}

/* --- roles of VMs that the platform answers --- */

static bool
is_current (const SsMembers *members, const Generation *g)
{
  return g->members == members->generation
         && g->platform == members->platform_generation;
}

static Generation
current_generation (const SsMembers *members)
{
  return (Generation){ members->generation, members->platform_generation };
}

static const Coordinator *
find_coordinator (const SsMembers *members, const char *subject)
{
  SsRoles *roles = members->roles;
  Coordinator *c = g_hash_table_lookup (roles->coordinators, subject);
  Ranking r;

  if (c && is_current (members, &c->generation))
    return c;
  if (!c)
    {
      c = g_new0 (Coordinator, 1);
      g_hash_table_insert (roles->coordinators, g_strdup (subject), c);
    }
  r = rank_all (members, candidates (members, NULL), true, subject);
  c->generation = current_generation (members);
  c->vm = r.best ? r.best->vm : NULL;
  c->better = r.better;
  return c;
}

const char *
ss_roles_coordinator (const SsMembers *members, const char *subject)
{
  return find_coordinator (members, subject)->vm;
}

uint32_t
ss_roles_coordinator_rank (const SsMembers *members, const char *subject)
{
  return find_coordinator (members, subject)->better;
}

bool
ss_roles_relays_before (const SsMember *a, const SsMember *b)
{
  if (a->capacity_millicores != b->capacity_millicores)
    return a->capacity_millicores > b->capacity_millicores;
  return ss_rank_score (a->vm, RELAY_SUBJECT)
         > ss_rank_score (b->vm, RELAY_SUBJECT);
}

static uint32_t
count_watchers_before (const SsMembers *members)
{
  const GPtrArray *vms = candidates (members, members->failure_domain);
  uint32_t before = 0;

  for (guint i = 0; vms && i < vms->len; i++)
    {
      const SsMember *m = g_ptr_array_index (vms, i);

      if (m->platform_up && ss_roles_relays_before (m, members->self_member))
        before++;
    }
  return before;
}

uint32_t
ss_roles_watcher_rank (const SsMembers *members)
{
  SsRoles *r = members->roles;

  if (!is_current (members, &r->watcher_generation))
    {
      r->watcher_rank = count_watchers_before (members);
      r->watcher_generation = current_generation (members);
    }
  return r->watcher_rank;
}

bool
ss_roles_is_watcher (const SsMembers *members)
{
  return ss_roles_watcher_rank (members) < SS_MEMBERS_RELAYS;
}
