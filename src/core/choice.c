/* choice: selects the server for a read or a write. */
#include <string.h>

#include "core/requests.h"

/* A server whose last response is older than this is not selected. */
#define REACHABLE_MAX_AGE_MS 3000
/* Load, in requests, of a server in another failure domain. */
#define REMOTE_LOAD 4
/* Queueing time that counts as the load of one request. */
#define WAIT_MS_PER_LOAD 5

/* Expected costs of a read whose target checks the floor, in milliseconds. */
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

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      bool is_primary = t == primary;
      bool covers = is_primary || has_applied (t, r->floor);
      uint32_t cost;

      if (was_tried (t, r->tried, r->tries) || !is_usable (node, t)
          || (!covers && (r->strict || t->state.lag_ms > LAG_MAX_MS)))
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

SsTarget *
ss_choice_read (SsNode *node, SsGroup *group, SsPosition floor,
                char *const *tried, uint32_t tried_count)
{
  SsTarget *primary = ss_group_primary (group);
  SsTarget *best = NULL;
  uint32_t best_load = 0;
  uint32_t ties = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      uint32_t load;

      if (t == primary || t->state.role != SS_SERVER_REPLICA
          || was_tried (t, tried, tried_count) || !is_usable (node, t)
          || !has_applied (t, floor))
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
  if (best)
    return best;
  if (primary && !was_tried (primary, tried, tried_count)
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
