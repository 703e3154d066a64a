#include "core/dialect.h"

#include <string.h>

#define STATUS_CELLS 9

static char *
sql_status (const SsDialect *dialect)
{
  (void) dialect;
  return g_strdup ("SELECT * FROM sapphirestair_status()");
}

static char *
sql_raise (const SsDialect *dialect, const SsTarget *target, uint64_t term)
{
  (void) dialect;
  (void) target;
  return g_strdup_printf (
      "SELECT * FROM sapphirestair_raise(%" G_GUINT64_FORMAT ")", term);
}

static char *
sql_promote (const SsDialect *dialect, uint64_t term)
{
  (void) dialect;
  return g_strdup_printf (
      "SELECT * FROM sapphirestair_promote(%" G_GUINT64_FORMAT ")", term);
}

static char *
sql_follow (const SsDialect *dialect, uint64_t term, const SsTarget *primary)
{
  (void) dialect;
  return g_strdup_printf ("SELECT * FROM sapphirestair_follow("
                          "%" G_GUINT64_FORMAT ", '%s', '%u')",
                          term, primary->ip, primary->port);
}

static SsServerRole
parse_role (const char *text)
{
  static const char *const names[] = {
#define X(id, name) name,
    SS_ROLES (X)
#undef X
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (text, names[i]) == 0)
      return (SsServerRole) i;
  return SS_SERVER_UNKNOWN;
}

static bool
sql_read_status (const SsDialect *dialect, const char *const *row,
                 uint32_t cells, SsServerState *state)
{
  uint64_t numbers[STATUS_CELLS];

  (void) dialect;
  if (!row || cells != STATUS_CELLS)
    return false;
  for (uint32_t i = 1; i < STATUS_CELLS - 1; i++)
    if (!row[i]
        || !g_ascii_string_to_unsigned (row[i], 10, 0, G_MAXINT64, &numbers[i],
                                        NULL))
      return false;
  if (!row[0] || !row[8] || !ss_history_parse (row[8], &state->history))
    return false;
  state->role = parse_role (row[0]);
  state->shown_term = numbers[1];
  state->held = (SsPosition){ numbers[2], numbers[3] };
  state->applied = (SsPosition){ numbers[4], numbers[5] };
  state->silence_ms = (uint32_t) MIN (numbers[6], G_MAXUINT32);
  state->follow_term = numbers[7];
  return true;
}

static char *
sql_claim_key (const SsDialect *dialect, const char *key)
{
  (void) dialect;
  return g_strdup_printf ("INSERT INTO sapphirestair_requests (id, outcome) "
                          "VALUES ('%s', '')",
                          key);
}

static char *
sql_record_key (const SsDialect *dialect, const char *key, const char *tag)
{
  (void) dialect;
  return g_strdup_printf ("UPDATE sapphirestair_requests SET outcome = '%s' "
                          "WHERE id = '%s'",
                          tag, key);
}

static char *
sql_find_key (const SsDialect *dialect, const char *key)
{
  (void) dialect;
  return g_strdup_printf (
      "SELECT outcome FROM sapphirestair_requests WHERE id = '%s'", key);
}

const SsDialect *
ss_dialect_sql (void)
{
  static const SsDialect dialect = { .status = sql_status,
                                     .raise = sql_raise,
                                     .promote = sql_promote,
                                     .follow = sql_follow,
                                     .read_status = sql_read_status,
                                     .claim_key = sql_claim_key,
                                     .record_key = sql_record_key,
                                     .find_key = sql_find_key };

  return &dialect;
}
