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

static bool
may_send (usec_t elapsed, usec_t deadline, usec_t longest_run)
{
  const shutdown_request_t request = { .received_at = elapsed,
                                       .deadline = deadline,
                                       .longest_run = longest_run };
  return shutdown_may_send (elapsed, GRACE, &request);
}

/* A request taken at 44% of the grace, that was expected to run for longer
   than the rest, was broken off at the end.  */
static void
test_sends_what_is_expected_to_end (void)
{
  const usec_t at = GRACE * 44 / 100;
  const usec_t rest = shutdown_last_deadline (GRACE) - at;
  g_assert_true (may_send (at, 2 * GRACE, rest));
  g_assert_false (may_send (at, 2 * GRACE, rest + 1));
  g_assert_false (may_send (GRACE / 2, 2 * GRACE, USEC_PER_MSEC));
}

/* One that ends by its deadline was refused though it could be served.  */
static void
test_sends_what_ends_by_its_deadline (void)
{
  const usec_t last = shutdown_last_deadline (GRACE);
  g_assert_true (may_send (GRACE * 3 / 4, last, 2 * GRACE));
  g_assert_false (may_send (GRACE * 3 / 4, last + 1, 2 * GRACE));
  g_assert_false (may_send (last, last, 0));
}

/* A queued or repeated one is as one that has just come, but for the time at
   which it was received.  */
static void
test_sends_what_was_received_before (void)
{
  shutdown_request_t request = { .received_at = -USEC_PER_SEC,
                                 .deadline = 2 * GRACE,
                                 .longest_run = GRACE / 4 };
  g_assert_true (shutdown_may_send (GRACE / 2, GRACE, &request));
  g_assert_false (shutdown_may_send (GRACE * 3 / 4, GRACE, &request));
}

/* With a grace that is shorter than the time to finish, requests were taken
   and cut.  */
static void
test_finishes_in_every_grace (void)
{
  for (usec_t grace = 100 * USEC_PER_MSEC; grace <= GRACE;
       grace += 100 * USEC_PER_MSEC)
    {
      usec_t last = shutdown_last_deadline (grace);
      usec_t at = last > 0 ? last : 0;
      g_assert_cmpint (shutdown_phase_at (grace, grace, 1), ==, SHUTDOWN_EXIT);
      const shutdown_request_t request
          = { .received_at = at, .deadline = at + 1 };
      g_assert_false (shutdown_may_send (at, grace, &request));
      if (shutdown_phase_at (at, grace, 1) == SHUTDOWN_SERVE)
        g_assert_cmpint (at, <, grace - USEC_PER_SEC / 2);
    }
}

/* A response that was being written was cut, as no request was active.  */
static void
test_writes_responses_first (void)
{
  const usec_t finish = GRACE - 450 * USEC_PER_MSEC;
  g_assert_cmpint (shutdown_phase_at (GRACE * 9 / 10, GRACE, 1), ==,
                   SHUTDOWN_REFUSE);
  g_assert_cmpint (shutdown_phase_at (finish, GRACE, 1), ==, SHUTDOWN_FINISH);
  g_assert_cmpint (shutdown_phase_at (finish, GRACE, 0), ==, SHUTDOWN_EXIT);
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
  g_test_add_func ("/shutdown/sends-what-is-expected-to-end",
                   test_sends_what_is_expected_to_end);
  g_test_add_func ("/shutdown/sends-what-ends-by-its-deadline",
                   test_sends_what_ends_by_its_deadline);
  g_test_add_func ("/shutdown/sends-what-was-received-before",
                   test_sends_what_was_received_before);
  g_test_add_func ("/shutdown/finishes-in-every-grace",
                   test_finishes_in_every_grace);
  g_test_add_func ("/shutdown/writes-responses-first",
                   test_writes_responses_first);
  return g_test_run ();
}
