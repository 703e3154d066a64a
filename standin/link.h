/* link: how a stand-in replica asks its primary for the log, by libpq. */
#ifndef SS_STANDIN_LINK_H
#define SS_STANDIN_LINK_H

#include <ev.h>
#include <libpq-fe.h>

#include "standin/server.h"

typedef struct
{
  SsServer *server;
  struct ev_loop *loop;
  PGconn *pq; /* NULL: not open */
  ev_io io;
  uint64_t generation; /* of the server's link that this one serves */
  int64_t due_ms;      /* no new try before */
} SsLink;

void ss_link_init (SsLink *link, struct ev_loop *loop, SsServer *server);
/* ss_link_tick: opens and closes the link as the server's role asks. */
void ss_link_tick (SsLink *link);

#endif
