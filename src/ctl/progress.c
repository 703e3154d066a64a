#include "ctl/progress.h"

#include <glib.h>

#include "core/scanner.h"

/* Takes a name as a command has it: a word or a quoted text.  Returns NULL if
 * there is none.
 */
static char *
take_name (GScanner *s)
{
  GTokenType type = g_scanner_get_next_token (s);

  if (type == G_TOKEN_IDENTIFIER)
    return g_strdup (s->value.v_identifier);
  return type == G_TOKEN_STRING ? g_strdup (s->value.v_string) : NULL;
}

/* Takes the name that follows in the command.  Returns START with the condition
 * on it, quoted as commands have it, or NULL if there is no name.
 */
static char *
query_for_name (GScanner *s, const char *start)
{
  char *name = take_name (s);
  char *escaped = name ? g_strescape (name, NULL) : NULL;
  GString *query = g_string_new (start);

  if (escaped)
    g_string_append_printf (query, " = \"%s\"", escaped);
  g_free (name);
  g_free (escaped);
  return g_string_free (query, !escaped);
}

char *
ss_progress_query (const char *command)
{
  GScanner *s = ss_scanner_new (command, "_-.");
  char *query = NULL;

  if (ss_scanner_next_is_word (s, "drain"))
    {
      if (ss_scanner_next_is_word (s, "target"))
        query = query_for_name (s, "show targets where name");
    }
  else if (ss_scanner_next_is_word (s, "stop")
           && ss_scanner_next_is_word (s, "vm"))
    query = query_for_name (s, "show vms where vm");
  g_scanner_destroy (s);
  return query;
}
