#include "core/voter_change.h"

static SsVoters *
next_generation (const SsVoterView *view)
{
  SsVoters *next = ss_voters_new (view->group->name);

  next->generation = view->voters ? view->voters->generation + 1 : 1;
  return next;
}

/* Returns the set that was last in force alone, without the voters that have
 * ended.
 */
static GPtrArray *
last_alone (const SsVoterView *view)
{
  const SsVoters *v = view->voters;
  GPtrArray *set = ss_voters_set_copy (v->former->len ? v->former : v->current);

  for (guint i = set->len; i-- > 0;)
    if (ss_voter_has_ended (g_ptr_array_index (set, i), v->version,
                            view->targets))
      g_ptr_array_remove_index (set, i);
  return set;
}

/* Takes ownership of SERVERS. */
static SsVoters *
begin (const SsVoterView *view, GPtrArray *servers)
{
  SsVoters *next = next_generation (view);
  GPtrArray *before = view->voters ? last_alone (view) : NULL;

  g_ptr_array_unref (next->current);
  next->current = servers;
  if (before && !ss_voters_set_is_equal (before, servers))
    {
      g_ptr_array_unref (next->former);
      next->former = g_ptr_array_ref (before);
    }
  g_clear_pointer (&before, g_ptr_array_unref);
  return next;
}

static SsVoters *
end (const SsVoterView *view)
{
  SsVoters *next = next_generation (view);

  g_ptr_array_unref (next->current);
  next->current = ss_voters_set_copy (view->voters->current);
  return next;
}

/* Whether the voters are the servers of VIEW, and no change is under way. */
static bool
is_settled (const SsVoterView *view)
{
  const SsVoterCount *current = &view->group->current;

  return view->voters && !view->voters->former->len
         && view->voters->current->len == current->count
         && current->listed == view->servers
         && current->count == (uint32_t) __builtin_popcount (view->servers);
}

SsVoterStep
ss_voter_change_next (const SsVoterView *view, SsVoters **next)
{
  const SsVoters *v = view->voters;
  GPtrArray *servers;

  *next = NULL;
  if (is_settled (view))
    return SS_VOTER_STEP_NONE;
  servers = ss_voters_set_of (view->group, view->servers);
  if (servers->len && (!v || !ss_voters_set_is_equal (v->current, servers)))
    {
      *next = begin (view, servers);
      return SS_VOTER_STEP_BEGIN;
    }
  g_ptr_array_unref (servers);
  if (!v || !v->former->len || (view->group->former.count && !view->is_adopted))
    return SS_VOTER_STEP_NONE;
  if (view->group->former.count && !view->is_replicated && !view->is_short)
    return SS_VOTER_STEP_NONE;
  *next = end (view);
  return view->group->former.count && !view->is_replicated ? SS_VOTER_STEP_LOST
                                                           : SS_VOTER_STEP_END;
}

bool
ss_voter_change_holds (const SsGroup *group, SsPosition position)
{
  uint32_t holders = 0;

  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsPosition held = group->servers[i]->state.held;

      if (held.term == position.term && held.offset >= position.offset)
        holders |= 1U << i;
    }
  return ss_group_is_current_majority (group, holders);
}
