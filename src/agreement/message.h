/* message: the messages between replicas, and their XDR encoding.

   The size of a message is bounded.  An append holds up to
   MESSAGE_ENTRIES_MAX entries of together up to MESSAGE_BYTES_TARGET, or one
   larger entry.  A snapshot chunk holds up to SNAPSHOT_CHUNK_BYTES.  */

#ifndef AGREEMENT_MESSAGE_H
#define AGREEMENT_MESSAGE_H

#include <stdbool.h>

#include "agreement/entry.h"
#include "base/error.h"
#include "base/time_defs.h"

enum
{
  MESSAGE_ENTRIES_MAX = 16,
  MESSAGE_BYTES_TARGET = 64 * 1024,
  SNAPSHOT_CHUNK_BYTES = 32 * 1024,
  ENTRY_CONTENT_BYTES_MAX = 896 * 1024, /* a sheet, grant or command */
  SNAPSHOT_BYTES_MAX = 4 * 1024 * 1024,
  MESSAGE_ENCODED_BYTES_MAX = ENTRY_CONTENT_BYTES_MAX + MESSAGE_BYTES_TARGET,
};

/* The incarnation that has the vote of each slot.  */
typedef struct replica_config
{
  uint64_t cluster; /* identifies the cluster; drawn at bootstrap, 0 before */
  uint8_t n_slots;  /* 0 before bootstrap */
  incarnation_t incarnation[REPLICAS_MAX];
} replica_config_t;

typedef enum
{
  MESSAGE_VOTE_REQUEST,
  MESSAGE_VOTE_RESPONSE,
  MESSAGE_APPEND,
  MESSAGE_APPEND_RESPONSE,
  MESSAGE_SNAPSHOT,
  MESSAGE_SNAPSHOT_RESPONSE,
  MESSAGE_JOIN,
  MESSAGE_BOOTSTRAP,
  MESSAGE_LOG_QUERY,
  MESSAGE_LOG_STATUS,
  MESSAGE_KINDS,
} message_kind_t;

typedef struct vote_request
{
  bool is_pre_vote; /* pre-vote: no replica changes its state */
  log_index_t last_index;
  term_t last_term;
} vote_request_t;

typedef struct vote_response
{
  bool is_pre_vote;
  bool granted;
} vote_response_t;

typedef struct append
{
  log_index_t prev_index;
  term_t prev_term;
  log_index_t commit_index;
  usec_t sent_at; /* the leader's clock; returned in the response */
  uint32_t n_entries;
  entry_t *entries[MESSAGE_ENTRIES_MAX];
} append_t;

typedef struct append_response
{
  bool success;
  log_index_t index; /* last matching entry; on failure, the next prev_index */
  usec_t sent_at;
} append_response_t;

typedef struct snapshot_chunk
{
  log_index_t index; /* the last entry that the snapshot includes */
  term_t index_term; /* of that entry */
  replica_config_t config;
  usec_t sent_at;
  uint32_t offset;
  uint32_t total_bytes; /* of the snapshot */
  blob_t *data;         /* of this chunk */
} snapshot_chunk_t;

typedef struct snapshot_response
{
  log_index_t index;
  uint32_t next_offset; /* the first byte not received yet */
  bool is_installed;
  usec_t sent_at;
} snapshot_response_t;

/* Sent by a replica without a vote, to bootstrap a cluster or to get a vote
   in one.  */
typedef struct join
{
  bool is_blank; /* its data folder is empty */
} join_t;

/* Asks for the end of the receiver's log.  */
typedef struct log_query
{
  usec_t sent_at; /* the sender's clock; returned in the answer */
} log_query_t;

/* The answer: the last entry of the sender's log on disk.  */
typedef struct log_status
{
  log_index_t last_index;
  term_t last_term;
  usec_t sent_at;
} log_status_t;

typedef struct message
{
  message_kind_t kind;
  slot_t from;
  slot_t to;
  incarnation_t from_incarnation;
  incarnation_t to_incarnation; /* 0: not known */
  uint64_t cluster;             /* the sender's; 0: not a member yet */
  term_t term;
  union
  {
    vote_request_t vote_request;
    vote_response_t vote_response;
    append_t append;
    append_response_t append_response;
    snapshot_chunk_t snapshot;
    snapshot_response_t snapshot_response;
    join_t join;
    replica_config_t bootstrap;
    log_query_t log_query;
    log_status_t log_status;
  } body;
} message_t;

/* Drop the references that MESSAGE holds.  */
void message_clear (message_t *message);

/* The encoded message as a new block, owned by the caller.  */
blob_t *message_encode (const message_t *message);

/* Decode BYTES into *MESSAGE, which message_clear releases.  What follows the
   message is of a later build, and is passed over.  On failure,
   returns false with ERR_PROTOCOL, and nothing needs to be released.  */
bool message_decode (message_t *message, const void *bytes, size_t length,
                     err_t *err);

#endif
