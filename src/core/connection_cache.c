#include "core/connection_cache.h"

#include <math.h>

/* Organisations without connections are forgotten below this use. */
#define FORGET_BELOW 0.01
#define PRUNE_INTERVAL_MS 10000
/* A control connection of each of two owners. */
#define RESERVE 2
#define NOT_SEARCHED (-2)

struct SsCacheOrganisation
{
  /* For each n: statements that came while n or more of its connections were
   * in use, decayed.
   */
  double use[SS_CACHE_LEVELS];
  int64_t use_ms;   /* up to when it is decayed */
  bool is_at_share; /* its last new transaction had to wait */
  /* of the view */
  uint32_t connections;
  uint32_t idle;
  uint32_t running;
  uint32_t transactions;
  uint32_t waiting; /* decisions to wait for a busy connection */
};

void
ss_connection_cache_init (SsConnectionCache *cache)
{
  *cache = (SsConnectionCache){ .connect_ms = SS_CACHE_INITIAL_CONNECT_MS,
                                .hold_ms = SS_CACHE_INITIAL_HOLD_MS,
                                .victim = -1 };
  cache->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cache->closing = g_array_new (FALSE, FALSE, sizeof (int64_t));
}

void
ss_connection_cache_finish (SsConnectionCache *cache)
{
  g_hash_table_destroy (cache->organisations);
  g_array_free (cache->closing, TRUE);
}

/* --- rates of use --- */

static SsCacheOrganisation *
get_organisation (SsConnectionCache *cache, const char *name)
{
  SsCacheOrganisation *o = g_hash_table_lookup (cache->organisations, name);

  if (o)
    return o;
  o = g_new0 (SsCacheOrganisation, 1);
  o->use_ms = cache->now_ms;
  g_hash_table_insert (cache->organisations, g_strdup (name), o);
  return o;
}

static void
decay (SsCacheOrganisation *o, int64_t now_ms)
{
  double factor;

  if (now_ms <= o->use_ms)
    return;
  factor = exp (-(double) (now_ms - o->use_ms) / SS_CACHE_RATE_MS);
  for (uint32_t i = 0; i < SS_CACHE_LEVELS; i++)
    o->use[i] *= factor;
  o->use_ms = now_ms;
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer data)
{
  const SsConnectionCache *cache = data;
  SsCacheOrganisation *o = value;

  (void) key;
  decay (o, cache->now_ms);
  return !o->connections && o->use[0] < FORGET_BELOW;
}

static void
prune (SsConnectionCache *cache)
{
  if (cache->now_ms - cache->pruned_ms < PRUNE_INTERVAL_MS)
    return;
  cache->pruned_ms = cache->now_ms;
  g_hash_table_foreach_remove (cache->organisations, is_unused, cache);
}

void
ss_connection_cache_note_arrival (SsConnectionCache *cache,
                                  const char *organisation)
{
  SsCacheOrganisation *o = get_organisation (cache, organisation);
  uint32_t in_use = o->connections - o->idle;

  decay (o, cache->now_ms);
  for (uint32_t i = 0; i <= MIN (in_use, SS_CACHE_LEVELS - 1); i++)
    o->use[i] += 1;
}

static void
sample (double *mean, int64_t value_ms)
{
  *mean += SS_CACHE_TIME_GAIN * ((double) value_ms - *mean);
}

void
ss_connection_cache_note_opened (SsConnectionCache *cache, int64_t took_ms)
{
  sample (&cache->connect_ms, took_ms);
}

void
ss_connection_cache_note_held (SsConnectionCache *cache, int64_t held_ms)
{
  sample (&cache->hold_ms, held_ms);
}

void
ss_connection_cache_note_closed (SsConnectionCache *cache, int64_t now_ms)
{
  int64_t until_ms
      = now_ms
        + (int64_t) ceil (MAX (cache->connect_ms, SS_CACHE_CLOSING_MIN_MS));

  g_array_append_val (cache->closing, until_ms);
}

static void
expire_closing (SsConnectionCache *cache, int64_t now_ms)
{
  for (guint i = cache->closing->len; i > 0; i--)
    if (g_array_index (cache->closing, int64_t, i - 1) <= now_ms)
      g_array_remove_index_fast (cache->closing, i - 1);
}

/* --- limit --- */

/* A new owner uses at most a quarter, and an owner all but that quarter: the
 * sum stays below the limit while the server counts the connections of both.
 * After SS_CACHE_SETTLE_MS each of two owners that miss each other uses less
 * than half.
 */
static uint32_t
bound (SsConnectionCache *cache, const SsCacheBounds *b, int64_t now_ms)
{
  uint32_t quarter = b->server_limit / 4;
  uint32_t half = b->server_limit / 2;
  uint32_t usual = b->server_limit - quarter;

  if (b->is_contested)
    cache->contested_ms = now_ms;
  if (now_ms - b->owner_since_ms < SS_CACHE_SETTLE_MS || b->is_substitute)
    return quarter > 1 ? quarter - 1 : 1;
  if (cache->contested_ms && now_ms - cache->contested_ms < SS_CACHE_SETTLE_MS)
    return half > RESERVE ? half - RESERVE : 1;
  return usual > RESERVE ? usual - RESERVE : 1;
}

uint32_t
ss_connection_cache_update_limit (SsConnectionCache *cache,
                                  const SsCacheBounds *bounds, int64_t now_ms)
{
  cache->bound = bound (cache, bounds, now_ms);
  if (!cache->limit || cache->limit >= cache->bound)
    {
      cache->limit = cache->bound;
      cache->grow_ms = MAX (cache->grow_ms, now_ms + SS_CACHE_GROW_MS);
      return cache->limit;
    }
  if (cache->grow_ms <= now_ms)
    {
      cache->limit++;
      cache->grow_ms = now_ms + SS_CACHE_GROW_MS;
    }
  return cache->limit;
}

void
ss_connection_cache_restart (SsConnectionCache *cache)
{
  cache->limit = 0;
  cache->grow_ms = 0;
  cache->contested_ms = 0;
  cache->is_shrunk = false;
}

void
ss_connection_cache_refused (SsConnectionCache *cache, uint32_t open,
                             int64_t pause_ms, int64_t now_ms)
{
  uint32_t step = MAX (open / SS_CACHE_SHRINK_DIVISOR, 1);
  uint32_t reduced = open > step ? open - step : 1;

  cache->limit = cache->limit ? MIN (cache->limit, reduced) : reduced;
  cache->grow_ms = now_ms + pause_ms;
  cache->is_shrunk = true;
}

/* --- decisions --- */

static void
reset_counts (gpointer key, gpointer value, gpointer data)
{
  SsCacheOrganisation *o = value;

  (void) key;
  (void) data;
  o->connections = 0;
  o->idle = 0;
  o->running = 0;
  o->transactions = 0;
  o->waiting = 0;
}

static void
count_connection (SsConnectionCache *cache, const SsCacheConnection *c)
{
  SsCacheOrganisation *o = get_organisation (cache, c->organisation);
  bool holds_transaction
      = c->state == SS_CACHE_IN_TRANSACTION
        || (c->state == SS_CACHE_CONNECTING && c->opens_transaction);

  o->connections++;
  o->idle += c->state == SS_CACHE_IDLE ? 1 : 0;
  o->running += c->state == SS_CACHE_RUNNING ? 1 : 0;
  o->transactions += holds_transaction ? 1 : 0;
  cache->transactions += holds_transaction ? 1 : 0;
}

void
ss_connection_cache_load (SsConnectionCache *cache,
                          const SsCacheConnection *connections, uint32_t count,
                          bool may_open, int64_t now_ms)
{
  cache->now_ms = now_ms;
  cache->connections = connections;
  cache->count = count;
  cache->may_open = may_open;
  cache->transactions = 0;
  cache->limit_waits = 0;
  cache->victim = NOT_SEARCHED;
  expire_closing (cache, now_ms);
  g_hash_table_foreach (cache->organisations, reset_counts, NULL);
  for (uint32_t i = 0; i < count; i++)
    count_connection (cache, &connections[i]);
  prune (cache);
}

/* Returns the rate of use that would be lost with one of the connections of
 * NAME.
 */
static double
last_connection_use (SsConnectionCache *cache, const char *name)
{
  SsCacheOrganisation *o = get_organisation (cache, name);

  decay (o, cache->now_ms);
  return o->use[MIN (o->connections, SS_CACHE_LEVELS) - 1];
}

static int32_t
search_victim (SsConnectionCache *cache)
{
  int32_t victim = -1;
  double least = 0;

  for (uint32_t i = 0; i < cache->count; i++)
    {
      const SsCacheConnection *c = &cache->connections[i];
      double use;

      if (c->state != SS_CACHE_IDLE)
        continue;
      use = last_connection_use (cache, c->organisation);
      if (victim >= 0
          && (use > least
              || (use == least
                  && c->used_ms >= cache->connections[victim].used_ms)))
        continue;
      victim = (int32_t) i;
      least = use;
    }
  return victim;
}

static int32_t
find_victim (SsConnectionCache *cache)
{
  if (cache->victim == NOT_SEARCHED)
    cache->victim = search_victim (cache);
  return cache->victim;
}

uint32_t
ss_connection_cache_organisation_share (const SsConnectionCache *cache)
{
  return MAX (cache->limit / SS_CACHE_SHARE_DIVISOR, 1);
}

/* Two thirds of the limit of an owner are less than half of the server's: a
 * former owner whose transactions go on holds no more than its half.
 */
uint32_t
ss_connection_cache_total_share (const SsConnectionCache *cache)
{
  return MAX (cache->limit * 2 / 3, 1);
}

/* A quarter of the total is kept for organisations without a transaction. */
static bool
may_open_transaction (const SsConnectionCache *cache,
                      const SsCacheOrganisation *o)
{
  uint32_t total = ss_connection_cache_total_share (cache);

  if (!o->transactions)
    return cache->transactions < total;
  return o->transactions < ss_connection_cache_organisation_share (cache)
         && cache->transactions < total - total / 4;
}

static bool
waits_for_busy (const SsConnectionCache *cache, const SsCacheOrganisation *o,
                int64_t waited_ms)
{
  double expected_ms;

  if (!o->running || (double) waited_ms >= cache->connect_ms)
    return false;
  expected_ms = cache->hold_ms * (o->waiting + 1) / o->running;
  return expected_ms <= cache->connect_ms;
}

static uint32_t
spare (const SsConnectionCache *cache)
{
  return MIN (cache->limit / SS_CACHE_SPARE_DIVISOR, SS_CACHE_SPARE);
}

static SsCacheDecision
decide_open (SsConnectionCache *cache)
{
  SsCacheDecision d = { SS_CACHE_OPEN, SS_CACHE_WAIT_NONE, -1, false };
  uint32_t closing = cache->closing->len;

  if (cache->may_open && cache->count + closing < cache->limit)
    {
      if (cache->count + spare (cache) >= cache->limit)
        d.victim = find_victim (cache);
      return d;
    }
  d.action = SS_CACHE_WAIT;
  d.wait = SS_CACHE_WAIT_LIMIT;
  if (cache->may_open && closing <= cache->limit_waits)
    d.victim = find_victim (cache);
  cache->limit_waits++;
  return d;
}

SsCacheDecision
ss_connection_cache_decide (SsConnectionCache *cache,
                            const SsCacheStatement *statement)
{
  SsCacheOrganisation *o = get_organisation (cache, statement->organisation);
  SsCacheDecision d = { SS_CACHE_WAIT, SS_CACHE_WAIT_NONE, -1, false };

  if (statement->opens_transaction && !may_open_transaction (cache, o))
    {
      d.wait = SS_CACHE_WAIT_TRANSACTIONS;
      d.reaches_share = !o->is_at_share;
      o->is_at_share = true;
      return d;
    }
  if (statement->opens_transaction)
    o->is_at_share = false;
  if (o->idle)
    {
      d.action = SS_CACHE_REUSE;
      return d;
    }
  if (waits_for_busy (cache, o, statement->waited_ms))
    {
      o->waiting++;
      d.wait = SS_CACHE_WAIT_BUSY;
      return d;
    }
  return decide_open (cache);
}

int32_t
ss_connection_cache_excess (SsConnectionCache *cache)
{
  return cache->count > cache->limit ? find_victim (cache) : -1;
}
