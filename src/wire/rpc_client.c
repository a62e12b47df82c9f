#include "wire/rpc_state.h"

#include <apr_portable.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "wire/socket_close.h"

/* Longer than two round trips between regions.  */
#define CONNECT_RETRY_INTERVAL (200 * USEC_PER_MSEC)

static void
call_finish (rpc_t *rpc, rpc_out_call_t *call, const rpc_result_t *result)
{
  list_remove (&call->link);
  rpc->n_calls--;
  call->request.done (call->request.closure, result);
  free (call->args);
  free (call);
}

static void
call_fail (rpc_t *rpc, rpc_out_call_t *call, bool sent, err_kind_t kind,
           const char *why)
{
  rpc_result_t result = { .sent = sent };
  err_set (&result.error, kind, "check that the VM runs and can be reached",
           "call to %s:%u: %s", call->request.address, call->request.port,
           why);
  call_finish (rpc, call, &result);
}

void
rpc_client_fail_all (rpc_t *rpc, rpc_peer_t *peer, const char *why)
{
  LIST_FOREACH (link, &peer->pending)
  call_fail (rpc, LIST_ENTRY (link, rpc_out_call_t, link), true,
             ERR_UNAVAILABLE, why);
  LIST_FOREACH (link, &peer->waiting)
  call_fail (rpc, LIST_ENTRY (link, rpc_out_call_t, link), false,
             ERR_UNAVAILABLE, why);
}

static rpc_peer_t *
peer_find_or_add (rpc_t *rpc, const char *address, uint16_t port)
{
  LIST_FOREACH (link, &rpc->peers)
  {
    rpc_peer_t *peer = LIST_ENTRY (link, rpc_peer_t, link);
    if (peer->port == port && strcmp (peer->address, address) == 0)
      return peer;
  }
  rpc_peer_t *peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  memcpy (peer->address, address, strnlen (address, sizeof peer->address - 1));
  peer->port = port;
  list_init (&peer->waiting);
  list_init (&peer->pending);
  list_push_back (&rpc->peers, &peer->link);
  return peer;
}

/* Start a non-blocking connect to PEER.  */
static bool
peer_connect (rpc_t *rpc, rpc_peer_t *peer)
{
  apr_pool_t *pool = NULL;
  apr_pool_create (&pool, rpc->pool);
  apr_sockaddr_t *to = NULL;
  apr_sockaddr_t *from = NULL;
  apr_socket_t *socket = NULL;
  if (apr_sockaddr_info_get (&to, peer->address, APR_INET, peer->port, 0, pool)
          != APR_SUCCESS
      || apr_sockaddr_info_get (&from, rpc->options.address, APR_INET, 0, 0,
                                pool)
             != APR_SUCCESS
      || apr_socket_create (&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
                            pool)
             != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      return false;
    }
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  apr_socket_opt_set (socket, APR_TCP_NODELAY, 1);
  apr_os_sock_t fd;
  if (apr_os_sock_get (&fd, socket) == APR_SUCCESS)
    socket_close_by_reset (fd);
  apr_status_t status = apr_socket_bind (socket, from);
  if (status == APR_SUCCESS)
    status = apr_socket_connect (socket, to);
  bool connecting = APR_STATUS_IS_EINPROGRESS (status);
  rpc_connection_t *connection = NULL;
  if (status == APR_SUCCESS || connecting)
    connection = rpc_connection_add (rpc, socket, pool);
  if (!connection)
    {
      apr_socket_close (socket);
      apr_pool_destroy (pool);
      return false;
    }
  connection->connecting = connecting;
  connection->peer = peer;
  peer->connection = connection;
  return true;
}

/* Copy the arguments, which are already encoded; XDR pads to 4 bytes.  */
static bool_t
xdr_encoded_args (XDR *xdr, rpc_out_call_t *call)
{
  return call->args_bytes == 0
         || xdr_opaque (xdr, call->args, (u_int)call->args_bytes);
}

/* Send CALL and move it to the pending list.  */
static bool
call_transmit (rpc_t *rpc, rpc_peer_t *peer, rpc_out_call_t *call)
{
  rpc_connection_t *connection = peer->connection;
  rpc_call_header_t header = {
    .xid = ++rpc->xid,
    .program = call->request.program,
    .version = call->request.version,
    .procedure = call->request.procedure,
    .sender = { rpc->options.vm, rpc->options.incarnation },
    .nonce = connection->nonce,
    .sequence = ++connection->sequence,
  };
  rpc_frame_t frame = { 0 };
  if (!rpc_message_call (&frame, &header, (xdrproc_t)xdr_encoded_args, call,
                         rpc->key))
    return false;
  call->xid = header.xid;
  call->sent_at = clock_monotonic ();
  memcpy (call->mac, frame.mac, sizeof call->mac);
  list_remove (&call->link);
  list_push_back (&peer->pending, &call->link);
  atomic_fetch_add (&rpc->counters.calls_sent, 1);
  return rpc_connection_send (rpc, connection, &frame);
}

static void greeting_done (void *closure, const rpc_result_t *result);

/* The closure of greeting_done.  */
typedef struct greeting
{
  rpc_t *rpc;
  rpc_peer_t *peer;
} greeting_t;

/* Send the greeting, the first call on a connection.  Its result is the nonce
   that all later calls on the connection must carry.  */
static void
peer_greet (rpc_t *rpc, rpc_peer_t *peer, const rpc_request_t *first_request)
{
  greeting_t *greeting = calloc (1, sizeof *greeting);
  rpc_out_call_t *call = calloc (1, sizeof *call);
  if (!greeting || !call)
    abort ();
  *greeting = (greeting_t){ .rpc = rpc, .peer = peer };
  call->request = *first_request;
  call->request.address = peer->address; /* FIRST_REQUEST may be freed first */
  call->request.procedure = RPC_GREETING_PROCEDURE;
  call->request.done = greeting_done;
  call->request.closure = greeting;
  call->deadline = clock_monotonic () + first_request->timeout;
  list_init (&call->link);
  rpc->n_calls++;
  if (!call_transmit (rpc, peer, call))
    rpc_connection_end (rpc, peer->connection, "the greeting can't be sent");
}

static void
greeting_done (void *closure, const rpc_result_t *result)
{
  greeting_t *greeting = closure;
  rpc_t *rpc = greeting->rpc;
  rpc_peer_t *peer = greeting->peer;
  free (greeting);
  if (!peer->connection)
    return;
  uint64_t nonce = 0;
  if (result->ok && rpc_result_decode (result, (xdrproc_t)xdr_uint64_t, &nonce)
      && nonce != 0)
    {
      peer->connection->nonce = nonce;
      rpc_client_flush (rpc, peer);
      return;
    }
  rpc_connection_end (rpc, peer->connection,
                      result->error.message[0]
                          ? result->error.message
                          : "the greeting was not answered with a nonce");
}

void
rpc_client_flush (rpc_t *rpc, rpc_peer_t *peer)
{
  if (list_empty (&peer->waiting))
    return;
  if (!peer->connection && !peer_connect (rpc, peer))
    {
      LIST_FOREACH (link, &peer->waiting)
      call_fail (rpc, LIST_ENTRY (link, rpc_out_call_t, link), false,
                 ERR_UNAVAILABLE, "the connection can't be opened");
      return;
    }
  if (peer->connection->connecting)
    return;
  if (peer->connection->nonce == 0)
    {
      rpc_out_call_t *first
          = LIST_ENTRY (peer->waiting.next, rpc_out_call_t, link);
      if (list_empty (&peer->pending))
        peer_greet (rpc, peer, &first->request);
      return;
    }
  LIST_FOREACH (link, &peer->waiting)
  if (!call_transmit (rpc, peer, LIST_ENTRY (link, rpc_out_call_t, link)))
    {
      rpc_connection_end (rpc, peer->connection, "the call can't be sent");
      return;
    }
}

/* Open a new connection to PEER if the present one is not established in time.
   The opening packet is lost where the peer has no power yet, and the kernel
   sends it again only after a second.  */
static void
retry_connect (rpc_t *rpc, rpc_peer_t *peer, usec_t now)
{
  rpc_connection_t *connection = peer->connection;
  if (!connection || !connection->connecting || list_empty (&peer->waiting)
      || now < connection->read_at + CONNECT_RETRY_INTERVAL)
    return;
  atomic_fetch_add (&rpc->counters.reconnects, 1);
  peer->connection = NULL;
  connection->peer = NULL; /* the waiting calls don't end with it */
  rpc_connection_end (rpc, connection, "no answer to the opening packet");
  rpc_client_flush (rpc, peer);
}

static void
calls_expire (rpc_t *rpc, rpc_peer_t *peer, usec_t now)
{
  bool silent = false;
  LIST_FOREACH (link, &peer->pending)
  {
    rpc_out_call_t *call = LIST_ENTRY (link, rpc_out_call_t, link);
    if (now < call->deadline)
      continue;
    if (peer->connection && peer->connection->read_at < call->sent_at)
      silent = true;
    atomic_fetch_add (&rpc->counters.timeouts, 1);
    call_fail (rpc, call, true, ERR_TIMEOUT, "no answer in time");
  }
  LIST_FOREACH (link, &peer->waiting)
  {
    rpc_out_call_t *call = LIST_ENTRY (link, rpc_out_call_t, link);
    if (now < call->deadline)
      continue;
    silent = true;
    atomic_fetch_add (&rpc->counters.timeouts, 1);
    call_fail (rpc, call, false, ERR_TIMEOUT, "no connection in time");
  }
  if (silent && peer->connection)
    rpc_connection_end (rpc, peer->connection,
                        "nothing was received before a call's deadline");
}

void
rpc_client_expire (rpc_t *rpc, usec_t now)
{
  LIST_FOREACH (link, &rpc->peers)
  {
    rpc_peer_t *peer = LIST_ENTRY (link, rpc_peer_t, link);
    calls_expire (rpc, peer, now);
    retry_connect (rpc, peer, now);
  }
}

bool
rpc_client_reply (rpc_t *rpc, rpc_peer_t *peer, const char *record,
                  size_t length)
{
  uint32_t xid = rpc_message_xid (record);
  LIST_FOREACH (link, &peer->pending)
  {
    rpc_out_call_t *call = LIST_ENTRY (link, rpc_out_call_t, link);
    if (call->xid != xid)
      continue;
    rpc_reply_header_t header;
    size_t at = 0;
    if (!rpc_message_read_reply (record, length, &header, &at, call->mac,
                                 rpc->key))
      {
        atomic_fetch_add (&rpc->counters.bad_records, 1);
        return false;
      }
    if (header.status != RPC_STATUS_OK)
      {
        call_fail (rpc, call, false,
                   header.status == RPC_STATUS_DENIED ? ERR_AUTH
                                                      : ERR_PROTOCOL,
                   "the peer refused the call");
        return true;
      }
    rpc_result_t result = { .ok = true,
                            .sent = true,
                            .sender = header.sender,
                            .body = record + at,
                            .body_bytes = (uint32_t)(length - at) };
    call_finish (rpc, call, &result);
    return true;
  }
  return true; /* its call has already timed out */
}

/* End CALL, whose arguments can't be sent, and log it: a peer that never gets
   an update is hard to trace otherwise.  */
static void
call_refuse (rpc_t *rpc, rpc_out_call_t *call)
{
  rpc_result_t result = { 0 };
  err_set (&result.error, ERR_USAGE,
           "send fewer items in one call, or raise the limit in the .x file",
           "call to %s:%u: the arguments of procedure %u of program 0x%x "
           "exceed its limits or %d bytes",
           call->request.address, call->request.port, call->request.procedure,
           call->request.program, RPC_ARGS_BYTES_MAX);
  log_error (LOG_LEVEL_ERROR, "rpc_call_too_long", &result.error);
  call_finish (rpc, call, &result);
}

void
rpc_client_call (rpc_t *rpc, rpc_out_call_t *call)
{
  if (call->is_too_long)
    {
      rpc->n_calls++;
      call_refuse (rpc, call);
      return;
    }
  rpc_peer_t *peer
      = peer_find_or_add (rpc, call->request.address, call->request.port);
  if (!peer)
    abort ();
  rpc->n_calls++;
  list_push_back (&peer->waiting, &call->link);
  rpc_client_flush (rpc, peer);
}
