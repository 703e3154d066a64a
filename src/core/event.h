/* event: what goes into the decision core and what comes out of it.
 *
 * Events borrow what they point to.  Actions own it; ss_action_clear frees.
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

/* Why a target did not carry out a statement, where its protocol tells. */
#define SS_TARGET_FAULTS(X)                                                    \
  X (NONE, "none")                                                             \
  X (STATEMENT, "statement")     /* the statement itself; it may have run */   \
  X (BUSY, "busy")               /* not run: no room */                        \
  X (BEHIND, "behind")           /* not run: the floor is not applied yet */   \
  X (NOT_PRIMARY, "not_primary") /* not run: the target is a replica */        \
  X (UNPREPARED, "unprepared")   /* not run: no such prepared statement */

typedef enum
{
#define SS_TARGET_FAULT_ENUM(id, name) SS_TARGET_FAULT_##id,
  SS_TARGET_FAULTS (SS_TARGET_FAULT_ENUM)
#undef SS_TARGET_FAULT_ENUM
} SsTargetFault;

/* One answer of a target to one query. */
typedef struct
{
  bool ok;
  SsTargetFault fault;
  char transaction_status; /* I, T or E */
  const char *sqlstate;    /* of the error */
  GBytes *wire;            /* results as the callers' protocol has them */
  const char *tag;         /* last command tag */
  SsPosition commit;       /* offset 0: nothing was committed */
  SsPosition applied;      /* the server's position as it answered */
  const char *const *row;  /* first row's cells, or NULL */
  uint32_t row_cells;
} SsTargetResult;

typedef struct
{
  const char *key;
  int64_t version;
  const char *value; /* JSON */
  uint32_t value_bytes;
  bool deleted;
} SsObject;

/* What can be watched at the platform: all objects in one, or each kind. */
#define SS_FEEDS(X)                                                            \
  X (ALL, "")                                                                  \
  X (ROUTES, "routes/")                                                        \
  X (TARGETS, "target/")                                                       \
  X (GROUPS, "group/")                                                         \
  X (VMS, "vm/")

typedef enum
{
#define SS_FEED_ENUM(id, prefix) SS_FEED_##id,
  SS_FEEDS (SS_FEED_ENUM)
#undef SS_FEED_ENUM
      SS_FEED_COUNT
} SsFeed;

/* ss_feed_prefix: of the keys of the feed's objects. */
const char *ss_feed_prefix (SsFeed feed);

/* How a call on the platform ended. */
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
  union
  {
    struct
    {
      uint64_t caller;
      const char *service;
      const char *user;            /* "": unknown */
      const char *const *settings; /* name, value, ..., NULL; may be NULL */
    } caller_open;
    struct
    {
      uint64_t caller;
      const char *label; /* the caller's id of it; may be NULL */
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
      bool refused;         /* TARGET_CLOSED: the address refuses */
      bool is_other;        /* TARGET_CLOSED: another server answered there */
      const char *sqlstate; /* TARGET_CLOSED: of a refused start, or NULL */
    } target;
    struct
    {
      uint64_t connection;
      const SsTargetResult *result;
    } target_result;
    struct
    {
      SsPlatformOutcome outcome;
      SsFeed feed;
      bool complete; /* no other object of the feed is there */
      bool listed;   /* the answer to PLATFORM_LIST, as of now */
      int64_t since;
      int64_t revision;
      const SsObject *objects;
      uint32_t object_count;
    } platform_objects;
    struct
    {
      uint64_t call;
      SsPlatformOutcome outcome;
      SsObject object; /* as read, or with the version written */
    } platform_object; /* PLATFORM_PROMOTED: without an object */
    struct
    {
      const char *json;
      uint32_t json_bytes;
    } platform_vms;
    struct
    {
      uint64_t id; /* of the reply */
      const char *text;
      bool may_change; /* the operator may do more than look */
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
  uint64_t id;   /* caller, connection or call */
  char *name;    /* vm, target, object key, parameter */
  char *text;    /* SQL, address, value */
  char *label;   /* TARGET_QUERY: the caller's id of it, or NULL;
                    TARGET_CONNECT: the target's group */
  GBytes *bytes; /* wire or peer message */
  uint32_t port;
  int64_t number; /* version, or revision */
  SsVerdict verdict;
  SsReason reason;
  uint32_t retry_after_ms;
  uint32_t wait_ms;      /* PLATFORM_WATCH: to be answered by then */
  uint32_t skip_results; /* TARGET_QUERY: results not to be kept */
  bool want_row;         /* TARGET_QUERY: parse the first row */
  char transaction_status;
  bool is_control; /* PEER_SEND: not on behalf of a caller */
  SsLogEvent log_event;
} SsAction;

/* ss_action_clear: frees what ACTION owns. */
void ss_action_clear (SsAction *action);

#endif
