/* stream: a buffered, non-blocking TCP connection on a libev loop.
 *
 * Empty buffers are freed, so an idle connection uses little memory.
 */
#ifndef SS_STREAM_H
#define SS_STREAM_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct SsStream SsStream;

typedef struct
{
  /* Data arrived in stream->input.  The callee removes what it processed with
   * ss_stream_consume; it may call ss_stream_finish.
   */
  void (*on_input) (SsStream *stream);
  /* The connection failed or the peer closed it.  The callee owns the stream
   * and must call ss_stream_finish.
   */
  void (*on_closed) (SsStream *stream);
  /* Optional: the outgoing connection is established. */
  void (*on_connected) (SsStream *stream);
  /* Optional: the peer has ended its sending; called again whenever all output
   * has been sent after that.  The callee may call ss_stream_finish.  NULL:
   * on_closed is called instead.
   */
  void (*on_input_end) (SsStream *stream);
} SsStreamClass;

struct SsStream
{
  const SsStreamClass *klass;
  struct ev_loop *loop;
  ev_io io;
  GByteArray *input;  /* NULL while empty */
  GByteArray *output; /* NULL while empty */
  uint32_t output_sent_bytes;
  bool connecting;
  bool close_when_sent;
  bool reading_paused;
  bool discard_input;
  bool input_ended;         /* the peer has ended its sending */
  uint32_t discarded_bytes; /* of input */
  int error;                /* errno of the failure; 0: none */
};

/* ss_stream_init: takes ownership of the connected or connecting socket FD. */
void ss_stream_init (SsStream *stream, const SsStreamClass *klass,
                     struct ev_loop *loop, int fd, bool connecting);
/* ss_stream_finish: closes the socket and frees the buffers. */
void ss_stream_finish (SsStream *stream);

/* ss_stream_output: returns the buffer to append to; call ss_stream_flush
 * afterwards.
 */
GByteArray *ss_stream_output (SsStream *stream);
/* ss_stream_flush: sends what the socket accepts; the loop sends the rest. */
void ss_stream_flush (SsStream *stream);
/* ss_stream_unsent_bytes: returns the output that the kernel has not taken. */
uint32_t ss_stream_unsent_bytes (const SsStream *stream);
/* ss_stream_undelivered_bytes: returns the output that the peer has not
 * acknowledged, with what the kernel holds.
 */
uint32_t ss_stream_undelivered_bytes (const SsStream *stream);
/* ss_stream_consume: removes up to BYTES from the start of the input. */
void ss_stream_consume (SsStream *stream, uint32_t bytes);
/* ss_stream_close_when_sent: shuts down sending once the output is sent, and
 * discards further input; on_closed follows when the peer closes.  Closing at
 * once could cause a reset that loses the last output.
 */
void ss_stream_close_when_sent (SsStream *stream);
/* ss_stream_pause_reading: stops or resumes reading, for back pressure. */
void ss_stream_pause_reading (SsStream *stream, bool paused);

/* ss_stream_schedule_input: has the loop call on_input if input is left. */
void ss_stream_schedule_input (SsStream *stream);

/* ss_stream_listen: returns a listening socket, or -1 with errno set; IP is an
 * IPv4 address.
 */
int ss_stream_listen (const char *ip, uint16_t port);
/* ss_stream_connect: starts a connection from SOURCE_IP (NULL: any); returns a
 * socket, or -1 with errno set.
 */
int ss_stream_connect (const char *source_ip, const char *ip, uint16_t port);
/* ss_stream_accept: returns a socket, or -1 if no connection is pending or
 * accept fails.  PEER_IP is NULL or has at least INET_ADDRSTRLEN bytes.
 */
int ss_stream_accept (int listen_fd, char *peer_ip);

#endif
