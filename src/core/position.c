#include "core/position.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

int32_t
ss_position_compare (SsPosition a, SsPosition b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  if (a.offset != b.offset)
    return a.offset < b.offset ? -1 : 1;
  return 0;
}

bool
ss_position_covers (SsPosition has, SsPosition floor)
{
  return has.term >= floor.term && has.offset >= floor.offset;
}

SsPosition
ss_position_max (SsPosition a, SsPosition b)
{
  return ss_position_compare (a, b) >= 0 ? a : b;
}

SsPosition
ss_position_translate (SsPosition floor, const SsHistory *history)
{
  for (uint32_t i = 0; i < history->count; i++)
    {
      SsPosition start = history->starts[i];

      if (start.term > floor.term && start.offset <= floor.offset)
        return start;
    }
  return floor;
}

static bool
parse_number (const char **at, char closing, uint64_t *number)
{
  char *end;

  if (!g_ascii_isdigit (**at))
    return false;
  *number = g_ascii_strtoull (*at, &end, 10);
  if (*number == G_MAXUINT64 || *end != closing)
    return false;
  *at = closing ? end + 1 : end;
  return true;
}

bool
ss_position_parse (const char *text, SsPosition *position)
{
  return parse_number (&text, '/', &position->term)
         && parse_number (&text, 0, &position->offset);
}

void
ss_position_format (SsPosition position, char *out)
{
  g_snprintf (out, SS_POSITION_TEXT_BYTES,
              "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, position.term,
              position.offset);
}

static void
history_push (SsHistory *history, SsPosition start)
{
  if (history->count == SS_HISTORY_MAX)
    {
      memmove (&history->starts[0], &history->starts[1],
               sizeof history->starts[0] * (SS_HISTORY_MAX - 1));
      history->count--;
    }
  history->starts[history->count++] = start;
}

bool
ss_history_parse (const char *text, SsHistory *history)
{
  char **parts = g_strsplit (text, ",", -1);
  bool ok = true;

  history->count = 0;
  for (uint32_t i = 0; parts[i] && ok; i++)
    {
      const char *at = parts[i];
      SsPosition start;

      ok = parse_number (&at, ':', &start.term)
           && parse_number (&at, 0, &start.offset);
      if (ok)
        history_push (history, start);
    }
  g_strfreev (parts);
  return ok || !*text;
}
