/* Tests of entry: the next VMs that live, against going through all of them.
 */

#include <glib.h>

#include "base/random.h"
#include "entry/live_ring.h"

enum
{
  VMS_MAX = 40,
  TAKE = 3,
  RUNS = 5000,
};

/* The plain way: go through all VMs once.  */
static size_t
select_by_scan (const bool *lives, size_t n_vms, size_t start, vm_id_t *vms)
{
  size_t taken = 0;
  for (size_t i = 0; i < n_vms && taken < TAKE; i++)
    if (lives[(start + i) % n_vms])
      vms[taken++] = (vm_id_t)((start + i) % n_vms);
  return taken;
}

static void
test_same_as_going_through_all (void)
{
  random_state_t random;
  random_seed (&random, 4);
  for (int run = 0; run < RUNS; run++)
    {
      size_t n_vms = 1 + random_below (&random, VMS_MAX);
      uint64_t percent = random_below (&random, 101);
      bool lives[VMS_MAX];
      for (size_t i = 0; i < n_vms; i++)
        lives[i] = random_below (&random, 100) < percent;
      live_ring_t ring;
      live_ring_init (&ring, n_vms);
      vm_id_t found[TAKE];
      vm_id_t expected[TAKE];
      g_assert_cmpuint (live_ring_select (&ring, 0, found, TAKE), ==, 0);
      live_ring_build (&ring, lives);
      size_t start = random_below (&random, 1000);
      size_t n = select_by_scan (lives, n_vms, start, expected);
      g_assert_cmpuint (live_ring_select (&ring, start, found, TAKE), ==, n);
      for (size_t i = 0; i < n; i++)
        g_assert_cmpuint (found[i], ==, expected[i]);
      live_ring_free (&ring);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/live_ring", test_same_as_going_through_all);
  return g_test_run ();
}
