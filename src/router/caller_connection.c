#include "router/caller_connection.h"

#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "router/caller_http_internal.h"

static void
watch_for (caller_connection_t *connection)
{
  unsigned int wanted = 0;
  if (connection->phase == CALLER_CLOSING || caller_writes_last (connection)
      || (caller_may_parse (connection) && connection->n_unparsed == 0))
    wanted |= POLLER_READABLE;
  if (connection->is_writing || caller_awaits_continue (connection))
    wanted |= POLLER_WRITABLE;
  if (wanted == connection->watched_for)
    return;
  connection->watched_for = wanted;
  if (!poller_change (connection->port->options.poller, &connection->watch,
                      wanted))
    caller_set_closed (connection);
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
  caller_set_ready (connection);
  if (connection->phase == CALLER_CLOSING)
    {
      caller_drop_input (connection);
      return;
    }
  if (ready & POLLER_HANGUP)
    {
      caller_set_closed (connection);
      return;
    }
  touch (connection);
  if (!(ready & POLLER_READABLE))
    return;
  if (caller_writes_last (connection))
    caller_drop_input (connection);
  else
    caller_read_input (connection);
}

void
caller_connection_advance (caller_connection_t *connection)
{
  if (connection->phase == CALLER_OPEN)
    {
      caller_send_responses (connection);
      caller_parse_unparsed (connection);
    }
  if (connection->phase == CALLER_OPEN)
    {
      caller_dispatch (connection);
      caller_send_continue (connection);
    }
  if (connection->phase != CALLER_CLOSED && !connection->input_has_ended)
    watch_for (connection);
}

bool
caller_connection_is_idle (const caller_connection_t *connection)
{
  const exchange_t *exchange = caller_first_exchange (connection);
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
  caller_exchange_remove (connection,
                          LIST_ENTRY (link, exchange_t, connection_link));
  list_remove (&connection->link);
  list_remove (&connection->ready_link);
  if (!connection->input_has_ended)
    poller_remove (connection->port->options.poller, &connection->watch);
  /* On a connection that is given up, a request that has not been read is
     reset, so that its caller knows that.  */
  if (connection->phase != CALLER_CLOSED)
    caller_drain_input (connection);
  close (connection->watch.fd);
  request_parser_clear (&connection->parser);
  free (connection->response.head);
  free (connection->unparsed);
  free (connection);
}
