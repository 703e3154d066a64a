/* owner: declarations shared by the modules that serve owned targets:
 * connections (pool.c), statements (job.c, job_result.c, multiplex.c) and
 * their early ends (owner_end.c), and maintenance (owner.c).
 */
#ifndef SS_OWNER_H
#define SS_OWNER_H

#include "core/owned.h"

/* ss_owned_group: returns the group of the target, or NULL. */
SsGroup *ss_owned_group (SsNode *node, const SsOwnedTarget *owned);

/* --- owner_end.c --- */

/* Which statements to end. */
typedef struct
{
  const char *vm;
  uint64_t request; /* 0: any request of the session */
  uint64_t session; /* used if request is 0; 0: any session of the VM */
} SsJobFilter;

/* ss_owner_all: returns all owned targets, in an array to be freed. */
GPtrArray *ss_owner_all (SsNode *node);
/* ss_owner_unsent_jobs: returns the jobs that match FILTER (NULL: all), in an
 * array to be freed, of those that have not been sent: queued ones, and those
 * that wait for a confirmed primary.
 */
GPtrArray *ss_owner_unsent_jobs (SsOwnedTarget *owned,
                                 const SsJobFilter *filter);
/* ss_owner_refuse_unsent: refuses these jobs for REASON. */
void ss_owner_refuse_unsent (SsNode *node, SsOwnedTarget *owned,
                             const SsJobFilter *filter, SsReason reason);
/* ss_owner_end_connection: closes CONNECTION and answers its job, if any. */
void ss_owner_end_connection (SsNode *node, SsConnection *connection,
                              SsReason reason);

/* --- pool.c --- */

/* ss_pool_max_connections: returns the number of connections that may be open
 * for statements now.
 */
uint32_t ss_pool_max_connections (SsNode *node, const SsOwnedTarget *owned);
/* ss_pool_connect: opens a connection for ORGANISATION; "": for none. */
SsConnection *ss_pool_connect (SsNode *node, SsOwnedTarget *owned,
                               const char *organisation, bool is_control);
/* ss_pool_load: gives the connection cache of OWNED its connections as they are
 * now.
 */
void ss_pool_load (SsNode *node, SsOwnedTarget *owned);
/* ss_pool_may_run: has the connection cache decide for JOB, and returns whether
 * ss_pool_acquire finds a connection for it.  To be called after ss_pool_load.
 */
bool ss_pool_may_run (SsNode *node, SsJob *job);
/* ss_pool_acquire: returns a connection of JOB's organisation: an idle one, or
 * a new one, for which an idle one of another organisation may be closed.  To
 * be called for a job that ss_pool_may_run has accepted, before anything else
 * happens.
 */
SsConnection *ss_pool_acquire (SsNode *node, SsOwnedTarget *owned,
                               const SsJob *job);
/* ss_pool_tick: updates the limit in use of OWNED and closes the idle
 * connections beyond it.
 */
void ss_pool_tick (SsNode *node, SsOwnedTarget *owned);
/* ss_pool_refused: the target refused a connection, as it has too many. */
void ss_pool_refused (SsNode *node, SsOwnedTarget *owned, int64_t pause_ms);
/* ss_pool_note_held: JOB, which has ended, held its connection until now. */
void ss_pool_note_held (SsNode *node, SsOwnedTarget *owned, const SsJob *job);
/* ss_pool_close: closes CONNECTION and frees it together with its job. */
void ss_pool_close (SsNode *node, SsConnection *connection);
/* ss_pool_close_replaced: closes the idle CONNECTION, whose place another
 * organisation gets.
 */
void ss_pool_close_replaced (SsNode *node, SsConnection *connection);
/* ss_pool_forget: frees a connection that is already closed. */
void ss_pool_forget (SsNode *node, SsConnection *c);
void ss_pool_free (SsConnection *c);
/* ss_pool_release_slot: releases C's slot in the queue after a statement that
 * ran for RAN_MS milliseconds; a negative RAN_MS is not sampled.
 */
void ss_pool_release_slot (SsConnection *c, int64_t ran_ms);
/* ss_pool_find_pinned: returns the connection pinned to the transaction that VM
 * opened with its request TRANSACTION, or NULL.  The session id is not enough:
 * VM may have lost a transaction that is still open here, or the id may belong
 * to a new incarnation of VM.
 */
SsConnection *ss_pool_find_pinned (SsOwnedTarget *owned, const char *vm,
                                   uint64_t transaction);
SsConnection *ss_pool_find_idle (SsOwnedTarget *owned);
/* ss_pool_find_nearest: returns the idle connection that needs the fewest
 * statements to replay JOB's session settings, or NULL.
 */
SsConnection *ss_pool_find_nearest (SsOwnedTarget *owned, const SsJob *job);
/* ss_pool_capacity_max: returns the capacity of a target of usual speed. */
uint32_t ss_pool_capacity_max (SsNode *node, const SsOwnedTarget *owned);
/* ss_pool_capacity: returns how many statements may be sent to the target
 * concurrently.
 */
uint32_t ss_pool_capacity (SsNode *node, const SsOwnedTarget *owned);
/* ss_pool_open_more: opens connections for queued statements. */
void ss_pool_open_more (SsNode *node, SsOwnedTarget *owned);

/* --- job.c --- */

/* ss_owned_covers_floor: whether a server that has applied its log up to
 * APPLIED has applied everything up to FLOOR, which is translated by the
 * target's term history first.
 */
bool ss_owned_covers_floor (const SsOwnedTarget *owned, SsPosition applied,
                            SsPosition floor);
void ss_job_free (SsJob *job);
/* ss_job_answer: sends the reply to JOB and frees JOB. */
void ss_job_answer (SsNode *node, SsJob *job, SsVerdict verdict,
                    SsReason reason, uint32_t retry_after_ms);
/* ss_job_dispatch: runs queued statements on idle connections. */
void ss_job_dispatch (SsNode *node, SsOwnedTarget *owned);
/* ss_job_connect_failed: queues JOB, whose connection could not be opened,
 * again, or refuses it if its deadline is too close; takes ownership of JOB.
 */
void ss_job_connect_failed (SsNode *node, SsJob *job);
/* ss_job_start_attached: starts the job for which C was opened. */
void ss_job_start_attached (SsNode *node, SsConnection *c);
/* ss_job_start_step: sends the statement for STEP of C's job to the target. */
void ss_job_start_step (SsNode *node, SsConnection *c, SsStep step);
/* ss_job_queue: queues JOB, or refuses it by admission control. */
void ss_job_queue (SsNode *node, SsOwnedTarget *owned, SsJob *job);

/* --- job_result.c --- */

/* ss_job_give_up: answers the job that runs on C at once and closes C. */
void ss_job_give_up (SsNode *node, SsConnection *c, SsReason reason);
/* ss_job_end: answers C's job.  C stays pinned if its transaction is open, and
 * returns to the pool otherwise.
 */
void ss_job_end (SsNode *node, SsConnection *c, SsVerdict verdict,
                 SsReason reason, uint32_t retry_after_ms);
/* ss_job_end_committed: like ss_job_end, for a statement that was executed.  A
 * commit is answered once it is replicated to a majority.
 */
void ss_job_end_committed (SsNode *node, SsConnection *c);
/* ss_job_lost_verdict: returns the verdict for a job whose connection was
 * lost.
 */
SsVerdict ss_job_lost_verdict (const SsJob *job);

/* --- multiplex.c --- */

/* ss_multiplex_start: starts C's job: first replays its session state. */
void ss_multiplex_start (SsNode *node, SsConnection *c);
/* ss_multiplex_result: handles the target's RESULT for the last statement on C.
 */
void ss_multiplex_result (SsNode *node, SsConnection *c,
                          const SsTargetResult *result);
/* ss_multiplex_resend: resends the statement of C's job that was not run. */
void ss_multiplex_resend (SsNode *node, SsConnection *c);
/* ss_multiplex_roll_back: rolls back the transaction on C, so that C returns to
 * the pool.  ss_multiplex_rolled_back handles the target's response.
 */
void ss_multiplex_roll_back (SsNode *node, SsConnection *c);
void ss_multiplex_rolled_back (SsNode *node, SsConnection *c,
                               const SsTargetResult *result);
/* ss_multiplex_end_transaction: ends the open transaction on C, where no
 * statement runs: rolls it back, or closes C if sessions are not multiplexed.
 */
void ss_multiplex_end_transaction (SsNode *node, SsConnection *c);
/* ss_multiplex_note_position: records the log position of the target, which
 * every response reports.
 */
void ss_multiplex_note_position (SsNode *node, const SsConnection *c,
                                 const SsTargetResult *result);
/* ss_multiplex_note_commit: if RESULT ends a commit, records its position as
 * the one of JOB's commit: it is reported right after the commit and covers it.
 */
void ss_multiplex_note_commit (SsJob *job, const SsTargetResult *result);

#endif
