/* read_spread: selects one of several servers for a read by expected response
 * times.
 *
 * Load pattern: many VMs see the same state report at the same time, and the
 * next one comes after their reads.  If each selected the best server, all
 * would go there at once.  So servers are selected at random, with weights that
 * fall exponentially with the expected response time.  Queueing times that
 * differ widen the range of times that share the reads, as they are old when
 * they arrive and change by the reads themselves.
 */
#ifndef SS_READ_SPREAD_H
#define SS_READ_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

/* Difference of expected response times by which the weight falls to 1/e: at
 * least this time, this share of the best time, and a multiple of the
 * difference of the queueing times up to a bound.
 */
#define SS_SPREAD_MIN_MS 3.0
#define SS_SPREAD_SHARE 0.25
#define SS_SPREAD_WAIT_FACTOR 2.0
#define SS_SPREAD_WAIT_MAX_MS 100.0
/* Share of reads that a suspected server gets, to see its recovery. */
#define SS_SPREAD_PROBE_SHARE 0.02

typedef struct
{
  double wait_ms;  /* in the queue of the owner */
  double other_ms; /* all other expected times */
  bool is_probed;  /* gets at least SS_SPREAD_PROBE_SHARE */
} SsReadCost;

/* ss_read_spread_pick: returns the index of the selected one of COUNT servers,
 * at least one.  RANDOM is uniform in [0, 1).
 */
uint32_t ss_read_spread_pick (const SsReadCost *costs, uint32_t count,
                              double random);

#endif
