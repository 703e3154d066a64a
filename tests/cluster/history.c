#include "tests/cluster/history.h"

#include <string.h>

#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"
#include "tests/world/vms.h"

/* A request and its outcome. */
typedef struct
{
  ClusterRequest request; /* its texts are owned */
  bool answered;
  bool done;
} Asked;

typedef struct
{
  char *id;
  uint32_t server;
  int64_t term;
  bool is_primary;
  int64_t at_ms;
  const ClusterCommit *last;
} Run;

static GMutex lock;
static GHashTable *asked; /* id -> Asked */
static GPtrArray *runs;
static GPtrArray *commits[CLUSTER_GROUPS];
static int64_t terms[CLUSTER_GROUPS]; /* the latest one that a server led */
static ClusterCommit first_commits[CLUSTER_GROUPS];

void
cluster_history_init (void)
{
  asked = g_hash_table_new (g_str_hash, g_str_equal);
  runs = g_ptr_array_new ();
  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    {
      commits[i] = g_ptr_array_new ();
      first_commits[i].id = "";
      first_commits[i].group = i;
    }
}

const ClusterCommit *
cluster_history_first_commit (uint32_t group)
{
  return &first_commits[group];
}

void
cluster_history_asked (const ClusterRequest *request)
{
  Asked *a = g_new0 (Asked, 1);

  a->request = *request;
  a->request.id = g_strdup (request->id);
  a->request.text = g_strdup (request->text);
  g_mutex_lock (&lock);
  g_hash_table_insert (asked, (gpointer) a->request.id, a);
  g_mutex_unlock (&lock);
}

static void
acknowledge (const Asked *a)
{
  const GPtrArray *list = commits[a->request.group];

  for (guint i = list->len; i > 0; i--)
    {
      ClusterCommit *c = g_ptr_array_index (list, i - 1);

      if (strcmp (c->id, a->request.id) != 0)
        continue;
      c->session = a->request.session;
      c->acked_us = g_get_monotonic_time ();
      return;
    }
}

void
cluster_history_answered (const char *id, bool done)
{
  Asked *a;

  g_mutex_lock (&lock);
  a = g_hash_table_lookup (asked, id);
  a->answered = true;
  a->done = done;
  if (done)
    acknowledge (a);
  g_mutex_unlock (&lock);
}

ClusterCommit *
cluster_history_commit (const char *id, uint32_t server, int64_t term,
                        const ClusterCommit *parent)
{
  ClusterCommit *c = g_new0 (ClusterCommit, 1);

  c->id = g_strdup (id);
  c->group = parent->group;
  c->server = server;
  c->term = term;
  c->number = parent->number + 1;
  c->made_ms = world_now_ms ();
  c->parent = parent;
  g_mutex_lock (&lock);
  c->superseded = terms[c->group] > term;
  g_ptr_array_add (commits[c->group], c);
  g_mutex_unlock (&lock);
  world_record ("%s commits %s as %" G_GINT64_FORMAT ".%" G_GINT64_FORMAT,
                cluster_servers_id (server), id, term, c->number);
  return c;
}

void
cluster_history_ran (const char *id, uint32_t server, int64_t term,
                     bool is_primary, const ClusterCommit *last)
{
  Run *run = g_new0 (Run, 1);

  run->id = g_strdup (id);
  run->server = server;
  run->term = term;
  run->is_primary = is_primary;
  run->at_ms = world_now_ms ();
  run->last = last;
  g_mutex_lock (&lock);
  g_ptr_array_add (runs, run);
  g_mutex_unlock (&lock);
}

bool
cluster_history_holds (const ClusterCommit *last, const ClusterCommit *commit)
{
  while (last->number > commit->number)
    last = last->parent;
  return last == commit;
}

void
cluster_history_leads (uint32_t group, int64_t term, const ClusterCommit *last)
{
  g_mutex_lock (&lock);
  terms[group] = MAX (terms[group], term);
  for (guint i = 0; i < commits[group]->len; i++)
    {
      ClusterCommit *c = g_ptr_array_index (commits[group], i);

      if (!cluster_history_holds (last, c))
        c->rolled_back = true;
    }
  g_mutex_unlock (&lock);
}

/* --- the rules --- */

/* Whether the read of A must see COMMIT. */
static bool
must_see (const ClusterRequest *r, const ClusterCommit *commit)
{
  static const int64_t staleness_ms[CLUSTER_KINDS]
      = { [CLUSTER_OWN_WRITES] = CLUSTER_OWN_WRITES_STALENESS_MS,
          [CLUSTER_BOUNDED] = CLUSTER_BOUNDED_STALENESS_MS };
  int64_t before_us = r->first_us - staleness_ms[r->kind] * 1000;

  if (!commit->acked_us || commit->rolled_back
      || commit->acked_us >= r->first_us)
    return false;
  return commit->acked_us < before_us
         || (r->kind == CLUSTER_OWN_WRITES && commit->session == r->session);
}

/* Returns a commit that RUN should have seen and did not, or NULL. */
static const ClusterCommit *
find_missing (const ClusterRequest *r, const Run *run, uint32_t *count)
{
  const ClusterCommit *found = NULL;

  *count = 0;
  for (guint i = 0; i < commits[r->group]->len; i++)
    {
      const ClusterCommit *c = g_ptr_array_index (commits[r->group], i);

      if (!must_see (r, c) || cluster_history_holds (run->last, c))
        continue;
      found = found ? found : c;
      (*count)++;
    }
  return found;
}

static void
judge_run (const Run *run, ClusterVerdict *v)
{
  const Asked *a = g_hash_table_lookup (asked, run->id);
  const ClusterCommit *missing;
  uint32_t count;

  if (!a)
    return;
  v->reads++;
  missing = find_missing (&a->request, run, &count);
  if (!missing)
    return;
  v->stale[a->request.kind]++;
  v->stale_commits += strcmp (a->request.text, "COMMIT") == 0 ? 1 : 0;
  world_record (
      "STALE: %s \"%s\" of kind %d at %s, first byte %.3f s, ran at %.3f s at "
      "%s (%s, term %" G_GINT64_FORMAT "), answered %d, and lacks %u commits, "
      "one is %s of %s acknowledged at %.3f s",
      run->id, a->request.text, a->request.kind, world_vms_name (a->request.vm),
      world_seconds (a->request.first_us), (double) run->at_ms / 1000,
      cluster_servers_id (run->server), run->is_primary ? "primary" : "replica",
      run->term, a->done, count, missing->id,
      cluster_servers_id (missing->server), world_seconds (missing->acked_us));
}

static void
judge_commit (const ClusterCommit *c, GHashTable *ids, ClusterVerdict *v)
{
  if (!g_hash_table_add (ids, c->id))
    {
      v->twice++;
      world_record ("TWICE: %s", c->id);
    }
  if (!c->acked_us)
    return;
  v->commits++;
  if (c->rolled_back)
    {
      v->lost++;
      world_record ("LOST: %s of %s, term %" G_GINT64_FORMAT
                    ", made at %.3f s, acknowledged at %.3f s",
                    c->id, cluster_servers_id (c->server), c->term,
                    (double) c->made_ms / 1000, world_seconds (c->acked_us));
    }
  if (c->superseded)
    {
      v->two_primaries++;
      world_record ("ONE: %s of %s, term %" G_GINT64_FORMAT
                    ", made at %.3f s after a later term began",
                    c->id, cluster_servers_id (c->server), c->term,
                    (double) c->made_ms / 1000);
    }
}

static void
count_answers (ClusterVerdict *v)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, asked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Asked *a = value;

      v->answered += a->done ? 1 : 0;
      v->refused += a->answered && !a->done ? 1 : 0;
    }
}

void
cluster_history_judge (ClusterVerdict *verdict)
{
  GHashTable *ids = g_hash_table_new (g_str_hash, g_str_equal);

  memset (verdict, 0, sizeof *verdict);
  g_mutex_lock (&lock);
  for (guint i = 0; i < runs->len; i++)
    judge_run (g_ptr_array_index (runs, i), verdict);
  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    for (guint j = 0; j < commits[i]->len; j++)
      judge_commit (g_ptr_array_index (commits[i], j), ids, verdict);
  count_answers (verdict);
  g_mutex_unlock (&lock);
  g_hash_table_destroy (ids);
}
