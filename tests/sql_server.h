/* sql_server: one decision core on the PostgreSQL interface, with one stand-in
 * server and one caller, driven event by event on a clock of its own.
 *
 * Every text that the core sends for the caller is kept.  The functions fail a
 * CUnit assertion where the core does not answer.
 */
#ifndef SS_TESTS_SQL_SERVER_H
#define SS_TESTS_SQL_SERVER_H

#include "core/message.h"
#include "standin/session.h"

typedef struct
{
  SsClock base; /* first: the server's clock is cast to this struct */
  int64_t now_ms;
  SsNode node;
  SsServer server;
  GHashTable *connections; /* id -> its session at the server */
  GPtrArray *sent;         /* texts sent to the server, but for status ones */
  GArray *sent_on;         /* uint64_t: the connections that took them */
  int64_t version;         /* of the last configuration object */
  bool replied;
  SsAction reply;  /* the last one to the caller */
  bool loses_next; /* the next statement's connection is lost after it ran */
} SqlServer;

/* sql_server_init: starts the core and waits for a primary. */
void sql_server_init (SqlServer *sim);
void sql_server_finish (SqlServer *sim);
/* sql_server_put: has the platform tell the object JSON under KEY. */
void sql_server_put (SqlServer *sim, const char *key, const char *json);
/* sql_server_run: runs SQL in the caller's session and returns the reply, which
 * is borrowed until the next call.
 */
const SsAction *sql_server_run (SqlServer *sim, const char *sql);
/* A write that another VM asks the core to run. */
typedef struct
{
  uint64_t id; /* of the request and of its session */
  const char *sql;
  size_t bytes;
  const char *key;          /* idempotency key; "": none */
  const char *organisation; /* "": none */
} SqlRun;

/* sql_server_deliver_run: has the core take RUN from another VM. */
void sql_server_deliver_run (SqlServer *sim, const SqlRun *run);
/* sql_server_rows: how many values the server has under KEY of table kv. */
uint32_t sql_server_rows (const SqlServer *sim, const char *key);
/* sql_server_sent: whether a text that holds PART was sent to the server. */
bool sql_server_sent (const SqlServer *sim, const char *part);
/* sql_server_lose_transaction: cuts the connections to the server. */
void sql_server_lose_transaction (SqlServer *sim);

#endif
