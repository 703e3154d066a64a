/* log: structured log lines, one JSON object a line on standard output.
 *
 * Writing never blocks: a line that the reader has no room for is dropped, and
 * the next one that is written says how many were.
 *
 * Every event has a number and a name from one table; docs/EVENTS.md is
 * checked against it.
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
  X (STOPPING, 101, INFO, "planned stop begun")                                \
  X (STOPPED, 102, INFO, "daemon stopped")                                     \
  X (READY, 103, INFO, "configuration in force, serving callers")              \
  X (PAUSED, 104, WARNING, "this vm was paused")                               \
  X (RELOADED, 105, INFO, "settings read again")                               \
  X (RELOAD_REFUSED, 106, ERROR, "changed settings are invalid; kept the old") \
  X (CONFIG_ADOPTED, 200, INFO, "configuration object adopted")                \
  X (CONFIG_INVALID, 201, ERROR, "configuration object refused")               \
  X (PLATFORM_DOWN, 210, WARNING, "platform does not answer")                  \
  X (PLATFORM_UP, 211, INFO, "platform answers again")                         \
  X (PLATFORM_CALL, 212, DEBUG, "call on the platform ended")                  \
  X (VM_LOST, 300, WARNING, "vm counted as dead")                              \
  X (VM_FOUND, 301, INFO, "vm counted as live")                                \
  X (ISOLATED, 304, WARNING, "cut off from most vms and the platform")         \
  X (REJOINED, 305, INFO, "no longer cut off")                                 \
  X (PEER_CLOSED, 302, INFO, "peer connection closed")                         \
  X (PEER_INVALID, 303, ERROR, "peer sent an invalid message")                 \
  X (TARGET_UP, 400, INFO, "target answers")                                   \
  X (TARGET_DOWN, 401, WARNING, "target does not answer")                      \
  X (TARGET_TERM, 402, INFO, "target changed role or term")                    \
  X (UNHELD, 404, WARNING, "commits are not held by a majority")               \
  X (HELD, 405, INFO, "commits are held again")                                \
  X (TARGET_INVALID, 403, ERROR, "target sent an invalid message")             \
  X (SUSPECT, 500, WARNING, "primary suspected")                               \
  X (PROMOTION_STARTED, 501, WARNING, "promotion started")                     \
  X (PROMOTION_RAISED, 502, INFO, "term raised on a majority")                 \
  X (PROMOTION_DONE, 503, INFO, "primary chosen")                              \
  X (PROMOTION_FAILED, 504, WARNING, "promotion given up")                     \
  X (PROMOTION_CALLED, 505, WARNING, "platform asked to promote a server")     \
  X (PRIMARY_FOUND, 506, INFO, "servers follow a primary that is not named")   \
  X (CALLER_REFUSED, 600, WARNING, "caller refused")                           \
  X (REQUEST_RAN, 601, INFO, "request answered")                               \
  X (REQUEST_NOT_RUN, 602, INFO, "request refused as not run")                 \
  X (REQUEST_IN_DOUBT, 603, WARNING, "request may have run")                   \
  X (REQUEST_RETRIED, 604, INFO, "request tried again inside")                 \
  X (REQUEST_WAITS, 605, INFO, "request waits")                                \
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
  uint64_t dropped; /* lines since the last one that was written */
} SsLog;

/* ss_log_init: prepares a logger; VM is borrowed and must outlive it. */
void ss_log_init (SsLog *log, const char *vm, SsLogLevel min_level, bool spans);

/* ss_log_write: writes EVENT with pairs of field name and text, ended by
 * NULL.  Lines below the minimum level are dropped.
 */
void ss_log_write (SsLog *log, SsLogEvent event, ...)
    __attribute__ ((sentinel));

/* ss_log_level_parse: returns false where NAME is no level. */
bool ss_log_level_parse (const char *name, SsLogLevel *level);

/* ss_log_event_number, ss_log_event_name, ss_log_event_text,
 * ss_log_event_level: the catalogue's columns.
 */
int32_t ss_log_event_number (SsLogEvent event);
const char *ss_log_event_name (SsLogEvent event);
const char *ss_log_event_text (SsLogEvent event);
const char *ss_log_event_level (SsLogEvent event);

#endif
