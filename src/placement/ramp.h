/* ramp: slow start of a server with a cold cache.

   A ramp is a fraction of the full load that grows from a small start value to
   1.  In each period the fraction grows by a factor while the measured latency
   is near the baseline latency (that of a warm cache), stays the same while
   the latency is above it, and shrinks while it is far above.  Without a
   measurement the fraction grows at a slower rate.  The ramp always ends after
   a maximum duration.  Pure.  */

#ifndef PLACEMENT_RAMP_H
#define PLACEMENT_RAMP_H

#include <stdbool.h>

#include "base/time_defs.h"

typedef struct ramp_options
{
  double start;  /* initial and lowest fraction */
  double growth; /* factor per period while latency is good */
  usec_t period;
  usec_t max_duration;      /* the fraction is 1 after this time */
  double latency_ratio_max; /* good up to this multiple of the baseline */
} ramp_options_t;

typedef struct ramp
{
  ramp_options_t options;
  double fraction;
  usec_t started_at;
  usec_t stepped_at;
} ramp_t;

/* Defaults: start at 0.1, grow by 1.3 per period of 250 ms, end after at most
   20 s.  */
ramp_options_t ramp_defaults (void);

/* Start RAMP at time NOW, which may be in the future.  */
void ramp_begin (ramp_t *ramp, const ramp_options_t *options, usec_t now);

/* End RAMP: for a server whose cache is warm from the start.  */
void ramp_finish (ramp_t *ramp);

/* Update RAMP with the MEASURED and the BASELINE latency (0 where unknown) and
   return the fraction at NOW.  */
double ramp_step (ramp_t *ramp, usec_t measured, usec_t baseline, usec_t now);

bool ramp_over (const ramp_t *ramp);

#endif
