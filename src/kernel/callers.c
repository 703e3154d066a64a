#include "kernel/callers.h"

#include <errno.h>

#define SWEEP_INTERVAL_S 1.0
/* Time for the peer to read the last reply and close the connection. */
#define CLOSE_TIMEOUT_MS 2000

static int64_t
now_ms (const SsCaller *c)
{
  return ss_clock_now_ms (c->callers->runtime->clock);
}

static bool
is_known_to_core (const SsCaller *c)
{
  return c->state == SS_CALLER_OPENING || c->state == SS_CALLER_IDLE
         || c->state == SS_CALLER_BUSY;
}

static void
notify_core_closed (SsCallers *callers, uint64_t id)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_CLOSE, .caller = { id } };

  ss_runtime_event (callers->runtime, &e);
}

/* --- one caller --- */

GByteArray *
ss_caller_output (SsCaller *c)
{
  return ss_stream_output (&c->stream);
}

void
ss_caller_set_idle (SsCaller *c)
{
  c->state = SS_CALLER_IDLE;
  c->active_ms = now_ms (c);
}

void
ss_caller_resume (SsCaller *c)
{
  ss_stream_flush (&c->stream);
  ss_stream_schedule_input (&c->stream);
}

void
ss_caller_close (SsCaller *c)
{
  c->state = SS_CALLER_CLOSING;
  c->active_ms = now_ms (c);
  ss_stream_close_when_sent (&c->stream);
}

void
ss_caller_close_and_notify (SsCaller *c)
{
  SsCallers *callers = c->callers;
  uint64_t id = c->id;
  bool known = is_known_to_core (c);

  ss_caller_close (c);
  if (known)
    notify_core_closed (callers, id);
}

static void
free_struct (SsCaller *c)
{
  if (c->callers->klass->on_free)
    c->callers->klass->on_free (c);
  g_free (c);
}

void
ss_caller_free (SsCaller *c)
{
  ss_stream_finish (&c->stream);
  g_hash_table_remove (c->callers->by_id, &c->id);
  free_struct (c);
}

void
ss_caller_free_and_notify (SsCaller *c)
{
  SsCallers *callers = c->callers;
  uint64_t id = c->id;
  bool known = is_known_to_core (c);

  ss_caller_free (c);
  if (known)
    notify_core_closed (callers, id);
}

/* --- input --- */

static void
process_messages (SsCaller *c)
{
  const SsCallersClass *klass = c->callers->klass;

  while (c->stream.input
         && (c->state == SS_CALLER_STARTING || c->state == SS_CALLER_IDLE))
    {
      uint32_t used_bytes = klass->take_message (c);

      if (!used_bytes)
        break;
      ss_stream_consume (&c->stream, used_bytes);
    }
  if (c->state == SS_CALLER_CLOSING)
    ss_stream_consume (&c->stream, UINT32_MAX);
  else
    ss_stream_pause_reading (&c->stream,
                             c->stream.input
                                 && c->stream.input->len
                                        > klass->pending_input_max_bytes);
  ss_stream_flush (&c->stream);
}

static void
on_input (SsStream *stream)
{
  SsCaller *c = (SsCaller *) stream;

  c->active_ms = now_ms (c);
  process_messages (c);
}

static void
on_closed (SsStream *stream)
{
  ss_caller_free_and_notify ((SsCaller *) stream);
}

/* --- accepting and timeouts --- */

static void
accept_caller (SsCallers *callers, int fd)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL };
  SsCaller *c = g_malloc0 (callers->klass->caller_bytes);

  c->callers = callers;
  c->id = ++callers->next_id;
  c->status = 'I';
  c->active_ms = now_ms (c);
  ss_stream_init (&c->stream, &klass, callers->runtime->loop, fd, false);
  g_hash_table_insert (callers->by_id, &c->id, c);
  if (callers->klass->on_accept)
    callers->klass->on_accept (c);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  int fd;

  (void) loop;
  (void) events;
  while ((fd = ss_stream_accept (w->fd, NULL)) >= 0)
    accept_caller (w->data, fd);
}

static bool
has_timed_out (const SsCaller *c, int64_t age_ms)
{
  const SsSettings *s = c->callers->runtime->settings;

  return (c->state == SS_CALLER_STARTING && age_ms >= s->startup_timeout_ms)
         || (c->state == SS_CALLER_IDLE && age_ms >= s->idle_timeout_ms);
}

static void
sweep_caller (SsCaller *c)
{
  int64_t age_ms = now_ms (c) - c->active_ms;

  if (c->state == SS_CALLER_CLOSING && age_ms >= CLOSE_TIMEOUT_MS)
    ss_caller_free (c);
  else if (has_timed_out (c, age_ms))
    c->callers->klass->on_timeout (c);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  SsCallers *callers = w->data;
  GList *all = g_hash_table_get_values (callers->by_id);

  (void) loop;
  (void) events;
  /* Each call frees at most its own caller, so the list stays valid. */
  for (GList *l = all; l; l = l->next)
    sweep_caller (l->data);
  g_list_free (all);
}

char *
ss_callers_init (SsCallers *callers, const SsCallersClass *klass,
                 SsRuntime *runtime)
{
  const SsSettings *s = runtime->settings;
  int fd = ss_stream_listen (s->ip, (uint16_t) s->caller_port);

  if (fd < 0)
    return g_strdup_printf ("can't listen for callers on %s:%d: %s", s->ip,
                            (int) s->caller_port, g_strerror (errno));
  callers->klass = klass;
  callers->runtime = runtime;
  callers->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&callers->accept_io, on_accept, fd, EV_READ);
  callers->accept_io.data = callers;
  ev_io_start (runtime->loop, &callers->accept_io);
  ev_timer_init (&callers->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
  callers->sweep.data = callers;
  ev_timer_start (runtime->loop, &callers->sweep);
  return NULL;
}

void
ss_callers_finish (SsCallers *callers)
{
  GHashTableIter iter;
  gpointer value;

  if (!callers->by_id)
    return;
  ev_io_stop (callers->runtime->loop, &callers->accept_io);
  ev_timer_stop (callers->runtime->loop, &callers->sweep);
  g_hash_table_iter_init (&iter, callers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ss_stream_finish (&((SsCaller *) value)->stream);
      free_struct (value);
    }
  g_clear_pointer (&callers->by_id, g_hash_table_destroy);
}

SsCaller *
ss_callers_find (const SsCallers *callers, uint64_t id)
{
  return g_hash_table_lookup (callers->by_id, &id);
}

bool
ss_callers_is_over_limit (const SsCallers *callers)
{
  return g_hash_table_size (callers->by_id)
         > (guint) callers->runtime->settings->max_callers;
}
