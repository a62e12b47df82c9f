/* histogram: counts of latencies in log-linear buckets.

   Values are microseconds from 0 to HISTOGRAM_VALUE_MAX; a larger one is
   counted in the last bucket, a negative one as 0.  Each power of two is
   split into HISTOGRAM_SUB_BUCKETS equal buckets, so values below
   HISTOGRAM_SUB_BUCKETS are exact, and a quantile of other values, taken at
   its bucket's middle, is off by at most HISTOGRAM_RELATIVE_ERROR of itself.

   Any number of threads may record into one histogram and read it; there is
   no lock, and a reader may see a value's bucket before its sum.  Merging
   adds bucket by bucket and loses nothing.  A zeroed struct is an empty
   histogram; it takes sizeof (histogram_t) bytes, about 8 KiB.  */

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
  _Atomic uint64_t sum; /* of the values recorded, in microseconds */
} histogram_t;

/* Count one VALUE.  */
void histogram_record (histogram_t *histogram, usec_t value);

/* The bucket that VALUE is counted in, and the lowest and highest value of a
   bucket.  */
size_t histogram_bucket_of (usec_t value);
usec_t histogram_bucket_low (size_t bucket);
usec_t histogram_bucket_high (size_t bucket);

uint64_t histogram_count (const histogram_t *histogram);

/* The mean of all values; 0 where there are none.  */
double histogram_mean (const histogram_t *histogram);

/* The value below which the share QUANTILE (0 to 1) of the values lies: the
   middle of the bucket that holds it.  0 where there are none.  */
usec_t histogram_quantile (const histogram_t *histogram, double quantile);

/* Add FROM's counts to INTO.  */
void histogram_merge (histogram_t *into, const histogram_t *from);

/* How many values stand in BUCKET, and the sum of all values.  */
uint64_t histogram_bucket_count (const histogram_t *histogram, size_t bucket);
uint64_t histogram_sum (const histogram_t *histogram);

/* Add N values to BUCKET, and VALUES to the sum: for a reader of the text
   form (base/metrics.h).  */
void histogram_add_bucket (histogram_t *histogram, size_t bucket, uint64_t n);
void histogram_add_sum (histogram_t *histogram, uint64_t values);

#endif
