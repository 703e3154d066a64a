/* suspicion: detection of a failed primary, where a majority of the servers
 * decides promotions.
 */
#include <string.h>

#include "core/promotion.h"
#include "core/voters.h"

/* A crash shows by refused connections and by replicas that hear nothing from
 * the primary.
 */
#define CRASH_DOWN_MS 300
#define CRASH_SILENCE_MS 250
/* How long replicas of a frozen or partitioned primary hear nothing. */
#define SILENT_SILENCE_MS 1000
/* Replicas hear the primary, but no VM reaches it. */
#define UNREACHED_DOWN_MS 5000
/* A promotion of another VM that this one has not heard of names its primary in
 * less time.
 */
#define OVERTAKEN_MS 1500
/* Delay for each coordinator rank, so that the first one normally acts alone.
 */
#define RANK_DELAY_MS 500
/* A claim that has named no primary for this long counts as abandoned. */
#define CLAIM_TIMEOUT_MS 1500
/* A report older than this is stale. */
#define FRESH_REPORT_MS 1500

/* Counts the replicas that are reachable and have heard nothing from the
 * primary for SILENCE_MS.
 */
static uint32_t
count_silent (SsNode *node, const SsGroup *group, uint32_t silence_ms)
{
  uint32_t silent = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      if (strcmp (t->name, group->primary) != 0 && t->state.reachable
          && node->now_ms - t->reachable_ms < FRESH_REPORT_MS
          && t->state.silence_ms >= silence_ms)
        silent++;
    }
  return silent;
}

/* Returns how many replicas must have stopped hearing from the primary: at
 * least half of them, and at least one.
 */
static uint32_t
witnesses_needed (const SsGroup *group)
{
  uint32_t others = group->server_count - 1;

  return MAX ((others + 1) / 2, 1);
}

/* Whether so many servers have taken a later term that none of the group's term
 * gathers a majority: the platform lost the claim of that term.
 */
static bool
is_overtaken (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  uint32_t left = (1U << group->server_count) - 1;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      if (t->state.reachable && node->now_ms - t->reachable_ms < FRESH_REPORT_MS
          && t->state.shown_term > group->term)
        left &= ~(1U << i);
    }
  if (ss_group_is_majority (group, left))
    p->overtaken_ms = 0;
  else if (!p->overtaken_ms)
    p->overtaken_ms = node->now_ms;
  return p->overtaken_ms
         && node->now_ms - p->overtaken_ms
                >= OVERTAKEN_MS + (int64_t) p->rank * RANK_DELAY_MS;
}

bool
ss_suspicion_is_primary_suspect (SsNode *node, SsPromotion *p,
                                 const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);
  int64_t down_ms = node->now_ms - p->primary_seen_ms;
  int64_t delay_ms = (int64_t) p->rank * RANK_DELAY_MS;
  uint32_t needed = witnesses_needed (group);

  if (!*group->primary)
    return node->now_ms - group->changed_ms >= CLAIM_TIMEOUT_MS + delay_ms;
  if (!primary)
    return false;
  if (is_overtaken (node, p, group))
    return true;
  if (primary->state.refused && down_ms >= CRASH_DOWN_MS + delay_ms
      && count_silent (node, group, CRASH_SILENCE_MS) >= needed)
    return true;
  if (down_ms >= SS_SUSPICION_SILENT_MS + delay_ms
      && count_silent (node, group, SILENT_SILENCE_MS) >= needed)
    return true;
  return down_ms >= UNREACHED_DOWN_MS + delay_ms;
}

void
ss_suspicion_track_primary (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  const SsTarget *t = ss_group_primary (group);

  if (p->seen_term != group->term)
    {
      p->seen_term = group->term;
      p->primary_seen_ms = node->now_ms;
    }
  if (t && t->state.reachable && t->state.role == SS_SERVER_PRIMARY
      && t->state.shown_term == group->term)
    p->primary_seen_ms = MAX (p->primary_seen_ms, t->reachable_ms);
}
