#include "router/fleet_snapshot.h"

#include <stdlib.h>

#include "fleet/backend_list.h"
#include "routing/route_config.h"

shared_config_t *
shared_config_new (route_config_t *config)
{
  shared_config_t *shared = calloc (1, sizeof *shared);
  if (!shared)
    abort ();
  atomic_init (&shared->references, 1);
  shared->config = config;
  return shared;
}

shared_config_t *
shared_config_ref (shared_config_t *shared)
{
  if (shared)
    atomic_fetch_add (&shared->references, 1);
  return shared;
}

void
shared_config_unref (shared_config_t *shared)
{
  if (!shared || atomic_fetch_sub (&shared->references, 1) > 1)
    return;
  route_config_free (shared->config);
  free (shared);
}

fleet_snapshot_t *
fleet_snapshot_new (void)
{
  fleet_snapshot_t *snapshot = calloc (1, sizeof *snapshot);
  if (!snapshot)
    abort ();
  atomic_init (&snapshot->references, 1);
  return snapshot;
}

fleet_snapshot_t *
fleet_snapshot_ref (fleet_snapshot_t *snapshot)
{
  atomic_fetch_add (&snapshot->references, 1);
  return snapshot;
}

void
fleet_snapshot_unref (fleet_snapshot_t *snapshot)
{
  if (!snapshot || atomic_fetch_sub (&snapshot->references, 1) > 1)
    return;
  shared_config_unref (snapshot->shared);
  backend_list_clear (&snapshot->list);
  free (snapshot->evacuated);
  free (snapshot->routers);
  free (snapshot->quarantined);
  free (snapshot);
}
