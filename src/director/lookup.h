/* lookup: which routers a caller is told to connect to.

   Pure, but for lookup_view, through which the core thread hands the newest
   routers and configuration to the port that answers callers.  */

#ifndef DIRECTOR_LOOKUP_H
#define DIRECTOR_LOOKUP_H

#include "base/inet.h"
#include "fleet/router_table.h"
#include "routing/route_defs.h"

typedef struct lookup_query
{
  const char *host;
  const char *region; /* of the caller */
  const char *domain;
} lookup_query_t;

/* Fill in up to MAX addresses for the caller: the routers of its region, those
   of its own failure domain first; where there are none, those of regions that
   may serve the host, by its routes in CONFIG (NULL: not known), and then any.
   Returns how many.  */
size_t lookup_choose (const router_table_t *routers,
                      const route_config_t *config,
                      const lookup_query_t *query, inet_t *addresses,
                      size_t max);

/* What the core thread last published; any thread may ask.  */
typedef struct lookup_view lookup_view_t;

lookup_view_t *lookup_view_new (void);
void lookup_view_free (lookup_view_t *view);

void lookup_view_put_routers (lookup_view_t *view,
                              const router_table_t *routers);
/* Takes over CONFIG.  */
void lookup_view_put_config (lookup_view_t *view, route_config_t *config);

size_t lookup_view_choose (lookup_view_t *view, const lookup_query_t *query,
                           inet_t *addresses, size_t max);

#endif
