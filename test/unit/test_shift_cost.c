/* Tests of cost: what a sheet's plan costs, and which plans are refused.  */

#include <glib.h>
#include <string.h>

#include "shift/cost.h"
#include "test_placement_world.h"

static void
assert_refused (const test_sheet_t *test, const shift_load_t *load,
                err_kind_t kind, const char *part)
{
  err_t err = { 0 };
  g_assert_false (cost_check (&test->sheet, &test_topology, load, &err));
  g_assert_cmpint (err.kind, ==, kind);
  g_assert_nonnull (strstr (err.message, part));
  g_assert_cmpint (strlen (err.remedy), >, 0);
}

static void
test_cost_by_region (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  cost_t cost;
  err_t err = { 0 };
  g_assert_true (
      cost_of_sheet (&cost, &test.sheet, &test_topology, NULL, &err));
  g_assert_cmpint (cost.regions[0].expected, ==, 900);
  g_assert_cmpint (cost.regions[1].expected, ==, 1000);
  g_assert_cmpint (cost.expected, ==, 1900);
  g_assert_cmpint (cost.worst, ==, 3000);
  g_assert_cmpint (cost.worst_request, ==, 3);
  cost_free (&cost);
  g_assert_true (cost_check (&test.sheet, &test_topology, NULL, &err));
}

static void
test_money_does_not_overflow (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  test.sheet.expected_requests = 90000000000000;
  test.prices[0].per_thousand = 90000;
  test.prices[1].per_thousand = 90000;
  assert_refused (&test, NULL, ERR_LIMIT, "8100000000000000 yen");
}

static void
test_bad_plans_are_refused (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  test.shares[1].percent = 39;
  assert_refused (&test, NULL, ERR_SHEET, "sum to 99");
  test_sheet_open (&test);
  test.sheet.n_prices = 1;
  assert_refused (&test, NULL, ERR_SHEET, "no price");
  test_sheet_open (&test);
  test.sheet.cost_cap = 1899;
  assert_refused (&test, NULL, ERR_LIMIT, "1 over its cap");
  test_sheet_open (&test);
  for (size_t i = TEST_BACKENDS / 2; i < TEST_BACKENDS; i++)
    test.backends[i].state = BACKEND_LEAVING;
  assert_refused (&test, NULL, ERR_SHEET, "no backend server");
}

static void
test_overloading_drain_is_refused (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  const double in_flight[] = { 8, 2 };
  const double per_second[] = { 12, 8 };
  shift_load_t load
      = { .in_flight = in_flight, .per_second = per_second, .headroom = 0.1 };
  err_t err = { 0 };
  g_assert_true (cost_check (&test.sheet, &test_topology, &load, &err));
  test.backends[0].state = BACKEND_STOPPING;
  test.backends[1].state = BACKEND_LEAVING;
  assert_refused (&test, &load, ERR_LIMIT, "songfind in sapporo");
}

static void
test_region_and_link_overload_is_refused (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  const double in_flight[] = { 1, 1 };
  const double per_second[] = { 90, 10 };
  shift_load_t load = { .in_flight = in_flight, .per_second = per_second };
  assert_refused (&test, &load, ERR_LIMIT, "link from hakodate to sapporo");
  const double many[] = { 0, 40 };
  const double few[] = { 6, 4 };
  load = (shift_load_t){ .in_flight = many, .per_second = few };
  assert_refused (&test, &load, ERR_LIMIT, "songfind in sapporo");
}

/* A region with more slots than capacity could be overloaded; the slots of
   leaving servers count too.  */
static void
test_slots_over_capacity_are_refused (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  region_t regions[2] = { test_topology.regions[0], test_topology.regions[1] };
  topology_t tight = test_topology;
  tight.regions = regions;
  regions[1].capacity
      = (uint32_t)(TEST_BACKENDS / 2 * test_topology.services[0].slots);
  err_t err = { 0 };
  g_assert_true (cost_check (&test.sheet, &tight, NULL, &err));
  regions[1].capacity--;
  test.backends[TEST_BACKENDS - 1].state = BACKEND_LEAVING;
  g_assert_false (cost_check (&test.sheet, &tight, NULL, &err));
  g_assert_cmpint (err.kind, ==, ERR_LIMIT);
  g_assert_nonnull (strstr (err.message, "hakodate have 12 slots, 1 over"));
}

static void
test_share_defaults_to_equal (void)
{
  test_sheet_t test;
  test_sheet_open (&test);
  test.sheet.n_shares = 0;
  g_assert_cmpuint (cost_share (&test.sheet, &test_topology, 0, 0), ==, 50);
  g_assert_cmpuint (cost_share (&test.sheet, &test_topology, 0, 1), ==, 50);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cost/region", test_cost_by_region);
  g_test_add_func ("/cost/overflow", test_money_does_not_overflow);
  g_test_add_func ("/cost/refused", test_bad_plans_are_refused);
  g_test_add_func ("/cost/drain", test_overloading_drain_is_refused);
  g_test_add_func ("/cost/link", test_region_and_link_overload_is_refused);
  g_test_add_func ("/cost/capacity", test_slots_over_capacity_are_refused);
  g_test_add_func ("/cost/share", test_share_defaults_to_equal);
  return g_test_run ();
}
