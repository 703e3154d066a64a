#include "core/config_order.h"

#include <jansson.h>

#include "core/config_store.h"
#include "core/parse.h"
#include "core/version.h"
#include "core/voters.h"

/* Whether the content under KEY stays in force when a restored store no longer
 * has it: the operator or the VMs write it again.
 */
static bool
outlives_restore (const char *key)
{
  return !g_str_has_prefix (key, "target/") && !g_str_has_prefix (key, "vm/");
}

/* Returns a rank that rises with each change of a group: its terms rise, and a
 * term has no primary before it has one.  0: OBJECT is no valid group.
 */
static uint64_t
group_rank (const SsObject *object)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  SsGroup *g = g_new0 (SsGroup, 1);
  char *error = ss_parse_group (g, json);
  uint64_t rank = error ? 0 : 2 * g->term + (*g->primary ? 1 : 0);

  g_free (error);
  ss_group_free (g);
  json_decref (json);
  return rank;
}

/* Returns the generation of voters; 0: OBJECT is not valid. */
static uint64_t
voters_generation (const SsObject *object)
{
  json_t *json = json_loadb (object->value, object->value_bytes, 0, NULL);
  char *error = NULL;
  SsVoters *v = ss_voters_parse ("", json, &error);
  uint64_t generation = v ? v->generation : 0;

  g_free (error);
  if (v)
    ss_voters_free (v);
  json_decref (json);
  return generation;
}

static int
compare_numbers (uint64_t before, uint64_t after)
{
  return before < after ? -1 : before > after;
}

/* The functions below compare two objects by their contents: below 0 if STORED
 * is the older one, above 0 if it is the newer one, 0 if they do not tell.
 */

static int
compare_sequences (const SsStoredObject *stored, const SsObject *object)
{
  if (stored->deleted || object->deleted || !stored->sequence
      || !object->sequence)
    return 0;
  return compare_numbers ((uint64_t) stored->sequence,
                          (uint64_t) object->sequence);
}

static int
compare_groups (const SsStoredObject *stored, const SsObject *object)
{
  SsObject before = ss_stored_object_view (stored);

  if (stored->deleted || object->deleted)
    return 0;
  if (g_str_has_prefix (object->key, "group/"))
    return compare_numbers (group_rank (&before), group_rank (object));
  if (g_str_has_prefix (object->key, SS_VOTERS_PREFIX))
    return compare_numbers (voters_generation (&before),
                            voters_generation (object));
  return 0;
}

/* A deletion carries the version of the object that it deletes. */
bool
ss_config_is_newer (const SsStoredObject *stored, const SsObject *object)
{
  int order;

  if (stored->version == object->version)
    return object->deleted && !stored->deleted;
  order = compare_sequences (stored, object);
  if (order)
    return order < 0;
  if (ss_version_era (stored->version) != ss_version_era (object->version))
    {
      if (object->deleted && outlives_restore (object->key))
        return false;
      order = compare_groups (stored, object);
    }
  return order ? order < 0 : stored->version < object->version;
}
