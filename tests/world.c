#include <stdarg.h>
#include <string.h>

#include "tests/world_internal.h"
#include "xxhash.h"

#define START_MS 100000
#define SETTLE_MS 3000
#define RECOVERY_MS 12000
#define TICK_MS 5

/* --- schedule --- */

static int64_t
world_now (const SsClock *clock)
{
  return ((const WorldClock *) clock)->now_ms;
}

static int
compare_scheduled (gconstpointer a, gconstpointer b, gpointer data)
{
  const ScheduledEvent *x = a;
  const ScheduledEvent *y = b;

  (void) data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

ScheduledEvent *
world_schedule (World *w, ScheduledKind kind, int64_t delay_ms)
{
  ScheduledEvent *scheduled = g_new0 (ScheduledEvent, 1);

  scheduled->kind = kind;
  scheduled->at_ms = w->clock.now_ms + delay_ms;
  scheduled->sequence = ++w->sequence;
  g_sequence_insert_sorted (w->schedule, scheduled, compare_scheduled, NULL);
  return scheduled;
}

static void
postpone (World *w, ScheduledEvent *scheduled, int64_t at_ms)
{
  scheduled->at_ms = at_ms;
  g_sequence_insert_sorted (w->schedule, scheduled, compare_scheduled, NULL);
}

int32_t
world_random (World *w, int32_t from, int32_t to)
{
  return g_rand_int_range (w->rand, from, to + 1);
}

bool
world_chance (World *w, int32_t per_mille)
{
  return g_rand_int_range (w->rand, 0, 1000) < per_mille;
}

void
world_violation (World *w, uint64_t *counter, const char *format, ...)
{
  va_list args;

  (*counter)++;
  if (*w->report->first_violation)
    return;
  va_start (args, format);
  g_vsnprintf (w->report->first_violation, sizeof w->report->first_violation,
               format, args);
  va_end (args);
}

/* --- nodes and network --- */

int32_t
world_domain_of (int32_t index)
{
  return index / (WORLD_NODES / WORLD_DOMAINS);
}

bool
world_is_partitioned (const World *w, int32_t a_domain, int32_t b_domain)
{
  return a_domain != b_domain
         && (w->domain_partitioned[a_domain]
             || w->domain_partitioned[b_domain]);
}

static int32_t
node_by_name (const World *w, const char *vm)
{
  for (int32_t i = 0; i < WORLD_NODES; i++)
    {
      char seed[24];

      g_snprintf (seed, sizeof seed, "@%s:1", w->nodes[i].ip);
      if (strcmp (w->nodes[i].vm, vm) == 0 || strcmp (seed, vm) == 0)
        return i;
    }
  return -1;
}

static void
send_message (World *w, int32_t from, SsAction *a)
{
  int32_t to = node_by_name (w, a->name);
  bool duplicated = a->is_control && w->params.faults && world_chance (w, 20);
  bool reordered = a->is_control && w->params.faults && world_chance (w, 50);

  if (to < 0 || !w->nodes[to].alive
      || world_is_partitioned (w, world_domain_of (from), world_domain_of (to)))
    return;
  for (int32_t i = 0; i < (duplicated ? 2 : 1); i++)
    {
      int64_t delay_ms = world_random (w, 1, reordered ? 40 : 3);
      ScheduledEvent *scheduled;

      if (!reordered)
        delay_ms
            = MAX (delay_ms, w->last_delivery_ms[from][to] - w->clock.now_ms);
      scheduled = world_schedule (w, SCHEDULED_PEER_MESSAGE, delay_ms);
      if (!reordered)
        w->last_delivery_ms[from][to] = scheduled->at_ms;
      scheduled->node = to;
      scheduled->incarnation = w->nodes[to].incarnation;
      scheduled->index = from;
      scheduled->epoch = w->epochs[from][to];
      scheduled->bytes = g_bytes_ref (a->bytes);
    }
}

static void
schedule_peer_lost (World *w, int32_t node, int32_t peer)
{
  ScheduledEvent *scheduled;

  if (!w->nodes[node].alive)
    return;
  scheduled = world_schedule (w, SCHEDULED_PEER_LOST, world_random (w, 1, 5));
  scheduled->node = node;
  scheduled->incarnation = w->nodes[node].incarnation;
  scheduled->index = peer;
}

/* Breaks the connections between two nodes; messages in flight are lost. */
static void
break_connection (World *w, int32_t a, int32_t b)
{
  w->epochs[a][b]++;
  w->epochs[b][a]++;
  schedule_peer_lost (w, a, b);
  schedule_peer_lost (w, b, a);
}

static void
hash_action (World *w, int32_t node, const SsAction *a)
{
  uint64_t h = w->report->actions_hash;
  gsize bytes = 0;
  const void *data = a->bytes ? g_bytes_get_data (a->bytes, &bytes) : "";

  h = XXH3_64bits_withSeed (&node, sizeof node, h + (uint64_t) a->kind);
  h = XXH3_64bits_withSeed (&a->id, sizeof a->id, h);
  if (a->name)
    h = XXH3_64bits_withSeed (a->name, strlen (a->name), h);
  if (a->text)
    h = XXH3_64bits_withSeed (a->text, strlen (a->text), h);
  w->report->actions_hash = XXH3_64bits_withSeed (data, bytes, h);
}

static void
execute_action (World *w, int32_t node, SsAction *a)
{
  hash_action (w, node, a);
  switch (a->kind)
    {
    case SS_ACTION_PEER_SEND:
      send_message (w, node, a);
      break;
    case SS_ACTION_TARGET_CONNECT:
    case SS_ACTION_TARGET_QUERY:
    case SS_ACTION_TARGET_CLOSE:
      world_target_action (w, node, a);
      break;
    case SS_ACTION_PLATFORM_WATCH:
    case SS_ACTION_PLATFORM_GET:
    case SS_ACTION_PLATFORM_PUT:
    case SS_ACTION_PLATFORM_VMS:
      world_platform_action (w, node, a);
      break;
    case SS_ACTION_CALLER_REPLY:
    case SS_ACTION_CALLER_PARAMETER:
    case SS_ACTION_CALLER_CLOSE:
      world_caller_action (w, node, a);
      break;
    case SS_ACTION_LOG:
      if (a->log_event == SS_EVENT_LOG_PROMOTION_DONE)
        w->report->promotions++;
      if (g_getenv ("SS_WORLD_LOG") && a->log_event != SS_EVENT_LOG_SPAN)
        g_printerr ("%" G_GINT64_FORMAT " %s %s %s %s\n", w->clock.now_ms,
                    w->nodes[node].vm, ss_log_event_name (a->log_event),
                    a->name, a->text);
      break;
    default:
      break;
    }
}

static void
check_config_version (World *w, WorldNode *n)
{
  const SsGroup *group = ss_config_group (&n->core.config, "g");
  int64_t version = group ? group->version : 0;

  if (version < n->last_version)
    world_violation (w, &w->report->reverted,
                     "%s returned to configuration version %d", n->vm,
                     (int) version);
  n->last_version = version;
}

void
world_deliver (World *w, int32_t node, const SsEvent *event)
{
  WorldNode *n = &w->nodes[node];
  SsAction action;

  if (!n->alive)
    return;
  ss_node_on_event (&n->core, event, w->clock.now_ms);
  while (n->alive && ss_node_take_action (&n->core, &action))
    {
      execute_action (w, node, &action);
      ss_action_clear (&action);
    }
  check_config_version (w, n);
}

static void
start_node (World *w, int32_t node)
{
  static const char seeds[] = "10.0.0.0:1 10.0.0.2:1 10.0.0.4:1";
  WorldNode *n = &w->nodes[node];
  SsNodeParams params = { 0 };

  params.vm = n->vm;
  params.failure_domain = n->domain;
  params.ip = n->ip;
  params.peer_port = 1;
  params.seeds = seeds;
  params.seed = g_rand_int (w->rand);
  params.deadline_ms = 2000;
  params.transaction_idle_ms = 1500;
  params.stop_bound_ms = 3000;
  ss_node_init (&n->core, &params, w->clock.now_ms);
  n->core.dialect = &w->dialect;
  n->alive = true;
  n->incarnation++;
  n->paused_until_ms = 0;
  n->last_version = 0;
}

static void
crash_node (World *w, int32_t node)
{
  WorldNode *n = &w->nodes[node];

  if (!n->alive)
    return;
  n->alive = false;
  ss_node_finish (&n->core);
  world_close_node_connections (w, node);
  world_callers_node_crashed (w, node);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    if (i != node)
      break_connection (w, node, i);
}

/* --- faults --- */

static void
heal_partitions (World *w)
{
  for (int32_t a = 0; a < WORLD_NODES; a++)
    for (int32_t b = 0; b < a; b++)
      if (world_is_partitioned (w, world_domain_of (a), world_domain_of (b)))
        break_connection (w, a, b);
  memset (w->domain_partitioned, 0, sizeof w->domain_partitioned);
}

static void
inject_random_fault (World *w)
{
  int32_t node = world_random (w, 0, WORLD_NODES - 1);
  int32_t server = world_random (w, 0, WORLD_SERVERS - 1);
  int32_t primary = world_primary (w);

  /* The primary, its failure domain and its owners are hit most often. */
  if (primary >= 0 && world_chance (w, 600))
    {
      server = primary;
      node = primary * (WORLD_NODES / WORLD_DOMAINS) + world_random (w, 0, 1);
    }
  switch (world_random (w, 0, 11))
    {
    case 0:
      w->nodes[node].paused_until_ms
          = w->clock.now_ms + world_random (w, 200, 4000);
      break;
    case 1:
      crash_node (w, node);
      break;
    case 2:
      if (!w->nodes[node].alive)
        start_node (w, node);
      break;
    case 3:
      w->servers[server].frozen = true;
      break;
    case 4:
      world_server_crash (w, server);
      break;
    case 5:
      w->domain_partitioned[world_domain_of (node)] = true;
      break;
    case 6:
      heal_partitions (w);
      break;
    case 7:
      w->platform_down = !w->platform_down;
      break;
    case 8:
      w->put_answers_to_lose = world_random (w, 1, 3);
      break;
    case 9:
      w->servers[server].server.apply_lag_ms = world_random (w, 0, 400);
      break;
    case 10:
      break_connection (w, node, (node + 1) % WORLD_NODES);
      break;
    default:
      for (int32_t i = 0; i < WORLD_SERVERS; i++)
        {
          w->servers[i].frozen = false;
          world_server_restart (w, i);
        }
      break;
    }
}

static void
heal_all (World *w)
{
  heal_partitions (w);
  w->platform_down = false;
  w->put_answers_to_lose = 0;
  for (int32_t i = 0; i < WORLD_NODES; i++)
    {
      w->nodes[i].paused_until_ms = 0;
      if (!w->nodes[i].alive)
        start_node (w, i);
    }
  for (int32_t i = 0; i < WORLD_SERVERS; i++)
    {
      w->servers[i].frozen = false;
      world_server_restart (w, i);
    }
}

static void
handle_fault (World *w)
{
  if (w->clock.now_ms >= w->faults_end_ms)
    {
      heal_all (w);
      return;
    }
  inject_random_fault (w);
  world_schedule (w, SCHEDULED_FAULT, world_random (w, 100, 1200));
}

/* --- dispatch --- */

static void
handle_peer_message (World *w, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };
  gsize bytes;

  if (scheduled->incarnation != w->nodes[scheduled->node].incarnation
      || scheduled->epoch != w->epochs[scheduled->index][scheduled->node])
    return;
  e.peer_message.data = g_bytes_get_data (scheduled->bytes, &bytes);
  e.peer_message.data_bytes = (uint32_t) bytes;
  world_deliver (w, scheduled->node, &e);
}

static void
handle_peer_lost (World *w, ScheduledEvent *scheduled)
{
  SsEvent e = { .kind = SS_EVENT_PEER_LOST };

  if (scheduled->incarnation != w->nodes[scheduled->node].incarnation)
    return;
  e.peer_lost.vm = w->nodes[scheduled->index].vm;
  world_deliver (w, scheduled->node, &e);
}

static void
handle_tick (World *w)
{
  SsEvent e = { .kind = SS_EVENT_TICK };

  world_replicate (w);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    {
      WorldNode *n = &w->nodes[i];

      if (n->alive && n->paused_until_ms <= w->clock.now_ms
          && ss_node_next_deadline (&n->core) <= w->clock.now_ms)
        world_deliver (w, i, &e);
    }
  world_schedule (w, SCHEDULED_TICK, TICK_MS);
}

/* Returns whether the event is for a paused node; it is then delivered when the
 * node resumes.
 */
static bool
is_for_paused_node (const World *w, const ScheduledEvent *scheduled)
{
  switch (scheduled->kind)
    {
    case SCHEDULED_PEER_MESSAGE:
    case SCHEDULED_PEER_LOST:
    case SCHEDULED_TARGET_RESULT:
    case SCHEDULED_TARGET_CLOSED:
    case SCHEDULED_PLATFORM_ANSWER:
      return w->nodes[scheduled->node].paused_until_ms > w->clock.now_ms;
    default:
      return false;
    }
}

static void
handle_scheduled (World *w, ScheduledEvent *scheduled)
{
  switch (scheduled->kind)
    {
    case SCHEDULED_PEER_MESSAGE:
      handle_peer_message (w, scheduled);
      break;
    case SCHEDULED_PEER_LOST:
      handle_peer_lost (w, scheduled);
      break;
    case SCHEDULED_TARGET_CONNECT:
    case SCHEDULED_TARGET_QUERY:
    case SCHEDULED_TARGET_RESULT:
    case SCHEDULED_TARGET_CLOSED:
      world_target_handle (w, scheduled);
      break;
    case SCHEDULED_PLATFORM_CALL:
    case SCHEDULED_PLATFORM_ANSWER:
      world_platform_handle (w, scheduled);
      break;
    case SCHEDULED_CALLER_STEP:
      world_caller_handle (w, scheduled);
      break;
    case SCHEDULED_FAULT:
      handle_fault (w);
      break;
    case SCHEDULED_TICK:
    default:
      handle_tick (w);
      break;
    }
}

static void
scheduled_free (ScheduledEvent *scheduled)
{
  ss_action_clear (&scheduled->action);
  g_clear_pointer (&scheduled->bytes, g_bytes_unref);
  g_clear_pointer (&scheduled->wire, g_bytes_unref);
  g_free (scheduled->row);
  if (scheduled->objects)
    {
      g_ptr_array_set_free_func (scheduled->objects, world_stored_object_free);
      g_ptr_array_free (scheduled->objects, TRUE);
    }
  g_free (scheduled);
}

static void
run_until (World *w, int64_t end_ms)
{
  while (!g_sequence_is_empty (w->schedule))
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (w->schedule);
      ScheduledEvent *scheduled = g_sequence_get (iter);

      if (scheduled->at_ms > end_ms)
        break;
      g_sequence_remove (iter);
      w->clock.now_ms = scheduled->at_ms;
      if (is_for_paused_node (w, scheduled))
        {
          postpone (w, scheduled, w->nodes[scheduled->node].paused_until_ms);
          continue;
        }
      handle_scheduled (w, scheduled);
      scheduled_free (scheduled);
    }
  w->clock.now_ms = end_ms;
}

static void
name_nodes (World *w)
{
  for (int32_t i = 0; i < WORLD_NODES; i++)
    {
      WorldNode *n = &w->nodes[i];

      g_snprintf (n->domain, sizeof n->domain, "d%d", world_domain_of (i));
      g_snprintf (n->vm, sizeof n->vm, "vm%d", i);
      g_snprintf (n->ip, sizeof n->ip, "10.0.0.%d", i);
    }
}

static void
finish_world (World *w)
{
  for (int32_t i = 0; i < WORLD_NODES; i++)
    if (w->nodes[i].alive)
      ss_node_finish (&w->nodes[i].core);
  while (!g_sequence_is_empty (w->schedule))
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (w->schedule);
      ScheduledEvent *scheduled = g_sequence_get (iter);

      g_sequence_remove (iter);
      scheduled_free (scheduled);
    }
  g_sequence_free (w->schedule);
  world_targets_finish (w);
  world_platform_finish (w);
  g_hash_table_destroy (w->sessions);
  ss_ledger_finish (&w->ledger);
  g_rand_free (w->rand);
  g_free (w);
}

void
world_run (const WorldParams *params, WorldReport *report)
{
  World *w = g_new0 (World, 1);

  memset (report, 0, sizeof *report);
  w->clock.base.now_ms = world_now;
  w->clock.now_ms = START_MS;
  w->params = *params;
  w->report = report;
  w->rand = g_rand_new_with_seed (params->seed);
  w->schedule = g_sequence_new (NULL);
  w->dialect = *ss_dialect_sql ();
  ss_ledger_init (&w->ledger);
  name_nodes (w);
  world_targets_init (w);
  world_platform_init (w);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    start_node (w, i);
  world_schedule (w, SCHEDULED_TICK, 0);
  run_until (w, START_MS + SETTLE_MS);
  world_callers_init (w);
  w->faults_end_ms = w->clock.now_ms + params->busy_ms;
  if (params->faults)
    world_schedule (w, SCHEDULED_FAULT, 200);
  run_until (w, w->faults_end_ms + 1500);
  run_until (w, w->clock.now_ms + RECOVERY_MS);
  world_callers_start_final_write (w);
  run_until (w, w->clock.now_ms + RECOVERY_MS);
  world_callers_check_rows (w);
  finish_world (w);
}

uint64_t
world_violations (const WorldReport *r)
{
  return r->lost + r->doubled + r->stale + r->crossed + r->mixed
         + r->ran_though_not_run + r->reverted + r->late
         + (r->recovered ? 0 : 1);
}
