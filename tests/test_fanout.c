/* Subscriptions to state reports, and passing reports on. */
#include <string.h>

#include "core/fanout.h"
#include "core/subscribers.h"
#include "tests/unit.h"

/* The subscriber's clock is behind by 500 ms; its subscription took 40 ms. */
static void
reported_times_are_never_too_young (void)
{
  GHashTable *subscribers = ss_subscribers_new ();
  const SsSubscriber *s;

  CU_ASSERT (ss_subscribers_renew (subscribers, "a", 9460, 10000));
  s = g_hash_table_lookup (subscribers, "a");
  /* 10200 here is 9700 there; 40 ms less are told. */
  CU_ASSERT (ss_subscriber_time_ms (s, 10200) == 9660);
  CU_ASSERT (!ss_subscribers_renew (subscribers, "a", 0, 10300));
  CU_ASSERT (ss_subscriber_time_ms (s, 10200) == 0);
  g_hash_table_destroy (subscribers);
}

static void
subscriptions_expire (void)
{
  GHashTable *subscribers = ss_subscribers_new ();

  ss_subscribers_renew (subscribers, "a", 1, 1000);
  ss_subscribers_expire (subscribers, 1000 + SS_SUBSCRIPTION_MS);
  CU_ASSERT (g_hash_table_size (subscribers) == 1);
  ss_subscribers_expire (subscribers, 1001 + SS_SUBSCRIPTION_MS);
  CU_ASSERT (g_hash_table_size (subscribers) == 0);
  g_hash_table_destroy (subscribers);
}

/* Reports of many targets arrive one by one and are passed on together. */
static void
reports_are_passed_on_together (void)
{
  GPtrArray *due = g_ptr_array_new ();
  SsFanout fanout;

  ss_fanout_init (&fanout);
  CU_ASSERT (ss_fanout_subscribe (&fanout, "t1", "a", 1, 1000));
  CU_ASSERT (!ss_fanout_subscribe (&fanout, "t1", "b", 1, 1000));
  CU_ASSERT (ss_fanout_subscribe (&fanout, "t2", "a", 1, 1000));
  CU_ASSERT (ss_fanout_serves (&fanout, "t1"));
  CU_ASSERT (!ss_fanout_serves (&fanout, "t3"));
  CU_ASSERT (ss_fanout_take_due (&fanout, 1000, due) && due->len == 2);
  g_ptr_array_set_size (due, 0);
  ss_fanout_note_report (&fanout, "t2", false);
  ss_fanout_note_report (&fanout, "t3", false);
  CU_ASSERT (!ss_fanout_take_due (&fanout, 1350, due));
  CU_ASSERT (ss_fanout_take_due (&fanout, 1400, due) && due->len == 1);
  CU_ASSERT (!ss_fanout_take_due (&fanout, 1900, due));
  ss_fanout_expire (&fanout, 1001 + SS_SUBSCRIPTION_MS);
  CU_ASSERT (!ss_fanout_serves (&fanout, "t1"));
  ss_fanout_finish (&fanout);
  g_ptr_array_free (due, TRUE);
}

/* A target that fails or gets another role must not be used for longer, and
 * takes the other reports with it.
 */
static void
urgent_reports_do_not_wait (void)
{
  GPtrArray *due = g_ptr_array_new ();
  SsFanout fanout;

  ss_fanout_init (&fanout);
  ss_fanout_subscribe (&fanout, "t1", "a", 1, 1000);
  ss_fanout_subscribe (&fanout, "t2", "a", 1, 1000);
  ss_fanout_take_due (&fanout, 1000, due);
  g_ptr_array_set_size (due, 0);
  ss_fanout_note_report (&fanout, "t1", false);
  ss_fanout_note_report (&fanout, "t2", true);
  CU_ASSERT (!ss_fanout_take_due (&fanout, 1050, due));
  CU_ASSERT (ss_fanout_take_due (&fanout, 1100, due) && due->len == 2);
  ss_fanout_note_report (&fanout, "t1", false);
  CU_ASSERT (!ss_fanout_take_due (&fanout, 1200, due));
  ss_fanout_finish (&fanout);
  g_ptr_array_free (due, TRUE);
}

CU_TestInfo test_fanout[] = {
  { "reported times are never too young", reported_times_are_never_too_young },
  { "subscriptions expire", subscriptions_expire },
  { "reports are passed on together", reports_are_passed_on_together },
  { "urgent reports do not wait", urgent_reports_do_not_wait },
  CU_TEST_INFO_NULL,
};
