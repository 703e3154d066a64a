/* lease_keeper: one list of the groups confirms the leases of many VMs.
 *
 * Load pattern: each owner of a primary renews its lease all the time.  If each
 * listed the groups by itself, the calls on the platform would grow with the
 * number of groups.  One VM, the keeper, lists for all that ask it.
 *
 * An ask is answered from a list that was requested after the ask arrived.  The
 * asking VM counts its lease from when it sent the ask, by its own clock: the
 * platform confirmed the object later than that.  No two clocks are compared.
 */
#ifndef SS_LEASE_KEEPER_H
#define SS_LEASE_KEEPER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backoff.h"

/* --- the keeper's side --- */

typedef struct
{
  char *vm;
  uint64_t nonce;
  char **groups; /* that it asks for; empty: all */
  int64_t received_ms;
} SsLeaseAsk;

typedef struct
{
  GQueue asks;       /* of SsLeaseAsk, oldest first */
  int64_t listed_ms; /* when the last list was requested */
} SsLeaseKeeper;

void ss_lease_keeper_init (SsLeaseKeeper *keeper);
void ss_lease_keeper_finish (SsLeaseKeeper *keeper);
void ss_lease_keeper_add (SsLeaseKeeper *keeper, const char *vm, uint64_t nonce,
                          char **groups, size_t group_count, int64_t now_ms);
/* ss_lease_keeper_is_due: whether to list the groups now for the asks that
 * wait.
 */
bool ss_lease_keeper_is_due (const SsLeaseKeeper *keeper, int64_t now_ms);
/* ss_lease_keeper_take: removes and returns the next ask that a list requested
 * at LISTED_MS answers, or NULL.  Free with ss_lease_ask_free.
 */
SsLeaseAsk *ss_lease_keeper_take (SsLeaseKeeper *keeper, int64_t listed_ms);
void ss_lease_ask_free (SsLeaseAsk *ask);

/* --- the asking side --- */

typedef enum
{
  SS_RENEWAL_WAIT,
  SS_RENEWAL_ASK, /* the keeper */
  SS_RENEWAL_LIST /* the groups, by itself */
} SsRenewalStep;

typedef struct
{
  int64_t due_ms;
  bool asked; /* the keeper has not answered yet */
  SsBackoff backoff;
} SsRenewal;

/* ss_renewal_step: returns what to do now to renew the leases.  The step counts
 * as taken.  HOLDS_ALL: none has ended; one that has does not wait for a batch.
 */
SsRenewalStep ss_renewal_step (SsRenewal *renewal, bool has_keeper,
                               bool holds_all, int64_t now_ms);
/* ss_renewal_done: the leases were renewed. */
void ss_renewal_done (SsRenewal *renewal, int64_t now_ms);
/* ss_renewal_failed: the platform did not answer this VM's own list. */
void ss_renewal_failed (SsRenewal *renewal, GRand *rand, int64_t now_ms);

#endif
