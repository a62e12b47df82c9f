#include "agreement/replica_internal.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Heartbeat intervals without a response after which entries or a chunk are
     sent again.  */
  RESEND_HEARTBEATS = 4,
  /* A learner that lags by more entries does not get the vote yet.  */
  LEARNER_LAG_ENTRIES_MAX = 16,
};

static bool
peer_has_vote (const replica_t *replica, slot_t slot)
{
  return config_has_vote (replica, slot, replica->peers[slot].incarnation);
}

static void
peer_reset (replica_t *replica, slot_t slot, incarnation_t incarnation)
{
  peer_t *peer = &replica->peers[slot];
  memset (peer, 0, sizeof *peer);
  peer->incarnation = incarnation;
  peer->last_heard_at = replica->now;
}

void
leader_start (replica_t *replica)
{
  replica->role = ROLE_LEADER;
  replica->leader = replica->options.slot;
  replica->leader_since = replica->now;
  election_end (replica);
  replica->n_proposals = 0;
  replica->proposal_bytes = 0;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    {
      peer_reset (replica, slot, replica->config.incarnation[slot]);
      replica->peers[slot].next_index = replica->last_index + 1;
    }
  entry_t *entry = entry_new (ENTRY_NOOP);
  entry->index = replica->last_index + 1;
  entry->term = replica->vote.term;
  replica->term_start_index = entry->index;
  log_append (replica, entry);
  replica->next_heartbeat_at
      = replica->now + replica->options.heartbeat_interval;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    leader_replicate (replica, slot, true);
}

static int
compare_times (const void *a, const void *b)
{
  usec_t x = *(const usec_t *)a;
  usec_t y = *(const usec_t *)b;
  return x < y ? 1 : (x > y ? -1 : 0);
}

bool
leader_majority_acked_at (const replica_t *replica, usec_t *at)
{
  usec_t times[REPLICAS_MAX];
  size_t n = 0;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    if (slot == replica->options.slot)
      times[n++] = replica->now;
    else if (peer_has_vote (replica, slot) && replica->peers[slot].has_acked)
      times[n++] = replica->peers[slot].acked_at;
  size_t majority = config_majority (replica);
  if (n < majority)
    return false;
  qsort (times, n, sizeof times[0], compare_times);
  *at = times[majority - 1];
  return true;
}

/* Whether no majority has answered within the election timeout.  */
static bool
has_lost_quorum (const replica_t *replica)
{
  usec_t acked_at = replica->leader_since;
  if (leader_majority_acked_at (replica, &acked_at)
      && acked_at < replica->leader_since)
    acked_at = replica->leader_since;
  return replica->now >= acked_at + replica->options.election_timeout;
}

void
leader_tick (replica_t *replica)
{
  if (has_lost_quorum (replica))
    {
      replica_become_follower (replica, replica->vote.term, SLOT_NONE);
      return;
    }
  bool is_heartbeat_due = replica->now >= replica->next_heartbeat_at;
  if (is_heartbeat_due)
    replica->next_heartbeat_at
        = replica->now + replica->options.heartbeat_interval;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    leader_replicate (replica, slot, is_heartbeat_due);
}

static void
send_snapshot (replica_t *replica, slot_t slot)
{
  peer_t *peer = &replica->peers[slot];
  const replica_snapshot_t *snapshot = &replica->snapshot;
  if (peer->snapshot_index != snapshot->index)
    peer->snapshot_offset = 0;
  peer->snapshot_index = snapshot->index;
  uint32_t total = snapshot->data ? snapshot->data->length : 0;
  uint32_t length = total - peer->snapshot_offset;
  if (length > SNAPSHOT_CHUNK_BYTES)
    length = SNAPSHOT_CHUNK_BYTES;
  const uint8_t *start
      = snapshot->data ? snapshot->data->bytes + peer->snapshot_offset : NULL;
  message_t message
      = message_to (replica, MESSAGE_SNAPSHOT, slot, peer->incarnation);
  message.body.snapshot
      = (snapshot_chunk_t){ .index = snapshot->index,
                            .index_term = snapshot->term,
                            .config = snapshot->config,
                            .sent_at = replica->now,
                            .offset = peer->snapshot_offset,
                            .total_bytes = total,
                            .data = blob_new (start, length) };
  peer->resend_at
      = replica->now + RESEND_HEARTBEATS * replica->options.heartbeat_interval;
  message_send (replica, &message);
}

static void
add_entries (const replica_t *replica, const peer_t *peer, append_t *append)
{
  size_t bytes = 0;
  LIST_FOREACH (link, &replica->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->index < peer->next_index)
      continue;
    bytes += entry_bytes (entry);
    if (append->n_entries == MESSAGE_ENTRIES_MAX
        || (append->n_entries > 0 && bytes > MESSAGE_BYTES_TARGET))
      return;
    append->entries[append->n_entries++] = entry_ref (entry);
  }
}

static void
send_append (replica_t *replica, slot_t slot, bool with_entries)
{
  peer_t *peer = &replica->peers[slot];
  message_t message
      = message_to (replica, MESSAGE_APPEND, slot, peer->incarnation);
  append_t *append = &message.body.append;
  append->prev_index = peer->next_index - 1;
  append->commit_index = replica->commit_index;
  append->sent_at = replica->now;
  if (!log_term_at (replica, append->prev_index, &append->prev_term))
    return;
  if (with_entries)
    add_entries (replica, peer, append);
  if (append->n_entries > 0)
    peer->resend_at
        = replica->now
          + RESEND_HEARTBEATS * replica->options.heartbeat_interval;
  message_send (replica, &message);
}

void
leader_replicate (replica_t *replica, slot_t slot, bool force)
{
  peer_t *peer = &replica->peers[slot];
  if (slot == replica->options.slot || peer->incarnation == 0)
    return;
  bool is_waiting = peer->resend_at > replica->now;
  if (peer->next_index <= replica->snapshot.index)
    {
      if (!is_waiting)
        send_snapshot (replica, slot);
      return;
    }
  bool has_entries = !is_waiting && peer->next_index <= replica->last_index;
  if (force || has_entries)
    send_append (replica, slot, has_entries);
}

void
leader_propose (replica_t *replica, proposal_id_t id, entry_t *entry)
{
  if (replica->n_proposals >= REPLICA_PROPOSALS_MAX
      || replica->proposal_bytes + entry_bytes (entry)
             > REPLICA_PROPOSAL_BYTES_MAX)
    {
      replica_refuse (replica, id, REFUSE_QUEUE_FULL);
      return;
    }
  entry->index = replica->last_index + 1;
  entry->term = replica->vote.term;
  entry->proposal = id;
  if (id != 0)
    {
      replica->n_proposals++;
      replica->proposal_bytes += entry_bytes (entry);
    }
  log_append (replica, entry_ref (entry));
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    leader_replicate (replica, slot, false);
}

static bool
is_on_majority (const replica_t *replica, log_index_t index)
{
  size_t n = 0;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    {
      bool has_entry = slot == replica->options.slot
                           ? replica->synced_index >= index
                           : replica->peers[slot].match_index >= index;
      incarnation_t incarnation = slot == replica->options.slot
                                      ? replica->incarnation
                                      : replica->peers[slot].incarnation;
      if (has_entry && config_has_vote (replica, slot, incarnation))
        n++;
    }
  return n >= config_majority (replica);
}

void
leader_commit (replica_t *replica)
{
  log_index_t commit = replica->last_index;
  while (commit > replica->commit_index && !is_on_majority (replica, commit))
    commit--;
  /* An entry of an earlier term is committed only by a later entry of the
     leader's own term.  */
  if (commit <= replica->commit_index || commit < replica->term_start_index)
    return;
  replica_advance_commit (replica, commit);
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    leader_replicate (replica, slot, true);
}

/* At most one voter change is pending, and none is proposed before an entry of
   this term is committed.  Otherwise two leaders could change the
   configuration in different ways.  */
static void
propose_voter_change (replica_t *replica, slot_t slot)
{
  const peer_t *peer = &replica->peers[slot];
  if (replica->pending_slot != SLOT_NONE
      || replica->commit_index < replica->term_start_index
      || replica->config.incarnation[slot] == peer->incarnation
      || peer->match_index + LEARNER_LAG_ENTRIES_MAX < replica->last_index)
    return;
  entry_t *entry = entry_new (ENTRY_VOTER_CHANGE);
  entry->body.voter_change.slot = slot;
  entry->body.voter_change.old_incarnation = replica->config.incarnation[slot];
  entry->body.voter_change.new_incarnation = peer->incarnation;
  leader_propose (replica, 0, entry);
  entry_unref (entry);
}

static bool
record_response (replica_t *replica, const message_t *message, usec_t sent_at)
{
  peer_t *peer = &replica->peers[message->from];
  if (replica->role != ROLE_LEADER
      || peer->incarnation != message->from_incarnation)
    return false;
  peer->last_heard_at = replica->now;
  if (!peer->has_acked || sent_at > peer->acked_at)
    peer->acked_at = sent_at;
  peer->has_acked = true;
  return true;
}

void
leader_on_append_response (replica_t *replica, const message_t *message)
{
  const append_response_t *response = &message->body.append_response;
  if (!record_response (replica, message, response->sent_at))
    return;
  peer_t *peer = &replica->peers[message->from];
  if (response->success && response->index > peer->match_index)
    {
      peer->match_index = response->index;
      peer->resend_at = 0;
    }
  if (response->success && peer->next_index <= peer->match_index)
    peer->next_index = peer->match_index + 1;
  if (!response->success && response->index + 1 < peer->next_index
      && response->index >= peer->match_index)
    {
      peer->next_index = response->index + 1;
      peer->resend_at = 0;
    }
  leader_commit (replica);
  if (response->success)
    propose_voter_change (replica, message->from);
  leader_replicate (replica, message->from, false);
}

void
leader_on_snapshot_response (replica_t *replica, const message_t *message)
{
  const snapshot_response_t *response = &message->body.snapshot_response;
  if (!record_response (replica, message, response->sent_at))
    return;
  peer_t *peer = &replica->peers[message->from];
  if (response->is_installed)
    {
      if (response->index > peer->match_index)
        peer->match_index = response->index;
      if (peer->next_index <= peer->match_index)
        peer->next_index = peer->match_index + 1;
      if (peer->next_index == 0)
        peer->next_index = 1;
      peer->resend_at = 0;
    }
  else if (response->index == peer->snapshot_index)
    {
      const blob_t *data = replica->snapshot.data;
      uint32_t total = data ? data->length : 0;
      peer->snapshot_offset
          = response->next_offset <= total ? response->next_offset : 0;
      peer->resend_at = 0;
    }
  leader_commit (replica);
  leader_replicate (replica, message->from, false);
}

/* A late join of an earlier incarnation may have replaced a voter that was
   silent; the voter itself does not join.  */
void
leader_on_sender (replica_t *replica, const message_t *message)
{
  if (message->kind != MESSAGE_JOIN
      && replica->peers[message->from].incarnation != message->from_incarnation
      && config_has_vote (replica, message->from, message->from_incarnation))
    peer_reset (replica, message->from, message->from_incarnation);
}

/* Replicate to a joining incarnation if it has the slot's vote, or if the
   incarnation that the leader replicates to has been silent for an election
   timeout.  */
void
leader_on_join (replica_t *replica, const message_t *message)
{
  peer_t *peer = &replica->peers[message->from];
  bool is_silent = replica->now
                   >= peer->last_heard_at + replica->options.election_timeout;
  if (peer->incarnation == message->from_incarnation)
    {
      if (message->body.join.is_blank && peer->next_index > 0)
        peer->next_index = 0;
      return;
    }
  bool is_voter = replica->config.incarnation[message->from]
                  == message->from_incarnation;
  if (is_silent || is_voter)
    peer_reset (replica, message->from, message->from_incarnation);
}
