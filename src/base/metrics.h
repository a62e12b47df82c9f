/* metrics: a process's counters, gauges and latency histograms.

   A metric has a name and up to four labels: organisation, service, class and
   reason.  It is registered once, at start, by an option struct; what is
   returned lives as long as the registry and may be recorded into by any
   thread without a lock:

     histogram_t *latency = metrics_histogram (
         metrics, &(metric_options_t){ .name = "mulberry_request_usec",
                                       .help = "Time to the whole answer",
                                       .organisation = "consortium",
                                       .service = "songfind",
                                       .request_class = "search" },
         &err);
     histogram_record (latency, 1250);

   Registering the same name and labels again gives the same metric.  The
   text form is the Prometheus exposition format; metrics_parse adds such a
   text to a registry, so that the pages of many processes merge into one:
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

/* A level that goes up and down.  */
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

/* Strings are copied.  NAME and labels are legal names (base/name.h); a label
   that is NULL or empty is left out.  HELP is one line.  */
typedef struct metric_options
{
  const char *name;
  const char *help;
  const char *organisation;
  const char *service;
  const char *request_class;
  const char *reason;
} metric_options_t;

/* One registered metric, for those who walk over a registry.  */
typedef struct metric
{
  list_t link;
  metric_kind_t kind;
  name_t name;
  char help[80];
  name_t label[METRIC_LABELS];    /* "" where it is left out */
  const _Atomic uint64_t *source; /* of metrics_counter_at; else NULL */
  union
  {
    counter_t counter;
    gauge_t gauge;
    histogram_t *histogram;
  } value;
} metric_t;

metrics_t *metrics_new (void);

void metrics_free (metrics_t *metrics);

/* Each returns NULL with ERR_INTERNAL where the name or a label is not legal
   or stands as another kind, and with ERR_LIMIT where METRICS_MAX stand.  */
counter_t *metrics_counter (metrics_t *metrics,
                            const metric_options_t *options, err_t *err);
gauge_t *metrics_gauge (metrics_t *metrics, const metric_options_t *options,
                        err_t *err);
histogram_t *metrics_histogram (metrics_t *metrics,
                                const metric_options_t *options, err_t *err);

/* Show the number at SOURCE, which only grows and outlives the registry, as a
   counter.  False as above.  */
bool metrics_counter_at (metrics_t *metrics, const metric_options_t *options,
                         const _Atomic uint64_t *source, err_t *err);

/* The value of a metric that is a counter, of either sort.  */
uint64_t metric_count (const metric_t *metric);

void counter_add (counter_t *counter, uint64_t n);
uint64_t counter_read (const counter_t *counter);
void gauge_set (gauge_t *gauge, int64_t value);
void gauge_add (gauge_t *gauge, int64_t n);
int64_t gauge_read (const gauge_t *gauge);

/* The metric after PREVIOUS (NULL: the first), NULL after the last.  Metrics
   of one name stand together.  */
const metric_t *metrics_next (metrics_t *metrics, const metric_t *previous);

/* The label's name as it stands in the text, "organisation" say.  */
const char *metric_label_name (metric_label_t label);

/* All metrics as text, NUL-terminated; the caller frees it.  *LENGTH, where
   not NULL, gets its length.  NULL where memory ran out.  */
char *metrics_render (metrics_t *metrics, size_t *length);

/* Add what metrics_render wrote as TEXT, line by line.  Fails with
   ERR_PROTOCOL (ERR_LIMIT above METRICS_MAX) at the first bad line; what
   stood before it has been added.  */
bool metrics_parse (metrics_t *metrics, const char *text, err_t *err);

#endif
