#include "core/scanner.h"

#include <string.h>

#define NAME_CHARACTERS G_CSET_A_2_Z G_CSET_a_2_z "0123456789"

GScanner *
ss_scanner_new (const char *text, const char *name_extra)
{
  GScanner *s = g_scanner_new (NULL);
  char *nth = g_strconcat (NAME_CHARACTERS, name_extra, NULL);

  s->config->cset_identifier_first = G_CSET_A_2_Z G_CSET_a_2_z "_";
  s->config->cset_identifier_nth = (char *) g_intern_string (nth);
  s->config->scan_identifier_1char = TRUE;
  s->config->scan_octal = FALSE;
  s->config->store_int64 = TRUE;
  /* Disables comments: \1 does not occur in the text. */
  s->config->cpair_comment_single = "\1\n";
  g_scanner_input_text (s, text, (guint) strlen (text));
  g_free (nth);
  return s;
}

bool
ss_scanner_next_is_word (GScanner *scanner, const char *word)
{
  if (g_scanner_peek_next_token (scanner) != G_TOKEN_IDENTIFIER
      || g_ascii_strcasecmp (scanner->next_value.v_identifier, word) != 0)
    return false;
  g_scanner_get_next_token (scanner);
  return true;
}

bool
ss_scanner_next_is_char (GScanner *scanner, char c)
{
  if (g_scanner_peek_next_token (scanner) != (GTokenType) c)
    return false;
  g_scanner_get_next_token (scanner);
  return true;
}
