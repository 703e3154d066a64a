/* entry: declarations that the modules on the entry side share: session
 * settings (session.c), parsed statements (statement.c), the life cycle of a
 * request (request.c), routing (route.c), and the events of callers and peers
 * (entry.c).  The entry VM is the one that the caller is connected to.
 */
#ifndef SS_ENTRY_H
#define SS_ENTRY_H

#include "core/requests.h"

/* --- session.c --- */

/* ss_session_setting_name: returns what follows "sapphirestair.", in any case,
 * in the name PARAMETER of a start-up message, or NULL if it is no setting of
 * the proxy.
 */
const char *ss_session_setting_name (const char *parameter);
/* ss_session_set: sets NAME to VALUE, or resets it where VALUE is NULL.
 * Returns NULL, or a static error message.
 */
const char *ss_session_set (SsNode *node, SsSession *s, const char *name,
                            const char *value);
/* ss_session_run_setting: answers SET, RESET or SHOW of sapphirestair.*. */
void ss_session_run_setting (SsNode *node, SsSession *s,
                             const SsSettingStatement *setting);
/* ss_session_replace_text: frees *FIELD and sets it to a copy of VALUE, or to
 * NULL where VALUE is NULL or empty.
 */
void ss_session_replace_text (char **field, const char *value);

/* --- entry.c --- */

/* ss_entry_refuse_open: refuses and disconnects CALLER, which has no session.
 * TEXT may be NULL.
 */
void ss_entry_refuse_open (SsNode *node, uint64_t caller, SsReason reason,
                           const char *text);

/* --- startup.c: callers that connect during start-up --- */

/* ss_startup_add: queues CALLER until this VM is ready. */
void ss_startup_add (SsNode *node, uint64_t caller, const char *service,
                     const char *user, const char *key_digest);
void ss_startup_remove (SsNode *node, uint64_t caller);

/* --- statement.c --- */

/* ss_session_statement: runs TEXT, where the dialect parses statements. */
void ss_session_statement (SsNode *node, SsSession *s, const char *label,
                           const char *text);

/* --- entry.c --- */

/* ss_entry_create_request: creates a request of S.  Its fields can be changed
 * until ss_entry_dispatch.
 */
SsRequest *ss_entry_create_request (SsNode *node, SsSession *s,
                                    const char *sql);
/* ss_entry_dispatch: classifies and routes R. */
void ss_entry_dispatch (SsNode *node, SsRequest *r);

/* --- request.c --- */

SsGroup *ss_session_group (SsNode *node, const SsSession *s);
/* ss_session_identity: returns the user name where the service tells callers
 * apart by it, else "".
 */
const char *ss_session_identity (SsNode *node, const SsSession *s);
/* ss_session_reply: sends the final reply to the caller.  Returns the action,
 * so that the result can be filled in.  RETRY_AFTER_MS is a hint to the caller.
 */
SsAction *ss_session_reply (SsNode *node, const SsSession *s, SsVerdict verdict,
                            SsReason reason, uint32_t retry_after_ms);
void ss_session_reply_tag (SsNode *node, const SsSession *s, const char *tag);
void ss_session_refuse (SsNode *node, const SsSession *s, SsReason reason,
                        const char *text);
void ss_session_unpin (SsSession *s);
void ss_session_clear_request_key (SsSession *s);
/* ss_session_send_end: tells VM to release the session's connection.  With
 * ROLLS_BACK the transaction is rolled back and the session continues; else the
 * connection is closed.
 */
void ss_session_send_end (SsNode *node, const SsSession *s, const char *vm,
                          bool rolls_back);
/* ss_session_lose_transaction: marks the transaction of S as lost and has its
 * connection closed.
 */
void ss_session_lose_transaction (SsNode *node, SsSession *s);
/* ss_session_note_loss_reported: records that the reply to SQL tells the caller
 * of the lost transaction.  S becomes idle if SQL ends the transaction.
 */
void ss_session_note_loss_reported (SsSession *s, const char *sql);
/* ss_session_raise_floor: raises the minimum position for reads of S. */
void ss_session_raise_floor (SsSession *s, SsPosition position);
/* ss_session_send_token: sends the caller its floor, as a session token. */
void ss_session_send_token (SsNode *node, const SsSession *s);

void ss_request_free (SsRequest *r);
/* ss_request_log_span: logs the tracing span of R, if log.spans is set. */
void ss_request_log_span (SsNode *node, const SsRequest *r, SsVerdict verdict);
/* ss_request_log_end: logs how and why R ended, and its tracing span if
 * log.spans is set; counts it for its organisation.
 */
void ss_request_log_end (SsNode *node, const SsRequest *r, SsVerdict verdict,
                         SsReason reason);
/* ss_request_may_retry: whether R, which ended with VERDICT and REASON, may be
 * retried.  Takes one retry from the budget if so.  SENT: a target may have run
 * it.
 */
bool ss_request_may_retry (SsNode *node, SsRequest *r, SsVerdict verdict,
                           SsReason reason, bool sent);
/* ss_request_retry: retries a read on another server, or a write on the
 * next primary.  REASON and RETRY_AFTER_MS are those of the failed attempt.
 */
void ss_request_retry (SsNode *node, SsRequest *r, SsReason reason,
                       uint32_t retry_after_ms);
/* ss_request_cancel: tells the owner that the result of R is not needed. */
void ss_request_cancel (SsNode *node, const SsRequest *r);
/* ss_request_end_attempt: ends R's current attempt: it is at no target now. */
void ss_request_end_attempt (SsNode *node, SsRequest *r);
/* ss_request_begin_wait: has R wait for WAIT for at most WAIT_MS. */
void ss_request_begin_wait (SsNode *node, SsRequest *r, SsWait wait,
                            int64_t wait_ms);
void ss_request_end_wait (SsNode *node, SsRequest *r);
/* ss_request_drop: removes and frees R without a reply. */
void ss_request_drop (SsNode *node, SsRequest *r);
/* ss_request_finish: ends R, frees it and replies to the caller without a
 * result.
 */
void ss_request_finish (SsNode *node, SsRequest *r, SsVerdict verdict,
                        SsReason reason, uint32_t retry_after_ms);
/* ss_request_abandon: finishes R, which may be at its owner, and marks the
 * session's transaction as lost.  The verdict is SS_VERDICT_MAY_HAVE_RUN where
 * R was sent and its effect may be durable.
 */
void ss_request_abandon (SsNode *node, SsRequest *r, SsReason reason);

/* --- route.c --- */

/* ss_route_assign_trace: gives R the caller's trace id, or a random one. */
void ss_route_assign_trace (SsNode *node, SsRequest *r);

/* ss_route_classify: sets whether R is a read, and its consistency
 * requirement.  Returns false where the service does not define the session's
 * kind.
 */
bool ss_route_classify (SsNode *node, SsRequest *r);
/* ss_route_needs_primary: whether only the primary can run R. */
bool ss_route_needs_primary (const SsNode *node, const SsRequest *r);
/* ss_route: sends R to the owner of a target, has it wait, or refuses it. */
void ss_route (SsNode *node, SsRequest *r);
/* ss_route_await_primary: has R, which its primary refused, wait until the
 * group has a usable primary.  Refuses R at once if none is expected before its
 * deadline.
 */
void ss_route_await_primary (SsNode *node, SsRequest *r);

#endif
