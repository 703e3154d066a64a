/* Failover with promotions that the platform carries out. */
#include <string.h>

#include "tests/line_sim.h"
#include "tests/unit.h"

#define FAILOVER_MAX_MS 3000

/* Repeats TEXT in SESSION until it runs, for at most 2 * FAILOVER_MAX_MS.
 * Returns the time that this took, in milliseconds.
 */
static int64_t
retry_until_run (LineSim *sim, uint32_t session, const char *text)
{
  int64_t since_ms = sim->now_ms;

  do
    {
      CU_ASSERT (line_sim_execute (sim, session, text));
      line_sim_advance (sim, 50);
    }
  while (sim->sessions[session - 1].verdict != SS_VERDICT_RAN
         && sim->now_ms - since_ms < 2 * FAILOVER_MAX_MS);
  return sim->now_ms - since_ms;
}

static void
crashed_primary_is_replaced (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 500);
  line_sim_crash (&sim, 0);
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a y") < FAILOVER_MAX_MS);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term == 2);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

/* The server with the longest log is promoted, not the replica that received
 * nothing.
 */
static void
most_advanced_server_is_promoted (void)
{
  LineSim sim;

  line_sim_init (&sim, 2, 2, 8);
  sim.servers[1].replication_stopped = true;
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 500);
  line_sim_crash (&sim, 0);
  line_sim_advance (&sim, FAILOVER_MAX_MS);
  CU_ASSERT (sim.promoted == &sim.servers[2]);
  CU_ASSERT (sim.servers[2].received.offset >= 5);
  /* Without a majority the new primary's commits are not acknowledged.  They
   * are once the other replica receives entries again.
   */
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a y"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  sim.servers[1].replication_stopped = false;
  sim.servers[1].term = sim.servers[2].term;
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a z") < FAILOVER_MAX_MS);
  line_sim_finish (&sim);
}

/* A server that is added during a promotion shifts the indexes of the others in
 * the group.  The promotion must still choose the most advanced one.
 */
static void
server_added_during_promotion_does_no_harm (void)
{
  LineSim sim;

  line_sim_init (&sim, 7, 2, 8);
  sim.servers[1].replication_stopped = true;
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 500);
  line_sim_crash (&sim, 0);
  for (uint32_t i = 0; i < 2000 && sim.servers[2].barred_term == 0; i++)
    line_sim_advance (&sim, 1);
  line_sim_put (&sim, "target/t0",
                "{\"group\":\"g\",\"ip\":\"10.0.1.9\",\"port\":1,"
                "\"failure_domain\":\"d\",\"slots\":2}");
  line_sim_advance (&sim, FAILOVER_MAX_MS);
  CU_ASSERT (!sim.promoted || sim.promoted == &sim.servers[2]);
  line_sim_finish (&sim);
}

/* With one server of three left, it is unknown which writes a majority
 * acknowledged.
 */
static void
single_server_is_not_promoted (void)
{
  LineSim sim;

  line_sim_init (&sim, 3, 2, 8);
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 500);
  line_sim_crash (&sim, 0);
  line_sim_crash (&sim, 1);
  line_sim_advance (&sim, FAILOVER_MAX_MS);
  CU_ASSERT (sim.promotions == 0);
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a y"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  line_sim_finish (&sim);
}

/* A draining primary is replaced before it stops, and no write is lost. */
static void
draining_primary_is_replaced (void)
{
  LineSim sim;

  line_sim_init (&sim, 4, 2, 8);
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 500);
  line_sim_put (&sim, "target/t1",
                "{\"group\":\"g\",\"ip\":\"10.0.1.1\",\"port\":1,"
                "\"failure_domain\":\"d\",\"slots\":2,\"draining\":true}");
  line_sim_advance (&sim, FAILOVER_MAX_MS);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (sim.promoted != &sim.servers[0]);
  CU_ASSERT (sim.promoted && sim.promoted->received.offset >= 5);
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a y") < 500);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

/* A server that leads a higher term than the group object records becomes the
 * group's primary without a promotion.
 */
static void
later_primary_is_adopted (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  sim.promoted = &sim.servers[1];
  sim.promotion_due_ms = sim.now_ms;
  sim.servers[0].role = SS_SERVER_REPLICA;
  CU_ASSERT (retry_until_run (&sim, 1, "WRITE 1a x") < 2 * FAILOVER_MAX_MS);
  CU_ASSERT (sim.promotions == 0);
  CU_ASSERT_STRING_EQUAL (ss_config_group (&sim.node.config, "g")->primary,
                          "t2");
  line_sim_finish (&sim);
}

/* The expected duration of a failover follows from the observed ones. */
static void
failover_estimate_follows_observed_durations (void)
{
  SsPrediction p = { 0 };

  CU_ASSERT (ss_predict_end_ms (&p, 1000)
             == 1000
                    + SS_PREDICT_INITIAL_FAILOVER_MS * SS_PREDICT_MARGIN_PERCENT
                          / 100);
  ss_predict_learn (&p, 400);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 520);
  ss_predict_learn (&p, 200);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 390);
  ss_predict_learn (&p, 1000);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 1300);
}

static void
write_without_servers_is_refused_at_once (void)
{
  LineSim sim;
  int64_t since_ms;

  line_sim_init (&sim, 6, 2, 8);
  line_sim_crash (&sim, 0);
  line_sim_crash (&sim, 1);
  line_sim_crash (&sim, 2);
  line_sim_advance (&sim, 2 * FAILOVER_MAX_MS);
  since_ms = sim.now_ms;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.now_ms - since_ms <= 50);
  line_sim_finish (&sim);
}

/* VM "b" claimed the group and is gone; VM "c" holds a lease and does not
 * answer.  No VM can renew a lease after the first claim, so the second claim
 * waits only for what is left of the lease time since the first one.
 */
static void
second_claim_waits_for_rest_of_lease_only (void)
{
  LineSim sim;
  SsPromotion *p;

  line_sim_init (&sim, 8, 2, 8);
  line_sim_put (&sim, "vm/c",
                "{\"failure_domain\":\"d\",\"ip\":\"10.0.0.3\","
                "\"leases\":[\"g\"],\"peer_port\":3}");
  line_sim_crash (&sim, 0);
  line_sim_put (&sim, "group/g",
                "{\"term\":2,\"primary\":\"\",\"operation\":\"b-1\"}");
  p = ss_promote_get (&sim.node, "g");
  for (uint32_t i = 0; i < 5000 && p->step != SS_PROMOTE_RAISE; i++)
    line_sim_advance (&sim, 1);
  line_sim_advance (&sim, SS_LEASE_MS / 2);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

/* The first claim waits until the lease of a holder that does not answer has
 * expired.
 */
static void
first_claim_waits_for_the_lease (void)
{
  LineSim sim;

  line_sim_init (&sim, 9, 2, 8);
  line_sim_put (&sim, "vm/c",
                "{\"failure_domain\":\"d\",\"ip\":\"10.0.0.3\","
                "\"leases\":[\"g\"],\"peer_port\":3}");
  line_sim_crash (&sim, 0);
  line_sim_advance (&sim, SS_LEASE_MS);
  CU_ASSERT (sim.promotions == 0);
  line_sim_advance (&sim, FAILOVER_MAX_MS);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

CU_TestInfo test_failover[] = {
  { "crashed primary is replaced", crashed_primary_is_replaced },
  { "most advanced server is promoted", most_advanced_server_is_promoted },
  { "server added during promotion does no harm",
    server_added_during_promotion_does_no_harm },
  { "single server is not promoted", single_server_is_not_promoted },
  { "draining primary is replaced", draining_primary_is_replaced },
  { "later primary is adopted", later_primary_is_adopted },
  { "failover estimate follows observed durations",
    failover_estimate_follows_observed_durations },
  { "second claim waits for rest of lease only",
    second_claim_waits_for_rest_of_lease_only },
  { "first claim waits for the lease", first_claim_waits_for_the_lease },
  { "write without servers is refused at once",
    write_without_servers_is_refused_at_once },
  CU_TEST_INFO_NULL,
};
