/* rate_limiter: rate limits of organisations over all VMs, a distributed token
 * bucket.
 *
 * Each of the N VMs has a share of 1/N of every limit.  It fills its buckets
 * for its own share, or delegates the share to a coordinator, which then fills
 * its buckets for it.  The organisations are divided into slots, each with a
 * coordinator of its own.  A VM asks the coordinator of an organisation's slot
 * for tokens.  Tokens are moved, never copied, and expire.
 *
 * A delegation ends by itself.  The coordinator sends its clock reading, and
 * the VM returns the last one that it received, its echo.  The coordinator
 * counts the delegation for a fixed time after that reading, and the VM for as
 * long, and the drift of two clocks, after the reading arrived.  The VM's time
 * ends last, so a share is never used twice.
 *
 * The module performs no I/O.  Times are milliseconds of the VM's clock.
 */
#ifndef SS_RATE_LIMITER_H
#define SS_RATE_LIMITER_H

#include <glib.h>

#include "core/rate_account.h"
#include "core/rate_bucket.h"

/* One coordinator would have to answer every VM several times a second. */
#define SS_RATE_SLOTS 4
/* How long a coordinator counts a delegation after the echoed reading. */
#define SS_RATE_DELEGATION_MS 900
/* The same at the VM, with the drift of two clocks of 1 % each.  A VM that has
 * started does not use its share before either, since an earlier incarnation
 * may have delegated it.
 */
#define SS_RATE_HOLD_MS 930
/* The highest number of VMs of the last one to two of these periods counts: a
 * VM that is cut off goes on using its share.
 */
#define SS_RATE_VMS_PERIOD_MS 60000

/* A list of organisations in a message is cut off here. */
#define SS_RATE_WANTS_MAX 64

typedef struct
{
  const char *organisation; /* borrowed */
  uint32_t needed;          /* by operations that wait */
  uint32_t ahead;           /* for operations that are expected */
} SsRateWant;

typedef struct
{
  uint32_t slot;
  int64_t sent_ms; /* by the sender's clock; repeated in the reply */
  int64_t echo_ms; /* last clock reading of the receiver; 0: no delegation */
  uint32_t vms;    /* that the sender knows */
  bool release;    /* asks the receiver to end the sender's delegation */
  bool restarted; /* an earlier incarnation of the sender may have delegated its
                     share a moment ago */
  SsRateWant wants[SS_RATE_WANTS_MAX];
  uint32_t want_count;
} SsRateAsk;

typedef struct
{
  const char *organisation; /* borrowed */
  uint32_t tokens;
  uint32_t next_ms; /* no further token is expected within this time; 0: more
                       may come soon */
} SsRateTokens;

typedef struct
{
  uint32_t slot;
  int64_t sent_ms;  /* of the ask; 0: not an answer */
  int64_t clock_ms; /* clock reading of the sender */
  bool released;    /* delegations with earlier readings have ended; the sender
                       does not coordinate */
  SsRateTokens tokens[SS_RATE_WANTS_MAX];
  uint32_t token_count;
} SsRateReply;

typedef struct
{
  char *name;
  uint32_t slot;
  bool is_current; /* in the configuration in force */
  uint32_t rate_per_s;
  uint32_t burst;
  SsRateBucket bucket;
  SsRateAccount account;
} SsRateOrganisation;

typedef struct
{
  int64_t until_ms; /* valid until then */
  int64_t floor_ms; /* echoes up to this reading do not count */
} SsRateDelegation;

/* One slot, as coordinator and as VM that asks. */
typedef struct
{
  GPtrArray *organisations;   /* of SsRateOrganisation (borrowed) */
  GHashTable *delegations;    /* VM -> SsRateDelegation */
  GHashTable *restarted;      /* VMs that asked and have restarted -> time */
  uint32_t valid;             /* delegations that are valid */
  int64_t check_ms;           /* when the next one may end */
  int64_t floor_ms;           /* as in SsRateDelegation, for all VMs */
  double share;               /* that the buckets are filled for */
  int64_t share_since_ms;     /* since when it is above 0 */
  char *ranked;               /* VM that should coordinate; NULL: unknown */
  char *vm;                   /* coordinator in use; NULL: none yet */
  int64_t reading_ms;         /* its last clock reading; 0: none */
  int64_t read_ms;            /* when that arrived */
  int64_t asked_ms;           /* when it was last asked */
  int64_t silent_since_ms;    /* of the first ask without a reply; 0: none */
  int64_t probed_ms;          /* when ranked was last asked */
  char *delegate;             /* VM that has the share; NULL: none */
  int64_t delegated_until_ms; /* the share may be used elsewhere after this */
  int64_t echoed_ms;          /* highest reading echoed to delegate */
} SsRateSlot;

/* The highest number of VMs of the last one to two periods. */
typedef struct
{
  uint32_t current;
  uint32_t previous;
  int64_t since_ms;
} SsRateVmCount;

typedef struct SsRateLimiter SsRateLimiter;

typedef struct
{
  void (*ask) (void *data, const char *vm, const SsRateAsk *ask);
  void (*reply) (void *data, const char *vm, const SsRateReply *reply);
  /* The coordinator in use for SLOT has changed to VM. */
  void (*changed) (void *data, uint32_t slot, const char *vm);
  void *data;
} SsRateOutput;

struct SsRateLimiter
{
  char *self;
  SsRateOutput output;
  int64_t started_ms;
  int64_t validity_ms; /* of a token, from when it was asked for */
  double slack;        /* tokens that all buckets may hold above a burst */
  bool active;         /* may coordinate and use its own share */
  bool stopping;
  GHashTable *organisations; /* name -> SsRateOrganisation */
  SsRateSlot slots[SS_RATE_SLOTS];
  SsRateVmCount known;    /* by this VM */
  SsRateVmCount reported; /* by VMs that asked it */
};

typedef enum
{
  SS_RATE_UNLIMITED,
  SS_RATE_TAKEN,
  SS_RATE_WAIT,
  SS_RATE_REFUSED
} SsRateOutcome;

typedef struct
{
  SsRateOutcome outcome;
  int64_t expires_ms; /* TAKEN: the token can be returned until then */
  int64_t retry_ms;   /* REFUSED: a token is expected in this time */
} SsRateResult;

/* ss_rate_limiter_init: the operations of a window of WINDOW_MS number at most
 * the tokens of that window, and OVERAGE (a fraction) of them, and SLACK.
 */
void ss_rate_limiter_init (SsRateLimiter *limiter, const char *vm,
                           const SsRateOutput *output, int64_t window_ms,
                           double overage, uint32_t slack, int64_t now_ms);
void ss_rate_limiter_finish (SsRateLimiter *limiter);

/* ss_rate_limiter_begin_limits, _set_limit, _end_limits: replace all limits. */
void ss_rate_limiter_begin_limits (SsRateLimiter *limiter);
void ss_rate_limiter_set_limit (SsRateLimiter *limiter, const char *name,
                                uint32_t rate_per_s, uint32_t burst,
                                int64_t now_ms);
void ss_rate_limiter_end_limits (SsRateLimiter *limiter);
/* ss_rate_limiter_is_on: whether an organisation has a limit. */
bool ss_rate_limiter_is_on (const SsRateLimiter *limiter);

/* ss_rate_limiter_set_vms: COUNT VMs are known, with this one. */
void ss_rate_limiter_set_vms (SsRateLimiter *limiter, uint32_t count,
                              int64_t now_ms);
/* ss_rate_limiter_set_ranked: VM should coordinate SLOT; NULL: unknown. */
void ss_rate_limiter_set_ranked (SsRateLimiter *limiter, uint32_t slot,
                                 const char *vm);
/* ss_rate_limiter_set_active: this VM knows its peers. */
void ss_rate_limiter_set_active (SsRateLimiter *limiter, bool active);
/* ss_rate_limiter_stop: releases the delegations that this VM has. */
void ss_rate_limiter_stop (SsRateLimiter *limiter, int64_t now_ms);

/* ss_rate_limiter_take: takes a token for an operation of ORGANISATION.  On
 * WAIT, the operation counts as waiting until ss_rate_limiter_end_wait, and is
 * to be tried again after a reply and on every tick.  AGAIN: it was tried
 * before.
 */
SsRateResult ss_rate_limiter_take (SsRateLimiter *limiter,
                                   const char *organisation, bool again,
                                   int64_t now_ms);
void ss_rate_limiter_end_wait (SsRateLimiter *limiter,
                               const char *organisation);
/* ss_rate_limiter_refund: returns the token of an operation that did not run.
 * Returns whether it is still valid.
 */
bool ss_rate_limiter_refund (SsRateLimiter *limiter, const char *organisation,
                             int64_t expires_ms, int64_t now_ms);

/* ss_rate_limiter_tick: sends the asks that are due. */
void ss_rate_limiter_tick (SsRateLimiter *limiter, int64_t now_ms);
/* ss_rate_limiter_handle_ask: answers ASK.  IS_MEMBER: FROM counts among the
 * VMs that this VM knows.  Returns the number of tokens granted.
 */
uint32_t ss_rate_limiter_handle_ask (SsRateLimiter *limiter, const char *from,
                                     const SsRateAsk *ask, bool is_member,
                                     int64_t now_ms);
void ss_rate_limiter_handle_reply (SsRateLimiter *limiter, const char *from,
                                   const SsRateReply *reply, int64_t now_ms);

/* ss_rate_limiter_uses_own_share: whether this VM fills its buckets for its own
 * share of SLOT now.
 */
bool ss_rate_limiter_uses_own_share (const SsRateLimiter *limiter,
                                     uint32_t slot, int64_t now_ms);
/* ss_rate_limiter_rank: sets OUT to the VM that should coordinate each slot, by
 * rendezvous hashing among VMS (names, borrowed): different VMs, if there are
 * enough.  NULL if VMS is empty.
 */
void ss_rate_limiter_rank (const GPtrArray *vms,
                           const char *out[SS_RATE_SLOTS]);

#endif
