#include <stdarg.h>
#include <string.h>

#include "tests/world_internal.h"
#include "xxhash.h"

#define START_MS 100000
#define SETTLE_MS 3000
#define HEAL_MS 12000
#define TICK_MS 5

/* --- time --- */

static int64_t
world_now (const SsClock *clock)
{
  return ((const WorldClock *) clock)->now_ms;
}

static int
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const Item *x = a;
  const Item *y = b;

  (void) data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

Item *
world_add (World *w, ItemKind kind, int64_t delay_ms)
{
  Item *item = g_new0 (Item, 1);

  item->kind = kind;
  item->at_ms = w->clock.now_ms + delay_ms;
  item->sequence = ++w->sequence;
  g_sequence_insert_sorted (w->items, item, compare_items, NULL);
  return item;
}

static void
postpone (World *w, Item *item, int64_t at_ms)
{
  item->at_ms = at_ms;
  g_sequence_insert_sorted (w->items, item, compare_items, NULL);
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

/* --- nodes and their network --- */

int32_t
world_domain_of (int32_t index)
{
  return index / (WORLD_NODES / WORLD_DOMAINS);
}

bool
world_is_cut (const World *w, int32_t a_domain, int32_t b_domain)
{
  return a_domain != b_domain
         && (w->cut_domain[a_domain] || w->cut_domain[b_domain]);
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
  bool doubled = a->is_control && w->params.faults && world_chance (w, 20);
  bool overtakes = a->is_control && w->params.faults && world_chance (w, 50);

  if (to < 0 || !w->nodes[to].alive
      || world_is_cut (w, world_domain_of (from), world_domain_of (to)))
    return;
  for (int32_t i = 0; i < (doubled ? 2 : 1); i++)
    {
      int64_t delay_ms = world_random (w, 1, overtakes ? 40 : 3);
      Item *item;

      if (!overtakes)
        delay_ms = MAX (delay_ms, w->last_ms[from][to] - w->clock.now_ms);
      item = world_add (w, ITEM_MESSAGE, delay_ms);
      if (!overtakes)
        w->last_ms[from][to] = item->at_ms;
      item->node = to;
      item->life = w->nodes[to].life;
      item->other = from;
      item->epoch = w->epochs[from][to];
      item->bytes = g_bytes_ref (a->bytes);
    }
}

static void
tell_lost (World *w, int32_t node, int32_t peer)
{
  Item *item;

  if (!w->nodes[node].alive)
    return;
  item = world_add (w, ITEM_LOST, world_random (w, 1, 5));
  item->node = node;
  item->life = w->nodes[node].life;
  item->other = peer;
}

/* Breaks the connections between two nodes: what is under way is lost. */
static void
break_link (World *w, int32_t a, int32_t b)
{
  w->epochs[a][b]++;
  w->epochs[b][a]++;
  tell_lost (w, a, b);
  tell_lost (w, b, a);
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
take_action (World *w, int32_t node, SsAction *a)
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
check_revision (World *w, WorldNode *n)
{
  const SsGroup *group = ss_config_group (&n->core.config, "g");
  int64_t version = group ? group->version : 0;

  if (version < n->versions_seen)
    world_violation (w, &w->report->reverted, "%s went back to version %d",
                     n->vm, (int) version);
  n->versions_seen = version;
}

void
world_event (World *w, int32_t node, const SsEvent *event)
{
  WorldNode *n = &w->nodes[node];
  SsAction action;

  if (!n->alive)
    return;
  ss_node_on_event (&n->core, event, w->clock.now_ms);
  while (n->alive && ss_node_take_action (&n->core, &action))
    {
      take_action (w, node, &action);
      ss_action_clear (&action);
    }
  check_revision (w, n);
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
  n->life++;
  n->paused_until_ms = 0;
  n->versions_seen = 0;
}

static void
crash_node (World *w, int32_t node)
{
  WorldNode *n = &w->nodes[node];

  if (!n->alive)
    return;
  n->alive = false;
  ss_node_finish (&n->core);
  world_node_gone (w, node);
  world_callers_node_gone (w, node);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    if (i != node)
      break_link (w, node, i);
}

/* --- faults --- */

static void
heal_domains (World *w)
{
  for (int32_t a = 0; a < WORLD_NODES; a++)
    for (int32_t b = 0; b < a; b++)
      if (world_is_cut (w, world_domain_of (a), world_domain_of (b)))
        break_link (w, a, b);
  memset (w->cut_domain, 0, sizeof w->cut_domain);
}

static void
draw_fault (World *w)
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
      w->cut_domain[world_domain_of (node)] = true;
      break;
    case 6:
      heal_domains (w);
      break;
    case 7:
      w->platform_down = !w->platform_down;
      break;
    case 8:
      w->lose_answers = world_random (w, 1, 3);
      break;
    case 9:
      w->servers[server].server.apply_lag_ms = world_random (w, 0, 400);
      break;
    case 10:
      break_link (w, node, (node + 1) % WORLD_NODES);
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
  heal_domains (w);
  w->platform_down = false;
  w->lose_answers = 0;
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
take_fault (World *w)
{
  if (w->clock.now_ms >= w->quiet_ms)
    {
      heal_all (w);
      return;
    }
  draw_fault (w);
  world_add (w, ITEM_FAULT, world_random (w, 100, 1200));
}

/* --- running --- */

static void
take_message (World *w, Item *item)
{
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };
  gsize bytes;

  if (item->life != w->nodes[item->node].life
      || item->epoch != w->epochs[item->other][item->node])
    return;
  e.peer_message.data = g_bytes_get_data (item->bytes, &bytes);
  e.peer_message.data_bytes = (uint32_t) bytes;
  world_event (w, item->node, &e);
}

static void
take_lost (World *w, Item *item)
{
  SsEvent e = { .kind = SS_EVENT_PEER_LOST };

  if (item->life != w->nodes[item->node].life)
    return;
  e.peer_lost.vm = w->nodes[item->other].vm;
  world_event (w, item->node, &e);
}

static void
take_tick (World *w)
{
  SsEvent e = { .kind = SS_EVENT_TICK };

  world_replicate (w);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    {
      WorldNode *n = &w->nodes[i];

      if (n->alive && n->paused_until_ms <= w->clock.now_ms
          && ss_node_next_deadline (&n->core) <= w->clock.now_ms)
        world_event (w, i, &e);
    }
  world_add (w, ITEM_TICK, TICK_MS);
}

/* What is for a paused node waits until it runs again. */
static bool
is_for_paused (const World *w, const Item *item)
{
  switch (item->kind)
    {
    case ITEM_MESSAGE:
    case ITEM_LOST:
    case ITEM_RESULT:
    case ITEM_CLOSED:
    case ITEM_PLATFORM_ANSWER:
      return w->nodes[item->node].paused_until_ms > w->clock.now_ms;
    default:
      return false;
    }
}

static void
take_item (World *w, Item *item)
{
  switch (item->kind)
    {
    case ITEM_MESSAGE:
      take_message (w, item);
      break;
    case ITEM_LOST:
      take_lost (w, item);
      break;
    case ITEM_CONNECT:
    case ITEM_QUERY:
    case ITEM_RESULT:
    case ITEM_CLOSED:
      world_target_item (w, item);
      break;
    case ITEM_PLATFORM:
    case ITEM_PLATFORM_ANSWER:
      world_platform_item (w, item);
      break;
    case ITEM_CALLER:
      world_caller_item (w, item);
      break;
    case ITEM_FAULT:
      take_fault (w);
      break;
    case ITEM_TICK:
    default:
      take_tick (w);
      break;
    }
}

static void
item_free (Item *item)
{
  ss_action_clear (&item->action);
  g_clear_pointer (&item->bytes, g_bytes_unref);
  g_clear_pointer (&item->wire, g_bytes_unref);
  g_free (item->row);
  if (item->objects)
    {
      g_ptr_array_set_free_func (item->objects, world_free_stored);
      g_ptr_array_free (item->objects, TRUE);
    }
  g_free (item);
}

static void
run_until (World *w, int64_t end_ms)
{
  while (!g_sequence_is_empty (w->items))
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (w->items);
      Item *item = g_sequence_get (iter);

      if (item->at_ms > end_ms)
        break;
      g_sequence_remove (iter);
      w->clock.now_ms = item->at_ms;
      if (is_for_paused (w, item))
        {
          postpone (w, item, w->nodes[item->node].paused_until_ms);
          continue;
        }
      take_item (w, item);
      item_free (item);
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
  while (!g_sequence_is_empty (w->items))
    {
      GSequenceIter *iter = g_sequence_get_begin_iter (w->items);
      Item *item = g_sequence_get (iter);

      g_sequence_remove (iter);
      item_free (item);
    }
  g_sequence_free (w->items);
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
  w->clock.klass.now_ms = world_now;
  w->clock.now_ms = START_MS;
  w->params = *params;
  w->report = report;
  w->rand = g_rand_new_with_seed (params->seed);
  w->items = g_sequence_new (NULL);
  w->dialect = *ss_dialect_sql ();
  ss_ledger_init (&w->ledger);
  name_nodes (w);
  world_targets_init (w);
  world_platform_init (w);
  for (int32_t i = 0; i < WORLD_NODES; i++)
    start_node (w, i);
  world_add (w, ITEM_TICK, 0);
  run_until (w, START_MS + SETTLE_MS);
  world_callers_init (w);
  w->quiet_ms = w->clock.now_ms + params->busy_ms;
  if (params->faults)
    world_add (w, ITEM_FAULT, 200);
  run_until (w, w->quiet_ms + 1500);
  run_until (w, w->clock.now_ms + HEAL_MS);
  world_callers_final (w);
  run_until (w, w->clock.now_ms + HEAL_MS);
  world_callers_compare (w);
  finish_world (w);
}

uint64_t
world_violations (const WorldReport *r)
{
  return r->lost + r->doubled + r->stale + r->crossed + r->mixed
         + r->ran_though_not_run + r->reverted + r->late
         + (r->recovered ? 0 : 1);
}
