/* Admission control, scheduling and the retry budget. */
#include "core/retry_budget.h"
#include "core/queue.h"
#include "tests/unit.h"

#define ITEMS 40

static SsQueueItem
make_item (SsQueueClass queue_class, int64_t deadline_ms)
{
  SsQueueItem item = { .queue_class = queue_class, .deadline_ms = deadline_ms };

  return item;
}

static void
services_share_by_weight (void)
{
  SsQueue q;
  SsQueueItem light[ITEMS];
  SsQueueItem heavy[ITEMS];
  uint32_t heavy_count = 0;

  ss_queue_init (&q);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      light[i] = make_item (SS_QUEUE_WRITE, 1000);
      heavy[i] = make_item (SS_QUEUE_WRITE, 1000);
      ss_queue_push (&q, &light[i], "light", 1, 0);
      ss_queue_push (&q, &heavy[i], "heavy", 3, 0);
    }
  for (uint32_t i = 0; i < 20; i++)
    {
      SsQueueItem *item = ss_queue_pop (&q, 100, 0);

      if (item >= heavy && item < heavy + ITEMS)
        heavy_count++;
    }
  CU_ASSERT (heavy_count >= 14 && heavy_count <= 16);
  ss_queue_finish (&q);
}

static void
reads_leave_connections_to_writes (void)
{
  SsQueue q;
  SsQueueItem reads[ITEMS];
  SsQueueItem write = make_item (SS_QUEUE_WRITE, 1000);
  uint32_t running = 0;

  ss_queue_init (&q);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      reads[i] = make_item (SS_QUEUE_READ, 1000);
      ss_queue_push (&q, &reads[i], "s", 1, 0);
    }
  while (ss_queue_pop (&q, 8, 0))
    running++;
  CU_ASSERT (running == 6);
  ss_queue_push (&q, &write, "s", 1, 0);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 8, 0), &write);
  ss_queue_finish (&q);
}

static void
statement_that_would_miss_its_deadline_is_refused (void)
{
  SsQueue q;
  SsQueueItem waiting[ITEMS];
  SsQueueItem short_deadline = make_item (SS_QUEUE_WRITE, 100);
  SsQueueItem long_deadline = make_item (SS_QUEUE_WRITE, 10000);
  uint32_t retry_after_ms = 0;

  ss_queue_init (&q);
  q.mean_run_ms = 20;
  CU_ASSERT (ss_queue_admit (&q, &short_deadline, 2, 0, 0.5, &retry_after_ms));
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      waiting[i] = make_item (SS_QUEUE_WRITE, 10000);
      ss_queue_push (&q, &waiting[i], "s", 1, 0);
    }
  CU_ASSERT (!ss_queue_admit (&q, &short_deadline, 2, 0, 0.5, &retry_after_ms));
  CU_ASSERT (retry_after_ms > 100);
  CU_ASSERT (ss_queue_admit (&q, &long_deadline, 2, 0, 0.5, &retry_after_ms));
  q.mean_run_ms = 100;
  CU_ASSERT (!ss_queue_admit (&q, &long_deadline, 2, 0, 0.5, &retry_after_ms));
  ss_queue_finish (&q);
}

static void
expired_item_is_found (void)
{
  SsQueue q;
  SsQueueItem a = make_item (SS_QUEUE_READ, 50);
  SsQueueItem b = make_item (SS_QUEUE_READ, 500);

  ss_queue_init (&q);
  ss_queue_push (&q, &b, "s", 1, 0);
  ss_queue_push (&q, &a, "s", 1, 0);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 49));
  CU_ASSERT_PTR_EQUAL (ss_queue_expired (&q, 50), &a);
  ss_queue_remove (&q, &a);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 50));
  CU_ASSERT (ss_queue_length (&q) == 1);
  ss_queue_finish (&q);
}

static void
retries_are_a_tenth_of_first_tries (void)
{
  SsRetryBudget b;
  uint32_t retries = 0;

  ss_retry_budget_init (&b);
  while (ss_retry_budget_withdraw (&b))
    retries++;
  CU_ASSERT (retries == SS_RETRY_BUDGET_MAX / SS_RETRY_BUDGET_PER_RETRY);
  for (uint32_t i = 0; i < 100; i++)
    ss_retry_budget_deposit (&b);
  for (retries = 0; ss_retry_budget_withdraw (&b);)
    retries++;
  CU_ASSERT (retries == 10);
}

CU_TestInfo test_queue[] = {
  { "services share by weight", services_share_by_weight },
  { "reads leave connections to writes", reads_leave_connections_to_writes },
  { "statement that would miss its deadline is refused",
    statement_that_would_miss_its_deadline_is_refused },
  { "expired item is found", expired_item_is_found },
  { "retries are a tenth of first tries", retries_are_a_tenth_of_first_tries },
  CU_TEST_INFO_NULL,
};
