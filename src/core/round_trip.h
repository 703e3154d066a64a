/* round_trip: mean time of a message to a VM of a failure domain and of its
 * reply, from the replies to statements.
 */
#ifndef SS_ROUND_TRIP_H
#define SS_ROUND_TRIP_H

#include <stdbool.h>
#include <stdint.h>

/* Expected before any reply: inside a failure domain, and to another one, which
 * may be in another region.
 */
#define SS_ROUND_TRIP_DOMAIN_MS 1.0
#define SS_ROUND_TRIP_REMOTE_MS 16.0

typedef struct
{
  double mean_ms;
  uint32_t samples;
} SsRoundTrip;

/* ss_round_trip_sample: adds a round trip of MS milliseconds. */
void ss_round_trip_sample (SsRoundTrip *trip, double ms);
/* ss_round_trip_ms: returns the expected round trip in milliseconds.  TRIP may
 * be NULL: nothing is known but whether the failure domain is this VM's own.
 */
double ss_round_trip_ms (const SsRoundTrip *trip, bool is_own_domain);

#endif
