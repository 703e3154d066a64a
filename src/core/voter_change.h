/* voter_change: how the voters of a group change (docs/design/voters.md).
 *
 * The coordinator of promotions makes the servers that live the voters.  The
 * set before stays in force beside the new one until every VM has adopted the
 * change and the new set holds what the old one acknowledged.
 */
#ifndef SS_VOTER_CHANGE_H
#define SS_VOTER_CHANGE_H

#include "core/voters.h"

typedef enum
{
  SS_VOTER_STEP_NONE,
  SS_VOTER_STEP_BEGIN, /* other servers become the voters */
  SS_VOTER_STEP_END,   /* the set before is no longer needed */
  SS_VOTER_STEP_LOST   /* as END, without what only the set before may hold */
} SsVoterStep;

/* What the coordinator knows of a group. */
typedef struct
{
  const SsVoters *voters;   /* NULL: none are known */
  const SsGroup *group;     /* counted with voters */
  const GPtrArray *targets; /* all known ones of the group, or NULL */
  uint32_t servers; /* bit set of group->servers: those that are to be voters */
  /* Of a change that has not ended: */
  bool is_adopted;    /* every listed VM has adopted it */
  bool is_replicated; /* a majority of the new set holds the primary's position,
                         as read after that */
  bool is_short;      /* too few of the set before are among servers, and every
                         listed VM has been asked since */
} SsVoterView;

/* ss_voter_change_next: returns the step that is due, and sets *NEXT to the
 * voters to write, to be freed with ss_voters_free; NULL for NONE.
 */
SsVoterStep ss_voter_change_next (const SsVoterView *view, SsVoters **next);

/* ss_voter_change_holds: whether the servers of the new set that hold POSITION,
 * by their last state, are a majority of it.
 */
bool ss_voter_change_holds (const SsGroup *group, SsPosition position);

#endif
