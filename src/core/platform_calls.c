#include "core/platform_calls.h"

#include <string.h>

/* Returns the watch that covers the object KEY, or SS_WATCH_ALL. */
static SsWatch
watch_of_key (const char *key)
{
  for (uint32_t i = SS_WATCH_ALL + 1; i < SS_WATCH_COUNT; i++)
    if (key && g_str_has_prefix (key, ss_watch_prefix ((SsWatch) i)))
      return (SsWatch) i;
  return SS_WATCH_ALL;
}

static SsPlatformPurpose
list_purpose (SsWatch objects)
{
  switch (objects)
    {
    case SS_WATCH_VMS:
      return SS_PLATFORM_PURPOSE_CLAIM;
    case SS_WATCH_VOTERS:
      return SS_PLATFORM_PURPOSE_START;
    default:
      return SS_PLATFORM_PURPOSE_LEASE;
    }
}

void
ss_platform_calls_count (SsPlatformCalls *calls, const SsAction *a)
{
  SsPlatformPurpose purpose;
  SsWatch objects = watch_of_key (a->name);

  switch (a->kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      objects = (SsWatch) a->id;
      purpose
          = a->number ? SS_PLATFORM_PURPOSE_WATCH : SS_PLATFORM_PURPOSE_START;
      break;
    case SS_ACTION_PLATFORM_LIST:
      objects = (SsWatch) a->id;
      purpose = list_purpose (objects);
      break;
    case SS_ACTION_PLATFORM_GET:
      purpose = SS_PLATFORM_PURPOSE_READ;
      break;
    case SS_ACTION_PLATFORM_PUT:
      purpose = SS_PLATFORM_PURPOSE_WRITE;
      break;
    case SS_ACTION_PLATFORM_DELETE:
      purpose = SS_PLATFORM_PURPOSE_DELETE;
      break;
    case SS_ACTION_PLATFORM_PROMOTE:
      purpose = SS_PLATFORM_PURPOSE_PROMOTE;
      break;
    default:
      return;
    }
  calls->calls[purpose][objects]++;
}

const char *
ss_platform_purpose_name (SsPlatformPurpose purpose)
{
  static const char *const names[] = {
#define SS_PLATFORM_PURPOSE_NAME(id, name) name,
    SS_PLATFORM_PURPOSES (SS_PLATFORM_PURPOSE_NAME)
#undef SS_PLATFORM_PURPOSE_NAME
  };

  return names[purpose];
}

const char *
ss_platform_objects_name (SsWatch watch)
{
  static const char *const names[]
      = { "other", "routes", "targets", "groups", "vms", "voters" };

  G_STATIC_ASSERT (G_N_ELEMENTS (names) == SS_WATCH_COUNT);
  return names[watch];
}
