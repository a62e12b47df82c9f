#include "wire/rpc_state.h"

#include <openssl/rand.h>

#include "base/log.h"

static void
reply_status (rpc_t *rpc, rpc_connection_t *connection, uint32_t xid,
              rpc_status_t status, uint64_t *result, const unsigned char *mac)
{
  rpc_reply_header_t header
      = { .xid = xid,
          .status = status,
          .sender = { rpc->options.vm, rpc->options.incarnation } };
  rpc_frame_t frame = { 0 };
  if (rpc_message_reply (&frame, &header, (xdrproc_t)xdr_uint64_t, result, mac,
                         rpc->key)
      && !rpc_connection_send (rpc, connection, &frame))
    connection->nonce = 0;
}

static const rpc_route_t *
route_find (const rpc_t *rpc, const rpc_call_header_t *header,
            rpc_status_t *status)
{
  *status = RPC_STATUS_NO_PROGRAM;
  for (size_t i = 0; i < rpc->n_routes; i++)
    {
      const rpc_route_t *route = &rpc->routes[i];
      if (route->program != header->program
          || route->version != header->version)
        continue;
      *status = RPC_STATUS_NO_PROCEDURE;
      if (route->procedure == header->procedure)
        return route;
    }
  return NULL;
}

/* Answer a greeting with a new random nonce for CONNECTION, never 0.  */
static void
serve_greeting (rpc_t *rpc, rpc_connection_t *connection,
                const rpc_call_header_t *header, const unsigned char *mac)
{
  uint64_t nonce = 0;
  RAND_bytes ((unsigned char *)&nonce, sizeof nonce);
  connection->nonce = nonce | 1;
  connection->sequence = header->sequence;
  reply_status (rpc, connection, header->xid, RPC_STATUS_OK,
                &connection->nonce, mac);
}

bool
rpc_server_record (rpc_t *rpc, rpc_connection_t *connection,
                   const char *record, size_t length)
{
  rpc_call_header_t header;
  size_t args_at = 0;
  bool authentic = false;
  unsigned char mac[RPC_MAC_BYTES] = { 0 };
  if (!rpc_message_read_call (record, length, &header, &args_at, &authentic,
                              mac, rpc->key))
    {
      atomic_fetch_add (&rpc->counters.bad_records, 1);
      LOG_EVENT (LOG_LEVEL_WARNING, "rpc_bad_record", LOG_U ("bytes", length));
      return false;
    }
  bool greeting = header.procedure == RPC_GREETING_PROCEDURE;
  bool replayed
      = !greeting
        && (connection->nonce == 0 || header.nonce != connection->nonce
            || header.sequence <= connection->sequence);
  if (!authentic || replayed)
    {
      atomic_fetch_add (
          authentic ? &rpc->counters.replays : &rpc->counters.bad_auth, 1);
      LOG_EVENT (LOG_LEVEL_WARNING, "rpc_denied",
                 LOG_S ("reason", authentic ? "replay" : "key"));
      reply_status (rpc, connection, header.xid, RPC_STATUS_DENIED, NULL, mac);
      return false;
    }
  rpc_status_t status = RPC_STATUS_OK;
  const rpc_route_t *route = route_find (rpc, &header, &status);
  if (greeting && status != RPC_STATUS_NO_PROGRAM)
    {
      serve_greeting (rpc, connection, &header, mac);
      return true;
    }
  connection->sequence = header.sequence;
  if (!route)
    {
      atomic_fetch_add (&rpc->counters.bad_records, 1);
      reply_status (rpc, connection, header.xid, status, NULL, mac);
      return true;
    }
  atomic_fetch_add (&rpc->counters.calls_served, 1);
  rpc_call_t *call = rpc_call_new (rpc, connection->id, &header, mac,
                                   record + args_at, length - args_at);
  if (call)
    route->handler (route->closure, call);
  return true;
}
