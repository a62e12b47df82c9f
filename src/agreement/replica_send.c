#include "agreement/replica_internal.h"

#include <stdlib.h>

message_t
message_to (const replica_t *replica, message_kind_t kind, slot_t to,
            incarnation_t incarnation)
{
  return (message_t){ .kind = kind,
                      .from = replica->options.slot,
                      .to = to,
                      .from_incarnation = replica->incarnation,
                      .to_incarnation = incarnation,
                      .cluster = replica->config.cluster,
                      .term = replica->vote.term };
}

void
message_send (replica_t *replica, const message_t *message)
{
  replica_add_action (replica, ACTION_SEND)->body.send = *message;
}

void
message_send_after_sync (replica_t *replica, const message_t *message)
{
  deferred_message_t *deferred = calloc (1, sizeof *deferred);
  if (!deferred)
    abort ();
  deferred->message = *message;
  list_push_back (&replica->deferred_messages, &deferred->link);
}
