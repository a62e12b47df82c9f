/* What a director does with messages of other directors.  */

#include <glib.h>

#include "../support/director_world.h"
#include "base/clock.h"
#include "fleet/fleet_wire.h"

enum
{
  ARGS_BYTES_MAX = 4096,
  PLAIN_BYTES_MAX = 1024,
};

static void
send_share (director_world_t *world, const packed_t *routers)
{
  fleet_share_args_t args = { .address = DIRECTOR_ADDRESS + 1 };
  args.routers.fleet_packed_t_val = routers->bytes;
  args.routers.fleet_packed_t_len = (u_int)routers->length;
  char bytes[ARGS_BYTES_MAX];
  XDR xdr;
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  g_assert_true (xdr_fleet_share_args_t (&xdr, &args));
  director_world_call (world, FLEET_SHARE, bytes, xdr_getpos (&xdr));
  director_world_handle (world, clock_monotonic ());
}

/* Guards against a packed list of routers that ends within an entry: the
   director ended with a null pointer.  */
static void
test_damaged_routers (void)
{
  director_world_t *world = director_world_new ();
  static char name[] = "north";
  fleet_router_t routers[] = {
    { .vm = name, .domain = name, .region = name, .address = 1, .port = 1 },
    { .vm = name, .domain = name, .region = name, .address = 2, .port = 1 }
  };
  fleet_routers_t wire = { 0 };
  wire.routers.routers_val = routers;
  wire.routers.routers_len = G_N_ELEMENTS (routers);
  packed_t whole = fleet_wire_pack ((xdrproc_t)xdr_fleet_routers_t, &wire);
  packed_t plain;
  g_assert_true (
      packed_decompress (whole.bytes, whole.length, PLAIN_BYTES_MAX, &plain));
  packed_t damaged = packed_compress (plain.bytes, plain.length - 70);
  send_share (world, &damaged);
  g_assert_cmpuint (world->core.router_table.n_records, ==, 0);
  send_share (world, &whole);
  g_assert_cmpuint (world->core.router_table.n_records, ==, 2);
  g_assert_cmpuint (held_rpc_drop_replies (world->core.options.rpc), ==, 2);
  free (damaged.bytes);
  free (plain.bytes);
  free (whole.bytes);
  director_world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director/damaged-routers", test_damaged_routers);
  return g_test_run ();
}
