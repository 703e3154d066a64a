/* fault_store: a store of the platform that is busy, slow or loses answers. */
#include <string.h>

#include "tests/cluster/faults.h"
#include "tests/cluster/faults_internal.h"
#include "tests/world/store.h"

#define STORE_SLOW_MS 250
/* Of the writes, in hundredths. */
#define LOST_PERCENT 30
#define LATE_PERCENT 15

/* Bit sets of VMs. */
static gint busy_for;
static gint slow_for;
static gint lossy;
static GRand *store_rand;
static GMutex store_lock;

void
cluster_fault_store_busy (ClusterFault *f)
{
  f->vms = cluster_fault_vm_bit (f) | (f->dice >> 8 & CLUSTER_ALL_VMS);
  world_record ("the store turns %02x away", f->vms);
  g_atomic_int_or ((guint *) &busy_for, f->vms);
}

void
cluster_fault_end_store_busy (ClusterFault *f)
{
  g_atomic_int_and ((guint *) &busy_for, ~f->vms);
}

void
cluster_fault_store_slow (ClusterFault *f)
{
  f->vms = f->dice >> 20 & 1
               ? CLUSTER_ALL_VMS
               : cluster_fault_vm_bit (f) | (f->dice >> 8 & CLUSTER_ALL_VMS);
  world_record ("the store is slow for %02x", f->vms);
  g_atomic_int_or ((guint *) &slow_for, f->vms);
}

void
cluster_fault_end_store_slow (ClusterFault *f)
{
  g_atomic_int_and ((guint *) &slow_for, ~f->vms);
}

void
cluster_fault_store_lossy (ClusterFault *f)
{
  (void) f;
  world_record ("the store loses answers");
  g_atomic_int_inc (&lossy);
}

void
cluster_fault_end_store_lossy (ClusterFault *f)
{
  (void) f;
  g_atomic_int_add (&lossy, -1);
}

static WorldCallFate
find_fate (int fd, const char *method, const char *path)
{
  int vm = cluster_links_peer (fd);
  bool is_write = strcmp (method, "GET") != 0;
  gint32 dice;

  cluster_fault_note_call (vm, method, path);
  if (vm >= 0 && g_atomic_int_get (&busy_for) & 1 << vm)
    return WORLD_CALL_REFUSED;
  if (!is_write || !g_atomic_int_get (&lossy))
    return WORLD_CALL_SERVED;
  g_mutex_lock (&store_lock);
  dice = g_rand_int_range (store_rand, 0, 100);
  g_mutex_unlock (&store_lock);
  if (dice < LATE_PERCENT)
    return WORLD_CALL_LATE;
  return dice < LOST_PERCENT ? WORLD_CALL_UNANSWERED : WORLD_CALL_SERVED;
}

static bool
await_store (int fd, bool is_answer)
{
  int vm = cluster_links_peer (fd);

  if (vm < 0)
    return false;
  if (g_atomic_int_get (&slow_for) & 1 << vm)
    world_sleep_ms (STORE_SLOW_MS);
  return is_answer ? cluster_links_await (CLUSTER_NODE_PLATFORM,
                                          CLUSTER_NODE_VM ((uint32_t) vm), -1)
                   : cluster_links_await (CLUSTER_NODE_VM ((uint32_t) vm),
                                          CLUSTER_NODE_PLATFORM, -1);
}

void
cluster_faults_link_store (void)
{
  static const WorldStoreLinks links
      = { .fate = find_fate, .await = await_store };

  store_rand = g_rand_new_with_seed (1);
  world_store_set_links (&links);
}
