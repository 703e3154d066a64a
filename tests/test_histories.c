/* Seeded histories of the simulated system.  Each test but the first disables
 * one safety mechanism and requires that the checks detect the violations.
 */
#include "tests/unit.h"
#include "tests/world.h"

#define FIRST_SEED 1
#define BROKEN_SEEDS 40
#define BUSY_MS 8000

static void
run (uint32_t seed, WorldBreak broken, WorldReport *report)
{
  WorldParams params = { seed, true, BUSY_MS, broken };

  world_run (&params, report);
}

static void
same_seed_gives_same_actions (void)
{
  for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + 3; seed++)
    {
      WorldReport a;
      WorldReport b;

      run (seed, WORLD_BREAK_NONE, &a);
      run (seed, WORLD_BREAK_NONE, &b);
      CU_ASSERT (a.actions_hash != 0);
      CU_ASSERT (a.actions_hash == b.actions_hash);
    }
}

/* Runs histories with a mechanism broken, up to the first one in which the
 * check READ finds violations.  Returns their number.
 */
static uint64_t
count_violations (WorldBreak broken, uint64_t (*read) (const WorldReport *r))
{
  uint64_t sum = 0;

  for (uint32_t seed = FIRST_SEED; seed < FIRST_SEED + BROKEN_SEEDS && sum == 0;
       seed++)
    {
      WorldReport r;

      run (seed, broken, &r);
      sum += read (&r);
    }
  return sum;
}

static uint64_t
lost (const WorldReport *r)
{
  return r->lost;
}

static uint64_t
doubled (const WorldReport *r)
{
  return r->doubled;
}

static uint64_t
stale (const WorldReport *r)
{
  return r->stale;
}

static uint64_t
crossed (const WorldReport *r)
{
  return r->crossed;
}

static void
false_log_positions_lose_writes (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_HELD, lost) > 0);
}

static void
unfenced_primary_loses_writes (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_TERM, lost) > 0);
}

static void
unenforced_idempotency_keys_double_writes (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_REQUEST, doubled) > 0);
}

static void
false_applied_positions_give_stale_reads (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_APPLIED, stale) > 0);
}

static void
crossed_answers_are_detected (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_ANSWER, crossed) > 0);
}

static void
partial_commits_are_detected (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_COMMIT, lost) > 0);
}

static void
swapped_identities_give_stale_reads (void)
{
  CU_ASSERT (count_violations (WORLD_BREAK_IDENTITY, stale) > 0);
}

CU_TestInfo test_histories[] = {
  { "same seed gives same actions", same_seed_gives_same_actions },
  { "false log positions lose writes", false_log_positions_lose_writes },
  { "unfenced primary loses writes", unfenced_primary_loses_writes },
  { "unenforced idempotency keys double writes",
    unenforced_idempotency_keys_double_writes },
  { "false applied positions give stale reads",
    false_applied_positions_give_stale_reads },
  { "crossed answers are detected", crossed_answers_are_detected },
  { "partial commits are detected", partial_commits_are_detected },
  { "swapped identities give stale reads",
    swapped_identities_give_stale_reads },
  CU_TEST_INFO_NULL,
};
