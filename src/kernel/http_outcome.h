/* http_outcome: maps an HTTP response to the outcome of a platform call. */
#ifndef SS_HTTP_OUTCOME_H
#define SS_HTTP_OUTCOME_H

#include "core/event.h"
#include "kernel/httpc.h"

/* ss_http_outcome: returns SS_PLATFORM_UNKNOWN if CALL may have been sent and
 * has no response, since it may have taken effect.
 */
SsPlatformOutcome ss_http_outcome (const SsHttpCall *call);
/* ss_http_era: returns the era of the store that responded to CALL; 0 if it is
 * unknown: no response, or none with a valid header of that name.
 */
int64_t ss_http_era (const SsHttpCall *call);

#endif
