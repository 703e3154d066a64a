/* callers: callers of three databases, each in a thread. */
#ifndef SS_TESTS_WORLD_CALLERS_H
#define SS_TESTS_WORLD_CALLERS_H

#include <stdint.h>

/* Names of the databases, one for each kind of consistency. */
#define WORLD_DATABASE_PRIMARY "lepu270"
#define WORLD_DATABASE_OWN_WRITES "fiti832ti23"
#define WORLD_DATABASE_BOUNDED "xapu221"

/* world_callers_start: has COUNT callers send statements until END_MS. */
void world_callers_start (uint32_t seed, uint32_t count, int64_t end_ms);
/* world_callers_join: waits for all callers. */
void world_callers_join (void);

#endif
