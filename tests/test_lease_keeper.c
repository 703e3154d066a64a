/* Renewal of leases through a keeper, and pauses between failing attempts. */
#include <string.h>

#include "core/lease_keeper.h"
#include "core/settling.h"
#include "tests/unit.h"

static char *groups[] = { (char *) "g1", (char *) "g2" };

/* A list proves nothing for an ask that arrived after it was requested. */
static void
list_answers_earlier_asks_only (void)
{
  SsLeaseKeeper keeper;
  SsLeaseAsk *ask;

  ss_lease_keeper_init (&keeper);
  ss_lease_keeper_add (&keeper, "a", 1, groups, 2, 1000);
  ss_lease_keeper_add (&keeper, "b", 2, groups, 1, 1050);
  ask = ss_lease_keeper_take (&keeper, 1040);
  CU_ASSERT (ask != NULL);
  if (ask)
    {
      CU_ASSERT (strcmp (ask->vm, "a") == 0 && ask->nonce == 1);
      CU_ASSERT (g_strv_length (ask->groups) == 2);
      ss_lease_ask_free (ask);
    }
  CU_ASSERT (ss_lease_keeper_take (&keeper, 1040) == NULL);
  ss_lease_keeper_finish (&keeper);
}

/* Hundreds of owners ask all the time: lists keep their distance. */
static void
many_asks_share_few_lists (void)
{
  SsLeaseKeeper keeper;
  uint32_t lists = 0;

  ss_lease_keeper_init (&keeper);
  for (int64_t now_ms = 10000; now_ms < 20000; now_ms += 10)
    {
      ss_lease_keeper_add (&keeper, "a", 1, groups, 2, now_ms);
      if (!ss_lease_keeper_is_due (&keeper, now_ms))
        continue;
      lists++;
      keeper.listed_ms = now_ms;
      for (SsLeaseAsk *ask; (ask = ss_lease_keeper_take (&keeper, now_ms));)
        ss_lease_ask_free (ask);
    }
  CU_ASSERT (lists > 0 && lists <= 10000 / 300 + 1);
  ss_lease_keeper_finish (&keeper);
}

/* Without an answer the VM lists by itself well before a lease of 1800 ms ends,
 * counted from its last ask.
 */
static void
silent_keeper_is_replaced_in_time (void)
{
  SsRenewal renewal = { 0 };
  int64_t now_ms = 10000;

  CU_ASSERT (ss_renewal_step (&renewal, true, true, now_ms) == SS_RENEWAL_ASK);
  ss_renewal_done (&renewal, now_ms + 400);
  while (ss_renewal_step (&renewal, true, true, now_ms) == SS_RENEWAL_WAIT)
    now_ms++;
  while (ss_renewal_step (&renewal, true, true, now_ms) == SS_RENEWAL_WAIT)
    now_ms++;
  CU_ASSERT (now_ms - 10000 < 1500);
}

/* A lease that has ended does not wait for a batch, nor a VM for a keeper that
 * there is not.
 */
static void
missing_lease_is_listed_at_once (void)
{
  SsRenewal renewal = { 0 };

  CU_ASSERT (ss_renewal_step (&renewal, true, false, 1) == SS_RENEWAL_LIST);
  renewal = (SsRenewal){ 0 };
  CU_ASSERT (ss_renewal_step (&renewal, false, true, 1) == SS_RENEWAL_LIST);
}

static void
pauses_grow_up_to_a_limit (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  SsBackoff backoff = { 0 };
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < 100; i++)
    {
      int64_t pause_ms = ss_backoff_next (&backoff, rand, 50, 800);

      CU_ASSERT (pause_ms >= 25 && pause_ms <= 800);
      CU_ASSERT (i != 0 || pause_ms <= 50);
      longest_ms = MAX (longest_ms, pause_ms);
    }
  CU_ASSERT (longest_ms > 400);
  ss_backoff_reset (&backoff);
  CU_ASSERT (ss_backoff_next (&backoff, rand, 50, 800) <= 50);
  g_rand_free (rand);
}

/* All VMs of a large deployment start: none knows the others yet. */
static void
vm_settles_once_it_hears_half_of_its_peers (void)
{
  SsSettlingView view = { .uptime_ms = 100 };

  CU_ASSERT (!ss_settling_is_over (&view));
  view.others = 99;
  view.listed = true;
  view.others_live = 49;
  CU_ASSERT (!ss_settling_is_over (&view));
  view.others_live = 50;
  CU_ASSERT (ss_settling_is_over (&view));
  /* The others are dead. */
  view.others_live = 0;
  view.known_ms = 1000;
  CU_ASSERT (ss_settling_is_over (&view));
  /* A few may all take roles. */
  view = (SsSettlingView){ .uptime_ms = 10, .listed = true, .others = 5 };
  CU_ASSERT (ss_settling_is_over (&view));
  /* Not all of them are listed yet. */
  view.listed = false;
  CU_ASSERT (!ss_settling_is_over (&view));
  /* It is the only one. */
  view = (SsSettlingView){ .uptime_ms = 2000 };
  CU_ASSERT (ss_settling_is_over (&view));
}

CU_TestInfo test_lease_keeper[] = {
  { "list answers earlier asks only", list_answers_earlier_asks_only },
  { "many asks share few lists", many_asks_share_few_lists },
  { "silent keeper is replaced in time", silent_keeper_is_replaced_in_time },
  { "missing lease is listed at once", missing_lease_is_listed_at_once },
  { "pauses grow up to a limit", pauses_grow_up_to_a_limit },
  { "vm settles once it hears half of its peers",
    vm_settles_once_it_hears_half_of_its_peers },
  CU_TEST_INFO_NULL,
};
