/* Guards against a retry storm: in an outage every request fails and each
   router retries whenever its token bucket allows it.  All routers together
   must stay within the retries that the deployment allows.  */

#include <glib.h>

#include "balance/retry_share.h"

enum
{
  ROUTERS_MAX = 273,
  STEPS = 4000,  /* of 10 ms */
  WINDOW = 1000, /* steps */
};

/* From the step CALM_STEPS on every request fails, and each router sends a
   retry whenever it may.  In any window the number of retries must not exceed
   the base plus the allowed fraction of the requests.  STEP_REQUESTS is the
   number of requests in each step.  */
static void
check_retry_bound_after (int calm_steps, size_t n_routers, double base,
                         int step_requests)
{
  const fleet_bounds_t bounds = { .retry_ratio = 0.2,
                                  .retry_base = base,
                                  .retry_window = 10 * USEC_PER_SEC };
  retry_share_t shares[ROUTERS_MAX] = { 0 };
  static int requests[STEPS];
  static int retries[STEPS];
  size_t next_share = 0;
  int n_total_retries = 0;
  for (int step = 0; step < STEPS; step++)
    {
      requests[step] = step_requests;
      retries[step] = 0;
      for (int i = 0; i < step_requests; i++)
        {
          retry_share_t *share = &shares[next_share++ % n_routers];
          usec_t now = (step + 1) * 10 * USEC_PER_MSEC;
          retry_share_refill (share, &bounds, n_routers, now);
          while (step >= calm_steps && retry_share_take (share))
            retries[step]++;
        }
      n_total_retries += retries[step];
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
  g_assert_cmpint (n_total_retries, >, 0);
}

static void
check_retry_bound (size_t n_routers, double base, int step_requests)
{
  check_retry_bound_after (0, n_routers, base, step_requests);
  check_retry_bound_after (STEPS / 2, n_routers, base, step_requests);
}

/* The size of a small deployment.  */
static void
test_outage_with_9_routers (void)
{
  check_retry_bound (9, 58, 1);
}

/* The size of a deployment that has grown.  */
static void
test_outage_with_85_routers (void)
{
  check_retry_bound (85, 210, 9);
}

/* Hundreds of routers.  */
static void
test_outage_with_273_routers (void)
{
  check_retry_bound (273, 586, 21);
}

/* A router that knows no routers cannot compute its part of the base: it must
   limit its retries to the allowed fraction of its requests.  */
static void
test_no_known_router (void)
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
  g_test_add_func ("/retry/9-routers", test_outage_with_9_routers);
  g_test_add_func ("/retry/85-routers", test_outage_with_85_routers);
  g_test_add_func ("/retry/273-routers", test_outage_with_273_routers);
  g_test_add_func ("/retry/no-known-router", test_no_known_router);
  return g_test_run ();
}
