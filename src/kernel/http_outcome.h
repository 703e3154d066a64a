/* http_outcome: maps an HTTP response to the outcome of a platform call. */
#ifndef SS_HTTP_OUTCOME_H
#define SS_HTTP_OUTCOME_H

#include "core/event.h"
#include "kernel/httpc.h"

/* ss_http_outcome: returns SS_PLATFORM_UNKNOWN if CALL may have been sent and
 * has no response, since it may have taken effect.
 */
SsPlatformOutcome ss_http_outcome (const SsHttpCall *call);

#endif
