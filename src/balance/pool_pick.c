/* Load pattern: more work than slots, objects that run several times faster
   where they ran lately, and backend servers that stand unevenly over the
   regions.  */

#include "balance/pool_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "routing/route_config.h"

enum
{
  CHOICES = 3,     /* backend servers that an object is kept with */
  QUEUE_DEPTH = 2, /* requests that may wait at a backend server */
};

/* How much more a backend server of the caller's region counts.  */
static const double home_weight = 3.0;

/* After this time a report of load says nothing any more.  */
#define LOAD_FADE (600 * USEC_PER_MSEC)

double
backend_load_at (const backend_t *backend, usec_t now)
{
  usec_t age = now - backend->others_at;
  double trust = age < LOAD_FADE ? 1.0 - (double)age / (double)LOAD_FADE : 0.0;
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

/* Weighted rendezvous hashing: the higher, the better.  */
static double
rank (const backend_pool_t *pool, const backend_t *backend, uint64_t object)
{
  const uint64_t pair[] = { object, backend->hash };
  uint64_t hash = XXH3_64bits (pair, sizeof pair);
  double unit = ((double)(hash >> 11) + 0.5) / (double)(1ull << 53);
  bool is_near
      = strcmp (pool->options.settings->region.text, backend->region.text)
        == 0;
  return (is_near ? home_weight : 1.0) / -log (unit);
}

typedef struct choice
{
  backend_t *backend;
  double rank;
} choice_t;

/* Keep the best CHOICES, in order.  */
static void
choice_add (choice_t choices[CHOICES], backend_t *backend, double value)
{
  for (size_t i = 0; i < CHOICES; i++)
    {
      if (choices[i].backend && choices[i].rank >= value)
        continue;
      memmove (&choices[i + 1], &choices[i],
               (CHOICES - 1 - i) * sizeof choices[0]);
      choices[i] = (choice_t){ .backend = backend, .rank = value };
      return;
    }
}

static bool
may_take (const backend_t *backend, usec_t now)
{
  return backend->health == BACKEND_UP && pool_cold_allows (backend, now);
}

/* The first choice with a free slot, else the least loaded one whose queue is
   short.  */
static backend_t *
take_choice (choice_t choices[CHOICES], usec_t now)
{
  backend_t *best = NULL;
  double best_load = 0;
  for (size_t i = 0; i < CHOICES && choices[i].backend; i++)
    {
      backend_t *backend = choices[i].backend;
      double load = backend_load_at (backend, now);
      double room = (double)backend->record.slots;
      if (load + 1 <= room)
        return backend;
      if (load + 1 <= room + QUEUE_DEPTH && (!best || load < best_load))
        {
          best = backend;
          best_load = load;
        }
    }
  return best;
}

backend_t *
backend_pool_pick (backend_pool_t *pool, const pool_query_t *query, usec_t now)
{
  uint64_t object
      = query->has_object ? query->object : random_next (&pool->random);
  choice_t known[CHOICES] = { 0 };
  choice_t open[CHOICES] = { 0 };
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    if (!pool_is_eligible (backend, query) || !may_take (backend, now))
      continue;
    double value = rank (pool, backend, object);
    choice_add (known, backend, value);
    if (backend_load_at (backend, now) + 1 <= backend->record.slots)
      choice_add (open, backend, value);
  }
  backend_t *backend = take_choice (known, now);
  if (backend && backend_load_at (backend, now) + 1 <= backend->record.slots)
    return backend;
  return open[0].backend ? open[0].backend : backend;
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
