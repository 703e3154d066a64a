#include "core/position.h"
#include "tests/unit.h"

static SsPosition
at (uint64_t term, uint64_t offset)
{
  SsPosition p = { term, offset };

  return p;
}

static void
compares_by_term_then_offset (void)
{
  CU_ASSERT (ss_position_compare (at (1, 9), at (2, 1)) < 0);
  CU_ASSERT (ss_position_compare (at (2, 1), at (2, 2)) < 0);
  CU_ASSERT (ss_position_compare (at (2, 2), at (2, 2)) == 0);
}

static void
covers_needs_term_and_offset (void)
{
  CU_ASSERT (ss_position_covers (at (2, 10), at (1, 10)));
  CU_ASSERT (!ss_position_covers (at (2, 9), at (1, 10)));
  CU_ASSERT (!ss_position_covers (at (1, 99), at (2, 1)));
}

static void
translates_over_a_lost_tail (void)
{
  SsHistory h;
  SsPosition p;

  CU_ASSERT (ss_history_parse ("1:1,3:50,4:60", &h));
  p = ss_position_translate (at (1, 70), &h);
  CU_ASSERT (p.term == 3 && p.offset == 50);
  p = ss_position_translate (at (1, 49), &h);
  CU_ASSERT (p.term == 1 && p.offset == 49);
  p = ss_position_translate (at (4, 70), &h);
  CU_ASSERT (p.term == 4 && p.offset == 70);
}

static void
refuses_malformed_text (void)
{
  SsPosition p;
  SsHistory h;

  CU_ASSERT (ss_position_parse ("3/42", &p) && p.term == 3 && p.offset == 42);
  CU_ASSERT (!ss_position_parse ("", &p));
  CU_ASSERT (!ss_position_parse ("3", &p));
  CU_ASSERT (!ss_position_parse ("3/", &p));
  CU_ASSERT (!ss_position_parse ("-3/4", &p));
  CU_ASSERT (!ss_position_parse ("3/4 ", &p));
  CU_ASSERT (!ss_position_parse ("99999999999999999999/1", &p));
  CU_ASSERT (!ss_history_parse ("1:2,3", &h));
}

static void
keeps_the_latest_terms (void)
{
  SsHistory h;

  CU_ASSERT (ss_history_parse ("1:1,2:2,3:3,4:4,5:5,6:6,7:7,8:8,9:9,10:10,"
                               "11:11,12:12,13:13,14:14,15:15,16:16,17:17",
                               &h));
  CU_ASSERT (h.count == SS_HISTORY_MAX);
  CU_ASSERT (h.starts[0].term == 2);
  CU_ASSERT (h.starts[SS_HISTORY_MAX - 1].term == 17);
}

CU_TestInfo test_position[] = {
  { "compares by term, then offset", compares_by_term_then_offset },
  { "covers needs term and offset", covers_needs_term_and_offset },
  { "translates over a lost tail", translates_over_a_lost_tail },
  { "refuses malformed text", refuses_malformed_text },
  { "keeps the latest terms", keeps_the_latest_terms },
  CU_TEST_INFO_NULL,
};
