/* choice: selects the server for a read or a write. */
#include <string.h>

#include "core/entry_speed.h"
#include "core/read_spread.h"

/* A server whose last response is older than this is not selected. */
#define REACHABLE_MAX_AGE_MS 3000
/* Load, in requests, of a server in another failure domain. */
#define REMOTE_LOAD 4
/* Queueing time that counts as the load of one request. */
#define WAIT_MS_PER_LOAD 5

/* Expected costs of a read whose target checks the floor, in milliseconds.
 * With targets.learn_speed they count until figures are learned.
 */
/* Round trip between regions, longer than between failure domains of a region:
 * a server of another failure domain may be in another region.
 */
#define REMOTE_MS 16
/* Reserves capacity of the primary for writes. */
#define PRIMARY_MS 15
/* Queueing delay for each request that this VM has at the target. */
#define MS_PER_OUTSTANDING 10
/* Usual lag of a replica. */
#define USUAL_LAG_MS 30
/* A replica with more lag does not catch up while a read waits for it. */
#define LAG_MAX_MS 150

static bool
was_tried (const SsTarget *t, char *const *tried, uint32_t tried_count)
{
  for (uint32_t i = 0; i < tried_count; i++)
    if (strcmp (tried[i], t->name) == 0)
      return true;
  return false;
}

static bool
is_usable (SsNode *node, SsTarget *t)
{
  return !t->draining && t->state.reachable
         && node->now_ms - t->reachable_ms < REACHABLE_MAX_AGE_MS
         && ss_node_owner (node, t) != NULL;
}

static bool
has_applied (const SsTarget *t, SsPosition floor)
{
  SsPosition translated = ss_position_translate (floor, &t->state.history);

  return ss_position_covers (t->state.applied, translated);
}

/* Whether T, which COVERS the floor of R or not yet, may run R.  Its target
 * checks the floor itself.
 */
static bool
may_run_checked (SsNode *node, const SsRequest *r, SsTarget *t, bool covers)
{
  return !was_tried (t, r->tried, r->tries) && is_usable (node, t)
         && (covers || (!r->strict && t->state.lag_ms <= LAG_MAX_MS));
}

/* Whether T is a replica, and not PRIMARY, that has applied the floor of R. */
static bool
is_fresh_replica (SsNode *node, const SsRequest *r, SsTarget *t,
                  const SsTarget *primary)
{
  return t != primary && t->state.role == SS_SERVER_REPLICA
         && !was_tried (t, r->tried, r->tries) && is_usable (node, t)
         && has_applied (t, r->floor);
}

/* Returns the load of T in requests, as far as it is known here. */
static uint32_t
load_of (SsNode *node, const SsTarget *t)
{
  uint32_t load = t->outstanding + t->state.wait_ms / WAIT_MS_PER_LOAD;

  if (strcmp (t->failure_domain, node->params.failure_domain) != 0)
    load += REMOTE_LOAD;
  return load;
}

/* Returns the expected response time of T in milliseconds. */
static uint32_t
cost_ms (SsNode *node, const SsTarget *t, bool is_primary, bool covers)
{
  uint32_t cost = t->state.wait_ms + t->outstanding * MS_PER_OUTSTANDING;

  if (strcmp (t->failure_domain, node->params.failure_domain) != 0)
    cost += REMOTE_MS;
  if (is_primary)
    cost += PRIMARY_MS;
  if (!covers)
    cost += MAX (t->state.lag_ms, USUAL_LAG_MS);
  return cost;
}

/* --- by learned figures --- */

/* A server that is this many times slower than the fastest one of its group
 * gets only probes.
 */
#define PROBED_SLOWNESS 1.5

/* Returns how many statements T runs at once. */
static uint32_t
concurrency (const SsTarget *t)
{
  uint32_t slots = t->slots ? t->slots : 1;

  return t->state.concurrency_limit ? MIN (t->state.concurrency_limit, slots)
                                    : slots;
}

/* Sets COST to the expected response time of T for R. */
static void
learned_cost (SsNode *node, const SsRequest *r, const SsGroup *group,
              SsTarget *t, bool covers, SsReadCost *cost)
{
  bool is_primary = t == ss_group_primary (group);
  double slowness = ss_entry_speed_slowness (node, group, t);
  double usual_ms
      = ss_entry_speed_usual_ms (node, r->session->service, r->is_read);
  double run_ms = usual_ms * slowness;
  double behind_ms = t->behind_ms > 0 ? t->behind_ms : USUAL_LAG_MS;
  double wait_ms = ss_entry_speed_wait_ms (node, t);

  /* The queue of a target owned here is known as it is now. */
  cost->wait_ms = ss_node_is_owner (node, t) ? 0 : wait_ms;
  cost->other_ms = wait_ms - cost->wait_ms;
  cost->other_ms += run_ms + ss_entry_speed_round_trip_ms (node, t);
  cost->other_ms += t->outstanding
                    * (usual_ms > 0 ? run_ms / concurrency (t)
                                    : MS_PER_OUTSTANDING * slowness);
  if (is_primary)
    cost->other_ms += usual_ms > 0 ? run_ms : PRIMARY_MS;
  if (!covers)
    cost->other_ms += MAX (t->state.lag_ms, behind_ms);
  cost->is_probed = !is_primary && covers && slowness >= PROBED_SLOWNESS
                    && 2 * (cost->wait_ms + cost->other_ms)
                           < (double) (r->deadline_ms - node->now_ms);
}

/* Returns one of the COUNT servers in FOUND for R, or NULL if there is none. */
static SsTarget *
spread (SsNode *node, SsTarget *const *found, const SsReadCost *costs,
        uint32_t count)
{
  if (!count)
    return NULL;
  return found[ss_read_spread_pick (costs, count, g_rand_double (node->rand))];
}

static SsTarget *
learned_checked_read (SsNode *node, const SsRequest *r, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *found[SS_CONFIG_SERVERS_MAX];
  SsReadCost costs[SS_CONFIG_SERVERS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      bool covers = t == primary || has_applied (t, r->floor);

      if (!may_run_checked (node, r, t, covers))
        continue;
      learned_cost (node, r, group, t, covers, &costs[count]);
      found[count++] = t;
    }
  return spread (node, found, costs, count);
}

/* As ss_choice_read, of replicas only. */
static SsTarget *
learned_replica (SsNode *node, const SsRequest *r, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *found[SS_CONFIG_SERVERS_MAX];
  SsReadCost costs[SS_CONFIG_SERVERS_MAX];
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];

      if (!is_fresh_replica (node, r, t, primary))
        continue;
      learned_cost (node, r, group, t, true, &costs[count]);
      found[count++] = t;
    }
  return spread (node, found, costs, count);
}

/* --- by fixed figures --- */

/* The floor is sent with the read and the target checks it, so a replica that
 * reaches it soon qualifies too.
 */
SsTarget *
ss_choice_checked_read (SsNode *node, const SsRequest *r, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *best = NULL;
  uint32_t best_ms = 0;
  uint32_t ties = 0;

  if (node->params.learn_speed)
    return learned_checked_read (node, r, group);
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      bool is_primary = t == primary;
      bool covers = is_primary || has_applied (t, r->floor);
      uint32_t cost;

      if (!may_run_checked (node, r, t, covers))
        continue;
      cost = cost_ms (node, t, is_primary, covers);
      ties = best && cost == best_ms ? ties + 1 : 1;
      if (best && cost > best_ms)
        continue;
      if (best && cost == best_ms
          && g_rand_int_range (node->rand, 0, (gint32) ties) != 0)
        continue;
      best = t;
      best_ms = cost;
    }
  return best;
}

/* Returns the replica with the lowest load, or NULL. */
static SsTarget *
least_loaded_replica (SsNode *node, const SsRequest *r, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *best = NULL;
  uint32_t best_load = 0;
  uint32_t ties = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      uint32_t load;

      if (!is_fresh_replica (node, r, t, primary))
        continue;
      load = load_of (node, t);
      ties = best && load == best_load ? ties + 1 : 1;
      if (best && load > best_load)
        continue;
      /* Ties are broken at random, with equal probability. */
      if (best && load == best_load
          && g_rand_int_range (node->rand, 0, (gint32) ties) != 0)
        continue;
      best = t;
      best_load = load;
    }
  return best;
}

SsTarget *
ss_choice_read (SsNode *node, const SsRequest *r, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *replica = node->params.learn_speed
                          ? learned_replica (node, r, group)
                          : least_loaded_replica (node, r, group);

  if (replica)
    return replica;
  if (primary && !was_tried (primary, r->tried, r->tries)
      && primary->state.role == SS_SERVER_PRIMARY && is_usable (node, primary))
    return primary;
  return NULL;
}

SsTarget *
ss_choice_write (SsNode *node, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);

  if (!primary || !is_usable (node, primary)
      || primary->state.role != SS_SERVER_PRIMARY
      || primary->state.shown_term != group->term)
    return NULL;
  return primary;
}
