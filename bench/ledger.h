/* ledger: the load tool's own record of what callers were told.
 *
 * After a run it is compared with the targets' contents.
 */
#ifndef SS_LEDGER_H
#define SS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  SS_FATE_PENDING,
  SS_FATE_ACKNOWLEDGED,
  SS_FATE_NOT_RUN,
  SS_FATE_UNKNOWN
} SsFate;

/* One write, with its own key as its value. */
typedef struct
{
  char key[40];
  char partner[40]; /* the transaction's other row; empty: none */
  SsFate fate;
  int64_t acknowledged_ms;
} SsFiling;

typedef struct
{
  GPtrArray *writes;      /* of SsFiling */
  GPtrArray *acknowledged; /* in order; borrowed */

  uint64_t statements;
  uint64_t acknowledged_ops;
  uint64_t not_run;
  uint64_t may_have_run;
  uint64_t refused_connections;
  uint64_t reads;
  uint64_t stale;
  uint64_t crossed;
  uint64_t read_doubled;
  uint64_t lost;
  uint64_t doubled;
  uint64_t mixed;
  uint64_t ran_though_not_run;
  GArray *latencies_us;
  GHashTable *reasons; /* what failures gave as reason -> their number */

  int64_t failing_since_ms; /* first write that failed; 0: none */
  int64_t last_acknowledged_ms;
  int64_t failover_gap_ms;
} SsLedger;

void ss_ledger_init (SsLedger *ledger);
void ss_ledger_finish (SsLedger *ledger);

/* ss_ledger_add: a write with a new key; owned by the ledger. */
SsFiling *ss_ledger_add (SsLedger *ledger, const char *key,
                         const char *partner);
void ss_ledger_acknowledge (SsLedger *ledger, SsFiling *write, int64_t now_ms);
/* ss_ledger_write_failed: a write sent at SENT_MS could not be accepted. */
void ss_ledger_write_failed (SsLedger *ledger, int64_t sent_ms);

/* ss_ledger_count_reason: counts a failure by the reason in its DETAIL. */
void ss_ledger_count_reason (SsLedger *ledger, const char *detail);

/* ss_ledger_compare: COUNTS maps each key at the primary to its rows. */
void ss_ledger_compare (SsLedger *ledger, GHashTable *counts);

/* ss_ledger_latency_ms: the quantile from 0 to 1. */
double ss_ledger_latency_ms (SsLedger *ledger, double quantile);

#endif
