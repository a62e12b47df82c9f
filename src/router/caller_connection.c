#include "router/caller_connection.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform_api.h"
#include "router/caller_http_internal.h"
#include "wire/socket_close.h"

enum
{
  PIPELINE_MAX = 16, /* requests on one connection; further ones are not read
                        yet */
  BODY_BYTES_MAX = 16 * 1024 * 1024,
};

/* --- Exchanges ---------------------------------------------------------- */

static exchange_t *
first_exchange (const caller_connection_t *connection)
{
  if (list_empty (&connection->exchanges))
    return NULL;
  return LIST_ENTRY (connection->exchanges.next, exchange_t, connection_link);
}

/* A new exchange for the request that the parser is reading.  */
static exchange_t *
add_exchange (caller_connection_t *connection)
{
  exchange_t *exchange = calloc (1, sizeof *exchange);
  if (!exchange)
    abort ();
  list_init (&exchange->link);
  exchange->connection = connection;
  exchange->received_at = clock_monotonic ();
  exchange->head = connection->parser.head;
  connection->parser.head = (request_head_t){ 0 };
  exchange->target = request_head_target (&exchange->head);
  exchange->host = request_head_field (&exchange->head, "Host");
  snprintf (exchange->method, sizeof exchange->method, "%s",
            request_parser_method (&connection->parser));
  list_push_back (&connection->exchanges, &exchange->connection_link);
  connection->n_exchanges++;
  connection->port->n_open++;
  return exchange;
}

/* EXCHANGE is freed by the port later, as its caller may still use it.  */
static void
remove_exchange (caller_connection_t *connection, exchange_t *exchange)
{
  list_remove (&exchange->connection_link);
  list_push_back (&connection->port->ended, &exchange->connection_link);
  connection->n_exchanges--;
  connection->port->n_open--;
}

void
caller_exchange_free (caller_http_t *port, exchange_t *exchange)
{
  body_budget_resize (port->options.budget, BODY_CERTAIN, exchange->body_bytes,
                      0);
  backend_response_clear (&exchange->response);
  fleet_snapshot_unref (exchange->snapshot);
  request_head_clear (&exchange->head);
  free (exchange->body);
  free (exchange);
}

static void
set_ready (caller_connection_t *connection)
{
  list_remove (&connection->ready_link);
  list_push_back (&connection->port->ready, &connection->ready_link);
}

/* Answer EXCHANGE for REASON without passing it on.  */
static void
refuse (exchange_t *exchange, exchange_reason_t reason)
{
  const char *id = request_head_field (&exchange->head, HEADER_REQUEST_ID);
  exchange->reason = reason;
  exchange->is_finished = true;
  LOG_EVENT (LOG_LEVEL_INFO, "request_refused", LOG_S ("id", id ? id : ""),
             LOG_S ("outcome", exchange_reason_name (reason)),
             LOG_U ("status", exchange_reason_status (reason)),
             LOG_U ("body_bytes", exchange->body_bytes));
}

static bool
is_safe (const exchange_t *exchange)
{
  return strcmp (exchange->method, "GET") == 0
         || strcmp (exchange->method, "HEAD") == 0;
}

/* Whether EXCHANGE, all before which are safe, may be passed on before they
   are answered.  */
static bool
may_overlap (const caller_connection_t *connection, const exchange_t *exchange)
{
  const caller_http_t *port = connection->port;
  return !port->keep_alive_disabled && is_safe (exchange)
         && port->options.may_overlap (port->options.closure, exchange);
}

/* Pass on the requests that need not wait for others.  */
static void
dispatch (caller_connection_t *connection)
{
  const caller_http_t *port = connection->port;
  bool is_first = true;
  LIST_FOREACH (link, &connection->exchanges)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, connection_link);
    if (!exchange->is_whole)
      return;
    if (!exchange->is_dispatched && !exchange->is_finished)
      {
        if (!is_first && !may_overlap (connection, exchange))
          return;
        exchange->is_dispatched = true;
        port->options.request_received (port->options.closure, exchange);
      }
    if (!is_safe (exchange))
      return;
    is_first = false;
  }
}

/* The caller can't be answered any more: abort what is under way.  */
static void
abort_exchanges (caller_connection_t *connection)
{
  const caller_http_t *port = connection->port;
  LIST_FOREACH (link, &connection->exchanges)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, connection_link);
    if (exchange->is_dispatched && !exchange->is_finished)
      port->options.caller_gone (port->options.closure, exchange);
    remove_exchange (connection, exchange);
  }
  connection->incoming = NULL;
}

static void
set_closed (caller_connection_t *connection)
{
  abort_exchanges (connection);
  connection->phase = CALLER_CLOSED;
  set_ready (connection);
}

/* --- Reading ------------------------------------------------------------ */

/* The request can't be read, or not to its end: it is answered in its turn,
   and is the last.  */
static void
reject (caller_connection_t *connection, exchange_reason_t reason)
{
  exchange_t *exchange = connection->incoming;
  if (!exchange)
    exchange = add_exchange (connection);
  connection->incoming = NULL;
  connection->reads_no_more = true;
  exchange->is_last = true;
  exchange->is_whole = true;
  if (!exchange->is_finished)
    refuse (exchange, reason);
  set_ready (connection);
}

static void
append_body (caller_connection_t *connection, exchange_t *exchange,
             const char *data, size_t length)
{
  size_t needed = exchange->body_bytes + length;
  if (exchange->is_finished)
    return;
  if (needed > BODY_BYTES_MAX)
    {
      reject (connection, REASON_TOO_LARGE);
      return;
    }
  if (!body_budget_resize (connection->port->options.budget, BODY_CERTAIN,
                           exchange->body_bytes, needed))
    {
      refuse (exchange, REASON_MEMORY);
      return;
    }
  char *grown = realloc (exchange->body, needed);
  if (!grown)
    abort ();
  exchange->body = grown;
  memcpy (exchange->body + exchange->body_bytes, data, length);
  exchange->body_bytes = needed;
}

static void
end_request (caller_connection_t *connection)
{
  exchange_t *exchange = connection->incoming;
  connection->incoming = NULL;
  exchange->is_whole = true;
  exchange->is_last = !connection->parser.keeps_alive;
  connection->reads_no_more = exchange->is_last;
  if (exchange->is_finished)
    set_ready (connection);
  dispatch (connection);
}

static void
apply_event (caller_connection_t *connection, request_event_t event)
{
  switch (event)
    {
    case REQUEST_MORE:
      break;
    case REQUEST_HEAD:
      connection->incoming = add_exchange (connection);
      connection->incoming->wants_continue
          = request_head_expects_continue (&connection->incoming->head);
      if (connection->incoming->wants_continue)
        set_ready (connection);
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

/* Whether what has arrived may be parsed: the request under way, or a further
   one.  */
static bool
may_parse (const caller_connection_t *connection)
{
  return connection->phase == CALLER_OPEN && !connection->reads_no_more
         && (connection->incoming || connection->n_exchanges < PIPELINE_MAX);
}

/* Returns how much of DATA was parsed.  */
static size_t
parse (caller_connection_t *connection, const char *data, size_t length)
{
  size_t n = 0;
  while (n < length && may_parse (connection))
    {
      size_t n_read = 0;
      request_event_t event = request_parser_read (
          &connection->parser, data + n, length - n, &n_read);
      n += n_read;
      apply_event (connection, event);
    }
  return n;
}

/* Parse what was read before.  */
static void
parse_unparsed (caller_connection_t *connection)
{
  if (connection->n_unparsed == 0 || !may_parse (connection))
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

static void
drop_input (caller_connection_t *connection)
{
  caller_http_t *port = connection->port;
  ssize_t n = recv (connection->watch.fd, port->buffer, sizeof port->buffer,
                    MSG_DONTWAIT);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    set_closed (connection);
}

static void
read_input (caller_connection_t *connection)
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
    set_closed (connection);
}

/* --- Responding --------------------------------------------------------- */

/* Whether a request behind EXCHANGE was passed on.  */
static bool
has_dispatched_behind (const caller_connection_t *connection,
                       const exchange_t *exchange)
{
  for (const list_t *link = exchange->connection_link.next;
       link != &connection->exchanges; link = link->next)
    if (LIST_ENTRY (link, exchange_t, connection_link)->is_dispatched)
      return true;
  return false;
}

/* Whether the connection ends after the response to EXCHANGE.  */
static bool
closes_after (const caller_connection_t *connection,
              const exchange_t *exchange)
{
  return exchange->is_last
         || (connection->port->keep_alive_disabled
             && !has_dispatched_behind (connection, exchange));
}

/* A response that ends with its connection would take the responses behind it
   along, which are on their way: this one is given up, as one that is not
   whole.  */
static void
keep_connection (const caller_connection_t *connection, exchange_t *exchange)
{
  if (!response_ends_by_close (exchange)
      || !has_dispatched_behind (connection, exchange))
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "response_given_up",
             LOG_S ("id", exchange->id),
             LOG_S ("reason", "others on its connection are under way"));
  exchange->reason = REASON_BROKE_OFF;
}

static void
begin_response (caller_connection_t *connection, exchange_t *exchange)
{
  keep_connection (connection, exchange);
  connection->response
      = response_head_build (exchange, closes_after (connection, exchange));
  connection->is_writing = true;
  connection->n_written = 0;
  if (connection->response.ends_by_close)
    socket_close_by_reset (connection->watch.fd);
}

/* Write what is left of the response.  Returns false if the caller is gone. */
static bool
write_response (caller_connection_t *connection)
{
  const caller_response_t *response = &connection->response;
  size_t in_head = connection->n_written < response->head_bytes
                       ? response->head_bytes - connection->n_written
                       : 0;
  size_t body_done = connection->n_written + in_head - response->head_bytes;
  struct iovec parts[]
      = { { .iov_base = response->head + response->head_bytes - in_head,
            .iov_len = in_head },
          { .iov_base = (char *)(uintptr_t)response->body + body_done,
            .iov_len = response->body_bytes - body_done } };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = 2 };
  ssize_t n
      = sendmsg (connection->watch.fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n >= 0)
    connection->n_written += (size_t)n;
  return n >= 0 || errno == EAGAIN || errno == EINTR;
}

static bool
is_written (const caller_connection_t *connection)
{
  return connection->n_written
         == connection->response.head_bytes + connection->response.body_bytes;
}

/* The last response is written: end the connection after it.  What the caller
   still sends is read and dropped, since the kernel would reset a connection
   with unread bytes, and drop what the caller has not got yet.  */
static void
begin_closing (caller_connection_t *connection)
{
  abort_exchanges (connection);
  connection->reads_no_more = true;
  connection->phase = CALLER_CLOSING;
  connection->active_at = clock_monotonic ();
  list_remove (&connection->link);
  list_push_back (&connection->port->closing, &connection->link);
  socket_close_in_order (connection->watch.fd);
  if (shutdown (connection->watch.fd, SHUT_WR) != 0)
    set_closed (connection);
}

static void
end_response (caller_connection_t *connection, exchange_t *exchange)
{
  bool closes = connection->response.closes;
  free (connection->response.head);
  connection->response = (caller_response_t){ 0 };
  connection->is_writing = false;
  remove_exchange (connection, exchange);
  if (closes)
    begin_closing (connection);
}

/* Send the responses that are due, in order, as far as the socket takes
   them.  */
static void
send_responses (caller_connection_t *connection)
{
  while (connection->phase == CALLER_OPEN)
    {
      exchange_t *exchange = first_exchange (connection);
      if (!exchange || !exchange->is_finished || !exchange->is_whole)
        return;
      if (!connection->is_writing)
        begin_response (connection, exchange);
      if (!write_response (connection))
        {
          set_closed (connection);
          return;
        }
      if (!is_written (connection))
        return;
      end_response (connection, exchange);
    }
}

/* Tell the caller to go on, if it waits for that with the body of the first
   request.  */
static void
send_continue (caller_connection_t *connection)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
  exchange_t *exchange = first_exchange (connection);
  if (!exchange || !exchange->wants_continue || exchange->is_whole)
    return;
  exchange->wants_continue = false;
  if (exchange->body_bytes == 0
      && send (connection->watch.fd, text, sizeof text - 1,
               MSG_NOSIGNAL | MSG_DONTWAIT)
             != (ssize_t)sizeof text - 1)
    set_closed (connection);
}

/* --- Events ------------------------------------------------------------- */

static void
watch_for (caller_connection_t *connection)
{
  unsigned int wanted = 0;
  if (connection->phase == CALLER_CLOSING
      || (may_parse (connection) && connection->n_unparsed == 0))
    wanted |= POLLER_READABLE;
  if (connection->is_writing)
    wanted |= POLLER_WRITABLE;
  if (wanted == connection->watched_for)
    return;
  connection->watched_for = wanted;
  if (!poller_change (connection->port->options.poller, &connection->watch,
                      wanted))
    set_closed (connection);
}

static void
touch (caller_connection_t *connection)
{
  connection->active_at = clock_monotonic ();
  if (connection->phase != CALLER_OPEN)
    return;
  list_remove (&connection->link);
  list_push_back (&connection->port->connections, &connection->link);
}

void
caller_connection_socket_ready (caller_connection_t *connection,
                                unsigned int ready)
{
  set_ready (connection);
  if (connection->phase == CALLER_CLOSING)
    {
      drop_input (connection);
      return;
    }
  if (ready & POLLER_HANGUP)
    {
      set_closed (connection);
      return;
    }
  touch (connection);
  if (ready & POLLER_READABLE)
    read_input (connection);
}

void
caller_connection_advance (caller_connection_t *connection)
{
  if (connection->phase == CALLER_OPEN)
    {
      send_responses (connection);
      parse_unparsed (connection);
      send_continue (connection);
    }
  if (connection->phase == CALLER_OPEN)
    dispatch (connection);
  if (connection->phase != CALLER_CLOSED)
    watch_for (connection);
}

bool
caller_connection_is_idle (const caller_connection_t *connection)
{
  const exchange_t *exchange = first_exchange (connection);
  return !exchange || !exchange->is_dispatched || exchange->is_finished;
}

caller_connection_t *
caller_connection_new (const caller_connection_options_t *options)
{
  caller_connection_t *connection = calloc (1, sizeof *connection);
  if (!connection)
    abort ();
  connection->port = options->port;
  connection->active_at = options->now;
  connection->watched_for = POLLER_READABLE;
  connection->watch = (watch_t){ .kind = WATCH_CALLER_SOCKET,
                                 .fd = options->fd,
                                 .owner = connection };
  list_init (&connection->link);
  list_init (&connection->ready_link);
  list_init (&connection->exchanges);
  request_parser_init (&connection->parser);
  if (poller_add (options->port->options.poller, &connection->watch,
                  POLLER_READABLE))
    return connection;
  caller_connection_free (connection);
  return NULL;
}

void
caller_connection_free (caller_connection_t *connection)
{
  LIST_FOREACH (link, &connection->exchanges)
  remove_exchange (connection, LIST_ENTRY (link, exchange_t, connection_link));
  list_remove (&connection->link);
  list_remove (&connection->ready_link);
  poller_remove (connection->port->options.poller, &connection->watch);
  close (connection->watch.fd);
  request_parser_clear (&connection->parser);
  free (connection->response.head);
  free (connection->unparsed);
  free (connection);
}
