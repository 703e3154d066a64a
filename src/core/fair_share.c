#include "core/fair_share.h"

#include <string.h>

typedef struct
{
  double finish_ms; /* finish tag, in virtual time */
  uint32_t queued;  /* statements that wait */
} Account;

void
ss_fair_share_init (SsFairShare *share)
{
  for (uint32_t i = 0; i < SS_FAIR_SHARE_LEVELS; i++)
    {
      SsFairLevel *l = &share->levels[i];

      l->accounts
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      l->virtual_ms = 0;
      l->credit_ms = 0;
    }
}

void
ss_fair_share_finish (SsFairShare *share)
{
  for (uint32_t i = 0; i < SS_FAIR_SHARE_LEVELS; i++)
    g_hash_table_destroy (share->levels[i].accounts);
}

/* --- one level --- */

static Account *
find (const SsFairLevel *level, const char *organisation)
{
  return g_hash_table_lookup (level->accounts, organisation);
}

/* A new account starts at the virtual time. */
static Account *
get (SsFairLevel *level, const char *organisation)
{
  Account *a = find (level, organisation);

  if (a)
    return a;
  a = g_new0 (Account, 1);
  a->finish_ms = level->virtual_ms;
  g_hash_table_insert (level->accounts, g_strdup (organisation), a);
  return a;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const Account *a = value;
  const SsFairLevel *level = data;

  (void) key;
  return !a->queued && a->finish_ms <= level->virtual_ms;
}

static void
drop_idle (SsFairLevel *level)
{
  g_hash_table_foreach_remove (level->accounts, is_idle, level);
}

/* Returns the virtual time at which the next account becomes idle. */
static double
next_idle_ms (const SsFairLevel *level)
{
  double next_ms = G_MAXDOUBLE;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, level->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Account *a = value;

      if (!a->queued)
        next_ms = MIN (next_ms, a->finish_ms);
    }
  return next_ms;
}

/* Divides RUN_MS among the active accounts.  Each account that becomes idle on
 * the way leaves its part of the rest to the others.
 */
static void
advance (SsFairLevel *level, double run_ms)
{
  uint32_t active;

  drop_idle (level);
  while (run_ms > 0 && (active = g_hash_table_size (level->accounts)) > 0)
    {
      double until_ms = next_idle_ms (level);
      double needed_ms = (until_ms - level->virtual_ms) * active;

      if (needed_ms > run_ms)
        {
          level->virtual_ms += run_ms / active;
          return;
        }
      level->virtual_ms = until_ms;
      run_ms -= needed_ms;
      drop_idle (level);
    }
}

/* The target ran for RUN_MS.  The virtual time does not go back: a negative
 * RUN_MS is set off against later ones.
 */
static void
pass (SsFairLevel *level, double run_ms)
{
  double set_off_ms = MIN (run_ms, level->credit_ms);

  level->credit_ms -= set_off_ms;
  advance (level, run_ms - set_off_ms);
}

static gboolean
reset_account (gpointer key, gpointer value, gpointer data)
{
  Account *a = value;
  const SsFairLevel *level = data;

  (void) key;
  a->finish_ms = level->virtual_ms;
  return !a->queued;
}

/* --- all levels --- */

static uint32_t
first_level (uint32_t urgency)
{
  return MIN (urgency, SS_FAIR_SHARE_LEVELS - 1);
}

void
ss_fair_share_enqueue (SsFairShare *share, const char *organisation,
                       uint32_t urgency)
{
  for (uint32_t i = first_level (urgency); i < SS_FAIR_SHARE_LEVELS; i++)
    get (&share->levels[i], organisation)->queued++;
}

void
ss_fair_share_dequeue (SsFairShare *share, const char *organisation,
                       uint32_t urgency)
{
  for (uint32_t i = first_level (urgency); i < SS_FAIR_SHARE_LEVELS; i++)
    {
      Account *a = find (&share->levels[i], organisation);

      if (a && a->queued)
        a->queued--;
      drop_idle (&share->levels[i]);
    }
}

void
ss_fair_share_charge (SsFairShare *share, const char *organisation,
                      uint32_t urgency, double run_ms)
{
  for (uint32_t i = 0; i < SS_FAIR_SHARE_LEVELS; i++)
    {
      SsFairLevel *level = &share->levels[i];

      if (i >= first_level (urgency))
        get (level, organisation)->finish_ms += run_ms;
      pass (level, run_ms);
      drop_idle (level);
    }
}

void
ss_fair_share_reset (SsFairShare *share)
{
  for (uint32_t i = 0; i < SS_FAIR_SHARE_LEVELS; i++)
    {
      SsFairLevel *level = &share->levels[i];

      level->credit_ms = 0;
      g_hash_table_foreach_remove (level->accounts, reset_account, level);
    }
}

uint32_t
ss_fair_share_active (const SsFairShare *share)
{
  return g_hash_table_size (share->levels[SS_FAIR_SHARE_LEVELS - 1].accounts);
}

SsFairLead
ss_fair_share_lead (const SsFairShare *share, const char *organisation,
                    const char *joining, uint32_t slots)
{
  SsFairLead lead;

  for (uint32_t i = 0; i < SS_FAIR_SHARE_LEVELS; i++)
    {
      const SsFairLevel *level = &share->levels[i];
      const Account *a = find (level, organisation);
      uint32_t active = g_hash_table_size (level->accounts) + (a ? 0 : 1);

      if (joining && !find (level, joining)
          && strcmp (joining, organisation) != 0)
        active++;
      lead.levels[i].given_ms = a ? a->finish_ms - level->virtual_ms : 0;
      lead.levels[i].factor = (double) active / MAX (slots, 1);
    }
  return lead;
}

double
ss_fair_lead_ms (const SsFairLead *lead, uint32_t urgency, double work_ms)
{
  uint32_t first = first_level (urgency);
  double lead_ms = 0;

  for (uint32_t i = first; i < SS_FAIR_SHARE_LEVELS; i++)
    {
      double ahead_ms
          = (lead->levels[i].given_ms + work_ms) * lead->levels[i].factor;

      lead_ms
          = MAX (lead_ms, ahead_ms - (i - first) * SS_FAIR_SHARE_URGENCY_MS);
    }
  return lead_ms;
}
