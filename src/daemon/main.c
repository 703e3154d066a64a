/* sapphirestaird: the proxy daemon that runs on each VM. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#include "kernel/plugin.h"

#define VERSION "0.2.0"
/* Interval at which the settings file is checked for changes. */
#define SETTINGS_POLL_S 1.0
#define SETTINGS_ENV_VAR "SAPPHIRESTAIR_SETTINGS"

static void
on_stop_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  SsEvent e = { .kind = SS_EVENT_STOP };

  (void) loop;
  (void) events;
  ss_runtime_event (w->data, &e);
}

/* Reloads the settings on SIGHUP and when the content of the file changes. */
typedef struct
{
  SsRuntime *runtime;
  const char *path;
  guint hash; /* of the file's content when it was last read */
  ev_signal on_hup;
  ev_timer poll;
} Reload;

/* Returns 0 if the file can't be read. */
static guint
hash_file (const char *path)
{
  char *text;
  guint hash;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  hash = g_str_hash (text);
  g_free (text);
  return hash;
}

static void
on_hup_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  Reload *r = w->data;

  (void) loop;
  (void) events;
  r->hash = hash_file (r->path);
  ss_runtime_reload (r->runtime, r->path);
}

static void
on_poll_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  Reload *r = w->data;
  guint hash = hash_file (r->path);

  (void) loop;
  (void) events;
  if (!hash || hash == r->hash)
    return;
  r->hash = hash;
  ss_runtime_reload (r->runtime, r->path);
}

/* Signals that arrive before the loop runs are handled in it. */
static void
start_reload (Reload *r, struct ev_loop *loop)
{
  ev_signal_init (&r->on_hup, on_hup_signal, SIGHUP);
  r->on_hup.data = r;
  ev_signal_start (loop, &r->on_hup);
  ev_timer_init (&r->poll, on_poll_timer, SETTINGS_POLL_S, SETTINGS_POLL_S);
  r->poll.data = r;
  ev_timer_start (loop, &r->poll);
}

static void
start_stop_signal (ev_signal *w, struct ev_loop *loop, SsRuntime *runtime,
                   int number)
{
  ev_signal_init (w, on_stop_signal, number);
  w->data = runtime;
  ev_signal_start (loop, w);
}

/* HOW is SIG_BLOCK, which holds the signals back until they are handled, or
 * SIG_UNBLOCK.
 */
static void
mask_signals (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

/* Each caller needs a file descriptor: allow as many as the system permits. */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) < 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static int
run (const SsSettings *settings, const char *path, guint hash)
{
  static SsRuntime runtime;
  static Reload reload = { .runtime = &runtime };
  struct ev_loop *loop = ev_default_loop (0);
  ev_signal on_term;
  ev_signal on_int;
  char *error;

  signal (SIGPIPE, SIG_IGN);
  start_stop_signal (&on_term, loop, &runtime, SIGTERM);
  start_stop_signal (&on_int, loop, &runtime, SIGINT);
  reload.path = path;
  reload.hash = hash;
  start_reload (&reload, loop);
  mask_signals (SIG_UNBLOCK);
  raise_descriptor_limit ();
  error = ss_runtime_init (&runtime, loop, ss_clock_monotonic (), settings);
  if (error)
    {
      fprintf (stderr, "sapphirestaird: %s\n", error);
      g_free (error);
      ss_runtime_finish (&runtime);
      return 1;
    }
  ss_log_write (&runtime.log, SS_EVENT_LOG_STARTED, "subject",
                settings->vm_name, "detail", VERSION, NULL);
  ev_run (loop, 0);
  ss_log_write (&runtime.log, SS_EVENT_LOG_STOPPED, "subject",
                settings->vm_name, NULL);
  ss_runtime_finish (&runtime);
  return 0;
}

int
main (int argc, char **argv)
{
  static char *config;
  static char *check_config;
  static gboolean version;
  static const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
      "Settings file to run with", "FILE" },
    { "check-config", 0, 0, G_OPTION_ARG_FILENAME, &check_config,
      "Check a settings file and exit", "FILE" },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &version, "Show the version",
      NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- database proxy with session consistency");
  SsSettings settings = { 0 };
  GError *bad_option = NULL;
  char *error = NULL;
  guint hash;
  int code = 2;

  mask_signals (SIG_BLOCK);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &bad_option))
    {
      fprintf (stderr, "sapphirestaird: %s\n", bad_option->message);
      g_error_free (bad_option);
      goto done;
    }
  if (version)
    {
      printf ("sapphirestaird %s\n", VERSION);
      code = 0;
      goto done;
    }
  if (!config && !check_config)
    config = g_strdup (g_getenv (SETTINGS_ENV_VAR));
  if (!config && !check_config)
    {
      fprintf (stderr,
               "sapphirestaird: --config FILE or %s is needed; see "
               "--help\n",
               SETTINGS_ENV_VAR);
      goto done;
    }
  /* Before the file is read: a later change is seen by the first check. */
  hash = config ? hash_file (config) : 0;
  error = ss_settings_init (&settings, check_config ? check_config : config);
  if (error)
    {
      fprintf (stderr, "sapphirestaird: %s\n", error);
      g_free (error);
    }
  else if (check_config)
    {
      printf ("%s: settings are valid\n", check_config);
      code = 0;
    }
  else
    code = run (&settings, config, hash);
  ss_settings_finish (&settings);
done:
  g_option_context_free (context);
  g_free (config);
  g_free (check_config);
  return code;
}
