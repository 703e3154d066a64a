/* requests: the entry side of the statement layer: sessions, their requests,
 * and where a request may go.
 */
#ifndef SS_REQUESTS_H
#define SS_REQUESTS_H

#include "core/message.h"
#include "core/replay.h"

/* --- entry.c: sessions and their requests --- */

typedef struct SsRequest SsRequest;

/* What a request waits for before it is routed. */
typedef enum
{
  SS_WAIT_NONE,
  SS_WAIT_CONFIRMED, /* a confirmed position of the primary */
  SS_WAIT_STATUS,    /* the first state report of the group's servers */
  SS_WAIT_PRIMARY,   /* a usable primary, during a failover */
  SS_WAIT_TOKEN,     /* a token of its organisation's rate limit */
  SS_WAIT_OWNER      /* the primary's new owner, after a change of it */
} SsWait;

typedef struct
{
  uint64_t id;
  char *service;
  char *user;
  char key_digest[SS_KEY_DIGEST_BYTES]; /* of its caller's key; "": none */
  char *organisation; /* of its last operation; NULL: there was none */
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
  char *organisation;  /* of the caller; NULL: none, or not resolved yet */
  char *label;         /* the caller's id of the statement; NULL: none */
  char *sql;           /* for the target */
  uint32_t text_bytes; /* of the text that the caller sent */
  char *shape; /* SsPrepared.shape of the prepared statement that it executes;
                  NULL: none */
  SsShapeSummary shape_summary;
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
  uint32_t waited_ms; /* in the queues of targets, over all attempts */
  int64_t started_ms;
  int64_t deadline_ms;
  bool counted; /* it is part of the demand of its organisation */
  bool waited_for_token;
  bool has_token; /* for the next attempt, or the one under way */
  int64_t token_expires_ms;
  char *vm; /* owner that it was sent to; NULL: not sent */
  char *target;
  int64_t sent_ms;         /* when it was sent to vm */
  bool is_behind;          /* the target had not applied the floor then */
  uint32_t tries;          /* failed attempts, on the targets in tried */
  SsReason refusal;        /* of the last failed attempt */
  uint32_t retry_after_ms; /* that came with it */
  char *tried[SS_REQUEST_RETRIES_MAX];
  char trace[33];
};

void ss_entry_init (SsNode *node);
void ss_entry_finish (SsNode *node);
/* ss_entry_open: KEY_DIGEST is that of the caller's key (identity.h), "" if it
 * presented none.
 */
void ss_entry_open (SsNode *node, uint64_t caller, const char *service,
                    const char *user, const char *key_digest,
                    const char *const *settings);
/* ss_entry_statement: LABEL is the caller's id of the statement, or NULL.  A
 * statement of a session that this VM has ended is refused (not run, stopping).
 */
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
/* Which sessions a graceful shutdown ends. */
typedef enum
{
  SS_STOP_IDLE,            /* without a statement and a transaction */
  SS_STOP_WITHOUT_REQUEST, /* without a statement under way */
  SS_STOP_ALL
} SsStopScope;

/* ss_entry_stop: ends the sessions of SCOPE.  Returns whether none is left. */
bool ss_entry_stop (SsNode *node, SsStopScope scope);
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
/* ss_pending_cancel_all: has the owners answer all requests that were sent to
 * them, and refuses all others, as this VM stops.
 */
void ss_pending_cancel_all (SsNode *node);

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

/* ss_session_sql_parse_setting: parses SQL where a statement of it is SET,
 * RESET or SHOW of sapphirestair.*; else the kind is SS_SETTING_STATEMENT_NONE.
 * The kind is SS_SETTING_STATEMENT_MALFORMED if there are other statements, and
 * for SET LOCAL and quoted names: a server would accept them and do nothing.
 */
void ss_session_sql_parse_setting (SsSettingStatement *setting,
                                   const char *sql);
void ss_session_sql_setting_finish (SsSettingStatement *setting);
/* ss_session_sql_begins_transaction: whether SQL is BEGIN or START. */
bool ss_session_sql_begins_transaction (const char *sql);
/* ss_session_sql_is_read_only_begin: whether SQL is one BEGIN READ ONLY or
 * START TRANSACTION READ ONLY.
 */
bool ss_session_sql_is_read_only_begin (const char *sql);
/* ss_session_sql_ends_transaction: whether SQL is one COMMIT, END, ROLLBACK or
 * ABORT, without TO and AND CHAIN: no transaction is open after it.
 */
bool ss_session_sql_ends_transaction (const char *sql);
/* ss_session_sql_is_rollback: whether SQL is one ROLLBACK or ABORT, as above.
 */
bool ss_session_sql_is_rollback (const char *sql);
/* ss_session_sql_tag_changes_session: whether a statement with the command tag
 * TAG may change its connection beyond its transaction: settings, prepared
 * statements, cursors, temporary tables, channels.
 */
bool ss_session_sql_tag_changes_session (const char *tag);
/* ss_session_sql_is_commit: whether SQL is one COMMIT or END, without AND
 * CHAIN.
 */
bool ss_session_sql_is_commit (const char *sql);
/* ss_session_sql_takes_key: whether SQL can be sent with an idempotency key: as
 * the whole of a transaction, or as the COMMIT of the one that is open.
 */
bool ss_session_sql_takes_key (const char *sql, bool in_transaction);
/* ss_session_sql_key_error: returns why SQL is refused in a session that has an
 * idempotency key, a static text, or NULL.  A statement that ends its
 * transaction within the text would leave the key's record behind.
 */
const char *ss_session_sql_key_error (const char *sql);

/* --- choice.c: selects the server for a read or a write --- */

/* ss_choice_read: returns a server of GROUP for R that was not tried and has
 * applied R's floor, or NULL.  Prefers replicas; returns the primary only where
 * no replica qualifies.
 */
SsTarget *ss_choice_read (SsNode *node, const SsRequest *r, SsGroup *group);
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
  int64_t since_ms; /* a position requested then or later is of use to all reads
                       that requested one; 0: any position is */
  GPtrArray *identities; /* callers whose floors the last request asks for */
  GHashTable *floors;    /* identity -> SsPosition, of the last reply */
  bool outstanding;
  bool requested_again; /* send another one after the outstanding one */
} SsConfirmedPositions;

/* ss_confirmed_get: returns the confirmed positions of GROUP, created if
 * needed. */
SsConfirmedPositions *ss_confirmed_get (SsNode *node, const char *group);
/* ss_confirmed_request: requests a new confirmed position from the primary's
 * owner.  It must have been the primary's last one at SINCE_MS or later, by the
 * node's clock in milliseconds; 0: the owner decides how old it may be.
 */
void ss_confirmed_request (SsNode *node, SsConfirmedPositions *confirmed,
                           int64_t since_ms);
/* ss_confirmed_handle_unsolicited: takes an unsolicited POSITION from a state
 * report.  The primary was asked for it at REQUESTED_MS or later.
 */
void ss_confirmed_handle_unsolicited (SsNode *node, const char *group,
                                      SsPosition position,
                                      int64_t requested_ms);
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

/* --- startup.c: callers that connect during start-up --- */

void ss_startup_init (SsNode *node);
void ss_startup_finish (SsNode *node);
void ss_startup_tick (SsNode *node);

#endif
