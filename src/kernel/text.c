#include "kernel/text.h"

#include <glib.h>
#include <string.h>

bool
ss_text_is_word (const char *text)
{
  const char *p = text;

  while (*p && *p != ' ' && !g_ascii_iscntrl (*p))
    p++;
  return p != text && !*p;
}

char *
ss_text_shorten (const char *text, size_t max_bytes)
{
  const char *end;

  (void) g_utf8_validate (text, (gssize) MIN (strlen (text), max_bytes), &end);
  return g_strndup (text, (gsize) (end - text));
}
