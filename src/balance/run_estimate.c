#include "balance/run_estimate.h"

#include <string.h>
#include <xxhash.h>

enum
{
  SMOOTHING = 8, /* a new span counts one in so many */
};

/* Parts of the objective, before anything was measured.  */
static const double known_guess = 0.5;
static const double fresh_guess = 1.4;

/* Without an objective.  */
#define OBJECTIVE_GUESS (300 * USEC_PER_MSEC)

static uint64_t
route_hash (const route_t *route)
{
  return XXH3_64bits (route->name.text, strlen (route->name.text)) | 1;
}

/* Where ROUTE stands, or a free place for it; RUN_ESTIMATE_ROUTES_MAX where
   there is neither.  */
static size_t
find (const run_estimate_t *estimate, uint64_t route)
{
  for (size_t i = 0; i < RUN_ESTIMATE_ROUTES_MAX; i++)
    {
      size_t at = (route + i) % RUN_ESTIMATE_ROUTES_MAX;
      uint64_t there = estimate->routes[at].route;
      if (there == route || there == 0)
        return at;
    }
  return RUN_ESTIMATE_ROUTES_MAX;
}

static run_time_t
guess (const route_t *route)
{
  usec_t objective = route->latency_objective > 0 ? route->latency_objective
                                                  : OBJECTIVE_GUESS;
  return (run_time_t){ .cached = (usec_t)((double)objective * known_guess),
                       .uncached = (usec_t)((double)objective * fresh_guess) };
}

run_time_t
run_estimate_get (const run_estimate_t *estimate, const route_t *route)
{
  size_t at = find (estimate, route_hash (route));
  if (at == RUN_ESTIMATE_ROUTES_MAX || estimate->routes[at].route == 0)
    return guess (route);
  return estimate->routes[at].run_time;
}

static void
smooth (usec_t *value, usec_t span)
{
  *value += (span - *value) / SMOOTHING;
}

void
run_estimate_update (run_estimate_t *estimate, const route_t *route,
                     bool was_known, usec_t span)
{
  uint64_t hash = route_hash (route);
  size_t at = find (estimate, hash);
  if (at == RUN_ESTIMATE_ROUTES_MAX)
    return;
  if (estimate->routes[at].route == 0)
    {
      estimate->routes[at].route = hash;
      estimate->routes[at].run_time = guess (route);
    }
  run_time_t *known = &estimate->routes[at].run_time;
  smooth (was_known ? &known->cached : &known->uncached, span);
}
