#include <string.h>

#include "core/internal.h"
#include "core/scan.h"

#define PREFIX "sapphirestair."

static char *
take_setting_name (GScanner *s)
{
  if (g_scanner_peek_next_token (s) != G_TOKEN_IDENTIFIER
      || g_ascii_strncasecmp (s->next_value.v_identifier, PREFIX,
                              strlen (PREFIX))
             != 0)
    return NULL;
  g_scanner_get_next_token (s);
  return g_ascii_strdown (s->value.v_identifier + strlen (PREFIX), -1);
}

static char *
take_value (GScanner *s)
{
  switch (g_scanner_get_next_token (s))
    {
    case G_TOKEN_STRING:
      return g_strdup (s->value.v_string);
    case G_TOKEN_IDENTIFIER:
      return g_strdup (s->value.v_identifier);
    case G_TOKEN_INT:
      return g_strdup_printf ("%" G_GUINT64_FORMAT, s->value.v_int64);
    default:
      return g_strdup ("");
    }
}

static bool
at_end (GScanner *s)
{
  while (g_scanner_peek_next_token (s) == (GTokenType) ';')
    g_scanner_get_next_token (s);
  return g_scanner_peek_next_token (s) == G_TOKEN_EOF;
}

static void
parse_set (SsLocal *local, GScanner *s)
{
  ss_scan_word (s, "session");
  local->name = take_setting_name (s);
  if (!local->name)
    return;
  local->kind = SS_LOCAL_SET;
  if (g_scanner_peek_next_token (s) == (GTokenType) '=')
    g_scanner_get_next_token (s);
  else
    ss_scan_word (s, "to");
  local->value = take_value (s);
}

void
ss_local_init (SsLocal *local, const char *sql)
{
  GScanner *s;

  memset (local, 0, sizeof *local);
  /* Most statements are none of these: look before the scanner is built. */
  if (!ss_local_first_word (sql, "set") && !ss_local_first_word (sql, "reset")
      && !ss_local_first_word (sql, "show"))
    return;
  s = ss_scan_new (sql, "_.");
  if (ss_scan_word (s, "set"))
    parse_set (local, s);
  else if (ss_scan_word (s, "reset"))
    {
      local->name = take_setting_name (s);
      local->kind = local->name ? SS_LOCAL_SET : SS_LOCAL_NONE;
    }
  else if (ss_scan_word (s, "show"))
    {
      local->name = take_setting_name (s);
      local->kind = local->name ? SS_LOCAL_SHOW : SS_LOCAL_NONE;
    }
  if (local->name && !at_end (s))
    local->kind = SS_LOCAL_MALFORMED;
  g_scanner_destroy (s);
}

void
ss_local_finish (SsLocal *local)
{
  g_free (local->name);
  g_free (local->value);
}

bool
ss_local_first_word (const char *sql, const char *word)
{
  size_t bytes = strlen (word);

  while (g_ascii_isspace (*sql))
    sql++;
  return g_ascii_strncasecmp (sql, word, bytes) == 0
         && !g_ascii_isalnum (sql[bytes]) && sql[bytes] != '_';
}

bool
ss_local_is_read_only (const char *sql)
{
  GScanner *s;
  bool read_only;

  if (!ss_local_first_word (sql, "begin")
      && !ss_local_first_word (sql, "start"))
    return false;
  s = ss_scan_new (sql, "_.");
  g_scanner_get_next_token (s);
  if (!ss_scan_word (s, "transaction"))
    ss_scan_word (s, "work");
  read_only = ss_scan_word (s, "read") && ss_scan_word (s, "only");
  g_scanner_destroy (s);
  return read_only;
}

bool
ss_local_ends_transaction (const char *sql)
{
  return ss_local_first_word (sql, "commit") || ss_local_first_word (sql, "end")
         || ss_local_first_word (sql, "rollback")
         || ss_local_first_word (sql, "abort");
}
