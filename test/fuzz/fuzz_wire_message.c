/* fuzz-runs: 100000 */
/* Decodes arbitrary bytes as an RPC record.  A call that was not encoded with
   the key must never be authentic; a call encoded with the key must decode to
   the same fields, and must not be authentic once a bit is flipped.  */

#include <stdlib.h>
#include <string.h>

#include "wire/rpc_message.h"

static const unsigned char key[RPC_KEY_BYTES]
    = "0123456789abcdef0123456789abcde";

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

/* Encode a call from DATA, decode it, flip one bit, and decode it again.  */
static void
check_encoded_call (const uint8_t *data, size_t size)
{
  rpc_call_header_t header = { .xid = (uint32_t)size, .program = 7 };
  memcpy (&header.sequence, data, sizeof header.sequence);
  uint32_t value = data[0];
  rpc_frame_t frame = { 0 };
  check (rpc_message_call (&frame, &header, (xdrproc_t)xdr_uint32_t, &value,
                           key));
  char *record = frame.bytes + RPC_RECORD_MARK_BYTES;
  size_t length = frame.length - RPC_RECORD_MARK_BYTES;
  rpc_call_header_t found;
  size_t at = 0;
  bool authentic = false;
  unsigned char mac[RPC_MAC_BYTES];
  check (rpc_message_read_call (record, length, &found, &at, &authentic, mac,
                                key));
  check (authentic && found.sequence == header.sequence);
  unsigned char *bytes = (unsigned char *)record;
  bytes[data[1] % length] ^= (unsigned char)(1U << (data[2] % 8));
  if (rpc_message_read_call (record, length, &found, &at, &authentic, mac,
                             key))
    check (!authentic);
  free (frame.bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  rpc_call_header_t header;
  rpc_reply_header_t reply;
  size_t at = 0;
  bool authentic = false;
  unsigned char mac[RPC_MAC_BYTES] = { 0 };
  if (rpc_message_read_call ((const char *)data, size, &header, &at,
                             &authentic, mac, key))
    check (!authentic && at <= size);
  if (rpc_message_read_reply ((const char *)data, size, &reply, &at, mac, key))
    check (reply.status == RPC_STATUS_DENIED);
  if (size > sizeof (uint64_t))
    check_encoded_call (data, size);
  return 0;
}
