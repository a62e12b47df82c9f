#include "ctl/chart.h"

#include <inttypes.h>

enum
{
  BAR_CHARACTERS = 50,
  ROWS = HISTOGRAM_BUCKETS / HISTOGRAM_SUB_BUCKETS,
};

/* Write SPAN in us, ms or s: the largest unit in which it is at least 1.  */
static void
write_span (usec_t span, FILE *stream)
{
  if (span < USEC_PER_MSEC)
    fprintf (stream, "%4" PRId64 " us", span);
  else if (span < USEC_PER_SEC)
    fprintf (stream, "%4" PRId64 " ms", span / USEC_PER_MSEC);
  else
    fprintf (stream, "%4" PRId64 " s ", span / USEC_PER_SEC);
}

static uint64_t
row_count (const histogram_t *histogram, size_t row)
{
  uint64_t n = 0;
  for (size_t i = 0; i < HISTOGRAM_SUB_BUCKETS; i++)
    n += histogram_bucket_count (histogram, row * HISTOGRAM_SUB_BUCKETS + i);
  return n;
}

static void
write_row (const histogram_t *histogram, size_t row, uint64_t largest,
           FILE *stream)
{
  uint64_t n = row_count (histogram, row);
  fputs ("  from ", stream);
  write_span (histogram_bucket_low (row * HISTOGRAM_SUB_BUCKETS), stream);
  fprintf (stream, " %12" PRIu64 " ", n);
  uint64_t bar = largest > 0 ? n * BAR_CHARACTERS / largest : 0;
  if (n > 0 && bar == 0)
    bar = 1;
  for (uint64_t i = 0; i < bar; i++)
    fputc ('#', stream);
  fputc ('\n', stream);
}

void
chart_write (const histogram_t *histogram, FILE *stream)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  uint64_t largest = 0;
  size_t first = ROWS;
  size_t last = 0;
  for (size_t row = 0; row < ROWS; row++)
    {
      uint64_t n = row_count (histogram, row);
      largest = n > largest ? n : largest;
      first = n > 0 && first == ROWS ? row : first;
      last = n > 0 ? row : last;
    }
  fprintf (stream, "  n %" PRIu64 "  mean %.3f ms",
           histogram_count (histogram),
           histogram_mean (histogram) / (double)USEC_PER_MSEC);
  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    fprintf (stream, "  p%g %.3f ms", quantiles[i] * 100,
             (double)histogram_quantile (histogram, quantiles[i])
                 / (double)USEC_PER_MSEC);
  fputc ('\n', stream);
  for (size_t row = first; row <= last && row < ROWS; row++)
    write_row (histogram, row, largest, stream);
}
