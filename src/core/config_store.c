#include "core/config_store.h"

#include <string.h>
#include <xxhash.h>
#include <zlib.h>

#include "core/version.h"

/* Smaller values gain nothing from compression. */
#define COMPRESS_MIN_BYTES 1024
/* Bound on what an invalid message makes this VM allocate. */
#define DECOMPRESSED_MAX_BYTES (64 * 1024 * 1024)

bool
ss_stored_object_is_equal (const SsStoredObject *stored, const SsObject *object)
{
  gsize bytes;
  const char *value;

  if (!stored || stored->deleted != object->deleted)
    return false;
  value = g_bytes_get_data (stored->value, &bytes);
  return bytes == object->value_bytes
         && (bytes == 0 || memcmp (value, object->value, bytes) == 0);
}

SsObject
ss_stored_object_view (const SsStoredObject *stored)
{
  gsize bytes;
  const char *value = g_bytes_get_data (stored->value, &bytes);

  return (SsObject){ .key = stored->key,
                     .version = stored->version,
                     .value = value,
                     .value_bytes = (uint32_t) bytes,
                     .deleted = stored->deleted,
                     .sequence = stored->sequence };
}

static uint64_t
hash_object (const char *key, int64_t version, bool deleted)
{
  return XXH3_64bits_withSeed (key, strlen (key),
                               (XXH64_hash_t) version * 2 + (deleted ? 1 : 0));
}

uint64_t
ss_stored_object_hash (const SsStoredObject *stored)
{
  return hash_object (stored->key, stored->version, stored->deleted);
}

GBytes *
ss_stored_object_compress (SsStoredObject *stored)
{
  gsize bytes;
  const Bytef *value = g_bytes_get_data (stored->value, &bytes);
  uLongf compressed_bytes = compressBound (bytes);
  Bytef *compressed;

  if (stored->compressed || bytes < COMPRESS_MIN_BYTES)
    return stored->compressed;
  compressed = g_malloc (compressed_bytes);
  if (compress2 (compressed, &compressed_bytes, value, bytes, Z_BEST_SPEED)
      != Z_OK)
    {
      g_free (compressed);
      return NULL;
    }
  stored->compressed = g_bytes_new_take (compressed, compressed_bytes);
  return stored->compressed;
}

char *
ss_config_decompress (const uint8_t *value, size_t compressed_bytes,
                      uint32_t value_bytes)
{
  uLongf bytes = value_bytes;
  char *text;

  if (value_bytes > DECOMPRESSED_MAX_BYTES)
    return NULL;
  text = g_malloc (value_bytes);
  if (uncompress ((Bytef *) text, &bytes, value, compressed_bytes) == Z_OK
      && bytes == value_bytes)
    return text;
  g_free (text);
  return NULL;
}

static bool
is_lost (const SsStoredObject *o)
{
  return !o->deleted && (o->seen_version != o->version || o->seen_deleted);
}

/* Updates since when the platform has lost the content of O, a group's object.
 */
static void
update_lost (const SsConfig *c, const SsStoredObject *o, int64_t now_ms)
{
  SsGroup *g = g_str_has_prefix (o->key, "group/")
                   ? ss_config_group (c, strchr (o->key, '/') + 1)
                   : NULL;

  if (!g)
    return;
  if (!is_lost (o))
    g->lost_ms = 0;
  else if (!g->lost_ms)
    g->lost_ms = now_ms;
}

void
ss_config_store_object (SsConfig *c, const SsObject *object, int64_t now_ms)
{
  SsStoredObject *o = g_new0 (SsStoredObject, 1);
  const SsStoredObject *stored = ss_config_object (c, object->key);

  if (stored)
    c->hash ^= hash_object (stored->key, stored->version, stored->deleted);
  c->hash ^= hash_object (object->key, object->version, object->deleted);

  o->key = g_strdup (object->key);
  o->version = object->version;
  o->value = g_bytes_new (object->value, object->value_bytes);
  o->deleted = object->deleted;
  o->sequence = object->sequence;
  o->seen_version = object->version;
  o->seen_deleted = object->deleted;
  if (stored && stored->seen_version > object->version)
    {
      o->seen_version = stored->seen_version;
      o->seen_deleted = stored->seen_deleted;
    }
  o->adopted_ms = now_ms;
  c->sequence = MAX (c->sequence, o->sequence);
  g_tree_replace (c->objects, o->key, o);
  update_lost (c, o, now_ms);
}

void
ss_config_record_seen (SsConfig *c, const SsObject *object, int64_t now_ms)
{
  SsStoredObject *o = g_tree_lookup (c->objects, object->key);

  if (object->version < o->seen_version
      || (object->version == o->seen_version && !object->deleted))
    return;
  o->seen_version = object->version;
  o->seen_deleted = object->deleted;
  update_lost (c, o, now_ms);
}

int64_t
ss_config_expected_version (const SsConfig *config, const char *key)
{
  const SsStoredObject *o = ss_config_object (config, key);

  return o && !o->seen_deleted ? o->seen_version : 0;
}

bool
ss_config_is_lost (const SsConfig *config, const char *key)
{
  const SsStoredObject *o = ss_config_object (config, key);

  return o && is_lost (o);
}

void
ss_config_record_absent (SsConfig *config, const char *key, int64_t now_ms)
{
  SsStoredObject *o = g_tree_lookup (config->objects, key);

  if (!o)
    return;
  o->seen_deleted = true;
  update_lost (config, o, now_ms);
}
