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

/* ss_node_send: packs ENVELOPE and sends it to VM, which may be this one. */
void ss_node_send (SsNode *node, const char *vm, SsEnvelope *envelope);
SsPosition ss_position_unpack (const Ss__Peer__Position *position);
void ss_position_pack (Ss__Peer__Position *out, SsPosition position);
void ss_state_unpack (const Ss__Peer__ServerState *in, SsServerState *out);

/* ss_node_owner: the vm that owns TARGET, or NULL. */
const char *ss_node_owner (SsNode *node, SsTarget *target);
bool ss_node_is_owner (SsNode *node, SsTarget *target);
/* ss_node_take_state: STATE of TARGET, asked for AGE_MS ago. */
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
  uint64_t transaction; /* while it is pinned: the request that opened it */
  int64_t since_ms;
  SsSessionState held; /* what it has set and prepared */
  GQueue due;          /* statements (to be freed) before the job's */
  char *prelude;       /* the one of them that was sent last */
  bool rolls_back;     /* its session ended a transaction */
  int64_t again_ms;    /* when its job's statement is sent again; 0: not */
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
  SS_STEP_PRELUDE /* what the session needs before its statement */
} SsStep;

struct SsJob
{
  SsQueueItem item; /* first: the queue casts back */
  SsOwned *owned;
  SsConnection *connection; /* NULL: not running */
  uint64_t request;
  char *vm;
  uint64_t session;
  char *service;
  char *sql;
  char *key; /* NULL: none */
  char *trace;
  char *identity;
  char *label;
  char **values; /* of the session: name, value, ..., NULL */
  char *shape;   /* NULL: none */
  bool shape_is_read;
  bool begins;
  bool transaction_is_read;
  bool keeps;
  bool pinned;  /* in a transaction that is open */
  bool confirm; /* only at a primary that is one after this came */
  bool sent;    /* the target may have run the statement */
  bool is_read;
  SsPosition floor;
  SsStep step;
  GBytes *wire; /* saved from an earlier step */
  char *tag;
  char sqlstate[6];
  char transaction_status;
  SsPosition commit;
  SsPosition applied;
  int64_t received_ms;
  int64_t started_ms;
  int64_t committed_ms;
};

/* A question for a target's state that waits for a poll. */
typedef struct
{
  char *vm;
  uint64_t ask;
  char **identities; /* of a round's asker; may be NULL */
  SsPosition held;
  uint64_t poll;   /* answered by this poll or a later one */
  int64_t poll_ms; /* no poll for it before */
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

/* A round that confirms the primary's position for those who asked. */
typedef struct
{
  GPtrArray *askers; /* of SsAsk; held unused */
  GPtrArray *next;   /* came while the round ran */
  bool running;
  uint64_t ask;
  int64_t started_ms;
  int64_t due_ms;
  uint32_t confirmed; /* bit by server: it showed no higher term */
  bool has_position;
  SsPosition position;
  uint64_t term;
} SsRound;

struct SsOwned
{
  SsTarget *target;
  bool active; /* this vm owns it now */
  SsQueue queue;
  GPtrArray *connections; /* not the control connection */
  int64_t connect_after_ms;
  int64_t owner_since_ms;
  uint64_t group_term; /* of the group as last looked at */

  SsConnection *control;
  SsControlStep control_step;
  int64_t control_after_ms;
  int64_t control_started_ms;
  uint64_t poll; /* number of the last poll begun */
  int64_t poll_due_ms;
  int64_t polled_ms;   /* when the last poll began */
  uint64_t raise_term; /* 0: none wanted */
  GPtrArray *raise_vms;
  GPtrArray *asks;
  GHashTable *subscribers; /* vm -> expiry in ms */
  SsServerState reported;
  int64_t reported_ms;

  SsWriters writers;
  GQueue waiters;     /* jobs whose commit waits for a majority */
  SsPosition unheld;  /* the highest commit that waits, or waited in vain */
  bool stuck;         /* commits are not held: no new ones are taken */
  GQueue unconfirmed; /* jobs that wait for the primary to be confirmed */
  SsMark seen;        /* the latest position that an answer told */
  uint64_t held_asks[SS_CONFIG_SERVERS_MAX]; /* outstanding, by server */
  int64_t held_asked_ms[SS_CONFIG_SERVERS_MAX];
  SsRound round;
};

void ss_owner_init (SsNode *node);
void ss_owner_finish (SsNode *node);
SsOwned *ss_owner_find (SsNode *node, const char *target);
/* ss_owner_update: opens and closes what the configuration and the live vms
 * ask for.
 */
void ss_owner_update (SsNode *node);
void ss_owner_cancel (SsNode *node, const char *from, uint64_t request);
void ss_owner_session_end (SsNode *node, const char *vm,
                           const Ss__Peer__SessionEnd *end);
void ss_owner_vm_lost (SsNode *node, const char *vm);
void ss_owner_ready (SsNode *node, uint64_t connection);
/* ss_owner_closed: EVENT is TARGET_CLOSED. */
void ss_owner_closed (SsNode *node, const SsEvent *event);
void ss_owner_tick (SsNode *node);
/* ss_owner_unreachable: the target does not answer: what waits for it is
 * refused, and reads that run are given up.
 */
void ss_owner_unreachable (SsNode *node, SsOwned *owned);
bool ss_owner_is_idle (SsNode *node);

/* --- job.c and outcome.c: a statement at its target --- */

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
