/* platform_http: HTTP client of the platform's object API. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/version.h"
#include "kernel/http_outcome.h"
#include "kernel/plugin.h"
#include "plugins/platform_api.h"

#define CALL_TIMEOUT_MS 1500
#define WATCH_TIMEOUT_MS (SS_PLATFORM_API_WAIT_MS + 2000)

typedef struct
{
  SsHttpCall http; /* first: callbacks cast to this struct */
  SsActionKind kind;
  uint64_t id;
  int64_t since;
  char *key;
  int64_t started_ms;
} Call;

static struct
{
  SsRuntime *runtime;
  SsHttpc client;
} platform;

static void
free_call (SsHttpCall *http)
{
  g_free (((Call *) http)->key);
}

/* --- responses --- */

static void
log_refused (uint32_t count)
{
  char detail[64];

  if (!count)
    return;
  platform.runtime->node.counters.values[SS_COUNTER_CONFIG_REFUSED] += count;
  g_snprintf (detail, sizeof detail, "%u objects can't be read", count);
  ss_log_write (&platform.runtime->log, SS_EVENT_LOG_CONFIG_INVALID, "subject",
                "watch", "detail", detail, NULL);
}

static void
report_watch (Call *call, SsPlatformOutcome outcome,
              const SsPlatformChanges *changes)
{
  SsEvent e
      = { .kind = SS_EVENT_PLATFORM_OBJECTS, .era = ss_http_era (&call->http) };

  e.platform_objects.outcome = outcome;
  e.platform_objects.since = call->since;
  if (outcome == SS_PLATFORM_DONE)
    {
      e.platform_objects.revision = changes->revision;
      e.platform_objects.objects
          = (const SsObject *) (const void *) changes->objects->data;
      e.platform_objects.object_count = changes->objects->len;
      log_refused (changes->refused);
    }
  ss_runtime_event (platform.runtime, &e);
}

static void
report_object (Call *call, SsPlatformOutcome outcome, json_t *json)
{
  SsEvent e
      = { .kind = SS_EVENT_PLATFORM_OBJECT, .era = ss_http_era (&call->http) };
  SsObject *object = &e.platform_object.object;
  char *text = NULL;

  e.platform_object.call = call->id;
  e.platform_object.outcome = outcome;
  if (call->kind == SS_ACTION_PLATFORM_PUT && outcome == SS_PLATFORM_DONE)
    {
      object->version = ss_version (
          e.era, json_integer_value (json_object_get (json, "version")));
      object->value = call->http.body;
      object->value_bytes = (uint32_t) strlen (call->http.body);
    }
  else if (outcome == SS_PLATFORM_DONE || outcome == SS_PLATFORM_CONFLICT)
    {
      if (!ss_platform_api_read_object (json, e.era, object, &text))
        e.platform_object.outcome = SS_PLATFORM_UNKNOWN;
    }
  object->key = call->key;
  ss_runtime_event (platform.runtime, &e);
  free (text);
}

static void
report_vms (Call *call, SsPlatformOutcome outcome)
{
  SsEvent e = { .kind = SS_EVENT_PLATFORM_VMS };

  if (outcome == SS_PLATFORM_DONE)
    {
      e.platform_vms.json = (const char *) call->http.response->data;
      e.platform_vms.json_bytes = call->http.response->len;
    }
  ss_runtime_event (platform.runtime, &e);
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
              ss_clock_now_ms (platform.runtime->clock) - call->started_ms,
              outcomes[outcome]);
  ss_log_write (&platform.runtime->log, SS_EVENT_LOG_SPAN, "subject",
                call->key ? call->key : "watch", "detail", detail, NULL);
}

static void
note_outcome (const Call *call, SsPlatformOutcome outcome)
{
  log_span (call, outcome);
  if (outcome != SS_PLATFORM_DONE)
    platform.runtime->node.counters.values[SS_COUNTER_PLATFORM_ERRORS]++;
}

static void
finish_watch (Call *call, SsPlatformOutcome outcome)
{
  SsPlatformChanges changes;
  bool is_split = ss_platform_changes_init (&changes, call->http.response,
                                            ss_http_era (&call->http));

  if (outcome == SS_PLATFORM_DONE && !is_split)
    outcome = SS_PLATFORM_UNKNOWN;
  note_outcome (call, outcome);
  report_watch (call, outcome, &changes);
  ss_platform_changes_finish (&changes);
}

static void
finish_call (SsHttpCall *http)
{
  Call *call = (Call *) http;
  SsPlatformOutcome outcome = ss_http_outcome (http);
  json_t *json;

  if (call->kind == SS_ACTION_PLATFORM_WATCH)
    {
      finish_watch (call, outcome);
      return;
    }
  json = json_loadb ((const char *) http->response->data, http->response->len,
                     JSON_DECODE_ANY, NULL);
  if (outcome == SS_PLATFORM_DONE && !json)
    outcome = SS_PLATFORM_UNKNOWN;
  note_outcome (call, outcome);
  if (call->kind == SS_ACTION_PLATFORM_VMS)
    report_vms (call, outcome);
  else
    report_object (call, outcome, json);
  json_decref (json);
}

/* --- actions --- */

static char *
call_url (const SsAction *a)
{
  const SsSettings *s = platform.runtime->settings;
  char *path = ss_platform_api_path (a);
  char *url = g_strdup_printf ("http://%s:%d/%s", s->platform_ip,
                               (int) s->platform_port, path);

  g_free (path);
  return url;
}

static void
on_action (SsRuntime *runtime, SsAction *a)
{
  Call *call = g_new0 (Call, 1);
  bool is_watch = a->kind == SS_ACTION_PLATFORM_WATCH;
  bool is_put = a->kind == SS_ACTION_PLATFORM_PUT;
  char *url = call_url (a);

  call->kind = a->kind;
  call->id = a->id;
  call->since = a->number;
  call->key = g_strdup (a->name);
  call->started_ms = ss_clock_now_ms (runtime->clock);
  call->http.on_done = finish_call;
  call->http.on_free = free_call;
  call->http.body = is_put ? g_strdup (a->text) : NULL;
  runtime->node.counters.values[SS_COUNTER_PLATFORM_CALLS]++;
  ss_http_call_start (&platform.client, &call->http, is_put ? "PUT" : "GET",
                      url, is_watch ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS);
  g_free (url);
}

static char *
init (SsRuntime *runtime)
{
  platform.runtime = runtime;
  if (!ss_httpc_init (&platform.client, runtime->loop, runtime->settings->ip))
    return g_strdup ("can't initialise libcurl");
  return NULL;
}

static void
finish (SsRuntime *runtime)
{
  (void) runtime;
  ss_httpc_finish (&platform.client);
}

static const SsPlugin plugin
    = { .name = "platform_http",
        .interface = SS_INTERFACE_POSTGRESQL,
        .handles = SS_HANDLES (PLATFORM_WATCH) | SS_HANDLES (PLATFORM_GET)
                   | SS_HANDLES (PLATFORM_PUT) | SS_HANDLES (PLATFORM_VMS),
        .init = init,
        .finish = finish,
        .on_action = on_action };

SS_PLUGIN_REGISTER (plugin)
