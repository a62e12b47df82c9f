/* A request's story from the logs of two routers.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl/log_story.h"

#define LINE(time, vm, rest)                                                  \
  "time=2026-01-09T22:51:" time "Z level=info program=mulberry-router vm=" vm \
  " event=" rest "\n"

static char *
story_text (log_story_t *story)
{
  char *text = NULL;
  size_t size = 0;
  FILE *file = open_memstream (&text, &size);
  log_story_print (story, file);
  fclose (file);
  return text;
}

static void
test_order (void)
{
  log_story_t *story = log_story_new ("ab1");
  g_assert_true (log_story_add (
      story, LINE ("03.500000", "r-2",
                   "request_ended id=ab1 outcome=refused status=503")));
  g_assert_true (log_story_add (
      story, LINE ("03.250000", "r-1", "request_sent id=ab1 backend=i-9")));
  g_assert_false (log_story_add (
      story, LINE ("03.300000", "r-1", "request_sent id=ab12 backend=i-8")));
  g_assert_false (log_story_add (
      story, LINE ("03.300000", "r-1", "backend_seen backend=ab1")));
  g_assert_false (log_story_add (story, "id=ab1 no time\n"));
  g_assert_false (log_story_add (story, ""));
  g_assert_cmpuint (log_story_count (story), ==, 2);
  char *text = story_text (story);
  char **lines = g_strsplit (text, "\n", -1);
  g_assert_nonnull (strstr (lines[0], "+0.000000  r-1"));
  g_assert_nonnull (strstr (lines[0], "backend=i-9"));
  g_assert_nonnull (strstr (lines[1], "+0.250000  r-2"));
  g_assert_nonnull (strstr (log_story_outcome (story), "did not run"));
  g_strfreev (lines);
  free (text);
  log_story_free (story);
}

static void
test_end_is_missing (void)
{
  log_story_t *story = log_story_new ("ab1");
  log_story_add (story,
                 LINE ("03.250000", "r-1", "request_sent id=ab1 backend=i"));
  g_assert_cmpstr (log_story_outcome (story), ==, "");
  log_story_free (story);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/story/order", test_order);
  g_test_add_func ("/story/no-end", test_end_is_missing);
  return g_test_run ();
}
