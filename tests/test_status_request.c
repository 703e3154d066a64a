/* Requests for a server's state: what the answers rest on. */
#include <CUnit/CUnit.h>

#include "tests/line_sim.h"
#include "tests/unit.h"

#define SESSIONS 12
#define SEEDS 10
#define ROUNDS 10
#define PAUSE_MS 200
#define ANSWER_LIMIT_MS 1000
#define FIRST_BARRED_TERM 5
/* A replica. */
#define SERVER 1

static void
ask_status (LineSim *sim, uint64_t ask)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusAsk m = SS__PEER__STATUS_ASK__INIT;
  Ss__Peer__Position none = SS__PEER__POSITION__INIT;

  m.target = (char *) sim->servers[SERVER].name;
  m.ask = ask;
  m.held = &none;
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_ASK;
  e.status_ask = &m;
  line_sim_deliver_peer_message (sim, &e);
}

/* Sends reads from all sessions that are free. */
static void
send_reads (LineSim *sim)
{
  for (uint32_t i = 1; i <= SESSIONS; i++)
    if (!sim->sessions[i - 1].awaiting_reply)
      line_sim_send (sim, i, "READ 1a");
}

/* Asks for the server's state and returns the term that the answer tells. */
static uint64_t
shown_term (LineSim *sim, uint64_t ask)
{
  uint32_t replies = sim->status_replies;

  ask_status (sim, ask);
  for (uint32_t i = 0; i < ANSWER_LIMIT_MS && sim->status_replies == replies;
       i++)
    line_sim_advance (sim, 1);
  CU_ASSERT (sim->status_replies == replies + 1);
  return sim->replied_shown_term;
}

/* Raises the term of the server unknown to the core, asks for its state while
 * reads run there, and returns the term that the answer tells.
 */
static uint64_t
ask_after_raise (LineSim *sim, uint64_t term)
{
  uint64_t shown;

  send_reads (sim);
  line_sim_advance (sim, PAUSE_MS);
  send_reads (sim);
  sim->servers[SERVER].barred_term = term;
  shown = shown_term (sim, term);
  /* So that the core does not resume it in the next round. */
  sim->servers[SERVER].barred_term = 0;
  shown_term (sim, term);
  return shown;
}

/* Guards against STALE: a request for a server's state was answered from a
 * state that is older than the request, as the answer to a read came while the
 * poll for it was under way.  A majority of such answers confirms a primary
 * that is superseded.
 */
static void
state_is_read_after_the_request (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      LineSim sim;

      line_sim_init (&sim, seed, SESSIONS, 8);
      for (uint64_t i = 0; i < ROUNDS; i++)
        {
          uint64_t term = FIRST_BARRED_TERM + i;

          CU_ASSERT (ask_after_raise (&sim, term) >= term);
        }
      line_sim_finish (&sim);
    }
}

CU_TestInfo test_status_request[] = {
  { "state is read after the request", state_is_read_after_the_request },
  CU_TEST_INFO_NULL,
};
