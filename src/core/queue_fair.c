/* queue_fair: one order over the statements of all organisations. */
#include "core/queue_flow.h"

static SsFairLead
flow_lead (const SsQueue *queue, const SsQueueFlow *flow, uint32_t connections)
{
  return ss_fair_share_lead (&queue->fair_share, flow->organisation, NULL,
                             connections);
}

/* --- prediction --- */

/* Returns the item with the lower rank of two positions, and moves on from it;
 * NULL at the end of both.
 */
static const SsQueueItem *
next_by_rank (GSequenceIter **iters, uint32_t count)
{
  const SsQueueItem *best = NULL;
  uint32_t from = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const SsQueueItem *item;

      if (g_sequence_iter_is_end (iters[i]))
        continue;
      item = g_sequence_get (iters[i]);
      if (best && ss_queue_compare_items (item, best, NULL) > 0)
        continue;
      best = item;
      from = i;
    }
  if (best)
    iters[from] = g_sequence_iter_next (iters[from]);
  return best;
}

/* Returns the run time of FLOW's items that go before an item of QUEUE_CLASS at
 * UP_TO_MS in the order, where FLOW's organisation has LEAD.
 */
static double
work_before_ms (const SsQueueFlow *flow, const SsFairLead *lead,
                SsQueueClass queue_class, double up_to_ms)
{
  GSequenceIter *iters[SS_QUEUE_CLASSES];
  const SsQueueItem *item;
  double work_ms = 0;

  for (uint32_t i = 0; i <= (uint32_t) queue_class; i++)
    iters[i] = g_sequence_get_begin_iter (flow->waiting[i]);
  while ((item = next_by_rank (iters, (uint32_t) queue_class + 1)))
    {
      if (item->rank_ms + ss_fair_lead_ms (lead, item->urgency, work_ms)
          > up_to_ms)
        break;
      work_ms += item->cost_ms;
    }
  return work_ms;
}

/* Returns for how long the oldest queued statement of ITEM's organisation and
 * service has waited.  Statements that come later and go before it are in this
 * figure, which the work in the queue does not tell.
 */
static double
oldest_wait_ms (const SsQueueItem *item, int64_t now_ms)
{
  GSequence *waiting = item->flow->waiting[item->queue_class];
  GSequenceIter *iter = g_sequence_get_begin_iter (waiting);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      const SsQueueItem *other = g_sequence_get (iter);

      if (other->service == item->service && !other->is_late)
        return (double) (now_ms - other->queued_ms);
    }
  return 0;
}

/* Returns the predicted wait of ITEM, which is not queued yet. */
static double
predicted_wait_ms (const SsQueue *queue, const SsQueueItem *item,
                   uint32_t connections, int64_t now_ms)
{
  static const SsFairLead none = { 0 };
  uint32_t usable = ss_queue_usable (item->queue_class, connections);
  double rank_ms = ss_queue_rank_ms (queue, item, now_ms);
  SsFairLead lead = flow_lead (queue, item->flow, connections);
  GHashTableIter iter;
  gpointer value;
  double work_ms;

  if (!ss_queue_length (queue) && ss_queue_running (queue) < usable)
    return 0;
  work_ms = work_before_ms (item->flow, &none, item->queue_class, rank_ms);
  rank_ms += ss_fair_lead_ms (&lead, item->urgency, work_ms);
  work_ms += ss_queue_run_ms (queue, item);
  g_hash_table_iter_init (&iter, queue->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsQueueFlow *other = value;

      if (other == item->flow || !other->length)
        continue;
      lead = ss_fair_share_lead (&queue->fair_share, other->organisation,
                                 item->flow->organisation, connections);
      work_ms += work_before_ms (other, &lead, item->queue_class, rank_ms);
    }
  return MAX (work_ms / usable, oldest_wait_ms (item, now_ms));
}

/* --- admission --- */

static bool
has_free_capacity (const SsQueue *queue, const SsQueueItem *item,
                   uint32_t connections)
{
  return ss_queue_running (queue)
         < ss_queue_usable (item->queue_class, connections);
}

/* Returns for how long ITEM may wait and still end by its goal, or by its
 * deadline if it misses its goal or has none.
 */
static double
time_left_ms (const SsQueue *queue, const SsQueueItem *item, int64_t now_ms)
{
  int64_t end_ms = now_ms + ss_queue_needed_ms (queue, item);
  bool has_goal = item->goal_ms && item->goal_ms < item->deadline_ms
                  && !item->is_late && end_ms <= item->goal_ms;

  return (double) ((has_goal ? item->goal_ms : item->deadline_ms) - end_ms);
}

/* Returns when a refused ITEM may return: after the predicted wait, and not
 * before its organisation is back at its share.
 */
static uint32_t
retry_ms (const SsQueue *queue, const SsQueueItem *item, uint32_t connections,
          double wait_ms, double jitter)
{
  SsFairLead lead = flow_lead (queue, item->flow, connections);
  double after_ms = MAX (wait_ms, ss_fair_lead_ms (&lead, item->urgency, 0));

  return (uint32_t) (after_ms + jitter * (after_ms + 50));
}

bool
ss_queue_fair_admit (const SsQueue *queue, const SsQueueItem *item,
                     uint32_t connections, int64_t now_ms, double jitter,
                     uint32_t *retry_after_ms)
{
  double wait_ms = predicted_wait_ms (queue, item, connections, now_ms);
  double left_ms = time_left_ms (queue, item, now_ms);

  /* While capacity is free, what waits does so for a connection. */
  if (!has_free_capacity (queue, item, connections))
    left_ms = left_ms * SS_QUEUE_GOAL_WAIT_PERCENT / 100;
  else
    left_ms = (double) (item->deadline_ms - now_ms);
  if (wait_ms < left_ms)
    return true;
  *retry_after_ms = retry_ms (queue, item, connections, wait_ms, jitter);
  return false;
}

/* Returns the place in the order of FLOW's last item of QUEUE_CLASS, which is
 * set to *LAST; 0 if there is none.
 */
static double
last_place_ms (const SsQueue *queue, const SsQueueFlow *flow,
               SsQueueClass queue_class, uint32_t connections,
               SsQueueItem **last)
{
  GSequence *waiting = flow->waiting[queue_class];
  SsFairLead lead;

  if (!g_sequence_get_length (waiting))
    return 0;
  lead = flow_lead (queue, flow, connections);
  *last = g_sequence_get (
      g_sequence_iter_prev (g_sequence_get_end_iter (waiting)));
  return (*last)->rank_ms
         + ss_fair_lead_ms (&lead, (*last)->urgency,
                            flow->work_ms[queue_class] - (*last)->cost_ms);
}

/* Returns the last item of QUEUE_CLASS in the order, or NULL.  Sets *WAIT_MS to
 * its predicted wait.
 */
static SsQueueItem *
last_item (const SsQueue *queue, SsQueueClass queue_class, uint32_t connections,
           double *wait_ms)
{
  SsQueueItem *last = NULL;
  double last_ms = 0;
  double work_ms = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsQueueFlow *flow = value;
      SsQueueItem *item = NULL;
      double place_ms
          = last_place_ms (queue, flow, queue_class, connections, &item);

      for (uint32_t i = 0; i <= (uint32_t) queue_class; i++)
        work_ms += flow->work_ms[i];
      if (!item || (last && place_ms <= last_ms))
        continue;
      last = item;
      last_ms = place_ms;
    }
  if (last)
    *wait_ms = work_ms / ss_queue_usable (queue_class, connections);
  return last;
}

/* Whether the queue leaves time for ITEM, its last one, after WAIT_MS.  One
 * that misses its goal yields to all that come, so only a part of its time
 * counts.
 */
static bool
may_stay (const SsQueue *queue, const SsQueueItem *item, uint32_t connections,
          int64_t now_ms, double wait_ms)
{
  double left_ms = time_left_ms (queue, item, now_ms);

  if (has_free_capacity (queue, item, connections))
    return true;
  if (item->is_late)
    left_ms = left_ms * SS_QUEUE_GOAL_WAIT_PERCENT / 100;
  return wait_ms <= left_ms;
}

SsQueueItem *
ss_queue_overflow (const SsQueue *queue, uint32_t connections, int64_t now_ms,
                   double jitter, uint32_t *retry_after_ms)
{
  for (uint32_t i = SS_QUEUE_CLASSES; i > 0; i--)
    {
      double wait_ms = 0;
      SsQueueItem *item
          = last_item (queue, (SsQueueClass) (i - 1), connections, &wait_ms);

      if (!item
          || (queue->bytes <= SS_QUEUE_BYTES_MAX
              && may_stay (queue, item, connections, now_ms, wait_ms)))
        continue;
      *retry_after_ms = retry_ms (queue, item, connections, wait_ms, jitter);
      return item;
    }
  return NULL;
}

/* --- scheduling --- */

/* Moves FLOW's first items that miss their goals behind those that meet them:
 * each ranks as if it had come at its deadline.
 */
static void
defer_late_items (SsQueue *queue, SsQueueFlow *flow, SsQueueClass queue_class,
                  int64_t now_ms)
{
  GSequence *waiting = flow->waiting[queue_class];

  while (g_sequence_get_length (waiting))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (waiting);
      SsQueueItem *item = g_sequence_get (first);

      if (item->is_late || !ss_queue_misses_goal (queue, item, now_ms))
        return;
      item->is_late = true;
      item->rank_ms += (double) (item->deadline_ms - item->queued_ms);
      g_sequence_sort_changed (first, ss_queue_compare_items, NULL);
    }
}

SsQueueItem *
ss_queue_fair_next (SsQueue *queue, uint32_t connections, int64_t now_ms,
                    SsQueueFilter accepts, void *data)
{
  SsQueueItem *best = NULL;
  double best_ms = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->organisations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsQueueFlow *flow = value;
      SsQueueItem *item;
      SsFairLead lead;
      double place_ms;

      if (!flow->length)
        continue;
      for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
        defer_late_items (queue, flow, (SsQueueClass) i, now_ms);
      item = ss_queue_first_runnable (queue, flow, connections, accepts, data);
      if (!item)
        continue;
      lead = flow_lead (queue, flow, connections);
      place_ms = item->rank_ms + ss_fair_lead_ms (&lead, item->urgency, 0);
      if (best
          && (place_ms > best_ms
              || (place_ms == best_ms && item->sequence > best->sequence)))
        continue;
      best = item;
      best_ms = place_ms;
    }
  return best;
}

void
ss_queue_fair_start (SsQueue *queue, SsQueueItem *item)
{
  item->charged_ms = item->cost_ms;
  ss_fair_share_charge (&queue->fair_share, item->flow->organisation,
                        item->urgency, item->cost_ms);
}

void
ss_queue_charge (SsQueue *queue, const SsQueueItem *item,
                 const char *organisation, int64_t ran_ms)
{
  ss_fair_share_charge (&queue->fair_share, organisation, item->urgency,
                        (double) ran_ms - item->charged_ms);
}
