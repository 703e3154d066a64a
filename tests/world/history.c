#include "tests/world/history.h"

static GMutex lock;
static GPtrArray *all_sent;
static GPtrArray *all_runs;
static GHashTable *sent_by_id;

void
world_history_start (void)
{
  all_sent = g_ptr_array_new ();
  all_runs = g_ptr_array_new ();
  sent_by_id = g_hash_table_new (g_str_hash, g_str_equal);
}

WorldSent *
world_history_sent (const char *id, const char *text)
{
  WorldSent *sent = g_new0 (WorldSent, 1);

  sent->id = g_strdup (id);
  sent->text = g_strdup (text);
  g_mutex_lock (&lock);
  g_ptr_array_add (all_sent, sent);
  g_hash_table_insert (sent_by_id, sent->id, sent);
  g_mutex_unlock (&lock);
  return sent;
}

WorldRun *
world_history_ran (const char *id, const char *text)
{
  WorldRun *run = g_new0 (WorldRun, 1);

  run->id = g_strdup (id);
  run->text = g_strdup (text);
  g_mutex_lock (&lock);
  g_ptr_array_add (all_runs, run);
  g_mutex_unlock (&lock);
  return run;
}

const GPtrArray *
world_history_all_sent (void)
{
  return all_sent;
}

const GPtrArray *
world_history_all_runs (void)
{
  return all_runs;
}

const WorldSent *
world_history_find (const char *id)
{
  return g_hash_table_lookup (sent_by_id, id);
}
