/* fault_nodes: VMs and servers that fail, or turn slow. */
#include <string.h>

#include "tests/cluster/faults_internal.h"
#include "tests/world/vms.h"

#define SLOW_FACTOR 25
#define LAG_FACTOR 50

/* --- VMs --- */

void
cluster_fault_kill_vms (ClusterFault *f)
{
  f->vms = cluster_fault_vm_bit (f);
  if (strcmp (f->kind->name, "herd_kill") == 0)
    f->vms |= f->dice >> 8 & CLUSTER_ALL_VMS;
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_kill_for (i, f->for_ms);
}

void
cluster_fault_stop_vm (ClusterFault *f)
{
  world_vms_terminate (f->dice / 100 % WORLD_VMS);
}

void
cluster_fault_freeze_vms (ClusterFault *f)
{
  f->vms = cluster_fault_vm_bit (f);
  if (strcmp (f->kind->name, "herd_freeze") == 0)
    f->vms |= f->dice >> 8 & CLUSTER_ALL_VMS;
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_freeze (i);
}

void
cluster_fault_thaw_vms (ClusterFault *f)
{
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_thaw (i);
}

/* --- servers --- */

void
cluster_fault_crash_primary (ClusterFault *f)
{
  f->server = cluster_fault_primary (f);
  cluster_servers_crash (f->server);
}

void
cluster_fault_crash_server (ClusterFault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  cluster_servers_crash (f->server);
}

void
cluster_fault_return_server (ClusterFault *f)
{
  cluster_servers_return (f->server);
}

void
cluster_fault_slow_server (ClusterFault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  world_record ("%s is slow", cluster_servers_id (f->server));
  cluster_servers_slow (f->server, SLOW_FACTOR);
}

void
cluster_fault_end_slow (ClusterFault *f)
{
  cluster_servers_slow (f->server, 1);
}

/* Calls CHANGE with the replicas of the fault's group, or with all its servers.
 */
static void
change_group (const ClusterFault *f, bool all,
              void (*change) (uint32_t server, uint32_t value), uint32_t value)
{
  uint32_t first = f->server * CLUSTER_REPLICAS;
  uint32_t primary = cluster_servers_primary (f->server);

  for (uint32_t i = first; i < first + CLUSTER_REPLICAS; i++)
    if (all || i != primary)
      change (i, value);
}

void
cluster_fault_slow_replicas (ClusterFault *f)
{
  f->server = f->dice / 100 % CLUSTER_GROUPS;
  world_record ("the replicas of %s are slow",
                cluster_servers_service (f->server));
  change_group (f, false, cluster_servers_slow, SLOW_FACTOR);
}

void
cluster_fault_end_slow_replicas (ClusterFault *f)
{
  change_group (f, true, cluster_servers_slow, 1);
}

void
cluster_fault_set_status_delay (const ClusterFault *f, uint32_t ms)
{
  change_group (f, ms == 0, cluster_servers_delay_status, ms);
}

void
cluster_fault_begin_status_delay (ClusterFault *f)
{
  f->server = f->dice / 100 % CLUSTER_GROUPS;
  world_record ("STATUS is late at %s", cluster_servers_service (f->server));
  cluster_fault_set_status_delay (f, CLUSTER_STATUS_DELAY_MS);
}

void
cluster_fault_end_status_delay (ClusterFault *f)
{
  cluster_fault_set_status_delay (f, 0);
}

void
cluster_fault_lag_server (ClusterFault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  world_record ("%s lags", cluster_servers_id (f->server));
  cluster_servers_lag (f->server, LAG_FACTOR);
}

void
cluster_fault_end_lag (ClusterFault *f)
{
  cluster_servers_lag (f->server, 1);
}

static void
replace (ClusterFault *f, uint32_t server)
{
  f->server = server;
  if (!cluster_servers_replace (server))
    f->ended = true;
}

void
cluster_fault_replace_primary (ClusterFault *f)
{
  replace (f, cluster_fault_primary (f));
}

void
cluster_fault_replace_server (ClusterFault *f)
{
  replace (f, f->dice / 100 % CLUSTER_FIRST_SERVERS);
}

void
cluster_fault_end_server (ClusterFault *f)
{
  cluster_servers_leave (f->server);
}
