/* reliance: on what the owner of a primary relies when it runs a statement that
 * a superseded primary must not run, and which statements those were.
 *
 * For the log only: a change of the basis is logged, and the latest statements
 * once a later primary is known, so that a stale read is traced from its id.
 */
#ifndef SS_RELIANCE_H
#define SS_RELIANCE_H

#include <stdbool.h>
#include <stdint.h>

#define SS_RELIANCE_STATEMENTS 16
#define SS_RELIANCE_LABEL_BYTES 40

typedef enum
{
  SS_RELIANCE_NONE,
  SS_RELIANCE_LEASE,  /* the platform confirmed the group's object */
  SS_RELIANCE_SERVERS /* a majority of the voters showed no later term */
} SsRelianceBasis;

typedef struct
{
  char label[SS_RELIANCE_LABEL_BYTES];
  SsRelianceBasis basis;
  uint64_t term;
  int64_t confirmed_ms; /* what was relied on was asked for then */
  int64_t at_ms;        /* when the statement was let through; 0: unused */
} SsReliedStatement;

typedef struct
{
  SsRelianceBasis basis; /* of the last statement */
  uint64_t term;
  SsReliedStatement last[SS_RELIANCE_STATEMENTS];
  uint32_t next; /* the entry of LAST to use next */
} SsReliance;

/* ss_reliance_note: records the statement LABEL (NULL: without one), let
 * through at NOW_MS in TERM on BASIS, asked for at CONFIRMED_MS.  Returns
 * whether the basis or the term differs from the one before.
 */
bool ss_reliance_note (SsReliance *reliance, const char *label,
                       SsRelianceBasis basis, uint64_t term,
                       int64_t confirmed_ms, int64_t now_ms);
/* ss_reliance_take: sets *FOUND to the oldest statement recorded since SINCE_MS
 * of a term below TERM, and forgets it and all older ones.  Returns false if
 * there is none.
 */
bool ss_reliance_take (SsReliance *reliance, uint64_t term, int64_t since_ms,
                       SsReliedStatement *found);
const char *ss_reliance_basis_name (SsRelianceBasis basis);

#endif
