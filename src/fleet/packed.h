/* packed: blocks compressed with zlib, because some links between VMs carry
   only a few Mbit/s.  */

#ifndef FLEET_PACKED_H
#define FLEET_PACKED_H

#include <stdbool.h>
#include <stddef.h>

typedef struct packed
{
  char *bytes; /* allocated with malloc */
  size_t length;
} packed_t;

/* Compress LENGTH bytes.  The caller frees the bytes of the result.  */
packed_t packed_compress (const void *bytes, size_t length);

/* Decompress the output of packed_compress into *PLAIN, whose bytes the caller
   frees.  Returns false if BYTES is not a valid block, or if the plain bytes
   would be longer than LIMIT; there is nothing to free then.  */
bool packed_decompress (const void *bytes, size_t length, size_t limit,
                        packed_t *plain);

#endif
