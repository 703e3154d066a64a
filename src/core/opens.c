/* opens: callers that come while this vm starts.
 *
 * It answers this load: after a loss of power all callers come back at once,
 * while every vm is a fraction of a second from being ready.  A refusal costs
 * each of them a try, a short wait costs nothing.
 */
#include "core/entry.h"

/* A start takes a fraction of this; callers give a connection up after two
 * seconds.
 */
#define OPEN_WAIT_MS 1200

typedef struct
{
  uint64_t caller;
  char *service;
  char *user;
  int64_t since_ms;
} Open;

static void
free_open (gpointer data)
{
  Open *o = data;

  g_free (o->service);
  g_free (o->user);
  g_free (o);
}

void
ss_opens_init (SsNode *node)
{
  g_queue_init (&node->opens);
}

void
ss_opens_finish (SsNode *node)
{
  g_queue_clear_full (&node->opens, free_open);
}

void
ss_opens_add (SsNode *node, uint64_t caller, const char *service,
              const char *user)
{
  Open *o = g_new0 (Open, 1);

  o->caller = caller;
  o->service = g_strdup (service);
  o->user = g_strdup (user);
  o->since_ms = node->now_ms;
  g_queue_push_tail (&node->opens, o);
}

void
ss_opens_remove (SsNode *node, uint64_t caller)
{
  for (GList *l = node->opens.head; l; l = l->next)
    {
      Open *o = l->data;

      if (o->caller != caller)
        continue;
      g_queue_delete_link (&node->opens, l);
      free_open (o);
      return;
    }
}

/* Opens those that wait once this vm is ready; refuses those that waited for
 * too long, and all when it stops.
 */
void
ss_opens_tick (SsNode *node)
{
  Open *o;

  while ((o = g_queue_peek_head (&node->opens)))
    {
      bool late = node->now_ms - o->since_ms >= OPEN_WAIT_MS;

      if (!node->ready && !node->stopping && !late)
        return;
      g_queue_pop_head (&node->opens);
      if (node->ready || node->stopping)
        ss_entry_open (node, o->caller, o->service, o->user, NULL);
      else
        ss_entry_refuse_open (node, o->caller, SS_REASON_NO_CONFIG, NULL);
      free_open (o);
    }
}
