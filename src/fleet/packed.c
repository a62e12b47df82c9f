#include "fleet/packed.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

enum
{
  PREFIX_BYTES = sizeof (uint32_t), /* length before compression, big-endian */
};

packed_t
packed_compress (const void *bytes, size_t length)
{
  uLongf room = compressBound (length);
  packed_t packed = { .bytes = malloc (PREFIX_BYTES + room) };
  if (!packed.bytes)
    abort ();
  uint32_t prefix = htonl ((uint32_t)length);
  memcpy (packed.bytes, &prefix, PREFIX_BYTES);
  if (compress2 ((Bytef *)packed.bytes + PREFIX_BYTES, &room, bytes, length,
                 Z_BEST_SPEED)
      != Z_OK)
    abort ();
  packed.length = PREFIX_BYTES + room;
  return packed;
}

bool
packed_decompress (const void *bytes, size_t length, size_t limit,
                   packed_t *plain)
{
  uint32_t prefix;
  if (length < PREFIX_BYTES)
    return false;
  memcpy (&prefix, bytes, PREFIX_BYTES);
  uLongf expected = ntohl (prefix);
  if (expected > limit)
    return false;
  plain->bytes = malloc (expected + 1);
  if (!plain->bytes)
    abort ();
  plain->length = expected;
  uLongf got = expected;
  if (uncompress ((Bytef *)plain->bytes, &got,
                  (const Bytef *)bytes + PREFIX_BYTES, length - PREFIX_BYTES)
          == Z_OK
      && got == expected)
    return true;
  free (plain->bytes);
  *plain = (packed_t){ 0 };
  return false;
}
