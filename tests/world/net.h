/* net: time, the record, addresses and connections of the stand-ins.
 *
 * All addresses are loopback addresses 127.NET.x.y; NET is picked so that no
 * other run on the machine uses them.
 */
#ifndef SS_TESTS_WORLD_NET_H
#define SS_TESTS_WORLD_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_VMS 6
#define WORLD_SERVERS 3
#define WORLD_PLATFORM_PORT 8783
#define WORLD_CALLERS_PORT 8784
#define WORLD_READY_PORT 8785
#define WORLD_SEED_PORT 8782
#define WORLD_PEER_PORT 7440
#define WORLD_SERVER_PORT 8080

/* world_net_start: opens the record in FOLDER and picks a network.  Returns
 * false if that fails.
 */
bool world_net_start (const char *folder);
/* world_net_finish: writes the rest of the record. */
void world_net_finish (void);

/* world_now_ms: milliseconds since world_net_start. */
int64_t world_now_ms (void);
void world_sleep_ms (int64_t ms);
/* world_seconds: seconds since world_net_start at MONOTONIC_US, a
 * g_get_monotonic_time.
 */
double world_seconds (int64_t monotonic_us);

/* world_record: adds a line to the record. */
void world_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* world_printable: returns TEXT with its odd bytes escaped and the middle of a
 * long one left out, to be freed.
 */
char *world_printable (const char *text);

/* The addresses, to be freed. */
char *world_vm_ip (uint32_t vm);
/* world_vm_relay_ip: where other VMs reach VM if a relay stands between. */
char *world_vm_relay_ip (uint32_t vm);
char *world_server_ip (uint32_t server);
char *world_store_ip (void);
char *world_promotions_ip (void);

/* world_listen, world_connect: return a socket, or -1. */
int world_listen (const char *ip, uint16_t port);
int world_connect (const char *ip, uint16_t port, int timeout_ms);
/* world_connect_receiving: as world_connect; the kernel holds no more than some
 * RECEIVE_BYTES that were not read, and the sender's kernel little more.
 */
int world_connect_receiving (const char *ip, uint16_t port, int timeout_ms,
                             int receive_bytes);
bool world_send (int fd, const char *data, size_t bytes);

/* What serves one connection; it closes FD. */
typedef void (*WorldServe) (int fd, uint32_t number);

/* world_accept: serves the connections of LISTENER, each in a thread, until the
 * listener is shut down.
 */
void world_accept (int listener, WorldServe serve, uint32_t number);

typedef enum
{
  WORLD_OPEN,
  WORLD_ENDED, /* in order */
  WORLD_RESET
} WorldStreamEnd;

/* A connection that is read line by line. */
typedef struct
{
  int fd;
  GString *input;
  size_t searched;   /* bytes of input without the end of a line */
  size_t read_bytes; /* limit of one read */
  WorldStreamEnd end;
  int64_t ended_ms; /* when the other end was seen to end it; 0: not yet */
} WorldStream;

void world_stream_init (WorldStream *stream, int fd);
/* world_stream_finish: closes the connection too. */
void world_stream_finish (WorldStream *stream);
/* world_stream_line: returns the next line without its CR LF, to be freed, or
 * NULL where none came in TIMEOUT_MS (below 0: no limit) or the connection
 * ended.
 */
char *world_stream_line (WorldStream *stream, int64_t timeout_ms);
/* world_stream_take: returns the next BYTES bytes as a text, to be freed, or
 * NULL where the connection ended.
 */
char *world_stream_take (WorldStream *stream, size_t bytes);
/* world_stream_pause: reads nothing for MS, and notes when the connection ends
 * meanwhile.  What has arrived can still be read.
 */
void world_stream_pause (WorldStream *stream, int64_t ms);
/* world_stream_is_quiet: whether nothing is to be read, not even an end. */
bool world_stream_is_quiet (const WorldStream *stream);

#endif
