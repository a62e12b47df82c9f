#include "director/lookup.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "routing/route_config.h"

/* Preference of a router for a caller, best first.  */
typedef enum
{
  RANK_OWN_DOMAIN,
  RANK_OWN_REGION,
  RANK_ALLOWED_REGION, /* in a region that the host's routes allow */
  RANK_ANY_REGION,     /* takes requests, in any other region */
  RANK_EXCLUDED,       /* takes no requests */
} lookup_rank_t;

/* Which routers may be named.  */
typedef struct candidates
{
  const router_table_t *routers;
  bool has_reaching; /* some reach backend servers */
} candidates_t;

static candidates_t
candidates_of (const router_table_t *routers)
{
  candidates_t candidates = { .routers = routers };
  for (size_t i = 0; i < routers->n_records; i++)
    candidates.has_reaching |= routers->records[i].takes_requests
                               && !routers->records[i].is_cut_off;
  return candidates;
}

/* True where some route of HOST allows REGION, or HOST has no route in
   CONFIG.  */
static bool
host_allows_region (const route_config_t *config, const char *host,
                    const char *region)
{
  if (!config)
    return true;
  bool is_known = false;
  for (size_t i = 0; i < config->n_routes; i++)
    {
      const route_t *route = &config->routes[i];
      if (strcasecmp (route->host, host) != 0)
        continue;
      is_known = true;
      if (route_allows_region (route, region))
        return true;
    }
  return !is_known;
}

static lookup_rank_t
rank_of (const candidates_t *candidates, const router_record_t *router,
         const route_config_t *config, const lookup_query_t *query)
{
  if (!router->takes_requests
      || (router->is_cut_off && candidates->has_reaching))
    return RANK_EXCLUDED;
  if (strcmp (router->domain.text, query->domain) == 0)
    return RANK_OWN_DOMAIN;
  if (strcmp (router->region.text, query->region) == 0)
    return RANK_OWN_REGION;
  if (host_allows_region (config, query->host, router->region.text))
    return RANK_ALLOWED_REGION;
  return RANK_ANY_REGION;
}

/* Write the addresses of up to MAX routers of RANK; returns their number.  */
static size_t
append_rank (const candidates_t *candidates, const route_config_t *config,
             const lookup_query_t *query, lookup_rank_t rank,
             inet_t *addresses, size_t max)
{
  const router_table_t *routers = candidates->routers;
  size_t n = 0;
  for (size_t i = 0; i < routers->n_records && n < max; i++)
    if (rank_of (candidates, &routers->records[i], config, query) == rank)
      addresses[n++] = routers->records[i].request_address;
  return n;
}

size_t
lookup_choose (const router_table_t *routers, const route_config_t *config,
               const lookup_query_t *query, inet_t *addresses, size_t max)
{
  const candidates_t candidates = candidates_of (routers);
  size_t n = append_rank (&candidates, config, query, RANK_OWN_DOMAIN,
                          addresses, max);
  n += append_rank (&candidates, config, query, RANK_OWN_REGION, addresses + n,
                    max - n);
  for (lookup_rank_t rank = RANK_ALLOWED_REGION;
       n == 0 && rank < RANK_EXCLUDED; rank++)
    n = append_rank (&candidates, config, query, rank, addresses, max);
  return n;
}

struct lookup_view
{
  pthread_mutex_t lock;
  router_table_t routers;
  route_config_t *config;
};

lookup_view_t *
lookup_view_new (void)
{
  lookup_view_t *view = calloc (1, sizeof *view);
  if (!view)
    abort ();
  pthread_mutex_init (&view->lock, NULL);
  return view;
}

void
lookup_view_free (lookup_view_t *view)
{
  if (!view)
    return;
  route_config_free (view->config);
  pthread_mutex_destroy (&view->lock);
  free (view);
}

void
lookup_view_put_routers (lookup_view_t *view, const router_table_t *routers)
{
  pthread_mutex_lock (&view->lock);
  view->routers.n_records = routers->n_records;
  memcpy (view->routers.records, routers->records,
          routers->n_records * sizeof routers->records[0]);
  pthread_mutex_unlock (&view->lock);
}

void
lookup_view_put_config (lookup_view_t *view, route_config_t *config)
{
  pthread_mutex_lock (&view->lock);
  route_config_t *old = view->config;
  view->config = config;
  pthread_mutex_unlock (&view->lock);
  route_config_free (old);
}

size_t
lookup_view_choose (lookup_view_t *view, const lookup_query_t *query,
                    inet_t *addresses, size_t max)
{
  pthread_mutex_lock (&view->lock);
  size_t n
      = lookup_choose (&view->routers, view->config, query, addresses, max);
  pthread_mutex_unlock (&view->lock);
  return n;
}
