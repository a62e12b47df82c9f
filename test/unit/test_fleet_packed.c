/* Compressed blocks, and the list of backend servers as one.  Guards against
   truncated, damaged or oversized blocks that are accepted, and against a list
   too large for a slow link.  */

#include <glib.h>
#include <string.h>

#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"
#include "fleet/packed.h"

#define NOW (100 * USEC_PER_SEC)

static void
test_block_round_trip (void)
{
  char *text = g_strnfill (100000, 'a');
  packed_t packed = packed_compress (text, 100000);
  g_assert_cmpuint (packed.length, <, 1000);
  packed_t plain;
  g_assert_true (
      packed_decompress (packed.bytes, packed.length, 100000, &plain));
  g_assert_cmpmem (plain.bytes, plain.length, text, 100000);
  free (plain.bytes);
  g_assert_false (
      packed_decompress (packed.bytes, packed.length, 99999, &plain));
  for (size_t n = 0; n < packed.length; n++)
    g_assert_false (packed_decompress (packed.bytes, n, 100000, &plain));
  packed.bytes[packed.length / 2] ^= 0x55;
  g_assert_false (
      packed_decompress (packed.bytes, packed.length, 100000, &plain));
  free (packed.bytes);
  g_free (text);
}

static void
add_backend (backend_list_t *list, uint32_t i)
{
  backend_record_t record
      = { .address = { .address = 0x0a010000 + i * 7, .port = 8080 },
          .slots = 5,
          .started_unix_ms = 1700000000000 + i * 977 };
  g_snprintf (record.id, sizeof record.id, "i-%08x", i * 2654435761u);
  g_snprintf (record.service.text, NAME_BYTES, "service-%u", i % 4);
  g_snprintf (record.domain.text, NAME_BYTES, "domain-%u", i % 9);
  backend_list_add (list, &record);
}

static backend_list_t
make_list (uint32_t n, usec_t read_at)
{
  backend_list_t list = { .read_at = read_at };
  for (uint32_t i = 0; i < n; i++)
    add_backend (&list, i);
  backend_list_finalize (&list);
  return list;
}

/* The largest site has 500 backend servers.  The list that a router gets at
   its start must pass a link of 2 Mbit/s within 0.1 s.  */
static void
test_list_of_500_is_small (void)
{
  backend_list_t list = make_list (500, NOW - 300 * USEC_PER_MSEC);
  packed_t packed = fleet_wire_pack_list (&list);
  g_assert_cmpuint (packed.length, <, 2 * 1000 * 1000 / 8 / 10);
  fleet_packed_t wire = { .fleet_packed_t_val = packed.bytes,
                          .fleet_packed_t_len = (u_int)packed.length };
  backend_list_t read;
  g_assert_true (fleet_wire_unpack_list (&wire, list.read_at, &read));
  g_assert_cmpuint (read.n_records, ==, 500);
  g_assert_cmpuint (read.digest, ==, list.digest);
  g_assert_cmpint (read.read_at, ==, list.read_at);
  wire.fleet_packed_t_len--;
  backend_list_t truncated;
  g_assert_false (fleet_wire_unpack_list (&wire, list.read_at, &truncated));
  free (packed.bytes);
  backend_list_clear (&read);
  backend_list_clear (&list);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/packed/block", test_block_round_trip);
  g_test_add_func ("/packed/list", test_list_of_500_is_small);
  return g_test_run ();
}
