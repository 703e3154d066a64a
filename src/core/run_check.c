#include "core/run_check.h"

#include <string.h>

#include "core/replay.h"
#include "core/requests.h"

static bool
executes_shape (const SsStatement *st, const Ss__Peer__Run *run)
{
  char *name = ss_replay_name (run->shape, run->shape_is_read);
  bool same = strcmp (st->name, name) == 0;

  g_free (name);
  return same;
}

static bool
check_statement (const SsStatement *st, const Ss__Peer__Run *run)
{
  switch (st->kind)
    {
    case SS_STATEMENT_READ:
    case SS_STATEMENT_WRITE:
    case SS_STATEMENT_COMMIT:
      return !*run->shape;
    case SS_STATEMENT_EXECUTE:
      return *run->shape && executes_shape (st, run);
    default:
      return false;
    }
}

/* Whether the session values of RUN have a name each, in order, so that none is
 * there twice, and fit in a message.
 */
static bool
check_values (const SsDialect *dialect, const Ss__Peer__Run *run)
{
  for (size_t i = 0; i + 1 < run->n_values; i += 2)
    {
      const char *name = run->values[i];

      if (i > 0 && strcmp (run->values[i - 2], name) >= 0)
        return false;
      if (strlen (name) + strlen (run->values[i + 1]) > dialect->text_max_bytes)
        return false;
    }
  return run->n_values % 2 == 0;
}

static bool
check_length (const SsDialect *dialect, const Ss__Peer__Run *run)
{
  /* The entry VM may have lengthened the text by the name of the shape. */
  return strlen (run->label) + run->sql.len
             <= dialect->text_max_bytes + SS_REPLAY_NAME_MAX_BYTES
         && strlen (run->shape) <= dialect->text_max_bytes;
}

static bool
check_line (const SsDialect *dialect, const char *text,
            const Ss__Peer__Run *run)
{
  SsStatement st;
  bool valid;

  if (strpbrk (run->label, " \n") || !check_length (dialect, run)
      || !check_values (dialect, run))
    return false;
  dialect->parse (dialect, text, &st);
  valid = check_statement (&st, run);
  ss_statement_finish (&st);
  return valid;
}

static bool
check_sql (const char *text, const Ss__Peer__Run *run)
{
  return !*run->request_key || ss_session_sql_takes_key (text, run->pinned);
}

bool
ss_run_is_valid (const SsDialect *dialect, const Ss__Peer__Run *run)
{
  bool multiplexes_sessions = ss_dialect_multiplexes_sessions (dialect);
  char *text;
  bool valid;

  if (run->sql.len ? memchr (run->sql.data, 0, run->sql.len) != NULL
                   : multiplexes_sessions)
    return false;
  text = g_strndup ((const char *) run->sql.data, run->sql.len);
  valid = multiplexes_sessions ? check_line (dialect, text, run)
                               : check_sql (text, run);
  g_free (text);
  return valid;
}
