/* position: places in a group's log, and what a session has to see.
 *
 * Offsets run on across terms.  A server's log is named by its history: the
 * first offset of each term.
 */
#ifndef SS_POSITION_H
#define SS_POSITION_H

#include <stdbool.h>
#include <stdint.h>

#define SS_HISTORY_MAX 16
#define SS_POSITION_TEXT_BYTES 48

typedef struct
{
  uint64_t term;
  uint64_t offset;
} SsPosition;

typedef struct
{
  SsPosition starts[SS_HISTORY_MAX]; /* ascending; the latest terms */
  uint32_t count;
} SsHistory;

/* ss_position_compare: by term, then by offset; as memcmp. */
int32_t ss_position_compare (SsPosition a, SsPosition b);

/* ss_position_covers: whether a server at HAS shows all that is confirmed up
 * to FLOOR.  A later term holds every acknowledged write of earlier ones, so
 * a later term at the floor's offset or above covers it.
 */
bool ss_position_covers (SsPosition has, SsPosition floor);

/* ss_position_max: the one that covers more. */
SsPosition ss_position_max (SsPosition a, SsPosition b);

/* ss_position_translate: expresses FLOOR of an earlier term in a log with
 * HISTORY.  Where a later term began at or before the floor, the part behind
 * that start was never acknowledged and is cut off.
 */
SsPosition ss_position_translate (SsPosition floor, const SsHistory *history);

/* ss_position_parse: "TERM/OFFSET"; returns false where TEXT is not one. */
bool ss_position_parse (const char *text, SsPosition *position);
/* ss_position_format: OUT has SS_POSITION_TEXT_BYTES. */
void ss_position_format (SsPosition position, char *out);

/* ss_history_parse: "term:first,term:first"; keeps the latest terms. */
bool ss_history_parse (const char *text, SsHistory *history);

#endif
