#include "core/node.h"

#include <string.h>

#include "core/entry_speed.h"
#include "core/fanout_send.h"
#include "core/identity.h"
#include "core/internal.h"
#include "core/rate_limit.h"
#include "core/subscription.h"
#include "kernel/compare.h"

/* If no event was processed for this long, the process was paused. */
#define PAUSE_MS 700

static void
promotion_free (gpointer data)
{
  SsPromotion *p = data;

  g_free (p->group);
  g_free (p->requested_server);
  g_free (p->replaced_primary);
  g_free (p->chosen);
  g_hash_table_destroy (p->raised_positions);
  g_clear_pointer (&p->released, g_hash_table_destroy);
  g_clear_pointer (&p->agreement.adopted, g_hash_table_destroy);
  g_free (p);
}

void
ss_node_init (SsNode *node, const SsNodeParams *params, int64_t now_ms)
{
  uint64_t life;

  memset (node, 0, sizeof *node);
  node->params = *params;
  ss_timing_fill_defaults (&node->params.timing);
  if (!node->params.watches)
    node->params.watches = 1U << SS_WATCH_ALL;
  /* With a single watch the platform lists the VMs before any target. */
  node->settled = (node->params.watches & (1U << SS_WATCH_ALL)) != 0;
  node->now_ms = now_ms;
  node->started_ms = now_ms;
  node->ticked_ms = now_ms;
  node->rand = g_rand_new_with_seed (params->seed);
  node->dialect = params->dialect ? params->dialect : ss_dialect_sql ();

  /* Random start, so that ids of different incarnations of this VM do not
   * collide.
   */
  node->next_request = (uint64_t) g_rand_int (node->rand) << 32;
  node->next_status_request = (uint64_t) g_rand_int (node->rand) << 32;
  life = node->next_request | node->next_status_request >> 32;
  node->lease_nonce = life;
  node->first_sequence = life;
  ss_duty_init (&node->duty, life);
  ss_lease_listing_init (&node->lease_listing, life);
  g_queue_init (&node->actions);
  g_queue_init (&node->local);
  g_queue_init (&node->lost_vms);
  ss_config_init (&node->config);
  ss_organisation_stats_init (&node->organisation_stats, now_ms);
  ss_members_init (&node->members, params->vm, params->failure_domain,
                   params->ip, params->peer_port, now_ms);
  ss_members_set_capacity (&node->members,
                           ss_members_find (&node->members, params->vm),
                           params->capacity_millicores);
  ss_retry_budget_init (&node->retry_budget);
  node->pending_deletions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ss_lease_keeper_init (&node->lease_keeper);
  ss_relay_init (node);
  ss_fanout_init (&node->fanout);
  ss_subscription_init (node);
  ss_rate_limit_init (node);
  ss_startup_init (node);
  ss_entry_init (node);
  ss_entry_speed_init (node);
  ss_owner_init (node);
  ss_admin_init (node);
  node->confirmed_positions
      = g_tree_new_full (ss_compare_strings, NULL, NULL, ss_confirmed_free);
  node->promotions
      = g_tree_new_full (ss_compare_strings, NULL, NULL, promotion_free);
}

void
ss_node_finish (SsNode *node)
{
  SsAction action;
  GBytes *bytes;

  ss_entry_finish (node);
  ss_entry_speed_finish (node);
  ss_owner_finish (node);
  ss_admin_finish (node);
  ss_relay_finish (node);
  ss_fanout_finish (&node->fanout);
  ss_subscription_finish (node);
  ss_rate_limit_finish (node);
  ss_startup_finish (node);
  while (ss_node_take_action (node, &action))
    ss_action_clear (&action);
  while ((bytes = g_queue_pop_head (&node->local)))
    g_bytes_unref (bytes);
  g_queue_clear_full (&node->lost_vms, g_free);
  g_tree_destroy (node->confirmed_positions);
  g_hash_table_destroy (node->pending_deletions);
  ss_lease_listing_finish (&node->lease_listing);
  ss_lease_keeper_finish (&node->lease_keeper);
  g_tree_destroy (node->promotions);
  ss_organisation_stats_finish (&node->organisation_stats);
  ss_config_finish (&node->config);
  ss_members_finish (&node->members);
  g_clear_pointer (&node->vms_json, g_bytes_unref);
  g_rand_free (node->rand);
}

bool
ss_node_takes_callers (const SsNode *node)
{
  return node->ready && !node->stopping && !node->isolated;
}

bool
ss_node_take_action (SsNode *node, SsAction *action)
{
  SsAction *a = g_queue_pop_head (&node->actions);

  if (!a)
    return false;
  *action = *a;
  g_free (a);
  ss_platform_calls_count (&node->platform_calls, action);
  return true;
}

/* --- messages --- */

static void
handle_status_reports (SsNode *node, const Ss__Peer__StatusReports *m)
{
  for (size_t i = 0; i < m->n_reports; i++)
    ss_subscription_handle_report (node, m->reports[i]);
}

static void
dispatch_envelope (SsNode *node, const SsEnvelope *e)
{
  switch (e->body_case)
    {
    case SS__PEER__ENVELOPE__BODY_HEARTBEAT:
      ss_peers_handle_heartbeat (node, e->heartbeat);
      break;
    case SS__PEER__ENVELOPE__BODY_RUN:
      ss_job_run (node, e->from, e->run);
      break;
    case SS__PEER__ENVELOPE__BODY_RUN_REPLY:
      ss_entry_handle_reply (node, e->from, e->run_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_CANCEL:
      ss_owner_cancel (node, e->from, e->cancel->request);
      break;
    case SS__PEER__ENVELOPE__BODY_SESSION_END:
      ss_owner_session_end (node, e->from, e->session_end);
      break;
    case SS__PEER__ENVELOPE__BODY_STATUS_ASK:
      ss_target_monitor_handle_status_ask (node, e->from, e->status_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_STATUS_REPORT:
      ss_subscription_handle_report (node, e->status_report);
      break;
    case SS__PEER__ENVELOPE__BODY_STATUS_REPORTS:
      handle_status_reports (node, e->status_reports);
      break;
    case SS__PEER__ENVELOPE__BODY_SUBSCRIBE:
      ss_subscription_handle (node, e->from, e->subscribe);
      break;
    case SS__PEER__ENVELOPE__BODY_MARK_ASK:
      ss_quorum_handle_mark_ask (node, e->from, e->mark_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_MARK_REPLY:
      ss_confirmed_handle_reply (node, e->mark_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_RAISE_ASK:
      ss_target_monitor_handle_raise_ask (node, e->from, e->raise_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_CLAIM_ASK:
      ss_lease_handle_claim_ask (node, e->from, e->claim_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_CLAIM_REPLY:
      ss_lease_handle_claim_reply (node, e->from, e->claim_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_DIGEST:
      ss_relay_handle_digest (node, e->from, e->digest);
      break;
    case SS__PEER__ENVELOPE__BODY_DOMAIN_REPORT:
      ss_relay_handle_report (node, e->from, e->domain_report);
      break;
    case SS__PEER__ENVELOPE__BODY_LEASE_ASK:
      ss_lease_handle_ask (node, e->from, e->lease_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_DIRECTORY_ASK:
      ss_directory_handle_ask (node, e->from, e->directory_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_VOTERS_ASK:
      ss_voter_coordinator_handle_ask (node, e->from, e->voters_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_VOTERS_REPLY:
      ss_voter_coordinator_handle_reply (node, e->from, e->voters_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_LEASE_REPLY:
      ss_lease_handle_reply (node, e->lease_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_RATE_ASK:
      ss_rate_limit_handle_ask (node, e->from, e->rate_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_RATE_GRANT:
      ss_rate_limit_handle_grant (node, e->from, e->rate_grant);
      break;
    case SS__PEER__ENVELOPE__BODY_RAISE_REPLY:
      ss_term_raise_handle_reply (node, e->raise_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_CONFIG_PULL:
      ss_config_sync_handle_pull (node, e->from, e->config_pull);
      break;
    case SS__PEER__ENVELOPE__BODY_CONFIG_PUSH:
      ss_config_sync_handle_push (node, e->from, e->config_push);
      break;
    case SS__PEER__ENVELOPE__BODY_ROWS_ASK:
      ss_admin_show_handle_rows_ask (node, e->from, e->rows_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_ROWS_REPLY:
      ss_admin_show_handle_rows_reply (node, e->from, e->rows_reply);
      break;
    case SS__PEER__ENVELOPE__BODY_STOP_ASK:
      ss_admin_handle_stop_ask (node, e->from, e->stop_ask);
      break;
    case SS__PEER__ENVELOPE__BODY_STOP_REPLY:
      ss_admin_handle_stop_reply (node, e->stop_reply);
      break;
    default:
      break;
    }
}

static void
handle_message (SsNode *node, const uint8_t *data, size_t bytes)
{
  SsEnvelope *e = ss__peer__envelope__unpack (NULL, bytes, data);

  if (!e)
    {
      ss_node_log (node, SS_EVENT_LOG_PEER_INVALID, "peer", "%zu bytes", bytes);
      return;
    }
  dispatch_envelope (node, e);
  ss__peer__envelope__free_unpacked (e, NULL);
}

static void
deliver_local (SsNode *node)
{
  GBytes *bytes;

  while ((bytes = g_queue_pop_head (&node->local)))
    {
      gsize length;
      const uint8_t *data = g_bytes_get_data (bytes, &length);

      handle_message (node, data, length);
      g_bytes_unref (bytes);
    }
}

/* --- ticks --- */

static gboolean
retry_confirmed (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  ss_confirmed_retry (data, value);
  return FALSE;
}

/* Shifts the time of a member's last message by the length of a pause of this
 * process.  Silence during the pause is no sign of failure: heartbeats of other
 * VMs may still be waiting to be read.
 */
static gboolean
shift_heard (gpointer key, gpointer value, gpointer data)
{
  SsMember *m = value;

  (void) key;
  m->heard_ms += *(int64_t *) data;
  return FALSE;
}

static void
check_pause (SsNode *node, int64_t now_ms)
{
  int64_t gap_ms = now_ms - node->now_ms;

  if (gap_ms < PAUSE_MS)
    return;
  g_tree_foreach (node->members.by_name, shift_heard, &gap_ms);
  node->now_ms = now_ms;
  ss_promote_resumed (node);
  ss_node_log (node, SS_EVENT_LOG_PAUSED, node->params.vm,
               "ms=%" G_GINT64_FORMAT, gap_ms);
}

static bool has_status_requests (const SsNode *node);

static int64_t
tick_interval_ms (const SsNode *node)
{
  if (has_status_requests (node))
    return node->params.timing.tick_asked_ms;
  return g_hash_table_size (node->requests) ? node->params.timing.tick_busy_ms
                                            : node->params.timing.tick_idle_ms;
}

static gboolean
find_status_requests (gpointer key, gpointer value, gpointer data)
{
  const SsOwnedTarget *o = value;

  (void) key;
  if (o->status_requests->len == 0 && !o->raise_term)
    return FALSE;
  *(bool *) data = true;
  return TRUE;
}

static bool
has_status_requests (const SsNode *node)
{
  bool found = false;

  g_tree_foreach (node->owned, find_status_requests, &found);
  return found;
}

/* Ends the requests that were sent to lost VMs, and the sessions that these had
 * here.
 */
static void
handle_lost_vms (SsNode *node)
{
  char *vm;

  while ((vm = g_queue_pop_head (&node->lost_vms)))
    {
      ss_pending_vm_lost (node, vm);
      ss_owner_vm_lost (node, vm);
      g_free (vm);
    }
}

static void
tick_members (SsNode *node)
{
  uint64_t generation = node->members.generation;

  ss_peers_update_members (node);
  handle_lost_vms (node);
  if (generation != node->members.generation
      || node->subscribed_generation != node->members.generation)
    ss_owner_update (node);
  ss_subscription_tick (node);
}

static void
tick (SsNode *node)
{
  if (node->now_ms - node->ticked_ms < tick_interval_ms (node))
    return;
  node->ticked_ms = node->now_ms;
  tick_members (node);
  ss_peers_tick (node);
  ss_fanout_send (node);
  ss_startup_tick (node);
  ss_owner_tick (node);
  ss_promote_tick (node);
  ss_admin_tick (node);
  ss_directory_tick (node);
  ss_lease_tick (node);
  ss_isolation_tick (node);
  g_tree_foreach (node->confirmed_positions, retry_confirmed, node);
  ss_rate_limit_tick (node);
  ss_pending_tick (node);
  if (node->stopping)
    ss_stop_tick (node);
}

int64_t
ss_node_next_deadline (const SsNode *node)
{
  return node->ticked_ms + tick_interval_ms (node);
}

/* --- events --- */

static void
handle_peer_lost (SsNode *node, const char *vm)
{
  ss_members_record_disconnect (&node->members, vm, node->now_ms);
  ss_pending_vm_lost (node, vm);
  ss_owner_vm_lost (node, vm);
}

static bool
is_answered (SsPlatformOutcome outcome)
{
  return outcome != SS_PLATFORM_UNKNOWN && outcome != SS_PLATFORM_REFUSED;
}

/* Records the era of the store that responded, before what it responded. */
static void
observe_era (SsNode *node, const SsEvent *e)
{
  SsPlatformOutcome outcome = e->kind == SS_EVENT_PLATFORM_OBJECTS
                                  ? e->platform_objects.outcome
                                  : e->platform_object.outcome;

  if (e->kind != SS_EVENT_PLATFORM_OBJECTS
      && e->kind != SS_EVENT_PLATFORM_OBJECT)
    return;
  ss_era_observe (node, e->era, "platform");
  if (is_answered (outcome))
    ss_era_confirm (node);
}

/* The core keeps only the digest of the key that a caller presents. */
static void
open_session (SsNode *node, const SsEvent *e)
{
  char digest[SS_KEY_DIGEST_BYTES];

  ss_identity_digest (e->caller_open.key, digest);
  ss_entry_open (node, e->caller_open.caller, e->caller_open.service,
                 e->caller_open.user, digest, e->caller_open.settings);
}

static void
dispatch_event (SsNode *node, const SsEvent *e)
{
  observe_era (node, e);
  switch (e->kind)
    {
    case SS_EVENT_CALLER_OPEN:
      open_session (node, e);
      break;
    case SS_EVENT_CALLER_STATEMENT:
      ss_entry_statement (node, e->caller_statement.caller,
                          e->caller_statement.label, e->caller_statement.sql);
      break;
    case SS_EVENT_CALLER_CANCEL:
      ss_entry_cancel (node, e->caller.caller);
      break;
    case SS_EVENT_CALLER_CLOSE:
      ss_entry_close (node, e->caller.caller);
      break;
    case SS_EVENT_PEER_MESSAGE:
      handle_message (node, e->peer_message.data, e->peer_message.data_bytes);
      break;
    case SS_EVENT_PEER_LOST:
      handle_peer_lost (node, e->peer_lost.vm);
      break;
    case SS_EVENT_TARGET_READY:
      ss_owner_ready (node, e->target.connection);
      break;
    case SS_EVENT_TARGET_CLOSED:
      ss_owner_closed (node, e);
      break;
    case SS_EVENT_TARGET_RESULT:
      ss_job_result (node, e->target_result.connection,
                     e->target_result.result);
      break;
    case SS_EVENT_PLATFORM_OBJECTS:
      ss_watch_handle_objects (node, e);
      break;
    case SS_EVENT_PLATFORM_PROMOTED:
      ss_coordinator_handle_call (node, e->platform_object.call,
                                  e->platform_object.outcome);
      break;
    case SS_EVENT_PLATFORM_OBJECT:
      ss_promote_handle_object (node, e->platform_object.call,
                                e->platform_object.outcome,
                                &e->platform_object.object);
      ss_voter_coordinator_handle_object (node, e->platform_object.call,
                                          e->platform_object.outcome,
                                          &e->platform_object.object);
      ss_admin_handle_object (node, e->platform_object.call,
                              e->platform_object.outcome,
                              &e->platform_object.object);
      ss_directory_handle_object (node, e->platform_object.outcome,
                                  &e->platform_object.object);
      break;
    case SS_EVENT_PLATFORM_VMS:
      node->vms_requested = false;
      if (e->platform_vms.json)
        ss_watch_handle_vms (node, e->platform_vms.json,
                             e->platform_vms.json_bytes);
      break;
    case SS_EVENT_STOP:
      ss_node_begin_shutdown (node);
      break;
    case SS_EVENT_OPERATOR:
      ss_admin_handle_command (node, e->operator_command.id,
                               e->operator_command.text,
                               e->operator_command.may_change);
      break;
    case SS_EVENT_TICK:
    default:
      break;
    }
}

void
ss_node_on_event (SsNode *node, const SsEvent *event, int64_t now_ms)
{
  check_pause (node, now_ms);
  node->now_ms = now_ms;
  dispatch_event (node, event);
  deliver_local (node);
  tick (node);
  deliver_local (node);
  if (node->stopping)
    ss_stop_end_sessions (node);
}
