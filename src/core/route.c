#include <string.h>

#include "core/entry.h"
#include "core/entry_speed.h"
#include "core/rate_limit.h"

#define CONFIRM_WAIT_MS 500
#define STATUS_WAIT_MS 500

void
ss_route_assign_trace (SsNode *node, SsRequest *r)
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

/* The idempotency key is sent with a write, or with a transaction's COMMIT. */
static bool
sends_request_key (const SsSession *s, const SsRequest *r)
{
  if (!s->request_key || r->is_read)
    return false;
  return ss_session_sql_takes_key (r->sql, s->pinned_vm != NULL);
}

static gboolean
add_value (gpointer key, gpointer value, gpointer data)
{
  Ss__Peer__Run *run = data;

  run->values[run->n_values++] = key;
  run->values[run->n_values++] = value;
  return FALSE;
}

/* Adds the session state that the statement needs at the target. */
static void
add_session_state (Ss__Peer__Run *run, const SsSession *s, const SsRequest *r)
{
  if (r->label)
    run->label = r->label;
  run->begins = r->begins;
  run->transaction_is_read = s->status == 'T' && s->begin_is_read;
  run->keeps = r->keeps;
  run->confirm = r->confirm;
  if (r->shape)
    run->shape = r->shape;
  run->shape_is_read = r->shape_is_read;
  if (!s->state.values)
    return;
  run->values = g_new (char *, 2 * g_tree_nnodes (s->state.values));
  g_tree_foreach (s->state.values, add_value, run);
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
  run.request = r->id;
  run.session = s->id;
  run.target = r->target;
  run.service = s->service;
  run.sql.data = (uint8_t *) r->sql;
  run.sql.len = strlen (r->sql);
  run.is_read = r->is_read;
  run.pinned = pinned;
  run.transaction = pinned ? s->transaction : 0;
  ss_position_pack (&floor, r->floor);
  run.floor = &floor;
  run.left_ms = (uint32_t) MAX (r->deadline_ms - node->now_ms, 0);
  if (sends_request_key (s, r))
    run.request_key = s->request_key;
  run.trace = r->trace;
  run.identity = (char *) ss_session_identity (node, s);
  if (r->organisation)
    run.organisation = r->organisation;
  run.usual_run_us = ss_entry_speed_sent (node, r, t);
  add_session_state (&run, s, r);
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &run;
  ss_node_send (node, vm, &e);
  g_free (run.values);
}

/* Returns the time from which on a confirmed position must be to give the floor
 * of R; 0: only the order of requests counts.  The bound on staleness counts
 * back from R's arrival: while R waits, the clock does not make a position
 * useless that is on its way.
 */
static int64_t
floor_since_ms (const SsRequest *r)
{
  return r->staleness_ms ? MAX (r->started_ms - r->staleness_ms, 0) : 0;
}

/* Sets the floor of a read; returns false where it has to wait for a confirmed
 * position first.
 */
static bool
find_floor (SsNode *node, SsRequest *r, SsConfirmedPositions *confirmed)
{
  SsSession *s = r->session;
  SsConfirmedPosition found;

  r->floor = s->floor;
  if (r->strict)
    {
      if (confirmed->latest.seq <= r->start_seq)
        return false;
      r->floor = ss_position_max (s->floor, confirmed->latest.position);
      return true;
    }
  if (r->staleness_ms == 0)
    {
      if (s->floor_known)
        return true;
      if (confirmed->latest.seq <= s->open_seq)
        return false;
      ss_session_raise_floor (
          s, ss_confirmed_floor (confirmed, ss_session_identity (node, s)));
      ss_session_send_token (node, s);
      r->floor = s->floor;
      return true;
    }
  if (!ss_confirmed_since (confirmed, floor_since_ms (r), &found))
    return false;
  r->floor = ss_position_max (s->floor, found.position);
  /* Request the next confirmed position early, so that the next read does not
   * have to wait for one.
   */
  if (node->now_ms - confirmed->latest.requested_ms > r->staleness_ms / 4)
    ss_confirmed_request (node, confirmed, node->now_ms - r->staleness_ms / 2);
  return true;
}

/* Has R wait for the first state report of T, which follows the subscription:
 * no server is selected before it.  Returns false if T is NULL or has reported,
 * or if R has waited for STATUS_WAIT_MS.
 */
static bool
begin_status_wait (SsNode *node, SsRequest *r, const SsTarget *t)
{
  int64_t left_ms = r->started_ms + STATUS_WAIT_MS - node->now_ms;

  if (!t || t->state_ms || left_ms <= 0)
    return false;
  ss_request_begin_wait (node, r, SS_WAIT_STATUS, left_ms);
  return true;
}

static const SsTarget *
find_unreported (const SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    if (!group->servers[i]->state_ms)
      return group->servers[i];
  return NULL;
}

static void
refuse (SsNode *node, SsRequest *r, SsReason reason)
{
  ss_request_finish (node, r, SS_VERDICT_NOT_RUN, reason,
                     SS_RETRY_PROMOTION_MS);
}

/* Refuses a read that no server may serve.  If an overloaded server was the
 * only one that could, the caller is told when that one has room.
 */
static void
refuse_read (SsNode *node, SsRequest *r)
{
  if (r->tries && r->refusal == SS_REASON_OVERLOAD)
    ss_request_finish (node, r, SS_VERDICT_NOT_RUN, r->refusal,
                       r->retry_after_ms);
  else
    refuse (node, r, SS_REASON_NO_REPLICA);
}

/* Has R wait for a usable primary if a failover is expected to end before R's
 * deadline; else refuses it at once.
 */
static void
wait_for_primary (SsNode *node, SsRequest *r, SsGroup *group)
{
  int64_t until_ms = 0;

  if (ss_dialect_multiplexes_sessions (node->dialect)
      && ss_predict_primary (node, group, r->deadline_ms, &until_ms))
    ss_request_begin_wait (node, r, SS_WAIT_PRIMARY, until_ms - node->now_ms);
  else
    refuse (node, r, SS_REASON_NO_PRIMARY);
}

static void
route_read (SsNode *node, SsRequest *r, SsGroup *group)
{
  SsConfirmedPositions *confirmed = ss_confirmed_get (node, group->name);
  SsTarget *t;

  if (!find_floor (node, r, confirmed))
    {
      if (!*group->primary)
        {
          wait_for_primary (node, r, group);
          return;
        }
      ss_request_begin_wait (node, r, SS_WAIT_CONFIRMED, CONFIRM_WAIT_MS);
      ss_confirmed_request (node, confirmed, floor_since_ms (r));
      return;
    }
  t = ss_dialect_multiplexes_sessions (node->dialect)
          ? ss_choice_checked_read (node, r, group)
          : ss_choice_read (node, r, group);
  if (t)
    send_run (node, r, ss_node_owner (node, t), t->name, false);
  else if (!begin_status_wait (node, r, find_unreported (group)))
    refuse_read (node, r);
}

static void
route_write (SsNode *node, SsRequest *r, SsGroup *group)
{
  SsTarget *t = ss_choice_write (node, group);

  /* The first read of a transaction, and a strict read, must not come from a
   * superseded primary.
   */
  r->confirm = r->begins || r->is_read;
  if (t)
    send_run (node, r, ss_node_owner (node, t), t->name, false);
  else if (!begin_status_wait (node, r, ss_group_primary (group)))
    wait_for_primary (node, r, group);
}

bool
ss_route_needs_primary (const SsNode *node, const SsRequest *r)
{
  return !r->is_read
         || (r->strict && ss_dialect_multiplexes_sessions (node->dialect));
}

void
ss_route (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;
  SsGroup *group = ss_session_group (node, s);

  if (s->pinned_vm)
    send_run (node, r, s->pinned_vm, s->pinned_target, true);
  else if (!group)
    ss_request_finish (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_SERVICE, 0);
  else if (!ss_rate_limit_admit (node, r))
    return;
  else if (ss_route_needs_primary (node, r))
    route_write (node, r, group);
  else
    route_read (node, r, group);
}

void
ss_route_await_primary (SsNode *node, SsRequest *r)
{
  SsGroup *group = ss_session_group (node, r->session);

  if (group)
    wait_for_primary (node, r, group);
  else
    ss_request_finish (node, r, SS_VERDICT_NOT_RUN, SS_REASON_NO_SERVICE, 0);
}

/* Sets how recent the data must be that the read R of KIND sees.  Returns false
 * where SERVICE does not define KIND.
 */
static bool
set_freshness (SsRequest *r, const SsService *service, const char *kind)
{
  int64_t staleness_ms
      = strcmp (kind, "strict") == 0 ? 0 : ss_service_staleness (service, kind);

  r->staleness_ms = staleness_ms;
  /* A bound of 0 excludes no commit that was acknowledged before the read. */
  r->strict = staleness_ms == 0 && strcmp (kind, "session") != 0;
  return staleness_ms >= 0;
}

bool
ss_route_classify (SsNode *node, SsRequest *r)
{
  SsSession *s = r->session;
  SsService *service = ss_config_service (&node->config, s->service);
  const char *kind = s->kind;

  if (!service)
    return true;
  if (ss_dialect_multiplexes_sessions (node->dialect))
    return set_freshness (r, service, service->default_kind);
  if (!kind)
    kind = service->default_kind;
  if (ss_session_sql_is_read_only_begin (r->sql))
    {
      r->is_read = true;
      kind = *kind && strcmp (kind, "write") != 0 ? kind : "session";
    }
  else if (strcmp (kind, "write") != 0 && *kind)
    r->is_read = !ss_session_sql_begins_transaction (r->sql);
  if (!r->is_read)
    return true;
  return set_freshness (r, service, kind);
}
