/* rpc: ONC RPC (RFC 5531) over TCP between our own processes.

   One thread owns all sockets; nothing blocks in it.  Every message is
   authenticated with a key that all VMs of an organisation share, and names
   the sender's VM and incarnation; a call also names the incarnation that it
   is meant for and a sequence number, so that a recorded message is refused
   when it is sent again.  A record that is too long, garbled or truncated
   ends its connection and is counted.

   A connection without calls is closed after a while, so that what a start or
   a rare call opened does not stay for good.  A silent connection is dropped
   when a call on it times out and nothing at all came back since the call was
   sent.  */

#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"

enum
{
  RPC_RECORD_BYTES_MAX = 1024 * 1024,
  RPC_KEY_BYTES = 32,
  RPC_HANDLERS_MAX = 32,
};

typedef struct rpc rpc_t;

/* An incoming call; the handler, or whoever it hands the call to, must end
   it by exactly one rpc_reply.  */
typedef struct rpc_call rpc_call_t;

typedef struct rpc_options
{
  const char *address;  /* dotted IPv4; also the source of our own calls */
  uint16_t port;        /* 0: calls only, nothing is served */
  uint32_t vm;          /* our index in the settings; RPC_VM_TOOL for tools */
  uint64_t incarnation; /* not 0; differs at every start */
  const unsigned char *key; /* RPC_KEY_BYTES bytes */
  usec_t idle; /* before an unused connection is closed; 0: RPC_IDLE */
} rpc_options_t;

/* The caller closes first: the other end waits twice as long.  */
#define RPC_IDLE (60 * USEC_PER_SEC)

#define RPC_VM_TOOL ((uint32_t)0xffffffff)

/* Who sent a message, as authenticated.  */
typedef struct rpc_sender
{
  uint32_t vm;
  uint64_t incarnation;
} rpc_sender_t;

/* What became of a call that we made.  */
typedef struct rpc_result
{
  bool ok;
  bool sent;           /* bytes of the call may have left this VM */
  err_t error;         /* where not ok */
  rpc_sender_t sender; /* who answered, where ok */
  const char *body;    /* the encoded result, where ok */
  uint32_t body_bytes;
} rpc_result_t;

/* Called on the RPC thread; must not block.  */
typedef void (*rpc_handler_t) (void *closure, rpc_call_t *call);
typedef void (*rpc_done_t) (void *closure, const rpc_result_t *result);

typedef struct rpc_counters
{
  _Atomic uint64_t calls_sent;
  _Atomic uint64_t calls_served;
  _Atomic uint64_t timeouts;
  _Atomic uint64_t bad_records; /* garbled, too long or truncated */
  _Atomic uint64_t bad_auth;    /* wrong key or incarnation */
  _Atomic uint64_t replays;
  _Atomic uint64_t connections; /* open now */
  _Atomic uint64_t bytes_in;
  _Atomic uint64_t bytes_out;
} rpc_counters_t;

/* Open the port; the thread is not started yet.  The key is copied.  */
rpc_t *rpc_open (const rpc_options_t *options, err_t *err);

/* Serve PROCEDURE of PROGRAM; before rpc_start only.  */
void rpc_register (rpc_t *rpc, uint32_t program, uint32_t version,
                   uint32_t procedure, rpc_handler_t handler, void *closure);

bool rpc_start (rpc_t *rpc, err_t *err);

/* Stop the thread and close all; calls not yet answered end as not ok.  */
void rpc_close (rpc_t *rpc);

const rpc_counters_t *rpc_counters (const rpc_t *rpc);

/* The arguments, decoded by PROC into *ARGS (zeroed before; release with
   xdr_free).  On failure the call has been answered as garbage and counted,
   and is gone.  */
bool rpc_call_args (rpc_call_t *call, xdrproc_t proc, void *args);

rpc_sender_t rpc_call_sender (const rpc_call_t *call);

/* Answer CALL from any thread; CALL is gone after it.  */
void rpc_reply (rpc_call_t *call, xdrproc_t proc, void *result);
/* The same for a call that has no result.  */
void rpc_reply_void (rpc_call_t *call);

typedef struct rpc_request
{
  const char *address; /* dotted IPv4 */
  uint16_t port;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  xdrproc_t encode;
  void *args;
  usec_t timeout;
  rpc_done_t done; /* called exactly once, on the RPC thread */
  void *closure;
} rpc_request_t;

/* Call a peer from any thread; never blocks.  */
void rpc_send (rpc_t *rpc, const rpc_request_t *request);

/* Decode a result's body.  */
bool rpc_result_decode (const rpc_result_t *result, xdrproc_t proc,
                        void *into);

#endif
