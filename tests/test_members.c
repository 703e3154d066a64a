#include <string.h>

#include "core/members.h"
#include "core/rank.h"
#include "tests/unit.h"

#define START_MS 100000

static SsMembers members;

static void
nothing (void *data, const SsMember *member)
{
  (void) data;
  (void) member;
}

static void
update (int64_t now_ms)
{
  ss_members_update (&members, now_ms, nothing, NULL);
}

static void
beat (const char *vm, int64_t now_ms, const char *heard)
{
  SsMember *m = ss_members_add (&members, vm, "d1", "10.0.0.9", 1);
  char *list[] = { (char *) heard };

  ss_members_record_heartbeat (&members, m, false, list, heard ? 1 : 0, now_ms);
}

static void
begin (void)
{
  ss_members_init (&members, "a", "d1", "10.0.0.1", 1, START_MS);
}

static bool
is_live (const char *vm)
{
  return ss_members_find (&members, vm)->live;
}

static void
takes_no_role_before_its_heartbeat (void)
{
  begin ();
  ss_members_add (&members, "b", "d1", "10.0.0.2", 1)->listed = true;
  update (START_MS);
  CU_ASSERT (!is_live ("b"));
  CU_ASSERT (!ss_members_is_converged (&members));
  CU_ASSERT_STRING_EQUAL (ss_members_owner (&members, "d1", "t"), "a");
  beat ("b", START_MS + 10, NULL);
  update (START_MS + 10);
  CU_ASSERT (is_live ("b"));
  ss_members_finish (&members);
}

static void
is_dead_only_where_others_miss_it_too (void)
{
  int64_t later_ms = START_MS + SS_MEMBER_HEARTBEAT_TIMEOUT_MS + 100;

  begin ();
  beat ("b", START_MS, NULL);
  beat ("c", START_MS, "b");
  beat ("d", START_MS, "b");
  update (START_MS);
  beat ("c", later_ms, "b");
  beat ("d", later_ms, "b");
  update (later_ms);
  CU_ASSERT (is_live ("b"));
  beat ("c", later_ms, NULL);
  update (later_ms);
  CU_ASSERT (!is_live ("b"));
  ss_members_finish (&members);
}

static void
gives_roles_to_one_vm_each (void)
{
  uint32_t owned_by_a = 0;

  begin ();
  beat ("b", START_MS, NULL);
  beat ("c", START_MS, NULL);
  update (START_MS);
  for (uint32_t i = 0; i < 300; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "t%u", i);
      if (strcmp (ss_members_owner (&members, "d1", name), "a") == 0)
        owned_by_a++;
      CU_ASSERT (
          (ss_members_rank (&members, "d1", name) == 0)
          == (strcmp (ss_members_owner (&members, "d1", name), "a") == 0));
    }
  CU_ASSERT (owned_by_a > 60 && owned_by_a < 140);
  CU_ASSERT_PTR_NULL (ss_members_owner (&members, "d2", "t"));
  ss_members_finish (&members);
}

static void
a_leaving_vm_gives_its_roles_up (void)
{
  begin ();
  beat ("b", START_MS, NULL);
  update (START_MS);
  ss_members_record_heartbeat (&members, ss_members_find (&members, "b"), true,
                               NULL, 0, START_MS);
  for (uint32_t i = 0; i < 50; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "t%u", i);
      CU_ASSERT_STRING_EQUAL (ss_members_owner (&members, "d1", name), "a");
    }
  ss_members_finish (&members);
}

static void
forgets_who_is_neither_listed_nor_heard (void)
{
  begin ();
  beat ("b", START_MS, NULL);
  update (START_MS);
  update (START_MS + SS_MEMBER_HEARTBEAT_TIMEOUT_MS);
  update (START_MS + SS_MEMBER_RETENTION_MS + 1);
  CU_ASSERT_PTR_NULL (ss_members_find (&members, "b"));
  ss_members_finish (&members);
}

/* A vm that the platform lists may just not have been heard yet. */
static void
listed_vm_is_not_dead_before_it_is_heard (void)
{
  GPtrArray *silent = g_ptr_array_new ();
  SsMember *b;

  begin ();
  b = ss_members_add (&members, "b", "d1", "10.0.0.2", 1);
  b->added_ms = START_MS;
  ss_members_collect_silent (&members, START_MS - 30000, silent);
  CU_ASSERT (silent->len == 0);
  ss_members_collect_silent (&members, START_MS + 1, silent);
  CU_ASSERT (silent->len == 1);
  g_ptr_array_free (silent, TRUE);
  ss_members_finish (&members);
}

/* Reported vms live without heartbeats, and only as long as reports come. */
static void
reports_keep_a_vm_alive (void)
{
  SsMember *b;

  begin ();
  members.relayed = true;
  b = ss_members_add (&members, "b", "d2", "10.0.0.2", 1);
  ss_members_record_report (&members, b, false, true, START_MS);
  update (START_MS + SS_MEMBER_REPORT_TIMEOUT_MS - 1);
  CU_ASSERT (is_live ("b"));
  update (START_MS + SS_MEMBER_REPORT_TIMEOUT_MS);
  CU_ASSERT (!is_live ("b"));
  ss_members_finish (&members);
}

/* Two vms of a failure domain watch: those that rank first among the ones
 * that the platform answers.
 */
static void
watchers_are_vms_that_the_platform_answers (void)
{
  static const char *const names[] = { "b", "c", "d", "e" };
  uint32_t before = 0;

  begin ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      beat (names[i], START_MS, NULL);
      ss_members_find (&members, names[i])->platform_up = true;
      if (ss_rank_score (names[i], "relay") > ss_rank_score ("a", "relay"))
        before++;
    }
  update (START_MS);
  CU_ASSERT (ss_members_is_watcher (&members) == (before < SS_MEMBERS_RELAYS));
  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    ss_members_find (&members, names[i])->platform_up = false;
  CU_ASSERT (ss_members_is_watcher (&members));
  ss_members_finish (&members);
}

/* Relays are two of the failure domain; one that leaves is replaced. */
static void
relays_are_two_of_the_failure_domain (void)
{
  static const char *const names[] = { "b", "c", "d", "e" };
  GPtrArray *relays = g_ptr_array_new ();
  const char *first;

  begin ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    beat (names[i], START_MS, NULL);
  update (START_MS);
  ss_members_relays (&members, "d1", START_MS, relays);
  CU_ASSERT (relays->len == SS_MEMBERS_RELAYS);
  first = g_ptr_array_index (relays, 0);
  ss_members_find (&members, first)->leaving = true;
  g_ptr_array_set_size (relays, 0);
  ss_members_relays (&members, "d1", START_MS, relays);
  CU_ASSERT (relays->len == SS_MEMBERS_RELAYS);
  CU_ASSERT (strcmp (g_ptr_array_index (relays, 0), first) != 0);
  g_ptr_array_set_size (relays, 0);
  ss_members_relays (&members, "d9", START_MS, relays);
  CU_ASSERT (relays->len == 0);
  g_ptr_array_free (relays, TRUE);
  ss_members_finish (&members);
}

CU_TestInfo test_members[] = {
  { "takes no role before its heartbeat", takes_no_role_before_its_heartbeat },
  { "is dead only where others miss it too",
    is_dead_only_where_others_miss_it_too },
  { "gives roles to one vm each", gives_roles_to_one_vm_each },
  { "a leaving vm gives its roles up", a_leaving_vm_gives_its_roles_up },
  { "forgets who is neither listed nor heard",
    forgets_who_is_neither_listed_nor_heard },
  { "listed vm is not dead before it is heard",
    listed_vm_is_not_dead_before_it_is_heard },
  { "reports keep a vm alive", reports_keep_a_vm_alive },
  { "watchers are vms that the platform answers",
    watchers_are_vms_that_the_platform_answers },
  { "relays are two of the failure domain",
    relays_are_two_of_the_failure_domain },
  CU_TEST_INFO_NULL,
};
