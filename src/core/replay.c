#include "core/replay.h"

#include <string.h>

#include "core/statement.h"
#include "kernel/compare.h"
#include "kernel/text.h"

#define SHA256_HEX_BYTES 64
/* Longest shape that is a part of its name. */
#define WORD_MAX_BYTES (SS_REPLAY_NAME_MAX_BYTES - 2)

void
ss_statement_finish (SsStatement *statement)
{
  g_free (statement->name);
  g_free (statement->value);
}

void
ss_session_state_init (SsSessionState *state)
{
  memset (state, 0, sizeof *state);
}

void
ss_session_state_finish (SsSessionState *state)
{
  g_clear_pointer (&state->values, g_tree_destroy);
  g_clear_pointer (&state->prepared, g_hash_table_destroy);
  state->bytes = 0;
}

static size_t
entry_bytes (const char *name, const char *text)
{
  return text ? strlen (name) + strlen (text) : 0;
}

static const char *
value_of (const SsSessionState *state, const char *name)
{
  return state->values ? g_tree_lookup (state->values, name) : NULL;
}

static const char *
shape_of (const SsSessionState *state, const char *name)
{
  const SsPrepared *p = ss_session_state_prepared (state, name);

  return p ? p->shape : NULL;
}

void
ss_session_state_set (SsSessionState *state, const char *name,
                      const char *value)
{
  if (!state->values)
    state->values = g_tree_new_full (ss_compare_strings, NULL, g_free, g_free);
  state->bytes -= entry_bytes (name, value_of (state, name));
  state->bytes += entry_bytes (name, value);
  g_tree_replace (state->values, g_strdup (name), g_strdup (value));
}

static uint32_t
count_words (const char *text)
{
  uint32_t words = 0;

  for (text += strspn (text, " "); *text; text += strspn (text, " "))
    {
      words++;
      text += strcspn (text, " ");
    }
  return words;
}

SsShapeSummary
ss_shape_summary (const char *shape)
{
  SsShapeSummary summary = { 0, 0, 0 };

  if (!shape)
    return summary;
  summary.bytes = (uint32_t) strlen (shape);
  summary.words = count_words (shape);
  summary.hash = g_str_hash (shape);
  return summary;
}

static void
free_prepared (gpointer data)
{
  SsPrepared *p = data;

  g_free (p->shape);
  g_free (p);
}

const SsPrepared *
ss_session_state_prepare (SsSessionState *state, const char *name,
                          const char *shape, bool is_read)
{
  SsPrepared *p = g_new0 (SsPrepared, 1);

  p->shape = g_strdup (shape);
  p->is_read = is_read;
  p->summary = ss_shape_summary (shape);
  if (!state->prepared)
    state->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             free_prepared);
  state->bytes -= entry_bytes (name, shape_of (state, name));
  state->bytes += entry_bytes (name, shape);
  g_hash_table_replace (state->prepared, g_strdup (name), p);
  return p;
}

const SsPrepared *
ss_session_state_prepared (const SsSessionState *state, const char *name)
{
  return state->prepared ? g_hash_table_lookup (state->prepared, name) : NULL;
}

bool
ss_session_state_deallocate (SsSessionState *state, const char *name)
{
  state->bytes -= entry_bytes (name, shape_of (state, name));
  return state->prepared && g_hash_table_remove (state->prepared, name);
}

bool
ss_session_state_has_room (const SsSessionState *state, const SsStatement *st)
{
  bool is_set = st->kind == SS_STATEMENT_SET;
  const char *current
      = is_set ? value_of (state, st->name) : shape_of (state, st->name);
  size_t bytes = state->bytes - entry_bytes (st->name, current);

  if (is_set && !current && state->values
      && g_tree_nnodes (state->values) >= SS_SESSION_VALUES_MAX)
    return false;
  return bytes + entry_bytes (st->name, st->value)
         <= SS_SESSION_STATE_MAX_BYTES;
}

/* Whether SHAPE can be a part of a name as it is. */
static bool
is_short_word (const char *shape)
{
  return ss_text_is_word (shape) && strlen (shape) <= WORD_MAX_BYTES;
}

char *
ss_replay_name (const char *shape, bool is_read)
{
  const char *mode = is_read ? "r" : "w";
  char *digest;
  char *name;

  if (is_short_word (shape))
    return g_strconcat (mode, "_", shape, NULL);
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, shape, -1);
  name = g_strconcat (mode, "h_", digest, NULL);
  g_free (digest);
  return name;
}

/* --- replay plans --- */

/* A connection's state has this in place of a long text. */
typedef struct
{
  char digest[1 + SHA256_HEX_BYTES + 1];
} Brief;

/* Returns TEXT, or its digest in BRIEF if it is long: a connection serves many
 * sessions, and must not keep all that they hold.  A digest is longer than any
 * text that is kept as it is.
 */
static const char *
brief_text (const char *text, Brief *brief)
{
  char *digest;

  if (strlen (text) <= SHA256_HEX_BYTES)
    return text;
  digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
  g_snprintf (brief->digest, sizeof brief->digest, "#%s", digest);
  g_free (digest);
  return brief->digest;
}

/* Returns what HELD has for the value NAME, or NULL. */
static const char *
held_value (const SsSessionState *held, const char *name)
{
  Brief brief;

  return value_of (held, brief_text (name, &brief));
}

static void
hold_value (SsSessionState *held, const char *name, const char *value)
{
  Brief brief_name;
  Brief brief_value;

  ss_session_state_set (held, brief_text (name, &brief_name),
                        brief_text (value, &brief_value));
}

static bool
holds_value (const SsSessionState *held, const char *name, const char *value)
{
  const char *current = held_value (held, name);
  Brief brief;

  return current && strcmp (current, brief_text (value, &brief)) == 0;
}

/* Whether HELD has a value that the session did not set.  Only a reset removes
 * it.
 */
static bool
holds_extra (const SsSessionState *held, const char *const *values)
{
  uint32_t known = 0;

  if (!held->values)
    return false;
  for (size_t i = 0; values && values[i]; i += 2)
    known += held_value (held, values[i]) ? 1 : 0;
  return known < (uint32_t) g_tree_nnodes (held->values);
}

static bool
needs_reset (const SsSessionState *held, const char *const *values,
             const char *shape, bool in_transaction)
{
  if (holds_extra (held, values))
    return true;
  return shape && !in_transaction && held->prepared
         && g_hash_table_size (held->prepared) >= SS_REPLAY_PREPARED_MAX;
}

/* Adds TEXT to OUT, which takes ownership.  Returns false if it is NULL. */
static bool
plan_text (GQueue *out, char *text)
{
  if (text)
    g_queue_push_tail (out, text);
  return text != NULL;
}

static SsReplayPlan
plan_shape (const SsDialect *dialect, SsSessionState *held, const char *shape,
            bool is_read, GQueue *out)
{
  char *name = ss_replay_name (shape, is_read);
  SsReplayPlan plan = SS_REPLAY_PLANNED;

  if (!ss_session_state_prepared (held, name))
    {
      char *text = dialect->prepare (dialect, name, is_read, shape);

      plan = plan_text (out, text) ? SS_REPLAY_PREPARES : SS_REPLAY_IMPOSSIBLE;
      /* Only its name matters here. */
      ss_session_state_prepare (held, name, "", is_read);
    }
  g_free (name);
  return plan;
}

SsReplayPlan
ss_replay_plan (const SsDialect *dialect, SsSessionState *held,
                const char *const *values, const char *shape,
                bool shape_is_read, bool in_transaction, GQueue *out)
{
  if (needs_reset (held, values, shape, in_transaction))
    {
      if (in_transaction)
        return SS_REPLAY_IMPOSSIBLE;
      g_queue_push_tail (out, dialect->reset (dialect));
      ss_session_state_finish (held);
    }
  for (size_t i = 0; values && values[i]; i += 2)
    {
      if (holds_value (held, values[i], values[i + 1]))
        continue;
      if (!plan_text (out, dialect->set (dialect, values[i], values[i + 1])))
        return SS_REPLAY_IMPOSSIBLE;
      hold_value (held, values[i], values[i + 1]);
    }
  return shape ? plan_shape (dialect, held, shape, shape_is_read, out)
               : SS_REPLAY_PLANNED;
}

uint32_t
ss_replay_distance (const SsSessionState *held, const char *const *values)
{
  bool reset = holds_extra (held, values);
  uint32_t distance = reset ? 1 : 0;

  for (size_t i = 0; values && values[i]; i += 2)
    if (reset || !holds_value (held, values[i], values[i + 1]))
      distance++;
  return distance;
}
