/* Tests of entry/live_ring: the selected VMs must be the ones that a scan of
   all VMs finds; else look-ups return VMs that are down, or one VM twice.  */

#include <glib.h>

#include "base/random.h"
#include "entry/live_ring.h"

enum
{
  VMS_MAX = 40,
  SELECTED = 3,
  RUNS = 5000,
};

/* The reference: scan all VMs once.  */
static size_t
select_by_scan (const bool *is_live, size_t n_vms, size_t start, vm_id_t *vms)
{
  size_t n_selected = 0;
  for (size_t i = 0; i < n_vms && n_selected < SELECTED; i++)
    if (is_live[(start + i) % n_vms])
      vms[n_selected++] = (vm_id_t)((start + i) % n_vms);
  return n_selected;
}

static void
test_same_as_scan (void)
{
  random_state_t random;
  random_seed (&random, 4);
  for (int run = 0; run < RUNS; run++)
    {
      size_t n_vms = 1 + random_below (&random, VMS_MAX);
      uint64_t percent = random_below (&random, 101);
      bool is_live[VMS_MAX];
      for (size_t i = 0; i < n_vms; i++)
        is_live[i] = random_below (&random, 100) < percent;
      live_ring_t ring;
      live_ring_init (&ring, n_vms);
      vm_id_t found[SELECTED];
      vm_id_t expected[SELECTED];
      g_assert_cmpuint (live_ring_select (&ring, 0, found, SELECTED), ==, 0);
      live_ring_build (&ring, is_live);
      size_t start = random_below (&random, 1000);
      size_t n = select_by_scan (is_live, n_vms, start, expected);
      g_assert_cmpuint (live_ring_select (&ring, start, found, SELECTED), ==,
                        n);
      for (size_t i = 0; i < n; i++)
        g_assert_cmpuint (found[i], ==, expected[i]);
      live_ring_free (&ring);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/live_ring", test_same_as_scan);
  return g_test_run ();
}
