/* agreement_cluster: simulated replicas in one thread, with a network, disks
   and a clock that a test drives step by step.  Invariants are checked by
   REQUIRE, which prints the violation and aborts.  */

#ifndef TEST_SUPPORT_AGREEMENT_CLUSTER_H
#define TEST_SUPPORT_AGREEMENT_CLUSTER_H

#include "agreement_node.h"

static inline void cluster_step (cluster_t *cluster, slot_t slot,
                                 const event_t *event);

static inline void
cluster_send (cluster_t *cluster, const message_t *message)
{
  if (cluster->n_packets >= PACKETS_MAX)
    return;
  packet_t *packet = calloc (1, sizeof *packet);
  packet->from = message->from;
  packet->to = message->to;
  packet->bytes = message_encode (message);
  REQUIRE (packet->bytes->length
               <= MESSAGE_BYTES_TARGET + LARGE_CONTENT_BYTES + 256,
           "a message of %u bytes", packet->bytes->length);
  cluster->packets[cluster->n_packets++] = packet;
  cluster->n_bytes += packet->bytes->length;
  cluster->n_messages++;
}

/* Require that NODE's newest sheet number does not fall while its process
   runs.  */
static inline void
oracle_check_newest (cluster_t *cluster, node_t *node)
{
  const sheet_record_t *newest = sheet_registry_newest (node->registry);
  if (!newest)
    return;
  REQUIRE (newest->number >= node->newest_number,
           "a replica's newest sheet went back to %llu",
           (unsigned long long)newest->number);
  node->newest_number = newest->number;
  (void)cluster;
}

static inline void
cluster_apply (cluster_t *cluster, slot_t slot, const entry_t *entry)
{
  node_t *node = &cluster->nodes[slot];
  REQUIRE (entry->index == node->applied + 1, "entry %llu applied after %llu",
           (unsigned long long)entry->index,
           (unsigned long long)node->applied);
  node->applied = entry->index;
  REQUIRE (entry->index < INDEXES_MAX, "the log is too long for the test");
  term_t *term = &cluster->applied_term[entry->index];
  REQUIRE (*term == 0 || *term == entry->term,
           "entry %llu differs between replicas",
           (unsigned long long)entry->index);
  *term = entry->term;
  if (entry->kind != ENTRY_SHEET)
    return;
  sheet_outcome_t outcome = sheet_registry_apply (node->registry, entry->index,
                                                  &entry->body.sheet);
  if (outcome.verdict == SHEET_ACCEPTED)
    oracle_record_winner (cluster, &outcome.record,
                          content_of (&outcome.record));
  if (entry->proposal != 0)
    oracle_answer (cluster, &cluster->proposals[entry->proposal % PROPOSALS],
                   &outcome);
  oracle_check_newest (cluster, node);
}

static inline void
cluster_restore (cluster_t *cluster, slot_t slot, const action_t *action)
{
  node_t *node = &cluster->nodes[slot];
  REQUIRE (action->body.restore.index >= node->applied,
           "a restore moves the applied index back");
  node->applied = action->body.restore.index;
  REQUIRE (
      sheet_registry_restore (node->registry, action->body.restore.data, NULL),
      "a snapshot cannot be restored");
  oracle_check_newest (cluster, node);
}

static inline void
cluster_save (cluster_t *cluster, slot_t slot, log_index_t index)
{
  blob_t *data = sheet_registry_save (cluster->nodes[slot].registry);
  event_t event = { .kind = EVENT_SNAPSHOT };
  event.body.snapshot.index = index;
  event.body.snapshot.data = data;
  cluster_step (cluster, slot, &event);
  blob_unref (data);
}

static inline void
oracle_check_lease (const cluster_t *cluster)
{
  int n = 0;
  for (int i = 0; i < NODES; i++)
    n += cluster->nodes[i].replica
         && replica_holds_lease (cluster->nodes[i].replica, cluster->now);
  REQUIRE (n <= 1, "%d replicas hold the lease", n);
}

/* Require that a quorum read of NODE includes every sheet that was accepted
   before it.  */
static inline void
oracle_check_quorum_read (cluster_t *cluster, node_t *node)
{
  usec_t read_at = replica_quorum_read_at (node->replica);
  if (read_at == node->read_at)
    return;
  node->read_at = read_at;
  cluster->n_quorum_reads++;
  const sheet_record_t *newest = sheet_registry_newest (node->registry);
  for (uint64_t number = 1; number < NUMBERS_MAX; number++)
    REQUIRE (!cluster->is_accepted[number]
                 || cluster->accepted_at[number] >= read_at
                 || (newest && newest->number >= number),
             "a quorum read lacks sheet %llu", (unsigned long long)number);
}

static inline void
cluster_step (cluster_t *cluster, slot_t slot, const event_t *event)
{
  list_t actions;
  list_init (&actions);
  log_index_t wanted = 0;
  replica_step (cluster->nodes[slot].replica, cluster->now, event, &actions);
  list_t *link;
  while ((link = list_pop_front (&actions)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      switch (action->kind)
        {
        case ACTION_SEND:
          cluster_send (cluster, &action->body.send);
          break;
        case ACTION_PERSIST:
          REQUIRE (action->body.persist.sequence
                       == ++cluster->nodes[slot].disk.sequence,
                   "state is handed to the disk out of order");
          list_push_back (&cluster->nodes[slot].disk.pending, &action->link);
          continue;
        case ACTION_APPLY:
          cluster_apply (cluster, slot, action->body.apply);
          break;
        case ACTION_RESTORE:
          cluster_restore (cluster, slot, action);
          break;
        case ACTION_TAKE_SNAPSHOT:
          wanted = action->body.take_snapshot;
          break;
        case ACTION_REFUSE:
          break;
        }
      action_free (action);
    }
  if (wanted > 0)
    cluster_save (cluster, slot, wanted);
  oracle_check_quorum_read (cluster, &cluster->nodes[slot]);
}

static inline bool
node_runs (const node_t *node)
{
  return node->replica && !node->is_frozen;
}

static inline void
cluster_start (cluster_t *cluster, slot_t slot)
{
  node_t *node = &cluster->nodes[slot];
  if (node->replica)
    return;
  replica_image_t image = node->disk.image;
  list_init (&image.log);
  disk_t copy = { .image = image };
  copy.image.snapshot.data = NULL;
  persist_t all = { .incarnation = image.incarnation, .vote = image.vote };
  entry_t *entries[INDEXES_MAX / 16];
  all.entries = entries;
  LIST_FOREACH (link, &node->disk.image.log)
  entries[all.n_entries++] = LIST_ENTRY (link, entry_t, link);
  list_init (&copy.image.log);
  disk_apply (&copy, &all);
  copy.image.snapshot = image.snapshot;
  if (image.snapshot.data)
    blob_ref (image.snapshot.data);
  replica_options_t options = { .slot = slot,
                                .n_slots = NODES,
                                .snapshot_interval_entries = 8,
                                .reads_quorum = true,
                                .must_rewrite_image = node->has_failed_disk,
                                .seed = ++cluster->seed };
  node->replica = replica_new (&options, &copy.image, cluster->now);
  node->registry = sheet_registry_new ();
  node->disk.sequence = 0;
  node->applied = image.snapshot.data ? 0 : image.snapshot.index;
  node->newest_number = 0;
  node->read_at = 0;
  node->is_frozen = false;
}

/* Kill the process of SLOT.  The first SURVIVING of its unsynced writes have
   reached the disk nevertheless; the others are lost.  */
static inline void
cluster_crash (cluster_t *cluster, slot_t slot, int surviving)
{
  node_t *node = &cluster->nodes[slot];
  if (!node->replica)
    return;
  list_t *link;
  while (surviving-- > 0 && (link = list_pop_front (&node->disk.pending)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      disk_apply (&node->disk, &action->body.persist);
      action_free (action);
    }
  disk_drop_pending (&node->disk);
  replica_free (node->replica);
  sheet_registry_free (node->registry);
  node->replica = NULL;
  node->registry = NULL;
  node->is_frozen = false;
}

static inline int
cluster_losses (const cluster_t *cluster)
{
  int n = 0;
  for (int i = 0; i < NODES; i++)
    n += cluster->nodes[i].is_lost;
  return n;
}

/* Kill the process of SLOT and wipe its disk.  Returns false, without a
   change, where LOSSES_MAX other disks are lost already: one more would
   lose the majority.  */
static inline bool
cluster_lose_disk (cluster_t *cluster, slot_t slot)
{
  node_t *node = &cluster->nodes[slot];
  if (!node->is_lost && cluster_losses (cluster) >= LOSSES_MAX)
    return false;
  cluster_crash (cluster, slot, 0);
  disk_clear (&node->disk);
  node->is_lost = true;
  return true;
}

static inline void
cluster_sync (cluster_t *cluster, slot_t slot)
{
  node_t *node = &cluster->nodes[slot];
  if (!node_runs (node) || list_empty (&node->disk.pending))
    return;
  list_t *link = list_pop_front (&node->disk.pending);
  action_t *action = LIST_ENTRY (link, action_t, link);
  disk_apply (&node->disk, &action->body.persist);
  event_t event
      = { .kind = EVENT_SYNCED, .body.synced = action->body.persist.sequence };
  action_free (action);
  const replica_image_t *image = &node->disk.image;
  if (image->snapshot.config.incarnation[slot] == image->incarnation)
    node->is_lost = false;
  cluster_step (cluster, slot, &event);
}

static inline packet_t *
cluster_packet (cluster_t *cluster, size_t i)
{
  if (cluster->n_packets == 0)
    return NULL;
  return cluster->packets[i % cluster->n_packets];
}

static inline void
cluster_drop (cluster_t *cluster, packet_t *packet)
{
  size_t i = 0;
  while (cluster->packets[i] != packet)
    i++;
  cluster->n_packets--;
  for (; i < cluster->n_packets; i++)
    cluster->packets[i] = cluster->packets[i + 1];
  blob_unref (packet->bytes);
  free (packet);
}

static inline void
cluster_receive (cluster_t *cluster, const packet_t *packet)
{
  message_t message;
  REQUIRE (message_decode (&message, packet->bytes->bytes,
                           packet->bytes->length, NULL),
           "a message does not decode");
  event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
  cluster_step (cluster, packet->to, &event);
  message_clear (&message);
}

/* Deliver PACKET, and keep it for a duplicate delivery where AGAIN.  A held
   packet stays queued, and so does one to a frozen process, as it would in the
   socket's buffer.  A packet to a dead process or over a cut link is lost.  */
static inline void
cluster_deliver (cluster_t *cluster, packet_t *packet, bool again)
{
  if (!packet || packet->is_held || cluster->nodes[packet->to].is_frozen)
    return;
  if (cluster->nodes[packet->to].replica
      && !cluster->cut[packet->from][packet->to])
    cluster_receive (cluster, packet);
  if (!again)
    cluster_drop (cluster, packet);
}

/* Deliver the N oldest packets in order; skip those that are held or whose
   receiver is frozen.  */
static inline void
cluster_deliver_first (cluster_t *cluster, size_t n)
{
  size_t i = 0;
  while (n-- > 0)
    {
      packet_t *packet = cluster->packets[i];
      cluster_deliver (cluster, packet, false);
      if (cluster->packets[i] == packet && i < cluster->n_packets)
        i++;
    }
}

/* Deliver the first held packet at or after index I, which wraps around.  */
static inline void
cluster_release (cluster_t *cluster, size_t i)
{
  for (size_t n = 0; n < cluster->n_packets; n++)
    {
      packet_t *packet = cluster_packet (cluster, i + n);
      if (!packet->is_held)
        continue;
      packet->is_held = false;
      cluster_deliver (cluster, packet, false);
      return;
    }
}

static inline void
cluster_tick (cluster_t *cluster)
{
  cluster->now += TICK;
  event_t event = { .kind = EVENT_TICK };
  for (int slot = 0; slot < NODES; slot++)
    if (node_runs (&cluster->nodes[slot]))
      cluster_step (cluster, slot, &event);
  oracle_check_lease (cluster);
}

/* One tick, in which the disks sync all pending writes and the network
   delivers all that can be delivered, three times over.  */
static inline void
cluster_round (cluster_t *cluster)
{
  cluster_tick (cluster);
  for (int pass = 0; pass < 3; pass++)
    {
      for (int slot = 0; slot < NODES; slot++)
        while (node_runs (&cluster->nodes[slot])
               && !list_empty (&cluster->nodes[slot].disk.pending))
          cluster_sync (cluster, slot);
      cluster_deliver_first (cluster, cluster->n_packets);
    }
}

static inline void
cluster_submit (cluster_t *cluster, slot_t slot, uint64_t number, int content)
{
  node_t *node = &cluster->nodes[slot];
  if (!node_runs (node) || number == 0 || number >= NUMBERS_MAX)
    return;
  if (number > cluster->highest)
    cluster->highest = number;
  submission_t submission = { .number = number, .content = content };
  name_t operator_name = { "operator" };
  blob_t *blob = content_new (number, content);
  entry_t *entry = entry_new_sheet (number, &operator_name, blob);
  blob_unref (blob);
  sheet_outcome_t outcome;
  if (sheet_registry_find (node->registry, &entry->body.sheet, &outcome))
    oracle_answer (cluster, &submission, &outcome);
  else
    {
      proposal_id_t id = ++cluster->next_proposal;
      cluster->proposals[id % PROPOSALS] = submission;
      event_t event = { .kind = EVENT_PROPOSE };
      event.body.propose.id = id;
      event.body.propose.entry = entry;
      cluster_step (cluster, slot, &event);
    }
  entry_unref (entry);
}

/* RECEIVER, which keeps no state on disk, fetches the newest sheet of SLOT if
   that sheet is newer than its own.  */
static inline void
cluster_pull (cluster_t *cluster, int receiver, slot_t slot)
{
  const node_t *node = &cluster->nodes[slot];
  if (!node_runs (node))
    return;
  const sheet_record_t *newest = sheet_registry_newest (node->registry);
  if (!newest || newest->number <= cluster->receiver[receiver])
    return;
  oracle_record_winner (cluster, newest, content_of (newest));
  cluster->receiver[receiver] = newest->number;
}

static inline slot_t
cluster_leader (const cluster_t *cluster)
{
  for (int slot = 0; slot < NODES; slot++)
    if (node_runs (&cluster->nodes[slot])
        && replica_holds_lease (cluster->nodes[slot].replica, cluster->now))
      return slot;
  return SLOT_NONE;
}

static inline void
cluster_init (cluster_t *cluster, uint64_t seed)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->seed = seed * 1000;
  cluster->now = USEC_PER_SEC;
  for (int slot = 0; slot < NODES; slot++)
    {
      disk_t *disk = &cluster->nodes[slot].disk;
      list_init (&disk->pending);
      list_init (&disk->image.log);
      disk->image.vote.slot = SLOT_NONE;
      cluster_start (cluster, slot);
    }
}

static inline void
cluster_heal (cluster_t *cluster)
{
  memset (cluster->cut, 0, sizeof cluster->cut);
  for (size_t i = 0; i < cluster->n_packets; i++)
    cluster->packets[i]->is_held = false;
  for (int slot = 0; slot < NODES; slot++)
    {
      cluster->nodes[slot].is_frozen = false;
      cluster_start (cluster, slot);
    }
}

static inline bool
cluster_has_converged (const cluster_t *cluster)
{
  slot_t leader = cluster_leader (cluster);
  if (leader == SLOT_NONE || cluster_losses (cluster) > 0)
    return false;
  replica_status_t status = replica_status (cluster->nodes[leader].replica);
  for (int slot = 0; slot < NODES; slot++)
    if (!node_runs (&cluster->nodes[slot])
        || cluster->nodes[slot].applied != status.last_index)
      return false;
  return true;
}

static inline void
cluster_print (const cluster_t *cluster)
{
  for (int slot = 0; slot < NODES; slot++)
    {
      const node_t *node = &cluster->nodes[slot];
      replica_status_t s = replica_status (node->replica);
      fprintf (stderr,
               "slot=%d role=%s term=%llu leader=%d last=%llu commit=%llu "
               "applied=%llu snapshot=%llu pending=%d lost=%d "
               "incarnation=%llx cluster=%llx config=",
               slot, replica_role_name (s.role), (unsigned long long)s.term,
               s.leader, (unsigned long long)s.last_index,
               (unsigned long long)s.commit_index,
               (unsigned long long)s.applied_index,
               (unsigned long long)s.snapshot_index, s.pending_slot,
               node->is_lost, (unsigned long long)s.incarnation,
               (unsigned long long)s.config.cluster);
      for (int i = 0; i < NODES; i++)
        fprintf (stderr, "%llx ", (unsigned long long)s.config.incarnation[i]);
      fputc ('\n', stderr);
    }
}

/* Run rounds until a leader holds the lease, every replica has a vote (no
   disk counts as lost) and all have applied the leader's whole log; fail after
   SETTLE_ROUNDS.  */
static inline void
cluster_settle (cluster_t *cluster)
{
  int rounds = 0;
  while (!cluster_has_converged (cluster))
    {
      if (++rounds == SETTLE_ROUNDS)
        cluster_print (cluster);
      REQUIRE (rounds < SETTLE_ROUNDS, "the cluster does not converge");
      cluster_round (cluster);
    }
}

/* Clear all faults, then require that a new sheet is accepted and that every
   replica still holds every accepted sheet.  */
static inline void
cluster_check_recovery (cluster_t *cluster)
{
  cluster_heal (cluster);
  cluster_settle (cluster);
  uint64_t number = cluster->highest + 1;
  cluster_submit (cluster, cluster_leader (cluster), number, 0);
  cluster_settle (cluster);
  REQUIRE (cluster->is_accepted[number], "sheet %llu is not accepted",
           (unsigned long long)number);
  for (int slot = 0; slot < NODES; slot++)
    for (uint64_t i = 1; i <= number; i++)
      {
        if (!cluster->is_accepted[i])
          continue;
        sheet_submission_t sheet
            = { .number = i,
                .content = content_new (i, cluster->winner[i] - 1) };
        sheet_outcome_t outcome = { .verdict = SHEET_STALE };
        bool found = sheet_registry_find (cluster->nodes[slot].registry,
                                          &sheet, &outcome);
        blob_unref (sheet.content);
        REQUIRE (found && outcome.verdict == SHEET_ACCEPTED,
                 "replica %d forgot sheet %llu", slot, (unsigned long long)i);
      }
}

static inline void
cluster_free (cluster_t *cluster)
{
  for (int slot = 0; slot < NODES; slot++)
    {
      cluster_crash (cluster, slot, 0);
      disk_clear (&cluster->nodes[slot].disk);
    }
  while (cluster->n_packets > 0)
    cluster_drop (cluster, cluster_packet (cluster, 0));
}

#endif
