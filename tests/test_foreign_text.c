/* Text of one party that becomes part of a statement, a name or a key of
 * another: what a caller, a peer or an operator can bring about on the
 * PostgreSQL interface (docs/incidents/2026-12-prepared-name-ways.md).
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/command.h"

#include "core/entry.h"
#include "ctl/progress.h"
#include "plugins/metrics.h"
#include "plugins/pgwire.h"
#include "plugins/pqparams.h"
#include "tests/sql_server.h"
#include "tests/unit.h"

#define SET_ID "SET sapphirestair.request_id = 'order-7'"
#define INSERT_A "INSERT INTO kv (key, value) VALUES ('a', '1')"
#define INSERT_B "INSERT INTO kv (key, value) VALUES ('b', '1')"

static void
expect_ran (SqlServer *sim, const char *sql)
{
  const SsAction *reply = sql_server_run (sim, sql);

  CU_ASSERT (reply->verdict == SS_VERDICT_RAN);
}

static void
expect_refused (SqlServer *sim, const char *sql, SsReason reason)
{
  const SsAction *reply = sql_server_run (sim, sql);

  CU_ASSERT (reply->verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (reply->reason == reason);
}

/* Guards against a write that runs twice under one idempotency key: its text
 * ended the transaction that holds the key's record.
 */
static void
text_with_key_cannot_shed_its_record (void)
{
  static const char *const texts[]
      = { "ROLLBACK; " INSERT_A, "SELECT 1; ROLLBACK; " INSERT_A,
          "/* a */ ROLLBACK; " INSERT_A, "SELECT 1;-- b\nABORT; " INSERT_A,
          "BEGIN; " INSERT_A "; COMMIT" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      SqlServer sim;

      sql_server_init (&sim);
      for (int repeat = 0; repeat < 2; repeat++)
        {
          expect_ran (&sim, SET_ID);
          expect_refused (&sim, texts[i], SS_REASON_BAD_SETTING);
        }
      CU_ASSERT (sql_server_rows (&sim, "a") <= 1);
      sql_server_finish (&sim);
    }
}

/* Guards against "not run" for a write that its text has committed, and against
 * an acknowledgement for a part that never ran.
 */
static void
text_with_key_commits_as_a_whole (void)
{
  SqlServer sim;

  sql_server_init (&sim);
  expect_ran (&sim, SET_ID);
  expect_refused (&sim, INSERT_A "; COMMIT; SELECT nothing FROM nowhere",
                  SS_REASON_BAD_SETTING);
  CU_ASSERT (sql_server_rows (&sim, "a") == 0);
  expect_ran (&sim, SET_ID);
  expect_ran (&sim, INSERT_A "; " INSERT_B);
  expect_ran (&sim, SET_ID);
  expect_ran (&sim, INSERT_A "; " INSERT_B);
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  CU_ASSERT (sql_server_rows (&sim, "b") == 1);
  sql_server_finish (&sim);
}

/* Guards against a COMMIT that takes the place of what the caller sent: the
 * rest of the text was left out and acknowledged.
 */
static void
text_of_commit_with_key_is_not_replaced (void)
{
  static const char *const texts[]
      = { "COMMIT; " INSERT_B, "COMMIT AND CHAIN", "END; " INSERT_B,
          "COMMIT PREPARED 'x'", INSERT_B "; COMMIT" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      SqlServer sim;

      sql_server_init (&sim);
      expect_ran (&sim, SET_ID);
      expect_ran (&sim, "BEGIN");
      expect_ran (&sim, INSERT_A);
      expect_refused (&sim, texts[i], SS_REASON_BAD_SETTING);
      CU_ASSERT (sim.reply.transaction_status == 'T');
      CU_ASSERT (sql_server_rows (&sim, "a") == 0);
      expect_ran (&sim, "COMMIT");
      CU_ASSERT (sql_server_rows (&sim, "a") == 1);
      CU_ASSERT (sql_server_rows (&sim, "b") == 0);
      sql_server_finish (&sim);
    }
}

/* Guards against a COMMIT without its record: a comment hid its first word. */
static void
commit_behind_a_comment_carries_its_key (void)
{
  SqlServer sim;

  sql_server_init (&sim);
  expect_ran (&sim, SET_ID);
  expect_ran (&sim, "BEGIN");
  expect_ran (&sim, INSERT_A);
  expect_ran (&sim, "/* trace */ COMMIT -- the end");
  CU_ASSERT (sql_server_sent (&sim, "UPDATE sapphirestair_requests"));
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  sql_server_finish (&sim);
}

/* Guards against a transaction that ends with its BEGIN, so that the statements
 * that follow run outside of it: a comment hid the first word.
 */
static void
begin_behind_a_comment_opens_a_transaction (void)
{
  SqlServer sim;

  sql_server_init (&sim);
  expect_ran (&sim, SET_ID);
  sql_server_run (&sim, "/* trace */ BEGIN");
  CU_ASSERT (!sql_server_sent (&sim, "sapphirestair_requests"));
  CU_ASSERT (sql_server_sent (&sim, "/* trace */ BEGIN"));
  sql_server_finish (&sim);
}

/* Guards against statements that run outside of their transaction: ROLLBACK TO,
 * or AND CHAIN, was taken for the end of one that is lost.
 */
static void
lost_transaction_ends_only_by_its_end (void)
{
  static const char *const texts[]
      = { "ROLLBACK TO SAVEPOINT p", "ROLLBACK TO p", "ROLLBACK AND CHAIN",
          "ROLLBACK; INSERT INTO kv (key, value) VALUES ('b', '1')",
          "COMMIT AND CHAIN" };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      SqlServer sim;

      sql_server_init (&sim);
      expect_ran (&sim, "BEGIN");
      expect_ran (&sim, INSERT_A);
      sql_server_lose_transaction (&sim);
      expect_refused (&sim, INSERT_A, SS_REASON_TRANSACTION_LOST);
      expect_refused (&sim, texts[i], SS_REASON_TRANSACTION_LOST);
      CU_ASSERT (sim.reply.transaction_status == 'E');
      expect_refused (&sim, INSERT_B, SS_REASON_TRANSACTION_LOST);
      CU_ASSERT (sql_server_rows (&sim, "b") == 0);
      expect_ran (&sim, "/* end */ ROLLBACK");
      CU_ASSERT (sim.reply.transaction_status == 'I');
      expect_ran (&sim, INSERT_B);
      sql_server_finish (&sim);
    }
}

/* Guards against a read-only transaction that a write follows in its text: it
 * went to a replica, and would be sent again as a read.
 */
static void
read_only_begin_stands_alone (void)
{
  CU_ASSERT (ss_session_sql_is_read_only_begin ("/* a */ BEGIN READ ONLY;"));
  CU_ASSERT (ss_session_sql_is_read_only_begin (
      "start transaction read only, isolation level serializable"));
  CU_ASSERT (!ss_session_sql_is_read_only_begin (
      "BEGIN READ ONLY; ROLLBACK; " INSERT_A));
  CU_ASSERT (
      !ss_session_sql_is_read_only_begin ("BEGIN READ ONLY, READ WRITE"));
  CU_ASSERT (!ss_session_sql_is_read_only_begin ("BEGIN READ/**/ONLY/**/'"));
}

/* Runs INSERT_A under the id that TEXT sets. */
static void
insert_with_id (SqlServer *sim, const char *text)
{
  expect_ran (sim, text);
  expect_ran (sim, INSERT_A);
}

/* Guards against two ids that become one, so that a write is answered from the
 * record of another and never runs: numbers beyond 64 bits were cut to one
 * value, leading zeros and hexadecimal digits were folded.
 */
static void
ids_stay_as_they_were_sent (void)
{
  static const char *const ids[] = { "20261206223000123456",
                                     "20261206223000123457",
                                     "7",
                                     "007",
                                     "0x7",
                                     "1e5",
                                     "100000",
                                     "-7",
                                     "1.5",
                                     "1.50" };
  uint32_t rows = 0;
  SqlServer sim;

  sql_server_init (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      char *text
          = g_strdup_printf ("SET sapphirestair.request_id = %s", ids[i]);

      insert_with_id (&sim, text);
      rows++;
      CU_ASSERT (sql_server_rows (&sim, "a") == rows);
      insert_with_id (&sim, text);
      CU_ASSERT (sql_server_rows (&sim, "a") == rows);
      g_free (text);
    }
  sql_server_finish (&sim);
}

/* Guards against an id that is acknowledged and not in force, so that a repeat
 * runs twice: the text went to the server, or its value was dropped.
 */
static void
setting_is_in_force_or_refused (void)
{
  static const char *const refused[]
      = { "SET LOCAL sapphirestair.request_id = 'x'",
          "SET \"sapphirestair\".request_id = 'x'",
          "SET \"sapphirestair.request_id\" = 'x'",
          "SELECT 1; SET sapphirestair.request_id = 'x'",
          "BEGIN; SET sapphirestair.request_id = 'x'; COMMIT",
          "SET sapphirestair.request_id = x--y",
          "SET sapphirestair.request_id = 7abc def",
          "SET sapphirestair.request_id = ",
          "SET sapphirestair.request_id = E'x'",
          "SET sapphirestair.request_id = 'x', 'y'",
          "SET sapphirestair.request_id = 'x",
          "SET sapphirestair.request_id FROM CURRENT",
          "/* x */ SET LOCAL sapphirestair.kind = 'write'" };
  static const char *const taken[]
      = { "/* x */ SET sapphirestair.request_id = 'x'",
          "-- x\nset Session sapphirestair . request_id To x;",
          "; SET sapphirestair.request_id = x -- y" };
  SqlServer sim;

  sql_server_init (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    expect_refused (&sim, refused[i], SS_REASON_BAD_SETTING);
  CU_ASSERT (!sql_server_sent (&sim, "request_id"));
  for (size_t i = 0; i < G_N_ELEMENTS (taken); i++)
    insert_with_id (&sim, taken[i]);
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  expect_ran (&sim, "SET sapphirestair.request_id = DEFAULT");
  expect_ran (&sim, INSERT_A);
  CU_ASSERT (sql_server_rows (&sim, "a") == 2);
  CU_ASSERT (!sql_server_sent (&sim, "'DEFAULT'"));
  sql_server_finish (&sim);
}

static void
expect_text (char *made, const char *expected)
{
  CU_ASSERT_STRING_EQUAL (made, expected);
  g_free (made);
}

/* Guards against a statement of a server's or a peer's own making: its text
 * ended the literal that it was put into.
 */
static void
literals_hold_any_text (void)
{
  const SsDialect *d = ss_dialect_sql ();
  SsTarget t = { .ip = (char *) "x', '0'); --", .port = 5432 };

  expect_text (d->claim_key (d, "k'); DROP TABLE kv; --"),
               "INSERT INTO sapphirestair_requests (id, outcome) "
               "VALUES ('k''); DROP TABLE kv; --', '')");
  expect_text (d->find_key (d, "' OR '1'='1"),
               "SELECT outcome FROM sapphirestair_requests "
               "WHERE id = ''' OR ''1''=''1'");
  expect_text (d->record_key (d, "k", "it's \\"),
               "UPDATE sapphirestair_requests SET outcome = E'it''s \\\\' "
               "WHERE id = 'k'");
  expect_text (d->follow (d, 3, &t), "SELECT * FROM sapphirestair_follow(3, "
                                     "'x'', ''0''); --', '5432')");
}

/* Guards against an address of the configuration that becomes other parameters
 * of a connection or a statement.
 */
static void
address_of_a_target_is_an_address (void)
{
  static const char *const refused[]
      = { "10.0.0.1 user=postgres", "10.0.0.1', '1'); --", "",
          "host.example",           "10.0.0.1\nport=1",    " 10.0.0.1" };
  static const char *const taken[] = { "10.0.0.1", "fd00::1" };

  for (size_t i = 0; i < G_N_ELEMENTS (refused) + G_N_ELEMENTS (taken); i++)
    {
      bool is_refused = i < G_N_ELEMENTS (refused);
      const char *ip
          = is_refused ? refused[i] : taken[i - G_N_ELEMENTS (refused)];
      json_t *json
          = json_pack ("{s:s, s:s, s:i, s:s, s:i}", "group", "g", "ip", ip,
                       "port", 1, "failure_domain", "d", "max_connections", 8);
      char *text = json_dumps (json, JSON_COMPACT);
      char *error
          = ss_config_check ("target/t", text, (uint32_t) strlen (text));

      CU_ASSERT ((error != NULL) == is_refused);
      g_free (error);
      free (text);
      json_decref (json);
    }
}

/* Guards against a target's address that becomes other parameters of its
 * connection, and against a server that reads quotes in another way than the
 * proxy tells its callers.
 */
static void
parameters_of_a_connection_are_values (void)
{
  static const char address[] = "10.0.0.1 user=postgres";
  SsPqParams p;
  uint32_t i = 0;

  ss_pqparams_fill (&p, address, 5432);
  CU_ASSERT_STRING_EQUAL (p.names[0], "hostaddr");
  CU_ASSERT_STRING_EQUAL (p.values[0], address);
  CU_ASSERT_STRING_EQUAL (p.names[1], "port");
  CU_ASSERT_STRING_EQUAL (p.values[1], "5432");
  while (p.names[i] && strcmp (p.names[i], "options") != 0)
    i++;
  CU_ASSERT_FATAL (p.names[i] != NULL);
  CU_ASSERT (strstr (p.values[i], "standard_conforming_strings=on") != NULL);
}

static void
add_option (void *data, const char *name, const char *value)
{
  g_string_append_printf (data, "[%s][%s]", name, value);
}

static void
expect_options (const char *options, const char *expected)
{
  GString *found = g_string_new (NULL);

  ss_pgwire_parse_options (options, add_option, found);
  CU_ASSERT_STRING_EQUAL (found->str, expected);
  g_string_free (found, TRUE);
}

/* Guards against settings at start that are not in force, or are cut: options
 * are split at white space, and a backslash keeps the next character.
 */
static void
options_at_start_are_read_as_the_server_does (void)
{
  expect_options ("-c a.b=1 --c=2 -cd=3", "[a.b][1][c][2][d][3]");
  expect_options ("-c\ta.b=1\n-c  c=2 ", "[a.b][1][c][2]");
  expect_options ("-c a.kind=slow\\ report", "[a.kind][slow report]");
  expect_options ("-c a=x\\\\y -c b=c=d", "[a][x\\y][b][c=d]");
  expect_options ("", "");
  expect_options ("\\", "");
  CU_ASSERT (g_strcmp0 (ss_session_setting_name ("Sapphirestair.Request_ID"),
                        "Request_ID")
             == 0);
  CU_ASSERT (ss_session_setting_name ("sapphirestair") == NULL);
  CU_ASSERT (ss_session_setting_name ("search_path") == NULL);
}

static void
open_with (SqlServer *sim, const char *name, const char *value)
{
  const char *settings[] = { name, value, NULL };
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };

  e.caller_open.caller = 2;
  e.caller_open.service = "s";
  e.caller_open.settings = settings;
  ss_node_on_event (&sim->node, &e, sim->now_ms);
}

/* Guards as the test above: names of settings have no case. */
static void
names_of_settings_have_no_case (void)
{
  int64_t caller = 2;
  const SsSession *s;
  SqlServer sim;

  sql_server_init (&sim);
  open_with (&sim, "Request_ID", "order-7");
  s = g_hash_table_lookup (sim.node.sessions, &caller);
  CU_ASSERT (s && g_strcmp0 (s->request_key, "order-7") == 0);
  sql_server_finish (&sim);
}

/* Guards against a name of the configuration that adds lines or labels to the
 * metrics.
 */
static void
names_in_metrics_stay_labels (void)
{
  char *text;
  SqlServer sim;

  sql_server_init (&sim);
  sim.node.params.learn_speed = true;
  sql_server_put (&sim, "target/q\"\\\nx 1",
                  "{\"group\":\"g\",\"ip\":\"10.0.0.3\",\"port\":5432,"
                  "\"failure_domain\":\"d\",\"max_connections\":8}");
  sql_server_run (&sim, "SELECT 1");
  sql_server_put (&sim, "routes/r\"s", "{}");
  text = ss_metrics_text (&sim.node);
  CU_ASSERT (strstr (text, "{target=\"q\\\"\\\\\\nx 1\"}") != NULL);
  CU_ASSERT (strstr (text, "{key=\"routes/r\\\"s\"}") != NULL);
  CU_ASSERT (strstr (text, "\nx 1") == NULL);
  g_free (text);
  sql_server_finish (&sim);
}

/* Guards against an entry with a member that nothing reads: its name was looked
 * for in the joined text of all names.
 */
static void
members_of_entries_are_whole_words (void)
{
  static const char entry[]
      = "{\"term\":1,\"primary\":\"t\",\"term primary\":1}";
  char *error = ss_config_check ("group/g", entry, sizeof entry - 1);

  CU_ASSERT (error != NULL);
  g_free (error);
}

/* Guards against a number of an operator that becomes another one. */
static void
numbers_of_commands_are_not_cut (void)
{
  static const char *const refused[]
      = { "set service s weight = -18446744073709551615",
          "set service s weight = 18446744073709551617",
          "promote group g if term 18446744073709551617" };

  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      SsCommand c;
      char *error = ss_command_init (&c, refused[i]);

      CU_ASSERT (error != NULL);
      g_free (error);
      ss_command_finish (&c);
    }
}

/* COMMAND names NAME, however it is written: the query must ask for it. */
static void
expect_progress (const char *command, const char *name)
{
  char *query = ss_progress_query (command);
  SsCommand c = { 0 };
  char *error = query ? ss_command_init (&c, query) : NULL;

  CU_ASSERT (query != NULL && error == NULL && c.condition_count == 1);
  if (c.condition_count == 1)
    CU_ASSERT_STRING_EQUAL (c.conditions[0].text, name);
  ss_command_finish (&c);
  g_free (error);
  g_free (query);
}

/* Guards against a target that is reported as drained while it is not: the
 * query asked for another name, or none was sent.
 */
static void
progress_is_asked_for_the_name_of_the_command (void)
{
  expect_progress ("drain target t1", "t1");
  expect_progress ("drain target t1;", "t1");
  expect_progress ("DRAIN  Target\tt1", "t1");
  expect_progress ("drain target 't 1'", "t 1");
  expect_progress ("drain target \"it's \\\\ \\\"\"", "it's \\ \"");
  expect_progress ("stop vm 'a' ;", "a");
  CU_ASSERT (ss_progress_query ("undrain target t1") == NULL);
  CU_ASSERT (ss_progress_query ("drain target") == NULL);
}

static uint64_t
last_connection (const SqlServer *sim)
{
  return g_array_index (sim->sent_on, uint64_t, sim->sent_on->len - 1);
}

/* Guards against one caller's settings and prepared statements under another
 * caller's statements: a connection served all after it was changed.
 */
static void
changed_connection_serves_no_one_else (void)
{
  static const char *const texts[][3]
      = { { "SET search_path = elsewhere", NULL },
          { "SELECT 1; SET search_path = elsewhere; SELECT 1", NULL },
          { "BEGIN; SET search_path = elsewhere", "COMMIT", NULL } };
  uint64_t kept;
  SqlServer sim;

  sql_server_init (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      uint64_t changed = 0;

      for (size_t j = 0; texts[i][j]; j++)
        {
          expect_ran (&sim, texts[i][j]);
          changed = last_connection (&sim);
        }
      expect_ran (&sim, INSERT_A);
      CU_ASSERT (last_connection (&sim) != changed);
    }
  expect_ran (&sim, "SELECT 1");
  kept = last_connection (&sim);
  expect_ran (&sim, "SELECT 1");
  CU_ASSERT (last_connection (&sim) == kept);
  sql_server_finish (&sim);
}

/* Guards as the test above, for tags that the stand-in server does not know. */
static void
tags_tell_what_changes_a_session (void)
{
  CU_ASSERT (ss_session_sql_tag_changes_session ("PREPARE"));
  CU_ASSERT (ss_session_sql_tag_changes_session ("DEALLOCATE ALL"));
  CU_ASSERT (ss_session_sql_tag_changes_session ("CREATE TABLE"));
  CU_ASSERT (ss_session_sql_tag_changes_session ("LISTEN"));
  CU_ASSERT (!ss_session_sql_tag_changes_session ("INSERT 0 1"));
  CU_ASSERT (!ss_session_sql_tag_changes_session ("SELECT 1"));
  CU_ASSERT (!ss_session_sql_tag_changes_session ("COMMIT"));
  CU_ASSERT (!ss_session_sql_tag_changes_session (""));
}

static void
deliver_run (SqlServer *sim, const char *sql, size_t bytes, const char *key)
{
  SqlRun run = { 1, sql, bytes, key, "" };

  sql_server_deliver_run (sim, &run);
}

/* Guards against text of an entry VM of an earlier version, which sends any
 * text with a key, and against a text that ends at its zero byte.
 */
static void
owner_checks_text_of_other_vms (void)
{
  static const char cut[] = INSERT_A "\0 AND MORE";
  SqlServer sim;

  sql_server_init (&sim);
  deliver_run (&sim, "ROLLBACK; " INSERT_A, strlen ("ROLLBACK; " INSERT_A),
               "k");
  CU_ASSERT (sql_server_rows (&sim, "a") == 0);
  deliver_run (&sim, cut, sizeof cut - 1, "");
  CU_ASSERT (sql_server_rows (&sim, "a") == 0);
  deliver_run (&sim, INSERT_A, strlen (INSERT_A), "k");
  CU_ASSERT (sql_server_rows (&sim, "a") == 1);
  sql_server_finish (&sim);
}

CU_TestInfo test_foreign_text[] = {
  { "text with key cannot shed its record",
    text_with_key_cannot_shed_its_record },
  { "text with key commits as a whole", text_with_key_commits_as_a_whole },
  { "text of commit with key is not replaced",
    text_of_commit_with_key_is_not_replaced },
  { "commit behind a comment carries its key",
    commit_behind_a_comment_carries_its_key },
  { "begin behind a comment opens a transaction",
    begin_behind_a_comment_opens_a_transaction },
  { "lost transaction ends only by its end",
    lost_transaction_ends_only_by_its_end },
  { "read-only begin stands alone", read_only_begin_stands_alone },
  { "ids stay as they were sent", ids_stay_as_they_were_sent },
  { "setting is in force or refused", setting_is_in_force_or_refused },
  { "changed connection serves no one else",
    changed_connection_serves_no_one_else },
  { "tags tell what changes a session", tags_tell_what_changes_a_session },
  { "literals hold any text", literals_hold_any_text },
  { "address of a target is an address", address_of_a_target_is_an_address },
  { "parameters of a connection are values",
    parameters_of_a_connection_are_values },
  { "options at start are read as the server does",
    options_at_start_are_read_as_the_server_does },
  { "names of settings have no case", names_of_settings_have_no_case },
  { "names in metrics stay labels", names_in_metrics_stay_labels },
  { "members of entries are whole words", members_of_entries_are_whole_words },
  { "numbers of commands are not cut", numbers_of_commands_are_not_cut },
  { "progress is asked for the name of the command",
    progress_is_asked_for_the_name_of_the_command },
  { "owner checks text of other vms", owner_checks_text_of_other_vms },
  CU_TEST_INFO_NULL,
};
