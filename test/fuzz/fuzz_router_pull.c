/* fuzz-runs: 20000 */
/* Fuzz target: replies of directors to a router's pulls, and what its
   director_sync and its pool of backend servers do with them.  The first byte
   chooses the kind; the rest is the XDR of a reply, or of what stands packed
   in one.  The same reply comes twice.  */

#include "../support/fuzz_input.h"
#include "../support/sync_world.h"
#include "base/log.h"
#include "fleet/fleet_wire.h"

#define LATER (3600 * USEC_PER_SEC)

static void
check_snapshot (sync_world_t *world)
{
  usec_t now = clock_monotonic ();
  fleet_snapshot_t *snapshot = director_sync_snapshot (world->sync);
  require (snapshot->list.n_records <= FLEET_BACKENDS_MAX, "backends");
  require (snapshot->n_routers <= FLEET_ROUTERS_MAX, "routers");
  require (snapshot->n_quarantined <= QUARANTINED_MAX, "quarantined");
  const pool_update_t update = { .list = &snapshot->list,
                                 .config = snapshot->config,
                                 .evacuated = snapshot->evacuated,
                                 .n_evacuated = snapshot->n_evacuated,
                                 .reopened = &snapshot->reopened,
                                 .routers = snapshot->routers,
                                 .n_routers = snapshot->n_routers };
  backend_pool_update (world->pool, &update, now);
  const pool_query_t query = { .service = "search" };
  backend_t *backend = backend_pool_pick (world->pool, &query, now);
  if (backend)
    {
      const backend_outcome_t outcome = { .result = BACKEND_ANSWERED };
      backend_pool_request_sent (world->pool, backend, &query, now);
      backend_pool_request_ended (world->pool, backend, &outcome, now);
    }
  backend_pool_pick (world->pool, &query, now + LATER);
  fleet_snapshot_unref (snapshot);
}

static void
answer_bytes (sync_world_t *world, const fuzz_input_t *input)
{
  rpc_out_call_t *call = sync_world_pull (world);
  require (call != NULL, "a pull is sent");
  held_rpc_answer_bytes (call, (const char *)input->data, input->size);
}

typedef enum
{
  PART_CONFIG,
  PART_LIST,
  PART_ROUTERS,
  PARTS,
} part_t;

/* Answer with INPUT packed as PART of a reply.  */
static void
answer_packed (sync_world_t *world, const fuzz_input_t *input, part_t part)
{
  packed_t packed = packed_compress (input->data, input->size);
  const fleet_packed_t value = { .fleet_packed_t_val = packed.bytes,
                                 .fleet_packed_t_len = (u_int)packed.length };
  fleet_pull_result_t result = { .confirmed_age = 0 };
  switch (part)
    {
    case PART_CONFIG:
      result.config_version = 1;
      result.config.config_val = packed.bytes;
      result.config.config_len = (u_int)packed.length;
      break;
    case PART_LIST:
      result.list = (fleet_list_update_t){ .digest = 1, .whole = value };
      break;
    case PART_ROUTERS:
    case PARTS:
      result.routers_digest = 1;
      result.routers = value;
      break;
    }
  rpc_out_call_t *call = sync_world_pull (world);
  require (call != NULL, "a pull is sent");
  held_rpc_answer (call, (xdrproc_t)xdr_fleet_pull_result_t, &result);
  free (packed.bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static bool is_ready;
  if (!is_ready)
    log_open ("fuzz", "fuzz", LOG_LEVEL_ERROR);
  is_ready = true;
  fuzz_input_t input = { .data = data, .size = size };
  sync_world_t *world = sync_world_new ();
  unsigned int kind = fuzz_next_byte (&input) % (PARTS + 1);
  for (int i = 0; i < 2; i++)
    {
      if (kind == PARTS)
        answer_bytes (world, &input);
      else
        answer_packed (world, &input, (part_t)kind);
      check_snapshot (world);
    }
  sync_world_free (world);
  return 0;
}
