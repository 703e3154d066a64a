#include <string.h>

#include "core/entry.h"
#include "core/entry_speed.h"
#include "core/identity.h"
#include "core/rate_limit.h"
#include "core/subscription.h"

static void
clear_session (gpointer data)
{
  SsSession *s = data;

  g_free (s->service);
  g_free (s->user);
  g_free (s->organisation);
  g_free (s->kind);
  g_free (s->request_key);
  g_free (s->trace);
  g_free (s->pinned_vm);
  g_free (s->pinned_target);
  g_free (s->floor_group);
  ss_session_state_finish (&s->state);
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
    ss_request_free (request);
  g_hash_table_destroy (node->requests);
  g_hash_table_destroy (node->sessions);
}

static SsSession *
find_session (SsNode *node, uint64_t id)
{
  return g_hash_table_lookup (node->sessions, &id);
}

static int64_t
statement_timeout_ms (SsNode *node, const SsSession *s)
{
  const SsService *service = ss_config_service (&node->config, s->service);

  return service && service->timeout_ms ? service->timeout_ms : s->deadline_ms;
}

/* Resets the floor where it refers to the log of another group: positions of
 * two groups can't be compared.
 */
static void
set_floor_group (SsSession *s, const SsGroup *group)
{
  if (!group || g_strcmp0 (s->floor_group, group->name) == 0)
    return;
  if (s->floor_group)
    s->floor = (SsPosition){ 0, 0 };
  g_free (s->floor_group);
  s->floor_group = g_strdup (group->name);
}

SsRequest *
ss_entry_create_request (SsNode *node, SsSession *s, const char *sql)
{
  SsRequest *r = g_new0 (SsRequest, 1);
  SsGroup *group = ss_session_group (node, s);

  r->id = ++node->next_request;
  r->session = s;
  r->sql = g_strdup (sql);
  r->text_bytes = (uint32_t) strlen (sql);
  r->keeps = true;
  r->started_ms = node->now_ms;
  r->deadline_ms = node->now_ms + statement_timeout_ms (node, s);
  set_floor_group (s, group);
  if (group)
    r->start_seq = ss_confirmed_get (node, group->name)->last_seq;
  s->request = r;
  g_hash_table_insert (node->requests, &r->id, r);
  ss_route_assign_trace (node, r);
  ss_retry_budget_deposit (&node->retry_budget);
  return r;
}

/* Logs at which configuration a key was unknown.  The first characters of its
 * digest tell callers apart and give no key away.
 */
static void
note_unknown (SsNode *node, const SsSession *s, const char *service)
{
  ss_node_count (node, SS_COUNTER_UNKNOWN_KEYS);
  ss_node_log (node, SS_EVENT_LOG_KEY_UNKNOWN, service,
               "session=%" G_GUINT64_FORMAT " digest=%.8s"
               " sequence=%" G_GINT64_FORMAT " platform_down=%d",
               s->id, *s->key_digest ? s->key_digest : "none",
               node->config.sequence, node->platform_down);
}

/* Sets the organisation of R by the configuration in force.  Returns false if
 * the caller's key is not valid any more.
 */
static bool
resolve_organisation (SsNode *node, SsRequest *r)
{
  const SsService *service
      = ss_config_service (&node->config, r->session->service);
  const char *organisation = "";

  if (service
      && !ss_identity_resolve (&node->config, service, r->session->key_digest,
                               &organisation))
    return false;
  r->organisation = g_strdup (organisation);
  ss_session_replace_text (&r->session->organisation, organisation);
  if (node->config.organisations)
    ss_organisation_stats_operation (&node->organisation_stats, organisation);
  return true;
}

/* Refuses R, as the key of its session is not valid any more.  A transaction
 * whose first statement is refused has failed.
 */
static void
refuse_key (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;

  note_unknown (node, s, s->service);
  ss_session_lose_transaction (node, s);
  ss_session_note_loss_reported (s, r->sql);
  ss_request_finish (node, r, SS_VERDICT_NOT_RUN, SS_REASON_UNKNOWN_KEY, 0);
}

void
ss_entry_dispatch (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;

  if (s->pinned_vm)
    {
      r->organisation = g_strdup (s->organisation);
      ss_route (node, r);
      return;
    }
  if (!resolve_organisation (node, r))
    refuse_key (node, r);
  else if (!ss_route_classify (node, r))
    ss_request_finish (node, r, SS_VERDICT_NOT_RUN, SS_REASON_BAD_SETTING, 0);
  else
    ss_route (node, r);
}

void
ss_entry_refuse_open (SsNode *node, uint64_t caller, SsReason reason,
                      const char *text)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_REPLY);

  a->id = caller;
  a->verdict = SS_VERDICT_NOT_RUN;
  a->reason = reason;
  a->text = g_strdup (text);
  a->retry_after_ms = SS_RETRY_PROMOTION_MS;
  ss_node_push (node, SS_ACTION_CALLER_CLOSE)->id = caller;
}

static bool
is_known (SsNode *node, const SsService *service, const SsSession *s)
{
  const char *organisation;

  return ss_identity_resolve (&node->config, service, s->key_digest,
                              &organisation);
}

static void
refuse_unknown (SsNode *node, const SsSession *s, const char *service)
{
  note_unknown (node, s, service);
  ss_entry_refuse_open (node, s->id, SS_REASON_UNKNOWN_KEY, NULL);
}

void
ss_entry_open (SsNode *node, uint64_t caller, const char *service,
               const char *user, const char *key_digest,
               const char *const *settings)
{
  SsSession *s;
  SsGroup *group;
  const SsService *found;
  const char *error = NULL;

  if (!node->ready && !node->stopping
      && ss_dialect_multiplexes_sessions (node->dialect))
    {
      ss_startup_add (node, caller, service, user, key_digest);
      return;
    }
  if (node->stopping || !node->ready)
    {
      ss_entry_refuse_open (
          node, caller,
          node->stopping ? SS_REASON_STOPPING : SS_REASON_NO_CONFIG, NULL);
      return;
    }
  found = ss_config_service (&node->config, service);
  if (!found)
    {
      ss_entry_refuse_open (node, caller, SS_REASON_NO_SERVICE, NULL);
      return;
    }
  s = g_new0 (SsSession, 1);
  s->id = caller;
  g_strlcpy (s->key_digest, key_digest, sizeof s->key_digest);
  if (!is_known (node, found, s))
    {
      refuse_unknown (node, s, service);
      clear_session (s);
      return;
    }
  s->service = g_strdup (service);
  s->user = g_strdup (user ? user : "");
  s->deadline_ms = node->params.deadline_ms;
  s->status = 'I';
  /* A dialect that multiplexes sessions has no session tokens: a session is one
   * connection of its caller and has no earlier writes to see.
   */
  s->floor_known = ss_dialect_multiplexes_sessions (node->dialect);
  group = ss_session_group (node, s);
  if (group && !ss_entry_uses_group (node, group->name))
    ss_subscription_changed (node);
  if (group)
    s->open_seq = ss_confirmed_get (node, group->name)->last_seq;
  for (size_t i = 0; settings && settings[i] && !error; i += 2)
    error = ss_session_set (node, s, settings[i], settings[i + 1]);
  if (error)
    {
      ss_entry_refuse_open (node, caller, SS_REASON_BAD_SETTING, error);
      clear_session (s);
      return;
    }
  g_hash_table_insert (node->sessions, &s->id, s);
  ss_node_count (node, SS_COUNTER_CALLERS);
  ss_session_reply (node, s, SS_VERDICT_RAN, SS_REASON_NONE, 0);
}

static bool
is_blank (const char *sql)
{
  return sql[strspn (sql, " \t\r\n;")] == 0;
}

/* Replies to a statement of a lost transaction.  COMMIT gets the tag ROLLBACK
 * instead of an error only where the caller already knows of the loss.
 */
static void
reply_transaction_lost (SsNode *node, SsSession *s, const char *sql)
{
  bool rolls_back = ss_session_sql_is_rollback (sql);
  bool ends = ss_session_sql_ends_transaction (sql);
  bool silent = rolls_back || (ends && !s->loss_unreported);

  ss_session_note_loss_reported (s, sql);
  ss_session_clear_request_key (s);
  if (silent)
    ss_session_reply_tag (node, s, "ROLLBACK");
  else
    ss_session_reply (node, s, SS_VERDICT_NOT_RUN, SS_REASON_TRANSACTION_LOST,
                      0);
}

/* Refuses a statement outside of a transaction in a session whose key is not
 * valid any more, also one that would be answered here.  Returns whether it was
 * refused.
 */
static bool
refuse_removed_key (SsNode *node, SsSession *s, const char *label,
                    const char *sql)
{
  const SsService *service = ss_config_service (&node->config, s->service);
  SsRequest *r;

  if (s->status != 'I' || !service || is_known (node, service, s))
    return false;
  r = ss_entry_create_request (node, s, sql);
  r->label = g_strdup (label);
  refuse_key (node, r);
  return true;
}

/* Refuses SQL if it can't run under the session's idempotency key.  Returns
 * whether it was refused.
 */
static bool
refuse_key_text (SsNode *node, SsSession *s, const char *sql)
{
  const char *error = s->request_key ? ss_session_sql_key_error (sql) : NULL;

  if (!error)
    return false;
  ss_session_clear_request_key (s);
  ss_session_refuse (node, s, SS_REASON_BAD_SETTING, error);
  return true;
}

/* Answers a statement of a session that was ended while it was in transit. */
static void
refuse_ended (SsNode *node, uint64_t caller, const char *label)
{
  SsAction *a = ss_node_push (node, SS_ACTION_CALLER_REPLY);

  a->id = caller;
  a->verdict = SS_VERDICT_NOT_RUN;
  a->reason = SS_REASON_STOPPING;
  a->transaction_status = 'I';
  ss_node_count (node, SS_COUNTER_STATEMENTS);
  ss_node_count (node, SS_COUNTER_NOT_RUN);
  ss_node_log (node, SS_EVENT_LOG_REQUEST_NOT_RUN, label ? label : "-",
               "session=%" G_GUINT64_FORMAT
               " verdict=not_run reason=stopping session_ended=1",
               caller);
}

void
ss_entry_statement (SsNode *node, uint64_t caller, const char *label,
                    const char *sql)
{
  SsSession *s = find_session (node, caller);
  SsSettingStatement setting;

  if (!s)
    {
      refuse_ended (node, caller, label);
      return;
    }
  if (s->request)
    return;
  ss_node_count (node, SS_COUNTER_STATEMENTS);
  if (refuse_removed_key (node, s, label, sql))
    return;
  if (ss_dialect_multiplexes_sessions (node->dialect))
    {
      ss_session_statement (node, s, label, sql);
      return;
    }
  if (is_blank (sql))
    {
      ss_session_reply_tag (node, s, "");
      return;
    }
  if (s->status == 'E' && !s->pinned_vm)
    {
      reply_transaction_lost (node, s, sql);
      return;
    }
  ss_session_sql_parse_setting (&setting, sql);
  if (setting.kind != SS_SETTING_STATEMENT_NONE)
    ss_session_run_setting (node, s, &setting);
  else if (!refuse_key_text (node, s, sql))
    ss_entry_dispatch (node, ss_entry_create_request (node, s, sql));
  ss_session_sql_setting_finish (&setting);
}

void
ss_entry_cancel (SsNode *node, uint64_t caller)
{
  SsSession *s = find_session (node, caller);

  if (!s || !s->request)
    return;
  if (s->request->vm)
    ss_request_cancel (node, s->request);
  else
    ss_request_finish (node, s->request, SS_VERDICT_NOT_RUN,
                       SS_REASON_CANCELLED, 0);
}

void
ss_entry_close (SsNode *node, uint64_t caller)
{
  SsSession *s = find_session (node, caller);

  if (!s)
    {
      ss_startup_remove (node, caller);
      return;
    }
  if (s->pinned_vm)
    ss_session_send_end (node, s, s->pinned_vm, false);
  else if (s->request && s->request->vm)
    ss_session_send_end (node, s, s->request->vm, false);
  if (s->request)
    ss_request_drop (node, s->request);
  g_hash_table_remove (node->sessions, &caller);
}

static void
count_read (SsNode *node, const SsRequest *r)
{
  SsGroup *group = ss_session_group (node, r->session);

  if (!r->is_read || !group || !r->target)
    return;
  ss_node_count (node, strcmp (group->primary, r->target) == 0
                           ? SS_COUNTER_READS_PRIMARY
                           : SS_COUNTER_READS_REPLICA);
}

static void
update_pin (SsSession *s, char status, const SsRequest *r)
{
  s->status = status;
  if (status == 'I')
    {
      ss_session_unpin (s);
      return;
    }
  s->begin_due = false;
  if (!s->pinned_vm)
    {
      s->pinned_is_read = r->is_read;
      s->transaction = r->id;
    }
  ss_session_replace_text (&s->pinned_vm, r->vm);
  ss_session_replace_text (&s->pinned_target, r->target);
}

/* Forwards the owner's final reply to the caller. */
static void
forward_reply (SsNode *node, SsRequest *r, const Ss__Peer__RunReply *reply)
{
  SsSession *s = r->session;
  SsVerdict verdict = (SsVerdict) reply->verdict;
  SsPosition commit = ss_position_unpack (reply->commit);
  SsAction *a;

  if (verdict == SS_VERDICT_RAN)
    count_read (node, r);
  if (reply->reason == SS_REASON_NONE
      || reply->reason == SS_REASON_TARGET_ERROR)
    update_pin (s, (char) reply->transaction_status, r);
  else
    {
      ss_session_lose_transaction (node, s);
      ss_session_note_loss_reported (s, r->sql);
    }
  ss_session_clear_request_key (s);
  if (verdict == SS_VERDICT_NOT_RUN && !reply->sent)
    ss_rate_limit_refund (node, r);
  ss_request_log_end (node, r, verdict, (SsReason) reply->reason);
  ss_request_drop (node, r);
  if (commit.offset)
    {
      ss_session_raise_floor (s, commit);
      if (!ss_dialect_multiplexes_sessions (node->dialect))
        ss_session_send_token (node, s);
    }
  a = ss_session_reply (node, s, verdict, (SsReason) reply->reason,
                        reply->retry_after_ms);
  if (reply->wire.len)
    a->bytes = g_bytes_new (reply->wire.data, reply->wire.len);
  else if (verdict == SS_VERDICT_RAN)
    a->text = g_strdup (reply->tag);
}

void
ss_entry_handle_reply (SsNode *node, const char *from,
                       const Ss__Peer__RunReply *reply)
{
  SsRequest *r = g_hash_table_lookup (node->requests, &reply->request);

  if (!r || !r->vm || strcmp (r->vm, from) != 0
      || strcmp (r->target, reply->target) != 0
      || reply->verdict > SS_VERDICT_RAN || reply->reason >= SS_REASON_COUNT)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  r->waited_ms += reply->waited_ms;
  ss_entry_speed_reply (node, r, reply);
  if (ss_request_may_retry (node, r, (SsVerdict) reply->verdict,
                            (SsReason) reply->reason, reply->sent))
    ss_request_retry (node, r, (SsReason) reply->reason, reply->retry_after_ms);
  else
    forward_reply (node, r, reply);
}

bool
ss_entry_uses_group (SsNode *node, const char *group)
{
  return g_tree_lookup (node->confirmed_positions, group) != NULL;
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

void
ss_entry_end_idle (SsNode *node, uint32_t count)
{
  GPtrArray *ending = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->sessions);
  while (ending->len < count && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsSession *s = value;

      if (!s->request && s->status == 'I')
        g_ptr_array_add (ending, value);
    }
  for (guint i = 0; i < ending->len; i++)
    end_session (node, g_ptr_array_index (ending, i));
  g_ptr_array_free (ending, TRUE);
}

static bool
is_in_scope (const SsSession *s, SsStopScope scope)
{
  if (scope == SS_STOP_ALL)
    return true;
  return !s->request && (scope == SS_STOP_WITHOUT_REQUEST || s->status == 'I');
}

bool
ss_entry_stop (SsNode *node, SsStopScope scope)
{
  GPtrArray *ending = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsSession *s = value;

      if (is_in_scope (s, scope))
        g_ptr_array_add (ending, s);
    }
  for (guint i = 0; i < ending->len; i++)
    {
      SsSession *s = g_ptr_array_index (ending, i);

      if (s->request)
        ss_request_abandon (node, s->request, SS_REASON_STOPPING);
      end_session (node, s);
    }
  g_ptr_array_free (ending, TRUE);
  return g_hash_table_size (node->sessions) == 0;
}
