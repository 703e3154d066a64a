/* promote: promotions, from failure detection to the new primary's name in the
 * group's object.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_store.h"
#include "core/internal.h"
#include "core/voters.h"

/* VMs with a rank below this start promotions of the group. */
#define COORDINATOR_RANKS 3
#define STEP_TIMEOUT_MS 4000
/* Interval of reads after a write whose response was lost. */
#define READ_RETRY_MS 200
/* Delay of the next promotion after one has ended. */
#define RETRY_MS 300
/* Interval at which a VM that starts no promotions looks at all groups: it may
 * have to write the name of a primary that the platform has lost.
 */
#define UNWATCHED_INTERVAL_MS 250

SsPromotion *
ss_promote_get (SsNode *node, const char *group)
{
  SsPromotion *p = g_tree_lookup (node->promotions, group);

  if (p)
    return p;
  p = g_new0 (SsPromotion, 1);
  p->group = g_strdup (group);
  p->raised_positions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->primary_seen_ms = node->now_ms;
  g_tree_insert (node->promotions, p->group, p);
  return p;
}

uint32_t
ss_promote_rank (SsNode *node, SsPromotion *promotion)
{
  if (promotion->rank_generation != node->members.generation)
    {
      promotion->rank = ss_roles_rank (&node->members, NULL, promotion->group);
      promotion->rank_generation = node->members.generation;
    }
  return promotion->rank;
}

static gboolean
resume_one (gpointer key, gpointer value, gpointer data)
{
  SsPromotion *p = value;
  const SsNode *node = data;

  (void) key;
  p->primary_seen_ms = node->now_ms;
  return FALSE;
}

void
ss_promote_resumed (SsNode *node)
{
  g_tree_foreach (node->promotions, resume_one, node);
}

void
ss_promote_enter (SsNode *node, SsPromotion *p, SsPromoteStep step)
{
  p->step = step;
  p->since_ms = node->now_ms;
  p->asked_ms = 0;
}

static void
answer_operator (SsNode *node, SsPromotion *p, SsVerdict verdict,
                 const char *message)
{
  const SsGroup *group = ss_config_group (&node->config, p->group);
  uint64_t operator_call = p->operator_call;
  char *text;

  if (!operator_call)
    return;
  p->operator_call = 0;
  g_clear_pointer (&p->requested_server, g_free);
  text = group ? g_strdup_printf (
             "%s; in force: term %" G_GUINT64_FORMAT ", primary %s", message,
             group->term, *group->primary ? group->primary : "(none)")
               : g_strdup (message);
  ss_admin_handle_promotion (node, operator_call, verdict, text,
                             group ? group->version : 0);
  g_free (text);
}

/* Until the claim takes effect, a promotion has changed nothing.  Afterwards
 * the term is higher, and another promotion follows.
 */
void
ss_promote_give_up (SsNode *node, SsPromotion *p, const char *reason)
{
  SsVerdict verdict = p->step == SS_PROMOTE_CLAIM ? SS_VERDICT_NOT_RUN
                                                  : SS_VERDICT_MAY_HAVE_RUN;

  ss_node_log (node, SS_EVENT_LOG_PROMOTION_FAILED, p->group,
               "term=%" G_GUINT64_FORMAT " %s", p->term, reason);
  answer_operator (node, p, verdict, reason);
  p->retry_ms = node->now_ms + RETRY_MS;
  p->requested = false;
  p->primary_seen_ms = node->now_ms - SS_SUSPICION_SILENT_MS;
  ss_promote_enter (node, p, SS_PROMOTE_IDLE);
}

/* --- the group's object at the platform --- */

static char *
group_key (const char *group)
{
  return g_strconcat ("group/", group, NULL);
}

void
ss_promote_write_group (SsNode *node, SsPromotion *p, const char *primary)
{
  json_t *json = json_pack ("{s:I, s:s, s:s}", "term", (json_int_t) p->term,
                            "primary", primary, "operation", p->operation);
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  char *key = group_key (p->group);

  p->call = ++node->next_call;
  ss_platform_put (node, p->call, key, text, p->version);
  g_free (key);
  free (text);
  json_decref (json);
}

static void
get_group (SsNode *node, SsPromotion *p)
{
  char *key = group_key (p->group);

  p->call = ++node->next_call;
  p->asked_ms = node->now_ms;
  ss_platform_get (node, p->call, key);
  g_free (key);
}

static uint64_t
highest_term (const SsGroup *group)
{
  uint64_t term = group->term;

  for (uint32_t i = 0; i < group->server_count; i++)
    term = MAX (term, group->servers[i]->state.shown_term);
  return term;
}

void
ss_promote_begin (SsNode *node, SsPromotion *p, const SsGroup *group,
                  uint64_t term, const char *kind)
{
  char *key = group_key (group->name);

  p->term = term;
  p->version = ss_config_expected_version (&node->config, key);
  p->era = node->era;
  p->claim_lost = false;
  p->adopts = false;
  p->started_ms = node->now_ms;
  g_snprintf (p->operation, sizeof p->operation,
              "%s%s-%" G_GUINT64_FORMAT "-%08x", node->params.vm, kind,
              ++node->next_operation, g_rand_int (node->rand));
  g_free (key);
}

bool
ss_promote_is_void (const SsNode *node, const SsPromotion *p)
{
  return p->step != SS_PROMOTE_IDLE && p->era != node->era;
}

bool
ss_promote_is_superseded (const SsPromotion *p, const SsGroup *group)
{
  static const uint32_t claimed_steps
      = 1U << SS_PROMOTE_RAISE | 1U << SS_PROMOTE_DUTY | 1U << SS_PROMOTE_CALL
        | 1U << SS_PROMOTE_LEAD;

  return (claimed_steps & 1U << p->step) && !p->claim_lost
         && group->version > p->version
         && strcmp (group->operation, p->operation) != 0;
}

/* Ends a promotion over a return of the platform's store from a copy: its claim
 * may be lost, or its writes may have taken effect.  A server that the platform
 * was already asked to promote is waited for: naming it needs no claim.
 */
static void
handle_restore (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  if (p->step == SS_PROMOTE_CALL || p->step == SS_PROMOTE_LEAD)
    {
      int64_t started_ms = p->started_ms;

      ss_promote_begin (node, p, group, p->term, "-restore");
      p->started_ms = started_ms;
      p->claim_lost = true;
      ss_promote_enter (node, p, SS_PROMOTE_LEAD);
      return;
    }
  if (p->step == SS_PROMOTE_CLAIM)
    p->step = SS_PROMOTE_CLAIM_READ;
  ss_promote_give_up (node, p,
                      "the platform's store has come back from a copy");
}

static void
start_promotion (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  ss_promote_begin (node, p, group,
                    node->dialect->platform_promotes
                        ? ss_coordinator_next_term (group)
                        : highest_term (group) + 1,
                    "");
  g_hash_table_remove_all (p->raised_positions);
  p->quorum_ms = 0;
  g_clear_pointer (&p->chosen, g_free);
  g_clear_pointer (&p->replaced_primary, g_free);
  if (p->requested)
    p->replaced_primary = g_strdup (group->primary);
  ss_node_count (node, SS_COUNTER_PROMOTIONS);
  ss_node_log (node, SS_EVENT_LOG_PROMOTION_STARTED, p->group,
               "term=%" G_GUINT64_FORMAT " old_primary=%s ordered=%d", p->term,
               group->primary, p->requested);
  ss_promote_enter (node, p, SS_PROMOTE_CLAIM);
  ss_promote_write_group (node, p, "");
}

static bool
is_primary_draining (const SsGroup *group)
{
  const SsTarget *primary = ss_group_primary (group);

  return primary && primary->draining && group->server_count > 1;
}

/* Whether so few voters are listed or answer that no promotion can raise enough
 * of them.
 */
static bool
lacks_voters (const SsGroup *group)
{
  uint32_t servers = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    if (!group->servers[i]->unlisted || group->servers[i]->state.reachable)
      servers |= 1U << i;
  return !ss_group_is_blocking (group, servers);
}

/* As tick_idle, where the platform carries out promotions. */
static void
tick_idle_platform (SsNode *node, SsPromotion *p, SsGroup *group)
{
  if (node->now_ms < p->retry_ms || node->stopping
      || ss_coordinator_rewrite (node, p, group) || !node->coordinates
      || ss_coordinator_adopt_primary (node, p, group))
    return;
  if (is_primary_draining (group))
    p->requested = true;
  else if (ss_coordinator_should_move (node, p, group))
    p->requested = true;
  else if (!p->requested && !ss_coordinator_is_primary_suspect (node, p, group))
    return;
  if (lacks_voters (group))
    return;
  if (!p->requested)
    ss_node_log (node, SS_EVENT_LOG_SUSPECT, p->group,
                 "primary=%s down_ms=%" G_GINT64_FORMAT, group->primary,
                 ss_coordinator_down_ms (node, p));
  start_promotion (node, p, group);
}

static void
tick_idle (SsNode *node, SsPromotion *p, SsGroup *group)
{
  if (node->dialect->platform_promotes)
    {
      tick_idle_platform (node, p, group);
      return;
    }
  if (node->now_ms < p->retry_ms || node->stopping
      || ss_coordinator_rewrite (node, p, group)
      || ss_promote_rank (node, p) >= COORDINATOR_RANKS)
    return;
  if (is_primary_draining (group) && p->rank == 0)
    p->requested = true;
  else if (!p->requested && !ss_suspicion_is_primary_suspect (node, p, group))
    return;
  if (!p->requested)
    ss_node_log (node, SS_EVENT_LOG_SUSPECT, p->group,
                 "primary=%s down_ms=%" G_GINT64_FORMAT " rank=%u",
                 group->primary, node->now_ms - p->primary_seen_ms, p->rank);
  start_promotion (node, p, group);
}

/* --- responses from the platform --- */

static void
finish_promotion (SsNode *node, SsPromotion *p)
{
  ss_node_log (node, SS_EVENT_LOG_PROMOTION_DONE, p->group,
               "term=%" G_GUINT64_FORMAT " primary=%s ms=%" G_GINT64_FORMAT,
               p->term, p->chosen, node->now_ms - p->started_ms);
  if (p->step != SS_PROMOTE_ADOPT)
    ss_predict_learn (&node->prediction, node->now_ms - p->started_ms);
  answer_operator (node, p, SS_VERDICT_RAN, "promoted");
  p->requested = false;
  p->retry_ms = node->now_ms + RETRY_MS;
  p->primary_seen_ms = node->now_ms;
  ss_promote_enter (node, p, SS_PROMOTE_IDLE);
}

/* Continues a promotion whose operation the group's object has. */
static void
continue_promotion (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  p->version = group->version;
  if (*group->primary)
    {
      finish_promotion (node, p);
      return;
    }
  if (p->step == SS_PROMOTE_NAME_READ)
    {
      ss_promote_enter (node, p, SS_PROMOTE_NAME);
      ss_promote_write_group (node, p, p->chosen);
      return;
    }
  ss_promote_enter (node, p, SS_PROMOTE_RAISE);
  if (node->dialect->platform_promotes)
    ss_lease_begin_release (node, p);
  ss_term_raise_tick (node, p, group);
}

/* Ends a promotion as the group's object has another operation.  If the
 * object's version has increased, this claim can no longer take effect: the
 * reply to the operator is then "not run".
 */
static void
abort_superseded (SsNode *node, SsPromotion *p, const SsGroup *group)
{
  if (p->step == SS_PROMOTE_CLAIM_READ && group && group->version > p->version)
    p->step = SS_PROMOTE_CLAIM;
  ss_promote_give_up (node, p, "another operation changed the group first");
}

static void
adopt_and_continue (SsNode *node, SsPromotion *p, const SsObject *object)
{
  SsGroup *group;

  ss_config_sync_publish (node, object);
  group = ss_config_group (&node->config, p->group);
  if (group && strcmp (group->operation, p->operation) == 0)
    continue_promotion (node, p, group);
  else
    abort_superseded (node, p, group);
}

void
ss_promote_handle_object (SsNode *node, uint64_t call,
                          SsPlatformOutcome outcome, const SsObject *object)
{
  GTree *promotions = node->promotions;
  SsPromotion *p;

  if (object->key && strcmp (object->key, SS_PROMOTE_DUTY_KEY) == 0)
    {
      ss_coordinator_handle_duty (node, call, outcome, object);
      return;
    }
  p = object->key && g_str_has_prefix (object->key, "group/")
          ? g_tree_lookup (promotions, strchr (object->key, '/') + 1)
          : NULL;

  if (!p || p->call != call || p->step == SS_PROMOTE_IDLE)
    return;
  if (ss_promote_is_void (node, p))
    return; /* the tick ends it */
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    {
      adopt_and_continue (node, p, object);
      return;
    }
  if (outcome == SS_PLATFORM_ABSENT)
    {
      ss_config_record_absent (&node->config, object->key, node->now_ms);
      ss_promote_give_up (node, p, "the platform has no such object");
      return;
    }
  if (p->step == SS_PROMOTE_CLAIM_READ || p->step == SS_PROMOTE_NAME_READ)
    return; /* the tick reads again */
  if (p->step == SS_PROMOTE_ADOPT)
    {
      ss_promote_give_up (node, p, "the platform did not accept the update");
      return;
    }
  /* Refused, or the response was lost: a read shows whether the update took
   * effect.
   */
  ss_promote_enter (node, p,
                    p->step == SS_PROMOTE_CLAIM ? SS_PROMOTE_CLAIM_READ
                                                : SS_PROMOTE_NAME_READ);
  p->asked_ms = node->now_ms;
}

/* --- ticks --- */

static void
tick_one (SsNode *node, SsPromotion *p, SsGroup *group)
{
  ss_suspicion_track_primary (node, p, group);
  if (node->dialect->platform_promotes)
    ss_coordinator_poll_replicas (node, p, group);
  if (ss_promote_is_void (node, p))
    {
      handle_restore (node, p, group);
      return;
    }
  if (p->step != SS_PROMOTE_IDLE && group->term > p->term)
    {
      ss_promote_give_up (node, p, "a later term is in force");
      return;
    }
  if (ss_promote_is_superseded (p, group))
    {
      ss_promote_give_up (node, p, "another operation changed the group");
      return;
    }
  if (p->step != SS_PROMOTE_IDLE
      && node->now_ms - p->since_ms >= STEP_TIMEOUT_MS)
    {
      ss_promote_give_up (node, p, "a promotion step timed out");
      return;
    }
  switch (p->step)
    {
    case SS_PROMOTE_IDLE:
      tick_idle (node, p, group);
      break;
    case SS_PROMOTE_RAISE:
      ss_term_raise_tick (node, p, group);
      break;
    case SS_PROMOTE_DUTY:
    case SS_PROMOTE_LEAD:
      ss_coordinator_tick (node, p);
      break;
    case SS_PROMOTE_CLAIM_READ:
    case SS_PROMOTE_NAME_READ:
      if (node->now_ms - p->asked_ms >= READ_RETRY_MS)
        get_group (node, p);
      break;
    default:
      break;
    }
}

static gboolean
collect_running (gpointer key, gpointer value, gpointer data)
{
  const SsPromotion *p = value;

  if (p->step != SS_PROMOTE_IDLE)
    g_ptr_array_add (data, g_strdup (key));
  return FALSE;
}

static gboolean
collect_group (gpointer key, gpointer value, gpointer data)
{
  (void) value;
  g_ptr_array_add (data, g_strdup (key));
  return FALSE;
}

/* Whether this VM may have to start a promotion of any group at once. */
static bool
watches_groups (const SsNode *node)
{
  return !node->dialect->platform_promotes || node->all_groups_since_ms;
}

/* Adds the names of the groups to look at in this tick to OUT. */
static void
collect_due (SsNode *node, GPtrArray *out)
{
  if (!watches_groups (node) && node->now_ms < node->groups_due_ms)
    {
      g_tree_foreach (node->promotions, collect_running, out);
      return;
    }
  node->groups_due_ms = node->now_ms + UNWATCHED_INTERVAL_MS;
  g_tree_foreach (node->config.groups, collect_group, out);
}

void
ss_promote_tick (SsNode *node)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  ss_coordinator_update_role (node);
  collect_due (node, names);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      SsGroup *group = ss_config_group (&node->config, name);
      SsPromotion *p;

      if (!group || !group->server_count)
        continue;
      p = ss_promote_get (node, name);
      tick_one (node, p, group);
      ss_voter_coordinator_tick (node, p, group);
    }
  g_ptr_array_free (names, TRUE);
}

void
ss_promote_request (SsNode *node, const char *group, const char *to,
                    uint64_t call)
{
  SsGroup *g = ss_config_group (&node->config, group);
  SsPromotion *p = ss_promote_get (node, group);

  /* An empty primary means that another VM's promotion is running. */
  if (p->step != SS_PROMOTE_IDLE || !*g->primary)
    {
      ss_admin_handle_promotion (node, call, SS_VERDICT_NOT_RUN,
                                 "a promotion of this group is already running",
                                 g->version);
      return;
    }
  g_free (p->requested_server);
  p->requested_server = to ? g_strdup (to) : NULL;
  p->requested = true;
  p->operator_call = call;
  start_promotion (node, p, g);
}
