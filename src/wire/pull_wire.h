/* pull_wire: the RPC by which a VM pulls a newer sheet version, and the
   conversion between its XDR types and those of membership/version_sync.h.  */

#ifndef WIRE_PULL_WIRE_H
#define WIRE_PULL_WIRE_H

#include "membership/version_sync.h"
#include "wire/rpc.h"

/* Send PULL to ADDRESS:PORT.  DONE is called with the result on the RPC
   thread; decode the result with pull_wire_decode_result.  */
void pull_wire_send (rpc_t *rpc, const version_sync_pull_t *pull,
                     const char *address, uint16_t port, usec_t timeout,
                     rpc_done_t done, void *closure);

/* Decode RESULT into *ANSWER, to be released with version_answer_clear.  False
   if the call failed or its result is malformed.  */
bool pull_wire_decode_result (const rpc_result_t *result,
                              version_answer_t *answer);

/* The decoded arguments of an incoming pull.  */
typedef struct pull_request
{
  uint64_t version;
  version_report_t reports[VERSION_REPORTS_MAX];
  size_t n_reports;
} pull_request_t;

/* Decode CALL's arguments into *ASKED.  False if they are malformed; CALL has
   then been answered and freed.  */
bool pull_wire_decode_args (rpc_call_t *call, pull_request_t *asked);

/* Reply to CALL with ANSWER, and clear ANSWER.  CALL is freed.  */
void pull_wire_reply (rpc_call_t *call, version_answer_t *answer);

/* Register HANDLER for incoming pulls.  Call before rpc_start.  */
void pull_wire_register (rpc_t *rpc, rpc_handler_t handler, void *closure);

#endif
