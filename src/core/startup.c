/* startup: callers that connect while this VM starts.
 *
 * After a power failure all callers reconnect at once, while every VM still
 * needs a fraction of a second to become ready.  A refusal would cost each
 * caller one attempt, so they wait for a short time instead.
 */
#include "core/entry.h"

/* Bound on the wait.  Start-up takes a fraction of it, and callers time out
 * after 2 s.
 */
#define STARTUP_WAIT_MS 1200

typedef struct
{
  uint64_t caller;
  char *service;
  char *user;
  char key_digest[SS_KEY_DIGEST_BYTES]; /* "": it presented no key */
  int64_t since_ms;
} WaitingCaller;

static void
free_waiting (gpointer data)
{
  WaitingCaller *w = data;

  g_free (w->service);
  g_free (w->user);
  g_free (w);
}

void
ss_startup_init (SsNode *node)
{
  g_queue_init (&node->startup_callers);
}

void
ss_startup_finish (SsNode *node)
{
  g_queue_clear_full (&node->startup_callers, free_waiting);
}

void
ss_startup_add (SsNode *node, uint64_t caller, const char *service,
                const char *user, const char *key_digest)
{
  WaitingCaller *w = g_new0 (WaitingCaller, 1);

  w->caller = caller;
  w->service = g_strdup (service);
  w->user = g_strdup (user);
  g_strlcpy (w->key_digest, key_digest, sizeof w->key_digest);
  w->since_ms = node->now_ms;
  g_queue_push_tail (&node->startup_callers, w);
}

void
ss_startup_remove (SsNode *node, uint64_t caller)
{
  for (GList *l = node->startup_callers.head; l; l = l->next)
    {
      WaitingCaller *w = l->data;

      if (w->caller != caller)
        continue;
      g_queue_delete_link (&node->startup_callers, l);
      free_waiting (w);
      return;
    }
}

/* Opens a session for each waiting caller once this VM is ready.  Refuses those
 * that waited for too long, and all of them when this VM stops.
 */
void
ss_startup_tick (SsNode *node)
{
  WaitingCaller *w;

  while ((w = g_queue_peek_head (&node->startup_callers)))
    {
      bool timed_out = node->now_ms - w->since_ms >= STARTUP_WAIT_MS;

      if (!node->ready && !node->stopping && !timed_out)
        return;
      g_queue_pop_head (&node->startup_callers);
      if (node->ready || node->stopping)
        ss_entry_open (node, w->caller, w->service, w->user, w->key_digest,
                       NULL);
      else
        ss_entry_refuse_open (node, w->caller, SS_REASON_NO_CONFIG, NULL);
      free_waiting (w);
    }
}
