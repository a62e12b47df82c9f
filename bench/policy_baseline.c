#include <stdlib.h>

#include "policy_sim.h"

/* Per front VM: requests sent and not ended, and the next server in turn.  */
struct baseline
{
  uint32_t in_flight[WORLD_VMS][WORLD_BACKENDS];
  uint32_t next[WORLD_VMS][WORLD_SERVICES];
  bool listed[WORLD_BACKENDS];
};

void
baseline_open (sim_t *sim)
{
  sim->baseline = calloc (1, sizeof *sim->baseline);
  baseline_sheet (sim);
}

void
baseline_close (sim_t *sim)
{
  free (sim->baseline);
}

void
baseline_sheet (sim_t *sim)
{
  const sheet_t *sheet = &sim->world.sheet;
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    sim->baseline->listed[i] = sheet->backends[i].state == BACKEND_SERVING;
}

/* The region that a caller is told: its own, unless the shares were moved by
   hand, when it is drawn by share.  */
static region_id_t
told_region (sim_t *sim, region_id_t origin)
{
  if (sim->world.sheet.number < 2 || sim->policy != POLICY_NEAREST
      || sim->scenario.fault != FAULT_SHARE_MOVED)
    return origin;
  double share = sim->world.sheet.shares[origin].percent / 100.0;
  double demand = sim->world.demand[origin];
  if (random_unit (&sim->chooser) * demand < share)
    return origin;
  return (region_id_t)((origin + 1 + random_below (&sim->chooser, 2))
                       % WORLD_REGIONS);
}

lookup_answer_t
baseline_lookup (sim_t *sim, region_id_t origin)
{
  region_id_t region = told_region (sim, origin);
  uint64_t first = random_below (&sim->chooser, 3);
  uint64_t other = random_below (&sim->chooser, 3);
  lookup_answer_t answer;
  answer.vms[0] = (vm_id_t)(region * 3 + first);
  answer.vms[1] = (vm_id_t)(region * 3 + (first + 1) % 3);
  answer.vms[2] = (vm_id_t)((region + 1) % WORLD_REGIONS * 3 + other);
  return answer;
}

static bool
may_choose (const sim_t *sim, uint16_t backend, bool near_only,
            region_id_t home)
{
  if (!sim->baseline->listed[backend])
    return false;
  return !near_only || sim_region (sim, sim->backends[backend].domain) == home;
}

static uint16_t
choose_among (sim_t *sim, const request_t *request, bool near_only)
{
  baseline_t *state = sim->baseline;
  region_id_t home = sim_region (sim, sim_front_domain (sim, request));
  uint16_t first = request->service * WORLD_DOMAINS * WORLD_PER_BIN;
  const uint32_t per_service = WORLD_DOMAINS * WORLD_PER_BIN;
  uint16_t allowed[WORLD_DOMAINS * WORLD_PER_BIN];
  uint32_t n = 0;
  for (uint32_t b = first; b < first + per_service; b++)
    if (may_choose (sim, b, near_only, home))
      allowed[n++] = b;
  if (n == 0)
    return TOPOLOGY_NONE;
  uint32_t turn = state->next[request->front][request->service]++;
  uint16_t best = allowed[turn % n];
  if (sim->policy != POLICY_LEAST_CONNECTIONS)
    return best;
  const uint32_t *in_flight = state->in_flight[request->front];
  for (uint32_t i = 1; i < n; i++)
    {
      uint16_t b = allowed[(turn + i) % n];
      if (in_flight[b] < in_flight[best])
        best = b;
    }
  return best;
}

static uint16_t
choose (sim_t *sim, const request_t *request)
{
  bool near_only = sim->policy == POLICY_NEAREST;
  uint16_t backend = choose_among (sim, request, near_only);
  if (backend == TOPOLOGY_NONE && near_only)
    backend = choose_among (sim, request, false);
  return backend;
}

void
baseline_front (sim_t *sim, request_t *request)
{
  uint16_t backend = choose (sim, request);
  if (backend == TOPOLOGY_NONE)
    {
      sim_refuse (sim, request);
      return;
    }
  attempt_t *attempt = sim_attempt (sim, request, backend);
  sim->baseline->in_flight[request->front][backend]++;
  sim_at (sim, request->deadline, EVENT_ATTEMPT_TIMEOUT, attempt, 0);
  sim_send (sim, sim_front_domain (sim, request),
            sim->backends[backend].domain, SIM_REQUEST_BYTES, EVENT_BACKEND,
            attempt);
}

void
baseline_backend (sim_t *sim, attempt_t *attempt)
{
  sim_backend_t *backend = &sim->backends[attempt->backend];
  const service_t *service = &sim->world.topology.services[backend->service];
  if (backend->running < service->slots)
    sim_start_run (sim, attempt);
  else if (backend->running + backend->queued < service->connections)
    {
      list_push_back (&backend->queue, &attempt->link);
      backend->queued++;
    }
  else
    sim_reply (sim, attempt, REPLY_REFUSED);
}

void
baseline_run_end (sim_t *sim, attempt_t *attempt)
{
  sim_backend_t *backend = &sim->backends[attempt->backend];
  /* Backend servers know the deadline and drop what is past it.  */
  while (backend->queued > 0)
    {
      list_t *link = list_pop_front (&backend->queue);
      backend->queued--;
      attempt_t *next = LIST_ENTRY (link, attempt_t, link);
      if (next->request->deadline <= sim->now)
        continue;
      sim_start_run (sim, next);
      return;
    }
}

static void
close_attempt (sim_t *sim, attempt_t *attempt)
{
  attempt->closed = true;
  sim->baseline->in_flight[attempt->request->front][attempt->backend]--;
}

void
baseline_reply (sim_t *sim, attempt_t *attempt)
{
  if (attempt->closed)
    return;
  close_attempt (sim, attempt);
  if (attempt->reply == REPLY_REFUSED)
    sim_refuse (sim, attempt->request);
  else
    sim_finish (sim, attempt->request, attempt->reply == REPLY_ANSWERED);
}

void
baseline_timeout (sim_t *sim, attempt_t *attempt)
{
  if (attempt->closed)
    return;
  close_attempt (sim, attempt);
  sim_finish (sim, attempt->request, false);
}
