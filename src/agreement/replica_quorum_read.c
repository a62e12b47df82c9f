#include "agreement/replica_internal.h"

#include <string.h>

/* A replica that has started, or has lost its leader, learns from a majority
   whether its log is the newest, without waiting until a leader is elected.

   An entry of term T that a majority holds while all of them are still in term
   T is committed: a leader of a later term needs the vote of one of them,
   which it gives only to a log that has the entry.  Every entry that was
   committed before the query is in the log of one of them.  So if the logs of
   a majority end with the same entry, of the term that they are in, all of the
   log is committed and nothing newer was when the query was sent.  */

static void
ask_all (replica_t *replica)
{
  quorum_read_t *read = &replica->quorum_read;
  read->query_sent_at = replica->now;
  read->index = replica->last_index;
  read->term = replica->last_term;
  memset (read->is_same, 0, sizeof read->is_same);
  read->is_same[replica->options.slot] = true;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    {
      if (slot == replica->options.slot)
        continue;
      message_t message = message_to (replica, MESSAGE_LOG_QUERY, slot,
                                      replica->config.incarnation[slot]);
      message.body.log_query.sent_at = replica->now;
      message_send_after_sync (replica, &message);
    }
}

void
quorum_read_tick (replica_t *replica)
{
  const quorum_read_t *read = &replica->quorum_read;
  usec_t interval = 2 * replica->options.round_trip;
  /* A leader's messages tell what is committed.  Until there is one the query
     is repeated: who started later needs a later confirmation.  */
  bool has_leader = replica->leader != SLOT_NONE && read->query_sent_at > 0;
  if (!replica->options.reads_quorum || has_leader
      || replica->role != ROLE_FOLLOWER
      || replica->last_term != replica->vote.term
      || !config_has_vote (replica, replica->options.slot,
                           replica->incarnation))
    return;
  if (read->query_sent_at == 0
      || replica->now >= read->query_sent_at + interval)
    ask_all (replica);
}

void
quorum_read_on_query (replica_t *replica, const message_t *message)
{
  if (replica->role == ROLE_BLANK)
    return;
  message_t response = message_to (replica, MESSAGE_LOG_STATUS, message->from,
                                   message->from_incarnation);
  response.body.log_status
      = (log_status_t){ .last_index = replica->last_index,
                        .last_term = replica->last_term,
                        .sent_at = message->body.log_query.sent_at };
  message_send_after_sync (replica, &response);
}

/* True if the log and the term are those for which the query was sent, and the
   log is on disk.  */
static bool
log_is_unchanged (const replica_t *replica)
{
  const quorum_read_t *read = &replica->quorum_read;
  return replica->vote.term == read->term && replica->last_term == read->term
         && replica->last_index == read->index
         && replica->synced_index >= read->index
         && replica->pending_slot == SLOT_NONE;
}

static size_t
count_same (const replica_t *replica)
{
  size_t n = 0;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    n += replica->quorum_read.is_same[slot];
  return n;
}

void
quorum_read_on_status (replica_t *replica, const message_t *message)
{
  quorum_read_t *read = &replica->quorum_read;
  const log_status_t *status = &message->body.log_status;
  if (read->query_sent_at == 0 || status->sent_at != read->query_sent_at
      || replica->role != ROLE_FOLLOWER || message->term != read->term
      || status->last_term != read->term || status->last_index != read->index
      || !log_is_unchanged (replica)
      || !config_has_vote (replica, message->from, message->from_incarnation))
    return;
  read->is_same[message->from] = true;
  if (count_same (replica) < config_majority (replica))
    return;
  read->confirmed_at = read->query_sent_at;
  replica_advance_commit (replica, read->index);
}
