#include "wire/rpc_message.h"

#include <arpa/inet.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEADER_BYTES_MAX = 256,
  LAST_FRAGMENT = 0x80000000u,
};

/* The fields of a call's credential and of a reply's verifier.  */
typedef struct identity
{
  uint32_t vm;
  uint64_t incarnation;
  uint64_t nonce;
  uint64_t sequence;
  unsigned char mac[RPC_MAC_BYTES];
} identity_t;

enum
{
  CREDENTIAL_BYTES = 4 + 8 + 8 + 8,
  VERIFIER_BYTES = 4 + 8 + RPC_MAC_BYTES,
};

static bool
identity_xdr_credential (XDR *xdr, identity_t *id)
{
  return xdr_uint32_t (xdr, &id->vm) && xdr_uint64_t (xdr, &id->incarnation)
         && xdr_uint64_t (xdr, &id->nonce)
         && xdr_uint64_t (xdr, &id->sequence);
}

static bool
identity_xdr_verifier (XDR *xdr, identity_t *id)
{
  return xdr_uint32_t (xdr, &id->vm) && xdr_uint64_t (xdr, &id->incarnation)
         && xdr_opaque (xdr, (char *)id->mac, RPC_MAC_BYTES);
}

bool_t
rpc_xdr_void (XDR *xdr, void *result)
{
  (void)xdr;
  (void)result;
  return TRUE;
}

static void
compute_mac (unsigned char *mac, const unsigned char *key, const char *bytes,
             size_t length, const unsigned char *call_mac)
{
  char hmac_key[RPC_KEY_BYTES + RPC_MAC_BYTES];
  size_t key_bytes = RPC_KEY_BYTES;
  memcpy (hmac_key, key, RPC_KEY_BYTES);
  if (call_mac)
    {
      memcpy (hmac_key + RPC_KEY_BYTES, call_mac, RPC_MAC_BYTES);
      key_bytes += RPC_MAC_BYTES;
    }
  unsigned int mac_length = RPC_MAC_BYTES;
  HMAC (EVP_sha256 (), hmac_key, (int)key_bytes, (const unsigned char *)bytes,
        length, mac, &mac_length);
}

/* Encode BODY after a copy of HEADER, in a buffer that is doubled until BODY
   fits.  False if the record exceeds RPC_RECORD_BYTES_MAX.  */
static bool
frame_build (rpc_frame_t *frame, const char *header, size_t header_bytes,
             xdrproc_t encode, void *body)
{
  size_t size = 1024;
  size_t body_at = RPC_RECORD_MARK_BYTES + header_bytes;
  for (; size <= 2 * RPC_RECORD_BYTES_MAX; size *= 2)
    {
      if (size <= body_at)
        continue;
      char *bytes = malloc (size);
      if (!bytes)
        return false;
      memcpy (bytes + RPC_RECORD_MARK_BYTES, header, header_bytes);
      XDR xdr;
      xdrmem_create (&xdr, bytes + body_at, (u_int)(size - body_at),
                     XDR_ENCODE);
      if (!encode || encode (&xdr, body))
        {
          frame->bytes = bytes;
          frame->length = body_at + (encode ? xdr_getpos (&xdr) : 0);
          break;
        }
      free (bytes);
    }
  if (size > 2 * RPC_RECORD_BYTES_MAX)
    return false;
  size_t record = frame->length - RPC_RECORD_MARK_BYTES;
  if (record > RPC_RECORD_BYTES_MAX)
    {
      free (frame->bytes);
      return false;
    }
  uint32_t mark = htonl (LAST_FRAGMENT | (uint32_t)record);
  memcpy (frame->bytes, &mark, sizeof mark);
  return true;
}

/* Write the record's MAC at MAC_AT; the MAC is computed with these bytes zero.
   CALL_MAC is that of the call for a reply, NULL for a call.  */
static void
frame_sign (rpc_frame_t *frame, size_t mac_at, const unsigned char *key,
            const unsigned char *call_mac)
{
  char *record = frame->bytes + RPC_RECORD_MARK_BYTES;
  compute_mac (frame->mac, key, record, frame->length - RPC_RECORD_MARK_BYTES,
               call_mac);
  memcpy (record + mac_at, frame->mac, RPC_MAC_BYTES);
}

/* Verify the MAC at MAC_AT in RECORD; *MAC becomes the expected MAC.  */
static bool
record_verify (const char *record, size_t length, size_t mac_at,
               unsigned char *mac, const unsigned char *key,
               const unsigned char *call_mac)
{
  char *copy = malloc (length);
  if (!copy)
    return false;
  memcpy (copy, record, length);
  memset (copy + mac_at, 0, RPC_MAC_BYTES);
  compute_mac (mac, key, copy, length, call_mac);
  free (copy);
  return CRYPTO_memcmp (mac, record + mac_at, RPC_MAC_BYTES) == 0;
}

bool
rpc_message_call (rpc_frame_t *frame, const rpc_call_header_t *header,
                  xdrproc_t encode, void *args, const unsigned char *key)
{
  identity_t id = { .vm = header->sender.vm,
                    .incarnation = header->sender.incarnation,
                    .nonce = header->nonce,
                    .sequence = header->sequence };
  char credential[CREDENTIAL_BYTES];
  char verifier[RPC_MAC_BYTES] = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, credential, sizeof credential, XDR_ENCODE);
  if (!identity_xdr_credential (&xdr, &id))
    return false;
  struct rpc_msg message = { .rm_xid = header->xid, .rm_direction = CALL };
  struct call_body *call = &message.rm_call;
  call->cb_rpcvers = RPC_MSG_VERSION;
  call->cb_prog = header->program;
  call->cb_vers = header->version;
  call->cb_proc = header->procedure;
  call->cb_cred = (struct opaque_auth){ .oa_flavor = RPC_AUTH_FLAVOR,
                                        .oa_base = credential,
                                        .oa_length = CREDENTIAL_BYTES };
  call->cb_verf = (struct opaque_auth){ .oa_flavor = RPC_AUTH_FLAVOR,
                                        .oa_base = verifier,
                                        .oa_length = RPC_MAC_BYTES };
  char bytes[HEADER_BYTES_MAX];
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  if (!xdr_callmsg (&xdr, &message))
    return false;
  size_t header_bytes = xdr_getpos (&xdr);
  if (!frame_build (frame, bytes, header_bytes, encode, args))
    return false;
  frame_sign (frame, header_bytes - RPC_MAC_BYTES, key, NULL);
  return true;
}

bool
rpc_message_read_call (const char *record, size_t length,
                       rpc_call_header_t *header, size_t *args_at,
                       bool *authentic, unsigned char *mac,
                       const unsigned char *key)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg message = { 0 };
  struct call_body *call = &message.rm_call;
  call->cb_cred.oa_base = credential;
  call->cb_verf.oa_base = verifier;
  XDR xdr;
  xdrmem_create (&xdr, (char *)record, (u_int)length, XDR_DECODE);
  *authentic = false;
  if (!xdr_callmsg (&xdr, &message) || message.rm_direction != CALL
      || call->cb_rpcvers != RPC_MSG_VERSION)
    return false;
  *args_at = xdr_getpos (&xdr);
  *header = (rpc_call_header_t){ .xid = message.rm_xid,
                                 .program = (uint32_t)call->cb_prog,
                                 .version = (uint32_t)call->cb_vers,
                                 .procedure = (uint32_t)call->cb_proc };
  if (call->cb_cred.oa_flavor != RPC_AUTH_FLAVOR
      || call->cb_cred.oa_length != CREDENTIAL_BYTES
      || call->cb_verf.oa_flavor != RPC_AUTH_FLAVOR
      || call->cb_verf.oa_length != RPC_MAC_BYTES)
    return true;
  identity_t id = { 0 };
  xdrmem_create (&xdr, credential, CREDENTIAL_BYTES, XDR_DECODE);
  if (!identity_xdr_credential (&xdr, &id))
    return true;
  header->sender
      = (rpc_sender_t){ .vm = id.vm, .incarnation = id.incarnation };
  header->nonce = id.nonce;
  header->sequence = id.sequence;
  *authentic = record_verify (record, length, *args_at - RPC_MAC_BYTES, mac,
                              key, NULL);
  return true;
}

static void
reply_set_status (struct rpc_msg *message, rpc_status_t status)
{
  if (status == RPC_STATUS_DENIED)
    {
      message->rm_reply.rp_stat = MSG_DENIED;
      message->rjcted_rply.rj_stat = AUTH_ERROR;
      message->rjcted_rply.rj_why = AUTH_BADCRED;
      return;
    }
  message->rm_reply.rp_stat = MSG_ACCEPTED;
  struct accepted_reply *reply = &message->acpted_rply;
  reply->ar_results.proc = (xdrproc_t)rpc_xdr_void;
  switch (status)
    {
    case RPC_STATUS_OK:
      reply->ar_stat = SUCCESS;
      return;
    case RPC_STATUS_NO_PROGRAM:
      reply->ar_stat = PROG_UNAVAIL;
      return;
    case RPC_STATUS_NO_PROCEDURE:
      reply->ar_stat = PROC_UNAVAIL;
      return;
    case RPC_STATUS_GARBAGE:
    case RPC_STATUS_DENIED:
      reply->ar_stat = GARBAGE_ARGS;
      return;
    }
}

static rpc_status_t
reply_status (const struct rpc_msg *message)
{
  if (message->rm_reply.rp_stat != MSG_ACCEPTED)
    return RPC_STATUS_DENIED;
  switch (message->acpted_rply.ar_stat)
    {
    case SUCCESS:
      return RPC_STATUS_OK;
    case PROG_UNAVAIL:
      return RPC_STATUS_NO_PROGRAM;
    case PROC_UNAVAIL:
      return RPC_STATUS_NO_PROCEDURE;
    default:
      return RPC_STATUS_GARBAGE;
    }
}

/* Offset of the MAC, which ends an accepted reply's verifier: xid, direction,
   status, flavor and length are 4 bytes each, then the verifier's body
   follows.  */
enum
{
  REPLY_MAC_AT = 5 * 4 + VERIFIER_BYTES - RPC_MAC_BYTES,
};

bool
rpc_message_reply (rpc_frame_t *frame, const rpc_reply_header_t *header,
                   xdrproc_t encode, void *result,
                   const unsigned char *call_mac, const unsigned char *key)
{
  identity_t id
      = { .vm = header->sender.vm, .incarnation = header->sender.incarnation };
  char verifier[VERIFIER_BYTES];
  XDR xdr;
  xdrmem_create (&xdr, verifier, sizeof verifier, XDR_ENCODE);
  if (!identity_xdr_verifier (&xdr, &id))
    return false;
  struct rpc_msg message = { .rm_xid = header->xid, .rm_direction = REPLY };
  reply_set_status (&message, header->status);
  if (header->status != RPC_STATUS_DENIED)
    message.acpted_rply.ar_verf
        = (struct opaque_auth){ .oa_flavor = RPC_AUTH_FLAVOR,
                                .oa_base = verifier,
                                .oa_length = VERIFIER_BYTES };
  char bytes[HEADER_BYTES_MAX];
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  if (!xdr_replymsg (&xdr, &message))
    return false;
  bool with_result = header->status == RPC_STATUS_OK;
  if (!frame_build (frame, bytes, xdr_getpos (&xdr),
                    with_result ? encode : NULL, result))
    return false;
  if (header->status != RPC_STATUS_DENIED)
    frame_sign (frame, REPLY_MAC_AT, key, call_mac);
  return true;
}

bool
rpc_message_read_reply (const char *record, size_t length,
                        rpc_reply_header_t *header, size_t *result_at,
                        const unsigned char *call_mac,
                        const unsigned char *key)
{
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg message = { 0 };
  message.acpted_rply.ar_verf.oa_base = verifier;
  message.acpted_rply.ar_results.proc = (xdrproc_t)rpc_xdr_void;
  XDR xdr;
  xdrmem_create (&xdr, (char *)record, (u_int)length, XDR_DECODE);
  if (!xdr_replymsg (&xdr, &message) || message.rm_direction != REPLY)
    return false;
  *header = (rpc_reply_header_t){ .xid = message.rm_xid,
                                  .status = reply_status (&message) };
  *result_at = xdr_getpos (&xdr);
  if (header->status == RPC_STATUS_DENIED)
    return true;
  const struct opaque_auth *verf = &message.acpted_rply.ar_verf;
  if (verf->oa_flavor != RPC_AUTH_FLAVOR || verf->oa_length != VERIFIER_BYTES)
    return false;
  identity_t id = { 0 };
  xdrmem_create (&xdr, verifier, VERIFIER_BYTES, XDR_DECODE);
  if (!identity_xdr_verifier (&xdr, &id))
    return false;
  header->sender
      = (rpc_sender_t){ .vm = id.vm, .incarnation = id.incarnation };
  unsigned char mac[RPC_MAC_BYTES];
  return record_verify (record, length, REPLY_MAC_AT, mac, key, call_mac);
}

uint32_t
rpc_message_xid (const char *record)
{
  uint32_t xid;
  memcpy (&xid, record, sizeof xid);
  return ntohl (xid);
}
