#include "balance/run_estimate.h"

#include <string.h>
#include <xxhash.h>

enum
{
  MEAN_DIVISOR = 8,      /* a new duration has a weight of 1/8 in the mean */
  DEVIATION_DIVISOR = 4, /* and 1/4 in the deviation */
  LIMIT_DEVIATIONS = 4,  /* from the mean to the limit; as in RFC 6298 */
};

/* Initial estimates, as factors of the latency objective.  */
static const double initial_cached = 0.5;
static const double initial_uncached = 1.4;

/* Stands in for the latency objective of a route that has none.  */
#define DEFAULT_OBJECTIVE (300 * USEC_PER_MSEC)

/* The lowest bit is set, so that the hash differs from that of an unused
   entry.  */
static uint64_t
route_hash (const route_t *route)
{
  return XXH3_64bits (route->name.text, strlen (route->name.text)) | 1;
}

/* Returns the index of ROUTE, or of a free entry for it, or
   RUN_ESTIMATE_ROUTES_MAX if it is not in the table and the table is full.  */
static size_t
find (const run_estimate_t *estimate, uint64_t route)
{
  for (size_t i = 0; i < RUN_ESTIMATE_ROUTES_MAX; i++)
    {
      size_t at = (route + i) % RUN_ESTIMATE_ROUTES_MAX;
      uint64_t entry = estimate->routes[at].route;
      if (entry == route || entry == 0)
        return at;
    }
  return RUN_ESTIMATE_ROUTES_MAX;
}

static run_time_t
initial_estimate (const route_t *route)
{
  usec_t objective = route->latency_objective > 0 ? route->latency_objective
                                                  : DEFAULT_OBJECTIVE;
  usec_t uncached = (usec_t)((double)objective * initial_uncached);
  return (run_time_t){ .cached = (usec_t)((double)objective * initial_cached),
                       .uncached = uncached,
                       .uncached_deviation = uncached / 2 };
}

run_time_t
run_estimate_get (const run_estimate_t *estimate, const route_t *route)
{
  size_t at = find (estimate, route_hash (route));
  if (at == RUN_ESTIMATE_ROUTES_MAX || estimate->routes[at].route == 0)
    return initial_estimate (route);
  return estimate->routes[at].run_time;
}

static void
update_mean (usec_t *mean, usec_t duration)
{
  *mean += (duration - *mean) / MEAN_DIVISOR;
}

usec_t
run_time_limit (const run_time_t *run_time)
{
  return run_time->uncached + LIMIT_DEVIATIONS * run_time->uncached_deviation;
}

static void
update_deviation (run_time_t *run_time, usec_t duration)
{
  usec_t deviation = duration > run_time->uncached
                         ? duration - run_time->uncached
                         : run_time->uncached - duration;
  run_time->uncached_deviation
      += (deviation - run_time->uncached_deviation) / DEVIATION_DIVISOR;
}

void
run_estimate_update (run_estimate_t *estimate, const route_t *route,
                     bool was_cached, usec_t duration)
{
  uint64_t hash = route_hash (route);
  size_t at = find (estimate, hash);
  if (at == RUN_ESTIMATE_ROUTES_MAX)
    return;
  if (estimate->routes[at].route == 0)
    {
      estimate->routes[at].route = hash;
      estimate->routes[at].run_time = initial_estimate (route);
    }
  run_time_t *run_time = &estimate->routes[at].run_time;
  if (!was_cached)
    update_deviation (run_time, duration);
  update_mean (was_cached ? &run_time->cached : &run_time->uncached, duration);
}
