/* Leases against promotions, on many VMs: once a server leads a later term, no
 * VM relies on the lease of an earlier one.
 */
#include <stdlib.h>
#include <string.h>

#include "tests/fleet_sim.h"
#include "tests/unit.h"

#define VMS 6
#define GROUPS 2
#define PLAY_MS 60000
#define STEP_MS 5
/* Between two faults. */
#define FAULT_EVERY_MAX_MS 2500
#define PAUSE_MAX_MS 4000
/* Far above what any step of a history takes. */
#define STEP_LIMIT_MS 20000

/* Returns the latest term of GROUP that must end all leases of earlier ones. */
typedef uint64_t (*LaterTerm) (FleetSim *sim, uint32_t group);

static uint64_t
leading_term (FleetSim *sim, uint32_t group)
{
  uint64_t term = 0;

  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      const FleetServer *s = &sim->servers[group * FLEET_SERVERS + i];

      if (s->role == SS_SERVER_PRIMARY)
        term = MAX (term, s->term);
    }
  return term;
}

/* Returns the term of the primary that the store names, or 0.  No commit of a
 * primary that is not named is acknowledged.
 */
static uint64_t
named_term (FleetSim *sim, uint32_t group)
{
  char *key = g_strdup_printf ("group/g%u", group);
  const char *value = fleet_object (sim, key);
  const char *at = value ? strstr (value, "\"term\":") : NULL;
  uint64_t term = 0;

  if (at && !strstr (value, "\"primary\":\"\""))
    term = strtoull (at + strlen ("\"term\":"), NULL, 10);
  g_free (key);
  return term;
}

/* Counts the VMs that rely on a lease of an earlier term. */
static uint32_t
count_outdated (FleetSim *sim, LaterTerm later_term)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < GROUPS; i++)
    for (uint32_t vm = 0; vm < VMS; vm++)
      if (fleet_lease_holds (sim, vm, i)
          && fleet_group (sim, vm, i)->term < later_term (sim, i))
        count++;
  return count;
}

static uint32_t
advance (FleetSim *sim, int64_t ms, LaterTerm later_term)
{
  uint32_t outdated = 0;

  for (int64_t i = 0; i < ms; i += STEP_MS)
    {
      fleet_advance (sim, STEP_MS);
      outdated += count_outdated (sim, later_term);
    }
  return outdated;
}

static uint32_t
draw (FleetSim *sim, uint32_t below)
{
  return (uint32_t) g_rand_int_range (sim->rand, 0, (gint32) below);
}

static void
end_faults (FleetSim *sim)
{
  for (uint32_t i = 0; i < VMS; i++)
    {
      sim->vms[i].partition = 0;
      sim->vms[i].store = FLEET_STORE_SERVES;
    }
  for (uint32_t i = 0; i < GROUPS * FLEET_SERVERS; i++)
    sim->servers[i].down = false;
}

/* Begins a fault, or ends all. */
static void
change_faults (FleetSim *sim)
{
  FleetVm *vm = &sim->vms[draw (sim, VMS)];
  FleetServer *server = &sim->servers[draw (sim, GROUPS * FLEET_SERVERS)];

  switch (draw (sim, 7))
    {
    case 0:
      vm->paused_until_ms = sim->now_ms + 1 + draw (sim, PAUSE_MAX_MS);
      break;
    case 1:
      vm->partition = 1;
      break;
    case 2:
      vm->store = draw (sim, 2) ? FLEET_STORE_SILENT : FLEET_STORE_REFUSES;
      break;
    case 3:
      server->down = true;
      break;
    case 4:
      vm->partition = 1;
      vm->store = FLEET_STORE_SILENT;
      break;
    default:
      end_faults (sim);
      break;
    }
}

/* Plays one history, in which leases must not be outdated. */
static void
play (FleetSim *sim, uint32_t seed, const FleetWriteFaults *faults,
      LaterTerm later_term)
{
  uint32_t outdated = 0;
  int64_t until_ms;

  fleet_init (sim, seed, VMS, GROUPS);
  fleet_open (sim);
  sim->write_faults = *faults;
  until_ms = sim->now_ms + PLAY_MS;
  while (sim->now_ms < until_ms)
    {
      change_faults (sim);
      outdated += advance (sim, 1 + draw (sim, FAULT_EVERY_MAX_MS), later_term);
    }
  if (outdated)
    g_print ("seed %u: a lease is outdated at %u moments\n", seed, outdated);
  CU_ASSERT (outdated == 0);
  fleet_finish (sim);
}

/* Guards against STALE: a server leads a later term while a VM still relies on
 * its lease on the earlier primary.  Writes of all objects that promotions and
 * leases depend on are lost, or carried out late, and VMs pause.
 */
static void
leases_end_before_promotions (void)
{
  static const FleetWriteFaults faults[] = {
    { 0 },
    { .vm_objects = true, .lost_permille = 300 },
    { .vm_objects = true, .late_permille = 300, .late_max_ms = 3000 },
    { .vm_objects = true,
      .lost_permille = 150,
      .late_permille = 150,
      .late_max_ms = 6000,
      .pause_permille = 200,
      .pause_max_ms = 3000 },
  };
  static const uint32_t seeds[] = { 1, 2, 3, 16, 115, 142 };
  FleetSim *sim = g_new0 (FleetSim, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (seeds); j++)
      play (sim, seeds[j], &faults[i], leading_term);
  g_free (sim);
}

/* Guards against STALE: a promotion call takes effect late, after another
 * server was promoted and named, and the server that leads now is named while a
 * VM still relies on its lease on the one before.
 */
static void
leases_end_before_a_leader_is_named (void)
{
  static const FleetWriteFaults faults = { .call_late_permille = 300,
                                           .call_late_max_ms = 6000,
                                           .pause_permille = 200,
                                           .pause_max_ms = 3000 };
  static const uint32_t seeds[] = { 1, 2, 19, 23, 25, 97, 130 };
  FleetSim *sim = g_new0 (FleetSim, 1);

  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    play (sim, seeds[i], &faults, named_term);
  g_free (sim);
}

/* --- one history --- */

static int
find_holder (FleetSim *sim, uint32_t group)
{
  for (uint32_t vm = 0; vm < VMS; vm++)
    if (fleet_lease_holds (sim, vm, group))
      return (int) vm;
  return -1;
}

/* Whether the store's object of VM lists a lease on GROUP. */
static bool
lists_lease (FleetSim *sim, uint32_t vm, const char *group)
{
  char *key = g_strdup_printf ("vm/%s", sim->vms[vm].name);
  const char *value = fleet_object (sim, key);
  bool lists = value && strstr (value, group);

  g_free (key);
  return lists;
}

static void
await_unlisted (FleetSim *sim, uint32_t vm, const char *group)
{
  for (int64_t i = 0; i < STEP_LIMIT_MS && lists_lease (sim, vm, group); i++)
    fleet_advance (sim, 1);
  CU_ASSERT (!lists_lease (sim, vm, group));
}

/* Guards against STALE: an owner gives a primary up to a VM that returns, and
 * pauses before it has the answer to the write of its object.  Promotions do
 * not wait for a VM that is not listed as a holder, so it must have given up
 * its lease before it is listed no longer.
 */
static void
lease_ends_before_it_is_unlisted (void)
{
  FleetSim *sim = g_new0 (FleetSim, 1);
  int first;
  int second;

  fleet_init (sim, 1, VMS, GROUPS);
  fleet_open (sim);
  fleet_advance (sim, 3000);
  first = find_holder (sim, 0);
  CU_ASSERT_FATAL (first >= 0);
  sim->vms[first].partition = 1;
  sim->vms[first].store = FLEET_STORE_SILENT;
  fleet_advance (sim, 8000);
  second = find_holder (sim, 0);
  CU_ASSERT_FATAL (second >= 0 && second != first);
  end_faults (sim);
  await_unlisted (sim, (uint32_t) second, "g0");
  CU_ASSERT (!fleet_lease_holds (sim, (uint32_t) second, 0));
  sim->vms[second].paused_until_ms = sim->now_ms + 3000;
  sim->servers[0].down = true;
  CU_ASSERT (advance (sim, 6000, leading_term) == 0);
  CU_ASSERT (leading_term (sim, 0) > 1);
  fleet_finish (sim);
  g_free (sim);
}

CU_TestInfo test_lease_holders[] = {
  { "leases end before promotions", leases_end_before_promotions },
  { "leases end before a leader is named",
    leases_end_before_a_leader_is_named },
  { "lease ends before it is unlisted", lease_ends_before_it_is_unlisted },
  CU_TEST_INFO_NULL,
};
