#include "kernel/exit.h"

/* Of vm.grace_s, the time until a stop is forced. */
#define STOP_BOUND_SHARE 0.75
/* Left for the end of the process itself, and at most a tenth of the whole. */
#define KILL_MARGIN_MS 250
#define KILL_MARGIN_SHARE 10
#define POLL_S 0.01

int64_t
ss_exit_stop_bound_ms (const SsSettings *settings)
{
  int64_t share_ms = (int64_t) (settings->grace_s * 1000 * STOP_BOUND_SHARE);

  return settings->grace_s > 0 ? MIN (settings->stop_bound_ms, share_ms)
                               : settings->stop_bound_ms;
}

/* The time from the begin of the stop to the exit, at most. */
static int64_t
exit_bound_ms (const SsSettings *settings)
{
  int64_t whole_ms
      = (int64_t) (ss_exit_stop_bound_ms (settings) / STOP_BOUND_SHARE);

  return whole_ms - MIN (KILL_MARGIN_MS, whole_ms / KILL_MARGIN_SHARE);
}

/* Ends the loop if it is time.  Returns whether it did. */
static bool
try_exit (SsRuntime *runtime)
{
  const SsPlugin *undrained = ss_runtime_undrained (runtime);

  if (undrained && ss_clock_now_ms (runtime->clock) < runtime->exit_due_ms)
    return false;
  if (undrained)
    ss_log_write (&runtime->log, SS_EVENT_LOG_EXIT_UNDRAINED, "subject",
                  undrained->name, NULL);
  ev_break (runtime->loop, EVBREAK_ALL);
  return true;
}

static void
on_poll (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) events;
  if (try_exit (w->data))
    ev_timer_stop (loop, w);
}

void
ss_exit_begin (SsRuntime *runtime)
{
  int64_t begun_ms = runtime->stop_begun_ms;

  if (!begun_ms)
    begun_ms = ss_clock_now_ms (runtime->clock);
  runtime->exit_due_ms = begun_ms + exit_bound_ms (runtime->settings);
  if (try_exit (runtime))
    return;
  ev_timer_init (&runtime->exit_poll, on_poll, POLL_S, POLL_S);
  runtime->exit_poll.data = runtime;
  ev_timer_start (runtime->loop, &runtime->exit_poll);
}
