/* Elections in which messages are lost or some replicas can't win.  */

#include "../support/timed_cluster.h"

/* Two of them take longer than an election timeout.  */
#define SLOW_SYNC (250 * USEC_PER_MSEC)
/* One takes longer than two election timeouts.  */
#define SLOWER_SYNC (900 * USEC_PER_MSEC)
/* The slowest of disks of which others are fast.  */
#define UNLIKE_SYNC_MAX (600 * USEC_PER_MSEC)
/* Within it test_fleet_full_disks wants each change acknowledged.  */
#define SLOW_CHANGE_MAX (10 * USEC_PER_SEC)
/* All disks take no sync for so long.  */
#define STALL (5 * USEC_PER_SEC)
/* A leader is there no later than this after the disks work again: the
   requests of an election that others have left by then, a timeout that is
   doubled at most, and a failed election.  */
#define STALL_DELAY_MAX (2 * USEC_PER_SEC)

/* The same, and the first replicas have asked in vain for long when the last
   one starts.  */
static void
staggered_start (timed_cluster_t *cluster)
{
  start_bare_majority (cluster, LONG_START_SPREAD);
  check_leader_comes (cluster, lease_end (cluster), RETRY_DELAY_MAX);
}

/* A bare majority is left.  The vote of the last slot has just passed to a new
   incarnation, which alone knows that the change is committed; the others
   don't count its vote, and only it can win.  Guards against a lower slot that
   can't win and refuses its vote for ever.  */
static void
pending_voter_change (timed_cluster_t *cluster)
{
  slot_t last = cluster->n - 1;
  for (slot_t i = bare_majority_first (cluster); i < cluster->n; i++)
    {
      replica_image_t image;
      image_init (&image, cluster, i);
      if (i < last)
        append_voter_change (&image, last);
      else
        image.snapshot.index++;
      start_on (cluster, i,
                cluster->now + random_between (cluster, 0, START_SPREAD),
                &image);
    }
  check_leader_comes (cluster, lease_end (cluster), RETRY_DELAY_MAX);
  g_assert_cmpint (leader_of (cluster), ==, last);
}

/* A bare majority is left, and the lowest of its slots and the highest can't
   reach each other, so that only the ones between them can win.  Guards
   against a lower slot that refuses the others for ever.  */
static void
lost_link (timed_cluster_t *cluster)
{
  slot_t first = bare_majority_first (cluster);
  slot_t last = cluster->n - 1;
  cluster->is_cut[first][last] = cluster->is_cut[last][first] = true;
  start_from (cluster, first, START_SPREAD);
  check_leader_comes (cluster, lease_end (cluster), RETRY_DELAY_MAX);
}

/* No message reaches the replica that all others yield to, but its requests
   arrive.  Guards against one that can't win and keeps the others from it.  */
static void
deaf_replica (timed_cluster_t *cluster)
{
  for (slot_t from = 1; from < cluster->n; from++)
    cluster->is_cut[from][0] = true;
  start_from (cluster, 0, START_SPREAD);
  check_leader_comes (cluster, lease_end (cluster), RETRY_DELAY_MAX);
}

/* A tenth of all messages is lost.  */
static void
lost_messages (timed_cluster_t *cluster)
{
  cluster->loss_percent = 10;
  start_from (cluster, 0, START_SPREAD);
  check_leader_comes (cluster, lease_end (cluster), RETRY_DELAY_MAX);
}

/* Runs until a leader remains, no later than END.  */
static void
check_leader_remains (timed_cluster_t *cluster, usec_t end)
{
  slot_t leader;
  do
    {
      run_to_leader (cluster, end);
      leader = leader_of (cluster);
      run_until (cluster, cluster->now + WATCH_TIME);
    }
  while (cluster->now < end
         && (leader == SLOT_NONE || leader_of (cluster) != leader));
  if (cluster->now >= end)
    g_error ("seed %u, %u replicas: no leader remains", cluster->seed,
             cluster->n);
}

static void
slow_disks_of (timed_cluster_t *cluster, usec_t shortest, usec_t longest)
{
  for (slot_t i = 0; i < cluster->n; i++)
    cluster->sync_time[i] = random_between (cluster, shortest, longest);
  start_bare_majority (cluster, START_SPREAD);
  check_leader_remains (cluster, cluster->now + SLOW_CHANGE_MAX);
}

/* All disks are slow, and a bare majority is left: the vote of the candidate
   and then those of the others take as long as an election timeout.  Guards
   against one election after the other, each given up before its votes are
   on disk, and no leader for as long as the disks are slow.  */
static void
slow_disks (timed_cluster_t *cluster)
{
  slow_disks_of (cluster, SLOW_SYNC, SLOW_SYNC + USEC_PER_MSEC);
}

/* Guards against a leader that gives up while its first entry is written,
   because followers answer heartbeats only after the sync.  */
static void
slower_disks (timed_cluster_t *cluster)
{
  slow_disks_of (cluster, SLOWER_SYNC, SLOWER_SYNC + USEC_PER_MSEC);
}

/* All start at once, with the same logs.  Guards against replicas that become
   candidates themselves while the request of the one that they gave way to
   waits for its disk, so that the votes are split again and again.  */
static void
slower_disks_of_all (timed_cluster_t *cluster)
{
  for (slot_t i = 0; i < cluster->n; i++)
    cluster->sync_time[i] = SLOWER_SYNC;
  start_from (cluster, 0, START_SPREAD);
  check_leader_remains (cluster, cluster->now + SLOW_CHANGE_MAX);
}

/* Guards against voters with fast disks that begin anew before the slower
   ones have voted.  */
static void
unlike_disks (timed_cluster_t *cluster)
{
  slow_disks_of (cluster, USEC_PER_MSEC, UNLIKE_SYNC_MAX);
}

/* Guards against a timeout that grows with a stall: the next election would
   wait as long again.  */
static void
stalled_disks (timed_cluster_t *cluster)
{
  usec_t end = cluster->now + STALL;
  start_bare_majority (cluster, START_SPREAD);
  for (slot_t i = bare_majority_first (cluster); i < cluster->n; i++)
    cluster->synced_at[i] = end;
  run_until (cluster, end);
  check_leader_remains (cluster, end + STALL_DELAY_MAX);
}

static const scenario_t scenarios[]
    = { { "/agreement/election/staggered-start", FAULT_SEEDS,
          staggered_start },
        { "/agreement/election/pending-voter-change", FAULT_SEEDS,
          pending_voter_change },
        { "/agreement/election/lost-link", FAULT_SEEDS, lost_link },
        { "/agreement/election/deaf", FAULT_SEEDS, deaf_replica },
        { "/agreement/election/slow-disks", FAULT_SEEDS, slow_disks },
        { "/agreement/election/slower-disks", FAULT_SEEDS, slower_disks },
        { "/agreement/election/slower-disks-of-all", FAULT_SEEDS,
          slower_disks_of_all },
        { "/agreement/election/unlike-disks", FAULT_SEEDS, unlike_disks },
        { "/agreement/election/stalled-disks", FAULT_SEEDS, stalled_disks },
        { "/agreement/election/lost-messages", FAULT_SEEDS, lost_messages } };

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_scenarios (scenarios, G_N_ELEMENTS (scenarios));
  return g_test_run ();
}
