/* Weights of the backend servers in weighted rendezvous hashing, derived from
   the regions' shares of the requests.  */

#include "balance/pool_internal.h"

#include <string.h>

#include "balance/region_share.h"

/* Minimum share of a region with slots, so that its backend servers have a
   weight for when those of the other regions fail.  */
static const double share_min = 0.02;

typedef struct regions
{
  size_t n;
  const char *names[REGION_SHARES_MAX];
  region_capacity_t capacities[REGION_SHARES_MAX];
  size_t self; /* index of this router's region */
} regions_t;

/* Returns the index of region NAME; regions->n if it is not known.  */
static size_t
region_index (const regions_t *regions, const char *name)
{
  size_t i = 0;
  while (i < regions->n && strcmp (regions->names[i], name) != 0)
    i++;
  return i;
}

static void
regions_init (const backend_pool_t *pool, const pool_update_t *update,
              regions_t *regions)
{
  const fleet_settings_t *settings = pool->options.settings;
  regions->n = 0;
  for (size_t i = 0; i < settings->n_domains; i++)
    {
      const char *name = settings->domains[i].region.text;
      if (region_index (regions, name) < regions->n
          || regions->n == REGION_SHARES_MAX)
        continue;
      regions->names[regions->n] = name;
      regions->capacities[regions->n++] = (region_capacity_t){ 0 };
    }
  for (size_t i = 0; i < update->n_routers; i++)
    {
      size_t at = region_index (regions, update->routers[i].region.text);
      if (at < regions->n)
        regions->capacities[at].demand++;
    }
  regions->self = region_index (regions, settings->region.text);
}

static bool
is_available (const backend_t *backend)
{
  return backend->is_listed && !backend->record.is_draining
         && !backend->is_evacuated;
}

/* Divides the share of each region among its backend servers of SERVICE in
   proportion to their slots.  */
static void
set_weights (regions_t *regions, const pool_service_t *service)
{
  double shares[REGION_SHARES_MAX];
  for (size_t i = 0; i < regions->n; i++)
    regions->capacities[i].slots = 0;
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      size_t at = region_index (regions, backend->region.text);
      if (is_available (backend) && at < regions->n)
        regions->capacities[at].slots += backend->record.slots;
    }
  region_share (regions->capacities, regions->n, regions->self, shares);
  for (size_t i = 0; i < service->n; i++)
    {
      backend_t *backend = service->backends[i];
      size_t at = region_index (regions, backend->region.text);
      backend->weight = 0;
      if (at >= regions->n)
        continue;
      double slots = regions->capacities[at].slots;
      double share = shares[at] > share_min ? shares[at] : share_min;
      if (slots > 0)
        backend->weight = share * (double)backend->record.slots / slots;
    }
}

void
pool_update_weights (backend_pool_t *pool, const pool_update_t *update)
{
  regions_t regions;
  regions_init (pool, update, &regions);
  if (regions.self >= regions.n)
    return;
  for (size_t i = 0; i < pool->n_services; i++)
    set_weights (&regions, &pool->services[i]);
}
