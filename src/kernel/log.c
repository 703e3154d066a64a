#include "kernel/log.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *const level_names[] = {
#define X(id, name) name,
  SS_LOG_LEVELS (X)
#undef X
};

typedef struct
{
  int32_t number;
  SsLogLevel level;
  const char *name;
  const char *text;
} EventRow;

static const EventRow event_rows[] = {
#define X(id, number, level, text) { number, SS_LOG_##level, #id, text },
  SS_LOG_EVENTS (X)
#undef X
};

void
ss_log_init (SsLog *log, const char *vm, SsLogLevel min_level, bool spans)
{
  log->vm = vm;
  log->min_level = min_level;
  log->spans = spans;
  log->dropped = 0;
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

static void
format_time (char *out, size_t out_bytes)
{
  struct timespec ts;
  struct tm tm;
  char seconds[32];

  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  strftime (seconds, sizeof seconds, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out, out_bytes, "%s.%03ldZ", seconds, ts.tv_nsec / 1000000);
}

static void
add_text (json_t *line, const char *name, const char *text)
{
  json_t *value = json_string (text);

  if (!value)
    value = json_string ("(not UTF-8)");
  json_object_set_new (line, name, value);
}

static bool
is_enabled (const SsLog *log, SsLogEvent event)
{
  if (event == SS_EVENT_LOG_SPAN && log->spans)
    return true;
  return event_rows[event].level >= log->min_level;
}

/* A partially written line is terminated, so that the next line stays valid. */
static void
write_line (SsLog *log, const char *text)
{
  size_t bytes = strlen (text);
  ssize_t sent = write (STDOUT_FILENO, text, bytes);

  if (sent == (ssize_t) bytes)
    log->dropped = 0;
  else
    log->dropped++;
  if (sent > 0 && sent < (ssize_t) bytes)
    (void) !write (STDOUT_FILENO, "\n", 1);
}

void
ss_log_write (SsLog *log, SsLogEvent event, ...)
{
  const EventRow *row = &event_rows[event];
  const char *name;
  char time_text[48];
  json_t *line;
  char *text;
  char *line_text;
  va_list args;

  if (!is_enabled (log, event))
    return;
  line = json_object ();
  format_time (time_text, sizeof time_text);
  add_text (line, "time", time_text);
  add_text (line, "level", level_names[row->level]);
  json_object_set_new (line, "event", json_integer (row->number));
  add_text (line, "name", row->name);
  add_text (line, "text", row->text);
  add_text (line, "vm", log->vm);
  va_start (args, event);
  while ((name = va_arg (args, const char *)))
    add_text (line, name, va_arg (args, const char *));
  va_end (args);
  if (log->dropped)
    json_object_set_new (line, "dropped",
                         json_integer ((json_int_t) log->dropped));
  text = json_dumps (line, JSON_COMPACT);
  line_text = malloc (strlen (text) + 2);
  sprintf (line_text, "%s\n", text);
  write_line (log, line_text);
  free (line_text);
  free (text);
  json_decref (line);
}

bool
ss_log_level_parse (const char *name, SsLogLevel *level)
{
  for (int32_t i = 0; i < SS_LOG_LEVEL_COUNT; i++)
    {
      if (strcmp (name, level_names[i]) != 0)
        continue;
      *level = (SsLogLevel) i;
      return true;
    }
  return false;
}

int32_t
ss_log_event_number (SsLogEvent event)
{
  return event_rows[event].number;
}

const char *
ss_log_event_name (SsLogEvent event)
{
  return event_rows[event].name;
}

const char *
ss_log_event_text (SsLogEvent event)
{
  return event_rows[event].text;
}

const char *
ss_log_event_level (SsLogEvent event)
{
  return level_names[event_rows[event].level];
}
