/* fuzz-runs: 100000 */
/* Fuzz target: the bytes that a caller sends on a connection.  Whatever the
   sizes of the pieces in which they arrive, the same requests come of them,
   and a request that is passed on has one Host and at most one length.  The
   first byte sets the size of the pieces.  */

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "router/request_parser.h"

static void
check (bool condition)
{
  if (!condition)
    abort ();
}

static unsigned int
count_fields (const request_head_t *head, const char *name)
{
  unsigned int n = 0;
  for (size_t i = 0; i < head->n_fields; i++)
    n += strcasecmp (request_field_name (head, i), name) == 0;
  return n;
}

static void
check_head (const request_parser_t *parser)
{
  const request_head_t *head = &parser->head;
  check (count_fields (head, "Host") == 1);
  check (count_fields (head, "Content-Length")
             + count_fields (head, "Transfer-Encoding")
         <= 1);
  check (head->n_fields <= REQUEST_FIELDS_MAX);
  check (strlen (request_head_target (head)) > 0);
}

static uint64_t
mix (uint64_t hash, const char *data, size_t length)
{
  return XXH3_64bits_withSeed (data, length, hash);
}

/* A hash of all that was read of DATA in pieces of SIZE bytes.  A body is
   mixed byte by byte, since its parts depend on the pieces.  */
static uint64_t
read_in_pieces (const char *data, size_t length, size_t size)
{
  request_parser_t parser;
  request_event_t event = REQUEST_MORE;
  uint64_t hash = 0;
  request_parser_init (&parser);
  for (size_t at = 0;
       at < length && event != REQUEST_BAD && event != REQUEST_TOO_LARGE;)
    {
      size_t n_read = 0;
      size_t n = size < length - at ? size : length - at;
      event = request_parser_read (&parser, data + at, n, &n_read);
      check (n_read <= n);
      at += n_read;
      if (event == REQUEST_HEAD)
        {
          check_head (&parser);
          hash = mix (hash, parser.head.text, parser.head.n_bytes);
        }
      for (size_t i = 0; event == REQUEST_BODY && i < parser.body_bytes; i++)
        hash = mix (hash, &parser.body[i], 1);
      if (event == REQUEST_WHOLE)
        hash = mix (hash, "end", parser.keeps_alive ? 3 : 2);
    }
  if (event == REQUEST_BAD)
    hash = mix (hash, "bad", 3);
  request_parser_clear (&parser);
  return hash;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size < 2)
    return 0;
  const char *text = (const char *)data + 1;
  uint64_t whole = read_in_pieces (text, size - 1, size);
  uint64_t pieces = read_in_pieces (text, size - 1, data[0] + 1);
  check (whole == pieces);
  return 0;
}
