/* session_sql: SET, RESET and SHOW of session settings, which the proxy answers
 * itself, and the first words of other statements.
 */
#include <string.h>

#include "core/requests.h"
#include "core/scanner.h"
#include "core/sql_text.h"

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
parse_set (SsSettingStatement *setting, GScanner *s)
{
  ss_scanner_next_is_word (s, "session");
  setting->name = take_setting_name (s);
  if (!setting->name)
    return;
  setting->kind = SS_SETTING_STATEMENT_SET;
  if (g_scanner_peek_next_token (s) == (GTokenType) '=')
    g_scanner_get_next_token (s);
  else
    ss_scanner_next_is_word (s, "to");
  setting->value = take_value (s);
}

void
ss_session_sql_parse_setting (SsSettingStatement *setting, const char *sql)
{
  GScanner *s;

  memset (setting, 0, sizeof *setting);
  /* Most statements are none of these.  Check the first word before the costly
   * set-up of a scanner.
   */
  if (!ss_session_sql_begins_with (sql, "set")
      && !ss_session_sql_begins_with (sql, "reset")
      && !ss_session_sql_begins_with (sql, "show"))
    return;
  s = ss_scanner_new (sql, "_.");
  if (ss_scanner_next_is_word (s, "set"))
    parse_set (setting, s);
  else if (ss_scanner_next_is_word (s, "reset"))
    {
      setting->name = take_setting_name (s);
      setting->kind = setting->name ? SS_SETTING_STATEMENT_SET
                                    : SS_SETTING_STATEMENT_NONE;
    }
  else if (ss_scanner_next_is_word (s, "show"))
    {
      setting->name = take_setting_name (s);
      setting->kind = setting->name ? SS_SETTING_STATEMENT_SHOW
                                    : SS_SETTING_STATEMENT_NONE;
    }
  if (setting->name && !at_end (s))
    setting->kind = SS_SETTING_STATEMENT_MALFORMED;
  g_scanner_destroy (s);
}

void
ss_session_sql_setting_finish (SsSettingStatement *setting)
{
  g_free (setting->name);
  g_free (setting->value);
}

bool
ss_session_sql_begins_with (const char *sql, const char *word)
{
  size_t bytes = strlen (word);

  while (g_ascii_isspace (*sql))
    sql++;
  return g_ascii_strncasecmp (sql, word, bytes) == 0
         && !g_ascii_isalnum (sql[bytes]) && sql[bytes] != '_';
}

bool
ss_session_sql_begins_transaction (const char *sql)
{
  return ss_sql_text_first (sql) == SS_SQL_KIND_BEGIN;
}

/* Returns the kind of SQL if it is a single statement. */
static SsSqlKind
single_kind (const char *sql)
{
  SsSqlOutline outline;

  ss_sql_text_outline (sql, &outline);
  return outline.count == 1 && outline.is_closed ? outline.first
                                                 : SS_SQL_KIND_OTHER;
}

/* Whether the options of a BEGIN, which stand at AT, are READ ONLY and do not
 * hold READ WRITE.
 */
static bool
are_read_only (const char *at)
{
  SsSqlToken token = ss_sql_text_next (&at);
  bool read_only;

  if (ss_sql_token_is_word (&token, "transaction")
      || ss_sql_token_is_word (&token, "work"))
    token = ss_sql_text_next (&at);
  read_only = ss_sql_token_is_word (&token, "read");
  token = ss_sql_text_next (&at);
  read_only = read_only && ss_sql_token_is_word (&token, "only");
  while (token.kind != SS_SQL_TOKEN_END && token.kind != SS_SQL_TOKEN_OPEN)
    {
      read_only = read_only && !ss_sql_token_is_word (&token, "write");
      token = ss_sql_text_next (&at);
    }
  return read_only;
}

bool
ss_session_sql_is_read_only_begin (const char *sql)
{
  SsSqlToken token;

  if (single_kind (sql) != SS_SQL_KIND_BEGIN)
    return false;
  do
    token = ss_sql_text_next (&sql);
  while (token.kind != SS_SQL_TOKEN_WORD);
  return are_read_only (sql);
}

bool
ss_session_sql_ends_transaction (const char *sql)
{
  SsSqlKind kind = single_kind (sql);

  return kind == SS_SQL_KIND_COMMIT || kind == SS_SQL_KIND_ROLLBACK;
}

bool
ss_session_sql_is_rollback (const char *sql)
{
  return single_kind (sql) == SS_SQL_KIND_ROLLBACK;
}

bool
ss_session_sql_is_commit (const char *sql)
{
  return single_kind (sql) == SS_SQL_KIND_COMMIT;
}

const char *
ss_session_sql_key_error (const char *sql)
{
  SsSqlOutline outline;

  ss_sql_text_outline (sql, &outline);
  if (!outline.is_closed)
    return "a statement with sapphirestair.request_id must not leave a quote "
           "or comment open";
  if (!outline.controls
      || (outline.count == 1 && outline.first != SS_SQL_KIND_CONTROL))
    return NULL;
  return "with sapphirestair.request_id, BEGIN, COMMIT and ROLLBACK must be "
         "sent alone and without AND CHAIN";
}

bool
ss_session_sql_takes_key (const char *sql, bool in_transaction)
{
  SsSqlOutline outline;

  if (in_transaction)
    return ss_session_sql_is_commit (sql);
  ss_sql_text_outline (sql, &outline);
  return outline.is_closed && !outline.controls;
}
