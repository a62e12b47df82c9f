/* rpc_message: encoding and decoding of one authenticated ONC RPC message.  */

#ifndef WIRE_RPC_MESSAGE_H
#define WIRE_RPC_MESSAGE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/rpc.h"

/* The XDR filter for a call without arguments or a reply without a result.  */
bool_t rpc_xdr_void (XDR *xdr, void *result);

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
  uint64_t nonce; /* of the connection; 0 in procedure 0, the greeting */
  uint64_t sequence;
} rpc_call_header_t;

typedef enum
{
  RPC_STATUS_OK,
  RPC_STATUS_NO_PROGRAM,
  RPC_STATUS_NO_PROCEDURE,
  RPC_STATUS_GARBAGE,
  RPC_STATUS_DENIED, /* wrong key, nonce or sequence */
} rpc_status_t;

typedef struct rpc_reply_header
{
  uint32_t xid;
  rpc_status_t status;
  rpc_sender_t sender;
} rpc_reply_header_t;

/* An encoded message with its record mark; BYTES is malloc'd.  */
typedef struct rpc_frame
{
  char *bytes;
  size_t length;
  unsigned char mac[RPC_MAC_BYTES]; /* of a call; its reply's MAC covers it */
} rpc_frame_t;

/* Encode a call.  False if the arguments can't be encoded or the record
   exceeds RPC_RECORD_BYTES_MAX.  */
bool rpc_message_call (rpc_frame_t *frame, const rpc_call_header_t *header,
                       xdrproc_t encode, void *args, const unsigned char *key);

/* Decode the call in RECORD, of LENGTH bytes.  *ARGS_AT is the offset of its
   arguments.  False if the record is not a well-formed call.  *AUTHENTIC says
   whether its MAC is valid for KEY; MAC is then the call's MAC.  */
bool rpc_message_read_call (const char *record, size_t length,
                            rpc_call_header_t *header, size_t *args_at,
                            bool *authentic, unsigned char *mac,
                            const unsigned char *key);

/* Encode a reply to the call whose MAC is CALL_MAC.  ENCODE and RESULT are
   used only if the status is RPC_STATUS_OK.  */
bool rpc_message_reply (rpc_frame_t *frame, const rpc_reply_header_t *header,
                        xdrproc_t encode, void *result,
                        const unsigned char *call_mac,
                        const unsigned char *key);

/* Decode and verify a reply; *RESULT_AT is the offset of its result.  CALL_MAC
   is the MAC of the call with the same xid (see rpc_message_xid).  False if
   the reply is malformed or its MAC is wrong.  A reply with RPC_STATUS_DENIED
   carries no MAC and is not verified.  */
bool rpc_message_read_reply (const char *record, size_t length,
                             rpc_reply_header_t *header, size_t *result_at,
                             const unsigned char *call_mac,
                             const unsigned char *key);

/* The xid of a record of at least 4 bytes.  */
uint32_t rpc_message_xid (const char *record);

#endif
