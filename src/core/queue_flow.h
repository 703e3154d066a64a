/* queue_flow: declarations shared by queue.c and queue_fair.c. */
#ifndef SS_QUEUE_FLOW_H
#define SS_QUEUE_FLOW_H

#include "core/queue.h"

struct SsQueueFlow
{
  char *organisation; /* whose statements it holds; NULL: it is weighted */
  uint32_t weight;
  double finish_tag; /* virtual finish time of its next item */
  uint32_t length;
  double work_ms[SS_QUEUE_CLASSES];     /* expected run time of its items */
  GSequence *waiting[SS_QUEUE_CLASSES]; /* of SsQueueItem, by rank */
};

/* --- queue.c --- */

/* ss_queue_run_ms: returns the expected run time of ITEM. */
double ss_queue_run_ms (const SsQueue *queue, const SsQueueItem *item);
/* ss_queue_rank_ms: returns the rank of ITEM if it is queued now. */
double ss_queue_rank_ms (const SsQueue *queue, const SsQueueItem *item,
                         int64_t now_ms);
/* ss_queue_needed_ms: returns the time from the start of ITEM to its end. */
int64_t ss_queue_needed_ms (const SsQueue *queue, const SsQueueItem *item);
/* ss_queue_misses_goal: whether ITEM, started now, would end after its goal.
 */
bool ss_queue_misses_goal (const SsQueue *queue, const SsQueueItem *item,
                           int64_t now_ms);
/* ss_queue_usable: returns how many of CONNECTIONS items of QUEUE_CLASS may
 * use.
 */
uint32_t ss_queue_usable (SsQueueClass queue_class, uint32_t connections);
uint32_t ss_queue_running (const SsQueue *queue);
int ss_queue_compare_items (gconstpointer a, gconstpointer b, gpointer data);
/* ss_queue_first_runnable: returns the first item of FLOW that may run and that
 * ACCEPTS, which may be NULL, lets pass; NULL if there is none.
 */
SsQueueItem *ss_queue_first_runnable (const SsQueue *queue,
                                      const SsQueueFlow *flow,
                                      uint32_t connections,
                                      SsQueueFilter accepts, void *data);

/* --- queue_fair.c: the order over all organisations --- */

bool ss_queue_fair_admit (const SsQueue *queue, const SsQueueItem *item,
                          uint32_t connections, int64_t now_ms, double jitter,
                          uint32_t *retry_after_ms);
/* ss_queue_fair_next: returns the next item of an organisation that may run and
 * that ACCEPTS lets pass, or NULL.  Ranks items that miss their goals behind
 * those that meet them.
 */
SsQueueItem *ss_queue_fair_next (SsQueue *queue, uint32_t connections,
                                 int64_t now_ms, SsQueueFilter accepts,
                                 void *data);
/* ss_queue_fair_start: charges ITEM, which starts to run. */
void ss_queue_fair_start (SsQueue *queue, SsQueueItem *item);

#endif
