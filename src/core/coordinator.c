/* coordinator: promotions that the platform carries out, started by one VM, the
 * coordinator.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership.h"
#include "core/owned.h"
#include "core/promotion.h"
#include "core/subscription.h"
#include "core/version.h"

/* A refused connection means a crash; no response may be a short network
 * partition.
 */
#define REFUSED_DOWN_MS 300
#define SILENT_DOWN_MS 1000
/* Used where the owner does not report the primary as unreachable, or replicas
 * still receive from it.
 */
#define UNREPORTED_DOWN_MS 5000
/* Interval of status requests to the replicas of an unreachable primary, and
 * how long the replicas count as receiving after their highest position last
 * rose.
 */
#define REPLICA_POLL_MS 200
#define RECEIVING_TIMEOUT_MS 450
/* Interval at which VMs are asked whether they have released their leases. */
#define RELEASE_RETRY_MS 150
/* A report older than this is stale. */
#define FRESH_REPORT_MS 1500
/* Uptime of this VM from which a primary without a target entry counts as lost:
 * before, the entry may not have arrived yet.
 */
#define MIN_UPTIME_MS 3000
/* Uptime from which a group that has never had a primary counts as failed: the
 * first start of a whole deployment takes less than this.
 */
#define FIRST_START_MS 15000
/* Interval at which the chosen server is asked whether it is promoted, and time
 * after which the platform call is repeated.
 */
#define PROMOTED_POLL_MS 60
#define CALL_RETRY_MS 1500
/* Interval between the writes of lost group objects: far below the platform's
 * rate, as there may be thousands.
 */
#define REWRITE_INTERVAL_MS 20
/* Delay for each rank, so that normally one VM writes.  Every VM may be the
 * only one that knows the name: others may have started since.
 */
#define REWRITE_RANK_DELAY_MS 500
/* Another VM's promotion is not taken over for this long. */
#define CLAIM_TIMEOUT_MS 2500
#define COORDINATOR_SUBJECT "promotions"
/* The VMs that rank next after the coordinator watch all groups as it does, so
 * that they know the primaries when they take over.
 */
#define STANDBYS 2

static bool
watches_all_groups (const SsNode *node)
{
  const SsMember *self = ss_members_find (&node->members, node->params.vm);

  return node->dialect->platform_promotes && node->settled && self->platform_up
         && ss_roles_coordinator_rank (&node->members, COORDINATOR_SUBJECT)
                <= STANDBYS;
}

/* A VM that becomes the coordinator reads the duty object at once: the time
 * that it has to wait for the last holder passes before it needs the duty.
 */
static void
update_coordinates (SsNode *node)
{
  bool coordinates = ss_coordinator_is_self (node);

  if (coordinates && !node->coordinates && node->dialect->platform_promotes)
    ss_platform_get (node, ++node->next_call, SS_PROMOTE_DUTY_KEY);
  node->coordinates = coordinates;
}

void
ss_coordinator_update_role (SsNode *node)
{
  update_coordinates (node);
  if (!watches_all_groups (node))
    {
      /* While the platform answers nobody, nobody replaces this VM. */
      if (node->all_groups_since_ms
          && ss_roles_coordinator (&node->members, COORDINATOR_SUBJECT))
        node->all_groups_since_ms = 0;
      return;
    }
  if (node->all_groups_since_ms)
    return;
  node->all_groups_since_ms = node->now_ms;
  ss_subscription_changed (node);
}

int64_t
ss_coordinator_down_ms (const SsNode *node, const SsPromotion *p)
{
  int64_t since_ms = p->primary_seen_ms;

  /* Few VMs use all groups and watch them anyway. */
  if (node->members.relayed)
    since_ms = MAX (since_ms, node->all_groups_since_ms);
  return node->now_ms - since_ms;
}

bool
ss_coordinator_is_self (SsNode *node)
{
  const SsMember *self = ss_members_find (&node->members, node->params.vm);
  const char *vm;

  if (!node->settled || !self->platform_up
      || ss_members_in_relay_grace (&node->members, node->now_ms))
    return false;
  vm = ss_roles_coordinator (&node->members, COORDINATOR_SUBJECT);
  return vm && strcmp (vm, node->params.vm) == 0;
}

/* A failed attempt raises the follow_term of no server, so its term is used
 * again.
 */
uint64_t
ss_coordinator_next_term (const SsGroup *group)
{
  uint64_t term = *group->primary ? group->term + 1 : group->term;

  for (uint32_t i = 0; i < group->server_count; i++)
    term = MAX (term, group->servers[i]->state.follow_term + 1);
  return term;
}

bool
ss_coordinator_sees (const SsNode *node, const SsTarget *t)
{
  return t->state.reachable && node->now_ms - t->reachable_ms < FRESH_REPORT_MS;
}

/* Returns the server that leads the highest term according to a fresh report,
 * or NULL.
 */
static const SsTarget *
find_leader (SsNode *node, const SsGroup *group)
{
  const SsTarget *leader = NULL;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      if (t->state.role != SS_SERVER_PRIMARY || !ss_coordinator_sees (node, t))
        continue;
      if (!leader || t->state.follow_term > leader->state.follow_term)
        leader = t;
    }
  return leader;
}

static void
choose (SsPromotion *p, const char *primary)
{
  g_free (p->chosen);
  p->chosen = g_strdup (primary);
}

/* Writes the name of the chosen server, which leads already, to the group's
 * object.
 */
static void
name_chosen (SsNode *node, SsPromotion *p)
{
  ss_promote_enter (node, p, SS_PROMOTE_ADOPT);
  ss_promote_write_group (node, p, p->chosen);
}

/* A server may lead without a claim that holds: a call on the platform may take
 * effect late.  As in a promotion, leases on the primary before must be over
 * before the object names another one.
 */
static void
begin_adoption (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  p->adopts = true;
  if (*group->primary)
    {
      ss_promote_enter (node, p, SS_PROMOTE_CLAIM);
      ss_promote_write_group (node, p, "");
      return;
    }
  ss_promote_enter (node, p, SS_PROMOTE_RAISE);
  ss_lease_begin_release (node, p);
}

void
ss_coordinator_tick_adoption (SsNode *node, SsPromotion *p)
{
  if (ss_lease_is_released (node, p))
    {
      name_chosen (node, p);
      return;
    }
  if (node->now_ms - p->asked_ms < RELEASE_RETRY_MS)
    return;
  p->asked_ms = node->now_ms;
  ss_lease_ask_release (node, p);
}

bool
ss_coordinator_adopt_primary (SsNode *node, SsPromotion *p, SsGroup *group)
{
  const SsTarget *leader = find_leader (node, group);

  if (!leader)
    return false;
  if (group->version && leader->state.follow_term <= group->term
      && (*group->primary || leader->state.follow_term < group->term))
    return false;
  ss_promote_begin (node, p, group, leader->state.follow_term, "-adopt");
  ss_node_log (node, SS_EVENT_LOG_PRIMARY_FOUND, p->group,
               "term=%" G_GUINT64_FORMAT
               " primary=%s before=%s/%" G_GUINT64_FORMAT,
               p->term, leader->name, group->primary, group->term);
  choose (p, leader->name);
  if (group->version)
    begin_adoption (node, p, group);
  else
    name_chosen (node, p);
  return true;
}

bool
ss_coordinator_rewrite (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  if (!group->lost_ms || !*group->primary || node->platform_down
      || node->now_ms < node->rewrite_due_ms
      || node->now_ms - group->lost_ms
             < (int64_t) ss_promote_rank (node, p) * REWRITE_RANK_DELAY_MS)
    return false;
  node->rewrite_due_ms = node->now_ms + REWRITE_INTERVAL_MS;
  ss_promote_begin (node, p, group, group->term, "-rewrite");
  ss_node_log (node, SS_EVENT_LOG_PRIMARY_REWRITTEN, p->group,
               "term=%" G_GUINT64_FORMAT
               " primary=%s version=" SS_VERSION_FORMAT
               " at_platform=" SS_VERSION_FORMAT,
               p->term, group->primary, SS_VERSION_ARGS (group->version),
               SS_VERSION_ARGS (p->version));
  choose (p, group->primary);
  name_chosen (node, p);
  return true;
}

/* Tracks whether the replicas of an unreachable primary still receive from it.
 */
void
ss_coordinator_poll_replicas (SsNode *node, SsPromotion *p,
                              const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);
  SsPosition highest = p->replica_position;
  bool ask = primary && !primary->state.reachable
             && node->now_ms - p->replicas_polled_ms >= REPLICA_POLL_MS
             && node->coordinates;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];

      if (t == primary)
        continue;
      highest = ss_position_max (highest, t->state.held);
      if (ask)
        ss_quorum_request_status (node, t);
    }
  if (ask)
    p->replicas_polled_ms = node->now_ms;
  if (ss_position_compare (highest, p->replica_position) <= 0)
    return;
  p->replica_position = highest;
  p->replica_position_ms = node->now_ms;
}

void
ss_coordinator_poll_servers (SsNode *node, const SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    ss_quorum_request_status (node, group->servers[i]);
}

bool
ss_coordinator_is_primary_suspect (SsNode *node, const SsPromotion *p,
                                   const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);
  int64_t down_ms = ss_coordinator_down_ms (node, p);

  /* The group has never had a primary: not all of its servers may be listed
   * yet.
   */
  if (!group->version)
    return node->now_ms - node->started_ms >= FIRST_START_MS
           && down_ms >= UNREPORTED_DOWN_MS;
  if (!*group->primary)
    return g_str_has_prefix (group->operation, node->params.vm)
           || node->now_ms - group->changed_ms >= CLAIM_TIMEOUT_MS;
  if (!primary)
    return node->now_ms - node->started_ms >= MIN_UPTIME_MS
           && down_ms >= SILENT_DOWN_MS;
  if (primary->state.reachable
      || node->now_ms - primary->state_ms >= FRESH_REPORT_MS)
    return down_ms >= UNREPORTED_DOWN_MS;
  if (primary->state.refused)
    return down_ms >= REFUSED_DOWN_MS;
  /* Replicas that still receive show that the primary runs: others may reach
   * it.
   */
  return down_ms
         >= (node->now_ms - p->replica_position_ms < RECEIVING_TIMEOUT_MS
                 ? UNREPORTED_DOWN_MS
                 : SILENT_DOWN_MS);
}

/* --- moving a primary whose replicas lag --- */

/* The primary's owner may be this VM, which gets no report of its own. */
static void
view_primary (SsNode *node, const SsTarget *primary, SsPlacementView *view)
{
  const SsOwnedTarget *owned = ss_owner_find (node, primary->name);

  if (owned && owned->active)
    {
      view->wait_ms = (int64_t) owned->queue.mean_wait_ms;
      view->stalled_ms = ss_quorum_stalled_ms (node, owned);
      return;
    }
  view->wait_ms = primary->state.mean_wait_ms;
  view->stalled_ms = primary->state.stalled_ms;
}

static void
view_replica (SsNode *node, const SsPlacement *placement, const SsTarget *t,
              SsPlacementView *view)
{
  if (t->draining || !ss_coordinator_sees (node, t))
    return;
  view->candidates++;
  view->lag_ms = MIN (view->lag_ms, t->state.lag_ms);
  if (ss_placement_receives (placement, t->state.held))
    view->receiving = true;
}

bool
ss_coordinator_should_move (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);
  SsPlacementView view = { .lag_ms = G_MAXUINT32 };

  if (!primary || !ss_coordinator_sees (node, primary))
    return false;
  ss_placement_sample (&p->placement, primary->state.held, node->now_ms);
  view_primary (node, primary, &view);
  if (!ss_placement_is_in_trouble (&view))
    return false;
  view.staleness_ms = ss_config_group_staleness (&node->config, group->name);
  view.failover_ms = ss_predict_failover_ms (&node->prediction);
  view.settled_ms = node->now_ms - group->changed_ms;
  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i] != primary)
      view_replica (node, &p->placement, group->servers[i], &view);
  if (!ss_placement_should_move (&p->placement, &view, node->now_ms))
    return false;
  ss_placement_moved (&p->placement, node->now_ms);
  ss_node_log (node, SS_EVENT_LOG_PRIMARY_MOVES, p->group,
               "primary=%s term=%" G_GUINT64_FORMAT
               " replica_lag_ms=%" G_GINT64_FORMAT
               " staleness_ms=%" G_GINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT
               " failover_ms=%" G_GINT64_FORMAT " stalled_ms=%" G_GINT64_FORMAT,
               group->primary, group->term, view.lag_ms, view.staleness_ms,
               view.wait_ms, view.failover_ms, view.stalled_ms);
  return true;
}

/* --- the call to the platform --- */

/* Writes the duty object.  The version that this write gives the object is the
 * fencing token of the platform call that follows; no two calls share one.
 */
static void
write_duty (SsNode *node, SsPromotion *p)
{
  char *value
      = ss_duty_value (&node->duty, node->params.vm, p->operation, p->hold_ms);

  p->call = ++node->next_call;
  p->asked_ms = node->now_ms;
  ss_platform_put (node, p->call, SS_PROMOTE_DUTY_KEY, value,
                   node->duty.version);
  g_free (value);
}

/* Writes the duty object if this VM may; else the tick does, once it may. */
static void
request_duty (SsNode *node, SsPromotion *p)
{
  p->asked_ms = 0;
  if (ss_duty_may_write (&node->duty, node->now_ms))
    write_duty (node, p);
}

/* Whether the answer to the last write is too late for the call. */
static bool
is_hold_over (const SsNode *node, const SsPromotion *p)
{
  return node->now_ms - p->asked_ms > p->hold_ms;
}

/* The write is of no use any more: requests the duty for longer. */
static void
extend_hold (SsNode *node, SsPromotion *p)
{
  p->hold_ms = MIN (2 * p->hold_ms, SS_DUTY_HOLD_MAX_MS);
  request_duty (node, p);
}

void
ss_coordinator_call_platform (SsNode *node, SsPromotion *p)
{
  ss_promote_enter (node, p, SS_PROMOTE_DUTY);
  p->hold_ms = SS_DUTY_HOLD_MIN_MS;
  request_duty (node, p);
}

static void
call_platform (SsNode *node, SsPromotion *p)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PLATFORM_PROMOTE);

  ss_promote_enter (node, p, SS_PROMOTE_CALL);
  p->call = ++node->next_call;
  a->id = p->call;
  a->name = g_strdup (p->group);
  a->text = g_strdup (p->chosen);
  a->number = p->fencing_token;
  ss_node_log (node, SS_EVENT_LOG_PROMOTION_CALLED, p->group,
               "term=%" G_GUINT64_FORMAT " server=%s fence=" SS_VERSION_FORMAT,
               p->term, p->chosen, SS_VERSION_ARGS (p->fencing_token));
}

typedef struct
{
  uint64_t call;
  SsPromotion *found;
} CallSearch;

static gboolean
find_call (gpointer key, gpointer value, gpointer data)
{
  CallSearch *s = data;
  SsPromotion *p = value;

  (void) key;
  if (p->call != s->call || p->step == SS_PROMOTE_IDLE)
    return FALSE;
  s->found = p;
  return TRUE;
}

static SsPromotion *
find_promotion (SsNode *node, uint64_t call)
{
  CallSearch s = { call, NULL };

  g_tree_foreach (node->promotions, find_call, &s);
  return s.found;
}

static bool
is_own_write (const SsPromotion *p, const SsObject *object)
{
  return object->value
         && g_strstr_len (object->value, object->value_bytes, p->operation);
}

void
ss_coordinator_handle_duty (SsNode *node, uint64_t call,
                            SsPlatformOutcome outcome, const SsObject *object)
{
  SsPromotion *p = find_promotion (node, call);
  const SsGroup *group = p ? ss_config_group (&node->config, p->group) : NULL;

  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    ss_duty_observe (&node->duty, object, node->now_ms);
  if (outcome == SS_PLATFORM_ABSENT)
    ss_duty_forget (&node->duty);
  /* The tick ends a promotion that a restore or another claim made void. */
  if (!p || p->step != SS_PROMOTE_DUTY || ss_promote_is_void (node, p) || !group
      || ss_promote_is_superseded (p, group))
    return;
  if (outcome == SS_PLATFORM_DONE && is_own_write (p, object)
      && !is_hold_over (node, p))
    {
      p->fencing_token = object->version;
      call_platform (node, p);
    }
  else if (!ss_coordinator_is_self (node))
    ss_promote_give_up (node, p, "another vm holds the failover duty");
  else if (outcome == SS_PLATFORM_DONE)
    extend_hold (node, p);
  else if (outcome == SS_PLATFORM_CONFLICT)
    request_duty (node, p);
}

void
ss_coordinator_handle_call (SsNode *node, uint64_t call,
                            SsPlatformOutcome outcome)
{
  SsPromotion *p = find_promotion (node, call);

  if (!p || p->step != SS_PROMOTE_CALL)
    return;
  if (outcome == SS_PLATFORM_CONFLICT)
    {
      ss_promote_give_up (node, p, "the platform does not run that server");
      return;
    }
  /* A lost response does no harm: the server's own state shows the outcome. */
  ss_promote_enter (node, p, SS_PROMOTE_LEAD);
}

static SsTarget *
chosen_server (SsNode *node, const SsPromotion *p)
{
  return p->chosen ? ss_config_target (&node->config, p->chosen) : NULL;
}

/* Names the chosen server in the group's object once it leads the term;
 * otherwise requests its status.
 */
static void
check_promoted (SsNode *node, SsPromotion *p)
{
  SsTarget *t = chosen_server (node, p);

  if (!t)
    return;
  if (t->state.role == SS_SERVER_PRIMARY && t->state.follow_term >= p->term)
    {
      p->term = t->state.follow_term;
      ss_promote_enter (node, p, SS_PROMOTE_NAME);
      ss_promote_write_group (node, p, t->name);
      return;
    }
  if (node->now_ms - p->asked_ms < PROMOTED_POLL_MS)
    return;
  p->asked_ms = node->now_ms;
  ss_quorum_request_status (node, t);
}

void
ss_coordinator_tick (SsNode *node, SsPromotion *p)
{
  if (p->step == SS_PROMOTE_DUTY && !p->asked_ms)
    request_duty (node, p);
  else if (p->step == SS_PROMOTE_DUTY && is_hold_over (node, p))
    extend_hold (node, p);
  if (p->step != SS_PROMOTE_LEAD)
    return;
  if (node->now_ms - p->since_ms < CALL_RETRY_MS)
    check_promoted (node, p);
  else if (p->claim_lost)
    ss_promote_give_up (node, p, "the platform may have lost the claim");
  else
    ss_coordinator_call_platform (node, p);
}
