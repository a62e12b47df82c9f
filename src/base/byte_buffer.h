/* byte_buffer: bytes that arrive in pieces of any size.

   Room grows by doubling, so that the cost of many small pieces stays in
   proportion to their bytes.  The bytes are followed by a NUL that `length`
   does not count.  Zero-initialized; the owner frees `bytes`, which is NULL
   until something was appended.  */

#ifndef BASE_BYTE_BUFFER_H
#define BASE_BYTE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

typedef struct byte_buffer
{
  char *bytes; /* malloc'd */
  size_t length;
  size_t capacity; /* with the NUL */
} byte_buffer_t;

/* Append N bytes at DATA.  Returns false, and appends nothing, if BUFFER would
   hold more than LENGTH_MAX bytes.  */
bool byte_buffer_append (byte_buffer_t *buffer, const char *data, size_t n,
                         size_t length_max);

/* Hand the bytes over to the caller, who frees them, and empty BUFFER.  */
char *byte_buffer_take (byte_buffer_t *buffer);

#endif
