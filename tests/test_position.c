/* Log positions, and the floors of known writers. */
#include "core/position.h"
#include "core/writers.h"
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
position_in_discarded_tail_is_translated (void)
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
malformed_text_is_refused (void)
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
history_keeps_the_latest_terms (void)
{
  SsHistory h;

  CU_ASSERT (ss_history_parse ("1:1,2:2,3:3,4:4,5:5,6:6,7:7,8:8,9:9,10:10,"
                               "11:11,12:12,13:13,14:14,15:15,16:16,17:17",
                               &h));
  CU_ASSERT (h.count == SS_HISTORY_MAX);
  CU_ASSERT (h.starts[0].term == 2);
  CU_ASSERT (h.starts[SS_HISTORY_MAX - 1].term == 17);
}

static uint64_t
floor_offset (const SsWriters *w, const char *identity, uint64_t primary_offset)
{
  return ss_writers_floor (w, identity, at (1, primary_offset)).offset;
}

static void
floor_of_known_writer_is_its_last_write (void)
{
  SsWriters w;

  ss_writers_init (&w);
  CU_ASSERT (floor_offset (&w, "a", 9) == 9);
  ss_writers_committed (&w, "a", at (1, 10));
  ss_writers_committed (&w, "b", at (1, 11));
  CU_ASSERT (floor_offset (&w, "a", 11) == 10);
  CU_ASSERT (floor_offset (&w, "c", 11) == 9);
  /* The writer of entry 12 is unknown: it may be any caller. */
  ss_writers_committed (&w, "b", at (1, 13));
  CU_ASSERT (floor_offset (&w, "a", 13) == 13);
  ss_writers_committed (&w, "a", at (1, 12));
  CU_ASSERT (floor_offset (&w, "a", 13) == 12);
  CU_ASSERT (floor_offset (&w, "c", 14) == 14);
  ss_writers_finish (&w);
}

static void
gap_or_new_term_discards_writers (void)
{
  SsWriters w;

  ss_writers_init (&w);
  ss_writers_committed (&w, "a", at (1, 10));
  for (uint64_t i = 0; i <= SS_WRITERS_PENDING_MAX; i++)
    ss_writers_committed (&w, "b", at (1, 12 + i));
  CU_ASSERT (floor_offset (&w, "a", 12 + SS_WRITERS_PENDING_MAX)
             == 12 + SS_WRITERS_PENDING_MAX);
  ss_writers_committed (&w, "c", at (3, 500));
  CU_ASSERT (ss_writers_floor (&w, "a", at (3, 500)).offset == 499);
  CU_ASSERT (ss_writers_floor (&w, "a", at (1, 300)).offset == 300);
  ss_writers_finish (&w);
}

CU_TestInfo test_position[] = {
  { "compares by term, then offset", compares_by_term_then_offset },
  { "covers needs term and offset", covers_needs_term_and_offset },
  { "position in discarded tail is translated",
    position_in_discarded_tail_is_translated },
  { "malformed text is refused", malformed_text_is_refused },
  { "history keeps the latest terms", history_keeps_the_latest_terms },
  { "floor of known writer is its last write",
    floor_of_known_writer_is_its_last_write },
  { "gap or new term discards writers", gap_or_new_term_discards_writers },
  CU_TEST_INFO_NULL,
};
