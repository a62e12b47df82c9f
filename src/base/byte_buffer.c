#include "base/byte_buffer.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CAPACITY_MIN = 256,
};

static void
reserve (byte_buffer_t *buffer, size_t capacity)
{
  if (capacity <= buffer->capacity)
    return;
  size_t grown = buffer->capacity ? 2 * buffer->capacity : CAPACITY_MIN;
  if (grown < capacity)
    grown = capacity;
  char *bytes = realloc (buffer->bytes, grown);
  if (!bytes)
    abort ();
  buffer->bytes = bytes;
  buffer->capacity = grown;
}

bool
byte_buffer_append (byte_buffer_t *buffer, const char *data, size_t n,
                    size_t length_max)
{
  if (buffer->length > length_max || n > length_max - buffer->length)
    return false;
  reserve (buffer, buffer->length + n + 1);
  memcpy (buffer->bytes + buffer->length, data, n);
  buffer->length += n;
  buffer->bytes[buffer->length] = '\0';
  return true;
}

char *
byte_buffer_take (byte_buffer_t *buffer)
{
  char *bytes = buffer->bytes;
  *buffer = (byte_buffer_t){ 0 };
  return bytes;
}
