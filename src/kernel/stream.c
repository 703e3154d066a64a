#include "kernel/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 65536
#define LISTEN_BACKLOG 1024
/* Of sent output, before its memory is released. */
#define RELEASE_MIN_BYTES 65536
/* An outgoing connection whose peer doesn't respond for USER_TIMEOUT_MS counts
 * as broken.  This time is shorter than the usual statement timeouts and than
 * the retransmissions of a round trip, and longer than a burst of packet loss.
 */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2500U

static void
update_interest (SsStream *s)
{
  int events = 0;

  if (!s->connecting && !s->reading_paused && !s->input_ended)
    events |= EV_READ;
  if (s->output || s->connecting)
    events |= EV_WRITE;
  if (s->io.events == events && ev_is_active (&s->io))
    return;
  ev_io_stop (s->loop, &s->io);
  ev_io_set (&s->io, s->io.fd, events);
  if (events)
    ev_io_start (s->loop, &s->io);
}

static bool
would_block (void)
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/* Returns whether the connection is still usable after a failed call. */
static bool
note_error (SsStream *s)
{
  if (would_block ())
    return true;
  s->error = errno;
  return false;
}

/* Ends the sending side of a stream that is to be closed, once all is sent. */
static void
end_if_sent (SsStream *s)
{
  if (s->close_when_sent && !s->output)
    shutdown (s->io.fd, SHUT_WR);
}

/* Releases the memory of what was sent, once that is most of the buffer: a
 * buffer that is never empty would grow without limit.
 */
static void
release_sent_output (SsStream *s)
{
  if (s->output_sent_bytes < RELEASE_MIN_BYTES
      || s->output_sent_bytes < s->output->len / 2)
    return;
  g_byte_array_remove_range (s->output, 0, s->output_sent_bytes);
  s->output_sent_bytes = 0;
}

/* Returns false if the connection is broken. */
static bool
send_output (SsStream *s)
{
  while (s->output)
    {
      const uint8_t *data = s->output->data + s->output_sent_bytes;
      size_t bytes = s->output->len - s->output_sent_bytes;
      ssize_t sent = send (s->io.fd, data, bytes, MSG_NOSIGNAL);

      if (sent < 0)
        return note_error (s);
      s->output_sent_bytes += (uint32_t) sent;
      if (s->output_sent_bytes < s->output->len)
        {
          release_sent_output (s);
          continue;
        }
      g_byte_array_free (s->output, TRUE);
      s->output = NULL;
      s->output_sent_bytes = 0;
    }
  return true;
}

static bool
receive_input (SsStream *s)
{
  static uint8_t chunk[READ_CHUNK_BYTES];
  ssize_t got = recv (s->io.fd, chunk, sizeof chunk, 0);

  if (got < 0)
    return note_error (s);
  if (got == 0)
    {
      s->input_ended = true;
      return s->klass->on_input_end != NULL;
    }
  if (!s->input)
    s->input = g_byte_array_sized_new ((guint) got);
  g_byte_array_append (s->input, chunk, (guint) got);
  return true;
}

static bool
finish_connecting (SsStream *s)
{
  int error = 0;
  socklen_t error_bytes = sizeof error;

  getsockopt (s->io.fd, SOL_SOCKET, SO_ERROR, &error, &error_bytes);
  if (error)
    return false;
  s->connecting = false;
  if (s->klass->on_connected)
    s->klass->on_connected (s);
  return true;
}

static void
discard_input (SsStream *s)
{
  if (!s->input)
    return;
  s->discarded_bytes += s->input->len;
  ss_stream_consume (s, UINT32_MAX);
}

/* Calls at most one function of the user, who may finish the stream. */
static void
pass_input (SsStream *s, int events)
{
  if (s->input && (events & (EV_READ | EV_CUSTOM)))
    s->klass->on_input (s);
  else if (s->input_ended && !s->output)
    s->klass->on_input_end (s);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  SsStream *s = (SsStream *) (void *) ((char *) w - offsetof (SsStream, io));

  (void) loop;
  if (s->connecting)
    {
      if (!finish_connecting (s))
        {
          s->klass->on_closed (s);
          return;
        }
    }
  if (events & EV_WRITE)
    {
      if (!send_output (s))
        {
          s->klass->on_closed (s);
          return;
        }
      end_if_sent (s);
    }
  if ((events & EV_READ) && !s->input_ended && !receive_input (s))
    {
      s->klass->on_closed (s);
      return;
    }
  update_interest (s);
  if (s->discard_input)
    discard_input (s);
  pass_input (s, events);
}

void
ss_stream_init (SsStream *stream, const SsStreamClass *klass,
                struct ev_loop *loop, int fd, bool connecting)
{
  memset (stream, 0, sizeof *stream);
  stream->klass = klass;
  stream->loop = loop;
  stream->connecting = connecting;
  ev_io_init (&stream->io, on_io, fd, 0);
  update_interest (stream);
}

void
ss_stream_finish (SsStream *stream)
{
  ev_io_stop (stream->loop, &stream->io);
  if (stream->io.fd >= 0)
    close (stream->io.fd);
  stream->io.fd = -1;
  g_clear_pointer (&stream->input, g_byte_array_unref);
  g_clear_pointer (&stream->output, g_byte_array_unref);
}

GByteArray *
ss_stream_output (SsStream *stream)
{
  if (!stream->output)
    stream->output = g_byte_array_new ();
  return stream->output;
}

/* Ignores errors: the loop reports a broken connection, so the stream stays
 * valid after a flush.
 */
void
ss_stream_flush (SsStream *stream)
{
  if (!stream->connecting && stream->output)
    {
      send_output (stream);
      end_if_sent (stream);
    }
  update_interest (stream);
}

uint32_t
ss_stream_unsent_bytes (const SsStream *stream)
{
  return stream->output ? stream->output->len - stream->output_sent_bytes : 0;
}

uint32_t
ss_stream_undelivered_bytes (const SsStream *stream)
{
  int queued_bytes = 0;

  if (ioctl (stream->io.fd, SIOCOUTQ, &queued_bytes) < 0)
    queued_bytes = 0;
  return ss_stream_unsent_bytes (stream) + (uint32_t) queued_bytes;
}

void
ss_stream_consume (SsStream *stream, uint32_t bytes)
{
  if (!stream->input)
    return;
  if (bytes >= stream->input->len)
    {
      g_byte_array_free (stream->input, TRUE);
      stream->input = NULL;
      return;
    }
  g_byte_array_remove_range (stream->input, 0, bytes);
}

void
ss_stream_close_when_sent (SsStream *stream)
{
  stream->close_when_sent = true;
  stream->discard_input = true;
  /* An empty buffer keeps the write watcher active, so the loop shuts the
   * socket down.
   */
  ss_stream_output (stream);
  update_interest (stream);
}

void
ss_stream_pause_reading (SsStream *stream, bool paused)
{
  stream->reading_paused = paused;
  update_interest (stream);
}

void
ss_stream_schedule_input (SsStream *stream)
{
  if (stream->input || stream->input_ended)
    ev_feed_event (stream->loop, &stream->io, EV_CUSTOM);
}

static bool
fill_address (struct sockaddr_in *address, const char *ip, uint16_t port)
{
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons (port);
  if (inet_pton (AF_INET, ip, &address->sin_addr) == 1)
    return true;
  errno = EINVAL;
  return false;
}

static int
new_socket (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/* Detects dead connections by keep-alive probes and TCP_USER_TIMEOUT. */
static void
set_keepalive (int fd)
{
  int one = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  unsigned int timeout_ms = USER_TIMEOUT_MS;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

int
ss_stream_listen (const char *ip, uint16_t port)
{
  struct sockaddr_in address;
  int one = 1;
  int fd = new_socket ();

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (!fill_address (&address, ip, port))
    goto fail;
  if (bind (fd, (struct sockaddr *) &address, sizeof address) < 0)
    goto fail;
  if (listen (fd, LISTEN_BACKLOG) < 0)
    goto fail;
  return fd;
fail:
  close (fd);
  return -1;
}

int
ss_stream_connect (const char *source_ip, const char *ip, uint16_t port)
{
  struct sockaddr_in address;
  int fd = new_socket ();

  if (fd < 0)
    return -1;
  set_keepalive (fd);
  if (source_ip)
    {
      if (!fill_address (&address, source_ip, 0))
        goto fail;
      if (bind (fd, (struct sockaddr *) &address, sizeof address) < 0)
        goto fail;
    }
  if (!fill_address (&address, ip, port))
    goto fail;
  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0
      && errno != EINPROGRESS)
    goto fail;
  return fd;
fail:
  close (fd);
  return -1;
}

int
ss_stream_accept (int listen_fd, char *peer_ip)
{
  struct sockaddr_in address;
  socklen_t address_bytes = sizeof address;
  int one = 1;
  int fd = accept (listen_fd, (struct sockaddr *) &address, &address_bytes);

  if (fd < 0)
    return -1;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (peer_ip)
    inet_ntop (AF_INET, &address.sin_addr, peer_ip, INET_ADDRSTRLEN);
  return fd;
}
