/* fault_links: cuts between VMs, servers and the platform. */
#include "tests/cluster/faults_internal.h"

#define ONE_WAY_PERCENT 15
#define BLINK_MIN_MS 100
#define BLINK_MAX_MS 2000

static void
change_links (const ClusterFault *f,
              void (*change) (uint32_t from, uint32_t to))
{
  for (uint32_t i = 0; i < CLUSTER_NODES; i++)
    for (uint32_t j = 0; j < CLUSTER_NODES; j++)
      {
        if (i == j || !(f->from & 1U << i) || !(f->to & 1U << j))
          continue;
        change (i, j);
        if (!f->one_way)
          change (j, i);
      }
}

void
cluster_fault_cut (ClusterFault *f, uint32_t from, uint32_t to)
{
  f->from = from;
  f->to = to & ~from;
  f->one_way = f->dice % 100 < ONE_WAY_PERCENT && !(from & CLUSTER_PLATFORM);
  change_links (f, cluster_links_cut);
  world_record ("cut of %06x from %06x%s", f->from, f->to,
                f->one_way ? ", one way" : "");
}

void
cluster_fault_heal (ClusterFault *f)
{
  change_links (f, cluster_links_heal);
  world_record ("end of the cut of %06x from %06x", f->from, f->to);
}

uint32_t
cluster_fault_vm_bit (const ClusterFault *f)
{
  return 1U << f->dice / 100 % WORLD_VMS;
}

static uint32_t
server_bit (uint32_t server)
{
  return 1U << CLUSTER_NODE_SERVER (server);
}

uint32_t
cluster_fault_primary (const ClusterFault *f)
{
  return cluster_servers_primary (f->dice / 100 % CLUSTER_GROUPS);
}

void
cluster_fault_cut_vm (ClusterFault *f)
{
  cluster_fault_cut (f, cluster_fault_vm_bit (f),
                     CLUSTER_ALL_VMS | CLUSTER_PLATFORM);
}

/* A VM that the others find and lose again. */
void
cluster_fault_begin_blink (ClusterFault *f)
{
  f->rand = g_rand_new_with_seed (f->dice);
}

void
cluster_fault_tick_blink (ClusterFault *f)
{
  if (world_now_ms () < f->change_ms)
    return;
  f->is_cut = !f->is_cut;
  f->change_ms = world_now_ms ()
                 + g_rand_int_range (f->rand, BLINK_MIN_MS, BLINK_MAX_MS);
  if (f->is_cut)
    cluster_fault_cut (f, cluster_fault_vm_bit (f),
                       CLUSTER_ALL_VMS
                           | (f->dice >> 20 & 1 ? CLUSTER_PLATFORM : 0));
  else
    cluster_fault_heal (f);
}

void
cluster_fault_end_blink (ClusterFault *f)
{
  if (f->is_cut)
    cluster_fault_heal (f);
  g_rand_free (f->rand);
}

void
cluster_fault_cut_vm_off (ClusterFault *f)
{
  cluster_fault_cut (f, cluster_fault_vm_bit (f),
                     CLUSTER_ALL_VMS | CLUSTER_ALL_SERVERS | CLUSTER_PLATFORM);
}

void
cluster_fault_cut_vm_platform (ClusterFault *f)
{
  cluster_fault_cut (
      f, cluster_fault_vm_bit (f) | (f->dice >> 8 & CLUSTER_ALL_VMS),
      CLUSTER_PLATFORM);
}

void
cluster_fault_cut_vm_servers (ClusterFault *f)
{
  cluster_fault_cut (f, cluster_fault_vm_bit (f),
                     (f->dice >> 3 & CLUSTER_ALL_SERVERS) | server_bit (0));
}

static uint32_t
zone_nodes (uint32_t zone)
{
  uint32_t nodes = 3U << 2 * zone;

  for (uint32_t i = 0; i < CLUSTER_SERVERS; i++)
    if (cluster_servers_zone (i) == zone)
      nodes |= server_bit (i);
  return nodes;
}

void
cluster_fault_cut_zone (ClusterFault *f)
{
  uint32_t nodes = zone_nodes (f->dice / 100 % CLUSTER_ZONES);

  if (f->dice >> 20 & 1)
    nodes |= CLUSTER_PLATFORM;
  cluster_fault_cut (f, nodes,
                     CLUSTER_ALL_VMS | CLUSTER_ALL_SERVERS | CLUSTER_PLATFORM);
}

void
cluster_fault_cut_primary (ClusterFault *f)
{
  cluster_fault_cut (f, server_bit (cluster_fault_primary (f)),
                     CLUSTER_ALL_VMS | CLUSTER_ALL_SERVERS | CLUSTER_PLATFORM);
}

void
cluster_fault_cut_primary_replicas (ClusterFault *f)
{
  cluster_fault_cut (f, server_bit (cluster_fault_primary (f)),
                     CLUSTER_ALL_SERVERS
                         | (f->dice >> 20 & 1 ? CLUSTER_PLATFORM : 0));
}

void
cluster_fault_cut_primary_vms (ClusterFault *f)
{
  cluster_fault_cut (f, server_bit (cluster_fault_primary (f)),
                     (f->dice >> 5 & CLUSTER_ALL_VMS)
                         | (f->dice >> 20 & 1 ? CLUSTER_PLATFORM : 0));
}

/* A primary and VMs of its zone lose the other VMs and the platform; the other
 * servers are reached from both sides.
 */
void
cluster_fault_cut_primary_side (ClusterFault *f)
{
  uint32_t primary = cluster_fault_primary (f);
  uint32_t zone = cluster_servers_zone (primary);
  uint32_t vms = f->dice >> 20 & 1 ? 3U : 1U << (f->dice >> 21 & 1);

  cluster_fault_cut (f, server_bit (primary) | vms << 2 * zone,
                     CLUSTER_ALL_VMS | CLUSTER_PLATFORM);
}

/* Servers of a group lose the platform only: their entries lapse. */
void
cluster_fault_cut_servers_platform (ClusterFault *f)
{
  uint32_t first = f->dice / 100 % CLUSTER_GROUPS * CLUSTER_REPLICAS;
  uint32_t spared = f->dice >> 20 & 3;
  uint32_t servers = 0;

  for (uint32_t i = 0; i < CLUSTER_REPLICAS; i++)
    if (i != spared)
      servers |= server_bit (first + i);
  cluster_fault_cut (f, servers, CLUSTER_PLATFORM);
}

void
cluster_fault_cut_platform (ClusterFault *f)
{
  cluster_fault_cut (f, CLUSTER_PLATFORM,
                     CLUSTER_ALL_VMS
                         | (f->dice >> 20 & 1 ? CLUSTER_ALL_SERVERS : 0));
}

/* As cut_primary_side, and the primary loses its replicas, too, while STATUS is
 * late in the group.
 */
void
cluster_fault_begin_late_status_side (ClusterFault *f)
{
  uint32_t primary = cluster_fault_primary (f);
  uint32_t zone = cluster_servers_zone (primary);

  f->server = cluster_servers_group (primary);
  f->second = g_new0 (ClusterFault, 1);
  f->second->dice = f->dice;
  cluster_fault_cut (f, 3U << 2 * zone, CLUSTER_ALL_VMS | CLUSTER_PLATFORM);
  cluster_fault_cut (f->second, server_bit (primary),
                     (CLUSTER_ALL_VMS & ~(3U << 2 * zone)) | CLUSTER_ALL_SERVERS
                         | CLUSTER_PLATFORM);
  cluster_fault_set_status_delay (f, CLUSTER_STATUS_DELAY_MS);
}

void
cluster_fault_end_late_status_side (ClusterFault *f)
{
  cluster_fault_set_status_delay (f, 0);
  cluster_fault_heal (f);
  cluster_fault_heal (f->second);
  g_free (f->second);
}
