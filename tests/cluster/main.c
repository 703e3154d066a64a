/* ss-cluster: real daemons among servers that replicate, in series of faults.
 *
 *   ss-cluster FOLDER SEED DAEMON [KIND,KIND...]
 *
 * Starts six daemons on loopback addresses in three zones, among stand-ins of
 * the platform's store, of three services with three servers each, and of
 * callers of all kinds of route.  From SEED, faults happen meanwhile: of all
 * kinds, or of those listed.  Afterwards it judges what the servers ran by the
 * rules: no stale read, no acknowledged commit lost, no write twice, and none
 * acknowledged by a superseded server.  FOLDER gets the record, the settings
 * and the daemons' logs.  The last line of the output is a JSON object of
 * counts.  The exit status is 0 if the rules held, 1 if not, 2 if the run did
 * not take place.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "tests/cluster/callers.h"
#include "tests/cluster/faults.h"
#include "tests/cluster/history.h"
#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"
#include "tests/world/net.h"
#include "tests/world/store.h"
#include "tests/world/vms.h"

#define GRACE_S 6
#define START_LIMIT_MS 25000
#define CALM_MS 2000
#define TRAFFIC_MS 26000
#define LAST_FAULT_MS 20000
#define AFTER_MS 5000
#define STEP_MS 5
#define READS_MIN 300

static void
add_route (GString *text, uint32_t group, ClusterKind kind)
{
  static const char *const kind_names[CLUSTER_KINDS]
      = { "primary", "read_your_writes", "bounded_staleness" };
  static const int staleness_ms[CLUSTER_KINDS]
      = { 0, CLUSTER_OWN_WRITES_STALENESS_MS, CLUSTER_BOUNDED_STALENESS_MS };
  char *host = cluster_callers_database (group, kind);

  g_string_append_printf (
      text,
      "%s{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\","
      "\"kind\":\"%s\",\"timeout_ms\":1500,\"latency_goal_ms\":600,"
      "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2",
      text->str[text->len - 1] == '[' ? "" : ",", host, host, kind_names[kind],
      cluster_servers_service (group));
  if (staleness_ms[kind])
    g_string_append_printf (text, ",\"max_staleness_ms\":%d",
                            staleness_ms[kind]);
  g_string_append_c (text, '}');
  g_free (host);
}

static void
write_config (void)
{
  GString *text = g_string_new ("{\"version\":7,\"routes\":[");

  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    for (uint32_t kind = 0; kind < CLUSTER_KINDS; kind++)
      add_route (text, i, (ClusterKind) kind);
  g_string_append (text, "],\"services\":[");
  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":21,"
        "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":0}",
        i ? "," : "", cluster_servers_service (i));
  g_string_append (text, "],\"limits\":{\"tx_idle_ms\":3000}}");
  world_store_put ("config", "main", text->str);
  g_string_free (text, TRUE);
}

static bool
start_all (const char *folder, const char *daemon, uint32_t seed)
{
  if (!world_net_start (folder))
    return false;
  cluster_history_init ();
  cluster_faults_link_store ();
  if (!world_store_start () || !cluster_links_start ()
      || !cluster_servers_start (seed))
    return false;
  write_config ();
  world_vms_use_relays ();
  world_vms_start (folder, daemon, GRACE_S);
  while (!world_vms_all_ready ())
    {
      if (world_now_ms () > START_LIMIT_MS)
        return false;
      world_sleep_ms (100);
    }
  return true;
}

static void
play (int64_t for_ms, void (*tick) (void))
{
  int64_t end_ms = world_now_ms () + for_ms;

  while (world_now_ms () < end_ms)
    {
      if (tick)
        tick ();
      world_vms_tend ();
      world_sleep_ms (STEP_MS);
    }
}

static int
report (void)
{
  ClusterVerdict v;
  uint32_t stale;
  uint32_t broken;

  cluster_history_judge (&v);
  stale = v.stale[CLUSTER_PRIMARY] + v.stale[CLUSTER_OWN_WRITES]
          + v.stale[CLUSTER_BOUNDED];
  broken = stale + v.lost + v.twice + v.two_primaries + world_vms_own_ends ();
  printf ("{\"reads\": %u, \"answered\": %u, \"refused\": %u, \"commits\": %u, "
          "\"promotions\": %u, \"stale_primary\": %u, \"stale_own\": %u, "
          "\"stale_bounded\": %u, \"stale_commits\": %u, \"lost\": %u, "
          "\"twice\": %u, \"two_primaries\": %u, \"own_ends\": %u, "
          "\"broken\": %u}\n",
          v.reads, v.answered, v.refused, v.commits,
          cluster_servers_promotions (), v.stale[CLUSTER_PRIMARY],
          v.stale[CLUSTER_OWN_WRITES], v.stale[CLUSTER_BOUNDED],
          v.stale_commits, v.lost, v.twice, v.two_primaries,
          world_vms_own_ends (), broken);
  if (v.reads < READS_MIN)
    return 2;
  return broken ? 1 : 0;
}

int
main (int argc, char **argv)
{
  uint32_t seed;
  int status = 2;

  if (argc != 4 && argc != 5)
    {
      fprintf (stderr, "usage: ss-cluster FOLDER SEED DAEMON [KIND,KIND...]\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  seed = (uint32_t) atoi (argv[2]);
  if (!start_all (argv[1], argv[3], seed))
    goto done;
  cluster_callers_start (seed);
  play (CALM_MS, NULL);
  if (!cluster_faults_plan (seed, LAST_FAULT_MS, argc == 5 ? argv[4] : NULL))
    goto done;
  play (TRAFFIC_MS, cluster_faults_tick);
  cluster_faults_end ();
  play (AFTER_MS, NULL);
  cluster_callers_stop ();
  status = report ();
done:
  world_vms_stop ();
  world_record ("exit status %d", status);
  world_net_finish ();
  fflush (stdout);
  _exit (status);
}
