#include "tests/rate_sim.h"

#include <string.h>

#define START_MS 100000
#define SLOTS 2048 /* of the schedule: longer than any delay */
#define TICK_MS 10
#define HEARTBEAT_MS 200
#define DEAD_MS 800
#define DELAY_MS 8
/* Until others hear of a VM that has started, through relays. */
#define JOIN_MS 700
#define PATIENCE_MS 700
/* Approximate size of the fixed part of a message, and of one organisation. */
#define MESSAGE_BYTES 40
#define ORGANISATION_BYTES 16

typedef struct
{
  uint32_t from;
  uint32_t to;
  uint32_t incarnation; /* of the receiver; 0: a refund */
  bool is_ask;
  SsRateAsk ask;
  SsRateReply reply;
  char names[SS_RATE_WANTS_MAX][16];
  /* A refund of a token of organisation. */
  uint32_t organisation;
  int64_t expires_ms;
  int64_t sent_ms;
} Message;

static int64_t
local_ms (const RateSim *sim, const RateSimVm *vm)
{
  return vm->clock_offset_ms
         + (int64_t) ((double) sim->now_ms * (1 + vm->drift));
}

static RateSimVm *
find_vm (RateSim *sim, const char *name)
{
  return &sim->vms[g_ascii_strtoull (name + 1, NULL, 10)];
}

/* --- messages --- */

static void
schedule (RateSim *sim, Message *m, int64_t after_ms)
{
  g_queue_push_tail (&sim->schedule[(sim->now_ms + after_ms) % SLOTS], m);
}

static void
transmit (RateSim *sim, RateSimVm *from, const char *to, Message *m,
          uint32_t items)
{
  RateSimVm *vm = find_vm (sim, to);
  uint64_t bytes = MESSAGE_BYTES + (uint64_t) items * ORGANISATION_BYTES;
  int64_t delay_ms
      = 1 + g_rand_int_range (sim->rand, 0, (gint32) sim->delay_max_ms);

  from->sent++;
  from->renewals += m->is_ask && !items ? 1 : 0;
  from->bytes += bytes;
  if (!vm->up || vm->partition != from->partition
      || g_rand_double (sim->rand) < sim->loss)
    {
      g_free (m);
      return;
    }
  vm->received++;
  vm->bytes += bytes;
  m->from = (uint32_t) (from - sim->vms);
  m->to = (uint32_t) (vm - sim->vms);
  m->incarnation = vm->incarnation;
  schedule (sim, m, delay_ms);
}

static void
send_ask (void *data, const char *vm, const SsRateAsk *ask)
{
  RateSimVm *from = data;
  Message *m = g_new0 (Message, 1);

  m->is_ask = true;
  m->ask = *ask;
  for (uint32_t i = 0; i < ask->want_count; i++)
    g_strlcpy (m->names[i], ask->wants[i].organisation, sizeof m->names[i]);
  transmit (from->sim, from, vm, m, ask->want_count);
}

static void
send_reply (void *data, const char *vm, const SsRateReply *reply)
{
  RateSimVm *from = data;
  Message *m = g_new0 (Message, 1);

  m->reply = *reply;
  for (uint32_t i = 0; i < reply->token_count; i++)
    g_strlcpy (m->names[i], reply->tokens[i].organisation, sizeof m->names[i]);
  transmit (from->sim, from, vm, m, reply->token_count);
}

static void
note_change (void *data, uint32_t slot, const char *vm)
{
  (void) data;
  (void) slot;
  (void) vm;
}

/* --- operations --- */

/* Records that an operation ran, or returns its token later. */
static void
run (RateSim *sim, const RateSimOperation *o, int64_t expires_ms)
{
  RateSimOrganisation *organisation = &sim->organisations[o->organisation];
  Message *m;

  organisation->served++;
  if (g_rand_double (sim->rand) >= sim->not_run)
    {
      g_array_append_val (organisation->runs, o->sent_ms);
      return;
    }
  m = g_new0 (Message, 1);
  m->to = o->vm;
  m->organisation = o->organisation;
  m->expires_ms = expires_ms;
  schedule (sim, m, 1 + g_rand_int_range (sim->rand, 0, 300));
}

/* Returns false if the operation waits. */
static bool
try_operation (RateSim *sim, RateSimOperation *o, bool again)
{
  RateSimVm *vm = &sim->vms[o->vm];
  RateSimOrganisation *organisation = &sim->organisations[o->organisation];
  SsRateResult r = ss_rate_limiter_take (&vm->limiter, organisation->name,
                                         again, local_ms (sim, vm));

  if (r.outcome == SS_RATE_WAIT)
    return false;
  if (r.outcome == SS_RATE_REFUSED)
    {
      organisation->refused++;
      return true;
    }
  run (sim, o, r.expires_ms);
  if (g_rand_double (sim->rand) < sim->repeated)
    {
      r = ss_rate_limiter_take (&vm->limiter, organisation->name, true,
                                local_ms (sim, vm));
      if (r.outcome == SS_RATE_TAKEN)
        run (sim, o, r.expires_ms);
      else if (r.outcome == SS_RATE_WAIT)
        ss_rate_limiter_end_wait (&vm->limiter, organisation->name);
    }
  return true;
}

/* Takes a token from the bucket that one VM for all would have. */
static void
take_ideal (RateSimOrganisation *o)
{
  if (o->tokens >= 1)
    o->tokens -= 1;
  else
    o->beyond++;
}

void
rate_sim_send (RateSim *sim, uint32_t vm, uint32_t organisation)
{
  RateSimOperation *o = g_new (RateSimOperation, 1);

  *o = (RateSimOperation){ vm, organisation, sim->now_ms };
  sim->organisations[organisation].sent++;
  take_ideal (&sim->organisations[organisation]);
  if (try_operation (sim, o, false))
    {
      g_free (o);
      return;
    }
  sim->organisations[organisation].waited++;
  g_queue_push_tail (&sim->vms[vm].waiting, o);
}

/* Tries the operations that wait at VM again. */
static void
wake (RateSim *sim, RateSimVm *vm)
{
  guint count = vm->waiting.length;

  while (count--)
    {
      RateSimOperation *o = g_queue_pop_head (&vm->waiting);
      RateSimOrganisation *organisation = &sim->organisations[o->organisation];

      ss_rate_limiter_end_wait (&vm->limiter, organisation->name);
      if (sim->now_ms - o->sent_ms >= sim->patience_ms)
        {
          organisation->refused++;
          g_free (o);
        }
      else if (try_operation (sim, o, true))
        g_free (o);
      else
        g_queue_push_tail (&vm->waiting, o);
    }
}

/* --- delivery --- */

static void
deliver_refund (RateSim *sim, RateSimVm *vm, const Message *m)
{
  if (vm->up)
    ss_rate_limiter_refund (&vm->limiter,
                            sim->organisations[m->organisation].name,
                            m->expires_ms, local_ms (sim, vm));
}

static void
deliver_reply (RateSim *sim, RateSimVm *vm, Message *m)
{
  for (uint32_t i = 0; i < m->reply.token_count; i++)
    m->reply.tokens[i].organisation = m->names[i];
  ss_rate_limiter_handle_reply (&vm->limiter, sim->vms[m->from].name, &m->reply,
                                local_ms (sim, vm));
  wake (sim, vm);
}

static void
deliver_ask (RateSim *sim, RateSimVm *vm, Message *m)
{
  for (uint32_t i = 0; i < m->ask.want_count; i++)
    m->ask.wants[i].organisation = m->names[i];
  ss_rate_limiter_handle_ask (&vm->limiter, sim->vms[m->from].name, &m->ask,
                              vm->heard_ms[m->from] != 0, local_ms (sim, vm));
}

static void
deliver (RateSim *sim, Message *m)
{
  RateSimVm *vm = &sim->vms[m->to];

  if (!m->incarnation)
    deliver_refund (sim, vm, m);
  else if (vm->up && vm->incarnation == m->incarnation)
    {
      if (sim->now_ms < vm->paused_until_ms)
        {
          g_queue_push_tail (&vm->inbox, m);
          return;
        }
      if (m->is_ask)
        deliver_ask (sim, vm, m);
      else
        deliver_reply (sim, vm, m);
    }
  g_free (m);
}

/* --- members --- */

static void
heartbeat (RateSim *sim, RateSimVm *vm)
{
  uint32_t index = (uint32_t) (vm - sim->vms);

  if (sim->now_ms - vm->started_ms < JOIN_MS)
    return;
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up && sim->vms[i].partition == vm->partition)
      sim->vms[i].heard_ms[index] = sim->now_ms;
}

static bool
is_live (const RateSim *sim, const RateSimVm *vm, uint32_t other)
{
  return &sim->vms[other] == vm
         || (vm->heard_ms[other]
             && sim->now_ms - vm->heard_ms[other] < DEAD_MS);
}

static void
rank (RateSim *sim, RateSimVm *vm)
{
  GPtrArray *live = g_ptr_array_new ();
  const char *first[SS_RATE_SLOTS];

  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (is_live (sim, vm, i) && !sim->vms[i].leaving)
      g_ptr_array_add (live, sim->vms[i].name);
  ss_rate_limiter_rank (live, first);
  for (uint32_t i = 0; i < SS_RATE_SLOTS; i++)
    ss_rate_limiter_set_ranked (&vm->limiter, i, first[i]);
  g_ptr_array_free (live, TRUE);
}

static void
update_members (RateSim *sim, RateSimVm *vm)
{
  uint32_t known = 1;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    known += &sim->vms[i] != vm && vm->heard_ms[i] ? 1 : 0;
  ss_rate_limiter_set_vms (&vm->limiter, known, local_ms (sim, vm));
  rank (sim, vm);
}

static void
tick_vm (RateSim *sim, uint32_t index)
{
  RateSimVm *vm = &sim->vms[index];
  int64_t step = sim->now_ms + index * 7;
  Message *m;

  if (!vm->up || sim->now_ms < vm->paused_until_ms)
    return;
  while ((m = g_queue_pop_head (&vm->inbox)))
    deliver (sim, m);
  if (step % HEARTBEAT_MS == 0)
    {
      heartbeat (sim, vm);
      update_members (sim, vm);
    }
  if (step % TICK_MS)
    return;
  ss_rate_limiter_tick (&vm->limiter, local_ms (sim, vm));
  wake (sim, vm);
}

/* --- start and stop --- */

void
rate_sim_start (RateSim *sim, uint32_t index)
{
  RateSimVm *vm = &sim->vms[index];
  SsRateOutput output = { send_ask, send_reply, note_change, vm };

  vm->sim = sim;
  vm->up = true;
  vm->leaving = false;
  vm->incarnation++;
  vm->started_ms = sim->now_ms;
  vm->paused_until_ms = 0;
  sim->vm_count = MAX (sim->vm_count, index + 1);
  /* The directory lists the VMs. */
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].incarnation)
      vm->heard_ms[i] = MAX (sim->now_ms - DEAD_MS, 1);
  ss_rate_limiter_init (&vm->limiter, vm->name, &output, RATE_SIM_WINDOW_MS,
                        RATE_SIM_OVERAGE, RATE_SIM_SLACK, local_ms (sim, vm));
  for (uint32_t i = 0; i < sim->organisation_count; i++)
    rate_sim_set_limit (sim, index, i, sim->organisations[i].rate_per_s,
                        sim->organisations[i].burst);
  ss_rate_limiter_set_active (&vm->limiter, true);
  update_members (sim, vm);
}

static void
clear_queue (GQueue *q)
{
  g_queue_clear_full (q, g_free);
}

void
rate_sim_kill (RateSim *sim, uint32_t index)
{
  RateSimVm *vm = &sim->vms[index];

  vm->up = false;
  clear_queue (&vm->waiting);
  clear_queue (&vm->inbox);
  ss_rate_limiter_finish (&vm->limiter);
}

void
rate_sim_leave (RateSim *sim, uint32_t index)
{
  RateSimVm *vm = &sim->vms[index];

  vm->leaving = true;
  /* A heartbeat tells the others at once. */
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up && sim->vms[i].partition == vm->partition)
      update_members (sim, &sim->vms[i]);
  ss_rate_limiter_stop (&vm->limiter, local_ms (sim, vm));
}

void
rate_sim_init (RateSim *sim, uint32_t seed, uint32_t vms)
{
  memset (sim, 0, sizeof *sim);
  sim->patience_ms = PATIENCE_MS;
  sim->rand = g_rand_new_with_seed (seed);
  sim->now_ms = START_MS;
  sim->delay_max_ms = DELAY_MS;
  sim->schedule = g_new0 (GQueue, SLOTS);
  for (uint32_t i = 0; i < RATE_SIM_VMS_MAX; i++)
    {
      RateSimVm *vm = &sim->vms[i];

      g_snprintf (vm->name, sizeof vm->name, "v%u", i);
      vm->drift = g_rand_double_range (sim->rand, -0.01, 0.01);
      vm->clock_offset_ms = g_rand_int_range (sim->rand, 10000, 1000000);
    }
  sim->vm_count = vms;
  for (uint32_t i = 0; i < vms; i++)
    sim->vms[i].incarnation = 1;
  for (uint32_t i = 0; i < vms; i++)
    rate_sim_start (sim, i);
}

void
rate_sim_finish (RateSim *sim)
{
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up)
      rate_sim_kill (sim, i);
  for (uint32_t i = 0; i < SLOTS; i++)
    clear_queue (&sim->schedule[i]);
  g_free (sim->schedule);
  for (uint32_t i = 0; i < sim->organisation_count; i++)
    g_array_free (sim->organisations[i].runs, TRUE);
  g_rand_free (sim->rand);
}

uint32_t
rate_sim_add (RateSim *sim, uint32_t rate_per_s, uint32_t burst,
              double demand_per_s)
{
  uint32_t index = sim->organisation_count++;
  RateSimOrganisation *o = &sim->organisations[index];

  g_snprintf (o->name, sizeof o->name, "o%u", index);
  o->rate_per_s = rate_per_s;
  o->burst = burst;
  o->demand_per_s = demand_per_s;
  o->runs = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (uint32_t i = 0; i < sim->vm_count; i++)
    if (sim->vms[i].up)
      rate_sim_set_limit (sim, i, index, rate_per_s, burst);
  return index;
}

void
rate_sim_set_limit (RateSim *sim, uint32_t vm, uint32_t organisation,
                    uint32_t rate_per_s, uint32_t burst)
{
  ss_rate_limiter_set_limit (&sim->vms[vm].limiter,
                             sim->organisations[organisation].name, rate_per_s,
                             burst, local_ms (sim, &sim->vms[vm]));
}

/* --- time --- */

static void
send_random (RateSim *sim, uint32_t organisation)
{
  uint32_t vm
      = (uint32_t) g_rand_int_range (sim->rand, 0, (gint32) sim->vm_count);

  if (sim->vms[vm].up && !sim->vms[vm].leaving
      && sim->now_ms >= sim->vms[vm].paused_until_ms)
    rate_sim_send (sim, vm, organisation);
}

static void
send_demand (RateSim *sim)
{
  for (uint32_t i = 0; i < sim->organisation_count; i++)
    {
      RateSimOrganisation *o = &sim->organisations[i];
      double expected = o->demand_per_s / 1000;

      o->tokens = MIN (o->tokens + o->rate_per_s / 1000.0, o->burst);
      while (expected > 0)
        {
          if (g_rand_double (sim->rand) < expected)
            send_random (sim, i);
          expected -= 1;
        }
    }
}

void
rate_sim_advance (RateSim *sim, int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    {
      GQueue due;
      Message *m;

      sim->now_ms++;
      due = sim->schedule[sim->now_ms % SLOTS];
      g_queue_init (&sim->schedule[sim->now_ms % SLOTS]);
      while ((m = g_queue_pop_head (&due)))
        deliver (sim, m);
      for (uint32_t j = 0; j < sim->vm_count; j++)
        tick_vm (sim, j);
      send_demand (sim);
    }
}

/* --- results --- */

static int
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? -1 : x > y;
}

uint32_t
rate_sim_worst (const RateSim *sim, uint32_t organisation)
{
  GArray *runs = sim->organisations[organisation].runs;
  uint32_t worst = 0;
  guint first = 0;

  g_array_sort (runs, compare_times);
  for (guint i = 0; i < runs->len; i++)
    {
      while (g_array_index (runs, int64_t, i)
                 - g_array_index (runs, int64_t, first)
             >= RATE_SIM_WINDOW_MS)
        first++;
      worst = MAX (worst, i - first + 1);
    }
  return worst;
}

/* Returns how many VMs fill buckets for the share of OWNER in SLOT. */
static uint32_t
count_users (RateSim *sim, uint32_t owner, uint32_t slot)
{
  uint32_t users = 0;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    {
      const RateSimVm *vm = &sim->vms[i];
      const SsRateDelegation *d
          = vm->up ? g_hash_table_lookup (vm->limiter.slots[slot].delegations,
                                          sim->vms[owner].name)
                   : NULL;
      bool is_own = vm->up && i == owner
                    && ss_rate_limiter_uses_own_share (&vm->limiter, slot,
                                                       local_ms (sim, vm));

      users += is_own || (d && local_ms (sim, vm) < d->until_ms) ? 1 : 0;
    }
  return users;
}

uint32_t
rate_sim_doubled (RateSim *sim)
{
  uint32_t doubled = 0;

  for (uint32_t i = 0; i < sim->vm_count; i++)
    for (uint32_t j = 0; j < SS_RATE_SLOTS; j++)
      doubled += count_users (sim, i, j) > 1 ? 1 : 0;
  return doubled;
}

double
rate_sim_bound (uint32_t rate_per_s, uint32_t burst)
{
  return (rate_per_s * (RATE_SIM_WINDOW_MS / 1000.0) + burst)
             * (1 + RATE_SIM_OVERAGE)
         + RATE_SIM_SLACK;
}

void
rate_sim_clear (RateSim *sim)
{
  for (uint32_t i = 0; i < sim->organisation_count; i++)
    {
      RateSimOrganisation *o = &sim->organisations[i];

      o->sent = 0;
      o->served = 0;
      o->refused = 0;
      o->waited = 0;
      o->beyond = 0;
      g_array_set_size (o->runs, 0);
    }
  for (uint32_t i = 0; i < sim->vm_count; i++)
    {
      sim->vms[i].sent = 0;
      sim->vms[i].renewals = 0;
      sim->vms[i].received = 0;
      sim->vms[i].bytes = 0;
    }
}
