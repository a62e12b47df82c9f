#include "agreement/replica.h"

#include <stdlib.h>

#include "agreement/replica_internal.h"

enum
{
  SNAPSHOT_INTERVAL_ENTRIES = 64,
};

action_t *
replica_add_action (replica_t *replica, action_kind_t kind)
{
  action_t *action = calloc (1, sizeof *action);
  if (!action)
    abort ();
  action->kind = kind;
  list_push_back (replica->actions, &action->link);
  return action;
}

void
action_free (action_t *action)
{
  switch (action->kind)
    {
    case ACTION_SEND:
      message_clear (&action->body.send);
      break;
    case ACTION_PERSIST:
      for (size_t i = 0; i < action->body.persist.n_entries; i++)
        entry_unref (action->body.persist.entries[i]);
      free (action->body.persist.entries);
      blob_unref (action->body.persist.snapshot.data);
      break;
    case ACTION_APPLY:
      entry_unref (action->body.apply);
      break;
    case ACTION_RESTORE:
      blob_unref (action->body.restore.data);
      break;
    case ACTION_TAKE_SNAPSHOT:
    case ACTION_REFUSE:
      break;
    }
  free (action);
}

static void
options_default (replica_options_t *options)
{
  if (options->heartbeat_interval == 0)
    options->heartbeat_interval = REPLICA_HEARTBEAT_INTERVAL;
  if (options->election_timeout == 0)
    options->election_timeout = REPLICA_ELECTION_TIMEOUT;
  if (options->round_trip == 0)
    options->round_trip = REPLICA_ROUND_TRIP;
  if (options->snapshot_interval_entries == 0)
    options->snapshot_interval_entries = SNAPSHOT_INTERVAL_ENTRIES;
  if (options->snapshot_interval_bytes == 0)
    options->snapshot_interval_bytes = REPLICA_SNAPSHOT_INTERVAL_BYTES;
}

static void
load_image (replica_t *replica, replica_image_t *image)
{
  replica->incarnation = image->incarnation;
  replica->vote = image->vote;
  replica->snapshot = image->snapshot;
  replica->last_index = image->snapshot.index;
  replica->last_term = image->snapshot.term;
  while (!list_empty (&image->log))
    log_append (replica,
                LIST_ENTRY (list_pop_front (&image->log), entry_t, link));
  replica->is_dirty = false;
  replica->persisted_index = replica->last_index;
  replica->synced_index = replica->last_index;
  if (!replica->options.must_rewrite_image)
    return;
  replica->is_dirty = true;
  replica->must_replace_log = true;
  replica->synced_index = 0;
}

replica_t *
replica_new (const replica_options_t *options, replica_image_t *image,
             usec_t now)
{
  replica_t *replica = calloc (1, sizeof *replica);
  if (!replica)
    abort ();
  replica->options = *options;
  options_default (&replica->options);
  random_seed (&replica->random, options->seed);
  replica->now = now;
  list_init (&replica->log);
  list_init (&replica->pending_syncs);
  list_init (&replica->deferred_messages);
  replica->vote.slot = SLOT_NONE;
  replica->leader = SLOT_NONE;
  replica->pending_slot = SLOT_NONE;
  replica->held_request.kind = MESSAGE_KINDS;
  replica->leader_heard_at = now;
  if (image->incarnation != 0)
    load_image (replica, image);
  else
    {
      replica->incarnation = random_next (&replica->random) | 1;
      replica->is_dirty = true;
      replica->must_replace_log = true;
    }
  replica->applied_config = replica->snapshot.config;
  replica->commit_index = replica->snapshot.index;
  replica->applied_index = replica->snapshot.index;
  replica->role
      = replica->snapshot.config.n_slots ? ROLE_FOLLOWER : ROLE_BLANK;
  config_refresh (replica);
  election_reset (replica);
  return replica;
}

void
replica_free (replica_t *replica)
{
  log_clear (replica);
  blob_unref (replica->snapshot.data);
  blob_unref (replica->transfer.data);
  LIST_FOREACH (link, &replica->pending_syncs)
  free (LIST_ENTRY (link, pending_sync_t, link));
  LIST_FOREACH (link, &replica->deferred_messages)
  {
    deferred_message_t *deferred = LIST_ENTRY (link, deferred_message_t, link);
    message_clear (&deferred->message);
    free (deferred);
  }
  free (replica);
}

void
replica_refuse (replica_t *replica, proposal_id_t id, refuse_reason_t reason)
{
  action_t *action = replica_add_action (replica, ACTION_REFUSE);
  action->body.refuse.id = id;
  action->body.refuse.reason = reason;
  action->body.refuse.leader = replica->leader;
}

/* The outcome of proposals that this leader has not committed is unknown: the
   next leader may still commit them.  */
static void
proposals_abandon (replica_t *replica)
{
  LIST_FOREACH (link, &replica->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->index > replica->applied_index && entry->proposal != 0)
      replica_refuse (replica, entry->proposal, REFUSE_OUTCOME_UNKNOWN);
    entry->proposal = 0;
  }
  replica->n_proposals = 0;
  replica->proposal_bytes = 0;
}

void
replica_become_follower (replica_t *replica, term_t term, slot_t leader)
{
  if (term > replica->vote.term)
    {
      replica->vote.term = term;
      replica->vote.slot = SLOT_NONE;
      replica->vote.incarnation = 0;
      replica->is_dirty = true;
    }
  replica->leader = leader;
  replica->is_pre_candidate = false;
  if (replica->role == ROLE_LEADER)
    proposals_abandon (replica);
  if (replica->role != ROLE_FOLLOWER)
    election_reset (replica);
  replica->role = replica->config.n_slots ? ROLE_FOLLOWER : ROLE_BLANK;
}

static void
replica_halt (replica_t *replica)
{
  if (replica->role == ROLE_LEADER)
    proposals_abandon (replica);
  replica->role = ROLE_HALTED;
  replica->leader = SLOT_NONE;
}

static void
apply_entry (replica_t *replica, entry_t *entry)
{
  replica->applied_index = entry->index;
  if (entry->kind == ENTRY_VOTER_CHANGE)
    replica->applied_config.incarnation[entry->body.voter_change.slot]
        = entry->body.voter_change.new_incarnation;
  if (entry->proposal != 0)
    {
      replica->n_proposals--;
      replica->proposal_bytes -= entry_bytes (entry);
    }
  replica_add_action (replica, ACTION_APPLY)->body.apply = entry_ref (entry);
}

/* A committed voter change is saved in a snapshot at once: after a restart,
   only the snapshot shows which voter changes are committed.  */
static void
request_snapshot (replica_t *replica, bool has_voter_change)
{
  log_index_t entries_since_snapshot
      = replica->applied_index - replica->snapshot.index;
  bool is_due
      = has_voter_change
        || entries_since_snapshot >= replica->options.snapshot_interval_entries
        || replica->log_bytes >= replica->options.snapshot_interval_bytes;
  if (replica->is_snapshot_requested || !is_due)
    return;
  replica->is_snapshot_requested = true;
  replica_add_action (replica, ACTION_TAKE_SNAPSHOT)->body.take_snapshot
      = replica->applied_index;
}

void
replica_advance_commit (replica_t *replica, log_index_t commit)
{
  if (commit <= replica->commit_index)
    return;
  replica->commit_index = commit;
  bool has_voter_change = false;
  LIST_FOREACH (link, &replica->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (entry->index <= replica->applied_index || entry->index > commit)
      continue;
    apply_entry (replica, entry);
    has_voter_change = has_voter_change || entry->kind == ENTRY_VOTER_CHANGE;
  }
  config_refresh (replica);
  request_snapshot (replica, has_voter_change);
}

static void
snapshot_taken (replica_t *replica, log_index_t index, blob_t *data)
{
  replica->is_snapshot_requested = false;
  replica_snapshot_t snapshot
      = { .index = index, .config = replica->applied_config, .data = data };
  if (index != replica->applied_index || index <= replica->snapshot.index
      || !log_term_at (replica, index, &snapshot.term))
    return;
  log_compact (replica, &snapshot);
}

/* Messages to another incarnation or from another cluster are dropped.  Joins,
   and vote requests that name no incarnation, are accepted; a blank replica
   accepts messages from any cluster.  */
static bool
message_is_for_replica (const replica_t *replica, const message_t *message)
{
  if (message->to != replica->options.slot
      || message->from == replica->options.slot
      || message->from >= replica->options.n_slots)
    return false;
  if (message->kind == MESSAGE_JOIN)
    return true;
  if (message->to_incarnation != replica->incarnation)
    return message->kind == MESSAGE_VOTE_REQUEST
           && message->to_incarnation == 0;
  return replica->role == ROLE_BLANK
         || message->cluster == replica->config.cluster;
}

static bool
message_is_response (const message_t *message)
{
  return message->kind == MESSAGE_APPEND_RESPONSE
         || message->kind == MESSAGE_SNAPSHOT_RESPONSE
         || message->kind == MESSAGE_VOTE_RESPONSE;
}

static void
replica_message (replica_t *replica, message_t *message)
{
  if (!message_is_for_replica (replica, message))
    return;
  if (replica->role == ROLE_LEADER)
    leader_on_sender (replica, message);
  bool is_granted_pre_vote = message->kind == MESSAGE_VOTE_RESPONSE
                             && message->body.vote_response.is_pre_vote
                             && message->body.vote_response.granted;
  if (message_is_response (message) && !is_granted_pre_vote)
    {
      if (message->term > replica->vote.term)
        replica_become_follower (replica, message->term, SLOT_NONE);
      if (message->term < replica->vote.term)
        return;
    }
  switch (message->kind)
    {
    case MESSAGE_VOTE_REQUEST:
      election_on_vote_request (replica, message);
      return;
    case MESSAGE_VOTE_RESPONSE:
      election_on_vote_response (replica, message);
      return;
    case MESSAGE_APPEND:
      follower_on_append (replica, message);
      return;
    case MESSAGE_APPEND_RESPONSE:
      leader_on_append_response (replica, message);
      return;
    case MESSAGE_SNAPSHOT:
      follower_on_snapshot (replica, message);
      return;
    case MESSAGE_SNAPSHOT_RESPONSE:
      leader_on_snapshot_response (replica, message);
      return;
    case MESSAGE_JOIN:
      join_on_join (replica, message);
      return;
    case MESSAGE_BOOTSTRAP:
      join_on_bootstrap (replica, message);
      return;
    case MESSAGE_LOG_QUERY:
      quorum_read_on_query (replica, message);
      return;
    case MESSAGE_LOG_STATUS:
      quorum_read_on_status (replica, message);
      return;
    case MESSAGE_KINDS:
      return;
    }
}

static void
replica_tick (replica_t *replica)
{
  if (replica->role == ROLE_LEADER)
    leader_tick (replica);
  else
    election_tick (replica);
  quorum_read_tick (replica);
  join_tick (replica);
}

/* The restore has to precede all applies, so it is the first action.  */
static void
restore_on_first_step (replica_t *replica)
{
  if (replica->is_restored)
    return;
  replica->is_restored = true;
  if (!replica->snapshot.data)
    return;
  action_t *action = replica_add_action (replica, ACTION_RESTORE);
  action->body.restore.index = replica->snapshot.index;
  action->body.restore.data = blob_ref (replica->snapshot.data);
}

static void
replica_propose (replica_t *replica, proposal_id_t id, entry_t *entry)
{
  if (replica->role == ROLE_LEADER)
    leader_propose (replica, id, entry);
  else
    replica_refuse (replica, id, REFUSE_NOT_LEADER);
}

void
replica_step (replica_t *replica, usec_t now, const event_t *event,
              list_t *actions)
{
  replica->now = now;
  replica->actions = actions;
  if (replica->role == ROLE_HALTED)
    {
      if (event->kind == EVENT_PROPOSE)
        replica_refuse (replica, event->body.propose.id, REFUSE_HALTED);
      return;
    }
  restore_on_first_step (replica);
  /* A leader that was suspended for longer than its lease has to step down
     before it handles the event.  */
  if (event->kind != EVENT_TICK && replica->role == ROLE_LEADER)
    leader_tick (replica);
  switch (event->kind)
    {
    case EVENT_TICK:
      replica_tick (replica);
      break;
    case EVENT_MESSAGE:
      replica_message (replica, event->body.message);
      break;
    case EVENT_PROPOSE:
      replica_propose (replica, event->body.propose.id,
                       event->body.propose.entry);
      break;
    case EVENT_SYNCED:
      disk_synced (replica, event->body.synced);
      election_on_synced (replica);
      break;
    case EVENT_SNAPSHOT:
      snapshot_taken (replica, event->body.snapshot.index,
                      event->body.snapshot.data);
      break;
    case EVENT_DISK_FAILED:
      replica_halt (replica);
      return;
    }
  disk_flush (replica);
}

static replica_role_t
reported_role (const replica_t *replica)
{
  if (replica->role == ROLE_FOLLOWER
      && !config_has_vote (replica, replica->options.slot,
                           replica->incarnation))
    return ROLE_LEARNER;
  return replica->role;
}

replica_status_t
replica_status (const replica_t *replica)
{
  return (replica_status_t){ .role = reported_role (replica),
                             .incarnation = replica->incarnation,
                             .term = replica->vote.term,
                             .leader = replica->leader,
                             .last_index = replica->last_index,
                             .commit_index = replica->commit_index,
                             .applied_index = replica->applied_index,
                             .snapshot_index = replica->snapshot.index,
                             .config = replica->config,
                             .pending_slot = replica->pending_slot,
                             .n_log_entries = replica->n_entries };
}

bool
replica_holds_lease (const replica_t *replica, usec_t now)
{
  usec_t acked_at = 0;
  usec_t margin = replica->options.election_timeout / 8;
  return replica->role == ROLE_LEADER
         && leader_majority_acked_at (replica, &acked_at)
         && now < acked_at + replica->options.election_timeout - margin;
}

bool
replica_is_current (const replica_t *replica, usec_t now)
{
  return replica_holds_lease (replica, now)
         && replica->applied_index >= replica->term_start_index;
}

usec_t
replica_quorum_read_at (const replica_t *replica)
{
  return replica->quorum_read.confirmed_at;
}

const char *
replica_role_name (replica_role_t role)
{
  switch (role)
    {
    case ROLE_BLANK:
      return "blank";
    case ROLE_LEARNER:
      return "learner";
    case ROLE_FOLLOWER:
      return "follower";
    case ROLE_CANDIDATE:
      return "candidate";
    case ROLE_LEADER:
      return "leader";
    case ROLE_HALTED:
      return "halted";
    }
  return "unknown";
}
