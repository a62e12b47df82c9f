/* backend_quality: how much slower than expected a backend server is, and
   which fraction of its requests fails.  Pure; times are in usec of one
   monotonic clock.

   Load pattern: a backend server turns slow, or fails part of its requests,
   while its health check still succeeds.  It gets a smaller share of the
   requests, but not none, so that its recovery becomes visible.  The recorded
   values decay with time.  */

#ifndef BALANCE_BACKEND_QUALITY_H
#define BALANCE_BACKEND_QUALITY_H

#include <stdbool.h>

#include "base/time_defs.h"

/* Zero-initialized: no requests recorded.  */
typedef struct backend_quality
{
  double slowness;     /* weighted mean of actual / expected latency - 1 */
  double failure_rate; /* weighted mean, 0 to 1 */
  usec_t updated_at;   /* 0: never */
} backend_quality_t;

/* Records a request that took LATENCY where EXPECTED was expected.  If either
   is 0 (not known), the request counts for the failure rate only.  */
void backend_quality_update (backend_quality_t *quality, bool failed,
                             usec_t latency, usec_t expected, usec_t now);

/* Returns how many times longer than expected a request takes: 1 or more.  */
double backend_quality_slowness (const backend_quality_t *quality, usec_t now);

/* Returns the factor, at most 1, by which the weight of the backend server is
   multiplied.  It is 1 as long as the deviations are small.  */
double backend_quality_weight_factor (const backend_quality_t *quality,
                                      usec_t now);

#endif
