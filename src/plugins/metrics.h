/* metrics: the state of a node in the Prometheus text format. */
#ifndef SS_METRICS_H
#define SS_METRICS_H

#include "core/node.h"

/* ss_metrics_text: returns the counters, the traffic and the state of the
 * configuration of NODE.  Free with g_free ().
 */
char *ss_metrics_text (const SsNode *node);

#endif
