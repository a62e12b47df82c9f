/* route_config: validates a routing configuration, and finds the route of a
   request.  */

#ifndef ROUTING_ROUTE_CONFIG_H
#define ROUTING_ROUTE_CONFIG_H

#include "base/error.h"
#include "routing/route_defs.h"

/* Frees CONFIG and its arrays; CONFIG may be NULL.  */
void route_config_free (route_config_t *config);

/* Returns whether CONFIG is valid as a whole.  If not, sets ERR to ERR_USAGE
   with a message that names the route.  */
bool route_config_check (const route_config_t *config, err_t *err);

/* Returns the route for a request: of the routes for HOST, the one with the
   longest path prefix of TARGET; NULL if there is none.  HOST is compared
   without regard to case and may be followed by a port, which is ignored.
   TARGET is a path that may be followed by a query.  The route belongs to
   CONFIG.  */
const route_t *route_config_match (const route_config_t *config,
                                   const char *host, const char *target);

/* Returns the service NAME, which belongs to CONFIG; NULL if there is none. */
const service_config_t *route_config_service (const route_config_t *config,
                                              const char *name);

/* Returns whether backend servers in REGION may serve ROUTE's requests.  */
bool route_allows_region (const route_t *route, const char *region);

#endif
