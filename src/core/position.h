/* position: positions in a group's replication log.
 *
 * Offsets increase across terms: a new term does not restart them.  A server's
 * history, the first offset of each term, identifies its log.
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

/* ss_position_compare: compares by term, then by offset.  Returns -1, 0 or 1.
 */
int32_t ss_position_compare (SsPosition a, SsPosition b);

/* ss_position_covers: whether a server at HAS has applied every confirmed write
 * up to FLOOR.  A later term contains every acknowledged write of earlier ones,
 * so a later term at the floor's offset or above covers it.
 */
bool ss_position_covers (SsPosition has, SsPosition floor);

/* ss_position_max: returns the later one, in the order of ss_position_compare.
 */
SsPosition ss_position_max (SsPosition a, SsPosition b);

/* ss_position_translate: returns the equivalent of FLOOR, which may be of an
 * earlier term, in a log with HISTORY.  Where a later term starts at or before
 * the floor, the earlier term's entries after that start were never
 * acknowledged; the result is the start of the later term.
 */
SsPosition ss_position_translate (SsPosition floor, const SsHistory *history);

/* ss_position_parse: parses "TERM/OFFSET"; returns false where TEXT is
 * malformed.
 */
bool ss_position_parse (const char *text, SsPosition *position);
/* ss_position_format: writes "TERM/OFFSET" to OUT, a buffer of
 * SS_POSITION_TEXT_BYTES bytes.
 */
void ss_position_format (SsPosition position, char *out);

/* ss_history_parse: parses "TERM:OFFSET,TERM:OFFSET,..." in ascending order and
 * keeps the last SS_HISTORY_MAX entries.  Returns false where TEXT is
 * malformed; the empty text is an empty history.
 */
bool ss_history_parse (const char *text, SsHistory *history);

#endif
