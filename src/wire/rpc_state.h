/* rpc_state: the state of the RPC thread, shared by the files of the RPC
   layer.  Only the RPC thread may use it, except for the fields that LOCK
   guards.  */

#ifndef WIRE_RPC_STATE_H
#define WIRE_RPC_STATE_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <pthread.h>
#include <stdatomic.h>

#include "base/list.h"
#include "wire/rpc.h"
#include "wire/rpc_call.h"
#include "wire/rpc_connection.h"

enum
{
  RPC_CONNECTIONS_MAX = 4096,
  RPC_GREETING_PROCEDURE = 0, /* the first call on every connection */
};

typedef struct rpc_route
{
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  rpc_handler_t handler;
  void *closure;
} rpc_route_t;

/* Another VM's port that calls are sent to.  */
typedef struct rpc_peer
{
  list_t link;
  char address[16];
  uint16_t port;
  rpc_connection_t *connection;
  list_t waiting; /* rpc_out_call_t, no byte sent */
  list_t pending; /* rpc_out_call_t, sent */
} rpc_peer_t;

struct rpc
{
  rpc_options_t options;
  unsigned char key[RPC_KEY_BYTES];
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  apr_socket_t *listener;
  apr_pollfd_t listener_poll;
  rpc_route_t routes[RPC_HANDLERS_MAX];
  size_t n_routes;
  list_t peers;
  rpc_connection_t *connections[RPC_CONNECTIONS_MAX];
  uint64_t connection_serial;
  uint32_t xid;
  size_t n_calls;         /* waiting or pending */
  usec_t next_idle_check; /* when to look for unused connections */
  pthread_t thread;
  bool running;
  atomic_bool stop;
  pthread_mutex_t lock; /* guards the two lists below */
  list_t new_calls;     /* rpc_out_call_t */
  list_t new_replies;   /* rpc_out_reply_t */
  rpc_counters_t counters;
};

/* Take ownership of SOCKET and POOL.  NULL if RPC_CONNECTIONS_MAX connections
   are open or memory runs out; the caller then keeps both.  */
rpc_connection_t *rpc_connection_add (rpc_t *rpc, apr_socket_t *socket,
                                      apr_pool_t *pool);

/* The connection with ID; NULL if it has ended.  */
rpc_connection_t *rpc_connection_find (rpc_t *rpc, uint64_t id);

/* Close and free CONNECTION; its calls fail with WHY in the error message.  */
void rpc_connection_end (rpc_t *rpc, rpc_connection_t *connection,
                         const char *why);

/* Queue FRAME and send queued bytes until the socket would block.  False if
   the connection failed or its queue is full.  */
bool rpc_connection_send (rpc_t *rpc, rpc_connection_t *connection,
                          rpc_frame_t *frame);

/* Client side: queue a call; send the waiting calls of a peer; match a reply
   to its call (false: close the connection); fail all calls of a peer; fail
   the calls whose deadline has passed.  */
void rpc_client_call (rpc_t *rpc, rpc_out_call_t *call);
void rpc_client_flush (rpc_t *rpc, rpc_peer_t *peer);
bool rpc_client_reply (rpc_t *rpc, rpc_peer_t *peer, const char *record,
                       size_t length);
void rpc_client_fail_all (rpc_t *rpc, rpc_peer_t *peer, const char *why);
void rpc_client_expire (rpc_t *rpc, usec_t now);

/* On the server: handle one record.  False: close the connection.  */
bool rpc_server_record (rpc_t *rpc, rpc_connection_t *connection,
                        const char *record, size_t length);

#endif
