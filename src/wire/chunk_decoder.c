#include "wire/chunk_decoder.h"

#include <string.h>

#include "base/number.h"

static bool
is_between (char c, char first, char last)
{
  return c >= first && c <= last;
}

/* Whether C may be part of a field's name.  */
static bool
is_token (char c)
{
  static const char marks[] = "!#$%&'*+-.^_`|~";
  return is_between (c, '0', '9') || is_between (c, 'a', 'z')
         || is_between (c, 'A', 'Z') || (c && strchr (marks, c));
}

/* Whether C may be part of an extension or of a field's value.  */
static bool
is_text (char c)
{
  unsigned char byte = (unsigned char)c;
  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

static chunk_state_t
if_equal (char c, char expected, chunk_state_t next)
{
  return c == expected ? next : CHUNK_MALFORMED;
}

/* The size has ended before C.  */
static chunk_state_t
end_size (chunk_decoder_t *decoder, char c)
{
  if (decoder->n_digits == 0 || decoder->size > INT64_MAX)
    return CHUNK_MALFORMED;
  decoder->n_digits = 0;
  decoder->n_left = decoder->size;
  return c == ';' ? CHUNK_EXTENSION : CHUNK_SIZE_LF;
}

static chunk_state_t
read_size (chunk_decoder_t *decoder, char c)
{
  if (c == ';' || c == '\r')
    return end_size (decoder, c);
  if (decoder->n_digits == CHUNK_SIZE_DIGITS)
    return CHUNK_MALFORMED;
  decoder->digits[decoder->n_digits++] = c;
  decoder->digits[decoder->n_digits] = '\0';
  return number_parse_hex (&decoder->size, decoder->digits, decoder->n_digits)
                 == NUMBER_OK
             ? CHUNK_SIZE
             : CHUNK_MALFORMED;
}

/* C is part of an extension or of a trailer.  */
static chunk_state_t
read_spare (chunk_decoder_t *decoder, bool is_allowed, chunk_state_t next)
{
  decoder->n_spare++;
  return is_allowed && decoder->n_spare <= CHUNK_SPARE_BYTES_MAX
             ? next
             : CHUNK_MALFORMED;
}

static chunk_state_t
read_trailer_name (chunk_decoder_t *decoder, char c)
{
  size_t n_name = decoder->n_name++;
  if (c == '\r' && n_name == 0)
    return CHUNK_LAST_LF;
  if (c != ':')
    return read_spare (decoder, is_token (c), CHUNK_TRAILER_NAME);
  decoder->n_name = 0;
  return read_spare (decoder, n_name > 0, CHUNK_TRAILER_VALUE);
}

static chunk_state_t
next_state (chunk_decoder_t *decoder, char c)
{
  switch (decoder->state)
    {
    case CHUNK_SIZE:
      return read_size (decoder, c);
    case CHUNK_EXTENSION:
      return c == '\r' ? CHUNK_SIZE_LF
                       : read_spare (decoder, is_text (c), CHUNK_EXTENSION);
    case CHUNK_SIZE_LF:
      return if_equal (c, '\n',
                       decoder->size > 0 ? CHUNK_DATA : CHUNK_TRAILER_NAME);
    case CHUNK_DATA_CR:
      return if_equal (c, '\r', CHUNK_DATA_LF);
    case CHUNK_DATA_LF:
      return if_equal (c, '\n', CHUNK_SIZE);
    case CHUNK_TRAILER_NAME:
      return read_trailer_name (decoder, c);
    case CHUNK_TRAILER_VALUE:
      return c == '\r'
                 ? CHUNK_TRAILER_LF
                 : read_spare (decoder, is_text (c), CHUNK_TRAILER_VALUE);
    case CHUNK_TRAILER_LF:
      return if_equal (c, '\n', CHUNK_TRAILER_NAME);
    case CHUNK_LAST_LF:
      return if_equal (c, '\n', CHUNK_END);
    case CHUNK_DATA:
    case CHUNK_END:
    case CHUNK_MALFORMED:
      break;
    }
  return CHUNK_MALFORMED;
}

/* Take the data of the chunk at BYTES.  Returns the number of its bytes.  */
static size_t
take_data (chunk_decoder_t *decoder, const char *bytes, size_t length,
           char *body)
{
  size_t n = decoder->n_left < length ? (size_t)decoder->n_left : length;
  if (body)
    memcpy (body, bytes, n);
  decoder->n_left -= n;
  if (decoder->n_left == 0)
    decoder->state = CHUNK_DATA_CR;
  return n;
}

size_t
chunk_decoder_read (chunk_decoder_t *decoder, const char *bytes, size_t length,
                    char *body)
{
  size_t n_data = 0;
  size_t i = 0;
  while (i < length && decoder->state < CHUNK_END)
    {
      if (decoder->state != CHUNK_DATA)
        {
          decoder->state = next_state (decoder, bytes[i++]);
          continue;
        }
      size_t n = take_data (decoder, bytes + i, length - i,
                            body ? body + n_data : NULL);
      n_data += n;
      i += n;
    }
  if (decoder->state == CHUNK_END)
    decoder->n_beyond += length - i;
  return n_data;
}

bool
chunk_decoder_has_ended (const chunk_decoder_t *decoder)
{
  return decoder->state == CHUNK_END;
}

bool
chunk_decoder_is_malformed (const chunk_decoder_t *decoder)
{
  return decoder->state == CHUNK_MALFORMED;
}
