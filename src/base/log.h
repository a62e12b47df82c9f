/* log: structured log lines of key=value pairs, one line for each event.

     LOG_EVENT (LOG_LEVEL_INFO, "sheet_accepted",
                LOG_U ("number", number), LOG_S ("operator", name.text));

   A string value is quoted and escaped unless it is not empty and consists of
   printable ASCII characters other than space, '"', '=' and '\\', so that
   input from outside can't inject a field or a line.  A value of more than 512
   bytes is cut, and a field that doesn't fit into the line is left out;
   cut=true is then appended to the line.

   At most LOG_BURST lines a second are written for each event name.  The
   newest of the lines above that rate is written when the second is over, with
   the number of the discarded lines as suppressed=N.  Any thread may log.

   After log_start, a writer thread writes the lines to standard output, and
   log calls don't block on the output.  When LOG_QUEUE_LINES lines are queued,
   further lines are dropped and their number is logged as an event
   log_dropped.  Without a writer thread, each line is written to standard
   error at once.  */

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

enum
{
  LOG_BURST = 400,        /* lines a second for one event name */
  LOG_QUEUE_LINES = 8192, /* lines queued for the writer thread */
};

typedef enum
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_ERROR,
} log_level_t;

typedef enum
{
  LOG_FIELD_STRING,
  LOG_FIELD_UNSIGNED,
  LOG_FIELD_SIGNED,
  LOG_FIELD_REAL,
} log_field_kind_t;

typedef struct log_field
{
  const char *key;
  log_field_kind_t kind;
  union
  {
    const char *string;
    uint64_t number;
    int64_t integer;
    double real;
  } value;
} log_field_t;

#define LOG_S(k, v)                                                           \
  (log_field_t) { .key = (k), .kind = LOG_FIELD_STRING, .value.string = (v) }
#define LOG_U(k, v)                                                           \
  (log_field_t) { .key = (k), .kind = LOG_FIELD_UNSIGNED, .value.number = (v) }
#define LOG_I(k, v)                                                           \
  (log_field_t) { .key = (k), .kind = LOG_FIELD_SIGNED, .value.integer = (v) }
#define LOG_F(k, v)                                                           \
  (log_field_t) { .key = (k), .kind = LOG_FIELD_REAL, .value.real = (v) }

/* Log EVENT with one or more fields, made by LOG_S (string), LOG_U (unsigned),
   LOG_I (signed) and LOG_F (real).  EVENT must stay valid until the process
   ends; field values are copied.  */
#define LOG_EVENT(level, event, ...)                                          \
  log_write ((level), (event), (const log_field_t[]){ __VA_ARGS__ },          \
             sizeof ((const log_field_t[]){ __VA_ARGS__ })                    \
                 / sizeof (log_field_t))

/* Set the log options, once at start-up, before other threads log.  Lines
   below LEVEL are discarded.  PROGRAM and VM are written in every line and
   must stay valid until the process ends.  */
void log_open (const char *program, const char *vm, log_level_t level);

/* Start the thread that writes to standard output.  On failure, returns false
   with ERR_IO, and lines still go to standard error.  */
bool log_start (err_t *err);

/* Write all queued lines and end the writer thread.  If standard output is not
   read, returns after 1 s, and the writer thread goes on; may be called again.
 */
void log_stop (void);

/* Log EVENT with an array of fields; see LOG_EVENT.  */
void log_write (log_level_t level, const char *event,
                const log_field_t *fields, size_t n_fields);

/* Log EVENT with the kind, message and remedy of ERR as its fields.  */
void log_error (log_level_t level, const char *event, const err_t *err);

/* Format an event and its fields, without time and level, into BUFFER of SIZE
   bytes, NUL-terminated; what doesn't fit is left out.  Returns the length.
   For tests and tools.  */
size_t log_format (char *buffer, size_t size, const char *event,
                   const log_field_t *fields, size_t n_fields);

#endif
