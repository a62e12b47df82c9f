/* body_stream: the part of a request's body that has come from the caller and
   is not yet passed on, where the body is too long to be held whole.

   It has a bound: the caller is not read on while there is no room.  What was
   taken is gone, so such a request can't be sent again.  Used by the traffic
   thread only.  */

#ifndef ROUTER_BODY_STREAM_H
#define ROUTER_BODY_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BODY_STREAM_BYTES = 128 * 1024, /* that are held at once */
};

typedef struct body_stream body_stream_t;

/* LENGTH: of the whole body, in bytes.  */
body_stream_t *body_stream_new (uint64_t length);
void body_stream_free (body_stream_t *stream);

uint64_t body_stream_length (const body_stream_t *stream);

bool body_stream_is_empty (const body_stream_t *stream);

/* How many bytes may be put now.  */
size_t body_stream_room (const body_stream_t *stream);

/* Add N bytes, for which there must be room.  */
void body_stream_put (body_stream_t *stream, const char *bytes, size_t n);

/* Move up to N bytes to BYTES.  Returns how many.  */
size_t body_stream_take (body_stream_t *stream, char *bytes, size_t n);

#endif
