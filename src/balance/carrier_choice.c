#include "balance/carrier_choice.h"

#include <string.h>

#include "routing/account.h"
#include "routing/route_config.h"

static bool
is_avoided (const carrier_choice_t *choice, uint32_t address)
{
  for (size_t i = 0; i < choice->n_avoided; i++)
    if (choice->avoided[i].address == address)
      return true;
  return false;
}

static void
expire (carrier_choice_t *choice, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < choice->n_avoided; i++)
    if (choice->avoided[i].until > now)
      choice->avoided[n++] = choice->avoided[i];
  choice->n_avoided = n;
}

static bool
is_usable (const carrier_choice_t *choice, const carrier_query_t *query,
           const pool_router_t *router)
{
  return !router->is_cut_off && router->address != query->self
         && router->port != 0
         && route_allows_region (query->route, router->region.text)
         && (!query->account
             || account_allows_region (query->account, router->region.text))
         && !is_avoided (choice, router->address);
}

/* The usable router with this NUMBER among those that are in the own region,
   or that are not.  */
static const pool_router_t *
usable_at (const carrier_choice_t *choice, const carrier_query_t *query,
           bool is_near, uint64_t number)
{
  for (size_t i = 0; i < query->n_routers; i++)
    {
      const pool_router_t *router = &query->routers[i];
      if ((strcmp (router->region.text, query->region) == 0) == is_near
          && is_usable (choice, query, router) && number-- == 0)
        return router;
    }
  return NULL;
}

const pool_router_t *
carrier_choose (carrier_choice_t *choice, const carrier_query_t *query,
                random_state_t *random, usec_t now)
{
  uint64_t n_region = 0;
  uint64_t n_near = 0;
  uint64_t n_far = 0;
  expire (choice, now);
  for (size_t i = 0; i < query->n_routers; i++)
    {
      const pool_router_t *router = &query->routers[i];
      bool is_near = strcmp (router->region.text, query->region) == 0;
      n_region += is_near;
      if (!is_usable (choice, query, router))
        continue;
      n_near += is_near;
      n_far += !is_near;
    }
  if (n_near + n_far == 0)
    return NULL;
  bool is_near
      = n_far == 0 || (n_near > 0 && random_below (random, n_region) < n_near);
  uint64_t number = random_below (random, is_near ? n_near : n_far);
  return usable_at (choice, query, is_near, number);
}

void
carrier_avoid (carrier_choice_t *choice, uint32_t address, usec_t now)
{
  expire (choice, now);
  if (is_avoided (choice, address)
      || choice->n_avoided == CARRIERS_AVOIDED_MAX)
    return;
  choice->avoided[choice->n_avoided++]
      = (avoided_carrier_t){ .address = address,
                             .until = now + CARRIER_AVOID_TIME };
}
