/* fuzz-runs: 100000 */
/* Fuzz target: the bytes of a backend server's response, line by line as
   libcurl passes on a head, and the rest as body.  A response may count as the
   answer to the request only if a whole head bears its id and no other, and be
   left out only if it does not; memory is given back.  */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "router/foreign_response.h"
#include "router/response_reader.h"

enum
{
  BUDGET_BYTES = 1024 * 1024,
  BODY_PART_BYTES = 700,
};

static void
check (bool condition)
{
  if (!condition)
    abort ();
}

/* Read lines until the head of a final response has ended.  Returns how many
   bytes were read, or SIZE_MAX if the call has to end.  */
static size_t
read_head (response_reader_t *reader, const char *data, size_t size)
{
  size_t at = 0;
  while (at < size && !reader->head.has_ended)
    {
      const char *end = memchr (data + at, '\n', size - at);
      size_t length = end ? (size_t)(end - data) + 1 - at : size - at;
      /* A copy, so that a read beyond the line is found.  */
      char *line = malloc (length);
      check (line != NULL);
      memcpy (line, data + at, length);
      bool ok = response_reader_head (reader, line, length);
      free (line);
      if (!ok)
        return SIZE_MAX;
      at += length;
    }
  return at;
}

static void
read_body (response_reader_t *reader, const char *data, size_t size)
{
  while (size > 0)
    {
      size_t part = size < BODY_PART_BYTES ? size : BODY_PART_BYTES;
      if (response_reader_body (reader, data, part) != BODY_READ)
        return;
      data += part;
      size -= part;
    }
}

static void
check_response (const response_reader_t *reader)
{
  const backend_response_t *response = &reader->response;
  check (response->n_headers <= RESPONSE_HEADERS_MAX);
  check (response->rest >= 0 && response->cold_remaining >= 0);
  check (response->body_bytes <= response->held_bytes);
  check (!response->id_matches || reader->has_id);
  check (!response_reader_is_foreign (reader) || !response->id_matches);
  check (response->limit.rate >= 0
         && response->limit.rate <= BACKEND_LIMIT_MAX);
  if (!reader->head.has_ended)
    check (!response->is_leaving && response->rest == 0
           && response->limit.kind == LIMIT_NOT_NAMED);
}

/* What is left out as another request's response counts as one for READER too,
   which has read its head of N_HEAD bytes, SIZE_MAX if that was rejected.  */
static void
check_foreign (const response_reader_t *reader, const char *data, size_t size,
               size_t n_head)
{
  char *copy = malloc (size > 0 ? size : 1);
  check (copy != NULL);
  memcpy (copy, data, size);
  const sent_ids_t sent = { 0 };
  uint64_t n = foreign_response_bytes (copy, size, reader->id, &sent);
  free (copy);
  if (n == 0 || n_head == SIZE_MAX)
    return;
  const backend_response_t *response = &reader->response;
  check (response_reader_is_foreign (reader));
  switch (response->framing)
    {
    case FRAMING_LENGTH:
      check (n == n_head + response->announced_bytes);
      return;
    case FRAMING_NO_BODY:
      check (n == n_head);
      return;
    case FRAMING_CHUNKS:
    case FRAMING_UNTIL_CLOSE:
    case FRAMING_INVALID:
      break;
    }
  check (false);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static bool is_ready;
  if (!is_ready)
    log_open ("fuzz", "fuzz", LOG_LEVEL_ERROR);
  is_ready = true;
  body_budget_t budget = { .max = BUDGET_BYTES };
  response_reader_t *reader = calloc (1, sizeof *reader);
  check (reader != NULL);
  reader->budget = &budget;
  strcpy (reader->id, "id-1");
  const char *text = (const char *)data;
  size_t n = read_head (reader, text, size);
  if (n != SIZE_MAX)
    read_body (reader, text + n, size - n);
  response_reader_finish (reader, CONNECTION_KEPT);
  check_response (reader);
  check_foreign (reader, text, size, n);
  check (budget.growing == 0);
  backend_response_clear (&reader->response);
  check (budget.used == 0 && budget.large == 0);
  free (reader);
  return 0;
}
