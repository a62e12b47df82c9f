/* pool_world: six failure domains in three regions, with one, two and three
   backend servers in each domain of the first, second and third region, for
   tests of the backend pool.  */

#ifndef SUPPORT_POOL_WORLD_H
#define SUPPORT_POOL_WORLD_H

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "balance/backend_pool.h"
#include "fleet/backend_list.h"

enum
{
  DOMAINS = 6,
  SLOTS = 3,
  MEMORY = 25, /* objects kept in the cache of a backend server */
  ROUTERS_MAX = 72,
};

#define NOW (100 * USEC_PER_SEC)

static const char *const domain_names[DOMAINS]
    = { "north-a", "north-b", "east-a", "east-b", "south-a", "south-b" };
static const char *const region_names[DOMAINS]
    = { "north", "north", "east", "east", "south", "south" };
static const size_t backends_of[DOMAINS] = { 1, 1, 2, 2, 3, 3 };

typedef struct world
{
  fleet_settings_t settings;
  backend_list_t list;
  service_config_t service;
  route_config_t config;
  route_t route;
  pool_router_t routers[ROUTERS_MAX];
  size_t n_routers;
  name_t evacuated;
  bool is_evacuated;
  reopened_domains_t reopened;
} world_t;

static inline void
world_init (world_t *world)
{
  *world = (world_t){ 0 };
  fleet_settings_t *settings = &world->settings;
  g_strlcpy (settings->address, "10.0.0.1", sizeof settings->address);
  g_strlcpy (settings->region.text, "north", sizeof settings->region.text);
  g_strlcpy (settings->domain.text, "north-a", sizeof settings->domain.text);
  settings->n_domains = DOMAINS;
  for (size_t i = 0; i < DOMAINS; i++)
    {
      g_strlcpy (settings->domains[i].name.text, domain_names[i],
                 sizeof settings->domains[i].name.text);
      g_strlcpy (settings->domains[i].region.text, region_names[i],
                 sizeof settings->domains[i].region.text);
    }
  g_strlcpy (world->service.name.text, "search",
             sizeof world->service.name.text);
  world->service.cold_rate = 5;
  world->config = (route_config_t){ .version = 1,
                                    .n_services = 1,
                                    .services = &world->service };
  world->route = (route_t){ .max_attempts = 2, .has_affinity = true };
}

static inline void
add_backend (world_t *world, size_t domain, unsigned number)
{
  backend_record_t record = { .slots = SLOTS, .started_unix_ms = 1 };
  snprintf (record.id, sizeof record.id, "%s-%u", domain_names[domain],
            number);
  g_strlcpy (record.service.text, "search", sizeof record.service.text);
  g_strlcpy (record.domain.text, domain_names[domain],
             sizeof record.domain.text);
  record.address = (inet_t){ .address = number + 1, .port = 80 };
  backend_list_add (&world->list, &record);
}

static inline void
add_backends (world_t *world)
{
  for (size_t domain = 0; domain < DOMAINS; domain++)
    for (unsigned i = 0; i < backends_of[domain]; i++)
      add_backend (world, domain, i);
  backend_list_finalize (&world->list);
  world->list.read_at = NOW;
}

static inline void
update (world_t *world, backend_pool_t *pool, usec_t now)
{
  const pool_update_t change = { .list = &world->list,
                                 .config = &world->config,
                                 .evacuated = &world->evacuated,
                                 .n_evacuated = world->is_evacuated,
                                 .reopened = &world->reopened,
                                 .routers = world->routers,
                                 .n_routers = world->n_routers };
  backend_pool_update (pool, &change, now);
}

/* Lists N routers of the region "north", with the addresses from 10.0.0.1.  */
static inline void
add_routers (world_t *world, size_t n)
{
  world->n_routers = n;
  for (size_t i = 0; i < n; i++)
    {
      world->routers[i].address = 0x0a000001 + (uint32_t)i;
      g_strlcpy (world->routers[i].region.text, "north",
                 sizeof world->routers[i].region.text);
    }
}

/* Sets the address of the router under test to the one of router INDEX.  */
static inline void
become_router (world_t *world, size_t index)
{
  snprintf (world->settings.address, sizeof world->settings.address,
            "10.0.0.%zu", index + 1);
}

static inline backend_pool_t *
pool_open (world_t *world)
{
  const backend_pool_options_t options
      = { .settings = &world->settings, .seed = 7 };
  backend_pool_t *pool = backend_pool_new (&options);
  update (world, pool, NOW);
  return pool;
}

/* A pool of a world with eight routers, whose service has a cold start of
   COLD_START.  */
static inline backend_pool_t *
pool_open_cold (world_t *world, usec_t cold_start)
{
  world_init (world);
  add_routers (world, 8);
  add_backends (world);
  world->service.cold_start_duration = cold_start;
  return pool_open (world);
}

static inline void
world_clear (world_t *world)
{
  backend_list_clear (&world->list);
}

static inline pool_query_t
query_of (world_t *world, uint64_t object)
{
  return (pool_query_t){ .service = "search",
                         .route = &world->route,
                         .has_object = true,
                         .object_hash = object * 0x9e3779b97f4a7c15u,
                         .run_time = { .cached = 100 * USEC_PER_MSEC,
                                       .uncached = 300 * USEC_PER_MSEC } };
}

static inline void
report_answered (backend_pool_t *pool, backend_t *backend, usec_t now)
{
  const backend_outcome_t outcome
      = { .result = BACKEND_ANSWERED, .latency = 100 * USEC_PER_MSEC };
  backend_pool_request_ended (pool, backend, &outcome, now);
}

static inline backend_t *
pick_any (world_t *world, backend_pool_t *pool, uint64_t object, usec_t now)
{
  pool_query_t query = query_of (world, object);
  return backend_pool_pick (pool, &query, now);
}

/* Adds to SENT, by step, the requests that a new router sends if it has a
   request for the same object in each of the N_STEPS steps, from NOW on.  */
static inline void
run_router (world_t *world, usec_t step_time, int n_steps, int *sent)
{
  backend_pool_t *pool = pool_open (world);
  for (int step = 0; step < n_steps; step++)
    {
      usec_t now = NOW + step * step_time;
      pool_query_t query = query_of (world, 1);
      backend_t *backend = backend_pool_pick (pool, &query, now);
      if (!backend)
        continue;
      backend_pool_request_sent (pool, backend, &query, now);
      report_answered (pool, backend, now);
      sent[step]++;
    }
  backend_pool_free (pool);
}

/* Returns the largest sum of WINDOW steps in a row.  */
static inline int
busiest_window (const int *sent, int n_steps, int window)
{
  int most = 0;
  for (int from = 0; from + window <= n_steps; from++)
    {
      int n = 0;
      for (int step = from; step < from + window; step++)
        n += sent[step];
      most = MAX (most, n);
    }
  return most;
}

#endif
