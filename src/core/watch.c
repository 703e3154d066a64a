#include <jansson.h>
#include <string.h>

#include "core/owned.h"
#include "core/peers.h"
#include "core/promotion.h"
#include "core/version.h"

#define WATCH_RETRY_MS 300
/* Pauses between attempts to reach a platform that does not answer. */
#define PROBE_RETRY_MS 300
#define PROBE_RETRY_MAX_MS 900
/* A probe is a watch that ends at once.  Without a response it counts as failed
 * after the timeout.
 */
#define PROBE_WAIT_MS 1
#define PROBE_TIMEOUT_MS 1500
#define WATCH_WAIT_MS 8000
/* Voters seldom change, and the VM that changes them tells all others. */
#define VOTERS_WAIT_MS 25000
/* A VM reads the voters once it is listed, so that it knows the changes that
 * were begun without it, or this long after its start.
 */
#define VOTERS_AFTER_MS 1000
/* Delay before the next watch of VMs or targets.  Many of these change their
 * objects at the same time, especially at start-up: the delay batches the
 * changes into one response.
 */
#define VMS_BATCH_MS 1000
#define TARGETS_BATCH_MS 300
/* A VM that has no configuration from its relays at this time after its start
 * watches the platform itself.
 */
#define OWN_WATCH_AFTER_MS 3000
#define VMS_INTERVAL_MS 1000

bool
ss_watch_is_single (const SsNode *node)
{
  return (node->params.watches & (1U << SS_WATCH_ALL)) != 0;
}

bool
ss_watch_is_complete (const SsNode *node)
{
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    if (node->params.watches & (1U << i) && !node->watches[i].complete)
      return false;
  return true;
}

/* All watches are due once the platform answers again. */
static void
end_probing (SsNode *node)
{
  ss_backoff_reset (&node->probe.backoff);
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    node->watches[i].due_ms = MIN (node->watches[i].due_ms, node->now_ms);
}

static void
update_platform_down (SsNode *node, SsPlatformOutcome outcome)
{
  bool down = outcome == SS_PLATFORM_UNKNOWN || outcome == SS_PLATFORM_REFUSED;

  if (down == node->platform_down)
    return;
  node->platform_down = down;
  ss_node_log (node,
               down ? SS_EVENT_LOG_PLATFORM_DOWN : SS_EVENT_LOG_PLATFORM_UP,
               "platform", "watch");
  if (!down)
    end_probing (node);
}

/* Returns the revision up to which every watch is complete. */
static int64_t
lowest_revision (const SsNode *node)
{
  int64_t lowest = G_MAXINT64;

  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    if (node->params.watches & (1U << i))
      lowest = MIN (lowest, node->watches[i].revision);
  return lowest;
}

/* Deletes the stored objects that are missing from a complete list of the
 * watch's objects.  Returns whether any was deleted.
 */
static bool
delete_unlisted (SsNode *node, const SsEvent *e)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  bool deleted;

  for (uint32_t i = 0; i < e->platform_objects.object_count; i++)
    g_hash_table_add (present, (gpointer) e->platform_objects.objects[i].key);
  deleted = ss_config_sync_delete_missing (
      node, ss_watch_prefix (e->platform_objects.watch),
      e->platform_objects.revision, present);
  g_hash_table_destroy (present);
  return deleted;
}

/* Adopts the objects of a response and forwards those that are new.  Returns
 * whether any was adopted.
 */
static bool
adopt_all (SsNode *node, const SsEvent *e)
{
  uint32_t count = e->platform_objects.object_count;
  SsObject *adopted = g_new (SsObject, count + 1);
  uint32_t adopted_count = 0;

  for (uint32_t i = 0; i < count; i++)
    if (ss_config_sync_adopt (node, &e->platform_objects.objects[i]))
      adopted[adopted_count++] = e->platform_objects.objects[i];
  ss_config_sync_forward (node, adopted, adopted_count);
  g_free (adopted);
  return adopted_count > 0;
}

/* Whether a response of the store is of an earlier era, or continues a watch
 * over a return of the store from a copy: it does not show all changes.
 */
static bool
is_outdated (const SsNode *node, const SsEvent *e)
{
  int64_t since = e->platform_objects.since;

  return e->platform_objects.outcome == SS_PLATFORM_DONE
         && (e->era < node->era || (since && !ss_era_is_current (node, since)));
}

/* Handles the response to an explicit list request, which is sent in addition
 * to the watch where current data is required.
 */
static void
handle_list (SsNode *node, const SsEvent *e)
{
  bool adopted = false;
  SsEvent lost;

  if (is_outdated (node, e))
    {
      lost = *e;
      lost.platform_objects.outcome = SS_PLATFORM_UNKNOWN;
      lost.platform_objects.object_count = 0;
      e = &lost;
    }

  update_platform_down (node, e->platform_objects.outcome);
  if (e->platform_objects.outcome == SS_PLATFORM_DONE)
    {
      adopted = adopt_all (node, e);
      adopted = delete_unlisted (node, e) || adopted;
      if (e->platform_objects.watch == SS_WATCH_VOTERS)
        node->voters_version
            = MAX (node->voters_version, e->platform_objects.revision);
    }
  if (adopted)
    ss_owner_update (node);
  ss_lease_handle_list (node, e);
}

/* The request of WATCH has ended. */
static void
handle_probe (SsNode *node, SsWatchState *watch)
{
  if (!watch->is_probe)
    return;
  watch->is_probe = false;
  node->probe.due_ms = node->now_ms
                       + ss_backoff_next (&node->probe.backoff, node->rand,
                                          PROBE_RETRY_MS, PROBE_RETRY_MAX_MS);
}

void
ss_watch_handle_objects (SsNode *node, const SsEvent *e)
{
  SsWatchState *watch = &node->watches[e->platform_objects.watch];
  int64_t since = e->platform_objects.since;
  bool adopted = false;

  if (e->platform_objects.listed)
    {
      handle_list (node, e);
      return;
    }
  if (since != watch->since)
    return; /* to a request before a restore */
  watch->watching = false;
  handle_probe (node, watch);
  update_platform_down (node, e->platform_objects.outcome);
  if (e->platform_objects.outcome == SS_PLATFORM_ABSENT
      || is_outdated (node, e))
    {
      /* The requested revision has been compacted, or lost in a restore: list
       * all objects again.  Later if the platform's response names an earlier
       * era than a previous one, as the next may as well.
       */
      watch->revision = 0;
      watch->due_ms = node->now_ms + (e->era < node->era ? WATCH_RETRY_MS : 0);
      return;
    }
  if (e->platform_objects.outcome != SS_PLATFORM_DONE)
    {
      watch->due_ms = node->now_ms + WATCH_RETRY_MS;
      return;
    }
  watch->answered_ms = node->now_ms;
  if (e->platform_objects.revision < watch->revision)
    ss_node_log (node, SS_EVENT_LOG_PLATFORM_BEHIND,
                 ss_watch_prefix (e->platform_objects.watch),
                 "revision=" SS_VERSION_FORMAT " before=" SS_VERSION_FORMAT,
                 SS_VERSION_ARGS (e->platform_objects.revision),
                 SS_VERSION_ARGS (watch->revision));
  watch->due_ms = node->now_ms;
  if (e->platform_objects.watch == SS_WATCH_VMS)
    watch->due_ms += VMS_BATCH_MS;
  if (e->platform_objects.watch == SS_WATCH_TARGETS)
    watch->due_ms += TARGETS_BATCH_MS;
  watch->complete = watch->complete || e->platform_objects.complete;
  adopted = adopt_all (node, e);
  if (e->platform_objects.complete)
    adopted = delete_unlisted (node, e) || adopted;
  if (since <= watch->revision)
    watch->revision = MAX (watch->revision, e->platform_objects.revision);
  node->config.revision = MAX (node->config.revision, lowest_revision (node));
  if (!adopted)
    return;
  ss_owner_update (node);
  if (ss_watch_is_single (node))
    ss_config_sync_push_domain (node, since);
}

/* --- the platform's list of VMs --- */

static void
clear_listed (SsNode *node, SsMember *member, void *data)
{
  (void) data;
  ss_members_set_listed (&node->members, member, false);
}

static void
add_listed (SsNode *node, json_t *item)
{
  const char *vm = json_string_value (json_object_get (item, "name"));
  const char *domain
      = json_string_value (json_object_get (item, "failure_domain"));
  const char *ip = json_string_value (json_object_get (item, "ip"));
  const char *state = json_string_value (json_object_get (item, "state"));
  json_int_t port = json_integer_value (json_object_get (item, "peer_port"));
  SsMember *m;

  if (!vm || !domain || !ip || !state || port < 1 || port > 65535
      || ss_peers_is_self (node, vm))
    return;
  m = ss_peers_add_member (node, vm, domain, ip, (uint16_t) port);
  ss_members_set_listed (&node->members, m, strcmp (state, "live") == 0);
}

/* The list lags behind: it only adds VMs to expect heartbeats from, and allows
 * silent ones to be removed.  Heartbeats determine which VMs are live.
 */
void
ss_watch_handle_vms (SsNode *node, const char *json, uint32_t json_bytes)
{
  json_t *list = json_loadb (json, json_bytes, 0, NULL);
  json_t *item;
  size_t i;

  if (!json_is_array (list))
    goto done;
  ss_peers_visit (node, clear_listed, NULL);
  json_array_foreach (list, i, item)
  {
    add_listed (node, item);
  }
  g_clear_pointer (&node->vms_json, g_bytes_unref);
  node->vms_json = g_bytes_new (json, json_bytes);
done:
  json_decref (list);
}

bool
ss_watch_is_active (SsNode *node)
{
  if (!ss_watch_is_single (node))
    return !node->members.relayed
           || (!node->ready
               && node->now_ms - node->started_ms >= OWN_WATCH_AFTER_MS)
           || ss_roles_is_watcher (&node->members);
  if (!node->ready)
    return true;
  return ss_roles_rank (&node->members, node->params.failure_domain, "relay")
         < SS_MEMBERS_RELAYS;
}

/* A watch may miss changes silently.  The next watch delivers them, or reports
 * that its start revision has been compacted.  The wait is limited for routes
 * and targets because apply_ms and drain_ms bound how late their changes may
 * take effect.
 */
static uint32_t
watch_wait_ms (const SsNode *node, SsWatch watch)
{
  switch (watch)
    {
    case SS_WATCH_ROUTES:
      return (uint32_t) node->params.apply_ms * 6 / 10;
    case SS_WATCH_TARGETS:
      return (uint32_t) node->params.drain_ms / 2;
    case SS_WATCH_VOTERS:
      return VOTERS_WAIT_MS;
    default:
      return WATCH_WAIT_MS;
    }
}

/* While the platform does not answer this VM, one watch at a time finds out
 * whether it does again: the others would be refused as well, and load a
 * platform that comes back.
 */
static bool
is_probing (const SsNode *node)
{
  return node->platform_down && !ss_watch_is_single (node);
}

static bool
may_watch (const SsNode *node)
{
  return !is_probing (node) || node->now_ms >= node->probe.due_ms;
}

/* Whether the first list of WATCH is to wait. */
static bool
is_early (const SsNode *node, uint32_t watch)
{
  return watch == SS_WATCH_VOTERS && !node->listed_version
         && node->now_ms - node->started_ms < VOTERS_AFTER_MS;
}

static void
begin_probe (SsNode *node, SsWatchState *watch)
{
  watch->is_probe = true;
  node->probe.due_ms = node->now_ms + PROBE_TIMEOUT_MS;
}

bool
ss_watch_knows_voters (const SsNode *node)
{
  int64_t known
      = MAX (node->voters_version, node->watches[SS_WATCH_VOTERS].revision);

  return node->listed_version
         && MAX (known, node->config.revision) >= node->listed_version;
}

void
ss_watch_tick (SsNode *node)
{
  bool is_watching = ss_watch_is_active (node);
  SsAction *a;

  /* Every VM lists all objects once, even if it does not watch afterwards. */
  for (uint32_t i = 0; i < SS_WATCH_COUNT; i++)
    {
      SsWatchState *watch = &node->watches[i];

      if (!(node->params.watches & (1U << i)) || watch->watching
          || node->now_ms < watch->due_ms || (watch->complete && !is_watching)
          || !may_watch (node) || is_early (node, i))
        continue;
      if (ss_watch_is_single (node))
        watch->revision = ss_era_is_current (node, node->config.revision)
                              ? node->config.revision
                              : 0;
      watch->watching = true;
      watch->since = watch->revision;
      a = ss_node_push (node, SS_ACTION_PLATFORM_WATCH);
      a->id = i;
      a->number = watch->revision;
      a->wait_ms = is_probing (node) ? PROBE_WAIT_MS
                                     : watch_wait_ms (node, (SsWatch) i);
      if (is_probing (node))
        begin_probe (node, watch);
    }
  if (ss_watch_is_single (node) && !node->vms_requested
      && node->now_ms >= node->vms_due_ms)
    {
      node->vms_requested = true;
      node->vms_due_ms = node->now_ms + VMS_INTERVAL_MS;
      ss_node_push (node, SS_ACTION_PLATFORM_VMS);
    }
}
