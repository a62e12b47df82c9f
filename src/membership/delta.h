/* delta: line-based difference between two texts.

   A delta is a sequence of operations: copy N lines of the base from line L
   on, or insert bytes.  The functions keep no state and do no I/O.  */

#ifndef MEMBERSHIP_DELTA_H
#define MEMBERSHIP_DELTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes allocated with malloc, null-terminated unless BYTES is NULL, which it
   may be where LENGTH is 0.  */
typedef struct text
{
  char *bytes;
  size_t length; /* without the terminating null byte */
} text_t;

text_t text_copy (const char *bytes, size_t length);
/* Free the bytes and reset TEXT to the empty text.  */
void text_clear (text_t *text);
uint64_t text_checksum (const text_t *text);

/* The delta that turns BASE into TARGET.  The caller releases it with
   text_clear.  */
text_t delta_make (const text_t *base, const text_t *target);

/* Apply DELTA to BASE and store the result in *TARGET, which the caller
   releases with text_clear.  Returns false, and leaves *TARGET as it is, if
   DELTA is malformed, refers to lines that BASE does not have, or the result
   would be longer than LIMIT bytes.  */
bool delta_apply (const text_t *base, const text_t *delta, size_t limit,
                  text_t *target);

#endif
