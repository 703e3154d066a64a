#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_PORT 8783
#define FRONT_PORT 8784
#define READY_PORT 8785
#define PEER_PORT 7440
#define SERVER_PORT 8080
#define STORE_ANSWER_MS 4
#define SLOTS 3
#define SERVER_QUEUE 24
#define MAX_CONNS 21
#define HANDSHAKE_MS 12
#define RECEIVE_MS 8   /* a commit reaches the replicas */
#define APPLY_MS 20    /* and is applied there */
#define PROMOTE_MS 600
#define START_LIMIT_MS 20000
/* Traffic starts this long after the machines do. */
#define LEAD_MS 10000

pthread_mutex_t world_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;

/* --- time and the record --- */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;

static int64_t
clock_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t) ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms () - start_ms;
}

void
sleep_ms (int64_t ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&ts, NULL);
}

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  if (record_file)
    {
      fprintf (record_file, "%9.3f s  ", (double) now_ms () / 1000);
      va_start (args, format);
      vfprintf (record_file, format, args);
      va_end (args);
      fputc ('\n', record_file);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

/* --- addresses --- */

static int net_byte; /* second byte of all addresses: 127.NET.x.y */

static void
front_ip (int front, char *out)
{
  sprintf (out, "127.%d.%d.%d", net_byte, 1 + front / 2, 10 + front % 2);
}

static void
server_ip (int server, char *out)
{
  sprintf (out, "127.%d.64.%d", net_byte, 10 + server);
}

static void
platform_ip (char *out)
{
  sprintf (out, "127.%d.200.1", net_byte);
}

static void
cloud_ip (char *out)
{
  sprintf (out, "127.%d.200.2", net_byte);
}

static int
listen_at (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &a, sizeof a) < 0 || listen (fd, 256) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
connect_to (const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *) &a, sizeof a) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Picks a part of the loopback network in which all ports are free. */
static bool
pick_net (void)
{
  for (int i = 0; i < 100; i++)
    {
      char ip[32];
      int fds[FRONTS + SERVERS + 2];
      int count = 0;
      bool all_free = true;

      net_byte = 60 + (getpid () + i * 7) % 190;
      for (int f = 0; f < FRONTS; f++)
        {
          front_ip (f, ip);
          fds[count++] = listen_at (ip, FRONT_PORT);
        }
      for (int s = 0; s < SERVERS; s++)
        {
          server_ip (s, ip);
          fds[count++] = listen_at (ip, SERVER_PORT);
        }
      platform_ip (ip);
      fds[count++] = listen_at (ip, STORE_PORT);
      for (int k = 0; k < count; k++)
        {
          all_free = all_free && fds[k] >= 0;
          if (fds[k] >= 0)
            close (fds[k]);
        }
      if (all_free)
        return true;
    }
  return false;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 512 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, data) != 0)
    {
      fprintf (stderr, "world: no thread\n");
      exit (2);
    }
  pthread_attr_destroy (&attr);
}

typedef struct
{
  int fd;
  void *(*serve) (void *);
  int arg;
} Listener;

typedef struct
{
  int fd;
  int arg;
} Accepted;

static void *
accept_loop (void *data)
{
  Listener *l = data;

  for (;;)
    {
      int fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      int one = 1;
      Accepted *a;

      if (fd < 0)
        {
          sleep_ms (10);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      a = malloc (sizeof *a);
      a->fd = fd;
      a->arg = l->arg;
      start_thread (l->serve, a);
    }
  return NULL;
}

static bool
serve_at (const char *ip, int port, void *(*serve) (void *), int arg)
{
  Listener *l = malloc (sizeof *l);

  l->fd = listen_at (ip, port);
  l->serve = serve;
  l->arg = arg;
  if (l->fd < 0)
    return false;
  start_thread (accept_loop, l);
  return true;
}

static bool
send_all (int fd, const char *data, size_t bytes)
{
  while (bytes)
    {
      ssize_t sent = send (fd, data, bytes, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      bytes -= (size_t) sent;
    }
  return true;
}

/* --- the store --- */

#define OBJECTS_MAX 256
#define EVENTS_MAX 20000

typedef struct
{
  char kind[64];
  char name[96];
  int64_t revision;
  int64_t created;
  char *spec;
} Object;

typedef struct
{
  char kind[64];
  int64_t revision;
  bool deleted;
  char *text; /* the object */
} Event;

static Object *objects[OBJECTS_MAX];
static int object_count;
static Event *events;
static int event_count;
static int64_t revision = 100;

static char *
object_text (const Object *o)
{
  char *out = malloc (strlen (o->spec) + 512);

  sprintf (out,
           "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,\"created_rev\":%lld,"
           "\"finalizers\":[],\"deletion_pending\":false},\"spec\":%s,"
           "\"status\":null}",
           o->name, (long long) o->revision, (long long) o->created, o->spec);
  return out;
}

static Object *
find_object (const char *kind, const char *name)
{
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i]->kind, kind) == 0
        && strcmp (objects[i]->name, name) == 0)
      return objects[i];
  return NULL;
}

static void
note_event (const Object *o, bool deleted)
{
  Event *e = &events[event_count++];

  snprintf (e->kind, sizeof e->kind, "%s", o->kind);
  e->revision = o->revision;
  e->deleted = deleted;
  e->text = object_text (o);
  pthread_cond_broadcast (&store_changed);
}

/* Creates or replaces; the lock is held. */
static Object *
put_object (const char *kind, const char *name, const char *spec)
{
  Object *o = find_object (kind, name);

  if (o && strcmp (o->spec, spec) == 0)
    return o;
  if (!o)
    {
      int at = 0;

      o = calloc (1, sizeof *o);
      snprintf (o->kind, sizeof o->kind, "%s", kind);
      snprintf (o->name, sizeof o->name, "%s", name);
      o->created = revision + 1;
      while (at < object_count && strcmp (objects[at]->name, name) < 0)
        at++;
      memmove (&objects[at + 1], &objects[at],
               sizeof objects[0] * (size_t) (object_count - at));
      objects[at] = o;
      object_count++;
    }
  free (o->spec);
  o->spec = strdup (spec);
  o->revision = ++revision;
  note_event (o, false);
  return o;
}

int64_t
store_put (const char *kind, const char *name, const char *spec)
{
  int64_t at_ms;

  pthread_mutex_lock (&world_lock);
  put_object (kind, name, spec);
  at_ms = now_ms ();
  pthread_mutex_unlock (&world_lock);
  return at_ms;
}

static void
delete_object (Object *o)
{
  for (int i = 0; i < object_count; i++)
    {
      if (objects[i] != o)
        continue;
      o->revision = ++revision;
      note_event (o, true);
      memmove (&objects[i], &objects[i + 1],
               sizeof objects[0] * (size_t) (object_count - i - 1));
      object_count--;
      free (o->spec);
      free (o);
      return;
    }
}

typedef struct
{
  char *data;
  size_t bytes;
} Text;

static void
text_add (Text *t, const char *more)
{
  size_t n = strlen (more);

  t->data = realloc (t->data, t->bytes + n + 1);
  memcpy (t->data + t->bytes, more, n + 1);
  t->bytes += n;
}

static void
list_kind (Text *out, const char *kind)
{
  char end[64];
  bool first = true;

  text_add (out, "{\"items\":[");
  for (int i = 0; i < object_count; i++)
    {
      char *text;

      if (strcmp (objects[i]->kind, kind) != 0)
        continue;
      text = object_text (objects[i]);
      if (!first)
        text_add (out, ",");
      text_add (out, text);
      first = false;
      free (text);
    }
  sprintf (end, "],\"has_more\":false,\"at_rev\":%lld}", (long long) revision);
  text_add (out, end);
}

static bool
has_events (const char *kind, int64_t since)
{
  for (int i = event_count - 1; i >= 0 && events[i].revision > since; i--)
    if (strcmp (events[i].kind, kind) == 0)
      return true;
  return false;
}

static void
watch_kind (Text *out, const char *kind, int64_t since, int64_t wait_ms)
{
  int64_t due_ms = now_ms () + wait_ms;
  char end[64];
  bool first = true;

  while (!has_events (kind, since) && now_ms () < due_ms)
    {
      struct timespec ts;

      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 20 * 1000000;
      ts.tv_sec += ts.tv_nsec / 1000000000;
      ts.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store_changed, &world_lock, &ts);
    }
  text_add (out, "{\"events\":[");
  for (int i = 0; i < event_count; i++)
    {
      if (events[i].revision <= since || strcmp (events[i].kind, kind) != 0)
        continue;
      text_add (out, first ? "{\"object\":" : ",{\"object\":");
      text_add (out, events[i].text);
      text_add (out, events[i].deleted ? ",\"deleted\":true}"
                                       : ",\"deleted\":false}");
      first = false;
    }
  sprintf (end, "],\"at_rev\":%lld}", (long long) revision);
  text_add (out, end);
}

static int64_t
query_number (const char *query, const char *name)
{
  const char *at = query ? strstr (query, name) : NULL;

  return at ? atoll (at + strlen (name)) : 0;
}

static int server_promote (const char *service, const char *id);

/* Handles one call; returns the status. */
static int
handle_call (const char *method, char *path, const char *body, Text *out)
{
  static const char prefix[] = "/v1/objects/";
  char *query = strchr (path, '?');
  json_t *json = body && *body ? json_loads (body, 0, NULL) : NULL;
  json_t *meta = json_object_get (json, "meta");
  json_t *spec = json_object_get (json, "spec");
  char *kind;
  char *name;
  int status = 200;
  Object *o;
  char *text;

  if (query)
    *query++ = 0;
  if (strcmp (path, "/promotions") == 0)
    {
      const char *service = json_string_value (json_object_get (json, "service"));
      const char *id = json_string_value (json_object_get (json, "id"));

      status = service && id ? server_promote (service, id) : 400;
      text_add (out, "{}");
      json_decref (json);
      return status;
    }
  if (strncmp (path, prefix, sizeof prefix - 1) != 0)
    {
      json_decref (json);
      return 404;
    }
  kind = path + sizeof prefix - 1;
  name = strchr (kind, '/');
  if (name)
    *name++ = 0;
  pthread_mutex_lock (&world_lock);
  if (strcmp (method, "GET") == 0 && !name)
    {
      int64_t since = query_number (query, "watch=");

      if (since)
        watch_kind (out, kind, since, query_number (query, "wait_ms="));
      else
        list_kind (out, kind);
      goto done;
    }
  if (!name)
    name = (char *) json_string_value (json_object_get (meta, "name"));
  o = name ? find_object (kind, name) : NULL;
  if (strcmp (method, "POST") == 0 && o)
    status = 409;
  else if (strcmp (method, "POST") == 0 && name && spec)
    {
      text = json_dumps (spec, JSON_COMPACT);
      o = put_object (kind, name, text);
      free (text);
    }
  else if (!o)
    status = 404;
  else if (strcmp (method, "PUT") == 0)
    {
      int64_t expected
          = json_integer_value (json_object_get (meta, "revision"));

      if (expected && expected != o->revision)
        status = 409;
      else
        {
          text = json_dumps (spec, JSON_COMPACT);
          o = put_object (kind, name, text);
          free (text);
        }
    }
  else if (strcmp (method, "DELETE") == 0)
    {
      int64_t expected = query_number (query, "revision=");

      if (expected && expected != o->revision)
        status = 409;
      else
        {
          delete_object (o);
          o = NULL;
          text_add (out, "{}");
        }
    }
  if (o)
    {
      text = object_text (o);
      text_add (out, text);
      free (text);
    }
done:
  pthread_mutex_unlock (&world_lock);
  json_decref (json);
  return status;
}

/* Serves HTTP/1.1 on a connection that is kept. */
static void *
serve_http (void *data)
{
  Accepted *a = data;
  size_t size = 1 << 20;
  char *buffer = malloc (size);
  size_t used = 0;

  for (;;)
    {
      char *end;
      char method[16] = "";
      char path[1024] = "";
      char *length_at;
      size_t length = 0;
      size_t head;
      char *body;
      Text out = { NULL, 0 };
      char header[256];
      int status;

      buffer[used] = 0;
      end = strstr (buffer, "\r\n\r\n");
      if (!end)
        {
          ssize_t got = used + 1 < size
                            ? recv (a->fd, buffer + used, size - used - 1, 0)
                            : 0;

          if (got <= 0)
            break;
          used += (size_t) got;
          continue;
        }
      head = (size_t) (end - buffer) + 4;
      *end = 0;
      sscanf (buffer, "%15s %1023s", method, path);
      length_at = strcasestr (buffer, "\r\ncontent-length:");
      if (length_at)
        length = (size_t) atoll (length_at + 17);
      *end = '\r';
      while (used < head + length)
        {
          ssize_t got = recv (a->fd, buffer + used, size - used - 1, 0);

          if (got <= 0)
            goto closed;
          used += (size_t) got;
        }
      body = strndup (buffer + head, length);
      memmove (buffer, buffer + head + length, used - head - length);
      used -= head + length;
      status = handle_call (method, path, body, &out);
      free (body);
      sleep_ms (STORE_ANSWER_MS);
      sprintf (header,
               "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
               "Content-Length: %zu\r\n\r\n",
               status, out.bytes);
      if (!send_all (a->fd, header, strlen (header))
          || (out.bytes && !send_all (a->fd, out.data, out.bytes)))
        {
          free (out.data);
          break;
        }
      free (out.data);
    }
closed:
  close (a->fd);
  free (buffer);
  free (a);
  return NULL;
}

/* --- servers --- */

#define LOG_MAX 100000
#define RUNS_MAX 200000

typedef struct
{
  int64_t at_ms;
  char item[32];
  char data[64];
} Entry;

typedef struct
{
  bool is_primary;
  int64_t term;
  int64_t barred;
  int64_t received;
  int64_t applied;
  int running;
  int waiting;
  int connections;
} Server;

int server_work_ms = 8;
bool replicas_deaf;
Run *runs;
int run_count;
static Entry *log_entries; /* of the one history; entry N has number N */
static int64_t log_count;
static int64_t log_deaf_until; /* commits up to here reach the replicas */
static Server servers[SERVERS];
static uint64_t signature_count;

static const char *const zones[] = { "aarhus-hal", "koege-hal", "odense-hal" };
static const char *const ids[] = { "i-7f3a91c2", "i-31b174c2", "i-9e16b79e" };

int
server_primary (void)
{
  for (int i = 0; i < SERVERS; i++)
    if (servers[i].is_primary)
      return i;
  return 0;
}

const char *
server_id (int server)
{
  return ids[server];
}

const char *
server_spec (int server, const char *state, char *out)
{
  char ip[32];

  server_ip (server, ip);
  sprintf (out,
           "{\"service\":\"" SERVICE "\",\"address\":\"%s:%d\","
           "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
           "\"cold_left_ms\":0,\"db_role\":\"%s\",\"sequence\":1}",
           ip, SERVER_PORT, zones[server], SLOTS, state,
           servers[server].is_primary ? "primary" : "replica");
  return out;
}

/* The named server leads the next term with what it had received. */
static int
server_promote (const char *service, const char *id)
{
  int chosen = -1;

  for (int i = 0; i < SERVERS; i++)
    if (strcmp (ids[i], id) == 0)
      chosen = i;
  if (strcmp (service, SERVICE) != 0 || chosen < 0)
    return 409;
  record ("promote %s", id);
  sleep_ms (PROMOTE_MS);
  pthread_mutex_lock (&world_lock);
  if (!servers[chosen].is_primary)
    {
      int64_t term = 0;

      for (int i = 0; i < SERVERS; i++)
        if (servers[i].term >= term)
          term = servers[i].term + 1;
      log_count = servers[chosen].received;
      for (int i = 0; i < SERVERS; i++)
        {
          servers[i].is_primary = i == chosen;
          servers[i].term = term;
          servers[i].barred = 0;
          if (servers[i].received > log_count)
            servers[i].received = log_count;
          if (servers[i].applied > log_count)
            servers[i].applied = log_count;
        }
    }
  pthread_mutex_unlock (&world_lock);
  return 200;
}

/* Replicas receive and apply what the primary committed. */
static void *
replicate (void *data)
{
  (void) data;
  for (;;)
    {
      pthread_mutex_lock (&world_lock);
      if (!replicas_deaf)
        log_deaf_until = log_count;
      for (int i = 0; i < SERVERS; i++)
        {
          Server *s = &servers[i];

          if (s->is_primary)
            {
              s->received = log_count;
              s->applied = log_count;
              continue;
            }
          while (!s->barred && s->received < log_deaf_until
                 && log_entries[s->received + 1].at_ms + RECEIVE_MS <= now_ms ())
            s->received++;
          while (s->applied < s->received
                 && log_entries[s->applied + 1].at_ms + APPLY_MS <= now_ms ())
            s->applied++;
        }
      pthread_mutex_unlock (&world_lock);
      sleep_ms (2);
    }
  return NULL;
}

#define PENDING_MAX 32
#define PREPARED_MAX 256

typedef struct
{
  int fd;
  int server;
  char state; /* I, T, E */
  bool reads_only;
  bool ran_in_transaction;
  Entry pending[PENDING_MAX];
  int pending_count;
  char names[PREPARED_MAX][40];
  bool is_read[PREPARED_MAX];
  int prepared_count;
} Session;

/* Takes a slot; the lock is held.  Returns false if the queue is full. */
static bool
take_slot (Server *s)
{
  if (s->waiting >= SERVER_QUEUE)
    return false;
  s->waiting++;
  while (s->running >= SLOTS)
    pthread_cond_wait (&slot_freed, &world_lock);
  s->waiting--;
  s->running++;
  return true;
}

/* Holds the slot for MS and frees it. */
static void
work (Server *s, int ms)
{
  pthread_mutex_unlock (&world_lock);
  sleep_ms (ms);
  pthread_mutex_lock (&world_lock);
  s->running--;
  pthread_cond_broadcast (&slot_freed);
}

static void
note_run (const Session *c, const char *id, const char *text)
{
  Run *r;

  record ("server %s runs %s %s", ids[c->server], id, text);
  if (run_count >= RUNS_MAX)
    return;
  r = &runs[run_count++];
  r->at_ms = now_ms ();
  r->server = c->server;
  snprintf (r->id, sizeof r->id, "%s", id);
  snprintf (r->text, sizeof r->text, "%s", text);
  r->first = c->state == 'I' || !c->ran_in_transaction;
}

static void
sign (const char *id, char *out)
{
  sprintf (out, "7.%s.%llx", id, (unsigned long long) ++signature_count);
}

bool
is_signature_of (const char *signature, const char *id)
{
  size_t n = strlen (id);

  return strncmp (signature, "7.", 2) == 0
         && strncmp (signature + 2, id, n) == 0 && signature[2 + n] == '.';
}

static void
commit (const Entry *list, int count)
{
  for (int i = 0; i < count && log_count < LOG_MAX - 2; i++)
    {
      log_entries[++log_count] = list[i];
      log_entries[log_count].at_ms = now_ms ();
    }
  servers[server_primary ()].received = log_count;
  servers[server_primary ()].applied = log_count;
}

/* The answer to a read, as of the server's log. */
static void
find_data (const Session *c, const char *item, char *out)
{
  strcpy (out, "-");
  for (int64_t n = servers[c->server].applied; n > 0; n--)
    if (strcmp (log_entries[n].item, item) == 0)
      {
        strcpy (out, log_entries[n].data);
        return;
      }
}

static void
end_transaction (Session *c)
{
  c->state = 'I';
  c->pending_count = 0;
  c->ran_in_transaction = false;
}

/* Runs a read or a write.  Appends ROW, COMPLETE or ERROR to OUT. */
static void
run_statement (Session *c, const char *id, const char *text, bool is_read,
               const char *item, const char *rest, char *out)
{
  Server *s = &servers[c->server];
  char signature[128];

  if (!is_read && (!s->is_primary || c->reads_only))
    {
      sprintf (out, "ERROR READONLY %s\r\n", ids[c->server]);
      if (c->state == 'T')
        c->state = 'E';
      return;
    }
  if (!take_slot (s))
    {
      strcpy (out, "ERROR BUSY full\r\n");
      return;
    }
  note_run (c, id, text);
  work (s, server_work_ms);
  c->ran_in_transaction = c->state == 'T';
  sign (id, signature);
  if (is_read)
    {
      char data[128];

      find_data (c, item, data);
      sprintf (out, "ROW %s\r\nCOMPLETE %s\r\n", data, signature);
      return;
    }
  if (c->state == 'T')
    {
      Entry *e = &c->pending[c->pending_count];

      if (c->pending_count < PENDING_MAX - 1)
        c->pending_count++;
      snprintf (e->item, sizeof e->item, "%s", item);
      snprintf (e->data, sizeof e->data, "%s", rest);
    }
  else
    {
      Entry e = { 0 };

      snprintf (e.item, sizeof e.item, "%s", item);
      snprintf (e.data, sizeof e.data, "%s", rest);
      commit (&e, 1);
    }
  sprintf (out, "COMPLETE %s\r\n", signature);
}

static char *
next_word (char **rest)
{
  char *word = *rest + strspn (*rest, " ");
  size_t n = strcspn (word, " ");

  if (!n)
    return "";
  *rest = word + n;
  if (**rest)
    *(*rest)++ = 0;
  return word;
}

static int
find_prepared (const Session *c, const char *name)
{
  for (int i = 0; i < c->prepared_count; i++)
    if (strcmp (c->names[i], name) == 0)
      return i;
  return -1;
}

static void
status_row (const Session *c, char *out)
{
  Server *s = &servers[c->server];

  sprintf (out, "ROW %s %lld %lld.%lld %lld %d %d %d\r\nCOMPLETE -\r\n",
           s->is_primary ? "primary" : "replica", (long long) s->term,
           (long long) s->term, (long long) s->received,
           (long long) s->barred, s->is_primary ? 0 : APPLY_MS, s->running,
           s->connections);
}

/* Runs QUERY ID TEXT; the lock is held. */
static void
run_query (Session *c, const char *id, const char *whole, char *out)
{
  char *copy = strdup (whole);
  char *rest = copy;
  char *word = next_word (&rest);
  Server *s = &servers[c->server];

  if (strcmp (word, "WAITFOR") == 0)
    {
      char *position = next_word (&rest);
      char *dot = strchr (position, '.');
      int64_t number = dot ? atoll (dot + 1) : 0;

      if (number > s->applied || atoll (position) > s->term)
        {
          sprintf (out, "ERROR LAGGING %s\r\n", ids[c->server]);
          goto done;
        }
      rest += strspn (rest, " ");
      whole = whole + (rest - copy);
      word = next_word (&rest);
    }
  strcpy (out, "COMPLETE -\r\n");
  if (c->state == 'E' && strcmp (word, "ROLLBACK") != 0
      && strcmp (word, "COMMIT") != 0)
    strcpy (out, "ERROR MALFORMED transaction failed\r\n");
  else if (strcmp (word, "STATUS") == 0)
    status_row (c, out);
  else if (strcmp (word, "PAUSE") == 0)
    {
      s->barred = atoll (rest);
      status_row (c, out);
    }
  else if (strcmp (word, "RESUME") == 0)
    {
      s->barred = 0;
      status_row (c, out);
    }
  else if (strcmp (word, "STEPDOWN") == 0)
    {
      int64_t term = atoll (rest);

      if (s->is_primary && s->term < term)
        {
          s->is_primary = false;
          s->barred = term;
        }
      status_row (c, out);
    }
  else if (strcmp (word, "READ") == 0 || strcmp (word, "WRITE") == 0)
    {
      char *item = next_word (&rest);

      run_statement (c, id, whole, *word == 'R', item, rest, out);
    }
  else if (strcmp (word, "BEGIN") == 0)
    {
      c->reads_only = strcmp (next_word (&rest), "READ") == 0;
      if (!c->reads_only && !s->is_primary)
        sprintf (out, "ERROR READONLY %s\r\n", ids[c->server]);
      else
        c->state = 'T';
    }
  else if (strcmp (word, "COMMIT") == 0 && c->state == 'T')
    {
      if (!s->is_primary && c->pending_count)
        {
          sprintf (out, "ERROR READONLY %s\r\n", ids[c->server]);
          end_transaction (c);
          goto done;
        }
      char signature[128];

      if (!take_slot (s))
        {
          strcpy (out, "ERROR BUSY full\r\n");
          goto done;
        }
      note_run (c, id, whole);
      work (s, 1);
      commit (c->pending, c->pending_count);
      end_transaction (c);
      c->reads_only = false;
      sign (id, signature);
      sprintf (out, "COMPLETE %s\r\n", signature);
    }
  else if (strcmp (word, "COMMIT") == 0 || strcmp (word, "ROLLBACK") == 0)
    {
      end_transaction (c);
      c->reads_only = false;
    }
  else if (strcmp (word, "RESET") == 0)
    c->prepared_count = 0;
  else if (strcmp (word, "SET") == 0)
    ;
  else if (strcmp (word, "PREPARE") == 0)
    {
      char *name = next_word (&rest);
      char *mode = next_word (&rest);

      if (c->prepared_count < PREPARED_MAX && find_prepared (c, name) < 0)
        {
          snprintf (c->names[c->prepared_count], 40, "%s", name);
          c->is_read[c->prepared_count++] = strcmp (mode, "READ") == 0;
        }
    }
  else if (strcmp (word, "EXECUTE") == 0)
    {
      int at = find_prepared (c, next_word (&rest));

      if (at < 0)
        strcpy (out, "ERROR UNKNOWN name\r\n");
      else
        {
          char *item = next_word (&rest);

          run_statement (c, id, whole, c->is_read[at], item, rest, out);
        }
    }
  else
    {
      strcpy (out, "ERROR MALFORMED statement\r\n");
      if (c->state == 'T')
        c->state = 'E';
    }
done:
  free (copy);
}

/* Lines end with CR LF, and only with both. */
static char *
find_line_end (char *data, size_t bytes)
{
  return memmem (data, bytes, "\r\n", 2);
}

static void *
serve_line (void *data)
{
  Accepted *a = data;
  size_t size = 2 << 20;
  char *buffer = malloc (size);
  char *out = malloc (4096);
  size_t used = 0;
  Session *c = calloc (1, sizeof *c);
  Server *s = &servers[a->arg];
  bool counted = false;

  c->fd = a->fd;
  c->server = a->arg;
  c->state = 'I';
  for (;;)
    {
      char *end = find_line_end (buffer, used);
      char ready[64];
      char *rest;
      char *word;
      bool close_it = false;

      if (!end)
        {
          ssize_t got
              = used < size ? recv (a->fd, buffer + used, size - used, 0) : 0;

          if (got <= 0)
            break;
          used += (size_t) got;
          continue;
        }
      *end = 0;
      rest = buffer;
      word = next_word (&rest);
      *out = 0;
      pthread_mutex_lock (&world_lock);
      if (strcmp (word, "CONNECT") == 0 && !counted)
        {
          char *service = next_word (&rest);
          char *who = next_word (&rest);
          char *id = next_word (&rest);

          (void) who;
          if (strcmp (service, SERVICE) != 0
              || (*id && strcmp (id, ids[a->arg]) != 0))
            strcpy (out, "ERROR MISROUTED other\r\n");
          else if (s->connections >= MAX_CONNS)
            strcpy (out, "ERROR CONNLIMIT full\r\n");
          else
            {
              counted = true;
              s->connections++;
              if (take_slot (s))
                work (s, HANDSHAKE_MS);
            }
          close_it = *out != 0;
        }
      else if (strcmp (word, "QUERY") == 0 && counted)
        {
          char *id = next_word (&rest);

          run_query (c, id, rest, out);
        }
      else if (strcmp (word, "CLOSE") == 0)
        close_it = true;
      else
        {
          strcpy (out, "ERROR MALFORMED message\r\n");
          close_it = true;
        }
      sprintf (ready, "READY %c %lld.%lld\r\n", c->state, (long long) s->term,
               (long long) s->applied);
      pthread_mutex_unlock (&world_lock);
      if (!close_it)
        strcat (out, ready);
      if (!send_all (a->fd, out, strlen (out)) || close_it)
        break;
      used -= (size_t) (end + 2 - buffer);
      memmove (buffer, end + 2, used);
    }
  pthread_mutex_lock (&world_lock);
  if (counted)
    s->connections--;
  pthread_mutex_unlock (&world_lock);
  close (a->fd);
  free (buffer);
  free (out);
  free (c);
  free (a);
  return NULL;
}

/* --- daemons --- */

static const char *const front_names[FRONTS]
    = { "front-aarhus-hal-1", "front-aarhus-hal-2", "front-koege-hal-1",
        "front-koege-hal-2",  "front-odense-hal-1", "front-odense-hal-2" };
static pid_t front_pids[FRONTS];
static char run_folder[512];

static void
write_settings (int front, const char *path)
{
  FILE *f = fopen (path, "w");
  char ip[32];
  char store[32];
  char cloud[32];
  char seed[32];

  front_ip (front, ip);
  platform_ip (store);
  cloud_ip (cloud);
  fprintf (f,
           "[vm]\nname = \"%s\"\nfailure_domain = \"%s\"\nip = \"%s\"\n"
           "interface = \"line\"\ncallers_at = \"%s:%d\"\n"
           "ready_at = \"%s:%d\"\npeer_port = %d\nadmin_port = 9464\n"
           "cores = 0.25\ngrace_s = 6\n\n[platform]\nat = \"%s:%d\"\n"
           "promotions_at = \"%s:%d\"\napply_ms = 3000\ndrain_ms = 7000\n\n"
           "[peers]\nseeds = \"",
           front_names[front], zones[front / 2], ip, ip, FRONT_PORT, ip,
           READY_PORT, PEER_PORT, store, STORE_PORT, cloud, STORE_PORT);
  for (int i = 0; i < FRONTS; i += 2)
    {
      front_ip (i, seed);
      fprintf (f, "%s:8782 ", seed);
    }
  fprintf (f,
           "\"\nseed_port = %d\n\n[callers]\nidle_timeout_ms = 86400000\n"
           "max = 3500\n\n[rate_limit]\n\n[pace]\ntick_asked_ms = 5\n"
           "tick_busy_ms = 10\ntick_idle_ms = 25\nheartbeat_ms = 250\n"
           "poll_idle_ms = 4000\npoll_lagging_ms = 4000\nsilence_ms = 450\n"
           "unreachable_ms = 900\npoll_asked_ms = 10\nreport_idle_ms = 500\n"
           "report_min_ms = 300\n\n[log]\nlevel = \"info\"\n",
           PEER_PORT);
  fclose (f);
}

void
front_start (int front)
{
  char path[600];
  char log[600];
  pid_t pid;

  snprintf (path, sizeof path, "%s/%s.toml", run_folder, front_names[front]);
  snprintf (log, sizeof log, "%s/%s.log", run_folder, front_names[front]);
  write_settings (front, path);
  pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, 1);
      dup2 (fd, 2);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setenv ("SAPPHIRESTAIR_SETTINGS", path, 1);
      execl ("target/sapphirestaird", "target/sapphirestaird", (char *) NULL);
      _exit (127);
    }
  front_pids[front] = pid;
  record ("%s starts", front_names[front]);
}

void
front_kill (int front)
{
  if (front_pids[front] <= 0)
    return;
  kill (front_pids[front], SIGKILL);
  waitpid (front_pids[front], NULL, 0);
  front_pids[front] = 0;
  record ("%s is killed", front_names[front]);
}

bool
front_is_ready (int front)
{
  static const char ask[]
      = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char ip[32];
  char answer[64] = "";
  int fd;
  bool ready = false;
  struct pollfd p;

  front_ip (front, ip);
  fd = connect_to (ip, READY_PORT, 200);
  if (fd < 0)
    return false;
  p.fd = fd;
  p.events = POLLIN;
  if (send_all (fd, ask, sizeof ask - 1) && poll (&p, 1, 300) == 1
      && recv (fd, answer, sizeof answer - 1, 0) > 0)
    ready = strstr (answer, " 200 ") != NULL;
  close (fd);
  return ready;
}

static bool
all_ready (void)
{
  for (int i = 0; i < FRONTS; i++)
    if (!front_is_ready (i))
      return false;
  return true;
}

void
put_config (int version, bool with_tight)
{
  static const char tight[]
      = ",{\"name\":\"r-4\",\"host\":\"muri814\",\"path_prefix\":\"/\","
        "\"kind\":\"bounded_staleness\",\"timeout_ms\":2000,"
        "\"latency_goal_ms\":800,\"priority\":2,\"service\":\"" SERVICE "\","
        "\"max_attempts\":2,\"max_staleness_ms\":200}";
  char spec[4096];

  snprintf (
      spec, sizeof spec,
      "{\"version\":%d,\"routes\":["
      "{\"name\":\"r-1\",\"host\":\"" DB_OWN "\",\"path_prefix\":\"/\","
      "\"kind\":\"read_your_writes\",\"timeout_ms\":1000,"
      "\"latency_goal_ms\":800,\"priority\":2,\"service\":\"" SERVICE "\","
      "\"max_attempts\":2,\"max_staleness_ms\":2500},"
      "{\"name\":\"r-2\",\"host\":\"" DB_PRIMARY "\",\"path_prefix\":\"/\","
      "\"kind\":\"primary\",\"timeout_ms\":1000,\"latency_goal_ms\":400,"
      "\"priority\":1,\"service\":\"" SERVICE "\",\"max_attempts\":2},"
      "{\"name\":\"r-3\",\"host\":\"" DB_BOUNDED "\",\"path_prefix\":\"/\","
      "\"kind\":\"bounded_staleness\",\"timeout_ms\":2000,"
      "\"latency_goal_ms\":800,\"priority\":2,\"service\":\"" SERVICE "\","
      "\"max_attempts\":2,\"max_staleness_ms\":1500}%s],"
      "\"services\":[{\"name\":\"" SERVICE "\",\"health_path\":\"/health\","
      "\"max_conns\":21,\"protocol\":\"h1\",\"tls\":false,"
      "\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":5000}}",
      version, with_tight ? tight : "");
  store_put ("config", "main", spec);
}

/* Returns the processor time of PID in clock ticks. */
static long
processor_ticks (pid_t pid)
{
  char path[64];
  char text[1024] = "";
  unsigned long user = 0;
  unsigned long kernel = 0;
  char *at;
  FILE *f;

  sprintf (path, "/proc/%d/stat", (int) pid);
  f = fopen (path, "r");
  if (!f)
    return 0;
  if (fgets (text, sizeof text, f) && (at = strrchr (text, ')')))
    sscanf (at + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
            &user, &kernel);
  fclose (f);
  return (long) (user + kernel);
}

double
front_processor_share (int front, int ms)
{
  long before = processor_ticks (front_pids[front]);

  sleep_ms (ms);
  return (double) (processor_ticks (front_pids[front]) - before) * 1000
         / (double) sysconf (_SC_CLK_TCK) / ms;
}

bool
world_start (const char *folder)
{
  char ip[32];
  char spec[512];
  char path[600];

  signal (SIGPIPE, SIG_IGN);
  start_ms = clock_ms ();
  srand ((unsigned) getpid () ^ (unsigned) time (NULL));
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  snprintf (run_folder, sizeof run_folder, "%s",
            getenv ("WORLD_FOLDER") ? getenv ("WORLD_FOLDER") : "/tmp");
  events = calloc (EVENTS_MAX, sizeof *events);
  log_entries = calloc (LOG_MAX, sizeof *log_entries);
  runs = calloc (RUNS_MAX, sizeof *runs);
  for (int i = 0; i < SERVERS; i++)
    servers[i].term = 3;
  servers[0].is_primary = true;
  if (!pick_net ())
    return false;
  for (int i = 0; i < SERVERS; i++)
    {
      server_ip (i, ip);
      if (!serve_at (ip, SERVER_PORT, serve_line, i))
        return false;
    }
  start_thread (replicate, NULL);
  platform_ip (ip);
  if (!serve_at (ip, STORE_PORT, serve_http, 0))
    return false;
  cloud_ip (ip);
  if (!serve_at (ip, STORE_PORT, serve_http, 0))
    return false;
  put_config (7, false);
  for (int i = 0; i < SERVERS; i++)
    store_put ("servers", ids[i], server_spec (i, "ready", spec));
  for (int i = 0; i < FRONTS; i++)
    front_start (i);
  while (!all_ready ())
    {
      if (now_ms () > START_LIMIT_MS)
        return false;
      sleep_ms (100);
    }
  record ("all daemons are ready");
  sleep_ms (LEAD_MS - now_ms ());
  return true;
}

void
world_stop (void)
{
  for (int i = 0; i < FRONTS; i++)
    front_kill (i);
}

/* --- callers --- */

void
new_id (char *out)
{
  sprintf (out, "%08x%08x", (unsigned) rand (), (unsigned) rand ());
}

bool
caller_send (Caller *c, const char *bytes)
{
  return send_all (c->fd, bytes, strlen (bytes));
}

bool
caller_line (Caller *c, char *out, int size, int timeout_ms)
{
  int64_t due_ms = now_ms () + timeout_ms;

  for (;;)
    {
      char *end = memmem (c->buffer, (size_t) c->used, "\r\n", 2);
      struct pollfd p = { .fd = c->fd, .events = POLLIN };
      ssize_t got;
      int64_t left_ms = due_ms - now_ms ();

      if (end)
        {
          int n = (int) (end - c->buffer);

          snprintf (out, (size_t) size, "%.*s", n, c->buffer);
          c->used -= n + 2;
          memmove (c->buffer, end + 2, (size_t) c->used);
          return true;
        }
      if (left_ms <= 0 || poll (&p, 1, (int) left_ms) <= 0)
        return false;
      got = recv (c->fd, c->buffer + c->used,
                  sizeof c->buffer - (size_t) c->used, 0);
      if (got <= 0)
        return false;
      c->used += (int) got;
    }
}

bool
caller_open (Caller *c, int front, const char *db)
{
  char ip[32];
  char text[128];

  memset (c, 0, sizeof *c);
  front_ip (front, ip);
  c->fd = connect_to (ip, FRONT_PORT, 2000);
  if (c->fd < 0)
    return false;
  sprintf (text, "CONNECT %s u3f1\r\n", db);
  if (caller_send (c, text) && caller_line (c, text, sizeof text, 2000)
      && strncmp (text, "READY I", 7) == 0)
    return true;
  caller_close (c);
  return false;
}

void
caller_close (Caller *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
}

Answer
caller_query (Caller *c, const char *id, const char *text, int timeout_ms)
{
  Answer a = { ANSWER_NONE, "", "", 0 };
  AnswerKind kind = ANSWER_NONE;
  char line[1024];

  record ("caller sends %s %s", id, text);
  snprintf (line, sizeof line, "QUERY %s %s\r\n", id, text);
  if (!caller_send (c, line))
    goto done;
  while (caller_line (c, line, sizeof line, timeout_ms))
    {
      if (strncmp (line, "ROW ", 4) == 0)
        snprintf (a.row, sizeof a.row, "%.100s", line + 4);
      else if (strncmp (line, "COMPLETE ", 9) == 0)
        {
          kind = ANSWER_DONE;
          snprintf (a.text, sizeof a.text, "%.200s", line + 9);
        }
      else if (strncmp (line, "ERROR ", 6) == 0)
        {
          kind = ANSWER_ERROR;
          snprintf (a.text, sizeof a.text, "%.200s", line + 6);
        }
      else if (strncmp (line, "READY ", 6) == 0)
        {
          a.state = line[6];
          a.kind = kind;
          break;
        }
    }
done:
  record ("caller gets %s %s %s%s%s", id,
          a.kind == ANSWER_DONE    ? "COMPLETE"
          : a.kind == ANSWER_ERROR ? "ERROR"
                                   : "no answer",
          a.text, *a.row ? " row " : "", a.row);
  return a;
}
