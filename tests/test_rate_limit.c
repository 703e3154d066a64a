/* Rate limits: buckets, accounts, and limiters of many VMs. */
#include <math.h>
#include <stdio.h>

#include "tests/rate_sim.h"
#include "tests/unit.h"

#define SEEDS 40
/* Longer than any test: the limiter alone refuses operations. */
#define PATIENT_MS 60000
/* How long a statement with a timeout of 1 s waits for a token, less the time
 * that it needs to come back.
 */
#define TIMEOUT_1_S_MS 700

static RateSim sim;

/* --- bucket and account --- */

/* A limit may be granted once for each window and no more. */
static void
bucket_grants_rate_and_burst (void)
{
  SsRateBucket b;
  uint32_t taken = 0;

  ss_rate_bucket_init (&b, 8, 1000);
  ss_rate_bucket_set_limit (&b, 10, 5, 1000);
  ss_rate_bucket_set_share (&b, 1, 1000);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 1000) == 2);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 60000) == 5);
  for (int64_t now_ms = 60000; now_ms <= 70000; now_ms += 7)
    taken += ss_rate_bucket_take (&b, 100, 0, now_ms);
  CU_ASSERT (taken == 99 || taken == 100);
}

/* A VM that coordinates stops: what it had must not exist twice. */
static void
smaller_share_loses_its_tokens (void)
{
  SsRateBucket b;

  ss_rate_bucket_init (&b, 8, 0);
  ss_rate_bucket_set_limit (&b, 10, 10, 0);
  ss_rate_bucket_set_share (&b, 1, 0);
  ss_rate_bucket_set_share (&b, 0.3, 60000);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 60000) == 3);
  /* A delegation that has ended fills nothing for the time before. */
  ss_rate_bucket_set_share (&b, 0, 61000);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 61000) == 0);
  ss_rate_bucket_set_limit (&b, 10, 100, 61000);
  ss_rate_bucket_set_share (&b, 1, 61000);
  CU_ASSERT (ss_rate_bucket_take (&b, 2, 0, 61000) == 2);
  ss_rate_bucket_set_share (&b, 0.5, 62000);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 62000) == 5);
}

/* A limit of 2 a second over 87 VMs without coordinators: each share of the
 * burst is less than a token, and 87 tokens would be far too many.
 */
static void
small_shares_make_few_tokens (void)
{
  uint32_t whole = 0;

  for (uint32_t part = 1; part <= 87; part++)
    {
      SsRateBucket b;

      ss_rate_bucket_init (&b, 8, 0);
      ss_rate_bucket_set_limit (&b, 2, 2, 0);
      ss_rate_bucket_set_share (&b, part / 87.0, 0);
      if (ss_rate_bucket_take (&b, 1, 0, 3600000))
        {
          whole = part;
          break;
        }
    }
  CU_ASSERT (whole > 1 && 87 / whole <= 10);
}

/* A limit of 0 refuses everything, also with a burst. */
static void
limit_of_0_has_no_tokens (void)
{
  SsRateBucket b;

  ss_rate_bucket_init (&b, 8, 0);
  ss_rate_bucket_set_limit (&b, 0, 5, 0);
  ss_rate_bucket_set_share (&b, 1, 0);
  CU_ASSERT (ss_rate_bucket_take (&b, 1, 0, 100000) == 0);
  CU_ASSERT (ss_rate_bucket_wait_ms (&b, 100000) > 0);
}

/* Tokens that VMs hold without need must not be missing where operations wait.
 */
static void
tokens_ahead_leave_a_reserve (void)
{
  SsRateBucket b;
  uint32_t ahead = 0;

  ss_rate_bucket_init (&b, 8, 0);
  ss_rate_bucket_set_limit (&b, 100, 100, 0);
  ss_rate_bucket_set_share (&b, 1, 0);
  for (uint32_t i = 0; i < 200; i++)
    ahead += ss_rate_bucket_take (&b, 0, 1, 10000);
  CU_ASSERT (ahead == 25);
  CU_ASSERT (ss_rate_bucket_take (&b, 100, 0, 10000) == 75);
}

static void
tokens_expire (void)
{
  SsRateAccount a = { 0 };
  int64_t expires_ms = 0;

  ss_rate_account_add (&a, 1, 1500, 1000);
  ss_rate_account_add (&a, 1, 1400, 1000);
  CU_ASSERT (ss_rate_account_held (&a, 1450) == 1);
  CU_ASSERT (ss_rate_account_take (&a, &expires_ms, 1000));
  CU_ASSERT (expires_ms == 1400);
  CU_ASSERT (!ss_rate_account_take (&a, &expires_ms, 1500));
  /* More grants than there is room for. */
  for (uint32_t i = 0; i < 3 * SS_RATE_GRANTS_MAX; i++)
    ss_rate_account_add (&a, 1, 3000 + i, 2000);
  CU_ASSERT (ss_rate_account_held (&a, 2000) == 3 * SS_RATE_GRANTS_MAX);
  CU_ASSERT (ss_rate_account_held (&a, 3000 + 3 * SS_RATE_GRANTS_MAX) == 0);
}

/* One operation is no steady demand. */
static void
demand_is_averaged (void)
{
  SsRateAccount a = { 0 };

  ss_rate_account_note (&a, 1000);
  CU_ASSERT (ss_rate_account_expected (&a, 441, 1000) < 0.4);
  for (int64_t now_ms = 1000; now_ms < 11000; now_ms += 100)
    ss_rate_account_note (&a, now_ms);
  CU_ASSERT (ss_rate_account_expected (&a, 1000, 11000) > 8);
  CU_ASSERT (ss_rate_account_expected (&a, 1000, 11000) < 12);
  CU_ASSERT (ss_rate_account_expected (&a, 1000, 31000) < 0.1);
}

static void
drop_ask (void *data, const char *vm, const SsRateAsk *ask)
{
  (void) data;
  (void) vm;
  (void) ask;
}

static void
drop_reply (void *data, const char *vm, const SsRateReply *reply)
{
  (void) data;
  (void) vm;
  (void) reply;
}

static void
drop_change (void *data, uint32_t slot, const char *vm)
{
  (void) data;
  (void) slot;
  (void) vm;
}

/* The bound counts tokens from when they were granted.  A reply that is late is
 * no reason for a token to live longer.
 */
static void
tokens_count_from_the_ask (void)
{
  SsRateOutput output = { drop_ask, drop_reply, drop_change, NULL };
  SsRateReply reply = { .token_count = 1 };
  SsRateLimiter l;

  ss_rate_limiter_init (&l, "a", &output, 5000, 0.1, 20, 1000);
  ss_rate_limiter_set_limit (&l, "o", 10, 10, 1000);
  reply.tokens[0] = (SsRateTokens){ "o", 3, 0 };
  reply.sent_ms = 10000;
  ss_rate_limiter_handle_reply (&l, "b", &reply, 10300);
  CU_ASSERT (l.validity_ms > 400 && l.validity_ms < 450);
  CU_ASSERT (ss_rate_limiter_take (&l, "o", false, 10400).outcome
             == SS_RATE_TAKEN);
  CU_ASSERT (ss_rate_limiter_take (&l, "o", false, 10450).outcome
             == SS_RATE_WAIT);
  ss_rate_limiter_handle_reply (&l, "b", &reply, 10460);
  CU_ASSERT (ss_rate_limiter_take (&l, "o", false, 10460).outcome
             == SS_RATE_WAIT);
  /* A token that is returned does not live longer either. */
  CU_ASSERT (ss_rate_limiter_refund (&l, "o", 10500, 10460));
  CU_ASSERT (!ss_rate_limiter_refund (&l, "o", 10500, 10500));
  CU_ASSERT (ss_rate_limiter_take (&l, "o", false, 10500).outcome
             == SS_RATE_WAIT);
  ss_rate_limiter_finish (&l);
}

/* --- the bound, under faults --- */

static void
check_bound (uint32_t organisation, uint32_t rate_per_s, uint32_t burst,
             uint32_t seed)
{
  uint32_t worst = rate_sim_worst (&sim, organisation);
  double bound = rate_sim_bound (rate_per_s, burst);

  if (worst > bound)
    printf (
        "\nseed %u: organisation %u (%u/s, %u): %u operations, bound %.1f\n",
        seed, organisation, rate_per_s, burst, worst, bound);
  CU_ASSERT (worst <= bound);
}

static uint32_t
random_vm (GRand *rand)
{
  return (uint32_t) g_rand_int_range (rand, 0, (gint32) sim.vm_count);
}

static void
restart_all (void)
{
  for (uint32_t i = 0; i < sim.vm_count; i++)
    if (sim.vms[i].up)
      rate_sim_kill (&sim, i);
  for (uint32_t i = 0; i < sim.vm_count; i++)
    rate_sim_start (&sim, i);
}

static void
split (GRand *rand, uint32_t parts)
{
  for (uint32_t i = 0; i < sim.vm_count; i++)
    sim.vms[i].partition
        = (uint32_t) g_rand_int_range (rand, 0, (gint32) parts);
}

static void
kill_or_start (uint32_t vm)
{
  if (sim.vms[vm].up)
    rate_sim_kill (&sim, vm);
  else
    rate_sim_start (&sim, vm);
}

/* Injects a random fault.  Of a VM that coordinates a slot, with some
 * probability.
 */
static void
inject (GRand *rand)
{
  uint32_t vm = random_vm (rand);
  const char *coordinator
      = sim.vms[vm].up ? sim.vms[vm].limiter.slots[0].vm : NULL;

  if (coordinator && g_rand_boolean (rand))
    vm = (uint32_t) g_ascii_strtoull (coordinator + 1, NULL, 10);
  switch (g_rand_int_range (rand, 0, 8))
    {
    case 0:
      kill_or_start (vm);
      break;
    case 1:
      sim.vms[vm].paused_until_ms
          = sim.now_ms + g_rand_int_range (rand, 100, 4000);
      break;
    case 2:
      split (rand, (uint32_t) g_rand_int_range (rand, 1, 4));
      break;
    case 3:
      sim.vms[vm].partition = 9;
      break;
    case 4:
      split (rand, 1);
      break;
    case 5:
      if (sim.vms[vm].up)
        rate_sim_leave (&sim, vm);
      break;
    case 6:
      sim.loss = g_rand_double_range (rand, 0, 0.3);
      sim.delay_max_ms = g_rand_int_range (rand, 2, 600);
      break;
    default:
      if (sim.vm_count < RATE_SIM_VMS_MAX)
        rate_sim_start (&sim, sim.vm_count);
      break;
    }
}

/* Each organisation wants up to 8 times its limit at random VMs. */
static void
add_random_organisations (GRand *rand)
{
  static const uint32_t rates[] = { 2, 3, 10, 40, 200 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rates); i++)
    rate_sim_add (&sim, rates[i],
                  (uint32_t) g_rand_int_range (rand, 0, (gint32) rates[i] * 2),
                  rates[i] * g_rand_double_range (rand, 0.5, 8));
}

/* Advances by MS.  No share is used by two VMs at any time. */
static void
advance_checked (int64_t ms, uint32_t seed)
{
  uint32_t doubled = 0;

  for (int64_t i = 0; i < ms; i += 5)
    {
      rate_sim_advance (&sim, 5);
      doubled += rate_sim_doubled (&sim);
    }
  if (doubled)
    printf ("\nseed %u: a share was used twice\n", seed);
  CU_ASSERT (doubled == 0);
}

/* The number of operations in every window is within the bound, whatever
 * happens to VMs and links.
 */
static void
bound_holds_under_faults (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);

      rate_sim_init (&sim, seed, (uint32_t) g_rand_int_range (rand, 1, 40));
      sim.not_run = g_rand_double_range (rand, 0, 0.3);
      sim.repeated = g_rand_double_range (rand, 0, 0.1);
      add_random_organisations (rand);
      rate_sim_advance (&sim, 3000);
      for (uint32_t i = 0; i < 20; i++)
        {
          inject (rand);
          advance_checked (g_rand_int_range (rand, 10, 1500), seed);
        }
      for (uint32_t i = 0; i < sim.organisation_count; i++)
        check_bound (i, sim.organisations[i].rate_per_s,
                     sim.organisations[i].burst, seed);
      rate_sim_finish (&sim);
      g_rand_free (rand);
    }
}

/* Buckets and accounts are full when every VM loses power, twice. */
static void
bound_holds_when_all_vms_restart (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      rate_sim_init (&sim, seed, 30);
      rate_sim_add (&sim, 100, 200, 20);
      rate_sim_add (&sim, 2, 4, 1);
      rate_sim_advance (&sim, 8000);
      sim.organisations[0].demand_per_s = 1500;
      sim.organisations[1].demand_per_s = 50;
      rate_sim_advance (&sim, 700);
      restart_all ();
      rate_sim_advance (&sim, 1900);
      restart_all ();
      rate_sim_advance (&sim, 6000);
      check_bound (0, 100, 200, seed);
      check_bound (1, 2, 4, seed);
      /* They serve again, too. */
      CU_ASSERT (sim.organisations[0].served > 600);
      rate_sim_finish (&sim);
    }
}

/* All VMs restart, and 0.5 s later the callers of BACKLOG_S without any VM come
 * back together, beside the usual ones.  LIMIT is 1.6 times the usual rate.
 */
static void
come_back (uint32_t limit, uint32_t seed, double backlog_s, int64_t patience_ms)
{
  double usual = limit / 1.6;

  rate_sim_init (&sim, seed, 40);
  rate_sim_add (&sim, limit, limit, usual);
  rate_sim_advance (&sim, 6000);
  sim.patience_ms = patience_ms;
  restart_all ();
  rate_sim_advance (&sim, 500);
  rate_sim_clear (&sim);
  for (uint32_t i = 0; i < (uint32_t) (usual * backlog_s); i++)
    rate_sim_send (&sim, random_vm (sim.rand), 0);
  rate_sim_advance (&sim, 5000);
}

/* Load pattern: all VMs restart, and the callers of the time without any VM
 * come back together.  They are within their limits: the tokens that the
 * buckets lack at first come soon, and nobody is refused meanwhile.
 */
static void
callers_that_come_back_are_not_refused (void)
{
  static const uint32_t limits[] = { 16, 160 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      RateSimOrganisation *o = &sim.organisations[0];

      come_back (limits[i], i + 1, 0.8, PATIENT_MS);
      o->demand_per_s = 0;
      rate_sim_advance (&sim, 500);
      CU_ASSERT (o->refused == 0);
      CU_ASSERT (o->served >= o->sent);
      check_bound (0, limits[i], limits[i], i + 1);
      rate_sim_finish (&sim);
    }
}

/* The same with a small organisation too, a longer time without any VM, and
 * callers with a timeout of 1 s.  Those that one bucket for all VMs would serve
 * must not be refused.
 */
static void
longer_backlog_is_not_refused (void)
{
  static const uint32_t limits[] = { 4, 16, 160 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      RateSimOrganisation *o = &sim.organisations[0];

      come_back (limits[i], i + 1, 1.5, TIMEOUT_1_S_MS);
      CU_ASSERT (o->refused <= o->beyond);
      check_bound (0, limits[i], limits[i], i + 1);
      rate_sim_finish (&sim);
    }
}

/* The same, but the organisation stays beyond its limit: its callers are told
 * so again after a few seconds, at once.
 */
static void
organisation_beyond_its_limit_is_refused_after_a_start (void)
{
  RateSimOrganisation *o = &sim.organisations[0];

  rate_sim_init (&sim, 5, 40);
  rate_sim_add (&sim, 100, 100, 400);
  rate_sim_advance (&sim, 6000);
  restart_all ();
  rate_sim_advance (&sim, 5000);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 3000);
  CU_ASSERT (o->refused > 800);
  CU_ASSERT (o->served > 270);
  check_bound (0, 100, 100, 5);
  rate_sim_finish (&sim);
}

static uint32_t
coordinator_of (uint32_t vm, uint32_t organisation)
{
  const SsRateOrganisation *o = g_hash_table_lookup (
      sim.vms[vm].limiter.organisations, sim.organisations[organisation].name);

  return (uint32_t) g_ascii_strtoull (sim.vms[vm].limiter.slots[o->slot].vm + 1,
                                      NULL, 10);
}

/* A VM that restarts does not know that it has delegated its share. */
static void
restarted_vm_waits_for_its_share (void)
{
  rate_sim_init (&sim, 11, 10);
  rate_sim_add (&sim, 100, 100, 50);
  rate_sim_advance (&sim, 5000);
  for (uint32_t i = 0; i < 10; i++)
    {
      rate_sim_kill (&sim, i);
      rate_sim_start (&sim, i);
      advance_checked (200, 11);
    }
  advance_checked (3000, 11);
  rate_sim_finish (&sim);
}

/* Two parts, each with a coordinator, take full buckets apart; they meet again.
 */
static void
bound_holds_with_two_coordinators (void)
{
  for (uint32_t seed = 1; seed <= 8; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);

      rate_sim_init (&sim, seed, 20);
      rate_sim_add (&sim, 100, 200, 50);
      rate_sim_advance (&sim, 6000);
      sim.organisations[0].demand_per_s = 1000;
      for (uint32_t i = 0; i < 6; i++)
        {
          split (rand, i % 2 ? 1 : 2);
          rate_sim_advance (&sim, g_rand_int_range (rand, 300, 4000));
        }
      check_bound (0, 100, 200, seed);
      split (rand, 2);
      rate_sim_advance (&sim, 4000);
      rate_sim_clear (&sim);
      rate_sim_advance (&sim, 5000);
      /* Each part has the shares of its VMs. */
      CU_ASSERT (sim.organisations[0].served > 400);
      rate_sim_finish (&sim);
      g_rand_free (rand);
    }
}

/* As many VMs as there are join at once, with shares that the others do not
 * know of at first.
 */
static void
bound_holds_when_many_vms_join (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      rate_sim_init (&sim, seed, 30);
      rate_sim_add (&sim, 100, 100, 50);
      rate_sim_add (&sim, 2, 2, 1);
      rate_sim_advance (&sim, 6000);
      sim.organisations[0].demand_per_s = 1000;
      sim.organisations[1].demand_per_s = 30;
      rate_sim_advance (&sim, 500);
      for (uint32_t i = 30; i < 60; i++)
        {
          rate_sim_start (&sim, i);
          rate_sim_advance (&sim, 5);
        }
      advance_checked (6000, seed);
      check_bound (0, 100, 100, seed);
      check_bound (1, 2, 2, seed);
      CU_ASSERT (sim.organisations[0].served > 600);
      rate_sim_finish (&sim);
    }
}

/* A limit is lowered while tokens of the higher one are out. */
static void
lowered_limit_is_kept (void)
{
  rate_sim_init (&sim, 3, 20);
  rate_sim_add (&sim, 200, 400, 100);
  rate_sim_advance (&sim, 6000);
  sim.organisations[0].demand_per_s = 1000;
  rate_sim_advance (&sim, 300);
  for (uint32_t i = 0; i < 20; i++)
    rate_sim_set_limit (&sim, i, 0, 20, 10);
  /* The tokens that are out expire. */
  rate_sim_advance (&sim, 500);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 12000);
  check_bound (0, 20, 10, 3);
  CU_ASSERT (sim.organisations[0].served > 12 * 20 * 0.9);
  for (uint32_t i = 0; i < 20; i++)
    rate_sim_set_limit (&sim, i, 0, 0, 10);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 2000);
  CU_ASSERT (sim.organisations[0].served == 0);
  rate_sim_finish (&sim);
}

/* --- what is within the limit is served --- */

/* Sends operations evenly for MS at a rate, to random VMs. */
static void
send_evenly (uint32_t organisation, double rate_per_s, int64_t ms)
{
  double due = 0;

  for (int64_t i = 0; i < ms; i++)
    {
      due += rate_per_s / 1000;
      if (due >= 1)
        {
          rate_sim_send (&sim, random_vm (sim.rand), organisation);
          due -= 1;
        }
      rate_sim_advance (&sim, 1);
    }
}

/* Nothing fails and demand is within the limit: nothing is refused. */
static void
demand_within_limit_is_served (void)
{
  static const uint32_t rates[] = { 2, 5, 30, 150 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      RateSimOrganisation *o;

      rate_sim_init (&sim, i + 1, 24);
      rate_sim_add (&sim, rates[i], MAX (rates[i], 2), 0);
      o = &sim.organisations[0];
      rate_sim_advance (&sim, 5000);
      send_evenly (0, rates[i] * 0.95, 20000);
      rate_sim_advance (&sim, 1000);
      CU_ASSERT (o->refused == 0);
      CU_ASSERT (o->served == o->sent);
      rate_sim_finish (&sim);
    }
}

/* The whole burst is there after a pause, also at a single VM. */
static void
burst_is_served_at_one_vm (void)
{
  rate_sim_init (&sim, 4, 24);
  rate_sim_add (&sim, 20, 40, 0);
  rate_sim_advance (&sim, 8000);
  for (uint32_t i = 0; i < 40; i++)
    rate_sim_send (&sim, 7, 0);
  rate_sim_advance (&sim, 100);
  CU_ASSERT (sim.organisations[0].served == 40);
  CU_ASSERT (sim.organisations[0].refused == 0);
  rate_sim_finish (&sim);
}

/* The smallest limit of the deployment: a VM sees an operation in a minute. */
static void
limit_of_2_over_87_vms (void)
{
  RateSimOrganisation *o;

  rate_sim_init (&sim, 5, 87);
  rate_sim_add (&sim, 2, 2, 0);
  o = &sim.organisations[0];
  rate_sim_advance (&sim, 5000);
  send_evenly (0, 1.9, 30000);
  CU_ASSERT (o->refused == 0);
  CU_ASSERT (o->sent - o->served <= 1);
  rate_sim_clear (&sim);
  send_evenly (0, 30, 20000);
  check_bound (0, 2, 2, 5);
  CU_ASSERT (o->served >= 36);
  rate_sim_finish (&sim);
}

/* 300 VMs: the coordinators' work grows with the VMs. */
static void
limits_over_300_vms (void)
{
  rate_sim_init (&sim, 6, 300);
  for (uint32_t i = 0; i < 8; i++)
    rate_sim_add (&sim, 40, 40, 25);
  rate_sim_advance (&sim, 4000);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 6000);
  for (uint32_t i = 0; i < 8; i++)
    {
      const RateSimOrganisation *o = &sim.organisations[i];

      check_bound (i, 40, 40, 6);
      CU_ASSERT (o->refused * 100 <= o->sent);
    }
  rate_sim_finish (&sim);
}

/* Zipf sizes with exponent 1.2, 800 operations a second together, limits of 1.6
 * times the usual rate.
 */
static void
add_deployment (double total_per_s)
{
  double sum = 0;

  for (uint32_t i = 1; i <= 86; i++)
    sum += pow (i, -1.2);
  for (uint32_t i = 1; i <= 86; i++)
    {
      double usual = total_per_s * pow (i, -1.2) / sum;
      uint32_t limit = MAX (2, (uint32_t) ceil (usual * 1.6));

      rate_sim_add (&sim, limit, limit, usual);
    }
}

typedef struct
{
  uint32_t sent;
  uint32_t refused;
  uint32_t beyond;
  uint32_t waited;
} Totals;

/* Returns the totals of the organisations from FIRST on. */
static Totals
add_up (uint32_t first)
{
  Totals t = { 0, 0, 0, 0 };

  for (uint32_t i = first; i < sim.organisation_count; i++)
    {
      t.sent += sim.organisations[i].sent;
      t.refused += sim.organisations[i].refused;
      t.beyond += sim.organisations[i].beyond;
      t.waited += sim.organisations[i].waited;
    }
  return t;
}

/* One organisation sends 7.5 times its usual rate: it gets its limit, and the
 * others notice nothing.
 */
static void
surge_of_one_organisation (void)
{
  RateSimOrganisation *large = &sim.organisations[0];
  Totals others;
  uint32_t limit;

  rate_sim_init (&sim, 7, 87);
  add_deployment (800);
  limit = large->rate_per_s;
  rate_sim_advance (&sim, 5000);
  large->demand_per_s *= 7.5;
  rate_sim_advance (&sim, 2000);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 6000);
  check_bound (0, limit, limit, 7);
  CU_ASSERT (large->served > limit * 6 * 0.93);
  others = add_up (1);
  CU_ASSERT (others.refused <= others.beyond + others.sent / 500);
  rate_sim_finish (&sim);
}

/* The coordinators stop one after the other as planned, and others join. */
static void
planned_stop_and_join_cost_no_gap (void)
{
  rate_sim_init (&sim, 8, 30);
  rate_sim_add (&sim, 60, 60, 0);
  rate_sim_advance (&sim, 5000);
  rate_sim_clear (&sim);
  for (uint32_t i = 0; i < 4; i++)
    {
      uint32_t vm = coordinator_of (i, 0);

      rate_sim_leave (&sim, vm);
      send_evenly (0, 40, 1000);
      rate_sim_kill (&sim, vm);
      rate_sim_start (&sim, vm);
      send_evenly (0, 40, 3000);
    }
  CU_ASSERT (sim.organisations[0].refused == 0);
  check_bound (0, 60, 60, 8);
  rate_sim_finish (&sim);
}

/* A coordinator loses power.  Its organisations are served again within 1.5 s:
 * that is noticed after 1 s, and the delegations end after 1.24 s.
 */
static void
lost_coordinator_is_replaced (void)
{
  uint32_t lost;

  rate_sim_init (&sim, 9, 30);
  rate_sim_add (&sim, 60, 60, 0);
  rate_sim_advance (&sim, 5000);
  rate_sim_clear (&sim);
  lost = coordinator_of (0, 0);
  rate_sim_kill (&sim, lost);
  for (uint32_t i = 0; i < 2500; i += 25)
    {
      uint32_t vm = random_vm (sim.rand);

      if (vm != lost)
        rate_sim_send (&sim, vm, 0);
      rate_sim_advance (&sim, 25);
    }
  CU_ASSERT (sim.organisations[0].refused < 40);
  rate_sim_clear (&sim);
  for (uint32_t i = 0; i < 5000; i += 25)
    {
      uint32_t vm = random_vm (sim.rand);

      if (vm != lost)
        rate_sim_send (&sim, vm, 0);
      rate_sim_advance (&sim, 25);
    }
  CU_ASSERT (sim.organisations[0].refused == 0);
  rate_sim_finish (&sim);
}

/* --- cost --- */

/* A second, sent and received. */
typedef struct
{
  double messages; /* of a VM that coordinates nothing, the busiest such */
  double bytes;
  double most_messages; /* of the busiest VM */
  double most_bytes;
} Cost;

static bool
coordinates (uint32_t vm)
{
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    if (g_strcmp0 (sim.vms[vm].limiter.slots[i].vm, sim.vms[vm].name) == 0)
      return true;
  return false;
}

static Cost
measure_cost (double seconds)
{
  Cost c = { 0, 0, 0, 0 };

  for (uint32_t i = 0; i < sim.vm_count; i++)
    {
      double messages
          = (double) (sim.vms[i].sent + sim.vms[i].received) / seconds;
      double bytes = (double) sim.vms[i].bytes / seconds;

      c.most_messages = MAX (c.most_messages, messages);
      c.most_bytes = MAX (c.most_bytes, bytes);
      if (coordinates (i))
        continue;
      c.messages = MAX (c.messages, messages);
      c.bytes = MAX (c.bytes, bytes);
    }
  return c;
}

/* 87 VMs that serve 10 operations a second each. */
static void
cost_is_low (void)
{
  Totals all;
  Cost c;

  rate_sim_init (&sim, 10, 87);
  add_deployment (870);
  rate_sim_advance (&sim, 5000);
  rate_sim_clear (&sim);
  rate_sim_advance (&sim, 10000);
  c = measure_cost (10);
  all = add_up (0);
  printf ("\n  rate limits, 87 VMs: %.1f messages/s and %.0f bytes/s at a VM,"
          " %.0f and %.0f at the busiest; %u of %u operations waited\n",
          c.messages, c.bytes, c.most_messages, c.most_bytes, all.waited,
          all.sent);
  CU_ASSERT (c.messages < 40);
  CU_ASSERT (c.most_messages < 1400);
  CU_ASSERT (all.refused <= all.beyond + all.sent / 500);
  rate_sim_finish (&sim);
}

CU_TestInfo test_rate_limit[] = {
  { "bucket grants rate and burst", bucket_grants_rate_and_burst },
  { "smaller share loses its tokens", smaller_share_loses_its_tokens },
  { "small shares make few tokens", small_shares_make_few_tokens },
  { "limit of 0 has no tokens", limit_of_0_has_no_tokens },
  { "tokens ahead leave a reserve", tokens_ahead_leave_a_reserve },
  { "tokens expire", tokens_expire },
  { "demand is averaged", demand_is_averaged },
  { "tokens count from the ask", tokens_count_from_the_ask },
  { "bound holds under faults", bound_holds_under_faults },
  { "bound holds when all vms restart", bound_holds_when_all_vms_restart },
  { "callers that come back are not refused",
    callers_that_come_back_are_not_refused },
  { "organisation beyond its limit is refused after a start",
    organisation_beyond_its_limit_is_refused_after_a_start },
  { "restarted vm waits for its share", restarted_vm_waits_for_its_share },
  { "bound holds with two coordinators", bound_holds_with_two_coordinators },
  { "bound holds when many vms join", bound_holds_when_many_vms_join },
  { "lowered limit is kept", lowered_limit_is_kept },
  { "demand within limit is served", demand_within_limit_is_served },
  { "burst is served at one vm", burst_is_served_at_one_vm },
  { "limit of 2 over 87 vms", limit_of_2_over_87_vms },
  { "limits over 300 vms", limits_over_300_vms },
  { "surge of one organisation", surge_of_one_organisation },
  { "planned stop and join cost no gap", planned_stop_and_join_cost_no_gap },
  { "lost coordinator is replaced", lost_coordinator_is_replaced },
  { "cost is low", cost_is_low },
  CU_TEST_INFO_NULL,
};

CU_TestInfo test_rate_backlog[] = {
  { "longer backlog is not refused", longer_backlog_is_not_refused },
  CU_TEST_INFO_NULL,
};
