/* queue: admission control and scheduling of the statements for one target.
 *
 * Load pattern: for seconds a target gets more work than its slots run, from
 * statements that differ in urgency and in run time.
 *
 * Flows, which are services or the services of one customer, share the
 * connections by weight (weighted fair queueing).  Within a flow the statement
 * with the lowest rank runs first.  The rank is the time of arrival, plus a
 * delay for statements that are less urgent and for those that run longer: more
 * statements are served in time, and none starves.  A share of the connections
 * is reserved for writes.
 *
 * In a deployment with organisations, each organisation is a flow, and one
 * order holds over all of them: the rank plus the time by which the
 * organisation is ahead of its max-min fair share (fair_share.h).  Statements
 * that can't meet their latency goal any more yield to those that can.  A
 * queued statement that the order leaves no time for is refused as not run, in
 * place of a new one that goes before it.
 *
 * Admission control refuses a statement at once if its predicted wait exceeds
 * SS_QUEUE_WAIT_MAX_MS or would miss its deadline, or if the queue would exceed
 * SS_QUEUE_BYTES_MAX.  A queued statement that can't end by its deadline any
 * more expires.
 */
#ifndef SS_QUEUE_H
#define SS_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fair_share.h"

#define SS_QUEUE_WAIT_MAX_MS 350
/* Rank delay for each level of urgency, and for each ms of expected run time.
 */
#define SS_QUEUE_URGENCY_MS 500
#define SS_QUEUE_RUN_FACTOR 8.0
/* In a deployment with organisations: a statement is queued if its predicted
 * wait is at most this part of the time that it may wait; others that go before
 * it are still to come.
 */
#define SS_QUEUE_GOAL_WAIT_PERCENT 50
/* Initial value of mean_run_ms, and the weight of a new sample in it. */
#define SS_QUEUE_INITIAL_RUN_MS 1.0
#define SS_QUEUE_RUN_GAIN 0.05
#define SS_QUEUE_WAIT_GAIN 0.05
/* One in this many connections is reserved for writes. */
#define SS_QUEUE_WRITE_RESERVE_DIVISOR 4
#define SS_QUEUE_BYTES_MAX (16 * 1024 * 1024)

typedef enum
{
  SS_QUEUE_WRITE,
  SS_QUEUE_READ,
  SS_QUEUE_CLASSES
} SsQueueClass;

typedef struct SsQueueFlow SsQueueFlow;
typedef struct SsQueueService SsQueueService;

/* To be embedded as the first member of a queued job. */
typedef struct
{
  SsQueueClass queue_class;
  uint32_t urgency; /* 0 is the most urgent */
  uint32_t bytes;
  int64_t deadline_ms;
  int64_t queued_ms;
  int64_t after_run_ms; /* needed between its run and its deadline */
  int64_t goal_ms;      /* it should end by then; 0: by its deadline */
  SsQueueFlow *flow;
  SsQueueService *service;
  double rank_ms;
  double cost_ms;    /* expected run time when it was queued */
  double charged_ms; /* run time charged to its organisation when it started */
  bool is_late;      /* can't meet its goal any more */
  uint64_t sequence; /* breaks ties in order of arrival */
  GSequenceIter *queue_iter; /* NULL: not queued */
} SsQueueItem;

typedef struct
{
  GHashTable *flows;         /* name -> SsQueueFlow */
  GHashTable *organisations; /* name -> SsQueueFlow */
  SsFairShare fair_share;    /* among the organisations */
  GHashTable *services;      /* name -> SsQueueService */
  double virtual_time;
  double mean_run_ms;  /* moving average of a statement's run time */
  double mean_wait_ms; /* moving average of the time in the queue */
  uint64_t sequence;
  uint32_t bytes;                     /* of all queued items */
  uint32_t length[SS_QUEUE_CLASSES];  /* queued items */
  uint32_t running[SS_QUEUE_CLASSES]; /* items popped and not done */
} SsQueue;

/* Whether ITEM may run now.  It must not change the queue. */
typedef bool (*SsQueueFilter) (SsQueueItem *item, void *data);

void ss_queue_init (SsQueue *queue);
void ss_queue_finish (SsQueue *queue);

/* ss_queue_assign: assigns ITEM to SERVICE and to FLOW, which has WEIGHT.  To
 * be called before ss_queue_admit and ss_queue_push.
 */
void ss_queue_assign (SsQueue *queue, SsQueueItem *item, const char *service,
                      const char *flow, uint32_t weight);
/* ss_queue_assign_organisation: like ss_queue_assign, in a deployment with
 * organisations.  All callers without one count as the organisation "".
 */
void ss_queue_assign_organisation (SsQueue *queue, SsQueueItem *item,
                                   const char *service,
                                   const char *organisation);
/* ss_queue_wait_ms: returns the predicted wait in milliseconds of one more
 * statement of QUEUE_CLASS behind all others.  CONNECTIONS is the number of all
 * usable connections here and below.
 */
uint32_t ss_queue_wait_ms (const SsQueue *queue, SsQueueClass queue_class,
                           uint32_t connections);
/* ss_queue_admit: whether ITEM may be queued.  If not, sets *RETRY_AFTER_MS to
 * the backoff in milliseconds, with jitter scaled by JITTER from 0 to 1.
 */
bool ss_queue_admit (const SsQueue *queue, const SsQueueItem *item,
                     uint32_t connections, int64_t now_ms, double jitter,
                     uint32_t *retry_after_ms);
void ss_queue_push (SsQueue *queue, SsQueueItem *item, int64_t now_ms);
void ss_queue_remove (SsQueue *queue, SsQueueItem *item);
/* ss_queue_pop: removes and returns the next item that may run, or NULL.  It
 * counts as running until ss_queue_done.
 */
SsQueueItem *ss_queue_pop (SsQueue *queue, uint32_t connections,
                           int64_t now_ms);
/* ss_queue_pop_where: like ss_queue_pop, but passes over the items for which
 * ACCEPTS returns false.
 */
SsQueueItem *ss_queue_pop_where (SsQueue *queue, uint32_t connections,
                                 int64_t now_ms, SsQueueFilter accepts,
                                 void *data);
/* ss_queue_overflow: returns the last-ranked item of an organisation if the
 * queue leaves no time for it, or NULL.  It is to be removed and refused.  To
 * be called after ss_queue_push until it returns NULL.  Sets *RETRY_AFTER_MS as
 * ss_queue_admit does.
 */
SsQueueItem *ss_queue_overflow (const SsQueue *queue, uint32_t connections,
                                int64_t now_ms, double jitter,
                                uint32_t *retry_after_ms);
/* ss_queue_charge: records that ITEM of ORGANISATION, popped from the queue or
 * never in it, ran for RAN_MS milliseconds.
 */
void ss_queue_charge (SsQueue *queue, const SsQueueItem *item,
                      const char *organisation, int64_t ran_ms);
/* ss_queue_done: records that an item of QUEUE_CLASS ended after RAN_MS
 * milliseconds.  A negative RAN_MS is not sampled.
 */
void ss_queue_done (SsQueue *queue, SsQueueClass queue_class, int64_t ran_ms);
/* ss_queue_sample_run: records that a statement of SERVICE ran for RAN_MS
 * milliseconds.
 */
void ss_queue_sample_run (SsQueue *queue, const char *service, int64_t ran_ms);
/* ss_queue_expired: returns a queued item that can't end by its deadline any
 * more, or NULL.
 */
SsQueueItem *ss_queue_expired (const SsQueue *queue, int64_t now_ms);
uint32_t ss_queue_length (const SsQueue *queue);
/* ss_queue_collect: adds all queued items to OUT. */
void ss_queue_collect (const SsQueue *queue, GPtrArray *out);

#endif
