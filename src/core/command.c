#include "core/command.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/scanner.h"

const char ss_command_help[]
    = "show services|targets|groups|vms|sessions|organisations|config|counters"
      "\n"
      "  [where FIELD =|!=|<|<=|>|>= VALUE [and ...]]"
      " [order by FIELD [desc]]\n"
      "drain target NAME\n"
      "undrain target NAME\n"
      "stop vm NAME\n"
      "promote group NAME [to SERVER] [if term NUMBER]\n"
      "set service NAME kind.KIND.staleness_ms = NUMBER\n"
      "set service NAME default_kind = 'KIND'\n"
      "set service NAME acknowledge = 'majority'|'primary'\n"
      "set service NAME weight = NUMBER\n"
      "add key ORGANISATION KEY = 'VERIFIER'\n"
      "remove key ORGANISATION KEY\n"
      "help";

static const char *const table_names[] = {
#define X(id, name) name,
  SS_TABLES (X)
#undef X
};

const char *
ss_table_name (SsTable table)
{
  return table_names[table];
}

bool
ss_table_find (const char *name, SsTable *table)
{
  for (uint32_t i = 0; i < SS_TABLE_COUNT; i++)
    {
      if (g_ascii_strcasecmp (table_names[i], name) != 0)
        continue;
      *table = (SsTable) i;
      return true;
    }
  return false;
}

/* --- parsing --- */

typedef struct
{
  GScanner *scanner;
  const char *text;
  char *error;
} Parser;

/* Sets the error, unless one is set already; returns false.  The scanner's
 * position is the end of the last token; the next one begins after the white
 * space.
 */
static bool
set_error (Parser *p, const char *what)
{
  guint at = p->scanner->position;

  if (p->error)
    return false;
  while (g_ascii_isspace (p->text[at]))
    at++;
  p->error = g_strdup_printf ("column %u: expected %s", at + 1, what);
  return false;
}

static bool
accept_word (Parser *p, const char *word)
{
  return ss_scanner_next_is_word (p->scanner, word);
}

static bool
expect_word (Parser *p, const char *word)
{
  return accept_word (p, word) || set_error (p, word);
}

static bool
expect_name (Parser *p, const char *what, char **name)
{
  GTokenType type = g_scanner_peek_next_token (p->scanner);

  if (type == G_TOKEN_IDENTIFIER)
    *name = g_strdup (p->scanner->next_value.v_identifier);
  else if (type == G_TOKEN_STRING)
    *name = g_strdup (p->scanner->next_value.v_string);
  else
    return set_error (p, what);
  g_scanner_get_next_token (p->scanner);
  return true;
}

static bool
accept_char (Parser *p, char c)
{
  return ss_scanner_next_is_char (p->scanner, c);
}

static bool
expect_operator (Parser *p, SsComparison *op)
{
  if (accept_char (p, '='))
    *op = SS_COMPARE_EQUAL;
  else if (accept_char (p, '!'))
    {
      *op = SS_COMPARE_NOT_EQUAL;
      return accept_char (p, '=') || set_error (p, "!=");
    }
  else if (accept_char (p, '<'))
    *op = accept_char (p, '=') ? SS_COMPARE_LESS_EQUAL : SS_COMPARE_LESS;
  else if (accept_char (p, '>'))
    *op = accept_char (p, '=') ? SS_COMPARE_GREATER_EQUAL : SS_COMPARE_GREATER;
  else
    return set_error (p, "one of = != < <= > >=");
  return true;
}

static bool
expect_value (Parser *p, json_t **value)
{
  bool negative = accept_char (p, '-');
  GTokenType type = g_scanner_peek_next_token (p->scanner);
  const GTokenValue *v = &p->scanner->next_value;

  if (type == G_TOKEN_INT && v->v_int64 > G_MAXINT64)
    return set_error (p, "a number of at most 63 bits");
  if (type == G_TOKEN_INT)
    *value = json_integer (negative ? -(json_int_t) v->v_int64
                                    : (json_int_t) v->v_int64);
  else if (type == G_TOKEN_FLOAT)
    *value = json_real (negative ? -v->v_float : v->v_float);
  else if (type == G_TOKEN_STRING && !negative)
    *value = json_string (v->v_string);
  else if (type == G_TOKEN_IDENTIFIER && !negative)
    *value = json_string (v->v_identifier);
  else
    return set_error (p, "a number, a word or a quoted text");
  g_scanner_get_next_token (p->scanner);
  return true;
}

static bool
parse_condition (Parser *p, SsCommand *c)
{
  SsCondition *condition = &c->conditions[c->condition_count];
  json_t *value = NULL;

  if (c->condition_count == SS_COMMAND_CONDITIONS_MAX)
    return set_error (p, "at most 8 conditions");
  if (!expect_name (p, "a field", &condition->field))
    return false;
  c->condition_count++;
  if (!expect_operator (p, &condition->op) || !expect_value (p, &value))
    return false;
  condition->is_number = json_is_number (value);
  condition->number = json_number_value (value);
  condition->text
      = g_strdup (json_is_string (value) ? json_string_value (value) : "");
  json_decref (value);
  return true;
}

static bool
parse_show (Parser *p, SsCommand *c)
{
  char *name = NULL;
  bool found;

  c->kind = SS_COMMAND_SHOW;
  g_scanner_peek_next_token (p->scanner);
  if (p->scanner->next_token == G_TOKEN_IDENTIFIER)
    name = p->scanner->next_value.v_identifier;
  found = name && ss_table_find (name, &c->table);
  if (!found)
    return set_error (p, "services, targets, groups, vms, sessions, "
                         "organisations, config or counters");
  g_scanner_get_next_token (p->scanner);
  if (accept_word (p, "where"))
    do
      {
        if (!parse_condition (p, c))
          return false;
      }
    while (accept_word (p, "and"));
  if (!accept_word (p, "order"))
    return true;
  if (!expect_word (p, "by") || !expect_name (p, "a field", &c->order_by))
    return false;
  c->descending = accept_word (p, "desc");
  return true;
}

static bool
parse_named (Parser *p, SsCommand *c, SsCommandKind kind, const char *noun)
{
  c->kind = kind;
  return expect_word (p, noun) && expect_name (p, "a name", &c->name);
}

static bool
expect_term (Parser *p, uint64_t *term)
{
  const GTokenValue *v = &p->scanner->next_value;

  if (g_scanner_peek_next_token (p->scanner) != G_TOKEN_INT || v->v_int64 == 0
      || v->v_int64 > G_MAXINT64)
    return set_error (p, "a term, from 1");
  *term = v->v_int64;
  g_scanner_get_next_token (p->scanner);
  return true;
}

static bool
parse_promote (Parser *p, SsCommand *c)
{
  if (!parse_named (p, c, SS_COMMAND_PROMOTE, "group"))
    return false;
  if (accept_word (p, "to") && !expect_name (p, "a server", &c->to))
    return false;
  return !accept_word (p, "if")
         || (expect_word (p, "term") && expect_term (p, &c->if_term));
}

/* "key ORGANISATION KEY", and "= 'VERIFIER'" to add one.  No error quotes the
 * verifier.
 */
static bool
parse_key (Parser *p, SsCommand *c, SsCommandKind kind)
{
  if (!parse_named (p, c, kind, "key")
      || !expect_name (p, "the name of a key", &c->key))
    return false;
  return kind == SS_COMMAND_REMOVE_KEY
         || ((accept_char (p, '=') || set_error (p, "="))
             && expect_value (p, &c->value));
}

static bool
parse_command (Parser *p, SsCommand *c)
{
  if (accept_word (p, "show"))
    return parse_show (p, c);
  if (accept_word (p, "drain"))
    return parse_named (p, c, SS_COMMAND_DRAIN, "target");
  if (accept_word (p, "undrain"))
    return parse_named (p, c, SS_COMMAND_UNDRAIN, "target");
  if (accept_word (p, "stop"))
    return parse_named (p, c, SS_COMMAND_STOP, "vm");
  if (accept_word (p, "promote"))
    return parse_promote (p, c);
  if (accept_word (p, "set"))
    return parse_named (p, c, SS_COMMAND_SET, "service")
           && expect_name (p, "a key", &c->key)
           && (accept_char (p, '=') || set_error (p, "="))
           && expect_value (p, &c->value);
  if (accept_word (p, "add"))
    return parse_key (p, c, SS_COMMAND_ADD_KEY);
  if (accept_word (p, "remove"))
    return parse_key (p, c, SS_COMMAND_REMOVE_KEY);
  c->kind = SS_COMMAND_HELP;
  return accept_word (p, "help")
         || set_error (p,
                       "show, drain, undrain, stop, promote, set, add, remove "
                       "or help");
}

char *
ss_command_init (SsCommand *command, const char *text)
{
  Parser p = { ss_scanner_new (text, "_-."), text, NULL };

  memset (command, 0, sizeof *command);
  if (parse_command (&p, command))
    {
      accept_char (&p, ';');
      if (g_scanner_peek_next_token (p.scanner) != G_TOKEN_EOF)
        set_error (&p, "the end of the command");
    }
  g_scanner_destroy (p.scanner);
  return p.error;
}

void
ss_command_finish (SsCommand *command)
{
  for (uint32_t i = 0; i < command->condition_count; i++)
    {
      g_free (command->conditions[i].field);
      g_free (command->conditions[i].text);
    }
  g_free (command->order_by);
  g_free (command->name);
  g_free (command->to);
  g_free (command->key);
  json_decref (command->value);
}

/* --- selecting rows --- */

/* ORDER is negative, 0 or positive, as returned by strcmp. */
static bool
order_satisfies (SsComparison op, double order)
{
  switch (op)
    {
    case SS_COMPARE_EQUAL:
      return order == 0;
    case SS_COMPARE_NOT_EQUAL:
      return order != 0;
    case SS_COMPARE_LESS:
      return order < 0;
    case SS_COMPARE_LESS_EQUAL:
      return order <= 0;
    case SS_COMPARE_GREATER:
      return order > 0;
    default:
      return order >= 0;
    }
}

static const char *
value_text (const json_t *value)
{
  if (json_is_boolean (value))
    return json_is_true (value) ? "true" : "false";
  return json_is_string (value) ? json_string_value (value) : "";
}

static bool
row_matches (const SsCondition *c, const json_t *row)
{
  const json_t *value = json_object_get (row, c->field);
  int order;

  if (json_is_number (value))
    return c->is_number
           && order_satisfies (c->op, json_number_value (value) - c->number);
  order = strcmp (value_text (value), c->text);
  return order_satisfies (c->op, (double) order);
}

/* Returns an error message if ROW lacks FIELD, else NULL. */
static char *
check_field (const char *field, const json_t *row)
{
  GString *known;
  const char *key;
  json_t *value;

  if (json_object_get (row, field))
    return NULL;
  known = g_string_new (NULL);
  json_object_foreach ((json_t *) row, key, value)
  {
    g_string_append_printf (known, " %s", key);
  }
  g_string_prepend (known, "; the fields are");
  g_string_prepend (known, field);
  g_string_prepend (known, "no field ");
  return g_string_free (known, FALSE);
}

static char *
check_fields (const SsCommand *c, const json_t *row)
{
  char *error = NULL;

  for (uint32_t i = 0; i < c->condition_count && !error; i++)
    error = check_field (c->conditions[i].field, row);
  if (!error && c->order_by)
    error = check_field (c->order_by, row);
  return error;
}

static gint
compare_rows (gconstpointer a, gconstpointer b, gpointer data)
{
  const SsCommand *c = data;
  const json_t *x = json_object_get (*(json_t *const *) a, c->order_by);
  const json_t *y = json_object_get (*(json_t *const *) b, c->order_by);
  double order;

  if (json_is_number (x) && json_is_number (y))
    order = json_number_value (x) - json_number_value (y);
  else
    order = (double) strcmp (value_text (x), value_text (y));
  if (c->descending)
    order = -order;
  return order < 0 ? -1 : order > 0;
}

static void
sort_rows (const SsCommand *c, json_t *rows)
{
  size_t count = json_array_size (rows);
  json_t **list = g_new (json_t *, count + 1);

  for (size_t i = 0; i < count; i++)
    list[i] = json_incref (json_array_get (rows, i));
  g_qsort_with_data (list, (gint) count, sizeof *list, compare_rows,
                     (gpointer) c);
  json_array_clear (rows);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (rows, list[i]);
  g_free (list);
}

char *
ss_command_select (const SsCommand *command, json_t *rows)
{
  char *error;

  if (json_array_size (rows) == 0)
    return NULL;
  error = check_fields (command, json_array_get (rows, 0));
  if (error)
    return error;
  for (size_t i = json_array_size (rows); i > 0; i--)
    for (uint32_t j = 0; j < command->condition_count; j++)
      if (!row_matches (&command->conditions[j], json_array_get (rows, i - 1)))
        {
          json_array_remove (rows, i - 1);
          break;
        }
  if (command->order_by)
    sort_rows (command, rows);
  return NULL;
}
