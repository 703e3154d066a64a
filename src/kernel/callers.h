/* callers: the connections of callers, independent of their protocol.
 *
 * Accepts connections, notifies the core when one closes, and ends those that
 * exceed a timeout.  The plug-in parses requests and writes replies.
 */
#ifndef SS_CALLERS_H
#define SS_CALLERS_H

#include "kernel/caller_end.h"
#include "kernel/plugin.h"
#include "kernel/stream.h"

typedef enum
{
  SS_CALLER_STARTING, /* its start-up message is expected */
  SS_CALLER_OPENING,  /* the core decides whether to admit it */
  SS_CALLER_IDLE,
  SS_CALLER_BUSY,
  SS_CALLER_LEAVING, /* the core has ended its session; a statement that still
                        arrives is answered, but never run */
  SS_CALLER_CLOSING  /* what still arrives is dropped */
} SsCallerState;

typedef struct SsCallers SsCallers;

/* Base struct of a plug-in's caller, its first member; freed with g_free. */
typedef struct
{
  SsStream stream; /* must be first: callbacks cast it to SsCaller */
  SsCallers *callers;
  uint64_t id;
  SsCallerState state;
  char status;            /* transaction status: I, T or E */
  bool is_unanswered;     /* its statement is at the core */
  bool is_told;           /* an error that ends the session was written, which
                             answers what still arrives */
  uint8_t end;            /* SsCallerEnd */
  uint8_t refused;        /* statements that were refused while it leaves */
  uint32_t dropped_bytes; /* of input, by this layer */
  uint32_t undelivered_bytes; /* of output, at the last check of a caller that
                                 leaves or is closed */
  int64_t active_ms;          /* time of the last activity, for the timeouts */
  int64_t statement_ms; /* time when its last statement was read; 0: none */
  char *label;          /* id of that statement until its answer is sent; NULL:
                           not known */
} SsCaller;

typedef struct
{
  uint32_t caller_bytes; /* size of the plug-in's struct for a caller */
  /* Reading pauses while more unprocessed input than this is buffered. */
  uint32_t pending_input_max_bytes;
  /* Processes one message of the input; CALLER is starting, idle or leaving.
   * Returns the bytes consumed, or 0 if no message is complete.
   */
  uint32_t (*take_message) (SsCaller *caller);
  /* Optional: called for a new caller before its first message. */
  void (*on_accept) (SsCaller *caller);
  /* Optional: frees what the plug-in's struct owns. */
  void (*on_free) (SsCaller *caller);
  /* Ends a caller that exceeded the start-up or idle timeout. */
  void (*on_timeout) (SsCaller *caller);
} SsCallersClass;

struct SsCallers
{
  const SsCallersClass *klass;
  SsRuntime *runtime;
  ev_io accept_io;
  ev_timer sweep;    /* checks the timeouts of all callers */
  GHashTable *by_id; /* id -> SsCaller; NULL: not started */
  uint64_t next_id;
  SsCallerCuts cuts;
};

/* ss_callers_init: listens on vm.ip and vm.caller_port; returns NULL on
 * success, else an error message to be freed with g_free.
 */
char *ss_callers_init (SsCallers *callers, const SsCallersClass *klass,
                       SsRuntime *runtime);
/* ss_callers_finish: closes all connections; does nothing if init failed. */
void ss_callers_finish (SsCallers *callers);
/* ss_callers_is_drained: returns whether all output is sent and no caller whose
 * session has ended is waited for.
 */
bool ss_callers_is_drained (const SsCallers *callers);
/* ss_callers_find: returns NULL if no caller has ID. */
SsCaller *ss_callers_find (const SsCallers *callers, uint64_t id);
/* ss_callers_is_over_limit: returns whether there are more callers than
 * callers.max allows.
 */
bool ss_callers_is_over_limit (const SsCallers *callers);

/* ss_caller_output: returns the output buffer to append to. */
GByteArray *ss_caller_output (SsCaller *caller);
/* ss_caller_set_busy: marks CALLER busy with a statement, whose id is LABEL
 * (NULL: none).  A leaving caller stays so.
 */
void ss_caller_set_busy (SsCaller *caller, const char *label);
/* ss_caller_set_idle: marks CALLER idle, so that its next statement may be
 * processed.  A leaving caller stays so.
 */
void ss_caller_set_idle (SsCaller *caller);
/* ss_caller_resume: flushes the output and schedules processing of the input
 * that arrived meanwhile.
 */
void ss_caller_resume (SsCaller *caller);
/* ss_caller_leave: has CALLER, whose session the core has ended, leave by
 * itself: its statements still go to the plug-in.  An error that ends the
 * session must have been written.  If CALLER sends nothing and takes no output
 * for 2 s, its connection is closed.
 */
void ss_caller_leave (SsCaller *caller, SsCallerEnd end);
/* ss_caller_close: closes the connection once the output is sent and the caller
 * has closed it, or has taken no output for 2 s.  END tells why; what ended
 * CALLER first counts.
 */
void ss_caller_close (SsCaller *caller, SsCallerEnd end);
/* ss_caller_close_and_notify: like ss_caller_close, and notifies the core if
 * CALLER has got past its start-up message.
 */
void ss_caller_close_and_notify (SsCaller *caller, SsCallerEnd end);
/* ss_caller_free: closes the connection at once and frees CALLER; doesn't
 * notify the core.
 */
void ss_caller_free (SsCaller *caller, SsCallerEnd end);
/* ss_caller_free_and_notify: like ss_caller_free, and notifies the core under
 * the same condition.
 */
void ss_caller_free_and_notify (SsCaller *caller, SsCallerEnd end);

#endif
