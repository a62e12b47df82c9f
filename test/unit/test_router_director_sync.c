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

/* Guards against evidence that is lost with the director that it was told to:
   the next one is told again.  */
static void
test_colds_told_to_next_director (void)
{
  sync_world_t *world = sync_world_new ();
  cold_table_t seen = { 0 };
  const cold_report_t report
      = { .server = 7, .until = clock_monotonic () + 60 * USEC_PER_SEC };
  g_assert_true (cold_table_put (&seen, &report, true));
  director_sync_set_seen_colds (world->sync, &seen);
  fleet_pull_result_t first = { .confirmed_age = -1, .source = 1 };
  answer_pull (world, &first);
  fleet_pull_result_t restarted = { .confirmed_age = -1, .source = 2 };
  answer_pull (world, &restarted);
  rpc_out_call_t *call = sync_world_pull (world);
  g_assert_nonnull (call);
  fleet_pull_args_t args = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, call->args, (u_int)call->args_bytes, XDR_DECODE);
  g_assert_true (xdr_fleet_pull_args_t (&xdr, &args));
  g_assert_cmpuint (args.source, ==, 2);
  g_assert_cmpuint (args.colds.colds_len, ==, 1);
  xdr_free ((xdrproc_t)xdr_fleet_pull_args_t, (char *)&args);
  held_rpc_free_call (call);
  cold_table_clear (&seen);
  sync_world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-sync/damaged-routers", test_damaged_routers);
  g_test_add_func ("/director-sync/colds-told-to-next-director",
                   test_colds_told_to_next_director);
  return g_test_run ();
}
