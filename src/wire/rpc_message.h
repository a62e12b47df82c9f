/* rpc_message: one authenticated ONC RPC message as bytes.  */

#ifndef WIRE_RPC_MESSAGE_H
#define WIRE_RPC_MESSAGE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/rpc.h"

/* The XDR filter of a call or an answer that carries nothing.  */
bool_t rpc_xdr_nothing (XDR *xdr, void *result);

enum
{
  RPC_MAC_BYTES = 32,        /* HMAC-SHA256 */
  RPC_RECORD_MARK_BYTES = 4, /* RFC 5531, section 11 */
  RPC_AUTH_FLAVOR = 0x4d4c4231,
};

typedef struct rpc_call_header
{
  uint32_t xid;
  uint32_t program;
  uint32_t version;
  uint32_t procedure;
  rpc_sender_t sender;
  uint64_t target; /* the incarnation called; 0 only in procedure 0 */
  uint64_t sequence;
} rpc_call_header_t;

typedef enum
{
  RPC_STATUS_OK,
  RPC_STATUS_NO_PROGRAM,
  RPC_STATUS_NO_PROCEDURE,
  RPC_STATUS_GARBAGE,
  RPC_STATUS_DENIED, /* wrong key, incarnation or sequence */
} rpc_status_t;

typedef struct rpc_reply_header
{
  uint32_t xid;
  rpc_status_t status;
  rpc_sender_t sender;
} rpc_reply_header_t;

/* A message with its record mark; BYTES is malloc's.  */
typedef struct rpc_frame
{
  char *bytes;
  size_t length;
  unsigned char mac[RPC_MAC_BYTES]; /* a call's; its reply is bound to it */
} rpc_frame_t;

/* Encode a call; false where the arguments don't fit or don't encode.  */
bool rpc_message_call (rpc_frame_t *frame, const rpc_call_header_t *header,
                       xdrproc_t encode, void *args, const unsigned char *key);

/* Read a call's record of LENGTH bytes.  *ARGS_AT is where its arguments
   begin.  False where it isn't a legal call; *AUTHENTIC tells whether the
   key was right, and MAC is then the call's.  */
bool rpc_message_read_call (const char *record, size_t length,
                            rpc_call_header_t *header, size_t *args_at,
                            bool *authentic, unsigned char *mac,
                            const unsigned char *key);

/* Encode a reply to the call with CALL_MAC; ENCODE and RESULT are used where
   the status is RPC_STATUS_OK.  */
bool rpc_message_reply (rpc_frame_t *frame, const rpc_reply_header_t *header,
                        xdrproc_t encode, void *result,
                        const unsigned char *call_mac,
                        const unsigned char *key);

/* Read a reply; CALL_MAC is that of the call with its xid, which
   rpc_message_xid tells beforehand.  */
bool rpc_message_read_reply (const char *record, size_t length,
                             rpc_reply_header_t *header, size_t *result_at,
                             const unsigned char *call_mac,
                             const unsigned char *key);

/* The xid of a record of at least 4 bytes.  */
uint32_t rpc_message_xid (const char *record);

#endif
