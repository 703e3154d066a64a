/* The connection cache: connections that belong to one organisation each, at a
 * server that accepts fewer than there are organisations.
 */
#include <string.h>

#include "tests/cache_sim.h"
#include "tests/fleet_sim.h"
#include "tests/unit.h"

#define LIMIT 56
#define WARM_UP_MS 120000
#define LOAD_MS 120000
#define BURST_MS 7000
#define BURSTS 5
#define SEEDS 3
#define SMALL_FROM 20 /* organisations from this one on send 0.1 to 0.3 a s */
#define VMS 12
#define GROUPS 2
#define ORGANISATIONS 60
#define CALLERS_PER_VM 30

static CacheSim cache_sim;
static FleetSim sim;

/* --- decisions --- */

typedef struct
{
  SsConnectionCache cache;
  SsCacheConnection connections[LIMIT];
  uint32_t count;
  int64_t now_ms;
} Fixture;

static void
fixture_init (Fixture *f)
{
  SsCacheBounds bounds = { LIMIT, 0, false, false };

  memset (f, 0, sizeof *f);
  f->now_ms = 100000;
  ss_connection_cache_init (&f->cache);
  ss_connection_cache_update_limit (&f->cache, &bounds, f->now_ms);
}

static void
add (Fixture *f, const char *organisation, SsCacheState state)
{
  f->connections[f->count++] = (SsCacheConnection){
    .organisation = organisation, .state = state, .used_ms = f->now_ms
  };
}

static SsCacheDecision
decide (Fixture *f, const char *organisation, bool opens_transaction,
        int64_t waited_ms)
{
  SsCacheStatement s = { organisation, opens_transaction, waited_ms };

  ss_connection_cache_load (&f->cache, f->connections, f->count, true,
                            f->now_ms);
  return ss_connection_cache_decide (&f->cache, &s);
}

static void
arrive (Fixture *f, const char *organisation, uint32_t times)
{
  ss_connection_cache_load (&f->cache, f->connections, f->count, true,
                            f->now_ms);
  for (uint32_t i = 0; i < times; i++)
    ss_connection_cache_note_arrival (&f->cache, organisation);
}

/* A statement must never be given a connection of another organisation, nor
 * open one where an idle one of its own exists.
 */
static void
idle_connection_of_the_organisation_is_reused (void)
{
  Fixture f;

  fixture_init (&f);
  add (&f, "a", SS_CACHE_IDLE);
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_REUSE);
  CU_ASSERT (decide (&f, "b", false, 0).action == SS_CACHE_OPEN);
  CU_ASSERT (decide (&f, "", false, 0).action == SS_CACHE_OPEN);
  ss_connection_cache_finish (&f.cache);
}

/* To open a connection while one is about to be returned costs a slot of the
 * server; to wait without a bound costs the latency goal.
 */
static void
waits_for_a_busy_connection_as_long_as_opening_takes (void)
{
  SsCacheDecision d;
  Fixture f;

  fixture_init (&f);
  add (&f, "a", SS_CACHE_RUNNING);
  f.cache.connect_ms = 20;
  f.cache.hold_ms = 15;
  d = decide (&f, "a", false, 0);
  CU_ASSERT (d.action == SS_CACHE_WAIT && d.wait == SS_CACHE_WAIT_BUSY);
  CU_ASSERT (decide (&f, "a", false, 20).action == SS_CACHE_OPEN);
  f.cache.hold_ms = 30;
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_OPEN);
  /* The second one that waits expects twice the time. */
  f.cache.hold_ms = 15;
  d = decide (&f, "a", false, 0);
  CU_ASSERT (d.action == SS_CACHE_WAIT);
  d = ss_connection_cache_decide (&f.cache,
                                  &(SsCacheStatement){ "a", false, 0 });
  CU_ASSERT (d.action == SS_CACHE_OPEN);
  /* A transaction ends when its caller likes. */
  f.connections[0].state = SS_CACHE_IN_TRANSACTION;
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_OPEN);
  ss_connection_cache_finish (&f.cache);
}

/* The time to open a connection differs between servers and over time: a fixed
 * one would wait too long or open too early.
 */
static void
time_to_open_is_learned (void)
{
  Fixture f;

  fixture_init (&f);
  add (&f, "a", SS_CACHE_RUNNING);
  f.cache.hold_ms = 40;
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_OPEN);
  for (uint32_t i = 0; i < 40; i++)
    ss_connection_cache_note_opened (&f.cache, 96);
  CU_ASSERT (f.cache.connect_ms > 90);
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_WAIT);
  ss_connection_cache_finish (&f.cache);
}

/* Least recently used would close the connection of the organisation that is
 * used most but happens to pause.
 */
static void
connection_with_the_lowest_rate_of_use_is_closed (void)
{
  SsCacheDecision d;
  Fixture f;

  fixture_init (&f);
  f.cache.limit = 4;
  arrive (&f, "large", 50);
  add (&f, "large", SS_CACHE_IDLE);
  f.now_ms += 100;
  arrive (&f, "rare", 1);
  arrive (&f, "often", 5);
  add (&f, "often", SS_CACHE_IDLE);
  add (&f, "rare", SS_CACHE_IDLE);
  add (&f, "large", SS_CACHE_IDLE);
  /* The second connection of "large" has never been needed. */
  d = decide (&f, "new", false, 0);
  CU_ASSERT (d.action == SS_CACHE_WAIT && d.wait == SS_CACHE_WAIT_LIMIT);
  CU_ASSERT (d.victim == 0);
  f.connections[3].state = SS_CACHE_RUNNING;
  f.connections[0].state = SS_CACHE_RUNNING;
  CU_ASSERT (decide (&f, "new", false, 0).victim == 2);
  ss_connection_cache_finish (&f.cache);
}

/* The server may count a closed connection for a moment: the place must not be
 * used before, and no second connection be closed for the same statement.
 */
static void
closed_connection_counts_for_a_moment (void)
{
  SsCacheDecision d;
  Fixture f;

  fixture_init (&f);
  f.cache.limit = 2;
  f.cache.connect_ms = 15;
  add (&f, "a", SS_CACHE_IDLE);
  add (&f, "b", SS_CACHE_IDLE);
  d = decide (&f, "c", false, 0);
  CU_ASSERT (d.action == SS_CACHE_WAIT && d.victim >= 0);
  f.count = 1;
  ss_connection_cache_note_closed (&f.cache, f.now_ms);
  f.now_ms += 14;
  d = decide (&f, "c", false, 14);
  CU_ASSERT (d.action == SS_CACHE_WAIT && d.victim < 0);
  f.now_ms += 1;
  CU_ASSERT (decide (&f, "c", false, 15).action == SS_CACHE_OPEN);
  ss_connection_cache_finish (&f.cache);
}

/* Callers that leave transactions open must not take the connections from the
 * others, nor several organisations together all of them.
 */
static void
open_transactions_hold_a_share (void)
{
  static const char *const holders[] = { "a", "b", "c" };
  SsCacheDecision d;
  uint32_t share;
  uint32_t total;
  Fixture f;

  fixture_init (&f);
  share = ss_connection_cache_organisation_share (&f.cache);
  total = ss_connection_cache_total_share (&f.cache);
  CU_ASSERT (total < LIMIT / 2);
  for (uint32_t i = 0; i < 3; i++)
    for (uint32_t j = 0; j < share; j++)
      if (decide (&f, holders[i], true, 0).action != SS_CACHE_WAIT)
        add (&f, holders[i], SS_CACHE_IN_TRANSACTION);
  CU_ASSERT (f.count < total && f.count >= 2 * share);
  d = decide (&f, "a", true, 0);
  CU_ASSERT (d.wait == SS_CACHE_WAIT_TRANSACTIONS && d.reaches_share);
  CU_ASSERT (!decide (&f, "a", true, 0).reaches_share);
  CU_ASSERT (decide (&f, "a", false, 0).action == SS_CACHE_OPEN);
  CU_ASSERT (decide (&f, "small", true, 0).action == SS_CACHE_OPEN);
  ss_connection_cache_finish (&f.cache);
}

static bool
is_of_other_service (SsQueueItem *item, void *data)
{
  return item->service != data;
}

/* A statement at the head of its flow that has to wait for a connection must
 * not block the statements behind it.
 */
static void
waiting_statement_is_passed_over (void)
{
  SsQueue q;
  SsQueueItem first = { .queue_class = SS_QUEUE_WRITE, .deadline_ms = 1000 };
  SsQueueItem second = first;

  ss_queue_init (&q);
  ss_queue_assign (&q, &first, "a", "flow", 1);
  ss_queue_push (&q, &first, 0);
  ss_queue_assign (&q, &second, "b", "flow", 1);
  ss_queue_push (&q, &second, 1);
  CU_ASSERT_PTR_EQUAL (
      ss_queue_pop_where (&q, 4, 2, is_of_other_service, first.service),
      &second);
  CU_ASSERT_PTR_NULL (
      ss_queue_pop_where (&q, 4, 2, is_of_other_service, first.service));
  CU_ASSERT (ss_queue_length (&q) == 1);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 4, 3), &first);
  ss_queue_finish (&q);
}

/* --- limit --- */

static uint32_t
limit_at (SsConnectionCache *cache, int64_t owner_since_ms, bool is_contested,
          int64_t now_ms)
{
  SsCacheBounds bounds = { LIMIT, owner_since_ms, is_contested, false };

  return ss_connection_cache_update_limit (cache, &bounds, now_ms);
}

/* A new owner and the former one, of which the server still counts all
 * connections, stay below the server's limit together, with one control
 * connection each; so do two owners that don't know of each other.
 */
static void
limits_of_two_owners_stay_below_the_servers (void)
{
  SsConnectionCache old;
  SsConnectionCache new;
  int64_t now_ms = 100000;

  ss_connection_cache_init (&old);
  ss_connection_cache_init (&new);
  for (int64_t i = 0; i < SS_CACHE_SETTLE_MS; i++)
    CU_ASSERT (limit_at (&old, 0, false, now_ms)
                   + limit_at (&new, now_ms, false, now_ms + i) + 2
               < LIMIT);
  now_ms += SS_CACHE_SETTLE_MS;
  for (int64_t i = 0; i < 10000; i++)
    CU_ASSERT (limit_at (&old, 0, true, now_ms + i)
                   + limit_at (&new, now_ms, true, now_ms + i) + 2
               < LIMIT);
  /* A former owner keeps no more than its open transactions. */
  CU_ASSERT (ss_connection_cache_total_share (&old)
                 + limit_at (&new, 0, true, now_ms + 10000) + 2
             < LIMIT);
  ss_connection_cache_finish (&old);
  ss_connection_cache_finish (&new);
}

/* Without the first step down each further attempt is refused, too; a limit
 * that jumps back runs into the next refusal.
 */
static void
limit_falls_at_once_and_grows_step_by_step (void)
{
  SsConnectionCache c;
  int64_t now_ms = 100000;
  uint32_t usual;
  uint32_t before;

  ss_connection_cache_init (&c);
  usual = limit_at (&c, 0, false, now_ms);
  ss_connection_cache_refused (&c, 20, 400, now_ms);
  CU_ASSERT (limit_at (&c, 0, false, now_ms) == 18);
  CU_ASSERT (limit_at (&c, 0, false, now_ms + 399) == 18);
  before = 18;
  for (int64_t i = 400; i < 5000; i += 10)
    {
      uint32_t limit = limit_at (&c, 0, false, now_ms + i);

      CU_ASSERT (limit <= before + 1);
      before = limit;
    }
  CU_ASSERT (before == usual);
  /* A statement still gets a connection if the server has room for none. */
  ss_connection_cache_refused (&c, 0, 400, now_ms);
  CU_ASSERT (limit_at (&c, 0, false, now_ms) == 1);
  ss_connection_cache_finish (&c);
}

/* --- the load pattern --- */

typedef struct
{
  const char *name;
  CacheSimPolicy policy;
  uint32_t plain_limit;
  CacheSimCounts usual;
  CacheSimCounts bursts;
  CacheSimCounts small; /* in the bursts: organisations from SMALL_FROM on */
  uint32_t peak;
  uint32_t foreign;
} Load;

static void
add_counts (CacheSimCounts *sum, const CacheSimCounts *n)
{
  sum->arrived += n->arrived;
  sum->served += n->served;
  sum->opened += n->opened;
  sum->waits += n->waits;
  sum->late += n->late;
  sum->latency_ms += n->latency_ms;
  sum->longest_ms = MAX (sum->longest_ms, n->longest_ms);
}

/* The usual load, then bursts of five organisations in turn. */
static void
run_load (Load *load, uint32_t seed)
{
  CacheSim *s = &cache_sim;

  cache_sim_init (s, seed, load->policy);
  s->plain_limit = load->plain_limit;
  cache_sim_advance (s, WARM_UP_MS);
  cache_sim_reset_counts (s);
  cache_sim_advance (s, LOAD_MS);
  add_counts (&load->usual, &s->all);
  cache_sim_reset_counts (s);
  for (uint32_t i = 0; i < BURSTS; i++)
    {
      s->burst = 2 * i;
      cache_sim_advance (s, BURST_MS);
    }
  add_counts (&load->bursts, &s->all);
  for (uint32_t i = SMALL_FROM; i < CACHE_SIM_ORGANISATIONS; i++)
    add_counts (&load->small, &s->organisations[i]);
  load->peak = MAX (load->peak, s->peak);
  load->foreign += s->foreign;
  cache_sim_finish (s);
}

static void
print_counts (const char *name, const char *what, const CacheSimCounts *n,
              int64_t ms)
{
  double seconds = (double) ms / 1000;

  if (g_getenv ("SS_CACHE_FIGURES"))
    g_printerr ("%s, %s: opened %.2f/s, waits %.2f/s, mean %.1f ms, "
                "longest %" G_GINT64_FORMAT " ms\n",
                name, what, n->opened / seconds, n->waits / seconds,
                n->latency_ms / n->served, n->longest_ms);
}

static void
run_seeds (Load *load)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_load (load, seed);
  print_counts (load->name, "usual", &load->usual, SEEDS * LOAD_MS);
  print_counts (load->name, "bursts", &load->bursts, SEEDS * BURSTS * BURST_MS);
  print_counts (load->name, "small in bursts", &load->small,
                SEEDS * BURSTS * BURST_MS);
}

/* With as many connections, plain replacement opens a third more.  A burst of
 * one organisation must neither close the connections of the small ones nor
 * delay their statements, and the server must never count more connections than
 * the owner's limit, nor a statement get another organisation's connection.
 */
static void
cache_opens_fewer_connections_than_plain_replacement (void)
{
  Load cache = { .name = "cache" };
  Load lru = { .name = "lru", .policy = CACHE_SIM_LRU, .plain_limit = 38 };
  Load greedy = { .name = "greedy-dual",
                  .policy = CACHE_SIM_GREEDY_DUAL,
                  .plain_limit = 38 };
  Load full = { .name = "lru, 54 connections",
                .policy = CACHE_SIM_LRU,
                .plain_limit = 54 };

  run_seeds (&cache);
  run_seeds (&lru);
  run_seeds (&greedy);
  if (g_getenv ("SS_CACHE_FIGURES"))
    run_seeds (&full);
  CU_ASSERT (cache.usual.opened * 100 < lru.usual.opened * 80);
  CU_ASSERT (cache.bursts.opened * 100 < lru.bursts.opened * 85);
  CU_ASSERT (cache.usual.opened < greedy.usual.opened);
  CU_ASSERT (cache.bursts.opened < greedy.bursts.opened);
  CU_ASSERT (cache.usual.waits * 100 < cache.usual.served);
  CU_ASSERT (cache.usual.late + cache.bursts.late == 0);
  CU_ASSERT (cache.small.longest_ms < 100);
  CU_ASSERT (cache.small.latency_ms / cache.small.served < 30);
  CU_ASSERT (cache.bursts.served + SEEDS * 10 >= cache.bursts.arrived);
  CU_ASSERT (cache.peak <= 40);
  CU_ASSERT (cache.foreign == 0);
}

/* With hardly more connections than statements run at once, nearly each
 * statement needs another organisation's place.  A large organisation, whose
 * statements always find a connection, must not keep the small ones waiting.
 */
static void
small_organisations_do_not_starve (void)
{
  CacheSim *s = &cache_sim;
  uint32_t waiting = 0;

  cache_sim_init (s, 5, CACHE_SIM_CACHE);
  s->server_limit = 12;
  s->burst = 0;
  cache_sim_advance (s, 60000);
  for (uint32_t i = SMALL_FROM; i < CACHE_SIM_ORGANISATIONS; i++)
    {
      const CacheSimCounts *n = &s->organisations[i];

      waiting += n->arrived - n->served;
      CU_ASSERT (n->longest_ms < 200);
      CU_ASSERT (n->late == 0);
    }
  CU_ASSERT (waiting <= 5);
  if (g_getenv ("SS_CACHE_FIGURES"))
    g_printerr ("7 connections: opened %u of %u, mean %.1f, longest "
                "%" G_GINT64_FORMAT " ms\n",
                s->all.opened, s->all.served, s->all.latency_ms / s->all.served,
                s->all.longest_ms);
  CU_ASSERT (s->peak <= 7);
  cache_sim_finish (s);
}

/* One organisation leaves transactions open for seconds.  It holds no more than
 * its share, and the statements of the others are served in time.
 */
static void
held_transactions_leave_connections_to_the_others (void)
{
  CacheSim *s = &cache_sim;
  uint32_t others_late = 0;

  cache_sim_init (s, 3, CACHE_SIM_CACHE);
  s->holder = 0;
  s->hold_permille = 300;
  s->hold_ms = 5000;
  cache_sim_advance (s, 60000);
  CU_ASSERT (s->most_held == 10);
  for (uint32_t i = 1; i < CACHE_SIM_ORGANISATIONS; i++)
    others_late += s->organisations[i].late;
  CU_ASSERT (others_late == 0);
  CU_ASSERT (s->peak < LIMIT);
  cache_sim_finish (s);
}

/* An attempt to open a connection that fails costs its statement time, but
 * neither the statement nor the connections of others.
 */
static void
failed_attempts_lose_no_statement (void)
{
  CacheSim *s = &cache_sim;

  cache_sim_init (s, 4, CACHE_SIM_CACHE);
  s->fail_permille = 300;
  cache_sim_advance (s, 60000);
  CU_ASSERT (s->all.served + 10 >= s->all.arrived);
  CU_ASSERT (s->all.late == 0);
  CU_ASSERT (s->peak < LIMIT);
  cache_sim_finish (s);
}

/* --- through the nodes --- */

typedef struct
{
  uint64_t caller;
  uint32_t group;
  uint32_t organisation;
} Caller;

static Caller callers[VMS][CALLERS_PER_VM];

static void
connect_callers (uint32_t vm, GRand *rand)
{
  for (uint32_t i = 0; i < CALLERS_PER_VM; i++)
    {
      Caller *c = &callers[vm][i];

      c->group = (uint32_t) g_rand_int_range (rand, 0, GROUPS);
      c->organisation = (uint32_t) g_rand_int_range (rand, 0, ORGANISATIONS);
      c->caller = fleet_connect (&sim, vm, c->group, c->organisation);
    }
}

static void
start_fleet (uint32_t seed, GRand *rand)
{
  fleet_init (&sim, seed, VMS, GROUPS);
  sim.close_ms = 5;
  fleet_add_organisations (&sim, ORGANISATIONS);
  fleet_advance (&sim, 5000);
  for (uint32_t i = 0; i < VMS; i++)
    connect_callers (i, rand);
}

/* Statements of random callers for MS, one in INTERVAL_MS. */
static void
send_random (GRand *rand, int64_t ms, int64_t interval_ms)
{
  for (int64_t i = 0; i < ms; i += interval_ms)
    {
      uint32_t vm = (uint32_t) g_rand_int_range (rand, 0, VMS);
      const Caller *c
          = &callers[vm][g_rand_int_range (rand, 0, CALLERS_PER_VM)];
      static const char *const texts[] = { "READ 1a", "WRITE 1a x" };

      if (sim.vms[vm].up)
        fleet_send (&sim, vm, c->caller, c->organisation,
                    texts[g_rand_int_range (rand, 0, 2)]);
      fleet_advance (&sim, interval_ms);
    }
}

static uint32_t
total_refused (void)
{
  uint32_t refused = 0;

  for (uint32_t i = 0; i < GROUPS * FLEET_SERVERS; i++)
    refused += sim.servers[i].over_cap;
  return refused;
}

static uint32_t
owner_of (uint32_t server)
{
  for (uint32_t i = 0; i < VMS; i++)
    {
      const SsOwnedTarget *o
          = sim.vms[i].up
                ? ss_owner_find (&sim.vms[i].node, sim.servers[server].name)
                : NULL;

      if (o && o->active)
        return i;
    }
  return VMS;
}

/* A statement that got another organisation's connection would run with that
 * organisation's rights.  VMs die, come back and are cut off, so that owners
 * change and connections are opened, closed and refused all the time.
 */
static void
no_statement_gets_a_foreign_connection (void)
{
  GRand *rand = g_rand_new_with_seed (11);

  start_fleet (11, rand);
  sim.fail_permille = 30;
  for (uint32_t round = 0; round < 12; round++)
    {
      uint32_t vm = owner_of (round % (GROUPS * FLEET_SERVERS));
      bool cuts = round % 3 == 2;

      send_random (rand, 1500, 3);
      if (vm == VMS)
        continue;
      if (cuts)
        sim.vms[vm].partition = 1;
      else
        fleet_stop (&sim, vm);
      send_random (rand, 2500, 3);
      if (cuts)
        sim.vms[vm].partition = 0;
      else
        fleet_start (&sim, vm);
      send_random (rand, 1500, 3);
      if (!cuts)
        connect_callers (vm, rand);
    }
  CU_ASSERT (sim.foreign == 0);
  CU_ASSERT (total_refused () == 0);
  CU_ASSERT (sim.ran > 10000);
  CU_ASSERT (sim.ran > 10 * sim.not_run);
  if (g_getenv ("SS_CACHE_FIGURES"))
    g_printerr ("fleet: ran %u not run %u refused %u\n", sim.ran, sim.not_run,
                total_refused ());
  fleet_finish (&sim);
  g_rand_free (rand);
}

static uint32_t
count_pinned (const SsOwnedTarget *owned, const char *organisation)
{
  uint32_t count = 0;

  for (guint i = 0; i < owned->connections->len; i++)
    {
      const SsConnection *c = g_ptr_array_index (owned->connections, i);

      count += c->state == SS_CONNECTION_PINNED
                       && strcmp (c->organisation, organisation) == 0
                   ? 1
                   : 0;
    }
  return count;
}

/* Callers of one organisation open transactions and leave them idle.  They get
 * the organisation's share of the connections, and the others are served.
 */
static void
idle_transactions_get_a_share (void)
{
  GRand *rand = g_rand_new_with_seed (17);
  const SsOwnedTarget *owned;
  uint32_t ran;
  uint32_t not_run;

  start_fleet (17, rand);
  send_random (rand, 5000, 3);
  for (uint32_t i = 0; i < 3 * VMS; i++)
    {
      uint64_t caller = fleet_connect (&sim, i % VMS, 0, 0);

      fleet_send (&sim, i % VMS, caller, 0, "BEGIN");
      fleet_advance (&sim, 5);
      fleet_send (&sim, i % VMS, caller, 0, "WRITE 1a x");
    }
  fleet_advance (&sim, 300);
  CU_ASSERT_FATAL (owner_of (0) < VMS);
  owned = ss_owner_find (&sim.vms[owner_of (0)].node, "t0");
  CU_ASSERT (count_pinned (owned, "o0")
             == ss_connection_cache_organisation_share (&owned->cache));
  ran = sim.ran;
  not_run = sim.not_run;
  send_random (rand, 1500, 3);
  CU_ASSERT (sim.ran - ran > 450);
  /* Of the others' statements none; the transactions that waited in vain. */
  CU_ASSERT (sim.not_run - not_run <= 3 * VMS);
  CU_ASSERT (sim.foreign == 0);
  if (g_getenv ("SS_CACHE_FIGURES"))
    g_printerr ("idle transactions: ran %u not run %u\n", sim.ran - ran,
                sim.not_run - not_run);
  fleet_finish (&sim);
  g_rand_free (rand);
}

/* An owner that uses its whole limit loses power, and the server counts its
 * connections for three seconds more.  The next owner must not run into the
 * server's limit, nor must the VM itself when it starts again.
 */
static void
change_of_owner_stays_below_the_limit (void)
{
  GRand *rand = g_rand_new_with_seed (12);
  uint32_t owner;

  start_fleet (12, rand);
  send_random (rand, 10000, 2);
  owner = owner_of (0);
  CU_ASSERT_FATAL (owner < VMS);
  CU_ASSERT (ss_owner_find (&sim.vms[owner].node, "t0")->connections->len > 30);
  fleet_stop (&sim, owner);
  send_random (rand, 2000, 2);
  fleet_start (&sim, owner);
  send_random (rand, 8000, 2);
  CU_ASSERT (total_refused () == 0);
  CU_ASSERT (sim.servers[0].peak < sim.max_connections);
  CU_ASSERT (sim.foreign == 0);
  fleet_finish (&sim);
  g_rand_free (rand);
}

/* A VM that is cut off and the one that takes over both own the target. */
static void
two_owners_stay_below_the_limit (void)
{
  GRand *rand = g_rand_new_with_seed (13);
  uint32_t owner;

  start_fleet (13, rand);
  send_random (rand, 10000, 2);
  owner = owner_of (0);
  CU_ASSERT_FATAL (owner < VMS);
  sim.vms[owner].partition = 1;
  send_random (rand, 8000, 2);
  sim.vms[owner].partition = 0;
  send_random (rand, 8000, 2);
  CU_ASSERT (total_refused () == 0);
  CU_ASSERT (sim.servers[0].peak < sim.max_connections);
  fleet_finish (&sim);
  g_rand_free (rand);
}

/* A failure domain is cut off from the others, but all reach its servers: a VM
 * of another domain owns them, too.  Neither owner misses a VM of its own
 * domain.
 */
static void
owners_of_two_domains_stay_below_the_limit (void)
{
  GRand *rand = g_rand_new_with_seed (16);

  start_fleet (16, rand);
  send_random (rand, 10000, 2);
  for (uint32_t i = 0; i < VMS; i += FLEET_DOMAINS)
    sim.vms[i].partition = 1;
  send_random (rand, 12000, 2);
  for (uint32_t i = 0; i < VMS; i += FLEET_DOMAINS)
    sim.vms[i].partition = 0;
  send_random (rand, 8000, 2);
  CU_ASSERT (total_refused () == 0);
  CU_ASSERT (sim.servers[0].peak < sim.max_connections);
  CU_ASSERT (sim.foreign == 0);
  fleet_finish (&sim);
  g_rand_free (rand);
}

static uint64_t
total_count (SsCounterId id)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < VMS; i++)
    if (sim.vms[i].up)
      count += sim.vms[i].node.counters.values[id];
  return count;
}

/* Each attempt to open a connection breaks for a while.  A statement must not
 * fail with the attempt that was made for it while it has time left, and must
 * be refused as not run once it has none.
 */
static void
failed_attempt_returns_the_statement (void)
{
  GRand *rand = g_rand_new_with_seed (18);
  uint64_t caller;

  start_fleet (18, rand);
  caller = fleet_connect (&sim, 0, 0, 1);
  sim.fail_permille = 1000;
  fleet_send (&sim, 0, caller, 1, "WRITE 1a x");
  fleet_advance (&sim, 200);
  CU_ASSERT (sim.ran + sim.not_run == 0);
  CU_ASSERT (total_count (SS_COUNTER_CONNECT_RETURNS) > 0);
  sim.fail_permille = 0;
  fleet_advance (&sim, 300);
  CU_ASSERT (sim.ran == 1);
  caller = fleet_connect (&sim, 0, 0, 2);
  sim.fail_permille = 1000;
  fleet_send (&sim, 0, caller, 2, "WRITE 1a x");
  fleet_advance (&sim, 1100);
  CU_ASSERT (sim.ran == 1 && sim.not_run == 1);
  fleet_finish (&sim);
  g_rand_free (rand);
}

/* Other clients take most of a server's connections.  The owner shrinks its
 * limit at the first refusal instead of being refused again and again, and the
 * statements are served on what it has.
 */
static void
refusal_shrinks_the_limit (void)
{
  GRand *rand = g_rand_new_with_seed (14);
  uint32_t refused;
  uint32_t not_run;

  start_fleet (14, rand);
  send_random (rand, 1000, 2);
  not_run = sim.not_run;
  sim.max_connections = 24;
  send_random (rand, 10000, 2);
  refused = total_refused ();
  CU_ASSERT (refused > 0);
  CU_ASSERT (refused < 20 * GROUPS * FLEET_SERVERS);
  CU_ASSERT ((sim.not_run - not_run) * 20 < sim.ran);
  if (g_getenv ("SS_CACHE_FIGURES"))
    g_printerr ("refusals: %u, ran %u not run %u\n", refused, sim.ran,
                sim.not_run - not_run);
  /* The limit grows again. */
  sim.max_connections = 57;
  send_random (rand, 10000, 2);
  CU_ASSERT (ss_owner_find (&sim.vms[owner_of (0)].node, "t0")->cache.limit
             == 41);
  fleet_finish (&sim);
  g_rand_free (rand);
}

/* A connection that no VM knows of takes a place at the server for ever.
 */
static void
no_connection_leaks (void)
{
  GRand *rand = g_rand_new_with_seed (15);
  uint32_t owner;

  start_fleet (15, rand);
  sim.fail_permille = 50;
  send_random (rand, 4000, 2);
  owner = owner_of (0);
  CU_ASSERT_FATAL (owner < VMS);
  fleet_stop (&sim, owner);
  send_random (rand, 2000, 2);
  fleet_start (&sim, owner);
  send_random (rand, 3000, 2);
  fleet_drain (&sim, 0, true);
  send_random (rand, 2000, 2);
  fleet_advance (&sim, 3000);
  for (uint32_t i = 0; i < GROUPS * FLEET_SERVERS; i++)
    CU_ASSERT (sim.servers[i].connections == fleet_owned (&sim, i));
  /* A former owner keeps none, the server that is leaving only the control
   * connection.
   */
  CU_ASSERT (sim.servers[0].connections == 1);
  fleet_finish (&sim);
  g_rand_free (rand);
}

CU_TestInfo test_connection_cache[] = {
  { "idle connection of the organisation is reused",
    idle_connection_of_the_organisation_is_reused },
  { "waits for a busy connection as long as opening takes",
    waits_for_a_busy_connection_as_long_as_opening_takes },
  { "time to open is learned", time_to_open_is_learned },
  { "connection with the lowest rate of use is closed",
    connection_with_the_lowest_rate_of_use_is_closed },
  { "closed connection counts for a moment",
    closed_connection_counts_for_a_moment },
  { "open transactions hold a share", open_transactions_hold_a_share },
  { "waiting statement is passed over", waiting_statement_is_passed_over },
  { "limits of two owners stay below the server's",
    limits_of_two_owners_stay_below_the_servers },
  { "limit falls at once and grows step by step",
    limit_falls_at_once_and_grows_step_by_step },
  { "cache opens fewer connections than plain replacement",
    cache_opens_fewer_connections_than_plain_replacement },
  { "small organisations do not starve", small_organisations_do_not_starve },
  { "held transactions leave connections to the others",
    held_transactions_leave_connections_to_the_others },
  { "failed attempts lose no statement", failed_attempts_lose_no_statement },
  { "no statement gets a foreign connection",
    no_statement_gets_a_foreign_connection },
  { "idle transactions get a share", idle_transactions_get_a_share },
  { "change of owner stays below the limit",
    change_of_owner_stays_below_the_limit },
  { "two owners stay below the limit", two_owners_stay_below_the_limit },
  { "owners of two domains stay below the limit",
    owners_of_two_domains_stay_below_the_limit },
  { "failed attempt returns the statement",
    failed_attempt_returns_the_statement },
  { "refusal shrinks the limit", refusal_shrinks_the_limit },
  { "no connection leaks", no_connection_leaks },
  CU_TEST_INFO_NULL,
};
