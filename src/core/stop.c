/* stop: the graceful shutdown of this VM.
 *
 * From the start of the shutdown on, this VM takes no role and no new session,
 * and ends sessions between statements.  What runs or waits here, for callers
 * of other VMs too, goes on until it is answered, or until the bound of the
 * shutdown.  Its directory object is deleted only then, because commits that
 * wait for a majority need the leases that the object lists.
 */
#include "core/internal.h"
#include "core/peers.h"
#include "core/rate_limit.h"

/* After the last work, for the deletion of the directory object. */
#define LINGER_MS 400
/* The same after the bound, when little of the grace period is left. */
#define FORCED_LINGER_MS 50
/* Time for the owners of statements that are cancelled at the bound to reply.
 */
#define CANCEL_MS 100
#define LOG_INTERVAL_MS 1000

static void
log_load (SsNode *node, SsLogEvent event)
{
  SsOwnerLoad load;

  ss_owner_load (node, &load);
  ss_node_log (node, event, node->params.vm,
               "ms=%" G_GINT64_FORMAT " sessions=%u requests=%u queued=%u"
               " unconfirmed=%u running=%u transactions=%u commits=%u",
               node->now_ms - node->stop.started_ms,
               g_hash_table_size (node->sessions),
               g_hash_table_size (node->requests), load.queued,
               load.unconfirmed, load.running, load.transactions, load.commits);
}

void
ss_node_begin_shutdown (SsNode *node)
{
  SsMember *self = ss_members_find (&node->members, node->params.vm);

  if (node->stopping)
    return;
  node->stopping = true;
  node->stop.started_ms = node->now_ms;
  node->stop.idle_ms = node->now_ms;
  node->stop.due_ms = node->now_ms + node->params.stop_bound_ms;
  node->stop.log_due_ms = node->now_ms + LOG_INTERVAL_MS;
  self->leaving = true;
  node->members.generation++;
  ss_node_log (node, SS_EVENT_LOG_STOPPING, node->params.vm,
               "bound_ms=%" G_GINT64_FORMAT, node->params.stop_bound_ms);
  ss_owner_update (node);
  ss_peers_send_heartbeat (node);
  ss_rate_limit_stop (node);
}

static void
deregister (SsNode *node)
{
  if (node->stop.deregistered)
    return;
  node->stop.deregistered = true;
  ss_directory_deregister (node);
}

/* The bound is reached: answers all that this VM owns, and cancels what its own
 * callers have at other owners.
 */
static void
reach_bound (SsNode *node)
{
  node->stop.forced = true;
  log_load (node, SS_EVENT_LOG_STOP_FORCED);
  ss_owner_end_all (node);
  ss_pending_cancel_all (node);
}

static void
log_wait (SsNode *node)
{
  if (node->now_ms < node->stop.log_due_ms)
    return;
  node->stop.log_due_ms = node->now_ms + LOG_INTERVAL_MS;
  log_load (node, SS_EVENT_LOG_STOP_WAITS);
}

/* After the bound only statements that their owners are asked about go on. */
static SsStopScope
scope_of_end (const SsNode *node)
{
  if (!node->stop.forced)
    return SS_STOP_IDLE;
  return node->now_ms < node->stop.due_ms + CANCEL_MS ? SS_STOP_WITHOUT_REQUEST
                                                      : SS_STOP_ALL;
}

void
ss_stop_end_sessions (SsNode *node)
{
  if (!node->stop.replied)
    return;
  node->stop.replied = false;
  (void) ss_entry_stop (node, scope_of_end (node));
}

static int64_t
linger_ms (const SsNode *node)
{
  return node->stop.forced ? FORCED_LINGER_MS : LINGER_MS;
}

void
ss_stop_tick (SsNode *node)
{
  bool callers_gone;
  bool idle;

  if (!node->stop.forced && node->now_ms >= node->stop.due_ms)
    reach_bound (node);
  callers_gone = ss_entry_stop (node, scope_of_end (node));
  idle = ss_owner_is_idle (node);
  if (node->stop.forced || idle)
    deregister (node);
  if (!callers_gone || !idle)
    {
      node->stop.idle_ms = node->now_ms;
      log_wait (node);
      return;
    }
  if (node->stop.stopped
      || node->now_ms - node->stop.idle_ms < linger_ms (node))
    return;
  node->stop.stopped = true;
  ss_node_push (node, SS_ACTION_STOPPED);
}
