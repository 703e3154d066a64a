#include "core/subscribers.h"

GHashTable *
ss_subscribers_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

bool
ss_subscribers_renew (GHashTable *subscribers, const char *vm, int64_t sent_ms,
                      int64_t now_ms)
{
  SsSubscriber *s = g_hash_table_lookup (subscribers, vm);
  bool is_new = !s;

  if (is_new)
    {
      s = g_new (SsSubscriber, 1);
      g_hash_table_insert (subscribers, g_strdup (vm), s);
    }
  s->expires_ms = now_ms + SS_SUBSCRIPTION_MS;
  s->sent_ms = sent_ms;
  s->received_ms = now_ms;
  return is_new;
}

static gboolean
is_expired (gpointer vm, gpointer subscriber, gpointer now_ms)
{
  (void) vm;
  return ((SsSubscriber *) subscriber)->expires_ms < *(int64_t *) now_ms;
}

void
ss_subscribers_expire (GHashTable *subscribers, int64_t now_ms)
{
  g_hash_table_foreach_remove (subscribers, is_expired, &now_ms);
}

int64_t
ss_subscriber_time_ms (const SsSubscriber *subscriber, int64_t at_ms)
{
  if (!subscriber->sent_ms)
    return 0;
  return at_ms - (subscriber->received_ms - subscriber->sent_ms);
}
