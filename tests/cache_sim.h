/* cache_sim: one server with a limit on its connections under the load of many
 * organisations, on one simulated clock.  The owner's side is the connection
 * cache, or a plain replacement rule to compare it with.
 */
#ifndef SS_TESTS_CACHE_SIM_H
#define SS_TESTS_CACHE_SIM_H

#include "core/connection_cache.h"

#define CACHE_SIM_ORGANISATIONS 86
#define CACHE_SIM_CONNECTIONS_MAX 64
#define CACHE_SIM_STATEMENTS_MAX 1024

typedef enum
{
  CACHE_SIM_CACHE,
  CACHE_SIM_LRU,        /* closes the least recently used idle connection */
  CACHE_SIM_GREEDY_DUAL /* greedy-dual with the count of uses */
} CacheSimPolicy;

typedef struct
{
  uint32_t organisation;
  int64_t arrived_ms;
  int64_t run_ms;
  int64_t hold_ms; /* its transaction stays open for this time after it */
  bool has_waited; /* for a connection, though a slot was free */
} CacheSimStatement;

typedef struct
{
  bool is_open;
  SsCacheState state;
  uint32_t organisation;
  int64_t used_ms;
  int64_t since_ms; /* CONNECTING: when it was opened; else when taken */
  int64_t end_ms;   /* of the transaction */
  double priority;  /* greedy-dual */
  uint32_t uses;
  CacheSimStatement statement;
  bool has_statement;
  int64_t work_ms; /* left at the server; 0: none */
} CacheSimConnection;

typedef struct
{
  uint32_t arrived;
  uint32_t served;
  uint32_t opened;
  uint32_t replaced;
  uint32_t waits;    /* statements that waited for a connection */
  uint32_t late;     /* answered after 250 ms */
  double latency_ms; /* sum */
  int64_t longest_ms;
} CacheSimCounts;

typedef struct
{
  /* parameters, to be set after cache_sim_init */
  CacheSimPolicy policy;
  uint32_t server_limit;
  uint32_t plain_limit; /* connections that the plain rules use */
  double rate_per_s;
  double hold_permille; /* of statements open a transaction */
  int64_t hold_ms;      /* for which they hold it */
  uint32_t burst;       /* organisation, or CACHE_SIM_ORGANISATIONS: none */
  double burst_factor;
  int32_t holder;         /* only its statements open transactions; -1: all */
  uint32_t fail_permille; /* connect attempts that fail */
  /* state */
  GRand *rand;
  int64_t now_ms;
  SsConnectionCache cache;
  double weights[CACHE_SIM_ORGANISATIONS]; /* their sum is 1 */
  char names[CACHE_SIM_ORGANISATIONS][8];
  CacheSimConnection connections[CACHE_SIM_CONNECTIONS_MAX];
  CacheSimStatement queue[CACHE_SIM_STATEMENTS_MAX];
  uint32_t queued;
  double aging; /* greedy-dual */
  /* results */
  CacheSimCounts all;
  CacheSimCounts organisations[CACHE_SIM_ORGANISATIONS];
  uint32_t peak;        /* connections that the server counted at once */
  uint32_t most_held;   /* transactions of one organisation at once */
  uint32_t foreign;     /* statements on another organisation's connection */
  GArray *latencies_ms; /* of int64_t */
} CacheSim;

/* cache_sim_init: 86 organisations whose sizes follow a Zipf law with exponent
 * 1.2, 56 connections, 4 slots and 34 statements a second.
 */
void cache_sim_init (CacheSim *sim, uint32_t seed, CacheSimPolicy policy);
void cache_sim_finish (CacheSim *sim);
void cache_sim_advance (CacheSim *sim, int64_t ms);
/* cache_sim_reset_counts: forgets the results so far. */
void cache_sim_reset_counts (CacheSim *sim);
/* cache_sim_percentile_ms: returns the latency that PERCENT of all statements
 * did not exceed.
 */
int64_t cache_sim_percentile_ms (CacheSim *sim, double percent);

#endif
