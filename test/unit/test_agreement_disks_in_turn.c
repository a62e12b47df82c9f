/* The disks of replicas refuse writes, one after another, and the processes
   open them anew.  Guards against replicas that stay out of the log, count as
   having lost their disks, or elect nobody once the last disk has room.  */

#include <glib.h>

#include "../support/agreement_cluster.h"

enum
{
  SEEDS = 60,
  TURNS = 20,
  FULL_ROUNDS_MAX = 40, /* 1 s */
  GAP_ROUNDS_MAX = 12,  /* from one disk's room to the next one that is full */
  SURVIVING_MAX = 3,    /* unsynced writes that reach the disk */
};

/* Elections cost less (docs/design/agreement.md).  */
#define ELECTION_TIME_MAX (2 * USEC_PER_SEC)

/* Submit a new sheet wherever a leader is, in each round, until one is
   accepted.  */
static void
require_acceptance (cluster_t *cluster, usec_t within)
{
  usec_t end = cluster->now + within;
  size_t accepted = cluster->n_accepted;
  while (cluster->n_accepted == accepted)
    {
      REQUIRE (cluster->now < end, "no sheet is accepted for %lld ms",
               (long long)(within / USEC_PER_MSEC));
      slot_t leader = cluster_leader (cluster);
      if (leader != SLOT_NONE)
        cluster_submit (cluster, leader, cluster->highest + 1, 0);
      cluster_round (cluster);
    }
}

/* The disk of SLOT is full for some rounds, in which the others go on.  */
static void
fill_disk (cluster_t *cluster, slot_t slot, random_state_t *random)
{
  event_t failed = { .kind = EVENT_DISK_FAILED };
  slot_t leader = cluster_leader (cluster);
  if (leader != SLOT_NONE)
    cluster_submit (cluster, leader, cluster->highest + 1, 0);
  cluster_step (cluster, slot, &failed);
  cluster_crash (cluster, slot, (int)random_below (random, SURVIVING_MAX));
  cluster->nodes[slot].has_failed_disk = true;
  for (uint64_t i = random_below (random, FULL_ROUNDS_MAX); i > 0; i--)
    {
      leader = cluster_leader (cluster);
      if (leader != SLOT_NONE)
        cluster_submit (cluster, leader, cluster->highest + 1, 0);
      cluster_round (cluster);
    }
  cluster_start (cluster, slot);
  for (uint64_t i = random_below (random, GAP_ROUNDS_MAX); i > 0; i--)
    cluster_round (cluster);
}

static void
play (uint64_t seed)
{
  static cluster_t cluster;
  random_state_t random;
  incarnation_t incarnations[NODES];
  random_seed (&random, seed);
  cluster_init (&cluster, seed);
  cluster_settle (&cluster);
  for (int i = 0; i < NODES; i++)
    incarnations[i] = replica_status (cluster.nodes[i].replica).incarnation;
  for (int turn = 0; turn < TURNS; turn++)
    {
      slot_t slot = (slot_t)(turn % NODES);
      if (random_below (&random, 3) == 0 && cluster_leader (&cluster) < NODES)
        slot = cluster_leader (&cluster);
      fill_disk (&cluster, slot, &random);
    }
  require_acceptance (&cluster, ELECTION_TIME_MAX);
  cluster_settle (&cluster);
  for (int i = 0; i < NODES; i++)
    {
      replica_status_t status = replica_status (cluster.nodes[i].replica);
      g_assert_cmpuint (status.incarnation, ==, incarnations[i]);
      g_assert_cmpuint (status.config.incarnation[i], ==, incarnations[i]);
    }
  cluster_check_recovery (&cluster);
  cluster_free (&cluster);
}

static void
test_disks_in_turn (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    play (seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agreement/disks-in-turn", test_disks_in_turn);
  return g_test_run ();
}
