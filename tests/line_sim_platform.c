/* line_sim_platform: the platform of the simulation: its store, with copies
 * that it can return to, its watches and its promotion service.
 */
#include <string.h>

#include "core/version.h"
#include "tests/line_sim_internal.h"

#define PROMOTION_DELAY_MS 300

static void
fill_objects (LineSim *sim, ScheduledEvent *scheduled, SsWatch watch, bool all)
{
  GPtrArray *found = g_ptr_array_new ();
  uint32_t count = 0;

  for (GTreeNode *n = g_tree_node_first (sim->objects); n;
       n = g_tree_node_next (n))
    if (g_str_has_prefix (g_tree_node_key (n), ss_watch_prefix (watch)))
      g_ptr_array_add (found, n);
  scheduled->objects = g_new0 (SsObject, found->len + 1);
  scheduled->texts = g_string_chunk_new (1024);
  for (guint i = 0; all && i < found->len; i++)
    {
      GTreeNode *n = g_ptr_array_index (found, i);
      SsObject *o = &scheduled->objects[count++];

      o->key = g_string_chunk_insert (scheduled->texts, g_tree_node_key (n));
      o->value
          = g_string_chunk_insert (scheduled->texts, g_tree_node_value (n));
      o->value_bytes = (uint32_t) strlen (o->value);
      o->version = *(int64_t *) g_hash_table_lookup (sim->versions, o->key);
    }
  g_ptr_array_free (found, TRUE);
  scheduled->event.platform_objects.watch = watch;
  scheduled->event.platform_objects.outcome
      = sim->platform_down ? SS_PLATFORM_UNKNOWN : SS_PLATFORM_DONE;
  scheduled->event.platform_objects.objects = scheduled->objects;
  scheduled->event.platform_objects.object_count
      = sim->platform_down ? 0 : count;
  scheduled->event.platform_objects.revision = sim->version;
  scheduled->event.platform_objects.complete = all;
}

void
line_sim_store (LineSim *sim, const char *key, const char *value)
{
  int64_t *version = g_new (int64_t, 1);

  sim->version = ss_version (sim->era, ss_version_revision (sim->version) + 1);
  *version = sim->version;
  g_tree_replace (sim->objects, g_strdup (key), g_strdup (value));
  g_hash_table_replace (sim->versions, g_strdup (key), version);
}

/* Returns the version of the object KEY; 0 if there is none. */
static int64_t
stored_version (LineSim *sim, const char *key)
{
  const int64_t *version = g_hash_table_lookup (sim->versions, key);

  return version ? *version : 0;
}

const char *
line_sim_stored (LineSim *sim, const char *key)
{
  return g_tree_lookup (sim->objects, key);
}

/* Responds to a read or write of the object KEY with the object as it is. */
static void
answer_with_object (LineSim *sim, const SsAction *a, SsPlatformOutcome outcome)
{
  ScheduledEvent *scheduled
      = line_sim_schedule (sim, 4, SS_EVENT_PLATFORM_OBJECT);
  SsObject *o = &scheduled->event.platform_object.object;
  const char *value = line_sim_stored (sim, a->name);

  scheduled->cells[0] = g_strdup (a->name);
  scheduled->cells[1] = g_strdup (value ? value : "");
  scheduled->cell_count = 2;
  scheduled->event.platform_object.call = a->id;
  o->key = scheduled->cells[0];
  scheduled->event.platform_object.outcome = SS_PLATFORM_UNKNOWN;
  if (sim->platform_down)
    return;
  scheduled->event.platform_object.outcome
      = value ? outcome : SS_PLATFORM_ABSENT;
  o->value = scheduled->cells[1];
  o->value_bytes = (uint32_t) strlen (o->value);
  o->version = stored_version (sim, a->name);
}

static void
answer_put (LineSim *sim, const SsAction *a)
{
  bool matches = a->number == stored_version (sim, a->name);

  if (sim->puts_lost)
    return;
  if (matches && !sim->platform_down)
    line_sim_store (sim, a->name, a->text);
  answer_with_object (sim, a,
                      matches ? SS_PLATFORM_DONE : SS_PLATFORM_CONFLICT);
}

/* Responds to an outstanding watch without a result. */
static void
end_watch (LineSim *sim, SsWatch watch, SsPlatformOutcome outcome)
{
  ScheduledEvent *scheduled;

  if (!sim->watch_since[watch])
    return;
  scheduled = line_sim_schedule (sim, 4, SS_EVENT_PLATFORM_OBJECTS);
  scheduled->event.platform_objects.watch = watch;
  scheduled->event.platform_objects.since = sim->watch_since[watch];
  scheduled->event.platform_objects.outcome = outcome;
  sim->watch_since[watch] = 0;
}

static gboolean
copy_object (gpointer key, gpointer value, gpointer data)
{
  g_tree_replace (data, g_strdup (key), g_strdup (value));
  return FALSE;
}

/* Copies the store's objects, with their revisions in ERA. */
static void
copy_store (GTree *objects, GHashTable *versions, GTree *to_objects,
            GHashTable *to_versions, int64_t era)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_tree_foreach (objects, copy_object, to_objects);
  g_hash_table_iter_init (&iter, versions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      int64_t *version = g_new (int64_t, 1);

      *version = ss_version (era, ss_version_revision (*(int64_t *) value));
      g_hash_table_replace (to_versions, g_strdup (key), version);
    }
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

GTree *
line_sim_new_objects (void)
{
  return g_tree_new_full (compare_keys, NULL, g_free, g_free);
}

GHashTable *
line_sim_new_versions (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
line_sim_copy (LineSim *sim)
{
  g_clear_pointer (&sim->copied_objects, g_tree_destroy);
  g_clear_pointer (&sim->copied_versions, g_hash_table_destroy);
  sim->copied_objects = line_sim_new_objects ();
  sim->copied_versions = line_sim_new_versions ();
  sim->copied_version = sim->version;
  copy_store (sim->objects, sim->versions, sim->copied_objects,
              sim->copied_versions, sim->era);
}

void
line_sim_restore (LineSim *sim)
{
  sim->era++;
  g_tree_destroy (sim->objects);
  g_hash_table_destroy (sim->versions);
  sim->objects = line_sim_new_objects ();
  sim->versions = line_sim_new_versions ();
  sim->version
      = ss_version (sim->era, ss_version_revision (sim->copied_version));
  copy_store (sim->copied_objects, sim->copied_versions, sim->objects,
              sim->versions, sim->era);
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    end_watch (sim, (SsWatch) i, SS_PLATFORM_UNKNOWN);
}

/* Each promotion call must have a higher fencing token than the one before. */
static void
promote (LineSim *sim, const SsAction *a)
{
  ScheduledEvent *scheduled
      = line_sim_schedule (sim, 4, SS_EVENT_PLATFORM_PROMOTED);

  if (a->number <= sim->last_fencing_token)
    line_sim_violation (sim, "fencing token did not increase", a->name,
                        a->text);
  sim->last_fencing_token = a->number;
  sim->promotions++;
  sim->promoted = line_sim_find_server (sim, a->text);
  sim->promotion_due_ms = sim->now_ms + PROMOTION_DELAY_MS;
  scheduled->event.platform_object.call = a->id;
  scheduled->event.platform_object.outcome = SS_PLATFORM_DONE;
}

void
line_sim_platform_action (LineSim *sim, const SsAction *a)
{
  ScheduledEvent *scheduled;

  switch (a->kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      sim->watch_since[a->id] = a->number;
      if (ss_version_revision (a->number) > ss_version_revision (sim->version))
        end_watch (sim, (SsWatch) a->id, SS_PLATFORM_ABSENT);
      if (a->number)
        return; /* line_sim_put delivers changes */
      scheduled = line_sim_schedule (sim, 4, SS_EVENT_PLATFORM_OBJECTS);
      fill_objects (sim, scheduled, (SsWatch) a->id, true);
      break;
    case SS_ACTION_PLATFORM_LIST:
      scheduled = line_sim_schedule (sim, 4, SS_EVENT_PLATFORM_OBJECTS);
      fill_objects (sim, scheduled, (SsWatch) a->id, true);
      scheduled->event.platform_objects.listed = true;
      break;
    case SS_ACTION_PLATFORM_PUT:
      answer_put (sim, a);
      break;
    case SS_ACTION_PLATFORM_GET:
      answer_with_object (sim, a, SS_PLATFORM_DONE);
      break;
    case SS_ACTION_PLATFORM_PROMOTE:
      promote (sim, a);
      break;
    default:
      break;
    }
}

void
line_sim_put (LineSim *sim, const char *key, const char *value)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };
  SsObject o = { 0 };

  line_sim_store (sim, key, value);
  o.key = key;
  o.value = value;
  o.value_bytes = (uint32_t) strlen (value);
  o.version = sim->version;
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    if (i != SS_WATCH_ALL && g_str_has_prefix (key, ss_watch_prefix (i)))
      e.platform_objects.watch = (SsWatch) i;
  e.era = sim->era;
  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.since = sim->watch_since[e.platform_objects.watch];
  e.platform_objects.objects = &o;
  e.platform_objects.object_count = 1;
  e.platform_objects.revision = sim->version;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
}
