#include "core/entry_speed.h"

#include <math.h>
#include <string.h>

#include "core/owner.h"
#include "core/round_trip.h"

/* A report is valid for this time; then what it says is halved at the same
 * interval.
 */
#define REPORT_VALID_MS 1000
/* Share of a server's slowness that its run times are corrected by before they
 * count as usual.  With less than all of it, a kind whose only server became
 * slower for good gets a new usual run time.
 */
#define SLOWNESS_SHARE 0.9
/* Weight of a new wait for the floor in its mean. */
#define BEHIND_GAIN 0.1

void
ss_entry_speed_init (SsNode *node)
{
  node->usual_runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  node->round_trips
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
ss_entry_speed_finish (SsNode *node)
{
  g_hash_table_destroy (node->usual_runs);
  g_hash_table_destroy (node->round_trips);
}

double
ss_entry_speed_usual_ms (const SsNode *node, const char *service, bool is_read)
{
  const SsRunTime *runs = g_hash_table_lookup (node->usual_runs, service);

  return runs ? ss_run_time_ms (&runs[is_read]) : 0;
}

uint32_t
ss_entry_speed_sent (SsNode *node, SsRequest *r, const SsTarget *t)
{
  if (!node->params.learn_speed)
    return 0;
  r->sent_ms = node->now_ms;
  r->is_behind = r->is_read && t
                 && !ss_position_covers (
                     t->state.applied,
                     ss_position_translate (r->floor, &t->state.history));
  return (
      uint32_t) (ss_entry_speed_usual_ms (node, r->session->service, r->is_read)
                 * 1000);
}

/* --- reports --- */

/* Returns the share of a report of T that still counts. */
static double
report_weight (SsNode *node, SsTarget *t)
{
  int64_t over_ms = node->now_ms - t->reported_ms - REPORT_VALID_MS;

  if (over_ms <= 0 || ss_node_is_owner (node, t))
    return 1.0;
  return exp2 (-(double) over_ms / REPORT_VALID_MS);
}

/* Returns T as owned by this VM, or NULL. */
static const SsOwnedTarget *
find_owned (SsNode *node, const SsTarget *t)
{
  const SsOwnedTarget *owned = ss_owner_find (node, t->name);

  return owned && owned->active ? owned : NULL;
}

/* Sets *FACTOR to the slowness of T; returns false if it is unknown. */
static bool
get_slowness (SsNode *node, SsTarget *t, double *factor)
{
  const SsOwnedTarget *owned = find_owned (node, t);
  uint32_t percent
      = owned ? owned->slowness_percent : t->state.slowness_percent;

  *factor = 1.0;
  if (!t->state_ms || (owned ? !owned->speed.known : t->state.speed_unknown))
    return false;
  if (percent)
    *factor = pow (percent / 100.0, report_weight (node, t));
  return true;
}

double
ss_entry_speed_slowness (SsNode *node, const SsGroup *group, SsTarget *t)
{
  double lowest = G_MAXDOUBLE;
  double sum = 0;
  uint32_t count = 0;
  double factor;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      if (!group->servers[i]->state.reachable
          || !get_slowness (node, group->servers[i], &factor))
        continue;
      lowest = MIN (lowest, factor);
      sum += factor;
      count++;
    }
  if (!count)
    return 1.0;
  if (!get_slowness (node, t, &factor))
    factor = sum / count;
  return MAX (factor / lowest, 1.0);
}

double
ss_entry_speed_wait_ms (SsNode *node, SsTarget *t)
{
  const SsOwnedTarget *owned = find_owned (node, t);

  if (owned)
    return ss_queue_wait_ms (&owned->queue, SS_QUEUE_READ,
                             ss_pool_capacity (node, owned));
  return t->state.wait_ms * report_weight (node, t);
}

/* --- round trips --- */

static const char *
owner_domain (SsNode *node, const char *vm)
{
  const SsMember *member = ss_members_find (&node->members, vm);

  return member && member->failure_domain ? member->failure_domain : "";
}

double
ss_entry_speed_round_trip_ms (SsNode *node, SsTarget *t)
{
  const char *vm = ss_node_owner (node, t);
  const char *domain;

  if (!vm || strcmp (vm, node->params.vm) == 0)
    return 0;
  domain = owner_domain (node, vm);
  return ss_round_trip_ms (g_hash_table_lookup (node->round_trips, domain),
                           strcmp (domain, node->params.failure_domain) == 0);
}

static void
sample_round_trip (SsNode *node, const SsRequest *r, uint32_t owner_ms)
{
  const char *domain = owner_domain (node, r->vm);
  SsRoundTrip *trip = g_hash_table_lookup (node->round_trips, domain);
  int64_t ms = node->now_ms - r->sent_ms - owner_ms;

  if (!*domain || strcmp (r->vm, node->params.vm) == 0)
    return;
  if (!trip)
    {
      trip = g_new0 (SsRoundTrip, 1);
      g_hash_table_insert (node->round_trips, g_strdup (domain), trip);
    }
  ss_round_trip_sample (trip, (double) MAX (ms, 0));
}

/* --- run times --- */

static void
sample_usual_run (SsNode *node, const SsRequest *r, SsTarget *t, double run_ms)
{
  const char *service = r->session->service;
  const SsGroup *group = ss_config_group (&node->config, t->group);
  SsRunTime *runs = g_hash_table_lookup (node->usual_runs, service);

  if (!runs)
    {
      runs = g_new0 (SsRunTime, 2);
      g_hash_table_insert (node->usual_runs, g_strdup (service), runs);
    }
  if (group)
    run_ms /= pow (ss_entry_speed_slowness (node, group, t), SLOWNESS_SHARE);
  ss_run_time_sample (&runs[r->is_read], run_ms);
}

static void
sample_behind (SsTarget *t, uint32_t behind_ms)
{
  if (t->behind_ms > 0)
    t->behind_ms += BEHIND_GAIN * (behind_ms - t->behind_ms);
  else
    t->behind_ms = behind_ms;
  t->behind_ms = MAX (t->behind_ms, 0.1);
}

void
ss_entry_speed_reply (SsNode *node, const SsRequest *r,
                      const Ss__Peer__RunReply *reply)
{
  SsTarget *t = ss_config_target (&node->config, reply->target);

  if (!node->params.learn_speed || !t || !reply->owner_ms)
    return;
  sample_round_trip (node, r, reply->owner_ms - 1);
  if (reply->run_us)
    sample_usual_run (node, r, t, reply->run_us / 1000.0);
  if (r->is_behind
      && (reply->verdict == SS_VERDICT_RAN
          || reply->reason == SS_REASON_BEHIND))
    sample_behind (t, reply->behind_ms);
}
