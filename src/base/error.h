/* error: the error struct that all modules use to report failures.

   A function that can fail takes an `err_t *` as its last argument.  On
   failure it fills in the struct and returns false (or NULL).  Every error has
   a kind, a message that says what was wrong, and a remedy that says what the
   operator should do.  */

#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>

enum
{
  ERR_MESSAGE_BYTES = 512, /* with the closing NUL; longer text is cut */
  ERR_REMEDY_BYTES = 256,  /* likewise */
};

typedef enum
{
  ERR_NONE,
  ERR_USAGE,       /* invalid command line */
  ERR_SETTINGS,    /* invalid settings file */
  ERR_SHEET,       /* invalid sheet from an operator */
  ERR_AUTH,        /* missing or wrong credential */
  ERR_PROTOCOL,    /* malformed or unexpected message */
  ERR_LIMIT,       /* a limit, from the settings or built in */
  ERR_CONFLICT,    /* same number as before, other content */
  ERR_STALE,       /* superseded number or version */
  ERR_UNAVAILABLE, /* no peer or no quorum is reachable */
  ERR_TIMEOUT,     /* no answer before the deadline */
  ERR_STORAGE,     /* failure in the data folder */
  ERR_NO_SPACE,    /* the data folder's disk is full, which may pass */
  ERR_IO,          /* failed socket or other system call */
  ERR_INTERNAL,    /* violated internal invariant */
} err_kind_t;

typedef struct err
{
  err_kind_t kind;
  char message[ERR_MESSAGE_BYTES];
  char remedy[ERR_REMEDY_BYTES];
} err_t;

/* Fill in ERR (which may be NULL) and return false, so that a function can
   write `return err_set (...)`.  REMEDY is plain text; FORMAT is a printf
   format for the message.  */
bool err_set (err_t *err, err_kind_t kind, const char *remedy,
              const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/* Prepend the formatted text and ": " to ERR's message; kind and remedy stay
   unchanged.  ERR may be NULL.  Returns false.  */
bool err_prefix (err_t *err, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Returns the kind's name in logs and on the wire, for example "sheet".  */
const char *err_kind_name (err_kind_t kind);

#endif
