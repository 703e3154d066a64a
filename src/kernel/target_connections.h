/* target_connections: the connections to targets, independent of their
 * protocol.
 *
 * Carries out the core's actions on connections and reports the result of each.
 * The plug-in sends statements and parses responses.
 */
#ifndef SS_TARGET_CONNECTIONS_H
#define SS_TARGET_CONNECTIONS_H

#include "kernel/plugin.h"

#define SS_TARGET_ROW_CELLS_MAX 16
/* SQLSTATE too_many_connections: tells the core that the target's connection
 * limit is reached.
 */
#define SS_SQLSTATE_TOO_MANY_CONNECTIONS "53300"

typedef struct SsTargetConnections SsTargetConnections;

/* Longest response that is passed on: a reply to another VM must fit into a
 * message.
 */
#define SS_TARGET_RESPONSE_MAX_BYTES (8 * 1024 * 1024)

/* Base struct of a plug-in's connection, its first member; freed with g_free.
 */
typedef struct
{
  SsTargetConnections *connections;
  uint64_t id;
  ev_timer failed;  /* reports from the loop that a call failed at once */
  bool want_row;    /* store the first row of the response */
  GByteArray *wire; /* response so far, in the callers' protocol; NULL: none */
  char *row[SS_TARGET_ROW_CELLS_MAX]; /* first row of the response */
  uint32_t row_cells;
} SsTargetConnection;

typedef struct
{
  uint32_t connection_bytes; /* size of the plug-in's connection */
  /* Starts to connect to ACTION's address. */
  void (*start) (SsTargetConnection *connection, const SsAction *action);
  /* Sends ACTION's statement; the previous response is already cleared. */
  void (*query) (SsTargetConnection *connection, const SsAction *action);
  /* Reports the failure with ss_target_connection_closed. */
  void (*on_failed) (SsTargetConnection *connection);
  /* Releases the plug-in's resources. */
  void (*finish) (SsTargetConnection *connection);
} SsTargetConnectionsClass;

struct SsTargetConnections
{
  const SsTargetConnectionsClass *klass;
  SsRuntime *runtime;
  GHashTable *by_id; /* id -> SsTargetConnection; NULL: not started */
};

/* The actions that a plug-in for targets handles. */
#define SS_TARGET_CONNECTIONS_HANDLES                                          \
  (SS_HANDLES (TARGET_CONNECT) | SS_HANDLES (TARGET_QUERY)                     \
   | SS_HANDLES (TARGET_CLOSE))

void ss_target_connections_init (SsTargetConnections *connections,
                                 const SsTargetConnectionsClass *klass,
                                 SsRuntime *runtime);
/* ss_target_connections_finish: closes all connections; does nothing if init
 * was not called.
 */
void ss_target_connections_finish (SsTargetConnections *connections);
/* ss_target_connections_action: carries out a connect, a query or a close. */
void ss_target_connections_action (SsTargetConnections *connections,
                                   const SsAction *action);
/* ss_target_connections_find: returns NULL if the core closed the connection
 * meanwhile. */
SsTargetConnection *
ss_target_connections_find (const SsTargetConnections *connections,
                            uint64_t id);

/* ss_target_connection_add_cell: appends a copy of TEXT to the stored row;
 * cells beyond SS_TARGET_ROW_CELLS_MAX are dropped.
 */
void ss_target_connection_add_cell (SsTargetConnection *connection,
                                    const char *text);
/* ss_target_connection_clear: discards the response. */
void ss_target_connection_clear (SsTargetConnection *connection);
/* ss_target_connection_schedule_failure: has the loop call on_failed. */
void ss_target_connection_schedule_failure (SsTargetConnection *connection);

/* The following functions pass an event to the core, which may close or reuse
 * CONNECTION: don't access it afterwards.
 */
/* ss_target_connection_ready: reports that CONNECTION is established. */
void ss_target_connection_ready (SsTargetConnection *connection);
/* ss_target_connection_closed: frees CONNECTION and reports its end.
 * EVENT->target gives the reason; its member connection is set here.
 */
void ss_target_connection_closed (SsTargetConnection *connection,
                                  SsEvent *event);
/* ss_target_connection_result: reports RESULT with CONNECTION's wire and row.
 */
void ss_target_connection_result (SsTargetConnection *connection,
                                  SsTargetResult *result);

#endif
