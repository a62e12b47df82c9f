/* delta: the difference between two texts by whole lines.

   A delta is a row of operations: copy N lines of the base from line L on,
   or insert bytes.  Pure.  */

#ifndef MEMBERSHIP_DELTA_H
#define MEMBERSHIP_DELTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes on the heap; TEXT may be NULL where LENGTH is 0.  */
typedef struct text
{
  char *bytes;
  size_t length;
} text_t;

text_t text_copy (const char *bytes, size_t length);
void text_clear (text_t *text);
uint64_t text_checksum (const text_t *text);

/* The delta that makes TARGET from BASE; the caller's.  */
text_t delta_make (const text_t *base, const text_t *target);

/* Fill in *TARGET, which is then the caller's.  False where DELTA is no legal
   delta of BASE or the result would pass LIMIT bytes.  */
bool delta_apply (const text_t *base, const text_t *delta, size_t limit,
                  text_t *target);

#endif
