#include <jansson.h>
#include <string.h>

#include "core/internal.h"
#include "kernel/names.h"

#define HEARD_MS 600
#define SUBSCRIBE_MS 1000
#define PULL_AGAIN_MS 300
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
#define READY_AFTER_MS 500
/* With all objects of the platform only the others' first heartbeats lack. */
#define READY_SOON_MS 150
#define COORDINATOR_RANKS 3
/* Marks a peer known only by its address. */
#define SEED_PREFIX "@"
#define LOOSE_SINCE (-1)

static bool
is_self (const SsNode *node, const char *vm)
{
  return strcmp (vm, node->params.vm) == 0;
}

typedef void (*MemberVisitor) (SsNode *node, SsMember *member, void *data);

typedef struct
{
  SsNode *node;
  MemberVisitor visit;
  void *data;
} Visit;

static gboolean
visit_one (gpointer key, gpointer value, gpointer data)
{
  Visit *v = data;

  if (!is_self (v->node, key))
    v->visit (v->node, value, v->data);
  return FALSE;
}

static void
visit_peers (SsNode *node, MemberVisitor visit, void *data)
{
  Visit v = { node, visit, data };

  g_tree_foreach (node->members.by_name, visit_one, &v);
}

/* An entry of a target that lapsed while the platform was away is back within
 * two seconds of its return.
 */
#define GONE_AFTER_MS 2500

/* Whether one watch tells of all objects; else each kind has its own. */
static bool
watches_all (const SsNode *node)
{
  return (node->params.feeds & (1U << SS_FEED_ALL)) != 0;
}

/* --- peers' addresses --- */

static void
push_address (SsNode *node, const char *vm, const char *ip, uint16_t port)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PEER_ADDRESS);

  a->name = g_strdup (vm);
  a->text = g_strdup (ip);
  a->port = port;
}

SsMember *
ss_spread_add_member (SsNode *node, const char *vm, const char *failure_domain,
                      const char *ip, uint16_t port)
{
  SsMember *m = ss_members_find (&node->members, vm);
  bool is_new = !m;
  bool moved = !m || strcmp (m->ip, ip) != 0 || m->peer_port != port;

  m = ss_members_add (&node->members, vm, failure_domain, ip, port);
  if (is_new)
    m->added_ms = node->now_ms;
  if (moved && !is_self (node, vm))
    push_address (node, vm, ip, port);
  return m;
}

static void
count_member (SsNode *node, SsMember *member, void *data)
{
  (void) node;
  if (member->listed || member->live)
    (*(uint32_t *) data)++;
}

/* Whether there are too many vms for each to hear all others. */
static bool
is_relayed (SsNode *node)
{
  uint32_t others = 0;

  if (watches_all (node))
    return false;
  visit_peers (node, count_member, &others);
  return others >= SS_MEMBERS_MESH_MAX;
}

/* --- heartbeats --- */

static void
collect_heard (SsNode *node, SsMember *member, void *data)
{
  if (node->now_ms - member->heard_ms < HEARD_MS)
    g_ptr_array_add (data, member->vm);
}

static void
send_beat (SsNode *node, SsMember *member, void *data)
{
  ss_node_send (node, member->vm, data);
}

static void
send_to_seeds (SsNode *node, SsEnvelope *e)
{
  char **seeds = g_strsplit (node->params.seeds, " ", -1);

  for (uint32_t i = 0; seeds[i]; i++)
    {
      char **parts = g_strsplit (seeds[i], ":", 2);

      if (g_strv_length (parts) == 2)
        {
          char *name = g_strconcat (SEED_PREFIX, seeds[i], NULL);
          uint64_t port = g_ascii_strtoull (parts[1], NULL, 10);

          if (node->params.seed_port)
            port = node->params.seed_port;
          push_address (node, name, parts[0], (uint16_t) port);
          ss_node_send (node, name, e);
          g_free (name);
        }
      g_strfreev (parts);
    }
  g_strfreev (seeds);
}

void
ss_spread_beat_now (SsNode *node)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Heartbeat beat = SS__PEER__HEARTBEAT__INIT;
  GPtrArray *heard = g_ptr_array_new ();

  node->heartbeat_due_ms = node->now_ms + node->params.pace.heartbeat_ms;
  if (!node->members.relayed)
    visit_peers (node, collect_heard, heard);
  beat.vm = (char *) node->params.vm;
  beat.failure_domain = (char *) node->params.failure_domain;
  beat.ip = (char *) node->params.ip;
  beat.peer_port = node->params.peer_port;
  beat.leaving = node->stopping;
  beat.revision = node->config.revision;
  beat.heard = (char **) heard->pdata;
  beat.n_heard = heard->len;
  beat.ready = node->ready;
  beat.platform_up = ss_spread_watches (node) && !node->platform_down;
  e.body_case = SS__PEER__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &beat;
  if (node->members.relayed)
    ss_relay_beat (node, &e);
  else
    visit_peers (node, send_beat, &e);
  if (!node->ready && heard->len == 0)
    send_to_seeds (node, &e);
  g_ptr_array_free (heard, TRUE);
}

void
ss_spread_pull_all (SsNode *node, const char *vm)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ConfigPull pull = SS__PEER__CONFIG_PULL__INIT;

  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PULL;
  e.config_pull = &pull;
  ss_node_send (node, vm, &e);
}

static void
send_pull (SsNode *node, const char *vm)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ConfigPull pull = SS__PEER__CONFIG_PULL__INIT;

  if (node->now_ms < node->pull_due_ms)
    return;
  node->pull_due_ms = node->now_ms + PULL_AGAIN_MS;
  pull.since = node->config.revision;
  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PULL;
  e.config_pull = &pull;
  ss_node_send (node, vm, &e);
}

/* A vm with watches of its own asks its peers only while these don't tell. */
static bool
needs_peers (const SsNode *node)
{
  return watches_all (node) || node->platform_down || !node->ready;
}

void
ss_spread_heartbeat (SsNode *node, const Ss__Peer__Heartbeat *beat)
{
  SsMember *m;

  if (!*beat->vm || is_self (node, beat->vm) || beat->peer_port > 65535)
    return;
  m = ss_spread_add_member (node, beat->vm, beat->failure_domain, beat->ip,
                            (uint16_t) beat->peer_port);
  ss_members_heard (&node->members, m, beat->leaving, beat->heard,
                    beat->n_heard, node->now_ms);
  m->platform_up = beat->platform_up;
  if (node->members.relayed
      && strcmp (m->failure_domain, node->params.failure_domain) == 0)
    ss_relay_answer (node, beat->vm, beat->digest);
  if (beat->revision > node->config.revision && needs_peers (node))
    send_pull (node, beat->vm);
}

/* --- configuration --- */

/* The group that OBJECT is about, as it is in force; NULL: none. */
static const SsGroup *
changed_group (SsNode *node, const SsObject *object)
{
  if (!g_str_has_prefix (object->key, "group/"))
    return NULL;
  return ss_config_group (&node->config, strchr (object->key, '/') + 1);
}

/* A target's entry that went may come back: it counts as gone only later. */
static bool
postpone (SsNode *node, const SsObject *object)
{
  const SsStoredObject *held = ss_config_object (&node->config, object->key);
  SsRemoval *r;

  if (!object->deleted || !g_str_has_prefix (object->key, "target/"))
    return false;
  if (!held || held->deleted)
    return true;
  r = g_hash_table_lookup (node->removals, object->key);
  if (r)
    return node->now_ms < r->due_ms;
  r = g_new0 (SsRemoval, 1);
  r->version = object->version;
  r->due_ms = node->now_ms + GONE_AFTER_MS;
  g_hash_table_insert (node->removals, g_strdup (object->key), r);
  return true;
}

static bool
adopt_now (SsNode *node, const SsObject *object)
{
  const SsGroup *group = changed_group (node, object);
  uint64_t term = group ? group->term : 0;
  char *error;
  SsAdoption adoption
      = ss_config_adopt (&node->config, object, node->now_ms, &error);

  if (adoption == SS_ADOPT_DONE)
    g_hash_table_remove (node->removals, object->key);

  if (adoption == SS_ADOPT_INVALID)
    {
      ss_node_log (node, SS_EVENT_LOG_CONFIG_INVALID, object->key, "%s", error);
      g_free (error);
    }
  if (adoption == SS_ADOPT_DONE)
    ss_node_log (node, SS_EVENT_LOG_CONFIG_ADOPTED, object->key,
                 "version=%" G_GINT64_FORMAT " deleted=%d", object->version,
                 object->deleted);
  if (adoption == SS_ADOPT_DONE && g_str_has_prefix (object->key, "vm/"))
    ss_directory_take (node, object);
  group = changed_group (node, object);
  if (term && group && group->term > term)
    ss_entry_superseded (node, group);
  return adoption == SS_ADOPT_DONE;
}

static bool
adopt (SsNode *node, const SsObject *object)
{
  return !postpone (node, object) && adopt_now (node, object);
}

static bool
has_all_feeds (const SsNode *node)
{
  for (uint32_t i = 0; i < SS_FEED_COUNT; i++)
    if (node->params.feeds & (1U << i) && !node->feeds[i].complete)
      return false;
  return true;
}

typedef struct
{
  int64_t since;
  Ss__Peer__ConfigObject *objects;
  Ss__Peer__ConfigObject **list;
  uint32_t count;
} Push;

static gboolean
add_to_push (gpointer key, gpointer value, gpointer data)
{
  Push *p = data;
  const SsStoredObject *o = value;
  Ss__Peer__ConfigObject *out = &p->objects[p->count];
  gsize bytes;

  if (o->version <= p->since)
    return FALSE;
  ss__peer__config_object__init (out);
  out->key = key;
  out->version = o->version;
  out->value.data = (uint8_t *) g_bytes_get_data (o->value, &bytes);
  out->value.len = bytes;
  out->deleted = o->deleted;
  p->list[p->count++] = out;
  return FALSE;
}

static void
send_push (SsNode *node, const char *vm, Ss__Peer__ConfigPush *push)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;

  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PUSH;
  e.config_push = push;
  ss_node_send (node, vm, &e);
}

/* Calls SEND with a push of all objects above SINCE. */
static void
with_push (SsNode *node, int64_t since,
           void (*send) (SsNode *node, Ss__Peer__ConfigPush *push,
                         const char *vm),
           const char *vm)
{
  uint32_t all = (uint32_t) g_tree_nnodes (node->config.objects);
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Push p = { since, g_new (Ss__Peer__ConfigObject, all + 1),
             g_new (Ss__Peer__ConfigObject *, all + 1), 0 };
  gsize bytes = 0;

  g_tree_foreach (node->config.objects, add_to_push, &p);
  push.since = since;
  push.revision = node->config.revision;
  push.complete = since == 0 && !watches_all (node) && ss_spread_watches (node)
                  && has_all_feeds (node);
  push.objects = p.list;
  push.n_objects = p.count;
  if (node->vms_json)
    {
      push.vms.data = (uint8_t *) g_bytes_get_data (node->vms_json, &bytes);
      push.vms.len = bytes;
    }
  send (node, &push, vm);
  g_free (p.objects);
  g_free (p.list);
}

static void
send_to_one (SsNode *node, Ss__Peer__ConfigPush *push, const char *vm)
{
  send_push (node, vm, push);
}

static void
push_to_neighbour (SsNode *node, SsMember *member, void *data)
{
  if (strcmp (member->failure_domain, node->params.failure_domain) == 0)
    send_push (node, member->vm, data);
}

static void
send_to_domain (SsNode *node, Ss__Peer__ConfigPush *push, const char *vm)
{
  (void) vm;
  visit_peers (node, push_to_neighbour, push);
}

void
ss_spread_pull (SsNode *node, const char *from,
                const Ss__Peer__ConfigPull *pull)
{
  with_push (node, pull->since, send_to_one, from);
}

static bool drop_missing (SsNode *node, const char *prefix, int64_t revision,
                          GHashTable *present);

/* All objects of a peer were sent. */
static void
drop_unsent (SsNode *node, const Ss__Peer__ConfigPush *push)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < push->n_objects; i++)
    g_hash_table_add (present, push->objects[i]->key);
  drop_missing (node, "", push->revision, present);
  g_hash_table_destroy (present);
}

void
ss_spread_push (SsNode *node, const char *from,
                const Ss__Peer__ConfigPush *push)
{
  for (size_t i = 0; i < push->n_objects; i++)
    {
      const Ss__Peer__ConfigObject *in = push->objects[i];
      SsObject o = { in->key, in->version, (const char *) in->value.data,
                     (uint32_t) in->value.len, in->deleted };

      /* The sender waited for what was deleted to come back. */
      adopt_now (node, &o);
    }
  if (push->complete)
    drop_unsent (node, push);
  if (push->vms.len)
    ss_spread_vms (node, (const char *) push->vms.data,
                   (uint32_t) push->vms.len);
  ss_owner_update (node);
  if (push->since == LOOSE_SINCE)
    return;
  if (push->since <= node->config.revision)
    node->config.revision = MAX (node->config.revision, push->revision);
  else
    send_pull (node, from);
}

static void
push_to_peer (SsNode *node, SsMember *member, void *data)
{
  send_push (node, member->vm, data);
}

/* Passes OBJECTS on at once, outside of the watch; NEAR: in the failure domain
 * only.
 */
static void
send_loose (SsNode *node, const SsObject *objects, uint32_t count, bool near)
{
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Ss__Peer__ConfigObject *copies = g_new (Ss__Peer__ConfigObject, count + 1);
  Ss__Peer__ConfigObject **list = g_new (Ss__Peer__ConfigObject *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      ss__peer__config_object__init (&copies[i]);
      copies[i].key = (char *) objects[i].key;
      copies[i].version = objects[i].version;
      copies[i].value.data = (uint8_t *) objects[i].value;
      copies[i].value.len = objects[i].value_bytes;
      copies[i].deleted = objects[i].deleted;
      list[i] = &copies[i];
    }
  push.since = LOOSE_SINCE;
  push.objects = list;
  push.n_objects = count;
  visit_peers (node, near ? push_to_neighbour : push_to_peer, &push);
  g_free (list);
  g_free (copies);
}

/* A relay passes what it adopted on to its failure domain, whose other vms
 * watch nothing.
 */
static void
forward (SsNode *node, const SsObject *objects, uint32_t count)
{
  if (count && node->members.relayed && ss_spread_watches (node))
    send_loose (node, objects, count, true);
}

void
ss_spread_adopt (SsNode *node, const SsObject *object)
{
  if (!adopt (node, object))
    return;
  ss_owner_update (node);
  send_loose (node, object, 1, false);
}

void
ss_spread_adopt_quietly (SsNode *node, const SsObject *object)
{
  adopt (node, object);
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

typedef struct
{
  const char *prefix;
  int64_t revision;
  GHashTable *present;
  GPtrArray *missing;
} Complete;

static gboolean
find_missing (gpointer key, gpointer value, gpointer data)
{
  Complete *c = data;
  const SsStoredObject *o = value;

  if (!o->deleted && o->version <= c->revision
      && g_str_has_prefix (key, c->prefix)
      && !g_hash_table_contains (c->present, key))
    g_ptr_array_add (c->missing, g_strdup (key));
  return FALSE;
}

/* What is held of PREFIX up to REVISION, and is not PRESENT, is gone. */
static bool
drop_missing (SsNode *node, const char *prefix, int64_t revision,
              GHashTable *present)
{
  Complete c
      = { prefix, revision, present, g_ptr_array_new_with_free_func (g_free) };
  bool dropped = false;

  g_tree_foreach (node->config.objects, find_missing, &c);
  for (guint i = 0; i < c.missing->len; i++)
    {
      SsObject o = { .key = g_ptr_array_index (c.missing, i),
                     .version = revision,
                     .deleted = true };

      if (!adopt (node, &o))
        continue;
      dropped = true;
      forward (node, &o, 1);
    }
  g_ptr_array_free (c.missing, TRUE);
  return dropped;
}

/* All objects of a feed were listed. */
static bool
drop_unlisted (SsNode *node, const SsEvent *e)
{
  GHashTable *present = g_hash_table_new (g_str_hash, g_str_equal);
  bool dropped;

  for (uint32_t i = 0; i < e->platform_objects.object_count; i++)
    g_hash_table_add (present, (gpointer) e->platform_objects.objects[i].key);
  dropped = drop_missing (node, ss_feed_prefix (e->platform_objects.feed),
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
    if (adopt (node, &e->platform_objects.objects[i]))
      taken[taken_count++] = e->platform_objects.objects[i];
  forward (node, taken, taken_count);
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
ss_spread_objects (SsNode *node, const SsEvent *e)
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
  if (watches_all (node))
    with_push (node, since, send_to_domain, NULL);
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
      || is_self (node, vm))
    return;
  m = ss_spread_add_member (node, vm, domain, ip, (uint16_t) port);
  ss_members_set_listed (&node->members, m, strcmp (state, "live") == 0);
}

/* The list lags: it adds vms to listen for, and lets silent ones be
 * forgotten; who is live is judged by heartbeats.
 */
void
ss_spread_vms (SsNode *node, const char *json, uint32_t json_bytes)
{
  json_t *list = json_loadb (json, json_bytes, 0, NULL);
  json_t *item;
  size_t i;

  if (!json_is_array (list))
    goto done;
  visit_peers (node, unlist, NULL);
  json_array_foreach (list, i, item)
  {
    take_listed (node, item);
  }
  g_clear_pointer (&node->vms_json, g_bytes_unref);
  node->vms_json = g_bytes_new (json, json_bytes);
done:
  json_decref (list);
}

/* --- subscriptions --- */

typedef struct
{
  SsNode *node;
  GTree *by_owner; /* vm -> GPtrArray of target names */
} Subscriptions;

static bool
needs_group (SsNode *node, const SsGroup *group)
{
  if (ss_entry_uses_group (node, group->name))
    return true;
  for (uint32_t i = 0; i < group->server_count; i++)
    if (ss_node_is_owner (node, group->servers[i]))
      return true;
  return ss_promote_rank (node, ss_promote_get (node, group->name))
         < COORDINATOR_RANKS;
}

static gboolean
collect_group (gpointer key, gpointer value, gpointer data)
{
  Subscriptions *s = data;
  SsGroup *group = value;

  (void) key;
  if (!needs_group (s->node, group))
    return FALSE;
  for (uint32_t i = 0; i < group->server_count; i++)
    {
      SsTarget *t = group->servers[i];
      const char *owner = ss_node_owner (s->node, t);
      GPtrArray *names;

      if (!owner || is_self (s->node, owner))
        continue;
      names = g_tree_lookup (s->by_owner, owner);
      if (!names)
        {
          names = g_ptr_array_new ();
          g_tree_insert (s->by_owner, (gpointer) owner, names);
        }
      g_ptr_array_add (names, t->name);
    }
  return FALSE;
}

static gboolean
send_subscription (gpointer key, gpointer value, gpointer data)
{
  GPtrArray *names = value;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__Subscribe m = SS__PEER__SUBSCRIBE__INIT;

  m.targets = (char **) names->pdata;
  m.n_targets = names->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_SUBSCRIBE;
  e.subscribe = &m;
  ss_node_send (data, key, &e);
  return FALSE;
}

static void
subscribe (SsNode *node)
{
  Subscriptions s
      = { node, g_tree_new_full (ss_names_compare, NULL, NULL,
                                 (GDestroyNotify) g_ptr_array_unref) };

  node->subscribe_due_ms = node->now_ms + SUBSCRIBE_MS;
  node->subscribed_generation = node->members.generation;
  g_tree_foreach (node->config.groups, collect_group, &s);
  g_tree_foreach (s.by_owner, send_subscription, node);
  g_tree_destroy (s.by_owner);
}

/* --- ticks --- */

bool
ss_spread_watches (SsNode *node)
{
  if (!watches_all (node))
    return !node->members.relayed
           || (!node->ready && node->now_ms - node->started_ms >= UNREADY_MS)
           || ss_members_is_relay (&node->members, node->now_ms);
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

static void
tick_platform (SsNode *node)
{
  bool watches = ss_spread_watches (node);
  SsAction *a;

  /* Every vm lists all objects once. */
  for (uint32_t i = 0; i < SS_FEED_COUNT; i++)
    {
      SsFeedState *feed = &node->feeds[i];

      if (!(node->params.feeds & (1U << i)) || feed->watching
          || node->now_ms < feed->due_ms || (feed->complete && !watches))
        continue;
      if (watches_all (node))
        feed->revision = node->config.revision;
      feed->watching = true;
      a = ss_node_push (node, SS_ACTION_PLATFORM_WATCH);
      a->id = i;
      a->number = feed->revision;
      a->wait_ms = watch_wait_ms (node, (SsFeed) i);
    }
  if (watches_all (node) && !node->vms_asked
      && node->now_ms >= node->vms_due_ms)
    {
      node->vms_asked = true;
      node->vms_due_ms = node->now_ms + VMS_MS;
      ss_node_push (node, SS_ACTION_PLATFORM_VMS);
    }
}

/* What a dead vm still holds for callers gets its answer now. */
static void
on_member_changed (void *data, const SsMember *member)
{
  ss_node_log (data,
               member->live ? SS_EVENT_LOG_VM_FOUND : SS_EVENT_LOG_VM_LOST,
               member->vm, "failure_domain=%s", member->failure_domain);
  if (member->live)
    return;
  ss_entry_vm_lost (data, member->vm);
  ss_owner_vm_lost (data, member->vm);
}

static void
check_ready (SsNode *node)
{
  int64_t after_ms = has_all_feeds (node) && !watches_all (node)
                         ? READY_SOON_MS
                         : READY_AFTER_MS;

  if (node->ready || node->now_ms - node->started_ms < after_ms
      || g_tree_nnodes (node->config.services) == 0
      || g_tree_nnodes (node->config.targets) == 0)
    return;
  node->ready = true;
  ss_node_log (node, SS_EVENT_LOG_READY, node->params.vm,
               "revision=%" G_GINT64_FORMAT, node->config.revision);
}

/* Takes the targets away whose entries did not come back. */
static void
remove_gone (SsNode *node)
{
  GPtrArray *due = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->removals);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (node->now_ms >= ((SsRemoval *) value)->due_ms)
      g_ptr_array_add (due, g_strdup (key));
  for (guint i = 0; i < due->len; i++)
    {
      const char *name = g_ptr_array_index (due, i);
      SsRemoval *r = g_hash_table_lookup (node->removals, name);
      SsObject o = { .key = name, .version = r->version, .deleted = true };

      if (adopt_now (node, &o))
        forward (node, &o, 1);
      g_hash_table_remove (node->removals, name);
    }
  if (due->len)
    ss_owner_update (node);
  g_ptr_array_free (due, TRUE);
}

void
ss_spread_tick (SsNode *node)
{
  uint64_t generation = node->members.generation;
  SsMember *self = ss_members_find (&node->members, node->params.vm);

  self->platform_up = ss_spread_watches (node) && !node->platform_down;
  node->members.relayed = is_relayed (node);
  ss_members_update (&node->members, node->now_ms, on_member_changed, node);
  if (generation != node->members.generation
      || node->subscribed_generation != node->members.generation)
    {
      ss_owner_update (node);
      subscribe (node);
    }
  if (node->now_ms >= node->heartbeat_due_ms)
    ss_spread_beat_now (node);
  if (node->now_ms >= node->subscribe_due_ms)
    subscribe (node);
  if (!watches_all (node) || ss_spread_watches (node))
    tick_platform (node);
  if (g_hash_table_size (node->removals))
    remove_gone (node);
  check_ready (node);
}
