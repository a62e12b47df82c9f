#include "membership/delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* An operation's head: its kind, then two numbers, big-endian.  */
enum
{
  OP_COPY = 1,   /* first line, number of lines */
  OP_INSERT = 2, /* length, 0; the bytes follow */
  OP_HEAD_BYTES = 9,
};

typedef struct line
{
  const char *start;
  size_t length; /* with the newline */
  uint64_t hash;
  size_t number;
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
text_add (text_t *text, const char *bytes, size_t length)
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
lines_of (const text_t *text)
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

/* The number of some line of BASE (whose lines stand in SORTED by hash) that
   equals LINE, EXPECTED where that one does; base->n where none does.  */
static size_t
line_find (const lines_t *base, const line_t *sorted, const line_t *line,
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
put_number (char *bytes, size_t number)
{
  for (int i = 3; i >= 0; i--, number >>= 8)
    bytes[i] = (char)(number & 0xff);
}

static size_t
get_number (const char *bytes)
{
  size_t number = 0;
  for (int i = 0; i < 4; i++)
    number = number << 8 | (unsigned char)bytes[i];
  return number;
}

static void
put_op (text_t *delta, char kind, size_t first, size_t second)
{
  char head[OP_HEAD_BYTES];
  head[0] = kind;
  put_number (head + 1, first);
  put_number (head + 5, second);
  text_add (delta, head, sizeof head);
}

/* How many of TARGET's lines from AT on are in BASE, in a row from FIRST.  */
static size_t
run_length (const lines_t *base, size_t first, const lines_t *target,
            size_t at)
{
  size_t n = 0;
  while (first + n < base->n && at + n < target->n
         && line_equal (&base->line[first + n], &target->line[at + n]))
    n++;
  return n;
}

static void
put_insert (text_t *delta, const line_t *first, const char *end)
{
  size_t length = (size_t)(end - first->start);
  if (length == 0)
    return;
  put_op (delta, OP_INSERT, length, 0);
  text_add (delta, first->start, length);
}

text_t
delta_make (const text_t *base_text, const text_t *target_text)
{
  text_t delta = text_copy ("", 0);
  lines_t base = lines_of (base_text);
  lines_t target = lines_of (target_text);
  line_t *sorted = calloc (base.n + 1, sizeof *sorted);
  if (!sorted)
    abort ();
  memcpy (sorted, base.line, base.n * sizeof *sorted);
  qsort (sorted, base.n, sizeof *sorted, compare_lines);
  size_t expected = 0;
  size_t at = 0;
  size_t new_from = 0; /* lines from here to AT are not in the base */
  while (at < target.n)
    {
      size_t found = line_find (&base, sorted, &target.line[at], expected);
      size_t n = found < base.n ? run_length (&base, found, &target, at) : 0;
      if (n > 0)
        {
          put_insert (&delta, &target.line[new_from], target.line[at].start);
          put_op (&delta, OP_COPY, found, n);
          expected = found + n;
          new_from = at + n;
        }
      at += n > 0 ? n : 1;
    }
  if (new_from < target.n)
    put_insert (&delta, &target.line[new_from],
                target_text->bytes + target_text->length);
  free (sorted);
  free (base.line);
  free (target.line);
  return delta;
}

/* Carry out the operation at *AT.  */
static bool
apply_op (const lines_t *base, const text_t *delta, size_t limit, size_t *at,
          text_t *target)
{
  if (delta->length - *at < OP_HEAD_BYTES)
    return false;
  const char *head = delta->bytes + *at;
  size_t first = get_number (head + 1);
  size_t second = get_number (head + 5);
  *at += OP_HEAD_BYTES;
  if (head[0] == OP_INSERT)
    {
      if (first > delta->length - *at || first > limit - target->length)
        return false;
      text_add (target, delta->bytes + *at, first);
      *at += first;
      return true;
    }
  if (head[0] != OP_COPY || second == 0 || first >= base->n
      || second > base->n - first)
    return false;
  const line_t *last = &base->line[first + second - 1];
  const char *start = base->line[first].start;
  size_t length = (size_t)(last->start + last->length - start);
  if (length > limit - target->length)
    return false;
  text_add (target, start, length);
  return true;
}

bool
delta_apply (const text_t *base_text, const text_t *delta, size_t limit,
             text_t *target)
{
  lines_t base = lines_of (base_text);
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
