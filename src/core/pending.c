/* pending: requests that are under way here: ends their waits, and retries or
 * abandons those that can't be answered any more.
 */
#include <string.h>

#include "core/entry.h"

/* Time after the deadline for the owner's reply to arrive: its verdict is more
 * exact than the one given here.
 */
#define OWNER_GRACE_MS 100

typedef bool (*RequestPredicate) (SsNode *node, const SsRequest *r,
                                  const void *data);

/* Returns the requests that MATCHES accepts, as a new array: requests may end
 * during the iteration over it.
 */
static GPtrArray *
find_requests (SsNode *node, RequestPredicate matches, const void *data)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (matches (node, value, data))
      g_ptr_array_add (found, value);
  return found;
}

/* Whether R is a write at a server that is no longer the primary of GROUP. */
static bool
is_superseded (SsNode *node, const SsRequest *r, const void *group)
{
  return r->target && !r->is_read
         && !(r->session->pinned_vm && r->session->pinned_is_read)
         && ss_session_group (node, r->session) == group
         && strcmp (r->target, ((const SsGroup *) group)->primary) != 0;
}

void
ss_pending_superseded (SsNode *node, const SsGroup *group)
{
  GPtrArray *superseded = find_requests (node, is_superseded, group);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < superseded->len; i++)
    ss_request_abandon (node, g_ptr_array_index (superseded, i),
                        SS_REASON_SUPERSEDED);
  g_ptr_array_free (superseded, TRUE);
  g_hash_table_iter_init (&iter, node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsSession *s = value;

      if (s->pinned_target && !s->pinned_is_read
          && ss_session_group (node, s) == group
          && strcmp (s->pinned_target, group->primary) != 0)
        ss_session_lose_transaction (node, s);
    }
}

static bool
is_at_vm (SsNode *node, const SsRequest *r, const void *vm)
{
  (void) node;
  return r->vm && strcmp (r->vm, vm) == 0;
}

void
ss_pending_vm_lost (SsNode *node, const char *vm)
{
  GPtrArray *lost = find_requests (node, is_at_vm, vm);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < lost->len; i++)
    {
      SsRequest *r = g_ptr_array_index (lost, i);

      if (ss_request_may_retry (node, r, SS_VERDICT_MAY_HAVE_RUN,
                                SS_REASON_VM_LOST, true))
        ss_request_retry (node, r, SS_REASON_VM_LOST, SS_RETRY_SOON_MS);
      else
        ss_request_abandon (node, r, SS_REASON_VM_LOST);
    }
  g_ptr_array_free (lost, TRUE);
  g_hash_table_iter_init (&iter, node->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsSession *s = value;

      if (s->pinned_vm && strcmp (s->pinned_vm, vm) == 0)
        ss_session_lose_transaction (node, s);
    }
}

typedef struct
{
  const char *group;
  SsWait wait;
} WaitFilter;

static bool
is_waiting (SsNode *node, const SsRequest *r, const void *data)
{
  const WaitFilter *w = data;
  const SsGroup *group;

  if (r->wait != w->wait)
    return false;
  group = ss_session_group (node, r->session);
  return group && strcmp (group->name, w->group) == 0;
}

void
ss_pending_identities (SsNode *node, const char *group, GPtrArray *out)
{
  WaitFilter w = { group, SS_WAIT_CONFIRMED };
  GPtrArray *waiting = find_requests (node, is_waiting, &w);

  for (guint i = 0; i < waiting->len; i++)
    {
      const SsRequest *r = g_ptr_array_index (waiting, i);
      const char *identity = ss_session_identity (node, r->session);

      if (*identity)
        g_ptr_array_add (out, g_strdup (identity));
    }
  g_ptr_array_free (waiting, TRUE);
}

void
ss_pending_wake (SsNode *node, const char *group, SsWait wait)
{
  WaitFilter w = { group, wait };
  GPtrArray *waiting = find_requests (node, is_waiting, &w);

  for (guint i = 0; i < waiting->len; i++)
    {
      SsRequest *r = g_ptr_array_index (waiting, i);

      ss_request_end_wait (node, r);
      ss_route (node, r);
    }
  g_ptr_array_free (waiting, TRUE);
}

/* Whether R's deadline or its wait has expired. */
static bool
is_overdue (SsNode *node, const SsRequest *r, const void *data)
{
  int64_t due_ms = r->deadline_ms + (r->vm ? OWNER_GRACE_MS : 0);

  (void) data;
  if (r->wait != SS_WAIT_NONE && r->wait != SS_WAIT_OWNER
      && r->wait_due_ms < due_ms)
    due_ms = r->wait_due_ms;
  return node->now_ms >= due_ms;
}

static bool
has_paused_for_owner (SsNode *node, const SsRequest *r, const void *data)
{
  (void) data;
  return r->wait == SS_WAIT_OWNER && node->now_ms >= r->wait_due_ms;
}

static bool
waits_for_primary (SsNode *node, const SsRequest *r, const void *data)
{
  const SsGroup *group = ss_session_group (node, r->session);

  (void) data;
  return r->wait == SS_WAIT_PRIMARY && group
         && ss_choice_write (node, (SsGroup *) group) != NULL;
}

/* Routes the waiting requests that IS_READY accepts. */
static void
route_ready (SsNode *node, RequestPredicate is_ready)
{
  GPtrArray *ready = find_requests (node, is_ready, NULL);

  for (guint i = 0; i < ready->len; i++)
    {
      SsRequest *r = g_ptr_array_index (ready, i);

      ss_request_end_wait (node, r);
      ss_route (node, r);
    }
  g_ptr_array_free (ready, TRUE);
}

static bool
is_any (SsNode *node, const SsRequest *r, const void *data)
{
  (void) node;
  (void) r;
  (void) data;
  return true;
}

void
ss_pending_cancel_all (SsNode *node)
{
  GPtrArray *all = find_requests (node, is_any, NULL);

  for (guint i = 0; i < all->len; i++)
    {
      SsRequest *r = g_ptr_array_index (all, i);

      if (r->vm)
        ss_request_cancel (node, r);
      else
        ss_request_abandon (node, r, SS_REASON_STOPPING);
    }
  g_ptr_array_free (all, TRUE);
}

void
ss_pending_tick (SsNode *node)
{
  static const SsReason reasons[]
      = { SS_REASON_DEADLINE,   SS_REASON_NO_MARK,    SS_REASON_NO_PRIMARY,
          SS_REASON_NO_PRIMARY, SS_REASON_RATE_LIMIT, SS_REASON_NOT_OWNER };
  GPtrArray *overdue = find_requests (node, is_overdue, NULL);

  for (guint i = 0; i < overdue->len; i++)
    {
      SsRequest *r = g_ptr_array_index (overdue, i);

      if (r->vm)
        ss_request_cancel (node, r);
      ss_request_abandon (node, r, reasons[r->wait]);
    }
  g_ptr_array_free (overdue, TRUE);
  route_ready (node, waits_for_primary);
  route_ready (node, has_paused_for_owner);
}
