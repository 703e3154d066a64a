/* faults: what goes wrong in a run, drawn from a seed, in series and at the
 * same time.
 */
#ifndef SS_TESTS_CLUSTER_FAULTS_H
#define SS_TESTS_CLUSTER_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

/* cluster_faults_plan: draws faults for the next SPAN_MS from SEED.  ONLY is a
 * list of kinds, separated by commas; NULL: of all kinds.  Returns false if it
 * names another.
 */
bool cluster_faults_plan (uint32_t seed, int64_t span_ms, const char *only);
/* cluster_faults_tick: begins and ends what is due.  To be called often, by the
 * thread that has started the VMs.
 */
void cluster_faults_tick (void);
/* cluster_faults_end: ends all faults. */
void cluster_faults_end (void);
/* cluster_faults_link_store: has the platform's stand-in follow the faults; to
 * be called before it starts.
 */
void cluster_faults_link_store (void);

#endif
