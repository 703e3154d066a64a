#include "kernel/http_outcome.h"

#include "core/version.h"

#define ERA_HEADER "Store-Era"

int64_t
ss_http_era (const SsHttpCall *call)
{
  const char *text = ss_http_call_header (call, ERA_HEADER);
  guint64 era;

  if (!text
      || !g_ascii_string_to_unsigned (text, 10, 0, SS_VERSION_ERA_MAX, &era,
                                      NULL))
    return 0;
  return (int64_t) era;
}

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
