#include <string.h>

#include "core/config_store.h"
#include "core/owned.h"
#include "core/peers.h"
#include "core/version.h"
#include "kernel/compare.h"

#define PULL_INTERVAL_MS 300
/* ConfigPush.since of single objects, which do not advance the revision. */
#define WITHOUT_REVISION (-1)
/* Objects from this size on are forwarded by one watcher only. */
#define LARGE_OBJECT_BYTES 4096
/* A VM that still lacks the operator's configuration this long after it was
 * adopted here has not got it from another VM.
 */
#define LATE_PUSH_MS 500
#define LATE_PUSH_INTERVAL_MS 1000

/* Grace period before a deleted target is removed.  A target object that
 * expired during a platform outage reappears within 2 s of the end of the
 * outage.
 */
#define DELETION_GRACE_MS 2500

static gboolean
add_hash (gpointer key, gpointer value, gpointer data)
{
  Ss__Peer__ConfigPull *pull = data;

  if (g_str_has_prefix (key, pull->prefix))
    pull->known[pull->n_known++] = ss_stored_object_hash (value);
  return FALSE;
}

/* Requests the objects above SINCE from VM.  If SINCE is 0, VM leaves out those
 * that this VM stores.
 */
static void
send_pull (SsNode *node, const char *vm, int64_t since, const char *prefix)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__ConfigPull pull = SS__PEER__CONFIG_PULL__INIT;

  pull.since = since;
  pull.prefix = (char *) prefix;
  if (since == 0)
    {
      pull.known = g_new (uint64_t, g_tree_nnodes (node->config.objects) + 1);
      g_tree_foreach (node->config.objects, add_hash, &pull);
    }
  e.body_case = SS__PEER__ENVELOPE__BODY_CONFIG_PULL;
  e.config_pull = &pull;
  ss_node_send (node, vm, &e);
  g_free (pull.known);
}

void
ss_config_sync_pull_all (SsNode *node, const char *vm)
{
  send_pull (node, vm, 0, "");
}

void
ss_config_sync_pull_operator (SsNode *node, const char *vm)
{
  ss_node_log (node, SS_EVENT_LOG_CONFIG_BEHIND, vm,
               "sequence=%" G_GINT64_FORMAT " platform_down=%d",
               node->config.sequence, node->platform_down);
  send_pull (node, vm, 0, ss_watch_prefix (SS_WATCH_ROUTES));
}

void
ss_config_sync_pull_newer (SsNode *node, const char *vm)
{
  if (node->now_ms < node->pull_due_ms)
    return;
  node->pull_due_ms = node->now_ms + PULL_INTERVAL_MS;
  send_pull (node, vm, node->config.revision, "");
}

/* --- configuration --- */

/* Returns the current group that OBJECT describes, or NULL. */
static const SsGroup *
group_of_object (SsNode *node, const SsObject *object)
{
  if (!g_str_has_prefix (object->key, "group/"))
    return NULL;
  return ss_config_group (&node->config, strchr (object->key, '/') + 1);
}

/* Defers the deletion of a target, as its object may reappear.  Returns true
 * if OBJECT is not to be adopted now.
 */
static bool
defer_deletion (SsNode *node, const SsObject *object)
{
  const SsStoredObject *stored;
  SsPendingDeletion *pending;

  if (!object->deleted || !g_str_has_prefix (object->key, "target/"))
    return false;
  stored = ss_config_object (&node->config, object->key);
  if (!stored || stored->deleted)
    return true;
  pending = g_hash_table_lookup (node->pending_deletions, object->key);
  if (pending)
    return node->now_ms < pending->due_ms;
  pending = g_new0 (SsPendingDeletion, 1);
  pending->version = object->version;
  pending->due_ms = node->now_ms + DELETION_GRACE_MS;
  g_hash_table_insert (node->pending_deletions, g_strdup (object->key),
                       pending);
  return true;
}

/* Logs an object that is not adopted although it has other content than the
 * stored one.
 */
static void
log_not_newer (SsNode *node, const SsObject *object)
{
  const SsStoredObject *stored = ss_config_object (&node->config, object->key);

  if (ss_stored_object_is_equal (stored, object))
    return;
  ss_node_count (node, SS_COUNTER_CONFIG_NOT_NEWER);
  ss_node_log (node, SS_EVENT_LOG_CONFIG_NOT_NEWER, object->key,
               "version=" SS_VERSION_FORMAT " sequence=%" G_GINT64_FORMAT
               " deleted=%d stored=" SS_VERSION_FORMAT
               " stored_sequence=%" G_GINT64_FORMAT
               " stored_age_ms=%" G_GINT64_FORMAT,
               SS_VERSION_ARGS (object->version), object->sequence,
               object->deleted, SS_VERSION_ARGS (stored->version),
               stored->sequence, node->now_ms - stored->adopted_ms);
}

static bool
adopt_now (SsNode *node, const SsObject *object)
{
  const SsGroup *group = group_of_object (node, object);
  uint64_t term = group ? group->term : 0;
  char *error;
  SsAdoption adoption
      = ss_config_adopt (&node->config, object, node->now_ms, &error);

  if (adoption == SS_ADOPT_DONE)
    g_hash_table_remove (node->pending_deletions, object->key);

  if (adoption == SS_ADOPT_INVALID)
    {
      ss_node_count (node, SS_COUNTER_CONFIG_REFUSED);
      ss_node_log (node, SS_EVENT_LOG_CONFIG_INVALID, object->key, "%s", error);
      g_free (error);
    }
  if (adoption == SS_ADOPT_NOT_NEWER)
    log_not_newer (node, object);
  if (adoption == SS_ADOPT_DONE)
    ss_node_log (node, SS_EVENT_LOG_CONFIG_ADOPTED, object->key,
                 "version=" SS_VERSION_FORMAT " sequence=%" G_GINT64_FORMAT
                 " deleted=%d",
                 SS_VERSION_ARGS (object->version), object->sequence,
                 object->deleted);
  if (adoption == SS_ADOPT_DONE && g_str_has_prefix (object->key, "vm/"))
    ss_directory_apply (node, object);
  if (adoption == SS_ADOPT_DONE && g_str_has_prefix (object->key, "target/"))
    node->targets_changed = true;
  group = group_of_object (node, object);
  if (term && group && group->term > term)
    ss_pending_superseded (node, group);
  return adoption == SS_ADOPT_DONE;
}

void
ss_config_sync_extend_deletions (SsNode *node)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->pending_deletions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((SsPendingDeletion *) value)->due_ms = node->now_ms + DELETION_GRACE_MS;
}

bool
ss_config_sync_adopt (SsNode *node, const SsObject *object)
{
  return !object->unreadable && !defer_deletion (node, object)
         && adopt_now (node, object);
}

/* --- pushes --- */

typedef struct
{
  int64_t since;
  const char *prefix;
  GHashTable *known; /* hashes of objects to leave out; NULL: none */
  Ss__Peer__ConfigObject *objects;
  Ss__Peer__ConfigObject **list;
  uint32_t count;
  GArray *unchanged; /* of uint64_t */
} PushContext;

/* OUT borrows the strings of STORED. */
static void
pack_object (Ss__Peer__ConfigObject *out, SsStoredObject *stored)
{
  GBytes *value = ss_stored_object_compress (stored);
  gsize bytes;

  ss__peer__config_object__init (out);
  out->key = stored->key;
  out->version = stored->version;
  out->deleted = stored->deleted;
  out->sequence = stored->sequence;
  out->value.data
      = (uint8_t *) g_bytes_get_data (value ? value : stored->value, &bytes);
  out->value.len = bytes;
  if (value)
    out->value_bytes = (uint32_t) g_bytes_get_size (stored->value);
}

static gboolean
add_to_push (gpointer key, gpointer value, gpointer data)
{
  PushContext *p = data;
  SsStoredObject *o = value;
  uint64_t hash = ss_stored_object_hash (o);

  if (o->version <= p->since || !g_str_has_prefix (key, p->prefix))
    return FALSE;
  if (p->known && g_hash_table_contains (p->known, &hash))
    {
      g_array_append_val (p->unchanged, hash);
      return FALSE;
    }
  pack_object (&p->objects[p->count], o);
  p->list[p->count] = &p->objects[p->count];
  p->count++;
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

/* Calls SEND with VM and a push of all objects with versions above SINCE and
 * keys that begin with PREFIX, without those whose hashes are in KNOWN, which
 * may be NULL.
 */
static void
push_since (SsNode *node, int64_t since, const char *prefix, GHashTable *known,
            void (*send) (SsNode *node, Ss__Peer__ConfigPush *push,
                          const char *vm),
            const char *vm)
{
  uint32_t all = (uint32_t) g_tree_nnodes (node->config.objects);
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  PushContext p = { since,
                    prefix,
                    known,
                    g_new (Ss__Peer__ConfigObject, all + 1),
                    g_new (Ss__Peer__ConfigObject *, all + 1),
                    0,
                    g_array_new (FALSE, FALSE, sizeof (uint64_t)) };
  gsize bytes = 0;

  g_tree_foreach (node->config.objects, add_to_push, &p);
  push.since = *prefix ? WITHOUT_REVISION : since;
  push.revision = node->config.revision;
  push.complete = since == 0 && !*prefix && !ss_watch_is_single (node)
                  && ss_watch_is_active (node) && ss_watch_is_complete (node);
  push.objects = p.list;
  push.n_objects = p.count;
  push.unchanged = (uint64_t *) (void *) p.unchanged->data;
  push.n_unchanged = p.unchanged->len;
  if (node->vms_json)
    {
      push.vms.data = (uint8_t *) g_bytes_get_data (node->vms_json, &bytes);
      push.vms.len = bytes;
    }
  send (node, &push, vm);
  g_free (p.objects);
  g_free (p.list);
  g_array_free (p.unchanged, TRUE);
}

static void
send_to_one (SsNode *node, Ss__Peer__ConfigPush *push, const char *vm)
{
  send_push (node, vm, push);
}

static void
push_to_domain_peer (SsNode *node, SsMember *member, void *data)
{
  if (ss_members_is_in_domain (&node->members, member))
    send_push (node, member->vm, data);
}

static void
send_to_domain (SsNode *node, Ss__Peer__ConfigPush *push, const char *vm)
{
  (void) vm;
  ss_peers_visit (node, push_to_domain_peer, push);
}

void
ss_config_sync_push_domain (SsNode *node, int64_t since)
{
  push_since (node, since, "", NULL, send_to_domain, NULL);
}

/* Returns a set of COUNT hashes, which it borrows. */
static GHashTable *
hash_set (uint64_t *hashes, size_t count)
{
  GHashTable *set = g_hash_table_new (g_int64_hash, g_int64_equal);

  for (size_t i = 0; i < count; i++)
    g_hash_table_add (set, &hashes[i]);
  return set;
}

void
ss_config_sync_handle_pull (SsNode *node, const char *from,
                            const Ss__Peer__ConfigPull *pull)
{
  GHashTable *known = hash_set (pull->known, pull->n_known);

  push_since (node, pull->since, pull->prefix, known, send_to_one, from);
  g_hash_table_destroy (known);
}

typedef struct
{
  GHashTable *hashes;
  GHashTable *present; /* keys */
} Unchanged;

static gboolean
add_unchanged (gpointer key, gpointer value, gpointer data)
{
  Unchanged *u = data;
  uint64_t hash = ss_stored_object_hash (value);

  if (g_hash_table_contains (u->hashes, &hash))
    g_hash_table_add (u->present, key);
  return FALSE;
}

/* Deletes the objects that are missing from a complete push.  Returns whether
 * any was deleted.
 */
static bool
delete_unsent (SsNode *node, const Ss__Peer__ConfigPush *push)
{
  Unchanged u = { hash_set (push->unchanged, push->n_unchanged),
                  g_hash_table_new (g_str_hash, g_str_equal) };
  bool deleted;

  for (size_t i = 0; i < push->n_objects; i++)
    g_hash_table_add (u.present, push->objects[i]->key);
  g_tree_foreach (node->config.objects, add_unchanged, &u);
  deleted = ss_config_sync_delete_missing (node, "", push->revision, u.present);
  g_hash_table_destroy (u.present);
  g_hash_table_destroy (u.hashes);
  return deleted;
}

/* Whether OBJECT, received from a peer, is one of a VM that the platform no
 * longer has: this VM's own list is from that version or a later one, and shows
 * all that were left.
 */
static bool
is_obsolete (const SsNode *node, const SsObject *object)
{
  const SsWatchState *watch = &node->watches[SS_WATCH_VMS];

  return g_str_has_prefix (object->key, ss_watch_prefix (SS_WATCH_VMS))
         && !object->deleted && watch->complete
         && ss_version_era (object->version) == ss_version_era (watch->revision)
         && object->version <= watch->revision;
}

/* Returns whether IN is adopted. */
static bool
adopt_received (SsNode *node, const char *from,
                const Ss__Peer__ConfigObject *in)
{
  SsObject o = { .key = in->key,
                 .version = in->version,
                 .value = (const char *) in->value.data,
                 .value_bytes = (uint32_t) in->value.len,
                 .deleted = in->deleted,
                 .sequence = in->sequence };
  char *text = NULL;
  bool adopted = false;

  if (in->value_bytes)
    {
      text = ss_config_decompress (in->value.data, in->value.len,
                                   in->value_bytes);
      o.value = text;
      o.value_bytes = in->value_bytes;
    }
  /* The sender has already waited out the grace period of deletions. */
  if (text || !in->value_bytes)
    adopted = !is_obsolete (node, &o) && adopt_now (node, &o);
  else
    ss_node_log (node, SS_EVENT_LOG_PEER_INVALID, from,
                 "%s can't be decompressed", in->key);
  g_free (text);
  return adopted;
}

void
ss_config_sync_handle_push (SsNode *node, const char *from,
                            const Ss__Peer__ConfigPush *push)
{
  bool adopted = false;

  ss_era_observe (node, ss_version_era (push->revision), from);
  for (size_t i = 0; i < push->n_objects; i++)
    adopted = adopt_received (node, from, push->objects[i]) || adopted;
  if (push->complete)
    adopted = delete_unsent (node, push) || adopted;
  if (push->vms.len)
    ss_watch_handle_vms (node, (const char *) push->vms.data,
                         (uint32_t) push->vms.len);
  if (adopted)
    ss_owner_update (node);
  if (push->since == WITHOUT_REVISION)
    return;
  if (push->since <= node->config.revision)
    node->config.revision = MAX (node->config.revision, push->revision);
  else
    ss_config_sync_pull_newer (node, from);
}

static void
push_to_peer (SsNode *node, SsMember *member, void *data)
{
  send_push (node, member->vm, data);
}

/* Forwards OBJECTS, which are stored, at once and independent of revisions.
 * DOMAIN_ONLY: only to VMs of this failure domain.
 */
static void
forward_objects (SsNode *node, const SsObject *objects, uint32_t count,
                 bool domain_only)
{
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Ss__Peer__ConfigObject *copies = g_new (Ss__Peer__ConfigObject, count + 1);
  Ss__Peer__ConfigObject **list = g_new (Ss__Peer__ConfigObject *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      SsStoredObject *stored
          = g_tree_lookup (node->config.objects, objects[i].key);

      pack_object (&copies[i], stored);
      list[i] = &copies[i];
    }
  push.since = WITHOUT_REVISION;
  push.objects = list;
  push.n_objects = count;
  ss_peers_visit (node, domain_only ? push_to_domain_peer : push_to_peer,
                  &push);
  g_free (list);
  g_free (copies);
}

/* Whether this VM is the one of its watchers that forwards large objects. */
static bool
forwards_large (SsNode *node)
{
  return ss_roles_watcher_rank (&node->members) == 0;
}

/* Of a large object each VM gets one copy: the other watchers forward it only
 * to the VMs that still lack it after LATE_PUSH_MS.
 */
void
ss_config_sync_forward (SsNode *node, const SsObject *objects, uint32_t count)
{
  bool all;
  SsObject *chosen;
  uint32_t chosen_count = 0;

  if (!count || !node->members.relayed || !ss_watch_is_active (node))
    return;
  all = forwards_large (node);
  chosen = g_new (SsObject, count);
  for (uint32_t i = 0; i < count; i++)
    if (all || objects[i].value_bytes < LARGE_OBJECT_BYTES)
      chosen[chosen_count++] = objects[i];
  if (chosen_count)
    forward_objects (node, chosen, chosen_count, true);
  g_free (chosen);
}

static gboolean
find_adopted (gpointer key, gpointer value, gpointer data)
{
  const SsStoredObject *o = value;
  int64_t *adopted_ms = data;

  if (g_str_has_prefix (key, ss_watch_prefix (SS_WATCH_ROUTES)))
    *adopted_ms = MAX (*adopted_ms, o->adopted_ms);
  return FALSE;
}

void
ss_config_sync_push_late (SsNode *node, SsMember *member, int64_t sequence)
{
  int64_t adopted_ms = 0;

  if (!sequence || sequence >= node->config.sequence
      || node->now_ms - member->config_pushed_ms < LATE_PUSH_INTERVAL_MS)
    return;
  g_tree_foreach (node->config.objects, find_adopted, &adopted_ms);
  if (node->now_ms - adopted_ms < LATE_PUSH_MS)
    return;
  member->config_pushed_ms = node->now_ms;
  push_since (node, 0, ss_watch_prefix (SS_WATCH_ROUTES), NULL, send_to_one,
              member->vm);
}

void
ss_config_sync_send (SsNode *node, const char *vm, const char *key)
{
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Ss__Peer__ConfigObject object;
  Ss__Peer__ConfigObject *list = &object;
  SsStoredObject *stored = g_tree_lookup (node->config.objects, key);

  if (!stored)
    return;
  pack_object (&object, stored);
  push.since = WITHOUT_REVISION;
  push.objects = &list;
  push.n_objects = 1;
  send_push (node, vm, &push);
}

void
ss_config_sync_publish (SsNode *node, const SsObject *object)
{
  if (!ss_config_sync_adopt (node, object))
    return;
  ss_owner_update (node);
  forward_objects (node, object, 1, false);
}

typedef struct
{
  const char *prefix;
  int64_t revision;
  GHashTable *present;
  GPtrArray *missing;
} MissingContext;

static gboolean
find_missing (gpointer key, gpointer value, gpointer data)
{
  MissingContext *c = data;
  const SsStoredObject *o = value;

  if (!o->deleted && o->version <= c->revision
      && g_str_has_prefix (key, c->prefix)
      && !g_hash_table_contains (c->present, key))
    g_ptr_array_add (c->missing, g_strdup (key));
  return FALSE;
}

bool
ss_config_sync_delete_missing (SsNode *node, const char *prefix,
                               int64_t revision, GHashTable *present)
{
  MissingContext c
      = { prefix, revision, present, g_ptr_array_new_with_free_func (g_free) };
  bool deleted_any = false;

  g_tree_foreach (node->config.objects, find_missing, &c);
  for (guint i = 0; i < c.missing->len; i++)
    {
      SsObject o = { .key = g_ptr_array_index (c.missing, i),
                     .version = revision,
                     .deleted = true };

      if (!ss_config_sync_adopt (node, &o))
        continue;
      deleted_any = true;
      ss_config_sync_forward (node, &o, 1);
    }
  g_ptr_array_free (c.missing, TRUE);
  return deleted_any;
}

void
ss_config_sync_delete_expired (SsNode *node)
{
  GPtrArray *due = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->pending_deletions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (node->now_ms >= ((SsPendingDeletion *) value)->due_ms)
      g_ptr_array_add (due, g_strdup (key));
  for (guint i = 0; i < due->len; i++)
    {
      const char *name = g_ptr_array_index (due, i);
      SsPendingDeletion *pending
          = g_hash_table_lookup (node->pending_deletions, name);
      SsObject o
          = { .key = name, .version = pending->version, .deleted = true };

      if (adopt_now (node, &o))
        ss_config_sync_forward (node, &o, 1);
      g_hash_table_remove (node->pending_deletions, name);
    }
  if (due->len)
    ss_owner_update (node);
  g_ptr_array_free (due, TRUE);
}
