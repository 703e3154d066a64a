/* pace: how often the core looks, asks and tells, as settings.
 *
 * Small figures find changes early; large ones spare processor time, messages
 * and the targets' room for statements.
 */
#ifndef SS_PACE_H
#define SS_PACE_H

#include <stdint.h>

/* X (field, default in ms, lowest, highest) */
#define SS_PACES(X)                                                            \
  X (tick_asked_ms, 1, 1, 1000)     /* while a target's state is asked for */  \
  X (tick_busy_ms, 5, 1, 1000)      /* while requests are under way */         \
  X (tick_idle_ms, 20, 1, 1000)     /* else */                                 \
  X (heartbeat_ms, 200, 20, 10000)  /* to other vms */                         \
  X (poll_idle_ms, 50, 1, 60000)    /* a target's state */                     \
  X (poll_lagging_ms, 10, 1, 60000) /* of one that has not applied all */      \
  X (poll_asked_ms, 1, 1, 1000)     /* of one whose state is asked for */      \
  X (silence_ms, 60000, 1, 60000)   /* a target that did not answer so long */ \
  X (unreachable_ms, 1200, 1, 60000) /* a target that did not answer at all */ \
  X (report_idle_ms, 250, 1, 60000)  /* a target's state to other vms */       \
  X (report_min_ms, 10, 1, 60000)    /* of one whose state changed */

typedef struct
{
#define X(field, fallback, lowest, highest) int64_t field;
  SS_PACES (X)
#undef X
} SsPace;

/* ss_pace_fill: gives every field that is 0 its default. */
static inline void
ss_pace_fill (SsPace *pace)
{
#define X(field, fallback, lowest, highest)                                    \
  pace->field = pace->field ? pace->field : (fallback);
  SS_PACES (X)
#undef X
}

#endif
