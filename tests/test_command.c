/* Operator commands: parsing, and commands that change platform objects. */
#include <string.h>

#include "core/command.h"
#include "core/internal.h"
#include "tests/unit.h"

#define NOW_MS 100000
#define SERVICE_JSON "{\"group\":\"g\",\"weight\":1}"

static SsNode node;

static void
expect_error (const char *text, const char *message)
{
  SsCommand c;
  char *error = ss_command_init (&c, text);

  CU_ASSERT (g_strcmp0 (error, message) == 0);
  if (g_strcmp0 (error, message) != 0)
    g_printerr ("%s: got %s\n", text, error ? error : "no error");
  g_free (error);
  ss_command_finish (&c);
}

static void
syntax_errors_name_column_and_expected_word (void)
{
  expect_error ("show vms", NULL);
  expect_error ("SHOW Targets WHERE lag_entries >= 5 and role = 'primary' "
                "order by name desc;",
                NULL);
  expect_error ("promote group claims-db to claims-db-2", NULL);
  expect_error ("promote group claims-db to claims-db-2 if term 3", NULL);
  expect_error ("promote group claims-db if term 0",
                "column 33: expected a term, from 1");
  expect_error ("set service claims kind.report.staleness_ms = 30000", NULL);
  expect_error ("", "column 1: expected show, drain, undrain, stop, promote, "
                    "set, add, remove or help");
  expect_error ("show tables",
                "column 6: expected services, targets, groups, vms, "
                "sessions, organisations, config or counters");
  expect_error ("show vms where", "column 15: expected a field");
  expect_error ("show vms where vm ~ 3",
                "column 19: expected one of = != < <= > >=");
  expect_error ("drain vm x", "column 7: expected target");
  expect_error ("stop vm a b", "column 11: expected the end of the command");
  expect_error ("set service claims weight 3", "column 27: expected =");
}

static void
show_filters_and_sorts (void)
{
  json_t *rows = json_loads ("[{\"name\":\"a\",\"n\":3,\"up\":true},"
                             "{\"name\":\"b\",\"n\":1,\"up\":true},"
                             "{\"name\":\"c\",\"n\":2,\"up\":false}]",
                             0, NULL);
  SsCommand c;
  char *error;

  CU_ASSERT_PTR_NULL (
      ss_command_init (&c, "show vms where n >= 1 and up = true order by n"));
  CU_ASSERT_PTR_NULL (ss_command_select (&c, rows));
  CU_ASSERT (json_array_size (rows) == 2);
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (json_array_get (rows, 0), "name")),
      "b");
  ss_command_finish (&c);
  CU_ASSERT_PTR_NULL (ss_command_init (&c, "show vms where colour = 1"));
  error = ss_command_select (&c, rows);
  CU_ASSERT_STRING_EQUAL (error, "no field colour; the fields are name n up");
  g_free (error);
  ss_command_finish (&c);
  json_decref (rows);
}

/* --- commands that change platform objects --- */

static void
put_object (const char *key, int64_t version, const char *json)
{
  SsObject o
      = { key, version, json, (uint32_t) strlen (json), false, 0, false };
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };

  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.revision = version;
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
                          .deadline_ms = 1000 };

  ss_node_init (&node, &params, NOW_MS);
  put_object ("service/s", 4, SERVICE_JSON);
}

/* Takes all pending actions.  Returns the last one of KIND in *FOUND and drops
 * the others.
 */
static bool
take_last_action (SsActionKind kind, SsAction *found)
{
  SsAction a;
  bool any = false;

  memset (found, 0, sizeof *found);
  while (ss_node_take_action (&node, &a))
    {
      if (a.kind != kind)
        {
          ss_action_clear (&a);
          continue;
        }
      ss_action_clear (found);
      *found = a;
      any = true;
    }
  return any;
}

static void
run_command (const char *text, bool may_change)
{
  SsEvent e = { .kind = SS_EVENT_OPERATOR };

  e.operator_command.id = 1;
  e.operator_command.text = text;
  e.operator_command.may_change = may_change;
  ss_node_on_event (&node, &e, NOW_MS);
}

static void
answer_call (const SsAction *call, SsPlatformOutcome outcome, int64_t version,
             const char *json, int64_t now_ms)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECT };

  e.platform_object.call = call->id;
  e.platform_object.outcome = outcome;
  e.platform_object.object.key = "service/s";
  e.platform_object.object.version = version;
  e.platform_object.object.value = json;
  e.platform_object.object.value_bytes = json ? (uint32_t) strlen (json) : 0;
  ss_node_on_event (&node, &e, now_ms);
}

static void
expect_verdict (SsVerdict verdict, const char *excerpt)
{
  SsAction reply;

  CU_ASSERT (take_last_action (SS_ACTION_OPERATOR_REPLY, &reply));
  CU_ASSERT (reply.verdict == verdict);
  CU_ASSERT (reply.text && strstr (reply.text, excerpt) != NULL);
  ss_action_clear (&reply);
}

static void
invalid_commands_are_refused_at_once (void)
{
  set_up ();
  run_command ("set service s weight = 5", false);
  expect_verdict (SS_VERDICT_NOT_RUN, "bearer token");
  run_command ("set service s weight = 0", true);
  expect_verdict (SS_VERDICT_NOT_RUN, "integer from 1 to 1000");
  run_command ("set service s colour = 1", true);
  expect_verdict (SS_VERDICT_NOT_RUN, "unknown member");
  run_command ("set service none weight = 1", true);
  expect_verdict (SS_VERDICT_NOT_RUN, "no such service");
  run_command ("stop vm none", true);
  expect_verdict (SS_VERDICT_NOT_RUN, "no such live vm");
  ss_node_finish (&node);
}

static void
conflict_reports_the_winning_version (void)
{
  SsAction put;

  set_up ();
  run_command ("set service s weight = 5", true);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_PUT, &put));
  CU_ASSERT (put.number == 4);
  answer_call (&put, SS_PLATFORM_CONFLICT, 9, "{\"group\":\"g\",\"weight\":7}",
               NOW_MS);
  expect_verdict (SS_VERDICT_NOT_RUN, "version 9 won");
  CU_ASSERT (ss_config_service (&node.config, "s")->weight == 7);
  ss_action_clear (&put);
  ss_node_finish (&node);
}

static void
write_with_lost_answer_is_read_back (void)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };
  SsAction put;
  SsAction get;

  set_up ();
  run_command ("set service s weight = 5", true);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_PUT, &put));
  answer_call (&put, SS_PLATFORM_UNKNOWN, 0, NULL, NOW_MS);
  CU_ASSERT (!take_last_action (SS_ACTION_OPERATOR_REPLY, &get));
  ss_node_on_event (&node, &tick, NOW_MS + 300);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_GET, &get));
  answer_call (&get, SS_PLATFORM_DONE, 10, put.text, NOW_MS + 310);
  expect_verdict (SS_VERDICT_RAN, "\"version\":10");
  CU_ASSERT (ss_config_service (&node.config, "s")->weight == 5);
  ss_action_clear (&put);
  ss_action_clear (&get);
  ss_node_finish (&node);
}

static void
unconfirmed_write_may_have_run (void)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };
  SsAction put;
  SsAction get;

  set_up ();
  run_command ("set service s weight = 5", true);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_PUT, &put));
  answer_call (&put, SS_PLATFORM_UNKNOWN, 0, NULL, NOW_MS);
  ss_node_on_event (&node, &tick, NOW_MS + 300);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_GET, &get));
  /* The object still has its old version: the write may yet take effect. */
  answer_call (&get, SS_PLATFORM_DONE, 4, SERVICE_JSON, NOW_MS + 310);
  expect_verdict (SS_VERDICT_MAY_HAVE_RUN, "does not show the change");
  ss_action_clear (&put);
  ss_action_clear (&get);
  ss_node_finish (&node);
}

/* Two operators may request promotions that are conditional on the same term.
 * The second one is refused once the first promotion has ended that term.
 */
static void
promotion_for_a_past_term_is_refused (void)
{
  SsAction put;

  set_up ();
  put_object ("target/t1", 5,
              "{\"group\":\"g\",\"ip\":\"10.0.1.1\",\"port\":1,"
              "\"failure_domain\":\"d\"}");
  put_object ("group/g", 6,
              "{\"term\":2,\"primary\":\"t1\",\"operation\":\"x\"}");
  run_command ("promote group g if term 1", true);
  expect_verdict (SS_VERDICT_NOT_RUN, "term 1 is not in force");
  run_command ("promote group g if term 2", true);
  CU_ASSERT (take_last_action (SS_ACTION_PLATFORM_PUT, &put));
  CU_ASSERT (g_strcmp0 (put.name, "group/g") == 0);
  CU_ASSERT (put.number == 6);
  ss_action_clear (&put);
  ss_node_finish (&node);
}

#define SECRET "SCRAM-SHA-256$4096:c2FsdA==$verifier:secret"

static void
key_commands_are_parsed (void)
{
  SsCommand c;

  CU_ASSERT_PTR_NULL (ss_command_init (&c, "add key acme new = '" SECRET "'"));
  CU_ASSERT (c.kind == SS_COMMAND_ADD_KEY);
  CU_ASSERT_STRING_EQUAL (c.name, "acme");
  CU_ASSERT_STRING_EQUAL (c.key, "new");
  CU_ASSERT_STRING_EQUAL (json_string_value (c.value), SECRET);
  ss_command_finish (&c);
  CU_ASSERT_PTR_NULL (ss_command_init (&c, "remove key acme \"default\";"));
  CU_ASSERT (c.kind == SS_COMMAND_REMOVE_KEY);
  CU_ASSERT_STRING_EQUAL (c.key, "default");
  ss_command_finish (&c);
}

/* Guards against error messages that quote a verifier. */
static void
errors_of_key_commands_quote_nothing (void)
{
  static const char *const bad[] = {
    "add key acme '" SECRET "'",
    "add key acme = '" SECRET "'",
    "add key acme new '" SECRET "'",
    "add key acme new = '" SECRET "' more",
    "add '" SECRET "'",
    "add key",
    "remove key acme",
    "remove key acme default '" SECRET "'",
    "add key acme new = '" SECRET,
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      SsCommand c;
      char *error = ss_command_init (&c, bad[i]);

      CU_ASSERT_PTR_NOT_NULL (error);
      CU_ASSERT (error && !strstr (error, "secret"));
      g_free (error);
      ss_command_finish (&c);
    }
}

CU_TestInfo test_command[] = {
  { "syntax errors name column and expected word",
    syntax_errors_name_column_and_expected_word },
  { "show filters and sorts", show_filters_and_sorts },
  { "invalid commands are refused at once",
    invalid_commands_are_refused_at_once },
  { "conflict reports the winning version",
    conflict_reports_the_winning_version },
  { "write with lost answer is read back",
    write_with_lost_answer_is_read_back },
  { "unconfirmed write may have run", unconfirmed_write_may_have_run },
  { "promotion for a past term is refused",
    promotion_for_a_past_term_is_refused },
  { "key commands are parsed", key_commands_are_parsed },
  { "errors of key commands quote nothing",
    errors_of_key_commands_quote_nothing },
  CU_TEST_INFO_NULL,
};
