/* The core with the line dialect: sessions multiplexed on shared connections.
 */
#include <string.h>

#include "tests/line_world.h"
#include "tests/unit.h"

#define INTERLEAVINGS 1000

static void
expect_no_violations (const LineWorld *w, uint32_t seed)
{
  if (w->violations)
    g_printerr ("seed %u: %u violations, first %s\n", seed, w->violations,
                w->first_violation);
  CU_ASSERT (w->violations == 0);
}

/* Variables and prepared statements of a session are never visible to another.
 */
static void
interleaved_sessions_stay_isolated (void)
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
      expect_no_violations (&w, seed);
      served += w.served;
      all += w.served + w.not_run + w.in_doubt;
      line_world_finish (&w);
    }
  CU_ASSERT (all == INTERLEAVINGS * 6 * 25);
  /* Most faults fail one statement, or the rest of a transaction. */
  CU_ASSERT (served * 10 >= all * 8);
}

/* The first statement of a transaction has run even if its answer is lost.  It
 * is not repeated, and the transaction fails.
 */
static void
first_statement_is_not_repeated (void)
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
  expect_no_violations (&w, 1);
  line_world_finish (&w);
}

/* A read outside a transaction whose answer is lost is retried. */
static void
read_with_lost_answer_is_retried (void)
{
  LineWorld w;

  line_world_init (&w, 2, 2, 8);
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 2, "READ 1a"));
  CU_ASSERT (w.sessions[1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 2)) == 2);
  line_world_finish (&w);
}

/* A write whose answer is lost is never retried. */
static void
write_with_lost_answer_is_in_doubt (void)
{
  LineWorld w;

  line_world_init (&w, 3, 2, 8);
  w.lose_next = true;
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 1)) == 1);
  line_world_finish (&w);
}

/* A COMMIT with a lost answer is in doubt only if the transaction wrote; after
 * reads alone it has no effect.
 */
static void
read_only_commit_is_never_in_doubt (void)
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

/* A statement in a transaction that the target refuses as busy is retried on
 * the same connection.  No other connection stays pinned to the session.
 */
static void
busy_statement_is_retried_on_its_connection (void)
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
  expect_no_violations (&w, 5);
  line_world_finish (&w);
}

/* A statement in a transaction that is finally refused leaves no connection
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
  expect_no_violations (&w, 6);
  line_world_finish (&w);
}

/* A former primary may have entries of an earlier term at higher offsets than
 * the floor.  It gets no read that needs the later term.
 */
static void
server_of_earlier_term_gets_no_read (void)
{
  LineWorld w;

  line_world_init (&w, 7, LINE_SESSIONS_MAX, 40);
  /* t1 continued alone up to 1.113; t2 leads term 2 and t3 follows it. */
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
  /* Enough concurrent reads for every target to be considered. */
  for (uint32_t round = 0; round < 10; round++)
    {
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        line_world_start (&w, i, "READ 1a");
      line_world_advance (&w, 700);
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        CU_ASSERT (!w.sessions[i - 1].waits);
    }
  CU_ASSERT (w.served >= 10 * LINE_SESSIONS_MAX / 2 * 9 / 10);
  expect_no_violations (&w, 7);
  line_world_finish (&w);
}

/* While the lease is valid, reads of the primary send no status request. */
static void
lease_avoids_status_requests (void)
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

/* Without the platform the lease expires.  A majority of the servers then
 * confirms the primary for each strict read.  Servers that are barred from its
 * term confirm nothing.
 */
static void
expired_lease_needs_a_majority (void)
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
receive_heartbeat (LineWorld *w, bool platform_up)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat heartbeat = SS__PEER__HEARTBEAT__INIT;

  heartbeat.vm = (char *) "b";
  heartbeat.failure_domain = (char *) "e";
  heartbeat.ip = (char *) "10.0.0.2";
  heartbeat.peer_port = 1;
  heartbeat.platform_up = platform_up;
  heartbeat.ready = true;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &heartbeat;
  line_world_peer (w, &e);
}

static void
receive_lease_reply (LineWorld *w, int64_t version)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__LeaseReply reply = SS__PEER__LEASE_REPLY__INIT;
  Ss__Peer__GroupVersion group = SS__PEER__GROUP_VERSION__INIT;
  Ss__Peer__GroupVersion *groups = &group;

  group.group = (char *) "g";
  group.version = version;
  reply.nonce = w->lease_nonce;
  reply.groups = &groups;
  reply.n_groups = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_LEASE_REPLY;
  e.lease_reply = &reply;
  line_world_peer (w, &e);
}

/* Session 1 reads while heartbeats of VM "b" say that the platform answers it.
 */
static SsVerdict
read_during_heartbeats (LineWorld *w)
{
  line_world_start (w, 1, "READ 1a");
  for (uint32_t i = 0; i < 12; i++)
    {
      receive_heartbeat (w, true);
      line_world_advance (w, 100);
    }
  CU_ASSERT (!w->sessions[0].waits);
  return w->sessions[0].verdict;
}

/* Where the platform answers another VM, that VM is asked.  The servers alone
 * confirm nothing then: beyond a network partition, a promotion may have taken
 * place.
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
      receive_heartbeat (&w, true);
      line_world_advance (&w, 250);
    }
  CU_ASSERT (w.lease_nonce != 0);
  CU_ASSERT (read_during_heartbeats (&w) == SS_VERDICT_NOT_RUN);
  /* A reply for an earlier version confirms nothing either. */
  receive_lease_reply (&w, version - 1);
  CU_ASSERT (read_during_heartbeats (&w) == SS_VERDICT_NOT_RUN);
  line_world_advance (&w, 250);
  receive_heartbeat (&w, true);
  receive_lease_reply (&w, version);
  CU_ASSERT (read_during_heartbeats (&w) == SS_VERDICT_RAN);
  line_world_finish (&w);
}

/* A commit that is not replicated to a majority is not acknowledged. */
static void
unreplicated_commit_is_in_doubt (void)
{
  LineWorld w;

  line_world_init (&w, 10, 2, 8);
  w.servers[1].deaf = true;
  w.servers[2].deaf = true;
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  /* Further writes are refused before they are sent. */
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a y"));
  CU_ASSERT (w.sessions[0].reason == SS_REASON_NO_MAJORITY);
  CU_ASSERT (line_world_ran (&w, line_world_last_label (&w, 1)) == 0);
  CU_ASSERT (line_world_say (&w, 1, "BEGIN"));
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a z"));
  CU_ASSERT (line_world_say (&w, 1, "COMMIT"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  /* Writes resume once a replica receives entries again. */
  w.servers[1].deaf = false;
  line_world_advance (&w, 500);
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_RAN);
  line_world_finish (&w);
}

/* Callers that connect while the VM starts are served once it is ready. */
static void
callers_wait_for_startup (void)
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
  /* A caller whose wait exceeds its deadline is refused. */
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

/* The entry refuses invalid statements, and those that the session's state does
 * not allow, without a target.
 */
static void
entry_refuses_invalid_statements (void)
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
receive_run (LineWorld *w, uint64_t request, uint64_t transaction,
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

/* Returns how many connections have an open transaction that wrote.  Sets *OPEN
 * to the number of all connections with an open transaction.
 */
static uint32_t
count_transactions_with_writes (LineWorld *w, uint32_t *open)
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

/* The entry of a session may begin a second transaction because it considers
 * the first one lost, or because it is a new incarnation of its VM.  Statements
 * of one transaction never run in the other.
 */
static void
transactions_of_a_session_stay_separate (void)
{
  LineWorld w;
  uint32_t open;

  line_world_init (&w, 31, 1, 8);
  receive_run (&w, 100, 0, "READ 1a");
  receive_run (&w, 200, 0, "READ 1a");
  line_world_advance (&w, 100);
  CU_ASSERT (count_transactions_with_writes (&w, &open) == 0);
  CU_ASSERT (open == 2);
  receive_run (&w, 201, 200, "WRITE 1a x");
  line_world_advance (&w, 100);
  receive_run (&w, 101, 100, "WRITE 1b y");
  line_world_advance (&w, 100);
  CU_ASSERT (count_transactions_with_writes (&w, &open) == 2);
  line_world_finish (&w);
}

/* A statement outside a transaction shows that the session's previous
 * transaction is lost; the owner ends it.
 */
static void
lost_transaction_ends_with_next_statement (void)
{
  LineWorld w;
  uint32_t open;

  line_world_init (&w, 32, 1, 8);
  receive_run (&w, 100, 0, "WRITE 1a x");
  line_world_advance (&w, 100);
  receive_run (&w, 200, 0, "READ 1a");
  line_world_advance (&w, 100);
  CU_ASSERT (count_transactions_with_writes (&w, &open) == 0);
  CU_ASSERT (open == 1);
  line_world_finish (&w);
}

CU_TestInfo test_line[] = {
  { "interleaved sessions stay isolated", interleaved_sessions_stay_isolated },
  { "first statement is not repeated", first_statement_is_not_repeated },
  { "read with lost answer is retried", read_with_lost_answer_is_retried },
  { "write with lost answer is in doubt", write_with_lost_answer_is_in_doubt },
  { "read-only commit is never in doubt", read_only_commit_is_never_in_doubt },
  { "busy statement is retried on its connection",
    busy_statement_is_retried_on_its_connection },
  { "refused transaction is rolled back", refused_transaction_is_rolled_back },
  { "server of earlier term gets no read",
    server_of_earlier_term_gets_no_read },
  { "lease avoids status requests", lease_avoids_status_requests },
  { "expired lease needs a majority", expired_lease_needs_a_majority },
  { "peer confirms the lease", peer_confirms_the_lease },
  { "unreplicated commit is in doubt", unreplicated_commit_is_in_doubt },
  { "callers wait for startup", callers_wait_for_startup },
  { "entry refuses invalid statements", entry_refuses_invalid_statements },
  { "transactions of a session stay separate",
    transactions_of_a_session_stay_separate },
  { "lost transaction ends with next statement",
    lost_transaction_ends_with_next_statement },
  CU_TEST_INFO_NULL,
};
