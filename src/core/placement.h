/* placement: whether a group's primary should move to one of its replicas.
 *
 * First load pattern: the replicas receive the log but apply it seconds late,
 * later than reads accept.  The primary then runs every read of its group,
 * which is more than it has slots for, while the slots of the replicas stay
 * unused.  A promoted server has applied all that it received, and the old
 * primary, which has applied its whole log, serves reads as a replica.  So one
 * promotion gives the reads two servers again.
 *
 * It costs the writes a failover, so the lag has to last longer than that, and
 * the primary must have a queue.
 *
 * Second load pattern: the primary answers, but its replicas receive nothing
 * from it.  No commit reaches a majority, and all reads end up at the primary.
 * Another server may have better links.
 *
 * If a move did not help, the next one has to wait for twice the time.
 */
#ifndef SS_PLACEMENT_H
#define SS_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/position.h"

/* Mean queueing time at the primary from which it counts as overloaded. */
#define SS_PLACEMENT_WAIT_MS 60
/* First pause after a move, and the longest one. */
#define SS_PLACEMENT_PAUSE_MS 10000
#define SS_PLACEMENT_PAUSE_MAX_MS 300000
/* Commits that reach no majority for this long are more than a short loss of
 * packets.
 */
#define SS_PLACEMENT_STALLED_MS 1000
/* A group that changed its primary more recently is left alone. */
#define SS_PLACEMENT_SETTLE_MS 4000
/* A replica counts as receiving if it has what the primary had at least this
 * long ago.
 */
#define SS_PLACEMENT_SAMPLE_MS 1000

typedef struct
{
  int64_t moved_ms; /* when the last move started; 0: never */
  int64_t pause_ms; /* no move before this time has passed since then */
  int64_t sampled_ms;
  SsPosition sampled;  /* the primary's position at sampled_ms */
  SsPosition expected; /* the sample before: replicas that receive have it */
} SsPlacement;

/* What a decision depends on. */
typedef struct
{
  bool receiving;       /* a replica that may lead receives the log */
  int64_t lag_ms;       /* least lag of the replicas that answer */
  int64_t wait_ms;      /* mean queueing time at the primary */
  int64_t staleness_ms; /* most that a read of the group accepts */
  int64_t failover_ms;  /* expected duration of the move */
  int64_t settled_ms;   /* since the primary last changed */
  int64_t stalled_ms;   /* for how long commits have reached no majority */
  uint32_t candidates;  /* replicas that answer and may lead */
} SsPlacementView;

/* ss_placement_sample: records the primary's POSITION.  Called at least once in
 * SS_PLACEMENT_SAMPLE_MS.
 */
void ss_placement_sample (SsPlacement *placement, SsPosition position,
                          int64_t now_ms);
/* ss_placement_receives: whether a server with log position HELD receives the
 * primary's log.
 */
bool ss_placement_receives (const SsPlacement *placement, SsPosition held);
/* ss_placement_is_in_trouble: whether the primary's queue or its commits,
 * wait_ms and stalled_ms of VIEW, are a reason to look at the rest.
 */
bool ss_placement_is_in_trouble (const SsPlacementView *view);
bool ss_placement_should_move (const SsPlacement *placement,
                               const SsPlacementView *view, int64_t now_ms);
/* ss_placement_moved: records that a move started. */
void ss_placement_moved (SsPlacement *placement, int64_t now_ms);

#endif
