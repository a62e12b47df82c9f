/* Guards against a request that is forwarded to an entry VM that closes its
   connections, and is cut there.  */

#include <glib.h>

#include "entry/leave_watch.h"

#define SPAN (2 * USEC_PER_SEC)

static void
record (leave_watch_t *watch, uint64_t incarnation, bool takes_no_callers,
        usec_t now)
{
  const liveness_record_t row = { .vm = 1,
                                  .incarnation = incarnation,
                                  .takes_no_callers = takes_no_callers };
  leave_watch_record (watch, &row, now);
}

static void
test_counts_from_the_first_word (void)
{
  leave_watch_t *watch = leave_watch_new (2);
  record (watch, 7, false, 0);
  g_assert_false (leave_watch_has_left (watch, 1, SPAN, 10 * SPAN));
  record (watch, 7, true, 10 * SPAN);
  record (watch, 7, true, 11 * SPAN - 1);
  g_assert_false (leave_watch_has_left (watch, 1, SPAN, 11 * SPAN - 1));
  g_assert_true (leave_watch_has_left (watch, 1, SPAN, 11 * SPAN));
  g_assert_false (leave_watch_has_left (watch, 0, SPAN, 11 * SPAN));
  leave_watch_free (watch);
}

static void
test_a_restarted_vm_is_back (void)
{
  leave_watch_t *watch = leave_watch_new (2);
  record (watch, 7, true, 0);
  record (watch, 8, false, SPAN);
  g_assert_false (leave_watch_has_left (watch, 1, SPAN, 5 * SPAN));
  record (watch, 8, true, 5 * SPAN);
  g_assert_false (leave_watch_has_left (watch, 1, SPAN, 6 * SPAN - 1));
  g_assert_true (leave_watch_has_left (watch, 1, SPAN, 6 * SPAN));
  leave_watch_free (watch);
}

static void
test_acknowledgements (void)
{
  leave_watch_t *watch = leave_watch_new (2);
  g_assert_false (leave_watch_is_acknowledged (watch, 1));
  leave_watch_acknowledged (watch, 1);
  g_assert_true (leave_watch_is_acknowledged (watch, 1));
  g_assert_false (leave_watch_is_acknowledged (watch, 0));
  leave_watch_free (watch);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/leave/first-word", test_counts_from_the_first_word);
  g_test_add_func ("/leave/restart", test_a_restarted_vm_is_back);
  g_test_add_func ("/leave/acknowledgements", test_acknowledgements);
  return g_test_run ();
}
