/* Unit tests of src/base/log: hostile field values, long lines, the rate limit
   of repeated events, and the writer thread.  */

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/random.h"

enum
{
  LONG_BYTES = 5000,
  LINE_BYTES = 1024,
  FUZZ_RUNS = 20000,
};

/* Redirects standard error to a temporary file while a test logs.  */
typedef struct capture
{
  char *path;
  int saved;
} capture_t;

static void
capture_start (capture_t *capture)
{
  int fd = g_file_open_tmp ("mulberry-log-XXXXXX", &capture->path, NULL);
  capture->saved = dup (STDERR_FILENO);
  dup2 (fd, STDERR_FILENO);
  close (fd);
}

/* Restores standard error and returns the lines written since capture_start,
   to be freed with g_strfreev.  */
static char **
capture_end (capture_t *capture)
{
  dup2 (capture->saved, STDERR_FILENO);
  close (capture->saved);
  char *text = NULL;
  g_file_get_contents (capture->path, &text, NULL, NULL);
  g_unlink (capture->path);
  char **lines = g_strsplit (text, "\n", -1);
  g_free (text);
  g_free (capture->path);
  return lines;
}

/* Returns the end of the value at AT, or NULL if it is neither a plain value
   nor a quoted one with a closing quote.  */
static const char *
skip_value (const char *at)
{
  if (*at != '"')
    {
      size_t n = strcspn (at, " \"=\\\n");
      return n > 0 ? at + n : NULL;
    }
  for (at++; *at && *at != '"'; at++)
    {
      if (*at == '\\')
        at++;
      if (*at < ' ' || *at > '~')
        return NULL;
    }
  return *at == '"' ? at + 1 : NULL;
}

/* Returns the number of key=value pairs in LINE, or 0 if LINE has anything
   else.  */
static size_t
count_pairs (const char *line)
{
  for (size_t pairs = 1;; pairs++)
    {
      size_t key = strspn (line, "abcdefghijklmnopqrstuvwxyz_");
      if (key == 0 || line[key] != '=')
        return 0;
      line = skip_value (line + key + 1);
      if (!line)
        return 0;
      if (!*line)
        return pairs;
      if (*line++ != ' ')
        return 0;
    }
}

/* Random bytes in a value must not add or remove a key=value pair.  */
static void
test_any_bytes_stay_in_their_field (void)
{
  random_state_t random;
  random_seed (&random, 3);
  for (int run = 0; run < FUZZ_RUNS; run++)
    {
      char bytes[64];
      size_t n = random_below (&random, sizeof bytes);
      for (size_t i = 0; i < n; i++)
        bytes[i] = (char)random_below (&random, 256);
      bytes[n] = '\0';
      char line[LINE_BYTES];
      const log_field_t fields[] = { LOG_S ("path", bytes), LOG_U ("n", 1) };
      log_format (line, sizeof line, "request", fields, 2);
      g_assert_cmpuint (count_pairs (line), ==, 3);
    }
}

/* Bytes above 0x7f may be control characters in a viewer, as the UTF-8
   sequence of U+0085 (next line) here, and split a line there.  */
static void
test_bytes_above_ascii_are_escaped (void)
{
  char line[LINE_BYTES];
  const log_field_t field = LOG_S ("path", "a\xc2\x85z");
  log_format (line, sizeof line, "request", &field, 1);
  g_assert_cmpstr (line, ==, "event=request path=\"a\\xc2\\x85z\"");
}

/* A value that is cut must keep its closing quote, so that the fields after it
   can still be parsed.  */
static void
test_a_long_value_is_cut_and_closed (void)
{
  char *bytes = g_strnfill (LONG_BYTES, '"');
  char line[LINE_BYTES];
  const log_field_t fields[]
      = { LOG_S ("path", bytes), LOG_S ("reason", "too_long") };
  log_format (line, sizeof line, "request", fields, 2);
  g_assert_cmpuint (count_pairs (line), ==, 4);
  g_assert_nonnull (strstr (line, " reason=too_long cut=true"));
  g_free (bytes);
}

/* A field that doesn't fit must not leave a partial key=value pair, and
   cut=true must say that the line is incomplete.  */
static void
test_a_field_that_does_not_fit_is_left_out (void)
{
  char *bytes = g_strnfill (LONG_BYTES, 'a');
  char line[LINE_BYTES];
  const log_field_t fields[] = { LOG_S ("a", bytes), LOG_S ("b", bytes),
                                 LOG_S ("c", bytes), LOG_U ("d", 7) };
  log_format (line, sizeof line, "request", fields, 4);
  g_assert_cmpuint (count_pairs (line), >, 0);
  g_assert_true (g_str_has_suffix (line, " cut=true"));
  g_free (bytes);
}

static void
write_burst (const char *event, int n)
{
  for (int i = 0; i < n; i++)
    LOG_EVENT (LOG_LEVEL_WARNING, event, LOG_I ("i", i));
}

/* The highest number of lines that one event may have written since START.  */
static guint
lines_allowed (gint64 start)
{
  gint64 seconds = (g_get_monotonic_time () - start) / G_USEC_PER_SEC + 1;
  return (guint)seconds * LOG_BURST;
}

/* An event that repeats in a tight loop must not flood the log, and must not
   suppress lines of other events.  */
static void
test_a_repeated_event_is_limited (void)
{
  capture_t capture;
  capture_start (&capture);
  gint64 start = g_get_monotonic_time ();
  write_burst ("stale_message", 10 * LOG_BURST);
  guint allowed = lines_allowed (start);
  LOG_EVENT (LOG_LEVEL_WARNING, "other_message", LOG_I ("i", 1));
  LOG_EVENT (LOG_LEVEL_DEBUG, "below_level", LOG_I ("i", 1));
  g_usleep (G_USEC_PER_SEC + G_USEC_PER_SEC / 10);
  write_burst ("stale_message", 1);
  char **lines = capture_end (&capture);
  guint n = g_strv_length (lines) - 1; /* the text ends with a newline */
  g_assert_cmpuint (n, >=, LOG_BURST + 2);
  g_assert_cmpuint (n, <=, allowed + 3);
  for (guint i = 0; i < n; i++)
    g_assert_cmpuint (count_pairs (lines[i]), >=, 6);
  /* The newest line above the rate, and then the new line.  */
  char *newest = g_strdup_printf ("event=stale_message i=%d suppressed=",
                                  10 * LOG_BURST - 1);
  g_assert_nonnull (strstr (lines[n - 3], "event=other_message"));
  g_assert_nonnull (strstr (lines[n - 2], newest));
  g_assert_true (g_str_has_suffix (lines[n - 1], "event=stale_message i=0"));
  g_free (newest);
  g_strfreev (lines);
}

/* The rate limit compares event names by content: the same name at two
   addresses, as with string literals of two files, is one event.  */
static void
test_rate_limit_compares_names_by_content (void)
{
  char copy[] = "copied_event";
  capture_t capture;
  capture_start (&capture);
  gint64 start = g_get_monotonic_time ();
  write_burst ("copied_event", 2 * LOG_BURST);
  write_burst (copy, 2 * LOG_BURST);
  guint allowed = lines_allowed (start);
  char **lines = capture_end (&capture);
  g_assert_cmpuint (g_strv_length (lines) - 1, <=, allowed);
  g_assert_cmpuint (g_strv_length (lines) - 1, >=, LOG_BURST);
  g_strfreev (lines);
}

/* Redirects standard output to a pipe; returns the read end of the pipe.  */
static int
stdout_to_pipe (int *saved)
{
  int ends[2];
  g_assert_cmpint (pipe (ends), ==, 0);
  *saved = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  return ends[0];
}

static void
stdout_restore (int saved)
{
  dup2 (saved, STDOUT_FILENO);
  close (saved);
}

/* Thread function: returns all text read from the pipe until its write ends
   are closed.  */
static void *
read_pipe (void *closure)
{
  int fd = *(int *)closure;
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t n;
  while ((n = read (fd, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n);
  close (fd);
  return g_string_free (text, FALSE);
}

/* When 300 sheets were applied within a second, the rate limit suppressed the
   line of the last one, so the log did not show which sheet was in force.  */
static void
test_the_newest_of_a_burst_is_written (void)
{
  int saved;
  int fd = stdout_to_pipe (&saved);
  GThread *reader = g_thread_new ("reader", read_pipe, &fd);
  g_assert_true (log_start (NULL));
  write_burst ("sheet_applied", 3 * LOG_BURST);
  log_stop ();
  stdout_restore (saved);
  char *text = g_thread_join (reader);
  char *newest
      = g_strdup_printf ("event=sheet_applied i=%d", 3 * LOG_BURST - 1);
  g_assert_nonnull (strstr (text, newest));
  g_free (newest);
  g_free (text);
}

/* The pipe is not read while the lines are logged and is full long before the
   last one.  Log calls must not block then, and the dropped lines must be
   reported.  */
static void
test_log_calls_do_not_block_on_output (void)
{
  int saved;
  int fd = stdout_to_pipe (&saved);
  g_assert_true (log_start (NULL));
  char event[16];
  for (int i = 0; i < 4 * LOG_QUEUE_LINES; i++)
    {
      g_snprintf (event, sizeof event, "event_%d", i % 100);
      LOG_EVENT (LOG_LEVEL_INFO, g_intern_string (event), LOG_I ("i", i));
    }
  GThread *reader = g_thread_new ("reader", read_pipe, &fd);
  log_stop ();
  stdout_restore (saved);
  char *text = g_thread_join (reader);
  g_assert_nonnull (strstr (text, "event=log_dropped lines="));
  g_free (text);
}

typedef struct late_reader
{
  int fd;
  gint has_stopped; /* atomic */
} late_reader_t;

/* Thread function: read_pipe, once log_stop has returned, or after 4 s.  */
static void *
read_pipe_late (void *closure)
{
  late_reader_t *reader = closure;
  for (int i = 0; i < 400 && !g_atomic_int_get (&reader->has_stopped); i++)
    g_usleep (10 * G_TIME_SPAN_MILLISECOND);
  return read_pipe (&reader->fd);
}

/* A process whose standard output was no longer read never ended.  */
static void
test_stop_does_not_wait_for_output (void)
{
  int saved;
  late_reader_t reader = { .fd = stdout_to_pipe (&saved) };
  GThread *thread = g_thread_new ("reader", read_pipe_late, &reader);
  g_assert_true (log_start (NULL));
  for (int i = 0; i < 100; i++)
    {
      g_autofree char *event = g_strdup_printf ("stop_%d", i);
      write_burst (g_intern_string (event), LOG_BURST);
    }
  gint64 start = g_get_monotonic_time ();
  log_stop ();
  gint64 took = g_get_monotonic_time () - start;
  g_atomic_int_set (&reader.has_stopped, 1);
  log_stop ();
  stdout_restore (saved);
  g_autofree char *text = g_thread_join (thread);
  g_assert_cmpint (took, <, 3 * G_TIME_SPAN_SECOND);
  g_assert_nonnull (strstr (text, "event=stop_0 i=0"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  log_open ("test", "vm-1", LOG_LEVEL_INFO);
  g_test_add_func ("/base/log/bytes", test_any_bytes_stay_in_their_field);
  g_test_add_func ("/base/log/ascii", test_bytes_above_ascii_are_escaped);
  g_test_add_func ("/base/log/cut", test_a_long_value_is_cut_and_closed);
  g_test_add_func ("/base/log/fit",
                   test_a_field_that_does_not_fit_is_left_out);
  g_test_add_func ("/base/log/rate", test_a_repeated_event_is_limited);
  g_test_add_func ("/base/log/name",
                   test_rate_limit_compares_names_by_content);
  g_test_add_func ("/base/log/newest", test_the_newest_of_a_burst_is_written);
  g_test_add_func ("/base/log/no-wait", test_log_calls_do_not_block_on_output);
  g_test_add_func ("/base/log/stop", test_stop_does_not_wait_for_output);
  return g_test_run ();
}
