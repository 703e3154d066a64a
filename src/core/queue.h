/* queue: admission and order of the statements that wait at one target.
 *
 * Services share by weight (weighted fair queueing).  Reads leave a share of
 * the connections to writes.  A statement whose predicted wait would miss its
 * deadline, or go above the longest wait allowed, is refused at once.
 */
#ifndef SS_QUEUE_H
#define SS_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SS_QUEUE_WAIT_MAX_MS 500
#define SS_QUEUE_SERVICE_START_MS 1.0
#define SS_QUEUE_SERVICE_GAIN 0.05
/* One connection in this many is left to writes. */
#define SS_QUEUE_WRITE_SHARE 4
#define SS_QUEUE_BYTES_MAX (16 * 1024 * 1024)

typedef enum
{
  SS_QUEUE_WRITE,
  SS_QUEUE_READ,
  SS_QUEUE_CLASSES
} SsQueueClass;

/* The first member of what waits. */
typedef struct
{
  SsQueueClass queue_class;
  double tag;
  uint64_t sequence;
  uint32_t bytes;
  int64_t deadline_ms;
  GSequenceIter *place; /* NULL: does not wait */
} SsQueueItem;

typedef struct
{
  GSequence *waiting[SS_QUEUE_CLASSES];
  GHashTable *last_tags; /* service -> its last tag */
  double virtual_time;
  double service_ms; /* moving mean of one statement */
  uint64_t sequence;
  uint32_t bytes;
  uint32_t running[SS_QUEUE_CLASSES];
} SsQueue;

void ss_queue_init (SsQueue *queue);
void ss_queue_finish (SsQueue *queue);

/* ss_queue_wait_ms: predicted wait of one more with CONNECTIONS in all. */
uint32_t ss_queue_wait_ms (const SsQueue *queue, SsQueueClass queue_class,
                           uint32_t connections);
/* ss_queue_admit: whether an item may wait; else *RETRY_AFTER_MS is set,
 * spread out by SPREAD from 0 to 1.
 */
bool ss_queue_admit (const SsQueue *queue, const SsQueueItem *item,
                     uint32_t connections, int64_t now_ms, double spread,
                     uint32_t *retry_after_ms);
void ss_queue_push (SsQueue *queue, SsQueueItem *item, const char *service,
                    uint32_t weight);
void ss_queue_remove (SsQueue *queue, SsQueueItem *item);
/* ss_queue_pop: the next item that may run on one of CONNECTIONS, or NULL;
 * it counts as running until ss_queue_done.
 */
SsQueueItem *ss_queue_pop (SsQueue *queue, uint32_t connections);
/* ss_queue_done: an item of QUEUE_CLASS ended after RAN_MS; below 0: not a
 * measure.
 */
void ss_queue_done (SsQueue *queue, SsQueueClass queue_class, int64_t ran_ms);
/* ss_queue_expired: a waiting item whose deadline has passed, or NULL. */
SsQueueItem *ss_queue_expired (const SsQueue *queue, int64_t now_ms);
uint32_t ss_queue_length (const SsQueue *queue);

#endif
