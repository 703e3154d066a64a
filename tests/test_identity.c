/* Organisations: which callers are served, under which name, and that keys are
 * kept secret.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/command.h"
#include "core/identity.h"
#include "plugins/metrics.h"
#include "tests/fleet_sim.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define KEY_A "key-of-alpha-7d1f"
#define KEY_B "key-of-beta-93c2"
#define KEY_UNKNOWN "key-of-nobody-55aa"

/* The session that the tests open; line_sim_init opens the ones before it. */
#define SESSION 1

static json_t *
organisation_of (const char *first, const char *second)
{
  const char *const keys[] = { first, second };
  json_t *digests = json_array ();

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      char digest[SS_KEY_DIGEST_BYTES];

      ss_identity_digest (keys[i], digest);
      if (*digest)
        json_array_append_new (digests, json_string (digest));
    }
  return json_pack ("{s:o}", "key_digests", digests);
}

/* Returns routes with the organisations "alpha" and "beta", and their keys; a
 * key may be NULL.  The caller frees the text.
 */
static char *
routes (const char *alpha, const char *beta, const char *beta_second)
{
  json_t *json
      = json_pack ("{s:{s:{s:s, s:s, s:i}, s:{s:s, s:s, s:b}}, s:{s:{s:i}}, "
                   "s:{s:o, s:o}}",
                   "services", "strict", "group", "g", "default_kind", "strict",
                   "timeout_ms", 1000, "open", "group", "g", "default_kind",
                   "strict", "public", true, "groups", "g", "max_connections",
                   12, "organisations", "alpha", organisation_of (alpha, NULL),
                   "beta", organisation_of (beta, beta_second));
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static void
put_routes (LineSim *sim, const char *alpha, const char *beta,
            const char *beta_second)
{
  char *text = routes (alpha, beta, beta_second);

  line_sim_put (sim, "routes/main", text);
  free (text);
}

static void
sim_init (LineSim *sim)
{
  line_sim_init (sim, 1, 0, 12);
  put_routes (sim, KEY_A, KEY_B, NULL);
}

/* Opens SESSION, whose statements must run for ORGANISATION. */
static void
open_session (LineSim *sim, const char *service, const char *key,
              const char *name)
{
  line_sim_open (sim, SESSION, service, key);
  sim->sessions[SESSION - 1].organisation = name;
}

static bool
was_refused (const LineSim *sim)
{
  const LineSession *s = &sim->sessions[SESSION - 1];

  return s->verdict == SS_VERDICT_NOT_RUN && s->reason == SS_REASON_UNKNOWN_KEY;
}

static bool
runs (LineSim *sim, const char *text)
{
  return line_sim_execute (sim, SESSION, text)
         && sim->sessions[SESSION - 1].verdict == SS_VERDICT_RAN;
}

static bool
is_refused (LineSim *sim, const char *text)
{
  return line_sim_execute (sim, SESSION, text) && was_refused (sim)
         && line_sim_run_count (sim, line_sim_last_label (sim, SESSION)) == 0;
}

static void
expect_no_violations (const LineSim *sim)
{
  CU_ASSERT (sim->violations == 0);
  if (sim->violations)
    g_printerr ("%s\n", sim->first_violation);
}

/* Guards against statements that run for no organisation or for another one. */
static void
known_key_is_served_for_its_organisation (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (sim.sessions[SESSION - 1].verdict == SS_VERDICT_RAN);
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  CU_ASSERT (runs (&sim, "READ 1a"));
  line_sim_close (&sim, SESSION);
  open_session (&sim, "strict", KEY_B, "beta");
  CU_ASSERT (runs (&sim, "READ 1a"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against callers that get a session without a key of an organisation.
 */
static void
unknown_key_is_refused_at_connect (void)
{
  static const char *const keys[] = { KEY_UNKNOWN, NULL, "", "alpha" };
  LineSim sim;

  sim_init (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      open_session (&sim, "strict", keys[i], "");
      CU_ASSERT (was_refused (&sim));
      CU_ASSERT (g_hash_table_size (sim.node.sessions) == 0);
    }
  CU_ASSERT (sim.node.counters.values[SS_COUNTER_UNKNOWN_KEYS]
             == G_N_ELEMENTS (keys));
  line_sim_finish (&sim);
}

/* Guards against a digest that is taken for the key: who reads the
 * configuration could connect with it.
 */
static void
digest_is_no_key (void)
{
  LineSim sim;
  char digest[SS_KEY_DIGEST_BYTES];

  sim_init (&sim);
  ss_identity_digest (KEY_A, digest);
  open_session (&sim, "strict", digest, "");
  CU_ASSERT (was_refused (&sim));
  line_sim_finish (&sim);
}

/* Guards against a public service that asks for a key, and against connections
 * for it that name an organisation.
 */
static void
public_service_needs_no_key (void)
{
  static const char *const keys[] = { NULL, KEY_UNKNOWN, KEY_A };
  LineSim sim;

  sim_init (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      open_session (&sim, "open", keys[i], "");
      CU_ASSERT (runs (&sim, "READ 1a"));
      line_sim_close (&sim, SESSION);
    }
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against sessions that outlive their key: also statements that the VM
 * answers itself are refused.
 */
static void
removed_key_ends_service_of_open_session (void)
{
  static const char *const texts[]
      = { "READ 1a",           "WRITE 1a x",   "BEGIN",
          "BEGIN READ",        "SET v0 1",     "DEALLOC p",
          "PREPARE q READ 2b", "EXECUTE p 3c", "COMMIT",
          "ROLLBACK",          "nonsense" };
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "PREPARE p READ 1a"));
  put_routes (&sim, NULL, KEY_B, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    CU_ASSERT (is_refused (&sim, texts[i]));
  CU_ASSERT (sim.sessions[SESSION - 1].status == 'I');
  put_routes (&sim, KEY_A, KEY_B, NULL);
  CU_ASSERT (runs (&sim, "READ 1a"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against a removal that tears an open transaction. */
static void
open_transaction_ends_after_its_key_is_removed (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "BEGIN"));
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  put_routes (&sim, NULL, KEY_B, NULL);
  CU_ASSERT (runs (&sim, "WRITE 2b y"));
  CU_ASSERT (runs (&sim, "COMMIT"));
  CU_ASSERT (is_refused (&sim, "READ 1a"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* A transaction begins with its first statement.  Guards against BEGIN as a way
 * to keep the use of a removed key, and against a session that can't leave the
 * refused transaction.
 */
static void
transaction_without_a_statement_is_refused (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "BEGIN"));
  put_routes (&sim, NULL, KEY_B, NULL);
  CU_ASSERT (is_refused (&sim, "WRITE 1a x"));
  CU_ASSERT (sim.sessions[SESSION - 1].status == 'E');
  CU_ASSERT (runs (&sim, "ROLLBACK"));
  CU_ASSERT (sim.sessions[SESSION - 1].status == 'I');
  put_routes (&sim, KEY_A, KEY_B, NULL);
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against statements that run on connections of the key's former
 * organisation.  A transaction stays on its connection.
 */
static void
moved_key_changes_organisation (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "READ 1a"));
  CU_ASSERT (runs (&sim, "BEGIN"));
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  put_routes (&sim, NULL, KEY_B, KEY_A);
  CU_ASSERT (runs (&sim, "COMMIT"));
  sim.sessions[SESSION - 1].organisation = "beta";
  CU_ASSERT (runs (&sim, "READ 1a"));
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

static const char routes_without[]
    = "{\"services\":{\"strict\":{\"group\":\"g\",\"default_kind\":"
      "\"strict\"}},\"groups\":{\"g\":{\"max_connections\":12}}}";

/* Guards against a change of a deployment without organisations, and against
 * connections without an organisation that are used after it has some.
 */
static void
organisations_come_and_go (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 0, 12);
  open_session (&sim, "strict", NULL, "");
  CU_ASSERT (runs (&sim, "READ 1a"));
  put_routes (&sim, KEY_A, KEY_B, NULL);
  CU_ASSERT (is_refused (&sim, "READ 1a"));
  line_sim_close (&sim, SESSION);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "READ 1a"));
  line_sim_put (&sim, "routes/main", routes_without);
  sim.sessions[SESSION - 1].organisation = "";
  CU_ASSERT (runs (&sim, "READ 1a"));
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Whether a connection to a server was opened for ORGANISATION. */
static bool
has_connection (LineSim *sim, const char *organisation)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_strcmp0 (((LineConnection *) value)->organisation, organisation) == 0)
      return true;
  return false;
}

/* Guards against a VM that crashed: the only idle connections were opened for
 * organisations that the configuration has no more.
 */
static void
connections_of_organisations_are_given_up (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  line_sim_put (&sim, "routes/main", routes_without);
  sim.sessions[SESSION - 1].organisation = "";
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Guards against a VM that crashed: it has no organisations in force, and one
 * with another configuration sends a statement of an organisation.
 */
static void
statement_of_unknown_organisation_runs_apart (void)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Run run = SS__PEER__RUN__INIT;
  LineSim sim;

  line_sim_init (&sim, 1, 0, 12);
  open_session (&sim, "strict", NULL, "");
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  run.request = 1;
  run.session = 1;
  run.target = (char *) "t1";
  run.service = (char *) "strict";
  run.sql.data = (uint8_t *) "READ 1a";
  run.sql.len = strlen ("READ 1a");
  run.is_read = true;
  run.left_ms = 1000;
  run.organisation = (char *) "alpha";
  e.body_case = SS__PEER__ENVELOPE__BODY_RUN;
  e.run = &run;
  line_sim_deliver_peer_message (&sim, &e);
  line_sim_advance (&sim, 100);
  CU_ASSERT (runs (&sim, "WRITE 1a x"));
  CU_ASSERT (has_connection (&sim, "alpha"));
  expect_no_violations (&sim);
  line_sim_finish (&sim);
}

/* Delivers routes that VM "b" passes on. */
static void
push_routes (LineSim *sim, int64_t version, int64_t sequence, char *text)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Ss__Peer__ConfigObject object = SS__PEER__CONFIG_OBJECT__INIT;
  Ss__Peer__ConfigObject *objects = &object;

  object.key = (char *) "routes/main";
  object.version = version;
  object.sequence = sequence;
  object.value.data = (uint8_t *) text;
  object.value.len = strlen (text);
  push.since = -1;
  push.objects = &objects;
  push.n_objects = 1;
  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PUSH;
  e.config_push = &push;
  line_sim_deliver_peer_message (sim, &e);
  free (text);
}

/* Guards against a removed key that is valid again where an older configuration
 * arrives late.  A VM that the platform turns away gets the configuration from
 * other VMs.
 */
static void
older_configuration_brings_no_key_back (void)
{
  LineSim sim;

  sim_init (&sim);
  open_session (&sim, "strict", KEY_A, "alpha");
  sim.platform_down = true;
  push_routes (&sim, sim.version + 10, 7, routes (NULL, KEY_B, NULL));
  CU_ASSERT (is_refused (&sim, "READ 1a"));
  /* Older by the operator's number, although the platform, restored from a
   * copy, gave it a higher version.
   */
  push_routes (&sim, sim.version + 20, 6, routes (KEY_A, KEY_B, NULL));
  CU_ASSERT (is_refused (&sim, "READ 1a"));
  /* Older by its version, without a number. */
  push_routes (&sim, sim.version + 5, 0, routes (KEY_A, KEY_B, NULL));
  CU_ASSERT (is_refused (&sim, "READ 1a"));
  push_routes (&sim, sim.version + 30, 8, routes (KEY_A, KEY_B, NULL));
  CU_ASSERT (runs (&sim, "READ 1a"));
  line_sim_finish (&sim);
}

/* A VM without news serves on with what it has. */
static void
cut_off_vm_serves_on (void)
{
  LineSim sim;

  sim_init (&sim);
  sim.platform_down = true;
  line_sim_advance (&sim, 5000);
  open_session (&sim, "strict", KEY_A, "alpha");
  CU_ASSERT (runs (&sim, "READ 1a"));
  line_sim_finish (&sim);
}

static void
receive_heartbeat (LineSim *sim)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat heartbeat = SS__PEER__HEARTBEAT__INIT;

  heartbeat.vm = (char *) "b";
  heartbeat.failure_domain = (char *) "d";
  heartbeat.ip = (char *) "10.0.0.2";
  heartbeat.peer_port = 1;
  heartbeat.platform_up = true;
  heartbeat.ready = true;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &heartbeat;
  line_sim_deliver_peer_message (sim, &e);
}

/* Runs statements, half of which go to targets of VM "b", while VM "b" is live.
 */
static void
run_with_peer (LineSim *sim)
{
  for (uint32_t i = 0; i < 20; i++)
    {
      receive_heartbeat (sim);
      if (!sim->sessions[SESSION - 1].awaiting_reply)
        line_sim_send (sim, SESSION, i % 2 ? "READ 1a" : "WRITE 1a x");
      line_sim_advance (sim, 100);
    }
}

static void
show_all_tables (LineSim *sim)
{
  for (uint32_t i = 0; i < SS_TABLE_COUNT; i++)
    {
      char *text = g_strdup_printf ("show %s", ss_table_name ((SsTable) i));
      char *metrics = ss_metrics_text (&sim->node);

      line_sim_operator (sim, text);
      receive_heartbeat (sim);
      line_sim_advance (sim, 700);
      g_string_append (sim->emitted, metrics);
      g_free (metrics);
      g_free (text);
    }
}

static bool
emitted (const LineSim *sim, const char *text)
{
  return strstr (sim->emitted->str, text) != NULL;
}

/* Asks for the configuration as VM "b". */
static void
pull_configuration (LineSim *sim)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ConfigPull pull = SS__PEER__CONFIG_PULL__INIT;

  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PULL;
  e.config_pull = &pull;
  line_sim_deliver_peer_message (sim, &e);
}

/* Guards against keys in log lines, metrics, operator output and messages
 * between VMs, and against digests in operator output.
 */
static void
keys_are_written_nowhere (void)
{
  static const char *const keys[] = { KEY_A, KEY_B, KEY_UNKNOWN };
  LineSim sim;

  sim_init (&sim);
  sim.emitted = g_string_new (NULL);
  sim.node.params.spans = true;
  open_session (&sim, "strict", KEY_UNKNOWN, "");
  open_session (&sim, "strict", KEY_A, "alpha");
  run_with_peer (&sim);
  put_routes (&sim, NULL, KEY_B, NULL);
  run_with_peer (&sim);
  put_routes (&sim, KEY_A, KEY_B, NULL);
  /* What is invalid is quoted in no message. */
  put_routes (&sim, KEY_A, KEY_B, KEY_A);
  line_sim_put (&sim, "routes/main", "{\"" KEY_A "\" \"" KEY_B "\"}");
  show_all_tables (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      char digest[SS_KEY_DIGEST_BYTES];

      ss_identity_digest (keys[i], digest);
      CU_ASSERT (!emitted (&sim, digest));
    }
  pull_configuration (&sim);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT (!emitted (&sim, keys[i]));
  /* The run has written what is looked through. */
  CU_ASSERT (emitted (&sim, "alpha"));
  CU_ASSERT (emitted (&sim, "unknown_key"));
  CU_ASSERT (emitted (&sim, "routes/main"));
  CU_ASSERT (emitted (&sim, "sapphirestair_unknown_keys_total"));
  line_sim_finish (&sim);
}

#define B64_32 "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
#define VERIFIER(salt) "SCRAM-SHA-256$4096:" salt "$" B64_32 ":" B64_32
#define VERIFIER_1 VERIFIER ("W22ZaJ0SNY7soEsUEjb6gQ==")
#define VERIFIER_2 VERIFIER ("X22ZaJ0SNY7soEsUEjb6gQ==")

static void
order (LineSim *sim, const char *text, bool accepted)
{
  g_string_truncate (sim->emitted, 0);
  line_sim_operator (sim, text);
  line_sim_advance (sim, 100);
  CU_ASSERT (emitted (sim, accepted ? "\"verdict\":\"ran\""
                                    : "\"verdict\":\"not_run\""));
  CU_ASSERT (!emitted (sim, "SCRAM-SHA-256$4") || accepted);
}

static bool
is_valid (const LineSim *sim, const char *key, const char *verifier)
{
  char *credential = ss_identity_credential ("acme", key, verifier);
  char digest[SS_KEY_DIGEST_BYTES];
  bool valid;

  ss_identity_digest (credential, digest);
  valid = ss_config_key (&sim->node.config, digest) != NULL;
  g_free (credential);
  return valid;
}

/* Guards against keys that an operator adds or removes without effect, and
 * against answers that quote a verifier.
 */
static void
operators_change_keys (void)
{
  LineSim sim;

  line_sim_init (&sim, 1, 0, 12);
  sim.emitted = g_string_new (NULL);
  order (&sim, "add key acme default = '" VERIFIER_1 "'", false);
  line_sim_put (&sim, "organisation/acme",
                "{\"key_verifiers\":{\"default\":\"" VERIFIER_1
                "\"},\"rate_per_s\":5}");
  CU_ASSERT (is_valid (&sim, "default", VERIFIER_1));
  order (&sim, "add key acme default = '" VERIFIER_2 "'", false);
  order (&sim, "add key acme new = 'secret'", false);
  order (&sim, "add key acme new = 7", false);
  order (&sim, "remove key acme new", false);
  order (&sim, "add key acme new = '" VERIFIER_2 "'", true);
  CU_ASSERT (is_valid (&sim, "default", VERIFIER_1));
  CU_ASSERT (is_valid (&sim, "new", VERIFIER_2));
  g_string_truncate (sim.emitted, 0);
  line_sim_operator (&sim, "show organisations where keys = 2");
  line_sim_advance (&sim, 700);
  CU_ASSERT (emitted (&sim, "\"acme\""));
  line_sim_operator (&sim, "show config");
  line_sim_advance (&sim, 700);
  CU_ASSERT (emitted (&sim, "organisation/acme"));
  CU_ASSERT (!emitted (&sim, "SCRAM"));
  order (&sim, "remove key acme default", true);
  CU_ASSERT (!is_valid (&sim, "default", VERIFIER_1));
  CU_ASSERT (is_valid (&sim, "new", VERIFIER_2));
  line_sim_finish (&sim);
}

/* --- revocation in a fleet --- */

#define FLEET_VMS 60
/* A removed key is refused at every VM that has news within this time. */
#define REVOCATION_MS 5000
/* By then, watches that were open before a change of the store have ended. */
#define WATCHES_END_MS 9000

static FleetSim fleet;

static void
put_fleet_key (const char *key, int64_t sequence)
{
  json_t *json
      = json_pack ("{s:{s:{s:s}}, s:{s:{s:i}}, s:{s:o}}", "services", "s0",
                   "group", "g0", "groups", "g0", "max_connections", 50,
                   "organisations", "alpha", organisation_of (key, NULL));
  char *text = json_dumps (json, JSON_COMPACT);

  fleet_put_routes (&fleet, text, sequence);
  free (text);
  json_decref (json);
}

/* Returns how many VMs know KEY. */
static uint32_t
count_knowing (const char *key)
{
  char digest[SS_KEY_DIGEST_BYTES];
  uint32_t count = 0;

  ss_identity_digest (key, digest);
  for (uint32_t i = 0; i < fleet.vm_count; i++)
    count += ss_config_key (&fleet.vms[i].node.config, digest) ? 1 : 0;
  return count;
}

static void
start_fleet (uint32_t seed)
{
  fleet_init (&fleet, seed, FLEET_VMS, 1);
  put_fleet_key (KEY_A, 1);
  fleet_advance (&fleet, 5000);
  CU_ASSERT (count_knowing (KEY_A) == FLEET_VMS);
}

typedef bool (*TurnedAway) (uint32_t vm);

static bool
is_in_first_domain (uint32_t vm)
{
  return vm % FLEET_DOMAINS == 0;
}

static bool
is_in_all_domains_but_one (uint32_t vm)
{
  return vm % FLEET_DOMAINS != 3;
}

static bool
is_every_second (uint32_t vm)
{
  return vm / FLEET_DOMAINS % 2 == 0;
}

static bool
is_not_the_last (uint32_t vm)
{
  return vm != FLEET_VMS - 1;
}

/* Guards against removed keys that stay in use at VMs that the platform turns
 * away: failure domains without any VM that it answers, and single VMs.
 */
static void
removed_key_reaches_vms_that_the_platform_turns_away (void)
{
  static const TurnedAway cases[]
      = { is_in_first_domain, is_in_all_domains_but_one, is_every_second,
          is_not_the_last };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (FleetStoreMode mode = FLEET_STORE_REFUSES; mode <= FLEET_STORE_SILENT;
         mode++)
      {
        start_fleet ((uint32_t) i + 1);
        for (uint32_t vm = 0; vm < FLEET_VMS; vm++)
          if (cases[i](vm))
            fleet.vms[vm].store = mode;
        fleet_advance (&fleet, WATCHES_END_MS);
        put_fleet_key (KEY_B, 2);
        fleet_advance (&fleet, REVOCATION_MS);
        CU_ASSERT (count_knowing (KEY_A) == 0);
        CU_ASSERT (count_knowing (KEY_B) == FLEET_VMS);
        fleet_finish (&fleet);
      }
}

/* Guards against an outage in each cut, and against a part that stays behind
 * after it.
 */
static void
vms_cut_off_serve_on_until_they_have_news (void)
{
  uint32_t cut = 0;

  start_fleet (9);
  for (uint32_t vm = 0; vm < FLEET_VMS; vm++)
    if (is_in_first_domain (vm))
      {
        fleet.vms[vm].store = FLEET_STORE_SILENT;
        fleet.vms[vm].partition = 1;
        cut++;
      }
  fleet_advance (&fleet, WATCHES_END_MS);
  put_fleet_key (KEY_B, 2);
  fleet_advance (&fleet, 2 * REVOCATION_MS);
  CU_ASSERT (count_knowing (KEY_A) == cut);
  for (uint32_t vm = 0; vm < FLEET_VMS; vm++)
    fleet.vms[vm].partition = 0;
  fleet_advance (&fleet, REVOCATION_MS);
  CU_ASSERT (count_knowing (KEY_A) == 0);
  fleet_finish (&fleet);
}

CU_TestInfo test_identity[] = {
  { "known key is served for its organisation",
    known_key_is_served_for_its_organisation },
  { "unknown key is refused at connect", unknown_key_is_refused_at_connect },
  { "digest is no key", digest_is_no_key },
  { "public service needs no key", public_service_needs_no_key },
  { "removed key ends service of open session",
    removed_key_ends_service_of_open_session },
  { "open transaction ends after its key is removed",
    open_transaction_ends_after_its_key_is_removed },
  { "transaction without a statement is refused",
    transaction_without_a_statement_is_refused },
  { "moved key changes organisation", moved_key_changes_organisation },
  { "organisations come and go", organisations_come_and_go },
  { "connections of organisations are given up",
    connections_of_organisations_are_given_up },
  { "statement of unknown organisation runs apart",
    statement_of_unknown_organisation_runs_apart },
  { "older configuration brings no key back",
    older_configuration_brings_no_key_back },
  { "cut-off vm serves on", cut_off_vm_serves_on },
  { "operators change keys", operators_change_keys },
  { "keys are written nowhere", keys_are_written_nowhere },
  { "removed key reaches vms that the platform turns away",
    removed_key_reaches_vms_that_the_platform_turns_away },
  { "vms cut off serve on until they have news",
    vms_cut_off_serve_on_until_they_have_news },
  CU_TEST_INFO_NULL,
};
