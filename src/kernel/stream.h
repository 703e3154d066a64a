/* stream: one buffered, non-blocking TCP connection on a libev loop.
 *
 * Buffers are freed while they are empty, so an idle connection stays small.
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
  /* Bytes arrived in stream->input; the callee drops what it takes with
   * ss_stream_consume.  It may call ss_stream_finish.
   */
  void (*on_input) (SsStream *stream);
  /* The connection broke or was closed by the other end.  The callee owns
   * the stream and has to finish it.
   */
  void (*on_closed) (SsStream *stream);
  /* Optional: the outgoing connection is established. */
  void (*on_connected) (SsStream *stream);
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
  bool discards; /* what arrives */
};

/* ss_stream_init: takes over the connected or connecting socket FD. */
void ss_stream_init (SsStream *stream, const SsStreamClass *klass,
                     struct ev_loop *loop, int fd, bool connecting);
/* ss_stream_finish: closes the socket and frees the buffers. */
void ss_stream_finish (SsStream *stream);

/* ss_stream_output: the buffer to append to; call ss_stream_flush after. */
GByteArray *ss_stream_output (SsStream *stream);
void ss_stream_flush (SsStream *stream);
void ss_stream_consume (SsStream *stream, uint32_t bytes);
/* ss_stream_close_when_sent: ends this side once the output is sent, and drops
 * what still arrives; on_closed follows when the other side ends.  A reset
 * would take the last output along.
 */
void ss_stream_close_when_sent (SsStream *stream);
/* ss_stream_pause_reading: stops or resumes reading, for back pressure. */
void ss_stream_pause_reading (SsStream *stream, bool paused);

/* ss_stream_feed: has on_input called from the loop for what is left in the
 * input.
 */
void ss_stream_feed (SsStream *stream);

/* ss_stream_listen: returns a listening socket, or -1 with errno set. */
int ss_stream_listen (const char *ip, uint16_t port);
/* ss_stream_connect: starts to connect from SOURCE_IP (may be NULL);
 * returns a socket, or -1 with errno set.
 */
int ss_stream_connect (const char *source_ip, const char *ip, uint16_t port);
/* ss_stream_accept: returns a socket, or -1 where none waits; PEER_IP of at
 * least INET_ADDRSTRLEN bytes may be NULL.
 */
int ss_stream_accept (int listen_fd, char *peer_ip);

#endif
