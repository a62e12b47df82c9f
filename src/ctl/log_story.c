#include "ctl/log_story.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  LINES_MAX = 4096,
  VALUE_BYTES = 256,
};

typedef struct story_line
{
  double time; /* seconds since 1970 */
  char *text;  /* malloc'd */
} story_line_t;

struct log_story
{
  const char *id;
  size_t n_lines;
  story_line_t *lines;
  bool is_sorted;
};

log_story_t *
log_story_new (const char *id)
{
  log_story_t *story = calloc (1, sizeof *story);
  if (!story)
    abort ();
  story->id = id;
  return story;
}

void
log_story_free (log_story_t *story)
{
  for (size_t i = 0; i < story->n_lines; i++)
    free (story->lines[i].text);
  free (story->lines);
  free (story);
}

/* The value of KEY in LINE, without quotes; false where it has none.  */
static bool
read_field (const char *line, const char *key, char value[VALUE_BYTES])
{
  size_t length = strlen (key);
  for (const char *at = line; (at = strstr (at, key)); at += length)
    {
      if ((at > line && at[-1] != ' ') || at[length] != '=')
        continue;
      const char *from = at + length + 1;
      bool is_quoted = *from == '"';
      if (is_quoted)
        from++;
      size_t n = strcspn (from, is_quoted ? "\"" : " \n");
      if (n >= VALUE_BYTES)
        n = VALUE_BYTES - 1;
      memcpy (value, from, n);
      value[n] = '\0';
      return true;
    }
  return false;
}

/* "2026-01-09T22:51:02.484742Z" */
static bool
read_time (const char *line, double *seconds)
{
  char text[VALUE_BYTES];
  struct tm utc = { 0 };
  if (!read_field (line, "time", text))
    return false;
  const char *rest = strptime (text, "%Y-%m-%dT%H:%M:%S", &utc);
  if (!rest)
    return false;
  *seconds = (double)timegm (&utc) + strtod (rest, NULL);
  return true;
}

bool
log_story_add (log_story_t *story, const char *line)
{
  char id[VALUE_BYTES];
  story_line_t told = { 0 };
  if (!strstr (line, story->id) || !read_field (line, "id", id)
      || strcmp (id, story->id) != 0 || !read_time (line, &told.time)
      || story->n_lines == LINES_MAX)
    return false;
  story_line_t *grown
      = realloc (story->lines, (story->n_lines + 1) * sizeof *story->lines);
  told.text = strdup (line);
  if (!grown || !told.text)
    abort ();
  told.text[strcspn (told.text, "\n")] = '\0';
  story->lines = grown;
  story->lines[story->n_lines++] = told;
  story->is_sorted = false;
  return true;
}

size_t
log_story_count (const log_story_t *story)
{
  return story->n_lines;
}

static int
compare_lines (const void *a, const void *b)
{
  double x = ((const story_line_t *)a)->time;
  double y = ((const story_line_t *)b)->time;
  return (x > y) - (x < y);
}

void
log_story_print (log_story_t *story, FILE *file)
{
  if (!story->is_sorted && story->n_lines > 0)
    qsort (story->lines, story->n_lines, sizeof *story->lines, compare_lines);
  story->is_sorted = true;
  for (size_t i = 0; i < story->n_lines; i++)
    {
      const story_line_t *line = &story->lines[i];
      char vm[VALUE_BYTES] = "-";
      read_field (line->text, "vm", vm);
      const char *event = strstr (line->text, " event=");
      fprintf (file, "%+10.6f  %-16s %s\n", line->time - story->lines[0].time,
               vm, event ? event + 1 : line->text);
    }
}

typedef struct sentence
{
  const char *outcome;
  const char *text;
} sentence_t;

static const sentence_t sentences[] = {
  { "answered", "a backend server's answer was passed on" },
  { "bad_request", "its head could be read in two ways; it did not run" },
  { "too_large", "its body is over the limit; it did not run" },
  { "no_route", "the configuration has no route for it; it did not run" },
  { "no_config", "the router had no configuration yet; it did not run" },
  { "no_backend", "no backend server may take it; it did not run" },
  { "overload", "its turn would have come too late; it did not run" },
  { "refused", "the backend servers refused it before they started; it did "
               "not run" },
  { "memory", "the router held too many bodies; it did not run" },
  { "stopping", "the router was about to stop; it did not run" },
  { "quarantine", "it crashed backend servers before; it did not run" },
  { "broke_off", "the backend server's answer did not come whole; it may have "
                 "run" },
  { "timeout", "its time was over while a backend server had it; it may have "
               "run" },
  { "gone", "its caller left before the answer" },
};

const char *
log_story_outcome (const log_story_t *story)
{
  for (size_t i = story->n_lines; i > 0; i--)
    {
      char outcome[VALUE_BYTES];
      const char *line = story->lines[i - 1].text;
      bool is_end = strstr (line, " event=request_ended ")
                    || strstr (line, " event=request_refused ");
      if (!is_end || !read_field (line, "outcome", outcome))
        continue;
      for (size_t j = 0; j < sizeof sentences / sizeof sentences[0]; j++)
        if (strcmp (sentences[j].outcome, outcome) == 0)
          return sentences[j].text;
    }
  return "";
}
