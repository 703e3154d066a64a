/* log: structured logging, one JSON object per line on standard output.
 *
 * Writing never blocks: a line that the pipe has no room for is dropped, and
 * the next line written has the number of dropped lines in its field "dropped".
 *
 * Each event has a number and a name in one table; docs/EVENTS.md is checked
 * against it.
 */
#ifndef SS_LOG_H
#define SS_LOG_H

#include <stdbool.h>
#include <stdint.h>

#define SS_LOG_LEVELS(X)                                                       \
  X (DEBUG, "debug")                                                           \
  X (INFO, "info")                                                             \
  X (WARNING, "warning")                                                       \
  X (ERROR, "error")

typedef enum
{
#define SS_LOG_LEVEL_ENUM(id, name) SS_LOG_##id,
  SS_LOG_LEVELS (SS_LOG_LEVEL_ENUM)
#undef SS_LOG_LEVEL_ENUM
      SS_LOG_LEVEL_COUNT
} SsLogLevel;

/* X (id, number, level, text) */
#define SS_LOG_EVENTS(X)                                                       \
  X (STARTED, 100, INFO, "daemon started")                                     \
  X (STOPPING, 101, INFO, "graceful shutdown started")                         \
  X (STOPPED, 102, INFO, "daemon stopped")                                     \
  X (READY, 103, INFO, "configuration in force, serving callers")              \
  X (PAUSED, 104, WARNING, "this vm was paused")                               \
  X (RELOADED, 105, INFO, "settings reloaded")                                 \
  X (RELOAD_REFUSED, 106, ERROR,                                               \
     "changed settings are invalid; the previous settings stay in use")        \
  X (STOP_WAITS, 107, INFO, "graceful shutdown waits for what is under way")   \
  X (STOP_FORCED, 108, WARNING,                                                \
     "graceful shutdown reached its bound; what is under way is ended")        \
  X (CALLERS_CUT, 110, INFO,                                                   \
     "connections of this run that ended with something unanswered or unsent") \
  X (EXIT_UNDRAINED, 111, WARNING,                                             \
     "daemon stops, as its time is up, before all was sent")                   \
  X (PEER_UNSENT, 112, WARNING, "messages to a vm were not sent at the exit")  \
  X (CONFIG_ADOPTED, 200, INFO, "configuration object adopted")                \
  X (CONFIG_INVALID, 201, ERROR, "configuration object refused")               \
  X (CONFIG_NOT_NEWER, 202, INFO,                                              \
     "configuration object not adopted, as the stored one is newer")           \
  X (CONFIG_BEHIND, 203, INFO,                                                 \
     "a vm has a later configuration in force; asking it")                     \
  X (PLATFORM_DOWN, 210, WARNING, "platform does not answer")                  \
  X (PLATFORM_UP, 211, INFO, "platform answers again")                         \
  X (PLATFORM_CALL, 212, DEBUG, "platform call ended")                         \
  X (PLATFORM_BEHIND, 213, WARNING,                                            \
     "platform answers with a lower revision than before")                     \
  X (PLATFORM_RESTORED, 214, WARNING,                                          \
     "the platform's store has come back from a copy")                         \
  X (VM_LOST, 300, WARNING, "vm considered dead")                              \
  X (VM_FOUND, 301, INFO, "vm considered live")                                \
  X (ISOLATED, 304, WARNING, "isolated from most vms and the platform")        \
  X (REJOINED, 305, INFO, "no longer isolated")                                \
  X (PEER_CLOSED, 302, INFO, "peer connection closed")                         \
  X (PEER_INVALID, 303, ERROR, "peer sent an invalid message")                 \
  X (SETTLED, 307, INFO, "this vm knows its peers and takes roles")            \
  X (REPORTS_MISSING, 306, WARNING,                                            \
     "no state reports through another vm; asking the owner")                  \
  X (TARGET_UP, 400, INFO, "target answers")                                   \
  X (TARGET_DOWN, 401, WARNING, "target does not answer")                      \
  X (TARGET_TERM, 402, INFO, "target changed role or term")                    \
  X (UNHELD, 404, WARNING, "commits are not replicated to a majority")         \
  X (HELD, 405, INFO, "commits are replicated to a majority again")            \
  X (TARGET_INVALID, 403, ERROR, "target sent an invalid message")             \
  X (SUSPECT, 500, WARNING, "primary suspected of failure")                    \
  X (PROMOTION_STARTED, 501, WARNING, "promotion started")                     \
  X (PROMOTION_RAISED, 502, INFO, "term raised on a majority")                 \
  X (PROMOTION_DONE, 503, INFO, "promotion completed")                         \
  X (PROMOTION_FAILED, 504, WARNING, "promotion abandoned")                    \
  X (PROMOTION_CALLED, 505, WARNING, "platform asked to promote a server")     \
  X (PRIMARY_FOUND, 506, INFO,                                                 \
     "servers follow a primary other than the configured one")                 \
  X (PRIMARY_MOVES, 507, WARNING,                                              \
     "primary moves, as its replicas lag or receive nothing")                  \
  X (PRIMARY_REWRITTEN, 508, WARNING,                                          \
     "primary named again, as the platform's store has lost it")               \
  X (VOTERS_CHANGED, 509, INFO, "servers that count for majorities change")    \
  X (VOTERS_SETTLED, 510, INFO, "change of the servers that count has ended")  \
  X (VOTERS_LOST, 511, ERROR,                                                  \
     "too few servers are left: commits that only the others had are lost")    \
  X (PRIMARY_RELIED, 512, INFO,                                                \
     "statements run at a primary on another basis or in another term")        \
  X (STATEMENT_RELIED, 513, INFO,                                              \
     "statement let through before a later term was known")                    \
  X (LEASES_LISTED, 514, INFO,                                                 \
     "groups that this vm's object lists, so that promotions wait for it")     \
  X (LEASES_GIVEN_UP, 515, INFO,                                               \
     "leases given up before this vm's object stops listing them")             \
  X (CALLER_REFUSED, 600, WARNING, "caller refused")                           \
  X (REQUEST_RAN, 601, INFO, "request answered")                               \
  X (REQUEST_NOT_RUN, 602, INFO, "request refused without being run")          \
  X (REQUEST_IN_DOUBT, 603, WARNING, "request may have run")                   \
  X (REQUEST_RETRIED, 604, INFO, "request retried internally")                 \
  X (REQUEST_WAITS, 605, INFO, "request waits for a primary")                  \
  X (CALLER_CUT, 607, WARNING,                                                 \
     "connection ends with a statement unanswered or an answer unsent")        \
  X (KEY_UNKNOWN, 606, WARNING, "no organisation has the caller's key")        \
  X (RATE_LIMITED, 610, INFO, "organisation's rate limit is reached")          \
  X (RATE_COORDINATOR, 611, INFO, "another vm grants tokens of rate limits")   \
  X (RATE_ALONE, 612, WARNING,                                                 \
     "no vm grants tokens; using this vm's share of the rate limits")          \
  X (RATE_REJOINED, 613, INFO, "a vm grants tokens of rate limits again")      \
  X (CONNECTIONS_REFUSED, 620, WARNING,                                        \
     "target has too many connections; fewer are used")                        \
  X (CONNECTIONS_REGROWN, 621, INFO,                                           \
     "as many connections are used as before the target refused one")          \
  X (TARGET_CONTESTED, 622, WARNING,                                           \
     "another vm may own the target, too; fewer connections are used")         \
  X (TARGET_UNCONTESTED, 623, INFO,                                            \
     "no other vm owns the target; more connections are used step by step")    \
  X (TRANSACTIONS_WAIT, 624, WARNING,                                          \
     "an organisation's open transactions hold their share of connections")    \
  X (TARGET_RESTARTED, 650, WARNING,                                           \
     "another server process has the target's name; nothing known of the "     \
     "former one counts")                                                      \
  X (STATEMENT_DISPLACED, 630, INFO,                                           \
     "queued statement refused, as others go before it")                       \
  X (SERVER_SLOW, 640, WARNING, "target is slower than usual")                 \
  X (SERVER_USUAL, 641, INFO, "target is as fast as usual again")              \
  X (LIMIT_LOWERED, 642, WARNING,                                              \
     "target gets fewer statements at once than configured")                   \
  X (LIMIT_RAISED, 643, INFO,                                                  \
     "target gets as many statements at once as configured again")             \
  X (STATEMENT_PREPARED, 660, DEBUG,                                           \
     "prepared statement is created at a target")                              \
  X (TEXT_REFUSED, 661, ERROR,                                                 \
     "statement refused, as its text is none that a vm may send")              \
  X (SPAN, 700, DEBUG, "span")

typedef enum
{
#define SS_LOG_EVENT_ENUM(id, number, level, text) SS_EVENT_LOG_##id,
  SS_LOG_EVENTS (SS_LOG_EVENT_ENUM)
#undef SS_LOG_EVENT_ENUM
      SS_EVENT_LOG_COUNT
} SsLogEvent;

typedef struct
{
  const char *vm;
  SsLogLevel min_level;
  bool spans;       /* write SPAN events whatever the level */
  uint64_t dropped; /* lines dropped since the last line written */
} SsLog;

/* ss_log_init: initialises LOG and makes standard output non-blocking; VM is
 * borrowed and must outlive LOG.
 */
void ss_log_init (SsLog *log, const char *vm, SsLogLevel min_level, bool spans);

/* ss_log_write: writes EVENT with pairs of field name and text, terminated by
 * NULL.  Events below the minimum level are not written.
 */
void ss_log_write (SsLog *log, SsLogEvent event, ...)
    __attribute__ ((sentinel));

/* ss_log_level_parse: returns false if NAME is not a level. */
bool ss_log_level_parse (const char *name, SsLogLevel *level);

/* ss_log_event_number, ss_log_event_name, ss_log_event_text,
 * ss_log_event_level: return the columns of the event table.
 */
int32_t ss_log_event_number (SsLogEvent event);
const char *ss_log_event_name (SsLogEvent event);
const char *ss_log_event_text (SsLogEvent event);
const char *ss_log_event_level (SsLogEvent event);

#endif
