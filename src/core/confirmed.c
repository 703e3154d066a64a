/* confirmed: confirmed positions of each group's primary.
 *
 * A strict read, a read with bounded staleness and the first read of a session
 * take their floor from such a position.
 */
#include <string.h>

#include "core/requests.h"

#define RING_SPACING_MS 250
#define CONFIRM_RETRY_MS 100

SsConfirmedPositions *
ss_confirmed_get (SsNode *node, const char *group)
{
  SsConfirmedPositions *confirmed
      = g_tree_lookup (node->confirmed_positions, group);

  if (confirmed)
    return confirmed;
  confirmed = g_new0 (SsConfirmedPositions, 1);
  confirmed->group = g_strdup (group);
  confirmed->last_seq = node->first_sequence;
  confirmed->identities = g_ptr_array_new_with_free_func (g_free);
  confirmed->floors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_tree_insert (node->confirmed_positions, confirmed->group, confirmed);
  return confirmed;
}

void
ss_confirmed_free (gpointer confirmed)
{
  SsConfirmedPositions *positions = confirmed;

  g_ptr_array_free (positions->identities, TRUE);
  g_hash_table_destroy (positions->floors);
  g_free (positions->group);
  g_free (positions);
}

SsPosition
ss_confirmed_floor (const SsConfirmedPositions *confirmed, const char *identity)
{
  const SsPosition *floor = g_hash_table_lookup (confirmed->floors, identity);

  return floor ? *floor : confirmed->latest.position;
}

/* Returns the highest age, in milliseconds, at which a position is of use to
 * all reads that requested one; 0: any age is.
 */
static uint32_t
max_age_ms (const SsNode *node, const SsConfirmedPositions *confirmed)
{
  if (!confirmed->since_ms)
    return 0;
  return (uint32_t) CLAMP (node->now_ms - confirmed->since_ms, 1, G_MAXUINT32);
}

/* Sends a MarkAsk, the request for a confirmed position, to the owner of the
 * primary.  Without an owner it counts as sent, and is repeated on time-out.
 */
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
  ask.max_age_ms = max_age_ms (node, confirmed);
  g_ptr_array_set_size (confirmed->identities, 0);
  ss_pending_identities (node, confirmed->group, confirmed->identities);
  ask.identities = (char **) confirmed->identities->pdata;
  ask.n_identities = confirmed->identities->len;
  e.body_case = SS__PEER__ENVELOPE__BODY_MARK_ASK;
  e.mark_ask = &ask;
  ss_node_send (node, owner, &e);
}

/* At most one request for each group is outstanding.  Requests made meanwhile
 * are combined into the next one.
 */
void
ss_confirmed_request (SsNode *node, SsConfirmedPositions *confirmed,
                      int64_t since_ms)
{
  confirmed->since_ms = MAX (confirmed->since_ms, since_ms);
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
add_to_ring (SsConfirmedPositions *confirmed)
{
  /* Also true where the latest reply is older than the last one in the ring. */
  if (confirmed->count
      && confirmed->latest.requested_ms
                 - confirmed->ring[confirmed->count - 1].requested_ms
             < RING_SPACING_MS)
    return;
  if (confirmed->count == SS_CONFIRMED_MAX)
    {
      memmove (&confirmed->ring[0], &confirmed->ring[1],
               sizeof confirmed->ring[0] * (SS_CONFIRMED_MAX - 1));
      confirmed->count--;
    }
  confirmed->ring[confirmed->count++] = confirmed->latest;
}

void
ss_confirmed_handle_unsolicited (SsNode *node, const char *group,
                                 SsPosition position, int64_t requested_ms)
{
  SsConfirmedPositions *confirmed
      = g_tree_lookup (node->confirmed_positions, group);

  if (!confirmed || requested_ms > node->now_ms
      || requested_ms <= confirmed->latest.requested_ms)
    return;
  /* It answers no request, so only its age counts. */
  confirmed->latest.requested_ms = requested_ms;
  confirmed->latest.position = position;
  confirmed->latest.known = true;
  add_to_ring (confirmed);
  ss_pending_wake (node, group, SS_WAIT_CONFIRMED);
}

static void
store_floors (SsConfirmedPositions *confirmed, const Ss__Peer__MarkReply *reply)
{
  g_hash_table_remove_all (confirmed->floors);
  if (reply->n_floors != confirmed->identities->len)
    return;
  for (guint i = 0; i < confirmed->identities->len; i++)
    {
      SsPosition *floor = g_new (SsPosition, 1);

      *floor = ss_position_unpack (reply->floors[i]);
      g_hash_table_replace (
          confirmed->floors,
          g_strdup (g_ptr_array_index (confirmed->identities, i)), floor);
    }
}

/* The position covers every write that was acknowledged before requested_ms.
 * Either servers gave it after the request was sent, or the owner holds a lease
 * and took it from the primary's response to a statement sent age_ms earlier.
 */
void
ss_confirmed_handle_reply (SsNode *node, const Ss__Peer__MarkReply *reply)
{
  SsConfirmedPositions *confirmed
      = g_tree_lookup (node->confirmed_positions, reply->group);

  if (!confirmed || !confirmed->outstanding
      || reply->nonce != confirmed->last_seq)
    {
      ss_node_count (node, SS_COUNTER_LATE_ANSWERS);
      return;
    }
  confirmed->outstanding = false;
  confirmed->latest.known = true;
  confirmed->latest.seq = confirmed->last_seq;
  confirmed->latest.requested_ms = confirmed->last_sent_ms - reply->age_ms;
  confirmed->latest.position = ss_position_unpack (reply->mark);
  add_to_ring (confirmed);
  store_floors (confirmed, reply);
  ss_pending_wake (node, reply->group, SS_WAIT_CONFIRMED);
  if (confirmed->requested_again && !confirmed->outstanding)
    send_mark_ask (node, confirmed);
}

bool
ss_confirmed_since (const SsConfirmedPositions *confirmed, int64_t since_ms,
                    SsConfirmedPosition *found)
{
  for (uint32_t i = 0; i < confirmed->count; i++)
    {
      if (confirmed->ring[i].requested_ms < since_ms)
        continue;
      *found = confirmed->ring[i];
      return true;
    }
  *found = confirmed->latest;
  return confirmed->latest.known && confirmed->latest.requested_ms >= since_ms;
}
