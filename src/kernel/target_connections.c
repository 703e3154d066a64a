#include "kernel/target_connections.h"

#include <string.h>

static void
free_cells (char **row, uint32_t cells)
{
  for (uint32_t i = 0; i < cells; i++)
    g_free (row[i]);
}

void
ss_target_connection_clear (SsTargetConnection *connection)
{
  g_clear_pointer (&connection->wire, g_byte_array_unref);
  free_cells (connection->row, connection->row_cells);
  connection->row_cells = 0;
}

static void
free_connection (SsTargetConnection *connection)
{
  SsTargetConnections *connections = connection->connections;

  ev_timer_stop (connections->runtime->loop, &connection->failed);
  g_hash_table_remove (connections->by_id, &connection->id);
  connections->klass->finish (connection);
  ss_target_connection_clear (connection);
  g_free (connection);
}

void
ss_target_connection_add_cell (SsTargetConnection *connection, const char *text)
{
  if (connection->row_cells < SS_TARGET_ROW_CELLS_MAX)
    connection->row[connection->row_cells++] = g_strdup (text);
}

static void
on_failed (struct ev_loop *loop, ev_timer *w, int events)
{
  SsTargetConnection *connection = w->data;

  (void) loop;
  (void) events;
  connection->connections->klass->on_failed (connection);
}

void
ss_target_connection_schedule_failure (SsTargetConnection *connection)
{
  ev_timer_start (connection->connections->runtime->loop, &connection->failed);
}

void
ss_target_connection_ready (SsTargetConnection *connection)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  e.target.connection = connection->id;
  ss_runtime_event (connection->connections->runtime, &e);
}

void
ss_target_connection_closed (SsTargetConnection *connection, SsEvent *event)
{
  SsRuntime *runtime = connection->connections->runtime;

  event->kind = SS_EVENT_TARGET_CLOSED;
  event->target.connection = connection->id;
  free_connection (connection);
  ss_runtime_event (runtime, event);
}

/* The core may send the next query while it handles this result, so the
 * response is moved out of the connection first.
 */
void
ss_target_connection_result (SsTargetConnection *connection,
                             SsTargetResult *result)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  char *row[SS_TARGET_ROW_CELLS_MAX];
  uint32_t cells = connection->row_cells;
  GByteArray *wire = g_steal_pointer (&connection->wire);

  memcpy (row, connection->row, sizeof row);
  connection->row_cells = 0;
  result->wire
      = wire ? g_byte_array_free_to_bytes (wire) : g_bytes_new (NULL, 0);
  result->row = cells ? (const char *const *) row : NULL;
  result->row_cells = cells;
  e.target_result.connection = connection->id;
  e.target_result.result = result;
  ss_runtime_event (connection->connections->runtime, &e);
  free_cells (row, cells);
  g_bytes_unref (result->wire);
}

static void
start (SsTargetConnections *connections, const SsAction *a)
{
  SsTargetConnection *connection
      = g_malloc0 (connections->klass->connection_bytes);

  connection->connections = connections;
  connection->id = a->id;
  ev_timer_init (&connection->failed, on_failed, 0, 0);
  connection->failed.data = connection;
  g_hash_table_insert (connections->by_id, &connection->id, connection);
  connections->klass->start (connection, a);
}

static void
query (SsTargetConnection *connection, const SsAction *a)
{
  ss_target_connection_clear (connection);
  connection->want_row = a->want_row;
  connection->connections->klass->query (connection, a);
}

SsTargetConnection *
ss_target_connections_find (const SsTargetConnections *connections, uint64_t id)
{
  return g_hash_table_lookup (connections->by_id, &id);
}

void
ss_target_connections_action (SsTargetConnections *connections,
                              const SsAction *action)
{
  SsTargetConnection *connection
      = ss_target_connections_find (connections, action->id);

  if (action->kind == SS_ACTION_TARGET_CONNECT)
    start (connections, action);
  else if (connection && action->kind == SS_ACTION_TARGET_QUERY)
    query (connection, action);
  else if (connection && action->kind == SS_ACTION_TARGET_CLOSE)
    free_connection (connection);
}

void
ss_target_connections_init (SsTargetConnections *connections,
                            const SsTargetConnectionsClass *klass,
                            SsRuntime *runtime)
{
  connections->klass = klass;
  connections->runtime = runtime;
  connections->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
ss_target_connections_finish (SsTargetConnections *connections)
{
  GList *all;

  if (!connections->by_id)
    return;
  all = g_hash_table_get_values (connections->by_id);
  for (GList *l = all; l; l = l->next)
    free_connection (l->data);
  g_list_free (all);
  g_clear_pointer (&connections->by_id, g_hash_table_destroy);
}
