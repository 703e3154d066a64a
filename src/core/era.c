/* era: the platform's store has come back from a copy.
 *
 * What was read in an earlier era is a belief: the watches list all objects
 * again.  What was written in an earlier era may be lost, and a revision of an
 * earlier era is no condition of a write, as the store gives it out again.
 */
#include "core/membership.h"
#include "core/version.h"

/* The VMs list again within this time, so that not all do at once. */
#define RELIST_SPREAD_MS 200

static void
restart_watches (SsNode *node)
{
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    {
      SsWatchState *watch = &node->watches[i];

      watch->watching = false;
      watch->revision = 0;
      watch->due_ms
          = node->now_ms + g_rand_int_range (node->rand, 0, RELIST_SPREAD_MS);
    }
}

void
ss_era_observe (SsNode *node, int64_t era, const char *source)
{
  int64_t before = node->era;

  if (era <= before)
    return;
  node->era = era;
  node->era_since_ms = node->now_ms;
  if (!node->era_known)
    return;
  ss_node_count (node, SS_COUNTER_PLATFORM_RESTORES);
  ss_node_log (node, SS_EVENT_LOG_PLATFORM_RESTORED, source,
               "era=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
               " revision=" SS_VERSION_FORMAT,
               era, before, SS_VERSION_ARGS (node->config.revision));
  restart_watches (node);
  ss_config_sync_extend_deletions (node);
}

void
ss_era_confirm (SsNode *node)
{
  node->era_known = true;
}

bool
ss_era_is_current (const SsNode *node, int64_t version)
{
  return ss_version_era (version) == node->era;
}

/* --- conditional writes --- */

static SsAction *
new_call (SsNode *node, SsActionKind kind, uint64_t call, const char *key)
{
  SsAction *a = ss_node_push (node, kind);

  a->id = call;
  a->name = g_strdup (key);
  return a;
}

void
ss_platform_get (SsNode *node, uint64_t call, const char *key)
{
  new_call (node, SS_ACTION_PLATFORM_GET, call, key);
}

void
ss_platform_put (SsNode *node, uint64_t call, const char *key,
                 const char *value, int64_t version)
{
  SsAction *a;

  if (version && !ss_era_is_current (node, version))
    {
      ss_platform_get (node, call, key);
      return;
    }
  a = new_call (node, SS_ACTION_PLATFORM_PUT, call, key);
  a->text = g_strdup (value);
  a->number = version;
}

void
ss_platform_delete (SsNode *node, uint64_t call, const char *key,
                    int64_t version)
{
  if (version && !ss_era_is_current (node, version))
    return;
  new_call (node, SS_ACTION_PLATFORM_DELETE, call, key)->number = version;
}
