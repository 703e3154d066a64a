#include "standin/sql.h"

#include <string.h>

static GScanner *
new_scanner (void)
{
  GScanner *s = g_scanner_new (NULL);

  s->config->cset_skip_characters = " \t\r\n";
  s->config->cset_identifier_first = G_CSET_A_2_Z G_CSET_a_2_z "_";
  s->config->cset_identifier_nth = G_CSET_A_2_Z G_CSET_a_2_z "_.0123456789";
  s->config->scan_identifier_1char = TRUE;
  s->config->scan_float = FALSE;
  s->config->scan_octal = FALSE;
  s->config->scan_hex = FALSE;
  s->config->int_2_float = FALSE;
  s->config->char_2_token = TRUE;
  s->config->scan_comment_multi = FALSE;
  s->config->cpair_comment_single = "#\n";
  s->config->store_int64 = TRUE;
  return s;
}

static bool
take_word (GScanner *s, const char *word)
{
  if (g_scanner_peek_next_token (s) != G_TOKEN_IDENTIFIER)
    return false;
  if (g_ascii_strcasecmp (s->next_value.v_identifier, word) != 0)
    return false;
  g_scanner_get_next_token (s);
  return true;
}

static bool
take_char (GScanner *s, char c)
{
  if (g_scanner_peek_next_token (s) != (GTokenType) c)
    return false;
  g_scanner_get_next_token (s);
  return true;
}

static char *
take_name (GScanner *s)
{
  if (g_scanner_peek_next_token (s) != G_TOKEN_IDENTIFIER)
    return NULL;
  g_scanner_get_next_token (s);
  return g_strdup (s->value.v_identifier);
}

/* Consumes a quoted string or a number and returns it as text, or NULL. */
static char *
take_literal (GScanner *s)
{
  GTokenType type = g_scanner_peek_next_token (s);

  if (type == G_TOKEN_STRING)
    {
      g_scanner_get_next_token (s);
      return g_strdup (s->value.v_string);
    }
  if (type == G_TOKEN_INT)
    {
      g_scanner_get_next_token (s);
      return g_strdup_printf ("%" G_GUINT64_FORMAT, s->value.v_int64);
    }
  return NULL;
}

static bool
at_end (GScanner *s)
{
  return g_scanner_peek_next_token (s) == G_TOKEN_EOF;
}

static bool
parse_insert (SsSql *q, GScanner *s)
{
  if (!take_word (s, "into") || !(q->name = take_name (s)))
    return false;
  if (take_char (s, '('))
    while (!take_char (s, ')'))
      if (g_scanner_get_next_token (s) == G_TOKEN_EOF)
        return false;
  return take_word (s, "values") && take_char (s, '(')
         && (q->key = take_literal (s)) && take_char (s, ',')
         && (q->value = take_literal (s)) && take_char (s, ')') && at_end (s);
}

static bool
parse_where (SsSql *q, GScanner *s)
{
  if (!take_word (s, "where"))
    return at_end (s);
  return (take_word (s, "key") || take_word (s, "id")) && take_char (s, '=')
         && (q->key = take_literal (s)) && at_end (s);
}

static bool
parse_update (SsSql *q, GScanner *s)
{
  return (q->name = take_name (s)) && take_word (s, "set")
         && (take_word (s, "value") || take_word (s, "outcome"))
         && take_char (s, '=') && (q->value = take_literal (s))
         && parse_where (q, s);
}

static bool
parse_call (SsSql *q, GScanner *s)
{
  q->kind = SS_SQL_CALL;
  if (!take_char (s, '('))
    return false;
  while (!take_char (s, ')'))
    {
      if (q->argument_count == SS_SQL_ARGUMENT_MAX)
        return false;
      q->arguments[q->argument_count] = take_literal (s);
      if (!q->arguments[q->argument_count++])
        return false;
      take_char (s, ',');
    }
  return at_end (s);
}

static bool
parse_select (SsSql *q, GScanner *s)
{
  if (g_scanner_peek_next_token (s) == G_TOKEN_INT)
    {
      q->kind = SS_SQL_SELECT_NUMBER;
      q->value = take_literal (s);
      return at_end (s);
    }
  if (take_char (s, '*'))
    q->columns = SS_SQL_KEY_VALUE;
  else if (take_word (s, "key") && take_char (s, ',') && take_word (s, "value"))
    q->columns = SS_SQL_KEY_VALUE;
  else if (take_word (s, "value") || take_word (s, "outcome"))
    q->columns = SS_SQL_VALUE;
  else if (take_word (s, "count"))
    {
      q->columns = SS_SQL_COUNT;
      if (!take_char (s, '(') || !take_char (s, '*') || !take_char (s, ')'))
        return false;
    }
  else
    return (q->name = take_name (s)) && parse_call (q, s);
  if (!take_word (s, "from") || !(q->name = take_name (s)))
    return false;
  if (g_scanner_peek_next_token (s) == (GTokenType) '(')
    return parse_call (q, s);
  return parse_where (q, s);
}

static void
parse_begin (SsSql *q, GScanner *s)
{
  take_word (s, "transaction");
  q->kind = SS_SQL_BEGIN;
  if (take_word (s, "read") && take_word (s, "only"))
    q->read_only = true;
}

static bool
parse_copy (SsSql *q, GScanner *s)
{
  q->name = take_name (s);
  q->kind = take_word (s, "from") ? SS_SQL_COPY_IN : SS_SQL_COPY_OUT;
  if (q->kind == SS_SQL_COPY_OUT && !take_word (s, "to"))
    return false;
  return q->name
         && take_word (s, q->kind == SS_SQL_COPY_IN ? "stdin" : "stdout");
}

static void
parse (SsSql *q, GScanner *s)
{
  bool ok = true;

  if (at_end (s))
    q->kind = SS_SQL_EMPTY;
  else if (take_word (s, "begin") || take_word (s, "start"))
    parse_begin (q, s);
  else if (take_word (s, "commit") || take_word (s, "end"))
    q->kind = SS_SQL_COMMIT;
  else if (take_word (s, "rollback") || take_word (s, "abort"))
    q->kind = SS_SQL_ROLLBACK;
  else if (take_word (s, "set"))
    q->kind = SS_SQL_SET;
  else if (take_word (s, "insert"))
    {
      q->kind = SS_SQL_INSERT;
      ok = parse_insert (q, s);
    }
  else if (take_word (s, "update"))
    {
      q->kind = SS_SQL_UPDATE;
      ok = parse_update (q, s);
    }
  else if (take_word (s, "select"))
    {
      q->kind = SS_SQL_SELECT;
      ok = parse_select (q, s);
    }
  else if (take_word (s, "copy"))
    ok = parse_copy (q, s);
  if (!ok)
    q->kind = SS_SQL_INVALID;
}

void
ss_sql_init (SsSql *sql, const char *text)
{
  GScanner *s = new_scanner ();

  memset (sql, 0, sizeof *sql);
  g_scanner_input_text (s, text, (guint) strlen (text));
  parse (sql, s);
  g_scanner_destroy (s);
}

void
ss_sql_finish (SsSql *sql)
{
  g_free (sql->name);
  g_free (sql->key);
  g_free (sql->value);
  for (uint32_t i = 0; i < sql->argument_count; i++)
    g_free (sql->arguments[i]);
}

char **
ss_sql_split (const char *text)
{
  GPtrArray *parts = g_ptr_array_new ();
  const char *start = text;
  bool quoted = false;

  for (const char *at = text; *at; at++)
    {
      if (*at == '\'')
        quoted = !quoted;
      if (*at != ';' || quoted)
        continue;
      g_ptr_array_add (parts, g_strndup (start, (gsize) (at - start)));
      start = at + 1;
    }
  if (*start || parts->len == 0)
    g_ptr_array_add (parts, g_strdup (start));
  g_ptr_array_add (parts, NULL);
  return (char **) g_ptr_array_free (parts, FALSE);
}
