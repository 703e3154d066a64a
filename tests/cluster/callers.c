#include "tests/cluster/callers.h"

#include <stdio.h>
#include <string.h>

#include "tests/cluster/links.h"
#include "tests/cluster/servers.h"
#include "tests/world/vms.h"

#define CALLERS 24
#define OPEN_MS 2000
#define ANSWER_MS 4000
#define REOPEN_MS 30
#define PAUSE_MS 25
#define PROBE_INTERVAL_MS 500
#define STATEMENTS_MAX 6
#define SHORT_PAUSE_MS 30
#define LONG_PAUSE_MS 1500

/* Shares, in hundredths. */
#define TRANSACTION_PERCENT 40
#define READ_ONLY_PERCENT 25
#define LONG_PAUSE_PERCENT 8
#define LEAVE_PERCENT 4
#define ROLL_BACK_PERCENT 8
#define COMMIT_ANYWAY_PERCENT 40
#define CLOSE_PERCENT 10
#define SETTING_PERCENT 10

typedef struct
{
  uint32_t number;
  GRand *rand;
  uint32_t ids; /* how many it has used */
  bool open;
  WorldStream stream;
  uint32_t vm;
  uint32_t group;
  ClusterKind kind;
  uint32_t session; /* its number among all; 0: none yet */
} Caller;

typedef struct
{
  bool complete;
  char status; /* of the session; 0: it has ended */
} Answer;

static gint ending;
static gint sessions;
static gint in_rotation[WORLD_VMS];
static GThread *threads[CALLERS];
static Caller callers[CALLERS];

char *
cluster_callers_database (uint32_t group, ClusterKind kind)
{
  return g_strdup_printf ("db%u-%d", group, (int) kind);
}

static bool
chance (Caller *c, gint32 percent)
{
  return g_rand_int_range (c->rand, 0, 100) < percent;
}

/* --- where to connect --- */

/* As the platform does: a VM that misses two probes gets no new connections. */
static gpointer
probe (gpointer data)
{
  uint32_t vm = GPOINTER_TO_UINT (data);
  uint32_t misses = 0;

  while (!g_atomic_int_get (&ending))
    {
      misses = world_vms_is_ready (vm) ? 0 : misses + 1;
      if (misses != 1)
        g_atomic_int_set (&in_rotation[vm], misses == 0);
      world_sleep_ms (PROBE_INTERVAL_MS);
    }
  return NULL;
}

/* Prefers a VM of the caller's zone. */
static uint32_t
pick_vm (Caller *c)
{
  uint32_t first = 2 * (c->number % CLUSTER_ZONES)
                   + (uint32_t) g_rand_int_range (c->rand, 0, 2);

  for (uint32_t i = 0; i < WORLD_VMS; i++)
    {
      uint32_t vm = i == 1 ? first ^ 1U : (first + i) % WORLD_VMS;

      if (g_atomic_int_get (&in_rotation[vm]))
        return vm;
    }
  return first;
}

/* --- messages --- */

static Answer
read_answer (Caller *c)
{
  Answer answer = { false, 0 };
  char *line;

  while (!answer.status && (line = world_stream_line (&c->stream, ANSWER_MS)))
    {
      if (g_str_has_prefix (line, "COMPLETE"))
        answer.complete = true;
      else if (g_str_has_prefix (line, "READY "))
        answer.status = line[strlen ("READY ")];
      g_free (line);
    }
  return answer;
}

static void
close_session (Caller *c)
{
  if (c->open)
    world_stream_finish (&c->stream);
  c->open = false;
}

static bool
open_session (Caller *c)
{
  char *database = cluster_callers_database (c->group, c->kind);
  char *hello = g_strdup_printf ("CONNECT %s u%u\r\n", database, c->number);
  char *ip;
  char *line = NULL;
  int fd;

  c->vm = pick_vm (c);
  ip = world_vm_ip (c->vm);
  fd = world_connect (ip, WORLD_CALLERS_PORT, OPEN_MS);
  if (fd >= 0)
    {
      world_stream_init (&c->stream, fd);
      c->open = true;
      if (world_send (fd, hello, strlen (hello)))
        line = world_stream_line (&c->stream, OPEN_MS);
    }
  if (!line || !g_str_has_prefix (line, "READY"))
    close_session (c);
  c->session = (uint32_t) g_atomic_int_add (&sessions, 1) + 1;
  g_free (line);
  g_free (ip);
  g_free (hello);
  g_free (database);
  return c->open;
}

static char *
new_id (Caller *c)
{
  return g_strdup_printf ("c%uq%u", c->number, ++c->ids);
}

static Answer
send_query (Caller *c, const char *id, const char *text)
{
  char *line = g_strdup_printf ("QUERY %s %s\r\n", id, text);
  Answer answer = { false, 0 };

  if (world_send (c->stream.fd, line, strlen (line)))
    answer = read_answer (c);
  if (!answer.status)
    close_session (c);
  g_free (line);
  return answer;
}

/* Sends a statement that is judged; its transaction, or the statement itself,
 * began at FIRST_US.
 */
static Answer
ask (Caller *c, const char *text, int64_t first_us)
{
  char *id = new_id (c);
  ClusterRequest request = { .id = id,
                             .text = text,
                             .group = c->group,
                             .kind = c->kind,
                             .session = c->session,
                             .vm = c->vm,
                             .first_us = first_us };
  Answer answer;

  cluster_history_asked (&request);
  answer = send_query (c, id, text);
  cluster_history_answered (id, answer.complete && answer.status);
  g_free (id);
  return answer;
}

/* --- operations --- */

static gint32
write_percent (const Caller *c)
{
  static const gint32 percent[CLUSTER_KINDS]
      = { [CLUSTER_PRIMARY] = 30, [CLUSTER_OWN_WRITES] = 15 };

  return percent[c->kind];
}

static void
run_single (Caller *c)
{
  const char *text
      = chance (c, write_percent (c)) ? "WRITE 1a4 data" : "READ 1a4";

  ask (c, text, g_get_monotonic_time ());
}

/* Returns false if the transaction can't go on. */
static bool
run_within (Caller *c, int64_t first_us, bool reads_only)
{
  char *id;
  Answer answer;

  if (chance (c, SETTING_PERCENT))
    {
      id = new_id (c);
      answer = send_query (c, id, "SET a 1");
      g_free (id);
    }
  else if (!reads_only && chance (c, write_percent (c)))
    {
      id = new_id (c);
      answer = send_query (c, id, "WRITE 1a4 data");
      g_free (id);
    }
  else
    answer = ask (c, "READ 1a4", first_us);
  return answer.complete && answer.status == 'T';
}

static void
pause_within (Caller *c)
{
  gint32 limit_ms
      = chance (c, LONG_PAUSE_PERCENT) ? LONG_PAUSE_MS : SHORT_PAUSE_MS;

  world_sleep_ms (g_rand_int_range (c->rand, 0, limit_ms));
}

static void
end_transaction (Caller *c, int64_t first_us, bool failed)
{
  char *id = new_id (c);

  if (chance (c, LEAVE_PERCENT))
    close_session (c);
  else if (failed ? chance (c, COMMIT_ANYWAY_PERCENT)
                  : !chance (c, ROLL_BACK_PERCENT))
    ask (c, "COMMIT", first_us);
  else
    send_query (c, id, "ROLLBACK");
  g_free (id);
}

static void
run_transaction (Caller *c)
{
  int64_t first_us = g_get_monotonic_time ();
  bool reads_only = chance (c, READ_ONLY_PERCENT);
  gint32 statements = g_rand_int_range (c->rand, 0, STATEMENTS_MAX + 1);
  char *id = new_id (c);
  Answer answer = send_query (c, id, reads_only ? "BEGIN READ" : "BEGIN");
  bool goes_on = answer.complete && answer.status == 'T';

  g_free (id);
  for (gint32 i = 0; i < statements && goes_on; i++)
    {
      pause_within (c);
      goes_on = run_within (c, first_us, reads_only);
    }
  if (c->open)
    {
      pause_within (c);
      end_transaction (c, first_us, !goes_on);
    }
}

static void
pick_route (Caller *c)
{
  static const ClusterKind kinds[]
      = { CLUSTER_PRIMARY,    CLUSTER_PRIMARY,    CLUSTER_PRIMARY,
          CLUSTER_OWN_WRITES, CLUSTER_OWN_WRITES, CLUSTER_BOUNDED };

  c->group = (uint32_t) g_rand_int_range (c->rand, 0, CLUSTER_GROUPS);
  c->kind = kinds[g_rand_int_range (c->rand, 0, G_N_ELEMENTS (kinds))];
}

static gpointer
run_caller (gpointer data)
{
  Caller *c = data;

  while (!g_atomic_int_get (&ending))
    {
      if (!c->open)
        {
          pick_route (c);
          if (!open_session (c))
            {
              world_sleep_ms (REOPEN_MS);
              continue;
            }
        }
      if (chance (c, TRANSACTION_PERCENT))
        run_transaction (c);
      else
        run_single (c);
      if (chance (c, CLOSE_PERCENT))
        close_session (c);
      world_sleep_ms (g_rand_int_range (c->rand, 0, 2 * PAUSE_MS));
    }
  close_session (c);
  return NULL;
}

void
cluster_callers_start (uint32_t seed)
{
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    g_thread_unref (g_thread_new ("probe", probe, GUINT_TO_POINTER (i)));
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      callers[i].number = i;
      callers[i].rand = g_rand_new_with_seed (seed * CALLERS + i);
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
}

void
cluster_callers_stop (void)
{
  g_atomic_int_set (&ending, 1);
  for (uint32_t i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}
