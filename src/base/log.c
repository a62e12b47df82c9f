#include "base/log.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/clock.h"

enum
{
  LINE_BYTES = 2048,
  TAIL_BYTES = 64,   /* of a line, kept for cut= and suppressed= */
  VALUE_BYTES = 512, /* of one value, after escaping */
  ESCAPE_BYTES = 4,  /* the longest escape: \\xHH */
  EVENT_SLOTS = 256,
};

static const char cut_field[] = " cut=true";

typedef struct event_rate
{
  const char *event; /* compared by its text */
  usec_t second;     /* start of the counted second */
  uint32_t written;
  uint64_t suppressed;
} event_rate_t;

static struct
{
  const char *program;
  const char *vm;
  log_level_t level;
  pthread_mutex_t lock;
  event_rate_t rates[EVENT_SLOTS];
} log_state = { .program = "-",
                .vm = "-",
                .level = LOG_LEVEL_INFO,
                .lock = PTHREAD_MUTEX_INITIALIZER };

typedef struct line
{
  char *text;
  size_t size;
  size_t length;
  bool full; /* something did not fit */
} line_t;

static void
line_char (line_t *line, char c)
{
  if (line->length + 1 < line->size)
    line->text[line->length++] = c;
  else
    line->full = true;
}

static void
line_text (line_t *line, const char *text)
{
  while (*text)
    line_char (line, *text++);
}

static bool
char_is_plain (char c)
{
  return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

static bool
text_is_plain (const char *text)
{
  size_t n = 0;
  while (char_is_plain (text[n]))
    n++;
  return n > 0 && n <= VALUE_BYTES && !text[n];
}

static void
line_escaped (line_t *line, char c)
{
  if (c == '"' || c == '\\')
    line_char (line, '\\');
  if (c >= ' ' && c < 0x7f)
    {
      line_char (line, c);
      return;
    }
  char escape[ESCAPE_BYTES + 1];
  snprintf (escape, sizeof escape, "\\x%02x", (unsigned char)c);
  line_text (line, escape);
}

/* TEXT in quotes, cut at VALUE_BYTES; false where it was cut.  */
static bool
line_quoted (line_t *line, const char *text)
{
  size_t end = line->length + VALUE_BYTES;
  line_char (line, '"');
  while (*text && line->length + ESCAPE_BYTES <= end)
    line_escaped (line, *text++);
  line_char (line, '"');
  return *text == '\0';
}

static bool
line_string (line_t *line, const char *text)
{
  if (!text_is_plain (text))
    return line_quoted (line, text);
  line_text (line, text);
  return true;
}

static bool
line_value (line_t *line, const log_field_t *field)
{
  char number[64];
  switch (field->kind)
    {
    case LOG_FIELD_STRING:
      return line_string (line,
                          field->value.string ? field->value.string : "");
    case LOG_FIELD_UNSIGNED:
      snprintf (number, sizeof number, "%llu",
                (unsigned long long)field->value.number);
      break;
    case LOG_FIELD_SIGNED:
      snprintf (number, sizeof number, "%lld",
                (long long)field->value.integer);
      break;
    case LOG_FIELD_REAL:
      snprintf (number, sizeof number, "%.6g", field->value.real);
      break;
    }
  line_text (line, number);
  return true;
}

/* Write the whole of FIELD, or nothing where it does not fit.  False where it
   was left out or its value was cut.  */
static bool
line_field (line_t *line, const log_field_t *field)
{
  size_t start = line->length;
  line_char (line, ' ');
  line_text (line, field->key);
  line_char (line, '=');
  bool whole = line_value (line, field);
  if (!line->full)
    return whole;
  line->length = start;
  line->full = false;
  return false;
}

/* The event and its fields, which leave room for the tail; then the tail.  */
static void
line_event (line_t *line, const char *event, const log_field_t *fields,
            size_t n_fields)
{
  size_t size = line->size;
  bool whole = true;
  line->size = size > TAIL_BYTES ? size - TAIL_BYTES : 1;
  line_text (line, "event=");
  line_text (line, event);
  for (size_t i = 0; i < n_fields; i++)
    whole = line_field (line, &fields[i]) && whole;
  line->size = size;
  if (!whole)
    line_text (line, cut_field);
}

size_t
log_format (char *buffer, size_t size, const char *event,
            const log_field_t *fields, size_t n_fields)
{
  line_t line = { .text = buffer, .size = size };
  line_event (&line, event, fields, n_fields);
  buffer[line.length] = '\0';
  return line.length;
}

void
log_open (const char *program, const char *vm, log_level_t level)
{
  log_state.program = program;
  log_state.vm = vm;
  log_state.level = level;
}

static const char *
level_name (log_level_t level)
{
  switch (level)
    {
    case LOG_LEVEL_DEBUG:
      return "debug";
    case LOG_LEVEL_INFO:
      return "info";
    case LOG_LEVEL_WARNING:
      return "warning";
    case LOG_LEVEL_ERROR:
      return "error";
    }
  return "unknown";
}

static event_rate_t *
rate_find (const char *event)
{
  size_t start = XXH3_64bits (event, strlen (event)) % EVENT_SLOTS;
  for (size_t i = 0; i < EVENT_SLOTS; i++)
    {
      event_rate_t *rate = &log_state.rates[(start + i) % EVENT_SLOTS];
      if (!rate->event)
        rate->event = event;
      if (strcmp (rate->event, event) == 0)
        return rate;
    }
  return &log_state.rates[start];
}

/* Count one line of EVENT at time NOW; false where it is over the rate.
 *SUPPRESSED is how many were held back before it.  */
static bool
rate_take (const char *event, usec_t now, uint64_t *suppressed)
{
  event_rate_t *rate = rate_find (event);
  if (now - rate->second >= USEC_PER_SEC)
    {
      rate->second = now;
      rate->written = 0;
    }
  if (rate->written >= LOG_BURST)
    {
      rate->suppressed++;
      return false;
    }
  rate->written++;
  *suppressed = rate->suppressed;
  rate->suppressed = 0;
  return true;
}

static void
line_prefix (line_t *line, log_level_t level)
{
  usec_t wall = clock_wall ();
  time_t seconds = wall / USEC_PER_SEC;
  struct tm utc;
  gmtime_r (&seconds, &utc);
  char stamp[64];
  size_t used = strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (stamp + used, sizeof stamp - used, ".%06dZ",
            (int)(wall % USEC_PER_SEC));
  const log_field_t fields[]
      = { LOG_S ("level", level_name (level)),
          LOG_S ("program", log_state.program), LOG_S ("vm", log_state.vm) };
  line_text (line, "time=");
  line_text (line, stamp);
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    line_field (line, &fields[i]);
  line_char (line, ' ');
}

void
log_write (log_level_t level, const char *event, const log_field_t *fields,
           size_t n_fields)
{
  if (level < log_state.level)
    return;
  char text[LINE_BYTES];
  line_t line = { .text = text, .size = sizeof text };
  pthread_mutex_lock (&log_state.lock);
  uint64_t suppressed = 0;
  if (rate_take (event, clock_monotonic (), &suppressed))
    {
      line_prefix (&line, level);
      line_event (&line, event, fields, n_fields);
      if (suppressed > 0)
        line_field (&line, &LOG_U ("suppressed", suppressed));
      line.text[line.length++] = '\n';
      ssize_t written = write (STDERR_FILENO, line.text, line.length);
      (void)written;
    }
  pthread_mutex_unlock (&log_state.lock);
}

void
log_error (log_level_t level, const char *event, const err_t *err)
{
  LOG_EVENT (level, event, LOG_S ("kind", err_kind_name (err->kind)),
             LOG_S ("message", err->message), LOG_S ("remedy", err->remedy));
}
