/* faults_internal: what the kinds of fault share. */
#ifndef SS_TESTS_CLUSTER_FAULTS_INTERNAL_H
#define SS_TESTS_CLUSTER_FAULTS_INTERNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"

/* Bit sets of nodes. */
#define CLUSTER_ALL_VMS ((1U << WORLD_VMS) - 1)
#define CLUSTER_ALL_SERVERS (((1U << CLUSTER_SERVERS) - 1) << WORLD_VMS)
#define CLUSTER_PLATFORM (1U << CLUSTER_NODE_PLATFORM)

#define CLUSTER_STATUS_DELAY_MS 700

typedef struct ClusterFault ClusterFault;

typedef struct
{
  const char *name;
  int32_t min_ms;
  int32_t max_ms;
  void (*begin) (ClusterFault *fault);
  void (*end) (ClusterFault *fault);
  void (*tick) (ClusterFault *fault); /* while it lasts; NULL: nothing */
} ClusterFaultKind;

struct ClusterFault
{
  const ClusterFaultKind *kind;
  int64_t at_ms;
  int64_t for_ms;
  uint32_t dice; /* from the seed, for all that the kind leaves open */
  bool begun;
  bool ended;
  uint32_t vms; /* bit set */
  uint32_t server;
  uint32_t from; /* bit sets of the nodes on the two sides of a cut */
  uint32_t to;
  bool one_way;
  bool is_cut;       /* of a link that comes and goes */
  int64_t change_ms; /* when it does so next */
  GRand *rand;
  ClusterFault *second; /* another cut at the same time; owned */
};

/* What begins, ends and goes on with each kind. */
#define CLUSTER_FAULT_FUNCTIONS(X)                                             \
  X (kill_vms)                                                                 \
  X (stop_vm)                                                                  \
  X (freeze_vms)                                                               \
  X (thaw_vms)                                                                 \
  X (crash_primary)                                                            \
  X (return_server)                                                            \
  X (crash_server)                                                             \
  X (cut_primary)                                                              \
  X (heal)                                                                     \
  X (cut_vm)                                                                   \
  X (begin_blink)                                                              \
  X (end_blink)                                                                \
  X (tick_blink)                                                               \
  X (begin_cut_promoter)                                                       \
  X (end_cut_promoter)                                                         \
  X (tick_cut_promoter)                                                        \
  X (begin_cut_owner)                                                          \
  X (end_cut_owner)                                                            \
  X (tick_cut_owner)                                                           \
  X (cut_vm_off)                                                               \
  X (cut_vm_platform)                                                          \
  X (cut_vm_servers)                                                           \
  X (cut_zone)                                                                 \
  X (cut_primary_replicas)                                                     \
  X (cut_primary_vms)                                                          \
  X (cut_primary_side)                                                         \
  X (cut_servers_platform)                                                     \
  X (cut_platform)                                                             \
  X (store_busy)                                                               \
  X (end_store_busy)                                                           \
  X (store_slow)                                                               \
  X (end_store_slow)                                                           \
  X (store_lossy)                                                              \
  X (end_store_lossy)                                                          \
  X (slow_server)                                                              \
  X (end_slow)                                                                 \
  X (slow_replicas)                                                            \
  X (end_slow_replicas)                                                        \
  X (begin_status_delay)                                                       \
  X (end_status_delay)                                                         \
  X (begin_late_status_side)                                                   \
  X (end_late_status_side)                                                     \
  X (lag_server)                                                               \
  X (end_lag)                                                                  \
  X (replace_server)                                                           \
  X (end_server)                                                               \
  X (replace_primary)

#define CLUSTER_FAULT_DECLARE(name) void cluster_fault_##name (ClusterFault *f);
CLUSTER_FAULT_FUNCTIONS (CLUSTER_FAULT_DECLARE)
#undef CLUSTER_FAULT_DECLARE

/* cluster_fault_cut: cuts the nodes FROM off from the nodes TO, without those
 * that are in both; cluster_fault_heal ends it.
 */
void cluster_fault_cut (ClusterFault *fault, uint32_t from, uint32_t to);
/* cluster_fault_vm_bit, cluster_fault_primary: the VM, and the primary, that
 * the dice of FAULT pick.
 */
uint32_t cluster_fault_vm_bit (const ClusterFault *fault);
uint32_t cluster_fault_primary (const ClusterFault *fault);
/* cluster_fault_set_status_delay: sets how late STATUS is at the replicas of
 * the fault's group; 0 ends it at all its servers.
 */
void cluster_fault_set_status_delay (const ClusterFault *fault, uint32_t ms);
/* cluster_fault_note_call: holds up a call of VM that a fault waits for until
 * the fault has begun.
 */
void cluster_fault_note_call (int vm, const char *method, const char *path);

#endif
