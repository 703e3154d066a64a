/* Sessions of one core, event by event. */
#include <string.h>

#include "core/internal.h"
#include "tests/unit.h"

#define NOW_MS 100000

static SsNode node;

static void
put_object (const char *key, const char *json)
{
  SsObject o = { key, 1, json, (uint32_t) strlen (json), false };
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };

  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.revision = 1;
  e.platform_objects.objects = &o;
  e.platform_objects.object_count = 1;
  ss_node_on_event (&node, &e, NOW_MS);
}

static void
begin (void)
{
  SsNodeParams params = { .vm = "a",
                          .failure_domain = "d",
                          .ip = "10.0.0.1",
                          .peer_port = 1,
                          .seeds = "",
                          .seed = 7,
                          .deadline_ms = 1000,
                          .transaction_idle_ms = 1000,
                          .stop_bound_ms = 1000 };

  ss_node_init (&node, &params, NOW_MS);
  put_object ("service/s", "{\"group\":\"g\",\"kinds\":{\"lookup\":"
                           "{\"staleness_ms\":1000}}}");
  node.ready = true;
}

/* The last reply to the caller; the others are dropped. */
static bool
last_reply (SsAction *reply)
{
  SsAction a;
  bool found = false;

  memset (reply, 0, sizeof *reply);
  while (ss_node_take_action (&node, &a))
    {
      if (a.kind != SS_ACTION_CALLER_REPLY)
        {
          ss_action_clear (&a);
          continue;
        }
      ss_action_clear (reply);
      *reply = a;
      found = true;
    }
  return found;
}

static void
open_session (const char *service, const char *const *settings, SsAction *reply)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };

  e.caller_open.caller = 1;
  e.caller_open.service = service;
  e.caller_open.settings = settings;
  ss_node_on_event (&node, &e, NOW_MS);
  CU_ASSERT (last_reply (reply));
}

static void
say (const char *sql, SsAction *reply)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  e.caller_statement.caller = 1;
  e.caller_statement.sql = sql;
  ss_node_on_event (&node, &e, NOW_MS);
  CU_ASSERT (last_reply (reply));
}

static void
expect_reply (const char *sql, SsVerdict verdict, SsReason reason,
              const char *text)
{
  SsAction reply;

  say (sql, &reply);
  CU_ASSERT (reply.verdict == verdict);
  CU_ASSERT (reply.reason == reason);
  if (text)
    CU_ASSERT (g_strcmp0 (reply.text, text) == 0);
  ss_action_clear (&reply);
}

static void
knows_its_settings (void)
{
  SsAction reply;

  begin ();
  open_session ("s", NULL, &reply);
  CU_ASSERT (reply.verdict == SS_VERDICT_RAN);
  ss_action_clear (&reply);
  expect_reply ("SET sapphirestair.token = '3/14'", SS_VERDICT_RAN,
                SS_REASON_NONE, "SET");
  expect_reply ("show sapphirestair.token", SS_VERDICT_RAN, SS_REASON_NONE,
                "3/14");
  expect_reply ("SET sapphirestair.kind TO lookup", SS_VERDICT_RAN,
                SS_REASON_NONE, "SET");
  expect_reply ("SET sapphirestair.kind = 'nothing'", SS_VERDICT_NOT_RUN,
                SS_REASON_BAD_SETTING, NULL);
  expect_reply ("SHOW sapphirestair.kind", SS_VERDICT_RAN, SS_REASON_NONE,
                "lookup");
  expect_reply ("RESET sapphirestair.kind", SS_VERDICT_RAN, SS_REASON_NONE,
                "RESET");
  expect_reply ("SET sapphirestair.request_id = 'a''b'", SS_VERDICT_NOT_RUN,
                SS_REASON_BAD_SETTING, NULL);
  expect_reply ("SET sapphirestair.deadline_ms = 0", SS_VERDICT_NOT_RUN,
                SS_REASON_BAD_SETTING, NULL);
  expect_reply ("SET sapphirestair.colour = 1", SS_VERDICT_NOT_RUN,
                SS_REASON_BAD_SETTING, NULL);
  expect_reply (" ; ", SS_VERDICT_RAN, SS_REASON_NONE, "");
  ss_node_finish (&node);
}

static void
refuses_what_it_can_not_serve_at_once (void)
{
  SsAction reply;
  const char *settings[] = { "token", "x", NULL };

  begin ();
  open_session ("none", NULL, &reply);
  CU_ASSERT (reply.reason == SS_REASON_NO_SERVICE);
  ss_action_clear (&reply);
  open_session ("s", settings, &reply);
  CU_ASSERT (reply.reason == SS_REASON_BAD_SETTING);
  ss_action_clear (&reply);
  open_session ("s", NULL, &reply);
  ss_action_clear (&reply);
  put_object ("group/g", "{\"term\":1,\"primary\":\"t\"}");
  expect_reply ("INSERT INTO x VALUES (1)", SS_VERDICT_NOT_RUN,
                SS_REASON_NO_PRIMARY, NULL);
  ss_node_finish (&node);
}

/* Found by seed 189: a refused write left its id to the next statement. */
static void
a_refused_statement_takes_its_id_along (void)
{
  SsAction reply;
  const SsSession *s;
  uint64_t id = 1;

  begin ();
  open_session ("s", NULL, &reply);
  ss_action_clear (&reply);
  put_object ("group/g", "{\"term\":1,\"primary\":\"t\"}");
  expect_reply ("SET sapphirestair.request_id = 'k1'", SS_VERDICT_RAN,
                SS_REASON_NONE, "SET");
  s = g_hash_table_lookup (node.sessions, &id);
  CU_ASSERT_STRING_EQUAL (s->request_key, "k1");
  expect_reply ("INSERT INTO x VALUES (1)", SS_VERDICT_NOT_RUN,
                SS_REASON_NO_PRIMARY, NULL);
  CU_ASSERT_PTR_NULL (s->request_key);
  ss_node_finish (&node);
}

/* A session in a transaction whose owner is lost. */
static const SsSession *
begin_lost_transaction (void)
{
  SsAction reply;
  SsSession *s;
  uint64_t id = 1;
  SsEvent lost = { .kind = SS_EVENT_PEER_LOST };

  begin ();
  open_session ("s", NULL, &reply);
  ss_action_clear (&reply);
  s = g_hash_table_lookup (node.sessions, &id);
  s->status = 'T';
  s->pinned_vm = g_strdup ("b");
  s->pinned_target = g_strdup ("t");
  lost.peer_lost.vm = "b";
  ss_node_on_event (&node, &lost, NOW_MS);
  return s;
}

static void
a_lost_transaction_takes_no_more_statements (void)
{
  const SsSession *s = begin_lost_transaction ();

  expect_reply ("INSERT INTO x VALUES (1)", SS_VERDICT_NOT_RUN,
                SS_REASON_TRANSACTION_LOST, NULL);
  expect_reply ("COMMIT", SS_VERDICT_RAN, SS_REASON_NONE, "ROLLBACK");
  CU_ASSERT (s->status == 'I');
  ss_node_finish (&node);
}

/* Found by seed 327: the transaction was lost while its caller knew nothing,
 * and its COMMIT was answered without an error.
 */
static void
a_commit_tells_of_a_loss_untold (void)
{
  const SsSession *s = begin_lost_transaction ();

  expect_reply ("COMMIT", SS_VERDICT_NOT_RUN, SS_REASON_TRANSACTION_LOST, NULL);
  CU_ASSERT (s->status == 'I');
  ss_node_finish (&node);
}

static void
pass (int64_t now_ms)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };

  ss_node_on_event (&node, &tick, now_ms);
}

/* Found by the protocol scenario under a sanitizer: a vm that knew the state
 * of one server, but not yet the primary's, refused every write.
 */
static void
a_write_waits_for_the_first_report_of_the_primary (void)
{
  static const char target[]
      = "{\"group\":\"g\",\"ip\":\"10.0.0.9\",\"port\":1,"
        "\"failure_domain\":\"e\",\"max_connections\":20}";
  SsEvent insert = { .kind = SS_EVENT_CALLER_STATEMENT };
  SsAction reply;

  begin ();
  put_object ("target/t", target);
  put_object ("target/u", target);
  put_object ("group/g", "{\"term\":1,\"primary\":\"t\"}");
  ss_config_target (&node.config, "u")->state_ms = NOW_MS;
  open_session ("s", NULL, &reply);
  ss_action_clear (&reply);
  insert.caller_statement.caller = 1;
  insert.caller_statement.sql = "INSERT INTO x VALUES (1)";
  ss_node_on_event (&node, &insert, NOW_MS);
  CU_ASSERT (!last_reply (&reply));
  pass (NOW_MS + 400);
  CU_ASSERT (!last_reply (&reply));
  pass (NOW_MS + 600);
  CU_ASSERT (last_reply (&reply));
  CU_ASSERT (reply.verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (reply.reason == SS_REASON_NO_PRIMARY);
  ss_action_clear (&reply);
  ss_node_finish (&node);
}

CU_TestInfo test_session[] = {
  { "knows its settings", knows_its_settings },
  { "refuses what it can not serve at once",
    refuses_what_it_can_not_serve_at_once },
  { "a refused statement takes its id along",
    a_refused_statement_takes_its_id_along },
  { "a lost transaction takes no more statements",
    a_lost_transaction_takes_no_more_statements },
  { "a write waits for the first report of the primary",
    a_write_waits_for_the_first_report_of_the_primary },
  { "a commit tells of a loss untold", a_commit_tells_of_a_loss_untold },
  CU_TEST_INFO_NULL,
};
