#include "tests/cache_sim.h"

#include <math.h>
#include <string.h>

#define ZIPF_EXPONENT 1.2
#define SLOTS 4
/* Statements and connection attempts that the owner sends at once. */
#define CAPACITY (SLOTS + 1)
#define CONNECT_WORK_MS 12
#define ONE_WAY_MS 1
/* How long the server counts a connection after the owner has closed it. */
#define CLOSE_MS 5
#define LATE_MS 250
#define SHORTEST_RUN_MS 4
#define LONGEST_RUN_MS 26

void
cache_sim_init (CacheSim *sim, uint32_t seed, CacheSimPolicy policy)
{
  double sum = 0;

  memset (sim, 0, sizeof *sim);
  sim->policy = policy;
  sim->server_limit = 56;
  sim->plain_limit = 54;
  sim->rate_per_s = 34;
  sim->burst = CACHE_SIM_ORGANISATIONS;
  sim->burst_factor = 7;
  sim->holder = -1;
  sim->now_ms = 100000;
  sim->rand = g_rand_new_with_seed (seed);
  sim->latencies_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  ss_connection_cache_init (&sim->cache);
  for (uint32_t i = 0; i < CACHE_SIM_ORGANISATIONS; i++)
    {
      sim->weights[i] = pow (i + 1, -ZIPF_EXPONENT);
      sum += sim->weights[i];
      g_snprintf (sim->names[i], sizeof sim->names[i], "o%02u", i);
    }
  for (uint32_t i = 0; i < CACHE_SIM_ORGANISATIONS; i++)
    sim->weights[i] /= sum;
}

void
cache_sim_finish (CacheSim *sim)
{
  ss_connection_cache_finish (&sim->cache);
  g_rand_free (sim->rand);
  g_array_free (sim->latencies_ms, TRUE);
}

void
cache_sim_reset_counts (CacheSim *sim)
{
  memset (&sim->all, 0, sizeof sim->all);
  memset (sim->organisations, 0, sizeof sim->organisations);
  g_array_set_size (sim->latencies_ms, 0);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? -1 : x > y;
}

int64_t
cache_sim_percentile_ms (CacheSim *sim, double percent)
{
  guint count = sim->latencies_ms->len;

  if (!count)
    return 0;
  g_array_sort (sim->latencies_ms, compare_times);
  return g_array_index (sim->latencies_ms, int64_t,
                        (guint) ((count - 1) * percent / 100));
}

/* --- arrivals --- */

static void
arrive (CacheSim *sim, uint32_t organisation)
{
  CacheSimStatement *s = &sim->queue[sim->queued];
  double holds = g_rand_double (sim->rand) * 1000;

  if (sim->queued == CACHE_SIM_STATEMENTS_MAX)
    return;
  sim->queued++;
  memset (s, 0, sizeof *s);
  s->organisation = organisation;
  s->arrived_ms = sim->now_ms;
  s->run_ms = g_rand_int_range (sim->rand, SHORTEST_RUN_MS, LONGEST_RUN_MS + 1);
  if (holds < sim->hold_permille
      && (sim->holder < 0 || (uint32_t) sim->holder == organisation))
    s->hold_ms = sim->hold_ms;
  sim->all.arrived++;
  sim->organisations[organisation].arrived++;
}

static void
arrivals (CacheSim *sim)
{
  for (uint32_t i = 0; i < CACHE_SIM_ORGANISATIONS; i++)
    {
      double rate = sim->weights[i] * sim->rate_per_s / 1000;

      if (i == sim->burst)
        rate *= sim->burst_factor;
      if (g_rand_double (sim->rand) < rate)
        arrive (sim, i);
    }
}

/* --- the server and the connections --- */

static uint32_t
open_count (const CacheSim *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    count += sim->connections[i].is_open ? 1 : 0;
  return count;
}

/* The server also counts the connections closed in the last CLOSE_MS. */
static void
record_peak (CacheSim *sim)
{
  uint32_t counted = 0;

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      const CacheSimConnection *c = &sim->connections[i];

      if (c->is_open || (c->used_ms && sim->now_ms - c->end_ms < CLOSE_MS))
        counted++;
    }
  sim->peak = MAX (sim->peak, counted);
}

static void
close_connection (CacheSim *sim, CacheSimConnection *c)
{
  c->is_open = false;
  c->end_ms = sim->now_ms;
  ss_connection_cache_note_closed (&sim->cache, sim->now_ms);
}

static CacheSimConnection *
open_connection (CacheSim *sim, uint32_t organisation)
{
  CacheSimConnection *c = NULL;

  for (uint32_t i = 0; !c; i++)
    if (!sim->connections[i].is_open
        && sim->now_ms - sim->connections[i].end_ms >= CLOSE_MS)
      c = &sim->connections[i];
  memset (c, 0, sizeof *c);
  c->is_open = true;
  c->state = SS_CACHE_CONNECTING;
  c->organisation = organisation;
  c->since_ms = sim->now_ms;
  c->used_ms = sim->now_ms;
  c->work_ms = CONNECT_WORK_MS + 2 * ONE_WAY_MS;
  sim->all.opened++;
  sim->organisations[organisation].opened++;
  return c;
}

static void
start (CacheSim *sim, CacheSimConnection *c)
{
  c->state = c->statement.hold_ms ? SS_CACHE_IN_TRANSACTION : SS_CACHE_RUNNING;
  c->since_ms = sim->now_ms;
  c->used_ms = sim->now_ms;
  c->work_ms = c->statement.run_ms + 2 * ONE_WAY_MS;
  c->priority = sim->aging + ++c->uses;
  if (c->organisation != c->statement.organisation)
    sim->foreign++;
}

static void
count_served (CacheSim *sim, CacheSimCounts *n, const CacheSimStatement *s)
{
  int64_t took_ms = sim->now_ms - s->arrived_ms;

  n->served++;
  n->waits += s->has_waited ? 1 : 0;
  n->late += took_ms > LATE_MS ? 1 : 0;
  n->latency_ms += (double) took_ms;
  n->longest_ms = MAX (n->longest_ms, took_ms);
}

static void
end_statement (CacheSim *sim, CacheSimConnection *c)
{
  int64_t took_ms = sim->now_ms - c->statement.arrived_ms;

  count_served (sim, &sim->all, &c->statement);
  count_served (sim, &sim->organisations[c->organisation], &c->statement);
  g_array_append_val (sim->latencies_ms, took_ms);
  c->has_statement = false;
  c->used_ms = sim->now_ms;
  if (c->state == SS_CACHE_IN_TRANSACTION)
    {
      c->end_ms = sim->now_ms + c->statement.hold_ms;
      return;
    }
  ss_connection_cache_note_held (&sim->cache, sim->now_ms - c->since_ms);
  c->state = SS_CACHE_IDLE;
}

/* A failed attempt returns its statement to the front of the queue. */
static void
end_connect (CacheSim *sim, CacheSimConnection *c)
{
  if (g_rand_int_range (sim->rand, 0, 1000) < (gint32) sim->fail_permille)
    {
      memmove (&sim->queue[1], &sim->queue[0],
               sim->queued * sizeof sim->queue[0]);
      sim->queue[0] = c->statement;
      sim->queued++;
      c->is_open = false;
      c->end_ms = sim->now_ms;
      return;
    }
  ss_connection_cache_note_opened (&sim->cache, sim->now_ms - c->since_ms);
  start (sim, c);
}

/* Works for one millisecond on the first SLOTS requests. */
static void
run_server (CacheSim *sim)
{
  uint32_t running = 0;

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      CacheSimConnection *c = &sim->connections[i];

      if (!c->is_open)
        continue;
      if (!c->work_ms && c->state == SS_CACHE_IN_TRANSACTION
          && sim->now_ms >= c->end_ms)
        c->state = SS_CACHE_IDLE;
      if (!c->work_ms || running == SLOTS)
        continue;
      running++;
      if (--c->work_ms)
        continue;
      if (c->state == SS_CACHE_CONNECTING)
        end_connect (sim, c);
      else
        end_statement (sim, c);
    }
}

static uint32_t
working_count (const CacheSim *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    count += sim->connections[i].is_open && sim->connections[i].work_ms ? 1 : 0;
  return count;
}

/* --- decisions --- */

static CacheSimConnection *
find_idle (CacheSim *sim, uint32_t organisation)
{
  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      CacheSimConnection *c = &sim->connections[i];

      if (c->is_open && c->state == SS_CACHE_IDLE
          && c->organisation == organisation)
        return c;
    }
  return NULL;
}

/* The idle connection that the plain rule closes, or NULL. */
static CacheSimConnection *
plain_victim (CacheSim *sim)
{
  CacheSimConnection *victim = NULL;

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      CacheSimConnection *c = &sim->connections[i];

      if (!c->is_open || c->state != SS_CACHE_IDLE)
        continue;
      if (!victim
          || (sim->policy == CACHE_SIM_LRU ? c->used_ms < victim->used_ms
                                           : c->priority < victim->priority))
        victim = c;
    }
  return victim;
}

static CacheSimConnection *
acquire_plainly (CacheSim *sim, CacheSimStatement *s)
{
  CacheSimConnection *c = find_idle (sim, s->organisation);
  CacheSimConnection *victim;

  if (c)
    return c;
  if (open_count (sim) < sim->plain_limit)
    return open_connection (sim, s->organisation);
  victim = plain_victim (sim);
  if (!victim)
    return NULL;
  sim->aging = MAX (sim->aging, victim->priority);
  sim->all.replaced++;
  close_connection (sim, victim);
  return open_connection (sim, s->organisation);
}

typedef struct
{
  SsCacheConnection connections[CACHE_SIM_CONNECTIONS_MAX];
  CacheSimConnection *origins[CACHE_SIM_CONNECTIONS_MAX];
  uint32_t count;
} View;

static void
load (CacheSim *sim, View *view)
{
  view->count = 0;
  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      CacheSimConnection *c = &sim->connections[i];
      SsCacheConnection *out = &view->connections[view->count];

      if (!c->is_open)
        continue;
      out->organisation = sim->names[c->organisation];
      out->state = c->state;
      out->opens_transaction = c->has_statement && c->statement.hold_ms;
      out->used_ms = c->used_ms;
      view->origins[view->count++] = c;
    }
  ss_connection_cache_load (&sim->cache, view->connections, view->count, true,
                            sim->now_ms);
}

static CacheSimConnection *
acquire_from_cache (CacheSim *sim, const View *view, CacheSimStatement *s)
{
  SsCacheStatement statement = { sim->names[s->organisation], s->hold_ms > 0,
                                 sim->now_ms - s->arrived_ms };
  SsCacheDecision d = ss_connection_cache_decide (&sim->cache, &statement);

  if (d.action == SS_CACHE_REUSE)
    return find_idle (sim, s->organisation);
  if (d.victim >= 0)
    {
      sim->all.replaced++;
      close_connection (sim, view->origins[d.victim]);
    }
  if (d.action == SS_CACHE_OPEN)
    return open_connection (sim, s->organisation);
  return NULL;
}

/* Takes the first statement of the queue that gets a connection, and returns
 * whether there was one.
 */
static bool
dispatch_one (CacheSim *sim)
{
  View view;

  load (sim, &view);
  for (uint32_t i = 0; i < sim->queued; i++)
    {
      CacheSimStatement *s = &sim->queue[i];
      uint32_t open = open_count (sim);
      CacheSimConnection *c = sim->policy == CACHE_SIM_CACHE
                                  ? acquire_from_cache (sim, &view, s)
                                  : acquire_plainly (sim, s);

      if (!c)
        {
          s->has_waited = true;
          if (open != open_count (sim))
            return true; /* the view is out of date */
          continue;
        }
      c->statement = *s;
      c->has_statement = true;
      sim->queued--;
      memmove (s, s + 1, (sim->queued - i) * sizeof *s);
      if (c->state == SS_CACHE_IDLE)
        start (sim, c);
      return true;
    }
  return false;
}

static void
dispatch (CacheSim *sim, uint32_t arrived)
{
  SsCacheBounds bounds = { sim->server_limit, 0, false, false };
  View view;
  int32_t excess;

  ss_connection_cache_update_limit (&sim->cache, &bounds, sim->now_ms);
  load (sim, &view);
  for (uint32_t i = sim->queued - arrived; i < sim->queued; i++)
    ss_connection_cache_note_arrival (&sim->cache,
                                      sim->names[sim->queue[i].organisation]);
  excess = ss_connection_cache_excess (&sim->cache);
  if (sim->policy == CACHE_SIM_CACHE && excess >= 0)
    close_connection (sim, view.origins[excess]);
  while (sim->queued && working_count (sim) < CAPACITY && dispatch_one (sim))
    ;
}

static void
record_held (CacheSim *sim)
{
  uint32_t held[CACHE_SIM_ORGANISATIONS] = { 0 };

  for (uint32_t i = 0; i < CACHE_SIM_CONNECTIONS_MAX; i++)
    {
      const CacheSimConnection *c = &sim->connections[i];

      if (!c->is_open || c->state != SS_CACHE_IN_TRANSACTION)
        continue;
      held[c->organisation]++;
      sim->most_held = MAX (sim->most_held, held[c->organisation]);
    }
}

void
cache_sim_advance (CacheSim *sim, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    {
      uint32_t before;

      sim->now_ms++;
      run_server (sim);
      before = sim->queued;
      arrivals (sim);
      dispatch (sim, sim->queued - before);
      record_peak (sim);
      record_held (sim);
    }
}
