/* run_estimate: estimated duration of the requests of each route, at a backend
   server that handled the request's object recently (cached) and at one that
   did not (uncached).  Pure.  */

#ifndef BALANCE_RUN_ESTIMATE_H
#define BALANCE_RUN_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "routing/route_defs.h"

enum
{
  RUN_ESTIMATE_ROUTES_MAX = 512, /* a power of two; further routes keep the
                                    initial estimate */
};

typedef struct run_time
{
  usec_t cached;
  usec_t uncached;
  usec_t uncached_deviation; /* mean absolute deviation from it */
} run_time_t;

/* Hash table with open addressing.  Zero-initialized: empty.  */
typedef struct run_estimate
{
  struct
  {
    uint64_t route; /* hash of its name; 0: unused entry */
    run_time_t run_time;
  } routes[RUN_ESTIMATE_ROUTES_MAX];
} run_estimate_t;

/* Returns the estimate for ROUTE.  Before the first update of a route it is
   derived from the route's latency objective.  */
run_time_t run_estimate_get (const run_estimate_t *estimate,
                             const route_t *route);

/* Returns a duration that few requests with RUN_TIME, to a backend server that
   did not handle their objects recently, exceed.  */
usec_t run_time_limit (const run_time_t *run_time);

/* Records that a request of ROUTE took DURATION, including network and queue
   time.  WAS_CACHED: the backend server had handled the object recently.  */
void run_estimate_update (run_estimate_t *estimate, const route_t *route,
                          bool was_cached, usec_t duration);

#endif
