/* Failure domains that are separated from each other, with and without the
 * platform: two sides must not serve the same group.
 */
#include <stdio.h>
#include <string.h>

#include "core/voters.h"
#include "tests/fleet_sim.h"
#include "tests/unit.h"

#define VMS 6 /* one in each failure domain; servers are in the first three */
/* Silence after which the store removes a server's entry. */
#define LAPSE_MS 3600
#define CUT_MS 12000
#define HEAL_MS 6000
#define STEP_MS 250 /* between the writes of a VM */
/* Longest time without a primary after two of three servers are lost: the lapse
 * of their entries, the delay of its effect and a promotion.
 */
#define LONE_MAX_MS 12000
/* Time until a VM's object is marked as silent, and until it is deleted. */
#define SILENT_AFTER_MS 32000
#define DELETED_AFTER_MS (12 * 60 * 1000)

/* Failure domains 2 and 5, with server 2. */
#define LAST_ZONE (1U << 2 | 1U << 5)
/* Failure domain 0, with the primary, server 0. */
#define FIRST_ZONE (1U << 0 | 1U << 3)

typedef struct
{
  FleetSim sim;
  uint64_t callers[VMS];
  uint32_t acked[VMS]; /* writes, by VM */
  bool connects[VMS];  /* its caller's connect is not answered yet */
  bool is_closed[VMS]; /* the VM has ended the session */
  uint32_t writes;     /* sent */
} Split;

static Split *running;

static void
note_reply (uint32_t vm, const SsAction *a)
{
  if (a->kind == SS_ACTION_CALLER_CLOSE)
    {
      running->is_closed[vm] = true;
      return;
    }
  if (a->verdict != SS_VERDICT_RAN)
    return;
  running->acked[vm] += running->connects[vm] ? 0 : 1;
  running->connects[vm] = false;
}

static Split *
split_new (uint32_t seed)
{
  Split *s = g_new0 (Split, 1);

  running = s;
  fleet_init (&s->sim, seed, VMS, 1);
  s->sim.replicate_ms = 20;
  for (uint32_t i = 0; i < VMS; i++)
    s->callers[i] = fleet_connect (&s->sim, i, 0, 0);
  fleet_advance (&s->sim, 1000);
  s->sim.observer.caller = note_reply;
  return s;
}

static void
split_free (Split *s)
{
  fleet_finish (&s->sim);
  g_free (s);
}

static void
connect_caller (Split *s, uint32_t vm)
{
  s->connects[vm] = true;
  s->is_closed[vm] = false;
  s->callers[vm] = fleet_connect (&s->sim, vm, 0, 0);
}

/* Lets MS pass while each VM in the bit set VMS gets writes. */
static void
write_for (Split *s, int64_t ms, uint32_t vms)
{
  int64_t until_ms = s->sim.now_ms + ms;

  while (s->sim.now_ms < until_ms)
    {
      for (uint32_t i = 0; i < VMS; i++)
        if (s->sim.vms[i].up && vms >> i & 1)
          {
            if (s->is_closed[i])
              connect_caller (s, i);
            fleet_send (&s->sim, i, s->callers[i], 0, "WRITE 1a x");
            s->writes++;
          }
      fleet_advance (&s->sim, STEP_MS);
    }
}

#define ALL_VMS ((1U << VMS) - 1)

/* From now on the store answers no VM. */
static void
silence_store (Split *s)
{
  for (uint32_t i = 0; i < VMS; i++)
    s->sim.vms[i].store = FLEET_STORE_SILENT;
}

/* Removes the entries of the servers that the store no longer reaches. */
static void
lapse (Split *s, uint32_t servers)
{
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    if (servers >> i & 1)
      fleet_remove_target (&s->sim, i);
}

static void
list (Split *s)
{
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    fleet_list_target (&s->sim, i);
}

/* Whether the store's object KEY contains TEXT. */
static bool
object_has (FleetSim *sim, const char *key, const char *text)
{
  const char *value = fleet_object (sim, key);

  return value && strstr (value, text);
}

/* Whether the voters of group 0 are settled, with the server t2 or without it.
 */
static bool
are_settled (FleetSim *sim, bool with_t2)
{
  return object_has (sim, "voters/g0", "\"t2\"") == with_t2
         && object_has (sim, "voters/g0", "\"former\":[]");
}

static uint32_t
sum_acked (const Split *s, uint32_t vms)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < VMS; i++)
    sum += vms >> i & 1 ? s->acked[i] : 0;
  return sum;
}

static const FleetServer *
leader (const Split *s)
{
  const FleetServer *found = NULL;

  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    if (s->sim.servers[i].role == SS_SERVER_PRIMARY
        && (!found || s->sim.servers[i].term > found->term))
      found = &s->sim.servers[i];
  return found;
}

/* Whether the primary's log has as many commits as were acknowledged. */
static bool
has_all_acked (const Split *s)
{
  return leader (s)->position.offset >= sum_acked (s, ALL_VMS);
}

/* Guards against STALE (review/6): the failure domain of a replica has the
 * platform, the entries of the other servers lapse there, and both sides had a
 * primary.  The side without the platform serves all the while.
 */
static void
replica_with_platform (void)
{
  for (uint32_t seed = 1; seed <= 3; seed++)
    {
      Split *s = split_new (seed);
      uint32_t before;

      write_for (s, 2000, ALL_VMS);
      CU_ASSERT (sum_acked (s, ALL_VMS) + VMS >= s->writes);
      before = sum_acked (s, ALL_VMS & ~LAST_ZONE);
      fleet_cut (&s->sim, LAST_ZONE, true);
      write_for (s, LAPSE_MS, ALL_VMS);
      lapse (s, 1 | 2);
      write_for (s, CUT_MS - LAPSE_MS, ALL_VMS);
      CU_ASSERT (s->sim.promotions == 0);
      /* Four VMs for 12 s; the first second finds out that the platform is
       * away.
       */
      CU_ASSERT (sum_acked (s, ALL_VMS & ~LAST_ZONE) - before
                 >= 4 * (CUT_MS - 3000) / STEP_MS);
      fleet_cut (&s->sim, 0, false);
      list (s);
      fleet_advance (&s->sim, HEAL_MS);
      CU_ASSERT (has_all_acked (s));
      before = sum_acked (s, LAST_ZONE);
      write_for (s, 1000, ALL_VMS);
      CU_ASSERT (sum_acked (s, LAST_ZONE) > before);
      CU_ASSERT (has_all_acked (s));
      split_free (s);
    }
}

/* Guards against a loss of acknowledged commits where the cut heals for a
 * moment and comes back.
 */
static void
cut_twice (void)
{
  Split *s = split_new (4);

  write_for (s, 2000, ALL_VMS);
  for (uint32_t i = 0; i < 2; i++)
    {
      fleet_cut (&s->sim, LAST_ZONE, true);
      write_for (s, LAPSE_MS, ALL_VMS);
      lapse (s, 1 | 2);
      write_for (s, 6000 - LAPSE_MS, ALL_VMS);
      fleet_cut (&s->sim, 0, false);
      list (s);
      write_for (s, 2500, ALL_VMS);
    }
  fleet_advance (&s->sim, HEAL_MS);
  CU_ASSERT (has_all_acked (s));
  split_free (s);
}

/* Guards against commits that only the primary holds: it is cut off with the
 * platform from both replicas, whose entries lapse.
 */
static void
primary_with_platform (void)
{
  Split *s = split_new (5);
  uint32_t before;

  write_for (s, 2000, ALL_VMS);
  fleet_cut (&s->sim, FIRST_ZONE, true);
  fleet_advance (&s->sim, LAPSE_MS);
  lapse (s, 2 | 4);
  before = sum_acked (s, ALL_VMS);
  write_for (s, CUT_MS - LAPSE_MS, ALL_VMS);
  CU_ASSERT (s->sim.promotions == 0);
  CU_ASSERT (sum_acked (s, ALL_VMS) == before);
  fleet_cut (&s->sim, 0, false);
  list (s);
  fleet_advance (&s->sim, HEAL_MS);
  CU_ASSERT (has_all_acked (s));
  write_for (s, 1000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) > before);
  split_free (s);
}

/* Guards against refusals of what can be served: nobody can promote while the
 * platform is away, alone or with one server.
 */
static void
platform_away (void)
{
  for (uint32_t down = 0; down <= 1; down++)
    {
      Split *s = split_new (6 + down);
      uint32_t before;

      write_for (s, 2000, ALL_VMS);
      silence_store (s);
      s->sim.servers[2].down = down != 0;
      write_for (s, 3000, ALL_VMS);
      before = sum_acked (s, ALL_VMS);
      write_for (s, CUT_MS, ALL_VMS);
      CU_ASSERT (sum_acked (s, ALL_VMS) - before + VMS
                 >= VMS * CUT_MS / STEP_MS);
      split_free (s);
    }
}

/* Guards against a majority that is relied on for ever without the platform:
 * the other side no longer waits for this VM then.  All servers confirm at any
 * time.
 */
static void
reliance_ends (void)
{
  Split *s = split_new (8);
  uint32_t before;

  silence_store (s);
  fleet_advance (&s->sim, 3000);
  for (uint32_t i = 0; i < VMS; i++)
    s->sim.vms[i].node.platform_contact_ms -= SS_RELIANCE_MS;
  before = sum_acked (s, ALL_VMS);
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) > before);
  s->sim.servers[2].down = true;
  fleet_advance (&s->sim, 3000);
  before = sum_acked (s, ALL_VMS);
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) == before);
  split_free (s);
}

/* Guards against two sides: a change of voters does not wait for a VM that the
 * platform does not list, so that VM must not confirm by servers.
 */
static void
unlisted_vm_does_not_confirm (void)
{
  Split *s = split_new (14);
  uint32_t before;

  silence_store (s);
  fleet_advance (&s->sim, 3000);
  for (uint32_t i = 0; i < VMS; i++)
    s->sim.vms[i].node.listed_version = 0;
  before = sum_acked (s, ALL_VMS);
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) == before);
  /* Listed, but at a version that its knowledge of the voters is older than. */
  for (uint32_t i = 0; i < VMS; i++)
    s->sim.vms[i].node.listed_version = s->sim.version + 100;
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) == before);
  split_free (s);
}

/* Guards against a change that ends while a VM promotes a server with the
 * voters that it counted before.
 */
static void
promoting_vm_does_not_agree (void)
{
  Split *s = split_new (15);
  SsNode *node = &s->sim.vms[0].node;
  SsPromotion *p = ss_promote_get (node, "g0");
  Ss__Peer__VotersAsk ask = SS__PEER__VOTERS_ASK__INIT;
  guint before = g_queue_get_length (&node->actions);

  ask.group = (char *) "g0";
  ask.version = ss_config_voters (&node->config, "g0")->version;
  p->step = SS_PROMOTE_DUTY;
  ss_voter_coordinator_handle_ask (node, "vm001", &ask);
  CU_ASSERT (g_queue_get_length (&node->actions) == before);
  p->step = SS_PROMOTE_IDLE;
  ss_voter_coordinator_handle_ask (node, "vm001", &ask);
  CU_ASSERT (g_queue_get_length (&node->actions) == before + 1);
  split_free (s);
}

/* Guards against a group that stays without a primary: two of three servers are
 * gone, and all VMs are in touch with each other.
 */
static void
lone_survivor_is_promoted (void)
{
  Split *s = split_new (9);
  uint32_t before;

  write_for (s, 2000, ALL_VMS);
  s->sim.servers[0].down = true;
  s->sim.servers[1].down = true;
  fleet_advance (&s->sim, LAPSE_MS);
  lapse (s, 1 | 2);
  fleet_advance (&s->sim, LONE_MAX_MS - LAPSE_MS);
  CU_ASSERT (s->sim.promotions == 1);
  before = sum_acked (s, ALL_VMS);
  write_for (s, 1000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) > before);
  split_free (s);
}

/* Guards against two sides: the lone survivor waits for a VM that may confirm
 * the others, until that VM can no longer rely on them.
 */
static void
lone_survivor_waits_for_silent_vm (void)
{
  Split *s = split_new (10);

  write_for (s, 2000, ALL_VMS);
  s->sim.servers[0].down = true;
  s->sim.servers[1].down = true;
  fleet_stop (&s->sim, 4);
  fleet_advance (&s->sim, LAPSE_MS);
  lapse (s, 1 | 2);
  fleet_advance (&s->sim, SILENT_AFTER_MS);
  CU_ASSERT (s->sim.promotions == 0);
  CU_ASSERT (object_has (&s->sim, "vm/vm004", "\"silent\":true"));
  fleet_advance (&s->sim, DELETED_AFTER_MS);
  CU_ASSERT (!fleet_object (&s->sim, "vm/vm004"));
  CU_ASSERT (s->sim.promotions == 1);
  split_free (s);
}

/* Guards against a returning VM that stays marked: it takes roles again. */
static void
silent_vm_returns (void)
{
  Split *s = split_new (11);

  fleet_stop (&s->sim, 4);
  fleet_advance (&s->sim, SILENT_AFTER_MS);
  CU_ASSERT (object_has (&s->sim, "vm/vm004", "\"silent\":true"));
  fleet_start (&s->sim, 4);
  fleet_advance (&s->sim, 5000);
  CU_ASSERT (fleet_object (&s->sim, "vm/vm004") != NULL);
  CU_ASSERT (!object_has (&s->sim, "vm/vm004", "silent"));
  split_free (s);
}

/* Has VM receive the object of a VM "vm009" from a peer. */
static void
push_vm (Split *s, uint32_t vm, int64_t version)
{
  static char value[] = "{\"failure_domain\":\"d0\",\"ip\":\"10.0.0.9\","
                        "\"leases\":[],\"peer_port\":9}";
  Ss__Peer__ConfigPush push = SS__PEER__CONFIG_PUSH__INIT;
  Ss__Peer__ConfigObject object = SS__PEER__CONFIG_OBJECT__INIT;
  Ss__Peer__ConfigObject *list = &object;

  object.key = (char *) "vm/vm009";
  object.version = version;
  object.value.data = (uint8_t *) value;
  object.value.len = strlen (value);
  push.objects = &list;
  push.n_objects = 1;
  ss_config_sync_handle_push (&s->sim.vms[vm].node, "vm005", &push);
}

/* Guards against a VM that takes itself for listed and is not, and gets no
 * lease (request_end_random, seeds 158, 463, 858, 905 and 955): after a stop
 * that has deleted its object it starts again, and gets the object from a peer
 * that has not seen the deletion.
 */
static void
deleted_vm_does_not_come_back (void)
{
  Split *s = split_new (17);
  SsNode *node = &s->sim.vms[0].node;
  int64_t revision = node->watches[SS_WATCH_VMS].revision;

  CU_ASSERT (node->watches[SS_WATCH_VMS].complete);
  push_vm (s, 0, revision);
  CU_ASSERT (!ss_config_object (&node->config, "vm/vm009"));
  push_vm (s, 0, revision + 1);
  CU_ASSERT (ss_config_object (&node->config, "vm/vm009") != NULL);
  split_free (s);
}

/* Guards against a change of voters that never ends: a server is lost and
 * another one joins.
 */
static void
voters_follow_servers (void)
{
  Split *s = split_new (12);

  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (are_settled (&s->sim, true));
  s->sim.servers[2].down = true;
  lapse (s, 4);
  write_for (s, 6000, ALL_VMS);
  CU_ASSERT (are_settled (&s->sim, false));
  s->sim.servers[2].down = false;
  list (s);
  write_for (s, 6000, ALL_VMS);
  CU_ASSERT (are_settled (&s->sim, true));
  CU_ASSERT (has_all_acked (s));
  split_free (s);
}

/* Guards against a group without a majority (review/5): four entries appear
 * where no server runs, and all VMs start again.
 */
static void
empty_addresses_are_no_voters (void)
{
  static const char *const entries[] = { "x1", "x2", "x3", "x4" };
  Split *s = split_new (16);
  uint32_t before;

  write_for (s, 2000, ALL_VMS);
  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    fleet_list_empty_address (&s->sim, entries[i], 0);
  write_for (s, 3000, ALL_VMS);
  before = sum_acked (s, ALL_VMS);
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) - before + VMS >= VMS * 2000 / STEP_MS);
  for (uint32_t i = 0; i < VMS; i++)
    fleet_stop (&s->sim, i);
  for (uint32_t i = 0; i < VMS; i++)
    {
      fleet_start (&s->sim, i);
      s->is_closed[i] = true;
    }
  write_for (s, 12000, ALL_VMS);
  before = sum_acked (s, ALL_VMS);
  write_for (s, 2000, ALL_VMS);
  CU_ASSERT (sum_acked (s, ALL_VMS) - before + VMS >= VMS * 2000 / STEP_MS);
  CU_ASSERT (fleet_object (&s->sim, "voters/g0") != NULL);
  CU_ASSERT (!object_has (&s->sim, "voters/g0", "\"x1\""));
  split_free (s);
}

#define MANY_VMS 24

/* Guards against a change of voters that does not end where relays report on
 * the VMs, and against two sides there.
 */
static void
many_vms (void)
{
  FleetSim *sim = g_new0 (FleetSim, 1);

  fleet_init (sim, 13, MANY_VMS, 2);
  fleet_advance (sim, 2000);
  sim->servers[2].down = true;
  fleet_remove_target (sim, 2);
  fleet_advance (sim, 8000);
  CU_ASSERT (are_settled (sim, false));
  fleet_cut (sim, LAST_ZONE, true);
  fleet_advance (sim, LAPSE_MS);
  fleet_remove_target (sim, 3);
  fleet_remove_target (sim, 4);
  fleet_advance (sim, CUT_MS - LAPSE_MS);
  CU_ASSERT (sim->promotions == 0);
  CU_ASSERT (object_has (sim, "voters/g1", "\"former\":[{"));
  fleet_cut (sim, 0, false);
  fleet_list_target (sim, 3);
  fleet_list_target (sim, 4);
  fleet_advance (sim, HEAL_MS);
  CU_ASSERT (object_has (sim, "voters/g1", "\"t3\""));
  CU_ASSERT (object_has (sim, "voters/g1", "\"former\":[]"));
  CU_ASSERT (*fleet_primary (sim, 1));
  fleet_finish (sim);
  g_free (sim);
}

/* --- seeded histories --- */

#define RANDOM_SEEDS 60
#define RANDOM_EVENTS 12
#define RANDOM_PAUSE_MAX_MS 3000
#define RANDOM_SETTLE_MS 12000

/* Which servers the store hears from, and since when it does not. */
typedef struct
{
  int64_t silent_ms[FLEET_SERVERS]; /* 0: it hears from it */
  bool listed[FLEET_SERVERS];
  uint32_t cut; /* failure domains; 0: none */
  bool store_inside;
} Store;

static bool
hears (const Split *s, const Store *store, uint32_t server)
{
  const FleetServer *t = &s->sim.servers[server];

  return !t->down
         && (!store->cut || (t->partition == 1) == store->store_inside);
}

/* Removes the entries of silent servers, and lists those that are back. */
static void
update_entries (Split *s, Store *store)
{
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    {
      if (hears (s, store, i))
        {
          store->silent_ms[i] = 0;
          if (!store->listed[i])
            fleet_list_target (&s->sim, i);
          store->listed[i] = true;
          continue;
        }
      if (!store->silent_ms[i])
        store->silent_ms[i] = s->sim.now_ms;
      if (store->listed[i] && s->sim.now_ms - store->silent_ms[i] >= LAPSE_MS)
        {
          fleet_remove_target (&s->sim, i);
          store->listed[i] = false;
        }
    }
}

static void
crash_or_return (Split *s, uint32_t server)
{
  bool is_any_down = false;

  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    is_any_down = is_any_down || s->sim.servers[i].down;
  if (s->sim.servers[server].down)
    {
      s->sim.servers[server].down = false;
      s->sim.servers[server].barred_term = 0;
    }
  else if (!is_any_down)
    s->sim.servers[server].down = true;
}

static void
stop_or_start (Split *s, uint32_t vm)
{
  if (s->sim.vms[vm].up)
    {
      fleet_stop (&s->sim, vm);
      return;
    }
  fleet_start (&s->sim, vm);
  connect_caller (s, vm);
}

static void
random_event (Split *s, Store *store)
{
  GRand *rand = s->sim.rand;
  uint32_t vm = (uint32_t) g_rand_int_range (rand, 0, VMS);

  switch (g_rand_int_range (rand, 0, 6))
    {
    case 0:
    case 1:
      store->cut = (uint32_t) g_rand_int_range (rand, 1, (1 << VMS) - 1);
      store->store_inside = g_rand_boolean (rand);
      fleet_cut (&s->sim, store->cut, store->store_inside);
      break;
    case 2:
      store->cut = 0;
      fleet_cut (&s->sim, 0, false);
      break;
    case 3:
      s->sim.vms[vm].paused_until_ms
          = s->sim.now_ms + g_rand_int_range (rand, 1, RANDOM_PAUSE_MAX_MS);
      break;
    case 4:
      stop_or_start (s, vm);
      break;
    default:
      crash_or_return (s, (uint32_t) g_rand_int_range (rand, 0, FLEET_SERVERS));
      break;
    }
}

static void
end_all_faults (Split *s, Store *store)
{
  store->cut = 0;
  fleet_cut (&s->sim, 0, false);
  for (uint32_t i = 0; i < FLEET_SERVERS; i++)
    if (s->sim.servers[i].down)
      crash_or_return (s, i);
  for (uint32_t i = 0; i < VMS; i++)
    if (!s->sim.vms[i].up)
      stop_or_start (s, i);
}

static void
run_for (Split *s, Store *store, int64_t ms)
{
  for (int64_t done_ms = 0; done_ms < ms; done_ms += STEP_MS)
    {
      update_entries (s, store);
      write_for (s, STEP_MS, ALL_VMS);
    }
}

/* Plays one history of cuts in any place, with crashes of one server at a time,
 * and of VMs that pause, stop and start.  Returns whether no acknowledged
 * commit is lost and the group is served at the end.
 */
static bool
play (uint32_t seed)
{
  Split *s = split_new (seed);
  Store store = { .listed = { true, true, true } };
  uint32_t before;
  bool ok;

  run_for (s, &store, 1000);
  for (uint32_t i = 0; i < RANDOM_EVENTS; i++)
    {
      random_event (s, &store);
      run_for (s, &store, g_rand_int_range (s->sim.rand, 1, 8) * 1000);
    }
  end_all_faults (s, &store);
  run_for (s, &store, RANDOM_SETTLE_MS);
  before = sum_acked (s, ALL_VMS);
  run_for (s, &store, 2000);
  ok = has_all_acked (s) && sum_acked (s, ALL_VMS) > before;
  if (!ok)
    printf ("seed %u: %u acknowledged (%u before the end), position "
            "%" G_GUINT64_FORMAT "\n",
            seed, sum_acked (s, ALL_VMS), before, leader (s)->position.offset);
  split_free (s);
  return ok;
}

/* Guards against commits that are lost by a cut at any place and moment.
 * SPLIT_SEEDS=FIRST:LAST plays others by hand.
 */
static void
random_cuts (void)
{
  const char *range = g_getenv ("SPLIT_SEEDS");
  uint32_t first = 1;
  uint32_t last = RANDOM_SEEDS;

  if (range)
    sscanf (range, "%u:%u", &first, &last);
  for (uint32_t seed = first; seed <= last; seed++)
    CU_ASSERT (play (seed));
}

CU_TestInfo test_split[] = {
  { "replica's domain with the platform", replica_with_platform },
  { "a cut that comes back", cut_twice },
  { "primary's domain with the platform", primary_with_platform },
  { "platform away, alone or with a server", platform_away },
  { "reliance on a majority ends", reliance_ends },
  { "unlisted VM does not confirm", unlisted_vm_does_not_confirm },
  { "promoting VM does not agree", promoting_vm_does_not_agree },
  { "lone survivor is promoted", lone_survivor_is_promoted },
  { "lone survivor waits for a silent VM", lone_survivor_waits_for_silent_vm },
  { "silent VM returns", silent_vm_returns },
  { "deleted VM does not come back", deleted_vm_does_not_come_back },
  { "voters follow the servers", voters_follow_servers },
  { "entries where no server runs", empty_addresses_are_no_voters },
  { "many VMs", many_vms },
  { "seeded histories of cuts", random_cuts },
  CU_TEST_INFO_NULL,
};
