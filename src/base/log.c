#include "base/log.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/list.h"

enum
{
  LINE_BYTES = 2048,
  TAIL_BYTES = 64,   /* of a line, kept for cut= and suppressed= */
  VALUE_BYTES = 512, /* of one value, after escaping */
  ESCAPE_BYTES = 4,  /* the longest escape: \\xHH */
  EVENT_SLOTS = 256,
};

static const char cut_field[] = " cut=true";

/* How long the writer lets lines gather, so that it wakes seldom.  */
#define GATHER_SPAN (40 * USEC_PER_MSEC)
#define IDLE_SPAN (10 * USEC_PER_SEC)

typedef struct event_rate
{
  const char *event; /* compared by its text */
  usec_t second;     /* start of the counted second */
  uint32_t written;
  uint64_t suppressed; /* without LAST */
  char *last;          /* malloc'd: the newest line held back, or NULL */
} event_rate_t;

/* One line that waits for the writer.  */
typedef struct log_line
{
  list_t link;
  size_t length;
  char text[];
} log_line_t;

static struct
{
  const char *program;
  const char *vm;
  log_level_t level;
  pthread_mutex_t lock;
  event_rate_t rates[EVENT_SLOTS];
  bool has_writer;
  bool stops;
  size_t n_held; /* rates with a line held back */
  size_t n_queued;
  uint64_t dropped;
  list_t queue; /* of log_line_t */
  pthread_cond_t changed;
  pthread_t writer;
} log_state = { .program = "-",
                .vm = "-",
                .level = LOG_LEVEL_INFO,
                .lock = PTHREAD_MUTEX_INITIALIZER,
                .queue = { &log_state.queue, &log_state.queue },
                .changed = PTHREAD_COND_INITIALIZER };

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

/* Count one line of RATE's event at time NOW; false where it is over the rate.
 */
static bool
rate_take (event_rate_t *rate, usec_t now)
{
  if (now - rate->second >= USEC_PER_SEC)
    {
      rate->second = now;
      rate->written = 0;
    }
  if (rate->written >= LOG_BURST)
    return false;
  rate->written++;
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

/* Write all of TEXT to FD; what can't be written is lost.  */
static void
write_all (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t written = write (fd, text, length);
      if (written <= 0)
        return;
      text += written;
      length -= (size_t)written;
    }
}

/* Hand a line to the writer, or write it; with the lock held.  */
static void
emit (const char *text, size_t length)
{
  if (!log_state.has_writer)
    {
      write_all (STDERR_FILENO, text, length);
      return;
    }
  log_line_t *line = log_state.n_queued < LOG_QUEUE_LINES
                         ? malloc (sizeof *line + length)
                         : NULL;
  if (!line)
    {
      log_state.dropped++;
      return;
    }
  line->length = length;
  memcpy (line->text, text, length);
  list_push_back (&log_state.queue, &line->link);
  if (log_state.n_queued++ == 0)
    pthread_cond_signal (&log_state.changed);
}

static void
line_finish (line_t *line, uint64_t suppressed)
{
  if (suppressed > 0)
    line_field (line, &LOG_U ("suppressed", suppressed));
  line->text[line->length++] = '\n';
}

/* Keep LINE in place of the one that RATE held back before.  */
static void
hold_back (event_rate_t *rate, const line_t *line)
{
  if (rate->last)
    rate->suppressed++;
  else
    log_state.n_held++;
  free (rate->last);
  rate->last = strndup (line->text, line->length);
}

/* Write what RATE held back, where it held any.  */
static void
release_held (event_rate_t *rate)
{
  if (!rate->last)
    return;
  char text[LINE_BYTES];
  line_t line = { .text = text, .size = sizeof text };
  line_text (&line, rate->last);
  line_finish (&line, rate->suppressed);
  emit (line.text, line.length);
  free (rate->last);
  rate->last = NULL;
  rate->suppressed = 0;
  log_state.n_held--;
}

static void
release_due (usec_t now)
{
  for (size_t i = 0; i < EVENT_SLOTS; i++)
    if (now - log_state.rates[i].second >= USEC_PER_SEC)
      release_held (&log_state.rates[i]);
}

void
log_write (log_level_t level, const char *event, const log_field_t *fields,
           size_t n_fields)
{
  if (level < log_state.level)
    return;
  char text[LINE_BYTES];
  line_t line = { .text = text, .size = sizeof text };
  line_prefix (&line, level);
  line_event (&line, event, fields, n_fields);
  pthread_mutex_lock (&log_state.lock);
  event_rate_t *rate = rate_find (event);
  usec_t now = clock_monotonic ();
  if (rate_take (rate, now))
    {
      release_held (rate);
      line_finish (&line, 0);
      emit (line.text, line.length);
    }
  else
    hold_back (rate, &line);
  pthread_mutex_unlock (&log_state.lock);
}

/* The writer's wait; with the lock held.  */
static void
wait_for_lines (void)
{
  if (log_state.n_queued == 0 && !log_state.stops)
    clock_wait (&log_state.changed, &log_state.lock,
                log_state.n_held > 0 ? USEC_PER_SEC / 4 : IDLE_SPAN);
  if (!log_state.stops && log_state.n_queued < LOG_QUEUE_LINES / 2)
    {
      pthread_mutex_unlock (&log_state.lock);
      usleep (GATHER_SPAN);
      pthread_mutex_lock (&log_state.lock);
    }
}

static void
write_lines (list_t *lines)
{
  list_t *link;
  char text[64 * 1024];
  size_t used = 0;
  while ((link = list_pop_front (lines)))
    {
      log_line_t *line = LIST_ENTRY (link, log_line_t, link);
      if (used + line->length > sizeof text)
        {
          write_all (STDOUT_FILENO, text, used);
          used = 0;
        }
      memcpy (text + used, line->text, line->length);
      used += line->length;
      free (line);
    }
  write_all (STDOUT_FILENO, text, used);
}

/* Take all lines that wait off the queue; with the lock held.  */
static void
take_lines (list_t *lines)
{
  list_t *link;
  list_init (lines);
  while ((link = list_pop_front (&log_state.queue)))
    list_push_back (lines, link);
  log_state.n_queued = 0;
}

static void
note_dropped (uint64_t dropped)
{
  if (dropped > 0)
    LOG_EVENT (LOG_LEVEL_WARNING, "log_dropped", LOG_U ("lines", dropped));
}

static void *
writer_run (void *closure)
{
  (void)closure;
  bool stops = false;
  while (!stops)
    {
      list_t lines;
      pthread_mutex_lock (&log_state.lock);
      wait_for_lines ();
      stops = log_state.stops;
      release_due (stops ? INT64_MAX : clock_monotonic ());
      take_lines (&lines);
      uint64_t dropped = log_state.dropped;
      log_state.dropped = 0;
      pthread_mutex_unlock (&log_state.lock);
      write_lines (&lines);
      note_dropped (dropped);
    }
  return NULL;
}

bool
log_start (err_t *err)
{
  pthread_mutex_lock (&log_state.lock);
  log_state.stops = false;
  log_state.has_writer
      = pthread_create (&log_state.writer, NULL, writer_run, NULL) == 0;
  bool ok = log_state.has_writer;
  pthread_mutex_unlock (&log_state.lock);
  return ok
         || err_set (err, ERR_IO, "raise the limit of threads",
                     "no thread for the log");
}

void
log_stop (void)
{
  pthread_mutex_lock (&log_state.lock);
  bool has_writer = log_state.has_writer;
  log_state.stops = true;
  pthread_cond_signal (&log_state.changed);
  pthread_mutex_unlock (&log_state.lock);
  if (!has_writer)
    return;
  pthread_join (log_state.writer, NULL);
  pthread_mutex_lock (&log_state.lock);
  log_state.has_writer = false;
  list_t lines;
  take_lines (&lines);
  pthread_mutex_unlock (&log_state.lock);
  write_lines (&lines);
}

void
log_error (log_level_t level, const char *event, const err_t *err)
{
  LOG_EVENT (level, event, LOG_S ("kind", err_kind_name (err->kind)),
             LOG_S ("message", err->message), LOG_S ("remedy", err->remedy));
}
