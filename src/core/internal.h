/* internal: declarations that the modules of the core share. */
#ifndef SS_INTERNAL_H
#define SS_INTERNAL_H

#include "core/promotion.h"
#include "core/node.h"
#include "core/queue.h"
#include "core/replay.h"
#include "core/writers.h"
#include "proto/peer.pb-c.h"

/* Retry-after hints to callers, in milliseconds. */
#define SS_RETRY_SOON_MS 100
#define SS_RETRY_PROMOTION_MS 250

typedef Ss__Peer__Envelope SsEnvelope;

/* --- actions and messages (message.c) --- */

/* ss_node_push: appends an action of KIND to the node's output and returns it
 * to be filled in.
 */
SsAction *ss_node_push (SsNode *node, SsActionKind kind);
/* ss_node_log: logs EVENT of SUBJECT with the formatted detail, unless the rate
 * limit of EVENT is reached.
 */
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
/* ss_node_update_state: records STATE of TARGET, which was requested AGE_MS
 * milliseconds ago, unless a later one is known.
 */
void ss_node_update_state (SsNode *node, SsTarget *target,
                           const SsServerState *state, uint32_t age_ms);

/* --- entry.c: sessions and their requests --- */

typedef struct SsRequest SsRequest;

/* What a request waits for before it is routed. */
typedef enum
{
  SS_WAIT_NONE,
  SS_WAIT_CONFIRMED, /* a confirmed position of the primary */
  SS_WAIT_STATUS,    /* the first state report of the group's servers */
  SS_WAIT_PRIMARY    /* a usable primary, during a failover */
} SsWait;

typedef struct
{
  uint64_t id;
  char *service;
  char *user;
  char *kind; /* write, session, strict or one of the service's kinds of read;
                 NULL: the service's default */
  char *request_key; /* idempotency key; NULL: none */
  char *trace;       /* trace id; NULL: a new one for each request */
  int64_t deadline_ms;
  SsPosition floor; /* minimum position that its reads must see */
  bool floor_known;
  uint64_t open_seq; /* SsConfirmedPositions.last_seq when the session opened:
                        later confirmed positions cover what came before it */
  char *floor_group; /* the group whose log floor refers to; NULL: not known
                        before the first statement */
  SsSessionState state; /* settings and prepared statements, where the dialect
                           multiplexes sessions */
  bool begin_due;       /* BEGIN is sent with the next statement */
  bool begin_is_read;
  bool begin_wrote; /* a statement of the transaction may have written */
  uint64_t
      begin_seq; /* SsConfirmedPositions.last_seq when the transaction began */
  char status;   /* I: idle, T: in a transaction, E: in a failed one */
  char *pinned_vm; /* while a transaction is open */
  char *pinned_target;
  bool pinned_is_read;
  uint64_t transaction; /* while pinned: id of the request that opened it */
  bool loss_unreported; /* the transaction was lost between two statements and
                           the caller does not know yet */
  SsRequest *request;
} SsSession;

#define SS_REQUEST_RETRIES_MAX 4

/* A statement of a caller, at its entry VM. */
struct SsRequest
{
  uint64_t id; /* of the current attempt; each attempt has its own */
  SsSession *session;
  char *label; /* the caller's id of the statement; NULL: none */
  char *sql;
  char *shape; /* SsPrepared.shape of the prepared statement that it executes;
                  NULL: none */
  bool shape_is_read;
  bool begins;  /* BEGIN is sent before it */
  bool keeps;   /* its effect may be durable: COMMIT of a transaction that may
                   have written, a write outside of a transaction, or any
                   statement if the dialect does not parse statements */
  bool confirm; /* runs only once the owner has confirmed the target as the
                   primary, after it received the request */
  bool is_read;
  int64_t staleness_ms; /* bound on staleness, from its kind; 0: the session's
                           floor counts */
  bool strict;
  uint64_t start_seq; /* SsConfirmedPositions.last_seq when it arrived, or when
                         its transaction began */
  SsPosition floor;   /* minimum position that it must see, if it is a read */
  SsWait wait;
  int64_t wait_due_ms;
  int64_t started_ms;
  int64_t deadline_ms;
  char *vm; /* owner that it was sent to; NULL: not sent */
  char *target;
  uint32_t tries;          /* failed attempts, on the targets in tried */
  SsReason refusal;        /* of the last failed attempt */
  uint32_t retry_after_ms; /* that came with it */
  char *tried[SS_REQUEST_RETRIES_MAX];
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
void ss_entry_handle_reply (SsNode *node, const char *from,
                            const Ss__Peer__RunReply *reply);
/* ss_entry_end_idle: ends up to COUNT sessions that have no request and no
 * transaction.
 */
void ss_entry_end_idle (SsNode *node, uint32_t count);
/* ss_entry_stop: ends the idle sessions, or with FORCE all sessions.  Returns
 * whether no session is left.
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

/* --- session_sql.c: SET, RESET and SHOW of session settings --- */

typedef enum
{
  SS_SETTING_STATEMENT_NONE,
  SS_SETTING_STATEMENT_SET,
  SS_SETTING_STATEMENT_SHOW,
  SS_SETTING_STATEMENT_MALFORMED
} SsSettingStatementKind;

typedef struct
{
  SsSettingStatementKind kind;
  char *name;  /* without the prefix */
  char *value; /* NULL: RESET */
} SsSettingStatement;

/* ss_session_sql_parse_setting: parses SQL where it is SET, RESET or SHOW of
 * sapphirestair.*; else the kind is SS_SETTING_STATEMENT_NONE.
 */
void ss_session_sql_parse_setting (SsSettingStatement *setting,
                                   const char *sql);
void ss_session_sql_setting_finish (SsSettingStatement *setting);
/* ss_session_sql_begins_with: whether SQL begins with WORD, in any case. */
bool ss_session_sql_begins_with (const char *sql, const char *word);
/* ss_session_sql_is_read_only_begin: whether SQL is BEGIN READ ONLY or START
 * TRANSACTION READ ONLY.
 */
bool ss_session_sql_is_read_only_begin (const char *sql);
/* ss_session_sql_ends_transaction: whether SQL is COMMIT, END, ROLLBACK or
 * ABORT. */
bool ss_session_sql_ends_transaction (const char *sql);

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

/* --- confirmed.c: confirmed positions of a group's primary --- */

#define SS_CONFIRMED_MAX 64

/* A position that was the primary's last one at requested_ms or later.  The
 * primary's owner gives it in reply to a MarkAsk, or unsolicited.
 */
typedef struct
{
  bool known;
  uint64_t seq; /* of the last request that was answered; 0: none */
  int64_t requested_ms;
  SsPosition position;
} SsConfirmedPosition;

typedef struct
{
  char *group;
  SsConfirmedPosition latest;
  SsConfirmedPosition
      ring[SS_CONFIRMED_MAX]; /* spaced by a minimum time, oldest first */
  uint32_t count;
  uint64_t last_seq; /* sequence number of the last request sent */
  int64_t last_sent_ms;
  GPtrArray *identities; /* callers whose floors the last request asks for */
  GHashTable *floors;    /* identity -> SsPosition, of the last reply */
  bool outstanding;
  bool requested_again; /* send another one after the outstanding one */
} SsConfirmedPositions;

/* ss_confirmed_get: returns the confirmed positions of GROUP, created if
 * needed. */
SsConfirmedPositions *ss_confirmed_get (SsNode *node, const char *group);
/* ss_confirmed_request: requests a new confirmed position from the primary's
 * owner. */
void ss_confirmed_request (SsNode *node, SsConfirmedPositions *confirmed);
/* ss_confirmed_handle_unsolicited: takes an unsolicited POSITION from the
 * primary's owner, which asked the primary AGE_MS ago.
 */
void ss_confirmed_handle_unsolicited (SsNode *node, const char *group,
                                      SsPosition position, uint32_t age_ms);
void ss_confirmed_handle_reply (SsNode *node, const Ss__Peer__MarkReply *reply);
/* ss_confirmed_since: sets *FOUND to the oldest confirmed position requested at
 * SINCE_MS or later; returns false where there is none.
 */
bool ss_confirmed_since (const SsConfirmedPositions *confirmed,
                         int64_t since_ms, SsConfirmedPosition *found);
/* ss_confirmed_floor: returns the minimum position for reads of IDENTITY: its
 * last write as of the latest reply, or the latest confirmed position where the
 * reply does not name it or IDENTITY is empty.
 */
SsPosition ss_confirmed_floor (const SsConfirmedPositions *confirmed,
                               const char *identity);
void ss_confirmed_free (gpointer confirmed);
/* ss_confirmed_retry: repeats the request if it got no reply in time. */
void ss_confirmed_retry (SsNode *node, SsConfirmedPositions *confirmed);

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
  bool holds_slot; /* counts as running in the queue */
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
  uint64_t request_id; /* repeated in the reply */
  char **identities;   /* callers to return floors for; may be NULL */
  SsPosition held;     /* position that the log must contain; offset 0: none */
  uint64_t poll;       /* answered by this poll or a later one */
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
  GPtrArray *raise_requesters;
  GPtrArray *status_requests;
  GHashTable *subscribers; /* VM -> expiry in ms */
  SsServerState reported;
  int64_t reported_ms;

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
bool ss_owner_is_idle (SsNode *node);

/* --- job.c and job_result.c: statements at their target --- */

void ss_job_run (SsNode *node, const char *from, const Ss__Peer__Run *run);
void ss_job_result (SsNode *node, uint64_t connection,
                    const SsTargetResult *result);

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
void ss_target_monitor_handle_subscribe (SsNode *node, const char *from,
                                         const Ss__Peer__Subscribe *subscribe);
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

/* --- relay.c: failure detection through relays, for many VMs --- */

void ss_relay_init (SsNode *node);
void ss_relay_finish (SsNode *node);
/* ss_relay_send_heartbeat: sends HEARTBEAT to this VM's relays, each with the
 * hash of the last full list from that relay.  If this VM is a relay, also
 * sends reports to the relays of other failure domains.
 */
void ss_relay_send_heartbeat (SsNode *node, SsEnvelope *heartbeat);
/* ss_relay_send_digest: answers a heartbeat of VM with a digest, which is full
 * unless VM has the one with KNOWN_HASH.
 */
void ss_relay_send_digest (SsNode *node, const char *vm, uint64_t known_hash);
void ss_relay_handle_digest (SsNode *node, const char *from,
                             const Ss__Peer__Digest *digest);
void ss_relay_handle_report (SsNode *node, const char *from,
                             const Ss__Peer__DomainReport *report);

/* --- relay_views.c: which VMs the relays report as live --- */

void ss_relay_views_init (SsNode *node);
void ss_relay_views_finish (SsNode *node);
/* ss_relay_views_hash: returns the hash of the last full list from VM, or 0. */
uint64_t ss_relay_views_hash (const SsNode *node, const char *vm);
/* ss_relay_views_store: stores a full list from FROM, a relay of
 * FAILURE_DOMAIN.  A VM that was in its previous list, and that no relay there
 * lists now, is dead.
 */
void ss_relay_views_store (SsNode *node, const char *from,
                           const char *failure_domain, uint64_t hash,
                           Ss__Peer__VmState **vms, size_t count);
/* ss_relay_views_refresh: records that FROM's last list is still valid. REMOTE:
 * FROM is a relay of another failure domain.
 */
void ss_relay_views_refresh (SsNode *node, const char *from, bool remote);

/* --- startup.c: callers that connect during start-up --- */

void ss_startup_init (SsNode *node);
void ss_startup_finish (SsNode *node);
void ss_startup_tick (SsNode *node);

/* --- isolation.c: detection of an isolated VM --- */

/* ss_isolation_lost_majority: whether less than half of the other VMs that the
 * platform lists are live.
 */
bool ss_isolation_lost_majority (const SsNode *node);
/* ss_isolation_tick: updates whether this VM is isolated, and ends idle
 * sessions while it is.
 */
void ss_isolation_tick (SsNode *node);

/* --- peers.c: heartbeats and subscriptions --- */

void ss_peers_tick (SsNode *node);
void ss_peers_handle_heartbeat (SsNode *node,
                                const Ss__Peer__Heartbeat *heartbeat);
/* ss_peers_send_heartbeat: sends a heartbeat at once. */
void ss_peers_send_heartbeat (SsNode *node);
/* ss_peers_add_member: adds VM or updates its address. */
SsMember *ss_peers_add_member (SsNode *node, const char *vm,
                               const char *failure_domain, const char *ip,
                               uint16_t port);

/* --- watch.c: watches on the platform --- */

/* ss_watch_handle_objects: handles the response to a watch or list request. */
void ss_watch_handle_objects (SsNode *node, const SsEvent *event);
/* ss_watch_handle_vms: handles the platform's list of VMs, a JSON array. */
void ss_watch_handle_vms (SsNode *node, const char *json, uint32_t json_bytes);
/* ss_watch_is_active: whether this VM watches the platform itself. */
bool ss_watch_is_active (SsNode *node);

/* --- config_sync.c: configuration exchange between VMs --- */

void ss_config_sync_handle_pull (SsNode *node, const char *from,
                                 const Ss__Peer__ConfigPull *pull);
void ss_config_sync_handle_push (SsNode *node, const char *from,
                                 const Ss__Peer__ConfigPush *push);
/* ss_config_sync_publish: adopts OBJECT if it is newer, and then forwards it to
 * all peers.
 */
void ss_config_sync_publish (SsNode *node, const SsObject *object);
/* ss_config_sync_pull_all: requests all objects that VM stores. */
void ss_config_sync_pull_all (SsNode *node, const char *vm);

/* --- directory.c: the VM directory at the platform --- */

void ss_directory_tick (SsNode *node);
/* ss_directory_apply: applies OBJECT, an adopted object vm/NAME. */
void ss_directory_apply (SsNode *node, const SsObject *object);
/* ss_directory_handle_object: handles the outcome of a write of a VM's object.
 */
void ss_directory_handle_object (SsNode *node, SsPlatformOutcome outcome,
                                 const SsObject *object);
/* ss_directory_has_holder: whether the object of another VM that is not in
 * RELEASED lists a lease on GROUP.
 */
bool ss_directory_has_holder (const SsNode *node, const char *group,
                              GHashTable *released);
/* ss_directory_deregister: deletes this VM's object, on shutdown. */
void ss_directory_deregister (SsNode *node);

/* ss_node_begin_shutdown: begins the graceful shutdown of this VM. */
void ss_node_begin_shutdown (SsNode *node);

/* --- admin.c and admin_show.c: operator commands --- */

void ss_admin_init (SsNode *node);
void ss_admin_finish (SsNode *node);
/* ss_admin_handle_command: runs TEXT as operator request ID; refuses commands
 * that change anything unless MAY_CHANGE.
 */
void ss_admin_handle_command (SsNode *node, uint64_t id, const char *text,
                              bool may_change);
/* ss_admin_handle_object: handles the outcome of platform call CALL; ignores
 * calls of other modules.
 */
void ss_admin_handle_object (SsNode *node, uint64_t call,
                             SsPlatformOutcome outcome, const SsObject *object);
/* ss_admin_handle_promotion: answers the operator command CALL, whose promotion
 * has ended.
 */
void ss_admin_handle_promotion (SsNode *node, uint64_t call, SsVerdict verdict,
                                const char *message, int64_t version);
void ss_admin_show_handle_rows_ask (SsNode *node, const char *from,
                                    const Ss__Peer__RowsAsk *request);
void ss_admin_show_handle_rows_reply (SsNode *node, const char *from,
                                      const Ss__Peer__RowsReply *reply);
void ss_admin_handle_stop_ask (SsNode *node, const char *from,
                               const Ss__Peer__StopAsk *request);
void ss_admin_handle_stop_reply (SsNode *node,
                                 const Ss__Peer__StopReply *reply);
void ss_admin_tick (SsNode *node);

#endif
