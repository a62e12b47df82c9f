/* caller_close: the end of a caller's connection.  Its socket is kept until
   the caller has the last response, and what it still sends is read and
   dropped: the kernel resets a connection that is closed with unread bytes, or
   gets bytes after its close, and drops what the caller has not got yet.  */

#include "router/caller_http_internal.h"

#include <errno.h>
#include <stdint.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "wire/socket_close.h"

enum
{
  DROPPED_BYTES_MAX = 96 * 1024 * 1024, /* more than a request's body */
  DRAIN_READS_MAX = 64,
};

/* How long a caller whose host has acknowledged all may take to close; it may
   not have read all.  */
#define DELIVERED_TIMEOUT (5 * USEC_PER_SEC)

/* The bytes that the caller's host has not acknowledged; SIZE_MAX if the
   system does not tell.  */
static size_t
count_undelivered (const caller_connection_t *connection)
{
  size_t n = 0;
  return socket_unacknowledged (connection->watch.fd, &n) ? n : SIZE_MAX;
}

bool
caller_has_undelivered (const caller_connection_t *connection)
{
  if (connection->phase == CALLER_CLOSING && !connection->input_has_ended)
    return true;
  return count_undelivered (connection) > 0;
}

bool
caller_takes_response (caller_connection_t *connection)
{
  size_t n = count_undelivered (connection);
  bool has_changed = n != connection->n_undelivered;
  connection->n_undelivered = n;
  return has_changed && n > 0 && n < SIZE_MAX;
}

void
caller_begin_closing (caller_connection_t *connection)
{
  caller_abort_exchanges (connection);
  connection->reads_no_more = true;
  connection->phase = CALLER_CLOSING;
  connection->active_at = clock_monotonic ();
  connection->undelivered_at = connection->active_at;
  list_remove (&connection->link);
  list_push_back (&connection->port->closing, &connection->link);
  socket_close_in_order (connection->watch.fd);
  if (shutdown (connection->watch.fd, SHUT_WR) != 0)
    caller_set_closed (connection);
}

bool
caller_closing_is_over (caller_connection_t *connection, usec_t now)
{
  const caller_http_t *port = connection->port;
  size_t n = count_undelivered (connection);
  if (n != connection->n_undelivered)
    {
      connection->n_undelivered = n;
      connection->undelivered_at = now;
    }
  if (n == 0
      && (connection->input_has_ended
          || port->n_connections >= CONNECTIONS_MAX))
    return true;
  usec_t limit = n == 0 ? DELIVERED_TIMEOUT : IDLE_TIMEOUT;
  if (now - connection->undelivered_at < limit)
    return false;
  if (n > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "response_not_taken",
               LOG_U ("known", n < SIZE_MAX),
               LOG_U ("bytes", n < SIZE_MAX ? n : 0));
  return true;
}

/* The caller has closed its side.  It sends no more, but may still read.  */
static void
end_input (caller_connection_t *connection)
{
  size_t n = count_undelivered (connection);
  if (connection->phase != CALLER_CLOSING || n == 0 || n == SIZE_MAX)
    {
      caller_set_closed (connection);
      return;
    }
  connection->input_has_ended = true;
  poller_remove (connection->port->options.poller, &connection->watch);
}

void
caller_drop_input (caller_connection_t *connection)
{
  caller_http_t *port = connection->port;
  ssize_t n = recv (connection->watch.fd, port->buffer, sizeof port->buffer,
                    MSG_DONTWAIT);
  if (n > 0)
    connection->n_dropped += (size_t)n;
  if (n == 0)
    end_input (connection);
  else if ((n < 0 && errno != EAGAIN && errno != EINTR)
           || connection->n_dropped > DROPPED_BYTES_MAX)
    caller_set_closed (connection);
}

void
caller_drain_input (caller_connection_t *connection)
{
  caller_http_t *port = connection->port;
  for (int i = 0; i < DRAIN_READS_MAX; i++)
    if (recv (connection->watch.fd, port->buffer, sizeof port->buffer,
              MSG_DONTWAIT)
        <= 0)
      return;
}
