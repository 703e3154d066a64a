/* split: a small deployment of real daemons among stand-ins.
 *
 *   split FOLDER DAEMON NETWORK TROUBLE [slow]
 *
 * Without "slow", one failure domain and the platform are partitioned from the
 * other failure domains.  With it, a daemon gets SIGTERM while a caller is in
 * the middle of reading a long answer (see run_slow).
 *
 * Six daemons in three zones, one service with a server in each zone.  Every
 * connection between daemons, and from a daemon to a server or the platform,
 * passes NETWORK (ss-standin-network), which withholds what would cross the
 * partition.  Servers replicate and step down as the protocol page says, and
 * register every HEARTBEAT_MS while they reach the store; an entry expires
 * after three silent intervals.  Callers of a database of kind "primary" write
 * and read in all zones, each through a ready machine of its own zone.
 *
 * Exit status of the partition: 1 if a read ran on a log that lacks a commit that was
 * acknowledged before the read was sent, 0 if none did, 2 if the run did not
 * take place.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/world/net.h"
#include "tests/world/servers.h"
#include "tests/world/store.h"

#define DATABASE "lepu270"
#define HEARTBEAT_MS 1200
#define EXPIRES_MS (3 * HEARTBEAT_MS)
#define LAG_MS 20
#define PROMOTE_MS 600
#define STEP_DOWN_AFTER_MS 1000
#define FIRST_TERM 3
#define WORK_MS 5
#define CALLERS 6
#define CALLER_PAUSE_MS 25
#define ANSWER_LIMIT_MS 3000
#define START_LIMIT_MS 25000
#define CALM_MS 5000
#define CUT_MS 12000
#define AFTER_MS 4000
#define NETWORK_PORT 9000

/* Of the slow reader. */
#define BIG_ROWS 3000
#define BIG_ROW_BYTES 1000
#define WINDOW_BYTES 16384
#define READ_FIRST_BYTES 100000
#define TERM_AFTER_MS 100
#define READ_ON_AFTER_MS 2700
#define ROUTE_TIMEOUT_MS 3000
#define GRACE_MS 6000
#define SLOW_VM 0
/* The daemon looks at its callers once a second from its start on.  The time of
 * the query in that second makes the runs alike.
 */
#define LOOK_MS 1000
#define QUERY_AT_MS 750

/* The zone with the platform and server 2 is the one that is cut off. */
#define CUT_ZONE 2

typedef struct
{
  char *id;
  int64_t made_ms;
  int64_t acked_us; /* when its caller had the whole answer; 0: not */
  bool rolled_back; /* a promote came without it */
  uint32_t server;
} Commit;

typedef struct
{
  char *id;
  int64_t sent_us; /* before its first byte */
  bool done;
  uint32_t caller;
} Read;

typedef struct
{
  char *id;
  uint32_t server;
  int64_t term;
  GPtrArray *log; /* of Commit: the log that it ran on */
} Run;

typedef struct
{
  bool is_primary;
  int64_t term;
  int64_t barred;
  GPtrArray *log;       /* of Commit */
  int64_t later_ms;     /* since when it reaches a primary of a later term */
  int64_t heartbeat_ms; /* of its last one that reached the store */
} Server;

static const char *const ids[WORLD_SERVERS]
    = { "i-7f3a91c2", "i-31b174c2", "i-9e16b79e" };
static const char *const zones[] = { "aarhus-hal", "koege-hal", "odense-hal" };
static const char *const vm_names[WORLD_VMS]
    = { "front-aarhus-hal-1", "front-aarhus-hal-2", "front-koege-hal-1",
        "front-koege-hal-2",  "front-odense-hal-1", "front-odense-hal-2" };
static const char config_json[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-2\",\"host\":\"" DATABASE
      "\",\"path_prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":1000,"
      "\"latency_goal_ms\":400,\"priority\":1,\"service\":\"" WORLD_SERVICE
      "\",\"max_attempts\":2}],\"services\":[{\"name\":\"" WORLD_SERVICE
      "\",\"health_path\":\"/health\",\"max_conns\":21,\"protocol\":\"h1\","
      "\"tls\":false,\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}";

static GMutex lock;
static Server servers[WORLD_SERVERS];
static GPtrArray *commits;
static GPtrArray *reads;
static GHashTable *runs;
static bool is_cut;
static bool ending;
static uint32_t promotions;
static int64_t promoted_ms;
static bool in_rotation[WORLD_VMS];
static pid_t children[WORLD_VMS + 1];
static int64_t spawned_ms[WORLD_VMS + 1];
static char prefix[32]; /* "127.N." */

/* The same configuration with a longer timeout of the route. */
static const char slow_config_json[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-2\",\"host\":\"" DATABASE
      "\",\"path_prefix\":\"/\",\"kind\":\"primary\",\"timeout_ms\":3000,"
      "\"latency_goal_ms\":400,\"priority\":1,\"service\":\"" WORLD_SERVICE
      "\",\"max_attempts\":2}],\"services\":[{\"name\":\"" WORLD_SERVICE
      "\",\"health_path\":\"/health\",\"max_conns\":21,\"protocol\":\"h1\","
      "\"tls\":false,\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3000}}";

static int64_t
now_us (void)
{
  return g_get_monotonic_time ();
}

/* --- servers; called with the lock held unless said otherwise --- */

static bool
reach (uint32_t a, uint32_t b)
{
  return !is_cut || (a == CUT_ZONE) == (b == CUT_ZONE);
}

static bool
reaches_platform (uint32_t server)
{
  return !is_cut || server == CUT_ZONE;
}

static void
publish (uint32_t i)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"" WORLD_SERVICE "\",\"address\":\"%s74.%u:%d\","
      "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
      "\"cold_left_ms\":0,\"db_role\":\"%s\",\"sequence\":1}",
      prefix, 10 + i, WORLD_SERVER_PORT, zones[i],
      servers[i].is_primary ? "primary" : "replica");

  world_store_put ("servers", ids[i], spec);
  g_free (spec);
}

static void
heartbeat (uint32_t i)
{
  servers[i].heartbeat_ms = world_now_ms ();
  publish (i);
}

static void
become_replica (uint32_t i, const char *why)
{
  servers[i].is_primary = false;
  world_record ("%s is a replica: %s", ids[i], why);
  if (reaches_platform (i))
    heartbeat (i);
}

/* Copies the log of primary P to replica R, without what is too new. */
static void
replicate (Server *r, const Server *p)
{
  guint same = 0;

  while (same < r->log->len && same < p->log->len
         && r->log->pdata[same] == p->log->pdata[same])
    same++;
  g_ptr_array_set_size (r->log, same);
  r->term = p->term;
  while (r->log->len < p->log->len
         && ((Commit *) p->log->pdata[r->log->len])->made_ms + LAG_MS
                <= world_now_ms ())
    g_ptr_array_add (r->log, p->log->pdata[r->log->len]);
}

static int
find_primary (uint32_t i)
{
  int found = -1;

  for (uint32_t j = 0; j < WORLD_SERVERS; j++)
    if (j != i && servers[j].is_primary && reach (i, j)
        && (found < 0 || servers[j].term > servers[found].term))
      found = (int) j;
  return found;
}

static void
tick_server (uint32_t i)
{
  Server *s = &servers[i];
  int p = find_primary (i);

  if (s->is_primary)
    {
      bool later = p >= 0 && servers[p].term > s->term;

      if (!later)
        s->later_ms = 0;
      else if (!s->later_ms)
        s->later_ms = world_now_ms ();
      else if (world_now_ms () - s->later_ms >= STEP_DOWN_AFTER_MS)
        become_replica (i, "it reaches a later primary");
    }
  else if (p >= 0 && servers[p].term >= s->term && !s->barred)
    replicate (s, &servers[p]);
  if (reaches_platform (i)
      && world_now_ms () - s->heartbeat_ms >= HEARTBEAT_MS)
    heartbeat (i);
  else if (s->heartbeat_ms
           && world_now_ms () - s->heartbeat_ms >= EXPIRES_MS)
    world_store_delete ("servers", ids[i]);
}

static gpointer
tick_servers (gpointer data)
{
  while (!ending)
    {
      g_mutex_lock (&lock);
      for (uint32_t i = 0; i < WORLD_SERVERS; i++)
        tick_server (i);
      g_mutex_unlock (&lock);
      world_sleep_ms (3);
    }
  return data;
}

/* Server I leads the next term with what it has. */
static void
lead (uint32_t i)
{
  Server *s = &servers[i];
  int64_t term = 0;

  for (uint32_t j = 0; j < WORLD_SERVERS; j++)
    {
      term = MAX (term, servers[j].term);
      if (reach (i, j))
        servers[j].barred = 0;
    }
  s->is_primary = true;
  s->term = term + 1;
  for (guint j = 0; j < commits->len; j++)
    {
      Commit *c = commits->pdata[j];

      if (!g_ptr_array_find (s->log, c, NULL))
        c->rolled_back = true;
    }
  promotions++;
  promoted_ms = world_now_ms ();
  world_record ("%s leads term %" G_GINT64_FORMAT " with %u commits", ids[i],
                s->term, s->log->len);
  heartbeat (i);
}

/* Called by the store's stand-in, without the lock. */
int
world_servers_promote (const char *service, const char *id)
{
  uint32_t i = 0;

  while (i < WORLD_SERVERS && strcmp (ids[i], id) != 0)
    i++;
  world_record ("POST /promotions: %s", id);
  if (strcmp (service, WORLD_SERVICE) != 0 || i == WORLD_SERVERS
      || !reaches_platform (i))
    return 409;
  world_sleep_ms (PROMOTE_MS);
  g_mutex_lock (&lock);
  if (!servers[i].is_primary)
    lead (i);
  g_mutex_unlock (&lock);
  return 200;
}

/* Answers the statement TEXT with id ID at server I. */
static void
answer (uint32_t i, const char *id, const char *text, GString *out)
{
  Server *s = &servers[i];
  int64_t term = 0;
  int64_t number = 0;
  bool is_status = g_str_has_prefix (text, "STATUS");

  if (sscanf (text, "WAITFOR %" G_GINT64_FORMAT ".%" G_GINT64_FORMAT, &term,
              &number)
      == 2)
    {
      text = strchr (text + strlen ("WAITFOR "), ' ') + 1;
      if (term > s->term || number > (int64_t) s->log->len)
        {
          g_string_append (out, "ERROR LAGGING behind\r\n");
          return;
        }
    }
  if (sscanf (text, "PAUSE %" G_GINT64_FORMAT, &term) == 1)
    {
      if (!s->is_primary && term > s->term)
        s->barred = term;
      is_status = true;
    }
  else if (sscanf (text, "STEPDOWN %" G_GINT64_FORMAT, &term) == 1)
    {
      if (s->is_primary && s->term < term)
        become_replica (i, "STEPDOWN");
      is_status = true;
    }
  else if (g_str_has_prefix (text, "RESUME"))
    {
      s->barred = 0;
      is_status = true;
    }
  if (is_status)
    {
      g_string_append_printf (
          out,
          "ROW %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT ".%u %" G_GINT64_FORMAT
          " 0 0 1\r\nCOMPLETE -\r\n",
          s->is_primary ? "primary" : "replica", s->term, s->term, s->log->len,
          s->barred);
      return;
    }
  if (g_str_has_prefix (text, "WRITE "))
    {
      Commit *c;

      if (!s->is_primary)
        {
          g_string_append_printf (out, "ERROR READONLY %s\r\n", ids[i]);
          return;
        }
      c = g_new0 (Commit, 1);
      c->id = g_strdup (id);
      c->made_ms = world_now_ms ();
      c->server = i;
      g_ptr_array_add (commits, c);
      g_ptr_array_add (s->log, c);
      world_record ("%s commits %s as %" G_GINT64_FORMAT ".%u", ids[i], id,
                    s->term, s->log->len);
      g_string_append_printf (out, "COMPLETE 7.%s\r\n", id);
      return;
    }
  if (g_str_has_prefix (text, "READ big"))
    {
      char *row = g_strnfill (BIG_ROW_BYTES, 'r');

      world_record ("%s runs %s, a long answer", ids[i], id);
      for (uint32_t j = 0; j < BIG_ROWS; j++)
        g_string_append_printf (out, "ROW %s\r\n", row);
      g_string_append_printf (out, "COMPLETE 7.%s\r\n", id);
      g_free (row);
      return;
    }
  if (g_str_has_prefix (text, "READ "))
    {
      Run *run = g_new0 (Run, 1);

      run->id = g_strdup (id);
      run->server = i;
      run->term = s->term;
      run->log = g_ptr_array_copy (s->log, NULL, NULL);
      g_hash_table_replace (runs, run->id, run);
      world_record ("%s runs %s on %" G_GINT64_FORMAT ".%u", ids[i], id,
                    s->term, s->log->len);
      g_string_append_printf (out, "ROW row\r\nCOMPLETE 7.%s\r\n", id);
      return;
    }
  if (g_str_has_prefix (text, "RESET"))
    g_string_append (out, "COMPLETE -\r\n");
  else
    g_string_append (out, "ERROR MALFORMED text\r\n");
}

static void
serve_server (int fd, uint32_t i)
{
  WorldStream stream;
  char *line;

  world_stream_init (&stream, fd);
  while ((line = world_stream_line (&stream, -1)))
    {
      GString *out = g_string_new (NULL);
      char **words = g_strsplit (line, " ", 3);
      guint count = g_strv_length (words);

      if (count == 3 && strcmp (words[0], "QUERY") == 0)
        {
          if (strcmp (words[1], "-") != 0)
            world_sleep_ms (WORK_MS);
          g_mutex_lock (&lock);
          answer (i, words[1], words[2], out);
        }
      else
        g_mutex_lock (&lock);
      g_string_append_printf (out, "READY I %" G_GINT64_FORMAT ".%u\r\n",
                              servers[i].term, servers[i].log->len);
      g_mutex_unlock (&lock);
      if (strcmp (words[0], "CLOSE") != 0)
        world_send (fd, out->str, out->len);
      g_string_free (out, TRUE);
      g_strfreev (words);
      g_free (line);
    }
  world_stream_finish (&stream);
}

static bool
start_servers (void)
{
  for (uint32_t i = 0; i < WORLD_SERVERS; i++)
    {
      char *ip = world_server_ip (i);
      int listener = world_listen (ip, WORLD_SERVER_PORT);

      g_free (ip);
      if (listener < 0)
        return false;
      servers[i].term = FIRST_TERM;
      servers[i].is_primary = i == 0;
      servers[i].log = g_ptr_array_new ();
      world_accept (listener, serve_server, i);
    }
  g_thread_unref (g_thread_new ("servers", tick_servers, NULL));
  return true;
}

/* --- daemons and the network --- */

static void
spawn (uint32_t child, char *const *arguments, const char *settings,
       const char *log)
{
  char **environment = g_environ_setenv (
      g_get_environ (), "SAPPHIRESTAIR_SETTINGS", settings, TRUE);
  int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);

  spawned_ms[child] = world_now_ms ();
  children[child] = fork ();
  if (children[child] == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      for (int i = STDERR_FILENO + 1; i < 1024; i++)
        close (i);
      execve (arguments[0], arguments, environment);
      _exit (127);
    }
  close (fd);
  g_strfreev (environment);
}

static void
start_network (const char *folder, const char *program)
{
  GPtrArray *arguments = g_ptr_array_new ();
  char *log = g_strdup_printf ("%s/network.log", folder);

  g_ptr_array_add (arguments, g_strdup (program));
  g_ptr_array_add (arguments, g_strdup_printf ("%s250.1", prefix));
  g_ptr_array_add (arguments, g_strdup_printf ("%d", NETWORK_PORT));
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    {
      char *ip = world_vm_ip (i);

      g_ptr_array_add (arguments,
                       g_strdup_printf ("%s%u.%u:%d=%s:%d", prefix, 81 + i / 2,
                                        10 + i % 2, WORLD_PEER_PORT, ip,
                                        WORLD_PEER_PORT));
      g_free (ip);
    }
  for (uint32_t i = 0; i < WORLD_SERVERS; i++)
    g_ptr_array_add (arguments,
                     g_strdup_printf ("%s74.%u:%d=%s64.%u:%d", prefix, 10 + i,
                                      WORLD_SERVER_PORT, prefix, 10 + i,
                                      WORLD_SERVER_PORT));
  for (uint32_t i = 1; i <= 2; i++)
    g_ptr_array_add (arguments,
                     g_strdup_printf ("%s210.%u:%d=%s200.%u:%d", prefix, i,
                                      WORLD_PLATFORM_PORT, prefix, i,
                                      WORLD_PLATFORM_PORT));
  g_ptr_array_add (arguments, NULL);
  spawn (WORLD_VMS, (char *const *) arguments->pdata, "", log);
  g_free (log);
}

static void
start_daemon (const char *folder, const char *program, uint32_t vm)
{
  char *ip = world_vm_ip (vm);
  char *path = g_strdup_printf ("%s/%s.toml", folder, vm_names[vm]);
  char *log = g_strdup_printf ("%s/%s.log", folder, vm_names[vm]);
  char *arguments[] = { g_strdup (program), NULL };
  char *text = g_strdup_printf (
      "[vm]\nname = \"%s\"\nfailure_domain = \"%s\"\nip = \"%s\"\n"
      "advertised_ip = \"%s%u.%u\"\n"
      "interface = \"line\"\ncallers_at = \"%s:%d\"\nready_at = \"%s:%d\"\n"
      "peer_port = %d\nadmin_port = 9464\ncores = 0.25\ngrace_s = 6\n\n"
      "[platform]\nat = \"%s210.1:%d\"\npromotions_at = \"%s210.2:%d\"\n"
      "apply_ms = 3000\ndrain_ms = 7000\n\n"
      "[peers]\nseeds = \"%s81.10:%d %s82.10:%d %s83.10:%d \"\nseed_port = %d\n\n"
      "[callers]\nidle_timeout_ms = 86400000\nmax = 3500\n\n[rate_limit]\n\n"
      "[pace]\ntick_asked_ms = 5\ntick_busy_ms = 10\ntick_idle_ms = 25\n"
      "heartbeat_ms = 250\npoll_idle_ms = 4000\npoll_lagging_ms = 4000\n"
      "silence_ms = 450\nunreachable_ms = 900\npoll_asked_ms = 10\n"
      "report_idle_ms = 500\nreport_min_ms = 300\n\n[log]\nlevel = \"info\"\n",
      vm_names[vm], zones[vm / 2], ip, prefix, 81 + vm / 2, 10 + vm % 2, ip,
      WORLD_CALLERS_PORT, ip, WORLD_READY_PORT, WORLD_PEER_PORT, prefix,
      WORLD_PLATFORM_PORT, prefix, WORLD_PLATFORM_PORT, prefix, WORLD_PEER_PORT,
      prefix, WORLD_PEER_PORT, prefix, WORLD_PEER_PORT, WORLD_PEER_PORT);

  g_file_set_contents (path, text, -1, NULL);
  spawn (vm, arguments, path, log);
  g_free (text);
  g_free (log);
  g_free (path);
  g_free (ip);
}

static void
end_children (void)
{
  for (uint32_t i = 0; i <= WORLD_VMS; i++)
    if (children[i] > 0)
      kill (children[i], SIGKILL);
  for (uint32_t i = 0; i <= WORLD_VMS; i++)
    if (children[i] > 0)
      waitpid (children[i], NULL, 0);
}

/* Sends REQUEST to IP:PORT and returns the first line of the answer, or NULL. */
static char *
ask_http (const char *ip, uint16_t port, const char *request)
{
  int fd = world_connect (ip, port, 500);
  WorldStream stream;
  char *line;

  if (fd < 0)
    return NULL;
  world_stream_init (&stream, fd);
  world_send (fd, request, strlen (request));
  line = world_stream_line (&stream, 900);
  world_stream_finish (&stream);
  return line;
}

static bool
is_ready (uint32_t vm)
{
  char *ip = world_vm_ip (vm);
  char *line = ask_http (ip, WORLD_READY_PORT,
                         "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n");
  bool ready = line && strstr (line, " 200");

  g_free (line);
  g_free (ip);
  return ready;
}

/* As the platform does: two misses take a machine out. */
static gpointer
probe (gpointer data)
{
  uint32_t vm = GPOINTER_TO_UINT (data);
  uint32_t misses = 0;

  while (!ending)
    {
      bool ready = is_ready (vm);
      bool before = in_rotation[vm];

      misses = ready ? 0 : misses + 1;
      if (ready)
        in_rotation[vm] = true;
      else if (misses >= 2)
        in_rotation[vm] = false;
      if (before != in_rotation[vm])
        world_record ("%s is %s rotation", vm_names[vm],
                      in_rotation[vm] ? "in" : "out of");
      world_sleep_ms (1000);
    }
  return NULL;
}

static void
set_cut (bool cut)
{
  char *ip = g_strdup_printf ("%s250.1", prefix);
  char *body
      = cut ? g_strdup_printf ("{\"cut_ips\":[\"%s%u.10\",\"%s%u.11\",\"%s64.%u\","
                               "\"%s200.1\",\"%s200.2\"]}",
                               prefix, 1 + CUT_ZONE, prefix, 1 + CUT_ZONE,
                               prefix, 10 + CUT_ZONE, prefix, prefix)
            : g_strdup ("{\"cut_ips\":[]}");
  char *request = g_strdup_printf ("POST /cut HTTP/1.1\r\nHost: x\r\n"
                                   "Connection: close\r\nContent-Length: %zu"
                                   "\r\n\r\n%s",
                                   strlen (body), body);

  g_mutex_lock (&lock);
  is_cut = cut;
  world_record ("%s", cut ? "the partition begins" : "the partition heals");
  g_mutex_unlock (&lock);
  g_free (ask_http (ip, NETWORK_PORT, request));
  g_free (request);
  g_free (body);
  g_free (ip);
}

/* --- callers --- */

/* Reads an answer up to READY.  Returns its COMPLETE or ERROR line, or NULL if
 * the session is of no use any more.
 */
static char *
read_answer (WorldStream *stream)
{
  char *outcome = NULL;
  char *line;

  while ((line = world_stream_line (stream, ANSWER_LIMIT_MS)))
    {
      if (g_str_has_prefix (line, "READY"))
        {
          g_free (line);
          return outcome ? outcome : g_strdup ("READY");
        }
      if (!g_str_has_prefix (line, "ROW"))
        {
          g_free (outcome);
          outcome = g_steal_pointer (&line);
        }
      g_free (line);
    }
  g_free (outcome);
  return NULL;
}

static bool
open_session (WorldStream *stream, uint32_t vm)
{
  char *ip = world_vm_ip (vm);
  int fd = world_connect (ip, WORLD_CALLERS_PORT, 500);
  static const char connect_line[] = "CONNECT " DATABASE " u3f1\r\n";
  char *line;
  bool open;

  g_free (ip);
  if (fd < 0)
    return false;
  world_stream_init (stream, fd);
  world_send (fd, connect_line, strlen (connect_line));
  line = world_stream_line (stream, 2000);
  open = line && g_str_has_prefix (line, "READY");
  g_free (line);
  if (!open)
    world_stream_finish (stream);
  return open;
}

static Commit *
find_commit (const char *id)
{
  for (guint i = commits->len; i > 0; i--)
    {
      Commit *c = commits->pdata[i - 1];

      if (strcmp (c->id, id) == 0)
        return c;
    }
  return NULL;
}

/* Sends one statement.  Returns false if the session has ended. */
static bool
send_statement (WorldStream *stream, uint32_t caller, uint32_t number)
{
  char *id = g_strdup_printf ("c%uq%u", caller, number);
  bool writes = number % 3 == 0;
  char *line = g_strdup_printf ("QUERY %s %s\r\n", id,
                                writes ? "WRITE 1a4 data" : "READ 1a4");
  Read *read = g_new0 (Read, 1);
  char *outcome;
  bool done;

  read->id = g_strdup (id);
  read->caller = caller;
  world_record ("caller %u sends %s %s", caller, id, writes ? "WRITE" : "READ");
  read->sent_us = now_us ();
  world_send (stream->fd, line, strlen (line));
  outcome = read_answer (stream);
  done = outcome && g_str_has_prefix (outcome, "COMPLETE");
  g_mutex_lock (&lock);
  if (done && writes && find_commit (id))
    find_commit (id)->acked_us = now_us ();
  read->done = done;
  if (!writes)
    g_ptr_array_add (reads, read);
  g_mutex_unlock (&lock);
  world_record ("caller %u gets for %s: %s", caller, id,
                outcome ? outcome : "no answer");
  g_free (line);
  g_free (id);
  g_free (outcome);
  return outcome != NULL;
}

static gpointer
call (gpointer data)
{
  uint32_t caller = GPOINTER_TO_UINT (data);
  uint32_t number = 0;
  WorldStream stream;
  bool open = false;

  while (!ending)
    {
      uint32_t zone = caller % 3;
      uint32_t vm = 2 * zone + (number + caller / 3) % 2;

      if (!open && in_rotation[vm])
        open = open_session (&stream, vm);
      number++;
      if (open && !send_statement (&stream, caller, number))
        {
          world_stream_finish (&stream);
          open = false;
        }
      world_sleep_ms (CALLER_PAUSE_MS);
    }
  if (open)
    world_stream_finish (&stream);
  return NULL;
}

/* --- the check --- */

/* Counts the commits that READ should have seen and did not. */
static uint32_t
count_missing (const Read *read, const Run *run, const Commit **example)
{
  GHashTable *had = g_hash_table_new (NULL, NULL);
  uint32_t missing = 0;

  for (guint i = 0; i < run->log->len; i++)
    g_hash_table_add (had, run->log->pdata[i]);
  for (guint i = 0; i < commits->len; i++)
    {
      Commit *c = commits->pdata[i];

      if (!c->acked_us || c->acked_us >= read->sent_us || c->rolled_back
          || g_hash_table_contains (had, c))
        continue;
      *example = c;
      missing++;
    }
  g_hash_table_destroy (had);
  return missing;
}

static int
check (void)
{
  uint32_t done = 0;
  uint32_t stale[2] = { 0, 0 }; /* by whether it ran in the cut zone */
  uint32_t acked = 0;
  uint32_t superseded = 0; /* at the old primary after the promote, acked */

  for (guint i = 0; i < reads->len; i++)
    {
      const Read *read = reads->pdata[i];
      const Run *run = g_hash_table_lookup (runs, read->id);
      const Commit *example = NULL;
      uint32_t missing;

      if (!read->done || !run)
        continue;
      done++;
      missing = count_missing (read, run, &example);
      if (!missing)
        continue;
      stale[run->server == CUT_ZONE]++;
      world_record ("STALE: %s ran at %s in term %" G_GINT64_FORMAT
                    " and lacks %u commits that were acknowledged before it, "
                    "one is %s of %s",
                    read->id, ids[run->server], run->term, missing, example->id,
                    ids[example->server]);
    }
  for (guint i = 0; i < commits->len; i++)
    {
      const Commit *c = commits->pdata[i];

      acked += c->acked_us ? 1 : 0;
      superseded += c->acked_us && promoted_ms && c->made_ms > promoted_ms
                            && c->server != CUT_ZONE
                        ? 1
                        : 0;
    }
  world_record ("reads answered %u, commits acknowledged %u, promotions %u", done,
                acked, promotions);
  world_record ("stale reads at the cut zone's server %u, at the others %u; "
                "commits acknowledged at the old primary after the promote %u",
                stale[1], stale[0], superseded);
  printf ("reads=%u commits=%u promotions=%u stale=%u+%u superseded=%u\n", done,
          acked, promotions, stale[1], stale[0], superseded);
  return stale[0] + stale[1] ? 1 : 0;
}

static bool
all_ready (void)
{
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    if (!in_rotation[i])
      return false;
  return true;
}

/* Returns whether all daemons are ready. */
static bool
start_all (const char *folder, const char *daemon, const char *network,
           const char *config)
{
  world_store_put ("config", "main", config);
  start_network (folder, network);
  world_sleep_ms (200);
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    start_daemon (folder, daemon, i);
  for (uint32_t i = 0; i < WORLD_VMS; i++)
    g_thread_unref (g_thread_new ("probe", probe, GUINT_TO_POINTER (i)));
  while (!all_ready () && world_now_ms () < START_LIMIT_MS)
    world_sleep_ms (100);
  world_sleep_ms (2000);
  return all_ready ();
}

/* Reads from FD up to LIMIT bytes, or to the end if that is 0.  Keeps the last
 * bytes in TAIL.  Returns the number of bytes.
 */
static size_t
drain (int fd, size_t limit, GString *tail)
{
  char bytes[8192];
  size_t sum = 0;
  ssize_t got = 1;

  while ((!limit || sum < limit)
         && (got = recv (fd, bytes, sizeof bytes, 0)) > 0)
    {
      sum += (size_t) got;
      g_string_append_len (tail, bytes, got);
      if (tail->len > 400)
        g_string_erase (tail, 0, (gssize) tail->len - 200);
      if (strstr (tail->str, "\r\nREADY "))
        return sum;
    }
  return sum;
}

/* A caller reads the beginning of a long answer and pauses, as one on a slow
 * link does; its machine gets SIGTERM meanwhile.  It reads on well before the
 * grace period and the route's timeout end, and must get the whole answer.
 */
static int
run_slow (bool trouble)
{
  static const char query[] = "QUERY big1 READ big\r\n";
  char *ip = world_vm_ip (SLOW_VM);
  int fd = world_connect_receiving (ip, WORLD_CALLERS_PORT, 500, WINDOW_BYTES);
  GString *tail = g_string_new (NULL);
  WorldStream stream;
  int64_t sent_ms;
  int64_t end_ms;
  size_t bytes;
  bool whole;
  char *line;

  g_free (ip);
  if (fd < 0)
    return 2;
  world_stream_init (&stream, fd);
  world_send (fd, "CONNECT " DATABASE " u3f1\r\n",
              strlen ("CONNECT " DATABASE " u3f1\r\n"));
  line = world_stream_line (&stream, 2000);
  if (!line || !g_str_has_prefix (line, "READY"))
    return 2;
  world_sleep_ms (LOOK_MS
                  - (world_now_ms () - spawned_ms[SLOW_VM] + LOOK_MS
                     - QUERY_AT_MS)
                        % LOOK_MS);
  sent_ms = world_now_ms ();
  world_record ("the caller sends %.*s", (int) strlen (query) - 2, query);
  world_send (fd, query, strlen (query));
  bytes = drain (fd, READ_FIRST_BYTES, tail);
  if (bytes < READ_FIRST_BYTES)
    return 2;
  world_record ("the caller has read %zu bytes and pauses", bytes);
  world_sleep_ms (sent_ms + TERM_AFTER_MS - world_now_ms ());
  if (trouble)
    {
      world_record ("%s gets SIGTERM", vm_names[SLOW_VM]);
      kill (children[SLOW_VM], SIGTERM);
    }
  world_sleep_ms (sent_ms + READ_ON_AFTER_MS - world_now_ms ());
  world_record ("the caller reads on");
  bytes += drain (fd, 0, tail);
  end_ms = world_now_ms ();
  whole = strstr (tail->str, "COMPLETE 7.big1\r\nREADY ") != NULL;
  world_record ("after %zu bytes and %" G_GINT64_FORMAT
                " ms the answer is %s; of %d bytes of rows; its last bytes: ...%s",
                bytes, end_ms - sent_ms, whole ? "whole" : "cut off",
                BIG_ROWS * BIG_ROW_BYTES,
                tail->str + (tail->len > 60 ? tail->len - 60 : 0));
  printf ("bytes=%zu ms=%" G_GINT64_FORMAT " whole=%d\n", bytes,
          end_ms - sent_ms, whole);
  if (!whole && end_ms - sent_ms >= ROUTE_TIMEOUT_MS)
    return 2;
  world_sleep_ms (sent_ms + TERM_AFTER_MS + GRACE_MS - world_now_ms ());
  return whole ? 0 : 1;
}

static int
run_split (bool trouble)
{
  guint calm;

  for (uint32_t i = 0; i < CALLERS; i++)
    g_thread_unref (g_thread_new ("caller", call, GUINT_TO_POINTER (i)));
  world_sleep_ms (CALM_MS);
  g_mutex_lock (&lock);
  calm = reads->len;
  g_mutex_unlock (&lock);
  if (trouble)
    set_cut (true);
  world_sleep_ms (CUT_MS);
  if (trouble)
    set_cut (false);
  world_sleep_ms (AFTER_MS);
  ending = true;
  world_sleep_ms (ANSWER_LIMIT_MS + 500);
  g_mutex_lock (&lock);
  return calm < 100 ? 2 : check ();
}

int
main (int argc, char **argv)
{
  char *first;
  int status;
  bool slow;
  bool trouble;

  if (argc != 5 && argc != 6)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  commits = g_ptr_array_new ();
  reads = g_ptr_array_new ();
  runs = g_hash_table_new (g_str_hash, g_str_equal);
  if (!world_net_start (argv[1]))
    return 2;
  first = world_vm_ip (0);
  g_snprintf (prefix, sizeof prefix, "%.*s", (int) (strlen (first) - 4), first);
  if (!world_store_start () || !start_servers ())
    return 2;
  slow = argc == 6 && strcmp (argv[5], "slow") == 0;
  trouble = strcmp (argv[4], "0") != 0;
  if (!start_all (argv[1], argv[2], argv[3],
                  slow ? slow_config_json : config_json))
    status = 2;
  else
    status = slow ? run_slow (trouble) : run_split (trouble);
  end_children ();
  world_record ("exit status %d", status);
  world_net_finish ();
  fflush (stdout);
  _exit (status);
}
