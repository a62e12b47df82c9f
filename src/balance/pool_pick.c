/* Load pattern: more work than slots, objects that run several times faster
   where they ran lately, and backend servers that stand unevenly over the
   regions.

   Each backend server has an expected time: the way there, the wait for a
   slot, and the run, which is short where the object ran lately.  The least
   one wins.  Where nothing ran yet, a hash that all routers share says which
   backend server an object belongs to.  */

#include "balance/pool_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "routing/route_config.h"

enum
{
  QUEUE_DEPTH = 2, /* requests that may wait at a backend server */
};

/* The way to another region and back, and what the traffic between regions
   is worth besides.  */
#define REGION_PENALTY (100 * USEC_PER_MSEC)
/* The way to another failure domain of the region.  */
#define DOMAIN_PENALTY (6 * USEC_PER_MSEC)

/* After this time a report of load says nothing any more.  */
#define LOAD_FADE (600 * USEC_PER_MSEC)

/* A backend server in the middle of an object's order costs this part of a
   fresh run more than the first.  */
static const double order_weight = 0.35;

double
backend_load_at (const backend_t *backend, usec_t now)
{
  usec_t age = now - backend->others_at;
  double trust = age < LOAD_FADE
                     ? 1.0 - (double)age / (double)LOAD_FADE
                     : 0.0;
  return backend->in_flight + backend->others * trust;
}

static bool
was_tried (const pool_query_t *query, uint64_t hash)
{
  for (size_t i = 0; i < query->n_tried; i++)
    if (query->tried[i] == hash)
      return true;
  return false;
}

bool
pool_is_eligible (const backend_t *backend, const pool_query_t *query)
{
  return backend->is_listed && !backend->record.is_draining
         && !backend->is_evacuated
         && strcmp (backend->record.service.text, query->service) == 0
         && (!query->route
             || route_allows_region (query->route, backend->region.text))
         && !was_tried (query, backend->hash);
}

/* Where BACKEND stands in OBJECT's order, from 0 (first) to 1.  */
static double
order_of (const backend_t *backend, uint64_t object)
{
  const uint64_t pair[] = { object, backend->hash };
  uint64_t hash = XXH3_64bits (pair, sizeof pair);
  return (double)(hash >> 11) / (double)(1ull << 53);
}

static double
distance_of (const backend_pool_t *pool, const backend_t *backend)
{
  const fleet_settings_t *settings = pool->options.settings;
  if (strcmp (settings->region.text, backend->region.text) != 0)
    return REGION_PENALTY;
  if (strcmp (settings->domain.text, backend->record.domain.text) != 0)
    return DOMAIN_PENALTY;
  return 0;
}

/* The time that a request is expected to take at BACKEND, usec.  */
static double
cost_of (const backend_pool_t *pool, const backend_t *backend,
         const pool_query_t *query, uint64_t object, double load)
{
  double slots = backend->record.slots;
  double run = (double)query->run.fresh;
  double ahead = load + 1 - slots;
  double wait = ahead > 0 ? ahead * (double)query->run.known / slots : 0;
  if (!query->has_object)
    wait += load / slots * (double)query->run.known;
  else if (object_memory_has (&backend->objects, object))
    run = (double)query->run.known;
  else
    run += order_of (backend, object) * order_weight
           * (double)query->run.fresh;
  return distance_of (pool, backend) + wait + run;
}

backend_t *
backend_pool_pick (backend_pool_t *pool, const pool_query_t *query, usec_t now)
{
  uint64_t object
      = query->has_object ? query->object : random_next (&pool->random);
  backend_t *best = NULL;
  double best_cost = 0;
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    if (!pool_is_eligible (backend, query) || backend->health != BACKEND_UP
        || !pool_cold_allows (backend, now))
      continue;
    double load = backend_load_at (backend, now);
    if (load + 1 > backend->record.slots + QUEUE_DEPTH)
      continue;
    double cost = cost_of (pool, backend, query, object, load);
    if (best && cost >= best_cost)
      continue;
    best = backend;
    best_cost = cost;
  }
  return best;
}

bool
backend_pool_serves (const backend_pool_t *pool, const pool_query_t *query)
{
  LIST_FOREACH (link, &pool->backends)
  if (pool_is_eligible (LIST_ENTRY (link, backend_t, link), query))
    return true;
  return false;
}

pool_capacity_t
backend_pool_capacity (const backend_pool_t *pool, const pool_query_t *query)
{
  pool_capacity_t capacity = { 0 };
  usec_t sum = 0;
  uint32_t n = 0;
  LIST_FOREACH (link, &pool->backends)
  {
    const backend_t *backend = LIST_ENTRY (link, backend_t, link);
    if (!pool_is_eligible (backend, query) || backend->health != BACKEND_UP)
      continue;
    capacity.slots += backend->record.slots;
    capacity.in_flight += backend->in_flight;
    if (backend->latency == 0)
      continue;
    sum += backend->latency;
    n++;
  }
  capacity.latency = n > 0 ? sum / n : 0;
  return capacity;
}
