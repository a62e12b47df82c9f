/* caller_exchange: the requests on a caller's connection, from the first byte
   to the dispatcher.  */

#include "router/caller_http_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform_api.h"

exchange_t *
caller_first_exchange (const caller_connection_t *connection)
{
  if (list_empty (&connection->exchanges))
    return NULL;
  return LIST_ENTRY (connection->exchanges.next, exchange_t, connection_link);
}

exchange_t *
caller_exchange_add (caller_connection_t *connection)
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

void
caller_exchange_remove (caller_connection_t *connection, exchange_t *exchange)
{
  list_remove (&exchange->connection_link);
  list_push_back (&connection->port->ended, &exchange->connection_link);
  connection->n_exchanges--;
  connection->port->n_open--;
}

void
caller_exchange_free (caller_http_t *port, exchange_t *exchange)
{
  body_budget_resize (port->options.budget, BODY_CERTAIN,
                      exchange->body_capacity, 0);
  backend_response_clear (&exchange->response);
  fleet_snapshot_unref (exchange->snapshot);
  request_head_clear (&exchange->head);
  free (exchange->body);
  body_stream_free (exchange->stream);
  free (exchange);
}

void
caller_set_ready (caller_connection_t *connection)
{
  list_remove (&connection->ready_link);
  list_push_back (&connection->port->ready, &connection->ready_link);
}

void
caller_exchange_refuse (exchange_t *exchange, exchange_reason_t reason)
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

bool
caller_writes_last (const caller_connection_t *connection)
{
  return connection->is_writing && connection->response.closes;
}

/* Whether it is known that the connection ends after the response to EXCHANGE,
   which is not being written yet.  */
static bool
will_close (const exchange_t *exchange)
{
  return exchange->is_last
         || (exchange->is_finished && response_ends_by_close (exchange));
}

void
caller_dispatch (caller_connection_t *connection)
{
  const caller_http_t *port = connection->port;
  bool is_first = true;
  if (caller_writes_last (connection))
    return;
  LIST_FOREACH (link, &connection->exchanges)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, connection_link);
    if (!exchange->is_whole && !exchange->stream)
      return;
    if (!exchange->is_dispatched && !exchange->is_finished)
      {
        if (!is_first && !may_overlap (connection, exchange))
          return;
        exchange->is_dispatched = true;
        port->options.request_received (port->options.closure, exchange);
      }
    if (!is_safe (exchange) || will_close (exchange))
      return;
    is_first = false;
  }
}

void
caller_abort_exchanges (caller_connection_t *connection)
{
  const caller_http_t *port = connection->port;
  LIST_FOREACH (link, &connection->exchanges)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, connection_link);
    if (exchange->is_dispatched && !exchange->is_finished)
      port->options.caller_gone (port->options.closure, exchange);
    caller_exchange_remove (connection, exchange);
  }
  connection->incoming = NULL;
}

void
caller_set_closed (caller_connection_t *connection)
{
  caller_abort_exchanges (connection);
  connection->phase = CALLER_CLOSED;
  caller_set_ready (connection);
}
