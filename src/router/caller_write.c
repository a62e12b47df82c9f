/* caller_write: sends the responses on a caller's connection, in the order of
   the requests.  */

#include "router/caller_http_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "base/log.h"
#include "wire/socket_close.h"

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

/* The part of DATA, LENGTH bytes, after the first N_DONE.  */
static struct iovec
rest_of (const char *data, size_t length, size_t n_done)
{
  if (n_done >= length)
    return (struct iovec){ .iov_base = NULL, .iov_len = 0 };
  return (struct iovec){ .iov_base = (char *)(uintptr_t)data + n_done,
                         .iov_len = length - n_done };
}

/* Write what is left of the response.  Returns false if the caller is gone. */
static bool
write_response (caller_connection_t *connection)
{
  const caller_response_t *response = &connection->response;
  size_t n = connection->n_written;
  size_t n_of_body = n > response->head_bytes ? n - response->head_bytes : 0;
  struct iovec parts[]
      = { rest_of (response->head, response->head_bytes, n),
          rest_of (response->body, response->body_bytes, n_of_body) };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = 2 };
  ssize_t n_sent
      = sendmsg (connection->watch.fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n_sent >= 0)
    connection->n_written += (size_t)n_sent;
  return n_sent >= 0 || errno == EAGAIN || errno == EINTR;
}

static bool
is_written (const caller_connection_t *connection)
{
  return connection->n_written
         == connection->response.head_bytes + connection->response.body_bytes;
}

static void
end_response (caller_connection_t *connection, exchange_t *exchange)
{
  bool closes = connection->response.closes;
  free (connection->response.head);
  connection->response = (caller_response_t){ 0 };
  connection->is_writing = false;
  caller_exchange_remove (connection, exchange);
  if (closes)
    caller_begin_closing (connection);
}

/* EXCHANGE, whose body is passed on while it comes, has ended before that: its
   response does not wait for the rest, and ends the connection.  */
static void
cut_body (caller_connection_t *connection, exchange_t *exchange)
{
  connection->incoming = NULL;
  connection->reads_no_more = true;
  exchange->is_last = true;
  exchange->is_whole = true;
}

void
caller_send_responses (caller_connection_t *connection)
{
  while (connection->phase == CALLER_OPEN)
    {
      exchange_t *exchange = caller_first_exchange (connection);
      if (!exchange || !exchange->is_finished)
        return;
      if (exchange->stream && !exchange->is_whole)
        cut_body (connection, exchange);
      if (!exchange->is_whole)
        return;
      if (!connection->is_writing)
        begin_response (connection, exchange);
      if (!write_response (connection))
        {
          caller_set_closed (connection);
          return;
        }
      if (!is_written (connection))
        return;
      end_response (connection, exchange);
    }
}

bool
caller_awaits_continue (const caller_connection_t *connection)
{
  const exchange_t *exchange = caller_first_exchange (connection);
  return exchange && exchange->wants_continue && !exchange->is_whole
         && !(exchange->stream && exchange->is_finished);
}

void
caller_send_continue (caller_connection_t *connection)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
  if (!caller_awaits_continue (connection))
    return;
  exchange_t *exchange = caller_first_exchange (connection);
  ssize_t n = 0;
  if (exchange->body_bytes == 0)
    {
      n = send (connection->watch.fd, text, sizeof text - 1,
                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n != (ssize_t)sizeof text - 1)
        caller_set_closed (connection);
    }
  exchange->wants_continue = false;
}
