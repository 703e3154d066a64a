/* statement: runs the statements of a dialect that parses them.
 *
 * Statements that concern only the session are answered here.  So is BEGIN,
 * which is sent with the first statement of its transaction: a caller that
 * pauses in between occupies no connection at a target.
 */
#include "core/statement.h"

#include <string.h>

#include "core/entry.h"

static void
reply_done (SsNode *node, SsSession *s)
{
  ss_session_reply_tag (node, s, "");
}

/* Refuses a statement that is invalid here.  An open transaction is lost. */
static void
reply_invalid (SsNode *node, SsSession *s, SsReason reason)
{
  if (s->status == 'T')
    ss_session_lose_transaction (node, s);
  s->loss_unreported = false;
  ss_session_reply (node, s, SS_VERDICT_NOT_RUN, reason, 0);
}

/* Refuses a statement of a transaction that was lost since the last one.  The
 * first refusal tells that nothing of the transaction is kept.
 */
static void
refuse_in_failed_transaction (SsNode *node, SsSession *s, const char *label)
{
  SsReason reason = s->loss_unreported ? SS_REASON_TRANSACTION_LOST
                                       : SS_REASON_TRANSACTION_FAILED;

  s->loss_unreported = false;
  ss_node_log (node, SS_EVENT_LOG_REQUEST_NOT_RUN, label,
               "service=%s session=%" G_GUINT64_FORMAT " reason=%s", s->service,
               s->id, ss_reason_name (reason));
  ss_session_reply (node, s, SS_VERDICT_NOT_RUN, reason, 0);
}

/* Runs a statement in a failed transaction: only COMMIT and ROLLBACK are
 * accepted, and both roll back.
 */
static void
run_in_failed_transaction (SsNode *node, SsSession *s, const char *label,
                           const SsStatement *st)
{
  if (st->kind != SS_STATEMENT_COMMIT && st->kind != SS_STATEMENT_ROLLBACK)
    {
      refuse_in_failed_transaction (node, s, label);
      return;
    }
  if (s->pinned_vm)
    ss_session_send_end (node, s, s->pinned_vm, true);
  ss_session_unpin (s);
  s->status = 'I';
  if (st->kind == SS_STATEMENT_ROLLBACK)
    reply_done (node, s);
  else
    ss_session_reply (node, s, SS_VERDICT_NOT_RUN, SS_REASON_TRANSACTION_LOST,
                      0);
}

static void
begin (SsNode *node, SsSession *s, const SsStatement *st)
{
  SsGroup *group = ss_session_group (node, s);

  if (s->status != 'I')
    {
      reply_invalid (node, s, SS_REASON_BAD_STATEMENT);
      return;
    }
  if (!group)
    {
      ss_session_reply (node, s, SS_VERDICT_NOT_RUN, SS_REASON_NO_SERVICE, 0);
      return;
    }
  s->status = 'T';
  s->begin_due = true;
  s->begin_is_read = st->is_read;
  s->begin_wrote = false;
  s->begin_seq = ss_confirmed_get (node, group->name)->last_seq;
  reply_done (node, s);
}

static void
roll_back (SsNode *node, SsSession *s)
{
  if (s->pinned_vm)
    ss_session_send_end (node, s, s->pinned_vm, true);
  ss_session_unpin (s);
  s->begin_due = false;
  s->status = 'I';
  reply_done (node, s);
}

static void
set_value (SsNode *node, SsSession *s, const SsStatement *st)
{
  if (!ss_session_state_has_room (&s->state, st))
    {
      reply_invalid (node, s, SS_REASON_TOO_LARGE);
      return;
    }
  ss_session_state_set (&s->state, st->name, st->value);
  reply_done (node, s);
}

static void
prepare (SsNode *node, SsSession *s, const SsStatement *st)
{
  const SsPrepared *p;

  if (!ss_session_state_has_room (&s->state, st))
    {
      reply_invalid (node, s, SS_REASON_TOO_LARGE);
      return;
    }
  p = ss_session_state_prepare (&s->state, st->name, st->value, st->is_read);
  if (p->summary.words > 1)
    ss_node_count (node, SS_COUNTER_SHAPES_OF_WORDS);
  reply_done (node, s);
}

static void
deallocate (SsNode *node, SsSession *s, const SsStatement *st)
{
  if (ss_session_state_deallocate (&s->state, st->name))
    reply_done (node, s);
  else
    reply_invalid (node, s, SS_REASON_UNPREPARED);
}

/* Sets what R is within the transaction of S, and records whether the
 * transaction may have written.
 */
static void
set_transaction_state (SsSession *s, SsRequest *r, bool writes, bool commits)
{
  if (s->status != 'T')
    {
      r->is_read = !writes;
      r->keeps = writes;
      return;
    }
  r->is_read = s->begin_is_read;
  r->begins = s->begin_due;
  r->start_seq = s->begin_seq;
  s->begin_wrote = s->begin_wrote || writes;
  /* At the primary, a read transaction may write, too. */
  r->keeps = commits && s->begin_wrote;
}

/* Returns the text that has a target execute P, or NULL. */
static char *
execute_text (SsNode *node, const SsPrepared *p, const SsStatement *st)
{
  char *name = ss_replay_name (p->shape, p->is_read);
  char *text = node->dialect->execute (node->dialect, name, st->value);

  g_free (name);
  return text;
}

/* Runs a statement at a target. */
static void
run_at_target (SsNode *node, SsSession *s, const char *label, const char *text,
               const SsStatement *st)
{
  const SsPrepared *p = NULL;
  char *sql = NULL;
  SsRequest *r;

  if (st->kind == SS_STATEMENT_COMMIT && s->status != 'T')
    {
      reply_invalid (node, s, SS_REASON_BAD_STATEMENT);
      return;
    }
  if (st->kind == SS_STATEMENT_EXECUTE)
    {
      p = ss_session_state_prepared (&s->state, st->name);
      if (!p)
        {
          reply_invalid (node, s, SS_REASON_UNPREPARED);
          return;
        }
      sql = execute_text (node, p, st);
      if (!sql)
        {
          reply_invalid (node, s, SS_REASON_BAD_STATEMENT);
          return;
        }
    }
  r = ss_entry_create_request (node, s, text);
  r->label = g_strdup (label);
  if (p)
    {
      r->shape = g_strdup (p->shape);
      r->shape_summary = p->summary;
      r->shape_is_read = p->is_read;
      g_free (r->sql);
      r->sql = sql;
    }
  set_transaction_state (s, r,
                         st->kind == SS_STATEMENT_WRITE || (p && !p->is_read),
                         st->kind == SS_STATEMENT_COMMIT);
  ss_entry_dispatch (node, r);
}

static bool
is_too_long (const SsNode *node, const char *label, const char *text)
{
  size_t bytes = (label ? strlen (label) : 0) + strlen (text);

  return node->dialect->text_max_bytes && bytes > node->dialect->text_max_bytes;
}

void
ss_session_statement (SsNode *node, SsSession *s, const char *label,
                      const char *text)
{
  SsStatement st = { 0 };

  node->dialect->parse (node->dialect, text, &st);
  if (s->status == 'E')
    {
      run_in_failed_transaction (node, s, label, &st);
      ss_statement_finish (&st);
      return;
    }
  if (is_too_long (node, label, text))
    {
      reply_invalid (node, s, SS_REASON_TOO_LARGE);
      ss_statement_finish (&st);
      return;
    }
  switch (st.kind)
    {
    case SS_STATEMENT_READ:
    case SS_STATEMENT_WRITE:
    case SS_STATEMENT_EXECUTE:
    case SS_STATEMENT_COMMIT:
      run_at_target (node, s, label, text, &st);
      break;
    case SS_STATEMENT_BEGIN:
      begin (node, s, &st);
      break;
    case SS_STATEMENT_ROLLBACK:
      roll_back (node, s);
      break;
    case SS_STATEMENT_SET:
      set_value (node, s, &st);
      break;
    case SS_STATEMENT_PREPARE:
      prepare (node, s, &st);
      break;
    case SS_STATEMENT_DEALLOCATE:
      deallocate (node, s, &st);
      break;
    case SS_STATEMENT_INVALID:
    default:
      reply_invalid (node, s, SS_REASON_BAD_STATEMENT);
      break;
    }
  ss_statement_finish (&st);
}
