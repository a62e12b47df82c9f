/* observe: what one entry VM knows of one backend server.

   Own measurements come first: requests in flight, a moving average of the
   latency, the failure rate.  Reports are hints: their weight halves with
   each half-life of age, and one that claims less load than is running from
   here is overruled.  A server that fails or is far slower than its peers
   is ejected for a time that doubles, then let back through a ramp, so that
   its return is no stampede.  When nothing is measured any more, what is
   known fades to neutral and the service goes on.  Pure.  */

#ifndef PLACEMENT_OBSERVE_H
#define PLACEMENT_OBSERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/ramp.h"

/* How one request to a backend server ended.  */
typedef enum
{
  OUTCOME_ANSWERED,
  OUTCOME_FAILED,    /* the server answered with a fault, or broke off */
  OUTCOME_TIMED_OUT, /* no answer by the deadline */
  OUTCOME_REFUSED,   /* not run: it or its admitting VM is full */
  OUTCOME_CANCELLED, /* the caller went away; says nothing of the server */
} run_outcome_t;

typedef enum
{
  HINT_ENDPOINT, /* the server's own health or load endpoint; may mislead */
  HINT_PEER,     /* the entry VM that admits to the server's slots */
} hint_source_t;

typedef struct hint
{
  double load; /* requests running and queued there */
  bool healthy;
  usec_t measured_at; /* own clock: when it came, less its stated age */
} hint_t;

typedef struct observe
{
  uint32_t in_flight; /* sent from here and not ended */
  double latency;     /* moving average of answers, usec; 0: none yet */
  double warm;        /* slowly moving low level of latency; 0: none yet */
  double failure;     /* moving average of failed or timed out, 0 to 1 */
  uint64_t n_ended;
  usec_t ended_at;      /* the last answer or failure */
  usec_t refused_until; /* backing off after refusals */
  double refusal;       /* moving average of refused, 0 to 1 */
  hint_t hints[2];      /* by hint_source_t */
  usec_t ejected_until;
  uint32_t n_ejections; /* in a row */
  ramp_t ramp;
} observe_t;

/* A server that is new to this VM; RAMPED where it joins cold.  */
void observe_init (observe_t *observe, bool ramped, usec_t now);

void observe_start (observe_t *observe);

/* One of the requests in flight ended.  */
void observe_leave (observe_t *observe);

/* One request had OUTCOME at NOW; its run at the server took LATENCY.  */
void observe_end (observe_t *observe, run_outcome_t outcome, usec_t latency,
                  usec_t now);

void observe_hint (observe_t *observe, hint_source_t source,
                   const hint_t *hint);

/* Eject where failures or latency, against PEER_LATENCY (the median of its
   peers; 0 where unknown), are far off.  Returns true when it just did.  */
bool observe_eject_outlier (observe_t *observe, double peer_latency,
                            usec_t now);

/* Whether it may be chosen now.  */
bool observe_usable (const observe_t *observe, usec_t now);

/* Its admitting VM refused a request: leave it alone for a moment, and for
   much longer where it refuses many.  */
void observe_back_off (observe_t *observe, usec_t now);

/* Whether it is left alone after refusals.  */
bool observe_backing_off (const observe_t *observe, usec_t now);

/* Estimated requests running or queued there; never less than IN_FLIGHT.  */
double observe_load (const observe_t *observe, usec_t now);

/* Requests that it should run at once now, of SLOTS: less while it ramps,
   at least 1.  */
double observe_limit (observe_t *observe, uint32_t slots, usec_t now);

/* Expected time from sending to the answer, DEFAULT_LATENCY where nothing
   was measured.  */
double observe_latency (const observe_t *observe, double default_latency,
                        usec_t now);

#endif
