#include "plugins/platform_api.h"

#include <stdlib.h>
#include <string.h>

#include "core/version.h"
#include "kernel/json_items.h"

/* --- calls --- */

/* Returns KEY with its name escaped, to be freed with g_free.  A slash of the
 * name is escaped as well: the name may be "../vm/a".
 */
static char *
escape_key (const char *key)
{
  const char *slash = strchr (key, '/');
  size_t kind_bytes = slash ? (size_t) (slash - key) + 1 : 0;
  char *name = g_uri_escape_string (key + kind_bytes, NULL, FALSE);
  char *escaped = g_strdup_printf ("%.*s%s", (int) kind_bytes, key, name);

  g_free (name);
  return escaped;
}

char *
ss_platform_api_path (const SsAction *a)
{
  int64_t revision = ss_version_revision (a->number);
  char *key = a->name ? escape_key (a->name) : NULL;
  char *path;

  switch (a->kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      path = g_strdup_printf ("v1/watch?since=%" G_GINT64_FORMAT "&wait_ms=%d",
                              revision, SS_PLATFORM_API_WAIT_MS);
      break;
    case SS_ACTION_PLATFORM_VMS:
      path = g_strdup ("v1/vms");
      break;
    case SS_ACTION_PLATFORM_PUT:
      path = g_strdup_printf ("v1/objects/%s?if_version=%" G_GINT64_FORMAT, key,
                              revision);
      break;
    default:
      path = g_strdup_printf ("v1/objects/%s", key);
      break;
    }
  g_free (key);
  return path;
}

/* --- responses --- */

bool
ss_platform_api_read_object (json_t *json, int64_t era, SsObject *out,
                             char **text)
{
  json_t *value = json_object_get (json, "value");

  out->key = json_string_value (json_object_get (json, "key"));
  out->version = ss_version (
      era, json_integer_value (json_object_get (json, "version")));
  *text = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  out->value = *text;
  out->value_bytes = *text ? (uint32_t) strlen (*text) : 0;
  return out->key && *text;
}

static void
add_object (SsPlatformChanges *changes, SsJsonText item, int64_t era)
{
  json_t *json = json_loadb (item.text, item.bytes, 0, NULL);
  SsObject object = { 0 };
  char *text;

  if (ss_platform_api_read_object (json, era, &object, &text))
    g_array_append_val (changes->objects, object);
  else
    changes->refused++;
  if (json)
    g_ptr_array_add (changes->jsons, json);
  if (text)
    g_ptr_array_add (changes->texts, text);
}

/* Reads the array ITEMS; none is an empty one. */
static bool
add_objects (SsPlatformChanges *changes, SsJsonText items, int64_t era)
{
  SsJsonCursor c;
  SsJsonText item;

  if (!items.text)
    return true;
  ss_json_cursor_init (&c, items);
  if (!ss_json_enter (&c, '['))
    return false;
  while (ss_json_next_item (&c) && ss_json_take (&c, &item))
    add_object (changes, item, era);
  return ss_json_is_done (&c);
}

static int64_t
read_revision (SsJsonText text)
{
  json_t *json = text.text
                     ? json_loadb (text.text, text.bytes, JSON_DECODE_ANY, NULL)
                     : NULL;
  int64_t revision = json_integer_value (json);

  json_decref (json);
  return revision;
}

static void
free_json (gpointer json)
{
  json_decref (json);
}

bool
ss_platform_changes_init (SsPlatformChanges *changes, const GByteArray *body,
                          int64_t era)
{
  static const char *const names[] = { "revision", "items" };
  SsJsonText text = { (const char *) body->data, body->len };
  SsJsonText values[2];

  changes->objects = g_array_new (FALSE, FALSE, sizeof (SsObject));
  changes->jsons = g_ptr_array_new_with_free_func (free_json);
  changes->texts = g_ptr_array_new_with_free_func (free);
  changes->refused = 0;
  changes->revision = 0;
  if (!ss_json_find_members (text, names, values, 2))
    return false;
  changes->revision = ss_version (era, read_revision (values[0]));
  return add_objects (changes, values[1], era);
}

void
ss_platform_changes_finish (SsPlatformChanges *changes)
{
  g_array_unref (changes->objects);
  g_ptr_array_unref (changes->jsons);
  g_ptr_array_unref (changes->texts);
}
