/* fuzz-runs: 30000 */
/* Fuzz target: calls that a director gets from routers and other directors,
   entries and snapshots of its log, and messages of its replica.  The first
   byte chooses the kind; the rest is the XDR of the message.  Two calls may
   follow each other: a 16-bit length stands before the first.  */

#include "../support/director_world.h"
#include "../support/fuzz_input.h"
#include "agreement/message.h"
#include "base/log.h"

#define NOW (1000 * USEC_PER_SEC)
#define LATER (NOW + 3600 * USEC_PER_SEC)

/* What the core holds stays within its limits, and can be shown.  */
static void
check_core (director_core_t *core)
{
  require (core->roster.n_slots <= ROSTER_MAX, "slots");
  require (core->router_table.n_records <= FLEET_ROUTERS_MAX, "routers");
  require (core->backend_list.n_records <= FLEET_BACKENDS_MAX, "backends");
  require (core->n_quarantined <= QUARANTINED_MAX, "quarantined");
  char *view = core_view_json (core);
  require (view != NULL, "a view");
  free (view);
}

static void
call (fuzz_input_t *input)
{
  static const uint32_t procedures[]
      = { FLEET_PULL, FLEET_SHARE, FLEET_ANNOUNCE, FLEET_AGREE };
  enum
  {
    N_PROCEDURES = sizeof procedures / sizeof procedures[0],
  };
  director_world_t *world = director_world_new ();
  for (int i = 0; i < 2; i++)
    {
      uint32_t procedure = procedures[fuzz_next_byte (input) % N_PROCEDURES];
      size_t length = (size_t)fuzz_next_byte (input) << 8;
      length |= fuzz_next_byte (input);
      if (length > input->size)
        length = input->size;
      director_world_call (world, procedure, input->data, length);
      input->data += length;
      input->size -= length;
      director_world_handle (world, NOW + i);
      require (held_rpc_drop_replies (world->core.options.rpc) == 1,
               "each call is answered once");
      core_pulls_update_routers (&world->core, NOW + i);
    }
  check_core (&world->core);
  core_pulls_update_routers (&world->core, LATER);
  core_crashes_tick (&world->core, LATER);
  check_core (&world->core);
  director_world_free (world);
}

/* An entry of the log, or a snapshot.  */
static void
apply_state (const fuzz_input_t *input, bool is_snapshot)
{
  err_t err = { 0 };
  director_state_t state = { 0 };
  blob_t *bytes = blob_new (input->data, (uint32_t)input->size);
  if (is_snapshot)
    director_state_restore (&state, bytes, &err);
  else
    director_state_apply (&state, 1, bytes, &err);
  require (state.n_evacuated <= EVACUATED_MAX, "evacuated");
  blob_t *saved = director_state_save (&state);
  director_state_t copy = { 0 };
  require (director_state_restore (&copy, saved, &err),
           "what was saved can be restored");
  require (copy.config_version == state.config_version
               && copy.n_evacuated == state.n_evacuated,
           "the same state");
  blob_unref (saved);
  blob_unref (bytes);
  director_state_clear (&copy);
  director_state_clear (&state);
}

static void
decode_message (const fuzz_input_t *input)
{
  err_t err = { 0 };
  message_t message;
  if (!message_decode (&message, input->data, (uint32_t)input->size, &err))
    return;
  blob_t *bytes = message_encode (&message);
  message_t again;
  require (message_decode (&again, bytes->bytes, bytes->length, &err),
           "what was encoded can be decoded");
  message_clear (&again);
  message_clear (&message);
  blob_unref (bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum
  {
    KINDS = 4,
  };
  static bool is_ready;
  if (!is_ready)
    log_open ("fuzz", "fuzz", LOG_LEVEL_ERROR);
  is_ready = true;
  fuzz_input_t input = { .data = data, .size = size };
  switch (fuzz_next_byte (&input) % KINDS)
    {
    case 0:
      call (&input);
      break;
    case 1:
      apply_state (&input, false);
      break;
    case 2:
      apply_state (&input, true);
      break;
    default:
      decode_message (&input);
      break;
    }
  return 0;
}
