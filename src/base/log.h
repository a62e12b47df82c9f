/* log: one line of key=value pairs for each event.

     LOG_EVENT (LOG_LEVEL_INFO, "sheet_accepted",
                LOG_U ("number", number), LOG_S ("operator", name.text));

   Strings are quoted and escaped where they hold anything but plain
   ASCII characters, so a caller's input can't forge a field or a line.  A
   value over 512 bytes is cut, a field that doesn't fit into the line is left
   out; cut=true then ends the line.

   An event that repeats is written at most LOG_BURST times a second.  Of those
   held back the newest is written when the second is over, and the number of
   the others stands in it as suppressed=N.  Thread-safe.

   After log_start a thread of its own writes to standard output, and no caller
   waits for it: where LOG_QUEUE_LINES lines wait, further ones are dropped and
   counted in an event log_dropped.  Without log_start each line goes to
   standard error at once.  */

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

enum
{
  LOG_BURST = 400, /* lines a second of one event */
  LOG_QUEUE_LINES = 8192,
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

/* EVENT must be a string that lives as long as the process.  At least one
   field follows.  */
#define LOG_EVENT(level, event, ...)                                          \
  log_write ((level), (event), (const log_field_t[]){ __VA_ARGS__ },          \
             sizeof ((const log_field_t[]){ __VA_ARGS__ })                    \
                 / sizeof (log_field_t))

/* Set once at start: lines below LEVEL are dropped; PROGRAM and VM stand in
   every line.  */
void log_open (const char *program, const char *vm, log_level_t level);

/* Start the thread that writes to standard output.  False with ERR_IO, and the
   log goes on as before.  */
bool log_start (err_t *err);

/* Write what waits, and end the thread.  */
void log_stop (void);

void log_write (log_level_t level, const char *event,
                const log_field_t *fields, size_t n_fields);

/* Write ERR as an event: kind, message and remedy.  */
void log_error (log_level_t level, const char *event, const err_t *err);

/* Format one line into BUFFER, cut at SIZE; returns its length.  For tests
   and tools.  */
size_t log_format (char *buffer, size_t size, const char *event,
                   const log_field_t *fields, size_t n_fields);

#endif
