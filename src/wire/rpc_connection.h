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
  RPC_OUT_BYTES_MAX = 8 * 1024 * 1024, /* queued for one slow reader */
};

typedef struct rpc_connection
{
  apr_socket_t *socket;
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  apr_pollfd_t poll;
  void *peer;        /* of a connection that we opened; else NULL */
  uint64_t id;       /* names it to other threads; never reused */
  uint64_t nonce;    /* that calls on it must carry; 0 before the greeting */
  uint64_t sequence; /* of the last call on it */
  usec_t read_at;    /* last time that a byte came in */
  bool connecting;
  char *in;
  size_t in_length;
  size_t in_size;
  list_t out; /* of rpc_out_t */
  size_t out_bytes;
  size_t out_sent; /* of the first frame */
} rpc_connection_t;

/* Take over SOCKET (with POOL) and watch it on POLLSET.  */
rpc_connection_t *rpc_connection_new (apr_socket_t *socket, apr_pool_t *pool,
                                      apr_pollset_t *pollset);

void rpc_connection_free (rpc_connection_t *connection);

/* Queue FRAME's bytes, which become the connection's; false where too much
   is queued.  */
bool rpc_connection_write (rpc_connection_t *connection, rpc_frame_t *frame);

/* Send what the socket takes; false where the connection has ended.  */
bool rpc_connection_flush (rpc_connection_t *connection, uint64_t *sent);

/* Read what has come; false where the connection has ended.  *CUT is set
   where it ended inside a record.  */
bool rpc_connection_fill (rpc_connection_t *connection, uint64_t *received,
                          bool *cut);

typedef enum
{
  RPC_RECORD_NONE, /* not whole yet */
  RPC_RECORD_WHOLE,
  RPC_RECORD_BAD, /* too long, or in fragments */
} rpc_record_t;

/* The first whole record; it stays valid until rpc_connection_drop.  */
rpc_record_t rpc_connection_record (rpc_connection_t *connection,
                                    const char **record, size_t *length);

/* Forget the first record, of LENGTH bytes.  */
void rpc_connection_drop (rpc_connection_t *connection, size_t length);

#endif
