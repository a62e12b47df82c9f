/* Guards against a request that is taken in a planned stop by the mean of its
   route's run times, and is cut since it runs a little longer.  */

#include "balance/run_estimate.h"

#include <glib.h>

#define RUN (1200 * USEC_PER_MSEC)

enum
{
  N_RUNS = 200,
};

/* The estimate after N_RUNS runs between RUN - SPREAD and RUN + SPREAD.  */
static run_time_t
learned (usec_t spread)
{
  run_estimate_t estimate = { 0 };
  route_t route = { 0 };
  g_strlcpy (route.name.text, "r", sizeof route.name.text);
  for (int i = 0; i < N_RUNS; i++)
    run_estimate_update (&estimate, &route, false,
                         RUN + (i % 2 ? spread : -spread));
  return run_estimate_get (&estimate, &route);
}

static void
test_limit_covers_spread (void)
{
  const usec_t spreads[]
      = { 0, 20 * USEC_PER_MSEC, 100 * USEC_PER_MSEC, 600 * USEC_PER_MSEC };
  for (size_t i = 0; i < G_N_ELEMENTS (spreads); i++)
    {
      run_time_t run_time = learned (spreads[i]);
      g_assert_cmpint (run_time_limit (&run_time), >=,
                       RUN + 2 * spreads[i] - RUN / 100);
    }
}

static void
test_steady_runs_need_no_allowance (void)
{
  run_time_t run_time = learned (0);
  g_assert_cmpint (run_time_limit (&run_time), <=, RUN + RUN / 100);
}

/* Before the first run nothing is known but the objective.  */
static void
test_unknown_route_has_allowance (void)
{
  run_estimate_t estimate = { 0 };
  route_t route = { .latency_objective = RUN };
  run_time_t run_time = run_estimate_get (&estimate, &route);
  g_assert_cmpint (run_time_limit (&run_time), >=, 2 * run_time.uncached);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/run-estimate/limit-covers-spread",
                   test_limit_covers_spread);
  g_test_add_func ("/run-estimate/steady-runs-need-no-allowance",
                   test_steady_runs_need_no_allowance);
  g_test_add_func ("/run-estimate/unknown-route-has-allowance",
                   test_unknown_route_has_allowance);
  return g_test_run ();
}
