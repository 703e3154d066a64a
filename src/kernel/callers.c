#include "kernel/callers.h"

#include <errno.h>

#define SWEEP_INTERVAL_S 1.0
/* Time for the peer to close the connection after its last sign of life. */
#define CLOSE_TIMEOUT_MS 2000
/* Of a statement's id, for the log. */
#define LABEL_MAX_BYTES 64

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

/* --- ends --- */

static void
set_end (SsCaller *c, SsCallerEnd end)
{
  if (c->end == SS_CALLER_END_NONE)
    c->end = (uint8_t) end;
}

static uint32_t
dropped_bytes (const SsCaller *c)
{
  uint32_t bytes = c->dropped_bytes + c->stream.discarded_bytes;
  bool by_caller
      = c->end == SS_CALLER_END_CALLER || c->end == SS_CALLER_END_FAILURE;

  if (c->is_told)
    return 0;
  /* What a caller that left has sent early waits for no answer. */
  return c->stream.input && !by_caller ? bytes + c->stream.input->len : bytes;
}

/* Called right before the connection is closed. */
static void
note_cut (SsCaller *c)
{
  SsCallerCut cut = { .end = (SsCallerEnd) c->end, .label = c->label };

  cut.at_core = c->is_unanswered;
  cut.dropped_bytes = dropped_bytes (c);
  cut.unsent_bytes = ss_stream_unsent_bytes (&c->stream);
  cut.age_ms = c->statement_ms ? now_ms (c) - c->statement_ms : -1;
  if (cut.at_core || cut.dropped_bytes || cut.unsent_bytes)
    ss_caller_cuts_note (&c->callers->cuts, c->callers->runtime, &cut);
}

/* --- one caller --- */

GByteArray *
ss_caller_output (SsCaller *c)
{
  return ss_stream_output (&c->stream);
}

static void
set_label (SsCaller *c, const char *label)
{
  g_free (c->label);
  c->label = label ? g_strndup (label, LABEL_MAX_BYTES) : NULL;
}

void
ss_caller_set_busy (SsCaller *c, const char *label)
{
  if (c->state != SS_CALLER_LEAVING)
    c->state = SS_CALLER_BUSY;
  c->is_unanswered = true;
  c->statement_ms = now_ms (c);
  set_label (c, label);
}

void
ss_caller_set_idle (SsCaller *c)
{
  if (c->state != SS_CALLER_LEAVING)
    c->state = SS_CALLER_IDLE;
  c->is_unanswered = false;
  c->active_ms = now_ms (c);
}

void
ss_caller_resume (SsCaller *c)
{
  ss_stream_flush (&c->stream);
  if (!c->stream.output)
    set_label (c, NULL);
  ss_stream_schedule_input (&c->stream);
}

void
ss_caller_leave (SsCaller *c, SsCallerEnd end)
{
  set_end (c, end);
  c->state = SS_CALLER_LEAVING;
  c->is_told = true;
  c->active_ms = now_ms (c);
  c->undelivered_bytes = ss_stream_undelivered_bytes (&c->stream);
  ss_caller_resume (c);
}

void
ss_caller_close (SsCaller *c, SsCallerEnd end)
{
  set_end (c, end);
  c->state = SS_CALLER_CLOSING;
  c->active_ms = now_ms (c);
  c->undelivered_bytes = ss_stream_undelivered_bytes (&c->stream);
  ss_stream_close_when_sent (&c->stream);
}

void
ss_caller_close_and_notify (SsCaller *c, SsCallerEnd end)
{
  SsCallers *callers = c->callers;
  uint64_t id = c->id;
  bool known = is_known_to_core (c);

  ss_caller_close (c, end);
  if (known)
    notify_core_closed (callers, id);
}

static void
free_struct (SsCaller *c)
{
  if (c->callers->klass->on_free)
    c->callers->klass->on_free (c);
  g_free (c->label);
  g_free (c);
}

void
ss_caller_free (SsCaller *c, SsCallerEnd end)
{
  set_end (c, end);
  note_cut (c);
  ss_stream_finish (&c->stream);
  g_hash_table_remove (c->callers->by_id, &c->id);
  free_struct (c);
}

void
ss_caller_free_and_notify (SsCaller *c, SsCallerEnd end)
{
  SsCallers *callers = c->callers;
  uint64_t id = c->id;
  bool known = is_known_to_core (c);

  ss_caller_free (c, end);
  if (known)
    notify_core_closed (callers, id);
}

/* --- input --- */

static void
drop_input (SsCaller *c)
{
  if (!c->stream.input)
    return;
  c->dropped_bytes += c->stream.input->len;
  ss_stream_consume (&c->stream, UINT32_MAX);
}

static bool
takes_messages (const SsCaller *c)
{
  return c->state == SS_CALLER_STARTING || c->state == SS_CALLER_IDLE
         || c->state == SS_CALLER_LEAVING;
}

static void
process_messages (SsCaller *c)
{
  const SsCallersClass *klass = c->callers->klass;

  while (c->stream.input && takes_messages (c))
    {
      uint32_t used_bytes = klass->take_message (c);

      if (!used_bytes)
        break;
      ss_stream_consume (&c->stream, used_bytes);
    }
  if (c->state == SS_CALLER_CLOSING)
    drop_input (c);
  else
    ss_stream_pause_reading (&c->stream,
                             c->stream.input
                                 && c->stream.input->len
                                        > klass->pending_input_max_bytes);
  ss_stream_flush (&c->stream);
}

/* Whether a statement that was read waits for its answer, here or at the core.
 */
static bool
awaits_answer (const SsCaller *c)
{
  return c->state == SS_CALLER_BUSY
         || (c->state == SS_CALLER_OPENING && c->stream.input);
}

/* Frees C, which has ended its sending, if no answer is due to it. */
static void
free_if_done (SsCaller *c)
{
  if (!c->stream.output && !awaits_answer (c))
    ss_caller_free_and_notify (c, SS_CALLER_END_CALLER);
}

static void
on_input (SsStream *stream)
{
  SsCaller *c = (SsCaller *) stream;

  c->active_ms = now_ms (c);
  process_messages (c);
  if (stream->input_ended)
    free_if_done (c);
}

static void
on_input_end (SsStream *stream)
{
  free_if_done ((SsCaller *) stream);
}

static void
on_closed (SsStream *stream)
{
  ss_caller_free_and_notify ((SsCaller *) stream, stream->error
                                                      ? SS_CALLER_END_FAILURE
                                                      : SS_CALLER_END_CALLER);
}

/* --- accepting and timeouts --- */

static void
accept_caller (SsCallers *callers, int fd)
{
  static const SsStreamClass klass
      = { on_input, on_closed, NULL, on_input_end };
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

static bool
is_ending (const SsCaller *c)
{
  return c->state == SS_CALLER_LEAVING || c->state == SS_CALLER_CLOSING;
}

/* A peer that takes output is alive, however slowly it reads. */
static void
note_delivery (SsCaller *c)
{
  uint32_t bytes = ss_stream_undelivered_bytes (&c->stream);

  if (bytes < c->undelivered_bytes)
    c->active_ms = now_ms (c);
  c->undelivered_bytes = bytes;
}

static void
sweep_caller (SsCaller *c)
{
  int64_t age_ms;

  if (is_ending (c))
    note_delivery (c);
  age_ms = now_ms (c) - c->active_ms;
  if (is_ending (c) && age_ms >= CLOSE_TIMEOUT_MS)
    ss_caller_free (c, SS_CALLER_END_TIMEOUT);
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
      ((SsCaller *) value)->end = SS_CALLER_END_EXIT;
      note_cut (value);
      ss_stream_finish (&((SsCaller *) value)->stream);
      free_struct (value);
    }
  g_clear_pointer (&callers->by_id, g_hash_table_destroy);
  ss_caller_cuts_log_total (&callers->cuts, callers->runtime);
}

static bool
is_drained (const SsCaller *c)
{
  return !is_ending (c) && !c->stream.output;
}

bool
ss_callers_is_drained (const SsCallers *callers)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, callers->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_drained (value))
      return false;
  return true;
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
