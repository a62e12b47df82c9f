/* The text form of metrics: the Prometheus exposition format.  A histogram's
   buckets are cumulative, as the format wants; only those that hold values
   are written, and the reader takes the differences.  */

#include "base/metrics.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"

enum
{
  LINE_BYTES = 1024,
  LE_BYTES = 24,
};

static const char *
kind_name (metric_kind_t kind)
{
  switch (kind)
    {
    case METRIC_COUNTER:
      return "counter";
    case METRIC_GAUGE:
      return "gauge";
    case METRIC_HISTOGRAM:
      return "histogram";
    }
  return "untyped";
}

/* Write the metric's name, SUFFIX and labels; LE is left out where NULL.  */
static void
write_key (const metric_t *metric, const char *suffix, const char *le,
           FILE *stream)
{
  const char *separator = "{";
  fprintf (stream, "%s%s", metric->name.text, suffix);
  for (size_t i = 0; i < METRIC_LABELS; i++)
    if (metric->label[i].text[0])
      {
        fprintf (stream, "%s%s=\"%s\"", separator, metric_label_name (i),
                 metric->label[i].text);
        separator = ",";
      }
  if (le)
    {
      fprintf (stream, "%sle=\"%s\"", separator, le);
      separator = ",";
    }
  fputs (*separator == ',' ? "} " : " ", stream);
}

static void
write_histogram (const metric_t *metric, FILE *stream)
{
  const histogram_t *histogram = metric->value.histogram;
  uint64_t total = 0;
  for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      uint64_t n = histogram_bucket_count (histogram, i);
      if (n == 0)
        continue;
      total += n;
      char le[LE_BYTES];
      snprintf (le, sizeof le, "%" PRId64, histogram_bucket_high (i));
      write_key (metric, "_bucket", le, stream);
      fprintf (stream, "%" PRIu64 "\n", total);
    }
  write_key (metric, "_bucket", "+Inf", stream);
  fprintf (stream, "%" PRIu64 "\n", total);
  write_key (metric, "_sum", NULL, stream);
  fprintf (stream, "%" PRIu64 "\n", histogram_sum (histogram));
  write_key (metric, "_count", NULL, stream);
  fprintf (stream, "%" PRIu64 "\n", total);
}

static void
write_metric (const metric_t *metric, FILE *stream)
{
  switch (metric->kind)
    {
    case METRIC_COUNTER:
      write_key (metric, "", NULL, stream);
      fprintf (stream, "%" PRIu64 "\n", metric_count (metric));
      return;
    case METRIC_GAUGE:
      write_key (metric, "", NULL, stream);
      fprintf (stream, "%" PRId64 "\n", gauge_read (&metric->value.gauge));
      return;
    case METRIC_HISTOGRAM:
      write_histogram (metric, stream);
      return;
    }
}

char *
metrics_render (metrics_t *metrics, size_t *length)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);
  if (!stream)
    return NULL;
  const name_t *name = NULL;
  for (const metric_t *metric = metrics_next (metrics, NULL); metric;
       metric = metrics_next (metrics, metric))
    {
      if (!name || !name_equal (name, &metric->name))
        fprintf (stream, "# HELP %s %s\n# TYPE %s %s\n", metric->name.text,
                 metric->help, metric->name.text, kind_name (metric->kind));
      name = &metric->name;
      write_metric (metric, stream);
    }
  if (fclose (stream) != 0)
    {
      free (text);
      return NULL;
    }
  if (length)
    *length = size;
  return text;
}

/* What the reader carries from line to line.  */
typedef struct reader
{
  metrics_t *metrics;
  char help[80];
  name_t name;        /* of the last # TYPE line */
  metric_kind_t kind; /* likewise */
  histogram_t *histogram;
  uint64_t cumulative; /* last bucket line of HISTOGRAM */
  size_t next_bucket;  /* likewise: the lowest that may follow */
} reader_t;

/* One sample line, taken apart.  */
typedef struct sample
{
  char name[NAME_BYTES + 8];
  char label[METRIC_LABELS][NAME_BYTES];
  char le[LE_BYTES];
  int64_t value;
} sample_t;

static bool
bad_line (const char *line, err_t *err)
{
  return err_set (err, ERR_PROTOCOL, "ask a process of the same release",
                  "a metrics line that can't be read: %.80s", line);
}

/* Copy the bytes up to STOP into OUT and step over STOP.  */
static bool
take_until (char **at, char stop, char *out, size_t size)
{
  char *end = strchr (*at, stop);
  if (!end || (size_t)(end - *at) >= size)
    return false;
  memcpy (out, *at, (size_t)(end - *at));
  out[end - *at] = '\0';
  *at = end + 1;
  return true;
}

static bool
read_label (char **at, sample_t *sample)
{
  char key[NAME_BYTES];
  char value[NAME_BYTES];
  if (!take_until (at, '=', key, sizeof key) || *(*at)++ != '"'
      || !take_until (at, '"', value, sizeof value))
    return false;
  if (strcmp (key, "le") == 0)
    {
      if (strlen (value) >= sizeof sample->le)
        return false;
      memcpy (sample->le, value, strlen (value) + 1);
      return true;
    }
  for (size_t i = 0; i < METRIC_LABELS; i++)
    if (strcmp (key, metric_label_name (i)) == 0)
      {
        memcpy (sample->label[i], value, sizeof value);
        return true;
      }
  return false;
}

static bool
read_labels (char **at, sample_t *sample)
{
  while (read_label (at, sample))
    {
      char c = *(*at)++;
      if (c == '}')
        return *(*at)++ == ' ';
      if (c != ',')
        return false;
    }
  return false;
}

static bool
read_sample (char *line, sample_t *sample)
{
  memset (sample, 0, sizeof *sample);
  size_t n = strcspn (line, "{ ");
  if (n >= sizeof sample->name || !line[n])
    return false;
  memcpy (sample->name, line, n);
  char *at = line + n + 1;
  if (line[n] == '{' && !read_labels (&at, sample))
    return false;
  char *end;
  errno = 0;
  sample->value = strtoll (at, &end, 10);
  return errno == 0 && end != at && *end == '\0';
}

static bool
read_comment (reader_t *reader, char *line)
{
  char name[NAME_BYTES];
  char *at = line + strlen ("# HELP ");
  if (strncmp (line, "# HELP ", strlen ("# HELP ")) == 0)
    {
      if (!take_until (&at, ' ', name, sizeof name))
        return false;
      snprintf (reader->help, sizeof reader->help, "%s", at);
      return true;
    }
  if (strncmp (line, "# TYPE ", strlen ("# TYPE ")) != 0
      || !take_until (&at, ' ', name, sizeof name)
      || !name_parse (&reader->name, name, NULL))
    return false;
  for (metric_kind_t kind = METRIC_COUNTER; kind <= METRIC_HISTOGRAM; kind++)
    if (strcmp (at, kind_name (kind)) == 0)
      {
        reader->kind = kind;
        return true;
      }
  return false;
}

/* Add a bucket line: the values above the line before it, in the bucket whose
   highest value LE names.  */
static bool
add_bucket (reader_t *reader, histogram_t *histogram, const sample_t *sample)
{
  if (histogram != reader->histogram)
    {
      reader->histogram = histogram;
      reader->cumulative = 0;
      reader->next_bucket = 0;
    }
  uint64_t total = (uint64_t)sample->value;
  if (strcmp (sample->le, "+Inf") == 0)
    {
      reader->histogram = NULL;
      return total == reader->cumulative;
    }
  char *end;
  int64_t high = strtoll (sample->le, &end, 10);
  size_t bucket = histogram_bucket_of (high);
  if (!sample->le[0] || *end || histogram_bucket_high (bucket) != high
      || bucket < reader->next_bucket || total < reader->cumulative)
    return false;
  histogram_add_bucket (histogram, bucket, total - reader->cumulative);
  reader->cumulative = total;
  reader->next_bucket = bucket + 1;
  return true;
}

static bool
add_histogram (reader_t *reader, const sample_t *sample,
               const metric_options_t *options, const char *line, err_t *err)
{
  if (sample->value < 0)
    return bad_line (line, err);
  const char *suffix = sample->name + strlen (reader->name.text);
  histogram_t *histogram = metrics_histogram (reader->metrics, options, err);
  if (!histogram)
    return false;
  if (strcmp (suffix, "_bucket") == 0)
    return add_bucket (reader, histogram, sample) || bad_line (line, err);
  if (strcmp (suffix, "_sum") == 0)
    histogram_add_sum (histogram, (uint64_t)sample->value);
  else if (strcmp (suffix, "_count") != 0)
    return bad_line (line, err);
  return true;
}

static bool
add_sample (reader_t *reader, const sample_t *sample, const char *line,
            err_t *err)
{
  const char *name = reader->name.text;
  const metric_options_t options = {
    .name = name,
    .help = reader->help,
    .organisation = sample->label[METRIC_LABEL_ORGANISATION],
    .service = sample->label[METRIC_LABEL_SERVICE],
    .request_class = sample->label[METRIC_LABEL_CLASS],
    .reason = sample->label[METRIC_LABEL_REASON],
  };
  if (!*name || strncmp (sample->name, name, strlen (name)) != 0)
    return bad_line (line, err);
  if (reader->kind == METRIC_HISTOGRAM)
    return add_histogram (reader, sample, &options, line, err);
  if (strcmp (sample->name, name) != 0)
    return bad_line (line, err);
  if (reader->kind == METRIC_GAUGE)
    {
      gauge_t *gauge = metrics_gauge (reader->metrics, &options, err);
      if (gauge)
        gauge_add (gauge, sample->value);
      return gauge != NULL;
    }
  counter_t *counter = metrics_counter (reader->metrics, &options, err);
  if (counter)
    counter_add (counter, (uint64_t)sample->value);
  return counter != NULL;
}

static bool
read_line (reader_t *reader, char *line, err_t *err)
{
  sample_t sample;
  if (line[0] == '#')
    return read_comment (reader, line) || bad_line (line, err);
  if (!read_sample (line, &sample))
    return bad_line (line, err);
  return add_sample (reader, &sample, line, err);
}

bool
metrics_parse (metrics_t *metrics, const char *text, err_t *err)
{
  reader_t reader = { .metrics = metrics };
  while (*text)
    {
      char line[LINE_BYTES];
      size_t length = strcspn (text, "\n");
      if (length >= sizeof line)
        return bad_line (text, err);
      memcpy (line, text, length);
      line[length] = '\0';
      if (length > 0 && !read_line (&reader, line, err))
        return false;
      text += length + (text[length] == '\n');
    }
  return true;
}
