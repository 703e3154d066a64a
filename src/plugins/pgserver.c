/* pgserver: callers, by the PostgreSQL protocol. */
#include <errno.h>
#include <string.h>

#include "kernel/plugin.h"
#include "kernel/stream.h"
#include "plugins/pgwire.h"

#define SWEEP_S 1.0
#define CLOSING_MS 2000
#define SETTING_PREFIX "sapphirestair."
#define SETTINGS_MAX 16
#define PENDING_INPUT_MAX_BYTES (2 * SS_PGWIRE_MESSAGE_MAX_BYTES)
#define SERVER_VERSION "15.0 (sapphirestair)"

typedef enum
{
  CALLER_STARTING, /* its start-up packet is due */
  CALLER_OPENING,  /* the core decides on it */
  CALLER_IDLE,
  CALLER_BUSY,
  CALLER_CLOSING
} CallerState;

typedef struct
{
  SsStream stream; /* first: callbacks cast back */
  uint64_t id;
  uint32_t secret;
  CallerState state;
  bool skips_to_sync;
  char status;
  int64_t active_ms;
} Caller;

typedef struct
{
  SsShell *shell;
  ev_io accept_io;
  ev_timer sweep;
  GHashTable *callers; /* id -> Caller */
  uint64_t next_id;
} Server;

static Server server;

static GByteArray *
out (Caller *c)
{
  return ss_stream_output (&c->stream);
}

static void
free_caller (Caller *c)
{
  ss_stream_finish (&c->stream);
  g_hash_table_remove (server.callers, &c->id);
  g_free (c);
}

static void
tell_core (SsEventKind kind, uint64_t id)
{
  SsEvent e = { .kind = kind, .caller = { id } };

  ss_shell_event (server.shell, &e);
}

/* Ends the connection from this side, after what was written. */
static void
close_caller (Caller *c)
{
  c->state = CALLER_CLOSING;
  c->active_ms = ss_clock_now_ms (server.shell->clock);
  ss_stream_close_when_sent (&c->stream);
}

static void
refuse (Caller *c, const char *sqlstate, const char *message)
{
  bool core_knows = c->state == CALLER_IDLE || c->state == CALLER_BUSY
                    || c->state == CALLER_OPENING;
  uint64_t id = c->id;

  ss_log_write (&server.shell->log, SS_EVENT_LOG_CALLER_REFUSED, "subject",
                sqlstate, "detail", message, NULL);
  ss_pgwire_error (out (c), "FATAL", sqlstate, message, NULL, NULL);
  close_caller (c);
  if (core_knows)
    tell_core (SS_EVENT_CALLER_CLOSE, id);
}

static void
send_ready (Caller *c)
{
  ss_pgwire_ready (out (c), c->status);
  c->state = CALLER_IDLE;
  c->active_ms = ss_clock_now_ms (server.shell->clock);
}

static void
send_greeting (Caller *c)
{
  c->status = 'I';
  ss_pgwire_auth_ok (out (c));
  ss_pgwire_parameter (out (c), "server_version", SERVER_VERSION);
  ss_pgwire_parameter (out (c), "server_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "client_encoding", "UTF8");
  ss_pgwire_parameter (out (c), "DateStyle", "ISO, MDY");
  ss_pgwire_parameter (out (c), "integer_datetimes", "on");
  ss_pgwire_parameter (out (c), "standard_conforming_strings", "on");
  ss_pgwire_key_data (out (c), (uint32_t) c->id, c->secret);
  send_ready (c);
}

/* --- messages of callers --- */

typedef struct
{
  const char *pairs[SETTINGS_MAX * 2 + 1];
  char *copies[SETTINGS_MAX * 2];
  uint32_t count;
} Settings;

static void
add_setting (void *data, const char *name, const char *value)
{
  Settings *s = data;

  if (!g_str_has_prefix (name, SETTING_PREFIX)
      || s->count + 2 > SETTINGS_MAX * 2)
    return;
  s->copies[s->count] = g_strdup (name + strlen (SETTING_PREFIX));
  s->copies[s->count + 1] = g_strdup (value);
  s->pairs[s->count] = s->copies[s->count];
  s->pairs[s->count + 1] = s->copies[s->count + 1];
  s->count += 2;
}

static void
collect_settings (Settings *s, const SsPgwireMessage *m)
{
  const char *at = m->text;

  memset (s, 0, sizeof *s);
  while (*at)
    {
      const char *value = at + strlen (at) + 1;

      if (strcmp (at, "options") == 0)
        ss_pgwire_options (value, add_setting, s);
      else
        add_setting (s, at, value);
      at = value + strlen (value) + 1;
    }
}

static void
take_startup (Caller *c, const SsPgwireMessage *m)
{
  const char *database = ss_pgwire_startup_value (m, "database");
  const char *user = ss_pgwire_startup_value (m, "user");
  SsEvent e = { .kind = SS_EVENT_CALLER_OPEN };
  Settings settings;

  if (g_hash_table_size (server.callers)
      > (guint) server.shell->settings->max_callers)
    {
      refuse (c, "53300", "too many callers on this vm");
      return;
    }
  collect_settings (&settings, m);
  c->state = CALLER_OPENING;
  e.caller_open.caller = c->id;
  e.caller_open.service = database ? database : (user ? user : "");
  e.caller_open.user = user ? user : "";
  e.caller_open.settings = settings.pairs;
  ss_shell_event (server.shell, &e);
  for (uint32_t i = 0; i < settings.count; i++)
    g_free (settings.copies[i]);
}

static void
take_cancel (const SsPgwireMessage *m)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, server.callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Caller *c = value;

      if ((uint32_t) c->id != m->cancel_process
          || c->secret != m->cancel_secret)
        continue;
      tell_core (SS_EVENT_CALLER_CANCEL, c->id);
      return;
    }
}

static void
take_query (Caller *c, const SsPgwireMessage *m)
{
  SsEvent e = { .kind = SS_EVENT_CALLER_STATEMENT };

  c->state = CALLER_BUSY;
  e.caller_statement.caller = c->id;
  e.caller_statement.sql = m->text;
  ss_shell_event (server.shell, &e);
}

static void
refuse_extended (Caller *c)
{
  if (c->skips_to_sync)
    return;
  c->skips_to_sync = true;
  ss_pgwire_error (out (c), "ERROR", "0A000",
                   "the extended query protocol is not supported",
                   "verdict=not_run reason=unsupported retry_after_ms=0",
                   "Use simple queries (PQexec).");
}

/* Messages that may come between start-up and the end. */
static void
take_regular (Caller *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_QUERY:
      if (!c->skips_to_sync)
        take_query (c, m);
      break;
    case SS_PGWIRE_EXTENDED:
      refuse_extended (c);
      break;
    case SS_PGWIRE_SYNC:
      c->skips_to_sync = false;
      send_ready (c);
      break;
    case SS_PGWIRE_FUNCTION_CALL:
      refuse_extended (c);
      c->skips_to_sync = false;
      send_ready (c);
      break;
    case SS_PGWIRE_TERMINATE:
      close_caller (c);
      tell_core (SS_EVENT_CALLER_CLOSE, c->id);
      break;
    default:
      break;
    }
}

static void
take_message (Caller *c, const SsPgwireMessage *m)
{
  switch (m->kind)
    {
    case SS_PGWIRE_SSL_REQUEST:
      g_byte_array_append (out (c), (const uint8_t *) "N", 1);
      break;
    case SS_PGWIRE_STARTUP:
      take_startup (c, m);
      break;
    case SS_PGWIRE_CANCEL:
      take_cancel (m);
      close_caller (c);
      break;
    case SS_PGWIRE_BAD_VERSION:
    case SS_PGWIRE_MALFORMED:
      refuse (c, "08P01", ss_pgwire_message_name (m->kind));
      break;
    case SS_PGWIRE_TOO_LARGE:
      refuse (c, "54000", ss_pgwire_message_name (m->kind));
      break;
    default:
      take_regular (c, m);
      break;
    }
}

static void
take_messages (Caller *c)
{
  while (c->stream.input
         && (c->state == CALLER_STARTING || c->state == CALLER_IDLE))
    {
      SsPgwireMessage m
          = ss_pgwire_read (c->stream.input->data, c->stream.input->len,
                            c->state == CALLER_STARTING);
      uint32_t used_bytes = m.used_bytes;

      if (m.kind == SS_PGWIRE_NONE)
        break;
      take_message (c, &m);
      ss_stream_consume (&c->stream, used_bytes);
    }
  if (c->state == CALLER_CLOSING)
    ss_stream_consume (&c->stream, UINT32_MAX);
  else
    ss_stream_pause_reading (&c->stream, c->stream.input
                                             && c->stream.input->len
                                                    > PENDING_INPUT_MAX_BYTES);
  ss_stream_flush (&c->stream);
}

static void
on_input (SsStream *stream)
{
  Caller *c = (Caller *) stream;

  c->active_ms = ss_clock_now_ms (server.shell->clock);
  take_messages (c);
}

static void
on_closed (SsStream *stream)
{
  Caller *c = (Caller *) stream;
  uint64_t id = c->id;
  bool core_knows = c->state == CALLER_IDLE || c->state == CALLER_BUSY;

  free_caller (c);
  if (core_knows)
    tell_core (SS_EVENT_CALLER_CLOSE, id);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass = { on_input, on_closed, NULL };
  Caller *c;
  int fd;

  (void) events;
  fd = ss_stream_accept (w->fd, NULL);
  if (fd < 0)
    return;
  c = g_new0 (Caller, 1);
  c->id = ++server.next_id;
  c->secret = g_random_int ();
  c->active_ms = ss_clock_now_ms (server.shell->clock);
  ss_stream_init (&c->stream, &klass, loop, fd, false);
  g_hash_table_insert (server.callers, &c->id, c);
}

/* --- actions of the core --- */

static const char *
hint_for (SsVerdict verdict)
{
  switch (verdict)
    {
    case SS_VERDICT_NOT_RUN:
      return "It was not run; it can be sent again.";
    case SS_VERDICT_MAY_HAVE_RUN:
      return "It may have run; repeat it only with its request id, or look "
             "first.";
    default:
      return NULL;
    }
}

static void
put_failure (Caller *c, const SsAction *a, const char *severity)
{
  char *detail = g_strdup_printf (
      "verdict=%s reason=%s retry_after_ms=%u", ss_verdict_name (a->verdict),
      ss_reason_name (a->reason), a->retry_after_ms);

  ss_pgwire_error (out (c), severity, ss_reason_sqlstate (a->reason),
                   a->text ? a->text : ss_reason_message (a->reason), detail,
                   hint_for (a->verdict));
  g_free (detail);
}

static void
put_success (Caller *c, const SsAction *a)
{
  if (a->bytes)
    {
      gsize bytes;
      const uint8_t *data = g_bytes_get_data (a->bytes, &bytes);

      g_byte_array_append (out (c), data, (guint) bytes);
    }
  else if (a->name)
    {
      const char *name = a->name;
      const char *cell = a->text;

      ss_pgwire_text_columns (out (c), &name, 1);
      ss_pgwire_row (out (c), &cell, 1);
      ss_pgwire_complete (out (c), "SHOW");
    }
  else if (!a->text || !*a->text)
    ss_pgwire_empty_query (out (c));
  else
    ss_pgwire_complete (out (c), a->text);
}

static void
reply (Caller *c, const SsAction *a)
{
  bool was_busy = c->state == CALLER_BUSY;

  if (c->state == CALLER_OPENING)
    {
      if (a->verdict == SS_VERDICT_RAN)
        send_greeting (c);
      else
        put_failure (c, a, "FATAL");
      ss_stream_flush (&c->stream);
      return;
    }
  if (!was_busy)
    return;
  c->status = a->transaction_status;
  if (a->verdict == SS_VERDICT_RAN || a->bytes)
    put_success (c, a);
  else
    put_failure (c, a, "ERROR");
  send_ready (c);
  ss_stream_flush (&c->stream);
  ss_stream_feed (&c->stream);
}

static void
on_action (SsShell *shell, SsAction *a)
{
  Caller *c = g_hash_table_lookup (server.callers, &a->id);

  (void) shell;
  if (!c)
    return;
  switch (a->kind)
    {
    case SS_ACTION_CALLER_REPLY:
      reply (c, a);
      break;
    case SS_ACTION_CALLER_PARAMETER:
      ss_pgwire_parameter (out (c), a->name, a->text);
      break;
    case SS_ACTION_CALLER_CLOSE:
      if (a->reason == SS_REASON_STOPPING)
        ss_pgwire_error (out (c), "FATAL", "57P01", "this vm is stopping",
                         "verdict=not_run reason=stopping retry_after_ms=0",
                         "Connect again.");
      close_caller (c);
      break;
    default:
      break;
    }
}

/* --- life --- */

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  const SsSettings *settings = server.shell->settings;
  int64_t now_ms = ss_clock_now_ms (server.shell->clock);
  GPtrArray *overdue = g_ptr_array_new ();
  GPtrArray *closed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  (void) loop;
  (void) w;
  (void) events;
  g_hash_table_iter_init (&iter, server.callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Caller *c = value;
      int64_t age_ms = now_ms - c->active_ms;

      if (c->state == CALLER_CLOSING && age_ms >= CLOSING_MS)
        g_ptr_array_add (closed, value);
      if ((c->state == CALLER_STARTING
           && age_ms >= settings->startup_timeout_ms)
          || (c->state == CALLER_IDLE && age_ms >= settings->idle_timeout_ms))
        g_ptr_array_add (overdue, value);
    }
  for (guint i = 0; i < overdue->len; i++)
    refuse (g_ptr_array_index (overdue, i), "57P05", "idle for too long");
  for (guint i = 0; i < closed->len; i++)
    free_caller (g_ptr_array_index (closed, i));
  g_ptr_array_free (closed, TRUE);
  g_ptr_array_free (overdue, TRUE);
}

static char *
init (SsShell *shell)
{
  int fd = ss_stream_listen (shell->settings->ip,
                             (uint16_t) shell->settings->caller_port);

  server.shell = shell;
  if (fd < 0)
    return g_strdup_printf (
        "can't listen for callers on %s:%d: %s", shell->settings->ip,
        (int) shell->settings->caller_port, g_strerror (errno));
  server.callers = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&server.accept_io, on_accept, fd, EV_READ);
  ev_io_start (shell->loop, &server.accept_io);
  ev_timer_init (&server.sweep, on_sweep, SWEEP_S, SWEEP_S);
  ev_timer_start (shell->loop, &server.sweep);
  return NULL;
}

static void
finish (SsShell *shell)
{
  GHashTableIter iter;
  gpointer value;

  if (!server.callers)
    return;
  ev_io_stop (shell->loop, &server.accept_io);
  ev_timer_stop (shell->loop, &server.sweep);
  g_hash_table_iter_init (&iter, server.callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ss_stream_finish (&((Caller *) value)->stream);
      g_free (value);
    }
  g_hash_table_destroy (server.callers);
}

static const SsPlugin plugin
    = { .name = "pgserver",
        .interface = SS_INTERFACE_POSTGRESQL,
        .handles = SS_HANDLES (CALLER_REPLY) | SS_HANDLES (CALLER_PARAMETER)
                   | SS_HANDLES (CALLER_CLOSE),
        .init = init,
        .finish = finish,
        .on_action = on_action };

SS_PLUGIN_REGISTER (plugin)
