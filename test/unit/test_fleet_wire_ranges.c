/* Numbers in messages of other VMs that can't be right.  */

#include <glib.h>

#include "fleet/backend_list.h"
#include "fleet/clock_offset.h"
#include "fleet/fleet_wire.h"
#include "fleet/list_update.h"

#define NOW (1000 * USEC_PER_SEC)

static char name[] = "north-a";
static char ids[][2] = { "a", "b", "c", "d", "e" };

static fleet_backend_t
backend_of (size_t i)
{
  return (fleet_backend_t){
    .id = ids[i], .service = name, .domain = name, .port = 1, .slots = 1
  };
}

/* Guards against backend servers whose port was cut to 16 bits, whose slots
   filled a router's queue, and whose cold start overflowed the clock.  */
static void
test_backends (void)
{
  fleet_backend_t entries[G_N_ELEMENTS (ids)];
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    entries[i] = backend_of (i);
  entries[1].port = UINT16_MAX + 1;
  entries[2].slots = BACKEND_SLOTS_MAX + 1;
  entries[3].cold_left = INT64_MAX;
  entries[4].cold_left = -1;
  backend_list_t list = { 0 };
  fleet_wire_decode_backends (entries, G_N_ELEMENTS (entries), &list);
  backend_list_finalize (&list);
  g_assert_cmpuint (list.n_records, ==, 1);
  g_assert_cmpstr (list.records[0].id, ==, "a");
  backend_list_clear (&list);
}

/* Guards against a router whose age overflowed the clock, and one whose port
   was cut to 16 bits.  */
static void
test_routers (void)
{
  router_record_t record;
  const fleet_router_t good
      = { .vm = name, .domain = name, .region = name, .port = 1, .age = 5 };
  fleet_router_t wire = good;
  g_assert_true (fleet_wire_decode_router (&wire, NOW, &record));
  g_assert_cmpint (record.heard_at, ==, NOW - 5);
  wire.age = INT64_MAX;
  g_assert_false (fleet_wire_decode_router (&wire, NOW, &record));
  wire = good;
  wire.port = UINT16_MAX + 1;
  g_assert_false (fleet_wire_decode_router (&wire, NOW, &record));
}

/* Guards against a list whose time of reading overflowed the clock.  */
static void
test_update (void)
{
  fleet_backend_t entry = backend_of (0);
  backend_list_t from = { .read_at = NOW - USEC_PER_SEC };
  backend_list_t to = { .read_at = NOW };
  fleet_wire_decode_backends (&entry, 1, &from);
  backend_list_finalize (&from);
  entry.is_draining = true;
  fleet_wire_decode_backends (&entry, 1, &to);
  backend_list_finalize (&to);
  uint64_t digest = from.digest;
  const usec_t impossible[] = { INT64_MIN, -1, INT64_MAX };
  for (size_t i = 0; i < G_N_ELEMENTS (impossible); i++)
    for (int is_delta = 0; is_delta < 2; is_delta++)
      {
        to.read_at = is_delta ? impossible[i] : NOW;
        packed_t packed = fleet_wire_pack_delta (&from, &to);
        fleet_packed_t delta = { .fleet_packed_t_val = packed.bytes,
                                 .fleet_packed_t_len = (u_int)packed.length };
        fleet_list_update_t update
            = { .digest = to.digest,
                .read_at = is_delta ? NOW : impossible[i] };
        update.deltas.deltas_val = &delta;
        update.deltas.deltas_len = 1;
        g_assert_cmpint (list_update_apply (&update, NOW, &from), ==,
                         LIST_UPDATE_MISMATCH);
        g_assert_cmpuint (from.digest, ==, digest);
        free (packed.bytes);
      }
  const fleet_list_update_t old = { .digest = digest, .age = INT64_MAX };
  g_assert_cmpint (list_update_read_at (&old, NOW), <, 0);
  g_assert_cmpint (list_update_read_at (&old, NOW), >=, -FLEET_TIME_MAX);
  backend_list_clear (&from);
  backend_list_clear (&to);
}

/* Guards against one impossible clock of another director that made all its
   later messages seem to have been under way for a negative time.  */
static void
test_clock (void)
{
  clock_offset_t offset = { 0 };
  g_assert_cmpint (clock_offset_delay (&offset, INT64_MAX, NOW), ==, 0);
  g_assert_cmpint (clock_offset_delay (&offset, 0, NOW), ==, 0);
  g_assert_cmpint (clock_offset_delay (&offset, INT64_MIN, NOW + 1), ==, 0);
  g_assert_cmpint (clock_offset_delay (&offset, 1, NOW + 3), ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire-ranges/backends", test_backends);
  g_test_add_func ("/wire-ranges/routers", test_routers);
  g_test_add_func ("/wire-ranges/update", test_update);
  g_test_add_func ("/wire-ranges/clock", test_clock);
  return g_test_run ();
}
