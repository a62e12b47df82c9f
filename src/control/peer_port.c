#include "control/peer_port.h"

#include "base/clock.h"
#include "wire/pull_wire.h"

static void
serve_pull (void *closure, rpc_call_t *call)
{
  accepted_sheet_t *accepted = closure;
  pull_request_t asked;
  if (!pull_wire_decode_args (call, &asked))
    return;
  version_answer_t answer = accepted_sheet_answer_pull (
      accepted, clock_monotonic (), asked.version, asked.reports,
      asked.n_reports);
  pull_wire_reply (call, &answer);
}

void
peer_port_register (rpc_t *rpc, accepted_sheet_t *accepted)
{
  pull_wire_register (rpc, serve_pull, accepted);
}
