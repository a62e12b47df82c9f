/* timed_cluster: 5 to 63 replicas in simulated time.  Messages, syncs and
   ticks take as long as they do between regions.  */

#ifndef TEST_SUPPORT_TIMED_CLUSTER_H
#define TEST_SUPPORT_TIMED_CLUSTER_H

#include <glib.h>
#include <stdlib.h>

#include "agreement/replica.h"

enum
{
  NODES_MAX = 63,
  NODES_DRAWN_MIN = 5,
  NODES_DRAWN_MAX = 27,
  SEEDS = 1000,
  FAULT_SEEDS = 200, /* of the cases that take long or need fewer */
  CUT_SEEDS = 3,
  INCARNATION = 100, /* of slot 0; the next slots count up */
  TERM = 5,          /* on all disks at the start */
};

#define TICK (20 * USEC_PER_MSEC)
#define TIMEOUT REPLICA_ELECTION_TIMEOUT
/* The sync of a disk takes 1 to 60 ms, a message 1 to 45 ms.  */
#define SYNC_MAX (60 * USEC_PER_MSEC)
#define LATENCY_MAX (45 * USEC_PER_MSEC)
/* A leader is there no later than this after the earliest time possible.  */
#define ELECTION_DELAY_MAX (150 * USEC_PER_MSEC)
/* Where messages are lost or some replicas can't win, elections may fail; an
   accepted configuration is in force within 2.5 s all the same.  */
#define RETRY_DELAY_MAX (2 * USEC_PER_SEC)
/* All are started again within this time.  */
#define START_SPREAD (300 * USEC_PER_MSEC)
/* Longer than a replica waits until it yields again.  */
#define LONG_START_SPREAD (2 * USEC_PER_SEC)
/* An election and a heartbeat, also after a failed election.  */
#define SETTLE_TIME (2 * USEC_PER_SEC)
/* How long the first leader has to remain the only one; longer than an
   election timeout.  */
#define WATCH_TIME (600 * USEC_PER_MSEC)

typedef enum
{
  SIM_TICK,
  SIM_SYNCED,
  SIM_MESSAGE,
} sim_event_kind_t;

typedef struct sim_event
{
  usec_t at;
  uint64_t number; /* orders those at the same time */
  sim_event_kind_t kind;
  slot_t slot;
  uint64_t sequence; /* SIM_SYNCED */
  blob_t *message;   /* SIM_MESSAGE */
} sim_event_t;

typedef struct timed_cluster
{
  guint32 seed;
  GRand *random;
  usec_t now;
  uint64_t n_scheduled;
  GSequence *event_queue; /* of sim_event_t */
  slot_t n;
  replica_t *replicas[NODES_MAX]; /* NULL: lost */
  usec_t sync_time[NODES_MAX];
  usec_t latency[NODES_MAX][NODES_MAX];
  usec_t synced_at[NODES_MAX];       /* when the last sync ends */
  unsigned loss_percent;             /* of all messages */
  bool is_cut[NODES_MAX][NODES_MAX]; /* from, to: no message arrives */
  usec_t heard_at[NODES_MAX]; /* the last message of a leader, or the start */
} timed_cluster_t;

static inline gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const sim_event_t *x = a;
  const sim_event_t *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->number < y->number ? -1 : 1;
}

static inline void
schedule (timed_cluster_t *cluster, const sim_event_t *planned)
{
  sim_event_t *copy = g_memdup2 (planned, sizeof *planned);
  copy->number = cluster->n_scheduled++;
  g_sequence_insert_sorted (cluster->event_queue, copy, compare, NULL);
}

static inline usec_t
random_between (timed_cluster_t *cluster, usec_t low, usec_t high)
{
  return (usec_t)g_rand_double_range (cluster->random, (double)low,
                                      (double)high);
}

/* A sync waits for the one before it.  */
static inline void
persist (timed_cluster_t *cluster, slot_t slot, uint64_t sequence)
{
  usec_t start = MAX (cluster->now, cluster->synced_at[slot]);
  cluster->synced_at[slot] = start + cluster->sync_time[slot];
  schedule (cluster, &(sim_event_t){ .at = cluster->synced_at[slot],
                                     .kind = SIM_SYNCED,
                                     .slot = slot,
                                     .sequence = sequence });
}

static inline void
step (timed_cluster_t *cluster, slot_t slot, const event_t *event)
{
  list_t actions;
  list_t *link;
  list_init (&actions);
  replica_step (cluster->replicas[slot], cluster->now, event, &actions);
  while ((link = list_pop_front (&actions)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (action->kind == ACTION_PERSIST)
        persist (cluster, slot, action->body.persist.sequence);
      if (action->kind == ACTION_SEND)
        schedule (cluster,
                  &(sim_event_t){
                      .at = cluster->now
                            + cluster->latency[slot][action->body.send.to],
                      .kind = SIM_MESSAGE,
                      .slot = action->body.send.to,
                      .message = message_encode (&action->body.send) });
      action_free (action);
    }
}

static inline void
receive (timed_cluster_t *cluster, slot_t slot, blob_t *bytes)
{
  message_t message;
  g_assert_true (message_decode (&message, bytes->bytes, bytes->length, NULL));
  if (cluster->is_cut[message.from][slot])
    {
      message_clear (&message);
      return;
    }
  event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
  if (message.kind == MESSAGE_APPEND)
    cluster->heard_at[slot] = cluster->now;
  step (cluster, slot, &event);
  message_clear (&message);
}

static inline bool
is_lost (timed_cluster_t *cluster)
{
  return cluster->loss_percent > 0
         && (unsigned)g_rand_int_range (cluster->random, 0, 100)
                < cluster->loss_percent;
}

static inline void
handle (timed_cluster_t *cluster, const sim_event_t *next)
{
  slot_t slot = next->slot;
  if (!cluster->replicas[slot])
    return;
  event_t event = { .kind = EVENT_TICK };
  switch (next->kind)
    {
    case SIM_TICK:
      step (cluster, slot, &event);
      schedule (cluster, &(sim_event_t){ .at = cluster->now + TICK,
                                         .kind = SIM_TICK,
                                         .slot = slot });
      break;
    case SIM_SYNCED:
      event.kind = EVENT_SYNCED;
      event.body.synced = next->sequence;
      step (cluster, slot, &event);
      break;
    case SIM_MESSAGE:
      if (!is_lost (cluster))
        receive (cluster, slot, next->message);
      break;
    }
}

static inline sim_event_t *
pop_event (timed_cluster_t *cluster)
{
  GSequenceIter *first = g_sequence_get_begin_iter (cluster->event_queue);
  sim_event_t *next = g_sequence_get (first);
  g_sequence_remove (first);
  return next;
}

static inline void
sim_event_free (sim_event_t *event)
{
  blob_unref (event->message);
  g_free (event);
}

/* Returns the slot that it concerned.  */
static inline slot_t
run_next (timed_cluster_t *cluster)
{
  sim_event_t *next = pop_event (cluster);
  cluster->now = next->at;
  handle (cluster, next);
  slot_t slot = next->slot;
  sim_event_free (next);
  return slot;
}

static inline entry_t *
append_entry (replica_image_t *image, entry_kind_t kind)
{
  entry_t *entry = entry_new (kind);
  entry->index = image->snapshot.index + 1;
  LIST_FOREACH (link, &image->log)
  entry->index++;
  entry->term = TERM;
  list_push_back (&image->log, &entry->link);
  return entry;
}

/* The change that gives the vote of SLOT to the incarnation that runs there.
 */
static inline void
append_voter_change (replica_image_t *image, slot_t slot)
{
  voter_change_t *change
      = &append_entry (image, ENTRY_VOTER_CHANGE)->body.voter_change;
  change->slot = slot;
  change->old_incarnation = INCARNATION - 1;
  change->new_incarnation = INCARNATION + (incarnation_t)slot;
  image->snapshot.config.incarnation[slot] = change->old_incarnation;
}

/* The disk of SLOT, which is a member of the cluster; its log is empty.  */
static inline void
image_init (replica_image_t *image, const timed_cluster_t *cluster,
            slot_t slot)
{
  *image = (replica_image_t){ .incarnation = INCARNATION + slot };
  image->vote.term = TERM;
  image->vote.slot = SLOT_NONE;
  image->snapshot.index = 10;
  image->snapshot.term = TERM;
  image->snapshot.config.cluster = 7;
  image->snapshot.config.n_slots = cluster->n;
  for (slot_t i = 0; i < cluster->n; i++)
    image->snapshot.config.incarnation[i] = INCARNATION + (uint64_t)i;
  list_init (&image->log);
}

/* Starts the process of SLOT on the disk IMAGE.  */
static inline void
start_on (timed_cluster_t *cluster, slot_t slot, usec_t at,
          replica_image_t *image)
{
  const replica_options_t options
      = { .slot = slot,
          .n_slots = cluster->n,
          .heartbeat_interval = 100 * USEC_PER_MSEC,
          .reads_quorum = true,
          .seed = g_rand_int (cluster->random) };
  cluster->replicas[slot] = replica_new (&options, image, at);
  cluster->synced_at[slot] = at;
  cluster->heard_at[slot] = at;
  schedule (cluster,
            &(sim_event_t){ .at = at, .kind = SIM_TICK, .slot = slot });
}

static inline void
start (timed_cluster_t *cluster, slot_t slot, usec_t at)
{
  replica_image_t image;
  image_init (&image, cluster, slot);
  start_on (cluster, slot, at, &image);
}

static inline void
cluster_open (timed_cluster_t *cluster, slot_t n, guint32 seed)
{
  *cluster = (timed_cluster_t){ .seed = seed,
                                .random = g_rand_new_with_seed (seed),
                                .now = USEC_PER_SEC,
                                .n = n };
  cluster->event_queue = g_sequence_new (NULL);
  for (slot_t i = 0; i < cluster->n; i++)
    {
      cluster->sync_time[i]
          = random_between (cluster, USEC_PER_MSEC, SYNC_MAX);
      for (slot_t j = 0; j < i; j++)
        cluster->latency[i][j] = cluster->latency[j][i]
            = random_between (cluster, USEC_PER_MSEC, LATENCY_MAX);
    }
}

/* Returns a number of replicas for SEED; each of them for some seeds.  */
static inline slot_t
size_of (guint32 seed)
{
  return (slot_t)(NODES_DRAWN_MIN
                  + seed % (NODES_DRAWN_MAX - NODES_DRAWN_MIN + 1));
}

static inline void
cluster_close (timed_cluster_t *cluster)
{
  while (!g_sequence_is_empty (cluster->event_queue))
    sim_event_free (pop_event (cluster));
  g_sequence_free (cluster->event_queue);
  g_rand_free (cluster->random);
  for (slot_t i = 0; i < cluster->n; i++)
    if (cluster->replicas[i])
      replica_free (cluster->replicas[i]);
}

static inline slot_t
leader_of (const timed_cluster_t *cluster)
{
  for (slot_t i = 0; i < cluster->n; i++)
    if (cluster->replicas[i]
        && replica_status (cluster->replicas[i]).role == ROLE_LEADER)
      return i;
  return SLOT_NONE;
}

static inline term_t
highest_term (const timed_cluster_t *cluster)
{
  term_t highest = 0;
  for (slot_t i = 0; i < cluster->n; i++)
    if (cluster->replicas[i])
      highest = MAX (highest, replica_status (cluster->replicas[i]).term);
  return highest;
}

static inline void
run_until (timed_cluster_t *cluster, usec_t until)
{
  while (cluster->now < until)
    run_next (cluster);
}

/* Runs until there is a leader; returns when that is.  Only the replica that
   the last step concerned can have become one.  */
static inline usec_t
run_to_leader (timed_cluster_t *cluster, usec_t until)
{
  while (cluster->now < until)
    {
      slot_t slot = run_next (cluster);
      if (cluster->replicas[slot]
          && replica_status (cluster->replicas[slot]).role == ROLE_LEADER)
        break;
    }
  return cluster->now;
}

static inline int
compare_times (const void *a, const void *b)
{
  usec_t x = *(const usec_t *)a;
  usec_t y = *(const usec_t *)b;
  return (x > y) - (x < y);
}

/* The Nth smallest of the COUNT times, counting from 1.  */
static inline usec_t
nth (usec_t *times, size_t count, size_t n)
{
  qsort (times, count, sizeof times[0], compare_times);
  return times[n - 1];
}

/* Returns when the leases that a majority may have acknowledged are over.  */
static inline usec_t
lease_end (const timed_cluster_t *cluster)
{
  usec_t ends[NODES_MAX];
  size_t n = 0;
  for (slot_t i = 0; i < cluster->n; i++)
    if (cluster->replicas[i])
      ends[n++] = cluster->heard_at[i] + TIMEOUT;
  return nth (ends, n, cluster->n / 2u + 1);
}

/* Returns the time that the election of CANDIDATE takes without a competitor:
   a round of pre-votes, its own sync, and a round of votes with the syncs of
   the voters.  */
static inline usec_t
shortest_election (const timed_cluster_t *cluster, slot_t candidate)
{
  usec_t pre_votes[NODES_MAX];
  usec_t votes[NODES_MAX];
  size_t n = 0;
  size_t majority = cluster->n / 2u + 1;
  for (slot_t to = 0; to < cluster->n; to++)
    {
      if (!cluster->replicas[to])
        continue;
      usec_t trip = 2 * cluster->latency[candidate][to];
      pre_votes[n] = trip;
      votes[n++] = to == candidate ? 0 : trip + cluster->sync_time[to];
    }
  return nth (pre_votes, n, majority) + cluster->sync_time[candidate]
         + nth (votes, n, majority);
}

/* Runs until there is a leader, which has to come no later than DELAY_MAX
   after the earliest time possible.  LEASE_END_AT is when the leases of a
   majority are over.  */
static inline void
check_leader_comes (timed_cluster_t *cluster, usec_t lease_end_at,
                    usec_t delay_max)
{
  usec_t leader_at = run_to_leader (cluster, cluster->now + 10 * USEC_PER_SEC);
  slot_t leader = leader_of (cluster);
  if (leader == SLOT_NONE)
    g_error ("seed %u, %u replicas: no leader", cluster->seed, cluster->n);
  usec_t delay
      = leader_at - lease_end_at - shortest_election (cluster, leader);
  if (delay > delay_max)
    g_error ("seed %u, %u replicas: a leader %d ms after the earliest time",
             cluster->seed, cluster->n, (int)(delay / USEC_PER_MSEC));
}

/* The same, and the leader remains the only one, in TERM_EXPECTED.  */
static inline void
check_election (timed_cluster_t *cluster, usec_t lease_end_at,
                term_t term_expected)
{
  check_leader_comes (cluster, lease_end_at, ELECTION_DELAY_MAX);
  usec_t leader_at = cluster->now;
  slot_t leader = leader_of (cluster);
  run_until (cluster, leader_at + WATCH_TIME);
  if (leader_of (cluster) != leader || highest_term (cluster) != term_expected)
    g_error ("seed %u, %u replicas: term %u", cluster->seed, cluster->n,
             (unsigned)highest_term (cluster));
}

/* Starts the replicas from slot FIRST on, each within SPREAD.  */
static inline void
start_from (timed_cluster_t *cluster, slot_t first, usec_t spread)
{
  for (slot_t i = first; i < cluster->n; i++)
    start (cluster, i, cluster->now + random_between (cluster, 0, spread));
}

/* The slots from this one on are a bare majority.  */
static inline slot_t
bare_majority_first (const timed_cluster_t *cluster)
{
  return (slot_t)((cluster->n - 1) / 2);
}

/* Starts a bare majority within SPREAD, with logs that differ: only a replica
   with the newest log can win, and it needs the votes of all.  */
static inline void
start_bare_majority (timed_cluster_t *cluster, usec_t spread)
{
  for (slot_t i = bare_majority_first (cluster); i < cluster->n; i++)
    {
      replica_image_t image;
      image_init (&image, cluster, i);
      int n_entries = g_rand_int_range (cluster->random, 0, 3);
      usec_t at = cluster->now + random_between (cluster, 0, spread);
      while (n_entries-- > 0)
        append_entry (&image, ENTRY_NOOP);
      start_on (cluster, i, at, &image);
    }
}

typedef struct scenario
{
  const char *path;
  guint32 n_seeds;
  void (*run) (timed_cluster_t *cluster); /* aborts on a failure */
} scenario_t;

static inline void
test_scenario (gconstpointer data)
{
  const scenario_t *scenario = data;
  for (guint32 seed = 1; seed <= scenario->n_seeds; seed++)
    {
      timed_cluster_t cluster;
      cluster_open (&cluster, size_of (seed), seed);
      scenario->run (&cluster);
      cluster_close (&cluster);
    }
}

static inline void
add_scenarios (const scenario_t *scenarios, size_t n)
{
  for (size_t i = 0; i < n; i++)
    g_test_add_data_func (scenarios[i].path, &scenarios[i], test_scenario);
}

#endif
