#include "core/organisation_stats.h"

#include <string.h>

static void
stat_free (gpointer data)
{
  SsOrganisationStat *s = data;

  g_free (s->name);
  g_free (s);
}

void
ss_organisation_stats_init (SsOrganisationStats *stats, int64_t now_ms)
{
  memset (stats, 0, sizeof *stats);
  stats->table
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, stat_free);
  stats->window_since_ms = now_ms;
}

void
ss_organisation_stats_finish (SsOrganisationStats *stats)
{
  g_hash_table_destroy (stats->table);
}

static void
add (SsOrganisationStat *sum, const SsOrganisationStat *s)
{
  sum->operations += s->operations;
  sum->in_time += s->in_time;
  sum->late += s->late;
  sum->in_doubt += s->in_doubt;
  sum->waited_ms += s->waited_ms;
  for (uint32_t i = 0; i < SS_REASON_COUNT; i++)
    sum->refusals[i] += s->refusals[i];
}

/* Makes room for another organisation. */
static void
drop_smallest (SsOrganisationStats *stats)
{
  SsOrganisationStat *smallest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, stats->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsOrganisationStat *s = value;

      if (!smallest || s->operations < smallest->operations)
        smallest = s;
    }
  if (!smallest)
    return;
  add (&stats->rest, smallest);
  g_hash_table_remove (stats->table, smallest->name);
}

static SsOrganisationStat *
get (SsOrganisationStats *stats, const char *organisation)
{
  SsOrganisationStat *s = g_hash_table_lookup (stats->table, organisation);

  if (s)
    return s;
  if (g_hash_table_size (stats->table) >= SS_ORGANISATION_STATS_MAX)
    drop_smallest (stats);
  s = g_new0 (SsOrganisationStat, 1);
  s->name = g_strdup (organisation);
  g_hash_table_insert (stats->table, s->name, s);
  return s;
}

void
ss_organisation_stats_operation (SsOrganisationStats *stats,
                                 const char *organisation)
{
  get (stats, organisation)->operations++;
}

static void
begin_window (SsOrganisationStats *stats, int64_t now_ms)
{
  int64_t age_ms = now_ms - stats->window_since_ms;
  bool is_recent = age_ms < 2 * SS_ORGANISATION_STATS_WINDOW_MS;
  GHashTableIter iter;
  gpointer value;

  if (age_ms < SS_ORGANISATION_STATS_WINDOW_MS)
    return;
  stats->window_since_ms = now_ms;
  g_hash_table_iter_init (&iter, stats->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SsOrganisationStat *s = value;

      s->owed[1] = is_recent ? s->owed[0] : 0;
      s->served[1] = is_recent ? s->served[0] : 0;
      s->owed[0] = 0;
      s->served[0] = 0;
    }
}

/* Whether a refusal for REASON is due to the caller. */
static bool
is_callers_reason (SsReason reason)
{
  switch (reason)
    {
    case SS_REASON_TARGET_ERROR:
    case SS_REASON_CANCELLED:
    case SS_REASON_TRANSACTION_FAILED:
    case SS_REASON_BAD_STATEMENT:
    case SS_REASON_BAD_SETTING:
    case SS_REASON_UNPREPARED:
    case SS_REASON_UNKNOWN_KEY:
    case SS_REASON_RATE_LIMIT:
      return true;
    default:
      return false;
    }
}

void
ss_organisation_stats_end (SsOrganisationStats *stats, const char *organisation,
                           const SsStatementEnd *end, int64_t now_ms)
{
  SsOrganisationStat *s = get (stats, organisation);
  bool is_served = end->verdict == SS_VERDICT_RAN && end->in_time;

  begin_window (stats, now_ms);
  s->waited_ms += end->waited_ms;
  if (is_served)
    s->in_time++;
  else if (end->verdict == SS_VERDICT_RAN)
    s->late++;
  else if (end->verdict == SS_VERDICT_NOT_RUN)
    s->refusals[end->reason]++;
  else
    s->in_doubt++;
  if (end->verdict != SS_VERDICT_RAN && is_callers_reason (end->reason))
    return;
  s->owed[0]++;
  s->served[0] += is_served ? 1 : 0;
}

static gint
compare_operations (gconstpointer a, gconstpointer b)
{
  const SsOrganisationStat *x = *(const SsOrganisationStat *const *) a;
  const SsOrganisationStat *y = *(const SsOrganisationStat *const *) b;

  if (x->operations != y->operations)
    return x->operations > y->operations ? -1 : 1;
  return strcmp (x->name, y->name);
}

static GPtrArray *
all_stats (const SsOrganisationStats *stats)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, stats->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, value);
  return all;
}

GPtrArray *
ss_organisation_stats_largest (const SsOrganisationStats *stats, uint32_t count,
                               SsOrganisationStat *rest)
{
  GPtrArray *all = all_stats (stats);

  *rest = stats->rest;
  g_ptr_array_sort (all, compare_operations);
  for (guint i = count; i < all->len; i++)
    add (rest, g_ptr_array_index (all, i));
  if (all->len > count)
    g_ptr_array_set_size (all, (gint) count);
  return all;
}

static double
share_served (const SsOrganisationStat *s)
{
  return (double) (s->served[0] + s->served[1]) / (s->owed[0] + s->owed[1]);
}

static gint
compare_shares (gconstpointer a, gconstpointer b)
{
  double x = share_served (*(const SsOrganisationStat *const *) a);
  double y = share_served (*(const SsOrganisationStat *const *) b);

  return x < y ? -1 : x > y;
}

double
ss_organisation_stats_worst_tenth (const SsOrganisationStats *stats)
{
  GPtrArray *all = all_stats (stats);
  uint64_t owed = 0;
  uint64_t served = 0;

  for (guint i = all->len; i > 0; i--)
    {
      const SsOrganisationStat *s = g_ptr_array_index (all, i - 1);

      if (s->owed[0] + s->owed[1] == 0)
        g_ptr_array_remove_index_fast (all, i - 1);
    }
  g_ptr_array_sort (all, compare_shares);
  for (guint i = 0; i < (all->len + 9) / 10; i++)
    {
      const SsOrganisationStat *s = g_ptr_array_index (all, i);

      owed += s->owed[0] + s->owed[1];
      served += s->served[0] + s->served[1];
    }
  g_ptr_array_free (all, TRUE);
  return owed ? (double) served / (double) owed : 1;
}
