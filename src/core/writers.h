/* writers: who wrote which entries of a group's log, as the primary's owner
 * saw it.
 *
 * With it a session that arrives without a token needs only its own caller's
 * last write as its floor, not the primary's present position.  It is used
 * only where every entry since a known one was committed through this owner;
 * else the primary's position stands.
 */
#ifndef SS_WRITERS_H
#define SS_WRITERS_H

#include <glib.h>

#include "core/position.h"

#define SS_WRITERS_MAX 100000
#define SS_WRITERS_PENDING_MAX 256

typedef struct
{
  uint64_t term;
  uint64_t from;    /* entries up to this one are by unknown writers */
  uint64_t upto;    /* entries after from up to this one are known */
  GHashTable *last; /* identity -> offset of its last entry */
  GTree *pending;   /* offset -> identity; known ahead of upto */
} SsWriters;

void ss_writers_init (SsWriters *writers);
void ss_writers_finish (SsWriters *writers);

/* ss_writers_committed: IDENTITY (may be empty) committed POSITION. */
void ss_writers_committed (SsWriters *writers, const char *identity,
                           SsPosition position);

/* ss_writers_floor: what IDENTITY has to see where the primary stands at
 * PRIMARY; PRIMARY itself where not every entry is known.
 */
SsPosition ss_writers_floor (const SsWriters *writers, const char *identity,
                             SsPosition primary);

#endif
