/* packed: blocks of bytes in compressed form (zlib), for links of a few
   Mbit/s.  */

#ifndef FLEET_PACKED_H
#define FLEET_PACKED_H

#include <stdbool.h>
#include <stddef.h>

typedef struct packed
{
  char *bytes; /* malloc'd */
  size_t length;
} packed_t;

/* BYTES in packed form; the caller frees its bytes.  */
packed_t packed_compress (const void *bytes, size_t length);

/* What packed_compress was given; the caller frees its bytes.  False where
   BYTES are no packed block, or would be longer than LIMIT.  */
bool packed_decompress (const void *bytes, size_t length, size_t limit,
                        packed_t *plain);

#endif
