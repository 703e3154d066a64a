/* Adoption of platform objects into the configuration. */
#include <string.h>

#include "core/voters.h"
#include "core/config.h"
#include "core/config_store.h"
#include "core/identity.h"
#include "tests/unit.h"

#define TARGET_JSON                                                            \
  "{\"group\":\"g\",\"ip\":\"10.0.0.1\",\"port\":5432,"                        \
  "\"failure_domain\":\"d\",\"max_connections\":20}"

static SsAdoption
adopt (SsConfig *config, const char *key, int64_t version, const char *json)
{
  SsObject o
      = { key, version, json, (uint32_t) strlen (json), false, 0, false };
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
  CU_ASSERT (g->server_count == 2);
  CU_ASSERT (ss_group_is_majority (g, 3));
  CU_ASSERT (!ss_group_is_majority (g, 1) && !ss_group_is_majority (g, 2));
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

#define DIGEST_1 "00000000000000000000000000000001"
#define DIGEST_2 "00000000000000000000000000000002"
#define ROUTES(organisations)                                                  \
  "{\"services\":{},\"organisations\":" organisations "}"
#define ONE(members) ROUTES ("{\"a\":{" members "}}")
#define ONE_LIMITED(limits) ONE ("\"key_digests\":[]," limits)

typedef struct
{
  const char *json;
  const char *message; /* a part of the error; NULL: valid */
  bool is_limited;
  uint32_t rate_per_s;
  uint32_t burst;
} OrganisationRow;

static const OrganisationRow organisation_rows[] = {
  { ONE ("\"key_digests\":[]"), NULL, false, 0, 0 },
  { ONE ("\"key_digests\":[\"" DIGEST_1 "\",\"" DIGEST_1 "\"]"), NULL, false, 0,
    0 },
  { ONE_LIMITED ("\"rate_per_s\":5"), NULL, true, 5, 5 },
  { ONE_LIMITED ("\"rate_per_s\":5,\"burst\":0"), NULL, true, 5, 0 },
  { ONE_LIMITED ("\"rate_per_s\":0"), NULL, true, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":0,\"burst\":7"), NULL, true, 0, 7 },
  { ONE_LIMITED ("\"rate_per_s\":1000000000"), NULL, true, 1000000000,
    1000000000 },
  { ONE_LIMITED ("\"rate_per_s\":1000000001"), "rate_per_s", false, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":-1"), "rate_per_s", false, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":1.5"), "rate_per_s", false, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":\"5\""), "rate_per_s", false, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":null"), "rate_per_s", false, 0, 0 },
  { ONE_LIMITED ("\"rate_per_s\":5,\"burst\":-1"), "burst", false, 0, 0 },
  { ONE_LIMITED ("\"burst\":5"), "burst", false, 0, 0 },
  { ONE (""), "key_digests", false, 0, 0 },
  { ONE ("\"key_digests\":\"" DIGEST_1 "\""), "key_digests", false, 0, 0 },
  { ONE ("\"key_digests\":[\"\"]"), "key_digests", false, 0, 0 },
  { ONE ("\"key_digests\":[7]"), "key_digests", false, 0, 0 },
  { ONE ("\"key_digests\":[\"0000000000000000000000000000000G\"]"),
    "key_digests", false, 0, 0 },
  { ONE ("\"key_digests\":[],\"keys\":[\"k\"]"), "unknown member", false, 0,
    0 },
  { ROUTES ("[]"), "organisations", false, 0, 0 },
  { ROUTES ("null"), "organisations", false, 0, 0 },
  { ROUTES ("{\"a\":7}"), "key_digests", false, 0, 0 },
  { ROUTES ("{\"\":{\"key_digests\":[]}}"), "name", false, 0, 0 },
  { ROUTES ("{\"a b\":{\"key_digests\":[]}}"), "spaces", false, 0, 0 },
  { ROUTES ("{\"a\\nCONNECT\":{\"key_digests\":[]}}"), "spaces", false, 0, 0 },
  { ROUTES ("{\"a\":{\"key_digests\":[\"" DIGEST_1
            "\"]},\"b\":{\"key_digests\":[\"" DIGEST_1 "\"]}}"),
    "in common", false, 0, 0 },
};

/* Guards against an invalid organisation that changes what is in force: a part
 * of the others, or whether callers need keys at all.
 */
static void
organisations_are_checked (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (organisation_rows); i++)
    {
      const OrganisationRow *row = &organisation_rows[i];
      SsObject o = { "routes/main", 2, row->json, (uint32_t) strlen (row->json),
                     false,         0, false };
      const SsOrganisation *a;
      SsConfig c;
      char *error;

      ss_config_init (&c);
      adopt (&c, "routes/main", 1,
             ROUTES ("{\"a\":{\"key_digests\":[\"" DIGEST_2
                     "\"],\"rate_per_s\":3}}"));
      ss_config_adopt (&c, &o, 0, &error);
      a = ss_config_organisation (&c, "a");
      if (row->message)
        {
          CU_ASSERT (error && strstr (error, row->message));
          CU_ASSERT (a && a->rate_per_s == 3);
          CU_ASSERT_PTR_EQUAL (ss_config_key (&c, DIGEST_2), a);
          CU_ASSERT_PTR_NULL (ss_config_key (&c, DIGEST_1));
        }
      else
        {
          CU_ASSERT_PTR_NULL (error);
          CU_ASSERT (a && a->is_limited == row->is_limited
                     && a->rate_per_s == row->rate_per_s
                     && a->burst == row->burst);
          CU_ASSERT_PTR_NULL (ss_config_key (&c, DIGEST_2));
        }
      g_free (error);
      ss_config_finish (&c);
    }
}

#define MANY_KEYS 10000
/* Adopting stops the VM's event loop: much less than a heartbeat's interval of
 * 200 ms, also under a sanitizer on a busy machine.
 */
#define MANY_KEYS_MAX_MS 100

/* Guards against a configuration with many keys that stops a VM. */
static void
many_keys_are_adopted_fast (void)
{
  GString *text = g_string_new ("{\"services\":{},\"organisations\":{");
  gint64 started_us;
  SsConfig c;

  for (uint32_t i = 0; i < MANY_KEYS; i++)
    {
      if (i % 100 == 0)
        g_string_append_printf (text, "%s\"o%u\":{\"key_digests\":[",
                                i ? "]}," : "", i / 100);
      g_string_append_printf (text, "%s\"%032x\"", i % 100 ? "," : "", i);
    }
  g_string_append (text, "]}}}");
  ss_config_init (&c);
  started_us = g_get_monotonic_time ();
  CU_ASSERT (adopt (&c, "routes/main", 1, text->str) == SS_ADOPT_DONE);
  CU_ASSERT (g_get_monotonic_time () - started_us < MANY_KEYS_MAX_MS * 1000);
  CU_ASSERT (g_hash_table_size (c.keys) == MANY_KEYS);
  CU_ASSERT_STRING_EQUAL (
      ss_config_key (&c, "0000000000000000000000000000270f")->name, "o99");
  ss_config_finish (&c);
  g_string_free (text, TRUE);
}

/* Guards against a service that is left out, or stops the VM, as its group is
 * not known yet.
 */
static void
service_of_unknown_group_waits_for_it (void)
{
  SsConfig c;

  ss_config_init (&c);
  CU_ASSERT (adopt (&c, "routes/main", 1,
                    "{\"services\":{\"s\":{\"group\":\"later\"}}}")
             == SS_ADOPT_DONE);
  CU_ASSERT_PTR_NOT_NULL (ss_config_service (&c, "s"));
  CU_ASSERT_PTR_NULL (ss_config_group (&c, "later"));
  adopt (&c, "group/later", 2, "{\"term\":1,\"primary\":\"t\"}");
  CU_ASSERT_PTR_NOT_NULL (ss_config_group (&c, "later"));
  ss_config_finish (&c);
}

#define B64_32 "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
#define VERIFIER(salt) "SCRAM-SHA-256$4096:" salt "$" B64_32 ":" B64_32
#define SALT_1 "W22ZaJ0SNY7soEsUEjb6gQ=="
#define SALT_2 "X22ZaJ0SNY7soEsUEjb6gQ=="
#define OBJECT(verifiers, limits)                                              \
  "{\"key_verifiers\":{" verifiers "}" limits "}"

typedef struct
{
  const char *name;
  const char *json;
  const char *message; /* a part of the error; NULL: valid */
} ObjectRow;

static const ObjectRow object_rows[] = {
  { "a", OBJECT ("", ""), NULL },
  { "a", OBJECT ("\"default\":\"" VERIFIER (SALT_1) "\"", ""), NULL },
  { "a", OBJECT ("", ",\"rate_per_s\":0,\"operation\":\"x\""), NULL },
  { "a", "{}", "key_verifiers" },
  { "a", "{\"key_verifiers\":[]}", "key_verifiers" },
  { "a", OBJECT ("\"default\":7", ""), "verifier" },
  { "a", OBJECT ("\"default\":\"\"", ""), "verifier" },
  { "a", OBJECT ("\"default\":\"secret\"", ""), "verifier" },
  { "a", OBJECT ("\"default\":\"" VERIFIER (SALT_1) "\\n\"", ""), "verifier" },
  { "a", OBJECT ("\"\":\"" VERIFIER (SALT_1) "\"", ""), "name of a key" },
  { "a", OBJECT ("\"a b\":\"" VERIFIER (SALT_1) "\"", ""), "name of a key" },
  { "a", OBJECT ("", ",\"rate_per_s\":-1"), "rate_per_s" },
  { "a", OBJECT ("", ",\"burst\":1"), "burst" },
  { "a", OBJECT ("", ",\"key_digests\":[]"), "unknown member" },
  { "", OBJECT ("", ""), "name" },
  { "a.b", OBJECT ("", ""), "dot" },
  { "a b", OBJECT ("", ""), "spaces" },
};

static void
organisation_objects_are_checked (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (object_rows); i++)
    {
      const ObjectRow *row = &object_rows[i];
      char *key = g_strdup_printf ("organisation/%s", row->name);
      char *error
          = ss_config_check (key, row->json, (uint32_t) strlen (row->json));

      if (row->message)
        CU_ASSERT (error && strstr (error, row->message))
      else
        CU_ASSERT_PTR_NULL (error);
      CU_ASSERT (!error || !strstr (error, "secret"));
      g_free (error);
      g_free (key);
    }
}

static bool
accepts (const SsConfig *c, const char *credential)
{
  SsService service = { 0 };
  char digest[SS_KEY_DIGEST_BYTES];
  const char *name;

  ss_identity_digest (credential, digest);
  return ss_identity_resolve (c, &service, digest, &name)
         && strcmp (name, "a") == 0;
}

/* Guards against callers that keep an organisation after their key was removed
 * or replaced, and against keys of other objects that go with it.
 */
static void
organisation_objects_hold_keys_by_name (void)
{
  SsConfig c;
  SsObject deletion = { "organisation/a", 9, NULL, 0, true, 0, false };
  char *error;
  char *first;
  char *second;
  char *none;

  ss_config_init (&c);
  CU_ASSERT (!ss_identity_needs_password (&c, "s"));
  adopt (&c, "organisation/a", 1,
         OBJECT ("\"default\":\"" VERIFIER (SALT_1) "\",\"new\":\"" VERIFIER (
                     SALT_2) "\"",
                 ",\"rate_per_s\":4"));
  adopt (&c, "organisation/b", 2, OBJECT ("", ""));
  CU_ASSERT (ss_identity_needs_password (&c, "s"));
  CU_ASSERT (ss_config_organisation (&c, "a")->rate_per_s == 4);
  CU_ASSERT_STRING_EQUAL (ss_identity_verifier (&c, "a", &first),
                          VERIFIER (SALT_1));
  CU_ASSERT_STRING_EQUAL (ss_identity_verifier (&c, "a.new", &second),
                          VERIFIER (SALT_2));
  CU_ASSERT_STRING_EQUAL (ss_identity_verifier (&c, "a.clerk.7", &none),
                          VERIFIER (SALT_1));
  g_free (none);
  CU_ASSERT_PTR_NULL (ss_identity_verifier (&c, "b", &none));
  CU_ASSERT_PTR_NULL (none);
  CU_ASSERT_PTR_NULL (ss_identity_verifier (&c, "", &none));
  CU_ASSERT_PTR_NULL (ss_identity_verifier (&c, "nobody", &none));
  CU_ASSERT (accepts (&c, first) && accepts (&c, second));
  adopt (&c, "organisation/a", 3,
         OBJECT ("\"new\":\"" VERIFIER (SALT_2) "\"", ""));
  CU_ASSERT (!accepts (&c, first) && accepts (&c, second));
  /* Routes neither remove nor replace them. */
  CU_ASSERT (adopt (&c, "routes/main", 4, "{\"services\":{}}")
             == SS_ADOPT_DONE);
  CU_ASSERT (adopt (&c, "routes/main", 5, ROUTES ("{}")) == SS_ADOPT_INVALID);
  CU_ASSERT (accepts (&c, second));
  CU_ASSERT (ss_config_adopt (&c, &deletion, 0, &error) == SS_ADOPT_DONE);
  CU_ASSERT (!accepts (&c, second));
  CU_ASSERT (ss_identity_needs_password (&c, "s"));
  deletion.key = "organisation/b";
  CU_ASSERT (ss_config_adopt (&c, &deletion, 0, &error) == SS_ADOPT_DONE);
  CU_ASSERT (!ss_identity_needs_password (&c, "s"));
  g_free (first);
  g_free (second);
  ss_config_finish (&c);
}

/* Guards against a value that another VM sent damaged or with a wrong size. */
static void
compressed_value_is_checked (void)
{
  SsConfig config;
  char *value = g_strnfill (5000, ' ');
  SsObject object = { .key = "routes/main", .version = 1, .value_bytes = 5000 };
  SsStoredObject *stored;
  GBytes *compressed;
  const uint8_t *data;
  gsize bytes;
  char *text;

  memcpy (value, "{\"services\":{}}", 15);
  object.value = value;
  ss_config_init (&config);
  ss_config_store_object (&config, &object, 0);
  stored = g_tree_lookup (config.objects, "routes/main");
  compressed = ss_stored_object_compress (stored);
  data = g_bytes_get_data (compressed, &bytes);
  CU_ASSERT (bytes < 500);
  CU_ASSERT (ss_stored_object_compress (stored) == compressed);
  text = ss_config_decompress (data, bytes, 5000);
  CU_ASSERT (text && memcmp (text, value, 5000) == 0);
  g_free (text);
  CU_ASSERT (ss_config_decompress (data, bytes, 4999) == NULL);
  CU_ASSERT (ss_config_decompress (data, bytes, 5001) == NULL);
  CU_ASSERT (ss_config_decompress (data, bytes - 1, 5000) == NULL);
  CU_ASSERT (ss_config_decompress (data, bytes, G_MAXUINT32) == NULL);
  ss_config_finish (&config);
  g_free (value);
}

CU_TestInfo test_config[] = {
  { "compressed value is checked", compressed_value_is_checked },
  { "only newer versions are adopted", only_newer_versions_are_adopted },
  { "invalid object changes nothing", invalid_object_changes_nothing },
  { "groups find servers and primary", groups_find_servers_and_primary },
  { "read kinds of services are parsed", read_kinds_of_services_are_parsed },
  { "invalid routes change no limits", invalid_routes_change_no_limits },
  { "organisations are checked", organisations_are_checked },
  { "many keys are adopted fast", many_keys_are_adopted_fast },
  { "organisation objects are checked", organisation_objects_are_checked },
  { "organisation objects hold keys by name",
    organisation_objects_hold_keys_by_name },
  { "service of unknown group waits for it",
    service_of_unknown_group_waits_for_it },
  CU_TEST_INFO_NULL,
};
