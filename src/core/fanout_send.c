#include "core/fanout_send.h"

#include <string.h>

#include "core/owned.h"

/* A report with the memory that it points to. */
typedef struct
{
  Ss__Peer__StatusReport message;
  SsPackedState state;
  Ss__Peer__Position mark;
} Report;

/* Sets OUT to what this VM knows of T, for SUBSCRIBER. */
static void
pack_report (SsNode *node, SsTarget *t, const SsSubscriber *subscriber,
             Report *out)
{
  const SsConfirmedPosition *latest
      = &ss_confirmed_get (node, t->group)->latest;
  const SsGroup *group = ss_config_group (&node->config, t->group);

  ss__peer__status_report__init (&out->message);
  ss_state_pack (&out->state, &t->state, node->now_ms - t->state_ms);
  out->message.target = t->name;
  out->message.state = &out->state.message;
  if (!latest->known || !group || ss_group_primary (group) != t)
    return;
  ss_position_pack (&out->mark, latest->position);
  out->message.mark = &out->mark;
  out->message.mark_at_ms
      = ss_subscriber_time_ms (subscriber, latest->requested_ms);
}

static void
free_reports (gpointer reports)
{
  g_ptr_array_free (reports, TRUE);
}

/* Adds the report of T for each of its subscribers to BY_VM. */
static void
add_reports (SsNode *node, SsTarget *t, GHashTable *by_vm)
{
  SsFanoutTarget *f = g_hash_table_lookup (node->fanout.targets, t->name);
  GHashTableIter iter;
  gpointer vm;
  gpointer subscriber;

  g_hash_table_iter_init (&iter, f->subscribers);
  while (g_hash_table_iter_next (&iter, &vm, &subscriber))
    {
      GPtrArray *reports = g_hash_table_lookup (by_vm, vm);
      Report *report = g_new (Report, 1);

      if (!reports)
        {
          reports = g_ptr_array_new_with_free_func (g_free);
          g_hash_table_insert (by_vm, vm, reports);
        }
      pack_report (node, t, subscriber, report);
      g_ptr_array_add (reports, report);
    }
}

static void
send_reports (gpointer vm, gpointer value, gpointer node)
{
  GPtrArray *reports = value;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__StatusReports m = SS__PEER__STATUS_REPORTS__INIT;

  /* A Report begins with its message. */
  m.reports = (Ss__Peer__StatusReport **) reports->pdata;
  m.n_reports = reports->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_STATUS_REPORTS;
  e.status_reports = &m;
  ss_node_send (node, vm, &e);
}

void
ss_fanout_send (SsNode *node)
{
  GPtrArray *targets = g_ptr_array_new ();
  GHashTable *by_vm;

  if (!ss_fanout_take_due (&node->fanout, node->now_ms, targets))
    goto done;
  by_vm = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_reports);
  for (guint i = 0; i < targets->len; i++)
    {
      SsTarget *t
          = ss_config_target (&node->config, g_ptr_array_index (targets, i));

      if (t && t->state_ms)
        add_reports (node, t, by_vm);
    }
  g_hash_table_foreach (by_vm, send_reports, node);
  g_hash_table_destroy (by_vm);
done:
  g_ptr_array_free (targets, TRUE);
}
