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
assign (SsQueue *queue, SsQueueItem *item, const char *service)
{
  ss_queue_assign (queue, item, service, service, 1);
}

/* Each service is a flow of its own. */
static void
push (SsQueue *queue, SsQueueItem *item, const char *service, uint32_t weight)
{
  ss_queue_assign (queue, item, service, service, weight);
  ss_queue_push (queue, item, 0);
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
      push (&q, &light[i], "light", 1);
      push (&q, &heavy[i], "heavy", 3);
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
      push (&q, &reads[i], "s", 1);
    }
  while (ss_queue_pop (&q, 8, 0))
    running++;
  CU_ASSERT (running == 6);
  push (&q, &write, "s", 1);
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
  q.mean_run_ms = 16;
  assign (&q, &short_deadline, "s");
  assign (&q, &long_deadline, "s");
  CU_ASSERT (ss_queue_admit (&q, &short_deadline, 2, 0, 0.5, &retry_after_ms));
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      waiting[i] = make_item (SS_QUEUE_WRITE, 10000);
      push (&q, &waiting[i], "s", 1);
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
  push (&q, &b, "s", 1);
  push (&q, &a, "s", 1);
  /* It expires once the time that is left is no longer than its run. */
  q.mean_run_ms = 10;
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 39));
  CU_ASSERT_PTR_EQUAL (ss_queue_expired (&q, 40), &a);
  ss_queue_remove (&q, &a);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 50));
  CU_ASSERT (ss_queue_length (&q) == 1);
  ss_queue_finish (&q);
}

/* A server of SLOTS slots under a load of three kinds of statements, each with
 * its urgency, run time, interval and deadline.  Time is simulated.
 */
#define LOAD_MS 10000
#define SLOTS 3
#define LOAD_ITEMS 4096

typedef struct
{
  const char *service;
  uint32_t urgency;
  int64_t run_ms;
  int64_t interval_ms;
  int64_t timeout_ms;
  uint32_t offered;
  uint32_t admitted;
  uint32_t served;
  uint32_t late; /* ran, but ended after its deadline */
} LoadKind;

typedef struct
{
  SsQueueItem item;
  LoadKind *kind;
  int64_t end_ms;
} LoadItem;

typedef struct
{
  SsQueue queue;
  LoadItem items[LOAD_ITEMS];
  uint32_t count;
  LoadItem *running[SLOTS + 1];
} Load;

static void
offer (Load *load, LoadKind *kind, int64_t now_ms)
{
  LoadItem *l = &load->items[load->count++];
  uint32_t retry_after_ms;

  l->kind = kind;
  l->item.queue_class = SS_QUEUE_WRITE;
  l->item.urgency = kind->urgency;
  l->item.deadline_ms = now_ms + kind->timeout_ms;
  ss_queue_assign (&load->queue, &l->item, kind->service, "customer", 1);
  kind->offered++;
  if (!ss_queue_admit (&load->queue, &l->item, SLOTS, now_ms, 0.5,
                       &retry_after_ms))
    return;
  kind->admitted++;
  ss_queue_push (&load->queue, &l->item, now_ms);
}

static void
end_running (Load *load, int64_t now_ms)
{
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      LoadItem *l = load->running[i];

      if (!l || l->end_ms > now_ms)
        continue;
      load->running[i] = NULL;
      ss_queue_done (&load->queue, l->item.queue_class, l->kind->run_ms);
      ss_queue_sample_run (&load->queue, l->kind->service, l->kind->run_ms);
      if (now_ms < l->item.deadline_ms)
        l->kind->served++;
      else
        l->kind->late++;
    }
}

static void
start_waiting (Load *load, int64_t now_ms)
{
  SsQueueItem *item;

  while ((item = ss_queue_expired (&load->queue, now_ms)))
    ss_queue_remove (&load->queue, item);
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      if (load->running[i])
        continue;
      load->running[i]
          = (LoadItem *) ss_queue_pop (&load->queue, SLOTS, now_ms);
      if (load->running[i])
        load->running[i]->end_ms = now_ms + load->running[i]->kind->run_ms;
    }
}

static void
run_load (Load *load, LoadKind *kinds, uint32_t kind_count)
{
  ss_queue_init (&load->queue);
  for (int64_t now_ms = 1; now_ms <= LOAD_MS; now_ms++)
    {
      end_running (load, now_ms);
      for (uint32_t i = 0; i < kind_count; i++)
        if (now_ms % kinds[i].interval_ms == 0)
          offer (load, &kinds[i], now_ms);
      start_waiting (load, now_ms);
    }
  ss_queue_finish (&load->queue);
}

/* A primary without replicas for reads: 5.3 slots of work for 3. */
static void
urgent_statements_are_served_in_an_overload (void)
{
  Load *load = g_new0 (Load, 1);
  LoadKind kinds[] = {
    { .service = "urgent", .urgency = 1, .run_ms = 8, .interval_ms = 20 },
    { .service = "usual", .urgency = 2, .run_ms = 24, .interval_ms = 7 },
    { .service = "long", .urgency = 2, .run_ms = 40, .interval_ms = 27 },
  };

  for (uint32_t i = 0; i < 3; i++)
    kinds[i].timeout_ms = 1000;
  run_load (load, kinds, 3);
  CU_ASSERT (kinds[0].served * 100 >= kinds[0].offered * 98);
  /* The others share what is left, and none starves. */
  CU_ASSERT (kinds[1].served * 100 >= kinds[1].offered * 40);
  CU_ASSERT (kinds[2].served * 100 >= kinds[2].offered * 10);
  g_free (load);
}

/* What is admitted in an overload is also served, not refused after a wait. */
static void
admitted_statements_are_served_in_an_overload (void)
{
  Load *load = g_new0 (Load, 1);
  LoadKind kinds[] = {
    { .service = "a", .run_ms = 24, .interval_ms = 5, .timeout_ms = 1000 },
    { .service = "b", .run_ms = 60, .interval_ms = 40, .timeout_ms = 1000 },
  };

  run_load (load, kinds, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      CU_ASSERT (kinds[i].admitted < kinds[i].offered);
      CU_ASSERT (kinds[i].served * 100 >= kinds[i].admitted * 90);
      CU_ASSERT (kinds[i].late == 0);
    }
  g_free (load);
}

/* A write that could run but not be replicated in time is given back before it
 * runs: afterwards nobody could say that it has not.
 */
static void
write_without_time_for_replication_expires (void)
{
  SsQueue q;
  SsQueueItem write = make_item (SS_QUEUE_WRITE, 1000);

  ss_queue_init (&q);
  write.after_run_ms = 300;
  push (&q, &write, "s", 1);
  CU_ASSERT_PTR_NULL (ss_queue_expired (&q, 600));
  CU_ASSERT_PTR_EQUAL (ss_queue_expired (&q, 700), &write);
  ss_queue_remove (&q, &write);
  ss_queue_finish (&q);
}

/* A customer that floods a target does not delay another one. */
static void
flood_of_one_flow_leaves_the_other_admitted (void)
{
  SsQueue q;
  SsQueueItem flood[ITEMS];
  SsQueueItem other = make_item (SS_QUEUE_WRITE, 1000);
  uint32_t retry_after_ms;

  ss_queue_init (&q);
  q.mean_run_ms = 100;
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      flood[i] = make_item (SS_QUEUE_WRITE, 1000);
      push (&q, &flood[i], "flood", 1);
    }
  assign (&q, &other, "other");
  CU_ASSERT (ss_queue_admit (&q, &other, 2, 0, 0.5, &retry_after_ms));
  ss_queue_push (&q, &other, 0);
  CU_ASSERT (ss_queue_pop (&q, 2, 0) && ss_queue_pop (&q, 2, 0));
  CU_ASSERT_PTR_NULL (other.queue_iter);
  ss_queue_finish (&q);
}

/* --- deployments with organisations --- */

static void
assign_organisation (SsQueue *queue, SsQueueItem *item,
                     const char *organisation, int64_t goal_ms)
{
  item->goal_ms = goal_ms;
  ss_queue_assign_organisation (queue, item, "s", organisation);
}

/* Load pattern: one organisation has filled the queue and another one sends its
 * first statement.  Guards against its refusal: the last-ranked statement of
 * the organisation that is ahead is refused in its place.
 */
static void
statement_within_its_share_displaces_the_last (void)
{
  SsQueue q;
  SsQueueItem flood[ITEMS];
  SsQueueItem more = make_item (SS_QUEUE_WRITE, 1000);
  SsQueueItem other = make_item (SS_QUEUE_WRITE, 1000);
  uint32_t retry_after_ms = 0;

  ss_queue_init (&q);
  q.mean_run_ms = 50;
  q.running[SS_QUEUE_WRITE] = 2;
  /* 38 * 50 ms / 2 = 950 ms: no time is left for one more. */
  for (uint32_t i = 0; i < 38; i++)
    {
      flood[i] = make_item (SS_QUEUE_WRITE, 1000);
      assign_organisation (&q, &flood[i], "flood", 0);
      ss_queue_push (&q, &flood[i], 0);
    }
  CU_ASSERT_PTR_NULL (ss_queue_overflow (&q, 2, 0, 0.5, &retry_after_ms));
  assign_organisation (&q, &more, "flood", 0);
  CU_ASSERT (!ss_queue_admit (&q, &more, 2, 0, 0.5, &retry_after_ms));
  CU_ASSERT (retry_after_ms >= 950);
  assign_organisation (&q, &other, "other", 0);
  CU_ASSERT (ss_queue_admit (&q, &other, 2, 0, 0.5, &retry_after_ms));
  ss_queue_push (&q, &other, 0);
  retry_after_ms = 0;
  CU_ASSERT_PTR_EQUAL (ss_queue_overflow (&q, 2, 0, 0, &retry_after_ms),
                       &flood[37]);
  CU_ASSERT (retry_after_ms >= 950);
  ss_queue_remove (&q, &flood[37]);
  CU_ASSERT_PTR_NULL (ss_queue_overflow (&q, 2, 0, 0, &retry_after_ms));
  ss_queue_finish (&q);
}

/* Guards against a refusal while a slot is free: what waits then does so for a
 * connection.
 */
static void
free_capacity_refuses_nothing_in_time (void)
{
  SsQueue q;
  SsQueueItem waiting[ITEMS];
  SsQueueItem item = make_item (SS_QUEUE_WRITE, 1000);
  uint32_t retry_after_ms = 0;

  ss_queue_init (&q);
  q.mean_run_ms = 40;
  assign_organisation (&q, &item, "a", 100);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      waiting[i] = make_item (SS_QUEUE_WRITE, 1000);
      assign_organisation (&q, &waiting[i], "a", 100);
      ss_queue_push (&q, &waiting[i], 0);
    }
  CU_ASSERT (ss_queue_admit (&q, &item, 2, 0, 0.5, &retry_after_ms));
  CU_ASSERT_PTR_NULL (ss_queue_overflow (&q, 2, 0, 0.5, &retry_after_ms));
  q.running[SS_QUEUE_WRITE] = 2;
  CU_ASSERT (!ss_queue_admit (&q, &item, 2, 0, 0.5, &retry_after_ms));
  ss_queue_finish (&q);
}

/* Guards against slots spent on statements that miss their goals while others
 * could still meet theirs; they are still served where nothing else waits.
 */
static void
statements_that_meet_their_goals_go_first (void)
{
  SsQueue q;
  SsQueueItem late = make_item (SS_QUEUE_WRITE, 2000);
  SsQueueItem good = make_item (SS_QUEUE_WRITE, 2000);

  ss_queue_init (&q);
  q.mean_run_ms = 20;
  assign_organisation (&q, &late, "a", 250);
  ss_queue_push (&q, &late, 0);
  assign_organisation (&q, &good, "a", 500);
  ss_queue_push (&q, &good, 200);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 240), &good);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 240), &late);
  ss_queue_finish (&q);
}

/* Without pressure on the target, the order is that of the ranks, whatever the
 * organisations.
 */
static void
organisations_within_their_shares_keep_the_order (void)
{
  SsQueue q;
  SsQueueItem items[4];
  static const char *const names[] = { "a", "b", "a", "c" };

  ss_queue_init (&q);
  for (uint32_t i = 0; i < 4; i++)
    {
      items[i] = make_item (SS_QUEUE_WRITE, 10000);
      items[i].urgency = i == 1 ? 1 : 0;
      assign_organisation (&q, &items[i], names[i], 0);
      ss_queue_push (&q, &items[i], 100 * i);
    }
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 400), &items[0]);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 400), &items[2]);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 400), &items[3]);
  CU_ASSERT_PTR_EQUAL (ss_queue_pop (&q, 9, 400), &items[1]);
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
  { "urgent statements are served in an overload",
    urgent_statements_are_served_in_an_overload },
  { "admitted statements are served in an overload",
    admitted_statements_are_served_in_an_overload },
  { "write without time for replication expires",
    write_without_time_for_replication_expires },
  { "flood of one flow leaves the other admitted",
    flood_of_one_flow_leaves_the_other_admitted },
  { "statement within its share displaces the last",
    statement_within_its_share_displaces_the_last },
  { "free capacity refuses nothing in time",
    free_capacity_refuses_nothing_in_time },
  { "statements that meet their goals go first",
    statements_that_meet_their_goals_go_first },
  { "organisations within their shares keep the order",
    organisations_within_their_shares_keep_the_order },
  { "retries are a tenth of first tries", retries_are_a_tenth_of_first_tries },
  CU_TEST_INFO_NULL,
};
