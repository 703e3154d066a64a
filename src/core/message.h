/* message: actions, log lines, messages to other VMs, and the owner and state
 * of a target as this VM knows them.  Every layer uses it.
 */
#ifndef SS_MESSAGE_H
#define SS_MESSAGE_H

#include "core/node.h"
#include "proto/peer.pb-c.h"

/* Retry-after hints to callers, in milliseconds. */
#define SS_RETRY_SOON_MS 100
#define SS_RETRY_PROMOTION_MS 250

typedef Ss__Peer__Envelope SsEnvelope;

/* --- actions and messages (message.c) --- */

/* ss_node_push: appends an action of KIND to the node's output and returns it
 * to be filled in.
 */
SsAction *ss_node_push (SsNode *node, SsActionKind kind);
/* ss_node_log: logs EVENT of SUBJECT with the formatted detail, unless the rate
 * limit of EVENT is reached.
 */
void ss_node_log (SsNode *node, SsLogEvent event, const char *subject,
                  const char *format, ...) G_GNUC_PRINTF (4, 5);
static inline void
ss_node_count (SsNode *node, SsCounterId id)
{
  node->counters.values[id]++;
}

/* ss_node_send: serializes ENVELOPE and sends it to VM, which may be this one.
 */
void ss_node_send (SsNode *node, const char *vm, SsEnvelope *envelope);
SsPosition ss_position_unpack (const Ss__Peer__Position *position);
void ss_position_pack (Ss__Peer__Position *out, SsPosition position);
void ss_state_unpack (const Ss__Peer__ServerState *in, SsServerState *out);

/* A message and the memory that it points to; not to be copied. */
typedef struct
{
  Ss__Peer__ServerState message;
  Ss__Peer__Position held;
  Ss__Peer__Position applied;
  Ss__Peer__Position history[SS_HISTORY_MAX];
  Ss__Peer__Position *history_list[SS_HISTORY_MAX];
} SsPackedState;

/* ss_state_pack: sets OUT to STATE, which was requested AGE_MS milliseconds
 * ago.
 */
void ss_state_pack (SsPackedState *out, const SsServerState *state,
                    int64_t age_ms);

/* ss_node_owner: returns the VM that owns TARGET, or NULL. */
const char *ss_node_owner (SsNode *node, SsTarget *target);
bool ss_node_is_owner (SsNode *node, SsTarget *target);
/* ss_node_update_state: records STATE of TARGET, which was requested AGE_MS
 * milliseconds ago, unless a later one is known.
 */
void ss_node_update_state (SsNode *node, SsTarget *target,
                           const SsServerState *state, uint32_t age_ms);

#endif
