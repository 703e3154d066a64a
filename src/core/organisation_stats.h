/* organisation_stats: what this VM did for each organisation, as their entry
 * VM.
 *
 * The table is bounded.  When it is full, the organisation with the fewest
 * operations is added to the rest.
 */
#ifndef SS_ORGANISATION_STATS_H
#define SS_ORGANISATION_STATS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/verdict.h"

#define SS_ORGANISATION_STATS_MAX 1024
/* The share served is of this time and of up to as much before it. */
#define SS_ORGANISATION_STATS_WINDOW_MS 30000

typedef struct
{
  char *name;          /* NULL: of the rest */
  uint64_t operations; /* single statements and transactions */
  uint64_t in_time;    /* statements served within their latency goal */
  uint64_t late;       /* served after it */
  uint64_t in_doubt;   /* that may have run */
  uint64_t refusals[SS_REASON_COUNT]; /* as not run */
  uint64_t waited_ms;                 /* in the queues of targets */
  uint32_t owed[2];   /* of this window and the previous one: statements but
                         those refused for a reason of the caller */
  uint32_t served[2]; /* of these: in time */
} SsOrganisationStat;

typedef struct
{
  GHashTable *table; /* name -> SsOrganisationStat */
  SsOrganisationStat rest;
  int64_t window_since_ms;
} SsOrganisationStats;

/* How a statement ended. */
typedef struct
{
  SsVerdict verdict;
  SsReason reason;
  bool in_time; /* within its latency goal */
  uint32_t waited_ms;
} SsStatementEnd;

void ss_organisation_stats_init (SsOrganisationStats *stats, int64_t now_ms);
void ss_organisation_stats_finish (SsOrganisationStats *stats);

/* ss_organisation_stats_operation: counts an operation of ORGANISATION. */
void ss_organisation_stats_operation (SsOrganisationStats *stats,
                                      const char *organisation);
/* ss_organisation_stats_end: counts a statement of ORGANISATION that ended as
 * END says.
 */
void ss_organisation_stats_end (SsOrganisationStats *stats,
                                const char *organisation,
                                const SsStatementEnd *end, int64_t now_ms);
/* ss_organisation_stats_largest: returns the COUNT organisations with the most
 * operations, in this order, as a new array of borrowed SsOrganisationStat.
 * Sets *REST to the sum of all others.
 */
GPtrArray *ss_organisation_stats_largest (const SsOrganisationStats *stats,
                                          uint32_t count,
                                          SsOrganisationStat *rest);
/* ss_organisation_stats_worst_tenth: returns the share, from 0 to 1, of the
 * statements owed to the worst-served tenth of the organisations that was
 * served in time; 1 if nothing was owed.
 */
double ss_organisation_stats_worst_tenth (const SsOrganisationStats *stats);

#endif
