#include "core/voter_change.h"

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
  const SsVoters *v = view->voters;
  GPtrArray *before = v ? last_alone (view) : NULL;

  /* A change back ends the change at once. */
  if (before && ss_voters_set_is_equal (before, servers))
    g_clear_pointer (&before, g_ptr_array_unref);
  return ss_voters_new (view->group->name, v ? v->generation + 1 : 1, servers,
                        before);
}

static SsVoters *
end (const SsVoters *v)
{
  return ss_voters_new (v->group, v->generation + 1,
                        ss_voters_set_copy (v->current), NULL);
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
  *next = end (v);
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
