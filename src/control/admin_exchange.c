#include "control/admin_exchange.h"

#include <jansson.h>
#include <string.h>

#include "base/clock.h"
#include "wire/http_reply.h"

enum MHD_Result
admin_reply_text (admin_exchange_t *exchange, unsigned status,
                  const char *type, char *text, size_t length)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (length, text, MHD_RESPMEM_MUST_FREE);
  if (!response)
    return MHD_NO;
  exchange->status = status;
  if (!exchange->reason)
    exchange->reason = "";
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  if (exchange->credential)
    {
      char signature[CREDENTIAL_ANSWER_BYTES];
      credential_sign_answer (exchange->credential, exchange->authorization,
                              status, text, length, signature);
      MHD_add_response_header (response, CREDENTIAL_ANSWER_HEADER, signature);
    }
  enum MHD_Result queued
      = MHD_queue_response (exchange->connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

/* Queue JSON as the answer; takes its reference.  */
static enum MHD_Result
reply_json (admin_exchange_t *exchange, unsigned status, json_t *json)
{
  char *text
      = json ? json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER) : NULL;
  json_decref (json);
  if (!text)
    return MHD_NO;
  return admin_reply_text (exchange, status, "application/json", text,
                           strlen (text));
}

static json_t *
error_json (const err_t *err)
{
  return json_pack ("{s:s,s:s,s:s}", "kind", err_kind_name (err->kind),
                    "message", err->message, "remedy", err->remedy);
}

enum MHD_Result
admin_reply_error (admin_exchange_t *exchange, unsigned status,
                   const err_t *err)
{
  exchange->reason = err_kind_name (err->kind);
  return reply_json (exchange, status,
                     json_pack ("{s:o}", "error", error_json (err)));
}

enum MHD_Result
admin_reply_accepted (admin_exchange_t *exchange,
                      const admin_accepted_t *accepted)
{
  exchange->number = accepted->number;
  return reply_json (exchange, MHD_HTTP_OK,
                     json_pack ("{s:s,s:I,s:s,s:s}", "outcome", "accepted",
                                "number", (json_int_t)accepted->number,
                                "operator", accepted->operator_name.text,
                                "digest", accepted->digest));
}

static unsigned
refusal_http_status (err_kind_t kind)
{
  if (kind == ERR_AUTH)
    return MHD_HTTP_FORBIDDEN;
  /* The planned cost exceeds a cap; http_reply_status would report a request
     body above its limit.  */
  if (kind == ERR_LIMIT)
    return MHD_HTTP_UNPROCESSABLE_CONTENT;
  return http_reply_status (kind);
}

enum MHD_Result
admin_reply_refused (admin_exchange_t *exchange, const sheet_faults_t *faults,
                     const err_t *err)
{
  json_t *rows = json_array ();
  for (size_t i = 0; i < faults->n_faults && i < SHEET_FAULTS_MAX; i++)
    {
      const sheet_fault_t *fault = &faults->fault[i];
      json_array_append_new (
          rows, json_pack ("{s:I,s:s,s:s,s:s}", "row", (json_int_t)fault->row,
                           "column", fault->column, "message", fault->message,
                           "remedy", fault->remedy));
    }
  exchange->reason = err_kind_name (err->kind);
  return reply_json (
      exchange, refusal_http_status (err->kind),
      json_pack ("{s:o,s:o}", "error", error_json (err), "faults", rows));
}

enum MHD_Result
admin_reply_status (admin_exchange_t *exchange, const settings_t *settings,
                    vm_id_t self, const admin_status_t *status)
{
  const vm_t *vms = settings->topology.vms;
  json_t *replicas = json_array ();
  for (size_t i = 0; i < status->n_replicas; i++)
    json_array_append_new (replicas,
                           json_pack ("{s:s,s:s}", "vm",
                                      vms[status->replicas[i].vm].name.text,
                                      "state", status->replicas[i].state));
  const char *leader
      = status->leader == TOPOLOGY_NONE ? "" : vms[status->leader].name.text;
  return reply_json (
      exchange, MHD_HTTP_OK,
      json_pack (
          "{s:s,s:s,s:s,s:I,s:I,s:I,s:o}", "vm", vms[self].name.text, "role",
          status->role, "leader", leader, "term", (json_int_t)status->term,
          "number", (json_int_t)status->number, "time",
          (json_int_t)(clock_wall () / USEC_PER_SEC), "replicas", replicas));
}
