/* admin_http: the administration API, by HTTP (docs/API.md). */
#include <string.h>

#include "kernel/httpd.h"
#include "kernel/plugin.h"

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

static struct
{
  SsHttpd httpd; /* first: handlers cast back */
  SsShell *shell;
  bool open;
} admin;

static char *
metrics_text (const SsCounters *counters)
{
  GString *out = g_string_new (NULL);

  for (uint32_t i = 0; i < SS_COUNTER_COUNT; i++)
    {
      const char *name = ss_counter_name ((SsCounterId) i);

      g_string_append_printf (out,
                              "# HELP sapphirestair_%s_total %s\n"
                              "# TYPE sapphirestair_%s_total counter\n"
                              "sapphirestair_%s_total %" G_GUINT64_FORMAT "\n",
                              name, ss_counter_help ((SsCounterId) i), name,
                              name, counters->values[i]);
    }
  return g_string_free (out, FALSE);
}

static void
handle (SsHttpd *httpd, SsHttpRequest *r)
{
  (void) httpd;
  if (strcmp (r->path, "/metrics") == 0)
    {
      char *text = metrics_text (&admin.shell->node.counters);

      ss_http_reply (r, 200, METRICS_TYPE, text);
      g_free (text);
    }
  else if (strcmp (r->path, "/v1/health") == 0)
    ss_http_reply (r, admin.shell->node.ready ? 200 : 503, JSON_TYPE,
                   admin.shell->node.ready ? "{\"ready\":true}"
                                           : "{\"ready\":false}");
  else
    ss_http_reply (r, 404, JSON_TYPE, "{\"error\":\"no such path\"}");
}

static char *
init (SsShell *shell)
{
  static const SsHttpdClass klass = { handle, NULL };

  admin.shell = shell;
  if (!ss_httpd_init (&admin.httpd, &klass, shell->loop, shell->settings->ip,
                      (uint16_t) shell->settings->admin_port))
    return g_strdup_printf ("can't listen for operators on %s:%d",
                            shell->settings->ip,
                            (int) shell->settings->admin_port);
  admin.open = true;
  return NULL;
}

static void
finish (SsShell *shell)
{
  (void) shell;
  if (admin.open)
    ss_httpd_finish (&admin.httpd);
}

static void
on_action (SsShell *shell, SsAction *a)
{
  (void) shell;
  (void) a;
}

static const SsPlugin plugin = { "admin_http", 0, init, finish, on_action };

SS_PLUGIN_REGISTER (plugin)
