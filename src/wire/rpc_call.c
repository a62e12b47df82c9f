#include "wire/rpc_call.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

rpc_call_t *
rpc_call_new (rpc_t *rpc, uint64_t connection_id,
              const rpc_call_header_t *header, const unsigned char *mac,
              const char *args, size_t args_bytes)
{
  rpc_call_t *call = malloc (sizeof *call + args_bytes);
  if (!call)
    return NULL;
  call->rpc = rpc;
  call->connection_id = connection_id;
  call->header = *header;
  memcpy (call->mac, mac, sizeof call->mac);
  call->args_bytes = args_bytes;
  memcpy (call->args, args, args_bytes);
  return call;
}

void
rpc_call_free (rpc_call_t *call)
{
  free (call);
}

rpc_sender_t
rpc_call_sender (const rpc_call_t *call)
{
  return call->header.sender;
}

bool
rpc_call_args (rpc_call_t *call, xdrproc_t proc, void *args)
{
  XDR xdr;
  xdrmem_create (&xdr, call->args, (u_int)call->args_bytes, XDR_DECODE);
  if (proc (&xdr, args))
    return true;
  xdr_free (proc, args);
  rpc_count_bad_record (call->rpc);
  rpc_reply (call, NULL, NULL);
  return false;
}

bool
rpc_result_decode (const rpc_result_t *result, xdrproc_t proc, void *into)
{
  if (!result->ok)
    return false;
  XDR xdr;
  xdrmem_create (&xdr, (char *)result->body, result->body_bytes, XDR_DECODE);
  if (proc (&xdr, into))
    return true;
  xdr_free (proc, into);
  return false;
}

/* Encode into a buffer that doubles until the arguments fit.  */
static bool
args_encode (rpc_out_call_t *call)
{
  for (size_t size = 512; size <= RPC_RECORD_BYTES_MAX; size *= 2)
    {
      call->args = malloc (size);
      if (!call->args)
        return false;
      XDR xdr;
      xdrmem_create (&xdr, call->args, (u_int)size, XDR_ENCODE);
      if (call->request.encode (&xdr, call->request.args))
        {
          call->args_bytes = xdr_getpos (&xdr);
          if (call->args_bytes <= RPC_ARGS_BYTES_MAX)
            return true;
        }
      free (call->args);
      call->args = NULL;
    }
  return false;
}

rpc_out_call_t *
rpc_out_call_new (const rpc_request_t *request)
{
  rpc_out_call_t *call = calloc (1, sizeof *call);
  if (!call)
    abort ();
  call->request = *request;
  memcpy (call->address, request->address,
          strnlen (request->address, sizeof call->address - 1));
  call->request.address = call->address;
  call->deadline = clock_monotonic () + request->timeout;
  list_init (&call->link);
  call->is_too_long = request->encode && !args_encode (call);
  return call;
}
