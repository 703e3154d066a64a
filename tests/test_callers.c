/* Connections of callers over the line protocol: the plug-in, run with a real
 * event loop and a caller on 127.0.0.1.
 */
#include <string.h>

#include "platform/line.h"
#include "tests/target_harness.h"
#include "tests/unit.h"

#define READY_LINE "READY I -\r\n"

static void
open_caller (TargetHarness *h)
{
  target_harness_init_callers (h);
  CU_ASSERT (target_harness_send_text (h, "CONNECT shop acme\r\n"));
  CU_ASSERT (target_harness_wait (h, &h->callers_opened, 1));
}

/* The caller waits for the answer to its first statement. */
static void
open_and_query (TargetHarness *h)
{
  open_caller (h);
  target_harness_reply (h, SS_VERDICT_RAN, 'I', NULL, NULL);
  CU_ASSERT (target_harness_wait (h, &h->received->len, strlen (READY_LINE)));
  g_byte_array_set_size (h->received, 0);
  CU_ASSERT (target_harness_send_text (h, "QUERY a1 READ 1a\r\n"));
  CU_ASSERT (target_harness_wait (h, &h->statements, 1));
}

static void
expect_received (const TargetHarness *h, const char *text)
{
  GBytes *expected = g_bytes_new (text, strlen (text));
  GBytes *received = g_bytes_new (h->received->data, h->received->len);

  CU_ASSERT (g_bytes_equal (received, expected));
  g_bytes_unref (received);
  g_bytes_unref (expected);
}

/* The caller sees the end of its connection, and the core gets it once. */
static void
expect_closed (TargetHarness *h)
{
  CU_ASSERT (target_harness_wait (h, &h->ended, 1));
  target_harness_hang_up (h);
  target_harness_settle (h);
  CU_ASSERT (h->callers_closed == 1);
  CU_ASSERT (target_harness_has_logged (h, "not one message"));
}

/* Guards against a caller whose connection ends with a usual answer. */
static void
answered_caller_stays (void)
{
  TargetHarness h;

  open_and_query (&h);
  target_harness_reply (&h, SS_VERDICT_RAN, 'T', "COMPLETE x\r\n", NULL);
  CU_ASSERT (target_harness_wait (&h, &h.received->len, 23));
  target_harness_settle (&h);
  expect_received (&h, "COMPLETE x\r\nREADY T -\r\n");
  CU_ASSERT (h.ended == 0);
  CU_ASSERT (h.callers_closed == 0);
  target_harness_finish (&h);
}

/* Guards against a caller that waits for ever: a READY that is not one message
 * was left out.
 */
static void
caller_without_ready_is_closed (void)
{
  TargetHarness h;

  open_and_query (&h);
  target_harness_reply (&h, SS_VERDICT_RAN, ' ', "COMPLETE x\r\n", NULL);
  expect_closed (&h);
  expect_received (&h, "COMPLETE x\r\n");
  target_harness_finish (&h);
}

/* Answers with an ERROR that is too long for a message. */
static void
expect_closed_by_long_error (TargetHarness *h)
{
  char *text = g_strnfill (SS_LINE_MAX_BYTES, 'x');

  target_harness_reply (h, SS_VERDICT_NOT_RUN, 'I', NULL, text);
  expect_closed (h);
  expect_received (h, "");
  g_free (text);
}

/* Guards against a failure that looks like the success of nothing: an ERROR
 * that is too long was left out, and READY was sent without it.
 */
static void
caller_without_error_is_closed (void)
{
  TargetHarness h;

  open_and_query (&h);
  expect_closed_by_long_error (&h);
  target_harness_finish (&h);
}

/* Guards against the same in answer to CONNECT. */
static void
caller_without_answer_to_connect_is_closed (void)
{
  TargetHarness h;

  open_caller (&h);
  expect_closed_by_long_error (&h);
  target_harness_finish (&h);
}

CU_TestInfo test_callers[] = {
  { "answered caller stays", answered_caller_stays },
  { "caller without READY is closed", caller_without_ready_is_closed },
  { "caller without ERROR is closed", caller_without_error_is_closed },
  { "caller without answer to CONNECT is closed",
    caller_without_answer_to_connect_is_closed },
  CU_TEST_INFO_NULL,
};
