#include "core/dialect.h"

#include <string.h>

#define STATUS_CELLS 9

/* Appends TEXT as a literal, as PQescapeLiteral does: whatever it holds, it
 * stays one value.
 */
static void
append_literal (GString *sql, const char *text)
{
  if (strchr (text, '\\'))
    g_string_append_c (sql, 'E');
  g_string_append_c (sql, '\'');
  for (; *text; text++)
    {
      if (*text == '\'' || *text == '\\')
        g_string_append_c (sql, *text);
      g_string_append_c (sql, *text);
    }
  g_string_append_c (sql, '\'');
}

static void
append_number (GString *sql, uint64_t number)
{
  g_string_append_printf (sql, "%" G_GUINT64_FORMAT, number);
}

/* Returns the statement that calls FUNCTION with TERM. */
static char *
call_with_term (const char *function, uint64_t term)
{
  GString *sql = g_string_new ("SELECT * FROM ");

  g_string_append (sql, function);
  g_string_append_c (sql, '(');
  append_number (sql, term);
  g_string_append_c (sql, ')');
  return g_string_free (sql, FALSE);
}

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
  return call_with_term ("sapphirestair_raise", term);
}

static char *
sql_promote (const SsDialect *dialect, uint64_t term)
{
  (void) dialect;
  return call_with_term ("sapphirestair_promote", term);
}

static char *
sql_follow (const SsDialect *dialect, uint64_t term, const SsTarget *primary)
{
  GString *sql = g_string_new ("SELECT * FROM sapphirestair_follow(");

  (void) dialect;
  append_number (sql, term);
  g_string_append (sql, ", ");
  append_literal (sql, primary->ip);
  g_string_append (sql, ", '");
  append_number (sql, primary->port);
  g_string_append (sql, "')");
  return g_string_free (sql, FALSE);
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
  GString *sql = g_string_new (
      "INSERT INTO sapphirestair_requests (id, outcome) VALUES (");

  (void) dialect;
  append_literal (sql, key);
  g_string_append (sql, ", '')");
  return g_string_free (sql, FALSE);
}

static char *
sql_record_key (const SsDialect *dialect, const char *key, const char *tag)
{
  GString *sql = g_string_new ("UPDATE sapphirestair_requests SET outcome = ");

  (void) dialect;
  append_literal (sql, tag);
  g_string_append (sql, " WHERE id = ");
  append_literal (sql, key);
  return g_string_free (sql, FALSE);
}

static char *
sql_find_key (const SsDialect *dialect, const char *key)
{
  GString *sql
      = g_string_new ("SELECT outcome FROM sapphirestair_requests WHERE id = ");

  (void) dialect;
  append_literal (sql, key);
  return g_string_free (sql, FALSE);
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
