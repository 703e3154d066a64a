/* counters: monotonic counters of one VM, defined in one table.
 *
 * They are exported at /metrics with the prefix sapphirestair_ and the suffix
 * _total.
 */
#ifndef SS_COUNTERS_H
#define SS_COUNTERS_H

#include <stdint.h>

/* X (id, name, help).  The help texts are part of /metrics.  In them,
 * "tried again inside" is a retry by the entry VM, a "crossed answer" is a
 * reply or response to an earlier attempt or request, the "floor" is the
 * session's minimum position, and a "record" is the result stored under an
 * idempotency key.
 */
#define SS_COUNTERS(X)                                                         \
  X (CALLERS, "callers", "caller connections opened")                          \
  X (STATEMENTS, "statements", "statements received from callers")             \
  X (ACKNOWLEDGED, "acknowledged", "statements answered with success")         \
  X (NOT_RUN, "not_run", "statements refused as not run")                      \
  X (MAY_HAVE_RUN, "may_have_run", "statements that may have run")             \
  X (READS_PRIMARY, "reads_primary", "reads served by a primary")              \
  X (READS_REPLICA, "reads_replica", "reads served by a replica")              \
  X (RETRIES, "retries", "statements tried again inside")                      \
  X (RETRIES_REFUSED, "retries_refused", "retries refused by the budget")      \
  X (OVERLOAD, "overload", "statements refused by admission")                  \
  X (BEHIND, "behind", "reads refused by a target behind the floor")           \
  X (LATE_ANSWERS, "late_answers", "late or crossed answers dropped")          \
  X (MARK_ROUNDS, "mark_rounds", "position confirmation rounds started")       \
  X (REPLAYS, "replays", "request ids answered from their record")             \
  X (PROMOTIONS, "promotions", "promotions started here")                      \
  X (PLATFORM_CALLS, "platform_calls", "calls on the platform")                \
  X (PLATFORM_ERRORS, "platform_errors", "calls on the platform that failed")  \
  X (PLATFORM_RESTORES, "platform_restores",                                   \
     "returns of the platform's store from a copy")                            \
  X (CONFIG_REFUSED, "config_refused",                                         \
     "objects of the platform refused as invalid")                             \
  X (CONFIG_NOT_NEWER, "config_not_newer",                                     \
     "objects with other content not adopted, as the stored one is newer")     \
  X (PEER_MESSAGES, "peer_messages", "messages sent to peers")                 \
  X (PEER_BYTES, "peer_bytes", "bytes sent to peers")                          \
  X (CONTROL_MESSAGES, "control_messages", "control messages sent")            \
  X (CONTROL_BYTES, "control_bytes", "bytes of control messages sent")         \
  X (TARGET_CONNECTS, "target_connects", "connections opened to targets")      \
  X (UNKNOWN_KEYS, "unknown_keys", "callers and statements refused by key")    \
  X (RATE_REFUSED, "rate_refused", "operations refused by a rate limit")       \
  X (RATE_WAITS, "rate_waits", "operations that waited for a token")           \
  X (RATE_REFUNDS, "rate_refunds", "tokens returned by operations not run")    \
  X (RATE_ASKS, "rate_asks", "asks for tokens sent to coordinators")           \
  X (RATE_TOKENS, "rate_tokens", "tokens granted to other vms")                \
  X (CONNECTION_HITS, "connection_hits",                                       \
     "statements run on an idle connection of their organisation")             \
  X (CONNECTION_OPENS, "connection_opens",                                     \
     "connections opened for a statement's organisation")                      \
  X (CONNECTIONS_REPLACED, "connections_replaced",                             \
     "idle connections closed for another organisation")                       \
  X (CONNECTION_WAITS, "connection_waits",                                     \
     "statements that waited for a connection of their organisation")          \
  X (PREPARES, "prepares", "prepared statements created at targets")           \
  X (SHAPES_OF_WORDS, "shapes_of_words",                                       \
     "statements prepared by callers whose shape has several words")           \
  X (TEXTS_REFUSED, "texts_refused",                                           \
     "statements of vms refused, as their text is none that a vm may send")    \
  X (CONNECT_RETURNS, "connect_returns",                                       \
     "statements queued again, as their connection failed to open")            \
  X (DISPLACED, "displaced",                                                   \
     "queued statements refused in place of others that go before them")       \
  X (CALLERS_UNANSWERED, "callers_unanswered",                                 \
     "callers' connections that ended with a statement read and unanswered")   \
  X (CALLERS_UNSENT, "callers_unsent",                                         \
     "callers' connections that ended with output unsent")                     \
  X (CALLERS_LEFT, "callers_left",                                             \
     "of callers_unanswered and callers_unsent those that the caller ended")

typedef enum
{
#define SS_COUNTER_ENUM(id, name, help) SS_COUNTER_##id,
  SS_COUNTERS (SS_COUNTER_ENUM)
#undef SS_COUNTER_ENUM
      SS_COUNTER_COUNT
} SsCounterId;

typedef struct
{
  uint64_t values[SS_COUNTER_COUNT];
} SsCounters;

/* ss_counter_name, ss_counter_help: return static strings. */
const char *ss_counter_name (SsCounterId id);
const char *ss_counter_help (SsCounterId id);

#endif
