/* The phases of a planned stop.  */

#include <glib.h>

#include "router/shutdown_phase.h"

#define GRACE (6 * USEC_PER_SEC)

static void
test_serves_at_first (void)
{
  g_assert_cmpint (shutdown_phase_at (0, GRACE, 0), ==, SHUTDOWN_SERVE);
  g_assert_cmpint (shutdown_phase_at (2 * USEC_PER_SEC, GRACE, 0), ==,
                   SHUTDOWN_SERVE);
}

/* A request of 2.5 s that is taken late would be cut by the end.  */
static void
test_takes_nothing_that_the_end_would_cut (void)
{
  for (usec_t elapsed = 0; elapsed < GRACE; elapsed += 10 * USEC_PER_MSEC)
    if (shutdown_phase_at (elapsed, GRACE, 1) == SHUTDOWN_SERVE)
      g_assert_cmpint (elapsed, <, GRACE / 2);
}

static void
test_ends_before_the_kill (void)
{
  usec_t elapsed = 0;
  while (shutdown_phase_at (elapsed, GRACE, 1) != SHUTDOWN_EXIT)
    elapsed += 10 * USEC_PER_MSEC;
  g_assert_cmpint (elapsed, >=, GRACE * 5 / 6);
  g_assert_cmpint (elapsed, <, GRACE - 300 * USEC_PER_MSEC);
}

/* With nothing under way it still answers those who have not heard.  */
static void
test_stays_for_late_callers (void)
{
  g_assert_cmpint (shutdown_phase_at (GRACE / 2, GRACE, 0), ==,
                   SHUTDOWN_REFUSE);
  g_assert_cmpint (shutdown_phase_at (GRACE * 9 / 10, GRACE, 0), ==,
                   SHUTDOWN_EXIT);
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
