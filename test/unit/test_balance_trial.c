/* The router of a region that tries a suspect request.  Guards against two
   routers that both try it, and against one that is asked for none of many. */

#include <glib.h>

#include "balance/trial_router.h"

enum
{
  ROUTERS = 20,
  REQUESTS = 2000,
};

static void
make_routers (pool_router_t *routers, const char *region, uint32_t first)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      routers[i] = (pool_router_t){ .address = first + i };
      g_strlcpy (routers[i].region.text, region,
                 sizeof routers[i].region.text);
    }
}

static void
test_one_of_each_region (void)
{
  pool_router_t routers[2 * ROUTERS];
  make_routers (routers, "north", 1);
  make_routers (routers + ROUTERS, "east", 101);
  uint32_t north = trial_router_choose (routers, 2 * ROUTERS, "north", 7);
  uint32_t east = trial_router_choose (routers, 2 * ROUTERS, "east", 7);
  g_assert_cmpuint (north, >=, 1);
  g_assert_cmpuint (north, <=, ROUTERS);
  g_assert_cmpuint (east, >=, 101);
  g_assert_cmpuint (trial_router_choose (routers, 2 * ROUTERS, "west", 7), ==,
                    0);
  /* Another order, and a router of another region less, change nothing.  */
  for (size_t i = 0; i < ROUTERS / 2; i++)
    {
      pool_router_t swapped = routers[i];
      routers[i] = routers[ROUTERS - 1 - i];
      routers[ROUTERS - 1 - i] = swapped;
    }
  g_assert_cmpuint (trial_router_choose (routers, 2 * ROUTERS - 1, "north", 7),
                    ==, north);
}

static void
test_requests_are_spread (void)
{
  pool_router_t routers[ROUTERS];
  size_t n[ROUTERS] = { 0 };
  make_routers (routers, "north", 0x0a000001);
  for (uint64_t i = 1; i <= REQUESTS; i++)
    n[trial_router_choose (routers, ROUTERS, "north", i) - 0x0a000001]++;
  for (size_t i = 0; i < ROUTERS; i++)
    g_assert_cmpuint (n[i], >, REQUESTS / ROUTERS / 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/trial-router/one-of-each-region",
                   test_one_of_each_region);
  g_test_add_func ("/trial-router/requests-are-spread",
                   test_requests_are_spread);
  return g_test_run ();
}
