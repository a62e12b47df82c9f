#include "router/response_head.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_api.h"
#include "router/carry_headers.h"
#include "wire/response_framing.h"

/* Text that grows.  */
typedef struct buffer
{
  char *text; /* malloc'd */
  size_t length;
  size_t n_allocated;
} buffer_t;

static void
append (buffer_t *buffer, const char *text)
{
  size_t length = strlen (text);
  if (length == 0)
    return;
  size_t needed = buffer->length + length;
  if (needed > buffer->n_allocated)
    {
      buffer->n_allocated = 2 * needed + 512;
      buffer->text = realloc (buffer->text, buffer->n_allocated);
      if (!buffer->text)
        abort ();
    }
  memcpy (buffer->text + buffer->length, text, length);
  buffer->length += length;
}

static void
append_header (buffer_t *buffer, const char *name, const char *value)
{
  append (buffer, name);
  append (buffer, ": ");
  append (buffer, value);
  append (buffer, "\r\n");
}

static void
append_length (buffer_t *buffer, uint64_t n)
{
  char text[32];
  snprintf (text, sizeof text, "%llu", (unsigned long long)n);
  append_header (buffer, "Content-Length", text);
}

static void
append_status (buffer_t *buffer, unsigned int status)
{
  char line[64];
  const char *phrase = MHD_get_reason_phrase_for (status);
  snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n", status,
            phrase ? phrase : "");
  append (buffer, line);
}

static bool
is_from_backend (const exchange_t *exchange)
{
  return exchange->reason == REASON_NONE;
}

static bool
is_head_request (const exchange_t *exchange)
{
  return strcmp (exchange->method, "HEAD") == 0;
}

static bool
has_no_body (const exchange_t *exchange)
{
  return is_head_request (exchange)
         || (is_from_backend (exchange)
             && exchange->response.framing == FRAMING_NO_BODY);
}

bool
response_ends_by_close (const exchange_t *exchange)
{
  return is_from_backend (exchange)
         && exchange->response.framing == FRAMING_UNTIL_CLOSE;
}

const char *
response_framing_label (const exchange_t *exchange)
{
  if (exchange->reason == REASON_GONE)
    return "";
  if (has_no_body (exchange))
    return framing_kind_name (FRAMING_NO_BODY);
  return framing_kind_name (response_ends_by_close (exchange)
                                ? FRAMING_UNTIL_CLOSE
                                : FRAMING_LENGTH);
}

/* Callers are told the length that the backend server told, of a body that is
   not sent, or none.  */
static void
append_backend_head (buffer_t *buffer, const exchange_t *exchange)
{
  const backend_response_t *answer = &exchange->response;
  append_status (buffer, answer->status);
  for (size_t i = 0; i < answer->n_headers; i++)
    append_header (buffer, answer->headers[i].name, answer->headers[i].value);
  if (!has_no_body (exchange))
    {
      if (!response_ends_by_close (exchange))
        append_length (buffer, answer->body_bytes);
    }
  else if (answer->has_announced && answer->status != MHD_HTTP_NO_CONTENT)
    append_length (buffer, answer->announced_bytes);
}

static void
append_own_head (buffer_t *buffer, const exchange_t *exchange)
{
  append_status (buffer, exchange_reason_status (exchange->reason));
  if (exchange->id[0])
    append_header (buffer, HEADER_REQUEST_ID, exchange->id);
  if (exchange->reason == REASON_NO_ACCOUNT)
    append_header (buffer, "WWW-Authenticate", KEY_SCHEME);
  if (exchange->reason == REASON_CUT_OFF)
    append_header (buffer, HEADER_CUT_OFF, "1");
  if (exchange->retry_after > 0)
    {
      char seconds[32];
      snprintf (seconds, sizeof seconds, "%.3f",
                (double)exchange->retry_after / (double)USEC_PER_SEC);
      append_header (buffer, "Retry-After", seconds);
    }
  append_length (buffer, strlen (exchange_reason_name (exchange->reason)) + 1);
}

/* The text that follows the head of a response of the router's own.  */
static void
append_own_body (buffer_t *buffer, const exchange_t *exchange)
{
  append (buffer, exchange_reason_name (exchange->reason));
  append (buffer, "\n");
}

caller_response_t
response_head_build (const exchange_t *exchange, bool closes)
{
  buffer_t buffer = { 0 };
  caller_response_t response
      = { .ends_by_close = response_ends_by_close (exchange) };
  response.closes = closes || response.ends_by_close;
  if (is_from_backend (exchange))
    append_backend_head (&buffer, exchange);
  else
    append_own_head (&buffer, exchange);
  if (response.closes)
    append_header (&buffer, "Connection", "close");
  append (&buffer, "\r\n");
  if (!has_no_body (exchange) && is_from_backend (exchange))
    {
      response.body = exchange->response.body;
      response.body_bytes = exchange->response.body_bytes;
    }
  else if (!has_no_body (exchange))
    append_own_body (&buffer, exchange);
  response.head = buffer.text;
  response.head_bytes = buffer.length;
  return response;
}
