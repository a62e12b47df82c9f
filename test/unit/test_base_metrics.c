/* Unit tests of src/base: histograms, metrics and their text format.  */

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/histogram.h"
#include "base/metrics.h"
#include "base/random.h"

enum
{
  RECORDERS = 4,
  RECORDS = 20000,
};

/* A gap or an overlap between buckets, or a bucket too wide, would make
   quantiles wrong by more than HISTOGRAM_RELATIVE_ERROR.  */
static void
test_buckets_cover_all_values (void)
{
  g_assert_cmpint (histogram_bucket_low (0), ==, 0);
  for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      usec_t low = histogram_bucket_low (i);
      usec_t high = histogram_bucket_high (i);
      g_assert_cmpuint (histogram_bucket_of (low), ==, i);
      g_assert_cmpuint (histogram_bucket_of (high), ==, i);
      usec_t middle = (low + high) / 2;
      g_assert_cmpfloat ((double)(high - middle), <=,
                         HISTOGRAM_RELATIVE_ERROR * (double)high);
      g_assert_cmpfloat ((double)(middle - low), <=,
                         HISTOGRAM_RELATIVE_ERROR * (double)low);
    }
  g_assert_cmpint (histogram_bucket_high (HISTOGRAM_BUCKETS - 1), ==,
                   HISTOGRAM_VALUE_MAX);
  g_assert_cmpuint (histogram_bucket_of (INT64_MAX), ==,
                    HISTOGRAM_BUCKETS - 1);
  g_assert_cmpuint (histogram_bucket_of (-5), ==, 0);
}

static int
compare_usec (const void *a, const void *b)
{
  usec_t x = *(const usec_t *)a;
  usec_t y = *(const usec_t *)b;
  return (x > y) - (x < y);
}

/* Quantiles must be within HISTOGRAM_RELATIVE_ERROR of the exact quantiles of
   the sorted values.  */
static void
test_quantile_error_is_bounded (void)
{
  static usec_t values[RECORDS];
  histogram_t *histogram = calloc (1, sizeof *histogram);
  random_state_t random;
  random_seed (&random, 11);
  for (size_t i = 0; i < RECORDS; i++)
    {
      values[i] = (usec_t)random_exponential (&random, 3000);
      histogram_record (histogram, values[i]);
    }
  qsort (values, RECORDS, sizeof values[0], compare_usec);
  const double quantiles[] = { 0.01, 0.5, 0.9, 0.99, 0.999, 1 };
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      double exact = (double)values[(size_t)(quantiles[i] * RECORDS) - 1];
      double found = (double)histogram_quantile (histogram, quantiles[i]);
      g_assert_cmpfloat (found, >=, exact * (1 - HISTOGRAM_RELATIVE_ERROR));
      g_assert_cmpfloat (found, <=, exact * (1 + HISTOGRAM_RELATIVE_ERROR));
    }
  g_assert_cmpuint (histogram_count (histogram), ==, RECORDS);
  free (histogram);
}

static void *
record_many (void *histogram)
{
  for (usec_t i = 0; i < RECORDS; i++)
    histogram_record (histogram, i);
  return NULL;
}

/* Without atomic additions, threads that record at the same time would lose
   values.  */
static void
test_concurrent_records_are_all_counted (void)
{
  histogram_t *histogram = calloc (1, sizeof *histogram);
  pthread_t threads[RECORDERS];
  for (int i = 0; i < RECORDERS; i++)
    pthread_create (&threads[i], NULL, record_many, histogram);
  for (int i = 0; i < RECORDERS; i++)
    pthread_join (threads[i], NULL);
  g_assert_cmpuint (histogram_count (histogram), ==,
                    (uint64_t)RECORDERS * RECORDS);
  g_assert_cmpuint (histogram_sum (histogram), ==,
                    (uint64_t)RECORDERS * RECORDS * (RECORDS - 1) / 2);
  free (histogram);
}

static const metric_options_t latency_options
    = { .name = "mulberry_request_usec",
        .help = "Time to the whole answer",
        .organisation = "consortium",
        .service = "songfind",
        .request_class = "search" };

static const metric_options_t refused_options
    = { .name = "mulberry_refused_total", .reason = "no_slot" };

static metrics_t *
sample_metrics (uint64_t refused, usec_t latency)
{
  metrics_t *metrics = metrics_new ();
  err_t err = { 0 };
  counter_add (metrics_counter (metrics, &refused_options, &err), refused);
  histogram_record (metrics_histogram (metrics, &latency_options, &err),
                    latency);
  metric_options_t other = refused_options;
  other.reason = NULL;
  counter_add (metrics_counter (metrics, &other, &err), 1);
  const metric_options_t level = { .name = "mulberry_in_flight" };
  gauge_set (metrics_gauge (metrics, &level, &err), -3);
  g_assert_cmpint (err.kind, ==, ERR_NONE);
  return metrics;
}

/* Parsing a text and rendering it again must give the same text, and parsing a
   second one must add to the first, not replace it.  */
static void
test_parsed_texts_are_merged (void)
{
  metrics_t *a = sample_metrics (5, 1250);
  metrics_t *b = sample_metrics (7, 40);
  metrics_t *merged = metrics_new ();
  err_t err = { 0 };
  char *text = metrics_render (a, NULL);
  g_assert_true (metrics_parse (merged, text, &err));
  char *again = metrics_render (merged, NULL);
  g_assert_cmpstr (again, ==, text);
  free (text);
  free (again);
  text = metrics_render (b, NULL);
  g_assert_true (metrics_parse (merged, text, &err));
  free (text);
  g_assert_cmpuint (
      counter_read (metrics_counter (merged, &refused_options, &err)), ==, 12);
  histogram_t *latency = metrics_histogram (merged, &latency_options, &err);
  g_assert_cmpuint (histogram_count (latency), ==, 2);
  g_assert_cmpuint (histogram_sum (latency), ==, 1290);
  g_assert_cmpuint (
      histogram_bucket_count (latency, histogram_bucket_of (1250)), ==, 1);
  metrics_free (a);
  metrics_free (b);
  metrics_free (merged);
}

/* Prometheus requires cumulative buckets, le="+Inf", _sum and _count.  */
static void
test_text_form_is_the_exposition_format (void)
{
  metrics_t *metrics = metrics_new ();
  err_t err = { 0 };
  histogram_t *latency = metrics_histogram (metrics, &latency_options, &err);
  histogram_record (latency, 3);
  histogram_record (latency, 3);
  histogram_record (latency, 7);
  char *text = metrics_render (metrics, NULL);
#define KEY                                                                   \
  "{organisation=\"consortium\",service=\"songfind\",class=\"search\""
  g_assert_cmpstr (text, ==,
                   "# HELP mulberry_request_usec Time to the whole answer\n"
                   "# TYPE mulberry_request_usec histogram\n"
                   "mulberry_request_usec_bucket" KEY ",le=\"3\"} 2\n"
                   "mulberry_request_usec_bucket" KEY ",le=\"7\"} 3\n"
                   "mulberry_request_usec_bucket" KEY ",le=\"+Inf\"} 3\n"
                   "mulberry_request_usec_sum" KEY "} 13\n"
                   "mulberry_request_usec_count" KEY "} 3\n");
  free (text);
  metrics_free (metrics);
}

/* One name with two kinds, or a label that contains a quote and a newline,
   would make the text invalid or inject a sample.  */
static void
test_bad_registrations_are_rejected (void)
{
  metrics_t *metrics = sample_metrics (1, 1);
  err_t err = { 0 };
  g_assert_null (metrics_gauge (metrics, &refused_options, &err));
  g_assert_cmpint (err.kind, ==, ERR_INTERNAL);
  const metric_options_t forged
      = { .name = "x", .service = "a\"} 1\nforged 9" };
  g_assert_null (metrics_counter (metrics, &forged, &err));
  g_assert_true (metrics_counter (metrics, &refused_options, &err)
                 == metrics_counter (metrics, &refused_options, &err));
  metrics_free (metrics);
}

/* A counter of metrics_counter_at must show the present value of its source,
   not the value at registration.  */
static void
test_external_counter_is_rendered (void)
{
  metrics_t *metrics = metrics_new ();
  err_t err = { 0 };
  static _Atomic uint64_t source;
  g_assert_true (
      metrics_counter_at (metrics, &refused_options, &source, &err));
  atomic_store (&source, 17);
  char *text = metrics_render (metrics, NULL);
  g_assert_nonnull (
      strstr (text, "mulberry_refused_total{reason=\"no_slot\"} 17\n"));
  free (text);
  metrics_free (metrics);
}

/* If a malformed line were accepted, a wrong or truncated value would be added
   to the merged metrics.  */
static void
test_bad_text_is_rejected (void)
{
  static const char *const texts[] = {
    "x 1\n",
    "# TYPE x counter\nx\n",
    "# TYPE x counter\nx{service=\"a\" 1\n",
    "# TYPE x counter\nx{colour=\"a\"} 1\n",
    "# TYPE x counter\ny 1\n",
    "# TYPE x counter\nx 1z\n",
    "# TYPE x sundial\nx 1\n",
    "# TYPE x histogram\nx_bucket{le=\"65\"} 1\nx_bucket{le=\"3\"} 2\n",
    "# TYPE x histogram\nx_bucket{le=\"64\"} 1\n",
    "# TYPE x histogram\nx_bucket{le=\"3\"} 2\nx_bucket{le=\"7\"} 1\n",
    "# TYPE x histogram\nx_bucket{le=\"3\"} 2\nx_bucket{le=\"+Inf\"} 3\n",
    "# TYPE x histogram\nx_sum -1\n",
    "# TYPE x histogram\nx_mean 1\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      metrics_t *metrics = metrics_new ();
      err_t err = { 0 };
      g_assert_false (metrics_parse (metrics, texts[i], &err));
      g_assert_cmpint (err.kind, ==, ERR_PROTOCOL);
      metrics_free (metrics);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/histogram/tile", test_buckets_cover_all_values);
  g_test_add_func ("/base/histogram/error", test_quantile_error_is_bounded);
  g_test_add_func ("/base/histogram/threads",
                   test_concurrent_records_are_all_counted);
  g_test_add_func ("/base/metrics/merge", test_parsed_texts_are_merged);
  g_test_add_func ("/base/metrics/text",
                   test_text_form_is_the_exposition_format);
  g_test_add_func ("/base/metrics/registration",
                   test_bad_registrations_are_rejected);
  g_test_add_func ("/base/metrics/elsewhere",
                   test_external_counter_is_rendered);
  g_test_add_func ("/base/metrics/bad", test_bad_text_is_rejected);
  return g_test_run ();
}
