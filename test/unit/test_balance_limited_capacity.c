/* Guards against requests that are queued until their deadline for backend
   servers that this router may send nothing to.  */

#include <glib.h>
#include <xxhash.h>

#include "../support/pool_world.h"

#define COLD_START (3 * USEC_PER_SEC)

/* All backend servers are limited, and this router may send to none of them
   for a second.  */
static void
test_capacity_of_limited (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  g_strlcpy (world.settings.address, "10.0.9.9",
             sizeof world.settings.address);
  backend_pool_free (pool);
  pool = pool_open (&world);
  const backend_list_t *list = &world.list;
  for (size_t i = 0; i < list->n_records; i++)
    {
      const char *id = list->records[i].id;
      const cold_report_t report = { .server = XXH3_64bits (id, strlen (id)),
                                     .until = NOW + COLD_START };
      backend_pool_hear_colds (pool, &report, 1, NOW);
    }
  pool_query_t query = query_of (&world, 1);
  g_assert_null (backend_pool_pick (pool, &query, NOW));
  g_assert_cmpuint (backend_pool_capacity (pool, &query, NOW).slots, ==, 0);
  g_assert_cmpint (backend_pool_rest_end (pool, &query, NOW), ==,
                   NOW + COLD_START);
  g_assert_cmpint (backend_pool_rest_end (pool, &query, NOW + COLD_START), ==,
                   0);
  backend_pool_free (pool);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limited-capacity/none-is-counted",
                   test_capacity_of_limited);
  return g_test_run ();
}
