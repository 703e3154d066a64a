#include "tests/line_expect.h"

#include <CUnit/CUnit.h>

#define SESSIONS 6
#define MAX_CONNECTIONS 8
#define BUSY_PERMILLE 40
#define LOST_PERMILLE 30

void
line_expect_no_violations (const LineSim *sim, uint32_t seed)
{
  if (sim->violations)
    g_printerr ("seed %u: %u violations, first %s\n", seed, sim->violations,
                sim->first_violation);
  CU_ASSERT (sim->violations == 0);
}

void
line_expect_histories (const LineHistories *histories)
{
  uint32_t served = 0;
  uint32_t all = 0;

  for (uint32_t seed = 1; seed <= histories->histories; seed++)
    {
      LineSim sim;

      line_sim_init (&sim, seed, SESSIONS, MAX_CONNECTIONS);
      sim.odd_texts = histories->odd_texts;
      sim.busy_permille = seed % 3 == 0 ? BUSY_PERMILLE : 0;
      sim.lost_permille = seed % 4 == 0 ? LOST_PERMILLE : 0;
      line_sim_run_random (&sim, histories->statements);
      line_expect_no_violations (&sim, seed);
      served += sim.served;
      all += sim.served + sim.not_run + sim.in_doubt;
      line_sim_finish (&sim);
    }
  CU_ASSERT (all == histories->histories * SESSIONS * histories->statements);
  CU_ASSERT (served * 10 >= all * 8);
}
