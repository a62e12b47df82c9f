/* Which director a router asks first.  */

#include <glib.h>

#include "router/director_choice.h"

/* All routers start at once and ask for the whole list of backend servers.
   Guards against one director that answers all of them: each of the seeds is
   the first one of a third of the routers.  */
static void
test_first_seed (void)
{
  enum
  {
    ROUTERS = 30,
    SEEDS = 3,
  };
  int n[SEEDS] = { 0 };
  for (int i = 0; i < ROUTERS; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.1.0.%d", 10 + i);
      size_t first = director_choice_first_seed (address, SEEDS);
      g_assert_cmpuint (first, <, SEEDS);
      n[first]++;
    }
  for (int i = 0; i < SEEDS; i++)
    g_assert_cmpint (n[i], ==, ROUTERS / SEEDS);
  g_assert_cmpuint (director_choice_first_seed ("10.1.0.1", 0), ==, 0);
}

/* Guards against a router that goes on asking a director which failed, or one
   far away while a near one answers.  */
static void
test_nearest_that_answers (void)
{
  director_choice_t choice = { 0 };
  usec_t now = 100 * USEC_PER_SEC;
  static const usec_t round_trips[] = { 40000, 1000, 20000 };
  for (uint32_t address = 1; address <= 3; address++)
    director_choice_add (&choice, address);
  director_choice_add (&choice, 2);
  g_assert_cmpuint (choice.n_directors, ==, 3);
  for (uint32_t address = 1; address <= 3; address++)
    {
      g_assert_cmpuint (director_choice_next (&choice, now), ==, address);
      director_choice_answered (&choice, round_trips[address - 1]);
    }
  g_assert_cmpuint (director_choice_next (&choice, now), ==, 2);
  director_choice_avoid (&choice, now);
  g_assert_cmpuint (director_choice_next (&choice, now), ==, 3);
  director_choice_avoid (&choice, now + 1);
  g_assert_cmpuint (director_choice_next (&choice, now + 2), ==, 1);
  director_choice_avoid (&choice, now + 2);
  /* All are avoided: the one whose time ends first.  */
  g_assert_cmpuint (director_choice_next (&choice, now + 3), ==, 2);
  g_assert_cmpuint (director_choice_next (&choice, now + 60 * USEC_PER_SEC),
                    ==, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/director-choice/first-seed", test_first_seed);
  g_test_add_func ("/director-choice/nearest", test_nearest_that_answers);
  return g_test_run ();
}
