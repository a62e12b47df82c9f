/* Tests of the look-up table: blocks in proportion to shares and weights,
   stable assignment, and the order of the VMs in an answer.  */

#include <glib.h>

#include "placement/lookup_table.h"

enum
{
  N_BLOCKS = 20000,
  N_SITES = 9,
  N_REGIONS = 3,
};

typedef struct fixture
{
  lookup_site_t sites[N_SITES];
  uint32_t shares[N_REGIONS];
  region_id_t blocks[N_BLOCKS];
} fixture_t;

static void
fixture_open (fixture_t *fixture)
{
  for (uint32_t i = 0; i < N_BLOCKS; i++)
    fixture->blocks[i] = (region_id_t)(i % N_REGIONS);
  for (uint32_t v = 0; v < N_SITES; v++)
    fixture->sites[v]
        = (lookup_site_t){ .vm = (vm_id_t)v,
                           .region = (region_id_t)(v / 3),
                           .domain = (domain_id_t)(v / 3 * 2 + v % 3 / 2),
                           .weight = v % 3 == 2 ? 2 : 1 };
  for (int r = 0; r < N_REGIONS; r++)
    fixture->shares[r] = 10;
}

static lookup_table_t *
build (const fixture_t *fixture)
{
  lookup_table_options_t options = { .sites = fixture->sites,
                                     .n_sites = N_SITES,
                                     .n_regions = N_REGIONS,
                                     .region_share = fixture->shares,
                                     .block_region = fixture->blocks,
                                     .n_blocks = N_BLOCKS };
  lookup_table_t *table = lookup_table_new (&options, NULL);
  g_assert_nonnull (table);
  return table;
}

static void
count (const lookup_table_t *table, uint32_t *by_vm, uint32_t *by_region)
{
  for (uint32_t block = 0; block < N_BLOCKS; block++)
    {
      vm_id_t vm = lookup_table_find (table, block).vms[0];
      by_vm[vm]++;
      by_region[vm / 3]++;
    }
}

static void
assert_near (uint32_t found, double wanted)
{
  g_assert_cmpfloat (found, >, wanted * 0.93);
  g_assert_cmpfloat (found, <, wanted * 1.07);
}

static void
test_proportional_to_share_and_weight (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  fixture.shares[0] = 4;
  fixture.shares[1] = 10;
  fixture.shares[2] = 6;
  lookup_table_t *table = build (&fixture);
  uint32_t by_vm[N_SITES] = { 0 };
  uint32_t by_region[N_REGIONS] = { 0 };
  count (table, by_vm, by_region);
  assert_near (by_region[0], N_BLOCKS * 0.2);
  assert_near (by_region[1], N_BLOCKS * 0.5);
  assert_near (by_region[2], N_BLOCKS * 0.3);
  assert_near (by_vm[5], by_region[1] * 0.5);
  lookup_table_free (table);
}

static void
test_own_region_where_shares_allow (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  lookup_table_t *table = build (&fixture);
  uint32_t away = 0;
  for (uint32_t block = 0; block < N_BLOCKS; block++)
    away += lookup_table_find (table, block).vms[0] / 3
            != fixture.blocks[block];
  g_assert_cmpuint (away, <, N_BLOCKS / 1000);
  lookup_table_free (table);
}

/* When a VM goes, only its own blocks may move to other VMs.  */
static void
test_stable_when_a_vm_goes (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  lookup_table_t *before = build (&fixture);
  fixture.sites[4].weight = 0;
  lookup_table_t *after = build (&fixture);
  for (uint32_t block = 0; block < N_BLOCKS; block++)
    {
      lookup_answer_t was = lookup_table_find (before, block);
      lookup_answer_t is = lookup_table_find (after, block);
      g_assert_true (was.vms[0] == 4 ? is.vms[0] != 4
                                     : is.vms[0] == was.vms[0]);
    }
  lookup_table_free (before);
  lookup_table_free (after);
}

static void
test_answer_spans_domains_and_regions (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  lookup_table_t *table = build (&fixture);
  for (uint32_t block = 0; block < N_BLOCKS; block++)
    {
      lookup_answer_t answer = lookup_table_find (table, block);
      const lookup_site_t *first = &fixture.sites[answer.vms[0]];
      const lookup_site_t *second = &fixture.sites[answer.vms[1]];
      const lookup_site_t *third = &fixture.sites[answer.vms[2]];
      g_assert_cmpuint (first->region, ==, second->region);
      g_assert_cmpuint (first->domain, !=, second->domain);
      g_assert_cmpuint (first->region, !=, third->region);
    }
  lookup_table_free (table);
}

static void
test_share_moves_by_fraction (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  lookup_table_t *before = build (&fixture);
  fixture.shares[0] = 0;
  lookup_table_t *after = build (&fixture);
  uint32_t last = 0;
  for (int step = 0; step <= 4; step++)
    {
      uint32_t moved = 0;
      for (uint32_t block = 0; block < N_BLOCKS; block++)
        moved += lookup_table_find_moving (before, after, step / 4.0, block)
                     .vms[0]
                 != lookup_table_find (before, block).vms[0];
      g_assert_cmpuint (moved, >=, last);
      last = moved;
    }
  assert_near (last, N_BLOCKS / 3.0);
  lookup_table_free (before);
  lookup_table_free (after);
}

static void
test_no_site_is_refused (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  for (int i = 0; i < N_SITES; i++)
    fixture.sites[i].weight = 0;
  lookup_table_options_t options = { .sites = fixture.sites,
                                     .n_sites = N_SITES,
                                     .n_regions = N_REGIONS,
                                     .region_share = fixture.shares,
                                     .block_region = fixture.blocks,
                                     .n_blocks = N_BLOCKS };
  err_t err = { 0 };
  g_assert_null (lookup_table_new (&options, &err));
  g_assert_cmpint (err.kind, ==, ERR_UNAVAILABLE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/lookup/proportional",
                   test_proportional_to_share_and_weight);
  g_test_add_func ("/lookup/own_region", test_own_region_where_shares_allow);
  g_test_add_func ("/lookup/stable", test_stable_when_a_vm_goes);
  g_test_add_func ("/lookup/order", test_answer_spans_domains_and_regions);
  g_test_add_func ("/lookup/moving", test_share_moves_by_fraction);
  g_test_add_func ("/lookup/empty", test_no_site_is_refused);
  return g_test_run ();
}
