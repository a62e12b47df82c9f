/* Tests of entry/wait_queue.  */

#include <glib.h>

#include "entry/wait_queue.h"

enum
{
  BURST = 100,
};

static wait_item_t
enter (wait_queue_t *line, const char *tenant)
{
  wait_item_t item = { 0 };
  wait_queue_register (line, &item, 0, tenant);
  return item;
}

static void
test_burst_waits_behind_itself (void)
{
  wait_queue_t *line = wait_queue_new (1);
  wait_item_t burst[BURST];
  for (size_t i = 0; i < BURST; i++)
    {
      burst[i] = enter (line, "burst");
      wait_queue_push (line, &burst[i]);
    }
  wait_queue_mark_running (line, wait_queue_head (line, 0));
  wait_queue_mark_running (line, wait_queue_head (line, 0));
  wait_item_t other = enter (line, "other");
  wait_queue_push (line, &other);
  g_assert_true (wait_queue_head (line, 0) == &other);
  /* Its turn stays its own until it runs.  */
  g_assert_true (wait_queue_head (line, 0) == &other);
  wait_queue_mark_running (line, &other);
  g_assert_true (wait_queue_head (line, 0) == &burst[2]);
  wait_queue_unregister (line, &other);
  for (size_t i = 0; i < BURST; i++)
    wait_queue_unregister (line, &burst[i]);
  g_assert_true (wait_queue_is_empty (line, 0));
  g_assert_null (wait_queue_head (line, 0));
  wait_queue_free (line);
}

static void
test_accounts_are_bounded_and_given_anew (void)
{
  wait_queue_t *line = wait_queue_new (1);
  wait_item_t items[WAIT_QUEUE_TENANTS_MAX];
  char name[16];
  for (int i = 0; i < WAIT_QUEUE_TENANTS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "t%d", i);
      items[i] = enter (line, name);
      g_assert_cmpuint (items[i].tenant, ==, i);
    }
  wait_item_t again = enter (line, "t5");
  g_assert_cmpuint (again.tenant, ==, 5);
  wait_item_t above = enter (line, "above");
  wait_item_t more = enter (line, "more");
  g_assert_cmpuint (above.tenant, ==, WAIT_QUEUE_TENANTS_MAX);
  g_assert_cmpuint (more.tenant, ==, WAIT_QUEUE_TENANTS_MAX);
  wait_queue_unregister (line, &above);
  wait_queue_unregister (line, &items[7]);
  wait_item_t later = enter (line, "later");
  g_assert_cmpuint (later.tenant, ==, 7);
  wait_queue_free (line);
}

static void
test_taken_out_while_first (void)
{
  wait_queue_t *line = wait_queue_new (2);
  wait_item_t a = enter (line, "a");
  wait_item_t b = enter (line, "b");
  wait_queue_push (line, &a);
  wait_queue_push (line, &a);
  wait_queue_push (line, &b);
  wait_item_t *first = wait_queue_head (line, 0);
  wait_queue_remove (line, first);
  wait_queue_remove (line, first);
  g_assert_true (wait_queue_head (line, 0) == (first == &a ? &b : &a));
  g_assert_true (wait_queue_is_empty (line, 1));
  wait_queue_unregister (line, &a);
  wait_queue_unregister (line, &b);
  g_assert_true (wait_queue_is_empty (line, 0));
  wait_queue_free (line);
}

/* An answer comes each 10 ms and ran 30: who comes is told how long its turn
   takes, one of a quiet tenant less than one of the burst.  */
static void
test_forecast_follows_the_answers (void)
{
  const usec_t step = 10 * USEC_PER_MSEC;
  const usec_t ran = 30 * USEC_PER_MSEC;
  wait_queue_t *line = wait_queue_new (1);
  wait_item_t burst[BURST];
  for (size_t i = 0; i < BURST; i++)
    {
      burst[i] = enter (line, "burst");
      wait_queue_push (line, &burst[i]);
    }
  wait_item_t more = enter (line, "burst");
  wait_item_t other = enter (line, "other");
  g_assert_cmpint (wait_queue_estimate (line, &more).wait_time, ==, 0);
  for (size_t i = 0; i < BURST / 2; i++)
    {
      wait_queue_mark_running (line, wait_queue_head (line, 0));
      wait_queue_record_answer (line, 0, ran, (usec_t)(i + 1) * step);
    }
  wait_estimate_t forecast = wait_queue_estimate (line, &more);
  g_assert_cmpint (forecast.run_time, ==, ran);
  g_assert_cmpint (forecast.wait_time, >=, (BURST / 2) * step);
  g_assert_cmpint (forecast.wait_time, <=, (BURST / 2 + 5) * step);
  g_assert_cmpint (wait_queue_estimate (line, &other).wait_time, <, 10 * step);
  for (size_t i = BURST / 2; i < BURST; i++)
    wait_queue_unregister (line, &burst[i]);
  g_assert_cmpint (wait_queue_estimate (line, &more).wait_time, ==, 0);
  g_assert_cmpint (wait_queue_estimate (line, &more).run_time, ==, 0);
  wait_queue_free (line);
}

/* One that had its turn and comes back is next, in the order of return.  */
static void
test_returned_comes_first (void)
{
  wait_queue_t *line = wait_queue_new (1);
  wait_item_t items[4];
  for (size_t i = 0; i < G_N_ELEMENTS (items); i++)
    {
      items[i] = enter (line, "a");
      wait_queue_push (line, &items[i]);
    }
  wait_queue_mark_running (line, wait_queue_head (line, 0));
  wait_queue_mark_running (line, wait_queue_head (line, 0));
  wait_queue_push (line, &items[1]);
  wait_queue_push (line, &items[0]);
  g_assert_true (wait_queue_head (line, 0) == &items[1]);
  wait_queue_mark_running (line, &items[1]);
  wait_queue_unregister (line, &items[0]);
  g_assert_true (wait_queue_head (line, 0) == &items[2]);
  wait_queue_mark_running (line, &items[2]);
  g_assert_true (wait_queue_head (line, 0) == &items[3]);
  for (size_t i = 1; i < G_N_ELEMENTS (items); i++)
    wait_queue_unregister (line, &items[i]);
  g_assert_true (wait_queue_is_empty (line, 0));
  wait_queue_free (line);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wait_line/burst", test_burst_waits_behind_itself);
  g_test_add_func ("/wait_line/accounts",
                   test_accounts_are_bounded_and_given_anew);
  g_test_add_func ("/wait_line/forecast", test_forecast_follows_the_answers);
  g_test_add_func ("/wait_line/returned", test_returned_comes_first);
  g_test_add_func ("/wait_line/taken_out", test_taken_out_while_first);
  return g_test_run ();
}
