/* admin_http: serves the administration API over HTTP (docs/API.md). */
#include <string.h>

#include "kernel/httpd.h"
#include "kernel/plugin.h"
#include "plugins/metrics.h"

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"
#define BEARER "Bearer "

static struct
{
  SsHttpd httpd; /* first: handlers cast to this struct */
  SsRuntime *runtime;
  bool open;
  char *token;         /* NULL: commands that change state are refused */
  GHashTable *waiting; /* id -> SsHttpRequest */
  uint64_t next_id;
} admin;

/* Compares in a time that does not depend on how many characters match. */
static bool
is_same_token (const char *given, const char *wanted)
{
  size_t bytes = strlen (wanted);
  unsigned char differs = strlen (given) != bytes;

  for (size_t i = 0; i < bytes; i++)
    differs |= (unsigned char) wanted[i]
               ^ (unsigned char) (given[0] ? given[i % strlen (given)] : 0);
  return differs == 0;
}

static bool
may_change (SsHttpRequest *r)
{
  const char *header = ss_http_header (r, "Authorization");

  return admin.token && header && g_str_has_prefix (header, BEARER)
         && is_same_token (header + strlen (BEARER), admin.token);
}

static void
handle_command (SsHttpRequest *r)
{
  SsEvent e = { .kind = SS_EVENT_OPERATOR };
  char *text;

  if (strcmp (r->method, "POST") != 0)
    {
      ss_http_reply (r, 405, JSON_TYPE,
                     "{\"error\":\"the method must be POST\"}");
      return;
    }
  text = g_strndup ((const char *) r->body->data, r->body->len);
  e.operator_command.id = ++admin.next_id;
  e.operator_command.text = text;
  e.operator_command.may_change = may_change (r);
  r->data = GSIZE_TO_POINTER (admin.next_id);
  g_hash_table_insert (admin.waiting, r->data, r);
  ss_runtime_event (admin.runtime, &e);
  g_free (text);
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  (void) httpd;
  if (strcmp (r->path, "/metrics") == 0)
    {
      char *text = ss_metrics_text (&admin.runtime->node);

      ss_http_reply (r, 200, METRICS_TYPE, text);
      g_free (text);
    }
  else if (strcmp (r->path, "/v1/health") == 0)
    ss_http_reply (r, admin.runtime->node.ready ? 200 : 503, JSON_TYPE,
                   admin.runtime->node.ready ? "{\"ready\":true}"
                                             : "{\"ready\":false}");
  else if (strcmp (r->path, "/v1/command") == 0)
    handle_command (r);
  else
    ss_http_reply (r, 404, JSON_TYPE, "{\"error\":\"no such path\"}");
}

static void
on_disconnect (SsHttpd *httpd, SsHttpRequest *r)
{
  (void) httpd;
  if (r->data)
    g_hash_table_remove (admin.waiting, r->data);
}

static void
on_action (SsRuntime *runtime, SsAction *a)
{
  static const int32_t statuses[] = { 409, 504, 200 }; /* by verdict */
  gpointer id = GSIZE_TO_POINTER (a->id);
  SsHttpRequest *r = g_hash_table_lookup (admin.waiting, id);

  (void) runtime;
  if (!r)
    return;
  g_hash_table_remove (admin.waiting, id);
  ss_http_reply (r, statuses[a->verdict], JSON_TYPE, a->text);
}

static char *
read_token (const char *path)
{
  GError *error = NULL;
  char *message;

  if (!*path)
    return NULL;
  if (g_file_get_contents (path, &admin.token, NULL, &error))
    {
      g_strstrip (admin.token);
      if (*admin.token)
        return NULL;
      return g_strdup_printf ("%s: admin.token_file is empty", path);
    }
  message = g_strdup_printf ("admin.token_file: %s", error->message);
  g_error_free (error);
  return message;
}

static char *
init (SsRuntime *runtime)
{
  static const SsHttpdClass klass = { handle, on_disconnect };
  char *error = read_token (runtime->settings->admin_token_file);

  if (error)
    return error;
  admin.runtime = runtime;
  admin.waiting = g_hash_table_new (NULL, NULL);
  if (!ss_httpd_init (&admin.httpd, &klass, runtime->loop,
                      runtime->settings->ip,
                      (uint16_t) runtime->settings->admin_port))
    return g_strdup_printf ("can't listen for operators on %s:%d",
                            runtime->settings->ip,
                            (int) runtime->settings->admin_port);
  admin.open = true;
  return NULL;
}

static void
answer_stopping (gpointer key, gpointer value, gpointer data)
{
  (void) key;
  (void) data;
  ss_http_reply (value, 504, JSON_TYPE,
                 "{\"verdict\":\"may_have_run\","
                 "\"message\":\"the vm stopped\"}");
}

static void
finish (SsRuntime *runtime)
{
  (void) runtime;
  if (!admin.open)
    return;
  g_hash_table_foreach (admin.waiting, answer_stopping, NULL);
  ss_httpd_finish (&admin.httpd);
  g_hash_table_destroy (admin.waiting);
  g_free (admin.token);
}

static const SsPlugin plugin = { .name = "admin_http",
                                 .handles = SS_HANDLES (OPERATOR_REPLY),
                                 .init = init,
                                 .finish = finish,
                                 .on_action = on_action };

SS_PLUGIN_REGISTER (plugin)
