/* Elections in which messages are lost or some replicas can't win.  */

#include "../support/timed_cluster.h"

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

static const scenario_t scenarios[]
    = { { "/agreement/election/staggered-start", FAULT_SEEDS,
          staggered_start },
        { "/agreement/election/pending-voter-change", FAULT_SEEDS,
          pending_voter_change },
        { "/agreement/election/lost-link", FAULT_SEEDS, lost_link },
        { "/agreement/election/deaf", FAULT_SEEDS, deaf_replica },
        { "/agreement/election/lost-messages", FAULT_SEEDS, lost_messages } };

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_scenarios (scenarios, G_N_ELEMENTS (scenarios));
  return g_test_run ();
}
