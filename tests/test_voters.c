/* Voters: their object, their counts, and a walk over all views of them that
 * VMs may have at one moment.
 */
#include <stdlib.h>
#include <string.h>

#include "core/voter_change.h"
#include "tests/unit.h"

#define SERVERS 4
#define SETS (1U << SERVERS)
#define ALL (SETS - 1)
/* VMs whose views may differ; the first one is the coordinator and sees the
 * store.
 */
#define VIEWS 3

static SsTarget targets[SERVERS];

static void
init_targets (void)
{
  static char names[SERVERS][4];

  for (uint32_t i = 0; i < SERVERS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "t%u", i);
      targets[i] = (SsTarget){ .name = names[i],
                               .ip = "10.0.0.1",
                               .port = (uint16_t) (i + 1),
                               .version = 1 };
    }
}

static void
group_init (SsGroup *g, uint32_t listed)
{
  memset (g, 0, sizeof *g);
  g->name = (char *) "g";
  for (uint32_t i = 0; i < SERVERS; i++)
    if (listed >> i & 1)
      g->servers[g->server_count++] = &targets[i];
}

/* Returns the servers of the bit set SET. */
static GPtrArray *
voters_of (uint32_t set)
{
  SsGroup g;

  group_init (&g, ALL);
  return ss_voters_set_of (&g, set);
}

static SsVoters *
voters_new (uint32_t current, uint32_t former)
{
  SsVoters *v = ss_voters_new ("g", 1, voters_of (current), voters_of (former));

  v->version = 1;
  return v;
}

/* --- the object --- */

static void
object_is_read_as_written (void)
{
  SsVoters *v;
  SsVoters *copy;
  char *text;
  char *error;
  json_t *json;

  init_targets ();
  v = voters_new (7, 3);
  v->generation = 42;
  text = ss_voters_text (v);
  json = json_loads (text, 0, NULL);
  copy = ss_voters_parse ("g", json, &error);
  CU_ASSERT_FATAL (copy && !error);
  CU_ASSERT (copy->generation == 42);
  CU_ASSERT (ss_voters_set_is_equal (copy->current, v->current));
  CU_ASSERT (ss_voters_set_is_equal (copy->former, v->former));
  CU_ASSERT (!ss_voters_set_is_equal (copy->current, v->former));
  ss_voters_free (copy);
  ss_voters_free (v);
  json_decref (json);
  free (text);
}

static void
invalid_objects_are_refused (void)
{
  static const char *const texts[] = {
    "{}",
    "[]",
    "{\"generation\":0,\"current\":[],\"former\":[]}",
    "{\"generation\":1,\"current\":{},\"former\":[]}",
    "{\"generation\":1,\"current\":[]}",
    "{\"generation\":1,\"current\":[\"t0\"],\"former\":[]}",
    "{\"generation\":1,\"current\":[{\"name\":\"t0\"}],\"former\":[]}",
    "{\"generation\":1,\"current\":[],\"former\":[],\"more\":1}",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      json_t *json = json_loads (texts[i], 0, NULL);
      char *error;

      CU_ASSERT (!ss_voters_parse ("g", json, &error));
      CU_ASSERT (error != NULL);
      g_free (error);
      json_decref (json);
    }
}

/* --- counts --- */

/* Guards against a group that shrinks by silence: a voter that is not listed
 * counts in the size of its set.
 */
static void
unlisted_voters_count (void)
{
  SsVoters *v;
  SsGroup g;

  init_targets ();
  v = voters_new (7, 0);
  group_init (&g, 4);
  ss_group_count_voters (&g, v, NULL);
  CU_ASSERT (g.current.count == 3 && g.current.listed == 1);
  CU_ASSERT (!ss_group_is_majority (&g, 1));
  CU_ASSERT (!ss_group_is_blocking (&g, 1));
  CU_ASSERT (ss_group_is_current_majority (&g, 0) == false);
  ss_group_count_voters (&g, NULL, NULL);
  CU_ASSERT (ss_group_is_majority (&g, 1) && ss_group_is_blocking (&g, 1));
  ss_voters_free (v);
}

/* A set before a change counts, too. */
static void
both_sets_count (void)
{
  SsVoters *v;
  SsGroup g;

  init_targets ();
  v = voters_new (4, 7);
  group_init (&g, 7);
  ss_group_count_voters (&g, v, NULL);
  CU_ASSERT (!ss_group_is_majority (&g, 4));
  CU_ASSERT (!ss_group_is_majority (&g, 3));
  CU_ASSERT (ss_group_is_majority (&g, 5));
  CU_ASSERT (!ss_group_is_blocking (&g, 4));
  CU_ASSERT (ss_group_is_blocking (&g, 6));
  CU_ASSERT (!ss_group_is_all (&g, 6) && ss_group_is_all (&g, 7));
  ss_voters_free (v);
}

/* Guards against voters that nobody can reach for ever: another server is
 * listed at the address, or under the name with another start.
 */
static void
ended_voters_do_not_count (void)
{
  SsVoters *v;
  SsTarget other;
  SsTarget *listed[] = { &other, &targets[1], &targets[2] };
  GPtrArray *known = g_ptr_array_new ();
  SsGroup g;

  init_targets ();
  v = voters_new (7, 0);
  v->version = 5;
  other = targets[0];
  other.name = (char *) "new";
  g_ptr_array_add (known, &other);
  group_init (&g, 6);
  memcpy (g.servers, listed, sizeof listed);
  g.server_count = G_N_ELEMENTS (listed);
  other.version = 4; /* a view from before the voters' */
  ss_group_count_voters (&g, v, known);
  CU_ASSERT (g.current.count == 3);
  other.version = 6;
  ss_group_count_voters (&g, v, known);
  CU_ASSERT (g.current.count == 2 && g.current.listed == 6);
  CU_ASSERT (ss_group_is_majority (&g, 6) && !ss_group_is_majority (&g, 3));
  other.name = targets[0].name;
  other.born_ms = 1;
  ss_group_count_voters (&g, v, known);
  CU_ASSERT (g.current.count == 2 && g.current.listed == 6);
  other.version = INT64_C (1) << 40; /* of another era: a copy's */
  ss_group_count_voters (&g, v, known);
  CU_ASSERT (g.current.count == 3);
  other.version = 6;
  other.removed = true;
  ss_group_count_voters (&g, v, known);
  CU_ASSERT (g.current.count == 3);
  g_ptr_array_unref (known);
  ss_voters_free (v);
}

/* --- the walk --- */

#define VIEW_BITS (2 * SERVERS)
#define VIEW_COUNT (1U << VIEW_BITS)

/* A view is a set of voters in force and one before a change, as bits. */
typedef uint32_t View;

/* What decides who may serve: what each VM has adopted, and which servers hold
 * a commit that was acknowledged.
 */
typedef struct
{
  View views[VIEWS];
  uint32_t holders; /* 0: no commit is acknowledged yet */
  bool is_lost;     /* a step has given it up */
} State;

/* The step that is due with a view, listed servers and what is known. */
typedef struct
{
  bool is_known;
  SsVoterStep step;
  View next;
} Due;

typedef struct
{
  uint32_t servers; /* that there are */
  uint32_t views;   /* VMs */
  bool has_commit;  /* a commit is followed */
  bool majority[VIEW_COUNT][SETS];
  bool blocking[VIEW_COUNT][SETS];
  bool current_majority[VIEW_COUNT][SETS];
  Due due[VIEW_COUNT][SETS][2][2][2]; /* by is_adopted, .., is_short */
  GHashTable *seen;
  GQueue queue; /* of State */
  uint32_t two_sides;
  uint32_t lost;
} Walk;

static View
view_of (uint32_t current, uint32_t former)
{
  return current << SERVERS | former;
}

static uint32_t
bits_of (const GPtrArray *set)
{
  uint32_t bits = 0;

  for (guint i = 0; i < set->len; i++)
    for (uint32_t j = 0; j < SERVERS; j++)
      if (ss_voter_is_target (g_ptr_array_index (set, i), &targets[j]))
        bits |= 1U << j;
  return bits;
}

/* IGNORES_FORMER: a defect that the walk must find. */
static void
count_sets (Walk *w, bool ignores_former)
{
  SsGroup g;

  group_init (&g, ALL);
  for (View v = view_of (1, 0); v < VIEW_COUNT; v++)
    {
      SsVoters *voters
          = voters_new (v >> SERVERS, ignores_former ? 0 : v & ALL);

      ss_group_count_voters (&g, voters, NULL);
      for (uint32_t set = 0; set < SETS; set++)
        {
          w->majority[v][set] = ss_group_is_majority (&g, set);
          w->blocking[v][set] = ss_group_is_blocking (&g, set);
          w->current_majority[v][set] = ss_group_is_current_majority (&g, set);
        }
      ss_voters_free (voters);
    }
}

/* Returns what the coordinator does with view V and LISTED servers. */
static const Due *
find_due (Walk *w, View v, uint32_t listed, bool is_adopted, bool is_replicated,
          bool is_short)
{
  Due *due = &w->due[v][listed][is_adopted][is_replicated][is_short];
  SsVoters *voters;
  SsVoters *next;
  SsGroup g;
  SsVoterView view = { .group = &g,
                       .is_adopted = is_adopted,
                       .is_replicated = is_replicated };

  if (due->is_known)
    return due;
  voters = voters_new (v >> SERVERS, v & ALL);
  group_init (&g, listed);
  ss_group_count_voters (&g, voters, NULL);
  view.voters = voters;
  view.servers = (1U << g.server_count) - 1;
  view.is_short = is_short && !ss_group_has_former (&g, view.servers);
  due->is_known = true;
  due->step = ss_voter_change_next (&view, &next);
  if (next)
    {
      due->next = view_of (bits_of (next->current), bits_of (next->former));
      ss_voters_free (next);
    }
  ss_voters_free (voters);
  return due;
}

static void
push (Walk *w, const State *s)
{
  guint64 key = s->holders << 1 | (s->is_lost ? 1 : 0);
  guint64 *copy;

  for (uint32_t i = 0; i < w->views; i++)
    key = key << VIEW_BITS | s->views[i];
  if (g_hash_table_contains (w->seen, &key))
    return;
  copy = g_new (guint64, 1);
  *copy = key;
  g_hash_table_add (w->seen, copy);
  g_queue_push_tail (&w->queue, g_memdup2 (s, sizeof *s));
}

static bool
has_adopted (const Walk *w, const State *s)
{
  for (uint32_t i = 1; i < w->views; i++)
    if (s->views[i] != s->views[0])
      return false;
  return true;
}

/* The coordinator takes the step that is due.  The end of a change shows that a
 * majority of the new set holds the commit: any one may be that.
 */
static void
step (Walk *w, const State *s, uint32_t listed, bool is_replicated)
{
  const Due *due = find_due (w, s->views[0], listed, has_adopted (w, s),
                             is_replicated, !is_replicated);
  State after = *s;

  if (due->step == SS_VOTER_STEP_NONE)
    return;
  after.views[0] = due->next;
  after.is_lost = s->is_lost || (s->holders && due->step == SS_VOTER_STEP_LOST);
  if (due->step != SS_VOTER_STEP_END || !s->holders)
    {
      push (w, &after);
      return;
    }
  for (uint32_t set = 0; set < 1U << w->servers; set++)
    if (w->current_majority[s->views[0]][set])
      {
        after.holders = s->holders | set;
        push (w, &after);
      }
}

/* Whether a VM with view A can promote a server while one with view B confirms
 * the former primary without any raised server.
 */
static bool
has_two_sides (const Walk *w, View a, View b)
{
  for (uint32_t raised = 1; raised < SETS; raised++)
    if (w->blocking[a][raised] && w->majority[b][ALL & ~raised])
      return true;
  return false;
}

static void
check (Walk *w, const State *s)
{
  for (uint32_t i = 0; i < w->views; i++)
    {
      /* A promotion may raise no server that holds the commit. */
      if (s->holders && !s->is_lost
          && w->blocking[s->views[i]][ALL & ~s->holders])
        w->lost++;
      for (uint32_t j = 0; j < w->views; j++)
        w->two_sides += has_two_sides (w, s->views[i], s->views[j]) ? 1 : 0;
    }
}

static void
acknowledge (Walk *w, const State *s)
{
  State after = *s;

  for (uint32_t i = 0; i < w->views; i++)
    for (uint32_t set = 1; set < 1U << w->servers; set++)
      if (w->majority[s->views[i]][set])
        {
          after.holders = set;
          push (w, &after);
        }
}

static void
visit (Walk *w, const State *s)
{
  check (w, s);
  for (uint32_t listed = 1; listed < 1U << w->servers; listed++)
    {
      step (w, s, listed, true);
      step (w, s, listed, false);
    }
  for (uint32_t i = 1; i < w->views; i++)
    {
      State after = *s;

      after.views[i] = s->views[0];
      push (w, &after);
    }
  if (w->has_commit && !s->holders)
    acknowledge (w, s);
}

/* Visits all states that can be reached from a group of three servers.  A VM
 * adopts changes when it likes (it may be cut off, paused, or start again with
 * its peers' state); entries lapse and come back at any moment.
 */
static Walk *
walk_new (uint32_t servers, uint32_t views, bool has_commit,
          bool ignores_former)
{
  Walk *w = g_new0 (Walk, 1);
  State start = { .holders = 0 };
  State *s;

  w->servers = servers;
  w->views = views;
  w->has_commit = has_commit;
  init_targets ();
  count_sets (w, ignores_former);
  for (uint32_t i = 0; i < views; i++)
    start.views[i] = view_of (7, 0);
  w->seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&w->queue);
  push (w, &start);
  while ((s = g_queue_pop_head (&w->queue)))
    {
      visit (w, s);
      g_free (s);
    }
  return w;
}

static void
walk_free (Walk *w)
{
  g_hash_table_destroy (w->seen);
  g_free (w);
}

/* Guards against two sides that both serve, for any views of the voters that
 * three VMs have at one moment.
 */
static void
no_two_sides_of_three (void)
{
  Walk *w = walk_new (3, 3, false, false);

  CU_ASSERT (g_hash_table_size (w->seen) > 1000);
  CU_ASSERT (w->two_sides == 0);
  walk_free (w);
}

/* The same where a fourth server joins and leaves. */
static void
no_two_sides_of_four (void)
{
  Walk *w = walk_new (4, 2, false, false);

  CU_ASSERT (g_hash_table_size (w->seen) > 1000);
  CU_ASSERT (w->two_sides == 0);
  walk_free (w);
}

/* Guards against commits that a promotion loses. */
static void
no_lost_commit (void)
{
  Walk *w = walk_new (3, 2, true, false);

  CU_ASSERT (g_hash_table_size (w->seen) > 1000);
  CU_ASSERT (w->lost == 0);
  walk_free (w);
}

/* The walk finds what the set before a change is for. */
static void
walk_finds_defect (void)
{
  Walk *w = walk_new (3, 2, true, true);

  CU_ASSERT (w->two_sides > 0);
  CU_ASSERT (w->lost > 0);
  walk_free (w);
}

CU_TestInfo test_voters[] = {
  { "the object is read as written", object_is_read_as_written },
  { "invalid objects are refused", invalid_objects_are_refused },
  { "unlisted voters count", unlisted_voters_count },
  { "both sets count", both_sets_count },
  { "ended voters do not count", ended_voters_do_not_count },
  { "no two sides, three servers", no_two_sides_of_three },
  { "no two sides, four servers", no_two_sides_of_four },
  { "no lost commit", no_lost_commit },
  { "the walk finds a defect", walk_finds_defect },
  CU_TEST_INFO_NULL,
};
