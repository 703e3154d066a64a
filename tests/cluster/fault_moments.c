/* fault_moments: cuts at the moment of a call on the platform. */
#include <string.h>

#include "tests/cluster/faults_internal.h"

/* What is caught at present, else: */
#define CATCH_NONE (-1)
#define CATCH_NEXT (-2) /* the next one is to be */

/* A VM that asks for a promotion and is to be cut off. */
static gint promoter = CATCH_NONE;
/* A group whose object is written and whose owner is to be cut off. */
static gint written_group = CATCH_NONE;

/* A VM is cut off while its call for a promotion is on its way: the call
 * arrives once the cut has healed.
 */
void
cluster_fault_begin_cut_promoter (ClusterFault *f)
{
  (void) f;
  g_atomic_int_compare_and_exchange (&promoter, CATCH_NONE, CATCH_NEXT);
}

void
cluster_fault_tick_cut_promoter (ClusterFault *f)
{
  gint vm = g_atomic_int_get (&promoter);

  if (f->is_cut || vm < 0)
    return;
  f->is_cut = true;
  cluster_fault_cut (f, 1U << vm, CLUSTER_ALL_VMS | CLUSTER_PLATFORM);
  f->at_ms = world_now_ms ();
  g_atomic_int_set (&promoter, CATCH_NONE);
}

void
cluster_fault_end_cut_promoter (ClusterFault *f)
{
  g_atomic_int_compare_and_exchange (&promoter, CATCH_NEXT, CATCH_NONE);
  if (f->is_cut)
    cluster_fault_heal (f);
}

/* The VMs of a primary's zone are cut off while a write of its group's object
 * is on its way, so that they do not hear of it.
 */
void
cluster_fault_begin_cut_owner (ClusterFault *f)
{
  (void) f;
  g_atomic_int_compare_and_exchange (&written_group, CATCH_NONE, CATCH_NEXT);
}

void
cluster_fault_tick_cut_owner (ClusterFault *f)
{
  gint group = g_atomic_int_get (&written_group);
  uint32_t zone;

  if (f->is_cut || group < 0)
    return;
  zone = cluster_servers_zone (cluster_servers_primary ((uint32_t) group));
  f->is_cut = true;
  cluster_fault_cut (f, 3U << 2 * zone, CLUSTER_ALL_VMS | CLUSTER_PLATFORM);
  f->at_ms = world_now_ms ();
  g_atomic_int_set (&written_group, CATCH_NONE);
}

void
cluster_fault_end_cut_owner (ClusterFault *f)
{
  g_atomic_int_compare_and_exchange (&written_group, CATCH_NEXT, CATCH_NONE);
  if (f->is_cut)
    cluster_fault_heal (f);
}

/* Lets the thread of the faults cut off VM, which asks for a promotion. */
static void
catch_promoter (int vm)
{
  if (!g_atomic_int_compare_and_exchange (&promoter, CATCH_NEXT, vm))
    return;
  while (g_atomic_int_get (&promoter) == vm)
    world_sleep_ms (1);
}

/* Returns the group whose object PATH is, or -1. */
static gint
find_group (const char *path)
{
  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    if (strstr (path, "-groups/")
        && g_str_has_suffix (path, cluster_servers_service (i)))
      return (gint) i;
  return -1;
}

/* Lets the thread of the faults cut off the owner of GROUP's primary. */
static void
catch_write (gint group)
{
  if (group < 0
      || !g_atomic_int_compare_and_exchange (&written_group, CATCH_NEXT, group))
    return;
  while (g_atomic_int_get (&written_group) == group)
    world_sleep_ms (1);
}

void
cluster_fault_note_call (int vm, const char *method, const char *path)
{
  if (strcmp (path, "/promotions") == 0)
    catch_promoter (vm);
  if (strcmp (method, "PUT") == 0)
    catch_write (find_group (path));
}
