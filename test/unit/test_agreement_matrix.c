/* Fault matrix of one sheet submission: each fault is injected after each
   step, at the leader and at a follower.  Afterwards the sheet is resent
   through every replica, and a sheet with the same number and other content is
   submitted.  The cluster's oracle fails the test if an accepted sheet is lost
   or if two contents are accepted under one number.  */

#include <glib.h>

#include "../support/agreement_cluster.h"

typedef enum
{
  SUBMITTED, /* the sheet is in the leader's memory */
  LOGGED,    /* sent to the followers; on no disk */
  SYNCED,    /* on the disks; not acknowledged to the leader */
  ANSWERED,  /* the leader has accepted it; no other replica knows */
  SPREAD,    /* applied by all replicas */
  IN_FORCE,  /* pulled by the receivers */
  STEPS,
} matrix_step_t;

static const char *const step_names[STEPS]
    = { "submitted", "logged", "synced", "answered", "spread", "in-force" };

typedef enum
{
  KILL,
  KILL_AND_LOSE_DISK,
  FREEZE,
  CUT_BOTH_WAYS,
  CUT_OUT,
  CUT_IN,
  SILENT_CONNECTION,
  LOST_ANSWER,
  RACE,
  SECOND_LOSS_DURING_REPAIR,
  SECOND_LOSS_AFTER_REPAIR,
  RESTART_AFTER_HUNDREDS,
  DOMAIN_GONE,
  ALL_KILLED,
  FAULTS,
} matrix_fault_t;

static const char *const fault_names[FAULTS] = { "kill",
                                                 "kill-and-lose-disk",
                                                 "freeze",
                                                 "cut-both-ways",
                                                 "cut-out",
                                                 "cut-in",
                                                 "silent-connection",
                                                 "lost-answer",
                                                 "race",
                                                 "second-loss-during-repair",
                                                 "second-loss-after-repair",
                                                 "restart-after-hundreds",
                                                 "domain-gone",
                                                 "all-killed" };

typedef struct matrix_cell
{
  matrix_step_t step;
  matrix_fault_t fault;
} matrix_cell_t;

enum
{
  SHEETS_WHILE_DOWN = 300,
  /* Of one tick each; longer than a lease and an election together.  */
  FAULT_ROUNDS = 80,
};

static void
deliver_all (cluster_t *cluster)
{
  cluster_deliver_first (cluster, cluster->n_packets);
}

static void
sync_all (cluster_t *cluster)
{
  for (int slot = 0; slot < NODES; slot++)
    while (!list_empty (&cluster->nodes[slot].disk.pending))
      cluster_sync (cluster, slot);
}

static void
run_rounds (cluster_t *cluster, int rounds)
{
  for (int i = 0; i < rounds; i++)
    cluster_round (cluster);
}

static void
advance_to_step (cluster_t *cluster, slot_t leader, uint64_t number,
                 matrix_step_t step)
{
  cluster_submit (cluster, leader, number, 0);
  if (step >= LOGGED)
    deliver_all (cluster);
  if (step >= SYNCED)
    sync_all (cluster);
  g_assert_false (cluster->is_accepted[number]);
  if (step >= ANSWERED)
    {
      deliver_all (cluster);
      g_assert_true (cluster->is_accepted[number]);
    }
  if (step >= SPREAD)
    cluster_settle (cluster);
  if (step >= IN_FORCE)
    for (int i = 0; i < RECEIVERS; i++)
      cluster_pull (cluster, i, (slot_t)i);
}

static void
cut (cluster_t *cluster, slot_t slot, bool out, bool in)
{
  for (int other = 0; other < NODES; other++)
    {
      cluster->cut[slot][other] = out;
      cluster->cut[other][slot] = in;
    }
}

static void
lose_disk (cluster_t *cluster, slot_t slot)
{
  g_assert_true (cluster_lose_disk (cluster, slot));
  cluster_start (cluster, slot);
}

static void
submit_concurrently (cluster_t *cluster, uint64_t number)
{
  for (int slot = 0; slot < NODES; slot++)
    cluster_submit (cluster, slot, number, 1 + slot % 2);
}

static void
submit_sheets_while_down (cluster_t *cluster)
{
  for (int i = 0; i < SHEETS_WHILE_DOWN; i++)
    {
      slot_t leader = cluster_leader (cluster);
      if (leader != SLOT_NONE)
        cluster_submit (cluster, leader, cluster->highest + 1, 0);
      cluster_round (cluster);
    }
}

static void
inject_fault (cluster_t *cluster, matrix_fault_t fault, slot_t victim,
              uint64_t number)
{
  slot_t next = (slot_t)((victim + 1) % NODES);
  switch (fault)
    {
    case KILL:
      cluster_crash (cluster, victim, 0);
      break;
    case KILL_AND_LOSE_DISK:
      lose_disk (cluster, victim);
      break;
    case FREEZE:
      cluster->nodes[victim].is_frozen = true;
      break;
    case CUT_BOTH_WAYS:
      cut (cluster, victim, true, true);
      break;
    case CUT_OUT:
      cut (cluster, victim, true, false);
      break;
    case CUT_IN:
      cut (cluster, victim, false, true);
      break;
    case SILENT_CONNECTION:
      cluster->cut[victim][next] = true;
      break;
    case LOST_ANSWER:
      while (cluster->n_packets > 0)
        cluster_drop (cluster, cluster_packet (cluster, 0));
      break;
    case RACE:
      submit_concurrently (cluster, number);
      break;
    case SECOND_LOSS_DURING_REPAIR:
      lose_disk (cluster, victim);
      run_rounds (cluster, 3);
      lose_disk (cluster, next);
      break;
    case SECOND_LOSS_AFTER_REPAIR:
      lose_disk (cluster, victim);
      for (int i = 0; i < SETTLE_ROUNDS && cluster_losses (cluster) > 0; i++)
        cluster_round (cluster);
      lose_disk (cluster, next);
      break;
    case RESTART_AFTER_HUNDREDS:
      cluster_crash (cluster, victim, 0);
      submit_sheets_while_down (cluster);
      break;
    case DOMAIN_GONE:
      cluster_crash (cluster, victim, 0);
      cluster_crash (cluster, next, 0);
      break;
    case ALL_KILLED:
      for (int slot = 0; slot < NODES; slot++)
        cluster_crash (cluster, slot, 0);
      break;
    case FAULTS:
      break;
    }
}

/* Submit the sheet again through every replica, and another sheet with the
   same number.  */
static void
resend_and_conflict (cluster_t *cluster, uint64_t number)
{
  for (int slot = 0; slot < NODES; slot++)
    {
      cluster_submit (cluster, slot, number, 0);
      cluster_submit (cluster, slot, number, 1);
    }
  run_rounds (cluster, 4);
}

static void
test_cell_at (const matrix_cell_t *cell, bool at_leader)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);
  cluster_init (cluster, 1 + (uint64_t)cell->step);
  cluster_settle (cluster);
  slot_t leader = cluster_leader (cluster);
  uint64_t number = cluster->highest + 1;
  advance_to_step (cluster, leader, number, cell->step);
  slot_t victim = at_leader ? leader : (slot_t)((leader + 1) % NODES);
  inject_fault (cluster, cell->fault, victim, number);
  run_rounds (cluster, FAULT_ROUNDS);
  resend_and_conflict (cluster, number);
  cluster_heal (cluster);
  cluster_settle (cluster);
  resend_and_conflict (cluster, number);
  g_assert_cmpint (cluster->winner[number], !=, 0);
  if (cell->step >= ANSWERED)
    g_assert_true (cluster->is_accepted[number]);
  /* The outcome is final now, so every replica answers both submissions at
     once from its own registry.  */
  size_t answers = cluster->n_accepted + cluster->n_conflicts;
  resend_and_conflict (cluster, number);
  g_assert_cmpuint (cluster->n_accepted + cluster->n_conflicts, ==,
                    answers + 2 * NODES);
  for (int i = 0; i < RECEIVERS; i++)
    cluster_pull (cluster, i, (slot_t)(NODES - 1 - i));
  cluster_check_recovery (cluster);
  cluster_free (cluster);
  g_free (cluster);
}

static void
test_cell (const void *data)
{
  test_cell_at (data, true);
  test_cell_at (data, false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  static matrix_cell_t cells[FAULTS][STEPS];
  for (int fault = 0; fault < FAULTS; fault++)
    for (int step = 0; step < STEPS; step++)
      {
        matrix_cell_t *cell = &cells[fault][step];
        *cell = (matrix_cell_t){ .step = step, .fault = fault };
        char *path = g_strdup_printf ("/agreement/matrix/%s/%s",
                                      fault_names[fault], step_names[step]);
        g_test_add_data_func (path, cell, test_cell);
        g_free (path);
      }
  return g_test_run ();
}
