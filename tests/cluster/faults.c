#include "tests/cluster/faults.h"

#include <string.h>

#include "tests/cluster/faults_internal.h"

#define FAULTS_MIN 5
#define FAULTS_MAX 11
#define DRAIN_MS 7000

static GArray *faults;

static void
nothing (ClusterFault *f)
{
  (void) f;
}

static const ClusterFaultKind kinds[] = {
  { "kill", 200, 4000, cluster_fault_kill_vms, nothing, NULL },
  { "herd_kill", 200, 3000, cluster_fault_kill_vms, nothing, NULL },
  { "stop", 100, 200, cluster_fault_stop_vm, nothing, NULL },
  { "freeze", 200, 7000, cluster_fault_freeze_vms, cluster_fault_thaw_vms,
    NULL },
  { "herd_freeze", 200, 5000, cluster_fault_freeze_vms, cluster_fault_thaw_vms,
    NULL },
  { "crash_primary", 300, 6000, cluster_fault_crash_primary,
    cluster_fault_return_server, NULL },
  { "crash_server", 300, 6000, cluster_fault_crash_server,
    cluster_fault_return_server, NULL },
  { "dark_primary", 500, 8000, cluster_fault_cut_primary, cluster_fault_heal,
    NULL },
  { "cut_vm", 500, 9000, cluster_fault_cut_vm, cluster_fault_heal, NULL },
  { "blink", 2000, 12000, cluster_fault_begin_blink, cluster_fault_end_blink,
    cluster_fault_tick_blink },
  { "cut_promoter", 3000, 9000, cluster_fault_begin_cut_promoter,
    cluster_fault_end_cut_promoter, cluster_fault_tick_cut_promoter },
  { "cut_owner", 1500, 4000, cluster_fault_begin_cut_owner,
    cluster_fault_end_cut_owner, cluster_fault_tick_cut_owner },
  { "cut_vm_off", 500, 9000, cluster_fault_cut_vm_off, cluster_fault_heal,
    NULL },
  { "cut_vm_platform", 500, 9000, cluster_fault_cut_vm_platform,
    cluster_fault_heal, NULL },
  { "cut_vm_servers", 500, 9000, cluster_fault_cut_vm_servers,
    cluster_fault_heal, NULL },
  { "cut_zone", 500, 10000, cluster_fault_cut_zone, cluster_fault_heal, NULL },
  { "cut_primary_replicas", 500, 8000, cluster_fault_cut_primary_replicas,
    cluster_fault_heal, NULL },
  { "cut_primary_vms", 500, 8000, cluster_fault_cut_primary_vms,
    cluster_fault_heal, NULL },
  { "cut_primary_side", 2000, 9000, cluster_fault_cut_primary_side,
    cluster_fault_heal, NULL },
  { "cut_servers_platform", 4000, 12000, cluster_fault_cut_servers_platform,
    cluster_fault_heal, NULL },
  { "cut_platform", 500, 9000, cluster_fault_cut_platform, cluster_fault_heal,
    NULL },
  { "store_busy", 500, 8000, cluster_fault_store_busy,
    cluster_fault_end_store_busy, NULL },
  { "store_slow", 500, 8000, cluster_fault_store_slow,
    cluster_fault_end_store_slow, NULL },
  { "store_lossy", 500, 8000, cluster_fault_store_lossy,
    cluster_fault_end_store_lossy, NULL },
  { "slow_server", 500, 6000, cluster_fault_slow_server, cluster_fault_end_slow,
    NULL },
  { "slow_replicas", 1000, 8000, cluster_fault_slow_replicas,
    cluster_fault_end_slow_replicas, NULL },
  { "delay_status", 1000, 9000, cluster_fault_begin_status_delay,
    cluster_fault_end_status_delay, NULL },
  { "late_status_side", 4000, 9000, cluster_fault_begin_late_status_side,
    cluster_fault_end_late_status_side, NULL },
  { "lag_server", 500, 8000, cluster_fault_lag_server, cluster_fault_end_lag,
    NULL },
  { "replace", DRAIN_MS, DRAIN_MS + 1000, cluster_fault_replace_server,
    cluster_fault_end_server, NULL },
  { "replace_primary", DRAIN_MS, DRAIN_MS + 1000, cluster_fault_replace_primary,
    cluster_fault_end_server, NULL },
};

/* Returns the kinds that ONLY names, or NULL. */
static GPtrArray *
select_kinds (const char *only)
{
  GPtrArray *selected = g_ptr_array_new ();
  char **names = g_strsplit (only ? only : "", ",", 0);
  bool known = true;

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (!only || g_strv_contains ((const char *const *) names, kinds[i].name))
      g_ptr_array_add (selected, (gpointer) &kinds[i]);
  known
      = selected->len > 0 && (!only || selected->len == g_strv_length (names));
  g_strfreev (names);
  if (known)
    return selected;
  g_ptr_array_free (selected, TRUE);
  return NULL;
}

bool
cluster_faults_plan (uint32_t seed, int64_t span_ms, const char *only)
{
  GPtrArray *selected = select_kinds (only);
  GRand *rand;
  gint32 count;

  if (!selected)
    return false;
  rand = g_rand_new_with_seed (seed);
  faults = g_array_new (FALSE, TRUE, sizeof (ClusterFault));
  count = g_rand_int_range (rand, FAULTS_MIN, FAULTS_MAX);
  for (gint32 i = 0; i < count; i++)
    {
      ClusterFault f
          = { .at_ms = world_now_ms ()
                       + g_rand_int_range (rand, 0, (gint32) span_ms) };

      f.kind = g_ptr_array_index (
          selected, g_rand_int_range (rand, 0, (gint32) selected->len));
      f.for_ms = g_rand_int_range (rand, f.kind->min_ms, f.kind->max_ms);
      f.dice = (uint32_t) g_rand_int_range (rand, 0, G_MAXINT32);
      g_array_append_val (faults, f);
    }
  g_rand_free (rand);
  g_ptr_array_free (selected, TRUE);
  return true;
}

static void
end_fault (ClusterFault *f)
{
  f->ended = true;
  world_record ("fault %s ends", f->kind->name);
  f->kind->end (f);
}

void
cluster_faults_tick (void)
{
  for (guint i = 0; i < faults->len; i++)
    {
      ClusterFault *f = &g_array_index (faults, ClusterFault, i);

      if (!f->begun && world_now_ms () >= f->at_ms)
        {
          f->begun = true;
          world_record ("fault %s begins, for %" G_GINT64_FORMAT " ms",
                        f->kind->name, f->for_ms);
          f->kind->begin (f);
        }
      if (f->begun && !f->ended && f->kind->tick)
        f->kind->tick (f);
      if (f->begun && !f->ended && world_now_ms () >= f->at_ms + f->for_ms)
        end_fault (f);
    }
}

void
cluster_faults_end (void)
{
  for (guint i = 0; i < faults->len; i++)
    {
      ClusterFault *f = &g_array_index (faults, ClusterFault, i);

      if (f->begun && !f->ended)
        end_fault (f);
      f->begun = true;
      f->ended = true;
    }
}
