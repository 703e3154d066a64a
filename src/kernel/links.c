#include "kernel/links.h"

#include <string.h>

static void
free_cells (char **row, uint32_t cells)
{
  for (uint32_t i = 0; i < cells; i++)
    g_free (row[i]);
}

void
ss_link_clear (SsTargetLink *connection)
{
  g_clear_pointer (&connection->wire, g_byte_array_unref);
  free_cells (connection->row, connection->row_cells);
  connection->row_cells = 0;
}

static void
free_link (SsTargetLink *connection)
{
  SsLinks *connections = connection->parent;

  ev_timer_stop (connections->shell->loop, &connection->failed);
  g_hash_table_remove (connections->by_id, &connection->id);
  connections->klass->finish (connection);
  ss_link_clear (connection);
  g_free (connection);
}

void
ss_link_keep_cell (SsTargetLink *connection, const char *text)
{
  if (connection->row_cells < SS_LINK_CELLS_MAX)
    connection->row[connection->row_cells++] = g_strdup (text);
}

static void
on_failed (struct ev_loop *loop, ev_timer *w, int events)
{
  SsTargetLink *connection = w->data;

  (void) loop;
  (void) events;
  connection->parent->klass->on_failed (connection);
}

void
ss_link_fail_soon (SsTargetLink *connection)
{
  ev_timer_start (connection->parent->shell->loop, &connection->failed);
}

void
ss_link_ready (SsTargetLink *connection)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  e.target.connection = connection->id;
  ss_shell_event (connection->parent->shell, &e);
}

void
ss_link_closed (SsTargetLink *connection, SsEvent *event)
{
  SsShell *shell = connection->parent->shell;

  event->kind = SS_EVENT_TARGET_CLOSED;
  event->target.connection = connection->id;
  free_link (connection);
  ss_shell_event (shell, event);
}

/* The core may send the next query while it handles this result, so the
 * response is moved out of the connection first.
 */
void
ss_link_result (SsTargetLink *connection, SsTargetResult *result)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  char *row[SS_LINK_CELLS_MAX];
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
  ss_shell_event (connection->parent->shell, &e);
  free_cells (row, cells);
  g_bytes_unref (result->wire);
}

static void
start (SsLinks *connections, const SsAction *a)
{
  SsTargetLink *connection = g_malloc0 (connections->klass->link_bytes);

  connection->parent = connections;
  connection->id = a->id;
  ev_timer_init (&connection->failed, on_failed, 0, 0);
  connection->failed.data = connection;
  g_hash_table_insert (connections->by_id, &connection->id, connection);
  connections->klass->start (connection, a);
}

static void
query (SsTargetLink *connection, const SsAction *a)
{
  ss_link_clear (connection);
  connection->want_row = a->want_row;
  connection->parent->klass->query (connection, a);
}

SsTargetLink *
ss_links_find (const SsLinks *connections, uint64_t id)
{
  return g_hash_table_lookup (connections->by_id, &id);
}

void
ss_links_action (SsLinks *connections, const SsAction *action)
{
  SsTargetLink *connection = ss_links_find (connections, action->id);

  if (action->kind == SS_ACTION_TARGET_CONNECT)
    start (connections, action);
  else if (connection && action->kind == SS_ACTION_TARGET_QUERY)
    query (connection, action);
  else if (connection && action->kind == SS_ACTION_TARGET_CLOSE)
    free_link (connection);
}

void
ss_links_init (SsLinks *connections, const SsLinksClass *klass, SsShell *shell)
{
  connections->klass = klass;
  connections->shell = shell;
  connections->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
ss_links_finish (SsLinks *connections)
{
  GList *all;

  if (!connections->by_id)
    return;
  all = g_hash_table_get_values (connections->by_id);
  for (GList *l = all; l; l = l->next)
    free_link (l->data);
  g_list_free (all);
  g_clear_pointer (&connections->by_id, g_hash_table_destroy);
}
