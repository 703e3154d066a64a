/* Responses of the store that hold an odd entry: one by another writer, which
 * can't be read or says what no server can be.
 */
#include <string.h>

#include "core/version.h"
#include "platform/responses.h"
#include "plugins/platform_api.h"
#include "tests/line_sim.h"
#include "tests/unit.h"

#define LEVELS 100000
#define AT_REV 90
#define ERA 3
#define LONG_NAME_BYTES 100000

/* --- responses --- */

typedef struct
{
  SsResponse response;
  SsPage *page; /* NULL: it can't be split */
  uint32_t log_lines;
  size_t longest_log_bytes; /* of a subject or a detail */
  char *last_detail;
} Reading;

static void
count_line (void *data, const char *subject, const char *detail)
{
  Reading *reading = data;

  reading->log_lines++;
  reading->longest_log_bytes
      = MAX (reading->longest_log_bytes, strlen (subject));
  reading->longest_log_bytes
      = MAX (reading->longest_log_bytes, strlen (detail));
  g_free (reading->last_detail);
  reading->last_detail = g_strdup (detail);
}

static SsPage *
new_page (SsPageKind kind, const char *text)
{
  GByteArray *body = g_byte_array_new ();

  g_byte_array_append (body, (const guint8 *) text, (guint) strlen (text));
  return ss_page_new (kind, body);
}

static void
reading_init_in_era (Reading *reading, SsPageKind page_kind, const char *kind,
                     const char *text, int64_t era)
{
  memset (reading, 0, sizeof *reading);
  ss_response_init (&reading->response, kind, era, count_line, reading);
  reading->page = new_page (page_kind, text);
  if (reading->page)
    ss_response_add_page (&reading->response, reading->page);
}

static void
reading_init (Reading *reading, SsPageKind page_kind, const char *kind,
              const char *text)
{
  reading_init_in_era (reading, page_kind, kind, text, ERA);
}

static void
reading_finish (Reading *reading)
{
  ss_response_finish (&reading->response);
  g_clear_pointer (&reading->page, ss_page_free);
  g_free (reading->last_detail);
}

static const SsObject *
find_object (const Reading *reading, const char *key)
{
  for (guint i = 0; i < reading->response.objects->len; i++)
    {
      const SsObject *o
          = &g_array_index (reading->response.objects, SsObject, i);

      if (strcmp (o->key, key) == 0)
        return o;
    }
  return NULL;
}

#define ENTRY(name, revision, spec)                                            \
  "{\"meta\":{\"name\":\"" name "\",\"revision\":" revision "},\"spec\":" spec \
  ",\"status\":{}}"
#define GOOD_SPEC(port)                                                        \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:" port "\",\"zone\":\"z\","       \
  "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_left_ms\":0,"     \
  "\"sequence\":7}"
#define GOOD_1 ENTRY ("i-1", "71", GOOD_SPEC ("81"))
#define GOOD_2 ENTRY ("i-2", "72", GOOD_SPEC ("82"))

/* Returns a list, or the events of a watch, with ODD before, between or after
 * two valid entries, to be freed with g_free.
 */
static char *
response_text (SsPageKind kind, const char *odd, uint32_t place)
{
  const char *texts[3] = { GOOD_1, GOOD_2, GOOD_2 };
  const char *before = kind == SS_PAGE_WATCH ? "{\"object\":" : "";
  const char *after = kind == SS_PAGE_WATCH ? ",\"deleted\":false}" : "";

  texts[2] = place == 2 ? odd : GOOD_2;
  texts[1] = place == 1 ? odd : place == 2 ? GOOD_2 : GOOD_1;
  texts[0] = place == 0 ? odd : GOOD_1;
  return g_strdup_printf (
      "{\"%s\": [%s%s%s ,\n%s%s%s, %s%s%s],\"has_more\":false,\"at_rev\":%d}\n",
      kind == SS_PAGE_WATCH ? "events" : "items", before, texts[0], after,
      before, texts[1], after, before, texts[2], after, AT_REV);
}

static void
expect_good (const Reading *reading, const char *key, int64_t revision)
{
  const SsObject *o = find_object (reading, key);

  CU_ASSERT_PTR_NOT_NULL (o);
  CU_ASSERT (o && !o->deleted && !o->unreadable && o->value);
  CU_ASSERT (o && o->version == ss_version (ERA, revision));
}

/* The entry i-odd, if it is named, is reported as deleted, and by one line. */
static void
expect_absent (const Reading *reading, bool is_named)
{
  const SsObject *odd = find_object (reading, "target/i-odd");

  CU_ASSERT_PTR_NOT_NULL (reading->page);
  CU_ASSERT (reading->response.objects->len == (is_named ? 3 : 2));
  expect_good (reading, "target/i-1", 71);
  expect_good (reading, "target/i-2", 72);
  CU_ASSERT (!is_named || odd);
  CU_ASSERT (!odd
             || (odd->deleted && !odd->value && !odd->value_bytes
                 && odd->version > 0));
  CU_ASSERT (reading->log_lines == 1);
  CU_ASSERT (reading->longest_log_bytes <= SS_RESPONSE_LOG_MAX_BYTES);
  CU_ASSERT (reading->response.revision == ss_version (ERA, AT_REV));
}

/* Returns whether all that is expected held for ODD at each place of a list and
 * of a watch.
 */
static void
check_odd_entry (const char *odd, bool is_named)
{
  unsigned failures = CU_get_number_of_failures ();

  for (uint32_t i = 0; i < 6; i++)
    {
      SsPageKind kind = i < 3 ? SS_PAGE_LIST : SS_PAGE_WATCH;
      char *text = response_text (kind, odd, i % 3);
      Reading reading;

      reading_init (&reading, kind, "servers", text);
      expect_absent (&reading, is_named);
      reading_finish (&reading);
      g_free (text);
    }
  if (CU_get_number_of_failures () != failures)
    g_printerr ("odd entry: %.200s\n", odd);
}

/* --- entries that the JSON parser refuses --- */

#define ODD(spec) ENTRY ("i-odd", "80", spec)
#define SPEC_WITH(members)                                                     \
  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","             \
  "\"state\":\"ready\"" members "}"
#define HUGE "99999999999999999999"

static const char *const refused_entries[] = {
  ODD (SPEC_WITH (",\"slots\":" HUGE)),
  ODD (SPEC_WITH (",\"born\":" HUGE)),
  ODD (SPEC_WITH (",\"sequence\":" HUGE)),
  ODD (SPEC_WITH (",\"cold_left_ms\":1e999")),
  ODD (SPEC_WITH (",\"cold_left_ms\":-1e999")),
  ODD (SPEC_WITH (",\"port\":" HUGE)),
  ODD (SPEC_WITH (",\"version\":\"\xff\xfe\x80\"")),
  ODD (SPEC_WITH (",\"version\":\"\xc3\"")),
  ODD (SPEC_WITH (",\"version\":\"a\nb\"")),
  ODD (SPEC_WITH (",\"version\":\"\\u0000\"")),
  ODD (SPEC_WITH (",\"version\":\"\\ud800\"")),
  ODD (SPEC_WITH (",\"version\":\"\\x]}\"")),
  ODD (SPEC_WITH (",\"ver\xffsion\":1")),
  ODD (SPEC_WITH (",\"slots\":0x10")),
  ODD (SPEC_WITH (",\"slots\":-")),
  ODD (SPEC_WITH (",\"slots\":NaN")),
  ODD (SPEC_WITH (",\"slots\" 3")),
  ODD (SPEC_WITH (",\"state\":\"draining\"")),
  ODD ("\xff\xfe"),
  "{\"meta\":{\"name\":\"i-odd\",\"revision\":" HUGE "},\"spec\":{}}",
  "{\"meta\":{\"name\":\"i-odd\",\"revision\":1e999},\"spec\":{}}",
  "{\"meta\":{\"name\":\"i-odd\",\"revision\":80,\"finalizers\":[\"\xff\"]},"
  "\"spec\":{}}",
  "{\"spec\":{\"slots\":" HUGE "},\"meta\":{\"revision\":80,"
  "\"name\":\"i-odd\"}}",
};

/* Guards against DRAIN and RECOVER (review/2): an entry that the JSON parser
 * refuses hid all others of its kind.
 */
static void
refused_entry_leaves_others_in_force (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (refused_entries); i++)
    check_odd_entry (refused_entries[i], true);
}

/* Returns LEVELS of OPENING around 1, closed by CLOSING. */
static char *
nested (const char *opening, const char *closing)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < LEVELS; i++)
    g_string_append (text, opening);
  g_string_append_c (text, '1');
  for (uint32_t i = 0; i < LEVELS; i++)
    g_string_append (text, closing);
  return g_string_free (text, FALSE);
}

static void
check_nested (const char *value)
{
  char *in_spec = g_strdup_printf (ODD (SPEC_WITH (",\"version\":%s")), value);
  char *as_spec = g_strdup_printf (ODD ("%s"), value);
  char *in_meta = g_strdup_printf (
      "{\"meta\":{\"name\":\"i-odd\",\"revision\":80,\"finalizers\":%s},"
      "\"spec\":{}}",
      value);
  char *in_status = g_strdup_printf (
      "{\"status\":%s,\"meta\":{\"name\":\"i-odd\",\"revision\":80},"
      "\"spec\":" SPEC_WITH ("") "}",
      value);

  check_odd_entry (in_spec, true);
  check_odd_entry (as_spec, true);
  check_odd_entry (in_meta, true);
  check_odd_entry (in_status, true);
  check_odd_entry (value, false);
  g_free (in_spec);
  g_free (as_spec);
  g_free (in_meta);
  g_free (in_status);
}

/* Guards against the same, and against a stack that overflows, by an entry that
 * is very deeply nested.
 */
static void
deeply_nested_entry_leaves_others_in_force (void)
{
  char *arrays = nested ("[", "]");
  char *objects = nested ("{\"a\":", "}");
  char *mixed = nested ("[{\"]}\\\"\":", "}]");

  check_nested (arrays);
  check_nested (objects);
  check_nested (mixed);
  g_free (arrays);
  g_free (objects);
  g_free (mixed);
}

static const char *const unnamed_entries[] = {
  "7",
  "null",
  "\"i-odd\"",
  "[]",
  "{}",
  "-1e999",
  "\"\xff\"",
  "{\"meta\":7,\"spec\":{}}",
  "{\"meta\":{},\"spec\":" SPEC_WITH ("") "}",
  ENTRY ("", "80", SPEC_WITH ("")),
  ENTRY ("\xff\xfe", "80", SPEC_WITH ("")),
  ENTRY ("a\nb", "80", SPEC_WITH ("")),
  ENTRY ("\\u0000", "80", SPEC_WITH ("")),
  "{\"meta\":{\"name\":7,\"revision\":80},\"spec\":" SPEC_WITH ("") "}",
  "{\"meta\":{\"name\":[\"i-odd\"],\"revision\":80},\"spec\":" SPEC_WITH (
      "") "}",
};

/* Guards against an entry without a name that hides others. */
static void
unnamed_entry_leaves_others_in_force (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unnamed_entries); i++)
    check_odd_entry (unnamed_entries[i], false);
}

/* Guards against a server that is kept or removed by chance: of a member that
 * is there twice nobody knows which one holds.
 */
static void
entry_with_doubled_member_is_absent (void)
{
  check_odd_entry (ODD (SPEC_WITH (",\"address\":\"10.0.0.8:80\"")), true);
  check_odd_entry ("{\"meta\":{\"name\":\"i-9\",\"name\":\"i-odd\","
                   "\"revision\":80},\"spec\":" SPEC_WITH ("") "}",
                   true);
}

/* --- entries whose values no server can have --- */

#define SPEC(service, address, zone, state)                                    \
  ODD ("{\"service\":" service ",\"address\":" address ",\"zone\":" zone       \
       ",\"state\":" state "}")
#define ADDRESS(address) SPEC ("\"s\"", address, "\"z\"", "\"ready\"")

static const char *const odd_values[] = {
  ODD ("7"),
  ODD ("null"),
  ODD ("[]"),
  ODD ("{}"),
  "{\"meta\":{\"name\":\"i-odd\",\"revision\":80}}",
  "{\"meta\":{\"name\":\"i-odd\"},\"spec\":" SPEC_WITH ("") "}",
  ENTRY ("i-odd", "0", SPEC_WITH ("")),
  ENTRY ("i-odd", "-1", SPEC_WITH ("")),
  ENTRY ("i-odd", "1.5", SPEC_WITH ("")),
  ENTRY ("i-odd", "\"80\"", SPEC_WITH ("")),
  ENTRY ("i-odd", "1099511627776", SPEC_WITH ("")),
  ENTRY ("i-odd", "9223372036854775807", SPEC_WITH ("")),
  ADDRESS ("\"\""),
  ADDRESS ("\":\""),
  ADDRESS ("\"10.0.0.1\""),
  ADDRESS ("\"10.0.0.1:\""),
  ADDRESS ("\"10.0.0.1:0\""),
  ADDRESS ("\"10.0.0.1:-1\""),
  ADDRESS ("\"10.0.0.1:65536\""),
  ADDRESS ("\"10.0.0.1:65616\""),
  ADDRESS ("\"10.0.0.1:99999999999\""),
  ADDRESS ("\"10.0.0.1:99999999999999999999\""),
  ADDRESS ("\"10.0.0.1:1e3\""),
  ADDRESS ("\"10.0.0.1:+80\""),
  ADDRESS ("\"10.0.0.1: 80\""),
  ADDRESS ("\"10.0.0.1:80 \""),
  ADDRESS ("\"10.0.0.1:80:80\""),
  ADDRESS ("\"10.0.0.1:0x50\""),
  ADDRESS ("\"10.0.0.256:80\""),
  ADDRESS ("\"localhost:80\""),
  ADDRESS ("\"[::1]:80\""),
  ADDRESS ("80"),
  ADDRESS ("null"),
  ADDRESS ("[\"10.0.0.1:80\"]"),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\"z\"", "\"asleep\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\"z\"", "\"READY\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\"z\"", "true"),
  SPEC ("7", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\"\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "{}", "\"ready\""),
  ODD (SPEC_WITH (",\"slots\":-1")),
  ODD (SPEC_WITH (",\"slots\":1.5")),
  ODD (SPEC_WITH (",\"slots\":\"3\"")),
  ODD (SPEC_WITH (",\"born\":-1")),
  ODD (SPEC_WITH (",\"born\":1e3")),
  ODD (SPEC_WITH (",\"born\":true")),
};

/* Guards against a server at an address that another writer made up, such as
 * port 80 out of 65616, and against others that are lost with it.
 */
static void
entry_with_odd_values_is_absent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_values); i++)
    check_odd_entry (odd_values[i], true);
}

static const char *const not_one_word[] = {
  SPEC ("\"s t\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\" s\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\"s\\n\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\"s\\u007f\"", "\"10.0.0.9:80\"", "\"z\"", "\"ready\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\"z z\"", "\"ready\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\"z\\r\\n\"", "\"ready\""),
  SPEC ("\"s\"", "\"10.0.0.9:80\"", "\" \"", "\"ready\""),
};

/* Guards against a server that counts in its service but that no message can
 * name: no connection to it is ever opened.
 */
static void
entry_that_no_message_can_name_is_absent (void)
{
  static const char *const names[][2] = {
    { "i odd", "target/i odd" },
    { " ", "target/ " },
    { "i-odd\\n", "target/i-odd\n" },
    { "i-odd\\u0001", "target/i-odd\001" },
    { "i-odd\\u007f", "target/i-odd\177" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (not_one_word); i++)
    check_odd_entry (not_one_word[i], true);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *odd
          = g_strdup_printf (ENTRY ("%s", "80", SPEC_WITH ("")), names[i][0]);
      char *text = response_text (SS_PAGE_LIST, odd, 1);
      const SsObject *o;
      Reading reading;

      reading_init (&reading, SS_PAGE_LIST, "servers", text);
      o = find_object (&reading, names[i][1]);
      CU_ASSERT (o && o->deleted);
      CU_ASSERT (reading.log_lines == 1);
      reading_finish (&reading);
      g_free (text);
      g_free (odd);
    }
}

/* --- extremes that the parser accepts --- */

#define INT64_TEXT "9223372036854775807"

/* Returns whether the core takes OBJECT of the store's KIND, or the core's
 * refusal is foreseen: then it is reported as one that can't be read.
 */
static bool
core_takes_what_is_read (const char *kind, const char *object, bool *is_read)
{
  char *text = g_strdup_printf ("{\"items\":[%s],\"at_rev\":90}", object);
  const SsObject *o;
  Reading reading;
  char *refusal = NULL;

  reading_init (&reading, SS_PAGE_LIST, kind, text);
  o = &g_array_index (reading.response.objects, SsObject, 0);
  CU_ASSERT (reading.response.objects->len == 1);
  *is_read = o->value != NULL;
  if (*is_read)
    refusal = ss_config_check (o->key, o->value, o->value_bytes);
  if (refusal)
    g_printerr ("%s: %s\n", object, refusal);
  g_free (text);
  reading_finish (&reading);
  g_free (refusal);
  return !refusal;
}

/* Guards against DRAIN: an entry that the adapter reads and the core refuses
 * leaves the server in use that had this name before.
 */
static void
server_beyond_limits_of_core_is_absent (void)
{
  static const struct
  {
    const char *members;
    bool is_read;
  } rows[] = {
    { ",\"slots\":0", true },
    { ",\"slots\":100000", true },
    { ",\"slots\":100001", false },
    { ",\"slots\":2147483648", false },
    { ",\"slots\":4294967299", false },
    { ",\"slots\":" INT64_TEXT, false },
    { ",\"born\":" INT64_TEXT, true },
    { ",\"sequence\":" INT64_TEXT, true },
    { ",\"cold_left_ms\":" INT64_TEXT, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *odd = g_strdup_printf (
          ODD ("{\"service\":\"s\",\"address\":\"10.0.0.9:65535\","
               "\"zone\":\"z\",\"state\":\"ready\"%s}"),
          rows[i].members);
      bool is_read;

      CU_ASSERT (core_takes_what_is_read ("servers", odd, &is_read));
      CU_ASSERT (is_read == rows[i].is_read);
      if (!rows[i].is_read)
        check_odd_entry (odd, true);
      g_free (odd);
    }
}

#define ROUTE(members)                                                         \
  "{\"host\":\"h\",\"service\":\"s\",\"kind\":\"bounded_staleness\"" members "}"
#define CONFIG(route, service, limits)                                         \
  ENTRY ("main", "5",                                                          \
         "{\"version\":4,\"routes\":[" route ",{\"host\":\"other\","           \
         "\"service\":\"s\",\"kind\":\"primary\"}],\"services\":[{"            \
         "\"name\":\"s\",\"max_conns\":" service "}],\"limits\":{" limits      \
         "}}")

/* Guards against CONFIG: a number beyond a limit of the core kept out the whole
 * configuration, all routes and all later ones with it.
 */
static void
numbers_of_configuration_are_limited (void)
{
  static const char *const configs[] = {
    CONFIG (ROUTE (",\"timeout_ms\":" INT64_TEXT), "21", ""),
    CONFIG (ROUTE (",\"timeout_ms\":600001"), "21", ""),
    CONFIG (ROUTE (",\"latency_goal_ms\":" INT64_TEXT), "21", ""),
    CONFIG (ROUTE (",\"priority\":" INT64_TEXT), "21", ""),
    CONFIG (ROUTE (",\"priority\":1001"), "21", ""),
    CONFIG (ROUTE (",\"max_staleness_ms\":" INT64_TEXT), "21", ""),
    CONFIG (ROUTE (",\"max_staleness_ms\":604800001"), "21", ""),
    CONFIG (ROUTE (""), INT64_TEXT, ""),
    CONFIG (ROUTE (""), "10001", ""),
    CONFIG (ROUTE (""), "21", "\"tx_idle_ms\":" INT64_TEXT),
    CONFIG (ROUTE (""), "21", "\"tx_idle_ms\":600001"),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (configs); i++)
    {
      bool is_read;

      CU_ASSERT (core_takes_what_is_read ("config", configs[i], &is_read));
      CU_ASSERT (is_read);
    }
}

/* Guards against a configuration that no later one can replace: its number is
 * compared without its sign.
 */
static void
negative_sequence_is_unknown (void)
{
  static const char *const versions[] = { "-1", "\"4\"", "1.5", "null" };

  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      char *text = g_strdup_printf (
          "{\"items\":[" ENTRY ("main", "5",
                                "{\"version\":%s}") "],\"at_rev\":9}",
          versions[i]);
      const SsObject *o;
      Reading reading;

      reading_init (&reading, SS_PAGE_LIST, "config", text);
      o = find_object (&reading, "routes/main");
      CU_ASSERT (o && o->value && o->sequence == 0);
      reading_finish (&reading);
      g_free (text);
    }
}

/* --- responses that are no list --- */

/* Guards against a store that counts as having answered although its response
 * was cut off or is no list, and then has no objects.
 */
static void
damaged_response_is_no_list (void)
{
  static const char *const bad[] = {
    "",
    " ",
    "null",
    "[]",
    "{",
    "{\"items\":[",
    "{\"items\":[" GOOD_1 ",",
    "{\"items\":[" GOOD_1 "]",
    "{\"items\":[" GOOD_1 "],\"at_rev\":9",
    "{\"items\":[" GOOD_1 "],\"at_rev\":9}}",
    "{\"items\":[" GOOD_1 "],\"at_rev\":9} x",
    "{\"items\":[" GOOD_1 " " GOOD_2 "],\"at_rev\":9}",
    "{\"items\":[" GOOD_1 ",],\"at_rev\":9}",
    "{\"items\":[," GOOD_1 "],\"at_rev\":9}",
    "{\"items\":[" GOOD_1 "}",
    "{\"items\":[\"",
    "{\"items\":[\"\\",
    "{\"items\":[\"\\\"],\"at_rev\":9}",
    "{\"items\":[{\"a\":[}],\"at_rev\":9}",
    "{\"items\":[{\"a\":1]],\"at_rev\":9}",
    "{\"items\" [],\"at_rev\":9}",
    "{items:[],\"at_rev\":9}",
    "{\"items\":[],\"at_rev\":" HUGE "}",
    "{\"items\":[],\"at_rev\":}",
    "{\"items\":[],\"at_rev\":-1}",
    "{\"items\":[],\"at_rev\":1099511627776}",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      SsPage *page = new_page (SS_PAGE_LIST, bad[i]);

      CU_ASSERT_PTR_NULL (page);
      if (page)
        g_printerr ("damaged response: %s\n", bad[i]);
      g_clear_pointer (&page, ss_page_free);
    }
}

/* Guards against a response that is read past its end, wherever it is cut. */
static void
response_is_cut_anywhere (void)
{
  char *text = response_text (SS_PAGE_LIST, refused_entries[0], 1);
  size_t bytes = strlen (text) - strlen ("\n");

  for (size_t i = 0; i <= bytes; i++)
    {
      GByteArray *body = g_byte_array_new_take (g_memdup2 (text, i + 1), i);
      SsPage *page = ss_page_new (SS_PAGE_LIST, body);

      CU_ASSERT ((page != NULL) == (i == bytes));
      g_clear_pointer (&page, ss_page_free);
    }
  g_free (text);
}

/* --- random damage --- */

#define DAMAGE_ROUNDS 4000
#define DAMAGED_BYTES_MAX 6

static const char intact_entry[] = ENTRY ("i-odd", "80", GOOD_SPEC ("80"));

/* Returns a copy of TEXT with some bytes replaced, which are none of brackets,
 * quotes and backslashes if KEEP_STRUCTURE is set, and do not become one.
 */
static char *
damage (GRand *rand, const char *text, bool keep_structure)
{
  char *copy = g_strdup (text);
  size_t bytes = strlen (copy);

  for (gint32 i = g_rand_int_range (rand, 1, DAMAGED_BYTES_MAX); i > 0; i--)
    {
      gint32 at = g_rand_int_range (rand, 0, (gint32) bytes);
      char byte = (char) g_rand_int_range (rand, 1, 256);

      if (keep_structure
          && (strchr ("[]{}\"\\", copy[at]) || strchr ("[]{}\"\\", byte)))
        continue;
      copy[at] = byte;
    }
  return copy;
}

/* Guards against damage of one entry, of whatever kind, that reaches others. */
static void
random_damage_stays_within_its_entry (void)
{
  GRand *rand = g_rand_new_with_seed (1);

  for (uint32_t i = 0; i < DAMAGE_ROUNDS; i++)
    {
      char *odd = damage (rand, intact_entry, true);
      SsPageKind kind = i % 2 ? SS_PAGE_LIST : SS_PAGE_WATCH;
      char *text = response_text (kind, odd, i % 3);
      Reading reading;

      reading_init (&reading, kind, "servers", text);
      CU_ASSERT_PTR_NOT_NULL (reading.page);
      expect_good (&reading, "target/i-1", 71);
      expect_good (&reading, "target/i-2", 72);
      reading_finish (&reading);
      g_free (text);
      g_free (odd);
    }
  g_rand_free (rand);
}

/* Guards against a response that reads or writes beyond its bytes (by the
 * sanitizers), and against an object of it without what the core reads.
 */
static void
random_damage_is_read_safely (void)
{
  GRand *rand = g_rand_new_with_seed (2);

  for (uint32_t i = 0; i < DAMAGE_ROUNDS; i++)
    {
      SsPageKind kind = i % 2 ? SS_PAGE_LIST : SS_PAGE_WATCH;
      char *whole = response_text (kind, intact_entry, i % 3);
      char *text = damage (rand, whole, false);
      Reading reading;

      reading_init (&reading, kind, "servers", text);
      for (guint j = 0; j < reading.response.objects->len; j++)
        {
          const SsObject *o
              = &g_array_index (reading.response.objects, SsObject, j);

          CU_ASSERT (o->key && (o->deleted || (o->value && o->version > 0)));
        }
      if (reading.page)
        g_free (ss_page_next_after (reading.page, "i-1"));
      reading_finish (&reading);
      g_free (text);
      g_free (whole);
    }
  g_rand_free (rand);
}

/* --- log lines --- */

/* Guards against a log line as long as another writer likes. */
static void
log_lines_are_bounded (void)
{
  char *long_text = g_strnfill (LONG_NAME_BYTES, 'x');
  char *long_name = g_strdup_printf (ENTRY ("%s", "80", "{}"), long_text);
  char *long_state
      = g_strdup_printf (ODD ("{\"service\":\"s\",\"zone\":\"z\","
                              "\"address\":\"10.0.0.9:80\",\"state\":\"%s\"}"),
                         long_text);
  const char *const odd[] = { long_name, long_state };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      char *text = response_text (SS_PAGE_LIST, odd[i], 1);
      Reading reading;

      reading_init (&reading, SS_PAGE_LIST, "servers", text);
      CU_ASSERT (reading.log_lines == 1);
      CU_ASSERT (reading.longest_log_bytes <= SS_RESPONSE_LOG_MAX_BYTES);
      reading_finish (&reading);
      g_free (text);
    }
  g_free (long_text);
  g_free (long_name);
  g_free (long_state);
}

/* Guards against a key of an organisation in the log: the parser quotes what it
 * can't read.
 */
static void
log_lines_quote_no_key (void)
{
  Reading reading;

  reading_init (&reading, SS_PAGE_LIST, "config",
                "{\"items\":[" ENTRY (
                    "main", "5",
                    "{\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"secret\" "
                    "1]}]}") "],\"at_rev\":9}");
  CU_ASSERT (reading.log_lines == 1);
  CU_ASSERT (reading.last_detail && !strstr (reading.last_detail, "secret"));
  reading_finish (&reading);
}

/* --- pages of a list --- */

static void
expect_next (const char *item, const char *after, const char *expected)
{
  char *text = g_strdup_printf (
      "{\"items\":[" GOOD_1 ",%s],\"has_more\":true,\"at_rev\":9}", item);
  SsPage *page = new_page (SS_PAGE_LIST, text);
  char *next = page ? ss_page_next_after (page, after) : g_strdup ("(no page)");

  CU_ASSERT (g_strcmp0 (next, expected) == 0);
  if (g_strcmp0 (next, expected) != 0)
    g_printerr ("next page of %s: %s\n", item, next ? next : "none");
  g_free (next);
  g_clear_pointer (&page, ss_page_free);
  g_free (text);
}

/* Guards against a list that stops, or begins again and again, at an odd entry:
 * all that come after it would be unknown, and count as deleted.
 */
static void
list_goes_on_after_odd_entry (void)
{
  SsPage *page;

  expect_next (GOOD_2, NULL, "i-2");
  for (size_t i = 0; i < G_N_ELEMENTS (refused_entries); i++)
    expect_next (refused_entries[i], "i-0", "i-odd");
  expect_next (ENTRY ("\xff\xfe", "8", "{}"), NULL, "\xff\xfe");
  expect_next (ENTRY ("a \\\"b\\\"", "8", "{}"), NULL, "a \"b\"");
  /* Without a name the page before it tells where to go on. */
  for (size_t i = 0; i < 9; i++)
    expect_next (unnamed_entries[i], "i-0", "i-1");
  /* An end that can't be told from the beginning of this page is the end. */
  expect_next ("7", "i-1", NULL);
  page = new_page (SS_PAGE_LIST,
                   "{\"items\":[],\"has_more\":true,\"at_rev\":9}");
  CU_ASSERT_PTR_NULL (ss_page_next_after (page, "i-1"));
  ss_page_free (page);
}

/* --- objects of other kinds --- */

static const char *const odd_specs[]
    = { "7", "[]", "{\"term\":" HUGE "}", "{\"primary\":\"\xff\"}" };

/* Guards against a VM or a group that counts as deleted, as its object can't be
 * read: the last one that could be read stays in force.
 */
static void
unreadable_object_is_not_deleted (void)
{
  static const char *const kinds[][2] = { { "sapphirestair-groups", "group/g" },
                                          { "sapphirestair-vms", "vm/g" },
                                          { "config", "routes/g" } };

  for (size_t i = 0; i < 3 * G_N_ELEMENTS (odd_specs); i++)
    {
      const char *kind = kinds[i % 3][0];
      char *text = g_strdup_printf (
          "{\"items\":[" ENTRY ("g", "5", "%s") "],\"at_rev\":9}",
          odd_specs[i / 3]);
      const SsObject *o;
      Reading reading;

      if (i == 3 * 2 + 2)
        {
          g_free (text); /* a configuration has no such member */
          continue;
        }
      reading_init (&reading, SS_PAGE_LIST, kind, text);
      o = find_object (&reading, kinds[i % 3][1]);
      CU_ASSERT (o && o->unreadable && !o->deleted && !o->value);
      CU_ASSERT (o && o->version == ss_version (ERA, 5));
      CU_ASSERT (reading.log_lines == 1);
      reading_finish (&reading);
      g_free (text);
    }
}

/* Guards against an object that stays although it was deleted, as what it was
 * can't be read.
 */
static void
deletion_of_unreadable_object_holds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_specs); i++)
    {
      char *text = g_strdup_printf (
          "{\"events\":[{\"deleted\":true,\"object\":" ENTRY (
              "g", "5", "%s") "}],\"at_rev\":9}",
          odd_specs[i]);
      const SsObject *o;
      Reading reading;

      reading_init (&reading, SS_PAGE_WATCH, "sapphirestair-vms", text);
      o = find_object (&reading, "vm/g");
      CU_ASSERT (o && o->deleted && o->version == ss_version (ERA, 5));
      CU_ASSERT (reading.log_lines == 0);
      reading_finish (&reading);
      g_free (text);
    }
}

static bool
reads_object (const char *kind, const char *text, SsRecord *record)
{
  GByteArray *body = g_byte_array_new ();
  Reading reading;
  bool is_valid;

  g_byte_array_append (body, (const guint8 *) text, (guint) strlen (text));
  reading_init (&reading, SS_PAGE_LIST, kind, "{\"items\":[]}");
  is_valid = ss_response_read_object (&reading.response, record, body);
  CU_ASSERT (is_valid || !*text || reading.log_lines == 1);
  reading_finish (&reading);
  g_byte_array_unref (body);
  return is_valid;
}

/* Guards against an answer about one object that is taken for another state of
 * it, or goes unnoticed, as it can't be read.
 */
static void
single_object_is_read_or_refused (void)
{
  static const char *const bad[]
      = { "",
          "7",
          "{}",
          "{\"meta\":{\"name\":\"g\"",
          ENTRY ("g", "5", "{\"term\":1e999,\"primary\":\"i-1\"}"),
          ENTRY ("g", "5", "{\"term\":1,\"primary\":\"\xff\"}"),
          ENTRY ("g", "5", "7") };
  SsRecord record;

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      CU_ASSERT (!reads_object ("sapphirestair-groups", bad[i], &record));
      CU_ASSERT_PTR_NULL (record.value);
      ss_record_finish (&record);
    }
  CU_ASSERT (reads_object ("sapphirestair-groups",
                           ENTRY ("g", "5", "{\"term\":1,\"primary\":\"i-1\"}"),
                           &record));
  CU_ASSERT_STRING_EQUAL (record.value, "{\"primary\":\"i-1\",\"term\":1}");
  CU_ASSERT (record.version == ss_version (ERA, 5));
  ss_record_finish (&record);
}

/* Gives the core a complete list of WATCH that is TEXT. */
static void
deliver_list (LineSim *sim, SsWatch watch, const char *text)
{
  Reading reading;
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS, .era = sim->era };

  reading_init_in_era (&reading, SS_PAGE_LIST, ss_record_watch_kind (watch),
                       text, sim->era);
  CU_ASSERT_PTR_NOT_NULL (reading.page);
  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.watch = watch;
  e.platform_objects.complete = true;
  e.platform_objects.listed = true;
  e.platform_objects.revision = reading.response.revision;
  e.platform_objects.objects
      = (const SsObject *) (const void *) reading.response.objects->data;
  e.platform_objects.object_count = reading.response.objects->len;
  ss_watch_handle_objects (&sim->node, &e);
  reading_finish (&reading);
}

/* Guards against a group that counts as deleted in all VMs, as its object can't
 * be read: a VM that asks them would get none.
 */
static void
core_keeps_group_that_cannot_be_read (void)
{
  LineSim sim;
  const SsStoredObject *stored;
  uint64_t term;

  line_sim_init (&sim, 1, 2, 8);
  CU_ASSERT (line_sim_write (&sim, 1000));
  term = ss_config_group (&sim.node.config, "g")->term;
  deliver_list (&sim, SS_WATCH_GROUPS,
                "{\"items\":[" ENTRY ("g", "5000", "7") "],\"at_rev\":6000}");
  stored = ss_config_object (&sim.node.config, "group/g");
  CU_ASSERT (stored && !stored->deleted);
  CU_ASSERT (ss_config_group (&sim.node.config, "g")->term == term);
  CU_ASSERT_PTR_NOT_NULL (
      ss_group_primary (ss_config_group (&sim.node.config, "g")));
  line_sim_finish (&sim);
}

/* --- the object API --- */

static void
expect_changes (const char *text, uint32_t count, uint32_t refused)
{
  GByteArray *body = g_byte_array_new ();
  SsPlatformChanges changes;

  g_byte_array_append (body, (const guint8 *) text, (guint) strlen (text));
  CU_ASSERT (ss_platform_changes_init (&changes, body, ERA));
  CU_ASSERT (changes.objects->len == count);
  CU_ASSERT (changes.refused == refused);
  CU_ASSERT (changes.revision == ss_version (ERA, 9));
  for (guint i = 0; i < changes.objects->len; i++)
    CU_ASSERT_STRING_EQUAL (g_array_index (changes.objects, SsObject, i).value,
                            "{\"a\":1}");
  ss_platform_changes_finish (&changes);
  g_byte_array_unref (body);
}

#define API_OBJECT(key) "{\"key\":" key ",\"version\":7,\"value\":{\"a\":1}}"

/* Guards against a VM that follows the object API no longer, as one object in
 * it can't be read.
 */
static void
unreadable_change_leaves_others_in_force (void)
{
  static const char *const odd[] = {
    "7",
    "{}",
    "\"\xff\"",
    API_OBJECT ("7"),
    "{\"key\":\"target/t\",\"version\":7}",
    "{\"key\":\"target/t\",\"version\":7,\"value\":{\"slots\":" HUGE "}}",
    "{\"key\":\"target/t\",\"version\":" HUGE ",\"value\":{}}",
    "{\"key\":\"target/t\",\"version\":7,\"value\":\"\xff\"}",
  };
  char *deep = nested ("[", "]");

  for (size_t i = 0; i <= G_N_ELEMENTS (odd); i++)
    {
      char *text = g_strdup_printf (
          "{\"revision\":9,\"items\":[" API_OBJECT (
              "\"target/1\"") ",%s," API_OBJECT ("\"target/2\"") "]}",
          i < G_N_ELEMENTS (odd) ? odd[i] : deep);

      expect_changes (text, 2, 1);
      g_free (text);
    }
  expect_changes ("{\"revision\":9,\"items\":[]}", 0, 0);
  g_free (deep);
}

/* Guards against a name that becomes another path or a query of the call. */
static void
name_stays_within_its_path (void)
{
  static const char *const paths[][2] = {
    { "group/orders-1", "v1/objects/group/orders-1?if_version=5" },
    { "group/a?if_version=0&b", "v1/objects/group/a%3Fif_version%3D0%26b"
                                "?if_version=5" },
    { "group/a#b", "v1/objects/group/a%23b?if_version=5" },
    { "group/a b\r\nc", "v1/objects/group/a%20b%0D%0Ac?if_version=5" },
    { "group/a%2Fb", "v1/objects/group/a%252Fb?if_version=5" },
    { "group/../vm/a", "v1/objects/group/..%2Fvm%2Fa?if_version=5" },
    { "nokind", "v1/objects/nokind?if_version=5" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      SsAction a = { .kind = SS_ACTION_PLATFORM_PUT, .number = 5 };
      char *name = g_strdup (paths[i][0]);
      char *path;

      a.name = name;
      path = ss_platform_api_path (&a);
      CU_ASSERT_STRING_EQUAL (path, paths[i][1]);
      g_free (path);
      g_free (name);
    }
}

CU_TestInfo test_odd_entries[] = {
  { "refused entry leaves others in force",
    refused_entry_leaves_others_in_force },
  { "deeply nested entry leaves others in force",
    deeply_nested_entry_leaves_others_in_force },
  { "unnamed entry leaves others in force",
    unnamed_entry_leaves_others_in_force },
  { "entry with doubled member is absent",
    entry_with_doubled_member_is_absent },
  { "entry with odd values is absent", entry_with_odd_values_is_absent },
  { "entry that no message can name is absent",
    entry_that_no_message_can_name_is_absent },
  { "server beyond limits of core is absent",
    server_beyond_limits_of_core_is_absent },
  { "numbers of configuration are limited",
    numbers_of_configuration_are_limited },
  { "negative sequence is unknown", negative_sequence_is_unknown },
  { "damaged response is no list", damaged_response_is_no_list },
  { "response is cut anywhere", response_is_cut_anywhere },
  { "random damage stays within its entry",
    random_damage_stays_within_its_entry },
  { "random damage is read safely", random_damage_is_read_safely },
  { "log lines are bounded", log_lines_are_bounded },
  { "log lines quote no key", log_lines_quote_no_key },
  { "list goes on after odd entry", list_goes_on_after_odd_entry },
  { "unreadable object is not deleted", unreadable_object_is_not_deleted },
  { "deletion of unreadable object holds",
    deletion_of_unreadable_object_holds },
  { "single object is read or refused", single_object_is_read_or_refused },
  { "core keeps group that cannot be read",
    core_keeps_group_that_cannot_be_read },
  { "unreadable change leaves others in force",
    unreadable_change_leaves_others_in_force },
  { "name stays within its path", name_stays_within_its_path },
  CU_TEST_INFO_NULL,
};
