#include "tests/world/check.h"

#include <glib.h>
#include <string.h>

#include "tests/server_reader.h"
#include "tests/world/history.h"
#include "tests/world/net.h"

typedef struct
{
  WorldCounts counts;
  GHashTable *runs_by_id;          /* id -> GPtrArray of runs */
  GHashTable *caller_transactions; /* a server's -> the caller's */
  GHashTable *server_transactions; /* a caller's -> the server's */
  GHashTable *promised;            /* transactions that nothing is kept of */
  GHashTable *sessions;            /* connection -> session, or 0: several */
} Check;

static const char *const rule_names[] = {
#define X(member, name) name,
  WORLD_BROKEN (X)
#undef X
};

typedef enum
{
#define X(member, name) RULE_##member,
  WORLD_BROKEN (X)
#undef X
} Rule;

static uint32_t *
rule_count (WorldCounts *counts, Rule rule)
{
  uint32_t *const members[] = {
#define X(member, name) &counts->member,
    WORLD_BROKEN (X)
#undef X
  };

  return members[rule];
}

static char *
printable_or_none (const char *text)
{
  return text ? world_printable (text) : g_strdup ("none");
}

/* Notes that a rule is broken; SAW and EXPECTED may be NULL. */
static void
report (Check *k, Rule rule, const char *id, const char *saw,
        const char *expected)
{
  char *first = printable_or_none (saw);
  char *second = printable_or_none (expected);

  (*rule_count (&k->counts, rule))++;
  world_record ("BROKEN: %s: %s: %s instead of %s", rule_names[rule], id, first,
                second);
  g_printerr ("%s: %s: %s instead of %s\n", rule_names[rule], id, first,
              second);
  g_free (first);
  g_free (second);
}

/* --- what ran --- */

static bool
texts_equal (const WorldSent *sent, const WorldRun *run)
{
  SsStatement asked;
  SsStatement ran;
  bool equal;

  server_reader_read (sent->text, &asked);
  server_reader_read (run->text, &ran);
  if (asked.kind == SS_STATEMENT_EXECUTE)
    equal = ran.kind == SS_STATEMENT_EXECUTE
            && strcmp (asked.value, ran.value) == 0;
  else
    equal = strcmp (sent->text, run->text) == 0;
  ss_statement_finish (&asked);
  ss_statement_finish (&ran);
  return equal;
}

/* Looks whether TABLE maps KEY to VALUE, or to nothing yet. */
static bool
maps_only_to (GHashTable *table, uint32_t key, uint32_t value)
{
  gpointer known;

  if (g_hash_table_lookup_extended (table, GUINT_TO_POINTER (key), NULL,
                                    &known))
    return GPOINTER_TO_UINT (known) == value;
  g_hash_table_insert (table, GUINT_TO_POINTER (key), GUINT_TO_POINTER (value));
  return true;
}

static bool
transactions_equal (Check *k, const WorldSent *sent, const WorldRun *run)
{
  if (!sent->transaction || !run->transaction)
    return sent->transaction == run->transaction;
  return maps_only_to (k->caller_transactions, run->transaction,
                       sent->transaction)
         && maps_only_to (k->server_transactions, sent->transaction,
                          run->transaction);
}

static void
check_transactions (Check *k, const WorldSent *sent, const WorldRun *run)
{
  char *ran;
  char *asked;

  if (transactions_equal (k, sent, run))
    return;
  ran = g_strdup_printf ("%u", run->transaction);
  asked = g_strdup_printf ("that of the caller's %u", sent->transaction);
  report (k, RULE_transactions, run->id, ran, asked);
  g_free (ran);
  g_free (asked);
}

static bool
is_promise (const WorldSent *sent)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT" };

  for (size_t i = 0; i < G_N_ELEMENTS (codes); i++)
    if (sent->outcome == WORLD_ERROR
        && g_str_has_prefix (sent->answer, codes[i]))
      return true;
  return false;
}

static void
check_promise (Check *k, const WorldSent *sent, const WorldRun *run)
{
  bool promised = g_hash_table_contains (k->promised,
                                         GUINT_TO_POINTER (sent->transaction));

  if (run->is_write && run->committed && (promised || is_promise (sent)))
    report (k, RULE_refused, run->id, run->text, NULL);
}

static void
note_connection (Check *k, const WorldSent *sent, const WorldRun *run)
{
  if (!maps_only_to (k->sessions, run->connection, sent->session))
    g_hash_table_insert (k->sessions, GUINT_TO_POINTER (run->connection),
                         GUINT_TO_POINTER (0));
}

static void
check_run (Check *k, const WorldRun *run)
{
  const WorldSent *sent = world_history_find (run->id);

  k->counts.runs++;
  if (!sent)
    {
      report (k, RULE_unasked, run->id, run->text, NULL);
      return;
    }
  if (g_str_has_prefix (run->text, "EXECUTE "))
    k->counts.executed++;
  if (!texts_equal (sent, run))
    report (k, RULE_changed, run->id, run->text, sent->text);
  if (g_strcmp0 (run->prepared, sent->prepared) != 0)
    report (k, RULE_shapes, run->id, run->prepared, sent->prepared);
  if (strcmp (run->values, sent->values) != 0)
    report (k, RULE_values, run->id, run->values, sent->values);
  check_transactions (k, sent, run);
  check_promise (k, sent, run);
  note_connection (k, sent, run);
}

/* --- what callers got --- */

static void
add_run (Check *k, WorldRun *run)
{
  GPtrArray *runs = g_hash_table_lookup (k->runs_by_id, run->id);

  if (!runs)
    {
      runs = g_ptr_array_new ();
      g_hash_table_insert (k->runs_by_id, run->id, runs);
    }
  g_ptr_array_add (runs, run);
}

static bool
is_answer_of (const WorldSent *sent, const WorldRun *run)
{
  return strcmp (sent->answer, run->signature) == 0
         && strcmp (sent->rows, run->rows) == 0;
}

static bool
is_for_server (const WorldSent *sent)
{
  SsStatement st;
  SsStatementKind kind;

  server_reader_read (sent->text, &st);
  kind = st.kind;
  ss_statement_finish (&st);
  return kind == SS_STATEMENT_READ || kind == SS_STATEMENT_WRITE
         || kind == SS_STATEMENT_EXECUTE || kind == SS_STATEMENT_COMMIT;
}

static void
check_success (Check *k, const WorldSent *sent, const GPtrArray *runs)
{
  const WorldRun *last = NULL;

  for (guint i = 0; runs && i < runs->len; i++)
    {
      last = g_ptr_array_index (runs, i);
      if (is_answer_of (sent, last))
        return;
    }
  report (k, RULE_mixed, sent->id, sent->answer, last ? last->signature : NULL);
}

static void
check_writes (Check *k, const WorldSent *sent, const GPtrArray *runs)
{
  uint32_t writes = 0;

  for (guint i = 0; runs && i < runs->len; i++)
    {
      const WorldRun *run = g_ptr_array_index (runs, i);

      if (run->is_write && run->committed)
        writes++;
    }
  if (writes > 1)
    report (k, RULE_twice, sent->id, sent->text, NULL);
}

static void
count_done (WorldCounts *counts, const WorldSent *sent)
{
  uint32_t bytes = (uint32_t) strlen (sent->text);

  counts->done++;
  counts->longest_done_bytes = MAX (counts->longest_done_bytes, bytes);
}

static void
count_outcome (WorldCounts *counts, const WorldSent *sent)
{
  counts->sent++;
  if (sent->outcome == WORLD_DONE)
    count_done (counts, sent);
  else if (sent->outcome == WORLD_ERROR)
    counts->errors++;
  else
    counts->unanswered++;
}

static void
check_sent (Check *k, const WorldSent *sent)
{
  const GPtrArray *runs = g_hash_table_lookup (k->runs_by_id, sent->id);

  count_outcome (&k->counts, sent);
  check_writes (k, sent, runs);
  if (sent->outcome == WORLD_DONE && is_for_server (sent))
    check_success (k, sent, runs);
  if (sent->outcome == WORLD_ERROR && sent->prepared
      && g_str_has_prefix (sent->answer, "UNKNOWN"))
    report (k, RULE_shapes, sent->id, sent->answer, sent->prepared);
}

static void
note_promise (Check *k, const WorldSent *sent)
{
  if (sent->transaction && is_promise (sent))
    g_hash_table_add (k->promised, GUINT_TO_POINTER (sent->transaction));
}

static void
count_connections (Check *k)
{
  GHashTableIter iter;
  gpointer session;

  g_hash_table_iter_init (&iter, k->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &session))
    {
      k->counts.connections++;
      if (!session)
        k->counts.shared_connections++;
    }
}

static void
free_runs (gpointer runs)
{
  g_ptr_array_free (runs, TRUE);
}

static void
check_init (Check *k)
{
  memset (k, 0, sizeof *k);
  k->runs_by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_runs);
  k->caller_transactions = g_hash_table_new (NULL, NULL);
  k->server_transactions = g_hash_table_new (NULL, NULL);
  k->promised = g_hash_table_new (NULL, NULL);
  k->sessions = g_hash_table_new (NULL, NULL);
}

static void
check_finish (Check *k)
{
  g_hash_table_destroy (k->runs_by_id);
  g_hash_table_destroy (k->caller_transactions);
  g_hash_table_destroy (k->server_transactions);
  g_hash_table_destroy (k->promised);
  g_hash_table_destroy (k->sessions);
}

WorldCounts
world_check (void)
{
  const GPtrArray *all_sent = world_history_all_sent ();
  const GPtrArray *runs = world_history_all_runs ();
  Check k;

  check_init (&k);
  for (guint i = 0; i < all_sent->len; i++)
    note_promise (&k, g_ptr_array_index (all_sent, i));
  for (guint i = 0; i < runs->len; i++)
    check_run (&k, g_ptr_array_index (runs, i));
  for (guint i = 0; i < runs->len; i++)
    add_run (&k, g_ptr_array_index (runs, i));
  for (guint i = 0; i < all_sent->len; i++)
    check_sent (&k, g_ptr_array_index (all_sent, i));
  count_connections (&k);
  check_finish (&k);
  return k.counts;
}

bool
world_check_broken (const WorldCounts *counts)
{
#define X(member, name) || counts->member
  return false WORLD_BROKEN (X);
#undef X
}
