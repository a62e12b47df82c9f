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
  QUEUE_DEPTH = 2,       /* requests that may wait at a backend server */
  OBJECT_CANDIDATES = 2, /* that may handle one object */
  CANDIDATES_MAX = 8,    /* for requests without an object */
};

/* The way to another region and back.  */
#define REGION_PENALTY (45 * USEC_PER_MSEC)
/* The way to another failure domain of the region.  */
#define DOMAIN_PENALTY (2 * USEC_PER_MSEC)

/* After this time a report of load says no more than the mean of all.  */
#define LOAD_FADE (600 * USEC_PER_MSEC)

double
backend_load_at (const backend_t *backend, usec_t now)
{
  usec_t age = now - backend->load_reported_at;
  double trust = age < LOAD_FADE ? 1.0 - (double)age / (double)LOAD_FADE : 0.0;
  return backend->in_flight + backend->other_load * trust
         + backend->other_load_mean * (1.0 - trust);
}

static bool
was_tried (const pool_query_t *query, uint64_t hash)
{
  for (size_t i = 0; i < query->n_excluded; i++)
    if (query->excluded[i] == hash)
      return true;
  return false;
}

bool
pool_is_eligible (const backend_t *backend, const pool_query_t *query)
{
  return backend->is_listed && !backend->record.is_draining
         && !backend->is_evacuated
         && (!query->route
             || route_allows_region (query->route, backend->region.text))
         && !was_tried (query, backend->id_hash);
}

/* Where BACKEND stands in OBJECT's order: weighted rendezvous hashing, the
   lower the earlier.  */
static double
order_of (const backend_t *backend, uint64_t object, usec_t now)
{
  const uint64_t pair[] = { object, backend->id_hash };
  uint64_t hash = XXH3_64bits (pair, sizeof pair);
  double unit = ((double)(hash >> 11) + 0.5) / (double)(1ull << 53);
  double weight = backend->weight
                  * backend_quality_weight_factor (&backend->quality, now);
  return weight > 0 ? -log (unit) / weight : INFINITY;
}

/* The wait for a slot where all are taken, as a part of a run.  It grows with
   the square of the load, as the load is known only roughly.  */
static const double wait_weight = 0.35;

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

/* The time that a request is expected to take at BACKEND, usec.  The FIRST of
   an object's order most likely handled it for other routers.  */
static double
cost_of (const backend_pool_t *pool, const backend_t *backend,
         const pool_query_t *query, usec_t now, bool is_first)
{
  double load = backend_load_at (backend, now);
  double slots = backend->record.slots;
  double known = (double)query->run_time.cached;
  double run = (double)query->run_time.uncached;
  double wait = wait_weight * known * (load / slots) * (load / slots);
  if (!query->has_object)
    wait += load / slots * known;
  else if (is_first
           || recent_objects_contains (&backend->recent_objects,
                                       query->object_hash))
    run = known;
  double slowness = backend_quality_slowness (&backend->quality, now);
  return distance_of (pool, backend) + (wait + run) * slowness;
}

/* Backend servers in the order in which an object belongs to them.  */
typedef struct order
{
  size_t n;
  struct
  {
    backend_t *backend;
    double place;              /* the lower, the earlier */
  } items[CANDIDATES_MAX + 1]; /* one more, to shift into */
} order_t;

static void
order_add (order_t *order, size_t max, backend_t *backend, double place)
{
  size_t at = order->n;
  while (at > 0 && order->items[at - 1].place > place)
    at--;
  if (at >= max)
    return;
  if (order->n < max)
    order->n++;
  memmove (&order->items[at + 1], &order->items[at],
           (order->n - 1 - at) * sizeof order->items[0]);
  order->items[at].backend = backend;
  order->items[at].place = place;
}

/* The few backend servers that may handle OBJECT: so that all of them remember
   their objects, also when work is more than slots.  One that is too cold for
   another request does not count among the few.  */
static void
find_candidates (backend_pool_t *pool, const pool_query_t *query,
                 uint64_t object, usec_t now, order_t *order)
{
  size_t max = query->has_object ? OBJECT_CANDIDATES : CANDIDATES_MAX;
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    {
      backend_t *backend = service->backends[i];
      if (pool_is_eligible (backend, query) && backend->health == BACKEND_UP
          && pool_cold_allows (backend, now))
        order_add (order, max, backend, order_of (backend, object, now));
    }
}

typedef struct best
{
  backend_t *backend;
  double cost;
} best_t;

static void
best_of (const backend_pool_t *pool, const pool_query_t *query,
         const order_t *order, usec_t now, best_t *best)
{
  for (size_t i = 0; i < order->n; i++)
    {
      backend_t *backend = order->items[i].backend;
      double load = backend_load_at (backend, now);
      if (load + 1 > backend->record.slots + QUEUE_DEPTH)
        continue;
      double cost = cost_of (pool, backend, query, now, i == 0);
      if (best->backend && cost >= best->cost)
        continue;
      *best = (best_t){ .backend = backend, .cost = cost };
    }
}

backend_t *
backend_pool_pick (backend_pool_t *pool, const pool_query_t *query, usec_t now)
{
  uint64_t object
      = query->has_object ? query->object_hash : random_next (&pool->random);
  order_t order = { 0 };
  best_t best = { 0 };
  find_candidates (pool, query, object, now, &order);
  best_of (pool, query, &order, now, &best);
  return best.backend;
}

bool
backend_pool_has_eligible (const backend_pool_t *pool,
                           const pool_query_t *query)
{
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    if (pool_is_eligible (service->backends[i], query))
      return true;
  return false;
}

pool_capacity_t
backend_pool_capacity (const backend_pool_t *pool, const pool_query_t *query)
{
  pool_capacity_t capacity = { 0 };
  usec_t sum = 0;
  uint32_t n = 0;
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      if (!pool_is_eligible (backend, query) || backend->health != BACKEND_UP)
        continue;
      capacity.slots += backend->record.slots;
      if (backend->latency == 0)
        continue;
      sum += backend->latency;
      n++;
    }
  capacity.mean_latency = n > 0 ? sum / n : 0;
  return capacity;
}
