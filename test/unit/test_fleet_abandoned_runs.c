/* Guards against a request that ends backend servers and is not held to
   account, because it was given up on before their end.  */

#include <glib.h>
#include <string.h>

#include "fleet/abandoned_runs.h"
#include "fleet/crash_table.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

static abandoned_runs_t runs;
static abandoned_run_t taken[ABANDONED_PER_BOOT_MAX];

static void
add (uint64_t boot, uint64_t request, usec_t deadline, usec_t now)
{
  const abandoned_call_t call = { .boot = boot,
                                  .fingerprint = { .low = request },
                                  .sent_at = now - 500 * MSEC,
                                  .deadline = deadline };
  abandoned_runs_add (&runs, &call, now);
}

/* For how long a run that was given up on at 1 s is expected, by its
   deadline.  */
static void
test_time (void)
{
  static const struct
  {
    usec_t deadline, asked_at;
    size_t n;
  } cases[] = {
    { 2 * SEC, 3900 * MSEC, 1 }, { 2 * SEC, 4 * SEC, 0 },
    { SEC, 2900 * MSEC, 1 }, /* it reached its time limit */
    { SEC, 3 * SEC, 0 },         { 100 * SEC, 10900 * MSEC, 1 },
    { 100 * SEC, 11 * SEC, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      memset (&runs, 0, sizeof runs);
      add (7, 1, cases[i].deadline, SEC);
      const fingerprint_t request = { .low = 1 };
      bool is_recent
          = cases[i].n == 1 && cases[i].asked_at < SEC + ABANDONED_TRIAL_TIME;
      g_assert_cmpint (
          abandoned_runs_has_recent (&runs, request, cases[i].asked_at), ==,
          is_recent);
      g_assert_cmpuint (
          abandoned_runs_take (&runs, 7, taken, cases[i].asked_at), ==,
          cases[i].n);
      g_assert_cmpuint (abandoned_runs_take (&runs, 7, taken, SEC), ==, 0);
    }
}

/* A flood at one backend server takes no room from others; a later run of the
   same request takes none at all.  */
static void
test_room (void)
{
  memset (&runs, 0, sizeof runs);
  add (1, 1, 5 * SEC, SEC);
  for (uint64_t i = 0; i < 2 * ABANDONED_PER_BOOT_MAX; i++)
    add (2, i, 5 * SEC, SEC + (usec_t)i);
  add (2, ABANDONED_PER_BOOT_MAX, 5 * SEC, 2 * SEC);
  g_assert_cmpuint (runs.n_dropped, ==, ABANDONED_PER_BOOT_MAX);
  g_assert_cmpuint (abandoned_runs_take (&runs, 1, taken, 2 * SEC), ==, 1);
  g_assert_cmpuint (abandoned_runs_take (&runs, 2, taken, 2 * SEC), ==,
                    ABANDONED_PER_BOOT_MAX);
  g_assert_cmpuint (taken[0].fingerprint.low, ==, ABANDONED_PER_BOOT_MAX + 1);
  g_assert_cmpint (taken[ABANDONED_PER_BOOT_MAX - 1].sent_at, ==, 1500 * MSEC);
  /* Of the servers the one goes where nothing was given up on for longest.  */
  for (uint64_t boot = 1; boot <= ABANDONED_BOOTS_MAX; boot++)
    add (boot, 1, 5 * SEC, SEC + (usec_t)boot);
  add (1, 2, 5 * SEC, 2 * SEC);
  add (1000, 1, 5 * SEC, 2 * SEC);
  g_assert_cmpuint (runs.n_dropped, ==, ABANDONED_PER_BOOT_MAX + 1);
  g_assert_cmpuint (abandoned_runs_take (&runs, 1, taken, 2 * SEC), ==, 2);
  g_assert_cmpuint (abandoned_runs_take (&runs, 2, taken, 2 * SEC), ==, 0);
}

/* Health checks: of a backend server that was not seen alive lately, and not
   more than so many.  */
static void
test_checks (void)
{
  memset (&runs, 0, sizeof runs);
  add (1, 1, 5 * SEC, SEC);
  add (2, 1, 5 * SEC, SEC);
  usec_t due_at = SEC + ABANDONED_CHECK_INTERVAL;
  g_assert_cmpuint (abandoned_runs_due_check (&runs, due_at - 1), ==, 0);
  abandoned_runs_seen (&runs, 2, due_at - 1);
  g_assert_cmpuint (abandoned_runs_due_check (&runs, due_at), ==, 1);
  g_assert_cmpuint (abandoned_runs_due_check (&runs, due_at), ==, 0);
  for (uint64_t boot = 3; boot < 100; boot++)
    add (boot, 1, 5 * SEC, SEC);
  size_t n = 0;
  due_at += ABANDONED_CHECK_SPAN;
  while (abandoned_runs_due_check (&runs, due_at) != 0)
    n++;
  g_assert_cmpuint (n, ==, ABANDONED_CHECKS_MAX);
  g_assert_cmpuint (
      abandoned_runs_due_check (&runs, due_at + ABANDONED_CHECK_SPAN), !=, 0);
  g_assert_cmpuint (abandoned_runs_due_check (&runs, 20 * SEC), ==, 0);
  g_assert_cmpuint (runs.n, ==, 0);
}

/* What the taken runs of N_ENDS backend servers, GAP apart, add up to.  */
static bool
is_quarantined_after (size_t n_ends, usec_t gap)
{
  static crash_table_t table;
  const fingerprint_t request = { .low = 1 };
  memset (&runs, 0, sizeof runs);
  memset (&table, 0, sizeof table);
  for (uint64_t boot = 1; boot <= n_ends; boot++)
    add (boot, 1, 20 * SEC, SEC + (usec_t)boot * gap);
  for (uint64_t boot = 1; boot <= n_ends; boot++)
    {
      usec_t now = SEC + (usec_t)boot * gap + 300 * MSEC;
      size_t n = abandoned_runs_take (&runs, boot, taken, now);
      g_assert_cmpuint (n, ==, 1);
      const crash_t crash = { .boot = boot,
                              .sent_at = taken[0].sent_at,
                              .ended_at = now,
                              .is_confirmed = true };
      crash_table_add (&table, taken[0].fingerprint, &crash, now);
    }
  return crash_table_is_quarantined (&table, request);
}

static void
test_evidence (void)
{
  g_assert_true (is_quarantined_after (3, SEC));
  g_assert_false (is_quarantined_after (2, SEC));
  /* Many of one moment are one event.  */
  g_assert_false (is_quarantined_after (20, MSEC));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/abandoned-runs/time", test_time);
  g_test_add_func ("/abandoned-runs/room", test_room);
  g_test_add_func ("/abandoned-runs/checks", test_checks);
  g_test_add_func ("/abandoned-runs/evidence", test_evidence);
  return g_test_run ();
}
