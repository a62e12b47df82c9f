#include "router/backend_connections.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "router/backend_connections_internal.h"
#include "router/foreign_response.h"
#include "router/response_reader.h"
#include "wire/http_socket.h"

/* For how long bytes are awaited on a connection that gets no other request:
   they show that the backend server still sends such bytes.  */
#define EXTRA_BYTES_WAIT (500 * USEC_PER_MSEC)

enum
{
  READ_BYTES = 4096,        /* at a time */
  HIDDEN_BYTES = 64 * 1024, /* within the kernel's usual buffer */
  EXTRA_BYTES_READ_MAX = 64 * 1024,
  FOREIGN_RESPONSES_MAX = 64, /* that are skipped on a connection */
  FOREIGN_BYTES_MAX = RESPONSE_BYTES_MAX,
};

static curl_socket_t
open_socket (void *closure, curlsocktype purpose, struct curl_sockaddr *to)
{
  backend_connections_t *connections = closure;
  (void)purpose;
  int fd = socket (to->family, to->socktype | SOCK_CLOEXEC, to->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  connection_table_add (connections, fd);
  return fd;
}

static void
watch_for (backend_connections_t *connections,
           backend_connection_t *connection, unsigned int events)
{
  poller_t *poller = connections->options.poller;
  if (connection->is_watched)
    poller_change (poller, &connection->watch, events);
  else
    poller_add (poller, &connection->watch, events);
  connection->is_watched = true;
}

static void
stop_watching (backend_connections_t *connections,
               backend_connection_t *connection)
{
  if (connection->is_watched)
    poller_remove (connections->options.poller, &connection->watch);
  connection->is_watched = false;
}

/* The bytes that have come on CONNECTION and were not read as part of a
   response that has ended; 0 if that is not known.  */
static uint64_t
unread_bytes (const backend_connection_t *connection)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;
  if (!connection->is_counted
      || getsockopt (connection->watch.fd, IPPROTO_TCP, TCP_INFO, &info,
                     &length)
             != 0
      || info.tcpi_bytes_received < connection->n_read)
    return 0;
  return info.tcpi_bytes_received - connection->n_read;
}

static int
close_socket (void *closure, curl_socket_t fd)
{
  backend_connections_t *connections = closure;
  backend_connection_t *connection = connection_table_find (connections, fd);
  if (connection)
    {
      stop_watching (connections, connection);
      if (connection->user)
        *connection->user
            = (connection_user_t){ .n_unread = unread_bytes (connection) };
      connection_table_forget (connections, connection);
    }
  return close (fd);
}

void
backend_connections_attach (backend_connections_t *connections, CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, connections);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, connections);
}

static unsigned int
poll_events (int what)
{
  switch (what)
    {
    case CURL_POLL_IN:
      return POLLER_READABLE;
    case CURL_POLL_OUT:
      return POLLER_WRITABLE;
    case CURL_POLL_INOUT:
      return POLLER_READABLE | POLLER_WRITABLE;
    default:
      return 0;
    }
}

void
backend_connections_watch (backend_connections_t *connections,
                           curl_socket_t fd, int what)
{
  backend_connection_t *connection = connection_table_find (connections, fd);
  if (!connection)
    connection = connection_table_add (connections, fd);
  if (what == CURL_POLL_REMOVE)
    stop_watching (connections, connection);
  else
    watch_for (connections, connection, poll_events (what));
}

/* Let libcurl see that CONNECTION, which is idle, has ended.  */
static void
end_idle (backend_connections_t *connections, backend_connection_t *connection)
{
  stop_watching (connections, connection);
  list_remove (&connection->retired_link);
  connection->has_ended = true;
  shutdown (connection->watch.fd, SHUT_RDWR);
}

/* Whether ERROR, of recv, says that nothing has come yet.  */
static bool
is_only_empty (int error)
{
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/* Read what waits on FD.  Returns the number of bytes; *IS_OPEN: the peer has
   not closed.  */
static size_t
read_waiting (int fd, bool *is_open)
{
  char buffer[READ_BYTES];
  size_t n_bytes = 0;
  ssize_t n = 0;
  do
    {
      n_bytes += (size_t)n;
      n = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
    }
  while (n > 0 && n_bytes < EXTRA_BYTES_READ_MAX);
  *is_open = n > 0 || (n < 0 && is_only_empty (errno));
  return n_bytes + (n > 0 ? (size_t)n : 0);
}

/* Whether CONNECTION, which is idle, may be used; if not, it is shut down.
   libcurl sees its end only once nothing waits on it.  */
static bool
check_idle (backend_connections_t *connections,
            backend_connection_t *connection)
{
  const backend_connections_options_t *options = &connections->options;
  if (connection->has_ended)
    return false;
  bool is_open = false;
  size_t n_bytes = read_waiting (connection->watch.fd, &is_open);
  if (n_bytes == 0 && is_open)
    return true;
  if (n_bytes > 0 && options->extra_bytes)
    options->extra_bytes (options->closure, &connection->last,
                          EXTRA_WHILE_IDLE, n_bytes);
  end_idle (connections, connection);
  return false;
}

/* The socket is readable from N_BYTES on, or at its end.  */
static void
set_readable_from (const backend_connection_t *connection, int n_bytes)
{
  setsockopt (connection->watch.fd, SOL_SOCKET, SO_RCVLOWAT, &n_bytes,
              sizeof n_bytes);
}

static void
hide (backend_connections_t *connections, backend_connection_t *connection)
{
  set_readable_from (connection, HIDDEN_BYTES);
  list_remove (&connection->hidden_link);
  list_push_back (&connections->hidden, &connection->hidden_link);
}

void
backend_connections_show (backend_connections_t *connections)
{
  LIST_FOREACH (link, &connections->hidden)
  {
    list_remove (link);
    set_readable_from (LIST_ENTRY (link, backend_connection_t, hidden_link),
                       1);
  }
}

/* Whether CONNECTION, which is idle, may have carried the id of USE: an answer
   with that id could be one to the earlier request.  If so, it is shut
   down.  */
static bool
has_carried (backend_connections_t *connections,
             backend_connection_t *connection, const connection_use_t *use)
{
  const backend_connections_options_t *options = &connections->options;
  if (!use->id[0] || !sent_ids_may_contain (&connection->sent_ids, use->id))
    return false;
  if (options->id_sent_again)
    options->id_sent_again (options->closure, use);
  end_idle (connections, connection);
  return true;
}

connection_state_t
backend_connections_use (backend_connections_t *connections,
                         const inet_t *remote, uint16_t local_port,
                         const connection_use_t *use, connection_user_t *user)
{
  connection_state_t state = CONNECTION_IS_KEPT;
  backend_connection_t *connection
      = connection_table_find_used (connections, remote, local_port);
  if (connection
      && (!check_idle (connections, connection)
          || has_carried (connections, connection, use)))
    return CONNECTION_IS_UNUSABLE;
  if (!connection)
    {
      state = CONNECTION_IS_NEW;
      connection
          = connection_table_find_unused (connections, remote, local_port);
    }
  if (!connection)
    return state;
  if (state == CONNECTION_IS_NEW)
    connection_table_use (connections, connection, remote, local_port);
  connection->may_be_foreign
      = state == CONNECTION_IS_KEPT && !connection->had_head_request;
  if (connection->may_be_foreign)
    hide (connections, connection);
  connection->had_head_request |= use->is_head;
  connection->last = *use;
  if (use->id[0])
    sent_ids_add (&connection->sent_ids, use->id);
  http_socket_end_send (connection->watch.fd, &connection->send_watch);
  if (use->is_upload)
    http_socket_start_send (connection->watch.fd, &connection->send_watch);
  list_remove (&connection->retired_link);
  connection->user = user;
  user->connection = connection;
  return state;
}

send_state_t
backend_connection_check_upload (backend_connection_t *connection, usec_t now)
{
  return http_socket_check_send (connection->watch.fd, &connection->send_watch,
                                 now);
}

void
backend_connection_end_upload (backend_connection_t *connection)
{
  http_socket_end_send (connection->watch.fd, &connection->send_watch);
}

/* Whether another request on CONNECTION would wait behind the rest of an
   upload, or for a peer that is given more time than usual.  */
static bool
is_held_up (const backend_connection_t *connection)
{
  send_facts_t facts;
  if (!connection->last.is_upload)
    return false;
  if (connection->send_watch.is_held)
    return true;
  return http_socket_read_facts (connection->watch.fd, &facts)
         && !send_facts_all_acknowledged (&facts);
}

void
backend_connections_release (backend_connections_t *connections,
                             connection_user_t *user, uint64_t n_read,
                             usec_t now)
{
  backend_connection_t *connection = user->connection;
  if (!connection)
    return;
  user->connection = NULL;
  connection->n_read += n_read;
  connection->is_counted = connection->is_counted && n_read > 0;
  /* libcurl may have given it to the next request already.  */
  if (connection->user != user)
    return;
  connection->user = NULL;
  watch_for (connections, connection, POLLER_READABLE);
  if (is_held_up (connection) || sent_ids_is_full (&connection->sent_ids))
    {
      end_idle (connections, connection);
      return;
    }
  backend_connection_end_upload (connection);
  if (!connection->last.is_only_use)
    return;
  connection->retired_at = now;
  list_push_back (&connections->retired, &connection->retired_link);
}

void
backend_connections_expire (backend_connections_t *connections, usec_t now)
{
  LIST_FOREACH (link, &connections->retired)
  {
    backend_connection_t *connection
        = LIST_ENTRY (link, backend_connection_t, retired_link);
    if (now < connection->retired_at + EXTRA_BYTES_WAIT)
      return;
    end_idle (connections, connection);
  }
}

/* Read the rest of the response to an earlier request, as far as it has come.
   Returns what recv does.  */
static ssize_t
read_foreign (backend_connection_t *connection)
{
  char buffer[READ_BYTES];
  ssize_t n = 1;
  while (connection->n_foreign > 0 && n > 0)
    {
      size_t wanted = connection->n_foreign < sizeof buffer
                          ? (size_t)connection->n_foreign
                          : sizeof buffer;
      n = recv (connection->watch.fd, buffer, wanted, MSG_DONTWAIT);
      if (n > 0)
        {
          connection->n_foreign -= (uint64_t)n;
          connection->n_read += (uint64_t)n;
        }
    }
  return n;
}

/* Whether BYTES more may be skipped on CONNECTION.  A backend server that
   sends such responses without end would hold the thread: beyond the bound
   libcurl gets one, and the call ends with it.  */
static bool
may_skip (const backend_connection_t *connection, uint64_t bytes)
{
  return connection->n_foreign_responses < FOREIGN_RESPONSES_MAX
         && connection->foreign_bytes + bytes <= FOREIGN_BYTES_MAX;
}

/* Whether a response to an earlier request begins on CONNECTION.  */
static bool
find_foreign (backend_connections_t *connections,
              backend_connection_t *connection)
{
  const backend_connections_options_t *options = &connections->options;
  char buffer[READ_BYTES];
  ssize_t n = recv (connection->watch.fd, buffer, sizeof buffer,
                    MSG_PEEK | MSG_DONTWAIT);
  if (n <= 0)
    return false;
  uint64_t n_bytes = foreign_response_bytes (
      buffer, (size_t)n, connection->last.id, &connection->sent_ids);
  connection->may_be_foreign = n_bytes > 0 && may_skip (connection, n_bytes);
  connection->is_spoilt |= n_bytes > 0;
  if (!connection->may_be_foreign)
    return false;
  connection->n_foreign = n_bytes;
  connection->n_foreign_responses++;
  connection->foreign_bytes += n_bytes;
  if (options->extra_bytes)
    options->extra_bytes (options->closure, &connection->last,
                          EXTRA_BEFORE_RESPONSE,
                          (size_t)connection->n_foreign);
  return true;
}

/* Read responses to earlier requests on CONNECTION, which is in use.  Returns
   false if there is something for libcurl to read.  */
static bool
skip_foreign (backend_connections_t *connections,
              backend_connection_t *connection)
{
  ssize_t n = 1;
  if (!connection->may_be_foreign)
    return false;
  do
    n = read_foreign (connection);
  while (n > 0 && find_foreign (connections, connection));
  if (n > 0)
    return connection->may_be_foreign && connection->is_spoilt;
  return n < 0 && is_only_empty (errno);
}

unsigned int
backend_connections_ready (backend_connections_t *connections, watch_t *watch,
                           unsigned int ready)
{
  backend_connection_t *connection = watch->owner;
  if (connection->local_port == 0)
    return ready;
  if (!connection->user)
    {
      check_idle (connections, connection);
      return 0;
    }
  if ((ready & POLLER_READABLE) && skip_foreign (connections, connection))
    return ready & ~(unsigned int)POLLER_READABLE;
  return ready;
}

void
backend_connection_response_began (backend_connection_t *connection)
{
  connection->may_be_foreign = false;
}

const sent_ids_t *
backend_connection_sent_ids (const backend_connection_t *connection)
{
  return &connection->sent_ids;
}

bool
backend_connection_is_spoilt (const backend_connection_t *connection)
{
  return connection->is_spoilt;
}

void
backend_connections_sweep (backend_connections_t *connections)
{
  LIST_FOREACH (link, &connections->closed)
  free (LIST_ENTRY (link, backend_connection_t, link));
  list_init (&connections->closed);
}

backend_connections_t *
backend_connections_new (const backend_connections_options_t *options)
{
  backend_connections_t *connections = calloc (1, sizeof *connections);
  if (!connections)
    abort ();
  connections->options = *options;
  connection_table_init (connections);
  list_init (&connections->hidden);
  list_init (&connections->retired);
  return connections;
}

void
backend_connections_free (backend_connections_t *connections)
{
  connection_table_clear (connections);
  backend_connections_sweep (connections);
  free (connections);
}
