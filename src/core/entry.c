#include <string.h>

#include "core/internal.h"

#define TRIES_MAX 4
#define MARK_WAIT_MS 500
#define VIEW_WAIT_MS 500
/* The owner's verdict is the better one: it gets this long to arrive. */
#define OWNER_GRACE_MS 100
#define KEY_MAX_BYTES 64

static void
clear_request (SsRequest *r)
{
  g_free (r->sql);
  g_free (r->vm);
  g_free (r->target);
  for (uint32_t i = 0; i < r->tries && i < TRIES_MAX; i++)
    g_free (r->tried[i]);
  g_free (r);
}

static void
clear_session (gpointer data)
{
  SsSession *s = data;

  g_free (s->service);
  g_free (s->kind);
  g_free (s->request_key);
  g_free (s->trace);
  g_free (s->pinned_vm);
  g_free (s->pinned_target);
  g_free (s);
}

void
ss_entry_init (SsNode *node)
{
  node->sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          clear_session);
  node->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
ss_entry_finish (SsNode *node)
{
  GHashTableIter iter;
  gpointer request;

  g_hash_table_iter_init (&iter, node->requests);
  while (g_hash_table_iter_next (&iter, NULL, &request))
    clear_request (request);
  g_hash_table_destroy (node->requests);
  g_hash_table_destroy (node->sessions);
}

static SsSession *
find_session (SsNode *node, uint64_t id)
{
  return g_hash_table_lookup (node->sessions, &id);
}

static SsGroup *
session_group (SsNode *node, const SsSession *s)
{
  SsService *service = ss_config_service (&node->config, s->service);

  return service ? ss_config_group (&node->config, service->group) : NULL;
}

/* --- replies --- */

static SsAction *
push_reply (SsNode *node, const SsSession *s, SsVerdict verdict,
            SsReason reason, uint32_t retry_after_ms)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_REPLY);

  a->id = s->id;
  a->verdict = verdict;
  a->reason = reason;
  a->retry_after_ms = retry_after_ms;
  a->transaction_status = s->status;
  if (verdict == SS_VERDICT_RAN)
    ss_node_count (node, SS_COUNTER_ACKNOWLEDGED);
  else if (verdict == SS_VERDICT_NOT_RUN)
    ss_node_count (node, SS_COUNTER_NOT_RUN);
  else
    ss_node_count (node, SS_COUNTER_MAY_HAVE_RUN);
  return a;
}

static void
reply_tag (SsNode *node, const SsSession *s, const char *tag)
{
  push_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0)->text
      = g_strdup (tag);
}

static void
reply_refusal (SsNode *node, const SsSession *s, SsReason reason,
               const char *text)
{
  push_reply (node, s, SS_VERDICT_NOT_RUN, reason, 0)->text = g_strdup (text);
}

static void
log_span (SsNode *node, const SsRequest *r, SsVerdict verdict)
{
  if (!node->params.spans)
    return;
  ss_node_log (node, SS_EVENT_LOG_SPAN, r->trace,
               "hop=entry target=%s ms=%" G_GINT64_FORMAT " verdict=%s",
               r->target ? r->target : "-", node->now_ms - r->started_ms,
               ss_verdict_name (verdict));
}

static void
forget_sent (SsNode *node, SsRequest *r)
{
  SsTarget *t = r->target ? ss_config_target (&node->config, r->target) : NULL;

  if (t && t->outstanding)
    t->outstanding--;
  g_clear_pointer (&r->vm, g_free);
  g_clear_pointer (&r->target, g_free);
}

static void
end_wait (SsNode *node, SsRequest *r)
{
  if (r->wait == SS_WAIT_VIEW)
    node->view_waiters--;
  r->wait = SS_WAIT_NONE;
}

static void
drop_request (SsNode *node, SsRequest *r)
{
  g_hash_table_remove (node->requests, &r->id);
  forget_sent (node, r);
  end_wait (node, r);
  r->session->request = NULL;
  clear_request (r);
}

static void
unpin (SsSession *s)
{
  g_clear_pointer (&s->pinned_vm, g_free);
  g_clear_pointer (&s->pinned_target, g_free);
}

/* A request id holds for one statement, or for the transaction that it
 * begins: the next statement must not pass for its repeat, whether or not
 * this one was sent.
 */
static void
drop_key (SsSession *s)
{
  if (s->status == 'I')
    g_clear_pointer (&s->request_key, g_free);
}

/* Answers the caller without a result. */
static void
finish_request (SsNode *node, SsRequest *r, SsVerdict verdict, SsReason reason,
                uint32_t retry_after_ms)
{
  SsSession *s = r->session;

  log_span (node, r, verdict);
  drop_request (node, r);
  drop_key (s);
  push_reply (node, s, verdict, reason, retry_after_ms);
}

static void
send_session_end (SsNode *node, const SsSession *s, const char *vm)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__SessionEnd end = SS__PEER__SESSION_END__INIT;

  end.session = s->id;
  e.body_case = SS__PEER__ENVELOPE__BODY_SESSION_END;
  e.session_end = &end;
  ss_node_send (node, vm, &e);
}

/* The transaction can't go on: further statements are refused until the
 * caller ends it, so that none of them runs outside of it.
 */
static void
lose_transaction (SsNode *node, SsSession *s)
{
  if (s->pinned_vm)
    send_session_end (node, s, s->pinned_vm);
  if (s->status != 'I')
    s->status = 'E';
  unpin (s);
}

/* Gives up on a request that may be at its owner. */
static void
abandon_request (SsNode *node, SsRequest *r, SsReason reason)
{
  SsSession *s = r->session;
  SsVerdict verdict = r->vm ? SS_VERDICT_MAY_HAVE_RUN : SS_VERDICT_NOT_RUN;

  if (r->vm && !s->pinned_vm)
    send_session_end (node, s, r->vm);
  lose_transaction (node, s);
  finish_request (node, r, verdict, reason, SS_RETRY_SOON_MS);
}

/* --- sending --- */

static void
draw_trace (SsNode *node, SsRequest *r)
{
  if (r->session->trace)
    {
      g_strlcpy (r->trace, r->session->trace, sizeof r->trace);
      return;
    }
  g_snprintf (r->trace, sizeof r->trace, "%08x%08x%08x%08x",
              g_rand_int (node->rand), g_rand_int (node->rand),
              g_rand_int (node->rand), g_rand_int (node->rand));
}

static bool
key_goes_with (const SsSession *s, const SsRequest *r)
{
  if (!s->request_key || r->is_read)
    return false;
  if (s->pinned_vm)
    return ss_local_first_word (r->sql, "commit")
           || ss_local_first_word (r->sql, "end");
  return !ss_local_first_word (r->sql, "begin")
         && !ss_local_first_word (r->sql, "start");
}

static void
send_run (SsNode *node, SsRequest *r, const char *vm, const char *target,
          bool pinned)
{
  SsSession *s = r->session;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Run run = SS__PEER__RUN__INIT;
  Ss__Peer__Position floor;
  SsTarget *t = ss_config_target (&node->config, target);

  g_hash_table_remove (node->requests, &r->id);
  r->id = ++node->next_request;
  g_hash_table_insert (node->requests, &r->id, r);
  r->vm = g_strdup (vm);
  r->target = g_strdup (target);
  if (t)
    t->outstanding++;
  r->sends_key = key_goes_with (s, r);
  run.request = r->id;
  run.session = s->id;
  run.target = r->target;
  run.service = s->service;
  run.sql.data = (uint8_t *) r->sql;
  run.sql.len = strlen (r->sql);
  run.is_read = r->is_read;
  run.pinned = pinned;
  ss_position_pack (&floor, r->floor);
  run.floor = &floor;
  run.left_ms = (uint32_t) MAX (r->deadline_ms - node->now_ms, 0);
  if (r->sends_key)
    run.request_key = s->request_key;
  run.trace = r->trace;
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &run;
  ss_node_send (node, vm, &e);
}

/* --- floors --- */

static void
raise_floor (SsSession *s, SsPosition position)
{
  s->floor = ss_position_max (s->floor, position);
  s->floor_known = true;
}

/* Finds the floor that the read has to reach; false where a confirmed
 * position is still to be waited for.
 */
static bool
find_floor (SsNode *node, SsRequest *r, SsMarks *marks)
{
  SsSession *s = r->session;
  SsMark mark;

  r->floor = s->floor;
  if (r->strict)
    {
      if (marks->latest.ask <= r->start_ask)
        return false;
      r->floor = ss_position_max (s->floor, marks->latest.position);
      return true;
    }
  if (r->staleness_ms == 0)
    {
      if (s->floor_known)
        return true;
      if (marks->latest.ask <= s->arrival_ask)
        return false;
      raise_floor (s, marks->latest.position);
      r->floor = s->floor;
      return true;
    }
  if (!ss_marks_within (marks, node->now_ms - r->staleness_ms, &mark))
    return false;
  r->floor = ss_position_max (s->floor, mark.position);
  /* Ask early, so that the next read finds a mark in time. */
  if (node->now_ms - marks->latest.asked_ms > r->staleness_ms / 4)
    ss_marks_ask (node, marks);
  return true;
}

/* --- routing --- */

/* Before the first report of a group's servers nothing can be chosen; one is
 * on its way once the subscription is sent.
 */
static bool
is_unseen (const SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i]->state_ms)
      return false;
  return group->server_count > 0;
}

static void
begin_wait (SsNode *node, SsRequest *r, SsWait wait, int64_t wait_ms)
{
  r->wait = wait;
  r->wait_due_ms = node->now_ms + wait_ms;
  if (wait == SS_WAIT_VIEW)
    node->view_waiters++;
}

static void
route_read (SsNode *node, SsRequest *r, SsGroup *group)
{
  SsMarks *marks = ss_marks_get (node, group->name);
  SsTarget *t;

  if (!find_floor (node, r, marks))
    {
      if (!*group->primary)
        {
          finish_request (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_PRIMARY,
                          SS_RETRY_PROMOTION_MS);
          return;
        }
      begin_wait (node, r, SS_WAIT_MARK, MARK_WAIT_MS);
      ss_marks_ask (node, marks);
      return;
    }
  t = ss_choice_read (node, group, r->floor, r->tried, r->tries);
  if (!t)
    finish_request (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_REPLICA,
                    SS_RETRY_PROMOTION_MS);
  else
    send_run (node, r, ss_node_owner (node, t), t->name, false);
}

static void
route_write (SsNode *node, SsRequest *r, SsGroup *group)
{
  SsTarget *t = ss_choice_write (node, group);

  if (!t)
    finish_request (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_PRIMARY,
                    SS_RETRY_PROMOTION_MS);
  else
    send_run (node, r, ss_node_owner (node, t), t->name, false);
}

static void
route (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;
  SsGroup *group = session_group (node, s);

  if (s->pinned_vm)
    send_run (node, r, s->pinned_vm, s->pinned_target, true);
  else if (!group)
    finish_request (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_SERVICE, 0);
  else if (is_unseen (group))
    begin_wait (node, r, SS_WAIT_VIEW, VIEW_WAIT_MS);
  else if (r->is_read)
    route_read (node, r, group);
  else
    route_write (node, r, group);
}

/* --- statements --- */

/* Decides whether the statement is a read and what it has to see; false
 * where the session's kind is not one of the service's.
 */
static bool
classify (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;
  SsService *service = ss_config_service (&node->config, s->service);
  const char *kind = s->kind;

  if (!service)
    return true;
  if (!kind)
    kind = service->default_kind;
  if (ss_local_is_read_only (r->sql))
    {
      r->is_read = true;
      kind = *kind && strcmp (kind, "write") != 0 ? kind : "session";
    }
  else if (strcmp (kind, "write") != 0 && *kind)
    r->is_read = !ss_local_first_word (r->sql, "begin")
                 && !ss_local_first_word (r->sql, "start");
  if (!r->is_read)
    return true;
  r->strict = s->strict || strcmp (kind, "strict") == 0;
  r->staleness_ms = r->strict ? 0 : ss_service_staleness (service, kind);
  return r->staleness_ms >= 0;
}

static void
start_request (SsNode *node, SsSession *s, const char *sql)
{
  SsRequest *r = g_new0 (SsRequest, 1);
  SsGroup *group = session_group (node, s);

  r->id = ++node->next_request;
  r->session = s;
  r->sql = g_strdup (sql);
  r->started_ms = node->now_ms;
  r->deadline_ms = node->now_ms + s->deadline_ms;
  if (group)
    r->start_ask = ss_marks_get (node, group->name)->last_ask;
  s->request = r;
  g_hash_table_insert (node->requests, &r->id, r);
  draw_trace (node, r);
  ss_budget_first_try (&node->budget);
  if (!s->pinned_vm && !classify (node, r))
    {
      finish_request (node, r, SS_VERDICT_NOT_RUN, SS_REASON_BAD_SETTING, 0);
      return;
    }
  route (node, r);
}

/* --- session settings --- */

static bool
is_key (const char *text)
{
  size_t bytes = strlen (text);

  return bytes > 0 && bytes <= KEY_MAX_BYTES
         && strspn (text, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-")
                == bytes;
}

static void
replace (char **field, const char *value)
{
  g_free (*field);
  *field = value && *value ? g_strdup (value) : NULL;
}

static const char *
set_token (SsNode *node, SsSession *s, const char *value)
{
  SsPosition position;

  (void) node;
  if (!value || !ss_position_parse (value, &position))
    return "sapphirestair.token must be TERM/OFFSET";
  raise_floor (s, position);
  return NULL;
}

static const char *
set_kind (SsNode *node, SsSession *s, const char *value)
{
  SsService *service = ss_config_service (&node->config, s->service);

  if (value && *value && strcmp (value, "write") != 0
      && strcmp (value, "strict") != 0
      && (!service || ss_service_staleness (service, value) < 0))
    return "sapphirestair.kind must be write, session, strict or a kind of "
           "the service";
  replace (&s->kind, value);
  return NULL;
}

static const char *
set_deadline (SsNode *node, SsSession *s, const char *value)
{
  guint64 number = 0;

  if (!value)
    s->deadline_ms = node->params.deadline_ms;
  else if (!g_ascii_string_to_unsigned (value, 10, 1, 600000, &number, NULL))
    return "sapphirestair.deadline_ms must be from 1 to 600000";
  else
    s->deadline_ms = (int64_t) number;
  return NULL;
}

static const char *
set_request_id (SsNode *node, SsSession *s, const char *value)
{
  (void) node;
  if (value && *value && !is_key (value))
    return "sapphirestair.request_id must be 1 to 64 letters, digits or "
           "one of . _ : -";
  replace (&s->request_key, value);
  return NULL;
}

static const char *
set_traceparent (SsNode *node, SsSession *s, const char *value)
{
  char **parts;

  (void) node;
  if (!value || !*value)
    {
      replace (&s->trace, NULL);
      return NULL;
    }
  parts = g_strsplit (value, "-", 4);
  if (g_strv_length (parts) != 4 || strlen (parts[1]) != 32
      || strspn (parts[1], "0123456789abcdef") != 32)
    {
      g_strfreev (parts);
      return "sapphirestair.traceparent must be VERSION-TRACE-SPAN-FLAGS";
    }
  replace (&s->trace, parts[1]);
  g_strfreev (parts);
  return NULL;
}

typedef struct
{
  const char *name;
  /* Returns NULL or what is wrong with VALUE; NULL resets. */
  const char *(*set) (SsNode *node, SsSession *s, const char *value);
} SettingRow;

static const SettingRow setting_rows[] = {
  { "token", set_token },
  { "kind", set_kind },
  { "deadline_ms", set_deadline },
  { "request_id", set_request_id },
  { "traceparent", set_traceparent },
};

static const char *
set_setting (SsNode *node, SsSession *s, const char *name, const char *value)
{
  for (size_t i = 0; i < G_N_ELEMENTS (setting_rows); i++)
    if (strcmp (name, setting_rows[i].name) == 0)
      return setting_rows[i].set (node, s, value);
  return "no such session setting; known are token, kind, deadline_ms, "
         "request_id and traceparent";
}

static void
show_setting (SsNode *node, SsSession *s, const char *name)
{
  char text[SS_POSITION_TEXT_BYTES] = "";
  SsAction *a;

  if (strcmp (name, "token") == 0)
    ss_position_format (s->floor, text);
  else if (strcmp (name, "kind") == 0)
    g_strlcpy (text, s->kind ? s->kind : "", sizeof text);
  else
    {
      reply_refusal (node, s, SS_REASON_BAD_SETTING,
                     "only sapphirestair.token and sapphirestair.kind can be "
                     "shown");
      return;
    }
  a = push_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0);
  a->name = g_strdup_printf ("sapphirestair.%s", name);
  a->text = g_strdup (text);
}

static void
run_local (SsNode *node, SsSession *s, const SsLocal *local)
{
  const char *error;

  if (local->kind == SS_LOCAL_MALFORMED)
    {
      reply_refusal (node, s, SS_REASON_BAD_SETTING,
                     "expected SET sapphirestair.NAME = 'VALUE'");
      return;
    }
  if (local->kind == SS_LOCAL_SHOW)
    {
      show_setting (node, s, local->name);
      return;
    }
  error = set_setting (node, s, local->name, local->value);
  if (error)
    reply_refusal (node, s, SS_REASON_BAD_SETTING, error);
  else
    reply_tag (node, s, local->value ? "SET" : "RESET");
}

/* --- events --- */

static void
refuse_open (SsNode *node, uint64_t caller, SsReason reason, const char *text)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_REPLY);

  a->id = caller;
  a->verdict = SS_VERDICT_NOT_RUN;
  a->reason = reason;
  a->text = g_strdup (text);
  a->retry_after_ms = SS_RETRY_PROMOTION_MS;
  ss_node_push (node, SS_ACTION_CALLER_CLOSE)->id = caller;
}

void
ss_entry_open (SsNode *node, uint64_t caller, const char *service,
               const char *const *settings)
{
  SsSession *s;
  SsGroup *group;
  const char *error = NULL;

  if (node->stopping || !node->ready)
    {
      refuse_open (node, caller,
                   node->stopping ? SS_REASON_STOPPING : SS_REASON_NO_CONFIG,
                   NULL);
      return;
    }
  if (!ss_config_service (&node->config, service))
    {
      refuse_open (node, caller, SS_REASON_NO_SERVICE, NULL);
      return;
    }
  s = g_new0 (SsSession, 1);
  s->id = caller;
  s->service = g_strdup (service);
  s->deadline_ms = node->params.deadline_ms;
  s->status = 'I';
  group = session_group (node, s);
  if (group && !ss_entry_uses_group (node, group->name))
    node->subscribe_due_ms = node->now_ms;
  if (group)
    s->arrival_ask = ss_marks_get (node, group->name)->last_ask;
  for (size_t i = 0; settings && settings[i] && !error; i += 2)
    error = set_setting (node, s, settings[i], settings[i + 1]);
  if (error)
    {
      refuse_open (node, caller, SS_REASON_BAD_SETTING, error);
      clear_session (s);
      return;
    }
  g_hash_table_insert (node->sessions, &s->id, s);
  ss_node_count (node, SS_COUNTER_CALLERS);
  push_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0);
}

static bool
is_blank (const char *sql)
{
  return sql[strspn (sql, " \t\r\n;")] == 0;
}

void
ss_entry_statement (SsNode *node, uint64_t caller, const char *sql)
{
  SsSession *s = find_session (node, caller);
  SsLocal local;

  if (!s || s->request)
    return;
  ss_node_count (node, SS_COUNTER_STATEMENTS);
  if (is_blank (sql))
    {
      reply_tag (node, s, "");
      return;
    }
  if (s->status == 'E' && !s->pinned_vm)
    {
      if (!ss_local_ends_transaction (sql))
        {
          push_reply (node, s, SS_VERDICT_NOT_RUN, SS_REASON_TRANSACTION_LOST,
                      0);
          return;
        }
      s->status = 'I';
      drop_key (s);
      reply_tag (node, s, "ROLLBACK");
      return;
    }
  ss_local_init (&local, sql);
  if (local.kind != SS_LOCAL_NONE)
    run_local (node, s, &local);
  else
    start_request (node, s, sql);
  ss_local_finish (&local);
}

static void
send_cancel (SsNode *node, const SsRequest *r)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Cancel cancel = SS__PEER__CANCEL__INIT;

  cancel.request = r->id;
  e.body_case = SS__PEER__ENVELOPE__BODY_CANCEL;
  e.cancel = &cancel;
  ss_node_send (node, r->vm, &e);
}

void
ss_entry_cancel (SsNode *node, uint64_t caller)
{
  SsSession *s = find_session (node, caller);

  if (!s || !s->request)
    return;
  if (s->request->vm)
    send_cancel (node, s->request);
  else
    finish_request (node, s->request, SS_VERDICT_NOT_RUN, SS_REASON_CANCELLED,
                    0);
}

void
ss_entry_close (SsNode *node, uint64_t caller)
{
  SsSession *s = find_session (node, caller);

  if (!s)
    return;
  if (s->pinned_vm)
    send_session_end (node, s, s->pinned_vm);
  else if (s->request && s->request->vm)
    send_session_end (node, s, s->request->vm);
  if (s->request)
    drop_request (node, s->request);
  g_hash_table_remove (node->sessions, &caller);
}

static bool
may_retry (SsNode *node, SsRequest *r, SsVerdict verdict, SsReason reason)
{
  bool harmless = verdict == SS_VERDICT_NOT_RUN
                  || (verdict == SS_VERDICT_MAY_HAVE_RUN && r->is_read);

  if (!harmless || r->session->pinned_vm || !r->is_read
      || reason == SS_REASON_TARGET_ERROR || reason == SS_REASON_CANCELLED
      || reason == SS_REASON_DEADLINE || r->tries >= TRIES_MAX
      || node->now_ms >= r->deadline_ms)
    return false;
  if (ss_budget_take_retry (&node->budget))
    return true;
  ss_node_count (node, SS_COUNTER_RETRIES_REFUSED);
  return false;
}

/* Tries the read at another server. */
static void
try_again (SsNode *node, SsRequest *r)
{
  ss_node_count (node, SS_COUNTER_RETRIES);
  r->tried[r->tries++] = g_strdup (r->target);
  forget_sent (node, r);
  route (node, r);
}

static void
count_read (SsNode *node, const SsRequest *r)
{
  SsGroup *group = session_group (node, r->session);

  if (!r->is_read || !group || !r->target)
    return;
  ss_node_count (node, strcmp (group->primary, r->target) == 0
                           ? SS_COUNTER_READS_PRIMARY
                           : SS_COUNTER_READS_REPLICA);
}

static void
update_pin (SsSession *s, char status, const char *vm, const char *target)
{
  s->status = status;
  if (status == 'I')
    {
      unpin (s);
      return;
    }
  replace (&s->pinned_vm, vm);
  replace (&s->pinned_target, target);
}

static void
send_token (SsNode *node, const SsSession *s)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_PARAMETER);
  char text[SS_POSITION_TEXT_BYTES];

  ss_position_format (s->floor, text);
  a->id = s->id;
  a->name = g_strdup ("sapphirestair.token");
  a->text = g_strdup (text);
}

/* Takes the owner's final answer over to the caller. */
static void
take_answer (SsNode *node, SsRequest *r, const Ss__Peer__RunReply *reply)
{
  SsSession *s = r->session;
  SsVerdict verdict = (SsVerdict) reply->verdict;
  SsPosition commit = ss_position_unpack (reply->commit);
  SsAction *a;

  if (verdict == SS_VERDICT_RAN)
    count_read (node, r);
  if (reply->reason == SS_REASON_NONE
      || reply->reason == SS_REASON_TARGET_ERROR)
    update_pin (s, (char) reply->transaction_status, r->vm, r->target);
  else
    lose_transaction (node, s);
  drop_key (s);
  log_span (node, r, verdict);
  drop_request (node, r);
  if (commit.offset)
    {
      raise_floor (s, commit);
      send_token (node, s);
    }
  a = push_reply (node, s, verdict, (SsReason) reply->reason,
                  reply->retry_after_ms);
  if (reply->wire.len)
    a->bytes = g_bytes_new (reply->wire.data, reply->wire.len);
  else if (verdict == SS_VERDICT_RAN)
    a->text = g_strdup (reply->tag);
}

void
ss_entry_reply (SsNode *node, const char *from, const Ss__Peer__RunReply *reply)
{
  SsRequest *r = g_hash_table_lookup (node->requests, &reply->request);

  if (!r || !r->vm || strcmp (r->vm, from) != 0
      || strcmp (r->target, reply->target) != 0
      || reply->verdict > SS_VERDICT_RAN || reply->reason > SS_REASON_TOO_LARGE)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  if (may_retry (node, r, (SsVerdict) reply->verdict, (SsReason) reply->reason))
    try_again (node, r);
  else
    take_answer (node, r, reply);
}

void
ss_entry_vm_lost (SsNode *node, const char *vm)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *lost = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, node->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsRequest *r = value;

      if (r->vm && strcmp (r->vm, vm) == 0)
        g_ptr_array_add (lost, r);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      SsRequest *r = g_ptr_array_index (lost, i);

      if (may_retry (node, r, SS_VERDICT_MAY_HAVE_RUN, SS_REASON_VM_LOST))
        try_again (node, r);
      else
        abandon_request (node, r, SS_REASON_VM_LOST);
    }
  g_ptr_array_free (lost, TRUE);
  g_hash_table_iter_init (&iter, node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsSession *s = value;

      if (s->pinned_vm && strcmp (s->pinned_vm, vm) == 0)
        lose_transaction (node, s);
    }
}

static GPtrArray *
requests_where (SsNode *node, bool (*wanted) (SsNode *, const SsRequest *))
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (wanted (node, value))
      g_ptr_array_add (found, value);
  return found;
}

static bool
is_waiting (SsNode *node, const SsRequest *r)
{
  (void) node;
  return r->wait != SS_WAIT_NONE;
}

void
ss_entry_wake (SsNode *node, const char *group, SsWait wait)
{
  GPtrArray *waiting = requests_where (node, is_waiting);

  for (guint i = 0; i < waiting->len; i++)
    {
      SsRequest *r = g_ptr_array_index (waiting, i);
      SsGroup *g = session_group (node, r->session);

      if (r->wait != wait || !g || strcmp (g->name, group) != 0)
        continue;
      end_wait (node, r);
      route (node, r);
    }
  g_ptr_array_free (waiting, TRUE);
}

static bool
is_overdue (SsNode *node, const SsRequest *r)
{
  int64_t due_ms = r->deadline_ms + (r->vm ? OWNER_GRACE_MS : 0);

  if (r->wait != SS_WAIT_NONE && r->wait_due_ms < due_ms)
    due_ms = r->wait_due_ms;
  return node->now_ms >= due_ms;
}

void
ss_entry_tick (SsNode *node)
{
  GPtrArray *overdue = requests_where (node, is_overdue);

  for (guint i = 0; i < overdue->len; i++)
    {
      SsRequest *r = g_ptr_array_index (overdue, i);

      if (r->vm)
        send_cancel (node, r);
      abandon_request (node, r,
                       r->wait == SS_WAIT_MARK ? SS_REASON_NO_MARK
                                               : SS_REASON_DEADLINE);
    }
  g_ptr_array_free (overdue, TRUE);
}

bool
ss_entry_uses_group (SsNode *node, const char *group)
{
  return g_tree_lookup (node->marks, group) != NULL;
}

static void
end_session (SsNode *node, SsSession *s)
{
  uint64_t id = s->id;
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_CLOSE);

  a->id = id;
  a->reason = SS_REASON_STOPPING;
  ss_entry_close (node, id);
}

bool
ss_entry_stop (SsNode *node, bool force)
{
  GPtrArray *ending = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsSession *s = value;

      if (force || (!s->request && s->status == 'I'))
        g_ptr_array_add (ending, s);
    }
  for (guint i = 0; i < ending->len; i++)
    {
      SsSession *s = g_ptr_array_index (ending, i);

      if (s->request)
        abandon_request (node, s->request, SS_REASON_STOPPING);
      end_session (node, s);
    }
  g_ptr_array_free (ending, TRUE);
  return g_hash_table_size (node->sessions) == 0;
}
