#include "kernel/http_outcome.h"

SsPlatformOutcome
ss_http_outcome (const SsHttpCall *call)
{
  if (call->result == SS_HTTP_NOT_SENT)
    return SS_PLATFORM_REFUSED;
  if (call->result == SS_HTTP_UNKNOWN)
    return SS_PLATFORM_UNKNOWN;
  switch (call->status)
    {
    case 200:
    case 201:
    case 204:
      return SS_PLATFORM_DONE;
    case 404:
    case 410: /* the revisions requested by a watch are no longer kept */
      return SS_PLATFORM_ABSENT;
    case 409:
      return SS_PLATFORM_CONFLICT;
    default:
      return SS_PLATFORM_REFUSED;
    }
}
