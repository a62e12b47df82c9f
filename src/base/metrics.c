#include "base/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"

struct metrics
{
  list_t all; /* of metric_t, those of the same name adjacent */
  size_t n_metrics;
  pthread_mutex_t lock; /* protects the list, not the values */
};

static const char *const label_names[METRIC_LABELS]
    = { "organisation", "service", "class", "reason" };

const char *
metric_label_name (metric_label_t label)
{
  return label_names[label];
}

metrics_t *
metrics_new (void)
{
  metrics_t *metrics = calloc (1, sizeof *metrics);
  if (!metrics)
    return NULL;
  list_init (&metrics->all);
  pthread_mutex_init (&metrics->lock, NULL);
  return metrics;
}

static void
metric_free (metric_t *metric)
{
  if (metric->kind == METRIC_HISTOGRAM)
    free (metric->value.histogram);
  free (metric);
}

void
metrics_free (metrics_t *metrics)
{
  if (!metrics)
    return;
  LIST_FOREACH (link, &metrics->all)
  metric_free (LIST_ENTRY (link, metric_t, link));
  pthread_mutex_destroy (&metrics->lock);
  free (metrics);
}

static bool
metric_key_equal (const metric_t *a, const metric_t *b)
{
  if (!name_equal (&a->name, &b->name))
    return false;
  for (size_t i = 0; i < METRIC_LABELS; i++)
    if (!name_equal (&a->label[i], &b->label[i]))
      return false;
  return true;
}

static bool
label_set (name_t *label, const char *text, err_t *err)
{
  if (!text || !*text)
    return true;
  return name_parse (label, text, err);
}

static bool
key_fill (metric_t *key, metric_kind_t kind, const metric_options_t *options,
          err_t *err)
{
  memset (key, 0, sizeof *key);
  key->kind = kind;
  const char *labels[METRIC_LABELS]
      = { options->organisation, options->service, options->request_class,
          options->reason };
  bool ok = name_parse (&key->name, options->name, err);
  for (size_t i = 0; ok && i < METRIC_LABELS; i++)
    ok = label_set (&key->label[i], labels[i], err);
  if (!ok)
    return err_prefix (err, "illegal metric or label name");
  snprintf (key->help, sizeof key->help, "%s",
            options->help ? options->help : "");
  return true;
}

/* Returns the link before which KEY is to be inserted, so that metrics of the
   same name stay adjacent.  Sets *FOUND if KEY is already registered.  */
static list_t *
find_position (metrics_t *metrics, const metric_t *key, metric_t **found)
{
  list_t *position = &metrics->all;
  LIST_FOREACH (link, &metrics->all)
  {
    metric_t *metric = LIST_ENTRY (link, metric_t, link);
    if (!name_equal (&metric->name, &key->name))
      continue;
    position = link->next;
    if (metric_key_equal (metric, key))
      {
        *found = metric;
        return position;
      }
  }
  return position;
}

static metric_t *
metric_new (const metric_t *key)
{
  metric_t *metric = malloc (sizeof *metric);
  if (!metric)
    return NULL;
  *metric = *key;
  list_init (&metric->link);
  if (key->kind != METRIC_HISTOGRAM)
    return metric;
  metric->value.histogram = calloc (1, sizeof *metric->value.histogram);
  if (metric->value.histogram)
    return metric;
  free (metric);
  return NULL;
}

static metric_t *
register_locked (metrics_t *metrics, const metric_t *key, err_t *err)
{
  metric_t *metric = NULL;
  list_t *position = find_position (metrics, key, &metric);
  if (metric && metric->kind == key->kind)
    return metric;
  if (metric)
    {
      err_set (err, ERR_INTERNAL, "give the metrics different names",
               "metric %s is already registered as another kind",
               key->name.text);
      return NULL;
    }
  if (metrics->n_metrics >= METRICS_MAX)
    {
      err_set (err, ERR_LIMIT, "use fewer label values",
               "registry is full: %d metrics", METRICS_MAX);
      return NULL;
    }
  metric = metric_new (key);
  if (!metric)
    {
      err_set (err, ERR_LIMIT, "give the VM more memory",
               "out of memory for a metric");
      return NULL;
    }
  list_push_back (position, &metric->link);
  metrics->n_metrics++;
  return metric;
}

static metric_t *
metrics_register (metrics_t *metrics, metric_kind_t kind,
                  const metric_options_t *options, err_t *err)
{
  metric_t key;
  if (!key_fill (&key, kind, options, err))
    return NULL;
  pthread_mutex_lock (&metrics->lock);
  metric_t *metric = register_locked (metrics, &key, err);
  pthread_mutex_unlock (&metrics->lock);
  return metric;
}

counter_t *
metrics_counter (metrics_t *metrics, const metric_options_t *options,
                 err_t *err)
{
  metric_t *metric = metrics_register (metrics, METRIC_COUNTER, options, err);
  return metric ? &metric->value.counter : NULL;
}

gauge_t *
metrics_gauge (metrics_t *metrics, const metric_options_t *options, err_t *err)
{
  metric_t *metric = metrics_register (metrics, METRIC_GAUGE, options, err);
  return metric ? &metric->value.gauge : NULL;
}

histogram_t *
metrics_histogram (metrics_t *metrics, const metric_options_t *options,
                   err_t *err)
{
  metric_t *metric
      = metrics_register (metrics, METRIC_HISTOGRAM, options, err);
  return metric ? metric->value.histogram : NULL;
}

bool
metrics_counter_at (metrics_t *metrics, const metric_options_t *options,
                    const _Atomic uint64_t *source, err_t *err)
{
  metric_t *metric = metrics_register (metrics, METRIC_COUNTER, options, err);
  if (!metric)
    return false;
  metric->source = source;
  return true;
}

uint64_t
metric_count (const metric_t *metric)
{
  if (metric->source)
    return atomic_load_explicit (metric->source, memory_order_relaxed);
  return counter_read (&metric->value.counter);
}

void
counter_add (counter_t *counter, uint64_t n)
{
  atomic_fetch_add_explicit (&counter->value, n, memory_order_relaxed);
}

uint64_t
counter_read (const counter_t *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

void
gauge_set (gauge_t *gauge, int64_t value)
{
  atomic_store_explicit (&gauge->value, value, memory_order_relaxed);
}

void
gauge_add (gauge_t *gauge, int64_t n)
{
  atomic_fetch_add_explicit (&gauge->value, n, memory_order_relaxed);
}

int64_t
gauge_read (const gauge_t *gauge)
{
  return atomic_load_explicit (&gauge->value, memory_order_relaxed);
}

const metric_t *
metrics_next (metrics_t *metrics, const metric_t *previous)
{
  pthread_mutex_lock (&metrics->lock);
  const list_t *link = previous ? previous->link.next : metrics->all.next;
  pthread_mutex_unlock (&metrics->lock);
  return link == &metrics->all ? NULL : LIST_ENTRY (link, metric_t, link);
}
