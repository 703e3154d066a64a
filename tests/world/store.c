#include "tests/world/store.h"

#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

#include "tests/world/net.h"
#include "tests/world/servers.h"

#define OBJECTS_PATH "/v1/objects/"
#define FIRST_REVISION 100
#define ANSWER_MS 4

typedef struct
{
  char *kind;
  char *name;
  json_int_t revision;
  json_int_t created;
  json_t *spec;
} Object;

typedef struct
{
  char *kind;
  json_int_t revision;
  json_t *json; /* of the event */
} Event;

/* A call as it arrived, and its answer. */
typedef struct
{
  char *method;
  char *path;
  char *query; /* "" if there is none */
  json_t *body;
  json_t *answer;
} Call;

#define LATE_MS 1500

static const WorldStoreLinks *links;
static GMutex lock;
static GCond changed;
static GTree *objects; /* kind and name -> Object */
static GPtrArray *events;
static json_int_t revision = FIRST_REVISION;

static char *
object_key (const char *kind, const char *name)
{
  return g_strconcat (kind, "/", name, NULL);
}

static json_t *
object_json (const Object *o)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta", "name",
                    o->name, "revision", o->revision, "created_rev", o->created,
                    "finalizers", "deletion_pending", 0, "spec", o->spec,
                    "status");
}

/* The functions below are called with the lock held. */

static Object *
find_object (const char *kind, const char *name)
{
  char *key = object_key (kind, name);
  Object *o = g_tree_lookup (objects, key);

  g_free (key);
  return o;
}

static void
note_event (Object *o, bool deleted)
{
  Event *e = g_new0 (Event, 1);

  o->revision = ++revision;
  e->kind = g_strdup (o->kind);
  e->revision = revision;
  e->json = json_pack ("{s:o, s:b}", "object", object_json (o), "deleted",
                       deleted ? 1 : 0);
  g_ptr_array_add (events, e);
  g_cond_broadcast (&changed);
}

static Object *
create_object (const char *kind, const char *name)
{
  Object *o = g_new0 (Object, 1);

  o->kind = g_strdup (kind);
  o->name = g_strdup (name);
  o->created = revision + 1;
  g_tree_insert (objects, object_key (kind, name), o);
  return o;
}

static Object *
put_object (const char *kind, const char *name, json_t *spec)
{
  Object *o = find_object (kind, name);

  if (o && json_equal (o->spec, spec))
    return o;
  if (!o)
    o = create_object (kind, name);
  json_decref (o->spec);
  o->spec = json_incref (spec);
  note_event (o, false);
  return o;
}

static void
delete_object (Object *o)
{
  char *key = object_key (o->kind, o->name);

  note_event (o, true);
  g_tree_remove (objects, key);
  g_free (key);
}

/* --- calls --- */

typedef struct
{
  const char *kind;
  json_t *items;
} Listing;

static gboolean
add_item (gpointer key, gpointer value, gpointer data)
{
  Listing *listing = data;
  const Object *o = value;

  (void) key;
  if (strcmp (o->kind, listing->kind) == 0)
    json_array_append_new (listing->items, object_json (o));
  return FALSE;
}

static json_t *
list_kind (const char *kind)
{
  Listing listing = { kind, json_array () };

  g_tree_foreach (objects, add_item, &listing);
  return json_pack ("{s:o, s:b, s:I}", "items", listing.items, "has_more", 0,
                    "at_rev", revision);
}

static json_t *
events_since (const char *kind, json_int_t since)
{
  json_t *list = json_array ();

  for (guint i = 0; i < events->len; i++)
    {
      const Event *e = g_ptr_array_index (events, i);

      if (e->revision > since && strcmp (e->kind, kind) == 0)
        json_array_append (list, e->json);
    }
  return list;
}

static json_t *
watch_kind (const char *kind, json_int_t since, int64_t wait_ms)
{
  gint64 end_us = g_get_monotonic_time () + wait_ms * 1000;
  json_t *list = events_since (kind, since);

  while (!json_array_size (list) && g_cond_wait_until (&changed, &lock, end_us))
    {
      json_decref (list);
      list = events_since (kind, since);
    }
  return json_pack ("{s:o, s:I}", "events", list, "at_rev", revision);
}

static json_int_t
query_number (const char *query, const char *name)
{
  const char *at = strstr (query, name);

  return at ? g_ascii_strtoll (at + strlen (name), NULL, 10) : 0;
}

static json_int_t
expected_revision (const Call *call)
{
  json_t *meta = json_object_get (call->body, "meta");
  json_int_t in_body = json_integer_value (json_object_get (meta, "revision"));

  return in_body ? in_body : query_number (call->query, "revision=");
}

/* Changes an object that exists. */
static int
change_object (Call *call, Object *o)
{
  json_int_t expected = expected_revision (call);
  json_t *spec = json_object_get (call->body, "spec");
  int status = expected && expected != o->revision ? 409 : 200;

  if (status == 200 && strcmp (call->method, "DELETE") == 0)
    {
      delete_object (o);
      call->answer = json_object ();
      return status;
    }
  if (status == 200 && spec && strcmp (call->method, "PUT") == 0)
    o = put_object (o->kind, o->name, spec);
  call->answer = object_json (o);
  return status;
}

static int
call_object (Call *call, const char *kind, const char *name)
{
  json_t *spec = json_object_get (call->body, "spec");
  Object *o = find_object (kind, name);
  bool creates = strcmp (call->method, "POST") == 0;

  if (!o && creates && spec)
    {
      call->answer = object_json (put_object (kind, name, spec));
      return 200;
    }
  if (!o)
    return 404;
  if (!creates)
    return change_object (call, o);
  call->answer = object_json (o);
  return 409;
}

static int
call_kind (Call *call, const char *kind)
{
  json_t *meta = json_object_get (call->body, "meta");
  const char *name = json_string_value (json_object_get (meta, "name"));
  json_int_t since = query_number (call->query, "watch=");

  if (strcmp (call->method, "GET") != 0)
    return name ? call_object (call, kind, name) : 400;
  call->answer
      = since ? watch_kind (kind, since, query_number (call->query, "wait_ms="))
              : list_kind (kind);
  return 200;
}

static int
call_store (Call *call)
{
  char **parts = g_strsplit (call->path + strlen (OBJECTS_PATH), "/", 2);
  int status;

  g_mutex_lock (&lock);
  status = parts[1] ? call_object (call, parts[0], parts[1])
                    : call_kind (call, parts[0]);
  g_mutex_unlock (&lock);
  g_strfreev (parts);
  return status;
}

static int
call_promotions (const Call *call)
{
  json_t *service = json_object_get (call->body, "service");
  json_t *id = json_object_get (call->body, "id");

  if (!json_is_string (service) || !json_is_string (id))
    return 400;
  return world_servers_promote (json_string_value (service),
                                json_string_value (id));
}

static int
handle_call (Call *call)
{
  if (strcmp (call->path, "/promotions") == 0)
    return call_promotions (call);
  if (g_str_has_prefix (call->path, OBJECTS_PATH))
    return call_store (call);
  return 404;
}

/* --- HTTP --- */

/* Reads the headers up to the empty line.  Returns false if the connection
 * ended.
 */
static bool
read_headers (WorldStream *stream, size_t *body_bytes)
{
  static const char length[] = "content-length:";
  bool at_end = false;

  *body_bytes = 0;
  while (!at_end)
    {
      char *line = world_stream_line (stream, -1);

      if (!line)
        return false;
      if (g_ascii_strncasecmp (line, length, sizeof length - 1) == 0)
        *body_bytes
            = (size_t) g_ascii_strtoull (line + sizeof length - 1, NULL, 10);
      at_end = !*line;
      g_free (line);
    }
  return true;
}

static bool
read_call (WorldStream *stream, const char *first_line, Call *call)
{
  char **words = g_strsplit (first_line, " ", 3);
  bool valid = g_strv_length (words) == 3;
  char *body = NULL;
  char *question;
  size_t bytes = 0;

  memset (call, 0, sizeof *call);
  if (valid && read_headers (stream, &bytes))
    body = world_stream_take (stream, bytes);
  if (body)
    {
      call->method = g_strdup (words[0]);
      call->path = g_strdup (words[1]);
      question = strchr (call->path, '?');
      call->query = question ? question + 1 : "";
      if (question)
        *question = 0;
      call->body = json_loads (body, 0, NULL);
    }
  g_strfreev (words);
  g_free (body);
  return call->method != NULL;
}

static bool
send_answer (int fd, const Call *call, int status)
{
  char *body = call->answer ? json_dumps (call->answer, JSON_COMPACT) : NULL;
  const char *text = body ? body : "{}";
  char *message
      = g_strdup_printf ("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         status, strlen (text), text);
  bool sent = world_send (fd, message, strlen (message));

  g_free (message);
  free (body);
  return sent;
}

static WorldCallFate
find_fate (const WorldStream *stream, const Call *call)
{
  return links ? links->fate (stream->fd, call->method, call->path)
               : WORLD_CALL_SERVED;
}

/* Returns false if the connection ends. */
static bool
carry_out (WorldStream *stream, Call *call)
{
  WorldCallFate fate = find_fate (stream, call);
  int status = 503;

  if (links && !links->await (stream->fd, false))
    return false;
  if (fate == WORLD_CALL_LATE)
    {
      shutdown (stream->fd, SHUT_RDWR);
      world_sleep_ms (LATE_MS);
    }
  if (fate != WORLD_CALL_REFUSED)
    status = handle_call (call);
  world_sleep_ms (ANSWER_MS);
  if (fate == WORLD_CALL_LATE || fate == WORLD_CALL_UNANSWERED
      || (links && !links->await (stream->fd, true)))
    return false;
  return send_answer (stream->fd, call, status);
}

static bool
serve_call (WorldStream *stream, const char *first_line)
{
  Call call;
  bool sent = false;

  if (read_call (stream, first_line, &call))
    sent = carry_out (stream, &call);
  g_free (call.method);
  g_free (call.path);
  json_decref (call.body);
  json_decref (call.answer);
  return sent;
}

static void
serve_http (int fd, uint32_t number)
{
  WorldStream stream;
  char *line;
  bool open = true;

  (void) number;
  world_stream_init (&stream, fd);
  while (open && (line = world_stream_line (&stream, -1)))
    {
      open = serve_call (&stream, line);
      g_free (line);
    }
  world_stream_finish (&stream);
}

static bool
serve_at (char *ip)
{
  int listener = world_listen (ip, WORLD_PLATFORM_PORT);

  g_free (ip);
  if (listener >= 0)
    world_accept (listener, serve_http, 0);
  return listener >= 0;
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

static void
free_object (gpointer data)
{
  Object *o = data;

  g_free (o->kind);
  g_free (o->name);
  json_decref (o->spec);
  g_free (o);
}

void
world_store_set_links (const WorldStoreLinks *wanted)
{
  links = wanted;
}

bool
world_store_start (void)
{
  objects = g_tree_new_full (compare_keys, NULL, g_free, free_object);
  events = g_ptr_array_new ();
  return serve_at (world_store_ip ()) && serve_at (world_promotions_ip ());
}

void
world_store_put (const char *kind, const char *name, const char *spec)
{
  json_t *json = json_loads (spec, 0, NULL);

  g_mutex_lock (&lock);
  put_object (kind, name, json);
  g_mutex_unlock (&lock);
  json_decref (json);
}

void
world_store_delete (const char *kind, const char *name)
{
  Object *o;

  g_mutex_lock (&lock);
  o = find_object (kind, name);
  if (o)
    delete_object (o);
  g_mutex_unlock (&lock);
}
