#include "wire/rpc.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "wire/rpc_state.h"

enum
{
  LISTEN_BACKLOG = 256,
  POLL_IDLE_USEC = 200 * 1000,
  POLL_BUSY_USEC = 5 * 1000, /* resolution of call time-outs */
  IDLE_CHECKS = 4,           /* checks per idle time */
};

rpc_connection_t *
rpc_connection_add (rpc_t *rpc, apr_socket_t *socket, apr_pool_t *pool)
{
  for (size_t i = 0; i < RPC_CONNECTIONS_MAX; i++)
    {
      uint64_t id = ++rpc->connection_serial;
      rpc_connection_t **slot = &rpc->connections[id % RPC_CONNECTIONS_MAX];
      if (*slot)
        continue;
      *slot = rpc_connection_new (socket, pool, rpc->pollset);
      if (*slot)
        {
          (*slot)->id = id;
          atomic_fetch_add (&rpc->counters.connections, 1);
          (*slot)->read_at = clock_monotonic ();
        }
      return *slot;
    }
  return NULL;
}

rpc_connection_t *
rpc_connection_find (rpc_t *rpc, uint64_t id)
{
  rpc_connection_t *connection = rpc->connections[id % RPC_CONNECTIONS_MAX];
  return connection && connection->id == id ? connection : NULL;
}

void
rpc_connection_end (rpc_t *rpc, rpc_connection_t *connection, const char *why)
{
  rpc_peer_t *peer = connection->peer;
  rpc->connections[connection->id % RPC_CONNECTIONS_MAX] = NULL;
  atomic_fetch_sub (&rpc->counters.connections, 1);
  rpc_connection_free (connection);
  if (!peer)
    return;
  peer->connection = NULL;
  rpc_client_fail_all (rpc, peer, why);
}

bool
rpc_connection_send (rpc_t *rpc, rpc_connection_t *connection,
                     rpc_frame_t *frame)
{
  uint64_t sent = 0;
  bool ok = rpc_connection_write (connection, frame)
            && rpc_connection_flush (connection, &sent);
  atomic_fetch_add (&rpc->counters.bytes_out, sent);
  return ok;
}

static void
loop_accept (rpc_t *rpc)
{
  apr_pool_t *pool = NULL;
  apr_pool_create (&pool, rpc->pool);
  apr_socket_t *socket = NULL;
  if (apr_socket_accept (&socket, rpc->listener, pool) != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      return;
    }
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  apr_socket_opt_set (socket, APR_TCP_NODELAY, 1);
  if (rpc_connection_add (rpc, socket, pool))
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "rpc_connections_full",
             LOG_U ("limit", RPC_CONNECTIONS_MAX));
  apr_socket_close (socket);
  apr_pool_destroy (pool);
}

/* Handle all complete records of the connection with ID.  A handler may close
   the connection.  */
static void
loop_records (rpc_t *rpc, uint64_t id)
{
  rpc_connection_t *connection;
  while ((connection = rpc_connection_find (rpc, id)))
    {
      const char *record = NULL;
      size_t length = 0;
      rpc_record_t found
          = rpc_connection_record (connection, &record, &length);
      if (found == RPC_RECORD_NONE)
        return;
      bool ok = false;
      if (found == RPC_RECORD_WHOLE)
        ok = connection->peer
                 ? rpc_client_reply (rpc, connection->peer, record, length)
                 : rpc_server_record (rpc, connection, record, length);
      else
        {
          atomic_fetch_add (&rpc->counters.bad_records, 1);
          LOG_EVENT (LOG_LEVEL_WARNING, "rpc_bad_record",
                     LOG_U ("bytes", length));
        }
      connection = rpc_connection_find (rpc, id);
      if (connection && ok)
        rpc_connection_drop (connection, length);
      else if (connection)
        rpc_connection_end (rpc, connection,
                            "the peer sent an invalid record");
    }
}

static void
loop_event (rpc_t *rpc, const apr_pollfd_t *event)
{
  rpc_connection_t *connection = event->client_data;
  uint64_t id = connection->id;
  if (event->rtnevents & APR_POLLOUT || connection->connecting)
    {
      uint64_t sent = 0;
      connection->connecting = false;
      if (!rpc_connection_flush (connection, &sent))
        {
          rpc_connection_end (rpc, connection, "the connection failed");
          return;
        }
      atomic_fetch_add (&rpc->counters.bytes_out, sent);
      if (connection->peer)
        rpc_client_flush (rpc, connection->peer);
      connection = rpc_connection_find (rpc, id);
    }
  if (!connection
      || !(event->rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)))
    return;
  uint64_t received = 0;
  bool truncated = false;
  bool alive = rpc_connection_fill (connection, &received, &truncated);
  atomic_fetch_add (&rpc->counters.bytes_in, received);
  if (received > 0)
    connection->read_at = clock_monotonic ();
  loop_records (rpc, id);
  connection = rpc_connection_find (rpc, id);
  if (alive || !connection)
    return;
  if (truncated)
    atomic_fetch_add (&rpc->counters.bad_records, 1);
  rpc_connection_end (rpc, connection, "the connection was closed");
}

/* Process the calls and replies that other threads have queued.  */
static void
loop_take_queued (rpc_t *rpc)
{
  list_t calls;
  list_t replies;
  list_init (&calls);
  list_init (&replies);
  pthread_mutex_lock (&rpc->lock);
  list_t *link;
  while ((link = list_pop_front (&rpc->new_calls)))
    list_push_back (&calls, link);
  while ((link = list_pop_front (&rpc->new_replies)))
    list_push_back (&replies, link);
  pthread_mutex_unlock (&rpc->lock);
  while ((link = list_pop_front (&replies)))
    {
      rpc_out_reply_t *reply = LIST_ENTRY (link, rpc_out_reply_t, link);
      rpc_connection_t *connection
          = rpc_connection_find (rpc, reply->connection_id);
      if (!connection)
        free (reply->frame.bytes);
      else if (!rpc_connection_send (rpc, connection, &reply->frame))
        rpc_connection_end (rpc, connection, "the reply can't be sent");
      free (reply);
    }
  while ((link = list_pop_front (&calls)))
    {
      rpc_out_call_t *call = LIST_ENTRY (link, rpc_out_call_t, link);
      rpc_client_call (rpc, call);
    }
}

/* Fail calls whose deadline has passed, and close unused connections.  */
static void
loop_expire (rpc_t *rpc, usec_t now)
{
  rpc_client_expire (rpc, now);
  if (now < rpc->next_idle_check)
    return;
  usec_t idle = rpc->options.idle;
  rpc->next_idle_check = now + idle / IDLE_CHECKS;
  for (size_t i = 0; i < RPC_CONNECTIONS_MAX; i++)
    {
      rpc_connection_t *connection = rpc->connections[i];
      if (!connection || !list_empty (&connection->out))
        continue;
      const rpc_peer_t *peer = connection->peer;
      bool unused
          = !peer
            || (list_empty (&peer->pending) && list_empty (&peer->waiting));
      if (unused && now - connection->read_at >= (peer ? idle : 2 * idle))
        rpc_connection_end (rpc, connection, "the connection was not used");
    }
}

static void *
loop_run (void *closure)
{
  rpc_t *rpc = closure;
  while (!atomic_load (&rpc->stop))
    {
      loop_take_queued (rpc);
      apr_int32_t n = 0;
      const apr_pollfd_t *events = NULL;
      apr_interval_time_t wait
          = rpc->n_calls > 0 ? POLL_BUSY_USEC : POLL_IDLE_USEC;
      if (apr_pollset_poll (rpc->pollset, wait, &n, &events) != APR_SUCCESS)
        n = 0;
      for (apr_int32_t i = 0; i < n; i++)
        if (events[i].client_data)
          loop_event (rpc, &events[i]);
        else
          loop_accept (rpc);
      loop_expire (rpc, clock_monotonic ());
    }
  return NULL;
}

static bool
listener_open (rpc_t *rpc, err_t *err)
{
  const rpc_options_t *options = &rpc->options;
  apr_sockaddr_t *at = NULL;
  if (apr_sockaddr_info_get (&at, options->address, APR_INET, options->port, 0,
                             rpc->pool)
          != APR_SUCCESS
      || apr_socket_create (&rpc->listener, APR_INET, SOCK_STREAM,
                            APR_PROTO_TCP, rpc->pool)
             != APR_SUCCESS)
    return err_set (err, ERR_IO, "check the address in the settings",
                    "can't create a socket for %s", options->address);
  apr_socket_opt_set (rpc->listener, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (rpc->listener, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (rpc->listener, 0);
  if (apr_socket_bind (rpc->listener, at) != APR_SUCCESS
      || apr_socket_listen (rpc->listener, LISTEN_BACKLOG) != APR_SUCCESS)
    return err_set (err, ERR_IO,
                    "check that this VM has the address and that no other "
                    "process holds the port",
                    "can't listen on %s:%u", options->address, options->port);
  rpc->listener_poll = (apr_pollfd_t){ .p = rpc->pool,
                                       .desc_type = APR_POLL_SOCKET,
                                       .reqevents = APR_POLLIN,
                                       .desc.s = rpc->listener };
  apr_pollset_add (rpc->pollset, &rpc->listener_poll);
  return true;
}

rpc_t *
rpc_open (const rpc_options_t *options, err_t *err)
{
  rpc_t *rpc = calloc (1, sizeof *rpc);
  if (!rpc)
    abort ();
  rpc->options = *options;
  memcpy (rpc->key, options->key, sizeof rpc->key);
  rpc->options.key = rpc->key;
  if (rpc->options.idle == 0)
    rpc->options.idle = RPC_IDLE;
  list_init (&rpc->peers);
  list_init (&rpc->new_calls);
  list_init (&rpc->new_replies);
  pthread_mutex_init (&rpc->lock, NULL);
  apr_pool_create (&rpc->pool, NULL);
  if (apr_pollset_create (&rpc->pollset, RPC_CONNECTIONS_MAX, rpc->pool,
                          APR_POLLSET_WAKEABLE)
      != APR_SUCCESS)
    {
      err_set (err, ERR_IO, "raise the limit of open files",
               "can't create the RPC poll set");
      rpc_close (rpc);
      return NULL;
    }
  if (options->port != 0 && !listener_open (rpc, err))
    {
      rpc_close (rpc);
      return NULL;
    }
  return rpc;
}

void
rpc_register (rpc_t *rpc, uint32_t program, uint32_t version,
              uint32_t procedure, rpc_handler_t handler, void *closure)
{
  if (rpc->n_routes == RPC_HANDLERS_MAX)
    abort ();
  rpc->routes[rpc->n_routes++] = (rpc_route_t){ .program = program,
                                                .version = version,
                                                .procedure = procedure,
                                                .handler = handler,
                                                .closure = closure };
}

bool
rpc_start (rpc_t *rpc, err_t *err)
{
  if (pthread_create (&rpc->thread, NULL, loop_run, rpc) != 0)
    return err_set (err, ERR_IO, "raise the limit of threads",
                    "can't create the RPC thread");
  rpc->running = true;
  return true;
}

void
rpc_close (rpc_t *rpc)
{
  if (rpc->running)
    {
      atomic_store (&rpc->stop, true);
      apr_pollset_wakeup (rpc->pollset);
      pthread_join (rpc->thread, NULL);
    }
  loop_take_queued (rpc);
  for (size_t i = 0; i < RPC_CONNECTIONS_MAX; i++)
    if (rpc->connections[i])
      rpc_connection_end (rpc, rpc->connections[i],
                          "this process is stopping");
  LIST_FOREACH (link, &rpc->peers)
  free (LIST_ENTRY (link, rpc_peer_t, link));
  if (rpc->listener)
    apr_socket_close (rpc->listener);
  apr_pool_destroy (rpc->pool);
  pthread_mutex_destroy (&rpc->lock);
  free (rpc);
}

const rpc_counters_t *
rpc_counters (const rpc_t *rpc)
{
  return &rpc->counters;
}

void
rpc_send (rpc_t *rpc, const rpc_request_t *request)
{
  rpc_out_call_t *call = rpc_out_call_new (request);
  pthread_mutex_lock (&rpc->lock);
  list_push_back (&rpc->new_calls, &call->link);
  pthread_mutex_unlock (&rpc->lock);
  apr_pollset_wakeup (rpc->pollset);
}

void
rpc_reply (rpc_call_t *call, xdrproc_t proc, void *result)
{
  rpc_t *rpc = call->rpc;
  rpc_out_reply_t *reply = calloc (1, sizeof *reply);
  if (!reply)
    abort ();
  rpc_reply_header_t header
      = { .xid = call->header.xid,
          .status = proc ? RPC_STATUS_OK : RPC_STATUS_GARBAGE,
          .sender = { rpc->options.vm, rpc->options.incarnation } };
  reply->connection_id = call->connection_id;
  bool encoded = rpc_message_reply (&reply->frame, &header, proc, result,
                                    call->mac, rpc->key);
  uint32_t procedure = call->header.procedure;
  rpc_call_free (call);
  if (!encoded)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "rpc_reply_too_long",
                 LOG_U ("procedure", procedure));
      free (reply);
      return;
    }
  pthread_mutex_lock (&rpc->lock);
  list_push_back (&rpc->new_replies, &reply->link);
  pthread_mutex_unlock (&rpc->lock);
  apr_pollset_wakeup (rpc->pollset);
}

void
rpc_reply_void (rpc_call_t *call)
{
  rpc_reply (call, (xdrproc_t)rpc_xdr_void, NULL);
}

void
rpc_count_bad_record (rpc_t *rpc)
{
  atomic_fetch_add (&rpc->counters.bad_records, 1);
}
