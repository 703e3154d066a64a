/* The platform's store comes back from a copy some seconds old: its last writes
 * are lost and their revisions are given out again.
 */
#include <string.h>

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
  SsObject o
      = { key, version, json, (uint32_t) strlen (json), false, sequence };
  char *error;
  SsAdoption result = ss_config_adopt (config, &o, 0, &error);

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
  CU_ASSERT (ss_config_is_lost (&c, "routes/main"));
  CU_ASSERT (ss_config_expected_version (&c, "routes/main")
             == ss_version (1, 40));
  CU_ASSERT (adopt_routes (&c, ss_version (1, 43), 30, "a") == SS_ADOPT_DONE);
  CU_ASSERT (!ss_config_is_lost (&c, "routes/main"));
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
  CU_ASSERT (adopt (&c, "group/g", ss_version (1, 58), 0,
                    "{\"term\":7,\"primary\":\"\"}")
             == SS_ADOPT_DONE);
  ss_config_finish (&c);
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
  line_sim_finish (&sim);
}

CU_TestInfo test_restore[] = {
  { "change after restore is in force", change_after_restore_is_in_force },
  { "older copy does not replace configuration",
    older_copy_does_not_replace_configuration },
  { "newer configuration of peer is adopted",
    newer_configuration_of_peer_is_adopted },
  { "group does not go back to earlier term",
    group_does_not_go_back_to_earlier_term },
  { "restored store is listed again", restored_store_is_listed_again },
  { "response of earlier era is ignored", response_of_earlier_era_is_ignored },
  CU_TEST_INFO_NULL,
};
