/* predict: estimates when a failover ends, to decide whether a request waits
 * for it or is refused at once.
 *
 * Writes arrive at their usual rate during a failover.  A refusal costs the
 * caller one attempt.  A wait that ends before the deadline costs only the
 * wait; one that does not costs both.
 */
#ifndef SS_PREDICT_H
#define SS_PREDICT_H

#include <stdbool.h>
#include <stdint.h>

/* Assumed duration of a failover until one was observed.  It starts with the
 * claim on the promotion and includes raising the term, the promotion and the
 * distribution of the new configuration.
 */
#define SS_PREDICT_INITIAL_FAILOVER_MS 900
/* Safety margin: percentage of the estimate that the next failover may take. */
#define SS_PREDICT_MARGIN_PERCENT 130
/* Time until the failure of a silent primary is detected, or it answers again.
 */
#define SS_PREDICT_DETECTION_MS 600

typedef struct
{
  int64_t failover_ms; /* moving estimate; 0: no failover was observed */
} SsPrediction;

/* ss_predict_learn: updates the estimate with a failover that took
 * FAILOVER_MS from its claim.  A longer one counts at once; a shorter one
 * lowers the estimate by half of the difference.
 */
void ss_predict_learn (SsPrediction *prediction, int64_t failover_ms);
/* ss_predict_failover_ms: returns the expected duration of a failover from its
 * claim.
 */
int64_t ss_predict_failover_ms (const SsPrediction *prediction);
/* ss_predict_end_ms: returns the expected end of a failover that began at
 * SINCE_MS.
 */
int64_t ss_predict_end_ms (const SsPrediction *prediction, int64_t since_ms);

#endif
