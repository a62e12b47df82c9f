#include "wire/response_framing.h"

#include <string.h>
#include <strings.h>

#include "base/number.h"

enum
{
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
};

/* Part of a line, not terminated by a null byte.  */
typedef struct span
{
  const char *text;
  size_t length;
} span_t;

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static span_t
trim (span_t span)
{
  while (span.length > 0 && is_blank (span.text[0]))
    {
      span.text++;
      span.length--;
    }
  while (span.length > 0 && is_blank (span.text[span.length - 1]))
    span.length--;
  return span;
}

static bool
span_equals (span_t span, const char *text)
{
  return span.length == strlen (text)
         && strncasecmp (span.text, text, span.length) == 0;
}

static void
read_length_member (response_framing_t *framing, span_t member)
{
  uint64_t length = 0;
  bool is_valid = number_parse_unsigned_span (&length, member.text,
                                              member.length, INT64_MAX)
                  == NUMBER_OK;
  if (!is_valid || (framing->has_length && framing->length != length))
    framing->is_invalid = true;
  framing->has_length = true;
  framing->length = length;
}

/* One length, or a list of equal ones.  */
static void
read_length (response_framing_t *framing, span_t value)
{
  for (;;)
    {
      const char *comma = memchr (value.text, ',', value.length);
      size_t length = comma ? (size_t)(comma - value.text) : value.length;
      read_length_member (framing, trim ((span_t){ value.text, length }));
      if (!comma)
        return;
      value.text += length + 1;
      value.length -= length + 1;
    }
}

static void
read_transfer_encoding (response_framing_t *framing, span_t value)
{
  if (framing->is_chunked || !span_equals (value, "chunked"))
    framing->is_invalid = true;
  framing->is_chunked = true;
}

/* LINE without its end.  */
static span_t
without_end (const char *line, size_t length)
{
  if (length > 0 && line[length - 1] == '\n')
    length--;
  if (length > 0 && line[length - 1] == '\r')
    length--;
  return (span_t){ line, length };
}

void
response_framing_read (response_framing_t *framing, const char *line,
                       size_t length)
{
  span_t field = without_end (line, length);
  bool was_delimiting = framing->is_delimiting;
  if (field.length > 0 && is_blank (field.text[0]))
    {
      /* The last field goes on in this line.  */
      framing->is_invalid = framing->is_invalid || was_delimiting;
      return;
    }
  framing->is_delimiting = false;
  const char *colon = memchr (field.text, ':', field.length);
  if (!colon)
    return;
  span_t name = { field.text, (size_t)(colon - field.text) };
  span_t value = trim ((span_t){ colon + 1, field.length - name.length - 1 });
  bool is_length = span_equals (trim (name), "Content-Length");
  bool is_encoding = span_equals (trim (name), "Transfer-Encoding");
  if (!is_length && !is_encoding)
    return;
  framing->is_delimiting = true;
  if (is_blank (name.text[name.length - 1]))
    framing->is_invalid = true;
  if (is_length)
    read_length (framing, value);
  else
    read_transfer_encoding (framing, value);
}

framing_kind_t
response_framing_kind (const response_framing_t *framing, bool is_head,
                       unsigned int status)
{
  if (is_head || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
    return FRAMING_NO_BODY;
  if (framing->is_invalid
      || (framing->is_chunked
          && (framing->has_length || framing->is_before_1_1)))
    return FRAMING_INVALID;
  if (framing->has_length)
    return FRAMING_LENGTH;
  return framing->is_chunked ? FRAMING_CHUNKS : FRAMING_UNTIL_CLOSE;
}

body_completeness_t
response_framing_completeness (const response_framing_t *framing,
                               framing_kind_t kind, uint64_t n_read,
                               connection_end_t end)
{
  switch (kind)
    {
    case FRAMING_NO_BODY:
    case FRAMING_CHUNKS:
      return end == CONNECTION_KEPT ? BODY_WHOLE : BODY_TRUNCATED;
    case FRAMING_LENGTH:
      return end == CONNECTION_KEPT && n_read == framing->length
                 ? BODY_WHOLE
                 : BODY_TRUNCATED;
    case FRAMING_UNTIL_CLOSE:
      return end == CONNECTION_CLOSED ? BODY_END_UNSURE : BODY_TRUNCATED;
    case FRAMING_INVALID:
      break;
    }
  return BODY_TRUNCATED;
}

const char *
framing_kind_name (framing_kind_t kind)
{
  switch (kind)
    {
    case FRAMING_NO_BODY:
      return "none";
    case FRAMING_LENGTH:
      return "length";
    case FRAMING_CHUNKS:
      return "chunks";
    case FRAMING_UNTIL_CLOSE:
      return "close";
    case FRAMING_INVALID:
      break;
    }
  return "invalid";
}

const char *
connection_end_name (connection_end_t end)
{
  switch (end)
    {
    case CONNECTION_KEPT:
      return "kept";
    case CONNECTION_CLOSED:
      return "closed";
    case CONNECTION_RESET:
      return "reset";
    case CONNECTION_LOST:
      return "lost";
    case CONNECTION_MALFORMED:
      return "malformed";
    case CONNECTION_TIMED_OUT:
      return "timeout";
    case CONNECTION_REJECTED:
      return "rejected";
    case CONNECTION_NONE:
      break;
    }
  return "none";
}
