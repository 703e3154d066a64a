/* directory: the vms as objects of the platform, one for each vm. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/internal.h"

/* Between two tries to write this vm's object. */
#define WRITE_AGAIN_MS 1000
/* A vm that was silent for this long does not come back under its address. */
#define DEAD_MS 30000
#define PREFIX "vm/"
#define SUBJECT "directory"

static char *
own_value (const SsNode *node)
{
  json_t *json = json_pack ("{s:s, s:s, s:i}", "failure_domain",
                            node->params.failure_domain, "ip", node->params.ip,
                            "peer_port", (int) node->params.peer_port);
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);

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
is_listed (const SsStoredObject *o, const char *value)
{
  gsize bytes;
  const char *held;

  if (!o || o->deleted)
    return false;
  held = g_bytes_get_data (o->value, &bytes);
  return bytes == strlen (value) && memcmp (held, value, bytes) == 0;
}

bool
ss_directory_lists_self (const SsNode *node)
{
  const SsStoredObject *o = stored_vm (node, node->params.vm);
  char *value = own_value (node);
  bool listed = is_listed (o, value);

  free (value);
  return listed;
}

static void
write_own (SsNode *node)
{
  const SsStoredObject *o = stored_vm (node, node->params.vm);
  char *value = own_value (node);
  SsAction *a;

  if (!is_listed (o, value))
    {
      a = ss_node_push (node, SS_ACTION_PLATFORM_PUT);
      a->id = ++node->next_call;
      a->name = g_strconcat (PREFIX, node->params.vm, NULL);
      a->text = g_strdup (value);
      a->number = o && !o->deleted ? o->version : 0;
    }
  free (value);
}

static void
remove_vm (SsNode *node, const char *vm, int64_t version)
{
  SsAction *a = ss_node_push (node, SS_ACTION_PLATFORM_DELETE);

  a->id = ++node->next_call;
  a->name = g_strconcat (PREFIX, vm, NULL);
  a->number = version;
}

/* Takes the objects of vms that are long dead away. */
static void
remove_dead (SsNode *node)
{
  GPtrArray *dead = g_ptr_array_new ();

  ss_members_collect_silent (&node->members, node->now_ms - DEAD_MS, dead);
  for (guint i = 0; i < dead->len; i++)
    {
      const SsMember *m = g_ptr_array_index (dead, i);
      const SsStoredObject *o = stored_vm (node, m->vm);

      if (o && !o->deleted)
        remove_vm (node, m->vm, o->version);
    }
  g_ptr_array_free (dead, TRUE);
}

void
ss_directory_take (SsNode *node, const SsObject *object)
{
  const char *vm = object->key + strlen (PREFIX);
  SsMember *m = ss_members_find (&node->members, vm);
  json_t *json;
  const char *domain;
  const char *ip;
  json_int_t port;

  if (strcmp (vm, node->params.vm) == 0)
    return;
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
  if (domain && ip && port > 0 && port <= 65535)
    {
      m = ss_spread_add_member (node, vm, domain, ip, (uint16_t) port);
      ss_members_set_listed (&node->members, m, true);
    }
  else
    ss_node_log (node, SS_EVENT_LOG_CONFIG_INVALID, object->key,
                 "failure_domain, ip or peer_port is missing");
  json_decref (json);
}

/* The object as another write left it: ours is written on top of it. */
void
ss_directory_object (SsNode *node, SsPlatformOutcome outcome,
                     const SsObject *object)
{
  if (!object->key || !g_str_has_prefix (object->key, PREFIX))
    return;
  if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    ss_spread_adopt_quietly (node, object);
  if (outcome == SS_PLATFORM_CONFLICT)
    node->directory_due_ms = node->now_ms;
}

void
ss_directory_leave (SsNode *node)
{
  if (node->feeds[SS_FEED_VMS].complete)
    remove_vm (node, node->params.vm, 0);
}

void
ss_directory_tick (SsNode *node)
{
  const char *coordinator;

  if (!node->feeds[SS_FEED_VMS].complete || node->stopping
      || node->now_ms < node->directory_due_ms)
    return;
  node->directory_due_ms = node->now_ms + WRITE_AGAIN_MS;
  write_own (node);
  coordinator = ss_members_coordinator (&node->members, SUBJECT);
  if (coordinator && strcmp (coordinator, node->params.vm) == 0)
    remove_dead (node);
}
