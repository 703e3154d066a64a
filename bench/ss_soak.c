/* ss-soak: generates a scenario of random faults from a seed.
 *
 * Faults overlap, have random durations and are all over before the load ends.
 * At most one fault acts on a resource (a VM, its link, a target and so on) at
 * a time, and faults of targets do not overlap with partitions.  Other
 * combinations are not restricted.  ss-scenario runs the scenario.  ss-load
 * checks the consistency guarantees from the callers' results and the targets'
 * contents.
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
/* Attempts to choose a fault whose resource is free. */
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

/* The number of VMs, links and so on. */
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
  int32_t fault_count;
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
vm_killed (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "kill vm %u", window->index);
  add_line (window->soak, window->until_ms, "start vm %u", window->index);
}

/* A graceful shutdown takes as long as it needs: the VM is started again after
 * it exits.
 */
static void
vm_stopped (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "stop vm %u", window->index);
  add_line (window->soak, window->until_ms, "await exit vm %u", window->index);
  add_line (window->soak, window->until_ms, "start vm %u", window->index);
}

static void
vm_frozen (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "freeze vm %u", window->index);
  add_line (window->soak, window->until_ms, "thaw vm %u", window->index);
}

static void
target_killed (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "kill target %u", window->index);
  add_line (window->soak, window->until_ms, "start target %u", window->index);
}

static void
target_frozen (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "freeze target %u", window->index);
  add_line (window->soak, window->until_ms, "thaw target %u", window->index);
}

static void
target_control (const FaultWindow *window, const char *name, int32_t value)
{
  add_line (window->soak, window->at_ms, "control target %u %s %d",
            window->index, name, value);
  add_line (window->soak, window->until_ms, "control target %u %s 0",
            window->index, name);
}

static void
target_slow (const FaultWindow *window)
{
  target_control (window, "slow_ms", random_between (window->soak, 1, 200));
}

static void
target_lagging (const FaultWindow *window)
{
  target_control (window, "apply_lag_ms",
                  random_between (window->soak, 1, 1500));
}

static void
target_slow_connect (const FaultWindow *window)
{
  target_control (window, "connect_ms", random_between (window->soak, 1, 500));
}

static void
target_drained (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms,
            "ctl 0 \"drain target claims-db-%u\" any", window->index + 1);
  add_line (window->soak, window->until_ms,
            "ctl 0 \"undrain target claims-db-%u\" any", window->index + 1);
}

static void
promotion_ordered (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms,
            "ctl %d \"promote group claims-db\" any",
            random_between (window->soak, 0, (int32_t) VMS - 1));
}

static void
domain_partitioned (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "cut %s", domains[window->index]);
  add_line (window->soak, window->until_ms, "heal %s", domains[window->index]);
}

static void
domain_partitioned_with_platform (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "cut %s with-platform",
            domains[window->index]);
  add_line (window->soak, window->until_ms, "heal %s", domains[window->index]);
}

static void
link_fault (const FaultWindow *window, const char *json)
{
  add_line (window->soak, window->at_ms, "link %u '%s'", window->index, json);
  add_line (window->soak, window->until_ms, "link %u '{}'", window->index);
}

static void
link_delayed (const FaultWindow *window)
{
  char json[48];

  g_snprintf (json, sizeof json, "{\"delay_ms\":%d}",
              random_between (window->soak, 1, 400));
  link_fault (window, json);
}

static void
link_silent_in (const FaultWindow *window)
{
  link_fault (window, "{\"silent_in\":true}");
}

static void
link_silent_out (const FaultWindow *window)
{
  link_fault (window, "{\"silent_out\":true}");
}

static void
link_reset (const FaultWindow *window)
{
  add_line (window->soak, window->at_ms, "link %u '{\"reset\":true}'",
            window->index);
}

static void
platform_fault (const FaultWindow *window, const char *name, const char *value,
                const char *normal_value)
{
  add_line (window->soak, window->at_ms, "platform '{\"%s\":%s}'", name, value);
  add_line (window->soak, window->until_ms, "platform '{\"%s\":%s}'", name,
            normal_value);
}

static void
platform_down (const FaultWindow *window)
{
  platform_fault (window, "down", "true", "false");
}

static void
platform_slow (const FaultWindow *window)
{
  char value[16];

  g_snprintf (value, sizeof value, "%d", random_between (window->soak, 1, 800));
  platform_fault (window, "slow_ms", value, "0");
}

static void
platform_lost_responses (const FaultWindow *window)
{
  char value[16];

  g_snprintf (value, sizeof value, "%d", random_between (window->soak, 1, 4));
  platform_fault (window, "lose_after_effect", value, "0");
}

/* The platform is away and comes back from a copy taken when the window began;
 * other clients write their objects again soon after.
 */
static void
platform_restored (const FaultWindow *window)
{
  int64_t away_ms = random_between (window->soak, 0, 500);

  add_line (window->soak, window->at_ms, "platform '{\"copy\":true}'");
  add_line (window->soak, MAX (window->until_ms - away_ms, window->at_ms),
            "platform '{\"down\":true}'");
  add_line (window->soak, window->until_ms,
            "platform '{\"restore\":true,\"down\":false}'");
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
  { RESOURCE_DOMAIN, 3, domain_partitioned_with_platform },
  { RESOURCE_LINK, 2, link_delayed },
  { RESOURCE_LINK, 2, link_silent_in },
  { RESOURCE_LINK, 2, link_silent_out },
  { RESOURCE_LINK, 2, link_reset },
  { RESOURCE_PLATFORM, 2, platform_down },
  { RESOURCE_PLATFORM, 1, platform_slow },
  { RESOURCE_PLATFORM, 2, platform_lost_responses },
  { RESOURCE_PLATFORM, 3, platform_restored },
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
 * target has to run when the partition begins and heals, because a statement
 * tells it so; faults of targets therefore do not overlap with partitions.
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

/* Returns false if the chosen resource is busy at AT_MS. */
static bool
plan_fault (Soak *soak, int64_t at_ms)
{
  const Fault *fault = choose_fault (soak);
  FaultWindow window = { .soak = soak, .at_ms = at_ms };

  window.index = (uint32_t) g_rand_int_range (
      soak->rand, 0, (gint32) resource_sizes[fault->resource]);
  window.until_ms
      = MIN (at_ms + random_between (soak, FAULT_MIN_MS, FAULT_MAX_MS),
             soak->faults_end_ms);
  if (!is_free (soak, fault, window.index, at_ms))
    return false;
  soak->busy_until_ms[fault->resource][window.index]
      = window.until_ms + FAULT_MIN_MS;
  fault->schedule (&window);
  return true;
}

static int
compare_lines (gconstpointer a, gconstpointer b)
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

  for (int32_t i = 0; i < soak->fault_count; i++)
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
  g_ptr_array_sort (soak->lines, compare_lines);
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

/* Prints the checks that every run has to pass, and a check that each VM
 * accepts writes again.
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
          soak->fault_count, seed);
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
  Soak soak
      = { .seconds = 14, .fault_count = 8, .faults_begin_ms = QUIET_START_MS };
  const GOptionEntry options[] = {
    { "seconds", 0, 0, G_OPTION_ARG_INT, &soak.seconds, "Duration of the load",
      "S" },
    { "faults", 0, 0, G_OPTION_ARG_INT, &soak.fault_count,
      "Maximum number of faults", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("SEED - generate a scenario of random faults");
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc != 2
      || soak.fault_count < 0
      || soak.seconds * 1000 <= QUIET_START_MS + QUIET_END_MS)
    {
      fprintf (stderr, "ss-soak: %s\n",
               error ? error->message
                     : "expected one SEED, --faults of 0 or more and "
                       "--seconds of 5 or more");
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
