#include "tests/fleet_sim_internal.h"

#include <string.h>

#include "core/identity.h"
#include "tests/line_params.h"

#define START_MS 100000
#define SLOTS 4096 /* of the schedule: longer than any delay */
#define SAME_DOMAIN_MS 1
#define OTHER_DOMAIN_MS 8
#define HANDSHAKE_MS 12
#define STATEMENT_MS 10
/* How long a server keeps a connection whose VM has lost power. */
#define LINGER_MS 3000
/* A primary that reaches a later one becomes its replica after this time. */
#define STEP_DOWN_MS 1000

typedef struct
{
  uint64_t id; /* VM, its incarnation and connection */
  FleetServer *server;
  int64_t closes_ms;  /* its VM has lost power; 0: it is open */
  char *organisation; /* that it was opened for, or NULL */
  char status;        /* of its transaction: I or T */
  bool wrote;         /* the open transaction has written */
} Connection;

/* --- schedule --- */

Scheduled *
fleet_schedule (FleetSim *sim, FleetVm *vm, int64_t after_ms, SsEventKind kind)
{
  Scheduled *s = g_new0 (Scheduled, 1);

  s->vm = vm;
  s->incarnation = vm->incarnation;
  s->event.kind = kind;
  s->texts = g_string_chunk_new (64);
  g_queue_push_tail (&sim->schedule[(sim->now_ms + after_ms) % SLOTS], s);
  return s;
}

static void
scheduled_free (gpointer data)
{
  Scheduled *s = data;

  g_string_chunk_free (s->texts);
  g_clear_pointer (&s->bytes, g_bytes_unref);
  g_free (s->objects);
  g_free (s);
}

/* --- servers --- */

FleetServer *
fleet_find_server (FleetSim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->group_count * FLEET_SERVERS; i++)
    if (strcmp (sim->servers[i].name, name) == 0)
      return &sim->servers[i];
  return NULL;
}

static uint64_t
connection_key (const FleetSim *sim, const FleetVm *vm, uint64_t id)
{
  return (uint64_t) (vm - sim->vms) << 48 | (uint64_t) vm->incarnation << 32
         | id;
}

static void
open_connection (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  FleetServer *server = fleet_find_server (sim, a->name);
  Scheduled *s;
  Connection *c;

  if (!server) /* nobody runs there */
    {
      fleet_schedule (sim, vm, 2, SS_EVENT_TARGET_CLOSED)
          ->event.target.connection
          = a->id;
      return;
    }
  server->connects++;
  if (server->partition != vm->server_partition)
    return;
  if (g_rand_int_range (sim->rand, 0, 1000) < (gint32) sim->fail_permille)
    {
      s = fleet_schedule (sim, vm, 2, SS_EVENT_TARGET_CLOSED);
      s->event.target.connection = a->id;
      return;
    }
  if (server->down || server->connections >= sim->max_connections)
    {
      s = fleet_schedule (sim, vm, 2, SS_EVENT_TARGET_CLOSED);
      s->event.target.connection = a->id;
      s->event.target.refused = server->down;
      s->event.target.sqlstate = server->down ? NULL : "53300";
      server->over_cap += server->down ? 0 : 1;
      return;
    }
  server->connections++;
  server->peak = MAX (server->peak, server->connections);
  c = g_new0 (Connection, 1);
  c->id = connection_key (sim, vm, a->id);
  c->organisation = g_strdup (a->organisation);
  c->status = 'I';
  c->server = server;
  g_hash_table_insert (sim->connections, &c->id, c);
  fleet_schedule (sim, vm, sim->handshake_ms ? sim->handshake_ms : HANDSHAKE_MS,
                  SS_EVENT_TARGET_READY)
      ->event.target.connection
      = a->id;
}

static void
close_connection (FleetSim *sim, FleetVm *vm, uint64_t id)
{
  uint64_t key = connection_key (sim, vm, id);
  Connection *c = g_hash_table_lookup (sim->connections, &key);

  if (!c)
    return;
  if (sim->close_ms)
    {
      c->closes_ms = sim->now_ms + sim->close_ms;
      return;
    }
  c->server->connections--;
  g_hash_table_remove (sim->connections, &key);
}

static void
connection_free (gpointer data)
{
  Connection *c = data;

  g_free (c->organisation);
  g_free (c);
}

static const char *
position_text (Scheduled *s, SsPosition p)
{
  char text[48];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
              p.term, p.offset);
  return g_string_chunk_insert (s->texts, text);
}

static void
fill_status (Scheduled *s, const FleetServer *server)
{
  char number[24];

  s->cells[0] = server->role == SS_SERVER_PRIMARY ? "primary" : "replica";
  g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT, server->term);
  s->cells[1] = g_string_chunk_insert (s->texts, number);
  s->cells[2] = position_text (s, server->position);
  g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT, server->barred_term);
  s->cells[3] = g_string_chunk_insert (s->texts, number);
  s->cells[4] = "0";
  s->cells[5] = "0";
  s->cells[6] = "0";
  s->cells[7] = s->cells[2];
  s->result.row = s->cells;
  s->result.row_cells = FLEET_STATUS_CELLS;
}

static void
run_text (FleetServer *server, const char *text, Scheduled *s)
{
  if (strcmp (text, "STATUS") == 0)
    fill_status (s, server);
  else if (strcmp (text, "RESUME") == 0)
    server->barred_term = 0;
  else if (g_str_has_prefix (text, "PAUSE "))
    server->barred_term = g_ascii_strtoull (text + strlen ("PAUSE "), NULL, 10);
  else if (g_str_has_prefix (text, "STEPDOWN ")
           && g_ascii_strtoull (text + strlen ("STEPDOWN "), NULL, 10)
                  > server->term)
    server->role = SS_SERVER_REPLICA;
}

/* Whether C was opened for the organisation whose name starts LABEL. */
static bool
is_own (const char *label, const Connection *c)
{
  const char *end = strchr (label, '-');
  size_t length = end ? (size_t) (end - label) : 0;

  return !length
         || (c->organisation && strlen (c->organisation) == length
             && strncmp (c->organisation, label, length) == 0);
}

/* Has the primary SERVER write an entry, which its replicas receive later. */
static void
commit (FleetSim *sim, FleetServer *server)
{
  FleetServer *group = &sim->servers[server->group * FLEET_SERVERS];

  if (!sim->replicate_ms || server->role != SS_SERVER_PRIMARY)
    return;
  server->position.term = server->term;
  server->position.offset++;
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      FleetEntry *e;

      if (&group[i] == server)
        continue;
      e = g_new (FleetEntry, 1);
      e->position = server->position;
      e->due_ms = sim->now_ms + sim->replicate_ms;
      e->source = (uint32_t) (server - sim->servers);
      g_queue_push_tail (&group[i].receives, e);
    }
}

static void
replicate (FleetSim *sim, FleetServer *server)
{
  FleetEntry *e;

  while ((e = g_queue_peek_head (&server->receives)) && e->due_ms <= sim->now_ms
         && sim->servers[e->source].partition == server->partition
         && server->barred_term <= e->position.term)
    {
      /* It takes nothing from a primary that it has left. */
      if (server->role != SS_SERVER_PRIMARY
          && sim->servers[e->source].term == server->term)
        server->position = e->position;
      g_free (g_queue_pop_head (&server->receives));
    }
}

static void
follow (FleetServer *server, const FleetServer *primary)
{
  server->role = SS_SERVER_REPLICA;
  server->term = primary->term;
  server->position = primary->position;
  server->overtaken_ms = 0;
  g_queue_clear_full (&server->receives, g_free);
}

/* Has SERVER follow a primary of a later term that it reaches: a replica at
 * once, a primary after some time.
 */
static void
step_down (FleetSim *sim, FleetServer *server)
{
  const FleetServer *group = &sim->servers[server->group * FLEET_SERVERS];
  const FleetServer *later = NULL;

  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    if (group[i].role == SS_SERVER_PRIMARY && group[i].term > server->term
        && group[i].partition == server->partition && !group[i].down)
      later = &group[i];
  if (!later || server->down)
    server->overtaken_ms = 0;
  else if (server->role != SS_SERVER_PRIMARY)
    follow (server, later);
  else if (!server->overtaken_ms)
    server->overtaken_ms = sim->now_ms;
  else if (sim->now_ms - server->overtaken_ms >= STEP_DOWN_MS)
    follow (server, later);
}

/* Whether TEXT commits a write at a connection with STATUS. */
static bool
commits (const char *text, char status)
{
  return g_str_has_prefix (text, "COMMIT")
         || (status == 'I' && g_str_has_prefix (text, "WRITE"));
}

/* Tells the observer of a commit that a caller asked for. */
static void
note_commit (FleetSim *sim, const Connection *c, const SsAction *a)
{
  bool writes = c->status == 'I' || c->wrote;

  if (sim->observer.committed && a->label && writes
      && commits (a->text, c->status))
    sim->observer.committed (a->label);
}

static int64_t
run_ms (const FleetSim *sim, const SsAction *a)
{
  bool is_callers = a->label || g_str_has_prefix (a->text, "ROLLBACK");

  return is_callers && sim->statement_ms ? sim->statement_ms : STATEMENT_MS;
}

static void
run_query (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  uint64_t key = connection_key (sim, vm, a->id);
  Connection *c = g_hash_table_lookup (sim->connections, &key);
  bool is_refused; /* by a replica */
  Scheduled *s;

  if (!c || c->server->down || c->closes_ms
      || c->server->partition != vm->server_partition)
    return;
  if (a->label && !is_own (a->label, c))
    sim->foreign++;
  is_refused = sim->replicate_ms && commits (a->text, c->status)
               && c->server->role != SS_SERVER_PRIMARY;
  if (commits (a->text, c->status))
    commit (sim, c->server);
  if (!is_refused)
    note_commit (sim, c, a);
  c->wrote
      = c->status == 'T' && (c->wrote || g_str_has_prefix (a->text, "WRITE"));
  if (g_str_has_prefix (a->text, "BEGIN"))
    c->status = 'T';
  else if (g_str_has_prefix (a->text, "COMMIT")
           || g_str_has_prefix (a->text, "ROLLBACK"))
    c->status = 'I';
  s = fleet_schedule (sim, vm, run_ms (sim, a), SS_EVENT_TARGET_RESULT);
  run_text (c->server, a->text, s);
  s->result.ok = !is_refused;
  if (is_refused)
    s->result.fault = SS_TARGET_FAULT_NOT_PRIMARY;
  s->result.transaction_status = c->status;
  s->result.applied = c->server->position;
  s->result.sqlstate = "";
  s->result.tag = "";
  s->bytes = g_bytes_new_static ("x", 1);
  s->result.wire = s->bytes;
  s->event.target_result.connection = a->id;
  s->event.target_result.result = &s->result;
}

/* --- messages --- */

FleetVm *
fleet_find (FleetSim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (strcmp (sim->vms[i].name, name) == 0)
      return &sim->vms[i];
  return NULL;
}

static void
send_message (FleetSim *sim, FleetVm *from, const SsAction *a)
{
  FleetVm *to = fleet_find (sim, a->name);
  Scheduled *s;
  gsize bytes;

  if (!to || !to->up || to->partition != from->partition)
    return;
  s = fleet_schedule (sim, to,
                      strcmp (to->domain, from->domain) == 0 ? SAME_DOMAIN_MS
                                                             : OTHER_DOMAIN_MS,
                      SS_EVENT_PEER_MESSAGE);
  s->bytes = g_bytes_ref (a->bytes);
  s->event.peer_message.data = g_bytes_get_data (s->bytes, &bytes);
  s->event.peer_message.data_bytes = (uint32_t) bytes;
}

static void
count_reply (FleetSim *sim, const SsAction *a)
{
  sim->replied_ms = sim->now_ms;
  sim->ran += a->verdict == SS_VERDICT_RAN ? 1 : 0;
  sim->not_run += a->verdict == SS_VERDICT_RAN ? 0 : 1;
  sim->in_doubt += a->verdict == SS_VERDICT_MAY_HAVE_RUN ? 1 : 0;
  if (a->verdict == SS_VERDICT_RAN)
    return;
  sim->by_reason[a->reason]++;
  if (a->reason == SS_REASON_RATE_LIMIT)
    {
      sim->rate_limited++;
      sim->retry_after_ms = a->retry_after_ms;
    }
  else
    sim->failed++;
}

static void
carry_out (FleetSim *sim, FleetVm *vm, const SsAction *a)
{
  switch (a->kind)
    {
    case SS_ACTION_PEER_SEND:
      send_message (sim, vm, a);
      break;
    case SS_ACTION_TARGET_CONNECT:
      open_connection (sim, vm, a);
      break;
    case SS_ACTION_TARGET_QUERY:
      run_query (sim, vm, a);
      break;
    case SS_ACTION_TARGET_CLOSE:
      close_connection (sim, vm, a->id);
      break;
    case SS_ACTION_CALLER_REPLY:
      count_reply (sim, a);
      break;
    case SS_ACTION_STOPPED:
      vm->stopped = true;
      break;
    case SS_ACTION_PLATFORM_WATCH:
    case SS_ACTION_PLATFORM_LIST:
    case SS_ACTION_PLATFORM_GET:
    case SS_ACTION_PLATFORM_PUT:
    case SS_ACTION_PLATFORM_DELETE:
    case SS_ACTION_PLATFORM_PROMOTE:
      fleet_call_platform (sim, vm, a);
      break;
    default:
      break;
    }
}

static void
feed (FleetSim *sim, FleetVm *vm, const SsEvent *e)
{
  SsAction a;

  ss_node_on_event (&vm->node, e, sim->now_ms + vm->clock_offset_ms);
  while (ss_node_take_action (&vm->node, &a))
    {
      bool is_caller = a.kind == SS_ACTION_CALLER_REPLY
                       || a.kind == SS_ACTION_CALLER_CLOSE;

      if (is_caller && sim->observer.caller)
        sim->observer.caller ((uint32_t) (vm - sim->vms), &a);
      carry_out (sim, vm, &a);
      ss_action_clear (&a);
    }
}

static void
deliver (FleetSim *sim, Scheduled *s)
{
  FleetVm *vm = s->vm;

  if (vm->up && s->incarnation == vm->incarnation
      && vm->paused_until_ms > sim->now_ms)
    {
      int64_t after_ms = MIN (vm->paused_until_ms - sim->now_ms, SLOTS - 1);

      g_queue_push_tail (&sim->schedule[(sim->now_ms + after_ms) % SLOTS], s);
      return;
    }
  if (vm->up && s->incarnation == vm->incarnation)
    feed (sim, vm, &s->event);
  scheduled_free (s);
}

static void
tick_vm (FleetSim *sim, FleetVm *vm)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };

  if (!vm->up || vm->paused_until_ms > sim->now_ms)
    return;
  fleet_expire_watches (sim, vm);
  if (ss_node_next_deadline (&vm->node) <= sim->now_ms + vm->clock_offset_ms)
    feed (sim, vm, &tick);
}

static gboolean
is_closed (gpointer key, gpointer value, gpointer data)
{
  Connection *c = value;
  const FleetSim *sim = data;

  (void) key;
  if (!c->closes_ms || sim->now_ms < c->closes_ms)
    return FALSE;
  c->server->connections--;
  return TRUE;
}

void
fleet_advance (FleetSim *sim, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    {
      GQueue due;
      Scheduled *s;

      sim->now_ms++;
      fleet_execute_late (sim);
      due = sim->schedule[sim->now_ms % SLOTS];
      g_queue_init (&sim->schedule[sim->now_ms % SLOTS]);
      while ((s = g_queue_pop_head (&due)))
        deliver (sim, s);
      for (uint32_t j = 0; j < sim->group_count * FLEET_SERVERS; j++)
        {
          replicate (sim, &sim->servers[j]);
          step_down (sim, &sim->servers[j]);
        }
      for (uint32_t j = 0; j < sim->vm_count; j++)
        {
          tick_vm (sim, &sim->vms[j]);
          if (sim->vms[j].up && sim->vms[j].stopped)
            fleet_stop (sim, j);
        }
      g_hash_table_foreach_remove (sim->connections, is_closed, sim);
    }
}

/* --- start and stop --- */

void
fleet_start (FleetSim *sim, uint32_t index)
{
  FleetVm *vm = &sim->vms[index];
  SsNodeParams params;

  line_params_init (&params, vm->name, vm->domain,
                    sim->seed * FLEET_VMS_MAX + index);
  params.timing.tick_busy_ms = 10;
  params.timing.tick_idle_ms = 25;
  params.timing.heartbeat_ms = 250;
  params.timing.report_idle_ms = 500;
  params.timing.report_min_ms = 300;
  vm->up = true;
  vm->incarnation++;
  vm->sessions = 0;
  vm->stopped = false;
  memset (vm->watch_since, 0, sizeof vm->watch_since);
  ss_node_init (&vm->node, &params, sim->now_ms + vm->clock_offset_ms);
}

void
fleet_stop (FleetSim *sim, uint32_t index)
{
  FleetVm *vm = &sim->vms[index];
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Connection *c = value;

      if (c->id >> 48 == index && !c->closes_ms)
        c->closes_ms = sim->now_ms + LINGER_MS;
    }
  vm->up = false;
  ss_node_finish (&vm->node);
}

void
fleet_terminate (FleetSim *sim, uint32_t vm)
{
  SsEvent e = { .kind = SS_EVENT_STOP };

  feed (sim, &sim->vms[vm], &e);
}

static void
format_key (char *out, size_t bytes, uint32_t organisation)
{
  g_snprintf (out, bytes, "key-%u", organisation);
}

static void
append_organisations (FleetSim *sim, GString *text)
{
  if (!sim->organisation_count)
    return;
  g_string_append (text, ",\"organisations\":{");
  for (uint32_t i = 0; i < sim->organisation_count; i++)
    {
      char digest[SS_KEY_DIGEST_BYTES];
      char key[24];

      format_key (key, sizeof key, i);
      ss_identity_digest (key, digest);
      g_string_append_printf (text, "%s\"o%u\":{\"key_digests\":[\"%s\"]}",
                              i ? "," : "", i, digest);
    }
  g_string_append (text, "}");
}

static void
store_routes (FleetSim *sim)
{
  GString *text = g_string_new ("{\"services\":{");

  for (uint32_t i = 0; i < sim->group_count; i++)
    g_string_append_printf (
        text,
        "%s\"s%u\":{\"group\":\"g%u\",\"default_kind\":\"b\","
        "\"timeout_ms\":1000,\"kinds\":{\"b\":{\"staleness_ms\":1500}}}",
        i ? "," : "", i, i);
  g_string_append (text, "},\"groups\":{");
  for (uint32_t i = 0; i < sim->group_count; i++)
    g_string_append_printf (text, "%s\"g%u\":{\"max_connections\":%u}",
                            i ? "," : "", i, sim->max_connections);
  g_string_append (text, "}");
  if (sim->organisations)
    g_string_append_printf (text, ",\"organisations\":%s", sim->organisations);
  else
    append_organisations (sim, text);
  g_string_append (text, "}");
  fleet_store_put (sim, "routes/main", text->str);
  g_string_free (text, TRUE);
}

static void
put_target (FleetSim *sim, uint32_t index, bool draining)
{
  FleetServer *s = &sim->servers[index];
  char key[32];
  char *value;

  g_snprintf (key, sizeof key, "target/%s", s->name);
  value = g_strdup_printf (
      "{\"group\":\"g%u\",\"ip\":\"10.1.0.%u\","
      "\"port\":1,\"failure_domain\":\"%s\",\"slots\":4%s}",
      s->group, index + 1, s->domain, draining ? ",\"draining\":true" : "");
  fleet_store_put (sim, key, value);
  g_free (value);
}

void
fleet_drain (FleetSim *sim, uint32_t index, bool draining)
{
  put_target (sim, index, draining);
}

void
fleet_list_empty_address (FleetSim *sim, const char *name, uint32_t group)
{
  char *key = g_strconcat ("target/", name, NULL);
  char *value
      = g_strdup_printf ("{\"group\":\"g%u\",\"ip\":\"10.9.0.1\",\"port\":%u,"
                         "\"failure_domain\":\"d0\",\"slots\":4}",
                         group, 1 + g_str_hash (name) % 60000);

  fleet_store_put (sim, key, value);
  g_free (value);
  g_free (key);
}

void
fleet_list_target (FleetSim *sim, uint32_t index)
{
  put_target (sim, index, false);
}

static bool
is_inside (const char *domain, uint32_t domains)
{
  return (domains >> (uint32_t) (domain[1] - '0') & 1) != 0;
}

void
fleet_cut (FleetSim *sim, uint32_t domains, bool store_inside)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    {
      FleetVm *vm = &sim->vms[i];
      bool inside = is_inside (vm->domain, domains);

      vm->partition = inside ? 1 : 0;
      vm->server_partition = vm->partition;
      vm->store = domains && inside != store_inside ? FLEET_STORE_SILENT
                                                    : FLEET_STORE_SERVES;
    }
  for (uint32_t i = 0; i < sim->group_count * FLEET_SERVERS; i++)
    sim->servers[i].partition = is_inside (sim->servers[i].domain, domains);
}

const char *
fleet_object (FleetSim *sim, const char *key)
{
  const Stored *s = g_hash_table_lookup (sim->objects, key);

  return s ? s->value : NULL;
}

void
fleet_remove_target (FleetSim *sim, uint32_t index)
{
  char key[32];

  g_snprintf (key, sizeof key, "target/%s", sim->servers[index].name);
  fleet_store_put (sim, key, NULL);
}

static void
store_target (FleetSim *sim, uint32_t index)
{
  FleetServer *s = &sim->servers[index];

  s->group = index / FLEET_SERVERS;
  s->role = index % FLEET_SERVERS ? SS_SERVER_REPLICA : SS_SERVER_PRIMARY;
  s->term = 1;
  s->position = (SsPosition){ 1, 0 };
  g_snprintf (s->name, sizeof s->name, "t%u", index);
  g_snprintf (s->domain, sizeof s->domain, "d%u", index % FLEET_SERVERS);
  put_target (sim, index, false);
}

void
fleet_add_group (FleetSim *sim)
{
  uint32_t first = sim->group_count++ * FLEET_SERVERS;

  store_routes (sim);
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    store_target (sim, first + i);
}

void
fleet_init (FleetSim *sim, uint32_t seed, uint32_t vms, uint32_t groups)
{
  memset (sim, 0, sizeof *sim);
  sim->seed = seed;
  sim->now_ms = START_MS;
  sim->vm_count = vms;
  sim->group_count = groups;
  sim->max_connections = 57;
  fleet_platform_init (sim);
  sim->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            connection_free);
  sim->rand = g_rand_new_with_seed (seed);
  sim->schedule = g_new0 (GQueue, SLOTS);
  store_routes (sim);
  for (uint32_t i = 0; i < groups * FLEET_SERVERS; i++)
    store_target (sim, i);
  for (uint32_t i = 0; i < vms; i++)
    {
      FleetVm *vm = &sim->vms[i];

      g_snprintf (vm->name, sizeof vm->name, "vm%03u", i);
      g_snprintf (vm->domain, sizeof vm->domain, "d%u", i % FLEET_DOMAINS);
      vm->clock_offset_ms = (int64_t) i * 1000;
      fleet_start (sim, i);
    }
  fleet_advance (sim, FLEET_SETTLE_MS);
}

void
fleet_finish (FleetSim *sim)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up)
      ss_node_finish (&sim->vms[i].node);
  for (uint32_t i = 0; i < SLOTS; i++)
    g_queue_clear_full (&sim->schedule[i], scheduled_free);
  for (uint32_t i = 0; i < sim->group_count * FLEET_SERVERS; i++)
    g_queue_clear_full (&sim->servers[i].receives, g_free);
  g_free (sim->schedule);
  g_hash_table_destroy (sim->connections);
  g_free (sim->organisations);
  g_rand_free (sim->rand);
  fleet_platform_finish (sim);
}

/* --- callers --- */

void
fleet_open (FleetSim *sim)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    for (uint32_t g = 0; sim->vms[i].up && g < sim->group_count; g++)
      {
        SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
        char service[16];

        g_snprintf (service, sizeof service, "s%u", g);
        e.caller_open.caller = ++sim->vms[i].sessions;
        e.caller_open.service = service;
        e.caller_open.user = "";
        e.caller_open.key = sim->key;
        feed (sim, &sim->vms[i], &e);
      }
}

void
fleet_add_organisations (FleetSim *sim, uint32_t count)
{
  sim->organisation_count = count;
  store_routes (sim);
}

uint64_t
fleet_connect (FleetSim *sim, uint32_t vm, uint32_t group,
               uint32_t organisation)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
  uint32_t ran = sim->ran;
  char service[16];
  char key[24];

  g_snprintf (service, sizeof service, "s%u", group);
  format_key (key, sizeof key, organisation);
  e.caller_open.caller = ++sim->vms[vm].sessions;
  e.caller_open.service = service;
  e.caller_open.user = "";
  e.caller_open.key = key;
  feed (sim, &sim->vms[vm], &e);
  sim->ran = ran; /* counts statements only */
  return e.caller_open.caller;
}

void
fleet_disconnect (FleetSim *sim, uint32_t vm, uint64_t caller)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CLOSE };

  e.caller.caller = caller;
  feed (sim, &sim->vms[vm], &e);
}

void
fleet_send (FleetSim *sim, uint32_t vm, uint64_t caller, uint32_t organisation,
            const char *text)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };
  char label[40];

  g_snprintf (label, sizeof label, "o%u-%s-%u", organisation, sim->vms[vm].name,
              ++sim->vms[vm].statements);
  e.caller_statement.caller = caller;
  e.caller_statement.label = label;
  e.caller_statement.sql = text;
  feed (sim, &sim->vms[vm], &e);
}

void
fleet_cancel (FleetSim *sim, uint32_t vm, uint64_t caller)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CANCEL };

  e.caller.caller = caller;
  feed (sim, &sim->vms[vm], &e);
}

void
fleet_set_organisations (FleetSim *sim, const char *json)
{
  g_free (sim->organisations);
  sim->organisations = g_strdup (json);
  store_routes (sim);
}

/* --- views --- */

uint32_t
fleet_owned (FleetSim *sim, uint32_t index)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    {
      const SsOwnedTarget *o
          = sim->vms[i].up
                ? ss_owner_find (&sim->vms[i].node, sim->servers[index].name)
                : NULL;

      if (o && o->active)
        count += o->connections->len + (o->control ? 1 : 0);
    }
  return count;
}

SsGroup *
fleet_group (FleetSim *sim, uint32_t vm, uint32_t group)
{
  char name[16];

  g_snprintf (name, sizeof name, "g%u", group);
  return ss_config_group (&sim->vms[vm].node.config, name);
}

bool
fleet_lease_holds (FleetSim *sim, uint32_t vm, uint32_t group)
{
  FleetVm *v = &sim->vms[vm];
  SsGroup *g = fleet_group (sim, vm, group);
  int64_t before_ms = v->node.now_ms;
  bool holds;

  if (!v->up || !g)
    return false;
  v->node.now_ms = sim->now_ms + v->clock_offset_ms;
  holds = ss_lease_holds (&v->node, g);
  v->node.now_ms = before_ms;
  return holds;
}

const char *
fleet_primary (FleetSim *sim, uint32_t group)
{
  char key[32];
  const Stored *s;

  g_snprintf (key, sizeof key, "group/g%u", group);
  s = g_hash_table_lookup (sim->objects, key);
  if (!s || !s->value)
    return "";
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      const char *name = sim->servers[group * FLEET_SERVERS + i].name;
      char quoted[24];

      g_snprintf (quoted, sizeof quoted, "\"%s\"", name);
      if (strstr (s->value, quoted))
        return name;
    }
  return "";
}

uint64_t
fleet_calls (const FleetSim *sim, SsPlatformPurpose purpose)
{
  uint64_t calls = 0;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    for (uint32_t j = 0; sim->vms[i].up && j < SS_WATCH_COUNT; j++)
      calls += sim->vms[i].node.platform_calls.calls[purpose][j];
  return calls;
}

uint64_t
fleet_bytes (const FleetSim *sim, SsTrafficKind kind)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up)
      bytes += sim->vms[i].node.traffic.bytes[kind][SS_TRAFFIC_OTHER_DOMAIN];
  return bytes;
}
