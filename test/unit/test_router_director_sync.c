/* What a router does with a director's reply.  */

#include <glib.h>

#include "../support/sync_world.h"
#include "fleet/fleet_wire.h"

#define ROUTER_ADDRESS 0x7f000002u

static void
answer_pull (sync_world_t *world, fleet_pull_result_t *result)
{
  rpc_out_call_t *call = sync_world_pull (world);
  g_assert_nonnull (call);
  held_rpc_answer (call, (xdrproc_t)xdr_fleet_pull_result_t, result);
}

static size_t
n_routers (sync_world_t *world)
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
  sync_world_t *world = sync_world_new ();
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
  sync_world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-sync/damaged-routers", test_damaged_routers);
  return g_test_run ();
}
