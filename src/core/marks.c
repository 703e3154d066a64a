#include <string.h>

#include "core/internal.h"

#define RING_SPACING_MS 250
#define ASK_RETRY_MS 100
/* What an owner tells unasked is taken for older by what it may have been on
 * its way.
 */
#define TOLD_DELAY_MS 250

SsMarks *
ss_marks_get (SsNode *node, const char *group)
{
  SsMarks *m = g_tree_lookup (node->marks, group);

  if (m)
    return m;
  m = g_new0 (SsMarks, 1);
  m->group = g_strdup (group);
  m->identities = g_ptr_array_new_with_free_func (g_free);
  m->floors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_tree_insert (node->marks, m->group, m);
  return m;
}

void
ss_marks_free (gpointer marks)
{
  SsMarks *m = marks;

  g_ptr_array_free (m->identities, TRUE);
  g_hash_table_destroy (m->floors);
  g_free (m->group);
  g_free (m);
}

SsPosition
ss_marks_floor (const SsMarks *marks, const char *identity)
{
  const SsPosition *floor = g_hash_table_lookup (marks->floors, identity);

  return floor ? *floor : marks->latest.position;
}

static void
send_ask (SsNode *node, SsMarks *marks)
{
  SsGroup *group = ss_config_group (&node->config, marks->group);
  SsTarget *primary = group ? ss_group_primary (group) : NULL;
  const char *owner = primary ? ss_node_owner (node, primary) : NULL;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__MarkAsk ask = SS__PEER__MARK_ASK__INIT;

  marks->outstanding = true;
  marks->wanted = false;
  marks->last_ask++;
  marks->last_ask_ms = node->now_ms;
  if (!owner)
    return;
  ask.group = marks->group;
  ask.nonce = marks->last_ask;
  g_ptr_array_set_size (marks->identities, 0);
  ss_pending_identities (node, marks->group, marks->identities);
  ask.identities = (char **) marks->identities->pdata;
  ask.n_identities = marks->identities->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_MARK_ASK;
  e.mark_ask = &ask;
  ss_node_send (node, owner, &e);
}

/* One ask is out at a time; who comes meanwhile shares the next one. */
void
ss_marks_ask (SsNode *node, SsMarks *marks)
{
  if (marks->outstanding)
    marks->wanted = true;
  else
    send_ask (node, marks);
}

void
ss_marks_retry (SsNode *node, SsMarks *marks)
{
  if (marks->outstanding && node->now_ms - marks->last_ask_ms >= ASK_RETRY_MS)
    send_ask (node, marks);
}

static void
keep_in_ring (SsMarks *m)
{
  /* Also where an older position came after a newer one. */
  if (m->count
      && m->latest.asked_ms - m->ring[m->count - 1].asked_ms < RING_SPACING_MS)
    return;
  if (m->count == SS_MARKS_MAX)
    {
      memmove (&m->ring[0], &m->ring[1],
               sizeof m->ring[0] * (SS_MARKS_MAX - 1));
      m->count--;
    }
  m->ring[m->count++] = m->latest;
}

void
ss_marks_told (SsNode *node, const char *group, SsPosition position,
               uint32_t age_ms)
{
  SsMarks *m = g_tree_lookup (node->marks, group);
  int64_t asked_ms = node->now_ms - age_ms - TOLD_DELAY_MS;

  if (!m || asked_ms <= m->latest.asked_ms)
    return;
  /* It answers no ask: only its age counts. */
  m->latest.asked_ms = asked_ms;
  m->latest.position = position;
  m->latest.ask = MAX (m->latest.ask, 1);
  keep_in_ring (m);
  ss_pending_wake (node, group, SS_WAIT_MARK);
}

static void
keep_floors (SsMarks *m, const Ss__Peer__MarkReply *reply)
{
  g_hash_table_remove_all (m->floors);
  if (reply->n_floors != m->identities->len)
    return;
  for (guint i = 0; i < m->identities->len; i++)
    {
      SsPosition *floor = g_new (SsPosition, 1);

      *floor = ss_position_unpack (reply->floors[i]);
      g_hash_table_replace (
          m->floors, g_strdup (g_ptr_array_index (m->identities, i)), floor);
    }
}

/* The answer was made from what servers said after the ask went out, so it
 * covers everything acknowledged before that.
 */
void
ss_marks_reply (SsNode *node, const Ss__Peer__MarkReply *reply)
{
  SsMarks *m = g_tree_lookup (node->marks, reply->group);

  if (!m || !m->outstanding || reply->nonce != m->last_ask)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  m->outstanding = false;
  m->latest.ask = m->last_ask;
  m->latest.asked_ms = m->last_ask_ms - reply->age_ms;
  m->latest.position = ss_position_unpack (reply->mark);
  keep_in_ring (m);
  keep_floors (m, reply);
  ss_pending_wake (node, reply->group, SS_WAIT_MARK);
  if (m->wanted && !m->outstanding)
    send_ask (node, m);
}

bool
ss_marks_within (const SsMarks *marks, int64_t since_ms, SsMark *mark)
{
  for (uint32_t i = 0; i < marks->count; i++)
    {
      if (marks->ring[i].asked_ms < since_ms)
        continue;
      *mark = marks->ring[i];
      return true;
    }
  *mark = marks->latest;
  return marks->latest.ask != 0 && marks->latest.asked_ms >= since_ms;
}
