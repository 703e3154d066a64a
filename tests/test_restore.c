/* The platform's store comes back from a copy some seconds old: its last writes
 * are lost and their revisions are given out again.
 */
#include <string.h>

#include "core/config_store.h"
#include "core/version.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define ROUTES "{\"services\":{\"%s\":{\"group\":\"g\"}},\"groups\":{}}"
/* Bound on the time until a change is in force (SsNodeParams.apply_ms). */
#define APPLY_MS 3000

static SsAdoption
adopt (SsConfig *config, const char *key, int64_t version, int64_t sequence,
       const char *json)
{
  SsObject o = { key,   version,  json, (uint32_t) strlen (json),
                 false, sequence, false };
  char *error;
  SsAdoption result = ss_config_adopt (config, &o, 1, &error);

  g_free (error);
  return result;
}

static SsAdoption
adopt_routes (SsConfig *config, int64_t version, int64_t sequence,
              const char *service)
{
  char *json = g_strdup_printf (ROUTES, service);
  SsAdoption result = adopt (config, "routes/main", version, sequence, json);

  g_free (json);
  return result;
}

/* Guards against CONFIG: a change written after a restore was not in force, as
 * its revision was not above the lost ones.
 */
static void
change_after_restore_is_in_force (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 57), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT (adopt_routes (&c, ss_version (1, 41), 35, "b") == SS_ADOPT_DONE);
  CU_ASSERT_PTR_NOT_NULL (ss_config_service (&c, "b"));
  /* The same content, written again at a given-out revision. */
  CU_ASSERT (adopt_routes (&c, ss_version (2, 41), 35, "b") == SS_ADOPT_DONE);
  ss_config_finish (&c);
}

/* Guards against CONFIG: a store that came back without telling its era kept
 * out all changes at lower revisions.
 */
static void
operators_number_goes_before_revision (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 57), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 58), 25, "b")
             == SS_ADOPT_NOT_NEWER);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 41), 35, "c") == SS_ADOPT_DONE);
  CU_ASSERT_PTR_NOT_NULL (ss_config_service (&c, "c"));
  ss_config_finish (&c);
}

/* Guards against CONFIG: the copy's older configuration replaced the one in
 * force.
 */
static void
older_copy_does_not_replace_configuration (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 57), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT (adopt_routes (&c, ss_version (1, 40), 25, "b")
             == SS_ADOPT_NOT_NEWER);
  CU_ASSERT_PTR_NOT_NULL (ss_config_service (&c, "a"));
  CU_ASSERT_PTR_NULL (ss_config_service (&c, "b"));
  CU_ASSERT (ss_config_expected_version (&c, "routes/main")
             == ss_version (1, 40));
  CU_ASSERT (adopt_routes (&c, ss_version (1, 43), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT (ss_config_expected_version (&c, "routes/main")
             == ss_version (1, 43));
  ss_config_finish (&c);
}

/* Guards against CONFIG: a VM that started after a restore kept the copy's
 * older configuration, although its peers had the newer one, of an earlier era.
 */
static void
newer_configuration_of_peer_is_adopted (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt_routes (&c, ss_version (1, 40), 25, "b") == SS_ADOPT_DONE);
  CU_ASSERT (adopt_routes (&c, ss_version (0, 57), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT_PTR_NOT_NULL (ss_config_service (&c, "a"));
  ss_config_finish (&c);
}

/* Guards against two primaries: a group whose last change was lost went back to
 * its former primary.
 */
static void
group_does_not_go_back_to_earlier_term (void)
{
  SsConfig c;

  ss_config_init (&c);
  adopt (&c, "group/g", ss_version (0, 60), 0,
         "{\"term\":6,\"primary\":\"t2\"}");
  CU_ASSERT (adopt (&c, "group/g", ss_version (1, 40), 0,
                    "{\"term\":5,\"primary\":\"t1\"}")
             == SS_ADOPT_NOT_NEWER);
  CU_ASSERT (adopt (&c, "group/g", ss_version (1, 57), 0,
                    "{\"term\":6,\"primary\":\"\"}")
             == SS_ADOPT_NOT_NEWER);
  CU_ASSERT_STRING_EQUAL (ss_config_group (&c, "g")->primary, "t2");
  CU_ASSERT (ss_config_group (&c, "g")->lost_ms > 0);
  CU_ASSERT (adopt (&c, "group/g", ss_version (1, 58), 0,
                    "{\"term\":7,\"primary\":\"\"}")
             == SS_ADOPT_DONE);
  CU_ASSERT (ss_config_group (&c, "g")->lost_ms == 0);
  ss_config_finish (&c);
}

/* Guards against new work for a server that leaves: the copy's older entry said
 * that it was ready.
 */
static void
draining_outlasts_restore (void)
{
  static const char entry[]
      = "{\"group\":\"g\",\"ip\":\"10.0.0.1\",\"port\":1,"
        "\"failure_domain\":\"d\",\"slots\":2,\"born_ms\":%d,"
        "\"draining\":%s}";
  SsConfig c;
  char *draining = g_strdup_printf (entry, 5, "true");
  char *ready = g_strdup_printf (entry, 5, "false");
  char *reborn = g_strdup_printf (entry, 6, "false");

  ss_config_init (&c);
  adopt (&c, "target/t", ss_version (0, 50), 0, draining);
  CU_ASSERT (adopt (&c, "target/t", ss_version (1, 40), 0, ready)
             == SS_ADOPT_DONE);
  CU_ASSERT (ss_config_target (&c, "t")->draining);
  adopt (&c, "target/t", ss_version (1, 44), 0, reborn);
  CU_ASSERT (!ss_config_target (&c, "t")->draining);
  ss_config_finish (&c);
  g_free (draining);
  g_free (ready);
  g_free (reborn);
}

static void
put_routes (LineSim *sim, const char *service)
{
  char *json = g_strdup_printf (ROUTES, service);

  line_sim_put (sim, "routes/main", json);
  g_free (json);
}

static bool
serves (LineSim *sim, const char *service)
{
  return ss_config_service (&sim->node.config, service) != NULL;
}

/* Guards against CONFIG, at the core's entry: after a restore the watches
 * waited at a revision that the store does not have, and what they listed was
 * not adopted.
 */
static void
restored_store_is_listed_again (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 2, 8);
  line_sim_copy (&sim);
  put_routes (&sim, "lost-1");
  put_routes (&sim, "lost-2");
  put_routes (&sim, "lost-3");
  CU_ASSERT (serves (&sim, "lost-3"));
  line_sim_restore (&sim);
  /* Written while no watch is open: only a list shows it. */
  line_sim_store (&sim, "routes/main",
                  "{\"services\":{\"after\":{\"group\":\"g\"}}}");
  line_sim_advance (&sim, APPLY_MS);
  CU_ASSERT (serves (&sim, "after"));
  CU_ASSERT (sim.node.era == 1);
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_PLATFORM_RESTORES] == 1);
  put_routes (&sim, "next");
  CU_ASSERT (serves (&sim, "next"));
  line_sim_finish (&sim);
}

/* Guards against a response of the store before its return: it arrives late and
 * shows what was lost.
 */
static void
response_of_earlier_era_is_ignored (void)
{
  static const char lost[] = "{\"services\":{\"lost\":{\"group\":\"g\"}}}";
  LineSim sim;
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };
  SsObject o = { .key = "routes/main",
                 .version = ss_version (0, 90),
                 .value = lost,
                 .value_bytes = sizeof lost - 1,
                 .sequence = 99 };

  line_sim_init (&sim, 1, 2, 8);
  line_sim_copy (&sim);
  line_sim_restore (&sim);
  line_sim_advance (&sim, 1000);
  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.watch = SS_WATCH_ROUTES;
  e.platform_objects.since = sim.node.watches[SS_WATCH_ROUTES].since;
  e.platform_objects.revision = o.version;
  e.platform_objects.objects = &o;
  e.platform_objects.object_count = 1;
  ss_node_on_event (&sim.node, &e, sim.now_ms);
  CU_ASSERT (!serves (&sim, "lost"));
  /* The next list waits: the platform may go on responding like that. */
  CU_ASSERT (sim.node.watches[SS_WATCH_ROUTES].due_ms > sim.now_ms);
  line_sim_finish (&sim);
}

/* --- promotions and leases --- */

/* Time until a group without a primary is served again: the failover, an
 * attempt that began anew, and a whole lease.
 */
#define RECOVERY_MAX_MS 6000
/* Step between the moments of a restore, well below each step of a promotion.
 */
#define MOMENT_STEP_MS 20
#define MOMENT_LAST_MS 2400

/* Whether the platform's object of the group names the primary in force. */
static bool
platform_names_primary (LineSim *sim)
{
  const SsGroup *g = ss_config_group (&sim->node.config, "g");
  const char *stored = line_sim_stored (sim, "group/g");
  char *wanted = g_strdup_printf ("\"primary\":\"%s\",\"term\":%d}", g->primary,
                                  (int) g->term);
  bool found = stored && *g->primary && strstr (stored, wanted);

  g_free (wanted);
  return found;
}

/* Crashes the primary, copies the store COPY_MS and restores it RESTORE_MS
 * after that.  Fencing tokens that do not rise are violations.
 */
static void
promote_over_restore (int64_t copy_ms, int64_t restore_ms, uint32_t restores)
{
  LineSim sim;

  line_sim_init (&sim, 11, 2, 8);
  CU_ASSERT (line_sim_write (&sim, 500));
  line_sim_crash (&sim, 0);
  line_sim_advance (&sim, copy_ms);
  line_sim_copy (&sim);
  line_sim_advance (&sim, restore_ms - copy_ms);
  for (uint32_t i = 0; i < restores; i++)
    {
      line_sim_restore (&sim);
      line_sim_advance (&sim, 100);
    }
  CU_ASSERT (line_sim_write (&sim, RECOVERY_MAX_MS));
  line_sim_advance (&sim, 1000);
  CU_ASSERT (platform_names_primary (&sim));
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term >= 2);
  CU_ASSERT (sim.promoted
             && strcmp (ss_config_group (&sim.node.config, "g")->primary,
                        sim.promoted->name)
                    == 0);
  CU_ASSERT (sim.violations == 0);
  if (!platform_names_primary (&sim) || sim.violations)
    g_printerr ("copy %d restore %d: promotions %u, term %d, stored %s %s\n",
                (int) copy_ms, (int) restore_ms, sim.promotions,
                (int) ss_config_group (&sim.node.config, "g")->term,
                line_sim_stored (&sim, "group/g"), sim.first_violation);
  line_sim_finish (&sim);
}

/* Guards against a group without a primary, and against fencing tokens that go
 * back, after a restore at any step of a promotion.
 */
static void
promotion_ends_after_restore_at_any_step (void)
{
  for (int64_t ms = 0; ms <= MOMENT_LAST_MS; ms += MOMENT_STEP_MS)
    promote_over_restore (0, ms, 1);
}

/* Guards against the same after two restores in a row, from copies of any age.
 */
static void
promotion_ends_after_two_restores (void)
{
  for (int64_t ms = 200; ms <= MOMENT_LAST_MS; ms += 5 * MOMENT_STEP_MS)
    for (int64_t copy_ms = 0; copy_ms < ms; copy_ms += 10 * MOMENT_STEP_MS)
      promote_over_restore (copy_ms, ms, 2);
}

/* Guards against a primary that the platform no longer names: the write that
 * named it was lost, and no VM wrote it again.
 */
static void
lost_name_of_primary_is_written_again (void)
{
  LineSim sim;

  line_sim_init (&sim, 12, 2, 8);
  line_sim_copy (&sim);
  line_sim_crash (&sim, 0);
  CU_ASSERT (line_sim_write (&sim, RECOVERY_MAX_MS));
  line_sim_restore (&sim);
  line_sim_advance (&sim, SS_LEASE_MS);
  CU_ASSERT (platform_names_primary (&sim));
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term == 2);
  CU_ASSERT (sim.promotions == 1);
  CU_ASSERT (line_sim_write (&sim, 500));
  line_sim_finish (&sim);
}

/* --- other VMs --- */

/* Ranks before the VM "a" of the simulation. */
#define COORDINATOR_VM "f"

static void
receive_heartbeat (LineSim *sim, const char *vm, int64_t sequence)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat heartbeat = SS__PEER__HEARTBEAT__INIT;

  heartbeat.vm = (char *) vm;
  heartbeat.failure_domain = (char *) "d";
  heartbeat.ip = (char *) "10.0.0.2";
  heartbeat.peer_port = 1;
  heartbeat.ready = true;
  heartbeat.platform_up = true;
  heartbeat.sequence = sequence;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &heartbeat;
  line_sim_deliver_peer_message (sim, &e);
}

/* Guards against a name that is lost for good: VM COORDINATOR_VM
 * coordinates promotions, but it started after the restore and knows only what
 * the platform holds.
 */
static void
name_known_to_no_coordinator_is_written_again (void)
{
  LineSim sim;

  line_sim_init (&sim, 19, 2, 8);
  line_sim_copy (&sim);
  line_sim_crash (&sim, 0);
  CU_ASSERT (line_sim_write (&sim, RECOVERY_MAX_MS));
  receive_heartbeat (&sim, COORDINATOR_VM, 0);
  line_sim_advance (&sim, 100);
  CU_ASSERT (!ss_coordinator_is_self (&sim.node));
  line_sim_restore (&sim);
  for (uint32_t i = 0; i < 12; i++)
    {
      receive_heartbeat (&sim, COORDINATOR_VM, 0);
      line_sim_advance (&sim, 250);
    }
  CU_ASSERT (!ss_coordinator_is_self (&sim.node));
  CU_ASSERT (platform_names_primary (&sim));
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term == 2);
  line_sim_finish (&sim);
}

/* Guards against CONFIG: a VM whose watch of the routes is silent, while its
 * other watches are answered, neither watched nor asked its peers.
 */
static void
vm_behind_its_peers_asks_them (void)
{
  LineSim sim;

  line_sim_init (&sim, 17, 2, 8);
  CU_ASSERT (!sim.node.platform_down);
  for (uint32_t i = 0; i < 4; i++)
    {
      receive_heartbeat (&sim, "b", 9);
      line_sim_advance (&sim, 250);
    }
  CU_ASSERT (sim.config_pulls > 0);
  line_sim_finish (&sim);
}

/* A change spreads to all VMs at nearly the same time: a peer that is ahead for
 * one heartbeat is no reason to ask it.
 */
static void
vm_that_catches_up_asks_nobody (void)
{
  static const char routes[] = "{\"services\":{\"a\":{\"group\":\"g\"}}}";
  LineSim sim;
  SsObject o = { .key = "routes/main",
                 .value = routes,
                 .value_bytes = sizeof routes - 1,
                 .sequence = 9 };
  char *error;

  line_sim_init (&sim, 18, 2, 8);
  receive_heartbeat (&sim, "b", 9);
  line_sim_advance (&sim, 250);
  o.version = sim.version + 1;
  CU_ASSERT (ss_config_adopt (&sim.node.config, &o, sim.now_ms, &error)
             == SS_ADOPT_DONE);
  for (uint32_t i = 0; i < 4; i++)
    {
      receive_heartbeat (&sim, "b", 9);
      line_sim_advance (&sim, 250);
    }
  CU_ASSERT (sim.config_pulls == 0);
  line_sim_finish (&sim);
}

CU_TestInfo test_restore[] = {
  { "change after restore is in force", change_after_restore_is_in_force },
  { "operator's number goes before revision",
    operators_number_goes_before_revision },
  { "older copy does not replace configuration",
    older_copy_does_not_replace_configuration },
  { "newer configuration of peer is adopted",
    newer_configuration_of_peer_is_adopted },
  { "group does not go back to earlier term",
    group_does_not_go_back_to_earlier_term },
  { "draining outlasts restore", draining_outlasts_restore },
  { "restored store is listed again", restored_store_is_listed_again },
  { "response of earlier era is ignored", response_of_earlier_era_is_ignored },
  { "promotion ends after restore at any step",
    promotion_ends_after_restore_at_any_step },
  { "promotion ends after two restores", promotion_ends_after_two_restores },
  { "lost name of primary is written again",
    lost_name_of_primary_is_written_again },
  { "name known to no coordinator is written again",
    name_known_to_no_coordinator_is_written_again },
  { "vm behind its peers asks them", vm_behind_its_peers_asks_them },
  { "vm that catches up asks nobody", vm_that_catches_up_asks_nobody },
  CU_TEST_INFO_NULL,
};
