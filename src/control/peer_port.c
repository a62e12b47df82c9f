#include "control/peer_port.h"

#include <stdlib.h>

#include "wire/generated/control.h"

static void
serve_pull (void *closure, rpc_call_t *call)
{
  accepted_t *accepted = closure;
  control_pull_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_control_pull_args_t, &args))
    return;
  control_pull_result_t result = { .kind = CONTROL_PULL_NOT_NEWER };
  size_t length = 0;
  uint64_t number = 0;
  char *sheet
      = accepted_newer (accepted, args.sheet_version, &length, &number);
  if (sheet)
    {
      result.kind = CONTROL_PULL_FULL;
      control_full_t *full = &result.control_pull_result_t_u.full;
      full->sheet_version = number;
      full->sheet.sheet_val = sheet;
      full->sheet.sheet_len = (u_int)length;
    }
  rpc_reply (call, (xdrproc_t)xdr_control_pull_result_t, &result);
  free (sheet);
}

void
peer_port_register (rpc_t *rpc, accepted_t *accepted)
{
  rpc_register (rpc, MULBERRY_CONTROL, MULBERRY_CONTROL_V1, CONTROL_PULL,
                serve_pull, accepted);
}
