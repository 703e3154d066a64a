/* platform_api: paths and responses of the platform's object API. */
#ifndef SS_PLUGINS_PLATFORM_API_H
#define SS_PLUGINS_PLATFORM_API_H

#include <glib.h>
#include <jansson.h>

#include "core/event.h"

/* How long the platform holds a watch without a change. */
#define SS_PLATFORM_API_WAIT_MS 8000

/* ss_platform_api_path: returns path and query of the call that A asks for,
 * without a slash at the beginning; to be freed with g_free.  Of a key,
 * "KIND/NAME", the name is escaped.
 */
char *ss_platform_api_path (const SsAction *a);

/* ss_platform_api_read_object: reads OUT from {"key", "version", "value"}; OUT
 * borrows from JSON and from *TEXT, the value, to be freed with free.  Returns
 * false if the key or the value is missing.
 */
bool ss_platform_api_read_object (json_t *json, int64_t era, SsObject *out,
                                  char **text);

/* The response to a watch. */
typedef struct
{
  GArray *objects;  /* of SsObject: those that can be read */
  GPtrArray *jsons; /* of json_t, which the keys belong to */
  GPtrArray *texts; /* of char *, the values */
  uint32_t refused; /* objects that can't be read */
  int64_t revision; /* a version */
} SsPlatformChanges;

/* ss_platform_changes_init: reads BODY.  Each object is read by itself: one
 * that can't be read leaves the others as they are.  Returns false if the
 * response can't be split into its objects.  Finish CHANGES in either case.
 */
bool ss_platform_changes_init (SsPlatformChanges *changes,
                               const GByteArray *body, int64_t era);
void ss_platform_changes_finish (SsPlatformChanges *changes);

#endif
