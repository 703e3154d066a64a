/* server: one stand-in database server of a group.
 *
 * It remembers the highest term it was shown, refuses older ones, and follows
 * a primary by asking it for its log.  Roles change only by the calls
 * sapphirestair_raise, _promote and _follow.
 */
#ifndef SS_STANDIN_SERVER_H
#define SS_STANDIN_SERVER_H

#include <ev.h>
#include <libpq-fe.h>

#include "standin/store.h"

typedef enum
{
  SS_ROLE_REPLICA,
  SS_ROLE_PRIMARY,
  SS_ROLE_FENCED
} SsRole;

typedef struct
{
  struct ev_loop *loop;
  const char *name;
  SsStore store;
  SsRole role;
  uint64_t shown_term;
  uint64_t follow_term;
  char *upstream; /* "ip port", or NULL */
  int64_t heard_ms; /* the primary's last answer */
  uint64_t first_wanted; /* while the common prefix is looked for */
  PGconn *link;
  ev_io link_io;
  bool link_asked;
  int64_t link_due_ms; /* no new try before */
  FILE *term_file;

  int64_t apply_lag_ms;
  int64_t connect_ms;
  int64_t slow_ms;
  int64_t max_connections;
  bool cut; /* replication, both ways */
} SsServer;

int64_t ss_server_now_ms (const SsServer *server);

/* ss_server_init: DATA_PATH may be NULL (memory only). */
void ss_server_init (SsServer *server, struct ev_loop *loop, const char *name,
                     const char *data_path);

/* ss_server_raise: returns whether TERM is now the highest shown one. */
bool ss_server_raise (SsServer *server, uint64_t term);
bool ss_server_promote (SsServer *server, uint64_t term);
bool ss_server_follow (SsServer *server, uint64_t term, const char *ip,
                       const char *port);
const char *ss_server_role_name (const SsServer *server);

/* ss_server_tick: applies what is due and keeps the link to the primary. */
void ss_server_tick (SsServer *server);

#endif
