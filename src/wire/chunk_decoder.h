/* chunk_decoder: the body of a response in chunks (RFC 9112, section 7.1).
   Pure.

   Chunks are read strictly, since libcurl is lenient: it reads a size of
   "0x384" as 0, the last chunk, and "384x" as 384.  */

#ifndef WIRE_CHUNK_DECODER_H
#define WIRE_CHUNK_DECODER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  CHUNK_SIZE_DIGITS = 16, /* hexadecimal, at most, with leading zeros */
  CHUNK_SPARE_BYTES_MAX = 64 * 1024, /* extensions and trailers of one body */
};

typedef enum
{
  CHUNK_SIZE,
  CHUNK_EXTENSION,
  CHUNK_SIZE_LF, /* the line feed that must follow */
  CHUNK_DATA,
  CHUNK_DATA_CR,
  CHUNK_DATA_LF,
  CHUNK_TRAILER_NAME, /* or the empty line */
  CHUNK_TRAILER_VALUE,
  CHUNK_TRAILER_LF,
  CHUNK_LAST_LF,   /* of the empty line */
  CHUNK_END,       /* the body is whole */
  CHUNK_MALFORMED, /* nothing more is read */
} chunk_state_t;

/* All zero at first.  */
typedef struct chunk_decoder
{
  chunk_state_t state;
  char digits[CHUNK_SIZE_DIGITS + 1]; /* of the size that is being read */
  size_t n_digits;
  uint64_t size;     /* of the chunk, as far as it was read */
  uint64_t n_left;   /* bytes of the chunk that have not come yet */
  size_t n_name;     /* bytes of the trailer's name */
  size_t n_spare;    /* bytes of extensions and trailers */
  uint64_t n_beyond; /* bytes after the end of the body, not read */
} chunk_decoder_t;

/* Read the next LENGTH bytes of the body as they were sent.  Stores the data
   among them in BODY, which must have room for all of it, unless it is NULL.
   Returns the number of bytes of data.  */
size_t chunk_decoder_read (chunk_decoder_t *decoder, const char *bytes,
                           size_t length, char *body);

bool chunk_decoder_has_ended (const chunk_decoder_t *decoder);
bool chunk_decoder_is_malformed (const chunk_decoder_t *decoder);

#endif
