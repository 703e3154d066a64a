#include <jansson.h>
#include <string.h>

#include "core/spread.h"

#define WATCH_RETRY_MS 300
#define WATCH_WAIT_MS 8000
/* Many vms and targets change their objects at the same time, at a start
 * above all: one answer has them all.
 */
#define VMS_AGAIN_MS 1000
#define TARGETS_AGAIN_MS 300
/* A vm that got no configuration of its relays watches itself after this. */
#define UNREADY_MS 3000
#define VMS_MS 1000
#define RELAYS 2

/* Whether one watch tells of all objects; else each kind has its own. */
bool
ss_feeds_are_one (const SsNode *node)
{
  return (node->params.feeds & (1U << SS_FEED_ALL)) != 0;
}

bool
ss_feeds_are_complete (const SsNode *node)
{
  for (uint32_t i = 0; i < SS_FEED_COUNT; i++)
    if (node->params.feeds & (1U << i) && !node->feeds[i].complete)
      return false;
  return true;
}

static void
note_platform (SsNode *node, SsPlatformOutcome outcome)
{
  bool down = outcome == SS_PLATFORM_UNKNOWN || outcome == SS_PLATFORM_REFUSED;

  if (down == node->platform_down)
    return;
  node->platform_down = down;
  ss_node_log (node,
               down ? SS_EVENT_LOG_PLATFORM_DOWN : SS_EVENT_LOG_PLATFORM_UP,
               "platform", "watch");
}

/* The frontier up to which every feed was seen. */
static int64_t
lowest_revision (const SsNode *node)
{
  int64_t lowest = G_MAXINT64;

  for (uint32_t i = 0; i < SS_FEED_COUNT; i++)
    if (node->params.feeds & (1U << i))
      lowest = MIN (lowest, node->feeds[i].revision);
  return lowest;
}

/* All objects of a feed were listed. */
static bool
drop_unlisted (SsNode *node, const SsEvent *e)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  bool dropped;

  for (uint32_t i = 0; i < e->platform_objects.object_count; i++)
    g_hash_table_add (present, (gpointer) e->platform_objects.objects[i].key);
  dropped
      = ss_adopt_drop_missing (node, ss_feed_prefix (e->platform_objects.feed),
                               e->platform_objects.revision, present);
  g_hash_table_destroy (present);
  return dropped;
}

/* Adopts the objects of an answer and passes on those that are new. */
static bool
adopt_all (SsNode *node, const SsEvent *e)
{
  uint32_t count = e->platform_objects.object_count;
  SsObject *taken = g_new (SsObject, count + 1);
  uint32_t taken_count = 0;

  for (uint32_t i = 0; i < count; i++)
    if (ss_adopt_object (node, &e->platform_objects.objects[i]))
      taken[taken_count++] = e->platform_objects.objects[i];
  ss_adopt_forward (node, taken, taken_count);
  g_free (taken);
  return taken_count > 0;
}

/* A list beside the feed's watch, for what has to be known as of now. */
static void
take_list (SsNode *node, const SsEvent *e)
{
  bool adopted = false;

  note_platform (node, e->platform_objects.outcome);
  if (e->platform_objects.outcome == SS_PLATFORM_DONE)
    {
      adopted = adopt_all (node, e);
      adopted = drop_unlisted (node, e) || adopted;
    }
  if (adopted)
    ss_owner_update (node);
  ss_lease_listed (node, e);
}

void
ss_feeds_objects (SsNode *node, const SsEvent *e)
{
  SsFeedState *feed = &node->feeds[e->platform_objects.feed];
  int64_t since = e->platform_objects.since;
  bool adopted = false;

  if (e->platform_objects.listed)
    {
      take_list (node, e);
      return;
    }
  feed->watching = false;
  note_platform (node, e->platform_objects.outcome);
  if (e->platform_objects.outcome == SS_PLATFORM_ABSENT)
    {
      /* The history that the watch asked for is gone: list anew. */
      feed->revision = 0;
      feed->due_ms = node->now_ms;
      return;
    }
  if (e->platform_objects.outcome != SS_PLATFORM_DONE)
    {
      feed->due_ms = node->now_ms + WATCH_RETRY_MS;
      return;
    }
  feed->due_ms = node->now_ms;
  if (e->platform_objects.feed == SS_FEED_VMS)
    feed->due_ms += VMS_AGAIN_MS;
  if (e->platform_objects.feed == SS_FEED_TARGETS)
    feed->due_ms += TARGETS_AGAIN_MS;
  feed->complete = feed->complete || e->platform_objects.complete;
  adopted = adopt_all (node, e);
  if (e->platform_objects.complete)
    adopted = drop_unlisted (node, e) || adopted;
  if (since <= feed->revision)
    feed->revision = MAX (feed->revision, e->platform_objects.revision);
  node->config.revision = MAX (node->config.revision, lowest_revision (node));
  if (!adopted)
    return;
  ss_owner_update (node);
  if (ss_feeds_are_one (node))
    ss_adopt_push_domain (node, since);
}

/* --- the platform's list of vms --- */

static void
unlist (SsNode *node, SsMember *member, void *data)
{
  (void) data;
  ss_members_set_listed (&node->members, member, false);
}

static void
take_listed (SsNode *node, json_t *item)
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
  m = ss_spread_add_member (node, vm, domain, ip, (uint16_t) port);
  ss_members_set_listed (&node->members, m, strcmp (state, "live") == 0);
}

/* The list lags: it adds vms to listen for, and lets silent ones be
 * forgotten; who is live is judged by heartbeats.
 */
void
ss_feeds_vms (SsNode *node, const char *json, uint32_t json_bytes)
{
  json_t *list = json_loadb (json, json_bytes, 0, NULL);
  json_t *item;
  size_t i;

  if (!json_is_array (list))
    goto done;
  ss_peers_visit (node, unlist, NULL);
  json_array_foreach (list, i, item)
  {
    take_listed (node, item);
  }
  g_clear_pointer (&node->vms_json, g_bytes_unref);
  node->vms_json = g_bytes_new (json, json_bytes);
done:
  json_decref (list);
}

bool
ss_feeds_watches (SsNode *node)
{
  if (!ss_feeds_are_one (node))
    return !node->members.relayed
           || (!node->ready && node->now_ms - node->started_ms >= UNREADY_MS)
           || ss_members_is_watcher (&node->members);
  if (!node->ready)
    return true;
  return ss_members_rank (&node->members, node->params.failure_domain, "relay")
         < RELAYS;
}

/* A watch may miss changes without a sign: a new one sees them, or that its
 * history is gone.  Routes and targets have bounds on how late that may be.
 */
static uint32_t
watch_wait_ms (const SsNode *node, SsFeed feed)
{
  switch (feed)
    {
    case SS_FEED_ROUTES:
      return (uint32_t) node->params.apply_ms * 6 / 10;
    case SS_FEED_TARGETS:
      return (uint32_t) node->params.drain_ms / 2;
    default:
      return WATCH_WAIT_MS;
    }
}

void
ss_feeds_tick (SsNode *node)
{
  bool watches = ss_feeds_watches (node);
  SsAction *a;

  /* Every vm lists all objects once. */
  for (uint32_t i = 0; i < SS_FEED_COUNT; i++)
    {
      SsFeedState *feed = &node->feeds[i];

      if (!(node->params.feeds & (1U << i)) || feed->watching
          || node->now_ms < feed->due_ms || (feed->complete && !watches))
        continue;
      if (ss_feeds_are_one (node))
        feed->revision = node->config.revision;
      feed->watching = true;
      a = ss_node_push (node, SS_ACTION_PLATFORM_WATCH);
      a->id = i;
      a->number = feed->revision;
      a->wait_ms = watch_wait_ms (node, (SsFeed) i);
    }
  if (ss_feeds_are_one (node) && !node->vms_asked
      && node->now_ms >= node->vms_due_ms)
    {
      node->vms_asked = true;
      node->vms_due_ms = node->now_ms + VMS_MS;
      ss_node_push (node, SS_ACTION_PLATFORM_VMS);
    }
}
