#include "router/response_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/log.h"
#include "base/number.h"
#include "platform_api.h"

enum
{
  LOAD_MAX = BACKEND_SLOTS_MAX, /* requests that a load report may tell */
  COLD_MSEC_MAX = 3600 * 1000,
  REST_SECONDS_MAX = 24 * 3600,
  LIMIT_UNITS = 1000,   /* of notice_field_t, in one request a second */
  BODY_ROOM_MIN = 2048, /* bytes */
};

void
backend_response_clear (backend_response_t *response)
{
  for (size_t i = 0; i < response->n_headers; i++)
    free (response->headers[i].name);
  free (response->body);
  if (response->held_bytes > 0)
    body_budget_resize (response->budget, response->held_kind,
                        response->held_bytes, 0);
  *response = (backend_response_t){ 0 };
}

/* Give the body a buffer of CAPACITY bytes; its first one is of FIRST_KIND.
   False if the budget does not allow that, or memory is short.  */
static bool
resize_body (response_reader_t *reader, body_kind_t first_kind,
             size_t capacity)
{
  backend_response_t *response = &reader->response;
  size_t before = response->held_bytes;
  body_kind_t kind = before > 0 ? response->held_kind : first_kind;
  if (!body_budget_resize (reader->budget, kind, before, capacity))
    return false;
  char *resized = realloc (response->body, capacity);
  if (!resized)
    {
      body_budget_resize (reader->budget, kind, capacity, before);
      return false;
    }
  response->body = resized;
  response->held_bytes = capacity;
  response->held_kind = kind;
  response->budget = reader->budget;
  return true;
}

/* The length that the head announces; 0: none that can be read.  */
static uint64_t
announced_length (const response_reader_t *reader)
{
  const response_framing_t *framing = &reader->head.framing;
  return framing->is_invalid ? 0 : framing->length;
}

/* Make room for a body of NEEDED bytes: at once for all of it if its length is
   known.  */
static bool
grow_body (response_reader_t *reader, size_t needed)
{
  if (needed <= reader->response.held_bytes)
    return true;
  uint64_t announced = announced_length (reader);
  if (announced >= needed)
    return resize_body (reader, BODY_CERTAIN, announced);
  size_t room = needed < BODY_ROOM_MIN ? BODY_ROOM_MIN : 2 * needed;
  return resize_body (reader, BODY_GROWING, room);
}

static void
log_cut_off (const response_reader_t *reader, const char *reason)
{
  LOG_EVENT (LOG_LEVEL_WARNING, "answer_cut_off", LOG_S ("id", reader->id),
             LOG_S ("reason", reason),
             LOG_U ("head_bytes", reader->head_bytes),
             LOG_U ("body_bytes", reader->response.body_bytes));
}

/* Make room for LENGTH more bytes of the body.  */
static body_result_t
make_room (response_reader_t *reader, size_t length)
{
  const backend_response_t *response = &reader->response;
  size_t needed = response->body_bytes + length;
  if (needed > SMALL_BODY_BYTES && reader->id[0] && !response->id_matches)
    {
      log_cut_off (reader, "it is not the answer to this request");
      return BODY_REJECTED;
    }
  if (needed > RESPONSE_BYTES_MAX
      || announced_length (reader) > RESPONSE_BYTES_MAX)
    {
      log_cut_off (reader, "the body is too long");
      return BODY_REJECTED;
    }
  if (grow_body (reader, needed))
    return BODY_READ;
  if (body_budget_will_free (reader->budget))
    return BODY_MUST_WAIT;
  log_cut_off (reader, "no memory is left for large bodies");
  return BODY_REJECTED;
}

static framing_kind_t
framing_kind (const response_reader_t *reader)
{
  const answer_head_t *head = &reader->head;
  if (chunk_decoder_is_malformed (&reader->chunks))
    return FRAMING_INVALID;
  return response_framing_kind (&head->framing, reader->is_head_request,
                                head->status);
}

/* Count the data first: if it must wait, nothing may have been read.  */
static body_result_t
read_chunks (response_reader_t *reader, const char *data, size_t length)
{
  backend_response_t *response = &reader->response;
  chunk_decoder_t chunks = reader->chunks;
  size_t n = chunk_decoder_read (&chunks, data, length, NULL);
  if (chunk_decoder_is_malformed (&chunks))
    {
      reader->chunks = chunks;
      log_cut_off (reader, "the chunks of the body can't be read");
      return BODY_REJECTED;
    }
  body_result_t result = n > 0 ? make_room (reader, n) : BODY_READ;
  if (result != BODY_READ)
    return result;
  char *end = n > 0 ? response->body + response->body_bytes : NULL;
  chunk_decoder_read (&reader->chunks, data, length, end);
  response->body_bytes += n;
  return BODY_READ;
}

body_result_t
response_reader_body (response_reader_t *reader, const char *data,
                      size_t length)
{
  backend_response_t *response = &reader->response;
  if (framing_kind (reader) == FRAMING_CHUNKS)
    return read_chunks (reader, data, length);
  body_result_t result = make_room (reader, length);
  if (result != BODY_READ)
    return result;
  memcpy (response->body + response->body_bytes, data, length);
  response->body_bytes += length;
  return BODY_READ;
}

static void
judge_end (response_reader_t *reader, connection_end_t end)
{
  backend_response_t *response = &reader->response;
  const answer_head_t *head = &reader->head;
  response->status = head->status;
  response->connection_end = end;
  response->has_head = answer_head_is_final (head);
  response->is_foreign
      = response->has_head && response_reader_is_foreign (reader);
  response->framing = framing_kind (reader);
  response->announced_bytes = announced_length (reader);
  response->has_announced = head->framing.has_length
                            && !head->framing.is_invalid
                            && !head->framing.is_chunked;
  if (response->has_head)
    response->completeness = response_framing_completeness (
        &head->framing, response->framing, response->body_bytes, end);
  if (response->framing == FRAMING_CHUNKS
      && !chunk_decoder_has_ended (&reader->chunks))
    response->completeness = BODY_TRUNCATED;
}

static void
release_spare_memory (response_reader_t *reader)
{
  backend_response_t *response = &reader->response;
  if (response->held_bytes == 0 || response->held_kind == BODY_CERTAIN)
    return;
  if (response->body_bytes < response->held_bytes)
    resize_body (reader, BODY_GROWING, response->body_bytes);
  body_budget_complete (reader->budget, response->held_bytes);
  response->held_kind = BODY_CERTAIN;
}

void
response_reader_finish (response_reader_t *reader, connection_end_t end)
{
  judge_end (reader, end);
  release_spare_memory (reader);
}

/* Hop-by-hop headers are not forwarded, nor Content-Length, which is generated
   again, nor HEADER_NOT_STARTED: a response that states it is not forwarded
   unless its status contradicts it.  */
static bool
is_forwarded (const char *name)
{
  static const char *const excluded[] = {
    "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "Trailer",    "Upgrade",           "TE",
    HEADER_NOT_STARTED
  };
  for (size_t i = 0; i < sizeof excluded / sizeof excluded[0]; i++)
    if (strcasecmp (name, excluded[i]) == 0)
      return false;
  return true;
}

enum
{
  LOAD_NUMBERS_MIN = 3, /* running, waiting, slots */
  LOAD_NUMBERS_MAX = 4, /* and how long work takes, in percent */
};

/* "3,0,8" or "3,0,8,100".  */
static void
parse_load (const char *value, backend_load_t *load)
{
  uint64_t numbers[LOAD_NUMBERS_MAX] = { 0 };
  size_t n = 0;
  load->is_known = false;
  for (bool has_more = true; has_more; n++)
    {
      size_t length = strcspn (value, ",");
      if (n == LOAD_NUMBERS_MAX
          || number_parse_unsigned_span (&numbers[n], value, length, LOAD_MAX)
                 != NUMBER_OK)
        return;
      has_more = value[length] == ',';
      value += length + 1;
    }
  if (n < LOAD_NUMBERS_MIN)
    return;
  *load = (backend_load_t){ .is_known = true,
                            .running = (uint32_t)numbers[0],
                            .waiting = (uint32_t)numbers[1],
                            .slots = (uint32_t)numbers[2],
                            .pace = (uint32_t)numbers[3] };
}

/* "1500": milliseconds.  What can't be read says nothing.  */
static void
parse_cold_left (const char *value, usec_t *span)
{
  uint64_t msec;
  if (number_parse_unsigned (&msec, value, COLD_MSEC_MAX) == NUMBER_OK)
    *span = (usec_t)msec * USEC_PER_MSEC;
}

/* A response with several request ids that differ belongs to no request.  */
static void
parse_id (response_reader_t *reader, const char *value)
{
  bool is_equal = reader->id[0] && strcmp (value, reader->id) == 0;
  if (!reader->id[0] && reader->earlier_ids
      && sent_ids_may_contain (reader->earlier_ids, value))
    reader->is_of_earlier = true;
  reader->response.id_matches
      = is_equal && (!reader->has_id || reader->response.id_matches);
  reader->has_id = true;
}

static void
set_notice (notice_field_t *field, bool is_valid, int64_t value)
{
  if (!is_valid || (field->is_present && field->value != value))
    field->is_invalid = true;
  field->is_present = true;
  field->value = value;
}

/* "1".  */
static void
parse_leaving (notice_field_t *field, const char *value)
{
  set_notice (field, strcmp (value, "1") == 0, 1);
}

/* Seconds, with or without a fraction.  A date is not understood.  */
static void
parse_retry_after (notice_field_t *field, const char *value)
{
  double seconds = 0;
  bool is_valid = number_parse_decimal (&seconds, value, strlen (value),
                                        REST_SECONDS_MAX)
                  == NUMBER_OK;
  set_notice (field, is_valid, (usec_t)(seconds * (double)USEC_PER_SEC));
}

/* Requests a second, with or without a fraction.  More than BACKEND_LIMIT_MAX
   is as much as that.  */
static void
parse_limit (notice_field_t *field, const char *value)
{
  double rate = BACKEND_LIMIT_MAX;
  number_result_t result
      = number_parse_decimal (&rate, value, strlen (value), BACKEND_LIMIT_MAX);
  set_notice (field, result != NUMBER_MALFORMED,
              (int64_t)(rate * LIMIT_UNITS));
}

static void
parse_header (response_reader_t *reader, const char *name, const char *value)
{
  backend_response_t *response = &reader->response;
  if (strcasecmp (name, HEADER_REQUEST_ID) == 0)
    parse_id (reader, value);
  else if (strcasecmp (name, HEADER_NOT_STARTED) == 0)
    response->not_started = true;
  else if (strcasecmp (name, HEADER_LOAD) == 0)
    parse_load (value, &response->load);
  else if (strcasecmp (name, HEADER_LEAVING) == 0)
    parse_leaving (&reader->leaving, value);
  else if (strcasecmp (name, "Retry-After") == 0)
    parse_retry_after (&reader->retry_after, value);
  else if (strcasecmp (name, HEADER_LIMIT) == 0)
    parse_limit (&reader->limit, value);
  else if (strcasecmp (name, HEADER_STAMP) == 0)
    response->is_signed = true;
  else if (strcasecmp (name, "Content-Encoding") == 0)
    response->is_encoded = strcasecmp (value, "identity") != 0;
  else if (strcasecmp (name, HEADER_HEALTH_ID) == 0)
    snprintf (response->backend_id, sizeof response->backend_id, "%s", value);
  else if (strcasecmp (name, HEADER_COLD_LEFT) == 0)
    parse_cold_left (value, &response->cold_remaining);
}

/* Discard the headers of an informational response, which comes before the
   final one.  */
static void
reset_response (response_reader_t *reader)
{
  backend_response_clear (&reader->response);
  reader->has_id = false;
  reader->is_of_earlier = false;
  reader->leaving = (notice_field_t){ 0 };
  reader->retry_after = (notice_field_t){ 0 };
  reader->limit = (notice_field_t){ 0 };
}

/* Parse the field LINE, LENGTH bytes, and keep it if it is to be forwarded.
   False where memory is short.  */
static bool
add_field (response_reader_t *reader, const char *data, size_t length)
{
  backend_response_t *response = &reader->response;
  const char *colon = memchr (data, ':', length);
  if (!colon)
    return true;
  char *line = malloc (length + 1);
  if (!line)
    return false;
  memcpy (line, data, length);
  line[length] = '\0';
  line[colon - data] = '\0';
  char *value = line + (colon - data) + 1;
  value += strspn (value, " \t");
  size_t end = strcspn (value, "\r\n");
  while (end > 0 && (value[end - 1] == ' ' || value[end - 1] == '\t'))
    end--;
  value[end] = '\0';
  parse_header (reader, line, value);
  if (is_forwarded (line))
    response->headers[response->n_headers++]
        = (response_header_t){ .name = line, .value = value };
  else
    free (line);
  return true;
}

/* The value of FIELD; 0 if it is not there or not understood, which is
   counted.  */
static int64_t
notice_value (response_reader_t *reader, const notice_field_t *field)
{
  reader->response.n_invalid_notices += field->is_invalid;
  return field->is_invalid ? 0 : field->value;
}

static limit_statement_t
limit_statement (response_reader_t *reader)
{
  int64_t value = notice_value (reader, &reader->limit);
  if (!reader->limit.is_present)
    return (limit_statement_t){ .kind = LIMIT_NOT_NAMED };
  if (reader->limit.is_invalid)
    return (limit_statement_t){ .kind = LIMIT_UNREADABLE };
  return (limit_statement_t){ .kind = LIMIT_NAMED,
                              .rate = (double)value / LIMIT_UNITS };
}

static void
end_head (response_reader_t *reader)
{
  backend_response_t *response = &reader->response;
  response->is_leaving = notice_value (reader, &reader->leaving) > 0;
  response->rest = notice_value (reader, &reader->retry_after);
  response->limit = limit_statement (reader);
}

bool
response_reader_is_foreign (const response_reader_t *reader)
{
  bool is_of_other
      = reader->id[0] ? !reader->response.id_matches : reader->is_of_earlier;
  return reader->head.has_ended && is_of_other;
}

/* Where a body ends must be certain: what libcurl makes of a length that can't
   be read is a part of it.  */
static bool
has_readable_framing (const response_reader_t *reader)
{
  if (!answer_head_is_final (&reader->head)
      || framing_kind (reader) != FRAMING_INVALID)
    return true;
  log_cut_off (reader, "the length of the body can't be read");
  return false;
}

bool
response_reader_head (response_reader_t *reader, const char *data,
                      size_t length)
{
  backend_response_t *response = &reader->response;
  reader->head_bytes += length;
  if (reader->head_bytes > RESPONSE_HEAD_BYTES_MAX
      || response->n_headers == RESPONSE_HEADERS_MAX)
    {
      log_cut_off (reader, "the head is too long");
      return false;
    }
  switch (answer_head_next (&reader->head, data, length))
    {
    case HEAD_LINE_STATUS:
      reset_response (reader);
      return true;
    case HEAD_LINE_FIELD:
      return add_field (reader, data, length);
    case HEAD_LINE_END:
      end_head (reader);
      return has_readable_framing (reader);
    case HEAD_LINE_TRAILER:
      return true;
    case HEAD_LINE_MALFORMED:
      break;
    }
  log_cut_off (reader, "the head is malformed");
  return false;
}
