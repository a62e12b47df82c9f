/* snapshot: what a router was last told by the directors, unchanged once it is
   made.  Counted references; the counts are atomic.  */

#ifndef ROUTER_FLEET_SNAPSHOT_H
#define ROUTER_FLEET_SNAPSHOT_H

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

typedef struct fleet_snapshot
{
  atomic_int references;
  shared_config_t *shared;      /* NULL: none yet */
  const route_config_t *config; /* inside SHARED, or NULL */
  backend_list_t list;
  size_t n_evacuated;
  name_t *evacuated; /* failure domains */
  size_t n_routers;
  pool_router_t *routers;
} fleet_snapshot_t;

/* Takes over CONFIG; one reference.  */
shared_config_t *shared_config_new (route_config_t *config);
shared_config_t *shared_config_ref (shared_config_t *shared);
void shared_config_unref (shared_config_t *shared); /* may be NULL */

/* An empty snapshot with one reference.  */
fleet_snapshot_t *fleet_snapshot_new (void);
fleet_snapshot_t *fleet_snapshot_ref (fleet_snapshot_t *snapshot);
void fleet_snapshot_unref (fleet_snapshot_t *snapshot); /* may be NULL */

#endif
