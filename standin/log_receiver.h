/* log_receiver: replicates the primary's log to a stand-in replica, by libpq.
 *
 * The replica requests entries with SELECT sapphirestair_log(...).  The primary
 * responds when it has new entries or the wait in the request expires.
 */
#ifndef SS_STANDIN_LOG_RECEIVER_H
#define SS_STANDIN_LOG_RECEIVER_H

#include <ev.h>
#include <libpq-fe.h>

#include "standin/server.h"

typedef struct
{
  SsServer *server;
  struct ev_loop *loop;
  PGconn *pq; /* NULL: not connected */
  ev_io io;
  /* The server's replication_generation when the connection was opened. */
  uint64_t generation;
  /* Earliest time of the next connection attempt.  While connected: the
   * response timeout does not apply before it.
   */
  int64_t due_ms;
} SsLogReceiver;

void ss_log_receiver_init (SsLogReceiver *receiver, struct ev_loop *loop,
                           SsServer *server);
/* ss_log_receiver_tick: connects to the primary that the server follows, and
 * disconnects when the server no longer follows it or responses time out.
 */
void ss_log_receiver_tick (SsLogReceiver *receiver);

#endif
