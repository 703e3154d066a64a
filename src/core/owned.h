/* owned: the owner side of the statement layer: the targets that this VM owns,
 * their connections and statements, replication to a majority, and their
 * monitor.
 */
#ifndef SS_OWNED_H
#define SS_OWNED_H

#include "core/backoff.h"
#include "core/concurrency_limit.h"
#include "core/connection_cache.h"
#include "core/message.h"
#include "core/queue.h"
#include "core/reliance.h"
#include "core/replay.h"
#include "core/requests.h"
#include "core/server_speed.h"
#include "core/subscribers.h"
#include "core/writers.h"

/* --- owner.c: connections and statements at the targets owned here --- */

typedef struct SsOwnedTarget SsOwnedTarget;
typedef struct SsJob SsJob;

typedef enum
{
  SS_CONNECTION_CONNECTING,
  SS_CONNECTION_IDLE,
  SS_CONNECTION_BUSY,
  SS_CONNECTION_PINNED
} SsConnectionState;

typedef struct
{
  uint64_t id;
  SsOwnedTarget *owned;
  SsConnectionState state;
  bool is_control;
  char *organisation; /* that it was opened for; "": none */
  bool holds_slot;    /* counts as running in the queue */
  SsQueueClass queue_class;
  SsJob *job;
  char *vm; /* of the session that it is pinned to */
  uint64_t session;
  uint64_t transaction; /* if pinned: the request that opened it */
  int64_t since_ms;     /* since when it connects, is idle or pinned, or rolls
                           back */
  SsSessionState held;  /* session state on this connection */
  GQueue setup_queue;   /* statements to send before the job's, owned */
  char *last_setup;     /* copy of the last one sent from setup_queue */
  bool rolls_back;      /* a ROLLBACK is outstanding */
  bool is_changed;      /* a caller's statement changed it for what follows */
  int64_t resend_at_ms; /* when to resend the job's statement; 0: never */
  int64_t sent_ms;      /* when its last statement was sent */
} SsConnection;

/* What was last sent to the target for a job. */
typedef enum
{
  SS_STEP_PLAIN,    /* the statement itself */
  SS_STEP_CLAIM,    /* BEGIN, claim of the key, the statement */
  SS_STEP_RECORD,   /* record of the result, COMMIT */
  SS_STEP_COMMIT,   /* in an open transaction: claim, record, COMMIT */
  SS_STEP_LOOKUP,   /* the claim failed: ROLLBACK, look the record up */
  SS_STEP_ROLLBACK, /* ROLLBACK, as the statement failed */
  SS_STEP_SETUP     /* session state replay and BEGIN */
} SsStep;

struct SsJob
{
  SsQueueItem item; /* first member: cast from SsQueueItem */
  SsOwnedTarget *owned;
  SsConnection *connection; /* NULL: not running */
  uint64_t request;
  char *vm;
  uint64_t session;
  char *service;
  char *organisation; /* of the caller; "": none */
  char *sql;
  char *key; /* idempotency key, or NULL */
  char *trace;
  char *identity;
  char *label;
  char **values; /* session settings: name, value, ..., NULL */
  char *shape;   /* of the prepared statement to run, or NULL */
  bool shape_is_read;
  bool begins; /* BEGIN is sent before it */
  bool transaction_is_read;
  bool keeps;   /* its effect may be durable: see SsRequest */
  bool pinned;  /* belongs to an open transaction */
  bool confirm; /* run only under a lease or after a new confirmation */
  bool sent;    /* the target may have run the statement */
  int64_t connection_wait_ms; /* since when it waits for a connection, though a
                                 slot is free; 0: it has not waited */
  SsCacheDecision decision;   /* the last one of the connection cache */
  bool is_read;
  SsPosition floor;
  double usual_run_ms;     /* of its kind in the group; 0: unknown */
  int64_t run_started_ms;  /* when its own statement was sent; 0: not yet */
  uint32_t running;        /* statements at the target then, with it */
  double run_ms;           /* of its own statement; 0: unknown */
  int64_t behind_since_ms; /* since when it waits for its floor; 0: not */
  SsStep step;
  GBytes *wire; /* result to return, from this or an earlier step */
  char *tag;
  char sqlstate[6];
  char transaction_status;
  SsPosition commit;
  SsPosition applied;
  int64_t received_ms;
  int64_t started_ms;
  int64_t committed_ms;
};

/* A status request that waits for a poll of the target. */
typedef struct
{
  char *vm;
  uint64_t request_id; /* repeated in the reply */
  char **identities;   /* callers to return floors for; may be NULL */
  SsPosition held;     /* position that the log must contain; offset 0: none */
  uint64_t poll;       /* answered by this poll or a later one, once it has
                          told the state */
  int64_t poll_ms;     /* earliest time of a poll for it */
  int64_t expires_ms;
} SsStatusRequest;

typedef enum
{
  SS_CONTROL_NONE,
  SS_CONTROL_POLL,
  SS_CONTROL_RAISE,
  SS_CONTROL_PROMOTE,
  SS_CONTROL_FOLLOW
} SsControlStep;

/* A round of status requests that confirms the primary's position. */
typedef struct
{
  GPtrArray *requesters; /* of SsStatusRequest, with held unset */
  GPtrArray *next;       /* arrived while the round ran; get the next round */
  bool running;
  uint64_t request_id; /* of the round's status requests */
  int64_t started_ms;
  int64_t due_ms;
  uint32_t confirmed; /* bit set of servers that showed no higher term */
  bool has_position;
  SsPosition position;
  uint64_t term;
} SsConfirmationRound;

struct SsOwnedTarget
{
  SsTarget *target;
  bool active;          /* this VM owns it now */
  uint32_t incarnation; /* of the target that the connections lead to */
  SsQueue queue;
  GPtrArray *connections;  /* not the control connection */
  SsConnectionCache cache; /* where connections belong to organisations */
  GArray *cache_view;      /* of SsCacheConnection, in connections' order */
  bool is_contested;       /* another VM may own it, too */
  bool is_substitute;      /* for VMs of its failure domain that may live */
  int64_t substitute_ms;   /* when is_substitute was determined */
  bool by_organisation; /* statements or connections of organisations remain */
  int64_t connect_after_ms;
  SsBackoff connect_backoff;
  int64_t owner_since_ms;
  uint64_t group_term; /* last seen term of the group */

  SsConnection *control;
  SsControlStep control_step;
  int64_t control_after_ms;
  SsBackoff control_backoff; /* of its connection attempts */
  int64_t control_started_ms;
  uint64_t poll;          /* sequence number of the last poll that began */
  uint64_t answered_poll; /* of the last one that has told the state */
  int64_t poll_due_ms;
  int64_t polled_ms;             /* when the last poll began */
  SsPosition applied_since_poll; /* highest one in the answers to statements
                                    that were sent since then */
  uint64_t raise_term;           /* 0: no raise is requested */
  GPtrArray *raise_requesters;
  GPtrArray *status_requests;
  GHashTable *subscribers; /* subscribers.h */
  SsServerState reported;
  int64_t reported_ms;

  SsServerSpeed speed;
  SsConcurrencyLimit limit;
  uint32_t slowness_percent; /* that was last logged or reported; 0: usual */
  bool is_slow;              /* the log says so */
  bool is_limited;           /* below the ceiling, the log says so */
  bool speed_changed;        /* since the last report */

  SsWriters writers;
  GQueue waiters;           /* jobs whose commit waits for a majority */
  SsPosition unreplicated;  /* highest commit not known to have a majority */
  bool replication_stalled; /* a commit waits too long: no new ones are taken */
  int64_t stalled_since_ms; /* since when, if replication_stalled */
  double mean_hold_ms;      /* moving average of the time until a commit is
                               replicated to a majority */
  GQueue unconfirmed;       /* jobs that wait for a confirmed primary */
  SsConfirmedPosition last_position; /* latest one reported by a response */
  uint64_t replica_requests[SS_CONFIG_SERVERS_MAX]; /* outstanding, by server */
  int64_t replica_requested_ms[SS_CONFIG_SERVERS_MAX];
  SsPosition replica_wanted[SS_CONFIG_SERVERS_MAX]; /* that it asked for */
  SsConfirmationRound round;
  SsReliance reliance; /* of the statements that it let through */
};

void ss_owner_init (SsNode *node);
void ss_owner_finish (SsNode *node);
SsOwnedTarget *ss_owner_find (SsNode *node, const char *target);
/* ss_owner_update: starts or stops owning targets after a change of the
 * configuration or of the live VMs.
 */
void ss_owner_update (SsNode *node);
void ss_owner_cancel (SsNode *node, const char *from, uint64_t request);
void ss_owner_session_end (SsNode *node, const char *vm,
                           const Ss__Peer__SessionEnd *end);
void ss_owner_vm_lost (SsNode *node, const char *vm);
void ss_owner_ready (SsNode *node, uint64_t connection);
/* ss_owner_closed: handles EVENT, a TARGET_CLOSED. */
void ss_owner_closed (SsNode *node, const SsEvent *event);
void ss_owner_tick (SsNode *node);
/* ss_owner_unreachable: handles a target that does not answer.  Refuses queued
 * statements and gives up running reads.
 */
void ss_owner_unreachable (SsNode *node, SsOwnedTarget *owned);
/* What runs or waits at the targets that this VM owns or has owned. */
typedef struct
{
  uint32_t queued;
  uint32_t unconfirmed;  /* wait for a confirmed primary */
  uint32_t running;      /* or for their connection to open */
  uint32_t transactions; /* between two statements, or rolling back */
  uint32_t commits;      /* wait for a majority */
} SsOwnerLoad;

void ss_owner_load (SsNode *node, SsOwnerLoad *load);
bool ss_owner_is_idle (SsNode *node);
/* ss_owner_end_all: answers everything that runs or waits at the targets and
 * closes their connections, as this VM stops.
 */
void ss_owner_end_all (SsNode *node);

/* --- job.c and job_result.c: statements at their target --- */

void ss_job_run (SsNode *node, const char *from, const Ss__Peer__Run *run);
void ss_job_result (SsNode *node, uint64_t connection,
                    const SsTargetResult *result);

/* --- owner_speed.c: speed of the targets owned here --- */

void ss_owner_speed_init (SsOwnedTarget *owned);
void ss_owner_speed_finish (SsOwnedTarget *owned);
/* ss_owner_speed_resume: starts from the figures that the previous owner last
 * reported.
 */
void ss_owner_speed_resume (SsNode *node, SsOwnedTarget *owned);
/* ss_owner_speed_started: the statement of C's job itself is sent. */
void ss_owner_speed_started (SsNode *node, SsConnection *c);
/* ss_owner_speed_result: RESULT for the last statement sent on C. */
void ss_owner_speed_result (SsNode *node, SsConnection *c,
                            const SsTargetResult *result);
/* ss_owner_speed_lost: no answer came to the statement of JOB. */
void ss_owner_speed_lost (SsNode *node, const SsJob *job);
/* ss_owner_speed_limit: returns how many statements at once OWNED takes well,
 * at most CEILING.
 */
uint32_t ss_owner_speed_limit (SsNode *node, const SsOwnedTarget *owned,
                               uint32_t ceiling);
/* ss_owner_speed_fill: sets the learned figures of STATE. */
void ss_owner_speed_fill (SsNode *node, const SsOwnedTarget *owned,
                          SsServerState *state);
void ss_owner_speed_tick (SsNode *node, SsOwnedTarget *owned);

/* --- quorum.c: commits replicated to a majority, confirmed positions --- */

/* ss_quorum_request_status: requests T's state from its owner, from a poll that
 * begins after the request.
 */
void ss_quorum_request_status (SsNode *node, SsTarget *t);
/* ss_quorum_lease_obtained: called when a lease on GROUP's primary is obtained.
 */
void ss_quorum_lease_obtained (SsNode *node, SsGroup *group);
/* ss_quorum_confirm: queues JOB once the primary is confirmed, or refuses it;
 * takes ownership of JOB.
 */
void ss_quorum_confirm (SsNode *node, SsJob *job);
/* ss_quorum_position: sets *POSITION to the primary's position from its last
 * response, and *AGE_MS to the milliseconds since that request was sent.
 * Returns false if the response can't stand for a confirmed position.
 */
bool ss_quorum_position (SsNode *node, SsOwnedTarget *owned,
                         SsPosition *position, uint32_t *age_ms);
/* ss_quorum_note_position: records POSITION, reported in the primary's response
 * to a statement that was sent at SENT_MS.
 */
void ss_quorum_note_position (SsNode *node, SsOwnedTarget *owned,
                              int64_t sent_ms, SsPosition position);
/* ss_quorum_wait: answers JOB once its commit is replicated to a majority, is
 * superseded by a later term, or JOB's deadline passes; takes ownership of JOB.
 */
void ss_quorum_wait (SsNode *node, SsJob *job);
/* ss_quorum_check: answers the commits that wait at GROUP's servers owned here
 * and whose outcome is known, and requests the replicas' status for the rest.
 */
void ss_quorum_check (SsNode *node, SsGroup *group);
void ss_quorum_tick (SsNode *node, SsOwnedTarget *owned);
/* ss_quorum_end_commits: answers all commits that wait at OWNED as ones that
 * may be lost, for REASON.
 */
void ss_quorum_end_commits (SsNode *node, SsOwnedTarget *owned,
                            SsReason reason);
/* ss_quorum_stalled_ms: returns for how long the commits of OWNED have reached
 * no majority, or 0.
 */
uint32_t ss_quorum_stalled_ms (const SsNode *node, const SsOwnedTarget *owned);
void ss_quorum_handle_mark_ask (SsNode *node, const char *from,
                                const Ss__Peer__MarkAsk *request);
/* ss_quorum_handle_status: handles the reply to this VM's status request
 * REQUEST_ID. */
void ss_quorum_handle_status (SsNode *node, SsTarget *target,
                              uint64_t request_id, const SsServerState *state);

/* --- target_monitor.c: state and role of a target that this VM owns --- */

void ss_target_monitor_tick (SsNode *node, SsOwnedTarget *owned);
void ss_target_monitor_ready (SsNode *node, SsOwnedTarget *owned);
void ss_target_monitor_closed (SsNode *node, SsOwnedTarget *owned,
                               bool refused);
void ss_target_monitor_result (SsNode *node, SsOwnedTarget *owned,
                               const SsTargetResult *result);
void ss_target_monitor_handle_status_ask (SsNode *node, const char *from,
                                          const Ss__Peer__StatusAsk *request);
/* ss_target_monitor_subscribe: starts or renews the subscription of VM, which
 * sent it at SENT_MS by its own clock.
 */
void ss_target_monitor_subscribe (SsNode *node, SsOwnedTarget *owned,
                                  const char *vm, int64_t sent_ms);
/* ss_target_monitor_answer_requests: answers the status requests that the
 * target's state satisfies or that have expired.
 */
void ss_target_monitor_answer_requests (SsNode *node, SsOwnedTarget *owned);
void ss_target_monitor_handle_raise_ask (SsNode *node, const char *from,
                                         const Ss__Peer__RaiseAsk *request);
/* ss_target_monitor_poll_soon: polls at once, or after the statement that is
 * running.
 */
void ss_target_monitor_poll_soon (SsNode *node, SsOwnedTarget *owned);

#endif
