/* quorum: replication to a majority, and confirmed positions, at the owner of a
 * group's primary.
 *
 * A commit is answered once a majority of the servers has replicated it.  The
 * primary's position is confirmed by a lease, or by status replies of a
 * majority.
 */
#include <string.h>

#include "core/owner.h"
#include "core/promotion.h"
#include "core/version.h"
#include "core/voters.h"

#define STATUS_RETRY_MS 100
/* Weight of a new sample in mean_hold_ms. */
#define HOLD_GAIN 0.05
/* A target's responses to reads also carry its position, at no extra cost: it
 * is polled only if no response arrives within this time.  One server is
 * enough, so the others are polled later.
 */
#define FIRST_POLL_AFTER_MS 120
#define OTHERS_POLL_AFTER_MS 300
#define ROUND_TIMEOUT_MS 300
/* Commits count as stalled once one has waited this long: far above a replica's
 * lag plus a round trip between regions, as servers of other failure domains
 * may be in other regions.
 */
#define STALLED_AFTER_MS 400
/* The primary's position from a response is used without a new round up to this
 * age, or up to the lower one that a request names.
 */
#define POSITION_MAX_AGE_MS 250

static void
send_status_request (SsNode *node, SsTarget *t, uint64_t request_id,
                     SsPosition position, uint32_t poll_after_ms)
{
  const char *owner = ss_node_owner (node, t);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusAsk m = SS__PEER__STATUS_ASK__INIT;
  Ss__Peer__Position p;

  if (!owner)
    return;
  ss_position_pack (&p, position);
  m.target = t->name;
  m.ask = request_id;
  m.held = &p;
  m.poll_after_ms = poll_after_ms;
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_ASK;
  e.status_ask = &m;
  ss_node_send (node, owner, &e);
}

void
ss_quorum_request_status (SsNode *node, SsTarget *t)
{
  send_status_request (node, t, ++node->next_status_request,
                       (SsPosition){ 0, 0 }, 0);
}

/* --- commits that wait for replication to a majority --- */

/* Whether T has replicated COMMIT: its last log entry has the commit's term and
 * an offset at or above the commit's.  Logs do not diverge within one term.
 */
static bool
has_replicated (const SsTarget *t, SsPosition commit)
{
  return t->state.held.term == commit.term
         && t->state.held.offset >= commit.offset;
}

/* Whether commits wait, or the position of one is still to be replicated.  A
 * commit can wait for a lease alone.
 */
static bool
has_open_commits (const SsOwnedTarget *owned)
{
  return owned->unreplicated.offset || owned->waiters.length;
}

/* Returns the servers that have COMMIT, as a bit set of group->servers: the
 * primary that committed it, and the replicas that have replicated it.
 */
static uint32_t
holders (const SsGroup *group, const SsOwnedTarget *owned, SsPosition commit)
{
  uint32_t servers = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i] == owned->target
        || has_replicated (group->servers[i], commit))
      servers |= 1U << i;
  return servers;
}

static bool
has_majority (const SsGroup *group, const SsOwnedTarget *owned,
              SsPosition commit)
{
  return ss_group_is_majority (group, holders (group, owned, commit));
}

static bool
is_superseded (const SsGroup *group, const SsOwnedTarget *owned,
               SsPosition commit)
{
  return group->term > commit.term
         || owned->target->state.shown_term > commit.term;
}

static void
request_replica_status (SsNode *node, SsOwnedTarget *owned,
                        const SsGroup *group)
{
  uint32_t poll_after_ms = FIRST_POLL_AFTER_MS;

  for (uint32_t i = 0; owned->unreplicated.offset && i < group->server_count;
       i++)
    {
      SsTarget *t = group->servers[i];

      if (t == owned->target || has_replicated (t, owned->unreplicated))
        continue;
      if (owned->replica_requests[i]
          && node->now_ms - owned->replica_requested_ms[i] < STATUS_RETRY_MS)
        continue;
      owned->replica_requests[i] = ++node->next_status_request;
      owned->replica_requested_ms[i] = node->now_ms;
      owned->replica_wanted[i] = owned->unreplicated;
      send_status_request (node, t, owned->replica_requests[i],
                           owned->unreplicated, poll_after_ms);
      poll_after_ms = OTHERS_POLL_AFTER_MS;
    }
}

/* Whether COMMIT is acknowledged: a majority has it, and no later primary can
 * have taken over without one of its servers.
 */
static bool
is_replicated (SsNode *node, const SsGroup *group, const SsOwnedTarget *owned,
               SsPosition commit)
{
  uint32_t servers = holders (group, owned, commit);

  return ss_group_is_majority (group, servers)
         && (!node->dialect->platform_promotes || ss_lease_holds (node, group)
             || ss_lease_is_confirmed_by (node, group, servers));
}

/* Updates whether commits are stalled.  If one commit waits longer than
 * STALLED_AFTER_MS, new ones would wait as well until a replica has caught up.
 */
static void
update_stalled (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  const SsJob *first = g_queue_peek_head (&owned->waiters);
  bool replication_stalled = owned->replication_stalled;

  if (owned->unreplicated.offset
      && (has_majority (group, owned, owned->unreplicated)
          || is_superseded (group, owned, owned->unreplicated)))
    owned->unreplicated = (SsPosition){ 0, 0 };
  if (!owned->unreplicated.offset)
    replication_stalled = false;
  else if (first && node->now_ms - first->committed_ms >= STALLED_AFTER_MS)
    replication_stalled = true;
  if (replication_stalled == owned->replication_stalled)
    return;
  owned->replication_stalled = replication_stalled;
  owned->stalled_since_ms = node->now_ms;
  ss_node_log (
      node, replication_stalled ? SS_EVENT_LOG_UNHELD : SS_EVENT_LOG_HELD,
      owned->target->name,
      "group=%s unheld=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, group->name,
      owned->unreplicated.term, owned->unreplicated.offset);
}

uint32_t
ss_quorum_stalled_ms (const SsNode *node, const SsOwnedTarget *owned)
{
  if (!owned->replication_stalled)
    return 0;
  return (uint32_t) (node->now_ms - owned->stalled_since_ms);
}

/* Answers every waiting commit whose outcome is known or whose deadline has
 * passed.
 */
static void
check_waiters (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  GList *next;

  for (GList *l = owned->waiters.head; l; l = next)
    {
      SsJob *job = l->data;
      bool replicated = is_replicated (node, group, owned, job->commit);
      bool superseded = is_superseded (group, owned, job->commit);

      next = l->next;
      if (!replicated && !superseded && node->now_ms < job->item.deadline_ms)
        continue;
      g_queue_delete_link (&owned->waiters, l);
      if (replicated)
        {
          owned->mean_hold_ms += HOLD_GAIN
                                 * ((double) (node->now_ms - job->committed_ms)
                                    - owned->mean_hold_ms);
          ss_job_answer (node, job, SS_VERDICT_RAN, SS_REASON_NONE, 0);
        }
      else
        ss_job_answer (node, job, SS_VERDICT_MAY_HAVE_RUN,
                       superseded ? SS_REASON_SUPERSEDED : SS_REASON_NOT_HELD,
                       SS_RETRY_PROMOTION_MS);
    }
}

void
ss_quorum_wait (SsNode *node, SsJob *job)
{
  SsOwnedTarget *owned = job->owned;
  SsGroup *group = ss_owned_group (node, owned);

  job->committed_ms = node->now_ms;
  owned->unreplicated = ss_position_max (owned->unreplicated, job->commit);
  g_queue_push_tail (&owned->waiters, job);
  if (!group)
    return;
  check_waiters (node, owned, group);
  request_replica_status (node, owned, group);
}

void
ss_quorum_check (SsNode *node, SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsOwnedTarget *owned = ss_owner_find (node, group->servers[i]->name);

      if (!owned || !has_open_commits (owned))
        continue;
      check_waiters (node, owned, group);
      update_stalled (node, owned, group);
      request_replica_status (node, owned, group);
    }
}

/* --- rounds that confirm the primary's position --- */

static void
start_round (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  SsConfirmationRound *r = &owned->round;
  GPtrArray *requesters = r->next;
  bool polls_all;

  r->next = r->requesters;
  r->requesters = requesters;
  g_ptr_array_set_size (r->next, 0);
  r->running = true;
  r->started_ms = node->now_ms;
  r->request_id = ++node->next_status_request;
  r->due_ms = node->now_ms + ROUND_TIMEOUT_MS;
  r->confirmed = 0;
  r->has_position = false;
  r->term = group->term;
  ss_node_count (node, SS_COUNTER_MARK_ROUNDS);
  polls_all = !ss_lease_holds (node, group) && ss_lease_may_ask_servers (node);
  if (!ss_lease_holds (node, group) && !polls_all)
    ss_lease_hurry (node);
  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i] == owned->target || polls_all)
      send_status_request (node, group->servers[i], r->request_id,
                           (SsPosition){ 0, 0 }, 0);
}

static void
end_round (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  SsConfirmationRound *r = &owned->round;

  r->running = false;
  g_ptr_array_set_size (r->requesters, 0);
  if ((r->next->len || !g_queue_is_empty (&owned->unconfirmed))
      && owned->active)
    start_round (node, owned, group);
}

/* Logs on what this VM relies for OWNED from now on.  The round's servers are
 * those that have shown no later term.
 */
static void
log_basis (SsNode *node, const SsOwnedTarget *owned, const SsGroup *group,
           int64_t confirmed_ms)
{
  const SsVoters *voters = ss_config_voters (&node->config, group->name);
  GString *servers = g_string_new (NULL);

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      const SsTarget *t = group->servers[i];

      g_string_append_printf (
          servers, " %s=%" G_GUINT64_FORMAT "/%" G_GINT64_FORMAT "ms%s",
          t->name, t->state.shown_term, node->now_ms - t->state_ms,
          owned->round.confirmed >> i & 1 ? "/counted" : "");
    }
  ss_node_log (
      node, SS_EVENT_LOG_PRIMARY_RELIED, owned->target->name,
      "group=%s term=%" G_GUINT64_FORMAT " basis=%s age_ms=%" G_GINT64_FORMAT
      " group_version=" SS_VERSION_FORMAT
      " voters_generation=%" G_GUINT64_FORMAT "%s",
      group->name, group->term, ss_reliance_basis_name (owned->reliance.basis),
      node->now_ms - confirmed_ms, SS_VERSION_ARGS (group->version),
      voters ? voters->generation : 0, servers->str);
  g_string_free (servers, TRUE);
}

/* JOB may run: the primary is confirmed, under a lease or by the round. */
static void
let_through (SsNode *node, SsOwnedTarget *owned, const SsGroup *group,
             SsJob *job)
{
  bool has_lease = group && ss_lease_holds (node, group);
  int64_t confirmed_ms
      = has_lease ? group->confirmed_ms : owned->round.started_ms;

  if (group
      && ss_reliance_note (&owned->reliance, job->label,
                           has_lease ? SS_RELIANCE_LEASE : SS_RELIANCE_SERVERS,
                           group->term, confirmed_ms, node->now_ms))
    log_basis (node, owned, group, confirmed_ms);
  ss_job_queue (node, owned, job);
}

/* Queues the jobs that arrived before the round began if it was CONFIRMED, and
 * refuses them otherwise.
 */
static void
resolve_unconfirmed (SsNode *node, SsOwnedTarget *owned, bool confirmed)
{
  GList *next;

  for (GList *l = owned->unconfirmed.head; l; l = next)
    {
      SsJob *job = l->data;

      next = l->next;
      if (job->received_ms > owned->round.started_ms)
        continue;
      g_queue_delete_link (&owned->unconfirmed, l);
      if (confirmed)
        let_through (node, owned, ss_owned_group (node, owned), job);
      else
        ss_job_answer (node, job, SS_VERDICT_NOT_RUN, SS_REASON_NO_MARK,
                       SS_RETRY_PROMOTION_MS);
    }
}

void
ss_quorum_confirm (SsNode *node, SsJob *job)
{
  SsOwnedTarget *owned = job->owned;
  SsGroup *group = ss_owned_group (node, owned);

  if (!group || ss_lease_holds (node, group))
    {
      let_through (node, owned, group, job);
      return;
    }
  g_queue_push_tail (&owned->unconfirmed, job);
  if (!owned->round.running)
    start_round (node, owned, group);
}

void
ss_quorum_note_position (SsNode *node, SsOwnedTarget *owned, int64_t sent_ms,
                         SsPosition position)
{
  (void) node;
  if (sent_ms < owned->last_position.requested_ms)
    return;
  owned->last_position.requested_ms = sent_ms;
  owned->last_position.position = position;
}

/* Whether the primary's last response gives a position that can stand for a
 * confirmed one: a lease is held, and the response is of the current term and
 * no older than MAX_AGE_MS.
 */
static bool
has_fresh_position (SsNode *node, const SsOwnedTarget *owned,
                    const SsGroup *group, uint32_t max_age_ms)
{
  return ss_dialect_multiplexes_sessions (node->dialect)
         && ss_lease_holds (node, group)
         && owned->last_position.position.term == group->term
         && node->now_ms - owned->last_position.requested_ms <= max_age_ms;
}

bool
ss_quorum_position (SsNode *node, SsOwnedTarget *owned, SsPosition *position,
                    uint32_t *age_ms)
{
  const SsGroup *group = ss_owned_group (node, owned);

  if (!group || ss_group_primary (group) != owned->target
      || !has_fresh_position (node, owned, group, POSITION_MAX_AGE_MS))
    return false;
  *position = owned->last_position.position;
  *age_ms = (uint32_t) (node->now_ms - owned->last_position.requested_ms);
  return true;
}

static void
send_confirmed_position (SsNode *node, const char *vm, const SsGroup *group,
                         uint64_t nonce, SsPosition position, uint32_t age_ms)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__MarkReply m = SS__PEER__MARK_REPLY__INIT;
  Ss__Peer__Position p;

  ss_position_pack (&p, position);
  m.group = group->name;
  m.nonce = nonce;
  m.mark = &p;
  m.age_ms = age_ms;
  e.body_case = SS__PEER__ENVELOPE__BODY_MARK_REPLY;
  e.mark_reply = &m;
  ss_node_send (node, vm, &e);
}

static void
answer_round (SsNode *node, const SsOwnedTarget *owned, const SsGroup *group)
{
  const SsConfirmationRound *r = &owned->round;

  for (guint i = 0; i < r->requesters->len; i++)
    {
      const SsStatusRequest *request = g_ptr_array_index (r->requesters, i);
      guint count = g_strv_length (request->identities);
      SsEnvelope e = SS__PEER__ENVELOPE__INIT;
      Ss__Peer__MarkReply m = SS__PEER__MARK_REPLY__INIT;
      Ss__Peer__Position *floors = g_new (Ss__Peer__Position, count + 1);
      Ss__Peer__Position **list = g_new (Ss__Peer__Position *, count + 1);
      Ss__Peer__Position p;

      ss_position_pack (&p, r->position);
      m.group = group->name;
      m.nonce = request->request_id;
      m.mark = &p;
      e.body_case = SS__PEER__ENVELOPE__BODY_MARK_REPLY;
      e.mark_reply = &m;
      for (guint j = 0; j < count; j++)
        {
          ss_position_pack (&floors[j],
                            ss_writers_floor (&owned->writers,
                                              request->identities[j],
                                              r->position));
          list[j] = &floors[j];
        }
      m.floors = list;
      m.n_floors = count;
      ss_node_send (node, request->vm, &e);
      g_free (floors);
      g_free (list);
    }
}

static char **
copy_identities (const Ss__Peer__MarkAsk *m)
{
  char **copy = g_new0 (char *, m->n_identities + 1);

  for (size_t i = 0; i < m->n_identities; i++)
    copy[i] = g_strdup (m->identities[i]);
  return copy;
}

/* Returns the highest age, in milliseconds, of a position that answers M. */
static uint32_t
accepted_age_ms (const Ss__Peer__MarkAsk *m)
{
  return m->max_age_ms ? MIN (m->max_age_ms, POSITION_MAX_AGE_MS)
                       : POSITION_MAX_AGE_MS;
}

void
ss_quorum_handle_mark_ask (SsNode *node, const char *from,
                           const Ss__Peer__MarkAsk *m)
{
  SsGroup *group = ss_config_group (&node->config, m->group);
  SsTarget *primary = group ? ss_group_primary (group) : NULL;
  SsOwnedTarget *owned = primary ? ss_owner_find (node, primary->name) : NULL;
  SsStatusRequest *request;

  if (!owned || !owned->active)
    return;
  if (has_fresh_position (node, owned, group, accepted_age_ms (m)))
    {
      send_confirmed_position (
          node, from, group, m->nonce, owned->last_position.position,
          (uint32_t) (node->now_ms - owned->last_position.requested_ms));
      return;
    }
  request = g_new0 (SsStatusRequest, 1);
  request->vm = g_strdup (from);
  request->request_id = m->nonce;
  request->identities = copy_identities (m);
  g_ptr_array_add (owned->round.next, request);
  if (!owned->round.running)
    start_round (node, owned, group);
}

/* Ends the round if the primary is confirmed. */
static void
check_round (SsNode *node, SsOwnedTarget *owned, const SsGroup *group)
{
  SsConfirmationRound *r = &owned->round;
  bool by_servers = ss_lease_is_confirmed_by (node, group, r->confirmed);

  if (!r->has_position || (!by_servers && !ss_lease_holds (node, group)))
    return;
  answer_round (node, owned, group);
  resolve_unconfirmed (node, owned, true);
  end_round (node, owned, group);
}

/* Every reply comes from a poll that began after the round did.  If no
 * server of a majority reports a higher term, no later primary had acknowledged
 * anything by then.
 */
static void
on_round_reply (SsNode *node, SsOwnedTarget *owned, const SsGroup *group,
                uint32_t server, const SsServerState *state)
{
  SsConfirmationRound *r = &owned->round;

  if (!state->reachable)
    return;
  if (state->shown_term > r->term || group->term != r->term)
    {
      resolve_unconfirmed (node, owned, false);
      end_round (node, owned, group);
      return;
    }
  r->confirmed |= 1U << server;
  if (group->servers[server] == owned->target
      && state->role == SS_SERVER_PRIMARY && state->shown_term == r->term)
    {
      r->has_position = true;
      r->position = state->held;
    }
  check_round (node, owned, group);
}

void
ss_quorum_lease_obtained (SsNode *node, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsOwnedTarget *owned = primary ? ss_owner_find (node, primary->name) : NULL;

  if (!owned)
    return;
  if (owned->round.running)
    check_round (node, owned, group);
  if (has_open_commits (owned))
    check_waiters (node, owned, group);
}

void
ss_quorum_handle_status (SsNode *node, SsTarget *target, uint64_t request_id,
                         const SsServerState *state)
{
  SsGroup *group = ss_config_group (&node->config, target->group);

  for (uint32_t i = 0; group && i < group->server_count; i++)
    {
      SsOwnedTarget *owned = ss_owner_find (node, group->servers[i]->name);

      if (!owned)
        continue;
      for (uint32_t j = 0; j < group->server_count; j++)
        {
          if (group->servers[j] != target)
            continue;
          /* A server without the position is asked again after a pause only:
           * it answers at once if it was shown a later term.
           */
          if (owned->replica_requests[j] == request_id
              && has_replicated (target, owned->replica_wanted[j]))
            owned->replica_requests[j] = 0;
          if (owned->round.running && owned->round.request_id == request_id)
            on_round_reply (node, owned, group, j, state);
        }
    }
}

void
ss_quorum_end_commits (SsNode *node, SsOwnedTarget *owned, SsReason reason)
{
  SsJob *job;

  owned->unreplicated = (SsPosition){ 0, 0 };
  while ((job = g_queue_pop_head (&owned->waiters)))
    ss_job_answer (node, job, SS_VERDICT_MAY_HAVE_RUN, reason,
                   SS_RETRY_PROMOTION_MS);
}

/* The group was removed: no majority of it will be known. */
static void
end_without_group (SsNode *node, SsOwnedTarget *owned)
{
  owned->round.running = false;
  resolve_unconfirmed (node, owned, false);
  ss_quorum_end_commits (node, owned, SS_REASON_NOT_HELD);
}

void
ss_quorum_tick (SsNode *node, SsOwnedTarget *owned)
{
  SsGroup *group = ss_owned_group (node, owned);

  if (!group)
    {
      end_without_group (node, owned);
      return;
    }
  if (has_open_commits (owned))
    {
      check_waiters (node, owned, group);
      update_stalled (node, owned, group);
      request_replica_status (node, owned, group);
    }
  if (!owned->round.running || node->now_ms < owned->round.due_ms)
    return;
  resolve_unconfirmed (node, owned, false);
  end_round (node, owned, group);
}
