#include "agreement/replica_internal.h"

#include <stdlib.h>
#include <string.h>

entry_t *
log_find (const replica_t *replica, log_index_t index)
{
  if (index > replica->last)
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
log_term (const replica_t *replica, log_index_t index, term_t *term)
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
  replica->last = entry->index;
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
  replica->last = replica->snapshot.index;
  replica->last_term = replica->snapshot.term;
  if (list_empty (&replica->log))
    return;
  const entry_t *entry = LIST_ENTRY (replica->log.prev, entry_t, link);
  replica->last = entry->index;
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
  if (replica->stored_last > keep)
    replica->stored_last = keep;
  if (replica->synced_last > keep)
    replica->synced_last = keep;
  LIST_FOREACH (link, &replica->sync_marks)
  {
    sync_mark_t *mark = LIST_ENTRY (link, sync_mark_t, link);
    if (mark->last > keep)
      mark->last = keep;
  }
  replica->is_dirty = true;
  config_refresh (replica);
}

void
log_compact (replica_t *replica, const replica_snapshot_t *snapshot)
{
  term_t term = 0;
  bool agrees
      = log_term (replica, snapshot->index, &term) && term == snapshot->term;
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
  replica->is_replacing = true;
  config_refresh (replica);
}

void
log_clear (replica_t *replica)
{
  while (!list_empty (&replica->log))
    log_remove (replica, LIST_ENTRY (replica->log.next, entry_t, link));
}

/* A leader appends a swap only after the one before was committed, so only
   the last one of a log can be open.  */
void
config_refresh (replica_t *replica)
{
  replica_config_t config = replica->snapshot.config;
  const entry_t *open = NULL;
  LIST_FOREACH (link, &replica->log)
  {
    const entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->kind != ENTRY_VOTER_CHANGE)
      continue;
    const voter_change_t *swap = &entry->body.voter_change;
    config.incarnation[swap->slot] = swap->new_incarnation;
    open = entry->index > replica->commit ? entry : NULL;
  }
  replica->config = config;
  replica->pending_slot = open ? open->body.voter_change.slot : SLOT_NONE;
  replica->pending_index = open ? open->index : 0;
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
disk_add_mark (replica_t *replica)
{
  sync_mark_t *mark = calloc (1, sizeof *mark);
  if (!mark)
    abort ();
  mark->sequence = replica->sequence;
  mark->last = replica->last;
  list_push_back (&replica->sync_marks, &mark->link);
}

static void
disk_persist (replica_t *replica)
{
  replica->sequence++;
  persist_t *persist = &replica_action (replica, ACTION_PERSIST)->body.persist;
  persist->sequence = replica->sequence;
  persist->incarnation = replica->incarnation;
  persist->vote = replica->vote;
  persist->replaces_log = replica->is_replacing;
  persist->keep_index = replica->stored_last;
  if (replica->is_replacing)
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
  replica->stored_last = replica->last;
  replica->is_dirty = false;
  replica->is_replacing = false;
  disk_add_mark (replica);
}

static void
disk_release (replica_t *replica)
{
  LIST_FOREACH (link, &replica->held)
  {
    held_message_t *held = LIST_ENTRY (link, held_message_t, link);
    if (held->sequence == 0)
      held->sequence = replica->sequence;
    if (held->sequence > replica->synced)
      continue;
    list_remove (link);
    message_send (replica, &held->message);
    free (held);
  }
}

void
disk_flush (replica_t *replica)
{
  if (replica->is_dirty)
    disk_persist (replica);
  disk_release (replica);
}

void
disk_synced (replica_t *replica, uint64_t sequence)
{
  LIST_FOREACH (link, &replica->sync_marks)
  {
    sync_mark_t *mark = LIST_ENTRY (link, sync_mark_t, link);
    if (mark->sequence > sequence)
      break;
    replica->synced = mark->sequence;
    replica->synced_last = mark->last;
    list_remove (link);
    free (mark);
  }
  if (replica->role == ROLE_LEADER)
    leader_commit (replica);
}
