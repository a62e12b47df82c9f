#include "router/backend_connections_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

enum
{
  SOCKETS_MIN = 64,
};

backend_connection_t *
connection_table_find (const backend_connections_t *connections, int fd)
{
  return fd >= 0 && (size_t)fd < connections->n_sockets
             ? connections->by_socket[fd]
             : NULL;
}

static void
grow (backend_connections_t *connections, size_t needed)
{
  size_t n = connections->n_sockets ? connections->n_sockets : SOCKETS_MIN;
  while (n < needed)
    n *= 2;
  if (n == connections->n_sockets)
    return;
  connections->by_socket
      = realloc (connections->by_socket, n * sizeof (backend_connection_t *));
  if (!connections->by_socket)
    abort ();
  for (size_t i = connections->n_sockets; i < n; i++)
    connections->by_socket[i] = NULL;
  connections->n_sockets = n;
}

void
connection_table_forget (backend_connections_t *connections,
                         backend_connection_t *connection)
{
  connections->by_socket[connection->watch.fd] = NULL;
  list_remove (&connection->hidden_link);
  list_remove (&connection->retired_link);
  list_remove (&connection->link);
  list_push_back (&connections->closed, &connection->link);
}

/* If the socket FD was in use before, libcurl has closed it without a call of
   close_socket.  */
static void
forget_unreported (backend_connections_t *connections, int fd)
{
  backend_connection_t *connection = connection_table_find (connections, fd);
  if (!connection)
    return;
  if (connection->user)
    *connection->user = (connection_user_t){ 0 };
  connection_table_forget (connections, connection);
}

backend_connection_t *
connection_table_add (backend_connections_t *connections, int fd)
{
  backend_connection_t *connection = calloc (1, sizeof *connection);
  if (!connection)
    abort ();
  connection->watch = (watch_t){ .kind = WATCH_BACKEND_SOCKET,
                                 .fd = fd,
                                 .owner = connection };
  connection->is_counted = true;
  list_init (&connection->hidden_link);
  list_init (&connection->retired_link);
  forget_unreported (connections, fd);
  list_push_back (&connections->unused, &connection->link);
  grow (connections, (size_t)fd + 1);
  connections->by_socket[fd] = connection;
  return connection;
}

static list_t *
bucket (backend_connections_t *connections, uint16_t local_port)
{
  return &connections->buckets[local_port % BUCKETS];
}

backend_connection_t *
connection_table_find_used (backend_connections_t *connections,
                            const inet_t *remote, uint16_t local_port)
{
  LIST_FOREACH (link, bucket (connections, local_port))
  {
    backend_connection_t *connection
        = LIST_ENTRY (link, backend_connection_t, link);
    if (connection->local_port == local_port
        && inet_equal (&connection->remote, remote))
      return connection;
  }
  return NULL;
}

/* Whether NAME, of a socket, is ADDRESS.  */
static bool
is_address (const struct sockaddr_in *name, const inet_t *address)
{
  return ntohl (name->sin_addr.s_addr) == address->address
         && ntohs (name->sin_port) == address->port;
}

/* Whether FD is the socket of a connection from LOCAL_PORT to REMOTE: the
   kernel may use a port for several remote addresses.  */
static bool
is_connection (int fd, const inet_t *remote, uint16_t local_port)
{
  struct sockaddr_in local = { 0 };
  struct sockaddr_in peer = { 0 };
  socklen_t local_length = sizeof local;
  socklen_t peer_length = sizeof peer;
  return getsockname (fd, (struct sockaddr *)&local, &local_length) == 0
         && getpeername (fd, (struct sockaddr *)&peer, &peer_length) == 0
         && ntohs (local.sin_port) == local_port && is_address (&peer, remote);
}

backend_connection_t *
connection_table_find_unused (backend_connections_t *connections,
                              const inet_t *remote, uint16_t local_port)
{
  LIST_FOREACH (link, &connections->unused)
  {
    backend_connection_t *connection
        = LIST_ENTRY (link, backend_connection_t, link);
    if (is_connection (connection->watch.fd, remote, local_port))
      return connection;
  }
  return NULL;
}

void
connection_table_use (backend_connections_t *connections,
                      backend_connection_t *connection, const inet_t *remote,
                      uint16_t local_port)
{
  connection->remote = *remote;
  connection->local_port = local_port;
  list_remove (&connection->link);
  list_push_back (bucket (connections, local_port), &connection->link);
}

void
connection_table_init (backend_connections_t *connections)
{
  for (size_t i = 0; i < BUCKETS; i++)
    list_init (&connections->buckets[i]);
  list_init (&connections->unused);
  list_init (&connections->closed);
}

void
connection_table_clear (backend_connections_t *connections)
{
  for (size_t fd = 0; fd < connections->n_sockets; fd++)
    if (connections->by_socket[fd])
      connection_table_forget (connections, connections->by_socket[fd]);
  free (connections->by_socket);
}
