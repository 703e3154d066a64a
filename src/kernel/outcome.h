/* outcome: what an HTTP answer says of a call to the platform. */
#ifndef SS_OUTCOME_H
#define SS_OUTCOME_H

#include "core/event.h"
#include "kernel/httpc.h"

/* ss_http_outcome: whether CALL took effect is unknown unless the answer, or
 * that it was not sent, says it.
 */
SsPlatformOutcome ss_http_outcome (const SsHttpCall *call);

#endif
