/* Load pattern: backend servers that come back cold, one or a whole failure
   domain at once, and crash above a rate that holds for all routers
   together.  */

#include "balance/pool_internal.h"

#include <string.h>
#include <xxhash.h>

enum
{
  COLD_ROUTERS_MAX = 4, /* that may send to one cold backend server */
};

/* Part of the allowed rate that is used, for what is on its way and for two
   views of who routes.  */
static const double cold_margin = 0.6;

static uint64_t
router_rank (const backend_t *backend, uint32_t address)
{
  const uint64_t pair[] = { backend->id_hash, address };
  return XXH3_64bits (pair, sizeof pair);
}

/* How many routers of the backend server's region rank before ADDRESS, and
   how many there are.  */
static size_t
rank_in_region (const backend_t *backend, const pool_update_t *update,
                uint32_t address, size_t *n)
{
  uint64_t own = router_rank (backend, address);
  size_t before = 0;
  *n = 0;
  for (size_t i = 0; i < update->n_routers; i++)
    {
      const pool_router_t *router = &update->routers[i];
      if (strcmp (router->region.text, backend->region.text) != 0)
        continue;
      ++*n;
      if (router->address != address
          && router_rank (backend, router->address) < own)
        before++;
    }
  return before;
}

void
pool_cold_share (backend_pool_t *pool, backend_t *backend,
                 const pool_update_t *update, usec_t now)
{
  const fleet_settings_t *settings = pool->options.settings;
  size_t n = 0;
  size_t rank = rank_in_region (backend, update, pool->self, &n);
  bool is_near = strcmp (settings->region.text, backend->region.text) == 0;
  size_t sharers = n < COLD_ROUTERS_MAX ? n : COLD_ROUTERS_MAX;
  double rate = 0;
  for (size_t i = 0; update->config && i < update->config->n_services; i++)
    if (strcmp (update->config->services[i].name.text,
                backend->record.service.text)
        == 0)
      rate = update->config->services[i].cold_rate;
  if (!is_near || rank >= COLD_ROUTERS_MAX || sharers == 0)
    rate = 0;
  else
    rate = rate * cold_margin / (double)sharers;
  if (backend->cold_refilled_at == 0)
    backend->cold_refilled_at = now;
  backend->cold_rate = rate;
}

/* At most one request at a time is in hand, so that a second holds no more
   than the rate and one a sharer.  */
static double
credit_at (const backend_t *backend, usec_t now)
{
  double seconds
      = (double)(now - backend->cold_refilled_at) / (double)USEC_PER_SEC;
  double credit = backend->cold_tokens + seconds * backend->cold_rate;
  return credit < 1 ? credit : 1;
}

bool
pool_cold_allows (const backend_t *backend, usec_t now)
{
  return now >= backend->cold_until || credit_at (backend, now) >= 1;
}

void
pool_cold_spend (backend_t *backend, usec_t now)
{
  if (now >= backend->cold_until)
    return;
  backend->cold_tokens = credit_at (backend, now) - 1;
  backend->cold_refilled_at = now;
}
