#include "agreement/replica_internal.h"

#include <stdlib.h>
#include <string.h>

entry_t *
log_find (const replica_t *replica, log_index_t index)
{
  if (index > replica->last_index)
    return NULL;
  for (list_t *link = replica->log.prev; link != &replica->log;
       link = link->prev)
    {
      entry_t *entry = LIST_ENTRY (link, entry_t, link);
      if (entry->index == index)
        return entry;
    }
  return NULL;
}

bool
log_term_at (const replica_t *replica, log_index_t index, term_t *term)
{
  if (index == replica->snapshot.index)
    {
      *term = replica->snapshot.term;
      return true;
    }
  const entry_t *entry = log_find (replica, index);
  if (!entry)
    return false;
  *term = entry->term;
  return true;
}

void
log_append (replica_t *replica, entry_t *entry)
{
  list_push_back (&replica->log, &entry->link);
  replica->last_index = entry->index;
  replica->last_term = entry->term;
  replica->n_entries++;
  replica->log_bytes += entry_bytes (entry);
  replica->is_dirty = true;
  if (entry->kind == ENTRY_VOTER_CHANGE)
    config_refresh (replica);
}

static void
log_remove (replica_t *replica, entry_t *entry)
{
  list_remove (&entry->link);
  replica->n_entries--;
  replica->log_bytes -= entry_bytes (entry);
  entry_unref (entry);
}

static void
log_update_last (replica_t *replica)
{
  replica->last_index = replica->snapshot.index;
  replica->last_term = replica->snapshot.term;
  if (list_empty (&replica->log))
    return;
  const entry_t *entry = LIST_ENTRY (replica->log.prev, entry_t, link);
  replica->last_index = entry->index;
  replica->last_term = entry->term;
}

void
log_truncate (replica_t *replica, log_index_t keep)
{
  while (!list_empty (&replica->log))
    {
      entry_t *entry = LIST_ENTRY (replica->log.prev, entry_t, link);
      if (entry->index <= keep)
        break;
      log_remove (replica, entry);
    }
  log_update_last (replica);
  if (replica->persisted_index > keep)
    replica->persisted_index = keep;
  if (replica->synced_index > keep)
    replica->synced_index = keep;
  LIST_FOREACH (link, &replica->pending_syncs)
  {
    pending_sync_t *pending = LIST_ENTRY (link, pending_sync_t, link);
    if (pending->last_index > keep)
      pending->last_index = keep;
  }
  replica->is_dirty = true;
  config_refresh (replica);
}

void
log_compact (replica_t *replica, const replica_snapshot_t *snapshot)
{
  term_t term = 0;
  bool agrees = log_term_at (replica, snapshot->index, &term)
                && term == snapshot->term;
  LIST_FOREACH (link, &replica->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (!agrees || entry->index <= snapshot->index)
      log_remove (replica, entry);
  }
  blob_t *data = snapshot->data ? blob_ref (snapshot->data) : NULL;
  blob_unref (replica->snapshot.data);
  replica->snapshot = *snapshot;
  replica->snapshot.data = data;
  log_update_last (replica);
  replica->is_dirty = true;
  replica->must_replace_log = true;
  config_refresh (replica);
}

void
log_clear (replica_t *replica)
{
  while (!list_empty (&replica->log))
    log_remove (replica, LIST_ENTRY (replica->log.next, entry_t, link));
}

/* A leader appends a voter change only after the previous one was committed,
   so only the last one in a log can be uncommitted.  */
void
config_refresh (replica_t *replica)
{
  replica_config_t config = replica->snapshot.config;
  const entry_t *pending = NULL;
  LIST_FOREACH (link, &replica->log)
  {
    const entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->kind != ENTRY_VOTER_CHANGE)
      continue;
    const voter_change_t *change = &entry->body.voter_change;
    config.incarnation[change->slot] = change->new_incarnation;
    pending = entry->index > replica->commit_index ? entry : NULL;
  }
  replica->config = config;
  replica->pending_slot
      = pending ? pending->body.voter_change.slot : SLOT_NONE;
  replica->pending_index = pending ? pending->index : 0;
}

bool
config_has_vote (const replica_t *replica, slot_t slot,
                 incarnation_t incarnation)
{
  return slot < replica->config.n_slots && slot != replica->pending_slot
         && incarnation != 0
         && replica->config.incarnation[slot] == incarnation;
}

size_t
config_majority (const replica_t *replica)
{
  return replica->config.n_slots / 2u + 1;
}

static void
disk_add_pending_sync (replica_t *replica)
{
  pending_sync_t *pending = calloc (1, sizeof *pending);
  if (!pending)
    abort ();
  pending->sequence = replica->persist_sequence;
  pending->last_index = replica->last_index;
  pending->started_at = replica->now;
  list_push_back (&replica->pending_syncs, &pending->link);
}

static void
disk_persist (replica_t *replica)
{
  replica->persist_sequence++;
  persist_t *persist
      = &replica_add_action (replica, ACTION_PERSIST)->body.persist;
  persist->sequence = replica->persist_sequence;
  persist->incarnation = replica->incarnation;
  persist->vote = replica->vote;
  persist->replaces_log = replica->must_replace_log;
  persist->keep_index = replica->persisted_index;
  if (replica->must_replace_log)
    {
      persist->snapshot = replica->snapshot;
      if (persist->snapshot.data)
        blob_ref (persist->snapshot.data);
      persist->keep_index = replica->snapshot.index;
    }
  persist->entries = calloc (replica->n_entries + 1, sizeof (entry_t *));
  if (!persist->entries)
    abort ();
  LIST_FOREACH (link, &replica->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->index > persist->keep_index)
      persist->entries[persist->n_entries++] = entry_ref (entry);
  }
  replica->persisted_index = replica->last_index;
  replica->is_dirty = false;
  replica->must_replace_log = false;
  disk_add_pending_sync (replica);
}

static void
disk_send_synced (replica_t *replica)
{
  LIST_FOREACH (link, &replica->deferred_messages)
  {
    deferred_message_t *deferred = LIST_ENTRY (link, deferred_message_t, link);
    if (deferred->sequence == 0)
      deferred->sequence = replica->persist_sequence;
    if (deferred->sequence > replica->synced_sequence)
      continue;
    list_remove (link);
    message_send (replica, &deferred->message);
    free (deferred);
  }
}

void
disk_flush (replica_t *replica)
{
  if (replica->is_dirty)
    disk_persist (replica);
  disk_send_synced (replica);
}

void
disk_synced (replica_t *replica, uint64_t sequence)
{
  LIST_FOREACH (link, &replica->pending_syncs)
  {
    pending_sync_t *pending = LIST_ENTRY (link, pending_sync_t, link);
    if (pending->sequence > sequence)
      break;
    replica->synced_sequence = pending->sequence;
    replica->synced_index = pending->last_index;
    replica->sync_time = replica->now - pending->started_at;
    list_remove (link);
    free (pending);
  }
  if (replica->role == ROLE_LEADER)
    leader_commit (replica);
}
