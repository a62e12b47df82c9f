/* error: the error struct that is passed down through all modules.

   A function that can fail takes an `err_t *` as its last argument, returns
   false (or NULL) on failure, and has then filled in the struct.  Every
   error has a typed kind, a message that says what was found, and a remedy
   that says what the reader should do.  */

#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <stdbool.h>

enum
{
  ERR_MESSAGE_BYTES = 512,
  ERR_REMEDY_BYTES = 256,
};

typedef enum
{
  ERR_NONE,
  ERR_USAGE,       /* the command line */
  ERR_SETTINGS,    /* the settings file */
  ERR_SHEET,       /* an operator's sheet */
  ERR_AUTH,        /* a missing or wrong credential */
  ERR_PROTOCOL,    /* bytes that are not a legal message */
  ERR_LIMIT,       /* a bound from the settings was reached */
  ERR_CONFLICT,    /* the same number with other content */
  ERR_STALE,       /* a number or version that has passed */
  ERR_UNAVAILABLE, /* a peer or quorum can't be reached */
  ERR_TIMEOUT,     /* no answer within the bound */
  ERR_STORAGE,     /* the data folder */
  ERR_IO,          /* a socket or another system call */
  ERR_INTERNAL,    /* a broken invariant of our own */
} err_kind_t;

typedef struct err
{
  err_kind_t kind;
  char message[ERR_MESSAGE_BYTES];
  char remedy[ERR_REMEDY_BYTES];
} err_t;

/* Fill in ERR (which may be NULL) and return false, so that a caller can
   write `return err_set (...)`.  REMEDY is plain text; FORMAT is printf's.  */
bool err_set (err_t *err, err_kind_t kind, const char *remedy,
              const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/* Put "FORMAT: " before ERR's message; the kind and remedy stay.  Returns
   false.  */
bool err_prefix (err_t *err, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* The kind's name as it stands in logs and on the wire, "sheet" say.  */
const char *err_kind_name (err_kind_t kind);

#endif
