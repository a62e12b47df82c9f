/* view: what a router was last told by the directors, unchanged once it is
   made.  Counted references; the counts are atomic.  */

#ifndef ROUTER_VIEW_H
#define ROUTER_VIEW_H

#include <stdatomic.h>

#include "balance/backend_pool.h"
#include "fleet/fleet_defs.h"
#include "routing/route_defs.h"

/* A configuration that views share.  */
typedef struct shared_config
{
  atomic_int references;
  route_config_t *config;
} shared_config_t;

typedef struct view
{
  atomic_int references;
  shared_config_t *shared;      /* NULL: none yet */
  const route_config_t *config; /* inside SHARED, or NULL */
  backend_list_t list;
  size_t n_evacuated;
  name_t *evacuated; /* failure domains */
  size_t n_routers;
  pool_router_t *routers;
} view_t;

/* Takes over CONFIG; one reference.  */
shared_config_t *shared_config_new (route_config_t *config);
shared_config_t *shared_config_ref (shared_config_t *shared);
void shared_config_unref (shared_config_t *shared); /* may be NULL */

/* An empty view with one reference.  */
view_t *view_new (void);
view_t *view_ref (view_t *view);
void view_unref (view_t *view); /* may be NULL */

#endif
