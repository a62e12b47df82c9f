/* rpc_connection: records over one non-blocking TCP socket.

   Used on the RPC thread only.  */

#ifndef WIRE_RPC_CONNECTION_H
#define WIRE_RPC_CONNECTION_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"
#include "base/time_defs.h"
#include "wire/rpc_message.h"

enum
{
  RPC_OUT_BYTES_MAX = 8 * 1024 * 1024, /* queued if the reader is slow */
};

typedef struct rpc_connection
{
  apr_socket_t *socket;
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  apr_pollfd_t poll;
  void *peer;        /* the peer if this end opened it, else NULL */
  uint64_t id;       /* handle for other threads; never reused */
  uint64_t nonce;    /* required in calls; 0 before the greeting */
  uint64_t sequence; /* of the last call */
  usec_t read_at;    /* time of the last byte received */
  bool connecting;
  char *in;
  size_t in_length;
  size_t in_size;
  list_t out; /* queue of rpc_out_t */
  size_t out_bytes;
  size_t out_sent; /* bytes sent of the first frame */
} rpc_connection_t;

/* Take ownership of SOCKET and POOL, and add the socket to POLLSET.  NULL if
   memory runs out; the caller then keeps both.  */
rpc_connection_t *rpc_connection_new (apr_socket_t *socket, apr_pool_t *pool,
                                      apr_pollset_t *pollset);

void rpc_connection_free (rpc_connection_t *connection);

/* Queue FRAME's bytes, which the connection owns from then on.  False if more
   than RPC_OUT_BYTES_MAX would be queued; the bytes are then freed.  */
bool rpc_connection_write (rpc_connection_t *connection, rpc_frame_t *frame);

/* Send queued bytes until the socket would block, and set *SENT to the number
   of bytes sent.  False if the connection failed.  */
bool rpc_connection_flush (rpc_connection_t *connection, uint64_t *sent);

/* Read available bytes; *RECEIVED is their number.  False if the connection
   has ended; *TRUNCATED then says whether it ended inside a record.  */
bool rpc_connection_fill (rpc_connection_t *connection, uint64_t *received,
                          bool *truncated);

typedef enum
{
  RPC_RECORD_NONE, /* not yet complete */
  RPC_RECORD_WHOLE,
  RPC_RECORD_BAD, /* too long, or in fragments */
} rpc_record_t;

/* Find the first complete record, which stays valid until the next
   rpc_connection_fill or rpc_connection_drop.  */
rpc_record_t rpc_connection_record (rpc_connection_t *connection,
                                    const char **record, size_t *length);

/* Remove the first record, of LENGTH bytes, from the input buffer.  */
void rpc_connection_drop (rpc_connection_t *connection, size_t length);

#endif
