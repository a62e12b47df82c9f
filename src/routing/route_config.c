#include "routing/route_config.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/name.h"
#include "routing/account.h"

void
route_config_free (route_config_t *config)
{
  if (!config)
    return;
  for (size_t i = 0; i < config->n_routes; i++)
    {
      free (config->routes[i].shares);
      free (config->routes[i].home_region_names);
    }
  free (config->routes);
  free (config->services);
  accounts_clear (config);
  free (config);
}

const service_config_t *
route_config_service (const route_config_t *config, const char *name)
{
  for (size_t i = 0; i < config->n_services; i++)
    if (strcmp (config->services[i].name.text, name) == 0)
      return &config->services[i];
  return NULL;
}

static bool
check_shares (const route_config_t *config, const route_t *route, err_t *err)
{
  if (route->n_shares == 0)
    return err_set (err, ERR_USAGE,
                    "name one service, or several services with weights",
                    "route %s has no service", route->name.text);
  double sum = 0;
  for (size_t i = 0; i < route->n_shares; i++)
    {
      const route_share_t *share = &route->shares[i];
      if (!route_config_service (config, share->service.text))
        return err_set (err, ERR_USAGE,
                        "define the service in the same configuration, or "
                        "correct its name in the route",
                        "route %s sends requests to service %s, which the "
                        "configuration does not define",
                        route->name.text, share->service.text);
      if (!(share->weight >= 0) || isinf (share->weight))
        return err_set (err, ERR_USAGE, "set a finite weight of 0 or more",
                        "route %s gives service %s the invalid weight %g",
                        route->name.text, share->service.text, share->weight);
      sum += share->weight;
    }
  return !isinf (sum)
         || err_set (err, ERR_USAGE, "set weights with a finite sum",
                     "the weights of route %s have no finite sum",
                     route->name.text);
}

bool
route_config_check (const route_config_t *config, err_t *err)
{
  for (size_t i = 0; i < config->n_routes; i++)
    {
      const route_t *route = &config->routes[i];
      if (!route->host[0])
        return err_set (err, ERR_USAGE,
                        "set the host that callers send in their requests",
                        "route %s has an empty host", route->name.text);
      if (route->max_attempts == 0)
        return err_set (err, ERR_USAGE, "set the attempts to 1 or more",
                        "route %s allows 0 attempts", route->name.text);
      if (!check_shares (config, route, err))
        return false;
    }
  return accounts_check (config, err);
}

/* Compares without regard to case; a port after HOST is ignored.  */
static bool
host_matches (const char *host, const char *route_host)
{
  size_t length = strlen (route_host);
  return strncasecmp (host, route_host, length) == 0
         && (host[length] == '\0' || host[length] == ':');
}

const route_t *
route_config_match (const route_config_t *config, const char *host,
                    const char *target)
{
  const route_t *best = NULL;
  size_t best_length = 0;
  size_t path_length = strcspn (target, "?");
  for (size_t i = 0; i < config->n_routes; i++)
    {
      const route_t *route = &config->routes[i];
      size_t length = strlen (route->path_prefix);
      if ((best && length <= best_length) || length > path_length
          || strncmp (route->path_prefix, target, length) != 0
          || !host_matches (host, route->host))
        continue;
      best = route;
      best_length = length;
    }
  return best;
}

bool
route_allows_region (const route_t *route, const char *region)
{
  size_t n = route->n_home_regions;
  return n == 0 || name_find (route->home_region_names, n, region) < n;
}
