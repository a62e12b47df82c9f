/* lookup: selects the routers that a caller is told to connect to.

   lookup_choose is a pure function.  A lookup_view holds its inputs: the core
   thread publishes the router table and the configuration there, and the port
   that answers callers reads them on its own thread.  */

#ifndef DIRECTOR_LOOKUP_H
#define DIRECTOR_LOOKUP_H

#include "base/inet.h"
#include "fleet/router_table.h"
#include "routing/route_defs.h"

typedef struct lookup_query
{
  const char *host;   /* that the caller wants to reach */
  const char *region; /* of the caller */
  const char *domain; /* failure domain of the caller */
} lookup_query_t;

/* Fill in ADDRESSES with the request addresses of up to MAX routers that take
   requests, and return their number.  Those that are cut off from backend
   servers count as taking none, unless all are.  Routers in the caller's
   failure domain come first, then those in the rest of its region.  Where
   there are none of either, the routers in regions that the host's routes in
   CONFIG allow; where there are none of those, all others.  CONFIG is NULL
   while no configuration is known; every region is allowed then.  */
size_t lookup_choose (const router_table_t *routers,
                      const route_config_t *config,
                      const lookup_query_t *query, inet_t *addresses,
                      size_t max);

/* The router table and configuration that the core thread published last.  Its
   functions may be called on any thread.  */
typedef struct lookup_view lookup_view_t;

lookup_view_t *lookup_view_new (void);
/* VIEW may be NULL.  */
void lookup_view_free (lookup_view_t *view);

/* Copies ROUTERS.  */
void lookup_view_put_routers (lookup_view_t *view,
                              const router_table_t *routers);
/* Takes ownership of CONFIG.  */
void lookup_view_put_config (lookup_view_t *view, route_config_t *config);

/* lookup_choose on the published inputs.  */
size_t lookup_view_choose (lookup_view_t *view, const lookup_query_t *query,
                           inet_t *addresses, size_t max);

#endif
