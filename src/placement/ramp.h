/* ramp: how fast work may grow on a cold cache.

   A ramp is a fraction from its start (a little) to 1 (all).  Each period
   it grows by a factor while the measured latency stays near the warm one,
   stands still while it is above, and shrinks while it is far above.  With
   no measurement it grows at the slow rate, so it always ends.  Pure.  */

#ifndef PLACEMENT_RAMP_H
#define PLACEMENT_RAMP_H

#include <stdbool.h>

#include "base/time_defs.h"

typedef struct ramp_options
{
  double start;  /* fraction to begin with */
  double growth; /* factor a period while latency is good */
  usec_t period;
  usec_t max_duration; /* it is over at latest after this time */
  double tolerance;    /* latency up to this multiple of warm is good */
} ramp_options_t;

typedef struct ramp
{
  ramp_options_t options;
  double fraction;
  usec_t began_at;
  usec_t stepped_at;
} ramp_t;

/* Defaults: from 0.1, 1.3 a period of 250 ms, at latest after 20 s.  */
ramp_options_t ramp_defaults (void);

/* Begin at time NOW.  */
void ramp_begin (ramp_t *ramp, const ramp_options_t *options, usec_t now);

/* A ramp that is already over: for what was warm from the start.  */
void ramp_finish (ramp_t *ramp);

/* Take the measured and the warm latency (0 where not known) and return the
   fraction at NOW.  */
double ramp_step (ramp_t *ramp, usec_t measured, usec_t warm, usec_t now);

bool ramp_over (const ramp_t *ramp);

#endif
