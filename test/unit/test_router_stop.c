/* Guards the phases of a router's graceful shutdown.  Requests are lost if the
   process accepts one that it can't finish before it is killed, if it exits
   after that time, or if it exits while callers with an outdated look-up
   result still send requests.  */

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

/* A request that runs for 2.5 s would be cut off by the exit of the process if
   it were accepted in the second half of the grace period.  */
static void
test_refuses_requests_that_could_not_finish (void)
{
  for (usec_t elapsed = 0; elapsed < GRACE; elapsed += 10 * USEC_PER_MSEC)
    if (shutdown_phase_at (elapsed, GRACE, 1) == SHUTDOWN_SERVE)
      g_assert_cmpint (elapsed, <, GRACE / 2);
}

static void
test_exits_before_the_kill (void)
{
  usec_t elapsed = 0;
  while (shutdown_phase_at (elapsed, GRACE, 1) != SHUTDOWN_EXIT)
    elapsed += 10 * USEC_PER_MSEC;
  g_assert_cmpint (elapsed, >=, GRACE * 5 / 6);
  g_assert_cmpint (elapsed, <, GRACE - 300 * USEC_PER_MSEC);
}

/* Even if no request is active, the process goes on refusing requests of
   callers that still use an outdated look-up result.  */
static void
test_waits_for_late_callers (void)
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
  g_test_add_func ("/shutdown/serves-at-first", test_serves_at_first);
  g_test_add_func ("/shutdown/refuses-what-could-not-finish",
                   test_refuses_requests_that_could_not_finish);
  g_test_add_func ("/shutdown/exits-before-the-kill",
                   test_exits_before_the_kill);
  g_test_add_func ("/shutdown/waits-for-late-callers",
                   test_waits_for_late_callers);
  return g_test_run ();
}
