#include "core/sql_text.h"

#include <string.h>

/* --- tokens --- */

static bool
begins_word (char c)
{
  return g_ascii_isalpha (c) || c == '_' || (unsigned char) c >= 0x80;
}

static bool
continues_word (char c)
{
  return begins_word (c) || g_ascii_isdigit (c) || c == '$';
}

static bool
is_space (char c)
{
  return g_ascii_isspace (c) || c == '\v';
}

static const char *
skip_line (const char *at)
{
  return at + strcspn (at, "\r\n");
}

/* Returns what follows the comment at AT, or NULL if it is not closed.
 * Comments nest.
 */
static const char *
skip_comment (const char *at)
{
  uint32_t depth = 0;

  for (; *at; at++)
    {
      if (at[0] == '/' && at[1] == '*')
        {
          depth++;
          at++;
        }
      else if (at[0] == '*' && at[1] == '/')
        {
          depth--;
          at++;
          if (!depth)
            return at + 1;
        }
    }
  return NULL;
}

/* Returns the next character that is part of a token, or NULL if a comment is
 * not closed.
 */
static const char *
skip_blank (const char *at)
{
  while (true)
    {
      while (is_space (*at))
        at++;
      if (at[0] == '-' && at[1] == '-')
        at = skip_line (at);
      else if (at[0] != '/' || at[1] != '*')
        return at;
      else if (!(at = skip_comment (at)))
        return NULL;
    }
}

/* Returns what follows the quote at AT, or NULL if it is not closed.  A doubled
 * quote stands for itself.
 */
static const char *
skip_quoted (const char *at, bool has_escapes)
{
  char quote = *at++;

  for (; *at; at++)
    {
      if (has_escapes && at[0] == '\\' && at[1])
        at++;
      else if (at[0] == quote && at[1] == quote)
        at++;
      else if (at[0] == quote)
        return at + 1;
    }
  return NULL;
}

/* Returns the quote after AT with which a text goes on: one on a later line,
 * after no more than white space and line comments; or NULL.
 */
static const char *
find_continuation (const char *at)
{
  bool has_newline = false;

  while (is_space (*at) || (has_newline && at[0] == '-' && at[1] == '-'))
    {
      has_newline = has_newline || *at == '\n' || *at == '\r';
      at = *at == '-' ? skip_line (at) : at + 1;
    }
  return has_newline && *at == '\'' ? at : NULL;
}

/* A text with escapes has them in its continuations, too. */
static const char *
skip_escaped (const char *at)
{
  const char *end = NULL;

  while (at)
    {
      end = skip_quoted (at, true);
      at = end ? find_continuation (end) : NULL;
    }
  return end;
}

/* Returns the length of the tag at AT, its dollar signs included, or 0. */
static size_t
dollar_tag_bytes (const char *at)
{
  size_t bytes = 1;

  if (g_ascii_isdigit (at[1]))
    return 0;
  while (continues_word (at[bytes]) && at[bytes] != '$')
    bytes++;
  return at[bytes] == '$' ? bytes + 1 : 0;
}

static const char *
skip_dollar_quoted (const char *at, size_t tag_bytes)
{
  char *tag = g_strndup (at, tag_bytes);
  const char *end = strstr (at + tag_bytes, tag);

  g_free (tag);
  return end ? end + tag_bytes : NULL;
}

static const char *
skip_word (const char *at)
{
  while (continues_word (*at))
    at++;
  return at;
}

/* END is NULL if the token is not closed. */
static SsSqlToken
take (const char **at, SsSqlTokenKind kind, const char *start, const char *end)
{
  SsSqlToken token = { end ? kind : SS_SQL_TOKEN_OPEN, start, 0 };

  *at = end ? end : start + strlen (start);
  token.bytes = (size_t) (*at - start);
  return token;
}

SsSqlToken
ss_sql_text_next (const char **at)
{
  const char *start = skip_blank (*at);
  size_t tag_bytes;

  if (!start)
    return take (at, SS_SQL_TOKEN_OPEN, *at, NULL);
  if (!*start)
    return take (at, SS_SQL_TOKEN_END, start, start);
  if ((*start == 'e' || *start == 'E') && start[1] == '\'')
    return take (at, SS_SQL_TOKEN_ESCAPED, start, skip_escaped (start + 1));
  if (begins_word (*start))
    return take (at, SS_SQL_TOKEN_WORD, start, skip_word (start));
  if (*start == '\'')
    return take (at, SS_SQL_TOKEN_STRING, start, skip_quoted (start, false));
  if (*start == '"')
    return take (at, SS_SQL_TOKEN_NAME, start, skip_quoted (start, false));
  tag_bytes = *start == '$' ? dollar_tag_bytes (start) : 0;
  if (tag_bytes)
    return take (at, SS_SQL_TOKEN_ESCAPED, start,
                 skip_dollar_quoted (start, tag_bytes));
  return take (at, SS_SQL_TOKEN_CHAR, start, start + 1);
}

bool
ss_sql_token_is_word (const SsSqlToken *token, const char *word)
{
  return token->kind == SS_SQL_TOKEN_WORD && token->bytes == strlen (word)
         && g_ascii_strncasecmp (token->text, word, token->bytes) == 0;
}

bool
ss_sql_token_is_char (const SsSqlToken *token, char c)
{
  return token->kind == SS_SQL_TOKEN_CHAR && *token->text == c;
}

/* --- statements --- */

static bool
ends_statement (const SsSqlToken *token)
{
  return token->kind == SS_SQL_TOKEN_END || ss_sql_token_is_char (token, ';');
}

static bool
is_one_of (const SsSqlToken *token, const char *first, const char *second)
{
  return ss_sql_token_is_word (token, first)
         || ss_sql_token_is_word (token, second);
}

/* Returns KIND if the statement whose first word stands before AT says no more
 * than that word: WORK, TRANSACTION and AND NO CHAIN mean nothing.
 */
static SsSqlTextKind
end_kind (const char *at, SsSqlTextKind kind)
{
  SsSqlToken token = ss_sql_text_next (&at);

  if (is_one_of (&token, "work", "transaction"))
    token = ss_sql_text_next (&at);
  if (kind == SS_SQL_KIND_ROLLBACK && ss_sql_token_is_word (&token, "to"))
    return SS_SQL_KIND_OTHER;
  if (ends_statement (&token))
    return kind;
  if (!ss_sql_token_is_word (&token, "and"))
    return SS_SQL_KIND_CONTROL;
  token = ss_sql_text_next (&at);
  if (!ss_sql_token_is_word (&token, "no"))
    return SS_SQL_KIND_CONTROL;
  token = ss_sql_text_next (&at);
  if (!ss_sql_token_is_word (&token, "chain"))
    return SS_SQL_KIND_CONTROL;
  token = ss_sql_text_next (&at);
  return ends_statement (&token) ? kind : SS_SQL_KIND_CONTROL;
}

/* Whether TOKEN begins the name of a setting of the proxy, quoted or not. */
static bool
names_setting (const SsSqlToken *token)
{
  size_t bytes = strlen (SS_SQL_SETTING_WORD);

  if (token->kind == SS_SQL_TOKEN_NAME)
    return g_ascii_strncasecmp (token->text + 1, SS_SQL_SETTING_WORD, bytes)
           == 0;
  return ss_sql_token_is_word (token, SS_SQL_SETTING_WORD);
}

static SsSqlTextKind
setting_kind (const char *at)
{
  SsSqlToken token = ss_sql_text_next (&at);

  if (is_one_of (&token, "session", "local"))
    token = ss_sql_text_next (&at);
  return names_setting (&token) ? SS_SQL_KIND_SETTING : SS_SQL_KIND_OTHER;
}

/* Returns the kind of the statement whose first token is FIRST and stands
 * before AT.
 */
static SsSqlTextKind
kind_of (const SsSqlToken *first, const char *at)
{
  SsSqlToken second;

  if (is_one_of (first, "begin", "start"))
    return SS_SQL_KIND_BEGIN;
  if (is_one_of (first, "commit", "end"))
    return end_kind (at, SS_SQL_KIND_COMMIT);
  if (is_one_of (first, "rollback", "abort"))
    return end_kind (at, SS_SQL_KIND_ROLLBACK);
  if (is_one_of (first, "set", "reset") || ss_sql_token_is_word (first, "show"))
    return setting_kind (at);
  if (!ss_sql_token_is_word (first, "prepare"))
    return SS_SQL_KIND_OTHER;
  second = ss_sql_text_next (&at);
  return ss_sql_token_is_word (&second, "transaction") ? SS_SQL_KIND_CONTROL
                                                       : SS_SQL_KIND_OTHER;
}

/* Returns the first token of the next statement that is not empty, or the end.
 */
static SsSqlToken
next_statement (const char **at)
{
  SsSqlToken token = ss_sql_text_next (at);

  while (ss_sql_token_is_char (&token, ';'))
    token = ss_sql_text_next (at);
  return token;
}

/* Moves AT behind the statement whose first token is TOKEN.  Returns false if a
 * quote or comment in it is not closed.  A semicolon in parentheses does not
 * end a statement.
 */
static bool
skip_statement (SsSqlToken token, const char **at)
{
  int32_t depth = 0;

  while (token.kind != SS_SQL_TOKEN_END && token.kind != SS_SQL_TOKEN_OPEN
         && (depth > 0 || !ss_sql_token_is_char (&token, ';')))
    {
      depth += ss_sql_token_is_char (&token, '(') ? 1 : 0;
      depth -= ss_sql_token_is_char (&token, ')') ? 1 : 0;
      token = ss_sql_text_next (at);
    }
  return token.kind != SS_SQL_TOKEN_OPEN;
}

SsSqlTextKind
ss_sql_text_first (const char *text)
{
  SsSqlToken first = next_statement (&text);

  return kind_of (&first, text);
}

static void
add_statement (SsSqlOutline *outline, SsSqlTextKind kind)
{
  if (!outline->count++)
    outline->first = kind;
  outline->has_setting = outline->has_setting || kind == SS_SQL_KIND_SETTING;
  outline->controls
      = outline->controls
        || (kind != SS_SQL_KIND_OTHER && kind != SS_SQL_KIND_SETTING);
}

void
ss_sql_text_outline (const char *text, SsSqlOutline *outline)
{
  SsSqlToken first = next_statement (&text);

  memset (outline, 0, sizeof *outline);
  outline->is_closed = true;
  while (first.kind != SS_SQL_TOKEN_END)
    {
      add_statement (outline, kind_of (&first, text));
      if (!skip_statement (first, &text))
        {
          outline->is_closed = false;
          return;
        }
      first = next_statement (&text);
    }
}
