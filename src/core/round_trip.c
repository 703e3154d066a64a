#include "core/round_trip.h"

#include <glib.h>

/* Weight of a new round trip in the mean, and number of samples that the
 * expectation before any reply counts as.
 */
#define GAIN 0.1
#define PRIOR_SAMPLES 2.0

void
ss_round_trip_sample (SsRoundTrip *trip, double ms)
{
  trip->samples += trip->samples < G_MAXUINT32 ? 1 : 0;
  trip->mean_ms += (ms - trip->mean_ms) * MAX (GAIN, 1.0 / trip->samples);
}

double
ss_round_trip_ms (const SsRoundTrip *trip, bool is_own_domain)
{
  double prior_ms
      = is_own_domain ? SS_ROUND_TRIP_DOMAIN_MS : SS_ROUND_TRIP_REMOTE_MS;

  if (!trip)
    return prior_ms;
  return (prior_ms * PRIOR_SAMPLES + trip->mean_ms * trip->samples)
         / (PRIOR_SAMPLES + trip->samples);
}
