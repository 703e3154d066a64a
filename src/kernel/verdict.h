/* verdict: whether a request may have run, and the reason if it failed.
 *
 * SS_VERDICT_NOT_RUN is given only if it is proven that the request didn't run.
 */
#ifndef SS_VERDICT_H
#define SS_VERDICT_H

#include <stdint.h>

#define SS_VERDICTS(X)                                                         \
  X (NOT_RUN, "not_run")                                                       \
  X (MAY_HAVE_RUN, "may_have_run")                                             \
  X (RAN, "ran")

typedef enum
{
#define SS_VERDICT_ENUM(id, name) SS_VERDICT_##id,
  SS_VERDICTS (SS_VERDICT_ENUM)
#undef SS_VERDICT_ENUM
} SsVerdict;

/* X (id, name, SQLSTATE, message) */
#define SS_REASONS(X)                                                          \
  X (NONE, "none", "00000", "success")                                         \
  X (TARGET_ERROR, "target_error", "XX000",                                    \
     "the target rejected the statement")                                      \
  X (NO_SERVICE, "no_service", "3D000", "no such database service")            \
  X (NO_PRIMARY, "no_primary", "57P03", "no primary is serving")               \
  X (NO_REPLICA, "no_replica", "57P03", "no target is fresh enough")           \
  X (NO_MARK, "no_mark", "57P03", "the primary's position is not confirmed")   \
  X (NO_CONFIG, "no_config", "57P03", "no configuration is in force yet")      \
  X (NOT_OWNER, "not_owner", "57P03", "this vm does not own the target")       \
  X (NO_MAJORITY, "no_majority", "57P03",                                      \
     "commits are not replicated to a majority of the servers")                \
  X (DRAINING, "draining", "57P03", "the target is draining")                  \
  X (BEHIND, "behind", "57P03",                                                \
     "the target is behind the session's minimum position")                    \
  X (OVERLOAD, "overload", "53000", "the target's queue is full")              \
  X (CONNECT, "connect", "08001", "no connection to the target")               \
  X (DEADLINE, "deadline", "57014", "the deadline passed")                     \
  X (CANCELLED, "cancelled", "57014", "cancelled by the caller")               \
  X (CONNECTION_LOST, "connection_lost", "08006", "connection lost")           \
  X (VM_LOST, "vm_lost", "08006", "the owner vm was lost")                     \
  X (SUPERSEDED, "superseded", "40003", "the primary was superseded")          \
  X (NOT_HELD, "not_held", "40003", "no majority confirmed the commit")        \
  X (STILL_RUNNING, "still_running", "40003",                                  \
     "the first attempt is still running")                                     \
  X (TRANSACTION_LOST, "transaction_lost", "25P02", "the transaction is lost") \
  X (TRANSACTION_FAILED, "transaction_failed", "25P02",                        \
     "the transaction failed; it can only be ended")                           \
  X (BAD_STATEMENT, "bad_statement", "42601",                                  \
     "the statement is not valid here")                                        \
  X (UNPREPARED, "unprepared", "26000", "no such prepared statement")          \
  X (STOPPING, "stopping", "57P01", "this vm is stopping")                     \
  X (BAD_SETTING, "bad_setting", "22023", "invalid session setting")           \
  X (TOO_LARGE, "too_large", "54000", "the message is too large")              \
  X (UNKNOWN_KEY, "unknown_key", "28000", "no organisation has this key")      \
  X (RATE_LIMIT, "rate_limit", "53400",                                        \
     "the organisation's rate limit is reached")

typedef enum
{
#define SS_REASON_ENUM(id, name, sqlstate, message) SS_REASON_##id,
  SS_REASONS (SS_REASON_ENUM)
#undef SS_REASON_ENUM
      SS_REASON_COUNT
} SsReason;

/* ss_verdict_name: returns the name used in logs, error details and reports. */
const char *ss_verdict_name (SsVerdict verdict);

/* ss_reason_name, ss_reason_sqlstate, ss_reason_message: return static strings.
 */
const char *ss_reason_name (SsReason reason);
const char *ss_reason_sqlstate (SsReason reason);
const char *ss_reason_message (SsReason reason);

#endif
