/* Servers of unequal and changing speed: their learned speed, the limit of
 * statements at once, and the distribution of reads.
 */
#include "core/concurrency_limit.h"
#include "core/read_spread.h"
#include "core/round_trip.h"
#include "core/server_speed.h"

#include <math.h>
#include <string.h>

#include "tests/line_sim.h"
#include "tests/unit.h"

#define USUAL_MS 15.0
/* Of the logarithm of a run time. */
#define NOISE_SIGMA 0.5
#define OUTLIER_PERCENT 1
#define OUTLIER_FACTOR 5.0

/* --- one server's run times --- */

typedef struct
{
  GRand *rand;
  SsServerSpeed speed;
  int64_t now_ms;
} Server;

static void
server_init (Server *s, uint32_t seed)
{
  s->rand = g_rand_new_with_seed (seed);
  s->now_ms = 1000;
  ss_server_speed_init (&s->speed);
}

static void
server_finish (Server *s)
{
  ss_server_speed_finish (&s->speed);
  g_rand_free (s->rand);
}

/* Returns a factor with a log-normal distribution and median 1; 1 in 100 is
 * five times as long.
 */
static double
noise (GRand *rand)
{
  double u = g_rand_double_range (rand, 1e-9, 1);
  double v = g_rand_double (rand);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double factor = exp (NOISE_SIGMA * normal);

  if (g_rand_int_range (rand, 0, 100) < OUTLIER_PERCENT)
    factor *= OUTLIER_FACTOR;
  return factor;
}

/* Runs COUNT reads, one every INTERVAL_MS, on a server that is SLOWNESS times
 * slower than usual.
 */
static void
run_reads (Server *s, uint32_t count, int64_t interval_ms, double slowness)
{
  for (uint32_t i = 0; i < count; i++)
    {
      s->now_ms += interval_ms;
      ss_server_speed_sample (&s->speed, "s", true,
                              USUAL_MS * slowness * noise (s->rand), USUAL_MS,
                              s->now_ms);
    }
}

static double
factor (const Server *s)
{
  return ss_server_speed_factor (&s->speed, s->now_ms);
}

/* Load: a server that is 2 or 8 times slower from the start, so that it has no
 * faster past to compare with.
 */
static void
slow_from_the_start_is_seen (void)
{
  static const double factors[] = { 2, 8 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (factors); i++)
    for (uint32_t seed = 1; seed <= 20; seed++)
      {
        Server s;

        server_init (&s, seed);
        CU_ASSERT (!s.speed.known);
        run_reads (&s, 48, 10, factors[i]);
        CU_ASSERT (factor (&s) > factors[i] * 0.7);
        CU_ASSERT (factor (&s) < factors[i] * 1.4);
        server_finish (&s);
      }
}

/* Load: a server becomes 8 times slower for seconds, and gets few probes while
 * it is.  The slow-down is seen within two windows, the recovery later.
 */
static void
slow_down_is_seen_sooner_than_recovery (void)
{
  Server s;
  uint32_t to_slow = 0;
  uint32_t to_usual = 0;

  server_init (&s, 3);
  run_reads (&s, 200, 10, 1);
  CU_ASSERT (factor (&s) < 1.25);
  for (; to_slow < 100 && factor (&s) < 3; to_slow++)
    run_reads (&s, 1, 10, 8);
  CU_ASSERT (to_slow <= 2 * SS_SPEED_WINDOW);
  run_reads (&s, 48, 10, 8);
  for (; to_usual < 200 && factor (&s) > 1.25; to_usual++)
    run_reads (&s, 1, 10, 1);
  CU_ASSERT (to_usual > to_slow);
  CU_ASSERT (to_usual <= 10 * SS_SPEED_WINDOW);
  server_finish (&s);
}

/* Load: a slow server gets two reads a second as probes.  Its recovery is seen
 * within 15 s, and without any read the belief fades.
 */
static void
recovery_is_seen_by_probes (void)
{
  Server s;

  server_init (&s, 4);
  run_reads (&s, 100, 10, 8);
  CU_ASSERT (factor (&s) > 5);
  run_reads (&s, 30, 500, 1);
  CU_ASSERT (factor (&s) < 1.5);
  run_reads (&s, 100, 10, 8);
  CU_ASSERT (factor (&s) > 5);
  s.now_ms += 10 * SS_SPEED_VALID_MS;
  CU_ASSERT (factor (&s) < 1.1);
  server_finish (&s);
}

/* Load: a healthy server answers 30 % of the statements with an error at once.
 * Neither do the errors look like speed, nor does it count as slow.  One that
 * fails nearly everything at once must not attract reads.
 */
static void
errors_do_not_look_like_speed (void)
{
  Server s;

  server_init (&s, 5);
  for (uint32_t i = 0; i < 2000; i++)
    {
      if (g_rand_int_range (s.rand, 0, 100) < 30)
        ss_server_speed_failed (&s.speed, 0, USUAL_MS, s.now_ms);
      else
        run_reads (&s, 1, 5, 1);
      if (i > 100)
        CU_ASSERT (factor (&s) > 0.6 && factor (&s) < 1.6);
    }
  for (uint32_t i = 0; i < 60; i++)
    ss_server_speed_failed (&s.speed, 0, USUAL_MS, s.now_ms);
  CU_ASSERT (factor (&s) >= 4);
  run_reads (&s, 100, 5, 1);
  CU_ASSERT (factor (&s) < 1.4);
  server_finish (&s);
}

/* Load: a server that hangs gives no run times at all.  Answers that are lost
 * after a long time count as slow.
 */
static void
lost_answers_look_slow (void)
{
  Server s;

  server_init (&s, 6);
  run_reads (&s, 100, 10, 1);
  for (uint32_t i = 0; i < 24; i++)
    ss_server_speed_failed (&s.speed, 1000, USUAL_MS, s.now_ms += 10);
  CU_ASSERT (factor (&s) >= 8);
  server_finish (&s);
}

/* Load: run times are log-normal and 1 % of them five times as long.  A server
 * of usual speed never counts as slow enough to lose its reads.
 */
static void
noise_is_no_slowness (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      Server s;
      uint32_t slow = 0;

      server_init (&s, seed);
      for (uint32_t i = 0; i < 3000; i++)
        {
          run_reads (&s, 1, 10, 1);
          slow += factor (&s) > 1.6;
        }
      CU_ASSERT (slow == 0);
      CU_ASSERT (fabs (ss_server_speed_run_ms (&s.speed, "s", true) - USUAL_MS)
                 < USUAL_MS * 0.4);
      server_finish (&s);
    }
}

/* Load: the mix changes from short statements to ones six times as long.  The
 * speed is the same.
 */
static void
change_of_the_mix_is_no_change_of_speed (void)
{
  Server s;

  server_init (&s, 7);
  for (uint32_t i = 0; i < 2000; i++)
    {
      bool is_long = i >= 1000 ? i % 10 != 0 : i % 10 == 0;
      double usual_ms = is_long ? 26 : 4.5;

      s.now_ms += 10;
      ss_server_speed_sample (&s.speed, is_long ? "long" : "short", true,
                              usual_ms * noise (s.rand), usual_ms, s.now_ms);
      if (i > 50)
        CU_ASSERT (factor (&s) > 0.6 && factor (&s) < 1.6);
    }
  server_finish (&s);
}

/* A VM that takes over a target starts from the figures last reported. */
static void
new_owner_starts_from_the_report (void)
{
  Server s;
  SsConcurrencyLimit limit;

  server_init (&s, 8);
  ss_server_speed_resume (&s.speed, 4, s.now_ms);
  CU_ASSERT (fabs (factor (&s) - 4) < 0.01);
  ss_concurrency_limit_init (&limit);
  ss_concurrency_limit_resume (&limit, 2, s.now_ms);
  CU_ASSERT (ss_concurrency_limit_get (&limit, 5) == 2);
  server_finish (&s);
}

/* --- limit of statements at once --- */

#define SLOTS 4
#define CEILING (SLOTS + 1)

#define LOAD_CHANGE_MS 40

/* A server under overload, or under a load that varies.  It takes KNEE
 * statements at once well; beyond that, run times grow in proportion to the
 * POWER of the concurrency.
 */
typedef struct
{
  GRand *rand;
  uint32_t knee;
  double power;
  double slowness;
  SsConcurrencyLimit limit;
  int64_t now_ms;
  struct
  {
    int64_t end_ms;
    SsLimitSample sample;
  } running[CEILING];
  uint32_t running_count;
  uint32_t done;
  bool varies;      /* the load changes every LOAD_CHANGE_MS */
  uint32_t offered; /* statements at once, if it does */
} Overload;

static void
overload_init (Overload *o, uint32_t seed, uint32_t knee, double power)
{
  memset (o, 0, sizeof *o);
  o->rand = g_rand_new_with_seed (seed);
  o->knee = knee;
  o->power = power;
  o->slowness = 1;
  o->now_ms = 1000;
  ss_concurrency_limit_init (&o->limit);
}

static void
overload_start (Overload *o)
{
  uint32_t running = ++o->running_count;
  double ratio = o->slowness * noise (o->rand);
  double sharing = running > SLOTS ? (double) running / SLOTS : 1;
  uint32_t i;

  if (running > o->knee)
    ratio *= pow ((double) running / o->knee, o->power);
  for (i = 0; o->running[i].end_ms; i++)
    ;
  o->running[i].end_ms = o->now_ms + 1 + (int64_t) (USUAL_MS * ratio);
  o->running[i].sample = (SsLimitSample){ o->now_ms, running, ratio / sharing };
}

static bool
overload_has_work (const Overload *o)
{
  return o->running_count < ss_concurrency_limit_get (&o->limit, CEILING)
         && (!o->varies || o->running_count < o->offered);
}

static void
overload_run (Overload *o, int64_t ms)
{
  for (int64_t end_ms = o->now_ms + ms; o->now_ms < end_ms; o->now_ms++)
    {
      for (uint32_t i = 0; i < CEILING; i++)
        if (o->running[i].end_ms && o->running[i].end_ms <= o->now_ms)
          {
            o->running[i].end_ms = 0;
            o->running_count--;
            o->done++;
            ss_concurrency_limit_sample (&o->limit, &o->running[i].sample,
                                         CEILING, o->now_ms);
          }
      if (o->now_ms % LOAD_CHANGE_MS == 0)
        o->offered = (uint32_t) g_rand_int_range (o->rand, 1, CEILING + 1);
      while (overload_has_work (o))
        overload_start (o);
    }
}

/* Load: a constant overload and a varying load of a server whose run times are
 * constant up to its slots, and noisy.  The limit stays at the ceiling, so
 * nothing changes.
 */
static void
limit_of_a_constant_server_stays_at_the_ceiling (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      Overload o;

      overload_init (&o, seed, SLOTS, 1);
      o.varies = seed % 2 == 0;
      for (uint32_t i = 0; i < 60; i++)
        {
          overload_run (&o, 1000);
          CU_ASSERT (ss_concurrency_limit_get (&o.limit, CEILING) == CEILING);
        }
      g_rand_free (o.rand);
    }
}

/* Load: overload of a server that slows down beyond its second statement,
 * although it has four slots.  The limit falls within 1.5 s, or 4 s where noise
 * hides the first attempt, and the throughput rises.
 */
static void
limit_falls_where_a_server_slows_down_early (void)
{
  uint32_t in_time = 0;

  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      Overload o;
      uint32_t first;
      uint32_t before;

      overload_init (&o, seed, 2, 2);
      overload_run (&o, 500);
      first = o.done;
      overload_run (&o, 1000);
      in_time += ss_concurrency_limit_settled (&o.limit, CEILING) <= 3;
      overload_run (&o, 2500);
      CU_ASSERT (ss_concurrency_limit_settled (&o.limit, CEILING) <= 3);
      before = o.done;
      overload_run (&o, 10000);
      CU_ASSERT (ss_concurrency_limit_settled (&o.limit, CEILING) <= 3);
      CU_ASSERT ((o.done - before) * 10 >= 20 * first * 12);
      g_rand_free (o.rand);
    }
  CU_ASSERT (in_time >= 95);
}

/* Load: a server whose early slow-down ends.  The limit rises step by step to
 * the ceiling.
 */
static void
limit_rises_again_after_a_recovery (void)
{
  Overload o;
  uint32_t last;

  overload_init (&o, 1, 1, 1.5);
  overload_run (&o, 5000);
  last = ss_concurrency_limit_settled (&o.limit, CEILING);
  CU_ASSERT (last <= 2);
  o.knee = SLOTS;
  for (uint32_t i = 0; i < 3000; i++)
    {
      uint32_t limit;

      overload_run (&o, 10);
      limit = ss_concurrency_limit_settled (&o.limit, CEILING);
      CU_ASSERT (limit <= last + 1);
      last = limit;
    }
  CU_ASSERT (last == CEILING);
  g_rand_free (o.rand);
}

/* Load: a server is 8 times slower at any concurrency.  Fewer statements at
 * once would only lower the throughput.
 */
static void
limit_of_a_slow_server_returns_to_the_ceiling (void)
{
  Overload o;

  overload_init (&o, 1, SLOTS, 1);
  overload_run (&o, 5000);
  o.slowness = 8;
  overload_run (&o, 20000);
  CU_ASSERT (ss_concurrency_limit_settled (&o.limit, CEILING) == CEILING);
  o.slowness = 1;
  overload_run (&o, 20000);
  CU_ASSERT (ss_concurrency_limit_settled (&o.limit, CEILING) == CEILING);
  g_rand_free (o.rand);
}

/* The limit never falls below 1, whatever the run times. */
static void
limit_is_at_least_one (void)
{
  Overload o;

  overload_init (&o, 1, 1, 2);
  for (uint32_t i = 0; i < 2000; i++)
    {
      overload_run (&o, 10);
      CU_ASSERT (ss_concurrency_limit_get (&o.limit, CEILING) >= 1);
      CU_ASSERT (ss_concurrency_limit_get (&o.limit, CEILING) <= CEILING);
    }
  CU_ASSERT (ss_concurrency_limit_settled (&o.limit, CEILING) == 1);
  CU_ASSERT (ss_concurrency_limit_get (&o.limit, 0) == 1);
  g_rand_free (o.rand);
}

/* --- distribution of reads --- */

#define ENTRIES 87
#define REPORT_MS 250
#define RUN_SERVERS 2

/* Simulates two equal servers for ENTRIES VMs, whose reads all see a report
 * of up to REPORT_MS ago.  Returns the highest queueing time.
 */
static double
highest_wait_ms (bool spreads)
{
  GRand *rand = g_rand_new_with_seed (1);
  double work_ms[RUN_SERVERS] = { 0, 0 };
  SsReadCost reported[RUN_SERVERS]
      = { { 0, USUAL_MS, false }, { 0, USUAL_MS, false } };
  double highest_ms = 0;

  for (uint32_t now_ms = 0; now_ms < 20000; now_ms++)
    {
      if (now_ms % REPORT_MS == 0)
        for (uint32_t i = 0; i < RUN_SERVERS; i++)
          reported[i].wait_ms = work_ms[i] / SLOTS;
      /* 85 % of what both servers run together. */
      if (g_rand_double (rand) < 0.85 * RUN_SERVERS * SLOTS / USUAL_MS)
        {
          uint32_t best = reported[1].wait_ms < reported[0].wait_ms;
          uint32_t i = spreads ? ss_read_spread_pick (reported, RUN_SERVERS,
                                                      g_rand_double (rand))
                               : best;

          work_ms[i] += USUAL_MS;
        }
      for (uint32_t i = 0; i < RUN_SERVERS; i++)
        {
          work_ms[i] = MAX (work_ms[i] - SLOTS, 0);
          if (now_ms > 1000)
            highest_ms = MAX (highest_ms, work_ms[i] / SLOTS);
        }
    }
  g_rand_free (rand);
  return highest_ms;
}

/* Load: many VMs choose by the same report.  If all took the best server, it
 * would get all reads until the next report.
 */
static void
entries_that_choose_at_once_spread (void)
{
  double spread_ms = highest_wait_ms (true);
  double best_ms = highest_wait_ms (false);

  if (g_getenv ("SS_TEST_FIGURES"))
    g_print ("highest wait: %.0f ms spread, %.0f ms best\n", spread_ms,
             best_ms);
  CU_ASSERT (spread_ms * 2 < best_ms);
}

static double
share_of (const SsReadCost *costs, uint32_t count, uint32_t index)
{
  uint32_t picked = 0;

  for (uint32_t i = 0; i < 10000; i++)
    picked += ss_read_spread_pick (costs, count, i / 10000.0) == index;
  return picked / 10000.0;
}

/* Equal servers get equal shares; a much slower one is left with its probes; a
 * distant one serves when the near one has a queue.
 */
static void
shares_follow_response_times (void)
{
  SsReadCost equal[] = { { 0, 15, false }, { 0, 15, false }, { 0, 15, false } };
  SsReadCost slow[] = { { 0, 15, false }, { 0, 120, true } };
  SsReadCost dead[] = { { 0, 15, false }, { 0, 120, false } };
  SsReadCost queued[] = { { 100, 15, false }, { 0, 31, false } };

  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT (fabs (share_of (equal, 3, i) - 1.0 / 3) < 0.01);
  CU_ASSERT (fabs (share_of (slow, 2, 1) - SS_SPREAD_PROBE_SHARE) < 0.005);
  CU_ASSERT (share_of (dead, 2, 1) == 0);
  CU_ASSERT (share_of (queued, 2, 1) > 0.6);
  CU_ASSERT (share_of (equal, 1, 0) == 1);
}

/* Round trips inside a region are shorter than the assumed one; one that is
 * not known yet counts as between regions.
 */
static void
round_trips_are_learned (void)
{
  SsRoundTrip trip = { 0, 0 };

  CU_ASSERT (ss_round_trip_ms (NULL, true) < ss_round_trip_ms (NULL, false));
  for (uint32_t i = 0; i < 100; i++)
    ss_round_trip_sample (&trip, 2);
  CU_ASSERT (ss_round_trip_ms (&trip, false) < 2.5);
}

/* --- through the node --- */

#define GROUP_READERS (LINE_SESSIONS_MAX / 2)
#define GROUP_WARM_UP_MS 4000
#define GROUP_RUN_MS 30000
#define GROUP_RUN_TIME_MS 15
#define GOAL_MS 60

typedef struct
{
  uint32_t reads;
  uint32_t in_time; /* within GOAL_MS */
  int64_t sum_ms;
  uint32_t ran[LINE_SERVERS];
} GroupResult;

/* Has half of the sessions read one after the other for RUN_MS. */
static void
read_for (LineSim *sim, int64_t run_ms, GroupResult *result)
{
  int64_t sent_ms[LINE_SESSIONS_MAX] = { 0 };

  for (int64_t i = 0; i < run_ms; i++)
    {
      for (uint32_t j = 1; j < LINE_SESSIONS_MAX; j += 2)
        {
          LineSession *s = &sim->sessions[j];

          if (s->awaiting_reply)
            continue;
          if (sent_ms[j])
            {
              int64_t took_ms = sim->now_ms - sent_ms[j];

              result->reads++;
              result->in_time
                  += s->verdict == SS_VERDICT_RAN && took_ms <= GOAL_MS;
              result->sum_ms += took_ms;
              sent_ms[j] = 0;
            }
          if (sim->now_ms < s->next_statement_ms)
            continue;
          sent_ms[j] = sim->now_ms;
          line_sim_send (sim, j + 1, "READ 1a");
        }
      line_sim_advance (sim, 1);
    }
}

/* Runs reads on a group of servers with SLOTS.  They slow down beyond KNEE
 * statements at once, and the last replica takes SLOWNESS times as long.
 */
static void
run_group (bool learns, uint32_t slots, uint32_t knee, int64_t slowness,
           GroupResult *result)
{
  LineSim sim;

  memset (result, 0, sizeof *result);
  line_sim_init (&sim, 1, LINE_SESSIONS_MAX, 40);
  sim.node.params.learn_speed = learns;
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      sim.servers[i].run_ms = GROUP_RUN_TIME_MS * (i == 2 ? slowness : 1);
      sim.servers[i].slots = slots;
      sim.servers[i].knee = knee;
    }
  read_for (&sim, GROUP_WARM_UP_MS, result);
  memset (result, 0, sizeof *result);
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    sim.servers[i].ran = 0;
  read_for (&sim, GROUP_RUN_MS, result);
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    result->ran[i] = sim.servers[i].ran;
  CU_ASSERT (sim.violations == 0);
  line_sim_finish (&sim);
}

static double
mean_ms (const GroupResult *r)
{
  return (double) r->sum_ms / r->reads;
}

static void
print_group (const char *what, const GroupResult *r)
{
  if (g_getenv ("SS_TEST_FIGURES"))
    g_print ("%s: reads %u, in time %.3f, mean %.1f ms, by server %u %u %u\n",
             what, r->reads, (double) r->in_time / r->reads, mean_ms (r),
             r->ran[0], r->ran[1], r->ran[2]);
}

/* Load: one replica of a group is four times slower.  More reads are in time,
 * the mean response time is shorter, and the slow one still gets some reads.
 */
static void
group_with_a_slow_replica_serves_in_time (void)
{
  GroupResult off;
  GroupResult on;

  run_group (false, 2, 0, 4, &off);
  run_group (true, 2, 0, 4, &on);
  print_group ("slow replica, off", &off);
  print_group ("slow replica, on", &on);
  CU_ASSERT (on.in_time * off.reads > off.in_time * on.reads);
  CU_ASSERT (mean_ms (&on) < mean_ms (&off));
  CU_ASSERT (on.ran[2] < off.ran[2]);
  CU_ASSERT (on.ran[2] > 0);
}

/* Load: three equal servers.  Learning changes nothing that a caller sees. */
static void
equal_servers_behave_as_without_learning (void)
{
  GroupResult off;
  GroupResult on;

  run_group (false, 2, 0, 1, &off);
  run_group (true, 2, 0, 1, &on);
  print_group ("equal servers, off", &off);
  print_group ("equal servers, on", &on);
  CU_ASSERT (on.reads * 100 >= off.reads * 97);
  CU_ASSERT (on.in_time * 100 >= on.reads * 98);
  CU_ASSERT (mean_ms (&on) < mean_ms (&off) * 1.05);
}

/* Load: servers that slow down beyond their first statement, long before their
 * four slots are busy.  With fewer statements at once, more reads are in time.
 */
static void
group_that_slows_down_early_serves_more (void)
{
  GroupResult off;
  GroupResult on;

  run_group (false, SLOTS, 1, 1, &off);
  run_group (true, SLOTS, 1, 1, &on);
  print_group ("early slow-down, off", &off);
  print_group ("early slow-down, on", &on);
  CU_ASSERT (on.in_time * off.reads > off.in_time * on.reads);
  CU_ASSERT (mean_ms (&on) < mean_ms (&off));
}

/* A report has no bytes for figures that are as usual. */
static void
usual_figures_take_no_bytes (void)
{
  SsServerState usual = { .reachable = true };
  SsServerState slow
      = { .reachable = true, .concurrency_limit = 2, .slowness_percent = 400 };
  SsPackedState packed;
  SsServerState back;
  size_t usual_bytes;

  ss_state_pack (&packed, &usual, 0);
  usual_bytes = ss__peer__server_state__get_packed_size (&packed.message);
  ss_state_pack (&packed, &slow, 0);
  CU_ASSERT (ss__peer__server_state__get_packed_size (&packed.message)
             == usual_bytes + 7);
  ss_state_unpack (&packed.message, &back);
  CU_ASSERT (back.concurrency_limit == 2);
  CU_ASSERT (back.slowness_percent == 400);
}

CU_TestInfo test_server_speed[] = {
  { "slow from the start is seen", slow_from_the_start_is_seen },
  { "slow-down is seen sooner than recovery",
    slow_down_is_seen_sooner_than_recovery },
  { "recovery is seen by probes", recovery_is_seen_by_probes },
  { "errors do not look like speed", errors_do_not_look_like_speed },
  { "lost answers look slow", lost_answers_look_slow },
  { "noise is no slowness", noise_is_no_slowness },
  { "change of the mix is no change of speed",
    change_of_the_mix_is_no_change_of_speed },
  { "new owner starts from the report", new_owner_starts_from_the_report },
  { "limit of a constant server stays at the ceiling",
    limit_of_a_constant_server_stays_at_the_ceiling },
  { "limit falls where a server slows down early",
    limit_falls_where_a_server_slows_down_early },
  { "limit rises again after a recovery", limit_rises_again_after_a_recovery },
  { "limit of a slow server returns to the ceiling",
    limit_of_a_slow_server_returns_to_the_ceiling },
  { "limit is at least one", limit_is_at_least_one },
  { "entries that choose at once spread", entries_that_choose_at_once_spread },
  { "shares follow response times", shares_follow_response_times },
  { "round trips are learned", round_trips_are_learned },
  { "group with a slow replica serves in time",
    group_with_a_slow_replica_serves_in_time },
  { "equal servers behave as without learning",
    equal_servers_behave_as_without_learning },
  { "group that slows down early serves more",
    group_that_slows_down_early_serves_more },
  { "usual figures take no bytes", usual_figures_take_no_bytes },
  CU_TEST_INFO_NULL
};
