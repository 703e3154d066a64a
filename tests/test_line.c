/* The core with the line dialect: sessions on shared connections. */
#include <string.h>

#include "tests/line_world.h"
#include "tests/unit.h"

#define INTERLEAVINGS 1000

static void
expect_sound (const LineWorld *w, uint32_t seed)
{
  if (w->violations)
    g_printerr ("seed %u: %u violations, first %s\n", seed, w->violations,
                w->first_violation);
  CU_ASSERT (w->violations == 0);
}

/* Values and shapes of one session are never seen by another. */
static void
interleavings_keep_sessions_apart (void)
{
  uint32_t served = 0;
  uint32_t all = 0;

  for (uint32_t seed = 1; seed <= INTERLEAVINGS; seed++)
    {
      LineWorld w;

      line_world_init (&w, seed, 6, 8);
      w.busy_permille = seed % 3 == 0 ? 40 : 0;
      w.lost_permille = seed % 4 == 0 ? 30 : 0;
      line_world_mingle (&w, 25);
      expect_sound (&w, seed);
      served += w.served;
      all += w.served + w.not_run + w.in_doubt;
      line_world_finish (&w);
    }
  CU_ASSERT (all == INTERLEAVINGS * 6 * 25);
  /* Most faults cost one statement, or the rest of a transaction. */
  CU_ASSERT (served * 10 >= all * 8);
}

/* A first statement whose answer is lost has run: the transaction is over. */
static void
first_statement_runs_once (void)
{
  LineWorld w;

  line_world_init (&w, 1, 2, 8);
  CU_ASSERT (line_world_say (&w, 2, "BEGIN READ"));
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
  CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (w.sessions[1].status == 'E');
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 2)) == 1);
  CU_ASSERT (line_world_say (&w, 2, "ROLLBACK"));
  CU_ASSERT (w.sessions[1].status == 'I');
  expect_sound (&w, 1);
  line_world_finish (&w);
}

/* A single read whose answer is lost is tried again. */
static void
lost_read_is_repeated (void)
{
  LineWorld w;

  line_world_init (&w, 2, 2, 8);
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
  CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 2)) == 2);
  line_world_finish (&w);
}

/* A write whose answer is lost is never sent again. */
static void
lost_write_is_in_doubt (void)
{
  LineWorld w;

  line_world_init (&w, 3, 2, 8);
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 1)) == 1);
  line_world_finish (&w);
}

/* A COMMIT of a transaction that only read keeps nothing. */
static void
lost_commit_of_reads_keeps_nothing (void)
{
  LineWorld w;

  line_world_init (&w, 4, 2, 8);
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  line_world_finish (&w);
}

/* A target without room inside a transaction is asked again on the same
 * connection, and leaves none behind that is pinned to the session.
 */
static void
busy_transaction_keeps_its_connection (void)
{
  LineWorld w;

  line_world_init (&w, 5, 2, 8);
  for (uint32_t i = 0; i < 4; i++)
    {
      CU_ASSERT (line_world_say (&w, 2, "BEGIN READ"));
      w.busy_next = true;
      CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
      CU_ASSERT (line_world_say (&w, 2, "READ 2b"));
      CU_ASSERT (line_world_say (&w, 2, "COMMIT"));
      CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_RAN);
    }
  expect_sound (&w, 5);
  line_world_finish (&w);
}

/* Refused for good inside its transaction, a statement leaves no connection
 * pinned to its session.
 */
static void
refused_transaction_is_rolled_back (void)
{
  LineWorld w;

  line_world_init (&w, 6, 2, 8);
  CU_ASSERT (line_world_say (&w, 2, "BEGIN READ"));
  w.busy_permille = 1000;
  CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
  CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_NOT_RUN);
  w.busy_permille = 0;
  CU_ASSERT (line_world_say (&w, 2, "ROLLBACK"));
  CU_ASSERT (line_world_say (&w, 2, "BEGIN READ"));
  CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
  CU_ASSERT (line_world_say (&w, 2, "READ 2b"));
  CU_ASSERT (line_world_say (&w, 2, "COMMIT"));
  CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_RAN);
  expect_sound (&w, 6);
  line_world_finish (&w);
}

/* An old primary may hold more entries than the floor counts, of an earlier
 * term: it gets no read that needs the later one.
 */
static void
earlier_term_gets_no_read (void)
{
  LineWorld w;

  line_world_init (&w, 7, LINE_SESSIONS_MAX, 40);
  /* t1 went on alone to 1.113; t2 leads term 2 and t3 follows it. */
  w.servers[0].role = SS_SERVER_REPLICA;
  w.servers[0].received = (SsPosition){ 1, 113 };
  w.servers[0].applied = w.servers[0].received;
  for (uint32_t i = 1; i < LINE_SERVERS; i++)
    {
      w.servers[i].term = 2;
      w.servers[i].received = (SsPosition){ 2, 85 };
      w.servers[i].applied = w.servers[i].received;
      w.servers[i].barred_term = 0;
    }
  w.servers[1].role = SS_SERVER_PRIMARY;
  line_world_put (&w, "group/g",
                  "{\"term\":2,\"primary\":\"t2\",\"operation\":\"x\"}");
  line_world_advance (&w, 3000);
  for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
    w.sessions[i - 1].committed = (SsPosition){ 2, 85 };
  /* Enough at once for every target to be worth a try. */
  for (uint32_t round = 0; round < 10; round++)
    {
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        line_world_start (&w, i, "READ 1a");
      line_world_advance (&w, 700);
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        CU_ASSERT (!w.sessions[i - 1].waits);
    }
  CU_ASSERT (w.served >= 10 * LINE_SESSIONS_MAX / 2 * 9 / 10);
  expect_sound (&w, 7);
  line_world_finish (&w);
}

/* While the lease holds, reads of the primary ask no target for its state. */
static void
lease_spares_status_asks (void)
{
  LineWorld w;
  uint32_t before;

  line_world_init (&w, 8, 2, 8);
  CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
  before = w.primary_asks;
  for (uint32_t i = 0; i < 20; i++)
    {
      CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
      CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_RAN);
    }
  CU_ASSERT (w.primary_asks == before);
  line_world_finish (&w);
}

/* Without the platform the lease ends: each strict read is confirmed by a
 * majority of the servers, and a barred majority confirms none.
 */
static void
expired_lease_asks_the_servers (void)
{
  LineWorld w;
  uint32_t before;

  line_world_init (&w, 9, 2, 8);
  w.platform_down = true;
  line_world_advance (&w, SS_LEASE_MS + 500);
  before = w.status_asks;
  CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_RAN);
  CU_ASSERT (w.status_asks >= before + 2);
  w.servers[1].barred_term = 2;
  w.servers[2].barred_term = 2;
  CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 1)) == 0);
  line_world_finish (&w);
}

static void
beat_of_peer (LineWorld *w, bool platform_up)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat beat = SS__PEER__HEARTBEAT__INIT;

  beat.vm = (char *) "b";
  beat.failure_domain = (char *) "e";
  beat.ip = (char *) "10.0.0.2";
  beat.peer_port = 1;
  beat.platform_up = platform_up;
  beat.ready = true;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &beat;
  line_world_peer (w, &e);
}

static void
reply_of_peer (LineWorld *w, int64_t version)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__LeaseReply reply = SS__PEER__LEASE_REPLY__INIT;
  Ss__Peer__GroupVersion group = SS__PEER__GROUP_VERSION__INIT;
  Ss__Peer__GroupVersion *list = &group;

  group.group = (char *) "g";
  group.version = version;
  reply.nonce = w->lease_nonce;
  reply.groups = &list;
  reply.n_groups = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_LEASE_REPLY;
  e.lease_reply = &reply;
  line_world_peer (w, &e);
}

/* Session 1 reads while vm "b" goes on saying that it has the platform. */
static SsVerdict
read_beside_peer (LineWorld *w)
{
  line_world_start (w, 1, "READ 1a");
  for (uint32_t i = 0; i < 12; i++)
    {
      beat_of_peer (w, true);
      line_world_advance (w, 100);
    }
  CU_ASSERT (!w->sessions[0].waits);
  return w->sessions[0].verdict;
}

/* Where another vm has the platform, that one is asked, and the servers alone
 * confirm nothing: a primary may have been changed behind a cut.
 */
static void
peer_confirms_the_lease (void)
{
  LineWorld w;
  int64_t version;

  line_world_init (&w, 12, 2, 8);
  version = ss_config_group (&w.node.config, "g")->version;
  w.platform_down = true;
  for (uint32_t i = 0; i < 12; i++)
    {
      beat_of_peer (&w, true);
      line_world_advance (&w, 250);
    }
  CU_ASSERT (w.lease_nonce != 0);
  CU_ASSERT (read_beside_peer (&w) == SS_VERDICT_NOT_RUN);
  /* An answer about an earlier version confirms nothing either. */
  reply_of_peer (&w, version - 1);
  CU_ASSERT (read_beside_peer (&w) == SS_VERDICT_NOT_RUN);
  line_world_advance (&w, 250);
  beat_of_peer (&w, true);
  reply_of_peer (&w, version);
  CU_ASSERT (read_beside_peer (&w) == SS_VERDICT_RAN);
  line_world_finish (&w);
}

/* A commit that no other server holds is not acknowledged. */
static void
unheld_commit_is_in_doubt (void)
{
  LineWorld w;

  line_world_init (&w, 10, 2, 8);
  w.servers[1].deaf = true;
  w.servers[2].deaf = true;
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  /* The next ones are refused before they are sent. */
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a y"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_NO_MAJORITY);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 1)) == 0);
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a z"));
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  /* Once one hears again, writes go on by themselves. */
  w.servers[1].deaf = false;
  line_world_advance (&w, 500);
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_RAN);
  line_world_finish (&w);
}

/* Callers that come while the vm starts are served once it is ready. */
static void
callers_wait_for_the_start (void)
{
  LineWorld w;
  SsEvent open = { .kind = SS_EVENT_CALLER_OPEN };

  line_world_init (&w, 13, 2, 8);
  w.node.ready = false;
  g_tree_remove_all (w.node.config.services);
  open.caller_open.caller = 1;
  open.caller_open.service = "strict";
  open.caller_open.user = "";
  w.sessions[0].waits = true;
  ss_node_on_event (&w.node, &open, w.now_ms);
  line_world_advance (&w, 300);
  CU_ASSERT (w.sessions[0].waits);
  line_world_put (&w, "routes/main",
                  "{\"services\":{\"strict\":{\"group\":\"g\","
                  "\"default_kind\":\"strict\"}},"
                  "\"groups\":{\"g\":{\"max_connections\":8}}}");
  line_world_advance (&w, 100);
  CU_ASSERT (!w.sessions[0].waits);
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_RAN);
  /* One that waits for too long is refused. */
  w.node.ready = false;
  g_tree_remove_all (w.node.config.services);
  w.sessions[1].waits = true;
  open.caller_open.caller = 2;
  ss_node_on_event (&w.node, &open, w.now_ms);
  line_world_advance (&w, 1500);
  CU_ASSERT (!w.sessions[1].waits);
  CU_ASSERT (w.sessions[1].reason == SS_REASON_NO_CONFIG);
  line_world_finish (&w);
}

/* What is about the session alone, and what can't be. */
static void
sessions_are_kept_at_the_entry (void)
{
  LineWorld w;

  line_world_init (&w, 11, 2, 8);
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_BAD_STATEMENT);
  CU_ASSERT (line_world_say (&w, 1, "EXECUTE nothing 1a"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_UNPREPARED);
  CU_ASSERT (line_world_say (&w, 1, "DEALLOC nothing"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_UNPREPARED);
  CU_ASSERT (line_world_say (&w, 1, "DANCE"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_BAD_STATEMENT);
  CU_ASSERT (w.sessions[0].status == 'I');
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (w.sessions[0].status == 'E');
  CU_ASSERT (line_world_say (&w, 1, "READ 1a"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_TRANSACTION_FAILED);
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_TRANSACTION_LOST);
  CU_ASSERT (w.sessions[0].status == 'I');
  line_world_finish (&w);
}

static void
run_of_peer (LineWorld *w, uint64_t request, uint64_t transaction,
             const char *text)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Run run = SS__PEER__RUN__INIT;
  Ss__Peer__Position floor = SS__PEER__POSITION__INIT;

  run.request = request;
  run.session = 5;
  run.target = (char *) "t1";
  run.service = (char *) "strict";
  run.sql.data = (uint8_t *) text;
  run.sql.len = strlen (text);
  run.keeps = true;
  run.pinned = transaction != 0;
  run.begins = !run.pinned;
  run.transaction = transaction;
  run.floor = &floor;
  run.left_ms = 1000;
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &run;
  line_world_peer (w, &e);
}

/* Of the connections with an open transaction, how many wrote in it. */
static uint32_t
count_wrote (LineWorld *w, uint32_t *open)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t wrote = 0;

  *open = 0;
  g_hash_table_iter_init (&iter, w->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LineConnection *c = value;

      *open += c->status == 'T' ? 1 : 0;
      wrote += c->status == 'T' && c->wrote ? 1 : 0;
    }
  return wrote;
}

/* A session's entry took its first transaction for lost, or the entry is a
 * new life of its vm: the second one is not mixed up with the first.
 */
static void
second_transaction_keeps_to_its_own (void)
{
  LineWorld w;
  uint32_t open;

  line_world_init (&w, 31, 1, 8);
  run_of_peer (&w, 100, 0, "READ 1a");
  run_of_peer (&w, 200, 0, "READ 1a");
  line_world_advance (&w, 100);
  CU_ASSERT (count_wrote (&w, &open) == 0);
  CU_ASSERT (open == 2);
  run_of_peer (&w, 201, 200, "WRITE 1a x");
  line_world_advance (&w, 100);
  run_of_peer (&w, 101, 100, "WRITE 1b y");
  line_world_advance (&w, 100);
  CU_ASSERT (count_wrote (&w, &open) == 2);
  line_world_finish (&w);
}

/* A statement outside of a transaction tells that the one before it is lost. */
static void
lost_transaction_ends_with_the_next_statement (void)
{
  LineWorld w;
  uint32_t open;

  line_world_init (&w, 32, 1, 8);
  run_of_peer (&w, 100, 0, "WRITE 1a x");
  line_world_advance (&w, 100);
  run_of_peer (&w, 200, 0, "READ 1a");
  line_world_advance (&w, 100);
  CU_ASSERT (count_wrote (&w, &open) == 0);
  CU_ASSERT (open == 1);
  line_world_finish (&w);
}

CU_TestInfo test_line[] = {
  { "interleavings keep sessions apart", interleavings_keep_sessions_apart },
  { "first statement runs once", first_statement_runs_once },
  { "lost read is repeated", lost_read_is_repeated },
  { "lost write is in doubt", lost_write_is_in_doubt },
  { "lost commit of reads keeps nothing", lost_commit_of_reads_keeps_nothing },
  { "busy transaction keeps its connection",
    busy_transaction_keeps_its_connection },
  { "refused transaction is rolled back", refused_transaction_is_rolled_back },
  { "earlier term gets no read", earlier_term_gets_no_read },
  { "lease spares status asks", lease_spares_status_asks },
  { "expired lease asks the servers", expired_lease_asks_the_servers },
  { "peer confirms the lease", peer_confirms_the_lease },
  { "unheld commit is in doubt", unheld_commit_is_in_doubt },
  { "callers wait for the start", callers_wait_for_the_start },
  { "sessions are kept at the entry", sessions_are_kept_at_the_entry },
  { "second transaction keeps to its own",
    second_transaction_keeps_to_its_own },
  { "lost transaction ends with the next statement",
    lost_transaction_ends_with_the_next_statement },
  CU_TEST_INFO_NULL,
};
