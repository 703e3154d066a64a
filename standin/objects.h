/* objects: the objects of the stand-in platform, and a copy of them. */
#ifndef SS_STANDIN_OBJECTS_H
#define SS_STANDIN_OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t version;
  json_t *value;
} Object;

typedef struct
{
  GTree *by_key; /* key -> Object */
  int64_t revision;
} Objects;

void objects_init (Objects *objects);
void objects_finish (Objects *objects);
/* objects_put: stores VALUE, a new reference, under KEY at the next revision.
 * Returns the object.
 */
const Object *objects_put (Objects *objects, const char *key, json_t *value);
/* objects_copy: replaces the contents of TO by those of FROM. */
void objects_copy (Objects *to, const Objects *from);
/* objects_collect_foreign: adds the keys of BEFORE to OUT that clients other
 * than the VMs wrote, and whose object NOW does not have, oldest write first.
 * Free the keys with g_free ().
 */
void objects_collect_foreign (const Objects *before, const Objects *now,
                              GPtrArray *out);

#endif
