/* replica: one replica of a replicated log (Raft consensus).

   The replica does no I/O and reads no clock.  The program that owns it (the
   driver) passes in events and the current time with replica_step, and
   carries out the returned actions in their order.  What a replica reveals of
   its own term, vote or log (requests for votes, votes, acknowledgements) is
   sent only after the driver has reported by EVENT_SYNCED that this state is
   on disk.

   The protocol is Raft with pre-votes, leader leases and snapshots.  Replicas
   that ask for pre-votes at the same time yield to the one with the newest
   log, and among these to the one with the lowest slot.  Votes and
   acknowledgements are counted per incarnation: an incarnation lasts as long
   as the contents of one data folder.  A replica that lost its data folder
   restarts under a new incarnation without a vote.  It catches up with the
   log, and an ENTRY_VOTER_CHANGE then gives it the vote of its slot's former
   incarnation.  While such a change is not known to be committed, neither of
   the two incarnations counts towards a quorum.

   A new cluster is bootstrapped by slot 0, and only after the replicas of all
   other slots have reported to its current incarnation that their data
   folders are empty.  */

#ifndef AGREEMENT_REPLICA_H
#define AGREEMENT_REPLICA_H

#include "agreement/entry.h"
#include "agreement/message.h"
#include "base/random.h"

enum
{
  REPLICA_PROPOSALS_MAX = 64, /* proposals not committed yet */
};

/* Bytes of the proposals not committed yet.  */
#define REPLICA_PROPOSAL_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* Defaults of replica_options_t.  */
#define REPLICA_SNAPSHOT_INTERVAL_BYTES ((size_t)2 * 1024 * 1024)
#define REPLICA_HEARTBEAT_INTERVAL (50 * USEC_PER_MSEC)
#define REPLICA_ELECTION_TIMEOUT (400 * USEC_PER_MSEC)
#define REPLICA_ROUND_TRIP (100 * USEC_PER_MSEC)
/* Between two MESSAGE_JOIN of a replica without a vote.  */
#define REPLICA_JOIN_INTERVAL (200 * USEC_PER_MSEC)

typedef struct replica_snapshot
{
  log_index_t index; /* the last entry that DATA includes */
  term_t term;       /* of that entry */
  replica_config_t config;
  blob_t *data; /* the applied state; NULL before the first snapshot */
} replica_snapshot_t;

/* The current term, and the candidate that this replica voted for in it.  */
typedef struct replica_vote
{
  term_t term;
  slot_t slot; /* SLOT_NONE: no vote was granted in this term */
  incarnation_t incarnation;
} replica_vote_t;

/* The persistent state of a replica, as read from its data folder.  */
typedef struct replica_image
{
  incarnation_t incarnation; /* 0: the data folder is empty */
  replica_vote_t vote;
  replica_snapshot_t snapshot;
  list_t log; /* of entry_t */
} replica_image_t;

/* Zero stands for the default value.  */
typedef struct replica_options
{
  slot_t slot;
  uint8_t n_slots;
  usec_t heartbeat_interval;
  usec_t election_timeout; /* least silence of the leader before an election */
  /* The longest round trip between two replicas, with the time that each takes
     to handle a message.  Of the replicas that ask for pre-votes within this
     time, one becomes a candidate.  */
  usec_t round_trip;
  uint32_t snapshot_interval_entries; /* applied since the last snapshot */
  size_t snapshot_interval_bytes;     /* or so many bytes of log */
  uint64_t seed;
  /* The image was read after a failed write or sync, so its contents may not
     be on disk.  The whole image is written again before any message is
     sent.  */
  bool must_rewrite_image;
  /* Ask a majority whether the log is the newest while no leader is known, for
     replica_quorum_read_at.  */
  bool reads_quorum;
} replica_options_t;

typedef enum
{
  EVENT_TICK, /* at least every half heartbeat interval */
  EVENT_MESSAGE,
  EVENT_PROPOSE,
  EVENT_SYNCED,      /* a persist action has been synced */
  EVENT_SNAPSHOT,    /* the driver answers ACTION_TAKE_SNAPSHOT */
  EVENT_DISK_FAILED, /* the replica halts and can't resume */
} event_kind_t;

typedef struct event
{
  event_kind_t kind;
  union
  {
    message_t *message; /* the replica may modify it */
    struct
    {
      proposal_id_t id;
      entry_t *entry; /* the replica takes its own reference */
    } propose;
    uint64_t synced; /* persist sequence; covers all earlier ones */
    struct
    {
      log_index_t index; /* as ACTION_TAKE_SNAPSHOT gave it */
      blob_t *data;      /* the replica takes its own reference */
    } snapshot;
  } body;
} event_t;

typedef enum
{
  ACTION_SEND,
  ACTION_PERSIST,
  ACTION_APPLY,         /* apply a committed entry to the state machine */
  ACTION_RESTORE,       /* replace the applied state by a snapshot */
  ACTION_TAKE_SNAPSHOT, /* answer with EVENT_SNAPSHOT as the next event */
  ACTION_REFUSE,        /* ends a proposal that was not applied */
} action_kind_t;

typedef enum
{
  REFUSE_NOT_LEADER, /* not in the log; propose to LEADER instead */
  REFUSE_QUEUE_FULL, /* not in the log; too many proposals or bytes pend */
  REFUSE_HALTED,     /* not in the log; the disk failed */
  REFUSE_OUTCOME_UNKNOWN, /* may still be committed; resend it unchanged */
} refuse_reason_t;

/* State to write and sync; EVENT_SYNCED then reports SEQUENCE.  */
typedef struct persist
{
  uint64_t sequence;
  incarnation_t incarnation;
  replica_vote_t vote;
  /* SNAPSHOT and ENTRIES replace the whole stored log.  */
  bool replaces_log;
  replica_snapshot_t snapshot; /* set only if REPLACES_LOG */
  log_index_t keep_index; /* stored entries with higher indexes are deleted */
  size_t n_entries;
  entry_t **entries; /* from KEEP_INDEX + 1 on */
} persist_t;

typedef struct action
{
  list_t link;
  action_kind_t kind;
  union
  {
    message_t send;
    persist_t persist;
    entry_t *apply; /* its proposal id is not 0 if proposed here */
    struct
    {
      log_index_t index;
      blob_t *data;
    } restore;
    log_index_t take_snapshot; /* the index it must cover */
    struct
    {
      proposal_id_t id;
      refuse_reason_t reason;
      slot_t leader; /* SLOT_NONE if not known */
    } refuse;
  } body;
} action_t;

typedef enum
{
  ROLE_BLANK,   /* empty data folder, not a member of a cluster yet */
  ROLE_LEARNER, /* a member without a vote */
  ROLE_FOLLOWER,
  ROLE_CANDIDATE,
  ROLE_LEADER,
  ROLE_HALTED, /* the disk failed */
} replica_role_t;

typedef struct replica_status
{
  replica_role_t role;
  incarnation_t incarnation;
  term_t term;
  slot_t leader; /* SLOT_NONE if not known */
  log_index_t last_index;
  log_index_t commit_index;
  log_index_t applied_index;
  log_index_t snapshot_index;
  replica_config_t config;
  slot_t pending_slot;  /* of an uncommitted voter change, or SLOT_NONE */
  size_t n_log_entries; /* of the log in memory */
} replica_status_t;

typedef struct replica replica_t;

/* IMAGE is the state that the storage read (incarnation 0: none); the replica
   takes over its references.  The first replica_step returns an
   ACTION_RESTORE if IMAGE holds a snapshot.  */
replica_t *replica_new (const replica_options_t *options,
                        replica_image_t *image, usec_t now);
void replica_free (replica_t *replica);

/* Handle one event at time NOW, which must not decrease.  Appends to ACTIONS;
   the caller frees each action with action_free.  The caller keeps EVENT.

   The caller must carry out all actions of one step before the next step,
   also before the EVENT_SNAPSHOT that one of them requests: persist actions
   written out of order would overwrite newer state with older state.  */
void replica_step (replica_t *replica, usec_t now, const event_t *event,
                   list_t *actions);

void action_free (action_t *action);

replica_status_t replica_status (const replica_t *replica);

/* True while this replica leads and its lease excludes any other leader.  */
bool replica_holds_lease (const replica_t *replica, usec_t now);

/* True if a read of this replica's applied state is linearizable at NOW: it
   holds the lease and has applied every entry that was committed before its
   term.  */
bool replica_is_current (const replica_t *replica, usec_t now);

/* The latest time for which a majority of replicas has shown, without a
   leader, that this replica's applied state includes every entry that was
   committed before it; 0: none.  */
usec_t replica_quorum_read_at (const replica_t *replica);

const char *replica_role_name (replica_role_t role);

#endif
