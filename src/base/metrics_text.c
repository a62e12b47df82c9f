/* Text format of metrics: the Prometheus exposition format.  The buckets of a
   histogram are cumulative, as the format requires.  Only buckets that are not
   empty are written; the parser computes the counts as differences between
   consecutive lines.  */

#include "base/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/name.h"
#include "base/number.h"

enum
{
  LINE_BYTES = 1024,
  LE_BYTES = 24, /* a 64-bit number and the closing NUL */
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

/* Write the metric's name, SUFFIX and labels, and the label le=LE unless LE is
   NULL.  */
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

/* State of the parser between lines.  */
typedef struct parser
{
  metrics_t *metrics;
  char help[80];          /* of the last # HELP line */
  name_t name;            /* of the last # TYPE line */
  metric_kind_t kind;     /* likewise */
  histogram_t *histogram; /* of the last bucket line; NULL after le="+Inf" */
  uint64_t cumulative;    /* value of the last bucket line of HISTOGRAM */
  size_t next_bucket;     /* lowest bucket that may follow in HISTOGRAM */
} parser_t;

/* One parsed sample line.  */
typedef struct sample
{
  char name[NAME_BYTES + 8]; /* with the suffix, "_bucket" at most */
  char label[METRIC_LABELS][NAME_BYTES];
  char le[LE_BYTES];
  int64_t value;
} sample_t;

static bool
bad_line (const char *line, err_t *err)
{
  return err_set (err, ERR_PROTOCOL, "query a process of the same release",
                  "malformed metrics line: %.80s", line);
}

/* Copy the bytes before STOP into OUT, NUL-terminated, and advance *AT past
   STOP.  Returns false if STOP is missing or the text doesn't fit into SIZE
   bytes.  */
static bool
copy_until (char **at, char stop, char *out, size_t size)
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
parse_label (char **at, sample_t *sample)
{
  char key[NAME_BYTES];
  char value[NAME_BYTES];
  if (!copy_until (at, '=', key, sizeof key) || *(*at)++ != '"'
      || !copy_until (at, '"', value, sizeof value))
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
parse_labels (char **at, sample_t *sample)
{
  while (parse_label (at, sample))
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
parse_sample (char *line, sample_t *sample)
{
  memset (sample, 0, sizeof *sample);
  size_t n = strcspn (line, "{ ");
  if (n >= sizeof sample->name || !line[n])
    return false;
  memcpy (sample->name, line, n);
  char *at = line + n + 1;
  if (line[n] == '{' && !parse_labels (&at, sample))
    return false;
  bool is_negative = *at == '-'; /* a gauge may be */
  uint64_t magnitude;
  if (number_parse_unsigned (&magnitude, at + is_negative, INT64_MAX)
      != NUMBER_OK)
    return false;
  sample->value = is_negative ? -(int64_t)magnitude : (int64_t)magnitude;
  return true;
}

static bool
parse_comment (parser_t *parser, char *line)
{
  char name[NAME_BYTES];
  char *at = line + strlen ("# HELP ");
  if (strncmp (line, "# HELP ", strlen ("# HELP ")) == 0)
    {
      if (!copy_until (&at, ' ', name, sizeof name))
        return false;
      snprintf (parser->help, sizeof parser->help, "%s", at);
      return true;
    }
  if (strncmp (line, "# TYPE ", strlen ("# TYPE ")) != 0
      || !copy_until (&at, ' ', name, sizeof name)
      || !name_parse (&parser->name, name, NULL))
    return false;
  for (metric_kind_t kind = METRIC_COUNTER; kind <= METRIC_HISTOGRAM; kind++)
    if (strcmp (at, kind_name (kind)) == 0)
      {
        parser->kind = kind;
        return true;
      }
  return false;
}

/* Add a bucket line: the increase since the previous line is added to the
   bucket whose highest value is LE.  Returns false if the bucket doesn't
   exist, is out of order, or its value is less than the previous one.  */
static bool
add_bucket (parser_t *parser, histogram_t *histogram, const sample_t *sample)
{
  if (histogram != parser->histogram)
    {
      parser->histogram = histogram;
      parser->cumulative = 0;
      parser->next_bucket = 0;
    }
  uint64_t total = (uint64_t)sample->value;
  if (strcmp (sample->le, "+Inf") == 0)
    {
      parser->histogram = NULL;
      return total == parser->cumulative;
    }
  uint64_t le;
  if (number_parse_unsigned (&le, sample->le, INT64_MAX) != NUMBER_OK)
    return false;
  int64_t high = (int64_t)le;
  size_t bucket = histogram_bucket_of (high);
  if (histogram_bucket_high (bucket) != high || bucket < parser->next_bucket
      || total < parser->cumulative)
    return false;
  histogram_add_bucket (histogram, bucket, total - parser->cumulative);
  parser->cumulative = total;
  parser->next_bucket = bucket + 1;
  return true;
}

static bool
add_histogram (parser_t *parser, const sample_t *sample,
               const metric_options_t *options, const char *line, err_t *err)
{
  if (sample->value < 0)
    return bad_line (line, err);
  const char *suffix = sample->name + strlen (parser->name.text);
  histogram_t *histogram = metrics_histogram (parser->metrics, options, err);
  if (!histogram)
    return false;
  if (strcmp (suffix, "_bucket") == 0)
    return add_bucket (parser, histogram, sample) || bad_line (line, err);
  if (strcmp (suffix, "_sum") == 0)
    histogram_add_sum (histogram, (uint64_t)sample->value);
  else if (strcmp (suffix, "_count") != 0)
    return bad_line (line, err);
  return true;
}

static bool
add_sample (parser_t *parser, const sample_t *sample, const char *line,
            err_t *err)
{
  const char *name = parser->name.text;
  const metric_options_t options = {
    .name = name,
    .help = parser->help,
    .organisation = sample->label[METRIC_LABEL_ORGANISATION],
    .service = sample->label[METRIC_LABEL_SERVICE],
    .request_class = sample->label[METRIC_LABEL_CLASS],
    .reason = sample->label[METRIC_LABEL_REASON],
  };
  if (!*name || strncmp (sample->name, name, strlen (name)) != 0)
    return bad_line (line, err);
  if (parser->kind == METRIC_HISTOGRAM)
    return add_histogram (parser, sample, &options, line, err);
  if (strcmp (sample->name, name) != 0)
    return bad_line (line, err);
  if (parser->kind == METRIC_GAUGE)
    {
      gauge_t *gauge = metrics_gauge (parser->metrics, &options, err);
      if (gauge)
        gauge_add (gauge, sample->value);
      return gauge != NULL;
    }
  counter_t *counter = metrics_counter (parser->metrics, &options, err);
  if (counter)
    counter_add (counter, (uint64_t)sample->value);
  return counter != NULL;
}

static bool
parse_line (parser_t *parser, char *line, err_t *err)
{
  sample_t sample;
  if (line[0] == '#')
    return parse_comment (parser, line) || bad_line (line, err);
  if (!parse_sample (line, &sample))
    return bad_line (line, err);
  return add_sample (parser, &sample, line, err);
}

bool
metrics_parse (metrics_t *metrics, const char *text, err_t *err)
{
  parser_t parser = { .metrics = metrics };
  while (*text)
    {
      char line[LINE_BYTES];
      size_t length = strcspn (text, "\n");
      if (length >= sizeof line)
        return bad_line (text, err);
      memcpy (line, text, length);
      line[length] = '\0';
      if (length > 0 && !parse_line (&parser, line, err))
        return false;
      text += length + (text[length] == '\n');
    }
  return true;
}
