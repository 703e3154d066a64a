/* caller_end: logs and counts connections of callers that end early: with a
 * statement that was read and not answered, or with output that was not sent.
 *
 * Only what this process has read counts, and of the output only what the
 * kernel has not taken.
 */
#ifndef SS_CALLER_END_H
#define SS_CALLER_END_H

#include "kernel/plugin.h"

/* X (id, name): what ended a connection first. */
#define SS_CALLER_ENDS(X)                                                      \
  X (NONE, "none")                                                             \
  X (CALLER, "caller")                                                         \
  X (FAILURE, "connection_failure")                                            \
  X (REFUSED, "refused")                                                       \
  X (INVALID, "invalid_message")                                               \
  X (UNSENDABLE, "unsendable_answer")                                          \
  X (TIMEOUT, "timeout")                                                       \
  X (STOP, "stop")                                                             \
  X (FORCED_STOP, "forced_stop")                                               \
  X (EXIT, "exit")

typedef enum
{
#define SS_CALLER_END_ENUM(id, name) SS_CALLER_END_##id,
  SS_CALLER_ENDS (SS_CALLER_END_ENUM)
#undef SS_CALLER_END_ENUM
} SsCallerEnd;

/* A connection that ends early. */
typedef struct
{
  SsCallerEnd end;
  const char *label;      /* id of the last statement; NULL: not known */
  int64_t age_ms;         /* since that statement was read; -1: not known */
  bool at_core;           /* the statement is not answered */
  uint32_t dropped_bytes; /* of input that no message answers */
  uint32_t unsent_bytes;  /* of output */
} SsCallerCut;

/* The early ends of one run of the process. */
typedef struct
{
  uint64_t unanswered;
  uint64_t unsent;
  uint64_t by_caller; /* of both, those that the caller ended */
  int64_t since_ms;   /* begin of the second that lines are counted in */
  uint32_t lines;     /* written in this second */
  uint32_t left_out;  /* lines not written since the last one */
} SsCallerCuts;

/* ss_caller_cuts_note: counts CUT and logs it as CALLER_CUT, of which at most
 * 40 lines a second are written.
 */
void ss_caller_cuts_note (SsCallerCuts *cuts, SsRuntime *runtime,
                          const SsCallerCut *cut);
/* ss_caller_cuts_log_total: logs CALLERS_CUT with the numbers of CUTS. */
void ss_caller_cuts_log_total (const SsCallerCuts *cuts, SsRuntime *runtime);

#endif
