/* metrics: a registry of counters, gauges and latency histograms.

   A metric has a name and up to four labels: organisation, service, class and
   reason.  It is registered once, at start-up, with an options struct.  The
   returned pointer belongs to the registry and is valid until metrics_free;
   any thread may update the metric without a lock:

     histogram_t *latency = metrics_histogram (
         metrics, &(metric_options_t){ .name = "mulberry_request_usec",
                                       .help = "Time to the whole answer",
                                       .organisation = "consortium",
                                       .service = "songfind",
                                       .request_class = "search" },
         &err);
     histogram_record (latency, 1250);

   Registering the same name and labels again returns the same metric.  The
   text format is the Prometheus exposition format.  metrics_parse adds such a
   text to a registry, so that the metrics of many processes can be merged:
   counters, gauges and histogram buckets are summed.  */

#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/histogram.h"
#include "base/list.h"
#include "base/name_defs.h"

enum
{
  METRICS_MAX = 4096, /* metrics in one registry */
  METRIC_LABELS = 4,
};

typedef struct metrics metrics_t;

typedef struct counter
{
  _Atomic uint64_t value;
} counter_t;

/* A value that may rise and fall.  */
typedef struct gauge
{
  _Atomic int64_t value;
} gauge_t;

typedef enum
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM,
} metric_kind_t;

typedef enum
{
  METRIC_LABEL_ORGANISATION,
  METRIC_LABEL_SERVICE,
  METRIC_LABEL_CLASS,
  METRIC_LABEL_REASON,
} metric_label_t;

/* Strings are copied.  NAME and the labels must be legal names (base/name.h);
   a label that is NULL or empty is left out.  HELP is one line, cut at 79
   bytes, and may be NULL.  REQUEST_CLASS is the label "class".  */
typedef struct metric_options
{
  const char *name;
  const char *help;
  const char *organisation;
  const char *service;
  const char *request_class;
  const char *reason;
} metric_options_t;

/* One registered metric, as returned by metrics_next.  */
typedef struct metric
{
  list_t link;
  metric_kind_t kind;
  name_t name;
  char help[80];
  name_t label[METRIC_LABELS];    /* "" if the label is left out */
  const _Atomic uint64_t *source; /* set by metrics_counter_at, else NULL */
  union
  {
    counter_t counter;
    gauge_t gauge;
    histogram_t *histogram;
  } value;
} metric_t;

/* Returns an empty registry, or NULL if memory ran out.  */
metrics_t *metrics_new (void);

/* Free METRICS, which may be NULL, and all its metrics.  */
void metrics_free (metrics_t *metrics);

/* Register a metric, or find the one with the same name and labels.  Each
   returns NULL on failure: with ERR_USAGE if the name or a label is not legal,
   with ERR_INTERNAL if the metric is registered as another kind, and with
   ERR_LIMIT if METRICS_MAX metrics are registered or memory ran out.  */
counter_t *metrics_counter (metrics_t *metrics,
                            const metric_options_t *options, err_t *err);
gauge_t *metrics_gauge (metrics_t *metrics, const metric_options_t *options,
                        err_t *err);
histogram_t *metrics_histogram (metrics_t *metrics,
                                const metric_options_t *options, err_t *err);

/* Register a counter whose value is read from SOURCE, which must only increase
   and must outlive the registry.  Returns false on failure, with the same
   errors as metrics_counter.  */
bool metrics_counter_at (metrics_t *metrics, const metric_options_t *options,
                         const _Atomic uint64_t *source, err_t *err);

/* Returns the value of a counter that was registered by metrics_counter or
   metrics_counter_at.  */
uint64_t metric_count (const metric_t *metric);

void counter_add (counter_t *counter, uint64_t n);
uint64_t counter_read (const counter_t *counter);
void gauge_set (gauge_t *gauge, int64_t value);
void gauge_add (gauge_t *gauge, int64_t n);
int64_t gauge_read (const gauge_t *gauge);

/* Iterate over the registry: returns the metric after PREVIOUS, the first one
   if PREVIOUS is NULL, and NULL after the last.  Metrics of the same name
   follow one another.  */
const metric_t *metrics_next (metrics_t *metrics, const metric_t *previous);

/* Returns the label's name in the text format, for example "organisation".  */
const char *metric_label_name (metric_label_t label);

/* Returns all metrics in the text format, NUL-terminated; the caller frees it.
   If LENGTH is not NULL, *LENGTH is set to the length in bytes.  Returns NULL
   if memory ran out.  */
char *metrics_render (metrics_t *metrics, size_t *length);

/* Parse TEXT, as written by metrics_render, and add its values to METRICS.
   Returns false at the first line that fails, with ERR_PROTOCOL if the line is
   malformed and otherwise with the error of the registration.  The lines
   before it have been added.  */
bool metrics_parse (metrics_t *metrics, const char *text, err_t *err);

#endif
