#include "membership/delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Header of an operation: its kind (1 byte), then two 32-bit big-endian
   numbers.  */
enum
{
  OP_COPY = 1,   /* first line, number of lines */
  OP_INSERT = 2, /* length in bytes, 0; the bytes follow */
  OP_HEADER_BYTES = 9,
};

typedef struct line
{
  const char *start;
  size_t length; /* including the newline, if any */
  uint64_t hash;
  size_t number; /* index in the text */
} line_t;

typedef struct lines
{
  line_t *line;
  size_t n;
} lines_t;

text_t
text_copy (const char *bytes, size_t length)
{
  text_t text = { .bytes = malloc (length + 1), .length = length };
  if (!text.bytes)
    abort ();
  if (length > 0)
    memcpy (text.bytes, bytes, length);
  text.bytes[length] = '\0';
  return text;
}

void
text_clear (text_t *text)
{
  free (text->bytes);
  *text = (text_t){ 0 };
}

uint64_t
text_checksum (const text_t *text)
{
  return XXH3_64bits (text->bytes, text->length);
}

static void
text_append (text_t *text, const char *bytes, size_t length)
{
  if (length == 0)
    return;
  char *grown = realloc (text->bytes, text->length + length + 1);
  if (!grown)
    abort ();
  memcpy (grown + text->length, bytes, length);
  text->bytes = grown;
  text->length += length;
  text->bytes[text->length] = '\0';
}

static lines_t
split_lines (const text_t *text)
{
  size_t n = 0;
  for (size_t i = 0; i < text->length; i++)
    n += text->bytes[i] == '\n';
  lines_t lines = { .line = calloc (n + 1, sizeof (line_t)) };
  if (!lines.line)
    abort ();
  for (size_t at = 0; at < text->length;)
    {
      const char *start = text->bytes + at;
      const char *end = memchr (start, '\n', text->length - at);
      size_t length = end ? (size_t)(end - start) + 1 : text->length - at;
      lines.line[lines.n] = (line_t){ .start = start,
                                      .length = length,
                                      .hash = XXH3_64bits (start, length),
                                      .number = lines.n };
      lines.n++;
      at += length;
    }
  return lines;
}

static int
compare_lines (const void *a, const void *b)
{
  const line_t *x = a;
  const line_t *y = b;
  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

static bool
line_equal (const line_t *a, const line_t *b)
{
  return a->hash == b->hash && a->length == b->length
         && memcmp (a->start, b->start, a->length) == 0;
}

/* The index of a line of BASE that equals LINE: EXPECTED if that one does.
   SORTED holds BASE's lines ordered by hash.  Returns base->n if none was
   found.  */
static size_t
find_line (const lines_t *base, const line_t *sorted, const line_t *line,
           size_t expected)
{
  if (expected < base->n && line_equal (&base->line[expected], line))
    return expected;
  size_t low = 0;
  size_t high = base->n;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (sorted[middle].hash < line->hash)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < base->n && line_equal (&sorted[low], line))
    return sorted[low].number;
  return base->n;
}

static void
write_number (char *bytes, size_t number)
{
  for (int i = 3; i >= 0; i--, number >>= 8)
    bytes[i] = (char)(number & 0xff);
}

static size_t
read_number (const char *bytes)
{
  size_t number = 0;
  for (int i = 0; i < 4; i++)
    number = number << 8 | (unsigned char)bytes[i];
  return number;
}

static void
append_op (text_t *delta, char kind, size_t first, size_t second)
{
  char header[OP_HEADER_BYTES];
  header[0] = kind;
  write_number (header + 1, first);
  write_number (header + 5, second);
  text_append (delta, header, sizeof header);
}

/* The number of consecutive lines of TARGET from AT on that equal those of
   BASE from FIRST on.  */
static size_t
matching_run (const lines_t *base, size_t first, const lines_t *target,
              size_t at)
{
  size_t n = 0;
  while (first + n < base->n && at + n < target->n
         && line_equal (&base->line[first + n], &target->line[at + n]))
    n++;
  return n;
}

static void
append_insert (text_t *delta, const line_t *first, const char *end)
{
  size_t length = (size_t)(end - first->start);
  if (length == 0)
    return;
  append_op (delta, OP_INSERT, length, 0);
  text_append (delta, first->start, length);
}

text_t
delta_make (const text_t *base_text, const text_t *target_text)
{
  text_t delta = text_copy ("", 0);
  lines_t base = split_lines (base_text);
  lines_t target = split_lines (target_text);
  line_t *sorted = calloc (base.n + 1, sizeof *sorted);
  if (!sorted)
    abort ();
  memcpy (sorted, base.line, base.n * sizeof *sorted);
  qsort (sorted, base.n, sizeof *sorted, compare_lines);
  size_t expected = 0;
  size_t at = 0;
  size_t insert_from = 0; /* lines from here up to AT are not in the base */
  while (at < target.n)
    {
      size_t found = find_line (&base, sorted, &target.line[at], expected);
      size_t n = found < base.n ? matching_run (&base, found, &target, at) : 0;
      if (n > 0)
        {
          append_insert (&delta, &target.line[insert_from],
                         target.line[at].start);
          append_op (&delta, OP_COPY, found, n);
          expected = found + n;
          insert_from = at + n;
        }
      at += n > 0 ? n : 1;
    }
  if (insert_from < target.n)
    append_insert (&delta, &target.line[insert_from],
                   target_text->bytes + target_text->length);
  free (sorted);
  free (base.line);
  free (target.line);
  return delta;
}

/* Apply the operation at offset *AT of DELTA, and advance *AT past it.  */
static bool
apply_op (const lines_t *base, const text_t *delta, size_t limit, size_t *at,
          text_t *target)
{
  if (delta->length - *at < OP_HEADER_BYTES)
    return false;
  const char *header = delta->bytes + *at;
  size_t first = read_number (header + 1);
  size_t second = read_number (header + 5);
  *at += OP_HEADER_BYTES;
  if (header[0] == OP_INSERT)
    {
      if (first > delta->length - *at || first > limit - target->length)
        return false;
      text_append (target, delta->bytes + *at, first);
      *at += first;
      return true;
    }
  if (header[0] != OP_COPY || second == 0 || first >= base->n
      || second > base->n - first)
    return false;
  const line_t *last = &base->line[first + second - 1];
  const char *start = base->line[first].start;
  size_t length = (size_t)(last->start + last->length - start);
  if (length > limit - target->length)
    return false;
  text_append (target, start, length);
  return true;
}

bool
delta_apply (const text_t *base_text, const text_t *delta, size_t limit,
             text_t *target)
{
  lines_t base = split_lines (base_text);
  text_t result = text_copy ("", 0);
  bool ok = true;
  size_t at = 0;
  while (ok && at < delta->length)
    ok = apply_op (&base, delta, limit, &at, &result);
  free (base.line);
  if (ok)
    *target = result;
  else
    text_clear (&result);
  return ok;
}
