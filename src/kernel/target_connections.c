#include "kernel/target_connections.h"

#include <string.h>

static void
free_cells (char **row, uint32_t cells)
{
  for (uint32_t i = 0; i < cells; i++)
    g_free (row[i]);
}

void
ss_target_connection_clear (SsTargetConnection *link)
{
  g_clear_pointer (&link->wire, g_byte_array_unref);
  free_cells (link->row, link->row_cells);
  link->row_cells = 0;
}

static void
free_link (SsTargetConnection *link)
{
  SsTargetConnections *links = link->links;

  ev_timer_stop (links->runtime->loop, &link->failed);
  g_hash_table_remove (links->by_id, &link->id);
  links->klass->finish (link);
  ss_target_connection_clear (link);
  g_free (link);
}

void
ss_target_connection_add_cell (SsTargetConnection *link, const char *text)
{
  if (link->row_cells < SS_TARGET_ROW_CELLS_MAX)
    link->row[link->row_cells++] = g_strdup (text);
}

static void
on_failed (struct ev_loop *loop, ev_timer *w, int events)
{
  SsTargetConnection *link = w->data;

  (void) loop;
  (void) events;
  link->links->klass->on_failed (link);
}

void
ss_target_connection_schedule_failure (SsTargetConnection *link)
{
  ev_timer_start (link->links->runtime->loop, &link->failed);
}

void
ss_target_connection_ready (SsTargetConnection *link)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  e.target.connection = link->id;
  ss_runtime_event (link->links->runtime, &e);
}

void
ss_target_connection_closed (SsTargetConnection *link, SsEvent *event)
{
  SsRuntime *runtime = link->links->runtime;

  event->kind = SS_EVENT_TARGET_CLOSED;
  event->target.connection = link->id;
  free_link (link);
  ss_runtime_event (runtime, event);
}

/* The core may send the next query while it handles this result, so the
 * response is moved out of the connection first.
 */
void
ss_target_connection_result (SsTargetConnection *link, SsTargetResult *result)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  char *row[SS_TARGET_ROW_CELLS_MAX];
  uint32_t cells = link->row_cells;
  GByteArray *wire = g_steal_pointer (&link->wire);

  memcpy (row, link->row, sizeof row);
  link->row_cells = 0;
  result->wire
      = wire ? g_byte_array_free_to_bytes (wire) : g_bytes_new (NULL, 0);
  result->row = cells ? (const char *const *) row : NULL;
  result->row_cells = cells;
  e.target_result.connection = link->id;
  e.target_result.result = result;
  ss_runtime_event (link->links->runtime, &e);
  free_cells (row, cells);
  g_bytes_unref (result->wire);
}

static void
start (SsTargetConnections *links, const SsAction *a)
{
  SsTargetConnection *link = g_malloc0 (links->klass->connection_bytes);

  link->links = links;
  link->id = a->id;
  ev_timer_init (&link->failed, on_failed, 0, 0);
  link->failed.data = link;
  g_hash_table_insert (links->by_id, &link->id, link);
  links->klass->start (link, a);
}

static void
query (SsTargetConnection *link, const SsAction *a)
{
  ss_target_connection_clear (link);
  link->want_row = a->want_row;
  link->links->klass->query (link, a);
}

SsTargetConnection *
ss_target_connections_find (const SsTargetConnections *links, uint64_t id)
{
  return g_hash_table_lookup (links->by_id, &id);
}

void
ss_target_connections_action (SsTargetConnections *links,
                              const SsAction *action)
{
  SsTargetConnection *link = ss_target_connections_find (links, action->id);

  if (action->kind == SS_ACTION_TARGET_CONNECT)
    start (links, action);
  else if (link && action->kind == SS_ACTION_TARGET_QUERY)
    query (link, action);
  else if (link && action->kind == SS_ACTION_TARGET_CLOSE)
    free_link (link);
}

void
ss_target_connections_init (SsTargetConnections *links,
                            const SsTargetConnectionsClass *klass,
                            SsRuntime *runtime)
{
  links->klass = klass;
  links->runtime = runtime;
  links->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
ss_target_connections_finish (SsTargetConnections *links)
{
  GList *all;

  if (!links->by_id)
    return;
  all = g_hash_table_get_values (links->by_id);
  for (GList *l = all; l; l = l->next)
    free_link (l->data);
  g_list_free (all);
  g_clear_pointer (&links->by_id, g_hash_table_destroy);
}
