/* Rosters that are stored on a thread of their own.  */

#include <glib.h>

#include "../support/data_folder.h"
#include "base/clock.h"
#include "director/roster_file.h"
#include "director/roster_saver.h"

#define SAVE_TIME_MAX (10 * USEC_PER_SEC)
#define POLL_INTERVAL USEC_PER_MSEC

static const roster_t roster = { .n_slots = 2, .addresses = { 10, 20 } };

static roster_saver_state_t
end_of_save (roster_saver_t *saver)
{
  usec_t end = clock_monotonic () + SAVE_TIME_MAX;
  roster_saver_state_t state = ROSTER_SAVER_BUSY;
  while (state == ROSTER_SAVER_BUSY && clock_monotonic () < end)
    {
      g_usleep (POLL_INTERVAL);
      state = roster_saver_poll (saver);
    }
  return state;
}

/* Guards against a roster that counts as saved and is not on disk, or counts
   twice.  */
static void
test_saved (void)
{
  char *folder = folder_new ();
  roster_saver_t *saver = roster_saver_start (NULL);
  g_assert_cmpint (roster_saver_poll (saver), ==, ROSTER_SAVER_IDLE);
  g_assert_true (roster_saver_save (saver, folder, &roster));
  g_assert_cmpint (end_of_save (saver), ==, ROSTER_SAVER_SAVED);
  g_assert_cmpint (roster_saver_poll (saver), ==, ROSTER_SAVER_IDLE);
  roster_t loaded;
  g_assert_true (roster_file_load (folder, &loaded, NULL));
  g_assert_true (roster_equal (&loaded, &roster));
  roster_saver_stop (saver);
  folder_free (folder);
}

/* Guards against a save that is taken for done although the folder is gone,
   and against a saver that does not go on after that.  */
static void
test_failed (void)
{
  roster_saver_t *saver = roster_saver_start (NULL);
  for (int i = 0; i < 2; i++)
    {
      g_assert_true (roster_saver_save (saver, "/nonexistent", &roster));
      g_assert_cmpint (end_of_save (saver), ==, ROSTER_SAVER_FAILED);
    }
  roster_saver_stop (saver);
}

/* Guards against a second roster that replaces the first, or is taken for it,
   before the end of its save was told.  */
static void
test_one_at_a_time (void)
{
  roster_saver_t *saver = roster_saver_start (NULL);
  g_assert_true (roster_saver_save (saver, "/nonexistent", &roster));
  g_assert_false (roster_saver_save (saver, "/nonexistent", &roster));
  g_assert_cmpint (end_of_save (saver), ==, ROSTER_SAVER_FAILED);
  g_assert_true (roster_saver_save (saver, "/nonexistent", &roster));
  roster_saver_stop (saver);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/roster-saver/saved", test_saved);
  g_test_add_func ("/roster-saver/failed", test_failed);
  g_test_add_func ("/roster-saver/one-at-a-time", test_one_at_a_time);
  return g_test_run ();
}
