/* callers: sessions of all kinds of route at all VMs. */
#ifndef SS_TESTS_CLUSTER_CALLERS_H
#define SS_TESTS_CLUSTER_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "tests/cluster/history.h"

/* cluster_callers_database: the name of the database of a route, to be freed.
 */
char *cluster_callers_database (uint32_t group, ClusterKind kind);
/* cluster_callers_start: starts the probes of the VMs and the callers. */
void cluster_callers_start (uint32_t seed);
/* cluster_callers_stop: has each caller end after its operation, and waits. */
void cluster_callers_stop (void);

#endif
