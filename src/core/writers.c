#include "core/writers.h"

#include <string.h>

static int
compare_offsets (gconstpointer a, gconstpointer b, gpointer data)
{
  uint64_t x = *(const uint64_t *) a;
  uint64_t y = *(const uint64_t *) b;

  (void) data;
  return x < y ? -1 : x > y;
}

void
ss_writers_init (SsWriters *writers)
{
  memset (writers, 0, sizeof *writers);
  writers->last_writes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  writers->pending = g_tree_new_full (compare_offsets, NULL, g_free, g_free);
}

void
ss_writers_finish (SsWriters *writers)
{
  g_hash_table_destroy (writers->last_writes);
  g_tree_destroy (writers->pending);
}

/* Drops all records; the writers of entries up to KNOWN_AFTER are unknown. */
static void
reset (SsWriters *w, uint64_t term, uint64_t known_after)
{
  w->term = term;
  w->known_after = known_after;
  w->known_upto = known_after;
  g_hash_table_remove_all (w->last_writes);
  g_tree_remove_all (w->pending);
}

static uint64_t *
copy_offset (uint64_t offset)
{
  uint64_t *copy = g_new (uint64_t, 1);

  *copy = offset;
  return copy;
}

static void
append (SsWriters *w, const char *identity, uint64_t offset)
{
  w->known_upto = offset;
  if (*identity)
    g_hash_table_replace (w->last_writes, g_strdup (identity),
                          copy_offset (offset));
}

static void
append_pending (SsWriters *w)
{
  uint64_t next = w->known_upto + 1;
  const char *identity;

  while ((identity = g_tree_lookup (w->pending, &next)))
    {
      append (w, identity, next);
      g_tree_remove (w->pending, &next);
      next = w->known_upto + 1;
    }
}

void
ss_writers_committed (SsWriters *writers, const char *identity,
                      SsPosition position)
{
  if (position.term < writers->term)
    return;
  if (position.term > writers->term
      || g_hash_table_size (writers->last_writes) >= SS_WRITERS_MAX)
    reset (writers, position.term, position.offset - 1);
  if (position.offset <= writers->known_upto)
    return;
  g_tree_replace (writers->pending, copy_offset (position.offset),
                  g_strdup (identity));
  append_pending (writers);
  /* A gap that does not close was written by another client. */
  if (g_tree_nnodes (writers->pending) > SS_WRITERS_PENDING_MAX)
    reset (writers, position.term, position.offset);
}

SsPosition
ss_writers_floor (const SsWriters *writers, const char *identity,
                  SsPosition primary)
{
  const uint64_t *last_write
      = g_hash_table_lookup (writers->last_writes, identity);
  SsPosition floor = { primary.term, writers->known_after };

  if (writers->term != primary.term || writers->known_upto < primary.offset)
    return primary;
  if (last_write && *last_write > floor.offset)
    floor.offset = *last_write;
  return floor;
}
