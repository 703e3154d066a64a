#include "kernel/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stddef.h>
#include <string.h>

#include "kernel/toml_shim.h"

typedef struct
{
  const char *key;
  size_t offset;
  const char *fallback;
} StringRow;

typedef struct
{
  const char *key;
  size_t offset;
  int64_t fallback;
  int64_t lowest;
  int64_t highest;
} IntegerRow;

static const StringRow string_rows[] = {
#define X(field, key, fallback) { key, offsetof (SsSettings, field), fallback },
  SS_SETTINGS_STRINGS (X)
#undef X
};

static const IntegerRow integer_rows[] = {
#define X(field, key, fallback, lowest, highest)                               \
  { key, offsetof (SsSettings, field), fallback, lowest, highest },
  SS_SETTINGS_INTEGERS (X)
#undef X
#define X(field, fallback, lowest, highest)                                    \
  { "pace." #field, offsetof (SsSettings, field), fallback, lowest, highest },
      SS_TIMINGS (X)
#undef X
};

typedef struct
{
  const char *key;
  size_t offset;
  double fallback;
  double lowest;
  double highest;
} RealRow;

static const RealRow real_rows[] = {
#define X(field, key, fallback, lowest, highest)                               \
  { key, offsetof (SsSettings, field), fallback, lowest, highest },
  SS_SETTINGS_REALS (X)
#undef X
};

static char **
string_field (SsSettings *s, const StringRow *row)
{
  return (char **) (void *) ((char *) s + row->offset);
}

static int64_t *
integer_field (SsSettings *s, const IntegerRow *row)
{
  return (int64_t *) (void *) ((char *) s + row->offset);
}

static double *
real_field (SsSettings *s, const RealRow *row)
{
  return (double *) (void *) ((char *) s + row->offset);
}

static void
set_defaults (SsSettings *s)
{
  memset (s, 0, sizeof *s);
  for (size_t i = 0; i < G_N_ELEMENTS (real_rows); i++)
    *real_field (s, &real_rows[i]) = real_rows[i].fallback;
  for (size_t i = 0; i < G_N_ELEMENTS (string_rows); i++)
    *string_field (s, &string_rows[i]) = g_strdup (string_rows[i].fallback);
  for (size_t i = 0; i < G_N_ELEMENTS (integer_rows); i++)
    *integer_field (s, &integer_rows[i]) = integer_rows[i].fallback;
}

static char *
set_string (SsSettings *s, const StringRow *row, const char *path,
            const SsTomlEntry *e)
{
  char **field = string_field (s, row);

  if (e->type != SS_TOML_STRING)
    return g_strdup_printf ("%s:%u: %s must be a string", path, e->line,
                            e->key);
  if (!*e->text && row->fallback == NULL)
    return g_strdup_printf ("%s:%u: %s must not be empty", path, e->line,
                            e->key);
  g_free (*field);
  *field = g_strdup (e->text);
  return NULL;
}

static char *
set_integer (SsSettings *s, const IntegerRow *row, const char *path,
             const SsTomlEntry *e)
{
  bool is_flag = row->lowest == 0 && row->highest == 1;
  SsTomlType wanted = is_flag ? SS_TOML_BOOLEAN : SS_TOML_INTEGER;
  int64_t number = e->number;
  bool is_integral = e->type == SS_TOML_FLOAT && !is_flag
                     && e->real == (double) (int64_t) e->real;

  if (is_integral)
    number = (int64_t) e->real;
  else if (e->type != wanted)
    return g_strdup_printf ("%s:%u: %s must be %s", path, e->line, e->key,
                            is_flag ? "true or false" : "an integer");
  if (number < row->lowest || number > row->highest)
    return g_strdup_printf ("%s:%u: %s must be from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            path, e->line, e->key, row->lowest, row->highest);
  *integer_field (s, row) = number;
  return NULL;
}

static char *
set_real (SsSettings *s, const RealRow *row, const char *path,
          const SsTomlEntry *e)
{
  if ((e->type != SS_TOML_FLOAT && e->type != SS_TOML_INTEGER)
      || !(e->real >= row->lowest && e->real <= row->highest))
    return g_strdup_printf ("%s:%u: %s must be a number from %g to %g", path,
                            e->line, e->key, row->lowest, row->highest);
  *real_field (s, row) = e->real;
  return NULL;
}

static char *
set_entry (SsSettings *s, const char *path, const SsTomlEntry *e)
{
  for (size_t i = 0; i < G_N_ELEMENTS (string_rows); i++)
    if (strcmp (string_rows[i].key, e->key) == 0)
      return set_string (s, &string_rows[i], path, e);
  for (size_t i = 0; i < G_N_ELEMENTS (integer_rows); i++)
    if (strcmp (integer_rows[i].key, e->key) == 0)
      return set_integer (s, &integer_rows[i], path, e);
  for (size_t i = 0; i < G_N_ELEMENTS (real_rows); i++)
    if (strcmp (real_rows[i].key, e->key) == 0)
      return set_real (s, &real_rows[i], path, e);
  return g_strdup_printf ("%s:%u: unknown key %s; docs/SETTINGS.md lists "
                          "the allowed keys",
                          path, e->line, e->key);
}

static char *
check_address (const char *path, const char *key, const char *ip)
{
  struct in_addr parsed;

  if (inet_pton (AF_INET, ip, &parsed) == 1)
    return NULL;
  return g_strdup_printf ("%s: %s must be an IPv4 number, not \"%s\"", path,
                          key, ip);
}

bool
ss_settings_parse_address (const char *at, char *ip, uint16_t *port)
{
  char **parts = g_strsplit (at, ":", 2);
  guint64 number = 0;
  struct in_addr parsed;
  bool ok
      = g_strv_length (parts) == 2
        && inet_pton (AF_INET, parts[0], &parsed) == 1
        && g_ascii_string_to_unsigned (parts[1], 10, 1, 65535, &number, NULL);

  if (ok)
    g_strlcpy (ip, parts[0], INET_ADDRSTRLEN);
  *port = (uint16_t) number;
  g_strfreev (parts);
  return ok;
}

/* A combined IP:PORT setting overrides the separate settings. */
static char *
override_address (const char *path, const char *key, const char *at, char **ip,
                  int64_t *number)
{
  char text[INET_ADDRSTRLEN];
  uint16_t port;

  if (!*at)
    return NULL;
  if (!ss_settings_parse_address (at, text, &port))
    return g_strdup_printf ("%s: %s must be IPv4:PORT, not \"%s\"", path, key,
                            at);
  if (ip)
    {
      g_free (*ip);
      *ip = g_strdup (text);
    }
  if (number)
    *number = port;
  return NULL;
}

static char *
check_addresses (SsSettings *s, const char *path)
{
  char *error = override_address (path, "vm.callers_at", s->callers_at, NULL,
                                  &s->caller_port);

  if (!error)
    error = override_address (path, "platform.at", s->platform_at,
                              &s->platform_ip, &s->platform_port);
  if (!error)
    error = override_address (path, "vm.ready_at", s->ready_at, NULL, NULL);
  if (!error)
    error = override_address (path, "platform.promotions_at", s->promotions_at,
                              NULL, NULL);
  if (!error && !s->caller_port)
    error = g_strdup_printf ("%s: vm.caller_port is missing", path);
  if (!error && !*s->platform_ip)
    error = g_strdup_printf ("%s: platform.ip is missing", path);
  if (!error && !s->platform_port)
    error = g_strdup_printf ("%s: platform.port is missing", path);
  if (!error && strcmp (s->interface, "postgresql") != 0
      && strcmp (s->interface, "line") != 0)
    error = g_strdup_printf (
        "%s: vm.interface must be postgresql or line, not \"%s\"", path,
        s->interface);
  return error;
}

static char *
check_settings (SsSettings *s, const char *path)
{
  SsLogLevel level;
  char *error;

  for (size_t i = 0; i < G_N_ELEMENTS (string_rows); i++)
    if (!*string_field (s, &string_rows[i]))
      return g_strdup_printf ("%s: %s is missing", path, string_rows[i].key);
  error = check_addresses (s, path);
  if (error)
    return error;
  for (size_t i = 0; i < G_N_ELEMENTS (integer_rows); i++)
    if (*integer_field (s, &integer_rows[i]) < 0)
      return g_strdup_printf ("%s: %s is missing", path, integer_rows[i].key);
  if (!ss_log_level_parse (s->log_level, &level))
    return g_strdup_printf ("%s: log.level must be debug, info, warning or "
                            "error, not \"%s\"",
                            path, s->log_level);
  error = check_address (path, "vm.ip", s->ip);
  if (!error)
    error = check_address (path, "platform.ip", s->platform_ip);
  return error;
}

char *
ss_settings_init (SsSettings *settings, const char *path)
{
  SsTomlFile file;
  char *error = NULL;

  set_defaults (settings);
  ss_toml_read (&file, path);
  if (file.error)
    {
      error = g_strdup (file.error);
      goto done;
    }
  for (size_t i = 0; i < file.count && !error; i++)
    error = set_entry (settings, path, &file.entries[i]);
  if (!error)
    error = check_settings (settings, path);
done:
  ss_toml_finish (&file);
  return error;
}

void
ss_settings_finish (SsSettings *settings)
{
  for (size_t i = 0; i < G_N_ELEMENTS (string_rows); i++)
    g_clear_pointer (string_field (settings, &string_rows[i]), g_free);
}
