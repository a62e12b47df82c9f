/* Unit tests of the replica and the sheet registry, on a simulated cluster. */

#include <glib.h>

#include "../support/agreement_cluster.h"

static cluster_t *
settled_new (uint64_t seed)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  cluster_init (cluster, seed);
  cluster_settle (cluster);
  return cluster;
}

static void
settled_free (cluster_t *cluster)
{
  cluster_free (cluster);
  g_free (cluster);
}

static void
accept_next (cluster_t *cluster, int content)
{
  uint64_t number = cluster->highest + 1;
  cluster_submit (cluster, cluster_leader (cluster), number, content);
  for (int i = 0; i < 8 && !cluster->is_accepted[number]; i++)
    cluster_round (cluster);
  g_assert_true (cluster->is_accepted[number]);
}

/* A blank replica's snapshot responses once carried cluster id 0.  The leader
   dropped them, so a snapshot of several chunks never completed.  */
static void
test_blank_replica_installs_snapshot_of_many_chunks (void)
{
  cluster_t *cluster = settled_new (1);
  for (int i = 0; i < 20; i++)
    accept_next (cluster, LARGE_CONTENT);
  slot_t victim = (slot_t)((cluster_leader (cluster) + 1) % NODES);
  g_assert_true (cluster_lose_disk (cluster, victim));
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* A cluster must not start without all of its slots: the missing slot could be
   a member of an earlier cluster.  */
static void
test_bootstrap_needs_all_slots (void)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  cluster_init (cluster, 1);
  cluster_crash (cluster, 4, 0);
  for (int i = 0; i < 400; i++)
    cluster_round (cluster);
  for (int slot = 0; slot < 4; slot++)
    g_assert_cmpint (replica_status (cluster->nodes[slot].replica).role, ==,
                     ROLE_BLANK);
  cluster_start (cluster, 4);
  cluster_settle (cluster);
  settled_free (cluster);
}

/* A replica of the first configuration misses the bootstrap message and stays
   blank while the cluster runs.  Two other replicas then lose their disks, so
   that there is no leader without it.  Its join has to be answered by a
   replica that does not lead.  */
static void
test_blank_voter_joins_after_missed_bootstrap (void)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  cluster_init (cluster, 1);
  slot_t cut_off = 3;
  while (cluster_leader (cluster) == SLOT_NONE)
    {
      cluster_tick (cluster);
      for (int slot = 0; slot < NODES; slot++)
        while (!list_empty (&cluster->nodes[slot].disk.pending))
          cluster_sync (cluster, slot);
      bool is_started
          = replica_status (cluster->nodes[0].replica).role != ROLE_BLANK;
      for (int slot = 0; slot < NODES; slot++)
        cluster->cut[slot][cut_off] = is_started;
      cluster_deliver_first (cluster, cluster->n_packets);
    }
  for (int i = 0; i < 12; i++)
    accept_next (cluster, 0);
  g_assert_cmpint (replica_status (cluster->nodes[cut_off].replica).role, ==,
                   ROLE_BLANK);
  g_assert_true (cluster_lose_disk (cluster, 1));
  g_assert_true (cluster_lose_disk (cluster, 4));
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* Four of five replicas lose their disks.  They must not bootstrap a new
   cluster, because the fifth still belongs to the old one.  */
static void
test_lost_majority_does_not_bootstrap_again (void)
{
  cluster_t *cluster = settled_new (1);
  accept_next (cluster, 0);
  for (int slot = 0; slot < 4; slot++)
    {
      cluster_crash (cluster, slot, 0);
      disk_clear (&cluster->nodes[slot].disk);
    }
  cluster_heal (cluster);
  for (int i = 0; i < 400; i++)
    {
      cluster_round (cluster);
      g_assert_cmpint (cluster_leader (cluster), ==, SLOT_NONE);
    }
  settled_free (cluster);
}

/* A replica whose disk failed must not accept proposals or lead.  */
static void
test_failed_disk_halts_the_replica (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  event_t event = { .kind = EVENT_DISK_FAILED };
  cluster_step (cluster, leader, &event);
  uint64_t number = cluster->highest + 1;
  cluster_submit (cluster, leader, number, 0);
  g_assert_false (cluster->is_accepted[number]);
  g_assert_cmpint (replica_status (cluster->nodes[leader].replica).role, ==,
                   ROLE_HALTED);
  for (int i = 0; i < 100; i++)
    cluster_round (cluster);
  g_assert_cmpint (cluster_leader (cluster), !=, SLOT_NONE);
  g_assert_cmpint (cluster_leader (cluster), !=, leader);
  settled_free (cluster);
}

/* A leader is suspended until another one has been elected.  A proposal that
   reaches it first after it resumes must not be accepted.  */
static void
test_resumed_leader_steps_down_before_proposing (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  cluster->nodes[leader].is_frozen = true;
  for (int i = 0; i < 100; i++)
    cluster_round (cluster);
  g_assert_cmpint (cluster_leader (cluster), !=, SLOT_NONE);
  cluster->nodes[leader].is_frozen = false;
  uint64_t number = cluster->highest + 1;
  cluster_submit (cluster, leader, number, 0);
  g_assert_cmpint (replica_status (cluster->nodes[leader].replica).role, ==,
                   ROLE_FOLLOWER);
  cluster_settle (cluster);
  g_assert_false (cluster->is_accepted[number]);
  settled_free (cluster);
}

/* A voter change reaches only the replica that it gives the vote to, and is
   then overwritten by the next leader.  That replica once kept treating itself
   as a voter and stopped sending joins, so it never got a vote.  */
static void
test_overwritten_voter_change_is_requested_again (void)
{
  cluster_t *cluster = settled_new (1);
  accept_next (cluster, 0);
  slot_t leader = cluster_leader (cluster);
  slot_t replacement = (slot_t)((leader + 1) % NODES);
  g_assert_true (cluster_lose_disk (cluster, replacement));
  for (int i = 0; i < 20; i++)
    cluster_round (cluster);
  for (int slot = 0; slot < NODES; slot++)
    cluster->cut[leader][slot] = slot != replacement;
  cluster_start (cluster, replacement);
  for (int i = 0; i < 12; i++)
    cluster_round (cluster);
  g_assert_cmpint (
      replica_status (cluster->nodes[replacement].replica).pending_slot, ==,
      replacement);
  cluster_crash (cluster, leader, 0);
  for (int i = 0; i < 100; i++)
    cluster_round (cluster);
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* One follower does not receive the leader's messages and keeps asking for
   votes.  The replicas that hear the leader must not grant one.  */
static void
test_one_way_partition_does_not_depose_leader (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  term_t term = replica_status (cluster->nodes[leader].replica).term;
  cluster->cut[leader][(leader + 1) % NODES] = true;
  for (int i = 0; i < 400; i++)
    {
      cluster_round (cluster);
      g_assert_cmpint (cluster_leader (cluster), ==, leader);
    }
  g_assert_cmpuint (replica_status (cluster->nodes[leader].replica).term, ==,
                    term);
  settled_free (cluster);
}

/* Deliver acknowledgements of INDEX in TERM from all other replicas to
   LEADER.  */
static void
acknowledge (cluster_t *cluster, slot_t leader, log_index_t index, term_t term)
{
  replica_status_t status = replica_status (cluster->nodes[leader].replica);
  for (int slot = 0; slot < NODES; slot++)
    {
      message_t message
          = { .kind = MESSAGE_APPEND_RESPONSE,
              .from = (slot_t)slot,
              .to = leader,
              .from_incarnation = status.config.incarnation[slot],
              .to_incarnation = status.incarnation,
              .cluster = status.config.cluster,
              .term = term };
      message.body.append_response.success = true;
      message.body.append_response.index = index;
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      if (slot != leader)
        cluster_step (cluster, leader, &event);
    }
}

/* An entry of an earlier term may still be overwritten although a majority
   holds it.  Only an entry of the leader's own term may commit it.  */
static void
test_entry_of_earlier_term_is_not_committed_by_count (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t old = cluster_leader (cluster);
  slot_t next = (slot_t)((old + 1) % NODES);
  for (int slot = 0; slot < NODES; slot++)
    cluster->cut[old][slot] = slot != next;
  cluster_submit (cluster, old, 1, 0);
  cluster_deliver_first (cluster, cluster->n_packets);
  cluster_sync (cluster, next);
  cluster_crash (cluster, old, 0);
  memset (cluster->cut, 0, sizeof cluster->cut);
  event_t tick = { .kind = EVENT_TICK };
  while (replica_status (cluster->nodes[next].replica).role != ROLE_LEADER)
    {
      cluster->now += TICK;
      cluster_step (cluster, next, &tick);
      for (int slot = 0; slot < NODES; slot++)
        cluster_sync (cluster, (slot_t)slot);
      cluster_deliver_first (cluster, cluster->n_packets);
    }
  replica_status_t status = replica_status (cluster->nodes[next].replica);
  acknowledge (cluster, next, status.last_index - 1, status.term);
  g_assert_cmpuint (replica_status (cluster->nodes[next].replica).commit_index,
                    ==, status.commit_index);
  settled_free (cluster);
}

/* An acknowledgement that was sent to this leader in an earlier term may refer
   to entries that have been overwritten since, so it must not count.  */
static void
test_acknowledgement_of_an_earlier_term_is_dropped (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  for (int slot = 0; slot < NODES; slot++)
    cluster->cut[leader][slot] = true;
  uint64_t number = cluster->highest + 1;
  cluster_submit (cluster, leader, number, 0);
  while (!list_empty (&cluster->nodes[leader].disk.pending))
    cluster_sync (cluster, leader);
  replica_status_t status = replica_status (cluster->nodes[leader].replica);
  for (int slot = 0; slot < NODES; slot++)
    {
      message_t message
          = { .kind = MESSAGE_APPEND_RESPONSE,
              .from = (slot_t)slot,
              .to = leader,
              .from_incarnation = status.config.incarnation[slot],
              .to_incarnation = status.incarnation,
              .cluster = status.config.cluster,
              .term = status.term - 1 };
      message.body.append_response.success = true;
      message.body.append_response.index = status.last_index;
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      if (slot != leader)
        cluster_step (cluster, leader, &event);
    }
  g_assert_false (cluster->is_accepted[number]);
  settled_free (cluster);
}

/* Delayed entries of a former leader must not be appended.  */
static void
test_entries_of_an_earlier_term_are_dropped (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t old = cluster_leader (cluster);
  slot_t other = (slot_t)((old + 1) % NODES);
  cluster_submit (cluster, old, 1, 1);
  for (size_t i = 0; i < cluster->n_packets; i++)
    cluster->packets[i]->is_held = true;
  cluster_crash (cluster, old, 0);
  while (cluster_leader (cluster) == SLOT_NONE)
    cluster_round (cluster);
  accept_next (cluster, 0);
  for (int i = 0; i < 10; i++)
    cluster_round (cluster);
  log_index_t last = replica_status (cluster->nodes[other].replica).last_index;
  while (cluster->n_packets > 0 && cluster->packets[0]->is_held)
    cluster_release (cluster, 0);
  g_assert_cmpuint (replica_status (cluster->nodes[other].replica).last_index,
                    ==, last);
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* A report of an empty data folder to an earlier incarnation of slot 0 must
   not count: its sender may have joined a cluster since.  */
static void
test_join_to_earlier_incarnation_does_not_bootstrap (void)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  cluster_init (cluster, 1);
  for (int slot = 1; slot < NODES; slot++)
    {
      message_t message = { .kind = MESSAGE_JOIN,
                            .from = (slot_t)slot,
                            .from_incarnation = 100 + (incarnation_t)slot,
                            .to_incarnation = 99 };
      message.body.join.is_blank = true;
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      cluster_step (cluster, 0, &event);
    }
  g_assert_cmpint (replica_status (cluster->nodes[0].replica).role, ==,
                   ROLE_BLANK);
  settled_free (cluster);
}

/* What differs between the end of the log of a replica that has started again
   and what the others report.  */
typedef enum
{
  SAME,
  LATER_TERM, /* it may have voted for a leader that lacks the entry */
  LONGER_LOG,
  OTHER_LOG,
  EARLIER_QUERY,
  EARLIER_INCARNATION,
  DIFFERENCES,
} difference_t;

static message_t
log_status_message (const cluster_t *cluster, slot_t from, slot_t to,
                    difference_t difference)
{
  const replica_t *sender = cluster->nodes[from].replica;
  const replica_status_t status = replica_status (sender);
  return (message_t){
    .kind = MESSAGE_LOG_STATUS,
    .from = from,
    .to = to,
    .from_incarnation
    = status.incarnation - (difference == EARLIER_INCARNATION),
    .to_incarnation = replica_status (cluster->nodes[to].replica).incarnation,
    .cluster = status.config.cluster,
    .term = status.term + (difference == LATER_TERM),
    .body.log_status
    = { .last_index = status.last_index + (difference == LONGER_LOG),
        .last_term = status.term - (difference == OTHER_LOG),
        .sent_at = cluster->now - (difference == EARLIER_QUERY) },
  };
}

/* A replica that has started again takes its log for committed only if a
   majority reports the same end of the log, in the same term.  */
static void
test_quorum_read_needs_equal_logs (void)
{
  for (difference_t difference = SAME; difference < DIFFERENCES; difference++)
    {
      cluster_t *cluster = settled_new (1);
      slot_t slot = (slot_t)((cluster_leader (cluster) + 1) % NODES);
      cluster_crash (cluster, slot, 0);
      cluster_start (cluster, slot);
      cluster_tick (cluster); /* sends the query */
      for (int i = 1; i <= NODES / 2; i++)
        {
          message_t message = log_status_message (
              cluster, (slot_t)((slot + i) % NODES), slot, difference);
          event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
          cluster_step (cluster, slot, &event);
        }
      g_assert_cmpint (replica_quorum_read_at (cluster->nodes[slot].replica)
                           > 0,
                       ==, difference == SAME);
      settled_free (cluster);
    }
}

/* A join that an earlier incarnation sent arrives while the voter of its slot
   is suspended.  The leader then replicates to an incarnation that no longer
   exists, until it hears the voter.  */
static void
test_late_join_does_not_replace_voter (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  slot_t victim = (slot_t)((leader + 1) % NODES);
  cluster->nodes[victim].is_frozen = true;
  for (int i = 0; i < 2 * REPLICA_ELECTION_TIMEOUT / TICK; i++)
    cluster_round (cluster);
  const replica_status_t status
      = replica_status (cluster->nodes[leader].replica);
  message_t join = { .kind = MESSAGE_JOIN,
                     .from = victim,
                     .to = leader,
                     .from_incarnation = status.config.incarnation[victim] + 1,
                     .to_incarnation = status.incarnation,
                     .cluster = status.config.cluster };
  event_t event = { .kind = EVENT_MESSAGE, .body.message = &join };
  cluster_step (cluster, leader, &event);
  accept_next (cluster, 0);
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* A follower whose entry at prev_index has another term must not append.  */
static void
test_append_with_mismatched_prev_term_is_refused (void)
{
  cluster_t *cluster = settled_new (1);
  accept_next (cluster, 0);
  slot_t leader = cluster_leader (cluster);
  slot_t follower = (slot_t)((leader + 1) % NODES);
  replica_status_t status = replica_status (cluster->nodes[follower].replica);
  message_t message = { .kind = MESSAGE_APPEND,
                        .from = leader,
                        .to = follower,
                        .from_incarnation = status.config.incarnation[leader],
                        .to_incarnation = status.incarnation,
                        .cluster = status.config.cluster,
                        .term = status.term };
  append_t *append = &message.body.append;
  append->prev_index = status.last_index;
  append->prev_term = status.term + 1;
  append->n_entries = 1;
  append->entries[0] = entry_new (ENTRY_NOOP);
  append->entries[0]->index = status.last_index + 1;
  append->entries[0]->term = status.term;
  event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
  cluster_step (cluster, follower, &event);
  message_clear (&message);
  g_assert_cmpuint (
      replica_status (cluster->nodes[follower].replica).last_index, ==,
      status.last_index);
  settled_free (cluster);
}

static bool
packet_is_snapshot (const packet_t *packet)
{
  message_t message;
  g_assert_true (message_decode (&message, packet->bytes->bytes,
                                 packet->bytes->length, NULL));
  bool is_snapshot = message.kind == MESSAGE_SNAPSHOT;
  message_clear (&message);
  return is_snapshot;
}

/* A duplicated snapshot chunk that arrives after the replica has applied later
   entries must not reset the applied state.  */
static void
test_late_snapshot_is_ignored (void)
{
  cluster_t *cluster = settled_new (1);
  for (int i = 0; i < 10; i++)
    accept_next (cluster, 0);
  slot_t victim = (slot_t)((cluster_leader (cluster) + 1) % NODES);
  g_assert_true (cluster_lose_disk (cluster, victim));
  for (int i = 0; i < 20; i++)
    cluster_round (cluster);
  cluster_start (cluster, victim);
  packet_t *late = NULL;
  while (!late)
    {
      cluster_tick (cluster);
      for (int slot = 0; slot < NODES; slot++)
        cluster_sync (cluster, (slot_t)slot);
      for (size_t i = 0; i < cluster->n_packets && !late; i++)
        if (packet_is_snapshot (cluster->packets[i]))
          late = cluster->packets[i];
      if (late)
        cluster_deliver (cluster, late, true);
      if (late)
        late->is_held = true;
      cluster_deliver_first (cluster, cluster->n_packets);
    }
  cluster_settle (cluster);
  accept_next (cluster, 0);
  cluster_settle (cluster);
  log_index_t applied = cluster->nodes[victim].applied;
  cluster_release (cluster, 0);
  g_assert_cmpuint (cluster->nodes[victim].applied, ==, applied);
  g_assert_cmpuint (
      replica_status (cluster->nodes[victim].replica).applied_index, ==,
      applied);
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

/* A replica that was partitioned asks for votes when it returns.  It must not
   depose the leader that the others hear.  */
static void
test_returning_replica_does_not_depose_leader (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t leader = cluster_leader (cluster);
  term_t term = replica_status (cluster->nodes[leader].replica).term;
  slot_t isolated = (slot_t)((leader + 1) % NODES);
  for (int slot = 0; slot < NODES; slot++)
    cluster->cut[isolated][slot] = cluster->cut[slot][isolated] = true;
  for (int i = 0; i < 400; i++)
    cluster_round (cluster);
  cluster_heal (cluster);
  for (int i = 0; i < 100; i++)
    cluster_round (cluster);
  g_assert_cmpint (cluster_leader (cluster), ==, leader);
  g_assert_cmpuint (replica_status (cluster->nodes[leader].replica).term, ==,
                    term);
  settled_free (cluster);
}

/* A replica that is down must not make the leader's log grow without bound.
   When it returns, it catches up from a snapshot.  */
static void
test_log_is_compacted_while_a_replica_is_down (void)
{
  cluster_t *cluster = settled_new (1);
  slot_t stopped = (slot_t)((cluster_leader (cluster) + 1) % NODES);
  cluster_crash (cluster, stopped, 0);
  for (int i = 0; i < 500; i++)
    accept_next (cluster, 0);
  replica_status_t status
      = replica_status (cluster->nodes[cluster_leader (cluster)].replica);
  g_assert_cmpuint (status.n_log_entries, <, 32);
  cluster_check_recovery (cluster);
  settled_free (cluster);
}

static sheet_outcome_t
apply (sheet_registry_t *registry, uint64_t number, const char *text)
{
  sheet_submission_t sheet
      = { .number = number, .content = blob_new (text, strlen (text)) };
  sheet_outcome_t outcome = sheet_registry_apply (registry, number, &sheet);
  blob_unref (sheet.content);
  return outcome;
}

/* A number accepts one content for good; numbers below the newest that were
   never accepted are stale.  */
static void
test_registry_answers_by_number_and_content (void)
{
  sheet_registry_t *registry = sheet_registry_new ();
  g_assert_cmpint (apply (registry, 5, "a").verdict, ==, SHEET_ACCEPTED);
  g_assert_cmpint (apply (registry, 5, "a").verdict, ==, SHEET_ACCEPTED);
  sheet_outcome_t conflict = apply (registry, 5, "b");
  g_assert_cmpint (conflict.verdict, ==, SHEET_CONFLICT);
  char digest[2 * SHEET_DIGEST_BYTES + 1];
  sheet_digest_text (&conflict.record, digest);
  char *expected = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "a", -1);
  g_assert_cmpstr (digest, ==, expected);
  g_free (expected);
  g_assert_cmpint (apply (registry, 4, "a").verdict, ==, SHEET_STALE);
  g_assert_cmpint (apply (registry, 6, "b").verdict, ==, SHEET_ACCEPTED);
  g_assert_cmpint (apply (registry, 5, "a").verdict, ==, SHEET_ACCEPTED);
  g_assert_cmpint (apply (registry, 5, "c").verdict, ==, SHEET_CONFLICT);
  sheet_registry_free (registry);
}

/* The oldest records are dropped, and a snapshot restores the rest.  A
   truncated snapshot must leave the registry unchanged.  */
static void
test_registry_is_bounded_and_restorable (void)
{
  sheet_registry_t *registry = sheet_registry_new ();
  for (uint64_t i = 1; i <= SHEET_HISTORY + 10; i++)
    apply (registry, i, "x");
  blob_t *saved = sheet_registry_save (registry);
  sheet_registry_t *copy = sheet_registry_new ();
  g_assert_true (sheet_registry_restore (copy, saved, NULL));
  g_assert_cmpuint (sheet_registry_newest (copy)->number, ==,
                    SHEET_HISTORY + 10);
  g_assert_cmpint (apply (copy, 10, "x").verdict, ==, SHEET_STALE);
  g_assert_cmpint (apply (copy, 11, "x").verdict, ==, SHEET_ACCEPTED);
  g_assert_cmpint (apply (copy, 12, "y").verdict, ==, SHEET_CONFLICT);
  saved->length--;
  g_assert_false (sheet_registry_restore (copy, saved, NULL));
  g_assert_cmpint (apply (copy, 11, "x").verdict, ==, SHEET_ACCEPTED);
  blob_unref (saved);
  sheet_registry_free (copy);
  sheet_registry_free (registry);
}

/* State that was read back after a failed sync may not be on disk.  The
   replica must write all of it again before it sends a message.  */
static void
test_image_after_failed_sync_is_rewritten (void)
{
  cluster_t *cluster = settled_new (1);
  accept_next (cluster, 0);
  replica_image_t image = { .incarnation = 5 };
  list_init (&image.log);
  image.snapshot.config = replica_status (cluster->nodes[0].replica).config;
  image.snapshot.config.incarnation[0] = 5;
  const replica_options_t options
      = { .n_slots = NODES, .seed = 1, .must_rewrite_image = true };
  replica_t *replica = replica_new (&options, &image, USEC_PER_SEC);
  list_t actions;
  list_init (&actions);
  const event_t tick = { .kind = EVENT_TICK };
  replica_step (replica, 2 * USEC_PER_SEC, &tick, &actions);
  bool has_written = false;
  LIST_FOREACH (link, &actions)
  {
    action_t *action = LIST_ENTRY (link, action_t, link);
    g_assert_cmpint (action->kind, !=, ACTION_SEND);
    has_written = has_written
                  || (action->kind == ACTION_PERSIST
                      && action->body.persist.replaces_log);
    action_free (action);
  }
  g_assert_true (has_written);
  replica_free (replica);
  settled_free (cluster);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agreement/replica/snapshot-chunks",
                   test_blank_replica_installs_snapshot_of_many_chunks);
  g_test_add_func ("/agreement/replica/bootstrap",
                   test_bootstrap_needs_all_slots);
  g_test_add_func ("/agreement/replica/missed-bootstrap",
                   test_blank_voter_joins_after_missed_bootstrap);
  g_test_add_func ("/agreement/replica/lost-majority",
                   test_lost_majority_does_not_bootstrap_again);
  g_test_add_func ("/agreement/replica/disk-failed",
                   test_failed_disk_halts_the_replica);
  g_test_add_func ("/agreement/replica/rewrite-image",
                   test_image_after_failed_sync_is_rewritten);
  g_test_add_func ("/agreement/replica/resumed-leader",
                   test_resumed_leader_steps_down_before_proposing);
  g_test_add_func ("/agreement/replica/overwritten-voter-change",
                   test_overwritten_voter_change_is_requested_again);
  g_test_add_func ("/agreement/replica/late-acknowledgement",
                   test_acknowledgement_of_an_earlier_term_is_dropped);
  g_test_add_func ("/agreement/replica/late-entries",
                   test_entries_of_an_earlier_term_are_dropped);
  g_test_add_func ("/agreement/replica/one-way-partition",
                   test_one_way_partition_does_not_depose_leader);
  g_test_add_func ("/agreement/replica/earlier-term",
                   test_entry_of_earlier_term_is_not_committed_by_count);
  g_test_add_func ("/agreement/replica/stale-join",
                   test_join_to_earlier_incarnation_does_not_bootstrap);
  g_test_add_func ("/agreement/replica/quorum-read",
                   test_quorum_read_needs_equal_logs);
  g_test_add_func ("/agreement/replica/late-join",
                   test_late_join_does_not_replace_voter);
  g_test_add_func ("/agreement/replica/prev-term",
                   test_append_with_mismatched_prev_term_is_refused);
  g_test_add_func ("/agreement/replica/late-snapshot",
                   test_late_snapshot_is_ignored);
  g_test_add_func ("/agreement/replica/returning-replica",
                   test_returning_replica_does_not_depose_leader);
  g_test_add_func ("/agreement/replica/compaction",
                   test_log_is_compacted_while_a_replica_is_down);
  g_test_add_func ("/agreement/registry/answers",
                   test_registry_answers_by_number_and_content);
  g_test_add_func ("/agreement/registry/bounded",
                   test_registry_is_bounded_and_restorable);
  return g_test_run ();
}
