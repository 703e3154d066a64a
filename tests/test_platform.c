/* Formats of the platform: line protocol messages, statements, error codes and
 * records.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"
#include "platform/dialect.h"
#include "platform/errors.h"
#include "platform/line.h"
#include "platform/records.h"
#include "tests/unit.h"

#define FUZZ_ROUNDS 20000

static SsLineResult
read_text (SsLine *line, const char *text, uint8_t *buffer)
{
  memcpy (buffer, text, strlen (text) + 1);
  return ss_line_read (line, buffer, (uint32_t) strlen (text));
}

static void
lines_are_parsed (void)
{
  uint8_t buffer[256];
  SsLine line;

  CU_ASSERT (read_text (&line, "QUERY a1 READ 1a", buffer) == SS_LINE_PARTIAL);
  CU_ASSERT (read_text (&line, "QUERY a1  READ 1a\r\nx", buffer)
             == SS_LINE_WHOLE);
  CU_ASSERT (line.type == SS_LINE_QUERY && line.used_bytes == 19);
  CU_ASSERT_STRING_EQUAL (ss_line_next_field (&line.rest), "a1");
  /* The rest is passed on unchanged, spaces included. */
  CU_ASSERT_STRING_EQUAL (line.rest, " READ 1a");
  CU_ASSERT (read_text (&line, "\r\n", buffer) == SS_LINE_WHOLE);
  CU_ASSERT (line.type == SS_LINE_UNKNOWN);
  CU_ASSERT (read_text (&line, "query a1 READ\r\n", buffer) == SS_LINE_WHOLE);
  CU_ASSERT (line.type == SS_LINE_UNKNOWN);
}

/* Guards against UNASKED: a line feed in a statement's text ended the message,
 * and the server ran the rest of the text as another statement.
 */
static void
line_feed_does_not_end_a_message (void)
{
  static const char *const malformed[]
      = { "QUERY a1 WRITE b6 whole\nQUERY a2 WRITE c6 hidden\r\n",
          "QUERY a1 WRITE b6 whole\n", "\nQUERY a1 READ 1a\r\n",
          "QUERY a1 READ 1a\r \n", "CLOSE\n" };
  uint8_t buffer[256];
  SsLine line;

  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    CU_ASSERT (read_text (&line, malformed[i], buffer) == SS_LINE_MALFORMED);
  CU_ASSERT (read_text (&line, "QUERY a1 WRITE b6 a\rb\r\n", buffer)
             == SS_LINE_WHOLE);
  CU_ASSERT_STRING_EQUAL (line.rest, "a1 WRITE b6 a\rb");
}

static bool
write_connect (GByteArray *out, const char *service, const char *server)
{
  SsLineWriter w;

  ss_line_writer_init_message (&w, SS_LINE_CONNECT);
  ss_line_writer_add_name (&w, service);
  ss_line_writer_add_name (&w, "o");
  ss_line_writer_add_name (&w, server);
  return ss_line_writer_put (&w, out);
}

/* Guards against UNASKED and MISROUTED: text from an object of the platform,
 * such as the name of a service, must not become another field or a message of
 * its own at a server.
 */
static void
names_stay_within_their_field (void)
{
  static const char *const no_fields[]
      = { "",      "s o i-1\r\nQUERY 1 WRITE a b",
          "s o",   " s",
          "s ",    "i-1\r\n",
          "i-1\n", "i\r1",
          "i\t1" };
  GByteArray *out = g_byte_array_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (no_fields); i++)
    {
      CU_ASSERT (!write_connect (out, no_fields[i], "i-1"));
      CU_ASSERT (!write_connect (out, "s", no_fields[i]));
      CU_ASSERT (out->len == 0);
    }
  CU_ASSERT (write_connect (out, "s", "i-1"));
  CU_ASSERT (out->len == strlen ("CONNECT s o i-1\r\n"));
  CU_ASSERT (memcmp (out->data, "CONNECT s o i-1\r\n", out->len) == 0);
  g_byte_array_unref (out);
}

static bool
write_query (GByteArray *out, const char *id, const char *text)
{
  SsLineWriter w;

  ss_line_writer_init_message (&w, SS_LINE_QUERY);
  ss_line_writer_add_field (&w, id);
  ss_line_writer_add_last (&w, text);
  return ss_line_writer_put (&w, out);
}

/* Guards against UNASKED: a statement is sent as it is or not at all. */
static void
statement_stays_within_its_message (void)
{
  GByteArray *out = g_byte_array_new ();
  char *longest
      = g_strnfill (SS_LINE_MAX_BYTES - strlen ("QUERY a1 \r\n"), 'x');
  char *too_long = g_strconcat (longest, "x", NULL);
  SsLine line;

  CU_ASSERT (!write_query (out, "a1", "READ 1a\nQUERY a2 WRITE b"));
  CU_ASSERT (!write_query (out, "a1", too_long));
  CU_ASSERT (out->len == 0);
  CU_ASSERT (write_query (out, "a1", " READ  1a\r\t\xff "));
  CU_ASSERT (ss_line_read (&line, out->data, out->len) == SS_LINE_WHOLE);
  CU_ASSERT (line.used_bytes == out->len);
  CU_ASSERT_STRING_EQUAL (line.rest, "a1  READ  1a\r\t\xff ");
  g_byte_array_set_size (out, 0);
  CU_ASSERT (write_query (out, "a1", longest));
  CU_ASSERT (out->len == SS_LINE_MAX_BYTES);
  g_free (longest);
  g_free (too_long);
  g_byte_array_unref (out);
}

/* An id is passed on as the caller sent it, control characters included. */
static void
ids_are_passed_on_unchanged (void)
{
  static const char message[] = "QUERY a\t\r\x01\xff READ 1a\r\n";
  GByteArray *out = g_byte_array_new ();

  CU_ASSERT (write_query (out, "a\t\r\x01\xff", "READ 1a"));
  CU_ASSERT (out->len == strlen (message));
  CU_ASSERT (memcmp (out->data, message, out->len) == 0);
  CU_ASSERT (!write_query (out, "a 1", "READ 1a"));
  CU_ASSERT (!write_query (out, "", "READ 1a"));
  CU_ASSERT (!write_query (out, "a\n1", "READ 1a"));
  CU_ASSERT (out->len == strlen (message));
  g_byte_array_unref (out);
}

/* The text of an error is for a reader: it keeps its message whatever a name in
 * it holds.
 */
static void
prose_is_one_line (void)
{
  GByteArray *out = g_byte_array_new ();
  SsLineWriter w;

  ss_line_writer_init_message (&w, SS_LINE_ERROR);
  ss_line_writer_add_field (&w, "FAILED");
  ss_line_writer_add_prose (&w, "no \r\nCOMPLETE \"x\ty\"");
  CU_ASSERT (ss_line_writer_put (&w, out));
  CU_ASSERT (out->len == strlen ("ERROR FAILED no   COMPLETE \"x y\"\r\n"));
  CU_ASSERT (
      memcmp (out->data, "ERROR FAILED no   COMPLETE \"x y\"\r\n", out->len)
      == 0);
  g_byte_array_unref (out);
}

static char *
message_of_length (size_t bytes)
{
  char *rest = g_strnfill (bytes - strlen ("QUERY a1 \r\n"), 'x');
  char *message = g_strconcat ("QUERY a1 ", rest, "\r\n", NULL);

  g_free (rest);
  return message;
}

/* A whole message that is too long is refused however it arrives. */
static void
long_messages_are_refused (void)
{
  char *longest = message_of_length (SS_LINE_MAX_BYTES);
  char *too_long = message_of_length (SS_LINE_MAX_BYTES + 1);
  SsLine line;

  CU_ASSERT (ss_line_read (&line, (uint8_t *) too_long, SS_LINE_MAX_BYTES + 1)
             == SS_LINE_TOO_LONG);
  CU_ASSERT (ss_line_read (&line, (uint8_t *) longest, SS_LINE_MAX_BYTES)
             == SS_LINE_WHOLE);
  CU_ASSERT (line.used_bytes == SS_LINE_MAX_BYTES);
  g_free (longest);
  g_free (too_long);
}

/* A NUL byte would hide the text after it from the proxy, but not from a
 * target.
 */
static void
nul_bytes_are_refused (void)
{
  uint8_t buffer[] = "QUERY a1 READ 1a?WRITE\r\n";
  SsLine line;

  buffer[16] = 0;
  CU_ASSERT (ss_line_read (&line, buffer, sizeof buffer - 1) == SS_LINE_WHOLE);
  CU_ASSERT (line.type == SS_LINE_UNKNOWN);
}

static void
positions_are_parsed (void)
{
  SsPosition p = ss_line_parse_position ("3.1207");

  CU_ASSERT (p.term == 3 && p.offset == 1207);
  CU_ASSERT (ss_line_parse_position ("-").offset == 0);
  CU_ASSERT (ss_line_parse_position ("3.").offset == 0);
  CU_ASSERT (ss_line_parse_position ("3.12x").offset == 0);
  CU_ASSERT (ss_line_parse_position ("3.-1").offset == 0);
}

typedef struct
{
  const char *text;
  SsStatementKind kind;
  bool is_read;
  const char *name;
  const char *value;
} StatementRow;

static const StatementRow statement_rows[] = {
  { "READ 1a4", SS_STATEMENT_READ, false, NULL, NULL },
  { "WRITE 1a4 x y", SS_STATEMENT_WRITE, false, NULL, NULL },
  { "BEGIN", SS_STATEMENT_BEGIN, false, NULL, NULL },
  { "BEGIN READ", SS_STATEMENT_BEGIN, true, NULL, NULL },
  { "BEGIN WRITE", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "COMMIT", SS_STATEMENT_COMMIT, false, NULL, NULL },
  { "COMMIT now", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "SET a b c", SS_STATEMENT_SET, false, "a", "b c" },
  { "SET a", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "PREPARE s1 WRITE q2c", SS_STATEMENT_PREPARE, false, "s1", "q2c" },
  { "PREPARE s1 READ q2c", SS_STATEMENT_PREPARE, true, "s1", "q2c" },
  { "PREPARE s1 q2c", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "EXECUTE s1 1a4 data", SS_STATEMENT_EXECUTE, false, "s1", "1a4 data" },
  { "SET a  b ", SS_STATEMENT_SET, false, "a", " b " },
  { "SET a  ", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "PREPARE s1 READ  q2c x", SS_STATEMENT_PREPARE, true, "s1", " q2c x" },
  { "EXECUTE s1  1a4  x ", SS_STATEMENT_EXECUTE, false, "s1", " 1a4  x " },
  { "DEALLOC s1", SS_STATEMENT_DEALLOCATE, false, "s1", NULL },
  { "WAITFOR 3.1 READ 1a", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "STATUS", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "PAUSE 9", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "RESET", SS_STATEMENT_INVALID, false, NULL, NULL },
  { "", SS_STATEMENT_INVALID, false, NULL, NULL },
};

/* Statements that only the proxy may send to a target are invalid from a
 * caller.
 */
static void
statements_are_classified (void)
{
  const SsDialect *d = ss_dialect_line ();

  for (size_t i = 0; i < G_N_ELEMENTS (statement_rows); i++)
    {
      const StatementRow *row = &statement_rows[i];
      SsStatement st;

      d->parse (d, row->text, &st);
      CU_ASSERT (st.kind == row->kind);
      if (row->kind != SS_STATEMENT_INVALID)
        {
          CU_ASSERT (st.is_read == row->is_read);
          CU_ASSERT (!row->name || g_strcmp0 (st.name, row->name) == 0);
          CU_ASSERT (!row->value || g_strcmp0 (st.value, row->value) == 0);
        }
      ss_statement_finish (&st);
    }
}

static void
status_rows_are_parsed (void)
{
  const SsDialect *d = ss_dialect_line ();
  const char *row[]
      = { "replica", "3", "3.1209", "4", "12", "2", "17", "3.1204" };
  SsServerState s = { 0 };

  CU_ASSERT (d->read_status (d, row, 8, &s));
  CU_ASSERT (s.role == SS_SERVER_REPLICA && s.follow_term == 3);
  CU_ASSERT (s.shown_term == 4 && s.barred_term == 4 && s.lag_ms == 12);
  CU_ASSERT (s.held.offset == 1209 && s.applied.offset == 1204);
  CU_ASSERT (!d->read_status (d, row, 5, &s));
  row[0] = "witness";
  CU_ASSERT (!d->read_status (d, row, 8, &s));
  row[0] = "primary";
  row[1] = "x";
  CU_ASSERT (!d->read_status (d, row, 8, &s));
  CU_ASSERT (!d->read_status (d, NULL, 0, &s));
}

/* Codes that promise that a statement did not run are never used for one that
 * may have run.
 */
static void
statement_in_doubt_gets_no_not_run_code (void)
{
  static const char *const not_run_codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT" };

  for (int reason = SS_REASON_NONE; reason <= SS_REASON_TOO_LARGE; reason++)
    {
      const char *code
          = ss_error_code (SS_VERDICT_MAY_HAVE_RUN, (SsReason) reason);

      for (size_t i = 0; i < G_N_ELEMENTS (not_run_codes); i++)
        CU_ASSERT (strcmp (code, not_run_codes[i]) != 0);
    }
  CU_ASSERT (ss_error_fault ("BUSY") == SS_TARGET_FAULT_BUSY);
  CU_ASSERT (ss_error_fault ("FAILED") == SS_TARGET_FAULT_STATEMENT);
  CU_ASSERT (ss_error_fault ("NEWCODE") == SS_TARGET_FAULT_STATEMENT);
}

static char *
read_object (SsRecord *r, const char *kind, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  char *error = ss_record_read (r, kind, json, 0);

  json_decref (json);
  return error;
}

static void
expect_record (const char *kind, const char *text, const char *value)
{
  SsRecord r;
  char *error = read_object (&r, kind, text);

  CU_ASSERT_PTR_NULL (error);
  CU_ASSERT (g_strcmp0 (r.value, value) == 0);
  g_free (error);
  ss_record_finish (&r);
}

static void
records_are_converted (void)
{
  expect_record (
      "servers",
      "{\"meta\":{\"name\":\"i-1\",\"revision\":7},\"spec\":{"
      "\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
      "\"slots\":3,\"state\":\"draining\",\"born\":5,\"sequence\":1}}",
      "{\"born_ms\":5,\"draining\":true,\"failure_domain\":\"z\","
      "\"group\":\"s\",\"ip\":\"10.0.0.9\",\"port\":80,\"slots\":3}");
  expect_record (
      "config",
      "{\"meta\":{\"name\":\"main\",\"revision\":9},\"spec\":{"
      "\"routes\":[{\"host\":\"h\",\"service\":\"s\",\"kind\":"
      "\"primary\",\"timeout_ms\":1000,\"priority\":2,"
      "\"latency_goal_ms\":250}],\"services\":[{"
      "\"name\":\"s\","
      "\"max_conns\":21}],\"limits\":{\"tx_idle_ms\":3000}}}",
      "{\"groups\":{\"s\":{\"max_connections\":21}},\"services\":{\"h\":"
      "{\"default_kind\":\"strict\",\"group\":\"s\","
      "\"latency_goal_ms\":250,"
      "\"timeout_ms\":1000,\"urgency\":2}},"
      "\"transaction_idle_ms\":3000}");
}

#define META "{\"meta\":{\"name\":\"i\",\"revision\":1}"
#define LOCATION_FIELDS                                                        \
  "\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","

static const char *const bad_servers[] = {
  "{}",
  META "}",
  META ",\"spec\":7}",
  META ",\"spec\":{\"service\":1}}",
  META ",\"spec\":{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
       "\"state\":\"ready\"}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":\"asleep\"}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":\"ready\",\"slots\":\"many\"}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":\"ready\",\"born\":\"now\"}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":\"ready\",\"born\":-1}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":\"ready\",\"born\":1.5}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"state\":7}}",
  META ",\"spec\":{" LOCATION_FIELDS "\"slots\":1}}",
  META
  ",\"spec\":{\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\"}}",
  META ",\"spec\":{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"}}",
  META ",\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"state\":"
       "\"ready\"}}",
};

static void
malformed_records_are_refused (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_servers); i++)
    {
      SsRecord r;
      char *error = read_object (&r, "servers", bad_servers[i]);

      CU_ASSERT_PTR_NOT_NULL (error);
      g_free (error);
      ss_record_finish (&r);
    }
}

/* Guards against CONFIG: one route that can't be read kept out all others, and
 * all later configurations with it.
 */
static void
unreadable_route_leaves_others_in_force (void)
{
  static const char *const bad[]
      = { "{\"host\":\"h\",\"service\":\"s\",\"kind\":\"eventual\","
          "\"max_staleness_ms\":5}",
          "{\"host\":\"h\",\"service\":7,\"kind\":\"primary\"}",
          "{\"host\":\"h\",\"service\":\"s\",\"kind\":\"primary\","
          "\"timeout_ms\":\"1 s\"}",
          "{\"service\":\"s\",\"kind\":\"primary\"}", "7" };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *text = g_strdup_printf (
          META ",\"spec\":{\"version\":4,\"routes\":[%s,{\"host\":\"good\","
               "\"service\":\"s\",\"kind\":\"primary\"}]}}",
          bad[i]);
      SsRecord r;
      char *error = read_object (&r, "config", text);

      CU_ASSERT_PTR_NULL (error);
      CU_ASSERT (g_strcmp0 (r.value,
                            "{\"groups\":{},\"services\":{\"good\":"
                            "{\"default_kind\":\"strict\",\"group\":\"s\","
                            "\"timeout_ms\":0,\"urgency\":0}},"
                            "\"transaction_idle_ms\":0}")
                 == 0);
      g_free (error);
      ss_record_finish (&r);
      g_free (text);
    }
}

#define CONFIG(members)                                                        \
  META ",\"spec\":{\"version\":4,\"routes\":[{\"host\":\"h\",\"service\":"     \
       "\"s\","                                                                \
       "\"kind\":\"primary\"}]," members "}}"
#define TENANTS(list) CONFIG ("\"tenants\":[" list "]")
#define TENANT(members) "{\"name\":\"a\"" members "}"

typedef struct
{
  const char *tenants;
  const char *omitted; /* a part of what is noted; NULL: nothing is left out */
  const char *adopted; /* the organisations; NULL: the whole is refused */
} TenantRow;

/* The digests of "k" and of "l". */
#define DIGEST_K "8254c329a92850f6d539dd376f4816ee"
#define DIGEST_L "acac86c0e609ca906f632b0e2dacccb2"
#define ORGANISATION(keys, limits) "{\"key_digests\":[" keys "]" limits "}"

static const TenantRow tenant_rows[] = {
  { "", NULL, "{}" },
  { TENANT (""), NULL, "{\"a\":" ORGANISATION ("", "") "}" },
  { TENANT (",\"api_keys\":[]"), NULL, "{\"a\":" ORGANISATION ("", "") "}" },
  { TENANT (",\"api_keys\":[\"k\",\"k\"]"), "listed before",
    "{\"a\":" ORGANISATION ("\"" DIGEST_K "\"", "") "}" },
  { TENANT (",\"api_keys\":[\"\",7,null,\"k\"]"), "3 keys",
    "{\"a\":" ORGANISATION ("\"" DIGEST_K "\"", "") "}" },
  { TENANT (",\"api_keys\":\"k\""), "api_keys",
    "{\"a\":" ORGANISATION ("", "") "}" },
  { TENANT (",\"api_keys\":[\"k\"]") ",{\"name\":\"b\",\"api_keys\":[\"k\","
                                     "\"l\"]}",
    "listed before",
    "{\"a\":" ORGANISATION ("\"" DIGEST_K "\"", "") ",\"b\":" ORGANISATION (
        "\"" DIGEST_L "\"", "") "}" },
  { TENANT (",\"api_keys\":[\"k\"]") "," TENANT (",\"api_keys\":[\"l\"]"),
    "has its name", "{\"a\":" ORGANISATION ("\"" DIGEST_K "\"", "") "}" },
  { TENANT (",\"rate_per_s\":2.1"), NULL,
    "{\"a\":" ORGANISATION ("", ",\"rate_per_s\":3") "}" },
  { TENANT (",\"rate_per_s\":0,\"burst\":0"), NULL,
    "{\"a\":{\"burst\":0,\"key_digests\":[],\"rate_per_s\":0}}" },
  { TENANT (",\"rate_per_s\":null,\"burst\":5"), NULL,
    "{\"a\":" ORGANISATION ("", "") "}" },
  { TENANT (",\"rate_per_s\":1e300"), NULL,
    "{\"a\":" ORGANISATION ("", ",\"rate_per_s\":1000000000") "}" },
  { TENANT (",\"rate_per_s\":9000000000000000000"), NULL,
    "{\"a\":" ORGANISATION ("", ",\"rate_per_s\":1000000000") "}" },
  { TENANT (",\"rate_per_s\":-0.5"), "rate_per_s", "{}" },
  { TENANT (",\"rate_per_s\":\"many\""), "rate_per_s", "{}" },
  { TENANT (",\"rate_per_s\":1,\"burst\":-1"), "burst", "{}" },
  { TENANT (",\"rate_per_s\":1,\"burst\":[]"), "burst", "{}" },
  { "7,{\"name\":7},{\"name\":\"\"},{\"name\":\"a b\"},{\"name\":\"c\"}",
    "tenant 3", "{\"c\":" ORGANISATION ("", "") "}" },
};

static char *
organisations_text (const char *value)
{
  json_t *json = json_loads (value ? value : "{}", 0, NULL);
  char *text = json_dumps (json_object_get (json, "organisations"),
                           JSON_COMPACT | JSON_SORT_KEYS);

  json_decref (json);
  return text;
}

/* Guards against an organisation that can't be read and keeps out the others,
 * against one that the core refuses together with all routes, and against notes
 * that quote a key.
 */
static void
organisations_are_converted (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (tenant_rows); i++)
    {
      const TenantRow *row = &tenant_rows[i];
      char *text = g_strdup_printf (TENANTS ("%s"), row->tenants);
      SsRecord r;
      char *error = read_object (&r, "config", text);
      char *adopted = organisations_text (r.value);

      CU_ASSERT_PTR_NULL (error);
      CU_ASSERT (g_strcmp0 (adopted, row->adopted) == 0);
      if (g_strcmp0 (adopted, row->adopted) != 0)
        g_printerr ("%s: %s\n", row->tenants, adopted);
      CU_ASSERT (row->omitted ? r.omitted && strstr (r.omitted, row->omitted)
                              : !r.omitted);
      if (r.value)
        {
          char *refusal = ss_config_check ("routes/main", r.value,
                                           (uint32_t) strlen (r.value));

          CU_ASSERT_PTR_NULL (refusal);
          g_free (refusal);
        }
      free (adopted);
      g_free (error);
      ss_record_finish (&r);
      g_free (text);
    }
}

/* Guards against a deployment that serves any caller, as the list of its
 * organisations can't be read.
 */
static void
unreadable_organisations_open_nothing (void)
{
  static const char *const bad[] = { "{}", "7", "\"\"", "true" };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *text = g_strdup_printf (CONFIG ("\"tenants\":%s"), bad[i]);
      SsRecord r;
      char *error = read_object (&r, "config", text);

      CU_ASSERT (error && strstr (error, "tenants"));
      CU_ASSERT_PTR_NULL (r.value);
      g_free (error);
      ss_record_finish (&r);
      g_free (text);
    }
}

/* Guards against a service that is open to all, as its flag can't be read. */
static void
unreadable_flag_makes_no_service_public (void)
{
  SsRecord r;
  char *error = read_object (
      &r, "config",
      META ",\"spec\":{\"tenants\":[],\"routes\":[{\"host\":\"h\","
           "\"service\":\"s\",\"kind\":\"primary\",\"public\":\"yes\"}]}}");

  CU_ASSERT_PTR_NULL (error);
  CU_ASSERT (r.omitted && strstr (r.omitted, "public"));
  CU_ASSERT (r.value && strstr (r.value, "\"h\"")
             && !strstr (r.value, "public"));
  g_free (error);
  ss_record_finish (&r);
}

/* Returns the number of lines in DATA by readers that end a line at CR LF, or
 * at any LF.
 */
static uint32_t
count_lines (const uint8_t *data, uint32_t bytes, bool needs_cr)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < bytes; i++)
    if (data[i] == '\n' && (!needs_cr || (i > 0 && data[i - 1] == '\r')))
      count++;
  return count;
}

/* Reads the messages of DATA that have arrived after the first PART bytes and
 * after all of them.  Returns the number of bytes that the accepted messages
 * have.
 */
static uint32_t
read_messages (const uint8_t *data, uint32_t bytes, uint32_t part,
               uint32_t *count)
{
  uint32_t used_bytes = 0;
  const uint32_t arrived[] = { part, bytes };

  *count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (arrived); i++)
    while (used_bytes < arrived[i])
      {
        uint32_t left_bytes = arrived[i] - used_bytes;
        uint8_t *copy = g_memdup2 (data + used_bytes, left_bytes);
        SsLine line;
        SsLineResult result = ss_line_read (&line, copy, left_bytes);

        g_free (copy);
        if (result != SS_LINE_WHOLE)
          break;
        used_bytes += line.used_bytes;
        ++*count;
      }
  return used_bytes;
}

/* Guards against UNASKED: what is accepted is the same messages for readers
 * that accept LF alone and for those that do not, in however many pieces it
 * arrives.
 */
static void
all_readers_see_the_same_messages (void)
{
  static const char alphabet[] = "QUERY a\r\n\r\n";
  GRand *rand = g_rand_new_with_seed (2);

  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      uint8_t data[40] = { 0 };
      uint32_t bytes = (uint32_t) g_rand_int_range (rand, 1, sizeof data);
      uint32_t part = (uint32_t) g_rand_int_range (rand, 0, (gint32) bytes);
      uint32_t count;
      uint32_t count_in_parts;
      uint32_t used_bytes;

      for (uint32_t i = 0; i < bytes; i++)
        data[i] = (uint8_t)
            alphabet[g_rand_int_range (rand, 0, sizeof alphabet - 1)];
      used_bytes = read_messages (data, bytes, bytes, &count);
      CU_ASSERT (count == count_lines (data, used_bytes, false));
      CU_ASSERT (count == count_lines (data, used_bytes, true));
      CU_ASSERT (read_messages (data, bytes, part, &count_in_parts)
                 == used_bytes);
      CU_ASSERT (count_in_parts == count);
    }
  g_rand_free (rand);
}

/* Arbitrary input is parsed without memory errors, and a line ends within it.
 */
static void
random_bytes_are_parsed_safely (void)
{
  static const char alphabet[] = "QUERYADCLOSTB 019.-\r\n\0x";
  const SsDialect *d = ss_dialect_line ();
  GRand *rand = g_rand_new_with_seed (1);

  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      uint32_t bytes = (uint32_t) g_rand_int_range (rand, 0, 60);
      uint8_t *data = g_malloc (bytes + 1);
      SsLine line;

      for (uint32_t i = 0; i < bytes; i++)
        data[i]
            = (uint8_t) alphabet[g_rand_int_range (rand, 0, sizeof alphabet)];
      if (ss_line_read (&line, data, bytes) == SS_LINE_WHOLE)
        {
          SsStatement st;

          CU_ASSERT (line.used_bytes <= bytes);
          d->parse (d, line.rest, &st);
          ss_statement_finish (&st);
        }
      g_free (data);
    }
  g_rand_free (rand);
}

CU_TestInfo test_platform[] = {
  { "lines are parsed", lines_are_parsed },
  { "a line feed does not end a message", line_feed_does_not_end_a_message },
  { "names stay within their field", names_stay_within_their_field },
  { "a statement stays within its message",
    statement_stays_within_its_message },
  { "ids are passed on unchanged", ids_are_passed_on_unchanged },
  { "prose is one line", prose_is_one_line },
  { "long messages are refused", long_messages_are_refused },
  { "nul bytes are refused", nul_bytes_are_refused },
  { "positions are parsed", positions_are_parsed },
  { "statements are classified", statements_are_classified },
  { "status rows are parsed", status_rows_are_parsed },
  { "statement in doubt gets no not-run code",
    statement_in_doubt_gets_no_not_run_code },
  { "records are converted", records_are_converted },
  { "malformed records are refused", malformed_records_are_refused },
  { "unreadable route leaves others in force",
    unreadable_route_leaves_others_in_force },
  { "organisations are converted", organisations_are_converted },
  { "unreadable organisations open nothing",
    unreadable_organisations_open_nothing },
  { "unreadable flag makes no service public",
    unreadable_flag_makes_no_service_public },
  { "all readers see the same messages", all_readers_see_the_same_messages },
  { "random bytes are parsed safely", random_bytes_are_parsed_safely },
  CU_TEST_INFO_NULL,
};
