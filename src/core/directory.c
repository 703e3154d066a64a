/* directory: the VM directory at the platform: one object vm/NAME per VM. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/config_store.h"
#include "core/membership.h"
#include "core/peers.h"
#include "core/version.h"

/* Interval between attempts to write this VM's object. */
#define WRITE_INTERVAL_MS 1000
/* A VM that has been silent for this long does not return at its address: its
 * object is marked as silent.
 */
#define DEAD_MS 30000
/* How long an object stays marked before it is deleted.  Until then the VM may
 * rely on voters that it knew, without the platform.  The margin covers the
 * time until a VM sees the change of its own object, and the drift of clocks.
 */
#define SILENT_MS (SS_RELIANCE_MS + RELIANCE_MARGIN_MS)
#define RELIANCE_MARGIN_MS (60 * 1000)
#define PREFIX "vm/"
#define COORDINATOR_SUBJECT "directory"

typedef struct
{
  SsNode *node;
  GPtrArray *groups; /* names */
} LeasesContext;

static gboolean
add_lease (gpointer key, gpointer value, gpointer data)
{
  LeasesContext *l = data;
  SsTarget *primary = ss_group_primary (value);

  /* A commit that waits at a former owner is acknowledged under its lease. */
  if (primary && (ss_node_is_owner (l->node, primary) || primary->is_finishing))
    g_ptr_array_add (l->groups, key);
  return FALSE;
}

/* Returns the names of the groups whose primaries this VM needs leases on. */
static GPtrArray *
needed_leases (SsNode *node)
{
  LeasesContext l = { node, g_ptr_array_new () };

  if (node->dialect->platform_promotes)
    g_tree_foreach (node->config.groups, add_lease, &l);
  return l.groups;
}

/* Returns the value of this VM's object: its address, and GROUPS, those whose
 * primaries it may hold leases on.  Free with free ().
 */
static char *
own_value (const SsNode *node, const GPtrArray *groups)
{
  json_t *leases = json_array ();
  json_t *json;
  char *text;

  for (guint i = 0; i < groups->len; i++)
    json_array_append_new (leases, json_string (g_ptr_array_index (groups, i)));
  json = json_pack ("{s:s, s:s, s:i, s:o, s:s, s:I}", "failure_domain",
                    node->params.failure_domain, "ip", node->params.ip,
                    "peer_port", (int) node->params.peer_port, "leases", leases,
                    "life", node->lease_listing.life, "stamp",
                    (json_int_t) node->lease_listing.stamp);
  if (node->params.capacity_millicores)
    json_object_set_new (json, "capacity_millicores",
                         json_integer (node->params.capacity_millicores));
  text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (json);
  return text;
}

static const SsStoredObject *
stored_vm (const SsNode *node, const char *vm)
{
  char *key = g_strconcat (PREFIX, vm, NULL);
  const SsStoredObject *o = ss_config_object (&node->config, key);

  g_free (key);
  return o;
}

static bool
is_up_to_date (const SsStoredObject *o, const char *value)
{
  SsObject own = { .value = value, .value_bytes = (uint32_t) strlen (value) };

  return ss_stored_object_is_equal (o, &own);
}

/* Logs the groups that this VM may hold leases on, as EVENT. */
static void
log_leases (SsNode *node, SsLogEvent event)
{
  GList *names
      = g_list_sort (g_hash_table_get_keys (node->lease_listing.since_ms),
                     (GCompareFunc) strcmp);
  GString *text = g_string_new (NULL);

  for (GList *l = names; l; l = l->next)
    g_string_append_printf (text, " %s", (const char *) l->data);
  ss_node_log (node, event, node->params.vm,
               "version=" SS_VERSION_FORMAT " groups=%u%s",
               SS_VERSION_ARGS (node->lease_listing.version),
               g_list_length (names), text->str);
  g_string_free (text, TRUE);
  g_list_free (names);
}

/* Adopts what this VM's object lists. */
static void
update_leases (SsNode *node, const SsObject *object)
{
  bool same_era = ss_version_era (node->lease_listing.version)
                  == ss_version_era (object->version);

  ss_lease_listing_adopt (&node->lease_listing,
                          object->deleted ? NULL : object->value,
                          object->value_bytes, object->version, node->now_ms);
  log_leases (node, SS_EVENT_LOG_LEASES_LISTED);
  if (object->deleted)
    node->listed_version = 0;
  else if (!node->listed_version || !same_era)
    node->listed_version = object->version;
}

/* Gives up the leases on all groups but GROUPS, before a write of this VM's
 * object that is based on VERSION lists these only.
 */
static void
give_up_leases (SsNode *node, const GPtrArray *groups, int64_t version)
{
  if (ss_lease_listing_give_up (&node->lease_listing, groups, version))
    log_leases (node, SS_EVENT_LOG_LEASES_GIVEN_UP);
}

static json_t *
load_value (const SsStoredObject *o)
{
  gsize bytes;
  const char *text = g_bytes_get_data (o->value, &bytes);

  return json_loadb (text, bytes, 0, NULL);
}

static bool
lists_lease (const SsStoredObject *o, const char *group)
{
  json_t *json = load_value (o);
  json_t *item;
  size_t i;
  bool found = false;

  json_array_foreach (json_object_get (json, "leases"), i, item)
  {
    found = found || g_strcmp0 (json_string_value (item), group) == 0;
  }
  json_decref (json);
  return found;
}

typedef struct
{
  const char *self;
  const char *group;    /* a lease on which is looked for; NULL: any VM */
  GHashTable *released; /* VMs to pass over */
  bool found;
} HolderSearch;

static gboolean
find_holder (gpointer key, gpointer value, gpointer data)
{
  HolderSearch *h = data;
  const SsStoredObject *o = value;
  const char *vm;

  if (o->deleted || !g_str_has_prefix (key, PREFIX))
    return FALSE;
  vm = (const char *) key + strlen (PREFIX);
  if (strcmp (vm, h->self) == 0 || g_hash_table_contains (h->released, vm)
      || (h->group && !lists_lease (o, h->group)))
    return FALSE;
  h->found = true;
  return TRUE;
}

bool
ss_directory_has_holder (const SsNode *node, const char *group,
                         GHashTable *released)
{
  HolderSearch h = { node->params.vm, group, released, false };

  g_tree_foreach (node->config.objects, find_holder, &h);
  return h.found;
}

bool
ss_directory_has_other (const SsNode *node, GHashTable *passed_over)
{
  HolderSearch h = { node->params.vm, NULL, passed_over, false };

  g_tree_foreach (node->config.objects, find_holder, &h);
  return h.found;
}

/* Has VM, which the platform answers, write this VM's object.  The version that
 * VALUE is based on goes with it: a request that is delayed then can't replace
 * a later value.
 */
static void
ask_to_write (SsNode *node, const char *vm, const char *value, int64_t version)
{
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__DirectoryAsk ask = SS__PEER__DIRECTORY_ASK__INIT;

  ask.value.data = (uint8_t *) value;
  ask.value.len = strlen (value);
  ask.version = version;
  e.body_case = SS__PEER__ENVELOPE__BODY_DIRECTORY_ASK;
  e.directory_ask = &ask;
  ss_node_send (node, vm, &e);
}

/* Returns another VM that the platform answers, or NULL. */
static const char *
find_other (const SsNode *node)
{
  const char *vm = ss_roles_coordinator (&node->members, COORDINATOR_SUBJECT);

  return vm && strcmp (vm, node->params.vm) != 0 ? vm : NULL;
}

static void
write_own (SsNode *node)
{
  const SsStoredObject *o = stored_vm (node, node->params.vm);
  const char *other = find_other (node);
  char *key = g_strconcat (PREFIX, node->params.vm, NULL);
  int64_t version = ss_config_expected_version (&node->config, key);
  GPtrArray *groups = needed_leases (node);
  char *value;

  give_up_leases (node, groups, version);
  value = own_value (node, groups);
  if (is_up_to_date (o, value))
    goto done;
  if (node->directory_refused && other)
    ask_to_write (node, other, value, version);
  else
    ss_platform_put (node, ++node->next_call, key, value, version);
  /* If the other VM does not succeed, the next write is this VM's own. */
  node->directory_refused = false;
done:
  g_ptr_array_free (groups, TRUE);
  g_free (key);
  free (value);
}

void
ss_directory_handle_ask (SsNode *node, const char *vm,
                         const Ss__Peer__DirectoryAsk *ask)
{
  char *key = g_strconcat (PREFIX, vm, NULL);
  char *value = g_strndup ((const char *) ask->value.data, ask->value.len);
  json_t *json = json_loads (value, 0, NULL);

  if (json_is_object (json))
    ss_platform_put (node, ++node->next_call, key, value, ask->version);
  else
    ss_node_log (node, SS_EVENT_LOG_PEER_INVALID, vm, "%s is no JSON", key);
  json_decref (json);
  g_free (value);
  g_free (key);
}

static void
delete_vm_object (SsNode *node, const char *vm, int64_t version)
{
  char *key = g_strconcat (PREFIX, vm, NULL);

  ss_platform_delete (node, ++node->next_call, key, version);
  g_free (key);
}

static bool
is_marked_silent (json_t *value)
{
  return json_is_true (json_object_get (value, "silent"));
}

/* Marks the object of VM as silent.  It still lists the leases: the VM may be
 * silent to this one only, and rely on them until it has adopted another
 * object.
 */
static void
mark_silent (SsNode *node, const char *vm, const SsStoredObject *o)
{
  json_t *value = load_value (o);
  char *key = g_strconcat (PREFIX, vm, NULL);
  char *text;

  if (json_is_object (value) && !is_marked_silent (value))
    {
      json_object_set_new (value, "silent", json_true ());
      text = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
      ss_platform_put (node, ++node->next_call, key, text, o->version);
      free (text);
    }
  g_free (key);
  json_decref (value);
}

static void
mark_silent_vms (SsNode *node)
{
  GPtrArray *dead = g_ptr_array_new ();

  ss_members_collect_silent (&node->members, node->now_ms - DEAD_MS, dead);
  for (guint i = 0; i < dead->len; i++)
    {
      const SsMember *m = g_ptr_array_index (dead, i);
      const SsStoredObject *o = stored_vm (node, m->vm);

      if (o && !o->deleted)
        mark_silent (node, m->vm, o);
    }
  g_ptr_array_free (dead, TRUE);
}

typedef struct
{
  const SsNode *node;
  GPtrArray *found; /* of SsStoredObject */
} SilentSearch;

static gboolean
collect_expired (gpointer key, gpointer value, gpointer data)
{
  SilentSearch *s = data;
  const SsStoredObject *o = value;
  json_t *json;

  if (o->deleted || !g_str_has_prefix (key, PREFIX)
      || s->node->now_ms - o->adopted_ms < SILENT_MS)
    return FALSE;
  json = load_value (o);
  if (is_marked_silent (json))
    g_ptr_array_add (s->found, (gpointer) o);
  json_decref (json);
  return FALSE;
}

/* Deletes the objects that have been marked for SILENT_MS. */
static void
delete_silent_vms (SsNode *node)
{
  SilentSearch s = { node, g_ptr_array_new () };

  g_tree_foreach (node->config.objects, collect_expired, &s);
  for (guint i = 0; i < s.found->len; i++)
    {
      const SsStoredObject *o = g_ptr_array_index (s.found, i);

      ss_platform_delete (node, ++node->next_call, o->key, o->version);
    }
  g_ptr_array_free (s.found, TRUE);
}

void
ss_directory_apply (SsNode *node, const SsObject *object)
{
  const char *vm = object->key + strlen (PREFIX);
  SsMember *m = ss_members_find (&node->members, vm);
  json_t *json;
  const char *domain;
  const char *ip;
  json_int_t port;
  json_int_t capacity;

  if (strcmp (vm, node->params.vm) == 0)
    {
      update_leases (node, object);
      return;
    }
  if (object->deleted)
    {
      if (m)
        ss_members_set_listed (&node->members, m, false);
      return;
    }
  json = json_loadb (object->value, object->value_bytes, 0, NULL);
  domain = json_string_value (json_object_get (json, "failure_domain"));
  ip = json_string_value (json_object_get (json, "ip"));
  port = json_integer_value (json_object_get (json, "peer_port"));
  capacity = json_integer_value (json_object_get (json, "capacity_millicores"));
  capacity = CLAMP (capacity, 0, G_MAXUINT32);
  if (is_marked_silent (json))
    {
      if (m)
        ss_members_set_listed (&node->members, m, false);
    }
  else if (domain && ip && port > 0 && port <= 65535)
    {
      m = ss_peers_add_member (node, vm, domain, ip, (uint16_t) port);
      ss_members_set_listed (&node->members, m, true);
      ss_members_set_capacity (&node->members, m, (uint32_t) capacity);
    }
  else
    ss_node_log (node, SS_EVENT_LOG_CONFIG_INVALID, object->key,
                 "failure_domain, ip or peer_port is missing");
  json_decref (json);
}

/* The version goes with the deletion: one that is delayed must not delete the
 * object that this VM writes when it starts again.
 */
void
ss_directory_deregister (SsNode *node)
{
  const SsStoredObject *o = stored_vm (node, node->params.vm);
  GPtrArray *none;

  if (!node->watches[SS_WATCH_VMS].complete || !o || o->deleted)
    return;
  none = g_ptr_array_new ();
  give_up_leases (node, none, o->version);
  g_ptr_array_free (none, TRUE);
  delete_vm_object (node, node->params.vm, o->version);
}

/* Adopts the object that the platform returned.  After a conflict, schedules
 * another write of this VM's object on top of it.  A VM whose object was
 * written for it is told the outcome.
 */
void
ss_directory_handle_object (SsNode *node, SsPlatformOutcome outcome,
                            const SsObject *object)
{
  const char *vm;
  bool is_own;

  if (!object->key || !g_str_has_prefix (object->key, PREFIX))
    return;
  vm = object->key + strlen (PREFIX);
  is_own = strcmp (vm, node->params.vm) == 0;
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    {
      ss_config_sync_adopt (node, object);
      if (!is_own)
        ss_config_sync_send (node, vm, object->key);
    }
  if (!is_own)
    return;
  if (outcome == SS_PLATFORM_CONFLICT && node->stop.deregistered)
    ss_directory_deregister (node);
  node->directory_refused
      = outcome == SS_PLATFORM_REFUSED || outcome == SS_PLATFORM_UNKNOWN;
  if (outcome == SS_PLATFORM_CONFLICT
      || (node->directory_refused && find_other (node)))
    node->directory_due_ms = node->now_ms;
}

/* A VM that has just been listed reads the voters, since it was not asked about
 * changes before.
 */
static void
read_voters (SsNode *node)
{
  if (node->dialect->platform_promotes && node->listed_version
      && !node->platform_down && !ss_watch_knows_voters (node))
    ss_node_push (node, SS_ACTION_PLATFORM_LIST)->id = SS_WATCH_VOTERS;
}

void
ss_directory_tick (SsNode *node)
{
  const char *coordinator;

  if (!node->watches[SS_WATCH_VMS].complete || node->stopping
      || node->now_ms < node->directory_due_ms)
    return;
  node->directory_due_ms = node->now_ms + WRITE_INTERVAL_MS;
  write_own (node);
  read_voters (node);
  coordinator = ss_roles_coordinator (&node->members, COORDINATOR_SUBJECT);
  if (coordinator && strcmp (coordinator, node->params.vm) == 0)
    {
      mark_silent_vms (node);
      delete_silent_vms (node);
    }
}
