/* The phases of a planned stop.  */

#include <glib.h>

#include "router/stop_plan.h"

#define GRACE (6 * USEC_PER_SEC)

static void
test_serves_at_first (void)
{
  g_assert_cmpint (stop_plan_phase (0, GRACE, 0), ==, STOP_SERVES);
  g_assert_cmpint (stop_plan_phase (2 * USEC_PER_SEC, GRACE, 0), ==,
                   STOP_SERVES);
}

/* A request of 2.5 s that is taken late would be cut by the end.  */
static void
test_takes_nothing_that_the_end_would_cut (void)
{
  for (usec_t span = 0; span < GRACE; span += 10 * USEC_PER_MSEC)
    if (stop_plan_phase (span, GRACE, 1) == STOP_SERVES)
      g_assert_cmpint (span, <, GRACE / 2);
}

static void
test_ends_before_the_kill (void)
{
  usec_t span = 0;
  while (stop_plan_phase (span, GRACE, 1) != STOP_ENDS)
    span += 10 * USEC_PER_MSEC;
  g_assert_cmpint (span, >=, GRACE * 5 / 6);
  g_assert_cmpint (span, <, GRACE - 300 * USEC_PER_MSEC);
}

/* With nothing under way it still answers those who have not heard.  */
static void
test_stays_for_late_callers (void)
{
  g_assert_cmpint (stop_plan_phase (GRACE / 2, GRACE, 0), ==, STOP_REFUSES);
  g_assert_cmpint (stop_plan_phase (GRACE * 9 / 10, GRACE, 0), ==, STOP_ENDS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stop/serves", test_serves_at_first);
  g_test_add_func ("/stop/takes-nothing",
                   test_takes_nothing_that_the_end_would_cut);
  g_test_add_func ("/stop/ends", test_ends_before_the_kill);
  g_test_add_func ("/stop/stays", test_stays_for_late_callers);
  return g_test_run ();
}
