/* platform_http: the platform's object API, by HTTP and JSON. */
#include <curl/curl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/plugin.h"

#define CALL_TIMEOUT_MS 1500L
#define WATCH_WAIT_MS 8000
#define WATCH_TIMEOUT_MS (WATCH_WAIT_MS + 2000L)
#define ANSWER_MAX_BYTES (64U * 1024 * 1024)

typedef struct
{
  SsActionKind kind;
  uint64_t id;
  int64_t since;
  char *key;
  char *body;
  CURL *easy;
  GByteArray *answer;
  int64_t started_ms;
} Call;

typedef struct
{
  ev_io io;
  curl_socket_t fd;
} Socket;

static struct
{
  SsShell *shell;
  CURLM *multi;
  ev_timer timer;
  struct curl_slist *headers;
  GHashTable *calls; /* set of Call: those under way */
} platform;

/* Ends CALL, under way or answered. */
static void
free_call (Call *call)
{
  g_hash_table_remove (platform.calls, call);
  curl_multi_remove_handle (platform.multi, call->easy);
  curl_easy_cleanup (call->easy);
  g_byte_array_free (call->answer, TRUE);
  g_free (call->key);
  g_free (call->body);
  g_free (call);
}

/* --- answers --- */

/* Whether the call took effect is unknown unless the answer says it. */
static SsPlatformOutcome
outcome_of (Call *call, CURLcode code)
{
  long status = 0;

  if (code == CURLE_COULDNT_CONNECT)
    return SS_PLATFORM_REFUSED;
  if (code != CURLE_OK)
    return SS_PLATFORM_UNKNOWN;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  switch (status)
    {
    case 200:
      return SS_PLATFORM_DONE;
    case 404:
      return SS_PLATFORM_ABSENT;
    case 409:
      return SS_PLATFORM_CONFLICT;
    default:
      return SS_PLATFORM_REFUSED;
    }
}

/* Fills OUT from {"key", "version", "value"}; *TEXT holds the value. */
static bool
read_object (json_t *json, SsObject *out, char **text)
{
  json_t *value = json_object_get (json, "value");

  out->key = json_string_value (json_object_get (json, "key"));
  out->version = json_integer_value (json_object_get (json, "version"));
  *text = value ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  out->value = *text;
  out->value_bytes = *text ? (uint32_t) strlen (*text) : 0;
  return out->key && *text;
}

static void
report_watch (Call *call, SsPlatformOutcome outcome, json_t *json)
{
  json_t *items = json_object_get (json, "items");
  size_t count = json_array_size (items);
  SsObject *objects = g_new0 (SsObject, count + 1);
  char **texts = g_new0 (char *, count + 1);
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECTS };
  uint32_t taken = 0;

  for (size_t i = 0; i < count; i++)
    if (read_object (json_array_get (items, i), &objects[taken], &texts[taken]))
      taken++;
  e.platform_objects.outcome = outcome;
  e.platform_objects.since = call->since;
  e.platform_objects.revision
      = json_integer_value (json_object_get (json, "revision"));
  e.platform_objects.objects = objects;
  e.platform_objects.object_count = taken;
  ss_shell_event (platform.shell, &e);
  for (uint32_t i = 0; i <= count; i++)
    free (texts[i]);
  g_free (texts);
  g_free (objects);
}

static void
report_object (Call *call, SsPlatformOutcome outcome, json_t *json)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_OBJECT };
  SsObject *object = &e.platform_object.object;
  char *text = NULL;

  e.platform_object.call = call->id;
  e.platform_object.outcome = outcome;
  if (call->kind == SS_ACTION_PLATFORM_PUT && outcome == SS_PLATFORM_DONE)
    {
      object->version = json_integer_value (json_object_get (json, "version"));
      object->value = call->body;
      object->value_bytes = (uint32_t) strlen (call->body);
    }
  else if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    {
      if (!read_object (json, object, &text))
        e.platform_object.outcome = SS_PLATFORM_UNKNOWN;
    }
  object->key = call->key;
  ss_shell_event (platform.shell, &e);
  free (text);
}

static void
report_vms (Call *call, SsPlatformOutcome outcome)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_VMS };

  if (outcome == SS_PLATFORM_DONE)
    {
      e.platform_vms.json = (const char *) call->answer->data;
      e.platform_vms.json_bytes = call->answer->len;
    }
  ss_shell_event (platform.shell, &e);
}

static void
log_span (const Call *call, SsPlatformOutcome outcome)
{
  static const char *const outcomes[] = {
#define X(id, name) name,
    SS_PLATFORM_OUTCOMES (X)
#undef X
  };
  char detail[96];

  g_snprintf (detail, sizeof detail,
              "hop=platform ms=%" G_GINT64_FORMAT " outcome=%s",
              ss_clock_now_ms (platform.shell->clock) - call->started_ms,
              outcomes[outcome]);
  ss_log_write (&platform.shell->log, SS_EVENT_LOG_SPAN, "subject",
                call->key ? call->key : "watch", "detail", detail, NULL);
}

static void
finish_call (Call *call, CURLcode code)
{
  SsPlatformOutcome outcome = outcome_of (call, code);
  json_t *json = json_loadb ((const char *) call->answer->data,
                             call->answer->len, JSON_DECODE_ANY, NULL);

  if (outcome == SS_PLATFORM_DONE && !json)
    outcome = SS_PLATFORM_UNKNOWN;
  log_span (call, outcome);
  if (outcome != SS_PLATFORM_DONE)
    platform.shell->node.counters.values[SS_COUNTER_PLATFORM_ERRORS]++;
  if (call->kind == SS_ACTION_PLATFORM_WATCH)
    report_watch (call, outcome, json);
  else if (call->kind == SS_ACTION_PLATFORM_VMS)
    report_vms (call, outcome);
  else
    report_object (call, outcome, json);
  json_decref (json);
  free_call (call);
}

static void
collect_finished (void)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (platform.multi, &left)))
    {
      CURLcode code = message->data.result;
      CURL *easy = message->easy_handle;
      Call *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
      finish_call (call, code);
    }
}

/* --- the loop --- */

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  int flags = 0;
  int running;

  (void) loop;
  if (events & EV_READ)
    flags |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (platform.multi, w->fd, flags, &running);
  collect_finished ();
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  int running;

  (void) loop;
  (void) w;
  (void) events;
  curl_multi_socket_action (platform.multi, CURL_SOCKET_TIMEOUT, 0, &running);
  collect_finished ();
}

static int
set_timer (CURLM *multi, long timeout_ms, void *data)
{
  (void) multi;
  (void) data;
  ev_timer_stop (platform.shell->loop, &platform.timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&platform.timer, (double) timeout_ms / 1000.0, 0);
  ev_timer_start (platform.shell->loop, &platform.timer);
  return 0;
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *known)
{
  Socket *s = known;
  int events = 0;

  (void) easy;
  (void) data;
  if (what == CURL_POLL_REMOVE)
    {
      if (s)
        ev_io_stop (platform.shell->loop, &s->io);
      g_free (s);
      return 0;
    }
  if (!s)
    {
      s = g_new0 (Socket, 1);
      s->fd = fd;
      ev_io_init (&s->io, on_io, fd, EV_READ);
      curl_multi_assign (platform.multi, fd, s);
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_stop (platform.shell->loop, &s->io);
  ev_io_set (&s->io, fd, events);
  ev_io_start (platform.shell->loop, &s->io);
  return 0;
}

static size_t
take_answer (char *data, size_t size, size_t count, void *user)
{
  Call *call = user;

  if (call->answer->len + size * count > ANSWER_MAX_BYTES)
    return 0;
  g_byte_array_append (call->answer, (const uint8_t *) data,
                       (guint) (size * count));
  return size * count;
}

/* --- actions --- */

static char *
call_path (const SsAction *a)
{
  switch (a->kind)
    {
    case SS_ACTION_PLATFORM_WATCH:
      return g_strdup_printf ("v1/watch?since=%" G_GINT64_FORMAT "&wait_ms=%d",
                              a->number, WATCH_WAIT_MS);
    case SS_ACTION_PLATFORM_VMS:
      return g_strdup ("v1/vms");
    case SS_ACTION_PLATFORM_PUT:
      return g_strdup_printf ("v1/objects/%s?if_version=%" G_GINT64_FORMAT,
                              a->name, a->number);
    default:
      return g_strdup_printf ("v1/objects/%s", a->name);
    }
}

static void
set_url (Call *call, const SsAction *a)
{
  const SsSettings *s = platform.shell->settings;
  char *path = call_path (a);
  char *url = g_strdup_printf ("http://%s:%d/%s", s->platform_ip,
                               (int) s->platform_port, path);

  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  g_free (url);
  g_free (path);
}

static void
on_action (SsShell *shell, SsAction *a)
{
  Call *call = g_new0 (Call, 1);
  bool is_watch = a->kind == SS_ACTION_PLATFORM_WATCH;

  call->kind = a->kind;
  call->id = a->id;
  call->since = a->number;
  call->key = g_strdup (a->name);
  call->answer = g_byte_array_new ();
  call->started_ms = ss_clock_now_ms (shell->clock);
  call->easy = curl_easy_init ();
  set_url (call, a);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, take_answer);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_INTERFACE, shell->settings->ip);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                    is_watch ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS);
  if (a->kind == SS_ACTION_PLATFORM_PUT)
    {
      call->body = g_strdup (a->text);
      curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
      curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, platform.headers);
    }
  shell->node.counters.values[SS_COUNTER_PLATFORM_CALLS]++;
  g_hash_table_add (platform.calls, call);
  curl_multi_add_handle (platform.multi, call->easy);
}

static char *
init (SsShell *shell)
{
  platform.shell = shell;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return g_strdup ("the HTTP library can't be started");
  platform.multi = curl_multi_init ();
  platform.calls = g_hash_table_new (NULL, NULL);
  platform.headers = curl_slist_append (NULL, "Content-Type: application/json");
  curl_multi_setopt (platform.multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (platform.multi, CURLMOPT_TIMERFUNCTION, set_timer);
  ev_timer_init (&platform.timer, on_timer, 0, 0);
  return NULL;
}

static void
finish (SsShell *shell)
{
  GList *calls;

  if (!platform.multi)
    return;
  calls = g_hash_table_get_keys (platform.calls);
  for (GList *l = calls; l; l = l->next)
    free_call (l->data);
  g_list_free (calls);
  g_hash_table_destroy (platform.calls);
  ev_timer_stop (shell->loop, &platform.timer);
  curl_multi_cleanup (platform.multi);
  curl_slist_free_all (platform.headers);
}

static const SsPlugin plugin
    = { "platform_http",
        SS_HANDLES (PLATFORM_WATCH) | SS_HANDLES (PLATFORM_GET)
            | SS_HANDLES (PLATFORM_PUT) | SS_HANDLES (PLATFORM_VMS),
        init, finish, on_action };

SS_PLUGIN_REGISTER (plugin)
