/* observe: the state of one backend server as one entry VM observes it.

   The VM's own measurements have priority: requests in flight, a moving
   average of the latency, the failure rate.  Reports are hints: their weight
   halves with each half-life of age, and a hint that reports less load than
   this VM has in flight is overruled.  Outlier ejection: a server that fails
   often or is much slower than its peers is ejected for a time that doubles
   with each consecutive ejection, and returns through a slow start, so that it
   is not flooded on its return.  Without new measurements the estimates decay
   to neutral defaults, so requests still go to the server.  Pure.  */

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
  OUTCOME_FAILED,    /* error answer, or the connection broke */
  OUTCOME_DOWN,      /* no process listens there: its start has ended */
  OUTCOME_TIMED_OUT, /* no answer by the deadline */
  OUTCOME_REFUSED,   /* not run: the server or its admitting VM is full */
  OUTCOME_CANCELLED, /* the caller disconnected; no result */
} run_outcome_t;

typedef enum
{
  HINT_ENDPOINT, /* the server's own health or load endpoint; may be wrong */
  HINT_PEER,     /* the entry VM that grants the server's slots */
} hint_source_t;

typedef struct hint
{
  double load; /* requests running and queued at the server */
  bool healthy;
  usec_t measured_at; /* this VM's clock: arrival less the stated age */
} hint_t;

typedef struct observe
{
  uint32_t in_flight;      /* sent from this VM and not ended */
  double latency;          /* moving average, usec; 0: none yet */
  double baseline_latency; /* of a warm cache, usec: falls at once, rises
                              slowly; 0: none yet */
  double failure_rate;     /* moving average of failed and timed out, 0 to 1 */
  uint64_t n_results;      /* answers and failures since the last ejection */
  usec_t last_result_at;   /* time of the last answer or failure */
  usec_t backoff_until;    /* end of the back-off after refusals */
  double refusal_rate;     /* moving average of refused, 0 to 1 */
  hint_t hints[2];         /* by hint_source_t */
  usec_t ejected_until;
  uint32_t n_ejections; /* consecutive */
  ramp_t ramp;
} observe_t;

/* Initialise for a server that is new to this VM; RAMPED: it has a cold cache
   and gets a slow start.  */
void observe_init (observe_t *observe, bool ramped, usec_t now);

/* A request was sent to the server.  */
void observe_start (observe_t *observe);

/* One of the requests in flight ended, with any outcome.  */
void observe_decrement_in_flight (observe_t *observe);

/* Record that a request ended with OUTCOME at NOW after a run of LATENCY.
   Does not change IN_FLIGHT.  */
void observe_end (observe_t *observe, run_outcome_t outcome, usec_t latency,
                  usec_t now);

/* Store HINT unless a newer one of SOURCE is known.  */
void observe_hint (observe_t *observe, hint_source_t source,
                   const hint_t *hint);

/* Eject the server if it is an outlier: its failure rate is high, or its
   latency is a multiple of PEER_LATENCY (the median of its peers in usec; 0
   where unknown).  Returns true if this call ejected it.  */
bool observe_eject_outlier (observe_t *observe, double peer_latency,
                            usec_t now);

/* Whether the server may be chosen now, i.e. is not ejected.  */
bool observe_usable (const observe_t *observe, usec_t now);

/* The admitting VM refused a request: back off from the server for a short
   time, and for much longer where most requests are refused.  */
void observe_back_off (observe_t *observe, usec_t now);

/* Whether the back-off after refusals still lasts.  */
bool observe_backing_off (const observe_t *observe, usec_t now);

/* Estimated number of requests running or queued at the server; at least
   IN_FLIGHT.  */
double observe_load (const observe_t *observe, usec_t now);

/* Number of requests that the server should run at once now, out of SLOTS:
   fewer during slow start, at least 1.  */
double observe_limit (observe_t *observe, uint32_t slots, usec_t now);

/* Expected latency in usec, higher where requests fail or the server reports
   itself unhealthy; DEFAULT_LATENCY where nothing was measured.  */
double observe_latency (const observe_t *observe, double default_latency,
                        usec_t now);

#endif
