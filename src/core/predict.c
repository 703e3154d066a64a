#include "core/predict.h"

#include <glib.h>

#include "core/message.h"

void
ss_predict_learn (SsPrediction *prediction, int64_t failover_ms)
{
  if (failover_ms > prediction->failover_ms)
    prediction->failover_ms = failover_ms;
  else
    prediction->failover_ms = (prediction->failover_ms + failover_ms) / 2;
}

int64_t
ss_predict_failover_ms (const SsPrediction *prediction)
{
  return prediction->failover_ms ? prediction->failover_ms
                                 : SS_PREDICT_INITIAL_FAILOVER_MS;
}

int64_t
ss_predict_end_ms (const SsPrediction *prediction, int64_t since_ms)
{
  return since_ms
         + ss_predict_failover_ms (prediction) * SS_PREDICT_MARGIN_PERCENT
               / 100;
}

bool
ss_predict_primary (SsNode *node, const SsGroup *group, int64_t deadline_ms,
                    int64_t *until_ms)
{
  const SsTarget *primary = ss_group_primary (group);
  int64_t since_ms = group->changed_ms;

  if (primary)
    since_ms = MAX (primary->reachable_ms, group->changed_ms)
               + SS_PREDICT_DETECTION_MS;
  *until_ms = ss_predict_end_ms (&node->prediction, since_ms);
  if (*until_ms <= node->now_ms || *until_ms > deadline_ms)
    return false;
  return true;
}
