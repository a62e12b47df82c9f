/* fleet_snapshot: the fleet's state as last received from the directors:
   configuration, backend servers, evacuations and routers.  A snapshot is
   immutable once it is published.  References are counted atomically, so that
   several threads may hold one.  */

#ifndef ROUTER_FLEET_SNAPSHOT_H
#define ROUTER_FLEET_SNAPSHOT_H

#include <stdatomic.h>

#include "balance/backend_pool.h"
#include "fleet/crash_table.h"
#include "fleet/fleet_defs.h"
#include "routing/route_defs.h"

/* A configuration that several snapshots share.  */
typedef struct shared_config
{
  atomic_int references;
  route_config_t *config;
} shared_config_t;

typedef struct fleet_snapshot
{
  atomic_int references;
  shared_config_t *shared;      /* NULL: no configuration received yet */
  const route_config_t *config; /* that of SHARED, or NULL */
  backend_list_t list;
  size_t n_evacuated;
  name_t *evacuated; /* failure domains */
  /* Those whose evacuation ended later than LIST can show.  */
  reopened_domains_t reopened;
  size_t n_routers;
  pool_router_t *routers;
  size_t n_quarantined;
  fingerprint_t *quarantined; /* requests not to be sent; sorted */
  size_t n_on_trial;
  fingerprint_t *on_trial; /* requests to be tried one at a time; sorted */
} fleet_snapshot_t;

/* Takes ownership of CONFIG.  The result has one reference.  */
shared_config_t *shared_config_new (route_config_t *config);
/* SHARED may be NULL in both.  */
shared_config_t *shared_config_ref (shared_config_t *shared);
void shared_config_unref (shared_config_t *shared);

/* An empty snapshot with one reference.  */
fleet_snapshot_t *fleet_snapshot_new (void);
/* A copy with one reference, which may be changed until it is published.  */
fleet_snapshot_t *fleet_snapshot_copy (const fleet_snapshot_t *snapshot);
fleet_snapshot_t *fleet_snapshot_ref (fleet_snapshot_t *snapshot);
void fleet_snapshot_unref (fleet_snapshot_t *snapshot); /* may be NULL */

#endif
