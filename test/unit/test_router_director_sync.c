/* Which director a router asks first.  */

#include <glib.h>

#include "router/director_sync.h"

/* All routers start at once and ask for the whole list of backend servers.
   Guards against one director that answers all of them: each of the seeds is
   the first one of a third of the routers.  */
static void
test_first_seed (void)
{
  enum
  {
    ROUTERS = 30,
    SEEDS = 3,
  };
  int n[SEEDS] = { 0 };
  for (int i = 0; i < ROUTERS; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.1.0.%d", 10 + i);
      size_t first = director_sync_first_seed (address, SEEDS);
      g_assert_cmpuint (first, <, SEEDS);
      n[first]++;
    }
  for (int i = 0; i < SEEDS; i++)
    g_assert_cmpint (n[i], ==, ROUTERS / SEEDS);
  g_assert_cmpuint (director_sync_first_seed ("10.1.0.1", 0), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-sync/first-seed", test_first_seed);
  return g_test_run ();
}
