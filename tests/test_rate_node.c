/* Rate limits through the node: waits, refusals, refunds, and the messages that
 * nodes exchange.
 */
#include <stdio.h>
#include <string.h>

#include "core/identity.h"
#include "core/rank.h"
#include "core/rate_limit.h"
#include "tests/fleet_sim.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define VMS 14
#define GROUPS 2
#define SESSIONS 4 /* of a service at a VM */
#define LARGE_VMS 87

static LineSim line;
static FleetSim fleet;

/* Returns the member "organisations" with one organisation, whose key is "k".
 * Free with g_free.
 */
static char *
organisation_json (const char *name, uint32_t rate_per_s, uint32_t burst)
{
  char digest[SS_KEY_DIGEST_BYTES];

  ss_identity_digest ("k", digest);
  return g_strdup_printf ("{\"%s\":{\"key_digests\":[\"%s\"],"
                          "\"rate_per_s\":%u,\"burst\":%u}}",
                          name, digest, rate_per_s, burst);
}

/* --- one node, with or without a coordinator --- */

static void
put_limit (const char *name, uint32_t rate_per_s, uint32_t burst)
{
  char *organisations = organisation_json (name, rate_per_s, burst);
  char *routes = g_strdup_printf (
      "{\"services\":{"
      "\"strict\":{\"group\":\"g\",\"default_kind\":\"strict\","
      "\"timeout_ms\":1000},"
      "\"bounded\":{\"group\":\"g\",\"default_kind\":\"b\",\"timeout_ms\":"
      "1000,\"kinds\":{\"b\":{\"staleness_ms\":2000}}}},"
      "\"groups\":{\"g\":{\"max_connections\":20}},\"organisations\":%s}",
      organisations);

  line_sim_put (&line, "routes/main", routes);
  g_free (routes);
  g_free (organisations);
  line_sim_advance (&line, 3000);
  for (uint32_t i = 1; i <= line.session_count; i++)
    {
      line_sim_reopen (&line, i, "k");
      line.sessions[i - 1].organisation = name;
    }
}

static uint64_t
counter (SsCounterId id)
{
  return line.node.counters.values[id];
}

/* The limit counts operations that reach a server: no more, and no less. */
static void
node_refuses_beyond_limit_at_once (void)
{
  int64_t before_ms;
  const LineSession *s = &line.sessions[0];

  line_sim_init (&line, 1, 2, 20);
  put_limit ("o", 1, 3);
  line_sim_advance (&line, 5000);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
      CU_ASSERT (s->verdict == SS_VERDICT_RAN);
    }
  before_ms = line.now_ms;
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (line.now_ms == before_ms);
  CU_ASSERT (s->verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (s->reason == SS_REASON_RATE_LIMIT);
  CU_ASSERT (s->retry_after_ms > 0 && s->retry_after_ms <= 1001);
  line_sim_advance (&line, s->retry_after_ms);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (s->verdict == SS_VERDICT_RAN);
  CU_ASSERT (counter (SS_COUNTER_RATE_REFUSED) == 1);
  CU_ASSERT (line.violations == 0);
  line_sim_finish (&line);
}

/* A transaction counts once, and statements that no server sees do not count.
 */
static void
transaction_takes_one_token (void)
{
  const LineSession *s = &line.sessions[0];

  line_sim_init (&line, 2, 2, 20);
  put_limit ("o", 1, 2);
  line_sim_advance (&line, 5000);
  CU_ASSERT (line_sim_execute (&line, 1, "SET v1 1"));
  CU_ASSERT (line_sim_execute (&line, 1, "BEGIN"));
  for (uint32_t i = 0; i < 6; i++)
    {
      CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
      CU_ASSERT (s->verdict == SS_VERDICT_RAN);
    }
  CU_ASSERT (line_sim_execute (&line, 1, "COMMIT"));
  CU_ASSERT (s->verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (s->verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_execute (&line, 2, "READ 1a"));
  CU_ASSERT (line.sessions[1].reason == SS_REASON_RATE_LIMIT);
  line_sim_finish (&line);
}

/* No server is left.  Operations that are refused for that, as not run, return
 * their tokens: the second is not refused by the limit of one.
 */
static void
token_of_operation_not_run_is_returned (void)
{
  const LineSession *s = &line.sessions[1];

  line_sim_init (&line, 3, 2, 20);
  put_limit ("o", 1, 1);
  line_sim_advance (&line, 5000);
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    line_sim_crash (&line, i);
  line_sim_advance (&line, 3000);
  for (uint32_t i = 1; i <= 4; i++)
    {
      CU_ASSERT (line_sim_execute (&line, 2, "READ 1a"));
      CU_ASSERT (s->verdict == SS_VERDICT_NOT_RUN);
      CU_ASSERT (s->reason != SS_REASON_RATE_LIMIT);
      CU_ASSERT (counter (SS_COUNTER_RATE_REFUNDS) == i);
    }
  line_sim_finish (&line);
}

/* A replica that is behind has not run the read: the next attempt needs no
 * other token.
 */
static void
retry_of_attempt_not_run_keeps_its_token (void)
{
  const LineSession *s = &line.sessions[0];

  line_sim_init (&line, 3, 2, 20);
  put_limit ("o", 1, 2);
  line_sim_advance (&line, 5000);
  line.fault_next = SS_TARGET_FAULT_BEHIND;
  CU_ASSERT (line_sim_execute (&line, 2, "READ 1a"));
  CU_ASSERT (line.sessions[1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (s->verdict == SS_VERDICT_RAN);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (s->reason == SS_REASON_RATE_LIMIT);
  line_sim_finish (&line);
}

/* The connection breaks after a read was sent, so it may have run.  It is run
 * again with a second token, or not at all.
 */
static void
retry_after_possible_run_takes_second_token (void)
{
  for (uint32_t burst = 1; burst <= 2; burst++)
    {
      const LineSession *s = &line.sessions[1];

      line_sim_init (&line, 4, 2, 20);
      put_limit ("o", 1, burst);
      line_sim_advance (&line, 5000);
      line.lose_next = true;
      CU_ASSERT (line_sim_execute (&line, 2, "READ 1a"));
      if (burst == 1)
        CU_ASSERT (s->verdict == SS_VERDICT_NOT_RUN
                   && s->reason == SS_REASON_RATE_LIMIT);
      if (burst == 2)
        CU_ASSERT (s->verdict == SS_VERDICT_RAN);
      CU_ASSERT (line_sim_run_count (&line, line_sim_last_label (&line, 2))
                 == burst);
      CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
      CU_ASSERT (line.sessions[0].reason == SS_REASON_RATE_LIMIT);
      line_sim_finish (&line);
    }
}

static void
limit_of_0_refuses_everything (void)
{
  line_sim_init (&line, 5, 2, 20);
  put_limit ("o", 0, 5);
  line_sim_advance (&line, 5000);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (line.sessions[0].reason == SS_REASON_RATE_LIMIT);
  CU_ASSERT (line.sessions[0].retry_after_ms > 0);
  line_sim_finish (&line);
}

/* VM "b" sends a heartbeat. */
static void
send_heartbeat_of_b (void)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat heartbeat = SS__PEER__HEARTBEAT__INIT;

  heartbeat.vm = (char *) "b";
  heartbeat.failure_domain = (char *) "d2";
  heartbeat.ip = (char *) "10.0.0.2";
  heartbeat.peer_port = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &heartbeat;
  line_sim_deliver_peer_message (&line, &e);
}

/* Advances the clock while "b" lives. */
static void
advance_with_b (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += 50)
    {
      send_heartbeat_of_b ();
      line_sim_advance (&line, 50);
    }
}

/* VM "b" answers the last ask. */
static void
send_grant_of_b (const char *organisation, uint32_t tokens, uint32_t next_ms)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__RateGrant grant = SS__PEER__RATE_GRANT__INIT;
  Ss__Peer__RateTokens item = SS__PEER__RATE_TOKENS__INIT;
  Ss__Peer__RateTokens *items[] = { &item };

  item.organisation = (char *) organisation;
  item.tokens = tokens;
  item.next_ms = next_ms;
  grant.slot = line.rate_slot;
  grant.sent_ms = line.rate_sent_ms;
  grant.clock_ms = 777;
  grant.tokens = items;
  grant.n_tokens = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_RATE_GRANT;
  e.rate_grant = &grant;
  line_sim_deliver_peer_message (&line, &e);
}

/* Sets NAME to that of an organisation whose coordinator is "b". */
static void
find_organisation_of_b (char name[16])
{
  GPtrArray *vms = g_ptr_array_new ();
  const char *first[SS_RATE_SLOTS];

  g_ptr_array_add (vms, (char *) "a");
  g_ptr_array_add (vms, (char *) "b");
  ss_rate_limiter_rank (vms, first);
  for (uint32_t i = 0; i < 64; i++)
    {
      uint64_t score;

      g_snprintf (name, 16, "o%u", i);
      score = ss_rank_score (name, "rate_limit");
      if (strcmp (first[score % SS_RATE_SLOTS], "b") == 0)
        break;
    }
  g_ptr_array_free (vms, TRUE);
}

/* An operation of an organisation that the VM has not seen waits for the
 * coordinator, runs with its token, and the next one is refused at once when
 * there is none.
 */
static void
operation_waits_for_coordinator (void)
{
  LineSession *s = &line.sessions[0];
  char name[16];
  uint32_t asks;

  find_organisation_of_b (name);
  line_sim_init (&line, 6, 2, 20);
  advance_with_b (1000);
  put_limit (name, 2, 2);
  advance_with_b (500);
  send_grant_of_b (name, 0, 0);
  advance_with_b (500);
  /* The share is delegated. */
  CU_ASSERT (line.rate_echo_ms == 777);
  send_grant_of_b (name, 0, 0);
  asks = line.rate_asks;
  line_sim_send (&line, 1, "READ 1a");
  CU_ASSERT (line.rate_asks == asks + 1 && line.rate_needed == 1);
  line_sim_advance (&line, 20);
  CU_ASSERT (s->awaiting_reply);
  send_grant_of_b (name, 1, 0);
  line_sim_advance (&line, 100);
  CU_ASSERT (!s->awaiting_reply && s->verdict == SS_VERDICT_RAN);
  line_sim_send (&line, 1, "READ 1a");
  send_grant_of_b (name, 0, 300);
  CU_ASSERT (!s->awaiting_reply && s->reason == SS_REASON_RATE_LIMIT);
  CU_ASSERT (s->retry_after_ms == 300);
  asks = line.rate_asks;
  line_sim_send (&line, 1, "READ 1a");
  CU_ASSERT (!s->awaiting_reply && s->reason == SS_REASON_RATE_LIMIT);
  CU_ASSERT (line.rate_asks == asks);
  CU_ASSERT (counter (SS_COUNTER_RATE_WAITS) == 2);
  line_sim_finish (&line);
}

/* The coordinator never answers: the operation is refused while there is time
 * for the caller to try elsewhere, and later ones use this VM's own share.
 */
static void
silent_coordinator_does_not_hold_operations (void)
{
  LineSession *s = &line.sessions[0];
  char name[16];

  find_organisation_of_b (name);
  line_sim_init (&line, 7, 2, 20);
  advance_with_b (1000);
  put_limit (name, 10, 10);
  advance_with_b (500);
  send_grant_of_b (name, 0, 0);
  advance_with_b (300);
  CU_ASSERT (line.rate_echo_ms == 777);
  line_sim_send (&line, 1, "READ 1a");
  advance_with_b (700);
  CU_ASSERT (s->awaiting_reply);
  advance_with_b (100);
  CU_ASSERT (!s->awaiting_reply && s->reason == SS_REASON_RATE_LIMIT);
  advance_with_b (2000);
  line_sim_send (&line, 1, "READ 1a");
  advance_with_b (100);
  CU_ASSERT (!s->awaiting_reply && s->verdict == SS_VERDICT_RAN);
  line_sim_finish (&line);
}

/* Without limits nothing is asked and nothing waits. */
static void
nothing_happens_without_limits (void)
{
  line_sim_init (&line, 8, 2, 20);
  advance_with_b (3000);
  CU_ASSERT (line_sim_execute (&line, 1, "READ 1a"));
  CU_ASSERT (line.sessions[0].verdict == SS_VERDICT_RAN);
  CU_ASSERT (line.rate_asks == 0);
  line_sim_finish (&line);
}

/* --- many nodes --- */

static void
open_fleet (uint32_t seed, uint32_t vms, uint32_t rate_per_s, uint32_t burst)
{
  char *json = organisation_json ("o", rate_per_s, burst);

  fleet_init (&fleet, seed, vms, GROUPS);
  fleet_set_organisations (&fleet, json);
  g_free (json);
  fleet.key = "k";
  fleet_advance (&fleet, 3000);
  for (uint32_t i = 0; i < SESSIONS; i++)
    fleet_open (&fleet);
  fleet_advance (&fleet, 3000);
}

static void
clear_replies (void)
{
  fleet.ran = 0;
  fleet.rate_limited = 0;
  fleet.failed = 0;
}

/* Sends an operation every EVERY_MS, to the VMs and their sessions in turn. */
static void
send_operations (uint32_t *next, int64_t every_ms, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += every_ms)
    {
      uint32_t vm = *next % fleet.vm_count;

      if (fleet.vms[vm].up)
        fleet_send (&fleet, vm,
                    1 + *next / fleet.vm_count % (SESSIONS * GROUPS), 0,
                    "READ 1a");
      (*next)++;
      fleet_advance (&fleet, every_ms);
    }
}

/* Returns the mean size of the asks that the nodes have sent. */
static double
mean_ask_bytes (void)
{
  uint64_t bytes = 0;
  uint64_t asks = 0;

  for (uint32_t i = 0; i < fleet.vm_count; i++)
    {
      const SsNode *node = &fleet.vms[i].node;

      bytes += node->traffic.bytes[SS_TRAFFIC_RATE_ASK][SS_TRAFFIC_SAME_DOMAIN]
               + node->traffic
                     .bytes[SS_TRAFFIC_RATE_ASK][SS_TRAFFIC_OTHER_DOMAIN];
      asks += node->counters.values[SS_COUNTER_RATE_ASKS];
    }
  return (double) bytes / (double) MAX (asks, 1);
}

/* Real nodes share one limit: all of it is served, and no more. */
static void
nodes_share_one_limit (void)
{
  uint32_t next = 0;

  open_fleet (1, VMS, 50, 50);
  clear_replies ();
  send_operations (&next, 25, 5000);
  fleet_advance (&fleet, 100);
  CU_ASSERT (fleet.ran == 200);
  CU_ASSERT (fleet.rate_limited == 0);
  clear_replies ();
  send_operations (&next, 5, 5000);
  fleet_advance (&fleet, 100);
  CU_ASSERT (fleet.ran <= (50 * 5 + 50) * 1.1 + 20);
  CU_ASSERT (fleet.ran >= 250);
  CU_ASSERT (fleet.failed == 0);
  CU_ASSERT (fleet.ran + fleet.rate_limited == 1000);
  CU_ASSERT (fleet.retry_after_ms > 0);
  CU_ASSERT (mean_ask_bytes () > 0 && mean_ask_bytes () < 60);
  fleet_finish (&fleet);
}

static uint32_t
coordinator_of_fleet (void)
{
  uint32_t slot
      = (uint32_t) (ss_rank_score ("o", "rate_limit") % SS_RATE_SLOTS);

  return (uint32_t) (fleet_find (&fleet,
                                 fleet.vms[0].node.rate_limiter.slots[slot].vm)
                     - fleet.vms);
}

/* The VM that grants the tokens loses power; then all VMs do. */
static void
nodes_serve_again_after_failures (void)
{
  uint32_t next = 0;

  open_fleet (2, VMS, 50, 50);
  send_operations (&next, 50, 1000);
  fleet_stop (&fleet, coordinator_of_fleet ());
  send_operations (&next, 50, 4000);
  clear_replies ();
  send_operations (&next, 50, 3000);
  fleet_advance (&fleet, 1000);
  CU_ASSERT (fleet.rate_limited == 0);
  CU_ASSERT (fleet.ran >= 50);
  for (uint32_t i = 0; i < VMS; i++)
    if (fleet.vms[i].up)
      fleet_stop (&fleet, i);
  fleet_advance (&fleet, 300);
  for (uint32_t i = 0; i < VMS; i++)
    fleet_start (&fleet, i);
  fleet_advance (&fleet, 2500);
  for (uint32_t i = 0; i < SESSIONS; i++)
    fleet_open (&fleet);
  fleet_advance (&fleet, 200);
  clear_replies ();
  send_operations (&next, 50, 4000);
  fleet_advance (&fleet, 1000);
  CU_ASSERT (fleet.ran >= 75);
  CU_ASSERT (fleet.rate_limited == 0);
  fleet_finish (&fleet);
}

/* A new VM with a better rank takes over without a gap. */
static void
joining_node_takes_over_without_gap (void)
{
  uint32_t next = 0;
  uint32_t vm;

  open_fleet (3, VMS, 50, 50);
  vm = coordinator_of_fleet ();
  fleet_stop (&fleet, vm);
  fleet_advance (&fleet, 6000);
  clear_replies ();
  fleet_start (&fleet, vm);
  send_operations (&next, 50, 5000);
  fleet_advance (&fleet, 500);
  CU_ASSERT (coordinator_of_fleet () == vm);
  CU_ASSERT (fleet.rate_limited == 0);
  CU_ASSERT (fleet.ran >= 80);
  fleet_finish (&fleet);
}

/* The directory lists as many VMs as the limiters count, so that each has its
 * share from the start.
 */
static void
nodes_count_all_vms (void)
{
  open_fleet (4, LARGE_VMS, 2, 2);
  for (uint32_t i = 0; i < LARGE_VMS; i++)
    CU_ASSERT (fleet.vms[i].node.rate_limiter.known.current == LARGE_VMS);
  clear_replies ();
  fleet_send (&fleet, 5, 1, 0, "READ 1a");
  fleet_send (&fleet, 60, 1, 0, "READ 1a");
  fleet_advance (&fleet, 100);
  CU_ASSERT (fleet.ran == 2);
  fleet_finish (&fleet);
}

CU_TestInfo test_rate_node[] = {
  { "node refuses beyond limit at once", node_refuses_beyond_limit_at_once },
  { "transaction takes one token", transaction_takes_one_token },
  { "token of operation not run is returned",
    token_of_operation_not_run_is_returned },
  { "retry of attempt not run keeps its token",
    retry_of_attempt_not_run_keeps_its_token },
  { "retry after possible run takes second token",
    retry_after_possible_run_takes_second_token },
  { "limit of 0 refuses everything", limit_of_0_refuses_everything },
  { "operation waits for coordinator", operation_waits_for_coordinator },
  { "silent coordinator does not hold operations",
    silent_coordinator_does_not_hold_operations },
  { "nothing happens without limits", nothing_happens_without_limits },
  { "nodes share one limit", nodes_share_one_limit },
  { "nodes serve again after failures", nodes_serve_again_after_failures },
  { "joining node takes over without gap",
    joining_node_takes_over_without_gap },
  { "nodes count all vms", nodes_count_all_vms },
  CU_TEST_INFO_NULL,
};
