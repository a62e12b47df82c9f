/* How much each backend server counts in the order of an object's backend
   servers: by the shares of the regions.  */

#include "balance/pool_internal.h"

#include <string.h>

#include "balance/region_share.h"

/* A region that serves nothing of ours still counts so much, for when the
   others fail.  */
static const double share_floor = 0.02;

typedef struct regions
{
  size_t n;
  const char *names[REGION_SHARES_MAX];
  region_capacity_t rooms[REGION_SHARES_MAX];
  size_t self;
} regions_t;

static size_t
region_index (const regions_t *regions, const char *name)
{
  size_t i = 0;
  while (i < regions->n && strcmp (regions->names[i], name) != 0)
    i++;
  return i;
}

static void
regions_open (const backend_pool_t *pool, const pool_update_t *update,
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
      regions->rooms[regions->n++] = (region_capacity_t){ 0 };
    }
  for (size_t i = 0; i < update->n_routers; i++)
    {
      size_t at = region_index (regions, update->routers[i].region.text);
      if (at < regions->n)
        regions->rooms[at].demand++;
    }
  regions->self = region_index (regions, settings->region.text);
}

static bool
has_room (const backend_t *backend)
{
  return backend->is_listed && !backend->record.is_draining
         && !backend->is_evacuated;
}

/* The weights of all backend servers of SERVICE.  */
static void
weigh_service (regions_t *regions, const pool_service_t *service)
{
  double shares[REGION_SHARES_MAX];
  for (size_t i = 0; i < regions->n; i++)
    regions->rooms[i].slots = 0;
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      size_t at = region_index (regions, backend->region.text);
      if (has_room (backend) && at < regions->n)
        regions->rooms[at].slots += backend->record.slots;
    }
  region_share (regions->rooms, regions->n, regions->self, shares);
  for (size_t i = 0; i < service->n; i++)
    {
      backend_t *backend = service->backends[i];
      size_t at = region_index (regions, backend->region.text);
      backend->weight = 0;
      if (at >= regions->n)
        continue;
      double slots = regions->rooms[at].slots;
      double share = shares[at] > share_floor ? shares[at] : share_floor;
      if (slots > 0)
        backend->weight = share * (double)backend->record.slots / slots;
    }
}

void
pool_weigh (backend_pool_t *pool, const pool_update_t *update)
{
  regions_t regions;
  regions_open (pool, update, &regions);
  if (regions.self >= regions.n)
    return;
  for (size_t i = 0; i < pool->n_services; i++)
    weigh_service (&regions, &pool->services[i]);
}
