/* Parsing of PostgreSQL protocol messages. */
#include <string.h>

#include "plugins/pgwire.h"
#include "tests/unit.h"

#define SEED 20261203
#define STREAMS 3000
#define STREAM_BYTES 256

static void
query_is_incomplete_up_to_its_last_byte (void)
{
  static const uint8_t query[]
      = { 'Q', 0, 0, 0, 13, 'S', 'E', 'L', 'E', 'C', 'T', ' ', '1', 0 };
  SsPgwireMessage m;

  for (uint32_t i = 0; i < sizeof query; i++)
    CU_ASSERT (ss_pgwire_read (query, i, false).kind == SS_PGWIRE_NONE);
  m = ss_pgwire_read (query, sizeof query, false);
  CU_ASSERT (m.kind == SS_PGWIRE_QUERY && m.used_bytes == sizeof query);
  CU_ASSERT_STRING_EQUAL (m.text, "SELECT 1");
}

static void
malformed_messages_are_refused (void)
{
  static const uint8_t unterminated[] = { 'Q', 0, 0, 0, 6, 'a', 'b' };
  static const uint8_t embedded_nul[] = { 'Q', 0, 0, 0, 7, 'a', 0, 0 };
  static const uint8_t short_length[] = { 'Q', 0, 0, 0, 3 };
  static const uint8_t huge_length[] = { 'Q', 0x7f, 0, 0, 0 };
  static const uint8_t old_version[] = { 0, 0, 0, 8, 0, 2, 0, 0 };
  static const uint8_t large_startup[] = { 0, 1, 0, 0, 0, 3, 0, 0 };

  CU_ASSERT (ss_pgwire_read (unterminated, sizeof unterminated, false).kind
             == SS_PGWIRE_MALFORMED);
  CU_ASSERT (ss_pgwire_read (embedded_nul, sizeof embedded_nul, false).kind
             == SS_PGWIRE_MALFORMED);
  CU_ASSERT (ss_pgwire_read (short_length, sizeof short_length, false).kind
             == SS_PGWIRE_MALFORMED);
  CU_ASSERT (ss_pgwire_read (huge_length, sizeof huge_length, false).kind
             == SS_PGWIRE_TOO_LARGE);
  CU_ASSERT (ss_pgwire_read (old_version, sizeof old_version, true).kind
             == SS_PGWIRE_BAD_VERSION);
  CU_ASSERT (ss_pgwire_read (large_startup, sizeof large_startup, true).kind
             == SS_PGWIRE_TOO_LARGE);
}

/* Checks that each message lies within its input, until the parser consumes
 * nothing more.
 */
static void
check_stream (const uint8_t *data, uint32_t bytes, bool in_startup)
{
  uint32_t at = 0;

  while (at < bytes)
    {
      SsPgwireMessage m = ss_pgwire_read (data + at, bytes - at, in_startup);

      CU_ASSERT (m.used_bytes <= bytes - at);
      if (m.used_bytes == 0)
        return;
      if (m.text)
        CU_ASSERT ((const uint8_t *) m.text + m.text_bytes
                   <= data + at + m.used_bytes);
      if (m.kind == SS_PGWIRE_STARTUP)
        ss_pgwire_startup_value (&m, "database");
      at += m.used_bytes;
    }
}

static void
random_bytes_are_parsed_safely (void)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  static const char types[] = "QXSHPBDECFdcf";

  for (uint32_t i = 0; i < STREAMS; i++)
    {
      uint32_t bytes = (uint32_t) g_rand_int_range (rand, 1, STREAM_BYTES);
      uint8_t *data = g_malloc (bytes);

      for (uint32_t j = 0; j < bytes; j++)
        data[j] = (uint8_t) g_rand_int_range (rand, 0, 256);
      /* Half of the streams begin like valid messages. */
      if (i % 2 && bytes > 8)
        {
          data[0] = (uint8_t) types[i % (sizeof types - 1)];
          data[1] = data[2] = data[3] = 0;
        }
      if (i % 4 == 2 && bytes > 8)
        memcpy (data, "\0\0\0\x20\0\3\0\0", 8);
      check_stream (data, bytes, false);
      check_stream (data, bytes, true);
      g_free (data);
    }
  g_rand_free (rand);
}

static void
append_option (void *data, const char *name, const char *value)
{
  g_string_append_printf (data, "%s=%s;", name, value);
}

static void
options_are_parsed (void)
{
  GString *found = g_string_new (NULL);

  ss_pgwire_parse_options ("-c a.b=1 -cc=2 --d=3 junk -c", append_option,
                           found);
  CU_ASSERT_STRING_EQUAL (found->str, "a.b=1;c=2;d=3;");
  g_string_free (found, TRUE);
}

/* Guards against reading beyond a SASL response whose length is wrong. */
static void
sasl_responses_are_checked (void)
{
  static const struct
  {
    const char *bytes;
    uint32_t count;
    const char *first; /* NULL: malformed */
  } cases[] = {
    { "SCRAM-SHA-256\0\0\0\0\4n,,a", 22, "n,,a" },
    { "SCRAM-SHA-256\0\0\0\0\5n,,a", 22, NULL },
    { "SCRAM-SHA-256\0\0\0\0\3n,,a", 22, NULL },
    { "SCRAM-SHA-256\0\377\377\377\377", 18, NULL },
    { "SCRAM-SHA-256\0\0\0\0", 17, NULL },
    { "SCRAM-SHA-256", 13, NULL },
    { "SCRAM-SHA-256-PLUS\0\0\0\0\4n,,a", 27, NULL },
    { "", 0, NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      /* A copy of the exact size, so that a sanitizer sees what is read. */
      char *copy = g_memdup2 (cases[i].bytes, cases[i].count + 1);
      SsPgwireMessage m = { .kind = SS_PGWIRE_PASSWORD,
                            .text = copy,
                            .text_bytes = cases[i].count };
      char *first = ss_pgwire_sasl_initial (&m, "SCRAM-SHA-256");

      CU_ASSERT (g_strcmp0 (first, cases[i].first) == 0);
      g_free (first);
      g_free (copy);
    }
}

CU_TestInfo test_pgwire[] = {
  { "query is incomplete up to its last byte",
    query_is_incomplete_up_to_its_last_byte },
  { "malformed messages are refused", malformed_messages_are_refused },
  { "random bytes are parsed safely (seed 20261203)",
    random_bytes_are_parsed_safely },
  { "options are parsed", options_are_parsed },
  { "sasl responses are checked", sasl_responses_are_checked },
  CU_TEST_INFO_NULL,
};
