/* internal: declarations that the modules of the core share. */
#ifndef SS_INTERNAL_H
#define SS_INTERNAL_H

#include "core/change.h"
#include "core/node.h"
#include "core/queue.h"
#include "core/replay.h"
#include "core/writers.h"
#include "proto/peer.pb-c.h"

/* Retry-after hints to callers. */
#define SS_RETRY_SOON_MS 100
#define SS_RETRY_PROMOTION_MS 250

typedef Ss__Peer__Envelope SsEnvelope;

/* --- actions and messages (message.c) --- */

SsAction *ss_node_push (SsNode *node, SsActionKind kind);
void ss_node_log (SsNode *node, SsLogEvent event, const char *subject,
                  const char *format, ...) G_GNUC_PRINTF (4, 5);
static inline void
ss_node_count (SsNode *node, SsCounterId id)
{
  node->counters.values[id]++;
}

/* ss_node_send: serializes ENVELOPE and sends it to VM, which may be this one.
 */
void ss_node_send (SsNode *node, const char *vm, SsEnvelope *envelope);
SsPosition ss_position_unpack (const Ss__Peer__Position *position);
void ss_position_pack (Ss__Peer__Position *out, SsPosition position);
void ss_state_unpack (const Ss__Peer__ServerState *in, SsServerState *out);

/* ss_node_owner: returns the VM that owns TARGET, or NULL. */
const char *ss_node_owner (SsNode *node, SsTarget *target);
bool ss_node_is_owner (SsNode *node, SsTarget *target);
/* ss_node_take_state: records STATE of TARGET, which was requested AGE_MS
 * milliseconds ago, unless a later one is known.
 */
void ss_node_take_state (SsNode *node, SsTarget *target,
                         const SsServerState *state, uint32_t age_ms);

/* --- entry.c: sessions and their requests --- */

typedef struct SsRequest SsRequest;

/* What a request waits for before it is routed. */
typedef enum
{
  SS_WAIT_NONE,
  SS_WAIT_MARK,   /* a confirmed position of the primary */
  SS_WAIT_VIEW,   /* the first status report of the group's servers */
  SS_WAIT_PRIMARY /* a failover that is under way */
} SsWait;

typedef struct
{
  uint64_t id;
  char *service;
  char *user;
  char *kind; /* write, session, strict or one of the service's kinds of read;
                 NULL: the service's default */
  bool strict;
  char *request_key; /* idempotency key; NULL: none */
  char *trace;       /* trace id; NULL: a new one for each request */
  int64_t deadline_ms;
  SsPosition floor; /* minimum position that its reads must see */
  bool floor_known;
  uint64_t open_seq;    /* SsMarks.last_seq when the session opened: later
                           confirmed positions cover what came before it */
  char *floor_group;    /* the group whose log floor refers to; NULL: none */
  SsSessionState state; /* settings and prepared statements, where the dialect
                           tracks sessions */
  bool begin_due;       /* BEGIN is sent with the next statement */
  bool begin_is_read;
  bool begin_wrote;   /* a statement of the transaction may have written */
  uint64_t begin_seq; /* SsMarks.last_seq when the transaction began */
  char status;        /* I: idle, T: in a transaction, E: in a failed one */
  char *pinned_vm;    /* while a transaction is open */
  char *pinned_target;
  bool pinned_is_read;
  uint64_t transaction; /* while pinned: id of the request that opened it */
  bool loss_unreported; /* the transaction was lost between two statements and
                           the caller does not know yet */
  SsRequest *request;
} SsSession;

#define SS_REQUEST_TRIES_MAX 4

struct SsRequest
{
  uint64_t id; /* of the current try; each try has its own */
  SsSession *session;
  char *label; /* the caller's id of the statement; NULL: none */
  char *sql;
  char *shape; /* of the prepared statement that it executes; NULL: none */
  bool shape_is_read;
  bool begins;  /* BEGIN is sent before it */
  bool keeps;   /* its effect may be durable: COMMIT, or a write outside of a
                   transaction */
  bool confirm; /* runs only after the target was confirmed as the primary,
                   later than the request arrived */
  bool is_read;
  int64_t staleness_ms; /* bound of its kind; 0: the session's floor counts */
  bool strict;
  uint64_t start_seq; /* SsMarks.last_seq when it arrived */
  SsPosition floor;
  SsWait wait;
  int64_t wait_due_ms;
  int64_t started_ms;
  int64_t deadline_ms;
  char *vm; /* owner that it was sent to; NULL: not sent */
  char *target;
  uint32_t tries; /* that failed, on the targets in tried */
  char *tried[SS_REQUEST_TRIES_MAX];
  char trace[33];
};

void ss_entry_init (SsNode *node);
void ss_entry_finish (SsNode *node);
void ss_entry_open (SsNode *node, uint64_t caller, const char *service,
                    const char *user, const char *const *settings);
/* ss_entry_statement: LABEL is the caller's id of the statement, or NULL. */
void ss_entry_statement (SsNode *node, uint64_t caller, const char *label,
                         const char *sql);
void ss_entry_cancel (SsNode *node, uint64_t caller);
void ss_entry_close (SsNode *node, uint64_t caller);
void ss_entry_reply (SsNode *node, const char *from,
                     const Ss__Peer__RunReply *reply);
/* ss_entry_end_idle: ends up to COUNT sessions that have no request and no
 * transaction.
 */
void ss_entry_end_idle (SsNode *node, uint32_t count);
/* ss_entry_stop: ends idle sessions, or all with FORCE.  Returns whether none
 * is left.
 */
bool ss_entry_stop (SsNode *node, bool force);
/* ss_entry_uses_group: whether a session here has used GROUP. */
bool ss_entry_uses_group (SsNode *node, const char *group);

/* --- pending.c: requests that are under way --- */

/* ss_pending_vm_lost: retries or abandons the requests sent to VM, and marks
 * the transactions pinned there as lost.
 */
void ss_pending_vm_lost (SsNode *node, const char *vm);
/* ss_pending_superseded: abandons the writes and the transactions at the
 * previous primary of GROUP, which has a higher term now: they can't be
 * acknowledged any more.
 */
void ss_pending_superseded (SsNode *node, const SsGroup *group);
/* ss_pending_identities: adds to OUT the identities of the callers of GROUP
 * that wait for a confirmed position.
 */
void ss_pending_identities (SsNode *node, const char *group, GPtrArray *out);
/* ss_pending_wake: routes the requests of GROUP that wait for WAIT. */
void ss_pending_wake (SsNode *node, const char *group, SsWait wait);
void ss_pending_tick (SsNode *node);

/* --- local.c: SET, RESET and SHOW of session settings --- */

typedef enum
{
  SS_LOCAL_NONE,
  SS_LOCAL_SET,
  SS_LOCAL_SHOW,
  SS_LOCAL_MALFORMED
} SsLocalKind;

typedef struct
{
  SsLocalKind kind;
  char *name;  /* without the prefix */
  char *value; /* NULL: RESET */
} SsLocal;

/* ss_local_init: parses SQL where it is SET, RESET or SHOW of
 * sapphirestair.*; else the kind is SS_LOCAL_NONE.
 */
void ss_local_init (SsLocal *setting, const char *sql);
void ss_local_finish (SsLocal *setting);
/* ss_local_first_word: whether SQL begins with WORD, in any case. */
bool ss_local_first_word (const char *sql, const char *word);
/* ss_local_is_read_only: whether SQL is BEGIN READ ONLY or START TRANSACTION
 * READ ONLY.
 */
bool ss_local_is_read_only (const char *sql);
/* ss_local_ends_transaction: whether SQL is COMMIT, END, ROLLBACK or ABORT. */
bool ss_local_ends_transaction (const char *sql);

/* --- choice.c: selects the server for a read or a write --- */

/* ss_choice_read: returns a server of GROUP that is not among TRIED and has
 * applied FLOOR, or NULL.  Prefers replicas; returns the primary only where no
 * replica qualifies.
 */
SsTarget *ss_choice_read (SsNode *node, SsGroup *group, SsPosition floor,
                          char *const *tried, uint32_t tried_count);
/* ss_choice_checked_read: returns the server of GROUP with the lowest expected
 * response time for R, or NULL.  Its target checks the floor itself, so a
 * replica that is slightly behind qualifies too.
 */
SsTarget *ss_choice_checked_read (SsNode *node, const SsRequest *r,
                                  SsGroup *group);
/* ss_choice_write: returns the primary of GROUP, or NULL where it is not
 * usable.
 */
SsTarget *ss_choice_write (SsNode *node, SsGroup *group);

/* --- predict.c: when a group has a primary again --- */

/* ss_predict_primary: whether GROUP is expected to have a primary before
 * DEADLINE_MS.  Sets *UNTIL_MS to the expected time.  Both are times of the
 * node's clock in milliseconds.
 */
bool ss_predict_primary (SsNode *node, const SsGroup *group,
                         int64_t deadline_ms, int64_t *until_ms);

/* --- marks.c: confirmed positions of a group's primary --- */

#define SS_MARKS_MAX 64

/* A position that was the primary's last one at asked_ms or later. */
typedef struct
{
  uint64_t seq; /* of the request that it answers; 0: there is none yet */
  int64_t asked_ms;
  SsPosition position;
} SsMark;

typedef struct
{
  char *group;
  SsMark latest;
  SsMark ring[SS_MARKS_MAX]; /* at a minimum distance in time, oldest first */
  uint32_t count;
  uint64_t last_seq; /* number of the last request sent */
  int64_t last_sent_ms;
  GPtrArray *identities; /* callers whose floors the last request asks for */
  GHashTable *floors;    /* identity -> SsPosition, of the last reply */
  bool outstanding;
  bool requested_again; /* send another one after the outstanding one */
} SsMarks;

/* ss_marks_get: returns the confirmed positions of GROUP, created if needed. */
SsMarks *ss_marks_get (SsNode *node, const char *group);
/* ss_marks_ask: requests a new confirmed position from the primary's owner. */
void ss_marks_ask (SsNode *node, SsMarks *confirmed);
/* ss_marks_told: takes an unsolicited POSITION from the primary's owner, which
 * asked the primary AGE_MS ago.
 */
void ss_marks_told (SsNode *node, const char *group, SsPosition position,
                    uint32_t age_ms);
void ss_marks_reply (SsNode *node, const Ss__Peer__MarkReply *reply);
/* ss_marks_within: sets *FOUND to the oldest confirmed position requested at
 * SINCE_MS or later; returns false where there is none.
 */
bool ss_marks_within (const SsMarks *confirmed, int64_t since_ms,
                      SsMark *found);
/* ss_marks_floor: returns the minimum position for reads of IDENTITY: its last
 * write as of the latest reply, or the latest confirmed position where the
 * reply does not name it or IDENTITY is empty.
 */
SsPosition ss_marks_floor (const SsMarks *confirmed, const char *identity);
void ss_marks_free (gpointer confirmed);
/* ss_marks_retry: repeats a request that got no reply in time. */
void ss_marks_retry (SsNode *node, SsMarks *confirmed);

/* --- owner.c: connections and statements at the targets owned here --- */

typedef struct SsOwned SsOwned;
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
  SsOwned *owned;
  SsConnectionState state;
  bool is_control;
  bool holds_slot; /* counts as running in the queue */
  SsQueueClass queue_class;
  SsJob *job;
  char *vm; /* of the session that it is pinned to */
  uint64_t session;
  uint64_t transaction; /* if pinned: the request that opened it */
  int64_t since_ms;
  SsSessionState held; /* session state on this connection */
  GQueue due;          /* statements to send before the job's, owned */
  char *prelude;       /* copy of the last one sent from due */
  bool rolls_back;     /* a ROLLBACK is in flight */
  int64_t again_ms;    /* when to resend the job's statement; 0: never */
  int64_t sent_ms;     /* when its last statement was sent */
} SsConnection;

typedef enum
{
  SS_STEP_PLAIN,
  SS_STEP_CLAIM,
  SS_STEP_RECORD,
  SS_STEP_COMMIT,
  SS_STEP_REPLAY,
  SS_STEP_ROLLBACK,
  SS_STEP_PRELUDE /* session state replay and BEGIN */
} SsStep;

struct SsJob
{
  SsQueueItem item; /* first member: cast from SsQueueItem */
  SsOwned *owned;
  SsConnection *connection; /* NULL: not running */
  uint64_t request;
  char *vm;
  uint64_t session;
  char *service;
  char *sql;
  char *key; /* idempotency key, or NULL */
  char *trace;
  char *identity;
  char *label;
  char **values; /* session settings: name, value, ..., NULL */
  char *shape;   /* of the prepared statement to run, or NULL */
  bool shape_is_read;
  bool begins;
  bool transaction_is_read;
  bool keeps;
  bool pinned;  /* belongs to an open transaction */
  bool confirm; /* run only if the primary is confirmed later */
  bool sent;    /* the target may have run the statement */
  bool is_read;
  SsPosition floor;
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
  uint64_t ask;
  char **identities; /* callers to return floors for; may be NULL */
  SsPosition held;
  uint64_t poll;   /* answered by this poll or a later one */
  int64_t poll_ms; /* earliest time of a poll for it */
  int64_t expires_ms;
} SsAsk;

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
  GPtrArray *askers; /* of SsAsk, with held unset */
  GPtrArray *next;   /* arrived while the round ran; get the next round */
  bool running;
  uint64_t ask;
  int64_t started_ms;
  int64_t due_ms;
  uint32_t confirmed; /* bit set of servers that showed no higher term */
  bool has_position;
  SsPosition position;
  uint64_t term;
} SsRound;

struct SsOwned
{
  SsTarget *target;
  bool active; /* this VM owns it now */
  SsQueue queue;
  GPtrArray *connections; /* not the control connection */
  int64_t connect_after_ms;
  int64_t owner_since_ms;
  uint64_t group_term; /* last seen term of the group */

  SsConnection *control;
  SsControlStep control_step;
  int64_t control_after_ms;
  int64_t control_started_ms;
  uint64_t poll; /* sequence number of the last poll */
  int64_t poll_due_ms;
  int64_t polled_ms;   /* when the last poll began */
  uint64_t raise_term; /* 0: no raise is requested */
  GPtrArray *raise_vms;
  GPtrArray *asks;
  GHashTable *subscribers; /* VM -> expiry in ms */
  SsServerState reported;
  int64_t reported_ms;

  SsWriters writers;
  GQueue waiters;     /* jobs whose commit waits for a majority */
  SsPosition unheld;  /* highest commit not known to be replicated */
  bool stuck;         /* replication stalled: no new commits are taken */
  GQueue unconfirmed; /* jobs that wait for a confirmed primary */
  SsMark seen;        /* latest position reported by an answer */
  uint64_t held_asks[SS_CONFIG_SERVERS_MAX]; /* outstanding, by server */
  int64_t held_asked_ms[SS_CONFIG_SERVERS_MAX];
  SsRound round;
};

void ss_owner_init (SsNode *node);
void ss_owner_finish (SsNode *node);
SsOwned *ss_owner_find (SsNode *node, const char *target);
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
void ss_owner_unreachable (SsNode *node, SsOwned *owned);
bool ss_owner_is_idle (SsNode *node);

/* --- job.c and outcome.c: statements at their target --- */

void ss_job_run (SsNode *node, const char *from, const Ss__Peer__Run *run);
void ss_outcome_result (SsNode *node, uint64_t connection,
                        const SsTargetResult *result);

/* --- hold.c: commits replicated to a majority, confirmed positions --- */

/* ss_hold_ask_status: requests T's state from its owner, from a poll that
 * begins after the request.
 */
void ss_hold_ask_status (SsNode *node, SsTarget *t);
/* ss_hold_leased: called when a lease on GROUP's primary is obtained. */
void ss_hold_leased (SsNode *node, SsGroup *group);
/* ss_hold_confirm: queues JOB once the primary is confirmed, or refuses it;
 * takes ownership of JOB.
 */
void ss_hold_confirm (SsNode *node, SsJob *job);
/* ss_hold_position: sets *POSITION to the primary's position from its last
 * response, and *AGE_MS to the age of that request in milliseconds.  Returns
 * false if the response can't stand for a confirmed position.
 */
bool ss_hold_position (SsNode *node, SsOwned *owned, SsPosition *position,
                       uint32_t *age_ms);
/* ss_hold_note: records POSITION, reported in the primary's response to a
 * statement that was sent at SENT_MS.
 */
void ss_hold_note (SsNode *node, SsOwned *owned, int64_t sent_ms,
                   SsPosition position);
/* ss_hold_wait: answers JOB once its commit is replicated to a majority, is
 * superseded by a later term, or JOB's deadline passes; takes ownership of JOB.
 */
void ss_hold_wait (SsNode *node, SsJob *job);
void ss_hold_check (SsNode *node, SsGroup *group);
void ss_hold_tick (SsNode *node, SsOwned *owned);
void ss_hold_round_ask (SsNode *node, const char *from,
                        const Ss__Peer__MarkAsk *ask);
/* ss_hold_report: handles the response to this VM's status request ASK. */
void ss_hold_report (SsNode *node, SsTarget *target, uint64_t ask,
                     const SsServerState *state);

/* --- monitor.c: the control connection of a target that this VM owns --- */

void ss_monitor_tick (SsNode *node, SsOwned *owned);
void ss_monitor_ready (SsNode *node, SsOwned *owned);
void ss_monitor_closed (SsNode *node, SsOwned *owned, bool refused);
void ss_monitor_result (SsNode *node, SsOwned *owned,
                        const SsTargetResult *result);
void ss_monitor_ask (SsNode *node, const char *from,
                     const Ss__Peer__StatusAsk *ask);
void ss_monitor_subscribe (SsNode *node, const char *from,
                           const Ss__Peer__Subscribe *subscribe);
/* ss_monitor_answer: answers the status requests that the target's state
 * satisfies or that have expired.
 */
void ss_monitor_answer (SsNode *node, SsOwned *owned);
void ss_monitor_raise (SsNode *node, const char *from,
                       const Ss__Peer__RaiseAsk *ask);
/* ss_monitor_poll_soon: polls at once, or after the statement that is running.
 */
void ss_monitor_poll_soon (SsNode *node, SsOwned *owned);

/* --- relay.c: failure detection through relays, for many VMs --- */

void ss_relay_init (SsNode *node);
void ss_relay_finish (SsNode *node);
/* ss_relay_beat: sends the heartbeat BEAT to the relays, and reports to other
 * relays if this VM is one.
 */
void ss_relay_beat (SsNode *node, SsEnvelope *beat);
/* ss_relay_answer: answers a heartbeat of VM with a digest, which is full
 * unless VM has the one with KNOWN_HASH.
 */
void ss_relay_answer (SsNode *node, const char *vm, uint64_t known_hash);
void ss_relay_digest (SsNode *node, const char *from,
                      const Ss__Peer__Digest *digest);
void ss_relay_report (SsNode *node, const char *from,
                      const Ss__Peer__DomainReport *report);

/* --- views.c: which VMs the relays report as live --- */

void ss_views_init (SsNode *node);
void ss_views_finish (SsNode *node);
/* ss_views_hash: returns the hash of the last full list from VM, or 0. */
uint64_t ss_views_hash (const SsNode *node, const char *vm);
/* ss_views_keep: stores a full list from FROM, a relay of FAILURE_DOMAIN.  A VM
 * that was in its previous list, and that no relay there lists now, is dead.
 */
void ss_views_keep (SsNode *node, const char *from, const char *failure_domain,
                    uint64_t hash, Ss__Peer__VmState **vms, size_t count);
/* ss_views_refresh: records that FROM's last list is still valid.  REMOTE: FROM
 * is a relay of another failure domain.
 */
void ss_views_refresh (SsNode *node, const char *from, bool remote);

/* --- opens.c: callers that connect during start-up --- */

void ss_opens_init (SsNode *node);
void ss_opens_finish (SsNode *node);
void ss_opens_tick (SsNode *node);

/* --- isolation.c: detection of an isolated VM --- */

/* ss_isolation_lost_majority: whether less than half of the other VMs that the
 * platform lists are live.
 */
bool ss_isolation_lost_majority (const SsNode *node);
/* ss_isolation_tick: updates whether this VM is isolated, and ends idle
 * sessions while it is.
 */
void ss_isolation_tick (SsNode *node);

/* --- spread.c: heartbeats and subscriptions --- */

void ss_spread_tick (SsNode *node);
void ss_spread_heartbeat (SsNode *node, const Ss__Peer__Heartbeat *beat);
/* ss_spread_beat_now: sends a heartbeat at once. */
void ss_spread_beat_now (SsNode *node);
/* ss_spread_add_member: adds VM or updates its address. */
SsMember *ss_spread_add_member (SsNode *node, const char *vm,
                                const char *failure_domain, const char *ip,
                                uint16_t port);

/* --- feeds.c: watches on the platform --- */

/* ss_feeds_objects: handles the response to a watch or list request. */
void ss_feeds_objects (SsNode *node, const SsEvent *event);
/* ss_feeds_vms: handles the platform's list of VMs, a JSON array. */
void ss_feeds_vms (SsNode *node, const char *json, uint32_t json_bytes);
/* ss_feeds_watches: whether this VM watches the platform itself. */
bool ss_feeds_watches (SsNode *node);

/* --- adopt.c: configuration exchange between VMs --- */

void ss_adopt_pull (SsNode *node, const char *from,
                    const Ss__Peer__ConfigPull *pull);
void ss_adopt_push (SsNode *node, const char *from,
                    const Ss__Peer__ConfigPush *push);
/* ss_adopt_one: adopts OBJECT and forwards it to all peers. */
void ss_adopt_one (SsNode *node, const SsObject *object);
/* ss_adopt_pull_all: requests all objects that VM stores. */
void ss_adopt_pull_all (SsNode *node, const char *vm);

/* --- directory.c: the VM directory at the platform --- */

void ss_directory_tick (SsNode *node);
/* ss_directory_take: applies OBJECT, an adopted object vm/NAME. */
void ss_directory_take (SsNode *node, const SsObject *object);
/* ss_directory_object: handles the outcome of a write of a VM's object. */
void ss_directory_object (SsNode *node, SsPlatformOutcome outcome,
                          const SsObject *object);
/* ss_directory_has_holder: whether the object of another VM that is not in
 * RELEASED lists a lease on GROUP.
 */
bool ss_directory_has_holder (const SsNode *node, const char *group,
                              GHashTable *released);
/* ss_directory_leave: deletes this VM's object, on shutdown. */
void ss_directory_leave (SsNode *node);

/* ss_node_begin_stop: begins the graceful shutdown of this VM. */
void ss_node_begin_stop (SsNode *node);

/* --- operate.c and show.c: operator commands --- */

void ss_operate_init (SsNode *node);
void ss_operate_finish (SsNode *node);
/* ss_operate_command: runs TEXT as operator request ID; refuses commands that
 * change anything unless MAY_CHANGE.
 */
void ss_operate_command (SsNode *node, uint64_t id, const char *text,
                         bool may_change);
/* ss_operate_object: handles the outcome of platform call CALL. */
void ss_operate_object (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                        const SsObject *object);
/* ss_operate_promoted: answers the operator command CALL, whose promotion has
 * ended.
 */
void ss_operate_promoted (SsNode *node, uint64_t call, SsVerdict verdict,
                          const char *message, int64_t version);
void ss_show_rows_ask (SsNode *node, const char *from,
                       const Ss__Peer__RowsAsk *ask);
void ss_show_rows_reply (SsNode *node, const char *from,
                         const Ss__Peer__RowsReply *reply);
void ss_operate_stop_ask (SsNode *node, const char *from,
                          const Ss__Peer__StopAsk *ask);
void ss_operate_stop_reply (SsNode *node, const Ss__Peer__StopReply *reply);
void ss_operate_tick (SsNode *node);

#endif
