#include "base/histogram.h"

#include <math.h>

static void
cell_add (_Atomic uint64_t *cell, uint64_t n)
{
  atomic_fetch_add_explicit (cell, n, memory_order_relaxed);
}

static uint64_t
cell_read (const _Atomic uint64_t *cell)
{
  return atomic_load_explicit (cell, memory_order_relaxed);
}

static usec_t
clamp_value (usec_t value)
{
  if (value < 0)
    return 0;
  return value < HISTOGRAM_VALUE_MAX ? value : HISTOGRAM_VALUE_MAX;
}

size_t
histogram_bucket_of (usec_t value)
{
  uint64_t clamped = (uint64_t)clamp_value (value);
  if (clamped < HISTOGRAM_SUB_BUCKETS)
    return clamped;
  int exponent = 63 - __builtin_clzll (clamped);
  int shift = exponent - HISTOGRAM_SUB_BITS;
  size_t sub = (clamped >> shift) - HISTOGRAM_SUB_BUCKETS;
  return (size_t)(shift + 1) * HISTOGRAM_SUB_BUCKETS + sub;
}

usec_t
histogram_bucket_low (size_t bucket)
{
  if (bucket < HISTOGRAM_SUB_BUCKETS)
    return (usec_t)bucket;
  size_t shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
  size_t sub = bucket % HISTOGRAM_SUB_BUCKETS;
  return (usec_t)((HISTOGRAM_SUB_BUCKETS + sub) << shift);
}

usec_t
histogram_bucket_high (size_t bucket)
{
  return histogram_bucket_low (bucket + 1) - 1;
}

void
histogram_record (histogram_t *histogram, usec_t value)
{
  cell_add (&histogram->bucket[histogram_bucket_of (value)], 1);
  cell_add (&histogram->sum, (uint64_t)clamp_value (value));
}

uint64_t
histogram_count (const histogram_t *histogram)
{
  uint64_t count = 0;
  for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    count += cell_read (&histogram->bucket[i]);
  return count;
}

double
histogram_mean (const histogram_t *histogram)
{
  uint64_t count = histogram_count (histogram);
  if (count == 0)
    return 0;
  return (double)cell_read (&histogram->sum) / (double)count;
}

usec_t
histogram_quantile (const histogram_t *histogram, double quantile)
{
  uint64_t count = histogram_count (histogram);
  if (count == 0)
    return 0;
  double rank = ceil (quantile * (double)count);
  uint64_t target_rank = rank < 1 ? 1 : (uint64_t)rank;
  uint64_t cumulative = 0;
  for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      cumulative += cell_read (&histogram->bucket[i]);
      if (cumulative >= target_rank)
        return (histogram_bucket_low (i) + histogram_bucket_high (i)) / 2;
    }
  return HISTOGRAM_VALUE_MAX;
}

void
histogram_merge (histogram_t *into, const histogram_t *from)
{
  for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      uint64_t n = cell_read (&from->bucket[i]);
      if (n > 0)
        cell_add (&into->bucket[i], n);
    }
  cell_add (&into->sum, cell_read (&from->sum));
}

uint64_t
histogram_bucket_count (const histogram_t *histogram, size_t bucket)
{
  return cell_read (&histogram->bucket[bucket]);
}

uint64_t
histogram_sum (const histogram_t *histogram)
{
  return cell_read (&histogram->sum);
}

void
histogram_add_bucket (histogram_t *histogram, size_t bucket, uint64_t n)
{
  cell_add (&histogram->bucket[bucket], n);
}

void
histogram_add_sum (histogram_t *histogram, uint64_t values)
{
  cell_add (&histogram->sum, values);
}
