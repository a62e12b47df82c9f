#include "agreement/replica_internal.h"

#include <string.h>

/* Accept the sender as the leader unless its term is older than ours.  */
static bool
accept_leader (replica_t *replica, const message_t *message)
{
  if (message->term < replica->vote.term)
    return false;
  /* A term has one leader, so no valid message of this term reaches it.  */
  if (replica->role == ROLE_LEADER && message->term == replica->vote.term)
    return false;
  replica_become_follower (replica, message->term, message->from);
  replica->leader_heard_at = replica->now;
  election_reset (replica);
  election_end (replica);
  return true;
}

static message_t
append_response_to (const replica_t *replica, const message_t *message,
                    bool success, log_index_t index)
{
  message_t response = message_to (replica, MESSAGE_APPEND_RESPONSE,
                                   message->from, message->from_incarnation);
  response.body.append_response.success = success;
  response.body.append_response.index = index;
  response.body.append_response.sent_at = message->body.append.sent_at;
  return response;
}

static void
send_append_response (replica_t *replica, const message_t *message,
                      bool success, log_index_t index)
{
  message_t response = append_response_to (replica, message, success, index);
  message_send_after_sync (replica, &response);
}

/* Acknowledge the contact with the leader, and no entry, while the disk is
   busy.  The promise to grant no vote for an election timeout needs no sync:
   a restart counts as contact with a leader.  Without it the leader would
   lose its lease whenever a sync takes as long as that.  A replica without a
   vote has no such promise to give.  */
static void
acknowledge_contact (replica_t *replica, const message_t *message)
{
  if (list_empty (&replica->pending_syncs)
      || !config_has_vote (replica, replica->options.slot,
                           replica->incarnation))
    return;
  message_t response = append_response_to (replica, message, true, 0);
  message_send (replica, &response);
}

/* The prev_index that the leader should try next: before all entries of the
   conflicting term.  */
static log_index_t
conflict_index (const replica_t *replica, log_index_t prev_index)
{
  term_t term = 0;
  if (!log_term_at (replica, prev_index, &term))
    return replica->last_index < prev_index ? replica->last_index
                                            : replica->commit_index;
  log_index_t index = prev_index;
  term_t earlier = term;
  while (index > replica->commit_index && earlier == term)
    if (!log_term_at (replica, --index, &earlier))
      break;
  return index;
}

static void
append_entries (replica_t *replica, append_t *append)
{
  for (uint32_t i = 0; i < append->n_entries; i++)
    {
      entry_t *entry = append->entries[i];
      if (entry->index <= replica->snapshot.index)
        continue;
      const entry_t *existing = log_find (replica, entry->index);
      if (existing && existing->term == entry->term)
        continue;
      if (existing)
        log_truncate (replica, entry->index - 1);
      log_append (replica, entry_ref (entry));
    }
}

static bool
append_is_contiguous (const append_t *append)
{
  for (uint32_t i = 0; i < append->n_entries; i++)
    if (append->entries[i]->index != append->prev_index + 1 + i)
      return false;
  return true;
}

void
follower_on_append (replica_t *replica, message_t *message)
{
  append_t *append = &message->body.append;
  if (!append_is_contiguous (append))
    return;
  if (replica->role == ROLE_BLANK || !accept_leader (replica, message))
    {
      if (replica->role == ROLE_BLANK || message->term < replica->vote.term)
        send_append_response (replica, message, false, replica->last_index);
      return;
    }
  acknowledge_contact (replica, message);
  log_index_t last_matching = append->prev_index + append->n_entries;
  if (append->prev_index > replica->snapshot.index)
    {
      term_t term = 0;
      if (!log_term_at (replica, append->prev_index, &term)
          || term != append->prev_term)
        {
          send_append_response (replica, message, false,
                                conflict_index (replica, append->prev_index));
          return;
        }
    }
  append_entries (replica, append);
  if (last_matching < replica->snapshot.index)
    last_matching = replica->snapshot.index;
  replica_advance_commit (replica, append->commit_index < last_matching
                                       ? append->commit_index
                                       : last_matching);
  send_append_response (replica, message, true, last_matching);
}

static void
send_snapshot_response (replica_t *replica, const message_t *message,
                        bool installed)
{
  message_t response = message_to (replica, MESSAGE_SNAPSHOT_RESPONSE,
                                   message->from, message->from_incarnation);
  /* A blank replica has no cluster id of its own yet, and the leader drops
     responses from other clusters.  */
  response.cluster = message->cluster;
  response.body.snapshot_response.index = message->body.snapshot.index;
  response.body.snapshot_response.next_offset
      = replica->transfer.received_bytes;
  response.body.snapshot_response.is_installed = installed;
  response.body.snapshot_response.sent_at = message->body.snapshot.sent_at;
  message_send_after_sync (replica, &response);
}

/* Add the chunk.  True if the snapshot is complete.  */
static bool
transfer_add_chunk (replica_t *replica, const message_t *message)
{
  const snapshot_chunk_t *chunk = &message->body.snapshot;
  snapshot_transfer_t *transfer = &replica->transfer;
  if (!transfer->data || transfer->index != chunk->index
      || transfer->term != message->term
      || transfer->sender_incarnation != message->from_incarnation
      || transfer->data->length != chunk->total_bytes)
    {
      blob_unref (transfer->data);
      transfer->data = blob_new (NULL, chunk->total_bytes);
      transfer->index = chunk->index;
      transfer->term = message->term;
      transfer->sender_incarnation = message->from_incarnation;
      transfer->received_bytes = 0;
    }
  if (chunk->offset == transfer->received_bytes)
    {
      memcpy (transfer->data->bytes + chunk->offset, chunk->data->bytes,
              chunk->data->length);
      transfer->received_bytes += chunk->data->length;
    }
  return transfer->received_bytes == transfer->data->length;
}

static void
install_snapshot (replica_t *replica, const snapshot_chunk_t *chunk)
{
  replica_snapshot_t snapshot
      = { .index = chunk->index,
          .term = chunk->index_term,
          .config = chunk->config,
          .data = chunk->index > 0 ? replica->transfer.data : NULL };
  bool was_blank = replica->config.n_slots == 0;
  if (!was_blank && chunk->index <= replica->applied_index)
    return;
  log_compact (replica, &snapshot);
  replica->role = ROLE_FOLLOWER;
  replica->applied_config = snapshot.config;
  replica->applied_index = chunk->index;
  if (replica->commit_index < chunk->index)
    replica->commit_index = chunk->index;
  replica->is_snapshot_requested = false;
  config_refresh (replica);
  if (!snapshot.data)
    return;
  action_t *action = replica_add_action (replica, ACTION_RESTORE);
  action->body.restore.index = chunk->index;
  action->body.restore.data = blob_ref (snapshot.data);
}

void
follower_on_snapshot (replica_t *replica, const message_t *message)
{
  const snapshot_chunk_t *chunk = &message->body.snapshot;
  if (chunk->config.n_slots != replica->options.n_slots
      || !accept_leader (replica, message))
    return;
  if (replica->config.n_slots != 0 && chunk->index <= replica->applied_index)
    {
      send_snapshot_response (replica, message, true);
      return;
    }
  if (!transfer_add_chunk (replica, message))
    {
      send_snapshot_response (replica, message, false);
      return;
    }
  install_snapshot (replica, chunk);
  blob_unref (replica->transfer.data);
  memset (&replica->transfer, 0, sizeof replica->transfer);
  send_snapshot_response (replica, message, true);
}
