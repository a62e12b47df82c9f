/* Guards against an id that is sent a second time on a connection, since it
   was missed, and against connections that are given up for too many others.
 */

#include <glib.h>

#include "router/sent_ids.h"

enum
{
  OTHERS = 20000,
  FALSE_ONES_MAX = OTHERS / 1000,
};

static void
test_no_id_is_missed (void)
{
  sent_ids_t sent = { 0 };
  for (unsigned int i = 0; i < SENT_IDS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      g_assert_false (sent_ids_is_full (&sent));
      sent_ids_add (&sent, id);
    }
  g_assert_true (sent_ids_is_full (&sent));
  for (unsigned int i = 0; i < SENT_IDS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      g_assert_true (sent_ids_may_contain (&sent, id));
    }
}

static void
test_others (void)
{
  sent_ids_t sent = { 0 };
  g_assert_false (sent_ids_may_contain (&sent, "a"));
  sent_ids_add (&sent, "a");
  g_assert_false (sent_ids_may_contain (&sent, "b"));
  for (unsigned int i = sent.n; i < SENT_IDS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      sent_ids_add (&sent, id);
    }
  unsigned int n_false = 0;
  for (unsigned int i = 0; i < OTHERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("other-%x", i);
      n_false += sent_ids_may_contain (&sent, id);
    }
  g_assert_cmpuint (n_false, <=, FALSE_ONES_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/sent-ids/no-id-is-missed", test_no_id_is_missed);
  g_test_add_func ("/sent-ids/others", test_others);
  return g_test_run ();
}
