#include "plugins/platform_api.h"

#include <string.h>

#include "core/version.h"

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
