#include "wire/rpc_connection.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum
{
  READ_BYTES = 16 * 1024,
  LAST_FRAGMENT = 0x80000000u,
};

/* A queued frame.  */
typedef struct rpc_out
{
  list_t link;
  char *bytes;
  size_t length;
} rpc_out_t;

static void
connection_watch (rpc_connection_t *connection, bool writable)
{
  apr_int16_t wanted
      = (apr_int16_t)(APR_POLLIN | (writable ? APR_POLLOUT : 0));
  if (connection->poll.reqevents == wanted)
    return;
  if (connection->poll.reqevents)
    apr_pollset_remove (connection->pollset, &connection->poll);
  connection->poll.reqevents = wanted;
  apr_pollset_add (connection->pollset, &connection->poll);
}

rpc_connection_t *
rpc_connection_new (apr_socket_t *socket, apr_pool_t *pool,
                    apr_pollset_t *pollset)
{
  rpc_connection_t *connection = calloc (1, sizeof *connection);
  if (!connection)
    return NULL;
  connection->socket = socket;
  connection->pool = pool;
  connection->pollset = pollset;
  connection->poll.p = pool;
  connection->poll.desc_type = APR_POLL_SOCKET;
  connection->poll.desc.s = socket;
  connection->poll.client_data = connection;
  list_init (&connection->out);
  connection_watch (connection, true);
  return connection;
}

void
rpc_connection_free (rpc_connection_t *connection)
{
  apr_pollset_remove (connection->pollset, &connection->poll);
  apr_socket_close (connection->socket);
  apr_pool_destroy (connection->pool);
  LIST_FOREACH (link, &connection->out)
  {
    rpc_out_t *out = LIST_ENTRY (link, rpc_out_t, link);
    free (out->bytes);
    free (out);
  }
  free (connection->in);
  free (connection);
}

bool
rpc_connection_write (rpc_connection_t *connection, rpc_frame_t *frame)
{
  rpc_out_t *out = calloc (1, sizeof *out);
  if (!out || connection->out_bytes + frame->length > RPC_OUT_BYTES_MAX)
    {
      free (out);
      free (frame->bytes);
      return false;
    }
  out->bytes = frame->bytes;
  out->length = frame->length;
  connection->out_bytes += frame->length;
  list_push_back (&connection->out, &out->link);
  return true;
}

/* Send the rest of OUT, the first queued frame.  */
static apr_status_t
out_send (rpc_connection_t *connection, const rpc_out_t *out, uint64_t *sent)
{
  apr_size_t length = out->length - connection->out_sent;
  apr_status_t status = apr_socket_send (
      connection->socket, out->bytes + connection->out_sent, &length);
  *sent += length;
  connection->out_sent += length;
  return status;
}

bool
rpc_connection_flush (rpc_connection_t *connection, uint64_t *sent)
{
  *sent = 0;
  LIST_FOREACH (link, &connection->out)
  {
    if (connection->connecting)
      break;
    rpc_out_t *out = LIST_ENTRY (link, rpc_out_t, link);
    apr_status_t status = out_send (connection, out, sent);
    if (connection->out_sent < out->length)
      {
        if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN (status))
          return false;
        break;
      }
    connection->out_bytes -= out->length;
    connection->out_sent = 0;
    list_remove (&out->link);
    free (out->bytes);
    free (out);
  }
  connection_watch (connection,
                    connection->connecting || !list_empty (&connection->out));
  return true;
}

static bool
connection_reserve (rpc_connection_t *connection)
{
  if (connection->in_size - connection->in_length >= READ_BYTES)
    return true;
  size_t size = connection->in_size ? 2 * connection->in_size : 2 * READ_BYTES;
  char *in = realloc (connection->in, size);
  if (!in)
    return false;
  connection->in = in;
  connection->in_size = size;
  return true;
}

bool
rpc_connection_fill (rpc_connection_t *connection, uint64_t *received,
                     bool *truncated)
{
  *received = 0;
  *truncated = false;
  if (!connection_reserve (connection))
    return false;
  apr_size_t length = READ_BYTES;
  apr_status_t status = apr_socket_recv (
      connection->socket, connection->in + connection->in_length, &length);
  connection->in_length += length;
  *received = length;
  if (length > 0)
    return true;
  if (APR_STATUS_IS_EAGAIN (status))
    return true;
  *truncated = connection->in_length > 0;
  return false;
}

rpc_record_t
rpc_connection_record (rpc_connection_t *connection, const char **record,
                       size_t *length)
{
  if (connection->in_length < RPC_RECORD_MARK_BYTES)
    return RPC_RECORD_NONE;
  uint32_t mark;
  memcpy (&mark, connection->in, sizeof mark);
  mark = ntohl (mark);
  *length = mark & ~(uint32_t)LAST_FRAGMENT;
  if (!(mark & LAST_FRAGMENT) || *length < sizeof (uint32_t)
      || *length > RPC_RECORD_BYTES_MAX)
    return RPC_RECORD_BAD;
  if (connection->in_length < RPC_RECORD_MARK_BYTES + *length)
    return RPC_RECORD_NONE;
  *record = connection->in + RPC_RECORD_MARK_BYTES;
  return RPC_RECORD_WHOLE;
}

void
rpc_connection_drop (rpc_connection_t *connection, size_t length)
{
  size_t used = RPC_RECORD_MARK_BYTES + length;
  connection->in_length -= used;
  memmove (connection->in, connection->in + used, connection->in_length);
}
