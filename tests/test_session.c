/* Sessions of a single core that is driven event by event. */
#include <string.h>

#include "core/internal.h"
#include "tests/unit.h"

#define NOW_MS 100000

static SsNode node;

static void
put_object (const char *key, const char *json)
{
  SsObject o = { key, 1, json, (uint32_t) strlen (json), false, 0, false };
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };

  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.revision = 1;
  e.platform_objects.objects = &o;
  e.platform_objects.object_count = 1;
  ss_node_on_event (&node, &e, NOW_MS);
}

static void
set_up (void)
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

/* Takes all pending actions.  Returns the last reply to the caller in *REPLY
 * and drops the others.
 */
static bool
take_last_reply (SsAction *reply)
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
  CU_ASSERT (take_last_reply (reply));
}

static void
run_statement (const char *sql, SsAction *reply)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  e.caller_statement.caller = 1;
  e.caller_statement.sql = sql;
  ss_node_on_event (&node, &e, NOW_MS);
  CU_ASSERT (take_last_reply (reply));
}

static void
expect_reply (const char *sql, SsVerdict verdict, SsReason reason,
              const char *text)
{
  SsAction reply;

  run_statement (sql, &reply);
  CU_ASSERT (reply.verdict == verdict);
  CU_ASSERT (reply.reason == reason);
  if (text)
    CU_ASSERT (g_strcmp0 (reply.text, text) == 0);
  ss_action_clear (&reply);
}

static void
proxy_settings_are_set_and_shown (void)
{
  SsAction reply;

  set_up ();
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
unservable_requests_are_refused_at_once (void)
{
  SsAction reply;
  const char *settings[] = { "token", "x", NULL };

  set_up ();
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

/* Guards against a refused write whose idempotency key stays set and so applies
 * to the next statement.  Found by seed 189 of ss-property.
 */
static void
refused_statement_clears_its_idempotency_key (void)
{
  SsAction reply;
  const SsSession *s;
  uint64_t id = 1;

  set_up ();
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

/* Opens a session with a transaction whose owner is lost. */
static const SsSession *
begin_lost_transaction (void)
{
  SsAction reply;
  SsSession *s;
  uint64_t id = 1;
  SsEvent lost = { .kind = SS_EVENT_PEER_LOST };

  set_up ();
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
lost_transaction_refuses_statements (void)
{
  const SsSession *s = begin_lost_transaction ();

  expect_reply ("INSERT INTO x VALUES (1)", SS_VERDICT_NOT_RUN,
                SS_REASON_TRANSACTION_LOST, NULL);
  expect_reply ("COMMIT", SS_VERDICT_RAN, SS_REASON_NONE, "ROLLBACK");
  CU_ASSERT (s->status == 'I');
  ss_node_finish (&node);
}

/* Guards against a COMMIT that succeeds although the transaction is lost.  The
 * caller had sent no statement since the loss and had seen no error.  Found by
 * seed 327 of ss-property.
 */
static void
commit_reports_an_unreported_loss (void)
{
  const SsSession *s = begin_lost_transaction ();

  expect_reply ("COMMIT", SS_VERDICT_NOT_RUN, SS_REASON_TRANSACTION_LOST, NULL);
  CU_ASSERT (s->status == 'I');
  ss_node_finish (&node);
}

static void
send_tick (int64_t now_ms)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };

  ss_node_on_event (&node, &tick, now_ms);
}

/* Guards against a VM that refuses every write while it knows the state of one
 * server, but not yet the primary's.  Found by the protocol scenario under a
 * sanitizer.
 */
static void
write_waits_for_first_status_of_primary (void)
{
  static const char target[]
      = "{\"group\":\"g\",\"ip\":\"10.0.0.9\",\"port\":1,"
        "\"failure_domain\":\"e\",\"max_connections\":20}";
  SsEvent insert = { .kind = SS_EVENT_CALLER_STATEMENT };
  SsAction reply;

  set_up ();
  put_object ("target/t", target);
  put_object ("target/u", target);
  put_object ("group/g", "{\"term\":1,\"primary\":\"t\"}");
  ss_config_target (&node.config, "u")->state_ms = NOW_MS;
  open_session ("s", NULL, &reply);
  ss_action_clear (&reply);
  insert.caller_statement.caller = 1;
  insert.caller_statement.sql = "INSERT INTO x VALUES (1)";
  ss_node_on_event (&node, &insert, NOW_MS);
  CU_ASSERT (!take_last_reply (&reply));
  send_tick (NOW_MS + 400);
  CU_ASSERT (!take_last_reply (&reply));
  send_tick (NOW_MS + 600);
  CU_ASSERT (take_last_reply (&reply));
  CU_ASSERT (reply.verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (reply.reason == SS_REASON_NO_PRIMARY);
  ss_action_clear (&reply);
  ss_node_finish (&node);
}

CU_TestInfo test_session[] = {
  { "proxy settings are set and shown", proxy_settings_are_set_and_shown },
  { "unservable requests are refused at once",
    unservable_requests_are_refused_at_once },
  { "refused statement clears its idempotency key",
    refused_statement_clears_its_idempotency_key },
  { "lost transaction refuses statements",
    lost_transaction_refuses_statements },
  { "write waits for first status of primary",
    write_waits_for_first_status_of_primary },
  { "commit reports an unreported loss", commit_reports_an_unreported_loss },
  CU_TEST_INFO_NULL,
};
