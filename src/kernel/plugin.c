#include "kernel/plugin.h"

#include <string.h>

#define TICK_MIN_S 0.001
/* Share of vm.grace_s that bounds a graceful shutdown; the rest is left for the
 * last responses.
 */
#define SHUTDOWN_GRACE_SHARE 0.75

static const SsPlugin *plugins[SS_PLUGINS_MAX];
static uint32_t plugin_count;

void
ss_plugin_register (const SsPlugin *plugin)
{
  g_assert (plugin_count < SS_PLUGINS_MAX);
  plugins[plugin_count++] = plugin;
}

bool
ss_interface_parse (const char *name, SsInterface *interface)
{
  *interface = SS_INTERFACE_ANY;
  if (strcmp (name, "postgresql") == 0)
    *interface = SS_INTERFACE_POSTGRESQL;
  else if (strcmp (name, "line") == 0)
    *interface = SS_INTERFACE_LINE;
  return *interface != SS_INTERFACE_ANY;
}

static bool
is_enabled (const SsShell *shell, const SsPlugin *plugin)
{
  return plugin->interface == SS_INTERFACE_ANY
         || plugin->interface == shell->interface;
}

static void
write_log (SsShell *shell, const SsAction *a)
{
  ss_log_write (&shell->log, a->log_event, "subject", a->name, "detail",
                a->text, NULL);
}

static void
dispatch (SsShell *shell, SsAction *a)
{
  if (a->kind == SS_ACTION_LOG)
    {
      write_log (shell, a);
      return;
    }
  if (a->kind == SS_ACTION_STOPPED)
    {
      ev_break (shell->loop, EVBREAK_ALL);
      return;
    }
  for (uint32_t i = 0; i < plugin_count; i++)
    if (is_enabled (shell, plugins[i]) && plugins[i]->handles & (1U << a->kind))
      plugins[i]->on_action (shell, a);
}

/* A plug-in may pass an event while it carries out an action: the nested call
 * then carries out the remaining actions in order.
 */
void
ss_shell_event (SsShell *shell, const SsEvent *event)
{
  SsAction action;

  ss_node_on_event (&shell->node, event, ss_clock_now_ms (shell->clock));
  while (ss_node_take_action (&shell->node, &action))
    {
      dispatch (shell, &action);
      ss_action_clear (&action);
    }
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  SsEvent e = { .kind = SS_EVENT_TICK };

  (void) loop;
  (void) events;
  ss_shell_event (w->data, &e);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  SsShell *shell = w->data;
  int64_t wait_ms
      = ss_node_next_deadline (&shell->node) - ss_clock_now_ms (shell->clock);
  double wait_s = wait_ms > 0 ? (double) wait_ms / 1000.0 : TICK_MIN_S;

  (void) events;
  ev_now_update (loop);
  ev_timer_stop (loop, &shell->tick);
  ev_timer_set (&shell->tick, wait_s, 0);
  ev_timer_start (loop, &shell->tick);
}

static void
fill_pace (SsNodeParams *params, const SsSettings *settings)
{
#define X(field, fallback, lowest, highest)                                    \
  params->timing.field = settings->field;
  SS_TIMINGS (X)
#undef X
}

static void
fill_params (SsNodeParams *params, const SsSettings *settings, uint32_t seed)
{
  memset (params, 0, sizeof *params);
  params->vm = settings->vm_name;
  params->failure_domain = settings->failure_domain;
  params->ip
      = *settings->advertised_ip ? settings->advertised_ip : settings->ip;
  params->peer_port = (uint16_t) settings->peer_port;
  params->seeds = settings->seeds;
  params->seed = seed;
  params->deadline_ms = settings->deadline_ms;
  params->transaction_idle_ms = settings->transaction_idle_ms;
  params->stop_bound_ms = settings->stop_bound_ms;
  if (settings->grace_s > 0)
    params->stop_bound_ms
        = MIN (params->stop_bound_ms,
               (int64_t) (settings->grace_s * SHUTDOWN_GRACE_SHARE * 1000));
  params->spans = settings->log_spans != 0;
  params->apply_ms = settings->apply_ms;
  params->drain_ms = settings->drain_ms;
  params->seed_port = (uint32_t) settings->seed_port;
  fill_pace (params, settings);
}

char *
ss_shell_init (SsShell *shell, struct ev_loop *loop, const SsClock *clock,
               const SsSettings *settings)
{
  SsNodeParams params;
  SsLogLevel level = SS_LOG_INFO;
  char *error = NULL;

  shell->loop = loop;
  shell->clock = clock;
  shell->settings = settings;
  ss_log_level_parse (settings->log_level, &level);
  ss_log_init (&shell->log, settings->vm_name, level, settings->log_spans != 0);
  ss_interface_parse (settings->interface, &shell->interface);
  fill_params (&params, settings, g_random_int ());
  for (uint32_t i = 0; i < plugin_count; i++)
    if (is_enabled (shell, plugins[i]) && plugins[i]->prepare)
      plugins[i]->prepare (settings, &params);
  ss_node_init (&shell->node, &params, ss_clock_now_ms (clock));
  ev_timer_init (&shell->tick, on_tick, 0, 0);
  shell->tick.data = shell;
  ev_prepare_init (&shell->prepare, on_prepare);
  shell->prepare.data = shell;
  ev_prepare_start (loop, &shell->prepare);
  for (uint32_t i = 0; i < plugin_count && !error; i++)
    if (is_enabled (shell, plugins[i]))
      error = plugins[i]->init (shell);
  return error;
}

/* The core and the plug-ins may borrow strings from any settings that were in
 * use, so all of them are kept until ss_shell_finish.
 */
static void
keep_settings (SsShell *shell, SsSettings *settings)
{
  if (!shell->reloaded_settings)
    shell->reloaded_settings = g_ptr_array_new ();
  g_ptr_array_add (shell->reloaded_settings, settings);
}

void
ss_shell_reload (SsShell *shell, const char *path)
{
  SsSettings *settings = g_new0 (SsSettings, 1);
  SsLogLevel level = SS_LOG_INFO;
  char *error = ss_settings_init (settings, path);

  keep_settings (shell, settings);
  if (error)
    {
      ss_log_write (&shell->log, SS_EVENT_LOG_RELOAD_REFUSED, "subject", path,
                    "detail", error, NULL);
      g_free (error);
      return;
    }
  shell->settings = settings;
  ss_log_level_parse (settings->log_level, &level);
  shell->log.min_level = level;
  shell->log.spans = settings->log_spans != 0;
  fill_pace (&shell->node.params, settings);
  ss_log_write (&shell->log, SS_EVENT_LOG_RELOADED, "subject", path, NULL);
}

void
ss_shell_finish (SsShell *shell)
{
  for (uint32_t i = plugin_count; i > 0; i--)
    if (is_enabled (shell, plugins[i - 1]))
      plugins[i - 1]->finish (shell);
  ev_prepare_stop (shell->loop, &shell->prepare);
  ev_timer_stop (shell->loop, &shell->tick);
  ss_node_finish (&shell->node);
  for (guint i = 0;
       shell->reloaded_settings && i < shell->reloaded_settings->len; i++)
    {
      SsSettings *settings = g_ptr_array_index (shell->reloaded_settings, i);

      ss_settings_finish (settings);
      g_free (settings);
    }
  if (shell->reloaded_settings)
    g_ptr_array_free (shell->reloaded_settings, TRUE);
}
