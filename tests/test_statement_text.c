/* Statements reach servers as callers sent them, whatever bytes they hold. */
#include <string.h>

#include "core/run_check.h"
#include "kernel/text.h"
#include "platform/dialect.h"
#include "platform/line.h"
#include "tests/line_expect.h"
#include "tests/line_sim.h"
#include "tests/server_reader.h"
#include "tests/unit.h"

#define HISTORIES 300
#define STATEMENTS 40
#define LONG_TEXT_BYTES 100000
/* Time in which a new primary is found. */
#define LEAD_FOUND_MS 5000

static void
expect_run_as_sent (LineSim *sim, uint32_t session, const char *text)
{
  CU_ASSERT (line_sim_execute (sim, session, text));
  CU_ASSERT (sim->sessions[session - 1].verdict == SS_VERDICT_RAN);
}

/* Guards against UNASKED: a server took a part of the caller's shape for the
 * arguments of EXECUTE.
 */
static void
shape_with_spaces_runs_as_sent (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  expect_run_as_sent (&sim, 1, "PREPARE s1 WRITE q5 WRITE odxc");
  expect_run_as_sent (&sim, 1, "EXECUTE s1 1a4 jdqoivaz");
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* Guards against UNASKED and PINNED: the shape of one caller replaced the
 * prepared statement of another one at a server.
 */
static void
shape_with_spaces_replaces_no_other (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 1);
  expect_run_as_sent (&sim, 1, "PREPARE s1 WRITE q5");
  expect_run_as_sent (&sim, 1, "EXECUTE s1 1a4 first");
  expect_run_as_sent (&sim, 2, "PREPARE s1 WRITE q5 READ odxc");
  expect_run_as_sent (&sim, 2, "EXECUTE s1 1a4 second");
  expect_run_as_sent (&sim, 1, "EXECUTE s1 1a4 third");
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* Guards against a refusal: a shape whose second word is no mode made PREPARE
 * malformed at the server.
 */
static void
shape_of_several_words_is_served (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  expect_run_as_sent (&sim, 1, "PREPARE s1 READ by owner and date");
  expect_run_as_sent (&sim, 1, "EXECUTE s1 1a4");
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* Guards against UNASKED, PINNED and MIXED: values, shapes and arguments of any
 * bytes, of sessions that share connections.
 */
static void
odd_texts_run_as_sent (void)
{
  LineHistories histories
      = { .histories = HISTORIES, .statements = STATEMENTS, .odd_texts = true };

  line_expect_histories (&histories);
}

/* The platform has promoted server TO in place of server FROM. */
static void
move_lead (LineSim *sim, uint32_t from, uint32_t to)
{
  sim->servers[from].role = SS_SERVER_REPLICA;
  sim->servers[to].role = SS_SERVER_PRIMARY;
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    sim->servers[i].term++;
}

/* Guards against PINNED: a server that had lost the lead refused a part of the
 * session state replay, and the connection went back to the pool as if it held
 * the values that were refused.
 */
static void
refused_replay_leaves_no_values (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 4, 8);
  expect_run_as_sent (&sim, 1, "BEGIN");
  expect_run_as_sent (&sim, 1, "READ 1a");
  expect_run_as_sent (&sim, 1, "SET v 9");
  move_lead (&sim, 0, 1);
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (line_sim_execute (&sim, 1, "ROLLBACK"));
  move_lead (&sim, 1, 0);
  line_sim_advance (&sim, LEAD_FOUND_MS);
  expect_run_as_sent (&sim, 3, "SET v 9");
  expect_run_as_sent (&sim, 3, "READ 1a");
  CU_ASSERT (sim.servers[0].ran >= 2);
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* Sends BEFORE and as many bytes behind it that the whole text has BYTES. */
static void
send_long (LineSim *sim, const char *before, size_t bytes)
{
  char *rest = g_strnfill (bytes - strlen (before), 'x');
  char *text = g_strconcat (before, rest, NULL);

  CU_ASSERT (line_sim_execute (sim, 1, text));
  g_free (text);
  g_free (rest);
}

/* Guards against lost connections: a statement that was as long as a message
 * may be became longer, by the position to wait for or the name of the prepared
 * statement, and the server closed the connection.
 */
static void
longest_texts_fit_in_a_message (void)
{
  static const char *const before[]
      = { "READ ", "WRITE 1a ", "SET v ", "PREPARE s1 WRITE ", "EXECUTE s1 " };
  size_t longest = SS_LINE_MAX_BYTES - strlen ("QUERY c1-99 \r\n");
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  for (size_t i = 0; i < G_N_ELEMENTS (before); i++)
    {
      send_long (&sim, before[i], longest / 2);
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
      send_long (&sim, before[i], longest);
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
      CU_ASSERT (sim.sessions[0].reason == SS_REASON_TOO_LARGE);
      send_long (&sim, before[i], longest - 256);
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
    }
  CU_ASSERT (sim.longest_message_bytes <= SS_LINE_MAX_BYTES);
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* Guards against lost connections between VMs: the values of one session made
 * each of its statements longer than a message between VMs may be.
 */
static void
state_of_a_session_is_bounded (void)
{
  size_t bytes = SS_SESSION_STATE_MAX_BYTES / 8;
  uint32_t refused = 0;
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  for (uint32_t i = 0; i < 16; i++)
    {
      char *before = g_strdup_printf ("SET v%u ", i);

      send_long (&sim, before, bytes);
      refused += sim.sessions[0].verdict == SS_VERDICT_NOT_RUN ? 1 : 0;
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN
                 || sim.sessions[0].reason == SS_REASON_TOO_LARGE);
      g_free (before);
    }
  CU_ASSERT (refused > 0);
  expect_run_as_sent (&sim, 1, "READ 1a");
  CU_ASSERT (sim.sessions[0].state.bytes <= SS_SESSION_STATE_MAX_BYTES);
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* The bytes of a session's state follow what it holds. */
static void
bytes_of_a_state_are_counted (void)
{
  SsSessionState state;

  ss_session_state_init (&state);
  ss_session_state_set (&state, "a", "123");
  ss_session_state_set (&state, "a", "1");
  ss_session_state_prepare (&state, "p", "q5", true);
  CU_ASSERT (state.bytes == 5);
  ss_session_state_prepare (&state, "p", "q", false);
  CU_ASSERT (state.bytes == 4);
  CU_ASSERT (ss_session_state_deallocate (&state, "p"));
  CU_ASSERT (!ss_session_state_deallocate (&state, "p"));
  CU_ASSERT (state.bytes == 2);
  ss_session_state_finish (&state);
  CU_ASSERT (state.bytes == 0);
}

/* Guards against a VM that is busy with one caller: values are compared with
 * those of each connection.
 */
static void
number_of_values_is_bounded (void)
{
  SsSessionState state;
  SsStatement st = { .kind = SS_STATEMENT_SET, .value = (char *) "1" };

  ss_session_state_init (&state);
  for (uint32_t i = 0; i <= SS_SESSION_VALUES_MAX; i++)
    {
      char *name = g_strdup_printf ("v%u", i);

      st.name = name;
      CU_ASSERT (ss_session_state_has_room (&state, &st)
                 == (i < SS_SESSION_VALUES_MAX));
      if (i < SS_SESSION_VALUES_MAX)
        ss_session_state_set (&state, name, "1");
      g_free (name);
    }
  st.name = (char *) "v0";
  CU_ASSERT (ss_session_state_has_room (&state, &st));
  ss_session_state_finish (&state);
}

/* A value may take the place of one that is as long. */
static void
replaced_values_need_no_room (void)
{
  char *value = g_strnfill (SS_SESSION_STATE_MAX_BYTES - 1, 'x');
  SsStatement st
      = { .kind = SS_STATEMENT_SET, .name = (char *) "v", .value = value };
  SsSessionState state;

  ss_session_state_init (&state);
  CU_ASSERT (ss_session_state_has_room (&state, &st));
  ss_session_state_set (&state, "v", value);
  CU_ASSERT (ss_session_state_has_room (&state, &st));
  st.name = (char *) "w";
  CU_ASSERT (!ss_session_state_has_room (&state, &st));
  ss_session_state_finish (&state);
  g_free (value);
}

/* Guards against memory without bound: a connection kept the values and shapes
 * of all sessions that it had served.
 */
static void
connections_keep_no_long_texts (void)
{
  const SsDialect *d = ss_dialect_line ();
  char *text = g_strnfill (LONG_TEXT_BYTES, 'x');
  const char *const values[] = { "v", text, text, "1", NULL };
  SsSessionState held;
  GQueue out = G_QUEUE_INIT;

  ss_session_state_init (&held);
  CU_ASSERT (ss_replay_plan (d, &held, values, text, true, false, &out));
  CU_ASSERT (g_queue_get_length (&out) == 3);
  CU_ASSERT (held.bytes < 1000);
  g_queue_clear_full (&out, g_free);
  CU_ASSERT (ss_replay_distance (&held, values) == 0);
  CU_ASSERT (ss_replay_plan (d, &held, values, text, true, false, &out));
  CU_ASSERT (g_queue_is_empty (&out));
  text[LONG_TEXT_BYTES - 1] = 'y';
  CU_ASSERT (ss_replay_plan (d, &held, values, text, true, false, &out));
  CU_ASSERT (g_queue_get_length (&out) == 4);
  CU_ASSERT_STRING_EQUAL (g_queue_peek_head (&out), "RESET");
  g_queue_clear_full (&out, g_free);
  ss_session_state_finish (&held);
  g_free (text);
}

/* A statement that VM "b" asks the owner of the primary to run for a caller. */
static void
deliver_run (LineSim *sim, const char *label, const char *sql,
             const char *shape)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Run run = SS__PEER__RUN__INIT;

  run.request = 77;
  run.session = 1;
  run.target = (char *) sim->servers[0].name;
  run.service = (char *) "strict";
  run.label = (char *) label;
  run.sql.data = (uint8_t *) sql;
  run.sql.len = strlen (sql);
  run.shape = (char *) shape;
  run.keeps = true;
  run.left_ms = 1000;
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &run;
  line_sim_deliver_peer_message (sim, &e);
  line_sim_advance (sim, 500);
}

typedef struct
{
  const char *sql;
  const char *shape;
} RunRow;

/* Guards against UNASKED in a deployment of two versions: an entry VM that
 * makes the name from a shape with spaces, and texts that none may send.
 */
static void
owner_refuses_other_texts (void)
{
  static const RunRow refused[]
      = { { "EXECUTE w_q5 WRITE odxc 1a4 x", "q5 WRITE odxc" },
          { "EXECUTE w_q5 1a4 x", "q6" },
          { "EXECUTE w_q5 1a4 x", "" },
          { "WRITE 1a4 x", "q5" },
          { "WRITE 1a4 x\nQUERY a2 WRITE b y", "" },
          { "SET v 1", "" },
          { "STEPDOWN 9", "" },
          { "WAITFOR 1.1 READ 1a", "" },
          { "", "" } };
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  for (size_t i = 0; i < G_N_ELEMENTS (refused); i++)
    {
      char *label = g_strdup_printf ("c1-%zu", i);

      deliver_run (&sim, label, refused[i].sql, refused[i].shape);
      CU_ASSERT (line_sim_run_count (&sim, label) == 0);
      g_free (label);
    }
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_TEXTS_REFUSED]
             == G_N_ELEMENTS (refused));
  line_sim_finish (&sim);
}

typedef struct
{
  const char *label;
  const char *values[5]; /* up to NULL */
} StateRow;

/* Guards against closed connections: an id or a value that can't be sent. */
static void
owner_refuses_other_ids_and_values (void)
{
  char *text = g_strnfill (SS_LINE_MAX_BYTES, 'x');
  const StateRow rows[] = { { "c1 1", { NULL } },
                            { "c1\n1", { NULL } },
                            { text, { NULL } },
                            { "c1-1", { "v", text, NULL } },
                            { "c1-1", { "v", "1", "v", "2", NULL } },
                            { "c1-1", { "w", "1", "v", "2", NULL } },
                            { "c1-1", { "v", "1", "w", NULL } } };
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Ss__Peer__Run run = SS__PEER__RUN__INIT;

      run.sql.data = (uint8_t *) "READ 1a";
      run.sql.len = strlen ("READ 1a");
      run.label = (char *) rows[i].label;
      run.values = (char **) rows[i].values;
      run.n_values = g_strv_length (run.values);
      CU_ASSERT (!ss_run_is_valid (sim.node.dialect, &run));
    }
  line_sim_finish (&sim);
  g_free (text);
}

/* Guards against log lines without bound: an id may be as long as a message. */
static void
long_ids_are_cut_in_log_lines (void)
{
  char *id = g_strnfill (LONG_TEXT_BYTES, 'x');
  LineSim sim;
  SsAction *a;

  line_sim_init (&sim, 1, 2, 8);
  ss_node_log (&sim.node, SS_EVENT_LOG_TEXT_REFUSED, id, "detail");
  a = g_queue_pop_tail (&sim.node.actions);
  CU_ASSERT (a->kind == SS_ACTION_LOG);
  CU_ASSERT (strlen (a->name) == 256);
  ss_action_clear (a);
  g_free (a);
  line_sim_finish (&sim);
  g_free (id);
}

/* Has the simulation take TEXT for what session 1 sent last. */
static void
note_sent (LineSim *sim, const char *text)
{
  LineSession *s = &sim->sessions[0];

  g_free (s->text);
  s->text = g_strdup (text);
  ss_statement_finish (&s->statement);
  server_reader_read (text, &s->statement);
}

/* The texts that entry VMs of earlier versions send for usual shapes run. */
static void
owner_runs_texts_of_earlier_versions (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  ss_session_state_prepare (&sim.sessions[0].state, "s1", "q5", false);
  note_sent (&sim, "EXECUTE s1 1a4 x");
  deliver_run (&sim, "c1-1", "EXECUTE w_q5 1a4 x", "q5");
  CU_ASSERT (line_sim_run_count (&sim, "c1-1") == 1);
  note_sent (&sim, "WRITE 1a4 x");
  deliver_run (&sim, "c1-2", "WRITE 1a4 x", "");
  CU_ASSERT (line_sim_run_count (&sim, "c1-2") == 1);
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_TEXTS_REFUSED] == 0);
  line_sim_finish (&sim);
}

/* Guards against UNASKED: names are one word each, so that nothing of a shape
 * becomes another field, and two shapes never share one.
 */
static void
names_of_shapes_are_words (void)
{
  static const char *const shapes[]
      = { "q5",   "q5 WRITE odxc", "q5 READ odxc", " q5",      "q5 ",
          "h_q5", "q5\r",          "q5\t",         "q5\n",     "",
          "q5%s", "\xff",          "_q5",          "Q5",       "q-5",
          "r_q5", "wh_q5",         "WRITE",        "q5 WRITE", "q5;" };
  GHashTable *names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < 2 * G_N_ELEMENTS (shapes); i++)
    {
      char *name = ss_replay_name (shapes[i / 2], i % 2 == 0);

      CU_ASSERT (ss_text_is_word (name));
      CU_ASSERT (strlen (name) <= SS_REPLAY_NAME_MAX_BYTES);
      CU_ASSERT (g_hash_table_add (names, name));
    }
  g_hash_table_destroy (names);
}

/* Guards against an upgrade that refuses: VMs of earlier versions use the same
 * name for a shape that is a short word.
 */
static void
names_of_words_are_as_before (void)
{
  char *longest = g_strnfill (SS_REPLAY_NAME_MAX_BYTES - 2, 'q');
  const char *const words[]
      = { "q2c", "q-5", "q.5", "\xc3\xa9", "w_q5", "\xff", longest };

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      char *before = g_strconcat ("w_", words[i], NULL);
      char *name = ss_replay_name (words[i], false);

      CU_ASSERT_STRING_EQUAL (name, before);
      g_free (name);
      g_free (before);
    }
  g_free (longest);
}

CU_TestInfo test_statement_text[] = {
  { "shape with spaces runs as sent", shape_with_spaces_runs_as_sent },
  { "shape with spaces replaces no other",
    shape_with_spaces_replaces_no_other },
  { "shape of several words is served", shape_of_several_words_is_served },
  { "odd texts run as sent", odd_texts_run_as_sent },
  { "refused replay leaves no values", refused_replay_leaves_no_values },
  { "longest texts fit in a message", longest_texts_fit_in_a_message },
  { "state of a session is bounded", state_of_a_session_is_bounded },
  { "bytes of a state are counted", bytes_of_a_state_are_counted },
  { "number of values is bounded", number_of_values_is_bounded },
  { "replaced values need no room", replaced_values_need_no_room },
  { "connections keep no long texts", connections_keep_no_long_texts },
  { "owner refuses other ids and values", owner_refuses_other_ids_and_values },
  { "long ids are cut in log lines", long_ids_are_cut_in_log_lines },
  { "owner refuses other texts", owner_refuses_other_texts },
  { "owner runs texts of earlier versions",
    owner_runs_texts_of_earlier_versions },
  { "names of shapes are words", names_of_shapes_are_words },
  { "names of words are as before", names_of_words_are_as_before },
  CU_TEST_INFO_NULL,
};
