#include "core/queue_flow.h"

/* Flows of organisations that are kept while they are empty. */
#define EMPTY_FLOWS_MAX 256

struct SsQueueService
{
  double mean_run_ms; /* 0: not sampled yet */
};

static void
flow_free (gpointer data)
{
  SsQueueFlow *flow = data;

  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    g_sequence_free (flow->waiting[i]);
  g_free (flow->organisation);
  g_free (flow);
}

static SsQueueFlow *
get_flow (GHashTable *flows, const char *name)
{
  SsQueueFlow *flow = g_hash_table_lookup (flows, name);

  if (flow)
    return flow;
  flow = g_new0 (SsQueueFlow, 1);
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    flow->waiting[i] = g_sequence_new (NULL);
  g_hash_table_insert (flows, g_strdup (name), flow);
  return flow;
}

static SsQueueService *
get_service (SsQueue *queue, const char *name)
{
  SsQueueService *service = g_hash_table_lookup (queue->services, name);

  if (service)
    return service;
  service = g_new0 (SsQueueService, 1);
  g_hash_table_insert (queue->services, g_strdup (name), service);
  return service;
}

void
ss_queue_init (SsQueue *queue)
{
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      queue->length[i] = 0;
      queue->running[i] = 0;
    }
  queue->flows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, flow_free);
  queue->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, flow_free);
  ss_fair_share_init (&queue->fair_share);
  queue->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  queue->virtual_time = 0;
  queue->mean_run_ms = SS_QUEUE_INITIAL_RUN_MS;
  queue->mean_wait_ms = 0;
  queue->sequence = 0;
  queue->bytes = 0;
}

void
ss_queue_finish (SsQueue *queue)
{
  g_hash_table_destroy (queue->flows);
  g_hash_table_destroy (queue->organisations);
  ss_fair_share_finish (&queue->fair_share);
  g_hash_table_destroy (queue->services);
}

uint32_t
ss_queue_length (const SsQueue *queue)
{
  return queue->length[SS_QUEUE_WRITE] + queue->length[SS_QUEUE_READ];
}

void
ss_queue_assign (SsQueue *queue, SsQueueItem *item, const char *service,
                 const char *flow, uint32_t weight)
{
  item->service = get_service (queue, service);
  item->flow = get_flow (queue->flows, flow);
  item->flow->weight = MAX (weight, 1);
}

void
ss_queue_assign_organisation (SsQueue *queue, SsQueueItem *item,
                              const char *service, const char *organisation)
{
  item->service = get_service (queue, service);
  item->flow = get_flow (queue->organisations, organisation);
  if (!item->flow->organisation)
    item->flow->organisation = g_strdup (organisation);
}

/* --- prediction and admission --- */

double
ss_queue_run_ms (const SsQueue *queue, const SsQueueItem *item)
{
  return item->service->mean_run_ms > 0 ? item->service->mean_run_ms
                                        : queue->mean_run_ms;
}

int64_t
ss_queue_needed_ms (const SsQueue *queue, const SsQueueItem *item)
{
  return (int64_t) ss_queue_run_ms (queue, item) + item->after_run_ms;
}

bool
ss_queue_misses_goal (const SsQueue *queue, const SsQueueItem *item,
                      int64_t now_ms)
{
  return item->goal_ms
         && now_ms + ss_queue_needed_ms (queue, item) > item->goal_ms;
}

/* A statement with a goal may wait for a part of the time until then.  It ranks
 * later by as much: otherwise patient statements that have waited for long
 * would go before more urgent ones that arrive.  One that misses its goal ranks
 * as if it came at its deadline.
 */
static double
goal_delay_ms (const SsQueue *queue, const SsQueueItem *item, int64_t now_ms)
{
  if (!item->flow->organisation || !item->goal_ms)
    return 0;
  if (ss_queue_misses_goal (queue, item, now_ms))
    return (double) (item->deadline_ms - now_ms);
  return (double) (item->goal_ms - now_ms) * SS_QUEUE_GOAL_WAIT_PERCENT / 100;
}

double
ss_queue_rank_ms (const SsQueue *queue, const SsQueueItem *item, int64_t now_ms)
{
  return (double) now_ms + (double) item->urgency * SS_QUEUE_URGENCY_MS
         + ss_queue_run_ms (queue, item) * SS_QUEUE_RUN_FACTOR
         + goal_delay_ms (queue, item, now_ms);
}

static uint32_t
write_reserve (uint32_t connections)
{
  uint32_t reserve = connections / SS_QUEUE_WRITE_RESERVE_DIVISOR;

  return reserve == 0 && connections > 1 ? 1 : reserve;
}

uint32_t
ss_queue_usable (SsQueueClass queue_class, uint32_t connections)
{
  if (queue_class == SS_QUEUE_WRITE)
    return MAX (connections, 1);
  return MAX (connections - write_reserve (connections), 1);
}

uint32_t
ss_queue_running (const SsQueue *queue)
{
  return queue->running[SS_QUEUE_WRITE] + queue->running[SS_QUEUE_READ];
}

/* Returns the run time of FLOW's queued items whose rank is at most UP_TO_MS
 * and that run before an item of QUEUE_CLASS: reads do not delay writes, which
 * have connections of their own.
 */
static double
work_ahead_ms (const SsQueue *queue, const SsQueueFlow *flow,
               SsQueueClass queue_class, double up_to_ms)
{
  double work_ms = 0;

  for (uint32_t i = 0; i <= (uint32_t) queue_class; i++)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (flow->waiting[i]);

      for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
        {
          const SsQueueItem *item = g_sequence_get (iter);

          if (item->rank_ms > up_to_ms)
            break;
          work_ms += ss_queue_run_ms (queue, item);
        }
    }
  return work_ms;
}

/* Returns the time that the other flows take before WORK_MS of FLOW are done:
 * at most all of their work, and no more than their weights allow.
 */
static double
work_of_others_ms (const SsQueue *queue, const SsQueueFlow *flow,
                   SsQueueClass queue_class, double work_ms)
{
  GHashTableIter iter;
  gpointer value;
  double sum_ms = 0;

  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const SsQueueFlow *other = value;
      double share_ms = work_ms * other->weight / flow->weight;

      if (other != flow && other->length)
        sum_ms += MIN (work_ahead_ms (queue, other, queue_class, G_MAXDOUBLE),
                       share_ms);
    }
  return sum_ms;
}

static uint32_t
item_wait_ms (const SsQueue *queue, const SsQueueItem *item,
              uint32_t connections, int64_t now_ms)
{
  uint32_t usable = ss_queue_usable (item->queue_class, connections);
  double own_ms;

  if (!ss_queue_length (queue) && ss_queue_running (queue) < usable)
    return 0;
  own_ms = ss_queue_run_ms (queue, item)
           + work_ahead_ms (queue, item->flow, item->queue_class,
                            ss_queue_rank_ms (queue, item, now_ms));
  return (uint32_t) ((own_ms
                      + work_of_others_ms (queue, item->flow, item->queue_class,
                                           own_ms))
                     / usable);
}

uint32_t
ss_queue_wait_ms (const SsQueue *queue, SsQueueClass queue_class,
                  uint32_t connections)
{
  uint32_t usable = ss_queue_usable (queue_class, connections);
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= (uint32_t) queue_class; i++)
    ahead += queue->length[i];
  if (ahead == 0 && ss_queue_running (queue) < usable)
    return 0;
  return (uint32_t) (queue->mean_run_ms * (ahead + 1) / usable);
}

bool
ss_queue_admit (const SsQueue *queue, const SsQueueItem *item,
                uint32_t connections, int64_t now_ms, double jitter,
                uint32_t *retry_after_ms)
{
  uint32_t wait_ms;
  int64_t left_ms = item->deadline_ms - now_ms;

  if (item->flow->organisation)
    return ss_queue_fair_admit (queue, item, connections, now_ms, jitter,
                                retry_after_ms);
  wait_ms = item_wait_ms (queue, item, connections, now_ms);
  if (wait_ms <= SS_QUEUE_WAIT_MAX_MS && wait_ms < left_ms
      && queue->bytes + item->bytes <= SS_QUEUE_BYTES_MAX)
    return true;
  *retry_after_ms = wait_ms + (uint32_t) (jitter * (wait_ms + 50));
  return false;
}

/* --- scheduling --- */

int
ss_queue_compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const SsQueueItem *x = a;
  const SsQueueItem *y = b;

  (void) data;
  if (x->rank_ms < y->rank_ms)
    return -1;
  if (x->rank_ms > y->rank_ms)
    return 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* A flow that was idle starts at the current virtual time, so idle time earns
 * it no credit.
 */
void
ss_queue_push (SsQueue *queue, SsQueueItem *item, int64_t now_ms)
{
  SsQueueFlow *flow = item->flow;

  if (flow->organisation)
    ss_fair_share_enqueue (&queue->fair_share, flow->organisation,
                           item->urgency);
  else if (!flow->length)
    flow->finish_tag
        = MAX (flow->finish_tag, queue->virtual_time) + 1.0 / flow->weight;
  item->queued_ms = now_ms;
  item->rank_ms = ss_queue_rank_ms (queue, item, now_ms);
  item->cost_ms = ss_queue_run_ms (queue, item);
  item->charged_ms = 0;
  item->is_late = ss_queue_misses_goal (queue, item, now_ms);
  item->sequence = queue->sequence++;
  item->queue_iter = g_sequence_insert_sorted (
      flow->waiting[item->queue_class], item, ss_queue_compare_items, NULL);
  flow->length++;
  flow->work_ms[item->queue_class] += item->cost_ms;
  queue->length[item->queue_class]++;
  queue->bytes += item->bytes;
}

void
ss_queue_remove (SsQueue *queue, SsQueueItem *item)
{
  if (!item->queue_iter)
    return;
  g_sequence_remove (item->queue_iter);
  item->queue_iter = NULL;
  item->flow->length--;
  item->flow->work_ms[item->queue_class] -= item->cost_ms;
  if (!g_sequence_get_length (item->flow->waiting[item->queue_class]))
    item->flow->work_ms[item->queue_class] = 0;
  if (item->flow->organisation)
    ss_fair_share_dequeue (&queue->fair_share, item->flow->organisation,
                           item->urgency);
  queue->length[item->queue_class]--;
  queue->bytes -= item->bytes;
}

static bool
may_run (const SsQueue *queue, SsQueueClass queue_class, uint32_t connections)
{
  if (ss_queue_running (queue) >= connections)
    return false;
  return queue_class == SS_QUEUE_WRITE
         || queue->running[SS_QUEUE_READ]
                < ss_queue_usable (queue_class, connections);
}

/* Returns the first item that ACCEPTS, which may be NULL, lets pass. */
static SsQueueItem *
first_item (const SsQueueFlow *flow, SsQueueClass queue_class,
            SsQueueFilter accepts, void *data)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (flow->waiting[queue_class]);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      SsQueueItem *item = g_sequence_get (iter);

      if (!accepts || accepts (item, data))
        return item;
    }
  return NULL;
}

SsQueueItem *
ss_queue_first_runnable (const SsQueue *queue, const SsQueueFlow *flow,
                         uint32_t connections, SsQueueFilter accepts,
                         void *data)
{
  SsQueueItem *best = NULL;

  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      SsQueueItem *item;

      if (!may_run (queue, (SsQueueClass) i, connections))
        continue;
      item = first_item (flow, (SsQueueClass) i, accepts, data);
      if (!item)
        continue;
      if (!best || ss_queue_compare_items (item, best, NULL) < 0)
        best = item;
    }
  return best;
}

static bool
precedes (const SsQueueItem *a, const SsQueueItem *b)
{
  if (a->flow->finish_tag != b->flow->finish_tag)
    return a->flow->finish_tag < b->flow->finish_tag;
  return a->sequence < b->sequence;
}

/* Returns the next item of the weighted flows that may run and that ACCEPTS
 * lets pass, or NULL.
 */
static SsQueueItem *
next_weighted (const SsQueue *queue, uint32_t connections,
               SsQueueFilter accepts, void *data)
{
  SsQueueItem *best = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, queue->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsQueueItem *item
          = ss_queue_first_runnable (queue, value, connections, accepts, data);

      if (item && (!best || precedes (item, best)))
        best = item;
    }
  return best;
}

/* Nothing waits. */
static void
end_busy_period (SsQueue *queue, uint32_t connections)
{
  if (ss_queue_running (queue) >= connections)
    return;
  ss_fair_share_reset (&queue->fair_share);
  if (g_hash_table_size (queue->organisations) > EMPTY_FLOWS_MAX)
    g_hash_table_remove_all (queue->organisations);
}

/* A queue has items of both kinds only until those from before organisations
 * were configured, or removed, have run.  Weighted ones go first.
 */
SsQueueItem *
ss_queue_pop_where (SsQueue *queue, uint32_t connections, int64_t now_ms,
                    SsQueueFilter accepts, void *data)
{
  SsQueueItem *best = next_weighted (queue, connections, accepts, data);

  if (best)
    {
      queue->virtual_time = MAX (queue->virtual_time, best->flow->finish_tag);
      best->flow->finish_tag += 1.0 / best->flow->weight;
    }
  else
    best = ss_queue_fair_next (queue, connections, now_ms, accepts, data);
  if (!best)
    {
      if (!ss_queue_length (queue))
        end_busy_period (queue, connections);
      return NULL;
    }
  queue->mean_wait_ms
      += SS_QUEUE_WAIT_GAIN
         * ((double) (now_ms - best->queued_ms) - queue->mean_wait_ms);
  if (best->flow->organisation)
    ss_queue_fair_start (queue, best);
  ss_queue_remove (queue, best);
  queue->running[best->queue_class]++;
  return best;
}

SsQueueItem *
ss_queue_pop (SsQueue *queue, uint32_t connections, int64_t now_ms)
{
  return ss_queue_pop_where (queue, connections, now_ms, NULL, NULL);
}

/* --- samples --- */

/* A run time of 0 ms is one below the clock's resolution. */
static double
sample_ms (int64_t ran_ms)
{
  return (double) ran_ms + 0.1;
}

void
ss_queue_done (SsQueue *queue, SsQueueClass queue_class, int64_t ran_ms)
{
  queue->running[queue_class]--;
  if (ran_ms < 0)
    return;
  queue->mean_run_ms
      += SS_QUEUE_RUN_GAIN * (sample_ms (ran_ms) - queue->mean_run_ms);
}

void
ss_queue_sample_run (SsQueue *queue, const char *service, int64_t ran_ms)
{
  SsQueueService *s = get_service (queue, service);

  if (s->mean_run_ms > 0)
    s->mean_run_ms += SS_QUEUE_RUN_GAIN * (sample_ms (ran_ms) - s->mean_run_ms);
  else
    s->mean_run_ms = sample_ms (ran_ms);
}

/* --- all items --- */

static void
collect_flow (const SsQueueFlow *flow, GPtrArray *out)
{
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      GSequenceIter *item = g_sequence_get_begin_iter (flow->waiting[i]);

      for (; !g_sequence_iter_is_end (item); item = g_sequence_iter_next (item))
        g_ptr_array_add (out, g_sequence_get (item));
    }
}

static void
collect_flows (GHashTable *flows, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer flow;

  g_hash_table_iter_init (&iter, flows);
  while (g_hash_table_iter_next (&iter, NULL, &flow))
    collect_flow (flow, out);
}

void
ss_queue_collect (const SsQueue *queue, GPtrArray *out)
{
  collect_flows (queue->flows, out);
  collect_flows (queue->organisations, out);
}

static SsQueueItem *
expired_in_flow (const SsQueue *queue, const SsQueueFlow *flow, int64_t now_ms)
{
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (flow->waiting[i]);

      for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
        {
          SsQueueItem *item = g_sequence_get (iter);

          if (item->deadline_ms - ss_queue_needed_ms (queue, item) <= now_ms)
            return item;
        }
    }
  return NULL;
}

static SsQueueItem *
expired_in_flows (const SsQueue *queue, GHashTable *flows, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer flow;
  SsQueueItem *found = NULL;

  g_hash_table_iter_init (&iter, flows);
  while (!found && g_hash_table_iter_next (&iter, NULL, &flow))
    found = expired_in_flow (queue, flow, now_ms);
  return found;
}

SsQueueItem *
ss_queue_expired (const SsQueue *queue, int64_t now_ms)
{
  SsQueueItem *found = expired_in_flows (queue, queue->flows, now_ms);

  return found ? found : expired_in_flows (queue, queue->organisations, now_ms);
}
