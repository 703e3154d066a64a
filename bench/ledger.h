/* ledger: records the outcome of each write as reported to the caller.
 *
 * After a run the record is compared with the contents of the primary, which
 * shows lost, duplicated and partial writes.
 */
#ifndef SS_LEDGER_H
#define SS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  SS_WRITE_PENDING,
  SS_WRITE_ACKNOWLEDGED,
  SS_WRITE_NOT_RUN,
  SS_WRITE_UNKNOWN
} SsWriteOutcome;

/* One write.  The row's value is the same as its key. */
typedef struct
{
  char key[40];
  char second_key[40]; /* key of the transaction's second row; empty: none */
  SsWriteOutcome outcome;
  int64_t acknowledged_ms;
} SsLedgerWrite;

typedef struct
{
  GPtrArray *writes;       /* of SsLedgerWrite */
  GPtrArray *acknowledged; /* in order of acknowledgement; borrowed */

  uint64_t statements;       /* sent */
  uint64_t acknowledged_ops; /* operations that succeeded, reads too */
  uint64_t not_run;          /* failed attempts with verdict not_run */
  uint64_t may_have_run;     /* all other failed attempts */
  uint64_t refused_connections;
  uint64_t reads;
  uint64_t stale;              /* reads without a row they had to return */
  uint64_t crossed;            /* reads that returned another key's value */
  uint64_t read_doubled;       /* reads that returned several rows for a key */
  uint64_t lost;               /* acknowledged, but not at the primary */
  uint64_t doubled;            /* several rows with the same key */
  uint64_t mixed;              /* one row of a transaction without the other */
  uint64_t ran_though_not_run; /* at the primary despite verdict not_run */
  GArray *latencies_us;
  GHashTable *reasons; /* reason of a failure -> count */

  int64_t failing_since_ms; /* start of the current outage; 0: none */
  int64_t last_acknowledged_ms;
  int64_t failover_gap_ms; /* longest outage */
} SsLedger;

void ss_ledger_init (SsLedger *ledger);
void ss_ledger_finish (SsLedger *ledger);

/* ss_ledger_add: records a new write as pending.  SECOND_KEY may be NULL.
 * The ledger owns the result.
 */
SsLedgerWrite *ss_ledger_add (SsLedger *ledger, const char *key,
                              const char *second_key);
/* ss_ledger_acknowledge: marks WRITE as acknowledged and ends an outage of
 * writes.
 */
void ss_ledger_acknowledge (SsLedger *ledger, SsLedgerWrite *write,
                            int64_t now_ms);
/* ss_ledger_write_failed: records that a write sent at SENT_MS failed.  The
 * first failure since the last acknowledgement begins an outage.
 */
void ss_ledger_write_failed (SsLedger *ledger, int64_t sent_ms);

/* ss_ledger_count_reason: counts a failure by the reason=... in its DETAIL, or
 * as "other".
 */
void ss_ledger_count_reason (SsLedger *ledger, const char *detail);

/* ss_ledger_compare: compares the writes with the primary.  COUNTS maps each
 * key there to its number of rows.
 */
void ss_ledger_compare (SsLedger *ledger, GHashTable *counts);

/* ss_ledger_latency_ms: returns a latency quantile (0 to 1) in milliseconds, or
 * 0 if none is recorded.
 */
double ss_ledger_latency_ms (SsLedger *ledger, double quantile);

#endif
