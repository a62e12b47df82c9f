/* replica_internal: what the parts of the replica share.  */

#ifndef AGREEMENT_REPLICA_INTERNAL_H
#define AGREEMENT_REPLICA_INTERNAL_H

#include "agreement/replica.h"

/* What a leader knows of one slot.  */
typedef struct peer
{
  incarnation_t incarnation; /* whom it replicates to */
  log_index_t next;          /* the entry to send; 0: a snapshot first */
  log_index_t match;         /* synced there, under INCARNATION */
  usec_t acked_at;           /* when the newest answered message was sent */
  usec_t heard_at;
  usec_t resend_at; /* while entries or a chunk are under way, else 0 */
  log_index_t snapshot_index; /* of the transfer under way */
  uint32_t snapshot_offset;
  bool has_acked;
} peer_t;

/* A persist action that is not synced yet.  */
typedef struct sync_mark
{
  list_t link;
  uint64_t sequence;
  log_index_t last;
} sync_mark_t;

/* A message that waits for the disk.  */
typedef struct held_message
{
  list_t link;
  uint64_t sequence; /* 0 until the step ends */
  message_t message;
} held_message_t;

/* A snapshot that arrives in chunks.  */
typedef struct snapshot_transfer
{
  log_index_t index;
  incarnation_t sender;
  term_t term;
  uint32_t received;
  blob_t *data;
} snapshot_transfer_t;

struct replica
{
  replica_options_t options;
  random_state_t random;
  usec_t now;
  list_t *actions; /* of the step under way */

  replica_role_t role;
  incarnation_t incarnation;
  replica_vote_t vote; /* its term is the current term */
  replica_snapshot_t snapshot;
  list_t log;
  log_index_t last; /* of the log, or the snapshot's where it is empty */
  term_t last_term;
  size_t n_entries;
  size_t log_bytes;
  log_index_t commit;
  log_index_t applied;
  replica_config_t applied_config;
  bool is_restored;
  bool snapshot_asked;

  /* By the log: see config_refresh.  */
  replica_config_t config;
  slot_t pending_slot;
  log_index_t pending_index;

  /* Disk.  */
  bool is_dirty;
  bool is_replacing;
  log_index_t stored_last; /* of the entries handed to the disk */
  uint64_t sequence;
  uint64_t synced;
  log_index_t synced_last;
  list_t sync_marks;
  list_t held;

  /* Elections.  */
  slot_t leader;
  usec_t heard_at; /* the leader, or the start */
  usec_t election_at;
  bool is_pre_candidate;
  bool granted[REPLICAS_MAX];

  /* Leadership.  */
  peer_t peers[REPLICAS_MAX];
  usec_t heartbeat_at;
  usec_t led_since;
  log_index_t term_start; /* the no-op that began this term */
  size_t n_proposals;
  size_t proposal_bytes;

  /* Joining.  */
  usec_t join_at;
  incarnation_t heard_incarnation[REPLICAS_MAX];
  bool is_blank[REPLICAS_MAX]; /* said so to this incarnation */
  snapshot_transfer_t transfer;
};

/* replica.c */
action_t *replica_action (replica_t *replica, action_kind_t kind);
void replica_become_follower (replica_t *replica, term_t term, slot_t leader);
void replica_refuse (replica_t *replica, proposal_id_t id,
                     refuse_reason_t reason);
void replica_advance (replica_t *replica, log_index_t commit);

/* replica_log.c */
entry_t *log_find (const replica_t *replica, log_index_t index);
/* False where INDEX is neither in the log nor the snapshot's.  */
bool log_term (const replica_t *replica, log_index_t index, term_t *term);
/* Takes over the reference.  */
void log_append (replica_t *replica, entry_t *entry);
void log_truncate (replica_t *replica, log_index_t keep);
/* Make SNAPSHOT (whose data is referenced anew) the log's start.  */
void log_compact (replica_t *replica, const replica_snapshot_t *snapshot);
void log_clear (replica_t *replica);
/* Work out who has a vote.  */
void config_refresh (replica_t *replica);
bool config_has_vote (const replica_t *replica, slot_t slot,
                      incarnation_t incarnation);
size_t config_majority (const replica_t *replica);
/* Hand the state to the disk and let go the messages that are synced.  */
void disk_flush (replica_t *replica);
void disk_synced (replica_t *replica, uint64_t sequence);

/* replica_send.c */
message_t message_to (const replica_t *replica, message_kind_t kind, slot_t to,
                      incarnation_t incarnation);
/* At once; takes over MESSAGE's references.  */
void message_send (replica_t *replica, const message_t *message);
/* After the state that this step leaves is on disk.  */
void message_hold (replica_t *replica, const message_t *message);

/* replica_election.c */
void election_reset (replica_t *replica);
void election_tick (replica_t *replica);
void election_vote_request (replica_t *replica, const message_t *message);
void election_vote_response (replica_t *replica, const message_t *message);

/* replica_leader.c */
void leader_start (replica_t *replica);
void leader_tick (replica_t *replica);
void leader_propose (replica_t *replica, proposal_id_t id, entry_t *entry);
void leader_append_response (replica_t *replica, const message_t *message);
void leader_snapshot_response (replica_t *replica, const message_t *message);
void leader_join (replica_t *replica, const message_t *message);
void leader_commit (replica_t *replica);
/* When the newest message that a majority answered was sent; false where
   none was.  */
bool leader_majority_acked_at (const replica_t *replica, usec_t *at);
/* Send what slot's peer lacks; a heartbeat where FORCE.  */
void leader_replicate (replica_t *replica, slot_t slot, bool force);

/* replica_follower.c */
void follower_append (replica_t *replica, message_t *message);
void follower_snapshot (replica_t *replica, const message_t *message);

/* replica_join.c */
void join_tick (replica_t *replica);
void join_message (replica_t *replica, const message_t *message);
void join_bootstrap (replica_t *replica, const message_t *message);

#endif
