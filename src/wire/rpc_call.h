/* rpc_call: calls and replies that are passed between the RPC thread and other
   threads.  Internal to the RPC layer.  */

#ifndef WIRE_RPC_CALL_H
#define WIRE_RPC_CALL_H

#include "base/list.h"
#include "wire/rpc.h"
#include "wire/rpc_message.h"

enum
{
  /* The rest of a record is for the mark and the header of the call.  */
  RPC_ARGS_BYTES_MAX = RPC_RECORD_BYTES_MAX - 1024,
};

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

/* An outgoing call; ARGS is already XDR-encoded.  */
typedef struct rpc_out_call
{
  list_t link;
  rpc_request_t request;
  char address[16]; /* request.address points here */
  char *args;
  size_t args_bytes;
  bool is_too_long; /* the arguments don't fit into a record; ARGS is NULL */
  usec_t deadline;
  usec_t sent_at;
  uint32_t xid;
  unsigned char mac[RPC_MAC_BYTES];
} rpc_out_call_t;

/* An outgoing reply, already encoded.  */
typedef struct rpc_out_reply
{
  list_t link;
  uint64_t connection_id;
  rpc_frame_t frame;
} rpc_out_reply_t;

/* Copy the arguments into a new call; NULL if memory runs out.  */
rpc_call_t *rpc_call_new (rpc_t *rpc, uint64_t connection_id,
                          const rpc_call_header_t *header,
                          const unsigned char *mac, const char *args,
                          size_t args_bytes);
void rpc_call_free (rpc_call_t *call);

/* A new call with REQUEST's arguments encoded.  If they exceed the limits of
   the procedure or RPC_ARGS_BYTES_MAX, the call is marked as too long.  */
rpc_out_call_t *rpc_out_call_new (const rpc_request_t *request);

/* Count an incoming call whose arguments are malformed.  */
void rpc_count_bad_record (rpc_t *rpc);

#endif
