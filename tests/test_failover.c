/* Changes of primary that the platform carries out. */
#include <string.h>

#include "tests/line_world.h"
#include "tests/unit.h"

#define CHANGE_MAX_MS 3000

/* Says TEXT until it is run; returns the time that this took. */
static int64_t
insist (LineWorld *w, uint32_t session, const char *text)
{
  int64_t since_ms = w->now_ms;

  do
    {
      CU_ASSERT (line_world_say (w, session, text));
      line_world_advance (w, 50);
    }
  while (w->sessions[session - 1].verdict != SS_VERDICT_RAN
         && w->now_ms - since_ms < 2 * CHANGE_MAX_MS);
  return w->now_ms - since_ms;
}

static void
crashed_primary_is_replaced (void)
{
  LineWorld w;

  line_world_init (&w, 1, 2, 8);
  CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 500);
  line_world_crash (&w, 0);
  CU_ASSERT (insist (&w, 1, "WRITE 1a y") < CHANGE_MAX_MS);
  CU_ASSERT (w.promotions == 1);
  CU_ASSERT (ss_config_group (&w.node.config, "g")->term == 2);
  CU_ASSERT (w.violations == 0);
  line_world_finish (&w);
}

/* The one that holds most leads; a replica that hears nothing holds less. */
static void
server_with_most_is_chosen (void)
{
  LineWorld w;

  line_world_init (&w, 2, 2, 8);
  w.servers[1].deaf = true;
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 500);
  line_world_crash (&w, 0);
  line_world_advance (&w, CHANGE_MAX_MS);
  CU_ASSERT (w.promoted == &w.servers[2]);
  CU_ASSERT (w.servers[2].received.offset >= 5);
  /* Alone it acknowledges nothing; with the one that hears again it does. */
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a y"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  w.servers[1].deaf = false;
  w.servers[1].term = w.servers[2].term;
  CU_ASSERT (insist (&w, 1, "WRITE 1a z") < CHANGE_MAX_MS);
  line_world_finish (&w);
}

/* A server that joins the group meanwhile changes the others' places in it. */
static void
joining_server_mixes_nothing_up (void)
{
  LineWorld w;

  line_world_init (&w, 7, 2, 8);
  w.servers[1].deaf = true;
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 500);
  line_world_crash (&w, 0);
  for (uint32_t i = 0; i < 2000 && w.servers[2].barred_term == 0; i++)
    line_world_advance (&w, 1);
  line_world_put (&w, "target/t0",
                  "{\"group\":\"g\",\"ip\":\"10.0.1.9\",\"port\":1,"
                  "\"failure_domain\":\"d\",\"slots\":2}");
  line_world_advance (&w, CHANGE_MAX_MS);
  CU_ASSERT (!w.promoted || w.promoted == &w.servers[2]);
  line_world_finish (&w);
}

/* With one server left nobody can tell what a majority acknowledged. */
static void
single_server_is_not_chosen (void)
{
  LineWorld w;

  line_world_init (&w, 3, 2, 8);
  CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 500);
  line_world_crash (&w, 0);
  line_world_crash (&w, 1);
  line_world_advance (&w, CHANGE_MAX_MS);
  CU_ASSERT (w.promotions == 0);
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a y"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  line_world_finish (&w);
}

/* A primary that leaves is replaced before it goes; nothing is lost. */
static void
draining_primary_is_replaced (void)
{
  LineWorld w;

  line_world_init (&w, 4, 2, 8);
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 500);
  line_world_put (&w, "target/t1",
                  "{\"group\":\"g\",\"ip\":\"10.0.1.1\",\"port\":1,"
                  "\"failure_domain\":\"d\",\"slots\":2,\"draining\":true}");
  line_world_advance (&w, CHANGE_MAX_MS);
  CU_ASSERT (w.promotions == 1);
  CU_ASSERT (w.promoted != &w.servers[0]);
  CU_ASSERT (w.promoted && w.promoted->received.offset >= 5);
  CU_ASSERT (insist (&w, 1, "WRITE 1a y") < 500);
  CU_ASSERT (w.violations == 0);
  line_world_finish (&w);
}

/* A server that leads a later term than the object says is taken over. */
static void
later_primary_is_adopted (void)
{
  LineWorld w;

  line_world_init (&w, 5, 2, 8);
  w.promoted = &w.servers[1];
  w.promote_ms = w.now_ms;
  w.servers[0].role = SS_SERVER_REPLICA;
  CU_ASSERT (insist (&w, 1, "WRITE 1a x") < 2 * CHANGE_MAX_MS);
  CU_ASSERT (w.promotions == 0);
  CU_ASSERT_STRING_EQUAL (ss_config_group (&w.node.config, "g")->primary, "t2");
  line_world_finish (&w);
}

/* How long a change of primary will take follows from those seen. */
static void
waits_follow_what_was_seen (void)
{
  SsPrediction p = { 0 };

  CU_ASSERT (ss_predict_end_ms (&p, 1000)
             == 1000
                    + SS_PREDICT_INITIAL_FAILOVER_MS * SS_PREDICT_MARGIN_PERCENT
                          / 100);
  ss_predict_learn (&p, 400);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 520);
  ss_predict_learn (&p, 200);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 390);
  ss_predict_learn (&p, 1000);
  CU_ASSERT (ss_predict_end_ms (&p, 0) == 1300);
}

static void
hopeless_wait_is_refused_at_once (void)
{
  LineWorld w;
  int64_t since_ms;

  line_world_init (&w, 6, 2, 8);
  line_world_crash (&w, 0);
  line_world_crash (&w, 1);
  line_world_crash (&w, 2);
  line_world_advance (&w, 2 * CHANGE_MAX_MS);
  since_ms = w.now_ms;
  CU_ASSERT (line_world_say (&w, 1, "WRITE 1a x"));
  CU_ASSERT (w.sessions[0].verdict == SS_VERDICT_NOT_RUN);
  CU_ASSERT (w.now_ms - since_ms <= 50);
  line_world_finish (&w);
}

/* Another vm claimed the group, and is gone; a third one holds a lease and
 * does not answer.  Its lease ended while the claim was waited for, and is not
 * waited for anew.
 */
static void
second_claim_waits_for_no_lease_anew (void)
{
  LineWorld w;
  SsPromotion *p;

  line_world_init (&w, 8, 2, 8);
  line_world_put (&w, "vm/c",
                  "{\"failure_domain\":\"d\",\"ip\":\"10.0.0.3\","
                  "\"leases\":[\"g\"],\"peer_port\":3}");
  line_world_crash (&w, 0);
  line_world_put (&w, "group/g",
                  "{\"term\":2,\"primary\":\"\",\"operation\":\"b-1\"}");
  p = ss_promote_get (&w.node, "g");
  for (uint32_t i = 0; i < 5000 && p->step != SS_PROMOTE_RAISE; i++)
    line_world_advance (&w, 1);
  line_world_advance (&w, SS_LEASE_MS / 2);
  CU_ASSERT (w.promotions == 1);
  CU_ASSERT (w.violations == 0);
  line_world_finish (&w);
}

/* A claim of this vm's own waits for a holder that does not answer. */
static void
first_claim_waits_for_the_lease (void)
{
  LineWorld w;

  line_world_init (&w, 9, 2, 8);
  line_world_put (&w, "vm/c",
                  "{\"failure_domain\":\"d\",\"ip\":\"10.0.0.3\","
                  "\"leases\":[\"g\"],\"peer_port\":3}");
  line_world_crash (&w, 0);
  line_world_advance (&w, SS_LEASE_MS);
  CU_ASSERT (w.promotions == 0);
  line_world_advance (&w, CHANGE_MAX_MS);
  CU_ASSERT (w.promotions == 1);
  CU_ASSERT (w.violations == 0);
  line_world_finish (&w);
}

CU_TestInfo test_failover[] = {
  { "crashed primary is replaced", crashed_primary_is_replaced },
  { "server with most is chosen", server_with_most_is_chosen },
  { "joining server mixes nothing up", joining_server_mixes_nothing_up },
  { "single server is not chosen", single_server_is_not_chosen },
  { "draining primary is replaced", draining_primary_is_replaced },
  { "later primary is adopted", later_primary_is_adopted },
  { "waits follow what was seen", waits_follow_what_was_seen },
  { "second claim waits for no lease anew",
    second_claim_waits_for_no_lease_anew },
  { "first claim waits for the lease", first_claim_waits_for_the_lease },
  { "hopeless wait is refused at once", hopeless_wait_is_refused_at_once },
  CU_TEST_INFO_NULL,
};
