#include <string.h>

#include "kernel/names.h"

#include "tests/world_internal.h"

#define LONG_POLL_MS 1000
#define WATCH_CHECK_MS 20
#define CALL_TIMEOUT_MS 1500

void
world_stored_object_free (gpointer data)
{
  StoredObject *o = data;

  g_free (o->key);
  g_free (o->value);
  g_free (o);
}

static StoredObject *
stored_object_copy (const StoredObject *o)
{
  StoredObject *copy = g_new0 (StoredObject, 1);

  copy->key = g_strdup (o->key);
  copy->version = o->version;
  copy->value = g_strdup (o->value);
  return copy;
}

static void
store_object (World *w, const char *key, const char *value)
{
  StoredObject *o = g_new0 (StoredObject, 1);

  o->key = g_strdup (key);
  o->value = g_strdup (value);
  o->version = ++w->revision;
  g_tree_replace (w->objects, o->key, o);
}

void
world_platform_init (World *w)
{
  w->objects = g_tree_new_full (ss_names_compare, NULL, NULL,
                                world_stored_object_free);
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    {
      char *key = g_strdup_printf ("target/%s", w->servers[i].name);
      char *json = g_strdup_printf (
          "{\"group\":\"g\",\"ip\":\"%s\",\"port\":1,"
          "\"failure_domain\":\"d%d\",\"max_connections\":%d}",
          w->servers[i].ip, i, (int) w->servers[i].server.max_connections);

      store_object (w, key, json);
      g_free (key);
      g_free (json);
    }
  store_object (w, "group/g", "{\"term\":1,\"primary\":\"s0\"}");
  /* With odd seeds, the service identifies callers by user name. */
  store_object (w, "service/app",
                w->params.seed % 2
                    ? "{\"group\":\"g\",\"kinds\":{\"aged\":"
                      "{\"staleness_ms\":2000}},\"identity\":\"user\"}"
                    : "{\"group\":\"g\",\"kinds\":{\"aged\":"
                      "{\"staleness_ms\":2000}}}");
}

void
world_platform_finish (World *w)
{
  g_tree_destroy (w->objects);
}

static char *
vms_json (const World *w)
{
  GString *out = g_string_new ("[");

  for (int32_t i = 0; i < WORLD_NODES; i++)
    g_string_append_printf (
        out,
        "%s{\"name\":\"%s\",\"failure_domain\":\"%s\",\"ip\":\"%s\","
        "\"peer_port\":1,\"state\":\"live\"}",
        i ? "," : "", w->nodes[i].vm, w->nodes[i].domain, w->nodes[i].ip);
  g_string_append (out, "]");
  return g_string_free (out, FALSE);
}

static ScheduledEvent *
schedule_answer (World *w, ScheduledEvent *call, int64_t delay_ms,
                 SsPlatformOutcome outcome)
{
  ScheduledEvent *answer
      = world_schedule (w, SCHEDULED_PLATFORM_ANSWER, delay_ms);

  answer->node = call->node;
  answer->incarnation = call->incarnation;
  answer->action = call->action;
  memset (&call->action, 0, sizeof call->action);
  answer->outcome = outcome;
  answer->revision = w->revision;
  answer->objects = g_ptr_array_new ();
  return answer;
}

void
world_platform_action (World *w, int32_t node, SsAction *action)
{
  ScheduledEvent *scheduled
      = world_schedule (w, SCHEDULED_PLATFORM_CALL, world_random (w, 1, 5));

  scheduled->node = node;
  scheduled->incarnation = w->nodes[node].incarnation;
  scheduled->action = *action;
  memset (action, 0, sizeof *action);
  scheduled->id = (uint64_t) w->clock.now_ms;
}

typedef struct
{
  int64_t since;
  GPtrArray *out;
} NewerObjects;

static gboolean
collect_newer_object (gpointer key, gpointer value, gpointer data)
{
  NewerObjects *n = data;
  const StoredObject *o = value;

  (void) key;
  if (o->version > n->since)
    g_ptr_array_add (n->out, stored_object_copy (o));
  return FALSE;
}

static void
answer_watch (World *w, ScheduledEvent *call)
{
  NewerObjects newer = { call->action.number, NULL };
  ScheduledEvent *scheduled;

  if (w->revision <= call->action.number
      && w->clock.now_ms - (int64_t) call->id < LONG_POLL_MS)
    {
      scheduled = world_schedule (w, SCHEDULED_PLATFORM_CALL, WATCH_CHECK_MS);
      scheduled->node = call->node;
      scheduled->incarnation = call->incarnation;
      scheduled->action = call->action;
      scheduled->id = call->id;
      memset (&call->action, 0, sizeof call->action);
      return;
    }
  scheduled
      = schedule_answer (w, call, world_random (w, 1, 5), SS_PLATFORM_DONE);
  newer.out = scheduled->objects;
  g_tree_foreach (w->objects, collect_newer_object, &newer);
}

/* Returns whether the answer to an update is lost after its execution. */
static bool
loses_put_answer (World *w)
{
  if (w->put_answers_to_lose <= 0)
    return false;
  w->put_answers_to_lose--;
  return true;
}

static void
answer_put (World *w, ScheduledEvent *call)
{
  StoredObject *old = g_tree_lookup (w->objects, call->action.name);
  int64_t version = old ? old->version : 0;
  SsPlatformOutcome outcome = SS_PLATFORM_DONE;
  ScheduledEvent *answer;

  if (version != call->action.number)
    outcome = SS_PLATFORM_CONFLICT;
  else
    store_object (w, call->action.name, call->action.text);
  if (loses_put_answer (w))
    {
      schedule_answer (w, call, CALL_TIMEOUT_MS, SS_PLATFORM_UNKNOWN);
      return;
    }
  old = g_tree_lookup (w->objects, call->action.name);
  answer = schedule_answer (w, call, world_random (w, 1, 5), outcome);
  if (old)
    g_ptr_array_add (answer->objects, stored_object_copy (old));
}

static void
answer_get (World *w, ScheduledEvent *call)
{
  StoredObject *o = g_tree_lookup (w->objects, call->action.name);
  ScheduledEvent *answer
      = schedule_answer (w, call, world_random (w, 1, 5),
                         o ? SS_PLATFORM_DONE : SS_PLATFORM_ABSENT);

  if (o)
    g_ptr_array_add (answer->objects, stored_object_copy (o));
}

static void
answer_call (World *w, ScheduledEvent *call)
{
  bool partitioned = w->domain_partitioned[world_domain_of (call->node)];

  if (partitioned || w->platform_down)
    {
      schedule_answer (w, call, partitioned ? CALL_TIMEOUT_MS : 2,
                       partitioned ? SS_PLATFORM_UNKNOWN : SS_PLATFORM_REFUSED);
      return;
    }
  switch (call->action.kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      answer_watch (w, call);
      break;
    case SS_ACTION_PLATFORM_PUT:
      answer_put (w, call);
      break;
    case SS_ACTION_PLATFORM_GET:
      answer_get (w, call);
      break;
    default:
      schedule_answer (w, call, world_random (w, 1, 5), SS_PLATFORM_DONE);
      break;
    }
}

static void
deliver_objects (World *w, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };
  SsObject *objects = g_new0 (SsObject, scheduled->objects->len + 1);

  for (guint i = 0; i < scheduled->objects->len; i++)
    {
      const StoredObject *o = g_ptr_array_index (scheduled->objects, i);

      objects[i].key = o->key;
      objects[i].version = o->version;
      objects[i].value = o->value;
      objects[i].value_bytes = (uint32_t) strlen (o->value);
    }
  e.platform_objects.outcome = scheduled->outcome;
  e.platform_objects.since = scheduled->action.number;
  e.platform_objects.revision = scheduled->revision;
  e.platform_objects.objects = objects;
  e.platform_objects.object_count = scheduled->objects->len;
  world_deliver (w, scheduled->node, &e);
  g_free (objects);
}

static void
deliver_object (World *w, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECT };
  SsObject *object = &e.platform_object.object;

  e.platform_object.call = scheduled->action.id;
  e.platform_object.outcome = scheduled->outcome;
  object->key = scheduled->action.name;
  if (scheduled->objects->len)
    {
      const StoredObject *o = g_ptr_array_index (scheduled->objects, 0);

      object->version = o->version;
      object->value = o->value;
      object->value_bytes = (uint32_t) strlen (o->value);
    }
  world_deliver (w, scheduled->node, &e);
}

static void
deliver_vms (World *w, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_VMS };
  char *json = vms_json (w);

  if (scheduled->outcome == SS_PLATFORM_DONE)
    {
      e.platform_vms.json = json;
      e.platform_vms.json_bytes = (uint32_t) strlen (json);
    }
  world_deliver (w, scheduled->node, &e);
  g_free (json);
}

void
world_platform_handle (World *w, ScheduledEvent *scheduled)
{
  if (scheduled->incarnation != w->nodes[scheduled->node].incarnation)
    return;
  if (scheduled->kind == SCHEDULED_PLATFORM_CALL)
    answer_call (w, scheduled);
  else if (scheduled->action.kind == SS_ACTION_PLATFORM_WATCH)
    deliver_objects (w, scheduled);
  else if (scheduled->action.kind == SS_ACTION_PLATFORM_VMS)
    deliver_vms (w, scheduled);
  else
    deliver_object (w, scheduled);
}
