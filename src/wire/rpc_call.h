/* rpc_call: calls and replies as they pass between the RPC thread and the
   others.  Internal to the RPC layer.  */

#ifndef WIRE_RPC_CALL_H
#define WIRE_RPC_CALL_H

#include "base/list.h"
#include "wire/rpc.h"
#include "wire/rpc_message.h"

/* An incoming call.  */
struct rpc_call
{
  rpc_t *rpc;
  uint64_t connection_id;
  rpc_call_header_t header;
  unsigned char mac[RPC_MAC_BYTES];
  size_t args_bytes;
  char args[];
};

/* A call of ours; ARGS is already encoded.  */
typedef struct rpc_out_call
{
  list_t link;
  rpc_request_t request;
  char address[16]; /* request.address points here */
  char *args;
  size_t args_bytes;
  usec_t deadline;
  usec_t sent_at;
  uint32_t xid;
  unsigned char mac[RPC_MAC_BYTES];
} rpc_out_call_t;

/* An encoded reply of ours.  */
typedef struct rpc_out_reply
{
  list_t link;
  uint64_t connection_id;
  rpc_frame_t frame;
} rpc_out_reply_t;

rpc_call_t *rpc_call_new (rpc_t *rpc, uint64_t connection_id,
                          const rpc_call_header_t *header,
                          const unsigned char *mac, const char *args,
                          size_t args_bytes);
void rpc_call_free (rpc_call_t *call);

/* Encode REQUEST's arguments; a call that can't be encoded is a fault of
   ours and aborts.  */
rpc_out_call_t *rpc_out_call_new (const rpc_request_t *request);

void rpc_count_garbage (rpc_t *rpc);

#endif
