#include "tests/cluster/faults.h"

#include <string.h>

#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"
#include "tests/world/store.h"
#include "tests/world/vms.h"

#define FAULTS_MIN 5
#define FAULTS_MAX 11
#define ONE_WAY_PERCENT 15
#define ALL_VMS ((1U << WORLD_VMS) - 1)
#define ALL_SERVERS (((1U << CLUSTER_SERVERS) - 1) << WORLD_VMS)
#define PLATFORM (1U << CLUSTER_NODE_PLATFORM)
#define DRAIN_MS 7000
#define BLINK_MIN_MS 100
#define BLINK_MAX_MS 2000
#define SLOW_FACTOR 25
#define STATUS_DELAY_MS 700
#define LAG_FACTOR 50
#define STORE_SLOW_MS 250
/* Of the writes, in hundredths. */
#define LOST_PERCENT 30
#define LATE_PERCENT 15

typedef struct Fault Fault;

typedef struct
{
  const char *name;
  int32_t min_ms;
  int32_t max_ms;
  void (*begin) (Fault *f);
  void (*end) (Fault *f);
  void (*tick) (Fault *f); /* while it lasts; NULL: nothing */
} FaultKind;

struct Fault
{
  const FaultKind *kind;
  int64_t at_ms;
  int64_t for_ms;
  uint32_t dice;
  bool begun;
  bool ended;
  uint32_t vms; /* bit set */
  uint32_t server;
  uint32_t from; /* bit sets of the nodes on the two sides of a cut */
  uint32_t to;
  bool one_way;
  bool is_cut;       /* of a link that comes and goes */
  int64_t change_ms; /* when it does so next */
  GRand *rand;
  Fault *second; /* another cut at the same time; owned */
};

/* Bit sets of VMs. */
static gint busy_for;
static gint slow_for;
static gint lossy;
/* A VM that asks for a promotion and is to be cut off. */
#define PROMOTER_NONE (-1)
#define PROMOTER_WANTED (-2)
static gint promoter = PROMOTER_NONE;
/* A group whose object is written and whose owner is to be cut off; as above.
 */
static gint written_group = PROMOTER_NONE;
static GRand *store_rand;
static GMutex store_lock;
static GArray *faults;

/* --- cuts --- */

static void
change_links (const Fault *f, void (*change) (uint32_t from, uint32_t to))
{
  for (uint32_t i = 0; i < CLUSTER_NODES; i++)
    for (uint32_t j = 0; j < CLUSTER_NODES; j++)
      {
        if (i == j || !(f->from & 1U << i) || !(f->to & 1U << j))
          continue;
        change (i, j);
        if (!f->one_way)
          change (j, i);
      }
}

static void
cut (Fault *f, uint32_t from, uint32_t to)
{
  f->from = from;
  f->to = to & ~from;
  f->one_way = f->dice % 100 < ONE_WAY_PERCENT && !(from & PLATFORM);
  change_links (f, cluster_links_cut);
  world_record ("cut of %06x from %06x%s", f->from, f->to,
                f->one_way ? ", one way" : "");
}

static void
heal (Fault *f)
{
  change_links (f, cluster_links_heal);
  world_record ("end of the cut of %06x from %06x", f->from, f->to);
}

static uint32_t
vm_bit (const Fault *f)
{
  return 1U << f->dice / 100 % WORLD_VMS;
}

static uint32_t
server_bit (uint32_t server)
{
  return 1U << CLUSTER_NODE_SERVER (server);
}

static uint32_t
pick_primary (const Fault *f)
{
  return cluster_servers_primary (f->dice / 100 % CLUSTER_GROUPS);
}

static void
cut_vm (Fault *f)
{
  cut (f, vm_bit (f), ALL_VMS | PLATFORM);
}

/* A VM that the others find and lose again. */
static void
begin_blink (Fault *f)
{
  f->rand = g_rand_new_with_seed (f->dice);
}

static void
tick_blink (Fault *f)
{
  if (world_now_ms () < f->change_ms)
    return;
  f->is_cut = !f->is_cut;
  f->change_ms = world_now_ms ()
                 + g_rand_int_range (f->rand, BLINK_MIN_MS, BLINK_MAX_MS);
  if (f->is_cut)
    cut (f, vm_bit (f), ALL_VMS | (f->dice >> 20 & 1 ? PLATFORM : 0));
  else
    heal (f);
}

static void
end_blink (Fault *f)
{
  if (f->is_cut)
    heal (f);
  g_rand_free (f->rand);
}

/* A VM is cut off while its call for a promotion is on its way: the call
 * arrives once the cut has healed.
 */
static void
begin_cut_promoter (Fault *f)
{
  (void) f;
  g_atomic_int_compare_and_exchange (&promoter, PROMOTER_NONE, PROMOTER_WANTED);
}

static void
tick_cut_promoter (Fault *f)
{
  gint vm = g_atomic_int_get (&promoter);

  if (f->is_cut || vm < 0)
    return;
  f->is_cut = true;
  cut (f, 1U << vm, ALL_VMS | PLATFORM);
  f->at_ms = world_now_ms ();
  g_atomic_int_set (&promoter, PROMOTER_NONE);
}

/* The VMs of a primary's zone are cut off while a write of its group's object
 * is on its way, so that they do not hear of it.
 */
static void
begin_cut_owner (Fault *f)
{
  (void) f;
  g_atomic_int_compare_and_exchange (&written_group, PROMOTER_NONE,
                                     PROMOTER_WANTED);
}

static void
tick_cut_owner (Fault *f)
{
  gint group = g_atomic_int_get (&written_group);
  uint32_t zone;

  if (f->is_cut || group < 0)
    return;
  zone = cluster_servers_zone (cluster_servers_primary ((uint32_t) group));
  f->is_cut = true;
  cut (f, 3U << 2 * zone, ALL_VMS | PLATFORM);
  f->at_ms = world_now_ms ();
  g_atomic_int_set (&written_group, PROMOTER_NONE);
}

static void
end_cut_owner (Fault *f)
{
  g_atomic_int_compare_and_exchange (&written_group, PROMOTER_WANTED,
                                     PROMOTER_NONE);
  if (f->is_cut)
    heal (f);
}

static void
end_cut_promoter (Fault *f)
{
  g_atomic_int_compare_and_exchange (&promoter, PROMOTER_WANTED, PROMOTER_NONE);
  if (f->is_cut)
    heal (f);
}

static void
cut_vm_off (Fault *f)
{
  cut (f, vm_bit (f), ALL_VMS | ALL_SERVERS | PLATFORM);
}

static void
cut_vm_platform (Fault *f)
{
  cut (f, vm_bit (f) | (f->dice >> 8 & ALL_VMS), PLATFORM);
}

static void
cut_vm_servers (Fault *f)
{
  cut (f, vm_bit (f), (f->dice >> 3 & ALL_SERVERS) | server_bit (0));
}

static uint32_t
zone_nodes (uint32_t zone)
{
  uint32_t nodes = 3U << 2 * zone;

  for (uint32_t i = 0; i < CLUSTER_SERVERS; i++)
    if (cluster_servers_zone (i) == zone)
      nodes |= server_bit (i);
  return nodes;
}

static void
cut_zone (Fault *f)
{
  uint32_t nodes = zone_nodes (f->dice / 100 % CLUSTER_ZONES);

  if (f->dice >> 20 & 1)
    nodes |= PLATFORM;
  cut (f, nodes, ALL_VMS | ALL_SERVERS | PLATFORM);
}

static void
cut_primary (Fault *f)
{
  cut (f, server_bit (pick_primary (f)), ALL_VMS | ALL_SERVERS | PLATFORM);
}

static void
cut_primary_replicas (Fault *f)
{
  cut (f, server_bit (pick_primary (f)),
       ALL_SERVERS | (f->dice >> 20 & 1 ? PLATFORM : 0));
}

static void
cut_primary_vms (Fault *f)
{
  cut (f, server_bit (pick_primary (f)),
       (f->dice >> 5 & ALL_VMS) | (f->dice >> 20 & 1 ? PLATFORM : 0));
}

/* A primary and VMs of its zone lose the other VMs and the platform; the other
 * servers are reached from both sides.
 */
static void
cut_primary_side (Fault *f)
{
  uint32_t primary = pick_primary (f);
  uint32_t zone = cluster_servers_zone (primary);
  uint32_t vms = f->dice >> 20 & 1 ? 3U : 1U << (f->dice >> 21 & 1);

  cut (f, server_bit (primary) | vms << 2 * zone, ALL_VMS | PLATFORM);
}

/* Servers of a group lose the platform only: their entries lapse. */
static void
cut_servers_platform (Fault *f)
{
  uint32_t first = f->dice / 100 % CLUSTER_GROUPS * CLUSTER_REPLICAS;
  uint32_t spared = f->dice >> 20 & 3;
  uint32_t servers = 0;

  for (uint32_t i = 0; i < CLUSTER_REPLICAS; i++)
    if (i != spared)
      servers |= server_bit (first + i);
  cut (f, servers, PLATFORM);
}

static void
cut_platform (Fault *f)
{
  cut (f, PLATFORM, ALL_VMS | (f->dice >> 20 & 1 ? ALL_SERVERS : 0));
}

/* --- VMs --- */

static void
kill_vms (Fault *f)
{
  f->vms = vm_bit (f);
  if (strcmp (f->kind->name, "herd_kill") == 0)
    f->vms |= f->dice >> 8 & ALL_VMS;
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_kill_for (i, f->for_ms);
}

static void
stop_vm (Fault *f)
{
  world_vms_terminate (f->dice / 100 % WORLD_VMS);
}

static void
freeze_vms (Fault *f)
{
  f->vms = vm_bit (f);
  if (strcmp (f->kind->name, "herd_freeze") == 0)
    f->vms |= f->dice >> 8 & ALL_VMS;
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_freeze (i);
}

static void
thaw_vms (Fault *f)
{
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (f->vms & 1U << i)
      world_vms_thaw (i);
}

/* --- servers --- */

static void
crash_primary (Fault *f)
{
  f->server = pick_primary (f);
  cluster_servers_crash (f->server);
}

static void
crash_server (Fault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  cluster_servers_crash (f->server);
}

static void
return_server (Fault *f)
{
  cluster_servers_return (f->server);
}

static void
slow_server (Fault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  world_record ("%s is slow", cluster_servers_id (f->server));
  cluster_servers_slow (f->server, SLOW_FACTOR);
}

static void
end_slow (Fault *f)
{
  cluster_servers_slow (f->server, 1);
}

/* Calls CHANGE with the replicas of the fault's group, or with all its servers.
 */
static void
change_group (const Fault *f, bool all,
              void (*change) (uint32_t server, uint32_t value), uint32_t value)
{
  uint32_t first = f->server * CLUSTER_REPLICAS;
  uint32_t primary = cluster_servers_primary (f->server);

  for (uint32_t i = first; i < first + CLUSTER_REPLICAS; i++)
    if (all || i != primary)
      change (i, value);
}

static void
slow_replicas (Fault *f)
{
  f->server = f->dice / 100 % CLUSTER_GROUPS;
  world_record ("the replicas of %s are slow",
                cluster_servers_service (f->server));
  change_group (f, false, cluster_servers_slow, SLOW_FACTOR);
}

static void
end_slow_replicas (Fault *f)
{
  change_group (f, true, cluster_servers_slow, 1);
}

static void
begin_status_delay (Fault *f)
{
  f->server = f->dice / 100 % CLUSTER_GROUPS;
  world_record ("STATUS is late at %s", cluster_servers_service (f->server));
  change_group (f, false, cluster_servers_delay_status, STATUS_DELAY_MS);
}

static void
end_status_delay (Fault *f)
{
  change_group (f, true, cluster_servers_delay_status, 0);
}

/* As cut_primary_side, and the primary loses its replicas, too, while STATUS is
 * late in the group.
 */
static void
begin_late_status_side (Fault *f)
{
  uint32_t primary = pick_primary (f);
  uint32_t zone = cluster_servers_zone (primary);

  f->server = cluster_servers_group (primary);
  f->second = g_new0 (Fault, 1);
  f->second->dice = f->dice;
  cut (f, 3U << 2 * zone, ALL_VMS | PLATFORM);
  cut (f->second, server_bit (primary),
       (ALL_VMS & ~(3U << 2 * zone)) | ALL_SERVERS | PLATFORM);
  change_group (f, false, cluster_servers_delay_status, STATUS_DELAY_MS);
}

static void
end_late_status_side (Fault *f)
{
  change_group (f, true, cluster_servers_delay_status, 0);
  heal (f);
  heal (f->second);
  g_free (f->second);
}

static void
lag_server (Fault *f)
{
  f->server = f->dice / 100 % CLUSTER_FIRST_SERVERS;
  world_record ("%s lags", cluster_servers_id (f->server));
  cluster_servers_lag (f->server, LAG_FACTOR);
}

static void
end_lag (Fault *f)
{
  cluster_servers_lag (f->server, 1);
}

static void
replace (Fault *f, uint32_t server)
{
  f->server = server;
  if (!cluster_servers_replace (server))
    f->ended = true;
}

static void
replace_primary (Fault *f)
{
  replace (f, pick_primary (f));
}

static void
replace_server (Fault *f)
{
  replace (f, f->dice / 100 % CLUSTER_FIRST_SERVERS);
}

static void
end_server (Fault *f)
{
  cluster_servers_leave (f->server);
}

/* --- the platform's store --- */

static void
store_busy (Fault *f)
{
  f->vms = vm_bit (f) | (f->dice >> 8 & ALL_VMS);
  world_record ("the store turns %02x away", f->vms);
  g_atomic_int_or ((guint *) &busy_for, f->vms);
}

static void
end_store_busy (Fault *f)
{
  g_atomic_int_and ((guint *) &busy_for, ~f->vms);
}

static void
store_slow (Fault *f)
{
  f->vms = f->dice >> 20 & 1 ? ALL_VMS : vm_bit (f) | (f->dice >> 8 & ALL_VMS);
  world_record ("the store is slow for %02x", f->vms);
  g_atomic_int_or ((guint *) &slow_for, f->vms);
}

static void
end_store_slow (Fault *f)
{
  g_atomic_int_and ((guint *) &slow_for, ~f->vms);
}

static void
store_lossy (Fault *f)
{
  (void) f;
  world_record ("the store loses answers");
  g_atomic_int_inc (&lossy);
}

static void
end_store_lossy (Fault *f)
{
  (void) f;
  g_atomic_int_add (&lossy, -1);
}

/* Lets the thread of the faults cut off VM, which asks for a promotion. */
static void
catch_promoter (int vm)
{
  if (!g_atomic_int_compare_and_exchange (&promoter, PROMOTER_WANTED, vm))
    return;
  while (g_atomic_int_get (&promoter) == vm)
    world_sleep_ms (1);
}

/* Returns the group whose object PATH is, or -1. */
static gint
find_group (const char *path)
{
  for (uint32_t i = 0; i < CLUSTER_GROUPS; i++)
    if (strstr (path, "-groups/")
        && g_str_has_suffix (path, cluster_servers_service (i)))
      return (gint) i;
  return -1;
}

/* Lets the thread of the faults cut off the owner of GROUP's primary. */
static void
catch_write (gint group)
{
  if (group < 0
      || !g_atomic_int_compare_and_exchange (&written_group, PROMOTER_WANTED,
                                             group))
    return;
  while (g_atomic_int_get (&written_group) == group)
    world_sleep_ms (1);
}

static WorldCallFate
find_fate (int fd, const char *method, const char *path)
{
  int vm = cluster_links_peer (fd);
  bool is_write = strcmp (method, "GET") != 0;
  gint32 dice;

  if (strcmp (path, "/promotions") == 0)
    catch_promoter (vm);
  if (strcmp (method, "PUT") == 0)
    catch_write (find_group (path));

  if (vm >= 0 && g_atomic_int_get (&busy_for) & 1 << vm)
    return WORLD_CALL_REFUSED;
  if (!is_write || !g_atomic_int_get (&lossy))
    return WORLD_CALL_SERVED;
  g_mutex_lock (&store_lock);
  dice = g_rand_int_range (store_rand, 0, 100);
  g_mutex_unlock (&store_lock);
  if (dice < LATE_PERCENT)
    return WORLD_CALL_LATE;
  return dice < LOST_PERCENT ? WORLD_CALL_UNANSWERED : WORLD_CALL_SERVED;
}

static bool
await_store (int fd, bool is_answer)
{
  int vm = cluster_links_peer (fd);

  if (vm < 0)
    return false;
  if (g_atomic_int_get (&slow_for) & 1 << vm)
    world_sleep_ms (STORE_SLOW_MS);
  return is_answer ? cluster_links_await (CLUSTER_NODE_PLATFORM,
                                          CLUSTER_NODE_VM ((uint32_t) vm), -1)
                   : cluster_links_await (CLUSTER_NODE_VM ((uint32_t) vm),
                                          CLUSTER_NODE_PLATFORM, -1);
}

void
cluster_faults_link_store (void)
{
  static const WorldStoreLinks links
      = { .fate = find_fate, .await = await_store };

  store_rand = g_rand_new_with_seed (1);
  world_store_set_links (&links);
}

/* --- the plan --- */

static void
nothing (Fault *f)
{
  (void) f;
}

static const FaultKind kinds[] = {
  { "kill", 200, 4000, kill_vms, nothing, NULL },
  { "herd_kill", 200, 3000, kill_vms, nothing, NULL },
  { "stop", 100, 200, stop_vm, nothing, NULL },
  { "freeze", 200, 7000, freeze_vms, thaw_vms, NULL },
  { "herd_freeze", 200, 5000, freeze_vms, thaw_vms, NULL },
  { "crash_primary", 300, 6000, crash_primary, return_server, NULL },
  { "crash_server", 300, 6000, crash_server, return_server, NULL },
  { "dark_primary", 500, 8000, cut_primary, heal, NULL },
  { "cut_vm", 500, 9000, cut_vm, heal, NULL },
  { "blink", 2000, 12000, begin_blink, end_blink, tick_blink },
  { "cut_promoter", 3000, 9000, begin_cut_promoter, end_cut_promoter,
    tick_cut_promoter },
  { "cut_owner", 1500, 4000, begin_cut_owner, end_cut_owner, tick_cut_owner },
  { "cut_vm_off", 500, 9000, cut_vm_off, heal, NULL },
  { "cut_vm_platform", 500, 9000, cut_vm_platform, heal, NULL },
  { "cut_vm_servers", 500, 9000, cut_vm_servers, heal, NULL },
  { "cut_zone", 500, 10000, cut_zone, heal, NULL },
  { "cut_primary_replicas", 500, 8000, cut_primary_replicas, heal, NULL },
  { "cut_primary_vms", 500, 8000, cut_primary_vms, heal, NULL },
  { "cut_primary_side", 2000, 9000, cut_primary_side, heal, NULL },
  { "cut_servers_platform", 4000, 12000, cut_servers_platform, heal, NULL },
  { "cut_platform", 500, 9000, cut_platform, heal, NULL },
  { "store_busy", 500, 8000, store_busy, end_store_busy, NULL },
  { "store_slow", 500, 8000, store_slow, end_store_slow, NULL },
  { "store_lossy", 500, 8000, store_lossy, end_store_lossy, NULL },
  { "slow_server", 500, 6000, slow_server, end_slow, NULL },
  { "slow_replicas", 1000, 8000, slow_replicas, end_slow_replicas, NULL },
  { "delay_status", 1000, 9000, begin_status_delay, end_status_delay, NULL },
  { "late_status_side", 4000, 9000, begin_late_status_side,
    end_late_status_side, NULL },
  { "lag_server", 500, 8000, lag_server, end_lag, NULL },
  { "replace", DRAIN_MS, DRAIN_MS + 1000, replace_server, end_server, NULL },
  { "replace_primary", DRAIN_MS, DRAIN_MS + 1000, replace_primary, end_server,
    NULL },
};

/* Returns the kinds that ONLY names, or NULL. */
static GPtrArray *
select_kinds (const char *only)
{
  GPtrArray *selected = g_ptr_array_new ();
  char **names = g_strsplit (only ? only : "", ",", 0);
  bool known = true;

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (!only || g_strv_contains ((const char *const *) names, kinds[i].name))
      g_ptr_array_add (selected, (gpointer) &kinds[i]);
  known
      = selected->len > 0 && (!only || selected->len == g_strv_length (names));
  g_strfreev (names);
  if (known)
    return selected;
  g_ptr_array_free (selected, TRUE);
  return NULL;
}

bool
cluster_faults_plan (uint32_t seed, int64_t span_ms, const char *only)
{
  GPtrArray *selected = select_kinds (only);
  GRand *rand;
  gint32 count;

  if (!selected)
    return false;
  rand = g_rand_new_with_seed (seed);
  faults = g_array_new (FALSE, TRUE, sizeof (Fault));
  count = g_rand_int_range (rand, FAULTS_MIN, FAULTS_MAX);
  for (gint32 i = 0; i < count; i++)
    {
      Fault f = { .at_ms = world_now_ms ()
                           + g_rand_int_range (rand, 0, (gint32) span_ms) };

      f.kind = g_ptr_array_index (
          selected, g_rand_int_range (rand, 0, (gint32) selected->len));
      f.for_ms = g_rand_int_range (rand, f.kind->min_ms, f.kind->max_ms);
      f.dice = (uint32_t) g_rand_int_range (rand, 0, G_MAXINT32);
      g_array_append_val (faults, f);
    }
  g_rand_free (rand);
  g_ptr_array_free (selected, TRUE);
  return true;
}

static void
end_fault (Fault *f)
{
  f->ended = true;
  world_record ("fault %s ends", f->kind->name);
  f->kind->end (f);
}

void
cluster_faults_tick (void)
{
  for (guint i = 0; i < faults->len; i++)
    {
      Fault *f = &g_array_index (faults, Fault, i);

      if (!f->begun && world_now_ms () >= f->at_ms)
        {
          f->begun = true;
          world_record ("fault %s begins, for %" G_GINT64_FORMAT " ms",
                        f->kind->name, f->for_ms);
          f->kind->begin (f);
        }
      if (f->begun && !f->ended && f->kind->tick)
        f->kind->tick (f);
      if (f->begun && !f->ended && world_now_ms () >= f->at_ms + f->for_ms)
        end_fault (f);
    }
}

void
cluster_faults_end (void)
{
  for (guint i = 0; i < faults->len; i++)
    {
      Fault *f = &g_array_index (faults, Fault, i);

      if (f->begun && !f->ended)
        end_fault (f);
      f->begun = true;
      f->ended = true;
    }
}
