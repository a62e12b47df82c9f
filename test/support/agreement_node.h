/* agreement_node: one simulated replica with its disk, and the oracle that
   checks all replicas: a map from a sheet's number to the content accepted for
   it.  */

#ifndef TEST_SUPPORT_AGREEMENT_NODE_H
#define TEST_SUPPORT_AGREEMENT_NODE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agreement/replica.h"
#include "agreement/sheet_registry.h"

enum
{
  NODES = 5,
  LOSSES_MAX = 2, /* lost disks that are not yet replaced: a minority */
  NUMBERS_MAX = 4096,
  INDEXES_MAX = 16384,
  CONTENTS = 4,
  LARGE_CONTENT = 3,
  LARGE_CONTENT_BYTES = 40000,
  PROPOSALS = 256,
  RECEIVERS = 3,
  PACKETS_MAX = 512,
  SETTLE_ROUNDS = 2000,
};

#define TICK (25 * USEC_PER_MSEC)

#define REQUIRE(condition, ...)                                               \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "violated: " __VA_ARGS__);                           \
        fputc ('\n', stderr);                                                 \
        abort ();                                                             \
      }                                                                       \
  while (0)

typedef struct packet
{
  slot_t from;
  slot_t to;
  bool is_held; /* delayed until cluster_release or cluster_heal */
  blob_t *bytes;
} packet_t;

typedef struct disk
{
  replica_image_t image; /* the synced state */
  list_t pending;        /* persist actions that are not synced yet */
  uint64_t sequence;     /* of the newest persist action since the start */
} disk_t;

typedef struct submission
{
  uint64_t number;
  int content;
} submission_t;

typedef struct node
{
  replica_t *replica; /* NULL: the process is dead */
  sheet_registry_t *registry;
  log_index_t applied;
  disk_t disk;
  bool is_frozen;
  bool has_failed_disk;   /* a write was refused; set by the test */
  bool is_lost;           /* the disk was lost and is not replaced yet */
  uint64_t newest_number; /* newest sheet number since the process started */
  usec_t read_at;         /* of the last quorum read that was checked */
} node_t;

typedef struct cluster
{
  usec_t now;
  uint64_t seed;
  node_t nodes[NODES];
  packet_t *packets[PACKETS_MAX]; /* oldest first */
  size_t n_packets;
  bool cut[NODES][NODES];
  submission_t proposals[PROPOSALS];
  proposal_id_t next_proposal;
  uint64_t highest; /* sheet number submitted */
  uint64_t steps;
  uint64_t n_bytes; /* of all messages */
  uint64_t n_messages;
  size_t n_accepted;
  size_t n_quorum_reads;
  size_t n_conflicts;

  /* State of the oracle.  A content is stored as its id + 1; 0 is none.  */
  uint8_t winner[NUMBERS_MAX];
  bool is_accepted[NUMBERS_MAX];
  usec_t accepted_at[NUMBERS_MAX];
  term_t applied_term[INDEXES_MAX];
  uint64_t receiver[RECEIVERS];
} cluster_t;

static inline blob_t *
content_new (uint64_t number, int content)
{
  char text[64];
  int length = snprintf (text, sizeof text, "sheet %llu content %d",
                         (unsigned long long)number, content);
  blob_t *blob = blob_new (NULL, content == LARGE_CONTENT ? LARGE_CONTENT_BYTES
                                                          : (size_t)length);
  memcpy (blob->bytes, text, (size_t)length);
  return blob;
}

/* Returns the id + 1 of the content whose digest RECORD holds.  */
static inline uint8_t
content_of (const sheet_record_t *record)
{
  for (int content = 0; content < CONTENTS; content++)
    {
      sheet_registry_t *registry = sheet_registry_new ();
      sheet_submission_t submission
          = { .number = record->number,
              .content = content_new (record->number, content) };
      sheet_outcome_t outcome
          = sheet_registry_apply (registry, 1, &submission);
      blob_unref (submission.content);
      sheet_registry_free (registry);
      if (memcmp (outcome.record.digest, record->digest, SHEET_DIGEST_BYTES)
          == 0)
        return (uint8_t)(content + 1);
    }
  REQUIRE (false, "sheet %llu has a content that nobody submitted",
           (unsigned long long)record->number);
  return 0;
}

static inline void
oracle_record_winner (cluster_t *cluster, const sheet_record_t *record,
                      uint8_t content)
{
  uint8_t *winner = &cluster->winner[record->number];
  REQUIRE (*winner == 0 || *winner == content, "sheet %llu has two winners",
           (unsigned long long)record->number);
  *winner = content;
}

/* Require that a majority of the disks hold entry INDEX.  A lost disk counts
   as holding it, because its loss is an injected fault.  */
static inline void
oracle_check_durable (const cluster_t *cluster, log_index_t index)
{
  int n = 0;
  for (int i = 0; i < NODES; i++)
    {
      const node_t *node = &cluster->nodes[i];
      bool has_entry = node->disk.image.snapshot.index >= index;
      LIST_FOREACH (link, &node->disk.image.log)
      if (LIST_ENTRY (link, entry_t, link)->index == index)
        has_entry = true;
      n += has_entry || node->is_lost;
    }
  REQUIRE (n > NODES / 2, "entry %llu was answered with %d of %d disks",
           (unsigned long long)index, n, NODES);
}

static inline void
oracle_answer (cluster_t *cluster, const submission_t *submission,
               const sheet_outcome_t *outcome)
{
  if (outcome->verdict == SHEET_STALE)
    return;
  uint8_t content = (uint8_t)(submission->content + 1);
  bool is_accepted = outcome->verdict == SHEET_ACCEPTED;
  uint8_t won = is_accepted ? content : content_of (&outcome->record);
  REQUIRE (is_accepted || won != content,
           "a submission conflicts with its own content");
  oracle_record_winner (cluster, &outcome->record, won);
  if (is_accepted)
    {
      oracle_check_durable (cluster, outcome->record.index);
      if (!cluster->is_accepted[submission->number])
        cluster->accepted_at[submission->number] = cluster->now;
      cluster->is_accepted[submission->number] = true;
      cluster->n_accepted++;
    }
  else
    cluster->n_conflicts++;
}

static inline void
disk_apply (disk_t *disk, const persist_t *persist)
{
  replica_image_t *image = &disk->image;
  image->incarnation = persist->incarnation;
  image->vote = persist->vote;
  if (persist->replaces_log)
    {
      blob_unref (image->snapshot.data);
      image->snapshot = persist->snapshot;
      if (image->snapshot.data)
        blob_ref (image->snapshot.data);
    }
  LIST_FOREACH (link, &image->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (!persist->replaces_log && entry->index <= persist->keep_index)
      continue;
    list_remove (link);
    entry_unref (entry);
  }
  for (size_t i = 0; i < persist->n_entries; i++)
    {
      entry_t *copy = entry_new (persist->entries[i]->kind);
      copy->index = persist->entries[i]->index;
      copy->term = persist->entries[i]->term;
      copy->body = persist->entries[i]->body;
      if (copy->kind == ENTRY_SHEET)
        blob_ref (copy->body.sheet.content);
      list_push_back (&image->log, &copy->link);
    }
  log_index_t expected = image->snapshot.index;
  LIST_FOREACH (link, &image->log)
  REQUIRE (LIST_ENTRY (link, entry_t, link)->index == ++expected,
           "the disk has a gap before entry %llu",
           (unsigned long long)expected);
}

static inline void
disk_clear (disk_t *disk)
{
  blob_unref (disk->image.snapshot.data);
  LIST_FOREACH (link, &disk->image.log)
  entry_unref (LIST_ENTRY (link, entry_t, link));
  memset (&disk->image, 0, sizeof disk->image);
  disk->image.vote.slot = SLOT_NONE;
  list_init (&disk->image.log);
}

static inline void
disk_drop_pending (disk_t *disk)
{
  list_t *link;
  while ((link = list_pop_front (&disk->pending)))
    action_free (LIST_ENTRY (link, action_t, link));
}

#endif
