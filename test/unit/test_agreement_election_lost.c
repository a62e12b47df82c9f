/* Elections after the leader and some of the others are lost; apart from
   test_agreement_election, as their many seeds take long.  */

#include "../support/timed_cluster.h"

static void
lose (timed_cluster_t *cluster, slot_t slot)
{
  if (cluster->replicas[slot])
    replica_free (cluster->replicas[slot]);
  cluster->replicas[slot] = NULL;
}

/* The leader and a third of the others are lost at once, those with the lowest
   slots.  Guards against waiting for the slots that are gone.  */
static void
leader_lost (timed_cluster_t *cluster)
{
  for (slot_t i = 0; i < cluster->n; i++)
    start (cluster, i, cluster->now);
  check_election (cluster, lease_end (cluster), TERM + 1);
  slot_t n_lost = (slot_t)((cluster->n - 1) / 3);
  lose (cluster, leader_of (cluster));
  for (slot_t i = 0; i + 1 < n_lost; i++)
    lose (cluster, i);
  /* Messages of the leader are still in transit.  */
  run_until (cluster, cluster->now + LATENCY_MAX);
  check_election (cluster, lease_end (cluster), TERM + 2);
}

static const scenario_t scenarios[]
    = { { "/agreement/election/leader-lost", SEEDS, leader_lost } };

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_scenarios (scenarios, G_N_ELEMENTS (scenarios));
  return g_test_run ();
}
