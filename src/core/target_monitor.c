/* target_monitor: polls and reports the state of a target that this VM owns,
 * and gives the target its role, over a control connection.
 */
#include <string.h>

#include "core/owner.h"

/* Interval between attempts to connect, and between statements that change the
 * server's role.
 */
#define CONTROL_RETRY_MS 100
/* Longest interval between attempts to connect that the target closes. */
#define CONTROL_RETRY_MAX_MS 800
/* Timeout of a statement on the control connection. */
#define CONTROL_TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 1000
/* How long a status request waits for the position that it names, where the
 * dialect does not multiplex sessions.
 */
#define POSITION_TIMEOUT_MS 80

/* --- reports --- */

/* The queue is known here only. */
static void
pack_state (SsNode *node, const SsOwnedTarget *owned, SsPackedState *out)
{
  const SsTarget *t = owned->target;
  SsServerState state = t->state;

  ss_owner_speed_fill (node, owned, &state);
  ss_state_pack (out, &state, node->now_ms - t->state_ms);
  out->message.wait_ms = ss_queue_wait_ms (&owned->queue, SS_QUEUE_READ,
                                           ss_pool_capacity (node, owned));
  out->message.mean_wait_ms = (uint32_t) owned->queue.mean_wait_ms;
  out->message.stalled_ms = ss_quorum_stalled_ms (node, owned);
}

/* Sends the target's state to VM, as the reply to its status request
 * REQUEST_ID (0: unsolicited).  SUBSCRIBER: the subscription of VM, or NULL.
 */
static void
send_report (SsNode *node, SsOwnedTarget *owned, const char *vm,
             uint64_t request_id, const SsSubscriber *subscriber)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusReport m = SS__PEER__STATUS_REPORT__INIT;
  Ss__Peer__Position confirmed;
  SsPosition position;
  SsPackedState packed;

  pack_state (node, owned, &packed);
  m.target = owned->target->name;
  m.ask = request_id;
  m.state = &packed.message;
  if (subscriber && ss_quorum_position (node, owned, &position, &m.mark_age_ms))
    {
      ss_position_pack (&confirmed, position);
      m.mark = &confirmed;
      m.mark_at_ms
          = ss_subscriber_time_ms (subscriber, node->now_ms - m.mark_age_ms);
    }
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_REPORT;
  e.status_report = &m;
  ss_node_send (node, vm, &e);
}

static bool
has_changed (const SsServerState *a, const SsServerState *b)
{
  return a->reachable != b->reachable || a->refused != b->refused
         || a->role != b->role || a->shown_term != b->shown_term
         || a->follow_term != b->follow_term
         || ss_position_compare (a->held, b->held) != 0
         || ss_position_compare (a->applied, b->applied) != 0;
}

/* Sends the target's state to its subscribers if it has changed and
 * report_min_ms have passed since the last report, or if report_idle_ms have.
 */
static void
send_reports (SsNode *node, SsOwnedTarget *owned)
{
  int64_t age_ms = node->now_ms - owned->reported_ms;
  bool changed = has_changed (&owned->reported, &owned->target->state)
                 || owned->speed_changed;
  const SsTiming *timing = &node->params.timing;
  GHashTableIter iter;
  gpointer vm;
  gpointer subscriber;

  if (age_ms < (changed ? timing->report_min_ms : timing->report_idle_ms))
    return;
  owned->reported = owned->target->state;
  owned->speed_changed = false;
  owned->reported_ms = node->now_ms;
  ss_subscribers_expire (owned->subscribers, node->now_ms);
  g_hash_table_iter_init (&iter, owned->subscribers);
  while (g_hash_table_iter_next (&iter, &vm, &subscriber))
    send_report (node, owned, vm, 0, subscriber);
}

/* As POSITION_TIMEOUT_MS, where the dialect multiplexes sessions. */
#define SESSION_POSITION_TIMEOUT_MS 400

void
ss_target_monitor_answer_requests (SsNode *node, SsOwnedTarget *owned)
{
  const SsServerState *s = &owned->target->state;

  for (guint i = owned->status_requests->len; i > 0; i--)
    {
      SsStatusRequest *r = g_ptr_array_index (owned->status_requests, i - 1);
      /* The log has the position, or a later term has superseded it. */
      bool settled = s->held.term > r->held.term
                     || (s->held.term == r->held.term
                         && s->held.offset >= r->held.offset)
                     || s->shown_term > r->held.term;

      if (owned->answered_poll < r->poll)
        continue;
      if (r->held.offset && !settled && node->now_ms < r->expires_ms)
        continue;
      send_report (node, owned, r->vm, r->request_id, NULL);
      g_ptr_array_remove_index (owned->status_requests, i - 1);
    }
  /* No poll is needed once no request is left. */
  if (!owned->status_requests->len
      && ss_dialect_multiplexes_sessions (node->dialect))
    owned->poll_due_ms
        = MAX (owned->poll_due_ms,
               owned->polled_ms + node->params.timing.poll_idle_ms);
}

/* --- the control connection --- */

static void
start_statement (SsNode *node, SsOwnedTarget *owned, SsControlStep step,
                 char *sql)
{
  SsAction *a = ss_node_push (node, SS_ACTION_TARGET_QUERY);

  owned->control->state = SS_CONNECTION_BUSY;
  owned->control_step = step;
  owned->control_started_ms = node->now_ms;
  a->id = owned->control->id;
  a->text = sql;
  a->want_row = true;
}

static void
start_poll (SsNode *node, SsOwnedTarget *owned)
{
  owned->poll++;
  owned->polled_ms = node->now_ms;
  owned->applied_since_poll = (SsPosition){ 0, 0 };
  start_statement (node, owned, SS_CONTROL_POLL,
                   node->dialect->status (node->dialect));
}

/* Returns the SQL, to be freed, that gives the server the role that its group's
 * configuration specifies, or NULL if nothing has to be done.
 */
static char *
reconcile (SsNode *node, SsOwnedTarget *owned, SsControlStep *step)
{
  SsGroup *group = ss_owned_group (node, owned);
  SsTarget *primary = group ? ss_group_primary (group) : NULL;
  const SsServerState *s = &owned->target->state;
  const SsDialect *d = node->dialect;

  if (!primary || !s->reachable || s->shown_term > group->term)
    return NULL;
  if (d->reconcile)
    {
      *step = SS_CONTROL_FOLLOW;
      return d->reconcile (d, owned->target, primary, group->term);
    }
  if (primary == owned->target)
    {
      *step = SS_CONTROL_PROMOTE;
      return s->role == SS_SERVER_PRIMARY && s->shown_term == group->term
                 ? NULL
                 : d->promote (d, group->term);
    }
  *step = SS_CONTROL_FOLLOW;
  return s->role == SS_SERVER_REPLICA && s->follow_term == group->term
             ? NULL
             : d->follow (d, group->term, primary);
}

static void
send_raise_replies (SsNode *node, SsOwnedTarget *owned, bool accepted)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RaiseReply m = SS__PEER__RAISE_REPLY__INIT;
  SsPackedState packed;

  pack_state (node, owned, &packed);
  m.target = owned->target->name;
  m.term = owned->raise_term;
  m.accepted = accepted;
  m.state = &packed.message;
  e.body_case = SS__PEER__ENVELOPE__BODY_RAISE_REPLY;
  e.raise_reply = &m;
  for (guint i = 0; i < owned->raise_requesters->len; i++)
    ss_node_send (node, g_ptr_array_index (owned->raise_requesters, i), &e);
  g_ptr_array_set_size (owned->raise_requesters, 0);
  owned->raise_term = 0;
}

/* Starts the next statement on an idle control connection. */
static void
start_next_statement (SsNode *node, SsOwnedTarget *owned)
{
  SsControlStep step = SS_CONTROL_NONE;
  char *sql;

  if (!owned->control || owned->control->state != SS_CONNECTION_IDLE)
    return;
  /* Raise requests are answered from a poll that starts after the raise. */
  if (owned->raise_term && owned->target->state.shown_term < owned->raise_term)
    {
      start_statement (node, owned, SS_CONTROL_RAISE,
                       node->dialect->raise (node->dialect, owned->target,
                                             owned->raise_term));
      return;
    }
  sql = owned->raise_term ? NULL : reconcile (node, owned, &step);
  if (sql && node->now_ms >= owned->control_after_ms)
    {
      owned->control_after_ms = node->now_ms + CONTROL_RETRY_MS;
      start_statement (node, owned, step, sql);
      return;
    }
  g_free (sql);
  if (node->now_ms >= owned->poll_due_ms || owned->raise_term)
    start_poll (node, owned);
}

static void
log_role (SsNode *node, const SsTarget *t, const SsServerState *old)
{
  if (!old->reachable)
    ss_node_log (node, SS_EVENT_LOG_TARGET_UP, t->name, "role=%s",
                 ss_server_role_text (t->state.role));
  if (old->role == t->state.role && old->shown_term == t->state.shown_term
      && old->follow_term == t->state.follow_term
      && old->barred_term == t->state.barred_term)
    return;
  ss_node_log (node, SS_EVENT_LOG_TARGET_TERM, t->name,
               "role=%s shown_term=%" G_GUINT64_FORMAT
               " follow_term=%" G_GUINT64_FORMAT
               " barred_term=%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT
               "/%" G_GUINT64_FORMAT,
               ss_server_role_text (t->state.role), t->state.shown_term,
               t->state.follow_term, t->state.barred_term, t->state.held.term,
               t->state.held.offset);
}

/* Takes STATE, as the last poll has told it.  Answers to statements that were
 * sent after that poll began are newer, but tell positions only: they must not
 * displace its role and terms.
 */
static void
adopt_poll (SsOwnedTarget *owned, const SsServerState *state)
{
  SsTarget *t = owned->target;
  SsPosition since_poll = owned->applied_since_poll;

  t->state = *state;
  t->state.applied = ss_position_max (state->applied, since_poll);
  t->state.held = ss_position_max (state->held, since_poll);
  t->state_ms = MAX (t->state_ms, owned->polled_ms);
  owned->answered_poll = owned->poll;
}

static void
handle_poll (SsNode *node, SsOwnedTarget *owned, const SsTargetResult *result)
{
  SsTarget *t = owned->target;
  SsServerState old = t->state;
  SsServerState state = { 0 };
  SsGroup *group = ss_owned_group (node, owned);

  /* Any response, also an error, shows that the server is reachable. */
  t->reachable_ms = node->now_ms;
  if (!result->ok
      || !node->dialect->read_status (node->dialect, result->row,
                                      result->row_cells, &state))
    return;
  state.reachable = true;
  adopt_poll (owned, &state);
  log_role (node, t, &old);
  if (owned->raise_term && state.shown_term >= owned->raise_term)
    send_raise_replies (node, owned, state.shown_term == owned->raise_term);
  ss_target_monitor_answer_requests (node, owned);
  send_reports (node, owned);
  if (group)
    ss_quorum_check (node, group);
}

/* Returns the time, in milliseconds, until the first status request needs a
 * poll.
 */
static int64_t
status_wait_ms (SsNode *node, const SsOwnedTarget *owned)
{
  int64_t wait_ms = SESSION_POSITION_TIMEOUT_MS;

  for (guint i = 0; i < owned->status_requests->len; i++)
    {
      const SsStatusRequest *r = g_ptr_array_index (owned->status_requests, i);

      wait_ms = MIN (wait_ms, r->poll_ms - node->now_ms);
    }
  return MAX (wait_ms, node->params.timing.poll_asked_ms);
}

static void
schedule_poll (SsNode *node, SsOwnedTarget *owned)
{
  const SsServerState *s = &owned->target->state;
  int64_t wait_ms = node->params.timing.poll_idle_ms;

  if (s->applied.offset < s->held.offset)
    wait_ms = node->params.timing.poll_lagging_ms;
  if (owned->status_requests->len)
    wait_ms = status_wait_ms (node, owned);
  owned->poll_due_ms = node->now_ms + wait_ms;
}

void
ss_target_monitor_result (SsNode *node, SsOwnedTarget *owned,
                          const SsTargetResult *result)
{
  SsControlStep step = owned->control_step;

  owned->control->state = SS_CONNECTION_IDLE;
  owned->control_step = SS_CONTROL_NONE;
  if (step == SS_CONTROL_POLL)
    {
      handle_poll (node, owned, result);
      schedule_poll (node, owned);
    }
  else
    {
      /* A poll shows the effect of the statement. */
      owned->poll_due_ms = node->now_ms;
      if (step == SS_CONTROL_RAISE)
        owned->target->state.shown_term
            = MAX (owned->target->state.shown_term, owned->raise_term);
    }
  start_next_statement (node, owned);
}

static void
mark_unreachable (SsNode *node, SsOwnedTarget *owned, bool refused)
{
  SsServerState *s = &owned->target->state;

  if (s->reachable)
    ss_node_log (node, SS_EVENT_LOG_TARGET_DOWN, owned->target->name, "%s",
                 refused ? "connection refused" : "no response");
  s->reachable = false;
  s->refused = refused;
  owned->target->state_ms = node->now_ms;
  ss_owner_unreachable (node, owned);
  send_reports (node, owned);
}

void
ss_target_monitor_ready (SsNode *node, SsOwnedTarget *owned)
{
  ss_backoff_reset (&owned->control_backoff);
  owned->poll_due_ms = node->now_ms;
  start_next_statement (node, owned);
}

void
ss_target_monitor_closed (SsNode *node, SsOwnedTarget *owned, bool refused)
{
  owned->control_step = SS_CONTROL_NONE;
  /* A connection that broke is replaced sooner than a refused one.  A target
   * that has too many connections closes each new one.
   */
  owned->control_after_ms
      = node->now_ms
        + (refused
               ? CONTROL_RETRY_MS
               : ss_backoff_next (&owned->control_backoff, node->rand,
                                  CONTROL_RETRY_MS / 10, CONTROL_RETRY_MAX_MS));
  if (refused)
    mark_unreachable (node, owned, true);
}

static void
check_connection (SsNode *node, SsOwnedTarget *owned)
{
  SsConnection *c = owned->control;
  int64_t timeout_ms;
  int64_t since_ms;

  if (!c)
    {
      if (node->now_ms >= owned->control_after_ms)
        owned->control = ss_pool_connect (node, owned, "", true);
      return;
    }
  if (c->state == SS_CONNECTION_IDLE)
    return;
  timeout_ms = c->state == SS_CONNECTION_CONNECTING ? CONNECT_TIMEOUT_MS
                                                    : CONTROL_TIMEOUT_MS;
  since_ms = c->state == SS_CONNECTION_CONNECTING ? c->since_ms
                                                  : owned->control_started_ms;
  if (node->now_ms - since_ms < timeout_ms)
    return;
  owned->control = NULL;
  owned->control_step = SS_CONTROL_NONE;
  ss_pool_close (node, c);
}

void
ss_target_monitor_tick (SsNode *node, SsOwnedTarget *owned)
{
  SsTarget *t = owned->target;

  check_connection (node, owned);
  /* What the previous owner last saw may be older than its loss took to show:
   * that is no silence of the target.
   */
  if (t->state.reachable
      && node->now_ms - MAX (t->reachable_ms, owned->owner_since_ms)
             >= node->params.timing.unreachable_ms)
    mark_unreachable (node, owned, false);
  ss_owner_speed_tick (node, owned);
  if (!t->state.reachable || owned->speed_changed
      || node->now_ms - owned->reported_ms
             >= node->params.timing.report_idle_ms)
    send_reports (node, owned);
  if (node->now_ms - MAX (t->reachable_ms, owned->polled_ms)
      >= node->params.timing.silence_ms)
    owned->poll_due_ms = node->now_ms;
  start_next_statement (node, owned);
}

void
ss_target_monitor_poll_soon (SsNode *node, SsOwnedTarget *owned)
{
  owned->poll_due_ms = node->now_ms;
  start_next_statement (node, owned);
}

/* --- messages --- */

void
ss_target_monitor_handle_status_ask (SsNode *node, const char *from,
                                     const Ss__Peer__StatusAsk *m)
{
  SsOwnedTarget *owned = ss_owner_find (node, m->target);
  SsStatusRequest *r;

  if (!owned || !owned->active)
    return;
  r = g_new0 (SsStatusRequest, 1);
  r->vm = g_strdup (from);
  r->request_id = m->ask;
  r->held = ss_position_unpack (m->held);
  r->poll = owned->poll + 1;
  r->poll_ms = node->now_ms;
  r->expires_ms = node->now_ms + POSITION_TIMEOUT_MS;
  g_ptr_array_add (owned->status_requests, r);
  if (!r->held.offset || !ss_dialect_multiplexes_sessions (node->dialect))
    {
      ss_target_monitor_poll_soon (node, owned);
      return;
    }
  /* The results of other statements may show the position before a poll is due.
   */
  r->poll = 0;
  r->poll_ms = node->now_ms + m->poll_after_ms;
  r->expires_ms = node->now_ms + SESSION_POSITION_TIMEOUT_MS;
  owned->poll_due_ms = MIN (owned->poll_due_ms, r->poll_ms);
  ss_target_monitor_answer_requests (node, owned);
}

void
ss_target_monitor_subscribe (SsNode *node, SsOwnedTarget *owned, const char *vm,
                             int64_t sent_ms)
{
  if (ss_subscribers_renew (owned->subscribers, vm, sent_ms, node->now_ms))
    send_report (node, owned, vm, 0,
                 g_hash_table_lookup (owned->subscribers, vm));
}

void
ss_target_monitor_handle_raise_ask (SsNode *node, const char *from,
                                    const Ss__Peer__RaiseAsk *request)
{
  SsOwnedTarget *owned = ss_owner_find (node, request->target);

  if (!owned || !owned->active || request->term < owned->raise_term)
    return;
  if (request->term > owned->raise_term)
    g_ptr_array_set_size (owned->raise_requesters, 0);
  owned->raise_term = request->term;
  for (guint i = 0; i < owned->raise_requesters->len; i++)
    if (strcmp (g_ptr_array_index (owned->raise_requesters, i), from) == 0)
      return;
  g_ptr_array_add (owned->raise_requesters, g_strdup (from));
  start_next_statement (node, owned);
}
