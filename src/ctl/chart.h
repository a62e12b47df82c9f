/* chart: a latency histogram drawn in text.  */

#ifndef CTL_CHART_H
#define CTL_CHART_H

#include <stdio.h>

#include "base/histogram.h"

/* Write to STREAM a line for each power of two that holds values, with its
   count and a bar, under a line with the quantiles.  */
void chart_write (const histogram_t *histogram, FILE *stream);

#endif
