/* session_sql: SET, RESET and SHOW of session settings, which the proxy answers
 * itself, and what other statements do to their session.
 */
#include <string.h>

#include "core/requests.h"
#include "core/sql_text.h"

/* Characters of a value that is not quoted. */
#define BARE_CHARACTERS                                                        \
  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:+-"

static bool
take_word (const char **at, const char *word)
{
  const char *next = *at;
  SsSqlToken token = ss_sql_text_next (&next);

  if (!ss_sql_token_is_word (&token, word))
    return false;
  *at = next;
  return true;
}

static bool
take_char (const char **at, char c)
{
  const char *next = *at;
  SsSqlToken token = ss_sql_text_next (&next);

  if (!ss_sql_token_is_char (&token, c))
    return false;
  *at = next;
  return true;
}

/* Takes sapphirestair.NAME and returns NAME, or NULL. */
static char *
take_setting_name (const char **at)
{
  SsSqlToken token;

  if (!take_word (at, SS_SQL_SETTING_WORD) || !take_char (at, '.'))
    return NULL;
  token = ss_sql_text_next (at);
  return token.kind == SS_SQL_TOKEN_WORD
             ? g_ascii_strdown (token.text, (gssize) token.bytes)
             : NULL;
}

/* Returns what TOKEN quotes: a doubled quote stands for itself. */
static char *
unquote (const SsSqlToken *token)
{
  GString *value = g_string_new (NULL);

  for (size_t i = 1; i + 1 < token->bytes; i++)
    {
      g_string_append_c (value, token->text[i]);
      i += token->text[i] == *token->text ? 1 : 0;
    }
  return g_string_free (value, FALSE);
}

/* Takes the value as it was sent, to the letter: two texts that differ are two
 * values.  Returns NULL if there is none.
 */
static char *
take_value (const char **at)
{
  const char *next = *at;
  SsSqlToken token = ss_sql_text_next (&next);
  size_t bytes;

  if (token.kind == SS_SQL_TOKEN_STRING || token.kind == SS_SQL_TOKEN_NAME)
    {
      *at = next;
      return unquote (&token);
    }
  if (token.kind == SS_SQL_TOKEN_END || token.kind == SS_SQL_TOKEN_OPEN)
    return NULL;
  bytes = strspn (token.text, BARE_CHARACTERS);
  *at = token.text + bytes;
  if (!bytes || g_strstr_len (token.text, (gssize) bytes, "--"))
    return NULL;
  return g_strndup (token.text, bytes);
}

static bool
at_end (const char *at)
{
  while (take_char (&at, ';'))
    ;
  return ss_sql_text_next (&at).kind == SS_SQL_TOKEN_END;
}

/* Parses what follows SET; returns false if it is malformed. */
static bool
parse_set (SsSettingStatement *setting, const char **at)
{
  take_word (at, "session");
  setting->name = take_setting_name (at);
  if (!setting->name || (!take_char (at, '=') && !take_word (at, "to")))
    return false;
  if (take_word (at, "default"))
    return true;
  setting->value = take_value (at);
  return setting->value != NULL;
}

/* Parses a single statement; returns false if it is malformed. */
static bool
parse_setting (SsSettingStatement *setting, const char *at)
{
  while (take_char (&at, ';'))
    ;
  setting->kind = SS_SETTING_STATEMENT_SET;
  if (take_word (&at, "set"))
    return parse_set (setting, &at) && at_end (at);
  if (take_word (&at, "show"))
    setting->kind = SS_SETTING_STATEMENT_SHOW;
  else
    take_word (&at, "reset");
  setting->name = take_setting_name (&at);
  return setting->name && at_end (at);
}

void
ss_session_sql_parse_setting (SsSettingStatement *setting, const char *sql)
{
  SsSqlOutline outline;

  memset (setting, 0, sizeof *setting);
  ss_sql_text_outline (sql, &outline);
  if (!outline.has_setting)
    return;
  if (outline.count != 1 || !outline.is_closed || !parse_setting (setting, sql))
    setting->kind = SS_SETTING_STATEMENT_MALFORMED;
}

void
ss_session_sql_setting_finish (SsSettingStatement *setting)
{
  g_free (setting->name);
  g_free (setting->value);
}

bool
ss_session_sql_begins_transaction (const char *sql)
{
  return ss_sql_text_first (sql) == SS_SQL_KIND_BEGIN;
}

/* Returns the kind of SQL if it is a single statement.  Most texts begin with
 * one of no kind, and are not read to their end.
 */
static SsSqlTextKind
single_kind (const char *sql)
{
  SsSqlOutline outline;

  if (ss_sql_text_first (sql) == SS_SQL_KIND_OTHER)
    return SS_SQL_KIND_OTHER;
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
  SsSqlTextKind kind = single_kind (sql);

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

bool
ss_session_sql_tag_changes_session (const char *tag)
{
  /* CREATE and SELECT INTO are those of temporary tables, too. */
  static const char *const words[]
      = { "SET",     "RESET", "PREPARE", "DEALLOCATE", "DECLARE CURSOR",
          "LISTEN",  "LOAD",  "DISCARD", "CREATE",     "SELECT INTO",
          "UNLISTEN" };

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      size_t bytes = strlen (words[i]);

      if (strncmp (tag, words[i], bytes) == 0
          && (!tag[bytes] || tag[bytes] == ' '))
        return true;
    }
  return false;
}
