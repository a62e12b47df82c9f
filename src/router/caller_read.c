/* caller_read: reads the requests on a caller's connection.  */

#include "router/caller_http_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "platform_api.h"

enum
{
  PIPELINE_MAX = 16, /* requests on one connection; further ones are not read
                        yet */
  /* A longer body is passed on while it comes, if its length is known.  */
  HELD_BODY_BYTES_MAX = 16 * 1024 * 1024,
};

/* The request can't be read, or not to its end: it is answered in its turn,
   and is the last.  */
static void
reject (caller_connection_t *connection, exchange_reason_t reason)
{
  exchange_t *exchange = connection->incoming;
  if (!exchange)
    exchange = caller_exchange_add (connection);
  connection->incoming = NULL;
  connection->reads_no_more = true;
  exchange->is_last = true;
  exchange->is_whole = true;
  if (!exchange->is_finished)
    caller_exchange_refuse (exchange, reason);
  caller_set_ready (connection);
}

/* Whether a body of LENGTH bytes is longer than the configuration allows.  */
static bool
is_too_long (const caller_connection_t *connection, uint64_t length)
{
  uint64_t max = connection->port->max_body_bytes;
  return length > (max > 0 ? max : HELD_BODY_BYTES_MAX);
}

/* The room for a body of NEEDED bytes that grows: more than that, so that many
   small pieces are not copied again for each, but not more than it can need.
 */
static size_t
next_capacity (const exchange_t *exchange, size_t needed)
{
  size_t capacity = exchange->body_capacity + exchange->body_capacity / 2;
  size_t most = exchange->announced_bytes >= needed
                    ? (size_t)exchange->announced_bytes
                    : HELD_BODY_BYTES_MAX;
  if (capacity < needed)
    return needed;
  return capacity < most ? capacity : most;
}

/* Give EXCHANGE's body room for CAPACITY bytes.  Returns false if the budget
   does not allow that.  */
static bool
resize_body (caller_connection_t *connection, exchange_t *exchange,
             size_t capacity)
{
  if (!body_budget_resize (connection->port->options.budget, BODY_CERTAIN,
                           exchange->body_capacity, capacity))
    return false;
  char *resized = realloc (exchange->body, capacity);
  if (!resized)
    abort ();
  exchange->body = resized;
  exchange->body_capacity = capacity;
  return true;
}

/* Pass EXCHANGE's body on while it comes.  */
static void
begin_stream (caller_connection_t *connection, exchange_t *exchange)
{
  if (!body_budget_resize (connection->port->options.budget, BODY_CERTAIN, 0,
                           BODY_STREAM_BYTES))
    {
      reject (connection, REASON_MEMORY);
      return;
    }
  exchange->stream = body_stream_new (exchange->announced_bytes);
  exchange->body_capacity = BODY_STREAM_BYTES;
  const char *id = request_head_field (&exchange->head, HEADER_REQUEST_ID);
  LOG_EVENT (LOG_LEVEL_INFO, "body_streamed", LOG_S ("id", id ? id : ""),
             LOG_U ("length", exchange->announced_bytes));
}

/* The head of CONNECTION's incoming request has come.  */
static void
begin_request (caller_connection_t *connection)
{
  exchange_t *exchange = caller_exchange_add (connection);
  connection->incoming = exchange;
  exchange->wants_continue = request_head_expects_continue (&exchange->head);
  exchange->announced_bytes = request_parser_body_length (&connection->parser);
  if (is_too_long (connection, exchange->announced_bytes))
    {
      reject (connection, REASON_TOO_LARGE);
      return;
    }
  if (exchange->announced_bytes > HELD_BODY_BYTES_MAX)
    begin_stream (connection, exchange);
  if (exchange->wants_continue || exchange->stream)
    caller_set_ready (connection);
}

/* Whether the next bytes of the body might find no room.  */
static bool
is_stream_full (const caller_connection_t *connection)
{
  const exchange_t *exchange = connection->incoming;
  return exchange && exchange->stream && !exchange->is_finished
         && body_stream_room (exchange->stream) < READ_BUFFER_BYTES;
}

static void
append_body (caller_connection_t *connection, exchange_t *exchange,
             const char *data, size_t length)
{
  size_t needed = exchange->body_bytes + length;
  if (exchange->is_finished)
    return;
  if (exchange->stream)
    {
      const caller_http_t *port = connection->port;
      body_stream_put (exchange->stream, data, length);
      if (exchange->is_dispatched)
        port->options.body_arrived (port->options.closure, exchange);
      return;
    }
  if (needed > HELD_BODY_BYTES_MAX || is_too_long (connection, needed))
    {
      reject (connection, REASON_TOO_LARGE);
      return;
    }
  if (needed > exchange->body_capacity
      && !resize_body (connection, exchange, next_capacity (exchange, needed))
      && !resize_body (connection, exchange, needed))
    {
      caller_exchange_refuse (exchange, REASON_MEMORY);
      return;
    }
  memcpy (exchange->body + exchange->body_bytes, data, length);
  exchange->body_bytes = needed;
}

static void
end_request (caller_connection_t *connection)
{
  exchange_t *exchange = connection->incoming;
  connection->incoming = NULL;
  if (!exchange->stream && exchange->body_capacity > exchange->body_bytes)
    resize_body (connection, exchange, exchange->body_bytes);
  exchange->is_whole = true;
  exchange->is_last = !connection->parser.keeps_alive;
  connection->reads_no_more = exchange->is_last;
  if (exchange->is_finished)
    caller_set_ready (connection);
  caller_dispatch (connection);
}

static void
apply_event (caller_connection_t *connection, request_event_t event)
{
  switch (event)
    {
    case REQUEST_MORE:
      break;
    case REQUEST_HEAD:
      begin_request (connection);
      break;
    case REQUEST_BODY:
      append_body (connection, connection->incoming, connection->parser.body,
                   connection->parser.body_bytes);
      break;
    case REQUEST_WHOLE:
      end_request (connection);
      break;
    case REQUEST_BAD:
      reject (connection, REASON_BAD_REQUEST);
      break;
    case REQUEST_TOO_LARGE:
      reject (connection, REASON_LONG_HEAD);
      break;
    }
}

bool
caller_may_parse (const caller_connection_t *connection)
{
  return connection->phase == CALLER_OPEN && !connection->reads_no_more
         && !caller_writes_last (connection) && !is_stream_full (connection)
         && (connection->incoming || connection->n_exchanges < PIPELINE_MAX);
}

/* Returns how much of DATA was parsed.  */
static size_t
parse (caller_connection_t *connection, const char *data, size_t length)
{
  size_t n = 0;
  while (n < length && caller_may_parse (connection))
    {
      size_t n_read = 0;
      request_event_t event = request_parser_read (
          &connection->parser, data + n, length - n, &n_read);
      n += n_read;
      apply_event (connection, event);
    }
  return n;
}

void
caller_parse_unparsed (caller_connection_t *connection)
{
  if (connection->n_unparsed == 0 || !caller_may_parse (connection))
    return;
  char *data = connection->unparsed;
  size_t length = connection->n_unparsed;
  connection->unparsed = NULL;
  connection->n_unparsed = 0;
  size_t n = parse (connection, data, length);
  if (n < length && !connection->reads_no_more)
    {
      memmove (data, data + n, length - n);
      connection->unparsed = data;
      connection->n_unparsed = length - n;
    }
  else
    free (data);
}

static void
keep_unparsed (caller_connection_t *connection, const char *data,
               size_t length)
{
  if (length == 0 || connection->reads_no_more)
    return;
  connection->unparsed = malloc (length);
  if (!connection->unparsed)
    abort ();
  memcpy (connection->unparsed, data, length);
  connection->n_unparsed = length;
}

void
caller_read_input (caller_connection_t *connection)
{
  caller_http_t *port = connection->port;
  ssize_t n = recv (connection->watch.fd, port->buffer, sizeof port->buffer,
                    MSG_DONTWAIT);
  if (n > 0)
    {
      size_t n_parsed = parse (connection, port->buffer, (size_t)n);
      keep_unparsed (connection, port->buffer + n_parsed,
                     (size_t)n - n_parsed);
    }
  else if (n == 0 || (errno != EAGAIN && errno != EINTR))
    caller_set_closed (connection);
}
