/* Tests of the text bar chart of a latency histogram.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/chart.h"

static char *
draw (const histogram_t *histogram)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  chart_write (histogram, stream);
  fclose (stream);
  return text;
}

static void
test_rows_and_quantiles (void)
{
  histogram_t *histogram = calloc (1, sizeof *histogram);
  for (int i = 0; i < 100; i++)
    histogram_record (histogram, 2);
  histogram_record (histogram, 5000);
  char *text = draw (histogram);
  g_assert_nonnull (strstr (text, "n 101  mean 0.051 ms  p50 0.002 ms"));
  g_assert_nonnull (strstr (text, "from    0 us          100 "
                                  "#########################"));
  /* A single value has a bar, and empty rows between others are printed.  */
  g_assert_nonnull (strstr (text, "from    4 ms            1 #\n"));
  g_assert_nonnull (strstr (text, "from    1 ms            0 \n"));
  free (text);
  free (histogram);
}

static void
test_an_empty_histogram (void)
{
  histogram_t *histogram = calloc (1, sizeof *histogram);
  char *text = draw (histogram);
  g_assert_cmpstr (text, ==,
                   "  n 0  mean 0.000 ms  p50 0.000 ms  p90 0.000 ms  p99 "
                   "0.000 ms  p99.9 0.000 ms\n");
  free (text);
  free (histogram);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ctl/chart/rows", test_rows_and_quantiles);
  g_test_add_func ("/ctl/chart/empty", test_an_empty_histogram);
  return g_test_run ();
}
