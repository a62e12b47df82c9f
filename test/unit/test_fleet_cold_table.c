/* Guards against a report of a cold backend server that is lost, that travels
   in a circle, or that never ends.  */

#include "fleet/cold_table.h"

#include <glib.h>

#include "fleet/cold_wire.h"

#define NOW (100 * USEC_PER_SEC)

enum
{
  N_MAX = 8,
};

static bool
put (cold_table_t *table, uint64_t server, usec_t left, bool is_direct)
{
  const cold_report_t report = { .server = server, .until = NOW + left };
  return cold_table_put (table, &report, is_direct);
}

static size_t
changed (const cold_table_t *table, uint64_t after, bool only_direct,
         uint64_t *known)
{
  cold_report_t reports[N_MAX];
  const cold_query_t query
      = { .after = after, .now = NOW, .only_direct = only_direct };
  return cold_table_changed (table, &query, reports, N_MAX, known);
}

static void
test_is_only_extended (void)
{
  cold_table_t table = { 0 };
  g_assert_true (put (&table, 7, USEC_PER_SEC, true));
  g_assert_false (put (&table, 7, USEC_PER_SEC / 2, true));
  g_assert_false (put (&table, 7, USEC_PER_SEC + COLD_TOLERANCE, true));
  g_assert_cmpint (cold_table_until (&table, 7), ==, NOW + USEC_PER_SEC);
  g_assert_true (put (&table, 7, 2 * USEC_PER_SEC, true));
  g_assert_cmpint (cold_table_until (&table, 7), ==, NOW + 2 * USEC_PER_SEC);
  g_assert_cmpint (cold_table_until (&table, 8), ==, 0);
  cold_table_expire (&table, NOW + 2 * USEC_PER_SEC);
  g_assert_cmpint (cold_table_until (&table, 7), ==, 0);
  cold_table_clear (&table);
}

/* A report that came back to its sender would arrive later each time, and the
   server would stay cold for ever.  */
static void
test_relayed_is_not_direct (void)
{
  cold_table_t table = { 0 };
  uint64_t known = 0;
  put (&table, 7, USEC_PER_SEC, true);
  g_assert_cmpuint (changed (&table, 0, true, &known), ==, 1);
  put (&table, 7, 2 * USEC_PER_SEC, false);
  g_assert_cmpuint (changed (&table, 0, true, &known), ==, 0);
  g_assert_cmpuint (changed (&table, 0, false, &known), ==, 1);
  cold_table_clear (&table);
}

static void
test_tells_all_in_parts (void)
{
  cold_table_t table = { 0 };
  uint64_t known = 0;
  size_t n_told = 0;
  for (uint64_t i = 0; i < 3 * N_MAX; i++)
    put (&table, 1000 - i, USEC_PER_SEC, true);
  for (size_t n = 1; n > 0;)
    {
      n = changed (&table, known, false, &known);
      n_told += n;
    }
  g_assert_cmpuint (n_told, ==, 3 * N_MAX);
  g_assert_cmpuint (known, ==, table.n_changes);
  put (&table, 1, -1, true);
  g_assert_cmpuint (changed (&table, known, false, &known), ==, 0);
  cold_table_clear (&table);
}

static void
test_wire_keeps_bounds (void)
{
  const cold_report_t reports[]
      = { { .server = 7, .until = NOW + USEC_PER_SEC },
          { .server = 8, .until = NOW - USEC_PER_SEC },
          { .server = 9, .until = NOW + 100 * COLD_LEFT_MAX } };
  fleet_cold_t wire[3];
  cold_report_t read[3];
  cold_wire_write (reports, 3, wire, NOW);
  wire[2].left = UINT32_MAX;
  cold_wire_read (wire, 3, read, 2 * NOW);
  g_assert_cmpint (read[0].until, ==, 2 * NOW + USEC_PER_SEC);
  g_assert_cmpint (read[1].until, ==, 2 * NOW);
  g_assert_cmpint (read[2].until, ==, 2 * NOW + COLD_LEFT_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-table/is-only-extended", test_is_only_extended);
  g_test_add_func ("/cold-table/relayed-is-not-direct",
                   test_relayed_is_not_direct);
  g_test_add_func ("/cold-table/tells-all-in-parts", test_tells_all_in_parts);
  g_test_add_func ("/cold-table/wire-keeps-bounds", test_wire_keeps_bounds);
  return g_test_run ();
}
