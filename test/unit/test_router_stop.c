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

/* Turns of TICK from FROM until the process exits; they find something to do
   until BUSY_UNTIL.  Returns when it exits.  */
static usec_t
exit_after (usec_t from, usec_t tick, usec_t busy_until)
{
  shutdown_turns_t turns = { .last_at = USEC_PER_MSEC };
  usec_t at = from;
  for (;; at += tick)
    {
      shutdown_phase_t phase = shutdown_phase_at (at, GRACE, 0);
      shutdown_add_turn (&turns, at, at < busy_until);
      phase = shutdown_phase_after (&turns, phase, at, GRACE);
      if (phase == SHUTDOWN_EXIT)
        return at;
      g_assert_cmpint (at, <, GRACE + USEC_PER_SEC);
    }
}

/* A process that had not run, as it was paused, exited 50 ms after it ran
   again, before it had read all that had arrived.  */
static void
test_reads_all_first (void)
{
  static const struct
  {
    usec_t from, tick, busy_until, exit_min, exit_max; /* msec */
  } rows[] = {
    { 5500, 1, 5750, 5790, 5830 },  /* until nothing more arrives */
    { 5500, 1, 9000, 5890, 5910 },  /* up to a margin before the kill */
    { 5950, 1, 9000, 5995, 6010 },  /* if paused for longer, for 50 ms */
    { 5400, 20, 5400, 5440, 5460 }, /* nothing has arrived */
    { 5400, 20, 5650, 5700, 5740 }, /* before the time to finish, too */
    { 5300, 40, 9000, 5890, 5940 },
    { 5300, 40, 5300, 5890, 5940 }, /* late turns tell nothing */
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      usec_t at = exit_after (rows[i].from * USEC_PER_MSEC,
                              rows[i].tick * USEC_PER_MSEC,
                              rows[i].busy_until * USEC_PER_MSEC);
      g_test_message ("row %zu: exits at %ld us", i, (long)at);
      g_assert_cmpint (at, >=, rows[i].exit_min * USEC_PER_MSEC);
      g_assert_cmpint (at, <=, rows[i].exit_max * USEC_PER_MSEC);
    }
}

/* Until it ends requests, those that end in time are served.  */
static void
test_refuses_while_reading (void)
{
  static const struct
  {
    usec_t at; /* msec */
    shutdown_phase_t phase;
  } rows[] = { { 5400, SHUTDOWN_REFUSE }, { 5600, SHUTDOWN_FINISH } };
  shutdown_turns_t turns = { 0 };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      usec_t at = rows[i].at * USEC_PER_MSEC;
      shutdown_add_turn (&turns, at, true);
      g_assert_cmpint (shutdown_phase_after (&turns, SHUTDOWN_EXIT, at, GRACE),
                       ==, rows[i].phase);
    }
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
  g_test_add_func ("/shutdown/reads-all-first", test_reads_all_first);
  g_test_add_func ("/shutdown/refuses-while-reading",
                   test_refuses_while_reading);
  return g_test_run ();
}
