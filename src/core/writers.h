/* writers: tracks which caller wrote which entries of a group's log, at the
 * owner of the primary.
 *
 * A session that presents no position token then needs only the last write of
 * its own caller as its floor, not the primary's current position.  This holds
 * only if every entry since a known one was committed through this owner;
 * otherwise the primary's position is the floor.
 */
#ifndef SS_WRITERS_H
#define SS_WRITERS_H

#include <glib.h>

#include "core/position.h"

/* Limits of last_writes and pending.  At a limit, all records are dropped. */
#define SS_WRITERS_MAX 100000
#define SS_WRITERS_PENDING_MAX 256

typedef struct
{
  uint64_t term;
  uint64_t known_after; /* the writers of entries up to this are unknown */
  uint64_t known_upto;  /* the writers of entries after known_after, up to this,
                           are known */
  GHashTable *last_writes; /* identity -> offset of its last entry */
  GTree *pending; /* offset -> identity; beyond a gap after known_upto */
} SsWriters;

void ss_writers_init (SsWriters *writers);
void ss_writers_finish (SsWriters *writers);

/* ss_writers_committed: records that IDENTITY (empty if unknown) committed the
 * entry at POSITION.
 */
void ss_writers_committed (SsWriters *writers, const char *identity,
                           SsPosition position);

/* ss_writers_floor: returns the minimum position for reads of IDENTITY while
 * the primary is at PRIMARY.  Returns PRIMARY if some entry's writer is
 * unknown.
 */
SsPosition ss_writers_floor (const SsWriters *writers, const char *identity,
                             SsPosition primary);

#endif
