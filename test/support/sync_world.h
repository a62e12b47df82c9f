/* sync_world: a router's director_sync and its pool of backend servers, whose
   pulls the test answers.  */

#ifndef TEST_SUPPORT_SYNC_WORLD_H
#define TEST_SUPPORT_SYNC_WORLD_H

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "held_rpc.h"
#include "router/director_sync.h"

typedef struct sync_world
{
  rpc_t *rpc;
  fleet_settings_t settings;
  crash_table_t crashes;
  backend_pool_t *pool;
  director_sync_t *sync;
} sync_world_t;

static inline void
sync_world_changed (void *closure)
{
  (void)closure;
}

static inline sync_world_t *
sync_world_new (void)
{
  sync_world_t *world = calloc (1, sizeof *world);
  if (!world)
    abort ();
  fleet_settings_t *settings = &world->settings;
  strcpy (settings->address, "127.0.0.2");
  settings->n_domains = 1;
  strcpy (settings->domains[0].name.text, "north-a");
  strcpy (settings->domains[0].region.text, "north");
  settings->n_seeds = 1;
  settings->seeds[0].address = 0x7f000001u;
  world->rpc = held_rpc_open ();
  const director_sync_options_t options
      = { .settings = settings,
          .rpc = world->rpc,
          .incarnation = 1,
          .snapshot_changed = sync_world_changed };
  world->sync = director_sync_new (&options);
  const backend_pool_options_t pool = { .settings = settings, .seed = 1 };
  world->pool = backend_pool_new (&pool);
  director_sync_set_crashes (world->sync, &world->crashes);
  director_sync_set_pool (world->sync, world->pool);
  return world;
}

static inline void
sync_world_free (sync_world_t *world)
{
  rpc_close (world->rpc);
  director_sync_free (world->sync);
  backend_pool_free (world->pool);
  free (world);
}

/* Let the router pull now; its call, which the caller answers.  */
static inline rpc_out_call_t *
sync_world_pull (sync_world_t *world)
{
  director_sync_hurry (world->sync, 0);
  director_sync_tick (world->sync, clock_monotonic ());
  return held_rpc_take_call (world->rpc);
}

#endif
