#include "core/run_check.h"

#include <string.h>

#include "core/replay.h"

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

bool
ss_run_check (const SsDialect *dialect, const Ss__Peer__Run *run)
{
  SsStatement st;
  char *text;
  bool valid;

  if (!ss_dialect_multiplexes_sessions (dialect))
    return true;
  if (!run->sql.len || memchr (run->sql.data, 0, run->sql.len))
    return false;
  text = g_strndup ((const char *) run->sql.data, run->sql.len);
  dialect->parse (dialect, text, &st);
  valid = check_statement (&st, run);
  ss_statement_finish (&st);
  g_free (text);
  return valid;
}
