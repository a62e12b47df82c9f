#include "ctl/request_trace.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/number.h"

enum
{
  LINES_MAX = 4096,
  VALUE_BYTES = 256,
};

typedef struct trace_line
{
  double time; /* seconds since 1970 */
  char *text;  /* malloc'd */
} trace_line_t;

struct request_trace
{
  const char *id;
  size_t n_lines;
  trace_line_t *lines;
  bool is_sorted;
};

request_trace_t *
request_trace_new (const char *id)
{
  request_trace_t *trace = calloc (1, sizeof *trace);
  if (!trace)
    abort ();
  trace->id = id;
  return trace;
}

void
request_trace_free (request_trace_t *trace)
{
  for (size_t i = 0; i < trace->n_lines; i++)
    free (trace->lines[i].text);
  free (trace->lines);
  free (trace);
}

/* The value of KEY in LINE, without quotes; false where it has none.  */
static bool
read_field (const char *line, const char *key, char value[VALUE_BYTES])
{
  size_t length = strlen (key);
  for (const char *match = line; (match = strstr (match, key));
       match += length)
    {
      if ((match > line && match[-1] != ' ') || match[length] != '=')
        continue;
      const char *start = match + length + 1;
      bool is_quoted = *start == '"';
      if (is_quoted)
        start++;
      size_t n = strcspn (start, is_quoted ? "\"" : " \n");
      if (n >= VALUE_BYTES)
        n = VALUE_BYTES - 1;
      memcpy (value, start, n);
      value[n] = '\0';
      return true;
    }
  return false;
}

/* Read the field `time`, as "2026-01-09T22:51:02.484742Z", as seconds since
   1970.  */
static bool
read_time (const char *line, double *seconds)
{
  char text[VALUE_BYTES];
  struct tm utc = { 0 };
  if (!read_field (line, "time", text))
    return false;
  const char *fraction = strptime (text, "%Y-%m-%dT%H:%M:%S", &utc);
  if (!fraction)
    return false;
  double rest = 0;
  size_t length = strcspn (fraction, "Z");
  if (length > 0
      && number_parse_decimal (&rest, fraction, length, 1) != NUMBER_OK)
    return false;
  *seconds = (double)timegm (&utc) + rest;
  return true;
}

bool
request_trace_add (request_trace_t *trace, const char *line)
{
  char id[VALUE_BYTES];
  trace_line_t entry = { 0 };
  if (!strstr (line, trace->id) || !read_field (line, "id", id)
      || strcmp (id, trace->id) != 0 || !read_time (line, &entry.time)
      || trace->n_lines == LINES_MAX)
    return false;
  trace_line_t *new_lines
      = realloc (trace->lines, (trace->n_lines + 1) * sizeof *trace->lines);
  entry.text = strdup (line);
  if (!new_lines || !entry.text)
    abort ();
  entry.text[strcspn (entry.text, "\n")] = '\0';
  trace->lines = new_lines;
  trace->lines[trace->n_lines++] = entry;
  trace->is_sorted = false;
  return true;
}

size_t
request_trace_count (const request_trace_t *trace)
{
  return trace->n_lines;
}

static int
compare_lines (const void *a, const void *b)
{
  double time_a = ((const trace_line_t *)a)->time;
  double time_b = ((const trace_line_t *)b)->time;
  return (time_a > time_b) - (time_a < time_b);
}

void
request_trace_print (request_trace_t *trace, FILE *file)
{
  if (!trace->is_sorted && trace->n_lines > 0)
    qsort (trace->lines, trace->n_lines, sizeof *trace->lines, compare_lines);
  trace->is_sorted = true;
  for (size_t i = 0; i < trace->n_lines; i++)
    {
      const trace_line_t *line = &trace->lines[i];
      char vm[VALUE_BYTES] = "-";
      read_field (line->text, "vm", vm);
      const char *event = strstr (line->text, " event=");
      fprintf (file, "%+10.6f  %-16s %s\n", line->time - trace->lines[0].time,
               vm, event ? event + 1 : line->text);
    }
}

typedef struct outcome_text
{
  const char *outcome;
  const char *text;
} outcome_text_t;

static const outcome_text_t outcome_texts[] = {
  { "answered", "the answer of a backend server was passed on to the caller" },
  { "bad_request",
    "its HTTP head was malformed or ambiguous; it did not run" },
  { "too_large", "its body exceeds the size limit; it did not run" },
  { "no_route", "the configuration has no route for it; it did not run" },
  { "no_config", "the router had no configuration yet; it did not run" },
  { "no_backend", "no backend server was available for it; it did not run" },
  { "overload", "admission control refused it: it could not have started in "
                "time; it did not run" },
  { "too_late", "others used all places for so long that its answer would "
                "have missed the target latency; it did not run" },
  { "refused", "the backend servers refused it before they started; it did "
               "not run" },
  { "memory",
    "the router's memory for request bodies was used up; it did not run" },
  { "stopping", "the router was stopping; it did not run" },
  { "resting", "all backend servers wanted a rest until after its deadline; "
               "it did not run" },
  { "quarantined", "it is quarantined because it crashed backend servers "
                   "before; it did not run" },
  { "held_back",
    "it was held back after crashes of backend servers, until all "
    "routers knew of them; it did not run" },
  { "broke_off",
    "the backend server's answer was incomplete; it may have run" },
  { "timeout",
    "its deadline passed while a backend server had it; it may have run" },
  { "gone", "its caller closed the connection before the answer" },
};

const char *
request_trace_outcome (const request_trace_t *trace)
{
  for (size_t i = trace->n_lines; i > 0; i--)
    {
      char outcome[VALUE_BYTES];
      const char *line = trace->lines[i - 1].text;
      bool is_end = strstr (line, " event=request_ended ")
                    || strstr (line, " event=request_refused ");
      if (!is_end || !read_field (line, "outcome", outcome))
        continue;
      for (size_t j = 0; j < sizeof outcome_texts / sizeof outcome_texts[0];
           j++)
        if (strcmp (outcome_texts[j].outcome, outcome) == 0)
          return outcome_texts[j].text;
    }
  return "";
}
