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
  TAIL_BYTES = 64,   /* reserved in a line for cut= and suppressed= */
  VALUE_BYTES = 512, /* limit for one value, after escaping */
  ESCAPE_BYTES = 4,  /* the longest escape: \\xHH */
  EVENT_SLOTS = 256,
};

static const char cut_field[] = " cut=true";

/* How long the writer thread lets lines accumulate before it writes them, so
   that it wakes up less often.  */
#define BATCH_DELAY (40 * USEC_PER_MSEC)
/* How long the end of the process waits for the writer thread, whose output
   may no longer be read.  */
#define STOP_WAIT USEC_PER_SEC
/* The longest wait of the writer thread without a signal.  */
#define IDLE_WAIT (10 * USEC_PER_SEC)

typedef struct event_rate
{
  const char *event;   /* compared by content, not by pointer */
  usec_t window_start; /* start of the second that N_WRITTEN counts */
  uint32_t n_written;  /* lines written in that second */
  uint64_t suppressed; /* lines discarded, without HELD_LINE */
  char *held_line;     /* newest line above the rate, or NULL; malloc'd */
} event_rate_t;

/* One line that is queued for the writer thread.  */
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
  bool stopping;
  bool has_ended;      /* the writer thread */
  size_t n_held_lines; /* number of rates with a HELD_LINE */
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
  bool overflowed; /* some text did not fit */
} line_t;

static void
line_char (line_t *line, char c)
{
  if (line->length + 1 < line->size)
    line->text[line->length++] = c;
  else
    line->overflowed = true;
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

/* Append TEXT in quotes, cut at VALUE_BYTES.  Returns false if it was cut.  */
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

/* Append FIELD, or nothing if it does not fit into the line.  Returns false if
   the field was left out or its value was cut.  */
static bool
line_field (line_t *line, const log_field_t *field)
{
  size_t start = line->length;
  line_char (line, ' ');
  line_text (line, field->key);
  line_char (line, '=');
  bool complete = line_value (line, field);
  if (!line->overflowed)
    return complete;
  line->length = start;
  line->overflowed = false;
  return false;
}

/* Append EVENT and its fields, leaving TAIL_BYTES of the line free; then
   append cut=true if a field was cut or left out.  */
static void
line_event (line_t *line, const char *event, const log_field_t *fields,
            size_t n_fields)
{
  size_t size = line->size;
  bool complete = true;
  line->size = size > TAIL_BYTES ? size - TAIL_BYTES : 1;
  line_text (line, "event=");
  line_text (line, event);
  for (size_t i = 0; i < n_fields; i++)
    complete = line_field (line, &fields[i]) && complete;
  line->size = size;
  if (!complete)
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

/* Count one line of RATE's event at the time NOW.  Returns false if the line
   exceeds LOG_BURST.  */
static bool
rate_admit (event_rate_t *rate, usec_t now)
{
  if (now - rate->window_start >= USEC_PER_SEC)
    {
      rate->window_start = now;
      rate->n_written = 0;
    }
  if (rate->n_written >= LOG_BURST)
    return false;
  rate->n_written++;
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

/* Write TEXT to FD.  After a failed write, the rest is discarded.  */
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

/* Queue a line for the writer thread, or write it to standard error if there
   is none.  The lock must be held.  */
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

/* Keep LINE as RATE's held line and discard the previous one.  */
static void
hold_back (event_rate_t *rate, const line_t *line)
{
  if (rate->held_line)
    rate->suppressed++;
  else
    log_state.n_held_lines++;
  free (rate->held_line);
  rate->held_line = strndup (line->text, line->length);
}

/* Write RATE's held line, if any, with the number of discarded lines.  */
static void
release_held (event_rate_t *rate)
{
  if (!rate->held_line)
    return;
  char text[LINE_BYTES];
  line_t line = { .text = text, .size = sizeof text };
  line_text (&line, rate->held_line);
  line_finish (&line, rate->suppressed);
  emit (line.text, line.length);
  free (rate->held_line);
  rate->held_line = NULL;
  rate->suppressed = 0;
  log_state.n_held_lines--;
}

/* Write the held lines of all events whose second is over at the time NOW.  */
static void
release_due (usec_t now)
{
  for (size_t i = 0; i < EVENT_SLOTS; i++)
    if (now - log_state.rates[i].window_start >= USEC_PER_SEC)
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
  if (rate_admit (rate, now))
    {
      release_held (rate);
      line_finish (&line, 0);
      emit (line.text, line.length);
    }
  else
    hold_back (rate, &line);
  pthread_mutex_unlock (&log_state.lock);
}

/* Wait until lines are queued, then let more accumulate.  The lock must be
   held; it is released while waiting.  */
static void
wait_for_lines (void)
{
  if (log_state.n_queued == 0 && !log_state.stopping)
    clock_wait (&log_state.changed, &log_state.lock,
                log_state.n_held_lines > 0 ? USEC_PER_SEC / 4 : IDLE_WAIT);
  if (!log_state.stopping && log_state.n_queued < LOG_QUEUE_LINES / 2)
    {
      pthread_mutex_unlock (&log_state.lock);
      usleep (BATCH_DELAY);
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

/* Move all queued lines to LINES.  The lock must be held.  */
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
report_dropped (uint64_t dropped)
{
  if (dropped > 0)
    LOG_EVENT (LOG_LEVEL_WARNING, "log_dropped", LOG_U ("lines", dropped));
}

static void *
writer_run (void *closure)
{
  (void)closure;
  bool stopping = false;
  while (!stopping)
    {
      list_t lines;
      pthread_mutex_lock (&log_state.lock);
      wait_for_lines ();
      stopping = log_state.stopping;
      release_due (stopping ? INT64_MAX : clock_monotonic ());
      take_lines (&lines);
      uint64_t dropped = log_state.dropped;
      log_state.dropped = 0;
      pthread_mutex_unlock (&log_state.lock);
      write_lines (&lines);
      report_dropped (dropped);
    }
  pthread_mutex_lock (&log_state.lock);
  log_state.has_ended = true;
  pthread_cond_signal (&log_state.changed);
  pthread_mutex_unlock (&log_state.lock);
  return NULL;
}

bool
log_start (err_t *err)
{
  pthread_mutex_lock (&log_state.lock);
  log_state.stopping = false;
  log_state.has_ended = false;
  log_state.has_writer
      = pthread_create (&log_state.writer, NULL, writer_run, NULL) == 0;
  bool ok = log_state.has_writer;
  pthread_mutex_unlock (&log_state.lock);
  return ok
         || err_set (err, ERR_IO, "raise the limit of threads",
                     "can't create the log writer thread");
}

/* Wait until the writer thread has ended, up to STOP_WAIT.  Returns false if
   it has not, or if there is none.  The lock must be held.  */
static bool
wait_for_writer (void)
{
  usec_t end = clock_monotonic () + STOP_WAIT;
  usec_t now;
  while (log_state.has_writer && !log_state.has_ended
         && (now = clock_monotonic ()) < end)
    clock_wait (&log_state.changed, &log_state.lock, end - now);
  return log_state.has_writer && log_state.has_ended;
}

void
log_stop (void)
{
  pthread_mutex_lock (&log_state.lock);
  log_state.stopping = true;
  pthread_cond_signal (&log_state.changed);
  bool has_ended = wait_for_writer ();
  /* The caller may free the names, and the writer thread may still use them.
   */
  if (!has_ended)
    log_state.program = log_state.vm = "-";
  pthread_mutex_unlock (&log_state.lock);
  if (!has_ended)
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
