/* rpc: ONC RPC (RFC 5531) over TCP between the processes of this system.

   One thread owns all sockets and must not block.  Every message is
   authenticated with a key that all VMs of an organisation share, and carries
   the sender's VM and incarnation.  A call also carries the nonce that the
   server chose for the connection and an increasing sequence number, so that a
   replayed call is refused.  A record that is too long, malformed or truncated
   closes its connection and is counted.

   A connection without calls is closed after the idle time, so that
   connections opened at start or for a rare call don't stay open for ever.  A
   connection is also closed when a call on it times out and no byte has been
   received since that call was sent.  */

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

/* An incoming call.  The handler owns the call and must end it with exactly
   one rpc_reply or rpc_reply_void, at once or later from any thread.  */
typedef struct rpc_call rpc_call_t;

typedef struct rpc_options
{
  const char *address;      /* dotted IPv4; also the source of calls sent */
  uint16_t port;            /* 0: send calls only, serve none */
  uint32_t vm;              /* index in the settings; RPC_VM_TOOL for tools */
  uint64_t incarnation;     /* not 0; differs at every start */
  const unsigned char *key; /* RPC_KEY_BYTES bytes */
  usec_t idle; /* until an unused connection closes; 0: RPC_IDLE */
} rpc_options_t;

/* The calling end closes first: the serving end waits twice as long.  */
#define RPC_IDLE (60 * USEC_PER_SEC)

#define RPC_VM_TOOL ((uint32_t)0xffffffff)

/* The authenticated sender of a message.  */
typedef struct rpc_sender
{
  uint32_t vm;
  uint64_t incarnation;
} rpc_sender_t;

/* The outcome of a call that was sent with rpc_send.  */
typedef struct rpc_result
{
  bool ok;
  bool sent;           /* bytes of the call may have left this VM */
  err_t error;         /* if not ok */
  rpc_sender_t sender; /* of the reply, if ok */
  const char *body;    /* XDR-encoded result, if ok; valid during DONE only */
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
  _Atomic uint64_t reconnects;  /* no answer to the opening packet */
  _Atomic uint64_t bad_records; /* malformed, too long or truncated */
  _Atomic uint64_t bad_auth;    /* wrong key */
  _Atomic uint64_t replays;     /* wrong nonce, or sequence not increasing */
  _Atomic uint64_t connections; /* open now */
  _Atomic uint64_t bytes_in;
  _Atomic uint64_t bytes_out;
} rpc_counters_t;

/* Open the port without starting the thread.  The key is copied.  NULL with
   ERR_IO if the port can't be opened.  */
rpc_t *rpc_open (const rpc_options_t *options, err_t *err);

/* Serve PROCEDURE of PROGRAM with HANDLER.  Call before rpc_start; at most
   RPC_HANDLERS_MAX procedures.  */
void rpc_register (rpc_t *rpc, uint32_t program, uint32_t version,
                   uint32_t procedure, rpc_handler_t handler, void *closure);

/* Start the RPC thread.  False with ERR_IO if it can't be created.  */
bool rpc_start (rpc_t *rpc, err_t *err);

/* Stop the thread, close all connections and free RPC.  Sent calls that have
   no answer yet end with a result that is not ok.  */
void rpc_close (rpc_t *rpc);

const rpc_counters_t *rpc_counters (const rpc_t *rpc);

/* Decode CALL's arguments with PROC into *ARGS, which must be zeroed; release
   with xdr_free.  If they are malformed, CALL is answered with GARBAGE_ARGS,
   counted as a bad record and freed, and the function returns false.  */
bool rpc_call_args (rpc_call_t *call, xdrproc_t proc, void *args);

rpc_sender_t rpc_call_sender (const rpc_call_t *call);

/* Reply to CALL with RESULT, encoded by PROC (NULL: GARBAGE_ARGS), and free
   CALL.  Thread-safe.  */
void rpc_reply (rpc_call_t *call, xdrproc_t proc, void *result);
/* Reply to a call that has no result, and free CALL.  Thread-safe.  */
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

/* Send REQUEST; its arguments are encoded before the function returns.
   Thread-safe, never blocks.  */
void rpc_send (rpc_t *rpc, const rpc_request_t *request);

/* Decode RESULT's body with PROC into *INTO, which must be zeroed; release
   with xdr_free.  False if RESULT is not ok or its body is malformed.  */
bool rpc_result_decode (const rpc_result_t *result, xdrproc_t proc,
                        void *into);

#endif
