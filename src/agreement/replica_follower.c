#include "agreement/replica_internal.h"

#include <string.h>

/* Follow the sender, if its term is not past.  */
static bool
follow (replica_t *replica, const message_t *message)
{
  if (message->term < replica->vote.term)
    return false;
  /* One leader a term: an equal term can't reach a leader.  */
  if (replica->role == ROLE_LEADER && message->term == replica->vote.term)
    return false;
  replica_become_follower (replica, message->term, message->from);
  replica->heard_at = replica->now;
  election_reset (replica);
  return true;
}

static void
respond (replica_t *replica, const message_t *message, bool success,
         log_index_t index)
{
  message_t response = message_to (replica, MESSAGE_APPEND_RESPONSE,
                                   message->from, message->from_incarnation);
  response.body.append_response.success = success;
  response.body.append_response.index = index;
  response.body.append_response.sent_at = message->body.append.sent_at;
  message_hold (replica, &response);
}

/* Where the leader may try next: before all entries of the term that does
   not agree.  */
static log_index_t
conflict_hint (const replica_t *replica, log_index_t prev_index)
{
  term_t term = 0;
  if (!log_term (replica, prev_index, &term))
    return replica->last < prev_index ? replica->last : replica->commit;
  log_index_t index = prev_index;
  term_t earlier = term;
  while (index > replica->commit && earlier == term)
    if (!log_term (replica, --index, &earlier))
      break;
  return index;
}

static void
take_entries (replica_t *replica, append_t *append)
{
  for (uint32_t i = 0; i < append->n_entries; i++)
    {
      entry_t *entry = append->entries[i];
      if (entry->index <= replica->snapshot.index)
        continue;
      const entry_t *own = log_find (replica, entry->index);
      if (own && own->term == entry->term)
        continue;
      if (own)
        log_truncate (replica, entry->index - 1);
      log_append (replica, entry_ref (entry));
    }
}

static bool
append_is_legal (const append_t *append)
{
  for (uint32_t i = 0; i < append->n_entries; i++)
    if (append->entries[i]->index != append->prev_index + 1 + i)
      return false;
  return true;
}

void
follower_append (replica_t *replica, message_t *message)
{
  append_t *append = &message->body.append;
  if (!append_is_legal (append))
    return;
  if (replica->role == ROLE_BLANK || !follow (replica, message))
    {
      if (replica->role == ROLE_BLANK || message->term < replica->vote.term)
        respond (replica, message, false, replica->last);
      return;
    }
  log_index_t matched = append->prev_index + append->n_entries;
  if (append->prev_index > replica->snapshot.index)
    {
      term_t term = 0;
      if (!log_term (replica, append->prev_index, &term)
          || term != append->prev_term)
        {
          respond (replica, message, false,
                   conflict_hint (replica, append->prev_index));
          return;
        }
    }
  take_entries (replica, append);
  if (matched < replica->snapshot.index)
    matched = replica->snapshot.index;
  replica_advance (replica, append->commit_index < matched
                                ? append->commit_index
                                : matched);
  respond (replica, message, true, matched);
}

static void
respond_snapshot (replica_t *replica, const message_t *message, bool installed)
{
  message_t response = message_to (replica, MESSAGE_SNAPSHOT_RESPONSE,
                                   message->from, message->from_incarnation);
  /* A blank replica is in no cluster yet.  */
  response.cluster = message->cluster;
  response.body.snapshot_response.index = message->body.snapshot.index;
  response.body.snapshot_response.next_offset = replica->transfer.received;
  response.body.snapshot_response.is_installed = installed;
  response.body.snapshot_response.sent_at = message->body.snapshot.sent_at;
  message_hold (replica, &response);
}

/* Add the chunk; true when the snapshot is whole.  */
static bool
transfer_add (replica_t *replica, const message_t *message)
{
  const snapshot_chunk_t *chunk = &message->body.snapshot;
  snapshot_transfer_t *transfer = &replica->transfer;
  if (!transfer->data || transfer->index != chunk->index
      || transfer->term != message->term
      || transfer->sender != message->from_incarnation
      || transfer->data->length != chunk->total_bytes)
    {
      blob_unref (transfer->data);
      transfer->data = blob_new (NULL, chunk->total_bytes);
      transfer->index = chunk->index;
      transfer->term = message->term;
      transfer->sender = message->from_incarnation;
      transfer->received = 0;
    }
  if (chunk->offset == transfer->received)
    {
      memcpy (transfer->data->bytes + chunk->offset, chunk->data->bytes,
              chunk->data->length);
      transfer->received += chunk->data->length;
    }
  return transfer->received == transfer->data->length;
}

static void
install (replica_t *replica, const snapshot_chunk_t *chunk)
{
  replica_snapshot_t snapshot
      = { .index = chunk->index,
          .term = chunk->index_term,
          .config = chunk->config,
          .data = chunk->index > 0 ? replica->transfer.data : NULL };
  bool was_blank = replica->config.n_slots == 0;
  if (!was_blank && chunk->index <= replica->applied)
    return;
  log_compact (replica, &snapshot);
  replica->role = ROLE_FOLLOWER;
  replica->applied_config = snapshot.config;
  replica->applied = chunk->index;
  if (replica->commit < chunk->index)
    replica->commit = chunk->index;
  replica->snapshot_asked = false;
  config_refresh (replica);
  if (!snapshot.data)
    return;
  action_t *action = replica_action (replica, ACTION_RESTORE);
  action->body.restore.index = chunk->index;
  action->body.restore.data = blob_ref (snapshot.data);
}

void
follower_snapshot (replica_t *replica, const message_t *message)
{
  const snapshot_chunk_t *chunk = &message->body.snapshot;
  if (chunk->config.n_slots != replica->options.n_slots
      || !follow (replica, message))
    return;
  if (replica->config.n_slots != 0 && chunk->index <= replica->applied)
    {
      respond_snapshot (replica, message, true);
      return;
    }
  if (!transfer_add (replica, message))
    {
      respond_snapshot (replica, message, false);
      return;
    }
  install (replica, chunk);
  blob_unref (replica->transfer.data);
  memset (&replica->transfer, 0, sizeof replica->transfer);
  respond_snapshot (replica, message, true);
}
