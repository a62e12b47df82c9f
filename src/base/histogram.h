/* histogram: latency histograms with log-linear buckets.

   Values are microseconds from 0 to HISTOGRAM_VALUE_MAX.  A larger value is
   recorded as HISTOGRAM_VALUE_MAX, a negative one as 0.  The range between two
   powers of two is split into HISTOGRAM_SUB_BUCKETS equal buckets.  Values
   below HISTOGRAM_SUB_BUCKETS are therefore exact; a quantile above that is
   reported as the middle of its bucket, with a relative error of at most
   HISTOGRAM_RELATIVE_ERROR.

   Any number of threads may record into a histogram and read it without a
   lock.  A reader may see a value in its bucket before the value is added to
   the sum.  Merging adds the counts of each bucket and is exact.  A zeroed
   struct is an empty histogram; it takes sizeof (histogram_t) bytes, about
   8 KiB.  */

#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  HISTOGRAM_SUB_BITS = 5,
  HISTOGRAM_SUB_BUCKETS = 1 << HISTOGRAM_SUB_BITS,
  HISTOGRAM_VALUE_BITS = 36,
  HISTOGRAM_BUCKETS
  = (HISTOGRAM_VALUE_BITS - HISTOGRAM_SUB_BITS + 1) * HISTOGRAM_SUB_BUCKETS,
};

#define HISTOGRAM_VALUE_MAX (((usec_t)1 << HISTOGRAM_VALUE_BITS) - 1)
#define HISTOGRAM_RELATIVE_ERROR (1.0 / (2 * HISTOGRAM_SUB_BUCKETS))

typedef struct histogram
{
  _Atomic uint64_t bucket[HISTOGRAM_BUCKETS];
  _Atomic uint64_t sum; /* of all recorded values, in microseconds */
} histogram_t;

/* Record one VALUE, in microseconds.  */
void histogram_record (histogram_t *histogram, usec_t value);

/* Return the index of the bucket that counts VALUE, and the lowest and the
   highest value of a bucket, both inclusive.  */
size_t histogram_bucket_of (usec_t value);
usec_t histogram_bucket_low (size_t bucket);
usec_t histogram_bucket_high (size_t bucket);

/* Returns the number of recorded values.  */
uint64_t histogram_count (const histogram_t *histogram);

/* Returns the mean of all values, or 0 if the histogram is empty.  */
double histogram_mean (const histogram_t *histogram);

/* Returns the quantile QUANTILE (0 to 1) of the recorded values, as the middle
   of the bucket that contains it, or 0 if the histogram is empty.  */
usec_t histogram_quantile (const histogram_t *histogram, double quantile);

/* Add FROM's counts to INTO.  */
void histogram_merge (histogram_t *into, const histogram_t *from);

/* Return the number of values in BUCKET, and the sum of all values.  */
uint64_t histogram_bucket_count (const histogram_t *histogram, size_t bucket);
uint64_t histogram_sum (const histogram_t *histogram);

/* Add N to the count of BUCKET, and VALUES to the sum.  Used by the parser of
   the text format (base/metrics.h).  */
void histogram_add_bucket (histogram_t *histogram, size_t bucket, uint64_t n);
void histogram_add_sum (histogram_t *histogram, uint64_t values);

#endif
