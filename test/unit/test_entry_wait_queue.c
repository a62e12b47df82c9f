/* Tests of entry/wait_queue.  They guard against a burst of one tenant that
   delays other tenants, against requests that wait their whole turn again
   after a refusal elsewhere, and against estimates that use answers of an
   earlier queue.  */

#include <glib.h>

#include "entry/wait_queue.h"

enum
{
  BURST = 100,
};

static wait_item_t
make_item (wait_queue_t *queue, const char *tenant)
{
  wait_item_t item = { 0 };
  wait_queue_register (queue, &item, 0, tenant);
  return item;
}

static void
test_burst_delays_own_tenant_only (void)
{
  wait_queue_t *queue = wait_queue_new (1);
  wait_item_t burst[BURST];
  for (size_t i = 0; i < BURST; i++)
    {
      burst[i] = make_item (queue, "burst");
      wait_queue_push (queue, &burst[i]);
    }
  wait_queue_mark_running (queue, wait_queue_head (queue, 0));
  wait_queue_mark_running (queue, wait_queue_head (queue, 0));
  wait_item_t other = make_item (queue, "other");
  wait_queue_push (queue, &other);
  g_assert_true (wait_queue_head (queue, 0) == &other);
  /* It stays at the head until it runs.  */
  g_assert_true (wait_queue_head (queue, 0) == &other);
  wait_queue_mark_running (queue, &other);
  g_assert_true (wait_queue_head (queue, 0) == &burst[2]);
  wait_queue_unregister (queue, &other);
  for (size_t i = 0; i < BURST; i++)
    wait_queue_unregister (queue, &burst[i]);
  g_assert_true (wait_queue_is_empty (queue, 0));
  g_assert_null (wait_queue_head (queue, 0));
  wait_queue_free (queue);
}

static void
test_tenants_are_bounded_and_reused (void)
{
  wait_queue_t *queue = wait_queue_new (1);
  wait_item_t items[WAIT_QUEUE_TENANTS_MAX];
  char name[16];
  for (int i = 0; i < WAIT_QUEUE_TENANTS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "t%d", i);
      items[i] = make_item (queue, name);
      g_assert_cmpuint (items[i].tenant, ==, i);
    }
  wait_item_t again = make_item (queue, "t5");
  g_assert_cmpuint (again.tenant, ==, 5);
  wait_item_t above = make_item (queue, "above");
  wait_item_t more = make_item (queue, "more");
  g_assert_cmpuint (above.tenant, ==, WAIT_QUEUE_TENANTS_MAX);
  g_assert_cmpuint (more.tenant, ==, WAIT_QUEUE_TENANTS_MAX);
  wait_queue_unregister (queue, &above);
  wait_queue_unregister (queue, &items[7]);
  wait_item_t later = make_item (queue, "later");
  g_assert_cmpuint (later.tenant, ==, 7);
  wait_queue_free (queue);
}

static void
test_removed_while_at_head (void)
{
  wait_queue_t *queue = wait_queue_new (2);
  wait_item_t a = make_item (queue, "a");
  wait_item_t b = make_item (queue, "b");
  wait_queue_push (queue, &a);
  wait_queue_push (queue, &a);
  wait_queue_push (queue, &b);
  wait_item_t *first = wait_queue_head (queue, 0);
  wait_queue_remove (queue, first);
  wait_queue_remove (queue, first);
  g_assert_true (wait_queue_head (queue, 0) == (first == &a ? &b : &a));
  g_assert_true (wait_queue_is_empty (queue, 1));
  wait_queue_unregister (queue, &a);
  wait_queue_unregister (queue, &b);
  g_assert_true (wait_queue_is_empty (queue, 0));
  wait_queue_free (queue);
}

/* An answer comes every 10 ms after 30 ms at the backend server.  The
   estimated wait must be that of the item's turn: for another tenant, less
   than for the tenant of the burst.  */
static void
test_estimate_follows_answers (void)
{
  const usec_t step = 10 * USEC_PER_MSEC;
  const usec_t run_time = 30 * USEC_PER_MSEC;
  wait_queue_t *queue = wait_queue_new (1);
  wait_item_t burst[BURST];
  for (size_t i = 0; i < BURST; i++)
    {
      burst[i] = make_item (queue, "burst");
      wait_queue_push (queue, &burst[i]);
    }
  wait_item_t more = make_item (queue, "burst");
  wait_item_t other = make_item (queue, "other");
  g_assert_cmpint (wait_queue_estimate (queue, &more).wait_time, ==, 0);
  for (size_t i = 0; i < BURST / 2; i++)
    {
      wait_queue_mark_running (queue, wait_queue_head (queue, 0));
      wait_queue_record_answer (queue, 0, run_time, (usec_t)(i + 1) * step);
    }
  wait_estimate_t estimate = wait_queue_estimate (queue, &more);
  g_assert_cmpint (estimate.run_time, ==, run_time);
  g_assert_cmpint (estimate.wait_time, >=, (BURST / 2) * step);
  g_assert_cmpint (estimate.wait_time, <=, (BURST / 2 + 5) * step);
  g_assert_cmpint (wait_queue_estimate (queue, &other).wait_time, <,
                   10 * step);
  for (size_t i = BURST / 2; i < BURST; i++)
    wait_queue_unregister (queue, &burst[i]);
  g_assert_cmpint (wait_queue_estimate (queue, &more).wait_time, ==, 0);
  g_assert_cmpint (wait_queue_estimate (queue, &more).run_time, ==, 0);
  wait_queue_free (queue);
}

/* Items that return after their turn are next, in the order of return.  */
static void
test_requeued_comes_first (void)
{
  wait_queue_t *queue = wait_queue_new (1);
  wait_item_t items[4];
  for (size_t i = 0; i < G_N_ELEMENTS (items); i++)
    {
      items[i] = make_item (queue, "a");
      wait_queue_push (queue, &items[i]);
    }
  wait_queue_mark_running (queue, wait_queue_head (queue, 0));
  wait_queue_mark_running (queue, wait_queue_head (queue, 0));
  wait_queue_push (queue, &items[1]);
  wait_queue_push (queue, &items[0]);
  g_assert_true (wait_queue_head (queue, 0) == &items[1]);
  wait_queue_mark_running (queue, &items[1]);
  wait_queue_unregister (queue, &items[0]);
  g_assert_true (wait_queue_head (queue, 0) == &items[2]);
  wait_queue_mark_running (queue, &items[2]);
  g_assert_true (wait_queue_head (queue, 0) == &items[3]);
  for (size_t i = 1; i < G_N_ELEMENTS (items); i++)
    wait_queue_unregister (queue, &items[i]);
  g_assert_true (wait_queue_is_empty (queue, 0));
  wait_queue_free (queue);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wait_queue/burst", test_burst_delays_own_tenant_only);
  g_test_add_func ("/wait_queue/tenants", test_tenants_are_bounded_and_reused);
  g_test_add_func ("/wait_queue/estimate", test_estimate_follows_answers);
  g_test_add_func ("/wait_queue/requeued", test_requeued_comes_first);
  g_test_add_func ("/wait_queue/removed", test_removed_while_at_head);
  return g_test_run ();
}
