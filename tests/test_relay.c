/* Hierarchical failure detection: many VMs in two failure domains, whose cores
 * exchange messages directly, without a network.
 */
#include <stdlib.h>
#include <string.h>

#include "core/internal.h"
#include "core/rank.h"
#include "platform/dialect.h"
#include "tests/unit.h"

#define VMS 20
#define START_MS 100000
#define STEP_MS 5
#define SETTLE_MS 4000

typedef struct
{
  SsNode node;
  char name[16];
  bool up;
  bool partitioned; /* reaches only other partitioned VMs */
} Vm;

static Vm vms[VMS];
static int64_t now_ms;
static uint64_t sent;                 /* messages */
static uint64_t sent_between_domains; /* messages between failure domains */

static Vm *
find_vm (const char *name)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (strcmp (vms[i].name, name) == 0)
      return &vms[i];
  return NULL;
}

static const char *
domain_of (uint32_t i)
{
  return i < VMS / 2 ? "d1" : "d2";
}

static void
start_vm (uint32_t i)
{
  SsNodeParams params = { .failure_domain = domain_of (i),
                          .ip = "10.0.0.1",
                          .peer_port = 1,
                          .seeds = "",
                          .seed = i + 1,
                          .deadline_ms = 1000,
                          .transaction_idle_ms = 1000,
                          .stop_bound_ms = 1000,
                          .apply_ms = 3000,
                          .drain_ms = 7000,
                          .dialect = ss_dialect_line () };

  g_snprintf (vms[i].name, sizeof vms[i].name, "vm%02u", i);
  params.vm = vms[i].name;
  params.watches = 1U << SS_WATCH_VMS;
  ss_node_init (&vms[i].node, &params, now_ms);
  vms[i].up = true;
  vms[i].partitioned = false;
}

/* Delivers the platform's list of all VMs to VM I. */
static void
list_vms (uint32_t i)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };
  SsObject objects[VMS] = { 0 };
  char *keys[VMS];
  char *values[VMS];

  for (uint32_t j = 0; j < VMS; j++)
    {
      keys[j] = g_strdup_printf ("vm/%s", vms[j].name);
      values[j] = g_strdup_printf (
          "{\"failure_domain\":\"%s\",\"ip\":\"10.0.0.1\",\"leases\":[],"
          "\"peer_port\":%u}",
          domain_of (j), j + 1);
      objects[j].key = keys[j];
      objects[j].value = values[j];
      objects[j].value_bytes = (uint32_t) strlen (values[j]);
      objects[j].version = 5;
    }
  e.platform_objects.watch = SS_WATCH_VMS;
  e.platform_objects.outcome = SS_PLATFORM_DONE;
  e.platform_objects.complete = true;
  e.platform_objects.objects = objects;
  e.platform_objects.object_count = VMS;
  e.platform_objects.revision = 5;
  ss_node_on_event (&vms[i].node, &e, now_ms);
  for (uint32_t j = 0; j < VMS; j++)
    {
      g_free (keys[j]);
      g_free (values[j]);
    }
}

static void
deliver (Vm *from, const SsAction *a)
{
  Vm *to = a->kind == SS_ACTION_PEER_SEND ? find_vm (a->name) : NULL;
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };
  gsize bytes;

  if (!to)
    return;
  sent++;
  if (strcmp (from->node.params.failure_domain, to->node.params.failure_domain)
      != 0)
    sent_between_domains++;
  if (!to->up || to->partitioned != from->partitioned)
    return;
  e.peer_message.data = g_bytes_get_data (a->bytes, &bytes);
  e.peer_message.data_bytes = (uint32_t) bytes;
  ss_node_on_event (&to->node, &e, now_ms);
}

static void
advance (int64_t ms)
{
  SsEvent tick = { .kind = SS_EVENT_TICK };
  SsAction a;

  for (int64_t at = 0; at < ms; at += STEP_MS)
    {
      now_ms += STEP_MS;
      for (uint32_t i = 0; i < VMS; i++)
        {
          if (!vms[i].up)
            continue;
          ss_node_on_event (&vms[i].node, &tick, now_ms);
          while (ss_node_take_action (&vms[i].node, &a))
            {
              deliver (&vms[i], &a);
              ss_action_clear (&a);
            }
        }
    }
}

static void
set_up (void)
{
  now_ms = START_MS;
  for (uint32_t i = 0; i < VMS; i++)
    start_vm (i);
  for (uint32_t i = 0; i < VMS; i++)
    list_vms (i);
  advance (SETTLE_MS);
}

static void
tear_down (void)
{
  for (uint32_t i = 0; i < VMS; i++)
    ss_node_finish (&vms[i].node);
}

/* Returns how many VMs VM considers live, itself included. */
static uint32_t
count_live (const Vm *vm)
{
  uint32_t live = 0;

  for (uint32_t i = 0; i < VMS; i++)
    {
      const SsMember *m = ss_members_find (&vm->node.members, vms[i].name);

      live += m && m->live ? 1 : 0;
    }
  return live;
}

static void
expect_live (uint32_t expected)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (vms[i].up)
      CU_ASSERT (count_live (&vms[i]) == expected);
}

static void
all_vms_see_each_other_live (void)
{
  set_up ();
  expect_live (VMS);
  tear_down ();
}

/* Every VM detects that a VM has crashed, even if that was a relay. */
static void
crashed_vms_are_detected_everywhere (void)
{
  GPtrArray *relays = g_ptr_array_new ();

  set_up ();
  ss_members_relays (&vms[0].node.members, "d1", now_ms, relays);
  CU_ASSERT (relays->len == SS_MEMBERS_RELAYS);
  for (guint i = 0; i < relays->len; i++)
    find_vm (g_ptr_array_index (relays, i))->up = false;
  g_ptr_array_free (relays, TRUE);
  vms[VMS - 1].up = false;
  advance (SETTLE_MS);
  expect_live (VMS - 3);
  tear_down ();
}

/* The number of messages between failure domains does not grow with the number
 * of their VMs.
 */
static void
number_of_messages_is_bounded (void)
{
  uint64_t heartbeats;

  set_up ();
  sent = 0;
  sent_between_domains = 0;
  advance (10000);
  heartbeats = 10000 / vms[0].node.params.timing.heartbeat_ms + 1;
  CU_ASSERT (sent_between_domains
             <= heartbeats * 2 * SS_MEMBERS_RELAYS * SS_MEMBERS_RELAYS);
  /* A heartbeat and a digest for each VM and relay, plus the reports. */
  CU_ASSERT (sent - sent_between_domains
             <= heartbeats * 2 * VMS * SS_MEMBERS_RELAYS);
  tear_down ();
}

/* Stops the relays of the first failure domain without a graceful shutdown. */
static void
crash_relays (void)
{
  GPtrArray *relays = g_ptr_array_new ();

  ss_members_relays (&vms[0].node.members, "d1", now_ms, relays);
  for (guint i = 0; i < relays->len; i++)
    find_vm (g_ptr_array_index (relays, i))->up = false;
  g_ptr_array_free (relays, TRUE);
}

/* Returns how many VMs of its own failure domain VM considers live. */
static uint32_t
count_live_in_own_domain (const Vm *vm)
{
  uint32_t live = 0;

  for (uint32_t i = 0; i < VMS; i++)
    {
      const SsMember *m = ss_members_find (&vm->node.members, vms[i].name);

      if (strcmp (vms[i].node.params.failure_domain,
                  vm->node.params.failure_domain)
          == 0)
        live += m && m->live ? 1 : 0;
    }
  return live;
}

/* Guards against VMs that misread the loss of all relays.  While no relay
 * answers, a VM considers no other VM of its failure domain dead, and does not
 * make itself coordinator because it knows of too few live VMs.
 */
static void
loss_of_relays_marks_no_other_vm_dead (void)
{
  uint32_t marked_dead = 0;
  uint32_t coordinators = 0;

  set_up ();
  crash_relays ();
  for (int64_t at = 0; at < SETTLE_MS; at += STEP_MS)
    {
      advance (STEP_MS);
      for (uint32_t i = 0; i < VMS / 2; i++)
        {
          if (!vms[i].up)
            continue;
          if (count_live_in_own_domain (&vms[i]) < VMS / 2 - SS_MEMBERS_RELAYS)
            marked_dead++;
          if (ss_coordinator_is_self (&vms[i].node)
              && count_live (&vms[i]) < VMS - SS_MEMBERS_RELAYS)
            coordinators++;
        }
    }
  CU_ASSERT (marked_dead == 0);
  CU_ASSERT (coordinators == 0);
  expect_live (VMS - SS_MEMBERS_RELAYS);
  tear_down ();
}

static int
compare_rank (gconstpointer a, gconstpointer b)
{
  uint64_t x = ss_rank_score ((*(Vm *const *) a)->name, "relay");
  uint64_t y = ss_rank_score ((*(Vm *const *) b)->name, "relay");

  return x < y ? -1 : x > y;
}

/* Partitions off the COUNT VMs of the first failure domain that rank last as
 * relays.
 */
static void
partition_last_ranked (uint32_t count)
{
  Vm *by_rank[VMS / 2];

  for (uint32_t i = 0; i < VMS / 2; i++)
    by_rank[i] = &vms[i];
  qsort (by_rank, VMS / 2, sizeof *by_rank, compare_rank);
  for (uint32_t i = 0; i < count; i++)
    by_rank[i]->partitioned = true;
}

/* Returns how many partitioned VMs VM, one of them, considers dead. */
static uint32_t
count_partitioned_dead (const Vm *vm)
{
  uint32_t marked_dead = 0;

  for (uint32_t i = 0; i < VMS; i++)
    {
      const SsMember *m = ss_members_find (&vm->node.members, vms[i].name);

      if (vms[i].partitioned)
        marked_dead += m && m->live ? 0 : 1;
    }
  return marked_dead;
}

/* A network partition splits a failure domain.  On the side without relays, the
 * VMs that rank next as relays are unreachable as well.  The VMs there must
 * still see each other live.
 */
static void
partition_without_relays_keeps_its_vms (void)
{
  uint32_t marked_dead = 0;

  set_up ();
  partition_last_ranked (5);
  for (int64_t at = 0; at < SETTLE_MS; at += STEP_MS)
    {
      advance (STEP_MS);
      for (uint32_t i = 0; i < VMS / 2; i++)
        if (vms[i].partitioned)
          marked_dead += count_partitioned_dead (&vms[i]);
    }
  CU_ASSERT (marked_dead == 0);
  tear_down ();
}

/* New relays learn the VMs of other failure domains without waiting for a
 * periodic report.
 */
static void
new_relays_learn_all_vms_quickly (void)
{
  int64_t since_ms;
  int64_t bound_ms;

  set_up ();
  crash_relays ();
  since_ms = now_ms;
  /* The timeout of the old relays, then one heartbeat interval for each step:
   * to the new relays, from these to the other failure domain, back from there,
   * and to all VMs.
   */
  bound_ms = SS_MEMBER_REPORT_TIMEOUT_MS
             + 4 * vms[0].node.params.timing.heartbeat_ms + 100;
  while (now_ms - since_ms < bound_ms)
    advance (STEP_MS);
  expect_live (VMS - SS_MEMBERS_RELAYS);
  tear_down ();
}

/* The relays detect a silent VM after one timeout and report it to all others,
 * which add no timeout of their own.
 */
static void
silent_vm_is_detected_after_one_timeout (void)
{
  GPtrArray *relays = g_ptr_array_new ();
  int64_t interval_ms;
  uint32_t silent = 0;

  set_up ();
  interval_ms = vms[0].node.params.timing.heartbeat_ms;
  ss_members_relays (&vms[0].node.members, "d1", now_ms, relays);
  while (g_ptr_array_find_with_equal_func (relays, vms[silent].name,
                                           g_str_equal, NULL))
    silent++;
  g_ptr_array_free (relays, TRUE);
  vms[silent].up = false;
  /* The timeout, then one heartbeat interval for each step: to the VMs of its
   * failure domain, to the relays of the other one, and to the VMs there.
   */
  advance (SS_MEMBER_HEARTBEAT_TIMEOUT_MS + 3 * interval_ms + 100);
  expect_live (VMS - 1);
  tear_down ();
}

CU_TestInfo test_relay[] = {
  { "all vms see each other live", all_vms_see_each_other_live },
  { "crashed vms are detected everywhere",
    crashed_vms_are_detected_everywhere },
  { "number of messages is bounded", number_of_messages_is_bounded },
  { "loss of relays marks no other vm dead",
    loss_of_relays_marks_no_other_vm_dead },
  { "partition without relays keeps its vms",
    partition_without_relays_keeps_its_vms },
  { "new relays learn all vms quickly", new_relays_learn_all_vms_quickly },
  { "silent vm is detected after one timeout",
    silent_vm_is_detected_after_one_timeout },
  CU_TEST_INFO_NULL,
};
