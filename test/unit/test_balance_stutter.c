/* Tests of balance/backend_stutter.  They guard against a backend server whose
   kept connections are used again while it answers twice, and against one that
   never is trusted again.  */

#include <glib.h>

#include "balance/backend_stutter.h"

#define START (100 * USEC_PER_SEC)

static backend_stutters_t stutters;

static void
reset (void)
{
  stutters = (backend_stutters_t){ 0 };
}

/* The load pattern: one in eight of some responses comes twice for a while;
   the state lasts until BACKEND_STUTTER_TIME after the last of them.  */
static void
test_lasts_while_it_stutters (void)
{
  backend_stutter_t ended;
  reset ();
  usec_t last = START;
  for (int i = 0; i < 10; i++)
    {
      last = START + i * (BACKEND_STUTTER_TIME - 1);
      g_assert_cmpint (backend_stutters_note (&stutters, 1, "b-1", last), ==,
                       i == 0);
    }
  usec_t end = last + BACKEND_STUTTER_TIME;
  g_assert_true (backend_stutters_contain (&stutters, 1, end - 1));
  g_assert_false (backend_stutters_take_ended (&stutters, end - 1, &ended));
  g_assert_false (backend_stutters_contain (&stutters, 1, end));
  g_assert_true (backend_stutters_take_ended (&stutters, end, &ended));
  g_assert_cmpstr (ended.id, ==, "b-1");
  g_assert_cmpuint (ended.n_seen, ==, 10);
  g_assert_cmpint (ended.began_at, ==, START);
  g_assert_false (backend_stutters_take_ended (&stutters, end, &ended));
  g_assert_true (backend_stutters_note (&stutters, 1, "b-1", end));
}

/* A new start at the same address, and other backend servers, are not taken
   for the one that stutters.  */
static void
test_holds_for_one_start (void)
{
  reset ();
  backend_stutters_note (&stutters, 1, "b-1", START);
  g_assert_false (backend_stutters_contain (&stutters, 2, START));
}

static void
test_full_table_drops_the_oldest (void)
{
  reset ();
  for (uint64_t boot = 1; boot <= BACKEND_STUTTERS_MAX; boot++)
    backend_stutters_note (&stutters, boot, "b", START + (usec_t)boot);
  usec_t now = START + BACKEND_STUTTERS_MAX + 1;
  backend_stutters_note (&stutters, 1, "b", now);
  g_assert_true (backend_stutters_note (&stutters, 9999, "b", now));
  g_assert_cmpuint (stutters.n, ==, BACKEND_STUTTERS_MAX);
  g_assert_true (backend_stutters_contain (&stutters, 1, now));
  g_assert_false (backend_stutters_contain (&stutters, 2, now));
  g_assert_true (backend_stutters_contain (&stutters, 3, now));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stutter/lasts", test_lasts_while_it_stutters);
  g_test_add_func ("/stutter/one_start", test_holds_for_one_start);
  g_test_add_func ("/stutter/full", test_full_table_drops_the_oldest);
  return g_test_run ();
}
