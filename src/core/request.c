#include <string.h>

#include "core/entry.h"
#include "core/rate_limit.h"
#include "core/version.h"

/* Before the second attempt at the primary over a change of its owner, and
 * doubled before each further one: all VMs know of it within some 200 ms.
 */
#define OWNER_PAUSE_MS 20

void
ss_request_free (SsRequest *r)
{
  g_free (r->organisation);
  g_free (r->label);
  g_free (r->sql);
  g_free (r->shape);
  g_free (r->vm);
  g_free (r->target);
  for (uint32_t i = 0; i < r->tries && i < SS_REQUEST_RETRIES_MAX; i++)
    g_free (r->tried[i]);
  g_free (r);
}

SsGroup *
ss_session_group (SsNode *node, const SsSession *s)
{
  SsService *service = ss_config_service (&node->config, s->service);

  return service ? ss_config_group (&node->config, service->group) : NULL;
}

const char *
ss_session_identity (SsNode *node, const SsSession *s)
{
  const SsService *service = ss_config_service (&node->config, s->service);

  return service && service->identifies_callers ? s->user : "";
}

SsAction *
ss_session_reply (SsNode *node, const SsSession *s, SsVerdict verdict,
                  SsReason reason, uint32_t retry_after_ms)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_REPLY);

  a->id = s->id;
  a->verdict = verdict;
  a->reason = reason;
  a->retry_after_ms = retry_after_ms;
  a->transaction_status = s->status;
  node->stop.replied = true;
  if (verdict == SS_VERDICT_RAN)
    ss_node_count (node, SS_COUNTER_ACKNOWLEDGED);
  else if (verdict == SS_VERDICT_NOT_RUN)
    ss_node_count (node, SS_COUNTER_NOT_RUN);
  else
    ss_node_count (node, SS_COUNTER_MAY_HAVE_RUN);
  return a;
}

void
ss_session_reply_tag (SsNode *node, const SsSession *s, const char *tag)
{
  ss_session_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0)->text
      = g_strdup (tag);
}

void
ss_session_refuse (SsNode *node, const SsSession *s, SsReason reason,
                   const char *text)
{
  ss_session_reply (node, s, SS_VERDICT_NOT_RUN, reason, 0)->text
      = g_strdup (text);
}

/* Logs how the request ended, with the state that led to it: what it waited
 * for, its target and owner, the age of that target's reported state, the
 * floor, and what its text was made from.
 */
static void
log_end (SsNode *node, const SsRequest *r, SsVerdict verdict, SsReason reason)
{
  static const SsLogEvent events[]
      = { SS_EVENT_LOG_REQUEST_NOT_RUN, SS_EVENT_LOG_REQUEST_IN_DOUBT,
          SS_EVENT_LOG_REQUEST_RAN };
  const SsTarget *t
      = r->target ? ss_config_target (&node->config, r->target) : NULL;
  const SsGroup *group = ss_session_group (node, r->session);

  ss_node_log (
      node, events[verdict], r->label ? r->label : r->trace,
      "service=%s session=%" G_GUINT64_FORMAT
      " verdict=%s reason=%s target=%s view_age_ms=%" G_GINT64_FORMAT
      " owner=%s group_version=" SS_VERSION_FORMAT " term=%" G_GUINT64_FORMAT
      " primary=%s floor=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
      " read=%d begins=%d keeps=%d waited_for=%u tries=%u"
      " ms=%" G_GINT64_FORMAT " organisation=%s text_bytes=%u sent_bytes=%zu"
      " " SS_SHAPE_FORMAT,
      r->session->service, r->session->id, ss_verdict_name (verdict),
      ss_reason_name (reason), r->target ? r->target : "-",
      t ? node->now_ms - t->state_ms : -1, r->vm ? r->vm : "-",
      SS_VERSION_ARGS (group ? group->version : 0), group ? group->term : 0,
      group ? group->primary : "-", r->floor.term, r->floor.offset, r->is_read,
      r->begins, r->keeps, r->wait, r->tries, node->now_ms - r->started_ms,
      r->organisation ? r->organisation : "-", r->text_bytes, strlen (r->sql),
      SS_SHAPE_ARGS (r->shape_summary));
}

static void
count_end (SsNode *node, const SsRequest *r, SsVerdict verdict, SsReason reason)
{
  const SsService *service
      = ss_config_service (&node->config, r->session->service);
  int64_t goal_ms = service ? service->latency_goal_ms : 0;
  SsStatementEnd end
      = { .verdict = verdict, .reason = reason, .waited_ms = r->waited_ms };

  if (!node->config.organisations || !r->organisation)
    return;
  end.in_time = !goal_ms || node->now_ms - r->started_ms <= goal_ms;
  ss_organisation_stats_end (&node->organisation_stats, r->organisation, &end,
                             node->now_ms);
}

void
ss_request_log_end (SsNode *node, const SsRequest *r, SsVerdict verdict,
                    SsReason reason)
{
  ss_request_log_span (node, r, verdict);
  log_end (node, r, verdict, reason);
  count_end (node, r, verdict, reason);
}

void
ss_request_log_span (SsNode *node, const SsRequest *r, SsVerdict verdict)
{
  if (!node->params.spans)
    return;
  ss_node_log (node, SS_EVENT_LOG_SPAN, r->trace,
               "hop=entry target=%s ms=%" G_GINT64_FORMAT " verdict=%s",
               r->target ? r->target : "-", node->now_ms - r->started_ms,
               ss_verdict_name (verdict));
}

void
ss_request_end_attempt (SsNode *node, SsRequest *r)
{
  SsTarget *t = r->target ? ss_config_target (&node->config, r->target) : NULL;

  if (t && t->outstanding)
    t->outstanding--;
  g_clear_pointer (&r->vm, g_free);
  g_clear_pointer (&r->target, g_free);
}

void
ss_request_end_wait (SsNode *node, SsRequest *r)
{
  if (r->wait == SS_WAIT_STATUS)
    node->status_waiters--;
  if (r->wait == SS_WAIT_TOKEN)
    ss_rate_limit_end_wait (node, r);
  r->wait = SS_WAIT_NONE;
}

void
ss_request_drop (SsNode *node, SsRequest *r)
{
  g_hash_table_remove (node->requests, &r->id);
  if (!r->vm)
    ss_rate_limit_refund (node, r);
  ss_request_end_attempt (node, r);
  ss_request_end_wait (node, r);
  r->session->request = NULL;
  ss_request_free (r);
}

void
ss_session_unpin (SsSession *s)
{
  g_clear_pointer (&s->pinned_vm, g_free);
  g_clear_pointer (&s->pinned_target, g_free);
}

/* Clears the idempotency key, which is valid for one statement or one
 * transaction.  Otherwise the next statement would count as a repeat of this
 * one, whether or not this one was sent.
 */
void
ss_session_clear_request_key (SsSession *s)
{
  if (s->status == 'I')
    g_clear_pointer (&s->request_key, g_free);
}

void
ss_request_finish (SsNode *node, SsRequest *r, SsVerdict verdict,
                   SsReason reason, uint32_t retry_after_ms)
{
  SsSession *s = r->session;

  ss_request_log_end (node, r, verdict, reason);
  ss_request_drop (node, r);
  ss_session_clear_request_key (s);
  ss_session_reply (node, s, verdict, reason, retry_after_ms);
}

void
ss_session_send_end (SsNode *node, const SsSession *s, const char *vm,
                     bool rolls_back)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__SessionEnd end = SS__PEER__SESSION_END__INIT;

  end.session = s->id;
  end.rolls_back = rolls_back;
  e.body_case = SS__PEER__ENVELOPE__BODY_SESSION_END;
  e.session_end = &end;
  ss_node_send (node, vm, &e);
}

/* The transaction can't continue.  Further statements are refused until the
 * caller ends it, so that none of them runs outside of the transaction.
 */
void
ss_session_lose_transaction (SsNode *node, SsSession *s)
{
  if (s->pinned_vm)
    ss_session_send_end (node, s, s->pinned_vm, false);
  if (s->status != 'I')
    s->status = 'E';
  s->loss_unreported = s->status == 'E';
  s->begin_due = false;
  ss_session_unpin (s);
}

void
ss_session_note_loss_reported (SsSession *s, const char *sql)
{
  s->loss_unreported = false;
  if (ss_session_sql_ends_transaction (sql))
    s->status = 'I';
}

void
ss_request_abandon (SsNode *node, SsRequest *r, SsReason reason)
{
  SsSession *s = r->session;
  SsVerdict verdict
      = r->vm && r->keeps ? SS_VERDICT_MAY_HAVE_RUN : SS_VERDICT_NOT_RUN;

  if (r->vm && !s->pinned_vm)
    ss_session_send_end (node, s, r->vm, false);
  ss_session_lose_transaction (node, s);
  ss_session_note_loss_reported (s, r->sql);
  ss_request_finish (node, r, verdict, reason, SS_RETRY_SOON_MS);
}

void
ss_session_raise_floor (SsSession *s, SsPosition position)
{
  s->floor = ss_position_max (s->floor, position);
  s->floor_known = true;
}

void
ss_session_send_token (SsNode *node, const SsSession *s)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_PARAMETER);
  char text[SS_POSITION_TEXT_BYTES];

  ss_position_format (s->floor, text);
  a->id = s->id;
  a->name = g_strdup ("sapphirestair.token");
  a->text = g_strdup (text);
}

void
ss_request_begin_wait (SsNode *node, SsRequest *r, SsWait wait, int64_t wait_ms)
{
  r->wait = wait;
  r->wait_due_ms = node->now_ms + wait_ms;
  if (wait == SS_WAIT_STATUS)
    node->status_waiters++;
  if (wait == SS_WAIT_PRIMARY)
    ss_node_log (node, SS_EVENT_LOG_REQUEST_WAITS,
                 r->label ? r->label : r->trace,
                 "for=primary predicted_ms=%" G_GINT64_FORMAT
                 " left_ms=%" G_GINT64_FORMAT,
                 wait_ms, r->deadline_ms - node->now_ms);
}

/* --- further attempts --- */

/* Whether a further attempt may end in another way than for REASON. */
static bool
may_pass (SsReason reason)
{
  switch (reason)
    {
    case SS_REASON_TARGET_ERROR:
    case SS_REASON_CANCELLED:
    case SS_REASON_DEADLINE:
    case SS_REASON_BAD_STATEMENT:
    case SS_REASON_TOO_LARGE:
      return false;
    default:
      return true;
    }
}

bool
ss_request_may_retry (SsNode *node, SsRequest *r, SsVerdict verdict,
                      SsReason reason, bool sent)
{
  bool is_safe = verdict == SS_VERDICT_NOT_RUN
                 || (verdict == SS_VERDICT_MAY_HAVE_RUN && r->is_read);
  bool multiplexes_sessions = ss_dialect_multiplexes_sessions (node->dialect);

  /* A transaction stays on the connection that ran its first statement.  A
   * write is retried only where the dialect multiplexes sessions.  A statement
   * for the primary is not retried while that is overloaded or lacks a
   * majority: it would return to the same queue at once.
   */
  if (!is_safe || r->session->pinned_vm || (r->begins && sent)
      || (!r->is_read && !multiplexes_sessions)
      || (ss_route_needs_primary (node, r)
          && (reason == SS_REASON_OVERLOAD || reason == SS_REASON_NO_MAJORITY))
      || !may_pass (reason) || r->tries >= SS_REQUEST_RETRIES_MAX
      || node->now_ms >= r->deadline_ms)
    return false;
  if (ss_retry_budget_withdraw (&node->retry_budget))
    {
      if (sent || verdict == SS_VERDICT_MAY_HAVE_RUN)
        ss_rate_limit_spend (r);
      return true;
    }
  ss_node_count (node, SS_COUNTER_RETRIES_REFUSED);
  return false;
}

static int64_t
owner_pause_ms (const SsRequest *r)
{
  return (int64_t) OWNER_PAUSE_MS << (r->tries - 1);
}

/* Whether R, which an owner refused for REASON, was sent by an outdated view of
 * who owns the primary, or to a new owner that does not know it yet, and has
 * time for a pause.
 */
static bool
met_change_of_owner (SsNode *node, const SsRequest *r, SsReason reason)
{
  SsGroup *group = ss_session_group (node, r->session);

  return ss_route_needs_primary (node, r) && group
         && (reason == SS_REASON_NOT_OWNER || reason == SS_REASON_NO_PRIMARY)
         && ss_choice_write (node, group) != NULL
         && node->now_ms + owner_pause_ms (r) < r->deadline_ms;
}

void
ss_request_retry (SsNode *node, SsRequest *r, SsReason reason,
                  uint32_t retry_after_ms)
{
  ss_node_count (node, SS_COUNTER_RETRIES);
  ss_node_log (node, SS_EVENT_LOG_REQUEST_RETRIED,
               r->label ? r->label : r->trace,
               "target=%s owner=%s reason=%s tries=%u ms=%" G_GINT64_FORMAT,
               r->target, r->vm, ss_reason_name (reason), r->tries + 1,
               node->now_ms - r->started_ms);
  r->tried[r->tries++] = g_strdup (r->target);
  r->refusal = reason;
  r->retry_after_ms = retry_after_ms;
  ss_request_end_attempt (node, r);
  if (met_change_of_owner (node, r, reason))
    ss_request_begin_wait (node, r, SS_WAIT_OWNER, owner_pause_ms (r));
  else if (!r->is_read && reason == SS_REASON_NO_PRIMARY)
    ss_route_await_primary (node, r);
  else
    ss_route (node, r);
}

void
ss_request_cancel (SsNode *node, const SsRequest *r)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Cancel cancel = SS__PEER__CANCEL__INIT;

  cancel.request = r->id;
  e.body_case = SS__PEER__ENVELOPE__BODY_CANCEL;
  e.cancel = &cancel;
  ss_node_send (node, r->vm, &e);
}
