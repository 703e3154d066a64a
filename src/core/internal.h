/* internal: what the modules of the core share with each other. */
#ifndef SS_INTERNAL_H
#define SS_INTERNAL_H

#include "core/change.h"
#include "core/node.h"
#include "core/queue.h"
#include "core/replay.h"
#include "core/writers.h"
#include "proto/peer.pb-c.h"

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

/* What keeps a request from being routed. */
typedef enum
{
  SS_WAIT_NONE,
  SS_WAIT_MARK,   /* a confirmed position of the primary */
  SS_WAIT_VIEW,   /* a first report of the group's servers */
  SS_WAIT_PRIMARY /* a change of primary that is under way */
} SsWait;

typedef struct
{
  uint64_t id;
  char *service;
  char *user;
  char *kind; /* NULL: the service's default */
  bool strict;
  char *request_key; /* NULL: none */
  char *trace;       /* NULL: drawn for each request */
  int64_t deadline_ms;
  SsPosition floor;
  bool floor_known;
  uint64_t arrival_ask; /* marks asked for later than this cover it */
  char *floor_group;    /* whose positions floor is of; NULL: any */
  SsSessionState state; /* what it set and prepared, where sessions are kept */
  bool begin_due;       /* BEGIN is sent with the next statement */
  bool begin_is_read;
  bool begin_wrote;   /* a statement of the transaction may have written */
  uint64_t begin_ask; /* as start_ask of a request; of the transaction */
  char status;        /* I, T or E */
  char *pinned_vm;    /* while a transaction is open */
  char *pinned_target;
  bool pinned_is_read;
  uint64_t transaction; /* while pinned: the request that opened it */
  bool loss_untold;     /* its transaction was lost between two statements */
  SsRequest *request;
} SsSession;

#define SS_REQUEST_TRIES_MAX 4

struct SsRequest
{
  uint64_t id; /* of the present try */
  SsSession *session;
  char *label; /* the caller's id of it; NULL: none */
  char *sql;
  char *shape; /* of the prepared statement that it runs; NULL: none */
  bool shape_is_read;
  bool begins;  /* opens the transaction that it is in */
  bool keeps;   /* what it does may outlast it: COMMIT, or a write alone */
  bool confirm; /* the primary must be one after this came */
  bool is_read;
  int64_t staleness_ms; /* of the kind; 0: the session's floor */
  bool strict;
  uint64_t start_ask;
  SsPosition floor;
  SsWait wait;
  int64_t wait_due_ms;
  int64_t started_ms;
  int64_t deadline_ms;
  char *vm; /* sent there; NULL: not sent */
  char *target;
  uint32_t tries;
  char *tried[SS_REQUEST_TRIES_MAX];
  char trace[33];
};

void ss_entry_init (SsNode *node);
void ss_entry_finish (SsNode *node);
void ss_entry_open (SsNode *node, uint64_t caller, const char *service,
                    const char *user, const char *const *settings);
/* ss_entry_statement: LABEL is the caller's id of it, or NULL. */
void ss_entry_statement (SsNode *node, uint64_t caller, const char *label,
                         const char *sql);
void ss_entry_cancel (SsNode *node, uint64_t caller);
void ss_entry_close (SsNode *node, uint64_t caller);
void ss_entry_reply (SsNode *node, const char *from,
                     const Ss__Peer__RunReply *reply);
/* ss_entry_end_idle: ends up to COUNT sessions with nothing under way. */
void ss_entry_end_idle (SsNode *node, uint32_t count);
/* ss_entry_stop: ends idle sessions; returns whether none is left. */
bool ss_entry_stop (SsNode *node, bool force);
bool ss_entry_uses_group (SsNode *node, const char *group);

/* --- pending.c: requests that are under way --- */

void ss_pending_vm_lost (SsNode *node, const char *vm);
/* ss_pending_superseded: GROUP has a later term: what is out at its earlier
 * primary can't be acknowledged any more.
 */
void ss_pending_superseded (SsNode *node, const SsGroup *group);
/* ss_pending_identities: adds the callers of GROUP that wait for a mark. */
void ss_pending_identities (SsNode *node, const char *group, GPtrArray *out);
/* ss_pending_wake: routes the requests of GROUP that wait for WAIT. */
void ss_pending_wake (SsNode *node, const char *group, SsWait wait);
void ss_pending_tick (SsNode *node);

/* --- local.c: statements about the session itself --- */

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
  char *value; /* NULL: reset */
} SsLocal;

/* ss_local_init: recognises SET, RESET and SHOW of sapphirestair.*. */
void ss_local_init (SsLocal *local, const char *sql);
void ss_local_finish (SsLocal *local);
/* ss_local_first_word: whether SQL begins with WORD. */
bool ss_local_first_word (const char *sql, const char *word);
/* ss_local_is_read_only: BEGIN READ ONLY or START TRANSACTION READ ONLY. */
bool ss_local_is_read_only (const char *sql);
bool ss_local_ends_transaction (const char *sql);

/* --- choice.c: which server answers a read --- */

/* ss_choice_read: the server of GROUP for a read with FLOOR that is not among
 * TRIED, or NULL.  Replicas come first; the primary only where none will do.
 */
SsTarget *ss_choice_read (SsNode *node, SsGroup *group, SsPosition floor,
                          char *const *tried, uint32_t tried_count);
/* ss_choice_checked_read: the same for R, where the target itself checks the
 * floor.
 */
SsTarget *ss_choice_checked_read (SsNode *node, const SsRequest *r,
                                  SsGroup *group);
/* ss_choice_write: the primary of GROUP, or NULL where none can be used. */
SsTarget *ss_choice_write (SsNode *node, SsGroup *group);

/* --- predict.c --- */

/* ss_predict_primary: whether GROUP will have a primary before DEADLINE_MS;
 * *UNTIL_MS is when it should have one.
 */
bool ss_predict_primary (SsNode *node, const SsGroup *group,
                         int64_t deadline_ms, int64_t *until_ms);

/* --- marks.c: confirmed positions of a group's primary --- */

#define SS_MARKS_MAX 64

typedef struct
{
  uint64_t ask; /* which ask it answers */
  int64_t asked_ms;
  SsPosition position;
} SsMark;

typedef struct
{
  char *group;
  SsMark latest;
  SsMark ring[SS_MARKS_MAX]; /* spaced; oldest first */
  uint32_t count;
  uint64_t last_ask;
  int64_t last_ask_ms;
  GPtrArray *identities; /* whose floors the present ask asks for */
  GHashTable *floors;    /* identity -> SsPosition; of the latest mark */
  bool outstanding;
  bool wanted; /* again, once the present one is answered */
} SsMarks;

SsMarks *ss_marks_get (SsNode *node, const char *group);
/* ss_marks_ask: has the primary's position confirmed anew. */
void ss_marks_ask (SsNode *node, SsMarks *marks);
/* ss_marks_told: the primary's owner told its position unasked. */
void ss_marks_told (SsNode *node, const char *group, SsPosition position,
                    uint32_t age_ms);
void ss_marks_reply (SsNode *node, const Ss__Peer__MarkReply *reply);
/* ss_marks_within: the oldest mark asked for at SINCE_MS or later; false
 * where there is none.
 */
bool ss_marks_within (const SsMarks *marks, int64_t since_ms, SsMark *mark);
/* ss_marks_floor: what IDENTITY (may be empty) has to see by the latest mark.
 */
SsPosition ss_marks_floor (const SsMarks *marks, const char *identity);
void ss_marks_free (gpointer marks);
/* ss_marks_retry: repeats an ask that got no answer. */
void ss_marks_retry (SsNode *node, SsMarks *marks);

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

/* --- hold.c: a commit is answered once a majority holds it --- */

/* ss_hold_ask_status: has T's owner report a poll made after this. */
void ss_hold_ask_status (SsNode *node, SsTarget *t);
/* ss_hold_leased: a lease on GROUP's primary came. */
void ss_hold_leased (SsNode *node, SsGroup *group);
/* ss_hold_confirm: takes over JOB until the primary is confirmed. */
void ss_hold_confirm (SsNode *node, SsJob *job);
/* ss_hold_position: the primary's position, where it is known well enough;
 * *AGE_MS ago the primary was asked.
 */
bool ss_hold_position (SsNode *node, SsOwned *owned, SsPosition *position,
                       uint32_t *age_ms);
/* ss_hold_note: the primary answered at POSITION what was sent at SENT_MS. */
void ss_hold_note (SsNode *node, SsOwned *owned, int64_t sent_ms,
                   SsPosition position);
/* ss_hold_wait: takes over JOB, whose commit stands at POSITION. */
void ss_hold_wait (SsNode *node, SsJob *job);
void ss_hold_check (SsNode *node, SsGroup *group);
void ss_hold_tick (SsNode *node, SsOwned *owned);
void ss_hold_round_ask (SsNode *node, const char *from,
                        const Ss__Peer__MarkAsk *ask);
/* ss_hold_report: an answer to an ask of this vm. */
void ss_hold_report (SsNode *node, SsTarget *target, uint64_t ask,
                     const SsServerState *state);

/* --- monitor.c: the control connection of a target owned here --- */

void ss_monitor_tick (SsNode *node, SsOwned *owned);
void ss_monitor_ready (SsNode *node, SsOwned *owned);
void ss_monitor_closed (SsNode *node, SsOwned *owned, bool refused);
void ss_monitor_result (SsNode *node, SsOwned *owned,
                        const SsTargetResult *result);
void ss_monitor_ask (SsNode *node, const char *from,
                     const Ss__Peer__StatusAsk *ask);
void ss_monitor_subscribe (SsNode *node, const char *from,
                           const Ss__Peer__Subscribe *subscribe);
/* ss_monitor_answer: answers the asks that the target's state satisfies. */
void ss_monitor_answer (SsNode *node, SsOwned *owned);
void ss_monitor_raise (SsNode *node, const char *from,
                       const Ss__Peer__RaiseAsk *ask);
/* ss_monitor_poll_soon: polls at once, or right after what runs now. */
void ss_monitor_poll_soon (SsNode *node, SsOwned *owned);

/* --- relay.c: who lives, where vms are many --- */

void ss_relay_init (SsNode *node);
void ss_relay_finish (SsNode *node);
/* ss_relay_beat: sends BEAT to the relays, and reports as one of them. */
void ss_relay_beat (SsNode *node, SsEnvelope *beat);
/* ss_relay_answer: tells VM, which has the digest KNOWN_HASH, who lives. */
void ss_relay_answer (SsNode *node, const char *vm, uint64_t known_hash);
void ss_relay_digest (SsNode *node, const char *from,
                      const Ss__Peer__Digest *digest);
void ss_relay_report (SsNode *node, const char *from,
                      const Ss__Peer__DomainReport *report);

/* --- views.c: which vms the relays say are live --- */

void ss_views_init (SsNode *node);
void ss_views_finish (SsNode *node);
/* ss_views_hash: of the list that VM last sent in full; 0: none. */
uint64_t ss_views_hash (const SsNode *node, const char *vm);
/* ss_views_keep: FROM, a relay of FAILURE_DOMAIN, sent its list in full.  What
 * it leaves out since, and no other relay there lists, is dead.
 */
void ss_views_keep (SsNode *node, const char *from, const char *failure_domain,
                    uint64_t hash, Ss__Peer__VmState **vms, size_t count);
/* ss_views_refresh: the vms of FROM's last list are live still; REMOTE: it
 * relays for their failure domain.
 */
void ss_views_refresh (SsNode *node, const char *from, bool remote);

/* --- opens.c --- */

void ss_opens_init (SsNode *node);
void ss_opens_finish (SsNode *node);
void ss_opens_tick (SsNode *node);

/* --- isolation.c: a vm that can serve nobody --- */

/* ss_isolation_misses_most: whether most listed vms are not heard. */
bool ss_isolation_misses_most (const SsNode *node);
/* ss_isolation_tick: judges whether this vm is cut off. */
void ss_isolation_tick (SsNode *node);

/* --- spread.c: heartbeats and subscriptions --- */

void ss_spread_tick (SsNode *node);
void ss_spread_heartbeat (SsNode *node, const Ss__Peer__Heartbeat *beat);
void ss_spread_beat_now (SsNode *node);
SsMember *ss_spread_add_member (SsNode *node, const char *vm,
                                const char *failure_domain, const char *ip,
                                uint16_t port);

/* --- feeds.c: what the platform tells --- */

/* ss_feeds_objects: the answer to a watch, as EVENT has it. */
void ss_feeds_objects (SsNode *node, const SsEvent *event);
void ss_feeds_vms (SsNode *node, const char *json, uint32_t json_bytes);
/* ss_feeds_watches: whether this vm watches the platform itself. */
bool ss_feeds_watches (SsNode *node);

/* --- adopt.c: configuration between vms --- */

void ss_adopt_pull (SsNode *node, const char *from,
                    const Ss__Peer__ConfigPull *pull);
void ss_adopt_push (SsNode *node, const char *from,
                    const Ss__Peer__ConfigPush *push);
/* ss_adopt_one: takes one object and passes it on to the peers. */
void ss_adopt_one (SsNode *node, const SsObject *object);
/* ss_adopt_pull_all: asks VM for all objects that it holds. */
void ss_adopt_pull_all (SsNode *node, const char *vm);

/* --- directory.c: the vms as objects of the platform --- */

void ss_directory_tick (SsNode *node);
/* ss_directory_take: OBJECT of a vm came into force. */
void ss_directory_take (SsNode *node, const SsObject *object);
/* ss_directory_object: how a write of a vm's object ended. */
void ss_directory_object (SsNode *node, SsPlatformOutcome outcome,
                          const SsObject *object);
/* ss_directory_has_holder: whether another vm's object names a lease of GROUP,
 * beside the vms that RELEASED has.
 */
bool ss_directory_has_holder (const SsNode *node, const char *group,
                              GHashTable *released);
/* ss_directory_leave: this vm stops. */
void ss_directory_leave (SsNode *node);

/* ss_node_begin_stop: begins the planned stop of this vm. */
void ss_node_begin_stop (SsNode *node);

/* --- operate.c: operators' questions and orders --- */

void ss_operate_init (SsNode *node);
void ss_operate_finish (SsNode *node);
void ss_operate_command (SsNode *node, uint64_t id, const char *text,
                         bool may_change);
void ss_operate_object (SsNode *node, uint64_t call, SsPlatformOutcome outcome,
                        const SsObject *object);
/* ss_operate_promoted: how the promotion ordered as CALL ended. */
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
