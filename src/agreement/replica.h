/* replica: one replica of the log that control VMs agree on.

   The core does no I/O and reads no clock.  Events and the time go in,
   actions come out, in the order in which they are to be done.  What a
   replica tells others about its term, vote or log leaves it only after the
   driver has reported that the state is on disk (EVENT_SYNCED).

   Replication follows Raft, with pre-votes, leader leases and snapshots.
   Votes and acknowledgements count by incarnation, one life of one data
   folder.  A replica whose folder was lost comes back under a new
   incarnation without a vote, catches up, and takes its old one's place by
   an ENTRY_VOTER_CHANGE.  While a swap is not known to be committed, neither
   of its two incarnations counts towards a quorum.

   A new cluster starts only when the replicas of all slots say, to the
   present incarnation of slot 0, that their data folders are empty.  */

#ifndef AGREEMENT_REPLICA_H
#define AGREEMENT_REPLICA_H

#include "agreement/entry.h"
#include "agreement/message.h"
#include "base/random.h"

enum
{
  REPLICA_PROPOSALS_MAX = 64, /* entries that wait for their quorum */
};

#define REPLICA_PROPOSAL_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define REPLICA_SNAPSHOT_INTERVAL_BYTES ((size_t)2 * 1024 * 1024)
#define REPLICA_HEARTBEAT_INTERVAL (50 * USEC_PER_MSEC)
#define REPLICA_ELECTION_TIMEOUT (400 * USEC_PER_MSEC)
#define REPLICA_JOIN_INTERVAL (200 * USEC_PER_MSEC)

/* What was saved of a replica, as the storage reads it.  */
typedef struct replica_snapshot
{
  log_index_t index;
  term_t term;
  replica_config_t config;
  blob_t *data; /* NULL before the first */
} replica_snapshot_t;

typedef struct replica_vote
{
  term_t term;
  slot_t slot; /* SLOT_NONE: not given in this term */
  incarnation_t incarnation;
} replica_vote_t;

typedef struct replica_image
{
  incarnation_t incarnation; /* 0: the data folder is empty */
  replica_vote_t vote;
  replica_snapshot_t snapshot;
  list_t log; /* of entry_t */
} replica_image_t;

/* Zero stands for the default.  */
typedef struct replica_options
{
  slot_t slot;
  uint8_t n_slots;
  usec_t heartbeat_interval;
  usec_t
      election_timeout; /* shortest silence of the leader before an election */
  /* How much later each slot stands for election than the one before it, so
     that two seldom do at once; 0: chance decides.  Longer than two round
     trips.  */
  usec_t election_stagger;
  uint32_t snapshot_interval_entries; /* applied between two snapshots */
  size_t snapshot_interval_bytes;     /* or so many bytes of them */
  uint64_t seed;
  /* The image was read after a failed write or sync, so that what it holds
     may not be on disk: all of it is written anew before anything is told. */
  bool must_rewrite_image;
} replica_options_t;

typedef enum
{
  EVENT_TICK, /* at least every heartbeat / 2 */
  EVENT_MESSAGE,
  EVENT_PROPOSE,
  EVENT_SYNCED,
  EVENT_SNAPSHOT,
  EVENT_DISK_FAILED, /* final: the replica halts */
} event_kind_t;

typedef struct event
{
  event_kind_t kind;
  union
  {
    message_t *message; /* decoded for this replica alone */
    struct
    {
      proposal_id_t id;
      entry_t *entry; /* the replica takes its own reference */
    } propose;
    uint64_t synced; /* this sequence number and all before */
    struct
    {
      log_index_t index;
      blob_t *data; /* the replica takes its own reference */
    } snapshot;
  } body;
} event_t;

typedef enum
{
  ACTION_SEND,
  ACTION_PERSIST,
  ACTION_APPLY,
  ACTION_RESTORE,       /* replace the applied state */
  ACTION_TAKE_SNAPSHOT, /* make the next event an EVENT_SNAPSHOT */
  ACTION_REFUSE,
} action_kind_t;

typedef enum
{
  REFUSE_NOT_LEADER,      /* surely not in the log; ask LEADER */
  REFUSE_QUEUE_FULL,      /* surely not in the log; too many wait */
  REFUSE_HALTED,          /* surely not in the log; the disk failed */
  REFUSE_OUTCOME_UNKNOWN, /* may yet be committed: resend it, the same */
} refuse_reason_t;

/* Write, sync and then report SEQUENCE by EVENT_SYNCED.  */
typedef struct persist
{
  uint64_t sequence;
  incarnation_t incarnation;
  replica_vote_t vote;
  /* True: SNAPSHOT and ENTRIES replace all that was stored.  */
  bool replaces_log;
  replica_snapshot_t snapshot; /* set where REPLACES */
  log_index_t keep_index;      /* stored entries above are dropped */
  size_t n_entries;
  entry_t **entries; /* from KEEP + 1 on */
} persist_t;

typedef struct action
{
  list_t link;
  action_kind_t kind;
  union
  {
    message_t send;
    persist_t persist;
    entry_t *apply; /* its proposal is set where this process proposed it */
    struct
    {
      log_index_t index;
      blob_t *data;
    } restore;
    log_index_t take_snapshot;
    struct
    {
      proposal_id_t id;
      refuse_reason_t reason;
      slot_t leader; /* SLOT_NONE where not known */
    } refuse;
  } body;
} action_t;

typedef enum
{
  ROLE_BLANK,   /* an empty data folder, in no cluster yet */
  ROLE_LEARNER, /* no vote under this incarnation yet */
  ROLE_FOLLOWER,
  ROLE_CANDIDATE,
  ROLE_LEADER,
  ROLE_HALTED,
} replica_role_t;

typedef struct replica_status
{
  replica_role_t role;
  incarnation_t incarnation;
  term_t term;
  slot_t leader;
  log_index_t last_index;
  log_index_t commit_index;
  log_index_t applied_index;
  log_index_t snapshot_index;
  replica_config_t config;
  slot_t pending_slot;  /* of a swap that is under way, or SLOT_NONE */
  size_t n_log_entries; /* of the log in memory */
} replica_status_t;

typedef struct replica replica_t;

/* IMAGE is what the storage read (its incarnation 0: nothing); its
   references pass to the replica.  The first step's actions restore the
   applied state.  */
replica_t *replica_new (const replica_options_t *options,
                        replica_image_t *image, usec_t now);
void replica_free (replica_t *replica);

/* Take one event at NOW, which never goes back.  Appends to ACTIONS; each
   is the caller's, for action_free.  The caller keeps EVENT.  All actions of
   one step are carried out before the next one, also before the snapshot that
   one of them asks for: state that went to the disk out of order would undo
   newer state.  */
void replica_step (replica_t *replica, usec_t now, const event_t *event,
                   list_t *actions);

void action_free (action_t *action);

replica_status_t replica_status (const replica_t *replica);

/* True while no other replica can have become leader.  */
bool replica_holds_lease (const replica_t *replica, usec_t now);

/* True where what this replica has applied is the newest at NOW: nobody can
   have accepted anything that it has not.  */
bool replica_is_current (const replica_t *replica, usec_t now);

const char *replica_role_name (replica_role_t role);

#endif
