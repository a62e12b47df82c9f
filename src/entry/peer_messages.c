#include "entry/peer_messages.h"

void
peer_messages_put_ticket (entry_ticket_t *to, const ticket_t *from,
                          entry_replica_t replicas[TICKET_REPLICAS_MAX])
{
  for (size_t i = 0; i < from->n_replicas; i++)
    replicas[i]
        = (entry_replica_t){ .vm = from->replicas[i].vm,
                             .incarnation = from->replicas[i].incarnation };
  *to = (entry_ticket_t){ .issuer = from->id.issuer,
                          .issuer_incarnation = from->id.issuer_incarnation,
                          .sequence = from->id.sequence,
                          .generation = from->generation,
                          .issued_at = from->issued_at,
                          .replicas = { .replicas_len = from->n_replicas,
                                        .replicas_val = replicas } };
}

static ticket_t
decode_ticket (const entry_ticket_t *from)
{
  ticket_t to = { .id = { .issuer = (vm_id_t)from->issuer,
                          .issuer_incarnation = from->issuer_incarnation,
                          .sequence = from->sequence },
                  .generation = from->generation,
                  .issued_at = from->issued_at,
                  .n_replicas = (uint8_t)from->replicas.replicas_len };
  for (size_t i = 0; i < to.n_replicas; i++)
    to.replicas[i]
        = (ticket_replica_t){ .vm = (vm_id_t)from->replicas.replicas_val[i].vm,
                              .incarnation
                              = from->replicas.replicas_val[i].incarnation };
  return to;
}

entry_outcome_t
peer_messages_put_outcome (const outcome_t *from)
{
  bool kept = from->body_kept && from->n_body <= ENTRY_BODY_BYTES_MAX;
  return (entry_outcome_t){ .status = from->status,
                            .body_kept = kept,
                            .body = { .body_len = kept ? from->n_body : 0,
                                      .body_val = (char *)from->body } };
}

outcome_t
peer_messages_get_outcome (const entry_outcome_t *from)
{
  return (outcome_t){ .status = (uint16_t)from->status,
                      .body_kept = from->body_kept,
                      .n_body = from->body.body_len,
                      .body = from->body.body_val };
}

ledger_request_t
peer_messages_get_request (const entry_ask_t *from)
{
  return (ledger_request_t){
    .op = (ledger_op_t)from->op,
    .ticket = decode_ticket (&from->ticket),
    .attempt = { .vm = (vm_id_t)from->attempt_vm,
                 .incarnation = from->attempt_incarnation,
                 .number = from->attempt_number },
    .fingerprint
    = { .low = from->fingerprint_low, .high = from->fingerprint_high },
    .outcome = peer_messages_get_outcome (&from->outcome)
  };
}

entry_row_t
peer_messages_put_row (const liveness_record_t *row)
{
  return (entry_row_t){ .vm = row->vm,
                        .incarnation = row->incarnation,
                        .episode = row->revision,
                        .stamp = row->vm_clock,
                        .reachable = row->is_reachable,
                        .leaving = row->takes_no_callers };
}

liveness_record_t
peer_messages_get_row (const entry_row_t *row)
{
  return (liveness_record_t){ .vm = (vm_id_t)row->vm,
                              .incarnation = row->incarnation,
                              .revision = row->episode,
                              .vm_clock = row->stamp,
                              .is_reachable = row->reachable,
                              .takes_no_callers = row->leaving };
}
