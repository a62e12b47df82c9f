#include "router/caller_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/caller_http_internal.h"

enum
{
  ACCEPTS_MAX = 32, /* at one event; other work may be due */
};

/* How long no connection is accepted after the process ran out of file
   descriptors.  */
#define ACCEPT_PAUSE (100 * USEC_PER_MSEC)
/* Upper limit of caller_http_timeout.  */
#define WAIT_MAX (200 * USEC_PER_MSEC)

/* --- Accepting ---------------------------------------------------------- */

static void
set_accepting (caller_http_t *port, bool is_accepting)
{
  if (port->is_accepting == is_accepting)
    return;
  port->is_accepting = is_accepting;
  poller_change (port->options.poller, &port->watch,
                 is_accepting ? POLLER_READABLE : 0);
}

static void
add_connection (caller_http_t *port, int fd, usec_t now)
{
  const int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const caller_connection_options_t options
      = { .port = port, .fd = fd, .now = now };
  caller_connection_t *connection = caller_connection_new (&options);
  if (!connection)
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "caller_not_watched",
                 LOG_S ("remedy", "raise the limit of watched files"));
      return;
    }
  list_push_back (&port->connections, &connection->link);
  port->n_connections++;
}

static void
accept_connections (caller_http_t *port)
{
  usec_t now = clock_monotonic ();
  for (int i = 0; i < ACCEPTS_MAX && port->n_connections < CONNECTIONS_MAX;
       i++)
    {
      int fd
          = accept4 (port->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        {
          add_connection (port, fd, now);
          continue;
        }
      if (errno == EMFILE || errno == ENFILE || errno == ENOMEM
          || errno == ENOBUFS)
        {
          LOG_EVENT (LOG_LEVEL_WARNING, "accept_paused",
                     LOG_S ("reason", strerror (errno)),
                     LOG_U ("connections", port->n_connections));
          port->accept_at = now + ACCEPT_PAUSE;
          set_accepting (port, false);
        }
      if (errno != EINTR && errno != ECONNABORTED)
        return;
    }
}

/* Accept again when there is room.  */
static void
resume_accepting (caller_http_t *port, usec_t now)
{
  bool has_room = port->n_connections < CONNECTIONS_MAX;
  set_accepting (port, has_room && now >= port->accept_at);
}

/* --- Running ------------------------------------------------------------ */

void
caller_http_finish (exchange_t *exchange)
{
  exchange->is_finished = true;
  caller_set_ready (exchange->connection);
}

void
caller_http_socket_ready (caller_http_t *port, watch_t *watch,
                          unsigned int ready)
{
  if (watch == &port->watch)
    accept_connections (port);
  else
    caller_connection_socket_ready (watch->owner, ready);
}

static void
free_connection (caller_http_t *port, caller_connection_t *connection)
{
  caller_connection_free (connection);
  port->n_connections--;
}

static void
advance_ready (caller_http_t *port)
{
  list_t *link;
  while ((link = list_pop_front (&port->ready)))
    {
      caller_connection_t *connection
          = LIST_ENTRY (link, caller_connection_t, ready_link);
      list_init (link);
      if (connection->phase != CALLER_CLOSED)
        caller_connection_advance (connection);
      if (connection->phase == CALLER_CLOSED)
        free_connection (port, connection);
    }
}

static void
free_ended (caller_http_t *port)
{
  list_t *link;
  while ((link = list_pop_front (&port->ended)))
    caller_exchange_free (port,
                          LIST_ENTRY (link, exchange_t, connection_link));
}

/* Whether bytes have come that were not read yet.  */
static bool
has_unread_input (const caller_connection_t *connection)
{
  char byte;
  return recv (connection->watch.fd, &byte, sizeof byte,
               MSG_PEEK | MSG_DONTWAIT)
         > 0;
}

/* Close connections on which nothing has happened for long.  */
static void
close_idle (caller_http_t *port, usec_t now)
{
  LIST_FOREACH (link, &port->connections)
  {
    caller_connection_t *connection
        = LIST_ENTRY (link, caller_connection_t, link);
    if (now - connection->active_at < port->idle_timeout)
      break;
    if (caller_connection_is_idle (connection)
        && !caller_takes_response (connection)
        && !has_unread_input (connection))
      {
        /* Requests behind the first one may still be under way.  */
        caller_set_closed (connection);
        continue;
      }
    connection->active_at = now;
    list_remove (&connection->link);
    list_push_back (&port->connections, &connection->link);
  }
}

static void
check_closing (caller_http_t *port, usec_t now)
{
  LIST_FOREACH (link, &port->closing)
  {
    caller_connection_t *connection
        = LIST_ENTRY (link, caller_connection_t, link);
    if (now - connection->active_at < CLOSING_CHECK_INTERVAL)
      break;
    if (caller_closing_is_over (connection, now))
      {
        free_connection (port, connection);
        continue;
      }
    connection->active_at = now;
    list_remove (&connection->link);
    list_push_back (&port->closing, &connection->link);
  }
}

void
caller_http_run (caller_http_t *port)
{
  advance_ready (port);
  usec_t now = clock_monotonic ();
  close_idle (port, now);
  check_closing (port, now);
  advance_ready (port);
  free_ended (port);
  resume_accepting (port, now);
}

usec_t
caller_http_timeout (const caller_http_t *port)
{
  return list_empty (&port->ready) ? WAIT_MAX : 0;
}

size_t
caller_http_n_open (const caller_http_t *port)
{
  return port->n_open;
}

static size_t
count_undelivered (const list_t *connections)
{
  size_t n = 0;
  LIST_FOREACH (link, connections)
  n += caller_has_undelivered (LIST_ENTRY (link, caller_connection_t, link));
  return n;
}

size_t
caller_http_n_undelivered (const caller_http_t *port)
{
  return count_undelivered (&port->connections)
         + count_undelivered (&port->closing);
}

void
caller_http_set_max_body (caller_http_t *port, uint64_t n_bytes)
{
  port->max_body_bytes = n_bytes;
}

void
caller_http_read_on (exchange_t *exchange)
{
  caller_set_ready (exchange->connection);
}

void
caller_http_set_idle_timeout (caller_http_t *port, usec_t timeout)
{
  port->idle_timeout = timeout > IDLE_TIMEOUT ? timeout : IDLE_TIMEOUT;
}

void
caller_http_disable_keep_alive (caller_http_t *port)
{
  port->keep_alive_disabled = true;
}

/* --- Opening and closing ------------------------------------------------ */

/* Returns a listening socket, or -1.  */
static int
open_socket (const inet_t *at)
{
  const int on = 1;
  const struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (at->port),
          .sin_addr.s_addr = htonl (at->address) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, SOMAXCONN) == 0)
    return fd;
  close (fd);
  return -1;
}

caller_http_t *
caller_http_new (const caller_http_options_t *options, err_t *err)
{
  caller_http_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  port->idle_timeout = IDLE_TIMEOUT;
  port->max_body_bytes = UINT64_MAX;
  list_init (&port->connections);
  list_init (&port->closing);
  list_init (&port->ready);
  list_init (&port->ended);
  port->watch = (watch_t){ .kind = WATCH_CALLER_PORT,
                           .fd = open_socket (&options->address) };
  port->is_accepting = true;
  if (port->watch.fd >= 0
      && poller_add (options->poller, &port->watch, POLLER_READABLE))
    return port;
  err_set (err, ERR_IO,
           "check that `requests` in the settings is a free address of this "
           "VM",
           "cannot open the port for callers' requests: %s", strerror (errno));
  if (port->watch.fd >= 0)
    close (port->watch.fd);
  free (port);
  return NULL;
}

void
caller_http_free (caller_http_t *port)
{
  LIST_FOREACH (link, &port->connections)
  caller_connection_free (LIST_ENTRY (link, caller_connection_t, link));
  LIST_FOREACH (link, &port->closing)
  caller_connection_free (LIST_ENTRY (link, caller_connection_t, link));
  free_ended (port);
  poller_remove (port->options.poller, &port->watch);
  close (port->watch.fd);
  free (port);
}
