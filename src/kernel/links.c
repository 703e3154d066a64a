#include "kernel/links.h"

#include <string.h>

static void
free_cells (char **row, uint32_t cells)
{
  for (uint32_t i = 0; i < cells; i++)
    g_free (row[i]);
}

void
ss_link_clear (SsTargetLink *link)
{
  g_clear_pointer (&link->wire, g_byte_array_unref);
  free_cells (link->row, link->row_cells);
  link->row_cells = 0;
}

static void
free_link (SsTargetLink *link)
{
  SsLinks *links = link->links;

  ev_timer_stop (links->shell->loop, &link->failed);
  g_hash_table_remove (links->by_id, &link->id);
  links->klass->finish (link);
  ss_link_clear (link);
  g_free (link);
}

void
ss_link_keep_cell (SsTargetLink *link, const char *text)
{
  if (link->row_cells < SS_LINK_CELLS_MAX)
    link->row[link->row_cells++] = g_strdup (text);
}

static void
on_failed (struct ev_loop *loop, ev_timer *w, int events)
{
  SsTargetLink *link = w->data;

  (void) loop;
  (void) events;
  link->links->klass->on_failed (link);
}

void
ss_link_fail_soon (SsTargetLink *link)
{
  ev_timer_start (link->links->shell->loop, &link->failed);
}

void
ss_link_ready (SsTargetLink *link)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_READY };

  e.target.connection = link->id;
  ss_shell_event (link->links->shell, &e);
}

void
ss_link_closed (SsTargetLink *link, SsEvent *event)
{
  SsShell *shell = link->links->shell;

  event->kind = SS_EVENT_TARGET_CLOSED;
  event->target.connection = link->id;
  free_link (link);
  ss_shell_event (shell, event);
}

/* The core may send the next query while it handles this result, so the
 * response is moved out of the connection first.
 */
void
ss_link_result (SsTargetLink *link, SsTargetResult *result)
{
  SsEvent e = { .kind = SS_EVENT_TARGET_RESULT };
  char *row[SS_LINK_CELLS_MAX];
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
  ss_shell_event (link->links->shell, &e);
  free_cells (row, cells);
  g_bytes_unref (result->wire);
}

static void
start (SsLinks *links, const SsAction *a)
{
  SsTargetLink *link = g_malloc0 (links->klass->link_bytes);

  link->links = links;
  link->id = a->id;
  ev_timer_init (&link->failed, on_failed, 0, 0);
  link->failed.data = link;
  g_hash_table_insert (links->by_id, &link->id, link);
  links->klass->start (link, a);
}

static void
query (SsTargetLink *link, const SsAction *a)
{
  ss_link_clear (link);
  link->want_row = a->want_row;
  link->links->klass->query (link, a);
}

SsTargetLink *
ss_links_find (const SsLinks *links, uint64_t id)
{
  return g_hash_table_lookup (links->by_id, &id);
}

void
ss_links_action (SsLinks *links, const SsAction *action)
{
  SsTargetLink *link = ss_links_find (links, action->id);

  if (action->kind == SS_ACTION_TARGET_CONNECT)
    start (links, action);
  else if (link && action->kind == SS_ACTION_TARGET_QUERY)
    query (link, action);
  else if (link && action->kind == SS_ACTION_TARGET_CLOSE)
    free_link (link);
}

void
ss_links_init (SsLinks *links, const SsLinksClass *klass, SsShell *shell)
{
  links->klass = klass;
  links->shell = shell;
  links->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
ss_links_finish (SsLinks *links)
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
