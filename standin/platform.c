/* ss-standin-platform: a stand-in for the platform's object API.
 *
 * Stores versioned objects in memory, with conditional updates and watches,
 * and a list of VMs that is published with a delay.  POST /control sets the
 * list and the faults to inject; "slow_ms", "vms_lag_ms" and "rewrite_ms" are
 * in milliseconds.
 *
 * "copy" takes a copy of the store, "restore" returns to the last one: later
 * writes are lost, revisions are given out again, and the header Store-Era of
 * all responses rises by one.  The objects that clients other than the VMs
 * wrote since are written again after "rewrite_ms"; 0: not at all.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/httpd.h"
#include "standin/objects.h"

#define JSON_TYPE "application/json"
#define ERA_HEADER "Store-Era"
#define REWRITE_MS 500
#define TICK_S 0.005

typedef struct
{
  SsHttpRequest *request;
  double due_s;
  bool is_watch;
} PendingRequest;

typedef struct
{
  SsHttpd httpd; /* must be first: handlers cast it to Platform */
  struct ev_loop *loop;
  ev_timer tick;
  Objects objects;
  Objects copy;   /* restored by "restore" */
  Objects before; /* the objects that the last restore replaced */
  int64_t era;    /* rises with each restore */
  int64_t rewrite_ms;
  double rewrite_due_s; /* when lost objects are written again; 0: never */
  json_t *vms;          /* as returned to clients */
  json_t *vms_pending;  /* replaces vms at vms_due_s; NULL: none */
  double vms_due_s;
  GPtrArray *pending_requests;
  bool down;
  int64_t slow_ms;
  int64_t lose_after_effect; /* number of further updates that take effect but
                                get no response */
  int64_t vms_lag_ms;
  GHashTable *partitioned_ips; /* clients whose requests get no response for
                                  1 h, as in a network partition */
  int64_t reads;
  int64_t writes;
} Platform;

static void
reply_json (SsHttpRequest *r, int32_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char *era = g_strdup_printf ("%" G_GINT64_FORMAT,
                               ((Platform *) (void *) r->httpd)->era);

  ss_http_set_response_header (r, ERA_HEADER, era);
  g_free (era);
  ss_http_reply (r, status, JSON_TYPE, text);
  free (text);
  json_decref (body);
}

static json_t *
object_json (const char *key, const Object *o)
{
  return json_pack ("{s:s, s:I, s:O}", "key", key, "version", o->version,
                    "value", o->value);
}

typedef struct
{
  const char *prefix;
  int64_t since;
  json_t *items;
} Listing;

static gboolean
list_one (gpointer key, gpointer value, gpointer data)
{
  Listing *l = data;
  const Object *o = value;

  if (g_str_has_prefix (key, l->prefix) && o->version > l->since)
    json_array_append_new (l->items, object_json (key, o));
  return FALSE;
}

static json_t *
list_objects (Platform *p, const char *prefix, int64_t since)
{
  Listing l = { prefix, since, json_array () };

  g_tree_foreach (p->objects.by_key, list_one, &l);
  return l.items;
}

/* Answers R with the objects that have changed since the revision "since".
 * Returns false without an answer if there are none, unless the wait has
 * EXPIRED or "since" is 0.
 */
static bool
answer_watch (Platform *p, SsHttpRequest *r, bool expired)
{
  const char *prefix = ss_http_query (r, "prefix");
  int64_t since = ss_http_query_number (r, "since", 0);
  json_t *items;

  if (since > p->objects.revision)
    {
      reply_json (r, 410, json_pack ("{s:s}", "error", "no such revision"));
      return true;
    }
  items = list_objects (p, prefix ? prefix : "", since);
  if (json_array_size (items) == 0 && !expired && since > 0)
    {
      json_decref (items);
      return false;
    }
  reply_json (r, 200,
              json_pack ("{s:I, s:o}", "revision", p->objects.revision, "items",
                         items));
  return true;
}

static void
notify_watches (Platform *p)
{
  for (guint i = 0; i < p->pending_requests->len;)
    {
      PendingRequest *pending = g_ptr_array_index (p->pending_requests, i);

      if (pending->is_watch
          && !g_hash_table_contains (p->partitioned_ips,
                                     pending->request->client_ip)
          && answer_watch (p, pending->request, false))
        g_ptr_array_remove_index_fast (p->pending_requests, i);
      else
        i++;
    }
}

static void
put_object (Platform *p, SsHttpRequest *r, const char *key)
{
  int64_t if_version = ss_http_query_number (r, "if_version", -1);
  json_t *value
      = json_loadb ((const char *) r->body->data, r->body->len, 0, NULL);
  const Object *old = g_tree_lookup (p->objects.by_key, key);
  int64_t old_version = old ? old->version : 0;
  const Object *o;

  p->writes++;
  if (!value)
    {
      reply_json (r, 400, json_pack ("{s:s}", "error", "body is not JSON"));
      return;
    }
  if (if_version >= 0 && if_version != old_version)
    {
      json_decref (value);
      reply_json (r, 409,
                  old ? object_json (key, old)
                      : json_pack ("{s:s, s:i}", "key", key, "version", 0));
      return;
    }
  o = objects_put (&p->objects, key, value);
  if (p->lose_after_effect > 0)
    {
      p->lose_after_effect--;
      ss_http_reply (r, 0, JSON_TYPE, NULL);
    }
  else
    reply_json (r, 200, json_pack ("{s:I}", "version", o->version));
  notify_watches (p);
}

static void
get_object (Platform *p, SsHttpRequest *r, const char *key)
{
  const Object *o = g_tree_lookup (p->objects.by_key, key);

  p->reads++;
  if (!o)
    reply_json (r, 404, json_pack ("{s:s}", "error", "no such object"));
  else
    reply_json (r, 200, object_json (key, o));
}

/* Serves R after WAIT_MS; a watch also as soon as an object changes. */
static void
postpone_request (Platform *p, SsHttpRequest *r, int64_t wait_ms, bool is_watch)
{
  PendingRequest *pending = g_new0 (PendingRequest, 1);

  pending->request = r;
  pending->due_s = ev_now (p->loop) + (double) wait_ms / 1000.0;
  pending->is_watch = is_watch;
  g_ptr_array_add (p->pending_requests, pending);
}

static void
serve (Platform *p, SsHttpRequest *r)
{
  static const char objects[] = "/v1/objects/";

  if (g_str_has_prefix (r->path, objects))
    {
      const char *key = r->path + strlen (objects);

      if (strcmp (r->method, "PUT") == 0)
        put_object (p, r, key);
      else
        get_object (p, r, key);
    }
  else if (strcmp (r->path, "/v1/watch") == 0)
    {
      p->reads++;
      if (!answer_watch (p, r, false))
        postpone_request (p, r, ss_http_query_number (r, "wait_ms", 10000),
                          true);
    }
  else if (strcmp (r->path, "/v1/vms") == 0)
    {
      p->reads++;
      reply_json (r, 200, json_incref (p->vms));
    }
  else
    reply_json (r, 404, json_pack ("{s:s}", "error", "no such path"));
}

static void
set_partitioned_ips (Platform *p, json_t *ips)
{
  json_t *ip;
  size_t i;

  g_hash_table_remove_all (p->partitioned_ips);
  json_array_foreach (ips, i, ip)
  {
    g_hash_table_add (p->partitioned_ips, g_strdup (json_string_value (ip)));
  }
}

/* Returns to the last copy.  Waiting watches are cut off without a response. */
static void
restore_copy (Platform *p)
{
  objects_copy (&p->before, &p->objects);
  objects_copy (&p->objects, &p->copy);
  p->era++;
  p->rewrite_due_s
      = p->rewrite_ms ? ev_now (p->loop) + (double) p->rewrite_ms / 1000.0 : 0;
  while (p->pending_requests->len)
    {
      PendingRequest *pending = g_ptr_array_index (p->pending_requests, 0);

      ss_http_reply (pending->request, 0, JSON_TYPE, NULL);
      g_ptr_array_remove_index_fast (p->pending_requests, 0);
    }
}

/* Writes the objects again that a restore lost, as their writers do. */
static void
rewrite_lost (Platform *p)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);

  p->rewrite_due_s = 0;
  objects_collect_foreign (&p->before, &p->objects, keys);
  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      const Object *o = g_tree_lookup (p->before.by_key, key);

      objects_put (&p->objects, key, json_incref (o->value));
    }
  g_ptr_array_free (keys, TRUE);
  notify_watches (p);
}

static void
handle_control (Platform *p, SsHttpRequest *r)
{
  json_t *body
      = json_loadb ((const char *) r->body->data, r->body->len, 0, NULL);
  json_t *item;

  if ((item = json_object_get (body, "down")))
    p->down = json_is_true (item);
  if ((item = json_object_get (body, "slow_ms")))
    p->slow_ms = json_integer_value (item);
  if ((item = json_object_get (body, "lose_after_effect")))
    p->lose_after_effect = json_integer_value (item);
  if ((item = json_object_get (body, "vms_lag_ms")))
    p->vms_lag_ms = json_integer_value (item);
  if ((item = json_object_get (body, "cut_ips")))
    set_partitioned_ips (p, item);
  if ((item = json_object_get (body, "rewrite_ms")))
    p->rewrite_ms = json_integer_value (item);
  if (json_is_true (json_object_get (body, "copy")))
    objects_copy (&p->copy, &p->objects);
  if (json_is_true (json_object_get (body, "restore")))
    restore_copy (p);
  if ((item = json_object_get (body, "vms")))
    {
      json_decref (p->vms_pending);
      p->vms_pending = json_incref (item);
      p->vms_due_s = ev_now (p->loop) + (double) p->vms_lag_ms / 1000.0;
    }
  json_decref (body);
  reply_json (r, 200,
              json_pack ("{s:I, s:I, s:I}", "reads", p->reads, "writes",
                         p->writes, "revision", p->objects.revision));
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  Platform *p = (Platform *) (void *) httpd;

  if (strcmp (r->path, "/control") == 0)
    handle_control (p, r);
  else if (g_hash_table_contains (p->partitioned_ips, r->client_ip))
    postpone_request (p, r, 3600000, false);
  else if (p->down)
    reply_json (r, 503, json_pack ("{s:s}", "error", "outage"));
  else if (p->slow_ms > 0)
    postpone_request (p, r, p->slow_ms, false);
  else
    serve (p, r);
}

static void
on_disconnect (SsHttpd *httpd, SsHttpRequest *r)
{
  Platform *p = (Platform *) (void *) httpd;

  for (guint i = 0; i < p->pending_requests->len; i++)
    {
      PendingRequest *pending = g_ptr_array_index (p->pending_requests, i);

      if (pending->request != r)
        continue;
      g_ptr_array_remove_index_fast (p->pending_requests, i);
      return;
    }
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  Platform *p = w->data;

  (void) events;
  if (p->vms_pending && ev_now (loop) >= p->vms_due_s)
    {
      json_decref (p->vms);
      p->vms = p->vms_pending;
      p->vms_pending = NULL;
    }
  if (p->rewrite_due_s > 0 && ev_now (loop) >= p->rewrite_due_s)
    rewrite_lost (p);
  for (guint i = 0; i < p->pending_requests->len;)
    {
      PendingRequest *pending = g_ptr_array_index (p->pending_requests, i);
      SsHttpRequest *r = pending->request;
      bool is_watch = pending->is_watch;

      if (ev_now (loop) < pending->due_s)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (p->pending_requests, i);
      if (is_watch)
        answer_watch (p, r, true);
      else
        serve (p, r);
    }
}

static void
on_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  (void) w;
  (void) events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  static const SsHttpdClass klass = { handle, on_disconnect };
  static Platform platform;
  static ev_signal on_term;
  static ev_signal on_int;
  Platform *p = &platform;

  if (argc != 3)
    {
      fprintf (stderr, "usage: ss-standin-platform IP PORT\n");
      return 2;
    }
  p->loop = ev_default_loop (0);
  objects_init (&p->objects);
  objects_init (&p->copy);
  objects_init (&p->before);
  p->rewrite_ms = REWRITE_MS;
  p->pending_requests = g_ptr_array_new_with_free_func (g_free);
  p->partitioned_ips
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->vms = json_array ();
  if (!ss_httpd_init (&p->httpd, &klass, p->loop, argv[1],
                      (uint16_t) atoi (argv[2])))
    {
      fprintf (stderr, "ss-standin-platform: can't listen on %s:%s\n", argv[1],
               argv[2]);
      return 1;
    }
  ev_timer_init (&p->tick, on_tick, TICK_S, TICK_S);
  p->tick.data = p;
  ev_timer_start (p->loop, &p->tick);
  ev_signal_init (&on_term, on_signal, SIGTERM);
  ev_signal_start (p->loop, &on_term);
  ev_signal_init (&on_int, on_signal, SIGINT);
  ev_signal_start (p->loop, &on_int);
  ev_run (p->loop, 0);
  return 0;
}
