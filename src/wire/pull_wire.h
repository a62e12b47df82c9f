/* pull_wire: pulls of versions between membership's types and the wire's.  */

#ifndef WIRE_PULL_WIRE_H
#define WIRE_PULL_WIRE_H

#include "membership/version_sync.h"
#include "wire/rpc.h"

/* Send PULL; DONE gets the result on the RPC thread.  */
void pull_wire_send (rpc_t *rpc, const version_sync_pull_t *pull,
                     const char *address, uint16_t port, usec_t timeout,
                     rpc_done_t done, void *closure);

/* Fill in *ANSWER, for version_answer_clear.  */
bool pull_wire_answer (const rpc_result_t *result, version_answer_t *answer);

/* What a caller asked.  */
typedef struct pull_asked
{
  uint64_t version;
  version_report_t reports[VERSION_REPORTS_MAX];
  size_t n_reports;
} pull_asked_t;

/* False where the call was garbage and is gone.  */
bool pull_wire_asked (rpc_call_t *call, pull_asked_t *asked);

/* Answer CALL, and clear ANSWER.  */
void pull_wire_reply (rpc_call_t *call, version_answer_t *answer);

/* Serve pulls by HANDLER; before rpc_start.  */
void pull_wire_register (rpc_t *rpc, rpc_handler_t handler, void *closure);

#endif
