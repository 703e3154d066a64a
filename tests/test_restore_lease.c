/* Leases on a primary when the platform's store comes back from a copy. */
#include "tests/line_sim.h"
#include "tests/unit.h"

/* Time until a group without a primary is served again: the failover, and a
 * whole lease.
 */
#define RECOVERY_MAX_MS 6000
#define VM_C                                                                   \
  "{\"failure_domain\":\"d\",\"ip\":\"10.0.0.3\",\"leases\":[\"g\"],"          \
  "\"peer_port\":3}"

/* Guards against an outage of writes after a restore that lost nothing of the
 * group: the lease ends by its own time only.
 */
static void
lease_outlasts_restore (void)
{
  LineSim sim;

  line_sim_init (&sim, 13, 2, 8);
  CU_ASSERT (line_sim_write (&sim, 500));
  line_sim_copy (&sim);
  line_sim_restore (&sim);
  for (uint32_t i = 0; i < 40; i++)
    {
      CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
      line_sim_advance (&sim, 50);
    }
  CU_ASSERT (sim.promotions == 0);
  line_sim_finish (&sim);
}

/* Guards against two primaries: the object of VM "c", which lists its lease,
 * was lost, and a claim took that for a release.
 */
static void
claim_after_restore_waits_for_lost_leases (void)
{
  LineSim sim;

  line_sim_init (&sim, 14, 2, 8);
  line_sim_copy (&sim);
  line_sim_put (&sim, "vm/c", VM_C);
  line_sim_restore (&sim);
  line_sim_crash (&sim, 0);
  line_sim_advance (&sim, SS_LEASE_MS);
  CU_ASSERT (sim.promotions == 0);
  line_sim_advance (&sim, RECOVERY_MAX_MS);
  CU_ASSERT (sim.promotions >= 1);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

/* Guards against two primaries: a claim of an earlier era was lost, so a lease
 * may have been given since; its time does not count for the next claim.
 */
static void
claim_of_earlier_era_does_not_count (void)
{
  LineSim sim;
  const SsGroup *g;

  line_sim_init (&sim, 15, 2, 8);
  line_sim_put (&sim, "vm/c", VM_C);
  line_sim_copy (&sim);
  line_sim_crash (&sim, 0);
  line_sim_put (&sim, "group/g",
                "{\"term\":2,\"primary\":\"\",\"operation\":\"b-1\"}");
  line_sim_advance (&sim, SS_LEASE_MS);
  line_sim_restore (&sim);
  line_sim_advance (&sim, SS_LEASE_MS);
  CU_ASSERT (sim.promotions == 0);
  line_sim_advance (&sim, RECOVERY_MAX_MS);
  g = ss_config_group (&sim.node.config, "g");
  CU_ASSERT (sim.promotions >= 1 && *g->primary);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

/* Guards against a lease that no claim can see: this VM's object, which lists
 * it, was lost with the restore.
 */
static void
lease_needs_own_object_of_present_era (void)
{
  LineSim sim;
  SsGroup *g;
  int64_t confirmed_ms;

  line_sim_init (&sim, 16, 2, 8);
  line_sim_copy (&sim);
  g_tree_remove (sim.copied_objects, "vm/a");
  g_hash_table_remove (sim.copied_versions, "vm/a");
  sim.puts_lost = true;
  line_sim_restore (&sim);
  line_sim_advance (&sim, 100);
  confirmed_ms = ss_config_group (&sim.node.config, "g")->confirmed_ms;
  line_sim_advance (&sim, 1000);
  g = ss_config_group (&sim.node.config, "g");
  CU_ASSERT (g->confirmed_ms <= MAX (confirmed_ms, 0));
  sim.puts_lost = false;
  line_sim_advance (&sim, 2000);
  g = ss_config_group (&sim.node.config, "g");
  CU_ASSERT (ss_lease_holds (&sim.node, g));
  line_sim_finish (&sim);
}

CU_TestInfo test_restore_lease[] = {
  { "lease outlasts restore", lease_outlasts_restore },
  { "claim after restore waits for lost leases",
    claim_after_restore_waits_for_lost_leases },
  { "claim of earlier era does not count",
    claim_of_earlier_era_does_not_count },
  { "lease needs own object of present era",
    lease_needs_own_object_of_present_era },
  CU_TEST_INFO_NULL,
};
