/* platform_calls: calls on the platform's store, by purpose and by the kind of
 * their objects.
 *
 * The store limits and charges each call.  These counters show which decisions
 * they belong to.
 */
#ifndef SS_PLATFORM_CALLS_H
#define SS_PLATFORM_CALLS_H

#include "core/event.h"

/* X (ID, name) */
#define SS_PLATFORM_PURPOSES(X)                                                \
  X (START, "start")     /* a list that a watch continues from */              \
  X (WATCH, "watch")     /* waits for changes */                               \
  X (LEASE, "lease")     /* a list that confirms leases */                     \
  X (CLAIM, "claim")     /* a list of the VMs that hold leases */              \
  X (READ, "read")       /* of one object */                                   \
  X (WRITE, "write")     /* of one object */                                   \
  X (DELETE, "delete")   /* of one object */                                   \
  X (PROMOTE, "promote") /* of a server to primary */

typedef enum
{
#define SS_PLATFORM_PURPOSE_ENUM(id, name) SS_PLATFORM_PURPOSE_##id,
  SS_PLATFORM_PURPOSES (SS_PLATFORM_PURPOSE_ENUM)
#undef SS_PLATFORM_PURPOSE_ENUM
      SS_PLATFORM_PURPOSE_COUNT
} SsPlatformPurpose;

typedef struct
{
  /* The objects are those of a watch; SS_WATCH_ALL: any other kind. */
  uint64_t calls[SS_PLATFORM_PURPOSE_COUNT][SS_WATCH_COUNT];
} SsPlatformCalls;

/* ss_platform_calls_count: counts ACTION if it is a call on the platform. */
void ss_platform_calls_count (SsPlatformCalls *calls, const SsAction *action);
/* ss_platform_purpose_name, ss_platform_objects_name: return static strings,
 * labels of the metrics.
 */
const char *ss_platform_purpose_name (SsPlatformPurpose purpose);
const char *ss_platform_objects_name (SsWatch watch);

#endif
