/* run_estimate: how long requests of a route run, at a backend server that
   handled their object lately and at one that did not.  Pure.  */

#ifndef BALANCE_RUN_ESTIMATE_H
#define BALANCE_RUN_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "routing/route_defs.h"

enum
{
  RUN_ESTIMATE_ROUTES_MAX = 512, /* routes; a power of two */
};

typedef struct run_span
{
  usec_t cached;   /* where the object was handled lately */
  usec_t uncached; /* elsewhere */
} run_time_t;

typedef struct run_estimate
{
  struct
  {
    uint64_t route; /* hash of its name; 0: free */
    run_time_t run_time;
  } routes[RUN_ESTIMATE_ROUTES_MAX];
} run_estimate_t;

/* What is known of ROUTE; a guess from its objective at first.  */
run_time_t run_estimate_get (const run_estimate_t *estimate,
                             const route_t *route);

/* A request of ROUTE took SPAN, network and queue included.  */
void run_estimate_update (run_estimate_t *estimate, const route_t *route,
                          bool was_known, usec_t span);

#endif
