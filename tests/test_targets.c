/* Connections to servers over the line protocol: the plug-in, run with a real
 * event loop against a server on 127.0.0.1.
 */
#include <string.h>

#include "platform/line.h"
#include "tests/target_harness.h"
#include "tests/unit.h"

#define MIB (1024U * 1024U)
/* A response may have no more bytes than this. */
#define RESPONSE_MAX_BYTES (8U * MIB)
/* An answer of any use to a caller, with cells that are easily changed. */
#define RESPONSE                                                               \
  "ROW a  b \r\nROW\r\nROW  \r\nCOMPLETE 7.1f3 c\r\nREADY I 3.1209\r\n"
#define RESPONSE_WIRE "ROW a  b \r\nROW\r\nROW  \r\nCOMPLETE 7.1f3 c\r\n"

/* --- expectations --- */

static void
expect_received (const TargetHarness *h, const void *data, size_t bytes)
{
  CU_ASSERT (h->received->len == bytes);
  CU_ASSERT (h->received->len == bytes
             && memcmp (h->received->data, data, bytes) == 0);
}

static void
expect_received_text (const TargetHarness *h, const char *text)
{
  expect_received (h, text, strlen (text));
}

static void
expect_wire (const TargetHarness *h, const void *data, size_t bytes)
{
  GBytes *expected = g_bytes_new (data, bytes);

  CU_ASSERT (h->result.wire && g_bytes_equal (h->result.wire, expected));
  g_bytes_unref (expected);
}

static void
expect_wire_text (const TargetHarness *h, const char *text)
{
  expect_wire (h, text, strlen (text));
}

/* The end of the connection is reported once, and no result. */
static void
expect_closed_without_result (TargetHarness *h)
{
  CU_ASSERT (target_harness_wait (h, &h->closed, 1));
  target_harness_settle (h);
  CU_ASSERT (h->closed == 1);
  CU_ASSERT (h->results == 0);
}

static void
open_and_query (TargetHarness *h, const char *text)
{
  target_harness_init (h);
  target_harness_open (h);
  CU_ASSERT (h->ready == 1);
  target_harness_query (h, "a1", text);
}

/* --- names in CONNECT --- */

static const char *const no_names[]
    = { "",     " ",    "a b",  " a",    "a ",
        "a\tb", "a\rb", "a\nb", "a\r\n", "a b c\r\nQUERY - WRITE b6 x" };

static void
expect_no_connect (const char *group, const char *organisation,
                   const char *server)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, group, organisation, server);
  CU_ASSERT (h.closed == 0);
  expect_closed_without_result (&h);
  CU_ASSERT (h.ready == 0);
  CU_ASSERT (h.received->len == 0);
  CU_ASSERT (!h.is_wrong_server);
  CU_ASSERT (target_harness_has_logged (&h, "not one word"));
  target_harness_finish (&h);
}

/* Guards against a use after free: a service name with a space ended the
 * daemon, and the daemon that took over.  Also against UNASKED: a name with
 * line ends became a message of its own.
 */
static void
service_that_is_no_word_is_not_sent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (no_names); i++)
    expect_no_connect (no_names[i], "acme", "i-1");
}

/* Guards against the same with the name of an organisation. */
static void
organisation_that_is_no_word_is_not_sent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (no_names); i++)
    expect_no_connect ("shop", no_names[i], "i-1");
}

/* Guards against the same with the id of a server. */
static void
server_id_that_is_no_word_is_not_sent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (no_names); i++)
    expect_no_connect ("shop", "acme", no_names[i]);
}

/* Guards against the replacement of a healthy primary: a name that was not sent
 * was reported like a refused connection, which counts as a crash.
 */
static void
name_that_is_no_word_is_no_refused_connection (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, "a b", "acme", "i-1");
  expect_closed_without_result (&h);
  CU_ASSERT (!h.refused);
  target_harness_finish (&h);
}

/* Guards against an event for a connection that the core has closed. */
static void
close_before_a_reported_failure_is_the_last_event (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, "a b", "acme", "i-1");
  target_harness_close (&h);
  target_harness_settle (&h);
  CU_ASSERT (h.closed == 0);
  target_harness_finish (&h);
}

/* Guards against MISROUTED: CONNECT has the service, the organisation and the
 * id of the server, in this order.
 */
static void
connect_names_service_organisation_and_server (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, "shop", "acme\xff%s", "i-1");
  CU_ASSERT (target_harness_wait (&h, &h.received->len, 1));
  target_harness_settle (&h);
  expect_received_text (&h, "CONNECT shop acme\xff%s i-1\r\n");
  CU_ASSERT (h.ready == 0);
  target_harness_finish (&h);
}

/* Guards against a CONNECT without an organisation: its server id would be
 * taken for one.
 */
static void
connect_of_no_organisation_names_the_proxy (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, "shop", NULL, "i-1");
  CU_ASSERT (target_harness_wait (&h, &h.received->len, 1));
  target_harness_settle (&h);
  expect_received_text (&h, "CONNECT shop sapphirestair i-1\r\n");
  target_harness_finish (&h);
}

/* --- statements that can't be sent --- */

static void
expect_query_not_sent (const char *label, const char *text)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_open (&h);
  target_harness_query (&h, label, text);
  CU_ASSERT (h.closed == 0);
  expect_closed_without_result (&h);
  CU_ASSERT (h.received->len == 0);
  CU_ASSERT (h.ended == 1);
  CU_ASSERT (target_harness_has_logged (&h, "not one message"));
  target_harness_finish (&h);
}

/* Guards against UNASKED: the server ran the rest of the text after a line feed
 * as another statement.  Also against a caller without an answer: a refused
 * statement was dropped.
 */
static void
statement_with_line_feed_is_not_sent (void)
{
  static const char *const texts[]
      = { "\n", "READ 1a\n", "READ 1a\r\n", "READ 1a\r\nQUERY a2 WRITE b6 x",
          "READ 1a\nQUERY a2 WRITE b6 x" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    expect_query_not_sent ("a1", texts[i]);
}

/* Guards against UNASKED: a server took the rest of an id for the statement. */
static void
id_that_is_no_field_is_not_sent (void)
{
  static const char *const labels[]
      = { "", " ", "a 1", " a1", "a1 ", "a\n1", "a1\r\nQUERY a2 WRITE b6 x" };

  for (size_t i = 0; i < G_N_ELEMENTS (labels); i++)
    expect_query_not_sent (labels[i], "READ 1a");
}

/* Guards against a message that a server refuses halfway. */
static void
message_over_1_mib_is_not_sent (void)
{
  char *text = g_strnfill (MIB - strlen ("QUERY a1 \r\n") + 1, 'x');

  expect_query_not_sent ("a1", text);
  g_free (text);
}

/* Guards against a result for a statement that was not sent: until the loop
 * reports its failure, nothing that the server sends answers it.
 */
static void
refused_statement_has_no_answer (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_open (&h);
  target_harness_send_text (&h, "COMPLETE x\r\nREADY I 3.1\r\n");
  target_harness_query (&h, "a 1", "READ 1a");
  expect_closed_without_result (&h);
  CU_ASSERT (h.received->len == 0);
  target_harness_finish (&h);
}

/* --- statements that are sent --- */

static void
expect_sent_unchanged (const char *label, const char *text)
{
  char *message = g_strconcat ("QUERY ", label ? label : "-", *text ? " " : "",
                               text, "\r\n", NULL);
  TargetHarness h;

  target_harness_init (&h);
  target_harness_open (&h);
  target_harness_query (&h, label, text);
  CU_ASSERT (
      target_harness_wait (&h, &h.received->len, (uint32_t) strlen (message)));
  target_harness_turn (&h);
  expect_received_text (&h, message);
  CU_ASSERT (target_harness_send_text (&h, RESPONSE));
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  CU_ASSERT (h.closed == 0);
  target_harness_finish (&h);
  g_free (message);
}

/* Guards against MIXED: the server ran another text than the caller's. */
static void
texts_arrive_unchanged (void)
{
  static const char *const texts[] = { "",
                                       " ",
                                       "READ 1a",
                                       "  READ  1a  ",
                                       "READ\t1a",
                                       "READ\r1a",
                                       "READ 1a\r",
                                       "READ \x01\x02\x1f\x7f",
                                       "READ \xff\xfe\x80",
                                       "READ \xc3",
                                       "WRITE a %s%n%d %",
                                       "WRITE a \\\"'" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    expect_sent_unchanged ("a1", texts[i]);
}

/* Guards against MIXED: the server signed another id than the caller's. */
static void
ids_arrive_unchanged (void)
{
  static const char *const labels[]
      = { "a",    "a\t1",     "\ta",     "a\r1", "a\r", "\x01a",
          "\x7f", "\xff\x80", "%s%n%d%", "-",    NULL };

  for (size_t i = 0; i < G_N_ELEMENTS (labels); i++)
    expect_sent_unchanged (labels[i], "READ 1a");
}

/* Guards against a refusal or a cut of the longest message. */
static void
message_of_1_mib_arrives (void)
{
  char *text = g_strnfill (MIB - strlen ("QUERY a1 \r\n"), 'x');

  expect_sent_unchanged ("a1", text);
  g_free (text);
}

/* --- responses --- */

static void
expect_response (const TargetHarness *h)
{
  CU_ASSERT (h->results == 1);
  CU_ASSERT (h->closed == 0);
  CU_ASSERT (h->result.ok);
  CU_ASSERT (h->result.fault == SS_TARGET_FAULT_NONE);
  CU_ASSERT (h->result.transaction_status == 'I');
  CU_ASSERT (h->result.applied.term == 3);
  CU_ASSERT (h->result.applied.offset == 1209);
  CU_ASSERT_STRING_EQUAL (h->row, "a|b|3.1209|");
  expect_wire_text (h, RESPONSE_WIRE);
}

/* Guards against MIXED: a response that arrives in two pieces lost some of its
 * bytes, or was returned before its end.
 */
static void
response_may_be_split_anywhere (void)
{
  size_t bytes = strlen (RESPONSE);

  for (size_t i = 1; i < bytes; i++)
    {
      TargetHarness h;

      open_and_query (&h, "READ 1a");
      CU_ASSERT (target_harness_send (&h, RESPONSE, i));
      target_harness_turn (&h);
      CU_ASSERT (h.results == 0);
      CU_ASSERT (target_harness_send (&h, &RESPONSE[i], bytes - i));
      CU_ASSERT (target_harness_wait (&h, &h.results, 1));
      expect_response (&h);
      target_harness_finish (&h);
    }
}

/* Guards against the same with a piece for each byte. */
static void
response_may_come_byte_by_byte (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  for (size_t i = 0; i < strlen (RESPONSE); i++)
    {
      CU_ASSERT (target_harness_send (&h, &RESPONSE[i], 1));
      target_harness_turn (&h);
    }
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  expect_response (&h);
  target_harness_finish (&h);
}

static void
expect_passed_on (const char *response, size_t bytes)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  CU_ASSERT (target_harness_send (&h, response, bytes));
  CU_ASSERT (target_harness_send_text (&h, "READY I -\r\n"));
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  CU_ASSERT (h.closed == 0);
  expect_wire (&h, response, bytes);
  target_harness_finish (&h);
}

/* Guards against MIXED: the caller got other bytes than the server sent.  An
 * empty text lost its space: "ROW \r\n" became "ROW\r\n".
 */
static void
responses_are_passed_on_unchanged (void)
{
  static const char *const responses[]
      = { "COMPLETE -\r\n",
          "COMPLETE\r\n",
          "COMPLETE \r\n",
          "ROW\r\nCOMPLETE -\r\n",
          "ROW \r\nCOMPLETE -\r\n",
          "ROW  \r\nCOMPLETE -\r\n",
          "ROW  a  b  \r\nCOMPLETE  x  y \r\n",
          "ROW a\r\r\nCOMPLETE -\r\n",
          "ROW \r\r\nCOMPLETE -\r\n",
          "ROW \t\r\x01\x1f\x7f\r\nCOMPLETE -\r\n",
          "ROW \xff\xfe\x80\xc3\r\nCOMPLETE \xff\r\n",
          "ROW %s%n%d %\r\nCOMPLETE %s\r\n",
          "ROW READY I -\r\nROW COMPLETE -\r\nCOMPLETE READY\r\n",
          "ERROR FAILED some text \r\n",
          "ERROR FAILED\r\n",
          "ERROR FAILED \r\n",
          "ERROR\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    expect_passed_on (responses[i], strlen (responses[i]));
}

/* Guards against a byte that is taken for the end of a text or of a line. */
static void
rows_may_have_any_byte (void)
{
  for (uint32_t byte = 1; byte < 256; byte++)
    {
      char response[] = "ROW x.x .\r\nCOMPLETE -\r\n";

      if (byte == '\n')
        continue;
      response[5] = (char) byte;
      response[8] = (char) byte;
      expect_passed_on (response, strlen (response));
    }
}

static char *
row_of (uint32_t bytes)
{
  char *text = g_strnfill (bytes - strlen ("ROW \r\n"), 'x');
  char *row = g_strconcat ("ROW ", text, "\r\n", NULL);

  g_free (text);
  return row;
}

/* Guards against a refusal or a cut of the longest row. */
static void
row_of_1_mib_is_passed_on (void)
{
  char *row = row_of (MIB);
  char *response = g_strconcat (row, "COMPLETE -\r\n", NULL);

  expect_passed_on (response, strlen (response));
  g_free (row);
  g_free (response);
}

/* Guards against a wrong verdict: only these codes mean that the server did not
 * run the statement.
 */
static void
error_codes_are_told_apart (void)
{
  static const struct
  {
    const char *response;
    SsTargetFault fault;
  } cases[] = { { "ERROR BUSY x\r\n", SS_TARGET_FAULT_BUSY },
                { "ERROR LAGGING x\r\n", SS_TARGET_FAULT_BEHIND },
                { "ERROR READONLY i-1\r\n", SS_TARGET_FAULT_NOT_PRIMARY },
                { "ERROR UNKNOWN\r\n", SS_TARGET_FAULT_UNPREPARED },
                { "ERROR FAILED BUSY\r\n", SS_TARGET_FAULT_STATEMENT },
                { "ERROR busy x\r\n", SS_TARGET_FAULT_STATEMENT },
                { "ERROR\r\n", SS_TARGET_FAULT_STATEMENT } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      TargetHarness h;

      open_and_query (&h, "READ 1a");
      target_harness_send_text (&h, cases[i].response);
      target_harness_send_text (&h, "READY E 3.2\r\n");
      CU_ASSERT (target_harness_wait (&h, &h.results, 1));
      CU_ASSERT (!h.result.ok);
      CU_ASSERT (h.result.fault == cases[i].fault);
      CU_ASSERT (h.result.transaction_status == 'E');
      target_harness_finish (&h);
    }
}

/* Guards against a fault of one response that is reported with the next. */
static void
error_ends_with_its_response (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  target_harness_send_text (&h, "ERROR BUSY x\r\nREADY T 3.2\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  CU_ASSERT (h.result.transaction_status == 'T');
  target_harness_query (&h, "a2", "READ 1a");
  target_harness_send_text (&h, "COMPLETE -\r\nREADY I -\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.results, 2));
  CU_ASSERT (h.result.ok);
  CU_ASSERT (h.result.fault == SS_TARGET_FAULT_NONE);
  CU_ASSERT (h.result.applied.offset == 0);
  expect_wire_text (&h, "COMPLETE -\r\n");
  target_harness_finish (&h);
}

/* --- invalid responses --- */

static void
expect_refused_response (const char *response, size_t bytes)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  target_harness_send (&h, response, bytes);
  expect_closed_without_result (&h);
  CU_ASSERT (h.ended == 1);
  CU_ASSERT (!h.refused);
  CU_ASSERT (target_harness_has_logged (&h, "TARGET_INVALID"));
  target_harness_finish (&h);
}

static void
expect_refused_responses (const char *const *responses, size_t count)
{
  for (size_t i = 0; i < count; i++)
    expect_refused_response (responses[i], strlen (responses[i]));
}

/* Guards against MIXED: a message that answers no statement became part of a
 * result.
 */
static void
unexpected_message_is_no_result (void)
{
  static const char *const responses[]
      = { "CONNECT a\r\n", "QUERY a b\r\n",
          "CLOSE\r\n",     "\r\n",
          "ROWS a\r\n",    "row a\r\n",
          "ROW\ta\r\n",    "ROW a\r\nNOTE b\r\nCOMPLETE -\r\nREADY I -\r\n" };

  expect_refused_responses (responses, G_N_ELEMENTS (responses));
  expect_refused_response ("ROW a\0b\r\n", 9);
  expect_refused_response ("ROW\0a\r\n", 7);
}

/* Guards against a cut response that is returned as a whole one. */
static void
ready_before_complete_is_no_result (void)
{
  static const char *const responses[]
      = { "READY I 3.1\r\n", "ROW a\r\nREADY I 3.1\r\n", "READY T -\r\n" };

  expect_refused_responses (responses, G_N_ELEMENTS (responses));
}

/* Guards against a transaction of one session that another one gets: a READY
 * without a state counted as one outside a transaction.
 */
static void
ready_without_a_valid_state_is_no_result (void)
{
  static const char *const responses[]
      = { "COMPLETE -\r\nREADY\r\n",        "COMPLETE -\r\nREADY \r\n",
          "COMPLETE -\r\nREADY X 3.1\r\n",  "COMPLETE -\r\nREADY i 3.1\r\n",
          "COMPLETE -\r\nREADY II 3.1\r\n", "COMPLETE -\r\nREADY I3.1\r\n",
          "COMPLETE -\r\nREADY 3.1 I\r\n",  "COMPLETE -\r\nREADY - 3.1\r\n",
          "COMPLETE -\r\nREADY \t 3.1\r\n", "ERROR FAILED\r\nREADY\r\n" };

  expect_refused_responses (responses, G_N_ELEMENTS (responses));
}

/* Guards against MIXED: after COMPLETE or ERROR, only READY is left of a
 * response.
 */
static void
message_after_complete_is_no_result (void)
{
  static const char *const responses[]
      = { "COMPLETE -\r\nROW a\r\nREADY I -\r\n",
          "COMPLETE -\r\nCOMPLETE -\r\nREADY I -\r\n",
          "COMPLETE -\r\nERROR BUSY\r\nREADY I -\r\n",
          "ERROR BUSY\r\nCOMPLETE -\r\nREADY I -\r\n" };

  expect_refused_responses (responses, G_N_ELEMENTS (responses));
}

/* Guards against MIXED: a line feed in a text ended the message. */
static void
line_feed_alone_is_no_result (void)
{
  static const char *const responses[]
      = { "ROW a\nCOMPLETE -\r\nREADY I -\r\n", "\n", "COMPLETE -\n",
          "ROW a\r \nCOMPLETE -\r\n", "COMPLETE -\r\nREADY I -\n" };

  expect_refused_responses (responses, G_N_ELEMENTS (responses));
}

/* Guards against input that grows without limit, and a line that readers after
 * this one refuse.
 */
static void
line_over_1_mib_is_no_result (void)
{
  char *row = row_of (MIB + 1);
  char *endless = g_strnfill (2 * MIB, 'x');

  expect_refused_response (row, strlen (row));
  expect_refused_response (endless, strlen (endless));
  g_free (row);
  g_free (endless);
}

/* Guards against a cut response that is returned as a whole one. */
static void
end_within_a_response_is_no_result (void)
{
  for (size_t i = 0; i < strlen (RESPONSE); i++)
    {
      TargetHarness h;

      open_and_query (&h, "READ 1a");
      CU_ASSERT (target_harness_wait (&h, &h.received->len, 1));
      target_harness_send (&h, RESPONSE, i);
      target_harness_hang_up (&h);
      CU_ASSERT (target_harness_wait (&h, &h.closed, 1));
      target_harness_turn (&h);
      CU_ASSERT (h.closed == 1);
      CU_ASSERT (h.results == 0);
      CU_ASSERT (!h.refused);
      target_harness_finish (&h);
    }
}

/* Guards against the loss of a result that arrived before the end. */
static void
response_before_the_end_is_a_result (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  CU_ASSERT (target_harness_wait (&h, &h.received->len, 1));
  target_harness_send_text (&h, RESPONSE);
  target_harness_hang_up (&h);
  CU_ASSERT (target_harness_wait (&h, &h.closed, 1));
  CU_ASSERT (h.results == 1);
  expect_wire_text (&h, RESPONSE_WIRE);
  target_harness_finish (&h);
}

/* --- messages when none is due --- */

/* Guards against MIXED: what a server sends unasked, whole or in part, became
 * the response to the next statement.
 */
static void
message_when_none_is_due_is_no_result (void)
{
  static const char *const messages[] = { "ROW a\r\n",
                                          "COMPLETE -\r\nREADY I -\r\n",
                                          "READY I -\r\n",
                                          "ERROR BUSY\r\n",
                                          "\n",
                                          "ROW a",
                                          "R" };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      TargetHarness h;

      target_harness_init (&h);
      target_harness_open (&h);
      target_harness_send_text (&h, messages[i]);
      expect_closed_without_result (&h);
      CU_ASSERT (h.ended == 1);
      target_harness_finish (&h);
    }
}

static void
query_on_result (TargetHarness *h, const SsEvent *event)
{
  if (event->kind == SS_EVENT_TARGET_RESULT)
    target_harness_query (h, "a2", "READ 1a");
}

/* Guards against MIXED: what follows a response at once became the response to
 * the statement that the core sent meanwhile.
 */
static void
message_after_ready_is_no_result_of_the_next (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  h.on_event = query_on_result;
  target_harness_send_text (&h,
                            RESPONSE "ROW late\r\nCOMPLETE -\r\nREADY I -\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.closed, 1));
  target_harness_settle (&h);
  CU_ASSERT (h.results == 1);
  CU_ASSERT (h.closed == 1);
  expect_wire_text (&h, RESPONSE_WIRE);
  target_harness_finish (&h);
}

/* Guards against a connection that is lost as its next statement is sent within
 * the event of a result.
 */
static void
statement_within_a_result_is_answered (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  h.on_event = query_on_result;
  target_harness_send_text (&h, RESPONSE);
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  h.on_event = NULL;
  target_harness_send_text (&h, "ROW b\r\nCOMPLETE -\r\nREADY T 3.1210\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.results, 2));
  CU_ASSERT (h.closed == 0);
  expect_wire_text (&h, "ROW b\r\nCOMPLETE -\r\n");
  expect_received_text (&h, "QUERY a1 READ 1a\r\nQUERY a2 READ 1a\r\n");
  CU_ASSERT_STRING_EQUAL (h.row, "b|3.1210|");
  target_harness_finish (&h);
}

/* --- the answer to CONNECT --- */

static void
expect_refused_greeting (TargetHarness *h, const char *answer)
{
  target_harness_init (h);
  target_harness_connect (h, "shop", "acme", "i-1");
  CU_ASSERT (target_harness_wait (h, &h->received->len, 1));
  target_harness_send_text (h, answer);
  expect_closed_without_result (h);
  CU_ASSERT (h->ready == 0);
  CU_ASSERT (h->ended == 1);
  CU_ASSERT (!h->refused);
}

/* Guards against MISROUTED: a connection to another server was used. */
static void
refusals_of_connect_are_told_apart (void)
{
  TargetHarness h;

  expect_refused_greeting (&h, "ERROR MISROUTED i-2\r\n");
  CU_ASSERT (h.is_wrong_server);
  CU_ASSERT_PTR_NULL (h.sqlstate);
  target_harness_finish (&h);
  expect_refused_greeting (&h, "ERROR CONNLIMIT 20\r\n");
  CU_ASSERT (!h.is_wrong_server);
  CU_ASSERT (g_strcmp0 (h.sqlstate, "53300") == 0);
  target_harness_finish (&h);
  expect_refused_greeting (&h, "ERROR\r\n");
  CU_ASSERT (!h.is_wrong_server);
  CU_ASSERT_PTR_NULL (h.sqlstate);
  target_harness_finish (&h);
}

/* Guards against the use of a server that does not speak the protocol. */
static void
other_answer_to_connect_is_refused (void)
{
  static const char *const answers[]
      = { "ROW a\r\n",   "COMPLETE -\r\nREADY I -\r\n", "\r\n", "READY I -\n",
          "ready I\r\n", "HTTP/1.1 400 Bad Request\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      TargetHarness h;

      expect_refused_greeting (&h, answers[i]);
      target_harness_finish (&h);
    }
}

/* Guards against a transaction of another session on a new connection. */
static void
connect_without_a_valid_state_is_refused (void)
{
  static const char *const answers[]
      = { "READY\r\n", "READY X 3.1\r\n", "READY II -\r\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      TargetHarness h;

      expect_refused_greeting (&h, answers[i]);
      target_harness_finish (&h);
    }
}

/* --- responses that never end --- */

/* Guards against the loss of all connections between two VMs, and against
 * memory without limit: a response had no limit, and the VM of the caller
 * closes the connection on a message over 24 MiB.
 */
static void
response_over_8_mib_is_no_result (void)
{
  char *row = row_of (MIB);
  uint32_t sent = 0;
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  while (sent < 3 * RESPONSE_MAX_BYTES && target_harness_send_text (&h, row))
    {
      sent += MIB;
      target_harness_turn (&h);
    }
  CU_ASSERT (sent < 2 * RESPONSE_MAX_BYTES);
  expect_closed_without_result (&h);
  CU_ASSERT (!h.refused);
  CU_ASSERT (target_harness_has_logged (&h, "8 MiB"));
  target_harness_finish (&h);
  g_free (row);
}

/* Guards against the same with rows that are short. */
static void
response_of_many_short_rows_is_no_result (void)
{
  char *row = row_of (1024);
  GString *rows = g_string_new (NULL);
  TargetHarness h;

  for (uint32_t i = 0; i < RESPONSE_MAX_BYTES / 1024; i++)
    g_string_append (rows, row);
  open_and_query (&h, "READ 1a");
  target_harness_send (&h, rows->str, rows->len);
  target_harness_send_text (&h, "COMPLETE -\r\nREADY I -\r\n");
  expect_closed_without_result (&h);
  target_harness_finish (&h);
  g_string_free (rows, TRUE);
  g_free (row);
}

/* Guards against a lower limit than the stated one. */
static void
response_of_8_mib_is_a_result (void)
{
  static const char end[] = "COMPLETE -\r\n";
  char *row = row_of (1024);
  char *last = row_of (1024 - (uint32_t) strlen (end));
  GString *rows = g_string_new (NULL);

  for (uint32_t i = 1; i < RESPONSE_MAX_BYTES / 1024; i++)
    g_string_append (rows, row);
  g_string_append (rows, last);
  g_string_append (rows, end);
  CU_ASSERT (rows->len == RESPONSE_MAX_BYTES);
  expect_passed_on (rows->str, rows->len);
  g_string_free (rows, TRUE);
  g_free (row);
  g_free (last);
}

/* --- connections that are closed at any time --- */

static void
close_on_event (TargetHarness *h, const SsEvent *event)
{
  (void) event;
  target_harness_close (h);
}

/* Guards against a use after free: the core closes the connection while it
 * handles a result, with more input left.
 */
static void
close_within_a_result_is_the_last_event (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  h.on_event = close_on_event;
  target_harness_send_text (&h, RESPONSE RESPONSE);
  CU_ASSERT (target_harness_wait (&h, &h.results, 1));
  CU_ASSERT (target_harness_wait (&h, &h.ended, 1));
  target_harness_settle (&h);
  CU_ASSERT (h.results == 1);
  CU_ASSERT (h.closed == 0);
  expect_wire_text (&h, RESPONSE_WIRE);
  target_harness_finish (&h);
}

/* Guards against the same while the core handles the end of a connection. */
static void
close_within_a_close_does_nothing (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  h.on_event = close_on_event;
  target_harness_send_text (&h, "ROW a\r\nREADY I -\r\n");
  expect_closed_without_result (&h);
  target_harness_finish (&h);
}

/* Guards against the same as soon as the connection is ready. */
static void
close_within_ready_is_the_last_event (void)
{
  TargetHarness h;

  target_harness_init (&h);
  h.on_event = close_on_event;
  target_harness_open (&h);
  CU_ASSERT (target_harness_wait (&h, &h.ended, 1));
  target_harness_settle (&h);
  CU_ASSERT (h.ready == 1);
  CU_ASSERT (h.closed == 0);
  target_harness_finish (&h);
}

static void
reconnect_on_close (TargetHarness *h, const SsEvent *event)
{
  if (event->kind != SS_EVENT_TARGET_CLOSED || h->closed > 1)
    return;
  target_harness_connect (h, "shop", "acme", "i-1");
}

/* Guards against a new connection that ends with the old one. */
static void
connection_within_a_close_is_opened (void)
{
  TargetHarness h;

  open_and_query (&h, "READ 1a");
  h.on_event = reconnect_on_close;
  g_byte_array_set_size (h.received, 0);
  target_harness_send_text (&h, "\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.accepted, 2));
  CU_ASSERT (target_harness_wait (&h, &h.received->len,
                                  strlen (TARGET_HARNESS_CONNECT)));
  target_harness_send_text (&h, "READY I 3.1\r\n");
  CU_ASSERT (target_harness_wait (&h, &h.ready, 2));
  CU_ASSERT (h.closed == 1);
  target_harness_finish (&h);
}

/* Guards against an event for a connection that the core has closed. */
static void
close_while_connecting_is_the_last_event (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_connect (&h, "shop", "acme", "i-1");
  target_harness_close (&h);
  target_harness_settle (&h);
  CU_ASSERT (h.closed == 0);
  CU_ASSERT (h.ready == 0);
  CU_ASSERT (h.received->len == 0);
  target_harness_finish (&h);
}

/* Guards against the same with a message that is not sent yet. */
static void
close_with_output_left_is_the_last_event (void)
{
  char *text = g_strnfill (MIB - strlen ("QUERY a1 \r\n"), 'x');
  TargetHarness h;

  open_and_query (&h, text);
  target_harness_close (&h);
  target_harness_settle (&h);
  CU_ASSERT (h.closed == 0);
  CU_ASSERT (h.results == 0);
  target_harness_finish (&h);
  g_free (text);
}

/* Guards against a failure that is reported twice or not as what it is. */
static void
refused_connection_is_reported (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_refuse_connections (&h);
  target_harness_connect (&h, "shop", "acme", "i-1");
  CU_ASSERT (h.closed == 0);
  expect_closed_without_result (&h);
  CU_ASSERT (h.refused);
  CU_ASSERT (h.ready == 0);
  target_harness_finish (&h);
}

/* Guards against a lost end: a server that closes an idle connection. */
static void
end_of_an_idle_connection_is_reported (void)
{
  TargetHarness h;

  target_harness_init (&h);
  target_harness_open (&h);
  target_harness_hang_up (&h);
  expect_closed_without_result (&h);
  CU_ASSERT (!h.refused);
  target_harness_finish (&h);
}

CU_TestInfo test_targets[] = {
  { "service that is no word is not sent",
    service_that_is_no_word_is_not_sent },
  { "organisation that is no word is not sent",
    organisation_that_is_no_word_is_not_sent },
  { "server id that is no word is not sent",
    server_id_that_is_no_word_is_not_sent },
  { "name that is no word is no refused connection",
    name_that_is_no_word_is_no_refused_connection },
  { "close before a reported failure is the last event",
    close_before_a_reported_failure_is_the_last_event },
  { "connect names service organisation and server",
    connect_names_service_organisation_and_server },
  { "connect of no organisation names the proxy",
    connect_of_no_organisation_names_the_proxy },
  { "statement with line feed is not sent",
    statement_with_line_feed_is_not_sent },
  { "id that is no field is not sent", id_that_is_no_field_is_not_sent },
  { "message over 1 mib is not sent", message_over_1_mib_is_not_sent },
  { "refused statement has no answer", refused_statement_has_no_answer },
  { "texts arrive unchanged", texts_arrive_unchanged },
  { "ids arrive unchanged", ids_arrive_unchanged },
  { "message of 1 mib arrives", message_of_1_mib_arrives },
  { "response may be split anywhere", response_may_be_split_anywhere },
  { "response may come byte by byte", response_may_come_byte_by_byte },
  { "responses are passed on unchanged", responses_are_passed_on_unchanged },
  { "rows may have any byte", rows_may_have_any_byte },
  { "row of 1 mib is passed on", row_of_1_mib_is_passed_on },
  { "error codes are told apart", error_codes_are_told_apart },
  { "error ends with its response", error_ends_with_its_response },
  { "unexpected message is no result", unexpected_message_is_no_result },
  { "ready before complete is no result", ready_before_complete_is_no_result },
  { "ready without a valid state is no result",
    ready_without_a_valid_state_is_no_result },
  { "message after complete is no result",
    message_after_complete_is_no_result },
  { "line feed alone is no result", line_feed_alone_is_no_result },
  { "line over 1 mib is no result", line_over_1_mib_is_no_result },
  { "end within a response is no result", end_within_a_response_is_no_result },
  { "response before the end is a result",
    response_before_the_end_is_a_result },
  { "message when none is due is no result",
    message_when_none_is_due_is_no_result },
  { "message after ready is no result of the next",
    message_after_ready_is_no_result_of_the_next },
  { "statement within a result is answered",
    statement_within_a_result_is_answered },
  { "refusals of connect are told apart", refusals_of_connect_are_told_apart },
  { "other answer to connect is refused", other_answer_to_connect_is_refused },
  { "connect without a valid state is refused",
    connect_without_a_valid_state_is_refused },
  { "response over 8 mib is no result", response_over_8_mib_is_no_result },
  { "response of many short rows is no result",
    response_of_many_short_rows_is_no_result },
  { "response of 8 mib is a result", response_of_8_mib_is_a_result },
  { "close within a result is the last event",
    close_within_a_result_is_the_last_event },
  { "close within a close does nothing", close_within_a_close_does_nothing },
  { "close within ready is the last event",
    close_within_ready_is_the_last_event },
  { "connection within a close is opened",
    connection_within_a_close_is_opened },
  { "close while connecting is the last event",
    close_while_connecting_is_the_last_event },
  { "close with output left is the last event",
    close_with_output_left_is_the_last_event },
  { "refused connection is reported", refused_connection_is_reported },
  { "end of an idle connection is reported",
    end_of_an_idle_connection_is_reported },
  CU_TEST_INFO_NULL,
};
