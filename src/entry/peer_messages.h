/* peer_messages: what entry VMs tell each other, in the form of the wire and
   in that of the modules that use it.  */

#ifndef ENTRY_PEER_MESSAGES_H
#define ENTRY_PEER_MESSAGES_H

#include "ledger/ledger.h"
#include "membership/liveness.h"
#include "wire/generated/entry.h"

/* TO refers to REPLICAS afterwards.  */
void peer_messages_put_ticket (entry_ticket_t *to, const ticket_t *from,
                               entry_replica_t replicas[TICKET_REPLICAS_MAX]);

/* The body of the result is that of FROM; one that is too long is left out. */
entry_outcome_t peer_messages_put_outcome (const outcome_t *from);
outcome_t peer_messages_get_outcome (const entry_outcome_t *from);

ledger_request_t peer_messages_get_request (const entry_ask_t *from);

entry_row_t peer_messages_put_row (const liveness_record_t *row);
liveness_record_t peer_messages_get_row (const entry_row_t *row);

#endif
