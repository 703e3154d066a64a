#include "core/lease_listing.h"

#include <jansson.h>
#include <string.h>

#include "core/version.h"

static GHashTable *
new_times (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
set_time (GHashTable *times, const char *group, int64_t value)
{
  int64_t *copy = g_new (int64_t, 1);

  *copy = value;
  g_hash_table_replace (times, g_strdup (group), copy);
}

void
ss_lease_listing_init (SsLeaseListing *listing, uint64_t life)
{
  memset (listing, 0, sizeof *listing);
  g_snprintf (listing->life, sizeof listing->life, "%016" G_GINT64_MODIFIER "x",
              life);
  listing->since_ms = new_times ();
  listing->given_up = new_times ();
}

void
ss_lease_listing_finish (SsLeaseListing *listing)
{
  g_hash_table_destroy (listing->since_ms);
  g_hash_table_destroy (listing->given_up);
}

const int64_t *
ss_lease_listing_since (const SsLeaseListing *listing, const char *group)
{
  return g_hash_table_lookup (listing->since_ms, group);
}

/* A write of an earlier life may still be carried out, too. */
static bool
is_of_this_life (const SsLeaseListing *listing, json_t *json)
{
  const char *life = json_string_value (json_object_get (json, "life"));

  return life && strcmp (life, listing->life) == 0;
}

/* Whether a write without GROUP may still replace the object of VERSION. */
static bool
may_be_unlisted (const SsLeaseListing *listing, const char *group,
                 int64_t version)
{
  const int64_t *based_on = g_hash_table_lookup (listing->given_up, group);

  return based_on && version <= *based_on;
}

void
ss_lease_listing_adopt (SsLeaseListing *listing, const char *value,
                        uint32_t value_bytes, int64_t version, int64_t now_ms)
{
  json_t *json = value ? json_loadb (value, value_bytes, 0, NULL) : NULL;
  json_t *groups = is_of_this_life (listing, json)
                       ? json_object_get (json, "leases")
                       : NULL;
  GHashTable *before = listing->since_ms;
  bool same_era = ss_version_era (listing->version) == ss_version_era (version);
  json_t *item;
  size_t i;

  listing->since_ms = new_times ();
  json_array_foreach (groups, i, item)
  {
    const char *group = json_string_value (item);
    const int64_t *since_ms
        = group && same_era ? g_hash_table_lookup (before, group) : NULL;

    if (group && !may_be_unlisted (listing, group, version))
      set_time (listing->since_ms, group, since_ms ? *since_ms : now_ms);
  }
  listing->version = version;
  g_hash_table_destroy (before);
  json_decref (json);
}

static bool
contains (const GPtrArray *groups, const char *group)
{
  for (guint i = 0; i < groups->len; i++)
    if (strcmp (g_ptr_array_index (groups, i), group) == 0)
      return true;
  return false;
}

uint32_t
ss_lease_listing_give_up (SsLeaseListing *listing, const GPtrArray *groups,
                          int64_t version)
{
  GHashTableIter iter;
  gpointer group;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, listing->since_ms);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    {
      if (contains (groups, group))
        continue;
      set_time (listing->given_up, group, version);
      g_hash_table_iter_remove (&iter);
      count++;
    }
  if (count)
    listing->stamp++;
  return count;
}
