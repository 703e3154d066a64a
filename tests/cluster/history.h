/* history: what callers asked for and what servers ran, and whether that keeps
 * the rules.
 */
#ifndef SS_TESTS_CLUSTER_HISTORY_H
#define SS_TESTS_CLUSTER_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How recent the data is that a read must see. */
typedef enum
{
  CLUSTER_PRIMARY,
  CLUSTER_OWN_WRITES,
  CLUSTER_BOUNDED,
  CLUSTER_KINDS
} ClusterKind;

#define CLUSTER_OWN_WRITES_STALENESS_MS 2500
#define CLUSTER_BOUNDED_STALENESS_MS 1500

/* An entry of a group's log.  A log is known by its last entry. */
typedef struct ClusterCommit ClusterCommit;
struct ClusterCommit
{
  char *id; /* of the statement; "" for the entry that all logs begin with */
  uint32_t group;
  uint32_t server;
  int64_t term;
  int64_t number;
  int64_t made_ms;
  const ClusterCommit *parent; /* the entry before it */
  bool superseded; /* a server of a later term led when it was made */
  bool rolled_back;
  uint32_t session; /* 0 until it is acknowledged */
  int64_t acked_us; /* when its caller had the whole answer; 0: not */
};

/* What a caller asks for: a statement, or a whole transaction for COMMIT. */
typedef struct
{
  const char *id;
  const char *text;
  uint32_t group;
  ClusterKind kind;
  uint32_t session;
  uint32_t vm;
  int64_t first_us; /* before the first byte of the read or its transaction */
} ClusterRequest;

typedef struct
{
  uint32_t reads; /* runs that were judged */
  uint32_t answered;
  uint32_t refused;
  uint32_t commits; /* acknowledged */
  uint32_t stale[CLUSTER_KINDS];
  uint32_t stale_commits; /* those of them that are a COMMIT */
  uint32_t lost;
  uint32_t twice;
  uint32_t two_primaries;
} ClusterVerdict;

void cluster_history_init (void);

/* The functions below may be called by any thread. */

/* cluster_history_asked: to be called before the request is sent. */
void cluster_history_asked (const ClusterRequest *request);
/* cluster_history_answered: the caller has the whole answer. */
void cluster_history_answered (const char *id, bool done);

/* cluster_history_first_commit: the entry that the logs of GROUP begin with. */
const ClusterCommit *cluster_history_first_commit (uint32_t group);
ClusterCommit *cluster_history_commit (const char *id, uint32_t server,
                                       int64_t term,
                                       const ClusterCommit *parent);
/* cluster_history_ran: SERVER runs a read on the log that ends with LAST. */
void cluster_history_ran (const char *id, uint32_t server, int64_t term,
                          bool is_primary, const ClusterCommit *last);
/* cluster_history_leads: a server leads a later term of GROUP with the log that
 * ends with LAST.
 */
void cluster_history_leads (uint32_t group, int64_t term,
                            const ClusterCommit *last);
/* cluster_history_holds: whether the log that ends with LAST has COMMIT. */
bool cluster_history_holds (const ClusterCommit *last,
                            const ClusterCommit *commit);

/* cluster_history_judge: judges everything and records what is wrong. */
void cluster_history_judge (ClusterVerdict *verdict);

#endif
