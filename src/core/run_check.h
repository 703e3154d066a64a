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

/* ss_run_is_valid: whether the target can run the text of RUN as it stands.
 *
 * Where DIALECT parses statements, it has to be one that callers may send,
 * which, if it executes a prepared statement, executes the one of RUN's shape,
 * and the id and the session values must be such that they can be sent.
 * Elsewhere it must have no zero byte, and with an idempotency key, which is
 * recorded in the transaction of the text, it must not end that one.
 */
bool ss_run_is_valid (const SsDialect *dialect, const Ss__Peer__Run *run);

#endif
