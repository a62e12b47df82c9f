#include "wire/pull_wire.h"

#include <string.h>

#include "wire/generated/pull.h"

void
pull_wire_send (rpc_t *rpc, const version_sync_pull_t *pull,
                const char *address, uint16_t port, usec_t timeout,
                rpc_done_t done, void *closure)
{
  pull_report_t reports[VERSION_REPORTS_MAX];
  for (size_t i = 0; i < pull->n_reports; i++)
    reports[i]
        = (pull_report_t){ .vm = pull->reports[i].vm,
                           .sheet_version = pull->reports[i].version,
                           .in_force_ms = pull->reports[i].in_force_age_ms,
                           .heard_ms = pull->reports[i].heard_age_ms };
  pull_args_t args = { .sheet_version = pull->version };
  args.reports.reports_len = (u_int)pull->n_reports;
  args.reports.reports_val = reports;
  const rpc_request_t request = { .address = address,
                                  .port = port,
                                  .program = MULBERRY_PULL,
                                  .version = MULBERRY_PULL_V1,
                                  .procedure = PULL_NEWER,
                                  .encode = (xdrproc_t)xdr_pull_args_t,
                                  .args = &args,
                                  .timeout = timeout,
                                  .done = done,
                                  .closure = closure };
  rpc_send (rpc, &request);
}

bool
pull_wire_decode_result (const rpc_result_t *result, version_answer_t *answer)
{
  pull_result_t pulled = { 0 };
  if (!result->ok
      || !rpc_result_decode (result, (xdrproc_t)xdr_pull_result_t, &pulled))
    return false;
  *answer = (version_answer_t){
    .kind = (version_answer_kind_t)pulled.kind,
    .version = pulled.sheet_version,
    .base_version = pulled.base,
    .checksum = pulled.checksum,
    .text = text_copy (pulled.text.text_val, pulled.text.text_len),
    .freshness
    = pulled.freshness_us < 0 ? FRESHNESS_UNKNOWN : pulled.freshness_us,
  };
  xdr_free ((xdrproc_t)xdr_pull_result_t, (char *)&pulled);
  return true;
}

bool
pull_wire_decode_args (rpc_call_t *call, pull_request_t *asked)
{
  pull_args_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_pull_args_t, &args))
    return false;
  *asked = (pull_request_t){ .version = args.sheet_version,
                             .n_reports = args.reports.reports_len };
  for (size_t i = 0; i < asked->n_reports; i++)
    {
      const pull_report_t *report = &args.reports.reports_val[i];
      asked->reports[i] = (version_report_t){
        .vm = report->vm < TOPOLOGY_NONE ? (vm_id_t)report->vm : TOPOLOGY_NONE,
        .version = report->sheet_version,
        .in_force_age_ms = report->in_force_ms,
        .heard_age_ms = report->heard_ms,
      };
    }
  xdr_free ((xdrproc_t)xdr_pull_args_t, (char *)&args);
  return true;
}

void
pull_wire_reply (rpc_call_t *call, version_answer_t *answer)
{
  pull_result_t result = {
    .kind = (pull_kind_t)answer->kind,
    .sheet_version = answer->version,
    .base = answer->base_version,
    .checksum = answer->checksum,
    .freshness_us
    = answer->freshness == FRESHNESS_UNKNOWN ? -1 : answer->freshness,
  };
  result.text.text_val = answer->text.bytes;
  result.text.text_len = (u_int)answer->text.length;
  rpc_reply (call, (xdrproc_t)xdr_pull_result_t, &result);
  version_answer_clear (answer);
}

void
pull_wire_register (rpc_t *rpc, rpc_handler_t handler, void *closure)
{
  rpc_register (rpc, MULBERRY_PULL, MULBERRY_PULL_V1, PULL_NEWER, handler,
                closure);
}
