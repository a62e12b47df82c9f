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
  replica_action (replica, ACTION_SEND)->body.send = *message;
}

void
message_hold (replica_t *replica, const message_t *message)
{
  held_message_t *held = calloc (1, sizeof *held);
  if (!held)
    abort ();
  held->message = *message;
  list_push_back (&replica->held, &held->link);
}
