/* fleet_platform: the platform of the simulation of many VMs: its store, with
 * faulty writes, its watches and its promotion service.
 */
#include <string.h>

#include "tests/fleet_sim_internal.h"

#define STORE_MS 4
#define STORE_TIMEOUT_MS 800
#define PROMOTION_MS 300

static void
stored_free (gpointer data)
{
  Stored *s = data;

  g_free (s->value);
  g_free (s);
}

static void
fill_object (Scheduled *s, SsObject *o, const char *key, const Stored *stored)
{
  o->key = g_string_chunk_insert (s->texts, key);
  o->version = stored->version;
  o->sequence = stored->sequence;
  o->deleted = !stored->value;
  if (o->deleted)
    return;
  o->value = g_string_chunk_insert (s->texts, stored->value);
  o->value_bytes = (uint32_t) strlen (o->value);
}

/* Responds with the objects of WATCH that changed after SINCE (0: all). */
static void
send_objects (FleetSim *sim, FleetVm *vm, SsWatch watch, int64_t since,
              bool listed)
{
  Scheduled *s = fleet_schedule (sim, vm, STORE_MS, SS_EVENT_PLATFORM_OBJECTS);
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  s->objects = g_new0 (SsObject, g_hash_table_size (sim->objects) + 1);
  g_hash_table_iter_init (&iter, sim->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Stored *stored = value;

      if (g_str_has_prefix (key, ss_watch_prefix (watch))
          && stored->version > since && (since || stored->value))
        fill_object (s, &s->objects[count++], key, stored);
    }
  s->event.platform_objects.watch = watch;
  s->event.platform_objects.outcome = SS_PLATFORM_DONE;
  s->event.platform_objects.complete = !since;
  s->event.platform_objects.listed = listed;
  s->event.platform_objects.since = since;
  s->event.platform_objects.revision = sim->version;
  s->event.platform_objects.objects = s->objects;
  s->event.platform_objects.object_count = count;
}

static void
answer_watches (FleetSim *sim, const char *key)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    for (uint32_t j = SS_WATCH_ALL + 1; j < SS_WATCH_COUNT; j++)
      {
        FleetVm *vm = &sim->vms[i];

        if (!vm->up || !vm->watch_since[j] || vm->store != FLEET_STORE_SERVES
            || !g_str_has_prefix (key, ss_watch_prefix ((SsWatch) j)))
          continue;
        send_objects (sim, vm, (SsWatch) j, vm->watch_since[j], false);
        vm->watch_since[j] = 0;
      }
}

/* Whether an object of WATCH has changed after SINCE. */
static bool
has_changes (FleetSim *sim, SsWatch watch, int64_t since)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, ss_watch_prefix (watch))
        && ((const Stored *) value)->version > since)
      return true;
  return false;
}

/* A watch of a VM that the store no longer reaches ends without an answer. */
static void
end_watch (FleetSim *sim, FleetVm *vm, SsWatch watch)
{
  Scheduled *s;

  if (vm->store == FLEET_STORE_SERVES)
    {
      send_objects (sim, vm, watch, vm->watch_since[watch], false);
      return;
    }
  s = fleet_schedule (sim, vm, STORE_MS, SS_EVENT_PLATFORM_OBJECTS);
  s->event.platform_objects.watch = watch;
  s->event.platform_objects.outcome = SS_PLATFORM_UNKNOWN;
  s->event.platform_objects.since = vm->watch_since[watch];
}

void
fleet_expire_watches (FleetSim *sim, FleetVm *vm)
{
  for (uint32_t j = 0; j < SS_WATCH_COUNT; j++)
    if (vm->watch_since[j] && sim->now_ms >= vm->watch_until_ms[j])
      {
        end_watch (sim, vm, (SsWatch) j);
        vm->watch_since[j] = 0;
      }
}

void
fleet_store_put (FleetSim *sim, const char *key, const char *value)
{
  Stored *s = g_new0 (Stored, 1);

  s->version = ++sim->version;
  if (g_str_has_prefix (key, ss_watch_prefix (SS_WATCH_ROUTES)))
    s->sequence = sim->sequence;
  s->value = g_strdup (value);
  g_hash_table_replace (sim->objects, g_strdup (key), s);
  answer_watches (sim, key);
}

void
fleet_put_routes (FleetSim *sim, const char *value, int64_t sequence)
{
  sim->sequence = sequence;
  fleet_store_put (sim, "routes/main", value);
}

static int64_t
stored_version (FleetSim *sim, const char *key)
{
  const Stored *s = g_hash_table_lookup (sim->objects, key);

  return s && s->value ? s->version : 0;
}

static void
answer_object (FleetSim *sim, FleetVm *vm, const SsAction *a,
               SsPlatformOutcome outcome)
{
  Scheduled *s = fleet_schedule (sim, vm, STORE_MS, SS_EVENT_PLATFORM_OBJECT);
  const Stored *stored = g_hash_table_lookup (sim->objects, a->name);

  s->event.platform_object.call = a->id;
  s->event.platform_object.outcome = outcome;
  s->event.platform_object.object.key
      = g_string_chunk_insert (s->texts, a->name);
  s->event.platform_object.object.value = "";
  if (stored && stored->value)
    fill_object (s, &s->event.platform_object.object, a->name, stored);
  else if (outcome == SS_PLATFORM_DONE)
    s->event.platform_object.outcome = SS_PLATFORM_ABSENT;
}

/* --- failing calls --- */

/* A refusal comes at once, no answer shows after the timeout. */
static int64_t
failure_ms (SsPlatformOutcome outcome)
{
  return outcome == SS_PLATFORM_REFUSED ? STORE_MS : STORE_TIMEOUT_MS;
}

static void
fail_objects_call (FleetSim *sim, FleetVm *vm, const SsAction *a,
                   SsPlatformOutcome outcome)
{
  Scheduled *s = fleet_schedule (sim, vm, failure_ms (outcome),
                                 SS_EVENT_PLATFORM_OBJECTS);

  s->event.platform_objects.watch = (SsWatch) a->id;
  s->event.platform_objects.outcome = outcome;
  s->event.platform_objects.since
      = a->kind == SS_ACTION_PLATFORM_WATCH ? a->number : 0;
  s->event.platform_objects.listed = a->kind == SS_ACTION_PLATFORM_LIST;
}

static void
fail_object_call (FleetSim *sim, FleetVm *vm, const SsAction *a,
                  SsPlatformOutcome outcome)
{
  Scheduled *s = fleet_schedule (sim, vm, failure_ms (outcome),
                                 a->kind == SS_ACTION_PLATFORM_PROMOTE
                                     ? SS_EVENT_PLATFORM_PROMOTED
                                     : SS_EVENT_PLATFORM_OBJECT);

  s->event.platform_object.call = a->id;
  s->event.platform_object.outcome = outcome;
  s->event.platform_object.object.key
      = g_string_chunk_insert (s->texts, a->name);
  s->event.platform_object.object.value = "";
}

/* --- faulty writes of promotions --- */

/* A write whose answer is lost and that is executed later, if its condition
 * still holds.
 */
typedef struct
{
  int64_t due_ms;
  char *key;
  char *value;
  int64_t version; /* that it expects */
} LateWrite;

static void
late_write_free (gpointer data)
{
  LateWrite *w = data;

  g_free (w->key);
  g_free (w->value);
  g_free (w);
}

static void
execute_late_writes (FleetSim *sim)
{
  for (GList *l = sim->late_writes.head, *next; l; l = next)
    {
      LateWrite *w = l->data;

      next = l->next;
      if (sim->now_ms < w->due_ms)
        continue;
      if (w->version == stored_version (sim, w->key))
        fleet_store_put (sim, w->key, w->value);
      g_queue_delete_link (&sim->late_writes, l);
      late_write_free (w);
    }
}

static bool
draw (FleetSim *sim, uint32_t permille)
{
  return permille && g_rand_int_range (sim->rand, 0, 1000) < (gint32) permille;
}

static int64_t
draw_ms (FleetSim *sim, int64_t max_ms)
{
  return g_rand_int_range (sim->rand, 1, (gint32) max_ms);
}

static bool
may_write_fail (const FleetWriteFaults *f, const SsAction *a)
{
  return strcmp (a->name, SS_PROMOTE_DUTY_KEY) == 0
         || g_str_has_prefix (a->name, "group/")
         || (f->vm_objects && g_str_has_prefix (a->name, "vm/"));
}

static void
write_late (FleetSim *sim, const SsAction *a)
{
  LateWrite *w = g_new0 (LateWrite, 1);

  w->due_ms = sim->now_ms + draw_ms (sim, sim->write_faults.late_max_ms);
  w->key = g_strdup (a->name);
  w->value = g_strdup (a->text);
  w->version = a->number;
  g_queue_push_tail (&sim->late_writes, w);
}

static void
put (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  const FleetWriteFaults *f = &sim->write_faults;
  bool matches = a->number == stored_version (sim, a->name);
  bool may_fail = may_write_fail (f, a);

  if (may_fail && draw (sim, f->pause_permille))
    vm->paused_until_ms = sim->now_ms + draw_ms (sim, f->pause_max_ms);
  if (may_fail && draw (sim, f->late_permille))
    {
      write_late (sim, a);
      fail_object_call (sim, vm, a, SS_PLATFORM_UNKNOWN);
      return;
    }
  if (matches)
    fleet_store_put (sim, a->name, a->text);
  if (may_fail && draw (sim, f->lost_permille))
    fail_object_call (sim, vm, a, SS_PLATFORM_UNKNOWN);
  else
    answer_object (sim, vm, a,
                   matches ? SS_PLATFORM_DONE : SS_PLATFORM_CONFLICT);
}

static void
delete_object (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  if (!a->number || a->number == stored_version (sim, a->name))
    fleet_store_put (sim, a->name, NULL);
  answer_object (sim, vm, a, SS_PLATFORM_ABSENT);
}

static void
record_call (FleetSim *sim, const FleetVm *vm, uint32_t group,
             int64_t fencing_token)
{
  FleetCall call = { sim->now_ms + vm->call_ms, fencing_token, group,
                     (uint32_t) (vm - sim->vms) };

  g_array_append_val (sim->calls, call);
}

/* Whether SERVER leads the latest term of its group. */
static bool
is_leader (const FleetSim *sim, const FleetServer *server)
{
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    if (sim->servers[server->group * FLEET_SERVERS + i].term > server->term)
      return false;
  return server->role == SS_SERVER_PRIMARY;
}

/* Has CHOSEN lead the next term of its group.  For the present primary nothing
 * changes.
 */
static void
lead (FleetSim *sim, FleetServer *chosen)
{
  if (is_leader (sim, chosen))
    return;
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      const FleetServer *other
          = &sim->servers[chosen->group * FLEET_SERVERS + i];

      chosen->term = MAX (chosen->term, other->term);
    }
  chosen->term++;
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      FleetServer *other = &sim->servers[chosen->group * FLEET_SERVERS + i];

      if (other->partition != chosen->partition)
        continue;
      g_queue_clear_full (&other->receives, g_free);
      other->role = other == chosen ? SS_SERVER_PRIMARY : SS_SERVER_REPLICA;
      other->term = chosen->term;
      other->barred_term = 0;
      other->position = chosen->position;
    }
}

/* A promotion call that is not answered and carried out later. */
typedef struct
{
  int64_t due_ms;
  FleetServer *chosen;
} LateCall;

static void
execute_late_calls (FleetSim *sim)
{
  for (GList *l = sim->late_calls.head, *next; l; l = next)
    {
      LateCall *c = l->data;

      next = l->next;
      if (sim->now_ms < c->due_ms)
        continue;
      lead (sim, c->chosen);
      g_queue_delete_link (&sim->late_calls, l);
      g_free (c);
    }
}

void
fleet_execute_late (FleetSim *sim)
{
  execute_late_writes (sim);
  execute_late_calls (sim);
}

static void
promote_late (FleetSim *sim, FleetServer *chosen)
{
  LateCall *c = g_new0 (LateCall, 1);

  c->due_ms = sim->now_ms + draw_ms (sim, sim->write_faults.call_late_max_ms);
  c->chosen = chosen;
  g_queue_push_tail (&sim->late_calls, c);
}

static void
promote (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  FleetServer *chosen = fleet_find_server (sim, a->text);
  Scheduled *s;

  sim->promotions++;
  record_call (sim, vm, chosen->group, a->number);
  if (draw (sim, sim->write_faults.call_late_permille))
    {
      promote_late (sim, chosen);
      fail_object_call (sim, vm, a, SS_PLATFORM_UNKNOWN);
      return;
    }
  lead (sim, chosen);
  s = fleet_schedule (sim, vm, PROMOTION_MS, SS_EVENT_PLATFORM_PROMOTED);
  s->event.platform_object.call = a->id;
  s->event.platform_object.outcome = SS_PLATFORM_DONE;
}

/* Fails a call on the platform. */
static void
fail_call (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  SsPlatformOutcome outcome = vm->store == FLEET_STORE_REFUSES
                                  ? SS_PLATFORM_REFUSED
                                  : SS_PLATFORM_UNKNOWN;

  if (a->kind == SS_ACTION_PLATFORM_WATCH || a->kind == SS_ACTION_PLATFORM_LIST)
    fail_objects_call (sim, vm, a, outcome);
  else
    fail_object_call (sim, vm, a, outcome);
}

void
fleet_call_platform (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  if (vm->store != FLEET_STORE_SERVES)
    {
      fail_call (sim, vm, a);
      return;
    }
  switch (a->kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      if (!a->number || has_changes (sim, (SsWatch) a->id, a->number))
        {
          send_objects (sim, vm, (SsWatch) a->id, a->number, false);
          break;
        }
      vm->watch_since[a->id] = a->number;
      vm->watch_until_ms[a->id] = sim->now_ms + a->wait_ms;
      break;
    case SS_ACTION_PLATFORM_LIST:
      send_objects (sim, vm, (SsWatch) a->id, 0, true);
      break;
    case SS_ACTION_PLATFORM_PUT:
      put (sim, vm, a);
      break;
    case SS_ACTION_PLATFORM_GET:
      answer_object (sim, vm, a, SS_PLATFORM_DONE);
      break;
    case SS_ACTION_PLATFORM_DELETE:
      delete_object (sim, vm, a);
      break;
    default:
      promote (sim, vm, a);
      break;
    }
}

void
fleet_platform_init (FleetSim *sim)
{
  sim->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stored_free);
  sim->calls = g_array_new (FALSE, FALSE, sizeof (FleetCall));
  g_queue_init (&sim->late_writes);
  g_queue_init (&sim->late_calls);
}

void
fleet_platform_finish (FleetSim *sim)
{
  g_hash_table_destroy (sim->objects);
  g_array_unref (sim->calls);
  g_queue_clear_full (&sim->late_writes, late_write_free);
  g_queue_clear_full (&sim->late_calls, g_free);
}
