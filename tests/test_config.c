/* Adoption of platform objects into the configuration. */
#include <string.h>

#include "core/config.h"
#include "tests/unit.h"

#define TARGET_JSON                                                            \
  "{\"group\":\"g\",\"ip\":\"10.0.0.1\",\"port\":5432,"                        \
  "\"failure_domain\":\"d\",\"max_connections\":20}"

static SsAdoption
adopt (SsConfig *config, const char *key, int64_t version, const char *json)
{
  SsObject o = { key, version, json, (uint32_t) strlen (json), false, 0 };
  char *error;
  SsAdoption result = ss_config_adopt (config, &o, 0, &error);

  g_free (error);
  return result;
}

static void
only_newer_versions_are_adopted (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt (&c, "target/t", 5, TARGET_JSON) == SS_ADOPT_DONE);
  CU_ASSERT (adopt (&c, "target/t", 5, TARGET_JSON) == SS_ADOPT_NOT_NEWER);
  CU_ASSERT (adopt (&c, "target/t", 4, TARGET_JSON) == SS_ADOPT_NOT_NEWER);
  CU_ASSERT (adopt (&c, "target/t", 6, TARGET_JSON) == SS_ADOPT_DONE);
  CU_ASSERT (ss_config_target (&c, "t")->version == 6);
  ss_config_finish (&c);
}

static void
invalid_object_changes_nothing (void)
{
  static const char *const bad[] = {
    "{}",
    "[]",
    "nonsense",
    "{\"group\":1}",
    "{\"group\":\"g\",\"ip\":\"1\",\"port\":0,\"failure_domain\":\"d\","
    "\"max_connections\":20}",
    "{\"group\":\"g\",\"ip\":\"1\",\"port\":1,\"failure_domain\":\"d\","
    "\"max_connections\":3}",
    "{\"group\":\"g\",\"group\":\"h\"}",
    "{\"group\":\"g\",\"ip\":\"1\",\"port\":1,\"failure_domain\":\"d\","
    "\"max_connections\":20,\"colour\":1}",
  };
  SsConfig c;

  ss_config_init (&c);
  adopt (&c, "target/t", 1, TARGET_JSON);
  for (uint32_t i = 0; i < G_N_ELEMENTS (bad); i++)
    CU_ASSERT (adopt (&c, "target/t", 10 + i, bad[i]) == SS_ADOPT_INVALID);
  CU_ASSERT (ss_config_target (&c, "t")->version == 1);
  CU_ASSERT_STRING_EQUAL (ss_config_target (&c, "t")->group, "g");
  ss_config_finish (&c);
}

static void
groups_find_servers_and_primary (void)
{
  SsConfig c;
  SsGroup *g;

  ss_config_init (&c);
  adopt (&c, "target/t1", 1, TARGET_JSON);
  adopt (&c, "group/g", 2, "{\"term\":3,\"primary\":\"t2\"}");
  adopt (&c, "target/t2", 3, TARGET_JSON);
  g = ss_config_group (&c, "g");
  CU_ASSERT (g->server_count == 2 && ss_group_majority (g) == 2);
  CU_ASSERT_PTR_EQUAL (ss_group_primary (g), ss_config_target (&c, "t2"));
  ss_config_finish (&c);
}

static void
read_kinds_of_services_are_parsed (void)
{
  SsConfig c;
  const SsService *s;

  ss_config_init (&c);
  CU_ASSERT (adopt (&c, "service/s", 1,
                    "{\"group\":\"g\",\"kinds\":{\"lookup\":"
                    "{\"staleness_ms\":30000}},\"default_kind\":\"lookup\"}")
             == SS_ADOPT_DONE);
  CU_ASSERT (
      adopt (&c, "service/s", 2, "{\"group\":\"g\",\"default_kind\":\"none\"}")
      == SS_ADOPT_INVALID);
  s = ss_config_service (&c, "s");
  CU_ASSERT (ss_service_staleness (s, "lookup") == 30000);
  CU_ASSERT (ss_service_staleness (s, "session") == 0);
  CU_ASSERT (ss_service_staleness (s, "none") == -1);
  CU_ASSERT (s->acknowledge_majority);
  ss_config_finish (&c);
}

static void
invalid_routes_change_no_limits (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt (&c, "routes/main", 1,
                    "{\"services\":{},\"groups\":{\"a\":"
                    "{\"max_connections\":20},\"b\":{}}}")
             == SS_ADOPT_INVALID);
  CU_ASSERT_PTR_NULL (ss_config_group (&c, "a"));
  CU_ASSERT (g_hash_table_size (c.max_connections) == 0);
  ss_config_finish (&c);
}

CU_TestInfo test_config[] = {
  { "only newer versions are adopted", only_newer_versions_are_adopted },
  { "invalid object changes nothing", invalid_object_changes_nothing },
  { "groups find servers and primary", groups_find_servers_and_primary },
  { "read kinds of services are parsed", read_kinds_of_services_are_parsed },
  { "invalid routes change no limits", invalid_routes_change_no_limits },
  CU_TEST_INFO_NULL,
};
