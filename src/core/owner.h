/* owner: what the modules of the owner's side share: a target's connections
 * (pool.c), the statements that run on them (job.c), and upkeep (owner.c).
 */
#ifndef SS_OWNER_H
#define SS_OWNER_H

#include "core/internal.h"

/* ss_owned_group: the group that the target is of, or NULL. */
SsGroup *ss_owned_group (SsNode *node, const SsOwned *owned);

/* --- pool.c --- */

/* ss_pool_budget: how many connections may be open for statements now. */
uint32_t ss_pool_budget (SsNode *node, const SsOwned *owned);
SsConnection *ss_pool_connect (SsNode *node, SsOwned *owned, bool is_control);
/* ss_pool_close: closes CONNECTION and frees it and its job. */
void ss_pool_close (SsNode *node, SsConnection *connection);
/* ss_pool_forget: frees a connection that is closed already. */
void ss_pool_forget (SsNode *node, SsConnection *c);
void ss_pool_free (SsConnection *c);
/* ss_pool_release_slot: RAN_MS below 0 is not a measure. */
void ss_pool_release_slot (SsConnection *c, int64_t ran_ms);
/* ss_pool_find_pinned: the connection of the transaction that VM opened by its
 * request TRANSACTION, or NULL.  A session is not enough: its entry may have
 * lost a transaction that is still open here, or be a new life of VM.
 */
SsConnection *ss_pool_find_pinned (SsOwned *owned, const char *vm,
                                   uint64_t transaction);
SsConnection *ss_pool_find_idle (SsOwned *owned);
/* ss_pool_find_nearest: the idle connection that needs least for JOB. */
SsConnection *ss_pool_find_nearest (SsOwned *owned, const SsJob *job);
/* ss_pool_capacity: how many statements may run at once. */
uint32_t ss_pool_capacity (SsNode *node, const SsOwned *owned);
/* ss_pool_open_more: opens connections for what waits. */
void ss_pool_open_more (SsNode *node, SsOwned *owned);

/* --- job.c --- */

/* ss_owned_shows_floor: whether a server at APPLIED shows all up to FLOOR. */
bool ss_owned_shows_floor (const SsOwned *owned, SsPosition applied,
                           SsPosition floor);
void ss_job_free (SsJob *job);
/* ss_job_answer: sends JOB's reply and frees it. */
void ss_job_answer (SsNode *node, SsJob *job, SsVerdict verdict,
                    SsReason reason, uint32_t retry_after_ms);
/* ss_job_dispatch: runs what waits on the connections that are free. */
void ss_job_dispatch (SsNode *node, SsOwned *owned);
/* ss_job_start_step: sends STEP of C's job to the target. */
void ss_job_start_step (SsNode *node, SsConnection *c, SsStep step);
/* ss_job_queue: has JOB wait for its turn, or refuses it. */
void ss_job_queue (SsNode *node, SsOwned *owned, SsJob *job);

/* --- outcome.c --- */

/* ss_job_give_up: answers the job that runs on C now and closes C. */
void ss_job_give_up (SsNode *node, SsConnection *c, SsReason reason);
/* ss_job_end: answers C's job and gives C to its transaction, or to all. */
void ss_job_end (SsNode *node, SsConnection *c, SsVerdict verdict,
                 SsReason reason, uint32_t retry_after_ms);
/* ss_job_end_committed: the same for a statement that was run: a commit is
 * answered once it is held.
 */
void ss_job_end_committed (SsNode *node, SsConnection *c);
/* ss_job_lost_verdict: what a job whose connection broke can be told. */
SsVerdict ss_job_lost_verdict (const SsJob *job);

/* --- kept.c --- */

/* ss_kept_start: begins C's job. */
void ss_kept_start (SsNode *node, SsConnection *c);
/* ss_kept_end: C's target answered. */
void ss_kept_end (SsNode *node, SsConnection *c, const SsTargetResult *result);
/* ss_kept_send_again: sends the statement of C's job that was not run. */
void ss_kept_send_again (SsNode *node, SsConnection *c);
/* ss_kept_roll_back: ends the transaction on C, which goes back to all;
 * ss_kept_rolled_back: its target answered.
 */
void ss_kept_roll_back (SsNode *node, SsConnection *c);
void ss_kept_rolled_back (SsNode *node, SsConnection *c,
                          const SsTargetResult *result);
/* ss_kept_end_idle: ends a transaction that was idle for too long. */
void ss_kept_end_idle (SsNode *node, SsConnection *c);
/* ss_kept_note_position: every answer tells where the target stands. */
void ss_kept_note_position (SsNode *node, const SsConnection *c,
                            const SsTargetResult *result);
/* ss_kept_note_commit: the position right after a commit covers it. */
void ss_kept_note_commit (SsJob *job, const SsTargetResult *result);

#endif
