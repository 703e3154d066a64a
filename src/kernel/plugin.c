#include "kernel/plugin.h"

#include <string.h>

#include "kernel/exit.h"

#define TICK_MIN_S 0.001

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
is_enabled (const SsRuntime *runtime, const SsPlugin *plugin)
{
  return plugin->interface == SS_INTERFACE_ANY
         || plugin->interface == runtime->interface;
}

const SsPlugin *
ss_runtime_undrained (SsRuntime *runtime)
{
  for (uint32_t i = 0; i < plugin_count; i++)
    if (is_enabled (runtime, plugins[i]) && plugins[i]->is_drained
        && !plugins[i]->is_drained (runtime))
      return plugins[i];
  return NULL;
}

static void
write_log (SsRuntime *runtime, const SsAction *a)
{
  ss_log_write (&runtime->log, a->log_event, "subject", a->name, "detail",
                a->text, NULL);
}

static void
dispatch (SsRuntime *runtime, SsAction *a)
{
  if (a->kind == SS_ACTION_LOG)
    {
      write_log (runtime, a);
      return;
    }
  if (a->kind == SS_ACTION_STOPPED)
    {
      ss_exit_begin (runtime);
      return;
    }
  for (uint32_t i = 0; i < plugin_count; i++)
    if (is_enabled (runtime, plugins[i])
        && plugins[i]->handles & (1U << a->kind))
      plugins[i]->on_action (runtime, a);
}

/* A plug-in may pass an event while it carries out an action: the nested call
 * then carries out the remaining actions in order.
 */
void
ss_runtime_event (SsRuntime *runtime, const SsEvent *event)
{
  SsAction action;

  ss_node_on_event (&runtime->node, event, ss_clock_now_ms (runtime->clock));
  if (runtime->node.stopping && !runtime->stop_begun_ms)
    runtime->stop_begun_ms = ss_clock_now_ms (runtime->clock);
  while (ss_node_take_action (&runtime->node, &action))
    {
      dispatch (runtime, &action);
      ss_action_clear (&action);
    }
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  SsEvent e = { .kind = SS_EVENT_TICK };

  (void) loop;
  (void) events;
  ss_runtime_event (w->data, &e);
}

/* Called before the loop waits; sets the timer to the core's next deadline. */
static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  SsRuntime *runtime = w->data;
  int64_t wait_ms = ss_node_next_deadline (&runtime->node)
                    - ss_clock_now_ms (runtime->clock);
  double wait_s = wait_ms > 0 ? (double) wait_ms / 1000.0 : TICK_MIN_S;

  (void) events;
  ev_now_update (loop);
  ev_timer_stop (loop, &runtime->tick);
  ev_timer_set (&runtime->tick, wait_s, 0);
  ev_timer_start (loop, &runtime->tick);
}

static void
fill_timing (SsNodeParams *params, const SsSettings *settings)
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
  params->stop_bound_ms = ss_exit_stop_bound_ms (settings);
  params->spans = settings->log_spans != 0;
  params->capacity_millicores = (uint32_t) (settings->cores * 1000.0);
  params->apply_ms = settings->apply_ms;
  params->drain_ms = settings->drain_ms;
  params->rate_window_ms = (int64_t) (settings->rate_window_s * 1000);
  params->rate_overage = settings->rate_overage;
  params->rate_slack = (uint32_t) settings->rate_slack;
  params->seed_port = (uint32_t) settings->seed_port;
  params->learn_speed = settings->learn_speed != 0;
  fill_timing (params, settings);
}

char *
ss_runtime_init (SsRuntime *runtime, struct ev_loop *loop, const SsClock *clock,
                 const SsSettings *settings)
{
  SsNodeParams params;
  SsLogLevel level = SS_LOG_INFO;
  char *error = NULL;

  runtime->loop = loop;
  runtime->clock = clock;
  runtime->settings = settings;
  ss_log_level_parse (settings->log_level, &level);
  ss_log_init (&runtime->log, settings->vm_name, level,
               settings->log_spans != 0);
  ss_interface_parse (settings->interface, &runtime->interface);
  fill_params (&params, settings, g_random_int ());
  for (uint32_t i = 0; i < plugin_count; i++)
    if (is_enabled (runtime, plugins[i]) && plugins[i]->prepare)
      plugins[i]->prepare (settings, &params);
  ss_node_init (&runtime->node, &params, ss_clock_now_ms (clock));
  ev_timer_init (&runtime->tick, on_tick, 0, 0);
  runtime->tick.data = runtime;
  ev_prepare_init (&runtime->prepare, on_prepare);
  runtime->prepare.data = runtime;
  ev_prepare_start (loop, &runtime->prepare);
  for (uint32_t i = 0; i < plugin_count && !error; i++)
    if (is_enabled (runtime, plugins[i]))
      error = plugins[i]->init (runtime);
  return error;
}

/* The core and the plug-ins may borrow strings from any settings that were in
 * use, so all settings are kept until ss_runtime_finish.
 */
static void
keep_settings (SsRuntime *runtime, SsSettings *settings)
{
  if (!runtime->reloaded_settings)
    runtime->reloaded_settings = g_ptr_array_new ();
  g_ptr_array_add (runtime->reloaded_settings, settings);
}

void
ss_runtime_reload (SsRuntime *runtime, const char *path)
{
  SsSettings *settings = g_new0 (SsSettings, 1);
  SsLogLevel level = SS_LOG_INFO;
  char *error = ss_settings_init (settings, path);

  keep_settings (runtime, settings);
  if (error)
    {
      ss_log_write (&runtime->log, SS_EVENT_LOG_RELOAD_REFUSED, "subject", path,
                    "detail", error, NULL);
      g_free (error);
      return;
    }
  runtime->settings = settings;
  ss_log_level_parse (settings->log_level, &level);
  runtime->log.min_level = level;
  runtime->log.spans = settings->log_spans != 0;
  fill_timing (&runtime->node.params, settings);
  ss_log_write (&runtime->log, SS_EVENT_LOG_RELOADED, "subject", path, NULL);
}

void
ss_runtime_finish (SsRuntime *runtime)
{
  for (uint32_t i = plugin_count; i > 0; i--)
    if (is_enabled (runtime, plugins[i - 1]))
      plugins[i - 1]->finish (runtime);
  ev_prepare_stop (runtime->loop, &runtime->prepare);
  ev_timer_stop (runtime->loop, &runtime->tick);
  ss_node_finish (&runtime->node);
  for (guint i = 0;
       runtime->reloaded_settings && i < runtime->reloaded_settings->len; i++)
    {
      SsSettings *settings = g_ptr_array_index (runtime->reloaded_settings, i);

      ss_settings_finish (settings);
      g_free (settings);
    }
  if (runtime->reloaded_settings)
    g_ptr_array_free (runtime->reloaded_settings, TRUE);
}
