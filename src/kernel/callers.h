/* callers: the connections of callers, whatever protocol they speak.
 *
 * Accepts them, tells the core of those that go, and ends those that rest for
 * too long.  What they say and are told is the plug-in's.
 */
#ifndef SS_CALLERS_H
#define SS_CALLERS_H

#include "kernel/plugin.h"
#include "kernel/stream.h"

typedef enum
{
  SS_CALLER_STARTING, /* what it wants to use is due */
  SS_CALLER_OPENING,  /* the core decides on it */
  SS_CALLER_IDLE,
  SS_CALLER_BUSY,
  SS_CALLER_CLOSING
} SsCallerState;

typedef struct SsCallers SsCallers;

/* The first member of a plug-in's caller; freed with g_free. */
typedef struct
{
  SsStream stream; /* first: callbacks cast back */
  SsCallers *callers;
  uint64_t id;
  SsCallerState state;
  char status; /* of its transaction: I, T or E */
  int64_t active_ms;
} SsCaller;

typedef struct
{
  uint32_t caller_bytes;
  /* More input that is not taken than this stops reading. */
  uint32_t pending_input_max_bytes;
  /* Takes one message of the input, of a caller that is starting or idle;
   * returns the bytes used, 0: no message is whole.
   */
  uint32_t (*take_message) (SsCaller *caller);
  /* Optional: a new caller, before its first message. */
  void (*on_accept) (SsCaller *caller);
  /* Ends a caller that rested for too long. */
  void (*on_overdue) (SsCaller *caller);
} SsCallersClass;

struct SsCallers
{
  const SsCallersClass *klass;
  SsShell *shell;
  ev_io accept_io;
  ev_timer sweep;
  GHashTable *by_id; /* id -> SsCaller; NULL: not started */
  uint64_t next_id;
};

/* ss_callers_init: listens where the settings say; returns NULL or what went
 * wrong, to be freed by the caller.
 */
char *ss_callers_init (SsCallers *callers, const SsCallersClass *klass,
                       SsShell *shell);
/* ss_callers_finish: closes all; does nothing where init failed. */
void ss_callers_finish (SsCallers *callers);
SsCaller *ss_callers_find (const SsCallers *callers, uint64_t id);
/* ss_callers_is_over: whether there are more than the settings allow. */
bool ss_callers_is_over (const SsCallers *callers);

GByteArray *ss_caller_output (SsCaller *caller);
/* ss_caller_rest: CALLER was answered and may send the next statement. */
void ss_caller_rest (SsCaller *caller);
/* ss_caller_answered: sends what was written and takes what came meanwhile. */
void ss_caller_answered (SsCaller *caller);
/* ss_caller_close: ends the connection after what was written. */
void ss_caller_close (SsCaller *caller);
/* ss_caller_end: the same, and tells the core. */
void ss_caller_end (SsCaller *caller);
/* ss_caller_free: drops the connection; the core knows. */
void ss_caller_free (SsCaller *caller);
/* ss_caller_drop: drops the connection and tells the core. */
void ss_caller_drop (SsCaller *caller);

#endif
