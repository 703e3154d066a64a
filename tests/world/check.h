/* check: compares what servers ran with what callers sent and got. */
#ifndef SS_TESTS_WORLD_CHECK_H
#define SS_TESTS_WORLD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

/* X (member, name in the record) */
#define WORLD_BROKEN(X)                                                        \
  X (unasked, "UNASKED, an id that no caller sent")                            \
  X (changed, "UNASKED, another text or other arguments")                      \
  X (shapes, "PINNED, a name that stands for another shape or is unknown")     \
  X (values, "PINNED, other session values")                                   \
  X (transactions, "PINNED, another transaction")                              \
  X (twice, "TWICE, a write committed twice")                                  \
  X (mixed, "MIXED, not the server's signature and rows")                      \
  X (refused, "REFUSED, committed after a promise")

typedef struct
{
#define WORLD_BROKEN_MEMBER(member, name) uint32_t member;
  WORLD_BROKEN (WORLD_BROKEN_MEMBER)
  uint32_t sent;
  uint32_t done;
  uint32_t errors;
  uint32_t unanswered;
  uint32_t runs;
  uint32_t executed;           /* runs of EXECUTE */
  uint32_t connections;        /* that ran a statement */
  uint32_t shared_connections; /* that ran those of several sessions */
  uint32_t longest_done_bytes; /* of texts that callers sent */
} WorldCounts;

/* world_check: compares the history; each difference is in the record and on
 * standard error.
 */
WorldCounts world_check (void);
/* world_check_broken: whether a rule was broken. */
bool world_check_broken (const WorldCounts *counts);

#endif
