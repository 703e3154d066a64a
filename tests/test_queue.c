#include "core/retry_budget.h"
#include "core/queue.h"
#include "tests/unit.h"

#define ITEMS 40

static SsQueueItem
item_of (SsQueueClass queue_class, int64_t deadline_ms)
{
  SsQueueItem item = { .queue_class = queue_class, .deadline_ms = deadline_ms };

  return item;
}

static void
shares_by_weight (void)
{
  SsQueue q;
  SsQueueItem light[ITEMS];
  SsQueueItem heavy[ITEMS];
  uint32_t heavy_first = 0;

  ss_queue_init (&q);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      light[i] = item_of (SS_QUEUE_WRITE, 1000);
      heavy[i] = item_of (SS_QUEUE_WRITE, 1000);
      ss_queue_push (&q, &light[i], "light", 1);
      ss_queue_push (&q, &heavy[i], "heavy", 3);
    }
  for (uint32_t i = 0; i < 20; i++)
    {
      SsQueueItem *item = ss_queue_pop (&q, 100);

      if (item >= heavy && item < heavy + ITEMS)
        heavy_first++;
    }
  CU_ASSERT (heavy_first >= 14 && heavy_first <= 16);
  ss_queue_finish (&q);
}

static void
reads_leave_a_share_to_writes (void)
{
  SsQueue q;
  SsQueueItem reads[ITEMS];
  SsQueueItem write = item_of (SS_QUEUE_WRITE, 1000);
  uint32_t running = 0;

  ss_queue_init (&q);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      reads[i] = item_of (SS_QUEUE_READ, 1000);
      ss_queue_push (&q, &reads[i], "s", 1);
    }
  while (ss_queue_pop (&q, 8))
    running++;
  CU_ASSERT (running == 6);
  ss_queue_push (&q, &write, "s", 1);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 8), &write);
  ss_queue_finish (&q);
}

static void
refuses_what_would_miss_its_deadline (void)
{
  SsQueue q;
  SsQueueItem waiting[ITEMS];
  SsQueueItem late = item_of (SS_QUEUE_WRITE, 100);
  SsQueueItem early = item_of (SS_QUEUE_WRITE, 10000);
  uint32_t retry_after_ms = 0;

  ss_queue_init (&q);
  q.mean_run_ms = 20;
  CU_ASSERT (ss_queue_admit (&q, &late, 2, 0, 0.5, &retry_after_ms));
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      waiting[i] = item_of (SS_QUEUE_WRITE, 10000);
      ss_queue_push (&q, &waiting[i], "s", 1);
    }
  CU_ASSERT (!ss_queue_admit (&q, &late, 2, 0, 0.5, &retry_after_ms));
  CU_ASSERT (retry_after_ms > 100);
  CU_ASSERT (ss_queue_admit (&q, &early, 2, 0, 0.5, &retry_after_ms));
  q.mean_run_ms = 100;
  CU_ASSERT (!ss_queue_admit (&q, &early, 2, 0, 0.5, &retry_after_ms));
  ss_queue_finish (&q);
}

static void
finds_the_expired (void)
{
  SsQueue q;
  SsQueueItem a = item_of (SS_QUEUE_READ, 50);
  SsQueueItem b = item_of (SS_QUEUE_READ, 500);

  ss_queue_init (&q);
  ss_queue_push (&q, &b, "s", 1);
  ss_queue_push (&q, &a, "s", 1);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 49));
  CU_ASSERT_PTR_EQUAL (ss_queue_expired (&q, 50), &a);
  ss_queue_remove (&q, &a);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 50));
  CU_ASSERT (ss_queue_length (&q) == 1);
  ss_queue_finish (&q);
}

static void
retries_are_a_share_of_first_tries (void)
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
  { "shares by weight", shares_by_weight },
  { "reads leave a share to writes", reads_leave_a_share_to_writes },
  { "refuses what would miss its deadline",
    refuses_what_would_miss_its_deadline },
  { "finds the expired", finds_the_expired },
  { "retries are a share of first tries", retries_are_a_share_of_first_tries },
  CU_TEST_INFO_NULL,
};
