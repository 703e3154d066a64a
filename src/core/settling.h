/* settling: whether a VM that has started knows its peers well enough to take
 * roles.
 *
 * Load pattern: all VMs of a large deployment start at once, for the first time
 * or after a loss of power.  Each of them would take itself for the only one,
 * and so for the owner of every target, until it hears the others.
 */
#ifndef SS_SETTLING_H
#define SS_SETTLING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t uptime_ms;
  int64_t known_ms;     /* for how long the platform has listed any */
  bool listed;          /* the platform has listed the VMs */
  uint32_t others;      /* other VMs that it lists */
  uint32_t others_live; /* of them, those that are live */
} SsSettlingView;

/* ss_settling_is_over: whether the VM may take roles. */
bool ss_settling_is_over (const SsSettlingView *view);

#endif
