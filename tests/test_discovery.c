/* Objects of targets: servers that restart under their name, and objects that
 * can't be read among valid ones.
 */
#include <string.h>

#include "tests/line_sim.h"
#include "tests/unit.h"

#define REPLICA 1 /* index of "t2" */
/* The core acts on an event within this time. */
#define SOON_MS 25

static void
put_target (LineSim *sim, const char *name, uint32_t address, int64_t born_ms)
{
  char *key = g_strdup_printf ("target/%s", name);
  char *value = g_strdup_printf (
      "{\"group\":\"g\",\"ip\":\"10.0.1.%u\",\"port\":1,\"failure_domain\":"
      "\"d\",\"slots\":2,\"born_ms\":%" G_GINT64_FORMAT "}",
      address, born_ms);

  line_sim_put (sim, key, value);
  g_free (value);
  g_free (key);
}

/* Counts the connections to SERVER that were opened as number LAST or before.
 */
static uint32_t
count_connections (LineSim *sim, uint32_t server, uint64_t last)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LineConnection *c = value;

      count += c->server == &sim->servers[server] && c->id <= last ? 1 : 0;
    }
  return count;
}

static void
expect_no_violations (const LineSim *sim)
{
  CU_ASSERT (sim->violations == 0);
  if (sim->violations)
    g_printerr ("%s\n", sim->first_violation);
}

/* Starts with all targets born and some connections to the replica open. */
static void
sim_init (LineSim *sim)
{
  line_sim_init (sim, 1, LINE_SESSIONS_MAX, 40);
  for (uint32_t i = 0; i < LINE_SERVERS; i++)
    put_target (sim, sim->servers[i].name, i + 1, 1000);
  line_sim_advance (sim, 1000);
  line_sim_write (sim, 1000);
  for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
    line_sim_send (sim, i, "READ 1a");
  line_sim_advance (sim, 500);
  CU_ASSERT (count_connections (sim, REPLICA, G_MAXUINT64) > 1);
}

/* Guards against statements on connections to a server process that has ended:
 * they may not have broken yet.
 */
static void
restarted_server_gets_new_connections (void)
{
  static const struct
  {
    uint32_t address;
    int64_t born_ms;
  } cases[] = { { 2, 2000 }, { 9, 1000 }, { 9, 2000 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      LineSim sim;
      uint64_t last;

      sim_init (&sim);
      last = sim.node.next_connection;
      put_target (&sim, "t2", cases[i].address, cases[i].born_ms);
      line_sim_advance (&sim, SOON_MS);
      CU_ASSERT (count_connections (&sim, REPLICA, last) == 0);
      line_sim_advance (&sim, 200);
      CU_ASSERT (ss_config_target (&sim.node.config, "t2")->state.reachable);
      line_sim_finish (&sim);
    }
}

/* Guards against closed connections where the object changes otherwise. */
static void
other_change_keeps_connections (void)
{
  LineSim sim;
  uint32_t before;

  sim_init (&sim);
  before = count_connections (&sim, REPLICA, G_MAXUINT64);
  put_target (&sim, "t2", 2, 1000);
  line_sim_advance (&sim, SOON_MS);
  CU_ASSERT (count_connections (&sim, REPLICA, G_MAXUINT64) == before);
  line_sim_finish (&sim);
}

/* Guards against reads at a replica that restarted empty, below their floor. */
static void
empty_replica_serves_no_read_above_its_position (void)
{
  LineSim sim;
  LineServer *replica = &sim.servers[REPLICA];
  SsTarget *t;

  sim_init (&sim);
  t = ss_config_target (&sim.node.config, "t2");
  CU_ASSERT (t->state.applied.offset > 0);
  replica->received = (SsPosition){ 1, 0 };
  replica->applied = replica->received;
  replica->replication_stopped = true;
  put_target (&sim, "t2", 2, 2000);
  CU_ASSERT (t->state.applied.offset == 0 && !t->state.reachable);
  line_sim_advance (&sim, 1000);
  CU_ASSERT (t->state.reachable && t->state.applied.offset == 0);
  for (uint32_t round = 0; round < 5; round++)
    {
      CU_ASSERT (line_sim_write (&sim, 1000));
      for (uint32_t i = 2; i <= LINE_SESSIONS_MAX; i += 2)
        {
          sim.sessions[i - 1].committed = sim.sessions[0].committed;
          line_sim_send (&sim, i, "READ 1a");
        }
      line_sim_advance (&sim, 700);
    }
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against a report about the former process that arrives late and counts
 * for the new one.
 */
static void
report_of_former_process_is_void (void)
{
  LineSim sim;
  SsTarget *t;
  SsServerState former;

  sim_init (&sim);
  t = ss_config_target (&sim.node.config, "t2");
  former = t->state;
  put_target (&sim, "t2", 2, 2000);
  ss_node_update_state (&sim.node, t, &former, 50);
  CU_ASSERT (!t->state.reachable && t->state.applied.offset == 0);
  line_sim_finish (&sim);
}

/* Guards against a commit that is acknowledged although the primary that counts
 * for the majority has lost it.
 */
static void
commit_of_former_process_is_in_doubt (void)
{
  LineSim sim;

  sim_init (&sim);
  sim.servers[1].replication_stopped = true;
  sim.servers[2].replication_stopped = true;
  line_sim_send (&sim, 1, "WRITE 1a x");
  line_sim_advance (&sim, 100);
  CU_ASSERT (sim.sessions[0].awaiting_reply);
  put_target (&sim, "t1", 1, 2000);
  line_sim_advance (&sim, SOON_MS);
  CU_ASSERT (!sim.sessions[0].awaiting_reply);
  CU_ASSERT (sim.sessions[0].verdict == SS_VERDICT_MAY_HAVE_RUN);
  line_sim_finish (&sim);
}

#define GOOD                                                                   \
  "\"ip\":\"10.0.1.9\",\"port\":1,\"failure_domain\":\"d\",\"slots\":2"

/* Guards against an object that can't be read and takes others with it. */
static void
invalid_objects_leave_others_in_force (void)
{
  static const char *const bad[] = {
    "no JSON",
    "",
    "[]",
    "{",
    "{" GOOD "}",
    "{\"group\":7," GOOD "}",
    "{\"group\":\"g\"}",
    "{\"group\":\"g\"," GOOD ",\"born_ms\":\"now\"}",
    "{\"group\":\"g\"," GOOD ",\"born_ms\":-1}",
    "{\"group\":\"g\"," GOOD ",\"draining\":\"maybe\"}",
    "{\"group\":\"g\"," GOOD ",\"state\":\"asleep\"}",
    "{\"group\":\"g\"," GOOD "} and more",
  };
  LineSim sim;

  sim_init (&sim);
  sim.emitted = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *key = g_strdup_printf ("target/bad-%zu", i);
      char *line = g_strdup_printf ("%s\n", key);
      const char *found;

      line_sim_put (&sim, key, bad[i]);
      line_sim_advance (&sim, SOON_MS);
      found = strstr (sim.emitted->str, line);
      CU_ASSERT_PTR_NOT_NULL (found);
      CU_ASSERT (!found || !strstr (found + 1, line));
      CU_ASSERT_PTR_NULL (ss_config_target (&sim.node.config, key + 7));
      g_free (line);
      g_free (key);
    }
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_CONFIG_REFUSED]
             == G_N_ELEMENTS (bad));
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->server_count
             == LINE_SERVERS);
  CU_ASSERT (line_sim_write (&sim, 1000));
  line_sim_finish (&sim);
}

/* Guards against a target of a group that is not configured. */
static void
target_of_unknown_group_is_not_used (void)
{
  LineSim sim;

  sim_init (&sim);
  line_sim_put (&sim, "target/t9", "{\"group\":\"nobody\"," GOOD "}");
  line_sim_advance (&sim, 2000);
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->server_count
             == LINE_SERVERS);
  CU_ASSERT (line_sim_write (&sim, 1000));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

CU_TestInfo test_discovery[] = {
  { "restarted server gets new connections",
    restarted_server_gets_new_connections },
  { "other change keeps connections", other_change_keeps_connections },
  { "empty replica serves no read above its position",
    empty_replica_serves_no_read_above_its_position },
  { "report of former process is void", report_of_former_process_is_void },
  { "commit of former process is in doubt",
    commit_of_former_process_is_in_doubt },
  { "invalid objects leave others in force",
    invalid_objects_leave_others_in_force },
  { "target of unknown group is not used",
    target_of_unknown_group_is_not_used },
  CU_TEST_INFO_NULL,
};
