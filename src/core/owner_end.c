/* owner_end: ends what runs or waits at owned targets: on a cancel, at the end
 * of a session, at the loss of a VM, and as this VM stops.
 *
 * A statement is in one of these places: the queue, the statements that wait
 * for a confirmed primary, a connection, the commits that wait for a majority.
 */
#include <string.h>

#include "core/owner.h"

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  g_ptr_array_add (data, value);
  return FALSE;
}

GPtrArray *
ss_owner_all (SsNode *node)
{
  GPtrArray *found = g_ptr_array_new ();

  g_tree_foreach (node->owned, collect, found);
  return found;
}

static bool
job_matches (const SsJob *job, const SsJobFilter *filter)
{
  if (strcmp (job->vm, filter->vm) != 0)
    return false;
  if (filter->request)
    return job->request == filter->request;
  return !filter->session || job->session == filter->session;
}

GPtrArray *
ss_owner_unsent_jobs (SsOwnedTarget *owned, const SsJobFilter *filter)
{
  GPtrArray *found = g_ptr_array_new ();

  ss_queue_collect (&owned->queue, found);
  for (GList *l = owned->unconfirmed.head; l; l = l->next)
    g_ptr_array_add (found, l->data);
  for (guint i = found->len; filter && i > 0; i--)
    if (!job_matches (g_ptr_array_index (found, i - 1), filter))
      g_ptr_array_remove_index_fast (found, i - 1);
  return found;
}

void
ss_owner_refuse_unsent (SsNode *node, SsOwnedTarget *owned,
                        const SsJobFilter *filter, SsReason reason)
{
  GPtrArray *jobs = ss_owner_unsent_jobs (owned, filter);

  for (guint i = 0; i < jobs->len; i++)
    {
      SsJob *job = g_ptr_array_index (jobs, i);

      if (!g_queue_remove (&owned->unconfirmed, job))
        ss_queue_remove (&owned->queue, &job->item);
      ss_job_answer (node, job, SS_VERDICT_NOT_RUN, reason, SS_RETRY_SOON_MS);
    }
  g_ptr_array_free (jobs, TRUE);
}

/* Answers the commits that match FILTER and wait for a majority. */
static void
cancel_commits (SsNode *node, SsOwnedTarget *owned, const SsJobFilter *filter)
{
  GList *next;

  for (GList *l = owned->waiters.head; l; l = next)
    {
      SsJob *job = l->data;

      next = l->next;
      if (!job_matches (job, filter))
        continue;
      g_queue_delete_link (&owned->waiters, l);
      ss_job_answer (node, job, SS_VERDICT_MAY_HAVE_RUN, SS_REASON_CANCELLED,
                     SS_RETRY_SOON_MS);
    }
}

void
ss_owner_cancel (SsNode *node, const char *from, uint64_t request)
{
  SsJobFilter filter = { from, request, 0 };
  GPtrArray *owned = ss_owner_all (node);

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwnedTarget *o = g_ptr_array_index (owned, i);

      ss_owner_refuse_unsent (node, o, &filter, SS_REASON_CANCELLED);
      cancel_commits (node, o, &filter);
      for (guint j = 0; j < o->connections->len; j++)
        {
          SsConnection *c = g_ptr_array_index (o->connections, j);

          if (!c->job || !job_matches (c->job, &filter))
            continue;
          ss_job_give_up (node, c, SS_REASON_CANCELLED);
          break;
        }
    }
  g_ptr_array_free (owned, TRUE);
}

/* Refuses the unsent jobs and ends the running jobs, the open transactions and
 * the waiting commits that match FILTER.  Closing a connection makes the server
 * roll back.
 */
static void
close_sessions (SsNode *node, SsOwnedTarget *owned, const SsJobFilter *filter)
{
  ss_owner_refuse_unsent (node, owned, filter, SS_REASON_CANCELLED);
  cancel_commits (node, owned, filter);
  for (guint i = owned->connections->len; i > 0; i--)
    {
      SsConnection *c = g_ptr_array_index (owned->connections, i - 1);
      bool is_pinned = c->vm && strcmp (c->vm, filter->vm) == 0
                       && (!filter->session || c->session == filter->session);

      if (!is_pinned && !(c->job && job_matches (c->job, filter)))
        continue;
      if (c->state == SS_CONNECTION_PINNED
          && ss_dialect_multiplexes_sessions (node->dialect))
        ss_multiplex_roll_back (node, c);
      else
        ss_pool_close (node, c);
    }
  ss_job_dispatch (node, owned);
}

/* Ends SESSION of VM, or all sessions of VM if SESSION is 0. */
static void
end_sessions (SsNode *node, const char *vm, uint64_t session)
{
  SsJobFilter filter = { vm, 0, session };
  GPtrArray *owned = ss_owner_all (node);

  for (guint i = 0; i < owned->len; i++)
    close_sessions (node, g_ptr_array_index (owned, i), &filter);
  g_ptr_array_free (owned, TRUE);
}

void
ss_owner_session_end (SsNode *node, const char *vm,
                      const Ss__Peer__SessionEnd *end)
{
  end_sessions (node, vm, end->session);
}

void
ss_owner_vm_lost (SsNode *node, const char *vm)
{
  end_sessions (node, vm, 0);
}

void
ss_owner_end_connection (SsNode *node, SsConnection *c, SsReason reason)
{
  if (c->job)
    ss_job_give_up (node, c, reason);
  else
    ss_pool_close (node, c);
}

void
ss_owner_end_all (SsNode *node)
{
  GPtrArray *owned = ss_owner_all (node);

  for (guint i = 0; i < owned->len; i++)
    {
      SsOwnedTarget *o = g_ptr_array_index (owned, i);

      ss_owner_refuse_unsent (node, o, NULL, SS_REASON_STOPPING);
      for (guint j = o->connections->len; j > 0; j--)
        ss_owner_end_connection (node,
                                 g_ptr_array_index (o->connections, j - 1),
                                 SS_REASON_STOPPING);
      ss_quorum_end_commits (node, o, SS_REASON_NOT_HELD);
    }
  g_ptr_array_free (owned, TRUE);
}
