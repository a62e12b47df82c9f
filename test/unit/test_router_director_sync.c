/* What a router does with a director's reply.  */

#include <glib.h>
#include <string.h>

#include "../support/held_rpc.h"
#include "base/clock.h"
#include "fleet/fleet_wire.h"
#include "router/director_sync.h"

#define ROUTER_ADDRESS 0x7f000002u

typedef struct world
{
  rpc_t *rpc;
  fleet_settings_t settings;
  crash_table_t crashes;
  backend_pool_t *pool;
  director_sync_t *sync;
} world_t;

static void
on_changed (void *closure)
{
  (void)closure;
}

static world_t *
world_new (void)
{
  world_t *world = g_new0 (world_t, 1);
  fleet_settings_t *settings = &world->settings;
  g_strlcpy (settings->address, "127.0.0.2", sizeof settings->address);
  settings->n_domains = 1;
  g_strlcpy (settings->domains[0].name.text, "north-a", sizeof (name_t));
  g_strlcpy (settings->domains[0].region.text, "north", sizeof (name_t));
  settings->n_seeds = 1;
  settings->seeds[0].address = 0x7f000001u;
  world->rpc = held_rpc_open ();
  const director_sync_options_t options = { .settings = settings,
                                            .rpc = world->rpc,
                                            .incarnation = 1,
                                            .snapshot_changed = on_changed };
  world->sync = director_sync_new (&options);
  const backend_pool_options_t pool = { .settings = settings, .seed = 1 };
  world->pool = backend_pool_new (&pool);
  director_sync_set_crashes (world->sync, &world->crashes);
  director_sync_set_pool (world->sync, world->pool);
  return world;
}

static void
world_free (world_t *world)
{
  rpc_close (world->rpc);
  director_sync_free (world->sync);
  backend_pool_free (world->pool);
  g_free (world);
}

static void
answer_pull (world_t *world, fleet_pull_result_t *result)
{
  director_sync_hurry (world->sync);
  director_sync_tick (world->sync, clock_monotonic ());
  rpc_out_call_t *call = held_rpc_take_call (world->rpc);
  g_assert_nonnull (call);
  held_rpc_answer (call, (xdrproc_t)xdr_fleet_pull_result_t, result);
}

static size_t
n_routers (world_t *world)
{
  fleet_snapshot_t *snapshot = director_sync_snapshot (world->sync);
  size_t n = snapshot->n_routers;
  fleet_snapshot_unref (snapshot);
  return n;
}

/* Guards against a packed list of routers that ends within an entry: the
   router ended with a null pointer, or went on with a part of the list.  */
static void
test_damaged_routers (void)
{
  world_t *world = world_new ();
  static char domain[] = "north-a";
  fleet_peer_t peers[]
      = { { .address = ROUTER_ADDRESS, .port = 1, .domain = domain },
          { .address = ROUTER_ADDRESS + 1, .port = 1, .domain = domain } };
  fleet_peers_t wire = { 0 };
  wire.peers.peers_val = peers;
  wire.peers.peers_len = G_N_ELEMENTS (peers);
  packed_t whole = fleet_wire_pack ((xdrproc_t)xdr_fleet_peers_t, &wire);
  fleet_pull_result_t result = { .confirmed_age = -1, .routers_digest = 5 };
  result.routers.fleet_packed_t_val = whole.bytes;
  result.routers.fleet_packed_t_len = (u_int)whole.length;
  answer_pull (world, &result);
  g_assert_cmpuint (n_routers (world), ==, G_N_ELEMENTS (peers));

  packed_t plain;
  g_assert_true (packed_decompress (whole.bytes, whole.length, 1024, &plain));
  packed_t damaged = packed_compress (plain.bytes, plain.length - 20);
  result.routers_digest = 6;
  result.routers.fleet_packed_t_val = damaged.bytes;
  result.routers.fleet_packed_t_len = (u_int)damaged.length;
  answer_pull (world, &result);
  g_assert_cmpuint (n_routers (world), ==, G_N_ELEMENTS (peers));
  free (damaged.bytes);
  free (plain.bytes);
  free (whole.bytes);
  world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-sync/damaged-routers", test_damaged_routers);
  return g_test_run ();
}
