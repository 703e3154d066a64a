/* confirmed: confirmed positions of each group's primary.
 *
 * A strict read, a read with bounded staleness and the first read of a session
 * take their floor from such a position.
 */
#include <string.h>

#include "core/internal.h"

#define RING_SPACING_MS 250
#define CONFIRM_RETRY_MS 100
/* An unsolicited position counts as this much older, for the time that it may
 * have been in transit.
 */
#define UNSOLICITED_DELAY_MS 250

SsConfirmedPositions *
ss_confirmed_get (SsNode *node, const char *group)
{
  SsConfirmedPositions *m = g_tree_lookup (node->confirmed_positions, group);

  if (m)
    return m;
  m = g_new0 (SsConfirmedPositions, 1);
  m->group = g_strdup (group);
  m->identities = g_ptr_array_new_with_free_func (g_free);
  m->floors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_tree_insert (node->confirmed_positions, m->group, m);
  return m;
}

void
ss_confirmed_free (gpointer confirmed)
{
  SsConfirmedPositions *m = confirmed;

  g_ptr_array_free (m->identities, TRUE);
  g_hash_table_destroy (m->floors);
  g_free (m->group);
  g_free (m);
}

SsPosition
ss_confirmed_floor (const SsConfirmedPositions *confirmed, const char *identity)
{
  const SsPosition *floor = g_hash_table_lookup (confirmed->floors, identity);

  return floor ? *floor : confirmed->latest.position;
}

static void
send_mark_ask (SsNode *node, SsConfirmedPositions *confirmed)
{
  SsGroup *group = ss_config_group (&node->config, confirmed->group);
  SsTarget *primary = group ? ss_group_primary (group) : NULL;
  const char *owner = primary ? ss_node_owner (node, primary) : NULL;
  SsEnvelope e = SS__PEER__ENVELOPE__INIT;
  Ss__Peer__MarkAsk ask = SS__PEER__MARK_ASK__INIT;

  confirmed->outstanding = true;
  confirmed->requested_again = false;
  confirmed->last_seq++;
  confirmed->last_sent_ms = node->now_ms;
  if (!owner)
    return;
  ask.group = confirmed->group;
  ask.nonce = confirmed->last_seq;
  g_ptr_array_set_size (confirmed->identities, 0);
  ss_pending_identities (node, confirmed->group, confirmed->identities);
  ask.identities = (char **) confirmed->identities->pdata;
  ask.n_identities = confirmed->identities->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_MARK_ASK;
  e.mark_ask = &ask;
  ss_node_send (node, owner, &e);
}

/* One request is outstanding at a time; callers that come meanwhile share the
 * next one.
 */
void
ss_confirmed_request (SsNode *node, SsConfirmedPositions *confirmed)
{
  if (confirmed->outstanding)
    confirmed->requested_again = true;
  else
    send_mark_ask (node, confirmed);
}

void
ss_confirmed_retry (SsNode *node, SsConfirmedPositions *confirmed)
{
  if (confirmed->outstanding
      && node->now_ms - confirmed->last_sent_ms >= CONFIRM_RETRY_MS)
    send_mark_ask (node, confirmed);
}

static void
add_to_ring (SsConfirmedPositions *m)
{
  /* Also true where the latest reply is older than the last one in the ring. */
  if (m->count
      && m->latest.asked_ms - m->ring[m->count - 1].asked_ms < RING_SPACING_MS)
    return;
  if (m->count == SS_CONFIRMED_MAX)
    {
      memmove (&m->ring[0], &m->ring[1],
               sizeof m->ring[0] * (SS_CONFIRMED_MAX - 1));
      m->count--;
    }
  m->ring[m->count++] = m->latest;
}

void
ss_confirmed_handle_unsolicited (SsNode *node, const char *group,
                                 SsPosition position, uint32_t age_ms)
{
  SsConfirmedPositions *m = g_tree_lookup (node->confirmed_positions, group);
  int64_t asked_ms = node->now_ms - age_ms - UNSOLICITED_DELAY_MS;

  if (!m || asked_ms <= m->latest.asked_ms)
    return;
  /* It answers no request: only its age counts. */
  m->latest.asked_ms = asked_ms;
  m->latest.position = position;
  m->latest.seq = MAX (m->latest.seq, 1);
  add_to_ring (m);
  ss_pending_wake (node, group, SS_WAIT_CONFIRMED);
}

static void
store_floors (SsConfirmedPositions *m, const Ss__Peer__MarkReply *reply)
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

/* The position comes from replies that servers gave after the request was sent,
 * so it covers every write acknowledged before that.
 */
void
ss_confirmed_handle_reply (SsNode *node, const Ss__Peer__MarkReply *reply)
{
  SsConfirmedPositions *m
      = g_tree_lookup (node->confirmed_positions, reply->group);

  if (!m || !m->outstanding || reply->nonce != m->last_seq)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  m->outstanding = false;
  m->latest.seq = m->last_seq;
  m->latest.asked_ms = m->last_sent_ms - reply->age_ms;
  m->latest.position = ss_position_unpack (reply->mark);
  add_to_ring (m);
  store_floors (m, reply);
  ss_pending_wake (node, reply->group, SS_WAIT_CONFIRMED);
  if (m->requested_again && !m->outstanding)
    send_mark_ask (node, m);
}

bool
ss_confirmed_since (const SsConfirmedPositions *confirmed, int64_t since_ms,
                    SsConfirmedPosition *found)
{
  for (uint32_t i = 0; i < confirmed->count; i++)
    {
      if (confirmed->ring[i].asked_ms < since_ms)
        continue;
      *found = confirmed->ring[i];
      return true;
    }
  *found = confirmed->latest;
  return confirmed->latest.seq != 0 && confirmed->latest.asked_ms >= since_ms;
}
