/* What the log tells of statements that were let through before a later term
 * was known.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>

#include "core/reliance.h"
#include "tests/unit.h"

static void
change_of_basis_or_term_is_told (void)
{
  SsReliance r = { 0 };

  CU_ASSERT (ss_reliance_note (&r, "a", SS_RELIANCE_LEASE, 3, 10, 20));
  CU_ASSERT (!ss_reliance_note (&r, "b", SS_RELIANCE_LEASE, 3, 10, 30));
  CU_ASSERT (ss_reliance_note (&r, "c", SS_RELIANCE_SERVERS, 3, 40, 40));
  CU_ASSERT (ss_reliance_note (&r, "d", SS_RELIANCE_SERVERS, 4, 50, 50));
}

static void
latest_statements_are_taken_once (void)
{
  SsReliance r = { 0 };
  SsReliedStatement found;
  uint32_t count = 0;

  for (uint32_t i = 0; i < 2 * SS_RELIANCE_STATEMENTS; i++)
    {
      char label[16];

      snprintf (label, sizeof label, "c%u", i);
      ss_reliance_note (&r, label, SS_RELIANCE_LEASE, 3, 1, 100 + i);
    }
  CU_ASSERT (ss_reliance_take (&r, 4, 0, &found));
  CU_ASSERT_STRING_EQUAL (found.label, "c16");
  CU_ASSERT (found.at_ms == 116 && found.confirmed_ms == 1);
  while (ss_reliance_take (&r, 4, 0, &found))
    count++;
  CU_ASSERT (count == SS_RELIANCE_STATEMENTS - 1);
}

static void
other_terms_and_old_ones_are_passed_over (void)
{
  SsReliance r = { 0 };
  SsReliedStatement found;

  ss_reliance_note (&r, "old", SS_RELIANCE_LEASE, 3, 1, 10);
  ss_reliance_note (&r, NULL, SS_RELIANCE_LEASE, 3, 1, 20);
  ss_reliance_note (&r, "later", SS_RELIANCE_LEASE, 4, 1, 30);
  CU_ASSERT (ss_reliance_take (&r, 4, 15, &found));
  CU_ASSERT_STRING_EQUAL (found.label, "-");
  CU_ASSERT (!ss_reliance_take (&r, 4, 15, &found));
}

CU_TestInfo test_reliance[] = {
  { "change of basis or term is told", change_of_basis_or_term_is_told },
  { "latest statements are taken once", latest_statements_are_taken_once },
  { "other terms and old ones are passed over",
    other_terms_and_old_ones_are_passed_over },
  CU_TEST_INFO_NULL,
};
