/* predict: whether waiting for a primary is worth it.
 *
 * It answers this load: writes come at their usual rate while their group
 * changes its primary.  A refusal costs each caller a try; a wait that ends in
 * time costs nothing but the wait, and one that doesn't costs both.
 */
#ifndef SS_PREDICT_H
#define SS_PREDICT_H

#include <stdbool.h>
#include <stdint.h>

/* A change of primary takes this long from its claim on, until one was seen:
 * raising the term, the promotion itself, and its news.
 */
#define SS_PREDICT_CHANGE_START_MS 900
/* The next change may take this many hundredths of the longest seen. */
#define SS_PREDICT_MARGIN_PERCENT 130
/* A primary that just went silent is found out and replaced, or is back. */
#define SS_PREDICT_DETECTION_MS 600

typedef struct
{
  int64_t change_ms; /* moving estimate; 0: none was seen */
} SsPrediction;

/* ss_prediction_learn: a change took CHANGE_MS from its claim on. */
void ss_prediction_learn (SsPrediction *prediction, int64_t change_ms);
/* ss_prediction_end_ms: when a change that began at SINCE_MS will be over. */
int64_t ss_prediction_end_ms (const SsPrediction *prediction, int64_t since_ms);

#endif
