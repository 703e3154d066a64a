#include "tests/server_reader.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  const char *keyword;
  SsStatementKind kind;
} KeywordRow;

static const KeywordRow keyword_rows[] = {
  { "READ", SS_STATEMENT_READ },          { "WRITE", SS_STATEMENT_WRITE },
  { "BEGIN", SS_STATEMENT_BEGIN },        { "COMMIT", SS_STATEMENT_COMMIT },
  { "ROLLBACK", SS_STATEMENT_ROLLBACK },  { "SET", SS_STATEMENT_SET },
  { "PREPARE", SS_STATEMENT_PREPARE },    { "EXECUTE", SS_STATEMENT_EXECUTE },
  { "DEALLOC", SS_STATEMENT_DEALLOCATE },
};

/* Returns a copy of the next field and moves *TEXT behind it and one space. */
static char *
take_field (const char **text)
{
  size_t bytes = strcspn (*text, " ");
  char *field = g_strndup (*text, bytes);

  *text += bytes;
  if (**text == ' ')
    (*text)++;
  return field;
}

static SsStatementKind
take_kind (const char **text)
{
  char *keyword = take_field (text);
  SsStatementKind kind = SS_STATEMENT_INVALID;

  for (size_t i = 0; i < G_N_ELEMENTS (keyword_rows); i++)
    if (strcmp (keyword, keyword_rows[i].keyword) == 0)
      kind = keyword_rows[i].kind;
  g_free (keyword);
  return kind;
}

/* Takes the mode of PREPARE.  Returns false if it is neither READ nor WRITE. */
static bool
take_mode (const char **text, SsStatement *st)
{
  char *mode = take_field (text);
  bool valid = strcmp (mode, "READ") == 0 || strcmp (mode, "WRITE") == 0;

  st->is_read = strcmp (mode, "READ") == 0;
  g_free (mode);
  return valid;
}

static bool
has_text (const char *text)
{
  return text[strspn (text, " ")] != '\0';
}

/* Reads the fields after the keyword.  Returns false if they are malformed. */
static bool
read_fields (const char *text, SsStatement *st)
{
  switch (st->kind)
    {
    case SS_STATEMENT_READ:
    case SS_STATEMENT_WRITE:
      return has_text (text);
    case SS_STATEMENT_BEGIN:
      st->is_read = strcmp (text, "READ") == 0;
      return st->is_read || !*text;
    case SS_STATEMENT_COMMIT:
    case SS_STATEMENT_ROLLBACK:
      return !*text;
    case SS_STATEMENT_SET:
    case SS_STATEMENT_EXECUTE:
      st->name = take_field (&text);
      st->value = g_strdup (text);
      return *st->name && has_text (text);
    case SS_STATEMENT_PREPARE:
      st->name = take_field (&text);
      if (!take_mode (&text, st))
        return false;
      st->value = g_strdup (text);
      return *st->name && has_text (text);
    case SS_STATEMENT_DEALLOCATE:
      st->name = g_strdup (text);
      return *st->name && !strchr (st->name, ' ');
    case SS_STATEMENT_INVALID:
    default:
      return false;
    }
}

void
server_reader_read (const char *text, SsStatement *statement)
{
  memset (statement, 0, sizeof *statement);
  statement->kind = take_kind (&text);
  if (!read_fields (text, statement))
    statement->kind = SS_STATEMENT_INVALID;
}
