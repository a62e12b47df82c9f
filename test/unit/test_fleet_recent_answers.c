/* Guards against a request that is taken for one which ends its backend
   servers although it has been answered all the time before.  */

#include <glib.h>

#include "fleet/crash_table.h"
#include "fleet/recent_answers.h"

#define SEC USEC_PER_SEC

static void
test_remembered (void)
{
  static recent_answers_t answers;
  const fingerprint_t first = { .low = 5, .high = 1 };
  const fingerprint_t second = { .low = 5, .high = 2 };
  g_assert_cmpint (recent_answers_find (&answers, first), ==, 0);
  recent_answers_add (&answers, first, 3 * SEC);
  g_assert_cmpint (recent_answers_find (&answers, first), ==, 3 * SEC);
  g_assert_cmpint (recent_answers_find (&answers, second), ==, 0);
  recent_answers_add (&answers, second, 4 * SEC);
  g_assert_cmpint (recent_answers_find (&answers, second), ==, 4 * SEC);
  g_assert_cmpint (recent_answers_find (&answers, first), ==, 0);
}

/* Three crashes at separate times are enough against a request that was never
   answered, and not against one that was.  */
static void
test_needs_more (void)
{
  static crash_table_t table;
  const fingerprint_t answered = { .low = 1 };
  const fingerprint_t unknown = { .low = 2 };
  crash_table_complete (&table, answered, SEC, true);
  for (uint64_t boot = 1; boot <= 3; boot++)
    {
      /* At other backend servers: no crash explains another.  */
      crash_t crash = { .boot = boot,
                        .sent_at = (usec_t)boot * 2 * SEC,
                        .ended_at = (usec_t)boot * 2 * SEC + 1,
                        .is_confirmed = true };
      crash_table_add (&table, answered, &crash, crash.ended_at);
      crash.boot += 100;
      crash_table_add (&table, unknown, &crash, crash.ended_at);
    }
  g_assert_false (crash_table_is_quarantined (&table, answered));
  g_assert_true (crash_table_is_quarantined (&table, unknown));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/recent-answers/remembered", test_remembered);
  g_test_add_func ("/recent-answers/needs-more", test_needs_more);
  return g_test_run ();
}
