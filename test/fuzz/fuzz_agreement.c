/* fuzz-runs: 700 */
/* Random schedules of a cluster of five replicas; each pair of input bytes is
   one step.  After the last step all faults are removed, and every accepted
   sheet must still be stored on every replica.  */

#include <stdint.h>

#include "../support/agreement_cluster.h"

typedef enum
{
  STEP_TICK,
  STEP_SYNC,
  STEP_ROUND,
  STEP_SUBMIT,
  STEP_PULL,
  STEP_DROP,
  STEP_DUPLICATE,
  STEP_DELIVER,
  STEP_REORDER,
  STEP_CUT_ONE_WAY,
  STEP_CUT,
  STEP_HEAL_NETWORK, /* remove all cuts */
  STEP_CRASH,
  STEP_LOSE_DISK,
  STEP_SUSPEND,
  STEP_RESUME,
  STEP_START,
  STEP_HOLD,    /* delay a message until a release */
  STEP_RELEASE, /* deliver a delayed message */
} fuzz_step_t;

/* Weights out of 64.  The remainder are STEP_ROUND, without which a schedule
   would make little progress.  */
static const struct
{
  fuzz_step_t kind;
  unsigned weight;
} step_weights[] = {
  { STEP_TICK, 4 },      { STEP_SYNC, 5 },         { STEP_SUBMIT, 10 },
  { STEP_PULL, 2 },      { STEP_DROP, 1 },         { STEP_DUPLICATE, 2 },
  { STEP_DELIVER, 4 },   { STEP_REORDER, 3 },      { STEP_CUT_ONE_WAY, 1 },
  { STEP_CUT, 1 },       { STEP_HEAL_NETWORK, 2 }, { STEP_CRASH, 1 },
  { STEP_LOSE_DISK, 1 }, { STEP_SUSPEND, 1 },      { STEP_RESUME, 3 },
  { STEP_START, 3 },     { STEP_HOLD, 3 },         { STEP_RELEASE, 2 }
};

static struct
{
  uint64_t steps;
  uint64_t accepted;
  uint64_t conflicts;
  uint64_t losses;
} total;

static void
print_total (void)
{
  fprintf (
      stderr, "schedule steps=%llu accepted=%llu conflicts=%llu losses=%llu\n",
      (unsigned long long)total.steps, (unsigned long long)total.accepted,
      (unsigned long long)total.conflicts, (unsigned long long)total.losses);
}

/* The slot to submit to: if the argument's top bit is set, a replica in the
   leader role, which may have lost its lease; otherwise, or if there is none,
   the slot that ARGUMENT selects.  */
static slot_t
submit_slot (const cluster_t *cluster, uint8_t argument)
{
  slot_t slot = argument % NODES;
  for (slot_t i = 0; i < NODES && argument & 128; i++)
    {
      slot_t next = (slot_t)((slot + i) % NODES);
      const node_t *node = &cluster->nodes[next];
      if (node_runs (node)
          && replica_status (node->replica).role == ROLE_LEADER)
        return next;
    }
  return slot;
}

static void
step_submit (cluster_t *cluster, uint8_t argument)
{
  uint64_t number = cluster->highest + (argument >> 3 & 1);
  int content = argument >> 4 & 1 ? (argument >> 5) % CONTENTS : 0;
  cluster_submit (cluster, submit_slot (cluster, argument), number, content);
}

static void
step_network (cluster_t *cluster, fuzz_step_t kind, uint8_t argument)
{
  slot_t from = argument % NODES;
  slot_t to = argument / 16 % NODES;
  packet_t *packet = cluster_packet (cluster, argument);
  switch (kind)
    {
    case STEP_DROP:
      if (packet)
        cluster_drop (cluster, packet);
      break;
    case STEP_DUPLICATE:
      cluster_deliver (cluster, packet, true);
      break;
    case STEP_DELIVER:
      for (int i = 0; i < argument / 32; i++)
        cluster_deliver (cluster, cluster_packet (cluster, 0), false);
      break;
    case STEP_REORDER:
      cluster_deliver (cluster, packet, false);
      break;
    case STEP_HOLD:
      if (packet)
        packet->is_held = true;
      break;
    case STEP_RELEASE:
      cluster_release (cluster, argument);
      break;
    case STEP_CUT_ONE_WAY:
      cluster->cut[from][to] = true;
      break;
    case STEP_CUT:
      cluster->cut[from][to] = cluster->cut[to][from] = true;
      break;
    default:
      memset (cluster->cut, 0, sizeof cluster->cut);
      break;
    }
}

static void
step_process (cluster_t *cluster, fuzz_step_t kind, uint8_t argument)
{
  slot_t slot = argument % NODES;
  switch (kind)
    {
    case STEP_CRASH:
      cluster_crash (cluster, slot, argument / 64);
      break;
    case STEP_LOSE_DISK:
      if (!cluster_lose_disk (cluster, slot))
        break;
      total.losses++;
      if (argument & 128)
        cluster_start (cluster, slot);
      break;
    case STEP_SUSPEND:
      cluster->nodes[slot].is_frozen = cluster->nodes[slot].replica != NULL;
      break;
    case STEP_RESUME:
      cluster->nodes[slot].is_frozen = false;
      break;
    default:
      cluster_start (cluster, slot);
      break;
    }
}

static fuzz_step_t
step_kind (uint8_t byte)
{
  unsigned weight = byte % 64;
  for (size_t i = 0; i < sizeof step_weights / sizeof step_weights[0]; i++)
    {
      if (weight < step_weights[i].weight)
        return step_weights[i].kind;
      weight -= step_weights[i].weight;
    }
  return STEP_ROUND;
}

static void
step (cluster_t *cluster, uint8_t byte, uint8_t argument)
{
  cluster->steps++;
  fuzz_step_t kind = step_kind (byte);
  switch (kind)
    {
    case STEP_TICK:
      cluster_tick (cluster);
      break;
    case STEP_SYNC:
      cluster_sync (cluster, argument % NODES);
      break;
    case STEP_ROUND:
      cluster_round (cluster);
      break;
    case STEP_SUBMIT:
      step_submit (cluster, argument);
      break;
    case STEP_PULL:
      cluster_pull (cluster, argument % RECEIVERS, argument / 8 % NODES);
      break;
    case STEP_DROP:
    case STEP_DUPLICATE:
    case STEP_DELIVER:
    case STEP_REORDER:
    case STEP_CUT_ONE_WAY:
    case STEP_CUT:
    case STEP_HEAL_NETWORK:
    case STEP_HOLD:
    case STEP_RELEASE:
      step_network (cluster, kind, argument);
      break;
    case STEP_CRASH:
    case STEP_LOSE_DISK:
    case STEP_SUSPEND:
    case STEP_RESUME:
    case STEP_START:
      step_process (cluster, kind, argument);
      break;
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (total.steps == 0)
    atexit (print_total);
  cluster_t *cluster = malloc (sizeof *cluster);
  cluster_init (cluster, size > 0 ? data[0] : 0);
  if (size > 1 && data[1] & 1)
    cluster_settle (cluster);
  for (size_t i = 2; i + 1 < size; i += 2)
    step (cluster, data[i], data[i + 1]);
  cluster_check_recovery (cluster);
  total.steps += cluster->steps;
  total.accepted += cluster->n_accepted;
  total.conflicts += cluster->n_conflicts;
  cluster_free (cluster);
  free (cluster);
  return 0;
}
