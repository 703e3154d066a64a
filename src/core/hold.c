#include <string.h>

#include "core/owner.h"

#define ASK_AGAIN_MS 100
/* What a target holds is also told by its answers to reads, at no cost: it is
 * polled only where none came in this time.  One server is enough, so the
 * others are polled later.
 */
#define FIRST_POLL_AFTER_MS 120
#define OTHERS_POLL_AFTER_MS 300
#define ROUND_MS 300
/* Far above a replica's lag and two ways between regions. */
#define STUCK_MS 400
/* A position that an answer told this long ago is as good as a new one. */
#define SEEN_MS 250

static void
send_status_ask (SsNode *node, SsTarget *t, uint64_t ask, SsPosition held,
                 uint32_t poll_after_ms)
{
  const char *owner = ss_node_owner (node, t);
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusAsk m = SS__PEER__STATUS_ASK__INIT;
  Ss__Peer__Position p;

  if (!owner)
    return;
  ss_position_pack (&p, held);
  m.target = t->name;
  m.ask = ask;
  m.held = &p;
  m.poll_after_ms = poll_after_ms;
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_ASK;
  e.status_ask = &m;
  ss_node_send (node, owner, &e);
}

void
ss_hold_ask_status (SsNode *node, SsTarget *t)
{
  send_status_ask (node, t, ++node->next_ask, (SsPosition){ 0, 0 }, 0);
}

/* --- commits that wait for a majority --- */

/* A server whose last entry has the commit's term and stands at it or above
 * holds it: a log of one term has only one content.
 */
static bool
holds (const SsTarget *t, SsPosition commit)
{
  return t->state.held.term == commit.term
         && t->state.held.offset >= commit.offset;
}

static bool
is_held (const SsGroup *group, const SsOwned *owned, SsPosition commit)
{
  uint32_t holders = 1; /* the primary that committed it */

  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i] != owned->target && holds (group->servers[i], commit))
      holders++;
  return holders >= ss_group_majority (group);
}

static bool
is_superseded (const SsGroup *group, const SsOwned *owned, SsPosition commit)
{
  return group->term > commit.term
         || owned->target->state.shown_term > commit.term;
}

static void
ask_holders (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  uint32_t poll_after_ms = FIRST_POLL_AFTER_MS;

  for (uint32_t i = 0; owned->unheld.offset && i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];

      if (t == owned->target || holds (t, owned->unheld))
        continue;
      if (owned->held_asks[i]
          && node->now_ms - owned->held_asked_ms[i] < ASK_AGAIN_MS)
        continue;
      owned->held_asks[i] = ++node->next_ask;
      owned->held_asked_ms[i] = node->now_ms;
      send_status_ask (node, t, owned->held_asks[i], owned->unheld,
                       poll_after_ms);
      poll_after_ms = OTHERS_POLL_AFTER_MS;
    }
}

/* Whether no later primary can have come about by now. */
static bool
is_in_force (SsNode *node, const SsGroup *group)
{
  return !node->dialect->platform_promotes || ss_lease_holds (node, group)
         || ss_lease_may_ask_servers (node);
}

/* Notes whether commits are held at all: where one waits for long, others
 * would, too, until a server has caught up.
 */
static void
check_stuck (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  const SsJob *first = g_queue_peek_head (&owned->waiters);
  bool stuck = owned->stuck;

  if (owned->unheld.offset
      && (is_held (group, owned, owned->unheld)
          || is_superseded (group, owned, owned->unheld)))
    owned->unheld = (SsPosition){ 0, 0 };
  if (!owned->unheld.offset)
    stuck = false;
  else if (first && node->now_ms - first->committed_ms >= STUCK_MS)
    stuck = true;
  if (stuck == owned->stuck)
    return;
  owned->stuck = stuck;
  ss_node_log (node, stuck ? SS_EVENT_LOG_UNHELD : SS_EVENT_LOG_HELD,
               owned->target->name,
               "group=%s unheld=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
               group->name, owned->unheld.term, owned->unheld.offset);
}

/* Answers every waiter whose fate is known. */
static void
check_waiters (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  GList *next;

  for (GList *l = owned->waiters.head; l; l = next)
    {
      SsJob *job = l->data;
      bool held
          = is_held (group, owned, job->commit) && is_in_force (node, group);
      bool superseded = is_superseded (group, owned, job->commit);

      next = l->next;
      if (!held && !superseded && node->now_ms < job->item.deadline_ms)
        continue;
      g_queue_delete_link (&owned->waiters, l);
      if (held)
        ss_job_answer (node, job, SS_VERDICT_RAN, SS_REASON_NONE, 0);
      else
        ss_job_answer (node, job, SS_VERDICT_MAY_HAVE_RUN,
                       superseded ? SS_REASON_SUPERSEDED : SS_REASON_NOT_HELD,
                       SS_RETRY_PROMOTION_MS);
    }
}

void
ss_hold_wait (SsNode *node, SsJob *job)
{
  SsOwned *owned = job->owned;
  SsGroup *group = ss_owned_group (node, owned);

  job->committed_ms = node->now_ms;
  owned->unheld = ss_position_max (owned->unheld, job->commit);
  g_queue_push_tail (&owned->waiters, job);
  if (!group)
    return;
  check_waiters (node, owned, group);
  ask_holders (node, owned, group);
}

void
ss_hold_check (SsNode *node, SsGroup *group)
{
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsOwned *owned = ss_owner_find (node, group->servers[i]->name);

      if (!owned || !owned->unheld.offset)
        continue;
      check_waiters (node, owned, group);
      check_stuck (node, owned, group);
      ask_holders (node, owned, group);
    }
}

/* --- rounds that confirm the primary's position --- */

static void
start_round (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  SsRound *r = &owned->round;
  GPtrArray *askers = r->next;
  bool asks_all;

  r->next = r->askers;
  r->askers = askers;
  g_ptr_array_set_size (r->next, 0);
  r->running = true;
  r->started_ms = node->now_ms;
  r->ask = ++node->next_ask;
  r->due_ms = node->now_ms + ROUND_MS;
  r->confirmed = 0;
  r->has_position = false;
  r->term = group->term;
  ss_node_count (node, SS_COUNTER_MARK_ROUNDS);
  asks_all = !ss_lease_holds (node, group) && ss_lease_may_ask_servers (node);
  if (!ss_lease_holds (node, group) && !asks_all)
    node->lease_due_ms = MIN (node->lease_due_ms, node->now_ms);
  for (uint32_t i = 0; i < group->server_count; i++)
    if (group->servers[i] == owned->target || asks_all)
      send_status_ask (node, group->servers[i], r->ask, (SsPosition){ 0, 0 },
                       0);
}

static void
end_round (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  SsRound *r = &owned->round;

  r->running = false;
  g_ptr_array_set_size (r->askers, 0);
  if ((r->next->len || !g_queue_is_empty (&owned->unconfirmed))
      && owned->active)
    start_round (node, owned, group);
}

/* Lets the jobs go that came before the round, or refuses them. */
static void
end_unconfirmed (SsNode *node, SsOwned *owned, bool confirmed)
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
        ss_job_queue (node, owned, job);
      else
        ss_job_answer (node, job, SS_VERDICT_NOT_RUN, SS_REASON_NO_MARK,
                       SS_RETRY_PROMOTION_MS);
    }
}

void
ss_hold_confirm (SsNode *node, SsJob *job)
{
  SsOwned *owned = job->owned;
  SsGroup *group = ss_owned_group (node, owned);

  if (!group || ss_lease_holds (node, group))
    {
      ss_job_queue (node, owned, job);
      return;
    }
  g_queue_push_tail (&owned->unconfirmed, job);
  if (!owned->round.running)
    start_round (node, owned, group);
}

void
ss_hold_note (SsNode *node, SsOwned *owned, int64_t sent_ms,
              SsPosition position)
{
  (void) node;
  if (sent_ms < owned->seen.asked_ms)
    return;
  owned->seen.asked_ms = sent_ms;
  owned->seen.position = position;
}

/* Whether what the primary last answered tells its position well enough. */
static bool
knows_position (SsNode *node, const SsOwned *owned, const SsGroup *group)
{
  return ss_dialect_keeps_sessions (node->dialect)
         && ss_lease_holds (node, group)
         && owned->seen.position.term == group->term
         && node->now_ms - owned->seen.asked_ms <= SEEN_MS;
}

bool
ss_hold_position (SsNode *node, SsOwned *owned, SsPosition *position,
                  uint32_t *age_ms)
{
  const SsGroup *group = ss_owned_group (node, owned);

  if (!group || ss_group_primary (group) != owned->target
      || !knows_position (node, owned, group))
    return false;
  *position = owned->seen.position;
  *age_ms = (uint32_t) (node->now_ms - owned->seen.asked_ms);
  return true;
}

static void
send_mark (SsNode *node, const char *vm, const SsGroup *group, uint64_t ask,
           SsPosition position, uint32_t age_ms)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__MarkReply m = SS__PEER__MARK_REPLY__INIT;
  Ss__Peer__Position p;

  ss_position_pack (&p, position);
  m.group = group->name;
  m.nonce = ask;
  m.mark = &p;
  m.age_ms = age_ms;
  e.body_case = SS__PEER__ENVELOPE__BODY_MARK_REPLY;
  e.mark_reply = &m;
  ss_node_send (node, vm, &e);
}

static void
answer_round (SsNode *node, const SsOwned *owned, const SsGroup *group)
{
  const SsRound *r = &owned->round;

  for (guint i = 0; i < r->askers->len; i++)
    {
      const SsAsk *ask = g_ptr_array_index (r->askers, i);
      guint count = g_strv_length (ask->identities);
      SsEnvelope e = SS__PEER__ENVELOPE__INIT;
      Ss__Peer__MarkReply m = SS__PEER__MARK_REPLY__INIT;
      Ss__Peer__Position *floors = g_new (Ss__Peer__Position, count + 1);
      Ss__Peer__Position **list = g_new (Ss__Peer__Position *, count + 1);
      Ss__Peer__Position p;

      ss_position_pack (&p, r->position);
      m.group = group->name;
      m.nonce = ask->ask;
      m.mark = &p;
      e.body_case = SS__PEER__ENVELOPE__BODY_MARK_REPLY;
      e.mark_reply = &m;
      for (guint j = 0; j < count; j++)
        {
          ss_position_pack (&floors[j],
                            ss_writers_floor (&owned->writers,
                                              ask->identities[j], r->position));
          list[j] = &floors[j];
        }
      m.floors = list;
      m.n_floors = count;
      ss_node_send (node, ask->vm, &e);
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

void
ss_hold_round_ask (SsNode *node, const char *from, const Ss__Peer__MarkAsk *m)
{
  SsGroup *group = ss_config_group (&node->config, m->group);
  SsTarget *primary = group ? ss_group_primary (group) : NULL;
  SsOwned *owned = primary ? ss_owner_find (node, primary->name) : NULL;
  SsAsk *ask;

  if (!owned || !owned->active)
    return;
  if (knows_position (node, owned, group))
    {
      send_mark (node, from, group, m->nonce, owned->seen.position,
                 (uint32_t) (node->now_ms - owned->seen.asked_ms));
      return;
    }
  ask = g_new0 (SsAsk, 1);
  ask->vm = g_strdup (from);
  ask->ask = m->nonce;
  ask->identities = copy_identities (m);
  g_ptr_array_add (owned->round.next, ask);
  if (!owned->round.running)
    start_round (node, owned, group);
}

static uint32_t
count_bits (uint32_t bits)
{
  return (uint32_t) __builtin_popcount (bits);
}

/* Ends the round where the primary is confirmed. */
static void
check_round (SsNode *node, SsOwned *owned, const SsGroup *group)
{
  SsRound *r = &owned->round;
  bool by_servers = count_bits (r->confirmed) >= ss_group_majority (group)
                    && ss_lease_may_ask_servers (node);

  if (!r->has_position || (!by_servers && !ss_lease_holds (node, group)))
    return;
  answer_round (node, owned, group);
  end_unconfirmed (node, owned, true);
  end_round (node, owned, group);
}

/* Every answer comes from a poll begun after the round was: where a majority
 * shows no higher term, no later primary had acknowledged anything by then.
 */
static void
take_round_answer (SsNode *node, SsOwned *owned, const SsGroup *group,
                   uint32_t server, const SsServerState *state)
{
  SsRound *r = &owned->round;

  if (!state->reachable)
    return;
  if (state->shown_term > r->term || group->term != r->term)
    {
      end_unconfirmed (node, owned, false);
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
ss_hold_leased (SsNode *node, SsGroup *group)
{
  SsTarget *primary = ss_group_primary (group);
  SsOwned *owned = primary ? ss_owner_find (node, primary->name) : NULL;

  if (owned && owned->round.running)
    check_round (node, owned, group);
}

void
ss_hold_report (SsNode *node, SsTarget *target, uint64_t ask,
                const SsServerState *state)
{
  SsGroup *group = ss_config_group (&node->config, target->group);

  for (uint32_t i = 0; group && i < group->server_count; i++)
    {
      SsOwned *owned = ss_owner_find (node, group->servers[i]->name);

      if (!owned)
        continue;
      for (uint32_t j = 0; j < group->server_count; j++)
        {
          if (group->servers[j] != target)
            continue;
          if (owned->held_asks[j] == ask)
            owned->held_asks[j] = 0;
          if (owned->round.running && owned->round.ask == ask)
            take_round_answer (node, owned, group, j, state);
        }
    }
}

void
ss_hold_tick (SsNode *node, SsOwned *owned)
{
  SsGroup *group = ss_owned_group (node, owned);

  if (!group)
    return;
  if (owned->unheld.offset)
    {
      check_waiters (node, owned, group);
      check_stuck (node, owned, group);
      ask_holders (node, owned, group);
    }
  if (!owned->round.running || node->now_ms < owned->round.due_ms)
    return;
  end_unconfirmed (node, owned, false);
  end_round (node, owned, group);
}
