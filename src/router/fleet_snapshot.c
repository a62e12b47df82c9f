#include "router/fleet_snapshot.h"

#include <stdlib.h>
#include <string.h>

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

static fingerprint_t *
copy_fingerprints (const fingerprint_t *fingerprints, size_t n)
{
  fingerprint_t *copy = calloc (n + 1, sizeof *copy);
  if (!copy)
    abort ();
  if (n > 0)
    memcpy (copy, fingerprints, n * sizeof *copy);
  return copy;
}

fleet_snapshot_t *
fleet_snapshot_copy (const fleet_snapshot_t *snapshot)
{
  fleet_snapshot_t *copy = fleet_snapshot_new ();
  copy->shared = shared_config_ref (snapshot->shared);
  copy->config = snapshot->config;
  backend_list_copy (&copy->list, &snapshot->list);
  copy->n_evacuated = snapshot->n_evacuated;
  copy->evacuated = calloc (snapshot->n_evacuated + 1, sizeof (name_t));
  copy->reopened = snapshot->reopened;
  copy->quarantined
      = copy_fingerprints (snapshot->quarantined, snapshot->n_quarantined);
  copy->n_quarantined = snapshot->n_quarantined;
  copy->on_trial
      = copy_fingerprints (snapshot->on_trial, snapshot->n_on_trial);
  copy->n_on_trial = snapshot->n_on_trial;
  copy->n_routers = snapshot->n_routers;
  copy->routers = calloc (snapshot->n_routers + 1, sizeof (pool_router_t));
  if (!copy->evacuated || !copy->routers)
    abort ();
  if (snapshot->n_evacuated > 0)
    memcpy (copy->evacuated, snapshot->evacuated,
            snapshot->n_evacuated * sizeof (name_t));
  if (snapshot->n_routers > 0)
    memcpy (copy->routers, snapshot->routers,
            snapshot->n_routers * sizeof (pool_router_t));
  return copy;
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
  free (snapshot->on_trial);
  free (snapshot);
}
