/* route_config: checking a configuration, and finding a request's route.  */

#ifndef ROUTING_ROUTE_CONFIG_H
#define ROUTING_ROUTE_CONFIG_H

#include "base/error.h"
#include "routing/route_defs.h"

/* CONFIG may be NULL.  */
void route_config_free (route_config_t *config);

/* Whether CONFIG may come into force as a whole; false with ERR_USAGE, which
   names the route.  */
bool route_config_check (const route_config_t *config, err_t *err);

/* Among the routes of HOST (a port behind it is passed over), the one with
   the longest prefix of TARGET, a path that may be followed by a query; NULL
   where there is none.  */
const route_t *route_config_match (const route_config_t *config,
                                   const char *host, const char *target);

const service_config_t *route_config_service (const route_config_t *config,
                                              const char *name);

/* Whether REGION may serve ROUTE's requests.  */
bool route_allows_region (const route_t *route, const char *region);

#endif
