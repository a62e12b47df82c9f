/* chart: print a latency histogram as a text bar chart.  */

#ifndef CTL_CHART_H
#define CTL_CHART_H

#include <stdio.h>

#include "base/histogram.h"

/* Write HISTOGRAM to STREAM: a line with count, mean and quantiles, then one
   line with count and bar for each power of two from the lowest to the highest
   that holds values.  A row that holds values has a bar of at least one
   character.  */
void chart_write (const histogram_t *histogram, FILE *stream);

#endif
