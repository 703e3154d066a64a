/* Many VMs in six failure domains: who coordinates, who reports to whom, and
 * what the store is asked.
 */
#include <string.h>

#include "tests/fleet_sim.h"
#include "tests/unit.h"

#define VMS 48
#define GROUPS 8
#define LARGE_VMS 100
/* A new owner has its first lease after this. */
#define NEW_OWNER_MS 1500
#define LARGE_GROUPS 20
/* For control messages of a VM; see docs/CAPACITY.md. */
#define CONTROL_BYTES_PER_S 3072
/* Two backoffs of a relay that is tried, and the reports that follow. */
#define MEET_MS 8000

static FleetSim sim;

/* A primary fails while the store answers nobody.  The coordinator has watched
 * it all the time and acts as soon as the store is back.
 */
static void
primary_that_failed_with_the_store_is_replaced_at_once (void)
{
  fleet_init (&sim, 9, VMS, GROUPS);
  fleet_advance (&sim, 3000);
  for (uint32_t i = 0; i < VMS; i++)
    sim.vms[i].store = FLEET_STORE_REFUSES;
  fleet_advance (&sim, 3000);
  sim.servers[0].down = true;
  fleet_advance (&sim, 2000);
  for (uint32_t i = 0; i < VMS; i++)
    sim.vms[i].store = FLEET_STORE_SERVES;
  fleet_advance (&sim, 2000);
  CU_ASSERT (sim.promotions == 1);
  fleet_finish (&sim);
}

typedef struct
{
  uint32_t tried;
  uint32_t over_cap;
} Connects;

/* Returns the connection attempts at all servers so far. */
static Connects
count_connects (void)
{
  Connects c = { 0, 0 };

  for (uint32_t i = 0; i < sim.group_count * FLEET_SERVERS; i++)
    {
      c.tried += sim.servers[i].connects;
      c.over_cap += sim.servers[i].over_cap;
    }
  return c;
}

/* All VMs of a new deployment start at once.  None knows any other yet, and
 * none may take itself for the owner of all targets.
 */
static void
first_start_opens_few_connections (void)
{
  fleet_init (&sim, 5, LARGE_VMS, LARGE_GROUPS);
  CU_ASSERT (count_connects ().over_cap == 0);
  CU_ASSERT (count_connects ().tried < 4 * LARGE_GROUPS * FLEET_SERVERS);
  fleet_finish (&sim);
}

/* All VMs lose power and start again, while the servers still have the
 * connections of before.
 */
static void
restart_of_all_vms_opens_few_connections (void)
{
  uint32_t connects;

  fleet_init (&sim, 6, LARGE_VMS, LARGE_GROUPS);
  fleet_open (&sim);
  fleet_advance (&sim, 2000);
  connects = count_connects ().tried;
  for (uint32_t i = 0; i < LARGE_VMS; i++)
    fleet_stop (&sim, i);
  fleet_advance (&sim, 700);
  for (uint32_t i = 0; i < LARGE_VMS; i++)
    {
      fleet_start (&sim, i);
      fleet_advance (&sim, 3);
    }
  fleet_advance (&sim, 500);
  for (uint32_t i = 0; i < LARGE_VMS; i++)
    CU_ASSERT (ss_node_takes_callers (&sim.vms[i].node));
  fleet_advance (&sim, 4000);
  CU_ASSERT (count_connects ().over_cap == 0);
  CU_ASSERT (count_connects ().tried - connects
             < 4 * LARGE_GROUPS * FLEET_SERVERS);
  CU_ASSERT (sim.promotions == 0);
  fleet_finish (&sim);
}

static bool
is_coordinator (uint32_t vm)
{
  return sim.vms[vm].up && ss_coordinator_is_self (&sim.vms[vm].node);
}

static uint32_t
find_coordinator (void)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (is_coordinator (i))
      return i;
  return VMS;
}

/* One VM of the fleet coordinates all groups.  It may have callers of none. */
static void
coordinator_names_primary_of_unused_group (void)
{
  fleet_init (&sim, 1, VMS, GROUPS);
  for (uint32_t i = 0; i < 4; i++)
    {
      fleet_add_group (&sim);
      fleet_advance (&sim, 3000);
      CU_ASSERT (*fleet_primary (&sim, GROUPS + i));
    }
  CU_ASSERT (sim.promotions == 0);
  fleet_finish (&sim);
}

static uint32_t
count_coordinators (void)
{
  uint32_t found = 0;

  for (uint32_t i = 0; i < VMS; i++)
    found += is_coordinator (i) ? 1 : 0;
  return found;
}

/* Roles that need the platform are given to VMs that it answers: relays must
 * not keep each other's outdated word of that in circulation.
 */
static void
vms_agree_which_vms_the_platform_answers (void)
{
  fleet_init (&sim, 4, VMS, GROUPS);
  fleet_advance (&sim, 6000);
  for (uint32_t i = 0; i < VMS; i++)
    for (uint32_t j = 0; j < VMS; j++)
      {
        const SsMember *m
            = ss_members_find (&sim.vms[i].node.members, sim.vms[j].name);

        CU_ASSERT (m
                   && m->platform_up == ss_watch_is_active (&sim.vms[j].node));
      }
  CU_ASSERT (count_coordinators () == 1);
  fleet_finish (&sim);
}

/* A VM that becomes the coordinator has not heard of the primaries before: that
 * is no sign of their failure.
 */
static void
new_coordinator_replaces_no_healthy_primary (void)
{
  fleet_init (&sim, 2, VMS, GROUPS);
  fleet_open (&sim);
  fleet_advance (&sim, 10000);
  for (uint32_t i = 0; i < 3; i++)
    {
      uint32_t coordinator = find_coordinator ();

      CU_ASSERT_FATAL (coordinator < VMS);
      fleet_stop (&sim, coordinator);
      fleet_advance (&sim, 4000);
    }
  CU_ASSERT (find_coordinator () < VMS);
  CU_ASSERT (sim.promotions == 0);
  fleet_finish (&sim);
}

/* A third of the VMs is cut off from the others, each alone.  Each of them
 * takes itself for the coordinator.
 */
static void
vms_cut_off_replace_no_healthy_primary (void)
{
  fleet_init (&sim, 3, VMS, GROUPS);
  fleet_open (&sim);
  fleet_advance (&sim, 10000);
  for (uint32_t i = 0; i < VMS / 3; i++)
    sim.vms[i * 3].partition = i + 1;
  fleet_advance (&sim, 12000);
  CU_ASSERT (sim.promotions == 0);
  fleet_finish (&sim);
}

/* Returns GROUP as VM knows it if VM is up and owns its primary, else NULL. */
static SsGroup *
owned_group (uint32_t vm, uint32_t group)
{
  SsGroup *found = sim.vms[vm].up ? fleet_group (&sim, vm, group) : NULL;
  SsTarget *primary = found ? ss_group_primary (found) : NULL;

  return primary && ss_node_is_owner (&sim.vms[vm].node, primary) ? found
                                                                  : NULL;
}

/* Returns how many primaries' owners hold a lease. */
static uint32_t
count_leases (void)
{
  uint32_t leases = 0;

  for (uint32_t g = 0; g < sim.group_count; g++)
    for (uint32_t i = 0; i < sim.vm_count; i++)
      {
        SsGroup *group = owned_group (i, g);

        leases += group && ss_lease_holds (&sim.vms[i].node, group) ? 1 : 0;
      }
  return leases;
}

/* Checks for MS that every primary's owner holds its lease. */
static void
expect_leases (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += 20)
    {
      fleet_advance (&sim, 20);
      CU_ASSERT (count_leases () == sim.group_count);
    }
}

/* Every owner of a primary needs its lease confirmed all the time.  One list of
 * the groups answers for all of them.
 */
static void
leases_share_one_list (void)
{
  uint64_t before;

  fleet_init (&sim, 7, LARGE_VMS, LARGE_GROUPS);
  fleet_advance (&sim, 3000);
  before = fleet_calls (&sim, SS_PLATFORM_PURPOSE_LEASE);
  expect_leases (10000);
  CU_ASSERT (fleet_calls (&sim, SS_PLATFORM_PURPOSE_LEASE) - before <= 30);
  fleet_finish (&sim);
}

/* Whether a VM other than EXCEPT owns the primary of GROUP without a lease. */
static bool
owner_lost_lease (uint32_t g, uint32_t except)
{
  for (uint32_t i = 0; i < sim.vm_count; i++)
    {
      SsNode *node = &sim.vms[i].node;
      SsGroup *group = owned_group (i, g);
      SsOwnedTarget *owned
          = group ? ss_owner_find (node, group->primary) : NULL;

      if (i != except && owned && owned->active && !ss_lease_holds (node, group)
          && node->now_ms - owned->owner_since_ms >= NEW_OWNER_MS)
        return true;
    }
  return false;
}

static uint32_t
find_keeper (void)
{
  const char *keeper = ss_lease_keeper (&sim.vms[0].node);
  FleetVm *vm = keeper ? fleet_find (&sim, keeper) : NULL;

  return vm ? (uint32_t) (vm - sim.vms) : VMS;
}

/* The VM that lists for the others is cut off, loses power, pauses, or is
 * turned away by the store: the owners list for themselves in time.
 */
static void
leases_outlast_their_keeper (void)
{
  for (uint32_t fault = 0; fault < 5; fault++)
    {
      uint32_t keeper;

      fleet_init (&sim, 8 + fault, VMS, GROUPS);
      fleet_advance (&sim, 3000);
      keeper = find_keeper ();
      CU_ASSERT_FATAL (keeper < VMS);
      /* A VM that owns a primary has more to lose than its keeper's role. */
      if (fault == 0)
        sim.vms[keeper].partition = 1;
      else if (fault == 1)
        fleet_stop (&sim, keeper);
      else if (fault == 2)
        sim.vms[keeper].paused_until_ms = sim.now_ms + 3000;
      else
        sim.vms[keeper].store
            = fault == 3 ? FLEET_STORE_REFUSES : FLEET_STORE_SILENT;
      for (uint32_t i = 0; i < 250; i++)
        {
          uint32_t lost = 0;

          fleet_advance (&sim, 20);
          for (uint32_t g = 0; g < GROUPS; g++)
            lost += owner_lost_lease (g, keeper) ? 1 : 0;
          CU_ASSERT (lost == 0);
        }
      CU_ASSERT (sim.promotions == 0);
      fleet_finish (&sim);
    }
}

/* A primary that fails is replaced, whoever coordinates. */
static void
failed_primary_is_replaced (void)
{
  fleet_init (&sim, 4, VMS, GROUPS);
  fleet_advance (&sim, 3000);
  sim.servers[0].down = true;
  fleet_advance (&sim, 6000);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (strcmp (fleet_primary (&sim, 0), "t0") != 0);
  fleet_finish (&sim);
}

/* The platform turns all VMs away but the first of each failure domain, and the
 * owners of the primaries die.  Guards against new owners that get no lease, as
 * the platform does not take their objects.
 */
static void
owners_turned_away_get_leases (void)
{
  fleet_init (&sim, 12, VMS, GROUPS);
  fleet_advance (&sim, 3000);
  CU_ASSERT (count_leases () == GROUPS);
  for (uint32_t i = 0; i < VMS; i++)
    if (i >= 6)
      sim.vms[i].store = FLEET_STORE_REFUSES;
  fleet_advance (&sim, 1000);
  for (uint32_t g = 0; g < GROUPS; g++)
    for (uint32_t i = 6; i < VMS; i++)
      {
        if (sim.vms[i].up && owned_group (i, g))
          fleet_stop (&sim, i);
      }
  fleet_advance (&sim, 6000);
  CU_ASSERT (count_leases () == GROUPS);
  fleet_finish (&sim);
}

/* Returns how many pairs of VMs there are of which one takes the other for
 * dead.
 */
static uint32_t
count_dead (void)
{
  uint32_t dead = 0;

  for (uint32_t i = 0; i < sim.vm_count; i++)
    for (uint32_t j = 0; j < sim.vm_count; j++)
      {
        const SsMember *m
            = ss_members_find (&sim.vms[i].node.members, sim.vms[j].name);

        dead += !m || !m->live ? 1 : 0;
      }
  return dead;
}

/* Part of the VMs of every failure domain is cut off from the rest for longer
 * than relays take to be replaced, so that each part has relays of its own.
 * Guards against parts that never meet again: a VM is then owner of targets
 * that others own, too, and each part has only its shares of the rate limits.
 */
static void
parts_of_a_split_meet_again (void)
{
  static const uint32_t parts[] = { 2, 3, 4 };

  for (uint32_t k = 0; k < G_N_ELEMENTS (parts); k++)
    {
      fleet_init (&sim, 20 + k, VMS, GROUPS);
      CU_ASSERT (count_dead () == 0);
      for (uint32_t i = 0; i < VMS; i++)
        sim.vms[i].partition = i / FLEET_DOMAINS % parts[k];
      fleet_advance (&sim, 6000);
      CU_ASSERT (count_dead () > 0);
      for (uint32_t i = 0; i < VMS; i++)
        sim.vms[i].partition = 0;
      fleet_advance (&sim, MEET_MS);
      CU_ASSERT (count_dead () == 0);
      CU_ASSERT (sim.promotions == 0);
      fleet_finish (&sim);
    }
}

/* Returns how many requests to watch the platform all VMs have sent. */
static uint64_t
count_watches (void)
{
  return fleet_calls (&sim, SS_PLATFORM_PURPOSE_WATCH);
}

/* Load pattern: the store refuses all calls for 6 s.  No VM knows one that it
 * answers, so all of them watch; each may try once in the longest pause of 900
 * ms, half of which is random, and after the shorter first ones.  Once the
 * store is back, every VM has a change within a second.
 */
static void
store_that_refuses_gets_few_calls (void)
{
  uint64_t before;

  fleet_init (&sim, 13, VMS, GROUPS);
  fleet_advance (&sim, 3000);
  before = count_watches ();
  for (uint32_t i = 0; i < VMS; i++)
    sim.vms[i].store = FLEET_STORE_REFUSES;
  fleet_advance (&sim, 6000);
  CU_ASSERT (count_watches () - before < VMS * 20);
  for (uint32_t i = 0; i < VMS; i++)
    sim.vms[i].store = FLEET_STORE_SERVES;
  fleet_add_group (&sim);
  fleet_advance (&sim, 1000);
  for (uint32_t i = 0; i < VMS; i++)
    CU_ASSERT_PTR_NOT_NULL (fleet_group (&sim, i, GROUPS));
  fleet_finish (&sim);
}

/* Returns the bytes of messages between VMs that carry no statement, sent by
 * all VMs since their start.
 */
static uint64_t
control_bytes (void)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < sim.vm_count; i++)
    bytes += sim.vms[i].node.counters.values[SS_COUNTER_CONTROL_BYTES];
  return bytes;
}

/* A deployment without callers.  Guards against control traffic that grows with
 * the number of VMs: a VM has 3 KB/s for it (docs/CAPACITY.md).
 */
static void
idle_vms_send_little (void)
{
  static const uint32_t vms[] = { 24, LARGE_VMS };

  for (uint32_t i = 0; i < G_N_ELEMENTS (vms); i++)
    {
      uint64_t before;

      fleet_init (&sim, 30 + i, vms[i], LARGE_GROUPS);
      before = control_bytes ();
      fleet_advance (&sim, 4000);
      CU_ASSERT (control_bytes () - before < 4 * CONTROL_BYTES_PER_S * vms[i]);
      fleet_finish (&sim);
    }
}

static uint64_t
subscription_bytes (const SsTraffic *t)
{
  return t->bytes[SS_TRAFFIC_SUBSCRIBE][SS_TRAFFIC_SAME_DOMAIN]
         + t->bytes[SS_TRAFFIC_SUBSCRIBE][SS_TRAFFIC_OTHER_DOMAIN];
}

/* Load pattern: members change many times a second, as at a start.  Guards
 * against subscriptions that are sent again in full with each change: a VM that
 * sees 20 changes a second sends at most twice as much as without any.
 */
static void
changes_of_members_send_few_subscriptions (void)
{
  const SsTraffic *t = &sim.vms[0].node.traffic;
  uint64_t calm;
  uint64_t before;

  fleet_init (&sim, 32, LARGE_VMS, LARGE_GROUPS);
  fleet_open (&sim);
  fleet_advance (&sim, 2000);
  before = subscription_bytes (t);
  fleet_advance (&sim, 3000);
  calm = subscription_bytes (t) - before;
  before = subscription_bytes (t);
  for (uint32_t i = 0; i < 60; i++)
    {
      SsMember *m
          = ss_members_find (&sim.vms[0].node.members, sim.vms[i + 1].name);

      ss_members_set_capacity (&sim.vms[0].node.members, m, 100 + i);
      fleet_advance (&sim, 50);
    }
  CU_ASSERT (subscription_bytes (t) - before < 2 * calm);
  fleet_finish (&sim);
}

CU_TestInfo test_fleet[] = {
  { "idle vms send little", idle_vms_send_little },
  { "changes of members send few subscriptions",
    changes_of_members_send_few_subscriptions },
  { "store that refuses gets few calls", store_that_refuses_gets_few_calls },
  { "parts of a split meet again", parts_of_a_split_meet_again },
  { "owners turned away get leases", owners_turned_away_get_leases },
  { "coordinator names primary of unused group",
    coordinator_names_primary_of_unused_group },
  { "vms agree which vms the platform answers",
    vms_agree_which_vms_the_platform_answers },
  { "new coordinator replaces no healthy primary",
    new_coordinator_replaces_no_healthy_primary },
  { "vms cut off replace no healthy primary",
    vms_cut_off_replace_no_healthy_primary },
  { "primary that failed with the store is replaced at once",
    primary_that_failed_with_the_store_is_replaced_at_once },
  { "first start opens few connections", first_start_opens_few_connections },
  { "restart of all vms opens few connections",
    restart_of_all_vms_opens_few_connections },
  { "leases share one list", leases_share_one_list },
  { "leases outlast their keeper", leases_outlast_their_keeper },
  { "failed primary is replaced", failed_primary_is_replaced },
  CU_TEST_INFO_NULL,
};
