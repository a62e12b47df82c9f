/* Retries of all routers together stay within what the deployment allows.  */

#include <glib.h>

#include "balance/retry_share.h"

enum
{
  ROUTERS_MAX = 85,
  STEPS = 4000, /* of 10 ms */
  WINDOW = 1000,
};

/* Every request fails, and a retry is sent whenever one may be.  In any window
   the retries are at most the base and the part of the requests.  */
static void
check_outage (size_t n_routers, double base, int step_requests)
{
  const fleet_bounds_t bounds = { .retry_ratio = 0.2,
                                  .retry_base = base,
                                  .retry_window = 10 * USEC_PER_SEC };
  retry_share_t shares[ROUTERS_MAX] = { 0 };
  static int requests[STEPS];
  static int retries[STEPS];
  size_t turn = 0;
  int total = 0;
  for (int step = 0; step < STEPS; step++)
    {
      requests[step] = step_requests;
      retries[step] = 0;
      for (int i = 0; i < step_requests; i++)
        {
          retry_share_t *share = &shares[turn++ % n_routers];
          usec_t now = (step + 1) * 10 * USEC_PER_MSEC;
          retry_share_refill (share, &bounds, n_routers, now);
          while (retry_share_take (share))
            retries[step]++;
        }
      total += retries[step];
    }
  for (int from = 0; from + WINDOW <= STEPS; from += 10)
    {
      int n_requests = 0;
      int n_retries = 0;
      for (int step = from; step < from + WINDOW; step++)
        {
          n_requests += requests[step];
          n_retries += retries[step];
        }
      g_assert_cmpfloat (n_retries, <=, base + 0.2 * n_requests);
    }
  g_assert_cmpint (total, >, 0);
}

static void
test_outage_on_small_site (void)
{
  check_outage (9, 58, 1);
}

static void
test_outage_on_grown_site (void)
{
  check_outage (85, 210, 9);
}

/* A router that knows of no other one keeps to the part of its requests.  */
static void
test_nobody_known (void)
{
  const fleet_bounds_t bounds = { .retry_ratio = 0.2,
                                  .retry_base = 58,
                                  .retry_window = 10 * USEC_PER_SEC };
  retry_share_t share = { 0 };
  int n = 0;
  for (int i = 1; i <= 1000; i++)
    {
      retry_share_refill (&share, &bounds, 0, i * USEC_PER_SEC);
      n += retry_share_take (&share);
    }
  g_assert_cmpint (n, <=, 200);
  g_assert_cmpint (n, >, 50);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/small", test_outage_on_small_site);
  g_test_add_func ("/retry/grown", test_outage_on_grown_site);
  g_test_add_func ("/retry/alone", test_nobody_known);
  return g_test_run ();
}
