/* Moving a primary whose replicas apply the log too late to serve reads. */
#include <string.h>

#include "core/placement.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define NOW_MS 100000

/* Replicas that are stuck for ten seconds while reads queue at the primary. */
static SsPlacementView
lagging_view (void)
{
  SsPlacementView view = { .receiving = true,
                           .lag_ms = 10000,
                           .wait_ms = 200,
                           .staleness_ms = 2500,
                           .failover_ms = 900,
                           .settled_ms = 60000,
                           .candidates = 2 };

  return view;
}

static void
primary_moves_when_no_replica_can_serve_reads (void)
{
  SsPlacement p = { 0 };
  SsPlacementView view = lagging_view ();

  CU_ASSERT (ss_placement_should_move (&p, &view, NOW_MS));
}

static void
primary_stays_where_a_move_would_not_help (void)
{
  SsPlacement p = { 0 };
  SsPlacementView idle = lagging_view ();
  SsPlacementView fresh = lagging_view ();
  SsPlacementView soon = lagging_view ();
  SsPlacementView deaf = lagging_view ();
  SsPlacementView changed = lagging_view ();

  idle.wait_ms = 0;
  CU_ASSERT (!ss_placement_should_move (&p, &idle, NOW_MS));
  fresh.lag_ms = 60;
  CU_ASSERT (!ss_placement_should_move (&p, &fresh, NOW_MS));
  soon.lag_ms = 3000; /* over before the move is */
  CU_ASSERT (!ss_placement_should_move (&p, &soon, NOW_MS));
  deaf.receiving = false;
  CU_ASSERT (!ss_placement_should_move (&p, &deaf, NOW_MS));
  changed.settled_ms = 1000;
  CU_ASSERT (!ss_placement_should_move (&p, &changed, NOW_MS));
}

/* Commits reach no replica, while reads are served well. */
static void
primary_moves_when_its_replicas_receive_nothing (void)
{
  SsPlacement p = { 0 };
  SsPlacementView view = { .stalled_ms = SS_PLACEMENT_STALLED_MS,
                           .lag_ms = 60,
                           .staleness_ms = 2500,
                           .failover_ms = 900,
                           .settled_ms = 60000,
                           .candidates = 1 };

  CU_ASSERT (ss_placement_should_move (&p, &view, NOW_MS));
  view.candidates = 0;
  CU_ASSERT (!ss_placement_should_move (&p, &view, NOW_MS));
  view.candidates = 1;
  view.stalled_ms = 100;
  CU_ASSERT (!ss_placement_should_move (&p, &view, NOW_MS));
}

static void
moves_that_do_not_help_become_rare (void)
{
  SsPlacement p = { 0 };
  SsPlacementView view = lagging_view ();
  uint32_t moves = 0;

  for (int64_t now_ms = NOW_MS; now_ms < NOW_MS + 600000; now_ms += 100)
    if (ss_placement_should_move (&p, &view, now_ms))
      {
        ss_placement_moved (&p, now_ms);
        moves++;
      }
  CU_ASSERT (moves >= 2 && moves <= 7);
}

static void
replica_receives_if_it_has_an_earlier_sample (void)
{
  SsPlacement p = { 0 };

  ss_placement_sample (&p, (SsPosition){ 1, 100 }, NOW_MS);
  CU_ASSERT (!ss_placement_receives (&p, (SsPosition){ 1, 100 }));
  ss_placement_sample (&p, (SsPosition){ 1, 120 },
                       NOW_MS + SS_PLACEMENT_SAMPLE_MS);
  CU_ASSERT (ss_placement_receives (&p, (SsPosition){ 1, 110 }));
  CU_ASSERT (!ss_placement_receives (&p, (SsPosition){ 1, 99 }));
  /* A position of another term shows nothing. */
  CU_ASSERT (!ss_placement_receives (&p, (SsPosition){ 2, 120 }));
}

/* Runs LOAD_MS with a queue at the primary and replicas that report LAG_MS. */
static void
run_overload (LineSim *sim, uint32_t lag_ms, int64_t load_ms)
{
  sim->servers[1].reported_lag_ms = lag_ms;
  sim->servers[2].reported_lag_ms = lag_ms;
  for (int64_t i = 0; i < load_ms && !sim->promotions; i += 50)
    {
      ss_owner_find (&sim->node, "t1")->queue.mean_wait_ms = 200;
      line_sim_advance (sim, 50);
    }
}

static void
overloaded_primary_of_lagging_replicas_is_moved (void)
{
  LineSim sim;

  line_sim_init (&sim, 3, 4, 8);
  run_overload (&sim, 12000, 10000);
  CU_ASSERT (sim.promotions == 1);
  line_sim_advance (&sim, 2000);
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term == 2);
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  line_sim_run_random (&sim, 50);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

static void
overloaded_primary_of_fresh_replicas_stays (void)
{
  LineSim sim;

  line_sim_init (&sim, 3, 4, 8);
  run_overload (&sim, 60, 10000);
  CU_ASSERT (sim.promotions == 0);
  line_sim_finish (&sim);
}

/* The primary answers, but both replicas stop receiving from it. */
static void
primary_without_receiving_replicas_is_moved (void)
{
  LineSim sim;
  int64_t start_ms;

  line_sim_init (&sim, 3, 4, 8);
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  sim.servers[1].replication_stopped = true;
  sim.servers[2].replication_stopped = true;
  start_ms = sim.now_ms;
  while (sim.promotions == 0 && sim.now_ms - start_ms < 10000)
    {
      line_sim_execute (&sim, 1, "WRITE 1a y");
      line_sim_advance (&sim, 50);
    }
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (sim.now_ms - start_ms < 4000);
  line_sim_advance (&sim, 2000);
  CU_ASSERT (strcmp (ss_config_group (&sim.node.config, "g")->primary, "t1")
             != 0);
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

CU_TestInfo test_placement[] = {
  { "primary moves when no replica can serve reads",
    primary_moves_when_no_replica_can_serve_reads },
  { "primary stays where a move would not help",
    primary_stays_where_a_move_would_not_help },
  { "primary moves when its replicas receive nothing",
    primary_moves_when_its_replicas_receive_nothing },
  { "primary without receiving replicas is moved",
    primary_without_receiving_replicas_is_moved },
  { "moves that do not help become rare", moves_that_do_not_help_become_rare },
  { "replica receives if it has an earlier sample",
    replica_receives_if_it_has_an_earlier_sample },
  { "overloaded primary of lagging replicas is moved",
    overloaded_primary_of_lagging_replicas_is_moved },
  { "overloaded primary of fresh replicas stays",
    overloaded_primary_of_fresh_replicas_stays },
  CU_TEST_INFO_NULL,
};
