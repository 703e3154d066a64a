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
  writers->last
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  writers->pending = g_tree_new_full (compare_offsets, NULL, g_free, g_free);
}

void
ss_writers_finish (SsWriters *writers)
{
  g_hash_table_destroy (writers->last);
  g_tree_destroy (writers->pending);
}

/* Forgets all: entries up to FROM are by unknown writers. */
static void
restart (SsWriters *w, uint64_t term, uint64_t from)
{
  w->term = term;
  w->from = from;
  w->upto = from;
  g_hash_table_remove_all (w->last);
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
extend (SsWriters *w, const char *identity, uint64_t offset)
{
  w->upto = offset;
  if (*identity)
    g_hash_table_replace (w->last, g_strdup (identity), copy_offset (offset));
}

static void
take_pending (SsWriters *w)
{
  uint64_t next = w->upto + 1;
  const char *identity;

  while ((identity = g_tree_lookup (w->pending, &next)))
    {
      extend (w, identity, next);
      g_tree_remove (w->pending, &next);
      next = w->upto + 1;
    }
}

void
ss_writers_committed (SsWriters *writers, const char *identity,
                      SsPosition position)
{
  if (position.term < writers->term)
    return;
  if (position.term > writers->term
      || g_hash_table_size (writers->last) >= SS_WRITERS_MAX)
    restart (writers, position.term, position.offset - 1);
  if (position.offset <= writers->upto)
    return;
  g_tree_replace (writers->pending, copy_offset (position.offset),
                  g_strdup (identity));
  take_pending (writers);
  /* An entry that does not come was written by somebody else. */
  if (g_tree_nnodes (writers->pending) > SS_WRITERS_PENDING_MAX)
    restart (writers, position.term, position.offset);
}

SsPosition
ss_writers_floor (const SsWriters *writers, const char *identity,
                  SsPosition primary)
{
  const uint64_t *last = g_hash_table_lookup (writers->last, identity);
  SsPosition floor = { primary.term, writers->from };

  if (writers->term != primary.term || writers->upto < primary.offset)
    return primary;
  if (last && *last > floor.offset)
    floor.offset = *last;
  return floor;
}
