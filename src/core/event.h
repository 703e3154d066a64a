/* event: the inputs (events) and outputs (actions) of the decision core.
 *
 * An event borrows the data that it points to.  An action owns its data, which
 * ss_action_clear frees.
 */
#ifndef SS_EVENT_H
#define SS_EVENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/position.h"
#include "kernel/log.h"
#include "kernel/verdict.h"

#define SS_EVENTS(X)                                                           \
  X (TICK)                                                                     \
  X (CALLER_OPEN)                                                              \
  X (CALLER_STATEMENT)                                                         \
  X (CALLER_CANCEL)                                                            \
  X (CALLER_CLOSE)                                                             \
  X (PEER_MESSAGE)                                                             \
  X (PEER_LOST)                                                                \
  X (TARGET_READY)                                                             \
  X (TARGET_CLOSED)                                                            \
  X (TARGET_RESULT)                                                            \
  X (PLATFORM_OBJECTS)                                                         \
  X (PLATFORM_OBJECT)                                                          \
  X (PLATFORM_PROMOTED)                                                        \
  X (PLATFORM_VMS)                                                             \
  X (STOP)                                                                     \
  X (OPERATOR)

typedef enum
{
#define SS_EVENT_ENUM(id) SS_EVENT_##id,
  SS_EVENTS (SS_EVENT_ENUM)
#undef SS_EVENT_ENUM
} SsEventKind;

/* Why a statement failed at a target, if the target's protocol reports it. */
#define SS_TARGET_FAULTS(X)                                                    \
  X (NONE, "none")                                                             \
  X (STATEMENT, "statement")     /* statement error; may have run */           \
  X (BUSY, "busy")               /* not run: target at its limit */            \
  X (BEHIND, "behind")           /* not run: the floor is not applied there */ \
  X (NOT_PRIMARY, "not_primary") /* not run: the target is a replica */        \
  X (UNPREPARED, "unprepared")   /* not run: not prepared there */

typedef enum
{
#define SS_TARGET_FAULT_ENUM(id, name) SS_TARGET_FAULT_##id,
  SS_TARGET_FAULTS (SS_TARGET_FAULT_ENUM)
#undef SS_TARGET_FAULT_ENUM
} SsTargetFault;

/* A target's response to one query. */
typedef struct
{
  bool ok;
  SsTargetFault fault;
  char transaction_status; /* I, T or E, as in ReadyForQuery */
  const char *sqlstate;    /* of the error */
  GBytes *wire;            /* results in the wire format of the callers */
  const char *tag;         /* last command tag */
  bool changes_session;    /* it changed the connection for what follows */
  SsPosition commit;       /* offset 0: nothing was committed */
  SsPosition applied;      /* the server's position when it answered */
  const char *const *row;  /* cells of the first row, or NULL */
  uint32_t row_cells;
} SsTargetResult;

typedef struct
{
  const char *key;
  int64_t version;   /* version.h */
  const char *value; /* JSON */
  uint32_t value_bytes;
  bool deleted;
  int64_t sequence; /* the operator's own number of this content, which rises
                       with each change; 0: unknown */
  /* There is an object under KEY, but its content can't be read: the last one
   * stays in force.
   */
  bool unreadable;
} SsObject;

/* The watches on the platform: one for all objects, or one for each kind. */
#define SS_WATCHES(X)                                                          \
  X (ALL, "")                                                                  \
  X (ROUTES, "routes/")                                                        \
  X (TARGETS, "target/")                                                       \
  X (GROUPS, "group/")                                                         \
  X (VMS, "vm/")                                                               \
  X (VOTERS, "voters/")

typedef enum
{
#define SS_WATCH_ENUM(id, prefix) SS_WATCH_##id,
  SS_WATCHES (SS_WATCH_ENUM)
#undef SS_WATCH_ENUM
      SS_WATCH_COUNT
} SsWatch;

/* ss_watch_prefix: returns the key prefix of the objects that WATCH covers. */
const char *ss_watch_prefix (SsWatch watch);

/* The result of a call to the platform.  CONFLICT: the object has another
 * version.  ABSENT: there is no such object, or the revision that a watch
 * starts from has been compacted.  REFUSED: the call was refused or not sent.
 * UNKNOWN: it may have taken effect.
 */
#define SS_PLATFORM_OUTCOMES(X)                                                \
  X (DONE, "done")                                                             \
  X (CONFLICT, "conflict")                                                     \
  X (ABSENT, "absent")                                                         \
  X (REFUSED, "refused")                                                       \
  X (UNKNOWN, "unknown")

typedef enum
{
#define SS_PLATFORM_ENUM(id, name) SS_PLATFORM_##id,
  SS_PLATFORM_OUTCOMES (SS_PLATFORM_ENUM)
#undef SS_PLATFORM_ENUM
} SsPlatformOutcome;

typedef struct
{
  SsEventKind kind;
  int64_t era; /* PLATFORM_*: of the store that responded; 0: not known */
  union
  {
    struct
    {
      uint64_t caller;
      const char *service;
      const char *user;            /* "" if unknown */
      const char *key;             /* of its organisation; NULL: none */
      const char *const *settings; /* name, value, ..., NULL; may be NULL */
    } caller_open;
    struct
    {
      uint64_t caller;
      const char *label; /* the caller's statement id, or NULL */
      const char *sql;
    } caller_statement;
    struct
    {
      uint64_t caller;
    } caller; /* CALLER_CANCEL, CALLER_CLOSE */
    struct
    {
      const uint8_t *data;
      uint32_t data_bytes;
    } peer_message;
    struct
    {
      const char *vm;
    } peer_lost;
    struct
    {
      uint64_t connection;
      bool refused;         /* TARGET_CLOSED: connection refused */
      bool is_wrong_server; /* TARGET_CLOSED: another server answered */
      const char *sqlstate; /* TARGET_CLOSED: of a failed start-up, or NULL */
    } target;
    struct
    {
      uint64_t connection;
      const SsTargetResult *result;
    } target_result;
    struct
    {
      SsPlatformOutcome outcome;
      SsWatch watch;
      bool complete;    /* objects holds all objects that the watch covers */
      bool listed;      /* answers PLATFORM_LIST with the present state */
      int64_t since;    /* version that the watch started from */
      int64_t revision; /* version of the store at the response */
      const SsObject *objects;
      uint32_t object_count;
    } platform_objects;
    struct
    {
      uint64_t call;
      SsPlatformOutcome outcome;
      SsObject object; /* as read, or with the version written */
    } platform_object; /* PLATFORM_PROMOTED has no object */
    struct
    {
      const char *json;
      uint32_t json_bytes;
    } platform_vms;
    struct
    {
      uint64_t id; /* of the request, repeated in OPERATOR_REPLY */
      const char *text;
      bool may_change; /* not restricted to read-only commands */
    } operator_command;
  };
} SsEvent;

#define SS_ACTIONS(X)                                                          \
  X (CALLER_REPLY)                                                             \
  X (CALLER_PARAMETER)                                                         \
  X (CALLER_CLOSE)                                                             \
  X (PEER_ADDRESS)                                                             \
  X (PEER_SEND)                                                                \
  X (TARGET_CONNECT)                                                           \
  X (TARGET_QUERY)                                                             \
  X (TARGET_CLOSE)                                                             \
  X (PLATFORM_WATCH)                                                           \
  X (PLATFORM_LIST)                                                            \
  X (PLATFORM_GET)                                                             \
  X (PLATFORM_PUT)                                                             \
  X (PLATFORM_DELETE)                                                          \
  X (PLATFORM_PROMOTE)                                                         \
  X (PLATFORM_VMS)                                                             \
  X (OPERATOR_REPLY)                                                           \
  X (LOG)                                                                      \
  X (STOPPED)

typedef enum
{
#define SS_ACTION_ENUM(id) SS_ACTION_##id,
  SS_ACTIONS (SS_ACTION_ENUM)
#undef SS_ACTION_ENUM
} SsActionKind;

typedef struct
{
  SsActionKind kind;
  uint64_t id;        /* caller, connection or call */
  char *name;         /* VM, target, object key or parameter */
  char *text;         /* SQL, address or value */
  char *label;        /* TARGET_QUERY: the caller's statement id, or NULL;
                         TARGET_CONNECT: the target's group */
  char *organisation; /* TARGET_CONNECT: that the connection is opened for;
                         NULL: this proxy itself */
  GBytes *bytes;      /* wire or peer message */
  uint32_t port;
  int64_t number; /* version */
  SsVerdict verdict;
  SsReason reason;
  uint32_t retry_after_ms;
  uint32_t wait_ms;      /* PLATFORM_WATCH: long-poll limit */
  uint32_t skip_results; /* TARGET_QUERY: leading results to discard */
  bool want_row;         /* TARGET_QUERY: parse the first row */
  char transaction_status;
  bool is_control; /* PEER_SEND: not caller traffic */
  SsLogEvent log_event;
} SsAction;

/* ss_action_clear: frees the data that ACTION owns, not ACTION itself. */
void ss_action_clear (SsAction *action);

#endif
