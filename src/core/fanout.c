#include "core/fanout.h"

#include "core/subscribers.h"

/* Interval of messages with urgent reports, which may be many at once. */
#define URGENT_INTERVAL_MS 100
/* The same for others.  A VM gets the reports of all targets of this time in
 * one message.
 */
#define INTERVAL_MS 400

static void
free_target (gpointer data)
{
  SsFanoutTarget *t = data;

  g_hash_table_destroy (t->subscribers);
  g_free (t);
}

void
ss_fanout_init (SsFanout *fanout)
{
  fanout->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_target);
  fanout->sent_ms = 0;
  fanout->due = false;
  fanout->urgent = false;
}

void
ss_fanout_finish (SsFanout *fanout)
{
  g_hash_table_destroy (fanout->targets);
}

bool
ss_fanout_subscribe (SsFanout *fanout, const char *target, const char *vm,
                     int64_t sent_ms, int64_t now_ms)
{
  SsFanoutTarget *t = g_hash_table_lookup (fanout->targets, target);
  bool is_new = !t;

  if (is_new)
    {
      t = g_new0 (SsFanoutTarget, 1);
      t->subscribers = ss_subscribers_new ();
      g_hash_table_insert (fanout->targets, g_strdup (target), t);
    }
  /* A new subscriber gets what is known. */
  if (ss_subscribers_renew (t->subscribers, vm, sent_ms, now_ms))
    ss_fanout_note_report (fanout, target, true);
  return is_new;
}

bool
ss_fanout_serves (const SsFanout *fanout, const char *target)
{
  return g_hash_table_contains (fanout->targets, target);
}

void
ss_fanout_note_report (SsFanout *fanout, const char *target, bool urgent)
{
  SsFanoutTarget *t = g_hash_table_lookup (fanout->targets, target);

  if (!t)
    return;
  t->due = true;
  fanout->due = true;
  fanout->urgent = fanout->urgent || urgent;
}

static gboolean
expire_target (gpointer key, gpointer value, gpointer now_ms)
{
  SsFanoutTarget *t = value;

  (void) key;
  ss_subscribers_expire (t->subscribers, *(int64_t *) now_ms);
  return g_hash_table_size (t->subscribers) == 0;
}

void
ss_fanout_expire (SsFanout *fanout, int64_t now_ms)
{
  g_hash_table_foreach_remove (fanout->targets, expire_target, &now_ms);
}

bool
ss_fanout_take_due (SsFanout *fanout, int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  int64_t interval_ms = fanout->urgent ? URGENT_INTERVAL_MS : INTERVAL_MS;

  if (!fanout->due || now_ms - fanout->sent_ms < interval_ms)
    return false;
  fanout->due = false;
  fanout->urgent = false;
  fanout->sent_ms = now_ms;
  g_hash_table_iter_init (&iter, fanout->targets);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      SsFanoutTarget *t = value;

      if (t->due)
        g_ptr_array_add (out, key);
      t->due = false;
    }
  return true;
}
