#include "standin/objects.h"

#include "kernel/compare.h"

static void
object_free (gpointer data)
{
  Object *o = data;

  json_decref (o->value);
  g_free (o);
}

void
objects_init (Objects *objects)
{
  objects->by_key
      = g_tree_new_full (ss_compare_strings, NULL, g_free, object_free);
  objects->revision = 0;
}

void
objects_finish (Objects *objects)
{
  g_tree_destroy (objects->by_key);
}

const Object *
objects_put (Objects *objects, const char *key, json_t *value)
{
  Object *o = g_new0 (Object, 1);

  o->version = ++objects->revision;
  o->value = value;
  g_tree_replace (objects->by_key, g_strdup (key), o);
  return o;
}

static gboolean
copy_one (gpointer key, gpointer value, gpointer data)
{
  const Object *from = value;
  Object *o = g_new0 (Object, 1);

  o->version = from->version;
  o->value = json_incref (from->value);
  g_tree_replace (data, g_strdup (key), o);
  return FALSE;
}

void
objects_copy (Objects *to, const Objects *from)
{
  objects_finish (to);
  objects_init (to);
  g_tree_foreach (from->by_key, copy_one, to->by_key);
  to->revision = from->revision;
}

/* --- objects that their writers write again --- */

typedef struct
{
  const Objects *now;
  const Objects *before;
  GPtrArray *out;
} Collect;

static bool
is_written_by_vms (const char *key)
{
  return g_str_has_prefix (key, "group/") || g_str_has_prefix (key, "vm/")
         || g_str_has_prefix (key, "duty/");
}

static gboolean
collect_lost (gpointer key, gpointer value, gpointer data)
{
  Collect *c = data;
  const Object *o = value;
  const Object *now = g_tree_lookup (c->now->by_key, key);

  if (!is_written_by_vms (key) && (!now || now->version != o->version))
    g_ptr_array_add (c->out, g_strdup (key));
  return FALSE;
}

static gint
compare_versions (gconstpointer a, gconstpointer b, gpointer data)
{
  const Collect *c = data;
  const Object *x = g_tree_lookup (c->before->by_key, *(char *const *) a);
  const Object *y = g_tree_lookup (c->before->by_key, *(char *const *) b);

  return x->version < y->version ? -1 : x->version > y->version;
}

void
objects_collect_foreign (const Objects *before, const Objects *now,
                         GPtrArray *out)
{
  Collect c = { now, before, out };

  g_tree_foreach (before->by_key, collect_lost, &c);
  g_ptr_array_sort_with_data (out, compare_versions, &c);
}
