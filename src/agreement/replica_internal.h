/* replica_internal: the replica's state and the functions that its source
   files share.  */

#ifndef AGREEMENT_REPLICA_INTERNAL_H
#define AGREEMENT_REPLICA_INTERNAL_H

#include "agreement/replica.h"

/* The leader's replication state of one slot.  */
typedef struct peer
{
  incarnation_t incarnation; /* that receives the log */
  log_index_t next_index;    /* to send; 0: send a snapshot first */
  log_index_t match_index;   /* last entry synced by INCARNATION */
  usec_t acked_at;           /* send time of the newest answered message */
  usec_t last_heard_at;
  usec_t resend_at; /* while entries or a chunk are unanswered, else 0 */
  log_index_t snapshot_index; /* of the transfer in progress */
  uint32_t snapshot_offset;   /* next byte to send */
  bool has_acked;
} peer_t;

/* A persist action that has not been synced.  */
typedef struct pending_sync
{
  list_t link;
  uint64_t sequence;
  log_index_t last_index;
  usec_t started_at;
} pending_sync_t;

/* A message that is sent when the persist action SEQUENCE is synced.  */
typedef struct deferred_message
{
  list_t link;
  uint64_t sequence; /* assigned at the end of the step; 0 before */
  message_t message;
} deferred_message_t;

/* A snapshot of which some chunks have arrived.  */
typedef struct snapshot_transfer
{
  log_index_t index;
  incarnation_t sender_incarnation;
  term_t term;
  uint32_t received_bytes;
  blob_t *data;
} snapshot_transfer_t;

/* A query for the ends of the logs of all replicas.  */
typedef struct quorum_read
{
  usec_t query_sent_at; /* 0: none */
  log_index_t index;    /* the end of this replica's log then */
  term_t term;
  usec_t confirmed_at; /* when the query that a majority confirmed was sent;
                          0: none */
  bool is_same[REPLICAS_MAX]; /* by slot: its log ends with the same entry */
} quorum_read_t;

struct replica
{
  replica_options_t options;
  random_state_t random;
  usec_t now;
  list_t *actions; /* output of the current step */

  replica_role_t role;
  incarnation_t incarnation;
  replica_vote_t vote; /* vote.term is the current term */
  replica_snapshot_t snapshot;
  list_t log;
  log_index_t last_index; /* of the log; the snapshot's if the log is empty */
  term_t last_term;
  size_t n_entries;
  size_t log_bytes;
  log_index_t commit_index;
  log_index_t applied_index;
  replica_config_t applied_config; /* as of APPLIED_INDEX */
  bool is_restored; /* the stored snapshot was passed to the driver */
  bool is_snapshot_requested;

  /* Derived from the snapshot and the log by config_refresh.  The pending
     slot and index are those of an uncommitted voter change.  */
  replica_config_t config;
  slot_t pending_slot;
  log_index_t pending_index;

  /* Persistence.  */
  bool is_dirty;         /* the state changed since the last persist action */
  bool must_replace_log; /* the next persist action rewrites the log */
  log_index_t persisted_index; /* last entry in a persist action */
  uint64_t persist_sequence;   /* of the last persist action */
  uint64_t synced_sequence;    /* of the last synced one */
  usec_t sync_time;            /* that it took */
  log_index_t synced_index;    /* last entry on disk */
  list_t pending_syncs;
  list_t deferred_messages;

  /* Elections.  */
  usec_t leader_heard_at; /* or the replica's start time */
  usec_t election_deadline;
  usec_t pre_vote_at; /* when its last pre-vote began */
  /* Since when, without a leader, it has asked for pre-votes and no other
     replica was heard for the first time; 0: it has not asked.  */
  usec_t vain_since;
  /* By slot: to its pre-candidate, in the current interval; 0: not yet.  */
  usec_t yielded_at[REPLICAS_MAX];
  usec_t first_yield_at; /* when the interval began; 0: never */
  /* The best request for a pre-vote that arrived while a leader may have held
     a lease; its kind is MESSAGE_KINDS if there is none.  */
  message_t held_request;
  usec_t held_at;
  usec_t voted_at; /* its last vote, also for itself; 0: none */
  /* The persist action of that vote while it is not on disk; 0: it is, or an
     election timeout began later.  */
  uint64_t vote_sequence;
  int n_failed_votes; /* votes on disk since the last message of a leader */
  slot_t leader;
  bool is_pre_candidate;          /* its pre-vote is in progress */
  bool has_granted[REPLICAS_MAX]; /* by slot: the vote or pre-vote */
  /* By slot: a request or an answer of it, since the last message of a
     leader.  */
  bool has_been_heard[REPLICAS_MAX];
  quorum_read_t quorum_read;

  /* Leadership.  */
  peer_t peers[REPLICAS_MAX];
  usec_t next_heartbeat_at;
  usec_t leader_since;
  log_index_t term_start_index; /* the no-op entry of this term */
  size_t n_proposals;           /* not committed yet */
  size_t proposal_bytes;

  /* Joining.  */
  usec_t next_join_at;
  incarnation_t joining_incarnation[REPLICAS_MAX]; /* of the last join */
  bool has_reported_blank[REPLICAS_MAX];           /* to this incarnation */
  snapshot_transfer_t transfer;
};

/* replica.c */
/* Append a zeroed action to the current step's output; borrowed.  */
action_t *replica_add_action (replica_t *replica, action_kind_t kind);
/* Adopt TERM if it is newer, and follow LEADER, which may be SLOT_NONE.  A
   leader's uncommitted proposals are refused with REFUSE_OUTCOME_UNKNOWN.  */
void replica_become_follower (replica_t *replica, term_t term, slot_t leader);
void replica_refuse (replica_t *replica, proposal_id_t id,
                     refuse_reason_t reason);
/* Raise the commit index to COMMIT and apply the entries up to it.  */
void replica_advance_commit (replica_t *replica, log_index_t commit);

/* replica_log.c */
/* Borrowed; NULL if INDEX is not in the log.  */
entry_t *log_find (const replica_t *replica, log_index_t index);
/* The term of the entry at INDEX.  False if INDEX is neither in the log nor
   the snapshot's.  */
bool log_term_at (const replica_t *replica, log_index_t index, term_t *term);
/* Takes over the caller's reference to ENTRY.  */
void log_append (replica_t *replica, entry_t *entry);
/* Delete the entries after index KEEP.  */
void log_truncate (replica_t *replica, log_index_t keep);
/* Let the log start after SNAPSHOT, and delete the entries that it covers; all
   entries if the log disagrees with it.  Takes its own reference to the
   snapshot's data.  */
void log_compact (replica_t *replica, const replica_snapshot_t *snapshot);
void log_clear (replica_t *replica);
/* Derive the configuration and the pending voter change from the log.  */
void config_refresh (replica_t *replica);
bool config_has_vote (const replica_t *replica, slot_t slot,
                      incarnation_t incarnation);
/* The number of votes that a quorum needs.  */
size_t config_majority (const replica_t *replica);
/* Emit a persist action if the state changed, and send the deferred messages
   whose state is synced.  */
void disk_flush (replica_t *replica);
void disk_synced (replica_t *replica, uint64_t sequence);

/* replica_send.c */
/* A message to INCARNATION of slot TO, without a body.  */
message_t message_to (const replica_t *replica, message_kind_t kind, slot_t to,
                      incarnation_t incarnation);
/* Send at once.  Takes over MESSAGE's references.  */
void message_send (replica_t *replica, const message_t *message);
/* Send once the state at the end of this step is on disk.  Takes over
   MESSAGE's references.  */
void message_send_after_sync (replica_t *replica, const message_t *message);

/* replica_election.c */
/* Restart the election timeout.  */
void election_reset (replica_t *replica);
/* There is a leader.  */
void election_end (replica_t *replica);
void election_tick (replica_t *replica);
/* More of the state is on disk.  */
void election_on_synced (replica_t *replica);
void election_on_vote_request (replica_t *replica, const message_t *message);
void election_on_vote_response (replica_t *replica, const message_t *message);

/* replica_leader.c */
void leader_start (replica_t *replica);
void leader_tick (replica_t *replica);
void leader_propose (replica_t *replica, proposal_id_t id, entry_t *entry);
void leader_on_append_response (replica_t *replica, const message_t *message);
void leader_on_snapshot_response (replica_t *replica,
                                  const message_t *message);
/* Replicate to the sender of MESSAGE again if it is a voter.  */
void leader_on_sender (replica_t *replica, const message_t *message);
void leader_on_join (replica_t *replica, const message_t *message);
/* Advance the commit index to the last entry that a quorum has synced.  */
void leader_commit (replica_t *replica);
/* Store in AT the latest time such that a majority has answered messages sent
   at that time or later; this replica counts as answering now.  False if no
   majority has answered any message.  */
bool leader_majority_acked_at (const replica_t *replica, usec_t *at);
/* Send the entries or snapshot chunk that SLOT lacks; with FORCE, send an
   empty append as a heartbeat if there is nothing else to send.  */
void leader_replicate (replica_t *replica, slot_t slot, bool force);

/* replica_follower.c */
void follower_on_append (replica_t *replica, message_t *message);
void follower_on_snapshot (replica_t *replica, const message_t *message);

/* replica_quorum_read.c */
void quorum_read_tick (replica_t *replica);
void quorum_read_on_query (replica_t *replica, const message_t *message);
void quorum_read_on_status (replica_t *replica, const message_t *message);

/* replica_join.c */
void join_tick (replica_t *replica);
void join_on_join (replica_t *replica, const message_t *message);
void join_on_bootstrap (replica_t *replica, const message_t *message);

#endif
