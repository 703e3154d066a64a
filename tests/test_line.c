/* The core with the line dialect: sessions multiplexed on shared connections.
 */
#include <string.h>

#include "core/identity.h"
#include "tests/line_expect.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define INTERLEAVINGS 1000

/* Settings and prepared statements of a session are never visible to another.
 */
static void
interleaved_sessions_stay_isolated (void)
{
  LineHistories histories = { .histories = INTERLEAVINGS, .statements = 25 };

  line_expect_histories (&histories);
}

/* The first statement of a transaction has run even if its answer is lost.  It
 * is not repeated, and the transaction fails.
 */
static void
first_statement_is_not_repeated (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 2, "BEGIN READ"));
  sim.lose_next = true;
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.sessions[1].status == 'E');
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 2)) == 1);
  CU_ASSERT (line_sim_execute (&sim, 2, "ROLLBACK"));
  CU_ASSERT (sim.sessions[1].status == 'I');
  line_expect_no_violations (&sim, 1);
  line_sim_finish (&sim);
}

/* A read outside a transaction whose answer is lost is retried. */
static void
read_with_lost_answer_is_retried (void)
{
  LineSim sim;

  line_sim_init (&sim, 2, 2, 8);
  sim.lose_next = true;
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 2)) == 2);
  line_sim_finish (&sim);
}

/* A write whose answer is lost is never retried. */
static void
write_with_lost_answer_is_in_doubt (void)
{
  LineSim sim;

  line_sim_init (&sim, 3, 2, 8);
  sim.lose_next = true;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 1)) == 1);
  line_sim_finish (&sim);
}

/* A COMMIT with a lost answer is in doubt only if the transaction wrote; after
 * reads alone it has no effect.
 */
static void
read_only_commit_is_never_in_doubt (void)
{
  LineSim sim;

  line_sim_init (&sim, 4, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  sim.lose_next = true;
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  sim.lose_next = true;
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  line_sim_finish (&sim);
}

/* A read transaction that runs at the primary may write.  Its COMMIT raises the
 * session's floor like any other, so the next read sees the write.
 */
static void
write_in_read_transaction_is_seen (void)
{
  LineSim sim;

  line_sim_init (&sim, 10, 2, 8);
  sim.servers[1].lag_ms = 100000;
  sim.servers[2].lag_ms = 100000;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (line_sim_execute (&sim, 2, "WRITE 1a x"));
  /* Its floor leaves only the primary. */
  CU_ASSERT (line_sim_execute (&sim, 2, "BEGIN READ"));
  CU_ASSERT (line_sim_execute (&sim, 2, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_execute (&sim, 2, "COMMIT"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_RAN);
  for (uint32_t i = 1; i < LINE_SERVERS; i++)
    {
      sim.servers[i].applied = sim.servers[i].received;
      sim.servers[i].applied.offset--;
    }
  line_sim_advance (&sim, 1000);
  for (uint32_t i = 0; i < 8; i++)
    CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  line_expect_no_violations (&sim, 10);
  line_sim_finish (&sim);
}

/* A statement in a transaction that the target refuses as busy is retried on
 * the same connection.  No other connection stays pinned to the session.
 */
static void
busy_statement_is_retried_on_its_connection (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  for (uint32_t i = 0; i < 4; i++)
    {
      CU_ASSERT (line_sim_execute (&sim, 2, "BEGIN READ"));
      sim.fault_next = SS_TARGET_FAULT_BUSY;
      CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
      CU_ASSERT (line_sim_execute (&sim, 2, "READ 2b"));
      CU_ASSERT (line_sim_execute (&sim, 2, "COMMIT"));
      CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_RAN);
    }
  line_expect_no_violations (&sim, 5);
  line_sim_finish (&sim);
}

/* A statement in a transaction that is refused after all retries leaves no
 * connection pinned to its session.
 */
static void
refused_transaction_is_rolled_back (void)
{
  LineSim sim;

  line_sim_init (&sim, 6, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 2, "BEGIN READ"));
  sim.busy_permille = 1000;
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_NOT_RUN);
  sim.busy_permille = 0;
  CU_ASSERT (line_sim_execute (&sim, 2, "ROLLBACK"));
  CU_ASSERT (line_sim_execute (&sim, 2, "BEGIN READ"));
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 2b"));
  CU_ASSERT (line_sim_execute (&sim, 2, "COMMIT"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_RAN);
  line_expect_no_violations (&sim, 6);
  line_sim_finish (&sim);
}

/* A former primary may have entries of an earlier term at higher offsets than
 * the floor.  It gets no read that needs the later term.
 */
static void
server_of_earlier_term_gets_no_read (void)
{
  LineSim sim;

  line_sim_init (&sim, 7, LINE_SESSIONS_MAX, 40);
  /* t1 continued alone up to 1.113; t2 leads term 2 and t3 follows it. */
  sim.servers[0].role = SS_SERVER_REPLICA;
  sim.servers[0].received = (SsPosition){ 1, 113 };
  sim.servers[0].applied = sim.servers[0].received;
  for (uint32_t i = 1; i < LINE_SERVERS; i++)
    {
      sim.servers[i].term = 2;
      sim.servers[i].received = (SsPosition){ 2, 85 };
      sim.servers[i].applied = sim.servers[i].received;
      sim.servers[i].barred_term = 0;
    }
  sim.servers[1].role = SS_SERVER_PRIMARY;
  line_sim_put (&sim, "group/g",
                "{\"term\":2,\"primary\":\"t2\",\"operation\":\"x\"}");
  line_sim_advance (&sim, 3000);
  for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
    sim.sessions[i - 1].committed = (SsPosition){ 2, 85 };
  /* Enough concurrent reads for every target to be considered. */
  for (uint32_t round = 0; round < 10; round++)
    {
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        line_sim_send (&sim, i, "READ 1a");
      line_sim_advance (&sim, 700);
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        CU_ASSERT (!sim.sessions[i - 1].awaiting_reply);
    }
  CU_ASSERT (sim.served >= 10 * LINE_SESSIONS_MAX / 2 * 9 / 10);
  line_expect_no_violations (&sim, 7);
  line_sim_finish (&sim);
}

/* While the lease is valid, reads of the primary send no status request. */
static void
lease_avoids_status_requests (void)
{
  LineSim sim;
  uint32_t before;

  line_sim_init (&sim, 8, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  before = sim.primary_status_requests;
  for (uint32_t i = 0; i < 20; i++)
    {
      CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
      CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
    }
  CU_ASSERT (sim.primary_status_requests == before);
  line_sim_finish (&sim);
}

/* Without the platform the lease expires.  A majority of the servers then
 * confirms the primary for each strict read.  Servers that are barred from its
 * term confirm nothing.
 */
static void
expired_lease_needs_a_majority (void)
{
  LineSim sim;
  uint32_t before;

  line_sim_init (&sim, 9, 2, 8);
  sim.platform_down = true;
  line_sim_advance (&sim, SS_LEASE_MS + 500);
  before = sim.status_requests;
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  CU_ASSERT (sim.status_requests >= before + 2);
  sim.servers[1].barred_term = 2;
  sim.servers[2].barred_term = 2;
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 1)) == 0);
  line_sim_finish (&sim);
}

static void
receive_heartbeat (LineSim *sim, bool platform_up)
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
  line_sim_deliver_peer_message (sim, &e);
}

static void
receive_lease_reply (LineSim *sim, int64_t version)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__LeaseReply reply = SS__PEER__LEASE_REPLY__INIT;
  Ss__Peer__GroupVersion group = SS__PEER__GROUP_VERSION__INIT;
  Ss__Peer__GroupVersion *groups = &group;

  group.group = (char *) "g";
  group.version = version;
  reply.nonce = sim->lease_nonce;
  reply.groups = &groups;
  reply.n_groups = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_LEASE_REPLY;
  e.lease_reply = &reply;
  line_sim_deliver_peer_message (sim, &e);
}

/* Sends a read of session 1, delivers heartbeats of VM "b", which the platform
 * answers, for 1.2 s and returns the verdict of the read.
 */
static SsVerdict
read_during_heartbeats (LineSim *sim)
{
  line_sim_send (sim, 1, "READ 1a");
  for (uint32_t i = 0; i < 12; i++)
    {
      receive_heartbeat (sim, true);
      line_sim_advance (sim, 100);
    }
  CU_ASSERT (!sim->sessions[0].awaiting_reply);
  return sim->sessions[0].verdict;
}

/* If the platform answers a peer but not this VM, the peer is asked to confirm
 * the lease.  A majority of the servers does not suffice then, as a promotion
 * may have happened on the other side of a network partition.
 */
static void
peer_confirms_the_lease (void)
{
  LineSim sim;
  int64_t version;

  line_sim_init (&sim, 12, 2, 8);
  version = ss_config_group (&sim.node.config, "g")->version;
  sim.platform_down = true;
  for (uint32_t i = 0; i < 12; i++)
    {
      receive_heartbeat (&sim, true);
      line_sim_advance (&sim, 250);
    }
  CU_ASSERT (sim.lease_nonce != 0);
  CU_ASSERT (read_during_heartbeats (&sim) == SS_VERDICT_NOT_RUN);
  /* A reply for an earlier version does not suffice either. */
  receive_lease_reply (&sim, version - 1);
  CU_ASSERT (read_during_heartbeats (&sim) == SS_VERDICT_NOT_RUN);
  line_sim_advance (&sim, 250);
  receive_heartbeat (&sim, true);
  receive_lease_reply (&sim, version);
  CU_ASSERT (read_during_heartbeats (&sim) == SS_VERDICT_RAN);
  line_sim_finish (&sim);
}

/* A commit that is not replicated to a majority is not acknowledged. */
static void
unreplicated_commit_is_in_doubt (void)
{
  LineSim sim;

  line_sim_init (&sim, 10, 2, 8);
  sim.servers[1].replication_stopped = true;
  sim.servers[2].replication_stopped = true;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  /* Further writes are refused before they are sent. */
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a y"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_NO_MAJORITY);
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 1)) == 0);
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a z"));
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  /* Writes resume once a replica receives entries again. */
  sim.servers[1].replication_stopped = false;
  line_sim_advance (&sim, 500);
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  line_sim_finish (&sim);
}

/* Callers that connect while the VM starts are served once it is ready. */
static void
callers_wait_for_startup (void)
{
  LineSim sim;
  SsEvent open = { .kind = SS_EVENT_CALLER_OPEN };

  line_sim_init (&sim, 13, 2, 8);
  sim.node.ready = false;
  g_tree_remove_all (sim.node.config.services);
  open.caller_open.caller = 1;
  open.caller_open.service = "strict";
  open.caller_open.user = "";
  sim.sessions[0].awaiting_reply = true;
  ss_node_on_event (&sim.node, &open, sim.now_ms);
  line_sim_advance (&sim, 300);
  CU_ASSERT (sim.sessions[0].awaiting_reply);
  line_sim_put (&sim, "routes/main",
                "{\"services\":{\"strict\":{\"group\":\"g\","
                "\"default_kind\":\"strict\"}},"
                "\"groups\":{\"g\":{\"max_connections\":8}}}");
  line_sim_advance (&sim, 100);
  CU_ASSERT (!sim.sessions[0].awaiting_reply);
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  /* A caller whose wait exceeds its deadline is refused. */
  sim.node.ready = false;
  g_tree_remove_all (sim.node.config.services);
  sim.sessions[1].awaiting_reply = true;
  open.caller_open.caller = 2;
  ss_node_on_event (&sim.node, &open, sim.now_ms);
  line_sim_advance (&sim, 1500);
  CU_ASSERT (!sim.sessions[1].awaiting_reply);
  CU_ASSERT (sim.sessions[1].reason == SS_REASON_NO_CONFIG);
  line_sim_finish (&sim);
}

/* The entry refuses invalid statements, and those that the session's state does
 * not allow, without a target.
 */
static void
entry_refuses_invalid_statements (void)
{
  LineSim sim;

  line_sim_init (&sim, 11, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_BAD_STATEMENT);
  CU_ASSERT (line_sim_execute (&sim, 1, "EXECUTE nothing 1a"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_UNPREPARED);
  CU_ASSERT (line_sim_execute (&sim, 1, "DEALLOC nothing"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_UNPREPARED);
  CU_ASSERT (line_sim_execute (&sim, 1, "DANCE"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_BAD_STATEMENT);
  CU_ASSERT (sim.sessions[0].status == 'I');
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (sim.sessions[0].status == 'E');
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_TRANSACTION_FAILED);
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_TRANSACTION_LOST);
  CU_ASSERT (sim.sessions[0].status == 'I');
  line_sim_finish (&sim);
}

static void
receive_run (LineSim *sim, uint64_t request, uint64_t transaction,
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
  line_sim_deliver_peer_message (sim, &e);
}

/* Returns how many connections have an open transaction that wrote.  Sets *OPEN
 * to the number of all connections with an open transaction.
 */
static uint32_t
count_transactions_with_writes (LineSim *sim, uint32_t *open)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t wrote = 0;

  *open = 0;
  g_hash_table_iter_init (&iter, sim->connections);
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
  LineSim sim;
  uint32_t open;

  line_sim_init (&sim, 31, 1, 8);
  receive_run (&sim, 100, 0, "READ 1a");
  receive_run (&sim, 200, 0, "READ 1a");
  line_sim_advance (&sim, 100);
  CU_ASSERT (count_transactions_with_writes (&sim, &open) == 0);
  CU_ASSERT (open == 2);
  receive_run (&sim, 201, 200, "WRITE 1a x");
  line_sim_advance (&sim, 100);
  receive_run (&sim, 101, 100, "WRITE 1b y");
  line_sim_advance (&sim, 100);
  CU_ASSERT (count_transactions_with_writes (&sim, &open) == 2);
  line_sim_finish (&sim);
}

/* A statement outside a transaction shows that the session's previous
 * transaction is lost; the owner ends it.
 */
static void
lost_transaction_ends_with_next_statement (void)
{
  LineSim sim;
  uint32_t open;

  line_sim_init (&sim, 32, 1, 8);
  receive_run (&sim, 100, 0, "WRITE 1a x");
  line_sim_advance (&sim, 100);
  receive_run (&sim, 200, 0, "READ 1a");
  line_sim_advance (&sim, 100);
  CU_ASSERT (count_transactions_with_writes (&sim, &open) == 0);
  CU_ASSERT (open == 1);
  line_sim_finish (&sim);
}

/* Guards against lost operations: a transaction that was lost between two
 * statements, as the VM that ran it died, was told as failed by the caller's
 * own statement, which promises nothing; a caller may only repeat what it is
 * told was not kept.
 */
static void
loss_between_statements_is_told (void)
{
  LineSim sim;
  LineSession *s = &sim.sessions[0];

  line_sim_init (&sim, 5, 2, 8);
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  ss_pending_vm_lost (&sim.node, sim.node.params.vm);
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (s->verdict == SS_VERDICT_NOT_RUN && s->status == 'E');
  CU_ASSERT (s->reason == SS_REASON_TRANSACTION_LOST);
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (s->reason == SS_REASON_TRANSACTION_FAILED && s->status == 'E');
  CU_ASSERT (line_sim_execute (&sim, 1, "ROLLBACK"));
  CU_ASSERT (s->verdict == SS_VERDICT_RAN && s->status == 'I');
  line_expect_no_violations (&sim, 5);
  line_sim_finish (&sim);
}

/* A target's own error does not tell whether the statement has run. */
static void
target_error_may_have_run (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  sim.fault_next = SS_TARGET_FAULT_STATEMENT;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_TARGET_ERROR);
  line_sim_finish (&sim);
}

/* A target that does not know the prepared statement has not run it, so that a
 * write may be retried.
 */
static void
unprepared_write_is_retried (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  sim.fault_next = SS_TARGET_FAULT_UNPREPARED;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_run_count (&sim, line_sim_last_label (&sim, 1)) == 1);
  line_expect_no_violations (&sim, 5);
  line_sim_finish (&sim);
}

/* An unsolicited position answers no request: a strict read that asked for none
 * must not take it for the answer to its own.
 */
static void
unsolicited_position_answers_no_request (void)
{
  SsConfirmedPositions *confirmed;
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  confirmed = ss_confirmed_get (&sim.node, "other");
  ss_confirmed_handle_unsolicited (&sim.node, "other", (SsPosition){ 1, 5 },
                                   sim.now_ms);
  CU_ASSERT (confirmed->latest.known);
  CU_ASSERT (confirmed->latest.seq == 0);
  line_sim_finish (&sim);
}

/* A VM that was frozen, or whose link lost packets, gets a state report long
 * after it was sent.  The position in it must not look younger by that time.
 */
static void
delayed_report_makes_no_position_younger (void)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusReport report = SS__PEER__STATUS_REPORT__INIT;
  Ss__Peer__ServerState state = SS__PEER__SERVER_STATE__INIT;
  Ss__Peer__Position mark = SS__PEER__POSITION__INIT;
  SsConfirmedPositions *confirmed;
  SsConfirmedPosition found;
  int64_t sent_ms;
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  confirmed = ss_confirmed_get (&sim.node, "g");
  sent_ms = sim.now_ms;
  line_sim_advance (&sim, 3000);
  mark.term = 1;
  mark.offset = 1;
  report.target = "t1";
  report.state = &state;
  report.mark = &mark;
  report.mark_age_ms = 5;
  report.mark_at_ms = sent_ms - 5;
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_REPORT;
  e.status_report = &report;
  line_sim_deliver_peer_message (&sim, &e);
  CU_ASSERT (!ss_confirmed_since (confirmed, sim.now_ms - 1500, &found));
  /* A VM of an earlier version does not know the receiver's clock. */
  report.mark_at_ms = 0;
  line_sim_deliver_peer_message (&sim, &e);
  CU_ASSERT (!ss_confirmed_since (confirmed, sim.now_ms - 1500, &found));
  line_sim_finish (&sim);
}

/* Fills the queues of all servers, as far as admission control can tell. */
static void
overload_servers (LineSim *sim)
{
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    {
      SsOwnedTarget *owned = ss_owner_find (&sim->node, sim->servers[i].name);

      owned->queue.running[SS_QUEUE_READ] = 10;
      owned->queue.mean_run_ms = 100000;
    }
}

/* A strict read can run at the primary only: if that is overloaded, an
 * immediate retry would return to the same queue.
 */
static void
overloaded_primary_gets_no_immediate_retry (void)
{
  LineSim sim;
  uint64_t retries;

  line_sim_init (&sim, 5, 2, 8);
  overload_servers (&sim);
  retries = sim.node.counters.values[SS_COUNTER_RETRIES];
  CU_ASSERT (line_sim_execute (&sim, 1, "READ 1a"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_OVERLOAD);
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_RETRIES] == retries);
  line_sim_finish (&sim);
}

/* A read that every server refused as overloaded is told so, with the time when
 * the last one has room; no replica is said to lag.
 */
static void
read_of_overloaded_group_is_told_so (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  overload_servers (&sim);
  CU_ASSERT (line_sim_execute (&sim, 2, "READ 1a"));
  CU_ASSERT (sim.sessions[1].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.sessions[1].reason == SS_REASON_OVERLOAD);
  line_sim_finish (&sim);
}

/* Replicas that were shown a later term answer each question for a position at
 * once, without having it.  The owner must not ask again in the same moment:
 * where it owns the replicas too, it would never do anything else.
 */
static void
raised_replicas_are_asked_with_pauses (void)
{
  LineSim sim;

  line_sim_init (&sim, 5, 2, 8);
  sim.servers[1].barred_term = 2;
  sim.servers[2].barred_term = 2;
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  CU_ASSERT (sim.status_requests < 100);
  line_sim_finish (&sim);
}

/* --- a deployment with organisations --- */

/* Configures the organisations NAMES, each with its name as key. */
static void
put_organisations (LineSim *sim, const char *const *names)
{
  GString *json = g_string_new (NULL);

  g_string_append (
      json,
      "{\"services\":{\"strict\":{\"group\":\"g\",\"default_kind\":"
      "\"strict\",\"timeout_ms\":1000,\"latency_goal_ms\":250},"
      "\"bounded\":{\"group\":\"g\",\"default_kind\":\"b\",\"timeout_ms\":"
      "1000,\"kinds\":{\"b\":{\"staleness_ms\":2000}}}},"
      "\"groups\":{\"g\":{\"max_connections\":8}},\"organisations\":{");
  for (uint32_t i = 0; names[i]; i++)
    {
      char digest[SS_KEY_DIGEST_BYTES];

      ss_identity_digest (names[i], digest);
      g_string_append_printf (json, "%s\"%s\":{\"key_digests\":[\"%s\"]}",
                              i ? "," : "", names[i], digest);
    }
  g_string_append (json, "}}");
  line_sim_put (sim, "routes/main", json->str);
  line_sim_advance (sim, 100);
  g_string_free (json, TRUE);
}

static void
set_key (LineSim *sim, uint64_t session, const char *key)
{
  SsSession *s = g_hash_table_lookup (sim->node.sessions, &session);

  ss_identity_digest (key, s->key_digest);
}

static const SsOrganisationStat *
stat_of (const LineSim *sim, const char *organisation)
{
  return g_hash_table_lookup (sim->node.organisation_stats.table, organisation);
}

/* A transaction is one operation however many statements it has, and a
 * statement served after its goal is late.
 */
static void
operations_are_counted_by_organisation (void)
{
  static const char *const names[] = { "a", "b", NULL };
  LineSim sim;
  const SsOrganisationStat *s;

  line_sim_init (&sim, 3, 4, 8);
  CU_ASSERT (g_hash_table_size (sim.node.organisation_stats.table) == 0);
  put_organisations (&sim, names);
  set_key (&sim, 1, "a");
  set_key (&sim, 3, "b");
  CU_ASSERT (line_sim_execute (&sim, 1, "BEGIN"));
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1b x"));
  CU_ASSERT (line_sim_execute (&sim, 1, "COMMIT"));
  CU_ASSERT (line_sim_execute (&sim, 3, "WRITE 3a x"));
  s = stat_of (&sim, "a");
  CU_ASSERT (s && s->operations == 1 && s->in_time == 3 && s->late == 0);
  s = stat_of (&sim, "b");
  CU_ASSERT (s && s->operations == 1 && s->in_time == 1);
  CU_ASSERT (ss_organisation_stats_worst_tenth (&sim.node.organisation_stats)
             == 1);
  line_sim_finish (&sim);
}

/* Failure: an organisation disappears from the configuration while a statement
 * of it is queued.  That one was accepted with a valid key and is served; the
 * next one is refused.
 */
static void
queued_statement_of_removed_organisation_is_served (void)
{
  static const char *const before[] = { "a", "b", NULL };
  static const char *const after[] = { "b", NULL };
  LineSim sim;
  const SsOrganisationStat *s;
  SsOwnedTarget *owned;

  line_sim_init (&sim, 3, 4, 8);
  put_organisations (&sim, before);
  set_key (&sim, 1, "a");
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  owned = ss_owner_find (&sim.node, sim.servers[0].name);
  owned->queue.running[SS_QUEUE_WRITE] += 3;
  line_sim_send (&sim, 1, "WRITE 1b x");
  line_sim_advance (&sim, 20);
  CU_ASSERT (ss_queue_length (&owned->queue) == 1);
  put_organisations (&sim, after);
  CU_ASSERT (ss_queue_length (&owned->queue) == 1);
  owned->queue.running[SS_QUEUE_WRITE] -= 3;
  line_sim_advance (&sim, 200);
  CU_ASSERT (ss_queue_length (&owned->queue) == 0);
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_RAN);
  s = stat_of (&sim, "a");
  CU_ASSERT (s && s->waited_ms >= 100);
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1c x"));
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.sessions[0].reason == SS_REASON_UNKNOWN_KEY);
  CU_ASSERT (ss_fair_share_active (&owned->queue.fair_share) == 0);
  line_sim_finish (&sim);
}

/* Load pattern: one organisation has filled the queue of the primary.  Guards
 * against the refusal of another one's statement because of that queue.
 */
static void
organisation_that_is_ahead_is_refused_first (void)
{
  static const char *const names[] = { "a", "b", NULL };
  LineSim sim;
  SsOwnedTarget *owned;
  const SsOrganisationStat *s;

  line_sim_init (&sim, 3, 16, 8);
  put_organisations (&sim, names);
  for (uint32_t i = 1; i <= 16; i += 2)
    set_key (&sim, i, i == 15 ? "b" : "a");
  CU_ASSERT (line_sim_execute (&sim, 1, "WRITE 1a x"));
  owned = ss_owner_find (&sim.node, sim.servers[0].name);
  owned->queue.running[SS_QUEUE_WRITE] += 3;
  ss_queue_sample_run (&owned->queue, "strict", 600);
  for (uint32_t i = 1; i <= 13; i += 2)
    line_sim_send (&sim, i, "WRITE 1b x");
  line_sim_advance (&sim, 100);
  CU_ASSERT (sim.sessions[10].awaiting_reply || sim.sessions[8].awaiting_reply);
  line_sim_send (&sim, 15, "WRITE 1c x");
  line_sim_advance (&sim, 10);
  CU_ASSERT (sim.sessions[14].awaiting_reply);
  CU_ASSERT (sim.sessions[12].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (sim.sessions[12].reason == SS_REASON_OVERLOAD);
  s = stat_of (&sim, "a");
  CU_ASSERT (s && s->refusals[SS_REASON_OVERLOAD] > 0);
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_DISPLACED] > 0);
  owned->queue.running[SS_QUEUE_WRITE] -= 3;
  line_sim_advance (&sim, 1000);
  CU_ASSERT (sim.sessions[14].verdict == SS_VERDICT_RAN);
  line_sim_finish (&sim);
}

/* Has a VM that started with SEED ask a peer for its lease, and returns the
 * number of that ask.
 */
static uint64_t
first_lease_ask (uint32_t seed)
{
  LineSim sim;
  uint64_t nonce;

  line_sim_init (&sim, seed, 2, 8);
  sim.platform_down = true;
  for (uint32_t i = 0; i < 12 && !sim.lease_nonce; i++)
    {
      receive_heartbeat (&sim, true);
      line_sim_advance (&sim, 250);
    }
  nonce = sim.lease_nonce;
  line_sim_finish (&sim);
  return nonce;
}

/* Guards against STALE: a reply to an ask of a VM's life before, whose asks
 * were numbered from 1 as well, counted as the reply to one that was sent
 * later.
 */
static void
asks_of_two_lives_differ (void)
{
  CU_ASSERT (first_lease_ask (1) != 0);
  CU_ASSERT (first_lease_ask (1) != first_lease_ask (2));
}

CU_TestInfo test_line[] = {
  { "asks of two lives differ", asks_of_two_lives_differ },
  { "interleaved sessions stay isolated", interleaved_sessions_stay_isolated },
  { "first statement is not repeated", first_statement_is_not_repeated },
  { "read with lost answer is retried", read_with_lost_answer_is_retried },
  { "write with lost answer is in doubt", write_with_lost_answer_is_in_doubt },
  { "read-only commit is never in doubt", read_only_commit_is_never_in_doubt },
  { "write in a read transaction is seen", write_in_read_transaction_is_seen },
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
  { "loss between statements is told", loss_between_statements_is_told },
  { "target error may have run", target_error_may_have_run },
  { "unprepared write is retried", unprepared_write_is_retried },
  { "delayed report makes no position younger",
    delayed_report_makes_no_position_younger },
  { "unsolicited position answers no request",
    unsolicited_position_answers_no_request },
  { "overloaded primary gets no immediate retry",
    overloaded_primary_gets_no_immediate_retry },
  { "read of overloaded group is told so",
    read_of_overloaded_group_is_told_so },
  { "raised replicas are asked with pauses",
    raised_replicas_are_asked_with_pauses },
  { "operations are counted by organisation",
    operations_are_counted_by_organisation },
  { "queued statement of removed organisation is served",
    queued_statement_of_removed_organisation_is_served },
  { "organisation that is ahead is refused first",
    organisation_that_is_ahead_is_refused_first },
  CU_TEST_INFO_NULL,
};
