/* peer: messages between daemons over TCP.
 *
 * Each VM sends on the connections that it opens and receives on those that it
 * accepts.  A frame is a length of four bytes in network byte order, followed
 * by that many bytes.  The first frame of a connection holds the sender's name.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "kernel/plugin.h"
#include "kernel/stream.h"

#define FRAME_MAX_BYTES (24 * 1024 * 1024)
#define NAME_MAX_BYTES 128
#define OUTPUT_MAX_BYTES (32 * 1024 * 1024)
#define RECONNECT_DELAY_MS 150
#define CONNECT_TIMEOUT_MS 1000

typedef struct
{
  SsStream stream; /* first: callbacks cast to this struct */
  char *vm;        /* name of the sender; NULL until the first frame */
} Inbound;

typedef struct
{
  SsStream stream; /* first: callbacks cast to this struct */
  char *vm;        /* name of the receiver */
  char *ip;
  uint16_t port;
  bool open;
  bool connected;
  bool flush_due; /* is in peers.unflushed */
  int64_t reconnect_after_ms;
  int64_t connect_started_ms;
} Outbound;

static struct
{
  SsRuntime *runtime;
  ev_io accept_io;
  ev_prepare flush;
  GPtrArray *unflushed; /* of Outbound: have output to send */
  GHashTable *outbound; /* vm -> Outbound */
  GHashTable *inbound;  /* set of Inbound */
} peers;

static int64_t
now_ms (void)
{
  return ss_clock_now_ms (peers.runtime->clock);
}

static void
report_lost (const char *vm)
{
  SsEvent e = { .kind = SS_EVENT_PEER_LOST };
  char *copy = g_strdup (vm);

  ss_log_write (&peers.runtime->log, SS_EVENT_LOG_PEER_CLOSED, "subject", vm,
                NULL);
  e.peer_lost.vm = copy;
  ss_runtime_event (peers.runtime, &e);
  g_free (copy);
}

/* --- reading --- */

static void
free_inbound (gpointer data)
{
  Inbound *in = data;

  ss_stream_finish (&in->stream);
  g_free (in->vm);
  g_free (in);
}

static void
drop_inbound (Inbound *in)
{
  char *vm = g_steal_pointer (&in->vm);

  g_hash_table_remove (peers.inbound, in);
  if (vm)
    report_lost (vm);
  g_free (vm);
}

static void
handle_frame (Inbound *in, const uint8_t *data, uint32_t bytes)
{
  SsEvent e = { .kind = SS_EVENT_PEER_MESSAGE };

  if (!in->vm)
    {
      in->vm = g_strndup ((const char *) data, MIN (bytes, NAME_MAX_BYTES));
      return;
    }
  e.peer_message.data = data;
  e.peer_message.data_bytes = bytes;
  ss_runtime_event (peers.runtime, &e);
}

static void
on_input (SsStream *stream)
{
  Inbound *in = (Inbound *) stream;
  uint32_t at = 0;

  while (stream->input->len - at >= sizeof (uint32_t))
    {
      uint32_t wire;
      uint32_t bytes;

      memcpy (&wire, stream->input->data + at, sizeof wire);
      bytes = ntohl (wire);
      if (bytes > FRAME_MAX_BYTES)
        {
          drop_inbound (in);
          return;
        }
      if (stream->input->len - at - sizeof wire < bytes)
        break;
      handle_frame (in, stream->input->data + at + sizeof wire, bytes);
      at += (uint32_t) sizeof wire + bytes;
    }
  ss_stream_consume (stream, at);
}

static void
on_inbound_closed (SsStream *stream)
{
  drop_inbound ((Inbound *) stream);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  static const SsStreamClass klass
      = { on_input, on_inbound_closed, NULL, NULL };
  Inbound *in;
  int fd = ss_stream_accept (w->fd, NULL);

  (void) events;
  if (fd < 0)
    return;
  in = g_new0 (Inbound, 1);
  ss_stream_init (&in->stream, &klass, loop, fd, false);
  g_hash_table_add (peers.inbound, in);
}

/* --- writing --- */

static void
put_frame (Outbound *out, const void *data, uint32_t bytes)
{
  GByteArray *output = ss_stream_output (&out->stream);
  uint32_t wire = htonl (bytes);

  g_byte_array_append (output, (const uint8_t *) &wire, sizeof wire);
  g_byte_array_append (output, data, bytes);
}

static void
close_outbound (Outbound *out)
{
  if (out->open)
    ss_stream_finish (&out->stream);
  out->open = false;
  out->connected = false;
  out->reconnect_after_ms = now_ms () + RECONNECT_DELAY_MS;
}

static void
on_outbound_closed (SsStream *stream)
{
  Outbound *out = (Outbound *) stream;

  close_outbound (out);
  report_lost (out->vm);
}

static void
on_connected (SsStream *stream)
{
  ((Outbound *) stream)->connected = true;
}

/* Discards input: the peer never sends on this connection. */
static void
on_unexpected (SsStream *stream)
{
  ss_stream_consume (stream, UINT32_MAX);
}

static void
start_connect (Outbound *out)
{
  static const SsStreamClass klass
      = { on_unexpected, on_outbound_closed, on_connected, NULL };
  int fd = ss_stream_connect (peers.runtime->settings->ip, out->ip, out->port);

  if (fd < 0)
    {
      out->reconnect_after_ms = now_ms () + RECONNECT_DELAY_MS;
      return;
    }
  ss_stream_init (&out->stream, &klass, peers.runtime->loop, fd, true);
  out->open = true;
  out->connected = false;
  out->connect_started_ms = now_ms ();
  put_frame (out, peers.runtime->settings->vm_name,
             (uint32_t) strlen (peers.runtime->settings->vm_name));
}

static void
send_message (SsAction *a)
{
  Outbound *out = g_hash_table_lookup (peers.outbound, a->name);
  gsize bytes;
  const void *data = g_bytes_get_data (a->bytes, &bytes);

  if (!out)
    return;
  if (out->open && !out->connected
      && now_ms () - out->connect_started_ms >= CONNECT_TIMEOUT_MS)
    close_outbound (out);
  if (!out->open && now_ms () >= out->reconnect_after_ms)
    start_connect (out);
  if (!out->open || ss_stream_unsent_bytes (&out->stream) > OUTPUT_MAX_BYTES)
    {
      /* A caller may wait for the reply, so the loss is reported. */
      if (!a->is_control)
        report_lost (a->name);
      return;
    }
  put_frame (out, data, (uint32_t) bytes);
  if (out->flush_due)
    return;
  out->flush_due = true;
  g_ptr_array_add (peers.unflushed, out);
}

/* Sends all messages of one iteration of the event loop with one write. */
static void
on_flush (struct ev_loop *loop, ev_prepare *w, int events)
{
  (void) loop;
  (void) w;
  (void) events;
  for (guint i = 0; i < peers.unflushed->len; i++)
    {
      Outbound *out = g_ptr_array_index (peers.unflushed, i);

      out->flush_due = false;
      if (out->open)
        ss_stream_flush (&out->stream);
    }
  g_ptr_array_set_size (peers.unflushed, 0);
}

static void
free_outbound (gpointer data)
{
  Outbound *out = data;

  g_ptr_array_remove_fast (peers.unflushed, out);

  if (out->open)
    ss_stream_finish (&out->stream);
  g_free (out->vm);
  g_free (out->ip);
  g_free (out);
}

static void
set_address (const SsAction *a)
{
  Outbound *out = g_hash_table_lookup (peers.outbound, a->name);

  if (out && strcmp (out->ip, a->text) == 0 && out->port == a->port)
    return;
  out = g_new0 (Outbound, 1);
  out->vm = g_strdup (a->name);
  out->ip = g_strdup (a->text);
  out->port = (uint16_t) a->port;
  g_hash_table_replace (peers.outbound, out->vm, out);
}

static void
on_action (SsRuntime *runtime, SsAction *a)
{
  (void) runtime;
  if (a->kind == SS_ACTION_PEER_SEND)
    send_message (a);
  else
    set_address (a);
}

static char *
init (SsRuntime *runtime)
{
  int fd = ss_stream_listen (runtime->settings->ip,
                             (uint16_t) runtime->settings->peer_port);

  peers.runtime = runtime;
  if (fd < 0)
    return g_strdup_printf (
        "can't listen for peers on %s:%d: %s", runtime->settings->ip,
        (int) runtime->settings->peer_port, g_strerror (errno));
  peers.outbound
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_outbound);
  peers.inbound = g_hash_table_new_full (NULL, NULL, free_inbound, NULL);
  peers.unflushed = g_ptr_array_new ();
  ev_prepare_init (&peers.flush, on_flush);
  ev_prepare_start (runtime->loop, &peers.flush);
  ev_io_init (&peers.accept_io, on_accept, fd, EV_READ);
  ev_io_start (runtime->loop, &peers.accept_io);
  return NULL;
}

/* A VM that is not connected is not waited for. */
static uint32_t
unsent_bytes (const Outbound *out)
{
  return out->connected ? ss_stream_unsent_bytes (&out->stream) : 0;
}

static bool
is_drained (SsRuntime *runtime)
{
  GHashTableIter iter;
  gpointer value;

  (void) runtime;
  g_hash_table_iter_init (&iter, peers.outbound);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (unsent_bytes (value))
      return false;
  return true;
}

static void
log_unsent (void)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers.outbound);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Outbound *out = value;
      char *detail = g_strdup_printf ("bytes=%u", unsent_bytes (out));

      if (unsent_bytes (out))
        ss_log_write (&peers.runtime->log, SS_EVENT_LOG_PEER_UNSENT, "subject",
                      out->vm, "detail", detail, NULL);
      g_free (detail);
    }
}

static void
finish (SsRuntime *runtime)
{
  if (!peers.outbound)
    return;
  log_unsent ();
  ev_io_stop (runtime->loop, &peers.accept_io);
  ev_prepare_stop (runtime->loop, &peers.flush);
  g_hash_table_destroy (peers.outbound);
  g_hash_table_destroy (peers.inbound);
  g_ptr_array_free (peers.unflushed, TRUE);
}

static const SsPlugin plugin
    = { .name = "peer",
        .handles = SS_HANDLES (PEER_SEND) | SS_HANDLES (PEER_ADDRESS),
        .init = init,
        .finish = finish,
        .on_action = on_action,
        .is_drained = is_drained };

SS_PLUGIN_REGISTER (plugin)
