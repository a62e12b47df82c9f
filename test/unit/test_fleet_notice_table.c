/* What backend servers have said of themselves to routers, at a director.  */

#include <glib.h>

#include "fleet/notice_wire.h"

#define NOW (100 * USEC_PER_SEC)

enum
{
  ROUTER_A = 1,
  ROUTER_B = 2,
  BOOT = 77,
  OTHER_BOOT = 78,
};

/* Guards against a router that is counted twice, and against a notice that
   stays after the router that told it says nothing of it any more.  */
static void
test_replace (void)
{
  static notice_table_t table;
  const told_notice_t leaving
      = { .boot = BOOT, .is_leaving = true, .said_at = NOW - 5 };
  const told_notice_t later
      = { .boot = BOOT, .is_leaving = true, .said_at = NOW - 2 };
  g_assert_true (notice_table_put (&table, ROUTER_A, &leaving, 1, NOW));
  g_assert_true (notice_table_put (&table, ROUTER_A, &leaving, 1, NOW));
  g_assert_true (notice_table_put (&table, ROUTER_B, &later, 1, NOW));
  notice_summary_t sum = notice_table_summary (&table, BOOT, NOW);
  g_assert_cmpuint (sum.n_leaving, ==, 2);
  g_assert_cmpint (sum.leaving_since, ==, NOW - 5);
  g_assert_cmpuint (sum.n_resting, ==, 0);
  g_assert_cmpuint (notice_table_summary (&table, OTHER_BOOT, NOW).n_leaving,
                    ==, 0);
  notice_table_put (&table, ROUTER_A, NULL, 0, NOW);
  sum = notice_table_summary (&table, BOOT, NOW);
  g_assert_cmpuint (sum.n_leaving, ==, 1);
  g_assert_cmpint (sum.leaving_since, ==, NOW - 2);
}

/* Guards against a rest that is shown after its end, and against what a router
   told that is gone.  */
static void
test_expire (void)
{
  static notice_table_t table;
  const told_notice_t rests[]
      = { { .boot = BOOT, .said_at = NOW, .rest_until = NOW + USEC_PER_SEC },
          { .boot = OTHER_BOOT,
            .said_at = NOW,
            .rest_until = NOW + 60 * USEC_PER_SEC } };
  notice_table_put (&table, ROUTER_A, rests, G_N_ELEMENTS (rests), NOW);
  notice_summary_t sum = notice_table_summary (&table, BOOT, NOW);
  g_assert_cmpuint (sum.n_resting, ==, 1);
  g_assert_cmpint (sum.rest_until, ==, NOW + USEC_PER_SEC);
  sum = notice_table_summary (&table, BOOT, NOW + USEC_PER_SEC);
  g_assert_cmpuint (sum.n_resting, ==, 0);
  notice_table_expire (&table, NOW + NOTICE_LIFETIME - 1);
  g_assert_cmpuint (table.n, ==, 2);
  notice_table_expire (&table, NOW + NOTICE_LIFETIME);
  g_assert_cmpuint (table.n, ==, 0);
}

/* Guards against a table that grows beyond its room.  */
static void
test_full (void)
{
  static notice_table_t table;
  const told_notice_t notice = { .boot = BOOT, .is_leaving = true };
  for (uint32_t router = 0; router < NOTICE_TABLE_MAX; router++)
    g_assert_true (notice_table_put (&table, router, &notice, 1, NOW));
  g_assert_false (
      notice_table_put (&table, NOTICE_TABLE_MAX, &notice, 1, NOW));
  g_assert_true (notice_table_put (&table, 0, &notice, 1, NOW));
  g_assert_cmpuint (table.n, ==, NOTICE_TABLE_MAX);
}

/* Guards against ages on the wire that are impossible, or too large to be
   added.  */
static void
test_wire (void)
{
  const told_notice_t told[]
      = { { .boot = BOOT, .is_leaving = true, .said_at = NOW - 3 },
          { .boot = OTHER_BOOT, .said_at = NOW - 4, .rest_until = NOW + 9 } };
  fleet_notice_t wire[7];
  notice_wire_write (told, 2, wire, NOW);
  wire[2] = wire[0];
  wire[3] = (fleet_notice_t){ .boot = 1, .is_leaving = true, .said_age = -1 };
  wire[4] = (fleet_notice_t){ .boot = 2, .rest_left = INT64_MAX };
  wire[5] = (fleet_notice_t){ .boot = 3,
                              .is_leaving = true,
                              .said_age = INT64_MIN };
  wire[6] = (fleet_notice_t){ .boot = 4 };
  told_notice_t got[NOTICES_MAX];
  g_assert_cmpuint (notice_wire_read (wire, G_N_ELEMENTS (wire), got, NOW), ==,
                    2);
  g_assert_cmpuint (got[0].boot, ==, BOOT);
  g_assert_true (got[0].is_leaving);
  g_assert_cmpint (got[0].said_at, ==, NOW - 3);
  g_assert_cmpint (got[0].rest_until, ==, 0);
  g_assert_cmpint (got[1].rest_until, ==, NOW + 9);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notices/replace", test_replace);
  g_test_add_func ("/notices/expire", test_expire);
  g_test_add_func ("/notices/full", test_full);
  g_test_add_func ("/notices/wire", test_wire);
  return g_test_run ();
}
