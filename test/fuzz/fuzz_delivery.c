/* fuzz-runs: 40000 */
/* Guards against requests that run twice, wrong outcomes and leaked slots:
   runs random schedules of sends, resends and forwards, of crashes, restarts,
   pauses and partitions, of late, mismatched and truncated answers, of
   cancellations and deadlines.  The oracle is in delivery_world.h.  */

#include "../support/delivery_world.h"

static void
step_flight (world_t *world, uint8_t op, int index)
{
  switch (op)
    {
    case 0:
    case 1:
      world_place (world, index, EVENT_ADMITTED);
      break;
    case 2:
      world_place (world, index, EVENT_FORWARD);
      break;
    case 3:
      world_place (world, index, EVENT_NOT_PLACED);
      break;
    case 4:
      if (world->flights[index].alive
          && !world->frozen[world->flights[index].vm])
        world_arrive (world, index);
      break;
    case 5:
      world_deliver_hop_outcome (world, index, false);
      break;
    case 6:
      world_deliver_hop_outcome (world, index, true);
      break;
    default:
      world_cancel (world, index);
      break;
    }
}

static void
step_work (world_t *world, uint8_t op, int index, int other)
{
  switch (op)
    {
    case 0:
    case 1:
      world_start_send (world, index);
      break;
    case 2:
    case 3:
      world_run (world, index);
      break;
    case 4:
      world_finish (world, index, false);
      break;
    case 5:
      world_finish (world, index, true);
      break;
    case 6:
      world_break_connection (world, index);
      break;
    case 7:
      world_misdeliver_answer (world, index, other);
      break;
    default:
      world_refuse_work (world, index);
      break;
    }
}

static void
step_vm (world_t *world, uint8_t op, vm_id_t vm)
{
  switch (op)
    {
    case 0:
      world_kill_vm (world, vm);
      break;
    case 1:
      world->frozen[vm] = !world->frozen[vm];
      break;
    case 2:
      world->cut[vm] = !world->cut[vm];
      break;
    case 3:
      world_crash_backend (world, vm);
      break;
    default:
      world->lose_votes = !world->lose_votes;
      break;
    }
}

static void
step (world_t *world, fuzz_input_t *input)
{
  uint8_t op = fuzz_next_byte (input);
  uint8_t argument = fuzz_next_byte (input);
  uint8_t kind = op / 16;
  if (kind < 2)
    world_send (world, argument % N_VMS, argument / N_VMS % N_CONTENTS);
  else if (kind < 8)
    step_flight (world, op % 8, argument % N_FLIGHTS);
  else if (kind < 13)
    step_work (world, op % 9, argument % N_WORKS, argument / N_WORKS);
  else if (kind < 14)
    step_vm (world, op % 5, argument % N_VMS);
  else
    world_advance (world, (usec_t)argument * 8 * USEC_PER_MSEC);
}

/* The name is libFuzzer's.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static world_t world;
  fuzz_input_t input = { .data = data, .size = size };
  world_open (&world);
  while (input.size > 0)
    step (&world, &input);
  world_close (&world);
  return 0;
}
