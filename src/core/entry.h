/* entry: what the modules of the entry's side share: sessions (session.c),
 * the life of a request (request.c), where it goes (route.c), and the events
 * of callers and peers (entry.c).
 */
#ifndef SS_ENTRY_H
#define SS_ENTRY_H

#include "core/internal.h"

/* --- session.c --- */

/* ss_session_set: returns NULL, or what is wrong with VALUE; NULL resets. */
const char *ss_session_set (SsNode *node, SsSession *s, const char *name,
                            const char *value);
/* ss_session_run_local: answers SET, RESET or SHOW of sapphirestair.*. */
void ss_session_run_local (SsNode *node, SsSession *s, const SsLocal *local);
/* ss_session_replace: copies VALUE to FIELD; an empty one becomes NULL. */
void ss_session_replace (char **field, const char *value);

/* ss_entry_refuse_open: ends a caller that has no session; TEXT may be NULL. */
void ss_entry_refuse_open (SsNode *node, uint64_t caller, SsReason reason,
                           const char *text);

/* --- opens.c: callers that come while this vm starts --- */

/* ss_opens_add: has CALLER wait until this vm is ready. */
void ss_opens_add (SsNode *node, uint64_t caller, const char *service,
                   const char *user);
void ss_opens_remove (SsNode *node, uint64_t caller);

/* --- statement.c --- */

/* ss_session_statement: a statement of a dialect whose statements can be told
 * apart.
 */
void ss_session_statement (SsNode *node, SsSession *s, const char *label,
                           const char *text);
/* ss_entry_start: makes a request of S; its fields can be set before
 * ss_entry_go.
 */
SsRequest *ss_entry_start (SsNode *node, SsSession *s, const char *sql);
/* ss_entry_go: classifies and routes R. */
void ss_entry_go (SsNode *node, SsRequest *r);

/* --- request.c --- */

SsGroup *ss_session_group (SsNode *node, const SsSession *s);
/* ss_session_identity: the caller, where its service knows callers; else "".
 */
const char *ss_session_identity (SsNode *node, const SsSession *s);
/* ss_session_reply: a final answer to the caller; the result may be filled
 * in.
 */
SsAction *ss_session_reply (SsNode *node, const SsSession *s, SsVerdict verdict,
                            SsReason reason, uint32_t retry_after_ms);
void ss_session_reply_tag (SsNode *node, const SsSession *s, const char *tag);
void ss_session_refuse (SsNode *node, const SsSession *s, SsReason reason,
                        const char *text);
void ss_session_unpin (SsSession *s);
void ss_session_drop_key (SsSession *s);
/* ss_session_send_end: ROLLS_BACK: the session goes on without its
 * transaction; else its connection is closed.
 */
void ss_session_send_end (SsNode *node, const SsSession *s, const char *vm,
                          bool rolls_back);
void ss_session_lose_transaction (SsNode *node, SsSession *s);
/* ss_session_tell_loss: SQL is answered with an error, which tells the caller
 * that its transaction is lost; one that ends it leaves none.
 */
void ss_session_tell_loss (SsSession *s, const char *sql);
void ss_session_raise_floor (SsSession *s, SsPosition position);
/* ss_session_send_token: tells the caller its floor. */
void ss_session_send_token (SsNode *node, const SsSession *s);

void ss_request_free (SsRequest *r);
void ss_request_log_span (SsNode *node, const SsRequest *r, SsVerdict verdict);
/* ss_request_log_end: how R ended and what decided it. */
void ss_request_log_end (SsNode *node, const SsRequest *r, SsVerdict verdict,
                         SsReason reason);
/* ss_request_may_retry: whether R, which ended with VERDICT and REASON, may be
 * tried again; SENT: a target may have run it.
 */
bool ss_request_may_retry (SsNode *node, SsRequest *r, SsVerdict verdict,
                           SsReason reason, bool sent);
/* ss_request_try_again: at another server, or at the next primary. */
void ss_request_try_again (SsNode *node, SsRequest *r, SsReason reason);
/* ss_request_cancel: tells its owner that R is not waited for. */
void ss_request_cancel (SsNode *node, const SsRequest *r);
/* ss_request_forget_sent: the present try is over. */
void ss_request_forget_sent (SsNode *node, SsRequest *r);
void ss_request_begin_wait (SsNode *node, SsRequest *r, SsWait wait,
                            int64_t wait_ms);
void ss_request_end_wait (SsNode *node, SsRequest *r);
void ss_request_drop (SsNode *node, SsRequest *r);
/* ss_request_finish: answers the caller without a result. */
void ss_request_finish (SsNode *node, SsRequest *r, SsVerdict verdict,
                        SsReason reason, uint32_t retry_after_ms);
/* ss_request_abandon: gives up on a request that may be at its owner. */
void ss_request_abandon (SsNode *node, SsRequest *r, SsReason reason);

/* --- route.c --- */

/* ss_route_draw_trace: the caller's trace id, or a new one. */
void ss_route_draw_trace (SsNode *node, SsRequest *r);

/* ss_route_classify: decides whether the statement is a read and what it has
 * to see; false where the session's kind is not one of the service's.
 */
bool ss_route_classify (SsNode *node, SsRequest *r);
/* ss_route: sends the request to a target's owner, lets it wait, or refuses
 * it.
 */
void ss_route (SsNode *node, SsRequest *r);
/* ss_route_again: R's primary refused it: it waits for the primary's next
 * report, or for another one.
 */
void ss_route_again (SsNode *node, SsRequest *r);

#endif
