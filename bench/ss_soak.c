/* ss-soak: generates a scenario of random faults from a seed.
 *
 * Faults overlap, have random durations and are all over before the load ends.
 * At most one fault acts on a process at a time; other combinations are not
 * restricted.  ss-scenario runs the scenario.  ss-load checks the consistency
 * guarantees from the callers' results and the targets' contents.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS_PER_DOMAIN 2
#define SERVERS 3
/* Fault-free periods to start up and, at the end, to recover. */
#define QUIET_START_MS 1500
#define QUIET_END_MS 2500
/* Duration of a fault.  The minimum is also the pause between two faults of one
 * resource.
 */
#define FAULT_MAX_MS 4000
#define FAULT_MIN_MS 50
/* Tries to find a fault whose resource is free. */
#define FAULT_TRIES_MAX 8

static const char *const domains[]
    = { "aarhus-hal", "koege-hal", "odense-hal" };

#define DOMAINS ((uint32_t) G_N_ELEMENTS (domains))
#define VMS (DOMAINS * VMS_PER_DOMAIN)

/* What a fault acts on.  One fault at a time may use a resource. */
typedef enum
{
  RESOURCE_VM,
  RESOURCE_LINK,
  RESOURCE_TARGET,
  RESOURCE_DOMAIN,
  RESOURCE_PLATFORM,
  RESOURCE_GROUP,
  RESOURCE_COUNT
} Resource;

static const uint32_t resource_sizes[RESOURCE_COUNT]
    = { VMS, VMS, SERVERS, DOMAINS, 1, 1 };

typedef struct
{
  int64_t at_ms;
  uint32_t order; /* of lines with the same time */
  char *text;
} Line;

typedef struct
{
  GRand *rand;
  GPtrArray *lines; /* of Line */
  int64_t busy_until_ms[RESOURCE_COUNT][VMS];
  int64_t faults_begin_ms;
  int64_t faults_end_ms;
  int32_t seconds;
  int32_t faults;
} Soak;

/* The time in which a fault acts on one resource. */
typedef struct
{
  Soak *soak;
  uint32_t index;
  int64_t at_ms;
  int64_t until_ms;
} FaultWindow;

static void G_GNUC_PRINTF (3, 4)
    add_line (Soak *soak, int64_t at_ms, const char *format, ...)
{
  Line *line = g_new (Line, 1);
  va_list args;

  va_start (args, format);
  line->at_ms = at_ms;
  line->order = soak->lines->len;
  line->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (soak->lines, line);
}

static int32_t
random_between (Soak *soak, int32_t low, int32_t high)
{
  return g_rand_int_range (soak->rand, low, high + 1);
}

/* --- faults --- */

static void
vm_killed (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "kill vm %u", s->index);
  add_line (s->soak, s->until_ms, "start vm %u", s->index);
}

/* A graceful shutdown takes as long as it needs: the VM is started again after
 * it exits.
 */
static void
vm_stopped (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "stop vm %u", s->index);
  add_line (s->soak, s->until_ms, "await exit vm %u", s->index);
  add_line (s->soak, s->until_ms, "start vm %u", s->index);
}

static void
vm_frozen (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "freeze vm %u", s->index);
  add_line (s->soak, s->until_ms, "thaw vm %u", s->index);
}

static void
target_killed (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "kill target %u", s->index);
  add_line (s->soak, s->until_ms, "start target %u", s->index);
}

static void
target_frozen (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "freeze target %u", s->index);
  add_line (s->soak, s->until_ms, "thaw target %u", s->index);
}

static void
target_control (const FaultWindow *s, const char *name, int32_t value)
{
  add_line (s->soak, s->at_ms, "control target %u %s %d", s->index, name,
            value);
  add_line (s->soak, s->until_ms, "control target %u %s 0", s->index, name);
}

static void
target_slow (const FaultWindow *s)
{
  target_control (s, "slow_ms", random_between (s->soak, 1, 200));
}

static void
target_lagging (const FaultWindow *s)
{
  target_control (s, "apply_lag_ms", random_between (s->soak, 1, 1500));
}

static void
target_slow_connect (const FaultWindow *s)
{
  target_control (s, "connect_ms", random_between (s->soak, 1, 500));
}

static void
target_drained (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "ctl 0 \"drain target claims-db-%u\" any",
            s->index + 1);
  add_line (s->soak, s->until_ms, "ctl 0 \"undrain target claims-db-%u\" any",
            s->index + 1);
}

static void
promotion_ordered (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "ctl %d \"promote group claims-db\" any",
            random_between (s->soak, 0, (int32_t) VMS - 1));
}

static void
domain_partitioned (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "cut %s", domains[s->index]);
  add_line (s->soak, s->until_ms, "heal %s", domains[s->index]);
}

static void
link_fault (const FaultWindow *s, const char *json)
{
  add_line (s->soak, s->at_ms, "link %u '%s'", s->index, json);
  add_line (s->soak, s->until_ms, "link %u '{}'", s->index);
}

static void
link_delayed (const FaultWindow *s)
{
  char json[48];

  g_snprintf (json, sizeof json, "{\"delay_ms\":%d}",
              random_between (s->soak, 1, 400));
  link_fault (s, json);
}

static void
link_silent_in (const FaultWindow *s)
{
  link_fault (s, "{\"silent_in\":true}");
}

static void
link_silent_out (const FaultWindow *s)
{
  link_fault (s, "{\"silent_out\":true}");
}

static void
link_reset (const FaultWindow *s)
{
  add_line (s->soak, s->at_ms, "link %u '{\"reset\":true}'", s->index);
}

static void
platform_fault (const FaultWindow *s, const char *name, const char *value,
                const char *normal_value)
{
  add_line (s->soak, s->at_ms, "platform '{\"%s\":%s}'", name, value);
  add_line (s->soak, s->until_ms, "platform '{\"%s\":%s}'", name, normal_value);
}

static void
platform_down (const FaultWindow *s)
{
  platform_fault (s, "down", "true", "false");
}

static void
platform_slow (const FaultWindow *s)
{
  char value[16];

  g_snprintf (value, sizeof value, "%d", random_between (s->soak, 1, 800));
  platform_fault (s, "slow_ms", value, "0");
}

static void
platform_lost_responses (const FaultWindow *s)
{
  char value[16];

  g_snprintf (value, sizeof value, "%d", random_between (s->soak, 1, 4));
  platform_fault (s, "lose_after_effect", value, "0");
}

typedef struct
{
  Resource resource;
  uint32_t weight; /* relative probability */
  void (*schedule) (const FaultWindow *window);
} Fault;

static const Fault faults[] = {
  { RESOURCE_VM, 4, vm_killed },
  { RESOURCE_VM, 2, vm_stopped },
  { RESOURCE_VM, 4, vm_frozen },
  { RESOURCE_TARGET, 3, target_killed },
  { RESOURCE_TARGET, 3, target_frozen },
  { RESOURCE_TARGET, 2, target_slow },
  { RESOURCE_TARGET, 2, target_lagging },
  { RESOURCE_TARGET, 1, target_slow_connect },
  { RESOURCE_TARGET, 1, target_drained },
  { RESOURCE_GROUP, 2, promotion_ordered },
  { RESOURCE_DOMAIN, 3, domain_partitioned },
  { RESOURCE_LINK, 2, link_delayed },
  { RESOURCE_LINK, 2, link_silent_in },
  { RESOURCE_LINK, 2, link_silent_out },
  { RESOURCE_LINK, 2, link_reset },
  { RESOURCE_PLATFORM, 2, platform_down },
  { RESOURCE_PLATFORM, 1, platform_slow },
  { RESOURCE_PLATFORM, 2, platform_lost_responses },
};

/* --- schedule --- */

static const Fault *
choose_fault (Soak *soak)
{
  uint32_t total_weight = 0;
  uint32_t pick;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    total_weight += faults[i].weight;
  pick = (uint32_t) g_rand_int_range (soak->rand, 0, (gint32) total_weight);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      if (pick < faults[i].weight)
        return &faults[i];
      pick -= faults[i].weight;
    }
  return &faults[0];
}

static bool
is_any_busy (const Soak *soak, Resource resource, int64_t at_ms)
{
  for (uint32_t i = 0; i < resource_sizes[resource]; i++)
    if (soak->busy_until_ms[resource][i] > at_ms)
      return true;
  return false;
}

/* ss-standin-network supports one partitioned failure domain at a time.  A
 * partitioned target has to run to be told that the partition has healed.
 */
static bool
is_free (const Soak *soak, const Fault *fault, uint32_t index, int64_t at_ms)
{
  if (soak->busy_until_ms[fault->resource][index] > at_ms)
    return false;
  if (fault->resource == RESOURCE_DOMAIN)
    return !is_any_busy (soak, RESOURCE_TARGET, at_ms)
           && !is_any_busy (soak, RESOURCE_DOMAIN, at_ms);
  return fault->resource != RESOURCE_TARGET
         || !is_any_busy (soak, RESOURCE_DOMAIN, at_ms);
}

static bool
plan_fault (Soak *soak, int64_t at_ms)
{
  const Fault *fault = choose_fault (soak);
  FaultWindow s = { .soak = soak, .at_ms = at_ms };

  s.index = (uint32_t) g_rand_int_range (
      soak->rand, 0, (gint32) resource_sizes[fault->resource]);
  s.until_ms = MIN (at_ms + random_between (soak, FAULT_MIN_MS, FAULT_MAX_MS),
                    soak->faults_end_ms);
  if (!is_free (soak, fault, s.index, at_ms))
    return false;
  soak->busy_until_ms[fault->resource][s.index] = s.until_ms + FAULT_MIN_MS;
  fault->schedule (&s);
  return true;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const Line *x = *(Line *const *) a;
  const Line *y = *(Line *const *) b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static int
compare_numbers (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;

  return x < y ? -1 : x > y;
}

/* Chooses the times first, so that busy resources are tracked in order of
 * time.
 */
static void
plan_faults (Soak *soak)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (int32_t i = 0; i < soak->faults; i++)
    {
      int64_t at_ms
          = random_between (soak, (int32_t) soak->faults_begin_ms,
                            (int32_t) soak->faults_end_ms - FAULT_MIN_MS);

      g_array_append_val (times, at_ms);
    }
  g_array_sort (times, compare_numbers);
  for (guint i = 0; i < times->len; i++)
    for (uint32_t tries = 0; tries < FAULT_TRIES_MAX; tries++)
      if (plan_fault (soak, g_array_index (times, int64_t, i)))
        break;
  g_array_free (times, TRUE);
  g_ptr_array_sort (soak->lines, compare_times);
}

static void
print_lines (const Soak *soak)
{
  int64_t now_ms = 0;

  for (guint i = 0; i < soak->lines->len; i++)
    {
      const Line *line = g_ptr_array_index (soak->lines, i);

      if (line->at_ms > now_ms)
        printf ("wait %d\n", (int) (line->at_ms - now_ms));
      now_ms = line->at_ms;
      puts (line->text);
    }
}

/* Prints the checks that hold in every run, and that each VM accepts writes
 * again.
 */
static void
print_checks (void)
{
  static const char *const zero_fields[] = {
    "ran_though_not_run", "lost", "doubled", "stale", "crossed", "mixed"
  };

  puts ("result");
  puts ("expect compared = 1");
  for (size_t i = 0; i < G_N_ELEMENTS (zero_fields); i++)
    printf ("expect %s = 0\n", zero_fields[i]);
  for (uint32_t i = 0; i < VMS; i++)
    printf ("await-sql %u \"INSERT INTO filings (key, value) "
            "VALUES ('after-%u', 'after-%u')\" \"INSERT 0 1\"\n",
            i, i, i);
}

static void
print_scenario (Soak *soak, int32_t seed)
{
  printf ("# ss-soak --seconds %d --faults %d %d\n", soak->seconds,
          soak->faults, seed);
  printf ("deployment vms=%d servers=%d\n", VMS_PER_DOMAIN, SERVERS);
  printf ("load callers=16 seconds=%d writes=50 transactions=%d ids=%d "
          "roam=10 tokens=50 think-ms=4 seed=%d\n",
          soak->seconds, random_between (soak, 0, 60),
          random_between (soak, 0, 60), seed);
  plan_faults (soak);
  print_lines (soak);
  print_checks ();
}

static void
line_free (gpointer data)
{
  Line *line = data;

  g_free (line->text);
  g_free (line);
}

int
main (int argc, char **argv)
{
  Soak soak = { .seconds = 14, .faults = 8, .faults_begin_ms = QUIET_START_MS };
  const GOptionEntry options[] = {
    { "seconds", 0, 0, G_OPTION_ARG_INT, &soak.seconds, "Duration of the load",
      "S" },
    { "faults", 0, 0, G_OPTION_ARG_INT, &soak.faults,
      "Maximum number of faults", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("SEED - generate a scenario of random faults");
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc != 2
      || soak.faults < 0
      || soak.seconds * 1000 <= QUIET_START_MS + QUIET_END_MS)
    {
      fprintf (stderr, "ss-soak: %s\n",
               error ? error->message
                     : "needs one seed, no negative number of faults, and 5 "
                       "seconds or more");
      return 2;
    }
  g_option_context_free (context);
  soak.faults_end_ms = soak.seconds * 1000 - QUIET_END_MS;
  soak.rand = g_rand_new_with_seed ((guint32) atoi (argv[1]));
  soak.lines = g_ptr_array_new_with_free_func (line_free);
  print_scenario (&soak, atoi (argv[1]));
  g_ptr_array_free (soak.lines, TRUE);
  g_rand_free (soak.rand);
  return 0;
}
