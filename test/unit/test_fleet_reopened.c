/* Record of the failure domains whose evacuation has ended recently.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fleet/reopened_domains.h"

#define NOW (100 * USEC_PER_SEC)

static name_t
name_of (const char *text)
{
  name_t name = { 0 };
  g_strlcpy (name.text, text, sizeof name.text);
  return name;
}

/* Guards against an end of an evacuation that goes unnoticed, and against
   domains that count as ended while they are still evacuated.  */
static void
test_ended (void)
{
  const name_t before[] = { name_of ("a"), name_of ("b"), name_of ("c") };
  const name_t after[] = { name_of ("c"), name_of ("d") };
  reopened_domains_t set = { 0 };
  reopened_domains_add_ended (&set, before, G_N_ELEMENTS (before), after,
                              G_N_ELEMENTS (after), NOW);
  g_assert_cmpint (reopened_domains_ended_at (&set, "a"), ==, NOW);
  g_assert_cmpint (reopened_domains_ended_at (&set, "b"), ==, NOW);
  g_assert_cmpint (reopened_domains_ended_at (&set, "c"), ==, 0);
  g_assert_cmpint (reopened_domains_ended_at (&set, "d"), ==, 0);
}

/* Guards against an older end that hides a newer one of the same domain.  */
static void
test_again (void)
{
  const name_t name = name_of ("a");
  reopened_domains_t set = { 0 };
  reopened_domains_add (&set, &name, NOW);
  reopened_domains_add (&set, &name, NOW + 1);
  g_assert_cmpuint (set.n, ==, 1);
  g_assert_cmpint (reopened_domains_ended_at (&set, "a"), ==, NOW + 1);
  g_assert_false (reopened_domains_expire (&set, NOW + 1));
  g_assert_true (reopened_domains_expire (&set, NOW + 2));
  g_assert_cmpuint (set.n, ==, 0);
}

/* Guards against writing past the end where more domains reopen than fit.  */
static void
test_full (void)
{
  reopened_domains_t set = { 0 };
  for (int i = 0; i < REOPENED_DOMAINS_MAX + 3; i++)
    {
      char text[16];
      snprintf (text, sizeof text, "domain-%d", i);
      const name_t name = name_of (text);
      reopened_domains_add (&set, &name, NOW + i);
    }
  g_assert_cmpuint (set.n, ==, REOPENED_DOMAINS_MAX);
  g_assert_cmpint (reopened_domains_ended_at (&set, "domain-2"), ==, 0);
  g_assert_cmpint (reopened_domains_ended_at (&set, "domain-3"), ==, NOW + 3);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reopened-domains/ended", test_ended);
  g_test_add_func ("/reopened-domains/again", test_again);
  g_test_add_func ("/reopened-domains/full", test_full);
  return g_test_run ();
}
