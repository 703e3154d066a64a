/* connection_cache: which connection to a target a statement runs on, where
 * each connection belongs to one organisation.
 *
 * Load pattern: more organisations than the server accepts connections, of very
 * different sizes, so that the idle connections are a cache.  A few statements
 * run at a time.  One organisation may send several times its usual rate, and
 * open transactions hold connections.
 *
 * A statement reuses an idle connection of its organisation.  Otherwise it
 * waits for a busy one if that is expected to be faster than to open one, but
 * no longer than opening one takes; so it waits at most twice as long as
 * with the better choice.  Otherwise it opens one, for which the idle
 * connection with the lowest rate of use is closed.
 *
 * The rate of use is kept for each number of connections: the n-th connection
 * of an organisation is worth the statements that came while n - 1 of them were
 * in use.  A large organisation therefore keeps as many connections as it uses
 * at once, and no more.
 *
 * The module does no I/O.  All times are in ms of one clock.
 */
#ifndef SS_CONNECTION_CACHE_H
#define SS_CONNECTION_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time constant of the rate of use.  Long enough to rank organisations that
 * send one statement in 10 s; a burst of 5 s counts several times as much as a
 * small organisation.
 */
#define SS_CACHE_RATE_MS 60000.0
/* Connections of one organisation whose rates of use are told apart; further
 * ones count as the last.  A server runs fewer statements at once.
 */
#define SS_CACHE_LEVELS 8
/* Time to open a connection and time for which a statement holds one, until
 * they are measured, and the weight of a new sample.
 */
#define SS_CACHE_INITIAL_CONNECT_MS 20.0
#define SS_CACHE_INITIAL_HOLD_MS 10.0
#define SS_CACHE_TIME_GAIN 0.1
/* A server may count a connection that was closed for at least this long. */
#define SS_CACHE_CLOSING_MIN_MS 10.0
/* Connections kept below the limit, so that one can be opened at once while the
 * server still counts the one that was closed for it.
 */
#define SS_CACHE_SPARE 2
#define SS_CACHE_SPARE_DIVISOR 8
/* How long a server counts the connections of a VM that lost power, and how
 * long two VMs may both believe that they own a target.
 */
#define SS_CACHE_SETTLE_MS 3000
/* A refusal lowers the limit in use by this fraction of the open connections,
 * so that few refusals suffice where the server accepts far fewer.
 */
#define SS_CACHE_SHRINK_DIVISOR 8
/* The limit in use grows by one connection in this time. */
#define SS_CACHE_GROW_MS 100
/* Of the limit in use, at most one in SS_CACHE_SHARE_DIVISOR is held by open
 * transactions of one organisation: three that reach it at once, as the load
 * pattern has it, leave a quarter of the connections.
 */
#define SS_CACHE_SHARE_DIVISOR 4

typedef enum
{
  SS_CACHE_CONNECTING,
  SS_CACHE_IDLE,
  SS_CACHE_RUNNING,       /* returns to the cache with its statement's end */
  SS_CACHE_IN_TRANSACTION /* returns when the caller ends its transaction */
} SsCacheState;

typedef struct
{
  const char *organisation; /* borrowed; "": none */
  SsCacheState state;
  bool opens_transaction; /* CONNECTING: for a statement that opens one */
  int64_t used_ms;        /* when it was last used */
} SsCacheConnection;

/* What the limit follows from. */
typedef struct
{
  uint32_t server_limit;  /* connections that the server accepts from all VMs */
  int64_t owner_since_ms; /* when this VM became the owner or started */
  bool is_contested;      /* another VM may own the target, too */
  bool is_substitute; /* it may also be owned by a VM that does not miss this
                         one, and so uses the limit of a single owner */
} SsCacheBounds;

typedef struct
{
  const char *organisation;
  bool opens_transaction;
  int64_t waited_ms;
} SsCacheStatement;

typedef enum
{
  SS_CACHE_REUSE, /* an idle connection of the organisation */
  SS_CACHE_OPEN,  /* after closing victim, if there is one */
  SS_CACHE_WAIT
} SsCacheAction;

typedef enum
{
  SS_CACHE_WAIT_NONE,
  SS_CACHE_WAIT_BUSY,        /* a connection of the organisation is used */
  SS_CACHE_WAIT_LIMIT,       /* no connection may be opened */
  SS_CACHE_WAIT_TRANSACTIONS /* open transactions hold their share */
} SsCacheWait;

typedef struct
{
  SsCacheAction action;
  SsCacheWait wait;
  int32_t victim;     /* index of the connection to close; -1: none */
  bool reaches_share; /* WAIT_TRANSACTIONS: the first such decision for the
                         organisation since it last could open one */
} SsCacheDecision;

typedef struct SsCacheOrganisation SsCacheOrganisation;

typedef struct
{
  GHashTable *organisations; /* name -> SsCacheOrganisation */
  double connect_ms;         /* moving average: to open a connection */
  double hold_ms;            /* moving average: a statement's use of one */
  GArray *closing;           /* int64_t: until when a closed one counts */
  uint32_t limit;            /* in use; 0: not set yet */
  uint32_t bound;            /* that the limit grows to */
  int64_t grow_ms;           /* when the limit may grow next */
  int64_t contested_ms;      /* when is_contested last held; 0: never */
  bool is_shrunk;            /* a refusal has lowered the limit */
  int64_t pruned_ms;
  /* view: set by ss_connection_cache_load */
  const SsCacheConnection *connections; /* borrowed */
  uint32_t count;
  bool may_open;         /* no pause after a failed attempt */
  uint32_t transactions; /* open ones of all organisations */
  uint32_t limit_waits;  /* decisions to wait for the limit since the load */
  int32_t victim;        /* -1: none; -2: not searched yet */
  int64_t now_ms;
} SsConnectionCache;

void ss_connection_cache_init (SsConnectionCache *cache);
void ss_connection_cache_finish (SsConnectionCache *cache);

/* ss_connection_cache_update_limit: computes the limit in use at NOW_MS, which
 * falls at once and grows step by step, and returns it.
 */
uint32_t ss_connection_cache_update_limit (SsConnectionCache *cache,
                                           const SsCacheBounds *bounds,
                                           int64_t now_ms);
/* ss_connection_cache_restart: the VM became the owner, or ceased to be.  The
 * limit in use starts anew; what was learned stays.
 */
void ss_connection_cache_restart (SsConnectionCache *cache);
/* ss_connection_cache_refused: the server refused a connection as there were
 * too many, while OPEN others of this VM were open.  The limit in use falls
 * below OPEN and does not grow for PAUSE_MS.
 */
void ss_connection_cache_refused (SsConnectionCache *cache, uint32_t open,
                                  int64_t pause_ms, int64_t now_ms);

/* ss_connection_cache_load: sets the connections that the following decisions
 * are about.  CONNECTIONS is borrowed until the next call.  Without MAY_OPEN no
 * connection is opened, as after a failed attempt.
 */
void ss_connection_cache_load (SsConnectionCache *cache,
                               const SsCacheConnection *connections,
                               uint32_t count, bool may_open, int64_t now_ms);
/* ss_connection_cache_decide: decides for STATEMENT.  Called once a statement
 * after a load: statements told to wait count for those decided after them.
 */
SsCacheDecision ss_connection_cache_decide (SsConnectionCache *cache,
                                            const SsCacheStatement *statement);
/* ss_connection_cache_excess: returns the index of an idle connection to close
 * as more are open than the limit in use allows, or -1.
 */
int32_t ss_connection_cache_excess (SsConnectionCache *cache);

/* ss_connection_cache_note_arrival: a statement of ORGANISATION has come.  To
 * be called after a load.
 */
void ss_connection_cache_note_arrival (SsConnectionCache *cache,
                                       const char *organisation);
void ss_connection_cache_note_opened (SsConnectionCache *cache,
                                      int64_t took_ms);
void ss_connection_cache_note_held (SsConnectionCache *cache, int64_t held_ms);
/* ss_connection_cache_note_closed: a connection that was open was closed here.
 */
void ss_connection_cache_note_closed (SsConnectionCache *cache, int64_t now_ms);

/* ss_connection_cache_organisation_share, ss_connection_cache_total_share:
 * return how many open transactions one organisation and all together may have.
 */
uint32_t
ss_connection_cache_organisation_share (const SsConnectionCache *cache);
uint32_t ss_connection_cache_total_share (const SsConnectionCache *cache);

#endif
