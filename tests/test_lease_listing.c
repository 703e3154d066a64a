/* Which leases a VM may rely on, from the objects and writes it knows of. */
#include <CUnit/CUnit.h>
#include <string.h>

#include "core/lease_listing.h"
#include "tests/unit.h"

#define LIFE 7
#define LIFE_TEXT "0000000000000007"

static void
adopt (SsLeaseListing *l, const char *life, const char *groups, int64_t version,
       int64_t now_ms)
{
  char *value
      = g_strdup_printf ("{\"life\":\"%s\",\"leases\":[%s]}", life, groups);

  ss_lease_listing_adopt (l, value, (uint32_t) strlen (value), version, now_ms);
  g_free (value);
}

/* Gives up all leases but that on KEPT (NULL: all). */
static uint32_t
give_up (SsLeaseListing *l, const char *kept, int64_t version)
{
  GPtrArray *groups = g_ptr_array_new ();
  uint32_t count;

  if (kept)
    g_ptr_array_add (groups, (gpointer) kept);
  count = ss_lease_listing_give_up (l, groups, version);
  g_ptr_array_free (groups, TRUE);
  return count;
}

static bool
lists (const SsLeaseListing *l, const char *group)
{
  return ss_lease_listing_since (l, group) != NULL;
}

static void
listed_groups_keep_their_time (void)
{
  SsLeaseListing l;

  ss_lease_listing_init (&l, LIFE);
  CU_ASSERT (!lists (&l, "a"));
  adopt (&l, LIFE_TEXT, "\"a\"", 3, 100);
  adopt (&l, LIFE_TEXT, "\"a\",\"b\"", 4, 200);
  CU_ASSERT_FATAL (lists (&l, "a") && lists (&l, "b"));
  CU_ASSERT (*ss_lease_listing_since (&l, "a") == 100);
  CU_ASSERT (*ss_lease_listing_since (&l, "b") == 200);
  ss_lease_listing_adopt (&l, NULL, 0, 5, 300);
  CU_ASSERT (!lists (&l, "a"));
  ss_lease_listing_finish (&l);
}

/* Guards against STALE: the write that leaves a group out may still replace the
 * object that it was based on.
 */
static void
given_up_lease_needs_a_later_object (void)
{
  SsLeaseListing l;
  uint64_t stamp;

  ss_lease_listing_init (&l, LIFE);
  adopt (&l, LIFE_TEXT, "\"a\",\"b\"", 3, 100);
  stamp = l.stamp;
  CU_ASSERT (give_up (&l, "b", 3) == 1);
  CU_ASSERT (l.stamp > stamp);
  CU_ASSERT (!lists (&l, "a") && lists (&l, "b"));
  adopt (&l, LIFE_TEXT, "\"a\",\"b\"", 3, 200);
  CU_ASSERT (!lists (&l, "a") && lists (&l, "b"));
  adopt (&l, LIFE_TEXT, "\"a\",\"b\"", 4, 300);
  CU_ASSERT_FATAL (lists (&l, "a"));
  CU_ASSERT (*ss_lease_listing_since (&l, "a") == 300);
  CU_ASSERT (give_up (&l, "a", 4) == 1);
  CU_ASSERT (give_up (&l, "a", 4) == 0);
  ss_lease_listing_finish (&l);
}

/* Guards against STALE: a write of the life before may still be carried out. */
static void
object_of_another_life_lists_nothing (void)
{
  SsLeaseListing l;

  ss_lease_listing_init (&l, LIFE);
  adopt (&l, "0000000000000008", "\"a\"", 3, 100);
  CU_ASSERT (!lists (&l, "a"));
  ss_lease_listing_adopt (&l, "{\"leases\":[\"a\"]}", 16, 4, 100);
  CU_ASSERT (!lists (&l, "a"));
  ss_lease_listing_adopt (&l, "no JSON", 7, 5, 100);
  CU_ASSERT (!lists (&l, "a"));
  adopt (&l, LIFE_TEXT, "\"a\",7,null", 6, 100);
  CU_ASSERT (lists (&l, "a"));
  ss_lease_listing_finish (&l);
}

CU_TestInfo test_lease_listing[] = {
  { "listed groups keep their time", listed_groups_keep_their_time },
  { "given up lease needs a later object",
    given_up_lease_needs_a_later_object },
  { "object of another life lists nothing",
    object_of_another_life_lists_nothing },
  CU_TEST_INFO_NULL,
};
