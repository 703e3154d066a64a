/* run_check: checks what an entry VM asks the owner of a target to run.
 *
 * The entry VM makes the text for the target; the owner, which sends it, does
 * not rely on that: an entry VM of an earlier version makes another text from
 * a shape with spaces, which a target would read as another statement.
 */
#ifndef SS_RUN_CHECK_H
#define SS_RUN_CHECK_H

#include "core/dialect.h"

#include "proto/peer.pb-c.h"

/* ss_run_is_valid: whether RUN holds one statement that callers may send,
 * which, if it executes a prepared statement, is the one of RUN's shape, and
 * whose id and session values can be sent, too.  True for all runs of a dialect
 * that does not parse statements.
 */
bool ss_run_is_valid (const SsDialect *dialect, const Ss__Peer__Run *run);

#endif
