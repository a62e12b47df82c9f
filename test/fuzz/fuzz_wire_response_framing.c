/* fuzz-runs: 200000 */
/* Fuzz target: the first byte chooses the method, and what follows is a
   response, its lines passed on as libcurl does.  How its body is delimited
   and whether it is whole is compared with a second, simpler reading of the
   same bytes, which keeps lengths as text.  What follows the head is also read
   in chunks, and compared with a reading that searches for line ends.  */

#include <stdint.h>
#include <string.h>
#include <strings.h>

#include "../support/fuzz_input.h"
#include "wire/answer_head.h"
#include "wire/chunk_decoder.h"

enum
{
  TEXT_BYTES = 4200,
  LENGTH_DIGITS_MAX = 19,
  HEX_DIGITS_MAX = 16,
};

static const char length_max[] = "9223372036854775807";

/* What a simple reading makes of one head.  */
typedef struct reading
{
  size_t n_lengths;
  size_t n_encodings;
  bool is_invalid;
  bool in_delimiting;
  bool is_version_1_0;
  char length[LENGTH_DIGITS_MAX + 1]; /* without leading zeros */
} reading_t;

/* TEXT without the blanks around it, by writing into it.  */
static char *
strip (char *text)
{
  text += strspn (text, " \t");
  size_t n = strlen (text);
  while (n > 0 && strchr (" \t", text[n - 1]))
    text[--n] = '\0';
  return text;
}

static void
read_one_length (reading_t *reading, const char *text)
{
  size_t n = strlen (text);
  if (n == 0 || strspn (text, "0123456789") != n)
    {
      reading->is_invalid = true;
      return;
    }
  text += strspn (text, "0");
  n = strlen (text);
  bool is_too_large
      = n > LENGTH_DIGITS_MAX
        || (n == LENGTH_DIGITS_MAX && strcmp (text, length_max) > 0);
  bool differs = reading->n_lengths > 0 && strcmp (text, reading->length) != 0;
  if (is_too_large || differs)
    reading->is_invalid = true;
  else
    memcpy (reading->length, text, n + 1);
  reading->n_lengths++;
}

static void
read_lengths (reading_t *reading, char *value)
{
  char *rest = value;
  char *member;
  while ((member = strsep (&rest, ",")))
    read_one_length (reading, strip (member));
}

/* LINE has no line end.  */
static void
read_field (reading_t *reading, char *line)
{
  if (line[0] == ' ' || line[0] == '\t')
    {
      reading->is_invalid |= reading->in_delimiting;
      return;
    }
  reading->in_delimiting = false;
  char *colon = strchr (line, ':');
  if (!colon)
    return;
  *colon = '\0';
  size_t before = strlen (line);
  char *name = strip (line);
  bool has_blank = strlen (name) != before;
  char *value = strip (colon + 1);
  bool is_length = strcasecmp (name, "content-length") == 0;
  if (!is_length && strcasecmp (name, "transfer-encoding") != 0)
    return;
  reading->in_delimiting = true;
  reading->is_invalid |= has_blank;
  if (is_length)
    {
      read_lengths (reading, value);
      return;
    }
  reading->n_encodings++;
  reading->is_invalid |= strcasecmp (value, "chunked") != 0;
}

static framing_kind_t
kind_of (const reading_t *reading, bool is_head, unsigned int status)
{
  if (is_head || status == 204 || status == 304)
    return FRAMING_NO_BODY;
  if (reading->is_invalid || reading->n_encodings > 1)
    return FRAMING_INVALID;
  if (reading->n_encodings > 0
      && (reading->n_lengths > 0 || reading->is_version_1_0))
    return FRAMING_INVALID;
  if (reading->n_encodings > 0)
    return FRAMING_CHUNKS;
  return reading->n_lengths > 0 ? FRAMING_LENGTH : FRAMING_UNTIL_CLOSE;
}

/* Whether N bytes are just as many as the head says.  */
static bool
is_length (const reading_t *reading, uint64_t n)
{
  char text[24] = "";
  if (n > 0)
    snprintf (text, sizeof text, "%llu", (unsigned long long)n);
  return strcmp (text, reading->length) == 0;
}

static void
check_completeness (const answer_head_t *head, const reading_t *reading,
                    framing_kind_t kind, uint64_t n_read)
{
  for (connection_end_t end = CONNECTION_KEPT; end <= CONNECTION_NONE; end++)
    {
      body_completeness_t told
          = response_framing_completeness (&head->framing, kind, n_read, end);
      bool is_whole
          = end == CONNECTION_KEPT
            && (kind == FRAMING_NO_BODY || kind == FRAMING_CHUNKS
                || (kind == FRAMING_LENGTH && is_length (reading, n_read)));
      bool is_unsure = kind == FRAMING_UNTIL_CLOSE && end == CONNECTION_CLOSED;
      require ((told == BODY_WHOLE) == is_whole, "whole if it is known");
      require ((told == BODY_END_UNSURE) == is_unsure, "not known");
    }
}

/* Copy LINE to TEXT, without its end.  A null byte becomes a letter: like it,
   it is part of no number and no name that counts.  */
static void
copy_line (char text[TEXT_BYTES], const char *line, size_t length)
{
  memcpy (text, line, length);
  text[length] = '\0';
  for (size_t i = 0; i < length; i++)
    if (text[i] == '\0')
      text[i] = '?';
  if (length > 0 && text[length - 1] == '\n')
    text[--length] = '\0';
  if (length > 0 && text[length - 1] == '\r')
    text[length - 1] = '\0';
}

static bool
is_text (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (((unsigned char)text[i] < ' ' && text[i] != '\t') || text[i] == 0x7f)
      return false;
  return true;
}

/* The length of the line at TEXT, without its end "\r\n"; SIZE_MAX if there is
   no such line, or if it holds what no line may.  */
static size_t
line_at (const char *text, size_t left)
{
  const char *end = memmem (text, left, "\r\n", 2);
  size_t length = end ? (size_t)(end - text) : SIZE_MAX;
  return end && is_text (text, length) ? length : SIZE_MAX;
}

static bool
is_trailer (const char *line, size_t length)
{
  static const char token[]
      = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
        "!#$%&'*+-.^_`|~";
  char text[TEXT_BYTES];
  memcpy (text, line, length);
  text[length] = '\0';
  size_t n = strspn (text, token);
  return n > 0 && text[n] == ':';
}

/* The size in the line at TEXT; UINT64_MAX if it can't be read.  */
static uint64_t
size_in (const char *line, size_t length)
{
  char text[TEXT_BYTES];
  memcpy (text, line, length);
  text[length] = '\0';
  size_t n = strspn (text, "0123456789abcdefABCDEF");
  if (n == 0 || n > HEX_DIGITS_MAX || (n < length && text[n] != ';'))
    return UINT64_MAX;
  uint64_t size = strtoull (text, NULL, 16);
  return size > INT64_MAX ? UINT64_MAX : size;
}

/* How many bytes from TEXT are a whole body in chunks, with its data in DATA;
   0 if none are.  */
static size_t
read_chunks (const char *text, size_t left, char *data, size_t *n_data)
{
  const char *begin = text;
  for (;;)
    {
      size_t length = line_at (text, left);
      uint64_t size = length == SIZE_MAX ? UINT64_MAX : size_in (text, length);
      if (size == UINT64_MAX)
        return 0;
      text += length + 2;
      left -= length + 2;
      if (size == 0)
        break;
      if (size > left || left - size < 2
          || memcmp (text + size, "\r\n", 2) != 0)
        return 0;
      memcpy (data + *n_data, text, size);
      *n_data += size;
      text += size + 2;
      left -= size + 2;
    }
  for (;;)
    {
      size_t length = line_at (text, left);
      if (length == 0)
        return (size_t)(text - begin) + 2;
      if (length == SIZE_MAX || !is_trailer (text, length))
        return 0;
      text += length + 2;
      left -= length + 2;
    }
}

/* Read the N bytes at TEXT with the decoder, in two parts.  */
static void
check_chunks (const char *text, size_t n, size_t cut)
{
  static char data[TEXT_BYTES];
  size_t n_data = 0;
  size_t n_whole = read_chunks (text, n, data, &n_data);
  char *copy = malloc (n + 1);
  char *body = malloc (n + 1);
  require (copy && body, "memory");
  memcpy (copy, text, n);
  chunk_decoder_t decoder = { 0 };
  size_t n_read = chunk_decoder_read (&decoder, copy, cut, body);
  n_read += chunk_decoder_read (&decoder, copy + cut, n - cut, body + n_read);
  require (chunk_decoder_has_ended (&decoder) == (n_whole > 0), "the chunks");
  if (n_whole > 0)
    {
      require (decoder.n_beyond == n - n_whole, "the bytes beyond");
      require (n_read == n_data && memcmp (body, data, n_data) == 0, "data");
    }
  free (copy);
  free (body);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static char text[TEXT_BYTES];
  if (size < 2 || size >= TEXT_BYTES)
    return 0;
  bool is_head = data[0] == 'H';
  const char *line = (const char *)data + 1;
  size_t left = size - 1;
  answer_head_t head = { 0 };
  reading_t reading = { 0 };
  while (left > 0 && !answer_head_is_final (&head))
    {
      const char *end = memchr (line, '\n', left);
      size_t length = end ? (size_t)(end - line) + 1 : left;
      char *copy = malloc (length);
      require (copy != NULL, "memory");
      memcpy (copy, line, length);
      head_line_t kind = answer_head_next (&head, copy, length);
      free (copy);
      copy_line (text, line, length);
      if (kind == HEAD_LINE_MALFORMED)
        return 0;
      if (kind == HEAD_LINE_STATUS)
        reading = (reading_t){ .is_version_1_0
                               = strncmp (text, "HTTP/1.0 ", 9) == 0 };
      if (kind == HEAD_LINE_FIELD)
        read_field (&reading, text);
      require ((kind == HEAD_LINE_END) <= (text[0] == '\0'), "the empty line");
      line += length;
      left -= length;
    }
  if (!answer_head_is_final (&head))
    return 0;
  check_chunks (line, left, left > 0 ? data[size - 1] % left : 0);
  framing_kind_t kind
      = response_framing_kind (&head.framing, is_head, head.status);
  require (kind == kind_of (&reading, is_head, head.status), "the framing");
  check_completeness (&head, &reading, kind, left);
  check_completeness (&head, &reading, kind, head.framing.length);
  check_completeness (&head, &reading, kind, head.framing.length - 1);
  return 0;
}
