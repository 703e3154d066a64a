#include "core/queue.h"

static int
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const SsQueueItem *x = a;
  const SsQueueItem *y = b;

  (void) data;
  if (x->finish_tag < y->finish_tag)
    return -1;
  if (x->finish_tag > y->finish_tag)
    return 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

void
ss_queue_init (SsQueue *queue)
{
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      queue->waiting[i] = g_sequence_new (NULL);
      queue->running[i] = 0;
    }
  queue->last_finish_tags
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
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    g_sequence_free (queue->waiting[i]);
  g_hash_table_destroy (queue->last_finish_tags);
}

static uint32_t
write_reserve (uint32_t connections)
{
  uint32_t reserve = connections / SS_QUEUE_WRITE_RESERVE_DIVISOR;

  return reserve == 0 && connections > 1 ? 1 : reserve;
}

static uint32_t
class_connections (SsQueueClass queue_class, uint32_t connections)
{
  if (queue_class == SS_QUEUE_WRITE)
    return MAX (connections, 1);
  return MAX (connections - write_reserve (connections), 1);
}

static uint32_t
class_length (const SsQueue *queue, SsQueueClass queue_class)
{
  return (uint32_t) g_sequence_get_length (queue->waiting[queue_class]);
}

uint32_t
ss_queue_length (const SsQueue *queue)
{
  return class_length (queue, SS_QUEUE_WRITE)
         + class_length (queue, SS_QUEUE_READ);
}

uint32_t
ss_queue_wait_ms (const SsQueue *queue, SsQueueClass queue_class,
                  uint32_t connections)
{
  uint32_t usable = class_connections (queue_class, connections);
  uint32_t ahead = class_length (queue, SS_QUEUE_WRITE);
  uint32_t busy
      = queue->running[SS_QUEUE_WRITE] + queue->running[SS_QUEUE_READ];

  if (queue_class == SS_QUEUE_READ)
    ahead += class_length (queue, SS_QUEUE_READ);
  if (ahead == 0 && busy < usable)
    return 0;
  return (uint32_t) (queue->mean_run_ms * (ahead + 1) / usable);
}

bool
ss_queue_admit (const SsQueue *queue, const SsQueueItem *item,
                uint32_t connections, int64_t now_ms, double jitter,
                uint32_t *retry_after_ms)
{
  uint32_t wait_ms = ss_queue_wait_ms (queue, item->queue_class, connections);
  int64_t left_ms = item->deadline_ms - now_ms;

  if (wait_ms <= SS_QUEUE_WAIT_MAX_MS && wait_ms < left_ms
      && queue->bytes + item->bytes <= SS_QUEUE_BYTES_MAX)
    return true;
  *retry_after_ms = wait_ms + (uint32_t) (jitter * (wait_ms + 50));
  return false;
}

/* A service that was idle starts at the current virtual time, so idle time
 * earns it no credit.
 */
void
ss_queue_push (SsQueue *queue, SsQueueItem *item, const char *service,
               uint32_t weight, int64_t now_ms)
{
  double *last = g_hash_table_lookup (queue->last_finish_tags, service);

  if (!last)
    {
      last = g_new0 (double, 1);
      g_hash_table_insert (queue->last_finish_tags, g_strdup (service), last);
    }
  item->finish_tag = MAX (*last, queue->virtual_time) + 1.0 / MAX (weight, 1);
  *last = item->finish_tag;
  item->sequence = queue->sequence++;
  item->queued_ms = now_ms;
  queue->bytes += item->bytes;
  item->queue_iter = g_sequence_insert_sorted (
      queue->waiting[item->queue_class], item, compare_items, NULL);
}

void
ss_queue_remove (SsQueue *queue, SsQueueItem *item)
{
  if (!item->queue_iter)
    return;
  g_sequence_remove (item->queue_iter);
  item->queue_iter = NULL;
  queue->bytes -= item->bytes;
}

static SsQueueItem *
first_item (const SsQueue *queue, SsQueueClass queue_class)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (queue->waiting[queue_class]);

  return g_sequence_iter_is_end (iter) ? NULL : g_sequence_get (iter);
}

static bool
may_run (const SsQueue *queue, SsQueueClass queue_class, uint32_t connections)
{
  uint32_t busy
      = queue->running[SS_QUEUE_WRITE] + queue->running[SS_QUEUE_READ];

  if (busy >= connections)
    return false;
  return queue_class == SS_QUEUE_WRITE
         || queue->running[SS_QUEUE_READ]
                < class_connections (queue_class, connections);
}

SsQueueItem *
ss_queue_pop (SsQueue *queue, uint32_t connections, int64_t now_ms)
{
  SsQueueItem *best = NULL;

  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      SsQueueItem *item = first_item (queue, (SsQueueClass) i);

      if (!item || !may_run (queue, (SsQueueClass) i, connections))
        continue;
      if (!best || compare_items (item, best, NULL) < 0)
        best = item;
    }
  if (!best)
    return NULL;
  queue->virtual_time = MAX (queue->virtual_time, best->finish_tag);
  queue->mean_wait_ms
      += SS_QUEUE_WAIT_GAIN
         * ((double) (now_ms - best->queued_ms) - queue->mean_wait_ms);
  ss_queue_remove (queue, best);
  queue->running[best->queue_class]++;
  return best;
}

void
ss_queue_done (SsQueue *queue, SsQueueClass queue_class, int64_t ran_ms)
{
  queue->running[queue_class]--;
  if (ran_ms < 0)
    return;
  queue->mean_run_ms
      += SS_QUEUE_RUN_GAIN * ((double) ran_ms + 0.1 - queue->mean_run_ms);
}

SsQueueItem *
ss_queue_expired (const SsQueue *queue, int64_t now_ms)
{
  for (uint32_t i = 0; i < SS_QUEUE_CLASSES; i++)
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (queue->waiting[i]);

      for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
        {
          SsQueueItem *item = g_sequence_get (iter);

          if (item->deadline_ms <= now_ms)
            return item;
        }
    }
  return NULL;
}
