/* Choice of the backend server for a request.

   Load pattern: more requests than slots, objects that run several times
   faster at a backend server that handled them recently, and backend servers
   that are spread unevenly over the regions.

   Weighted rendezvous hashing of the object, with the same hash function at
   all routers, selects a few candidates.  The request goes to the candidate
   with the shortest expected time: the network round trip, the wait for a
   slot, and the run, which is shorter at a backend server that handled the
   object recently.  */

#include "balance/pool_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "routing/account.h"
#include "routing/route_config.h"

enum
{
  QUEUE_DEPTH = 2,       /* requests that may wait at a backend server */
  OBJECT_CANDIDATES = 2, /* for a request with an object */
  CANDIDATES_MAX = 8,    /* for a request without an object */
};

/* Network round trip to another region.  */
#define REGION_ROUND_TRIP (45 * USEC_PER_MSEC)
/* Network round trip to another failure domain of the same region.  */
#define DOMAIN_ROUND_TRIP (2 * USEC_PER_MSEC)

/* A load report loses its weight linearly within this time, in favour of the
   mean of the reports.  */
#define LOAD_REPORT_LIFETIME (600 * USEC_PER_MSEC)

double
backend_load_at (const backend_t *backend, usec_t now)
{
  usec_t age = now - backend->load_reported_at;
  double report_weight = age < LOAD_REPORT_LIFETIME
                             ? 1.0 - (double)age / (double)LOAD_REPORT_LIFETIME
                             : 0.0;
  return backend->in_flight + backend->other_load * report_weight
         + backend->other_load_mean * (1.0 - report_weight);
}

static bool
is_excluded (const pool_query_t *query, uint64_t id_hash)
{
  for (size_t i = 0; i < query->n_excluded; i++)
    if (query->excluded[i] == id_hash)
      return true;
  return false;
}

bool
pool_may_serve (const backend_t *backend, const pool_query_t *query)
{
  return backend->is_listed && !backend->record.is_draining
         && !backend->is_evacuated
         && (!query->route
             || route_allows_region (query->route, backend->region.text))
         && (!query->account
             || account_allows_region (query->account, backend->region.text))
         && !is_excluded (query, backend->id_hash);
}

bool
pool_is_eligible (const backend_t *backend, const pool_query_t *query)
{
  return !backend_is_leaving (backend) && pool_may_serve (backend, query);
}

/* Returns BACKEND's score for an object in weighted rendezvous hashing; the
   backend servers with the lowest scores are preferred.  */
static double
rendezvous_score (const backend_t *backend, uint64_t object_hash, usec_t now)
{
  const uint64_t pair[] = { object_hash, backend->id_hash };
  uint64_t hash = XXH3_64bits (pair, sizeof pair);
  double unit = ((double)(hash >> 11) + 0.5) / (double)(1ull << 53);
  double weight = backend->weight
                  * backend_quality_weight_factor (&backend->quality, now);
  return weight > 0 ? -log (unit) / weight : INFINITY;
}

/* A pace that a backend server told loses its weight linearly within this
   time.  */
#define PACE_LIFETIME (600 * USEC_PER_MSEC)

/* How long work takes at BACKEND now, as a factor; 1 if it tells no pace.  */
static double
pace_at (const backend_t *backend, usec_t now)
{
  usec_t age = now - backend->load_reported_at;
  if (backend->pace == 0 || age >= PACE_LIFETIME)
    return 1;
  double told = (double)backend->pace / LOAD_PACE_NORMAL;
  return told + (1 - told) * (double)age / (double)PACE_LIFETIME;
}

/* Expected wait when the load equals the slots, as a fraction of a cached run.
   The wait grows with the square of the load, because the load is known only
   approximately.  */
static const double wait_factor = 0.35;

/* Returns the network round-trip time to BACKEND in usec.  */
static double
network_time (const backend_pool_t *pool, const backend_t *backend)
{
  const fleet_settings_t *settings = pool->options.settings;
  if (strcmp (settings->region.text, backend->region.text) != 0)
    return REGION_ROUND_TRIP;
  if (strcmp (settings->domain.text, backend->record.domain.text) != 0)
    return DOMAIN_ROUND_TRIP;
  return 0;
}

/* Returns the time in usec that QUERY's request is expected to take at
   BACKEND.  IS_FIRST: BACKEND is the first candidate for the object, so it has
   most likely handled the object for other routers.  */
static double
expected_time (const backend_pool_t *pool, const backend_t *backend,
               const pool_query_t *query, usec_t now, bool is_first)
{
  double load = backend_load_at (backend, now);
  double slots = backend->record.slots;
  double cached = (double)query->run_time.cached;
  double run = (double)query->run_time.uncached;
  double wait = wait_factor * cached * (load / slots) * (load / slots);
  if (!query->has_object)
    wait += load / slots * cached;
  else if (is_first
           || recent_objects_contains (&backend->recent_objects,
                                       query->object_hash))
    run = cached;
  double slowness = backend_quality_slowness (&backend->quality, now);
  return network_time (pool, backend)
         + (wait + run) * slowness * pace_at (backend, now);
}

/* Candidates for a request, by ascending rendezvous score.  */
typedef struct candidates
{
  size_t n;
  struct
  {
    backend_t *backend;
    double score;
  } items[CANDIDATES_MAX + 1]; /* one more, for shifting */
} candidates_t;

/* Inserts BACKEND by its score; keeps the MAX lowest scores.  */
static void
add_candidate (candidates_t *candidates, size_t max, backend_t *backend,
               double score)
{
  size_t at = candidates->n;
  while (at > 0 && candidates->items[at - 1].score > score)
    at--;
  if (at >= max)
    return;
  if (candidates->n < max)
    candidates->n++;
  memmove (&candidates->items[at + 1], &candidates->items[at],
           (candidates->n - 1 - at) * sizeof candidates->items[0]);
  candidates->items[at].backend = backend;
  candidates->items[at].score = score;
}

/* Finds the candidates for a request.  An object has only a few candidates, so
   that each backend server keeps its objects cached even if there are more
   requests than slots.  A cold backend server that may not get another request
   now, or that names a limit, is not a candidate.  LAST_RESORT: only backend
   servers that leave are.
 */
static void
find_candidates (backend_pool_t *pool, const pool_query_t *query,
                 uint64_t object_hash, usec_t now, bool last_resort,
                 candidates_t *candidates)
{
  size_t max = query->has_object ? OBJECT_CANDIDATES : CANDIDATES_MAX;
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    {
      backend_t *backend = service->backends[i];
      bool is_eligible = last_resort
                             ? pool_is_last_resort (pool, backend, query, now)
                             : pool_is_eligible (backend, query);
      if (is_eligible && backend->health == BACKEND_UP
          && backend_notice_allows (&backend->notice, backend->in_flight, now)
          && pool_cold_start_allows (backend, now)
          && pool_limit_allows (backend, now))
        add_candidate (candidates, max, backend,
                       rendezvous_score (backend, object_hash, now));
    }
}

typedef struct choice
{
  backend_t *backend;   /* NULL: none */
  double expected_time; /* usec */
} choice_t;

/* Finds the candidate with free capacity and the shortest expected time.  */
static void
find_best (const backend_pool_t *pool, const pool_query_t *query,
           const candidates_t *candidates, usec_t now, choice_t *best)
{
  for (size_t i = 0; i < candidates->n; i++)
    {
      backend_t *backend = candidates->items[i].backend;
      double load = backend_load_at (backend, now);
      if (load + 1 > backend->record.slots + QUEUE_DEPTH)
        continue;
      double duration = expected_time (pool, backend, query, now, i == 0);
      if (best->backend && duration >= best->expected_time)
        continue;
      *best = (choice_t){ .backend = backend, .expected_time = duration };
    }
}

/* Whether a backend server that does not leave is eligible.  */
static bool
has_staying (const backend_pool_t *pool, const pool_query_t *query)
{
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    if (pool_is_eligible (service->backends[i], query))
      return true;
  return false;
}

backend_t *
backend_pool_pick (backend_pool_t *pool, const pool_query_t *query, usec_t now)
{
  uint64_t object_hash
      = query->has_object ? query->object_hash : random_next (&pool->random);
  candidates_t candidates = { 0 };
  choice_t best = { 0 };
  find_candidates (pool, query, object_hash, now, !has_staying (pool, query),
                   &candidates);
  find_best (pool, query, &candidates, now, &best);
  return best.backend;
}

bool
backend_pool_has_eligible (const backend_pool_t *pool,
                           const pool_query_t *query, usec_t now)
{
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    if (pool_is_last_resort (pool, service->backends[i], query, now))
      return true;
  return has_staying (pool, query);
}

pool_capacity_t
backend_pool_capacity (const backend_pool_t *pool, const pool_query_t *query,
                       usec_t now)
{
  pool_capacity_t capacity = { 0 };
  usec_t sum = 0;
  uint32_t n = 0;
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      if (!pool_is_eligible (backend, query) || backend->health != BACKEND_UP
          || backend_notice_is_resting (&backend->notice, now)
          || pool_cold_start_closed_until (backend, now) > 0
          || pool_limit_closed_until (backend, now) > 0)
        continue;
      if (pool_limit_binds (backend))
        capacity.limited_rate += pool_limit_rate (backend);
      else
        capacity.slots += backend->record.slots;
      if (backend->latency == 0)
        continue;
      sum += backend->latency;
      n++;
    }
  capacity.mean_latency = n > 0 ? sum / n : 0;
  return capacity;
}
