#include "router/body_stream.h"

#include <stdlib.h>
#include <string.h>

struct body_stream
{
  uint64_t length;
  size_t begin; /* in BYTES, which is used in a circle */
  size_t n;     /* bytes held */
  char bytes[BODY_STREAM_BYTES];
};

body_stream_t *
body_stream_new (uint64_t length)
{
  body_stream_t *stream = malloc (sizeof *stream);
  if (!stream)
    abort ();
  stream->length = length;
  stream->begin = 0;
  stream->n = 0;
  return stream;
}

void
body_stream_free (body_stream_t *stream)
{
  free (stream);
}

uint64_t
body_stream_length (const body_stream_t *stream)
{
  return stream->length;
}

bool
body_stream_is_empty (const body_stream_t *stream)
{
  return stream->n == 0;
}

size_t
body_stream_room (const body_stream_t *stream)
{
  return sizeof stream->bytes - stream->n;
}

/* How many of N bytes from AT on come before the end of the circle.  */
static size_t
n_before_end (size_t at, size_t n)
{
  size_t left = BODY_STREAM_BYTES - at;
  return n < left ? n : left;
}

void
body_stream_put (body_stream_t *stream, const char *bytes, size_t n)
{
  if (n > body_stream_room (stream))
    abort ();
  size_t end = (stream->begin + stream->n) % sizeof stream->bytes;
  size_t first = n_before_end (end, n);
  memcpy (stream->bytes + end, bytes, first);
  memcpy (stream->bytes, bytes + first, n - first);
  stream->n += n;
}

size_t
body_stream_take (body_stream_t *stream, char *bytes, size_t n)
{
  if (n > stream->n)
    n = stream->n;
  size_t first = n_before_end (stream->begin, n);
  memcpy (bytes, stream->bytes + stream->begin, first);
  memcpy (bytes + first, stream->bytes, n - first);
  stream->begin = (stream->begin + n) % sizeof stream->bytes;
  stream->n -= n;
  return n;
}
