/* message: what replicas send each other, and its encoding (XDR).

   A message is bounded: MESSAGE_ENTRIES_MAX entries of together about
   MESSAGE_BYTES_TARGET, or one larger entry; SNAPSHOT_CHUNK_BYTES of a
   snapshot.  */

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
  ENTRY_CONTENT_BYTES_MAX = 896 * 1024,
  SNAPSHOT_BYTES_MAX = 4 * 1024 * 1024,
  MESSAGE_ENCODED_BYTES_MAX = ENTRY_CONTENT_BYTES_MAX + MESSAGE_BYTES_TARGET,
};

/* Which incarnation of each control VM has a vote.  */
typedef struct replica_config
{
  uint64_t cluster; /* drawn at bootstrap; 0 before */
  uint8_t n_slots;
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
  MESSAGE_KINDS,
} message_kind_t;

typedef struct vote_request
{
  bool is_pre_vote; /* asks whether a vote would be given; changes nothing */
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
  usec_t sent_at; /* the leader's clock; comes back in the response */
  uint32_t n_entries;
  entry_t *entries[MESSAGE_ENTRIES_MAX];
} append_t;

typedef struct append_response
{
  bool success;
  log_index_t index; /* matched up to here; or, refused, where to try */
  usec_t sent_at;
} append_response_t;

typedef struct snapshot_chunk
{
  log_index_t index;
  term_t index_term;
  replica_config_t config;
  usec_t sent_at;
  uint32_t offset;
  uint32_t total_bytes;
  blob_t *data;
} snapshot_chunk_t;

typedef struct snapshot_response
{
  log_index_t index;
  uint32_t next_offset; /* the first byte that is still wanted */
  bool is_installed;
  usec_t sent_at;
} snapshot_response_t;

/* A replica without a vote says that it is here.  */
typedef struct join
{
  bool is_blank; /* its data folder is empty */
} join_t;

typedef struct message
{
  message_kind_t kind;
  slot_t from;
  slot_t to;
  incarnation_t from_incarnation;
  incarnation_t to_incarnation; /* 0: whichever is there */
  uint64_t cluster;
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
  } body;
} message_t;

/* Drop the references that MESSAGE holds.  */
void message_clear (message_t *message);

/* The encoded message as a new block; the caller's.  */
blob_t *message_encode (const message_t *message);

/* Fill in *MESSAGE from BYTES; afterwards message_clear releases it.  Fails
   with ERR_PROTOCOL and leaves nothing to release.  */
bool message_decode (message_t *message, const void *bytes, size_t length,
                     err_t *err);

#endif
