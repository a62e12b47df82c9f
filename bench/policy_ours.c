#include "policy_ours.h"

#include <assert.h>
#include <math.h>

#include "placement/topology.h"
#include "shift/cost.h"

enum
{
  ASK_TICKS = 5,
  JUDGE_TICKS = 10,
  KEEP_PERCENT = 20,
  RETRIES_SAVED = 10,
  SLOWDOWN_UNIT = 1000,
  ATTEMPT_TIMEOUT_MIN = 60000,
};

static const double retry_part = 0.1; /* of the traffic of a service */
static const double attempt_timeout_factor = 4;

void
ours_sheet (sim_t *sim)
{
  ours_t *ours = sim->ours;
  bool returned = sim->now > SIM_FAULT_END
                  && (sim->scenario.fault == FAULT_DOMAIN_LOST
                      || sim->scenario.fault == FAULT_REGION_LOST);
  for (uint32_t v = 0; v < WORLD_VMS; v++)
    steer_update (ours->front[v], &sim->world.sheet, sim->now, NULL);
  for (uint32_t d = 0; d < WORLD_DOMAINS; d++)
    steer_update (ours->inner[d], &sim->world.sheet, sim->now, NULL);
  bool moved = sim->scenario.fault == FAULT_SHARE_MOVED || returned;
  ours_tables_build (sim, moved);
}

lookup_answer_t
ours_lookup (sim_t *sim, uint32_t block)
{
  ours_t *ours = sim->ours;
  return lookup_table_find_moving (ours->previous, ours->table,
                                   ours->move.fraction, block);
}

static void
ask (sim_t *sim, escrow_t *escrow, escrow_holder_t *holder, domain_id_t domain)
{
  escrow_ask_t message = escrow_holder_ask (holder, sim->now);
  if (!sim_reachable (sim, domain, SIM_CONTROL_DOMAIN))
    return;
  grant_answer_t *grant = sim_allocate (sim, sizeof *grant);
  grant->holder = holder;
  grant->answer = escrow_apply (escrow, &message, sim->now);
  usec_t delay
      = topology_delay (&sim->world.topology, domain, SIM_CONTROL_DOMAIN);
  sim_at (sim, sim->now + 2 * delay, EVENT_ANSWER, grant, 0);
}

void
ours_answer (sim_t *sim, grant_answer_t *grant)
{
  escrow_holder_answer (grant->holder, &grant->answer, sim->now);
}

static void
vm_ask (sim_t *sim, vm_id_t v)
{
  ours_t *ours = sim->ours;
  const topology_t *topology = &sim->world.topology;
  domain_id_t domain = topology->vms[v].domain;
  region_id_t region = sim_region (sim, domain);
  ask (sim, ours->spend, &ours->spend_holder[v], domain);
  ask (sim, ours->capacity[region], &ours->capacity_holder[v], domain);
  for (size_t l = 0; l < WORLD_LINKS; l++)
    if (topology->links[l].from == region || topology->links[l].to == region)
      ask (sim, ours->link[l], &ours->link_holder[v][l], domain);
}

/* What each backend server's load endpoint says, a second late.  */
static void
report (sim_t *sim)
{
  fault_t fault = sim->scenario.fault;
  bool during = sim->now >= SIM_FAULT_AT && sim->now < SIM_FAULT_END;
  if (fault == FAULT_REPORTS_STOPPED && sim->now >= SIM_FAULT_AT)
    return;
  for (uint32_t b = 0; b < WORLD_BACKENDS; b++)
    {
      hint_t hint = { .load = sim->backends[b].running,
                      .healthy = !sim->backends[b].failing,
                      .measured_at = sim->now - USEC_PER_SEC };
      if (fault == FAULT_REPORTS_LIE && during)
        hint = (hint_t){ .healthy = true, .measured_at = sim->now };
      for (uint32_t v = 0; v < WORLD_VMS; v++)
        if (!sim->dead[sim->backends[b].domain])
          steer_report_slot (sim->ours->front[v], b, HINT_ENDPOINT, &hint);
    }
}

/* Slots that a gate may use now: of usable servers, as far as they ramp; all
   where none is usable.  */
static uint32_t
gate_slots (sim_t *sim, const gate_t *gate, service_id_t service)
{
  steer_t *steer = sim->ours->inner[gate->domain];
  uint32_t slots = 0;
  uint32_t listed = 0;
  for (uint32_t b = 0; b < WORLD_BACKENDS; b++)
    {
      const backend_t *backend = steer_backend (steer, b);
      if (backend->service != service || backend->domain != gate->domain
          || backend->state != BACKEND_SERVING)
        continue;
      uint32_t all = sim->world.topology.services[service].slots;
      listed += all;
      slots += steer_slots (steer, b, sim->now);
    }
  return slots > 0 ? slots : listed;
}

static void gate_pump (sim_t *sim, gate_t *gate);

/* Of the region that is slowest against its warm self.  */
static double
slowdown (sim_t *sim)
{
  double worst = 1;
  for (uint32_t d = 0; d < WORLD_DOMAINS; d++)
    worst = fmax (worst,
                  steer_slowdown (sim->ours->inner[d],
                                  sim_region (sim, (domain_id_t)d), sim->now));
  return worst;
}

void
ours_tick (sim_t *sim)
{
  ours_t *ours = sim->ours;
  int64_t n_tick = sim->now / SIM_TICK;
  for (uint32_t d = 0; d < WORLD_DOMAINS; d++)
    {
      if (sim->now == SIM_FAULT_END && sim->epoch[d] > 0)
        ours_domain_start (sim, d);
      for (uint32_t s = 0; s < WORLD_SERVICES; s++)
        {
          gate_t *gate = &ours->gates[d][s];
          admit_set_slots (&gate->admit, gate_slots (sim, gate, s));
          gate_pump (sim, gate);
        }
    }
  for (uint32_t v = 0; v < WORLD_VMS; v++)
    {
      domain_id_t d = sim->world.topology.vms[v].domain;
      if (sim->now == SIM_FAULT_END && sim->epoch[d] > 0)
        ours_vm_start (sim, v);
      if (n_tick % ASK_TICKS == 0 && !sim->dead[d])
        vm_ask (sim, v);
      if (n_tick % JUDGE_TICKS == 0)
        steer_tick (ours->front[v], sim->now);
    }
  if (n_tick % JUDGE_TICKS == 0)
    {
      report (sim);
      for (uint32_t d = 0; d < WORLD_DOMAINS; d++)
        steer_tick (ours->inner[d], sim->now);
    }
  ramp_step (&ours->move, (usec_t)(SLOWDOWN_UNIT * slowdown (sim)),
             SLOWDOWN_UNIT, sim->now);
}

static admit_budgets_t
front_budgets (sim_t *sim, vm_id_t v, region_id_t region)
{
  ours_t *ours = sim->ours;
  region_id_t home = topology_region_of_vm (&sim->world.topology, v);
  admit_budgets_t budgets = { .spend = &ours->spend_holder[v] };
  if (region == home)
    return budgets;
  const link_t *links = sim->world.topology.links;
  budgets.request_link
      = &ours->link_holder[v][sim_link (sim, home, region) - links];
  budgets.answer_link
      = &ours->link_holder[v][sim_link (sim, region, home) - links];
  return budgets;
}

static admit_needs_t
front_needs (sim_t *sim, const request_t *request, region_id_t region)
{
  const service_t *service = &sim->world.topology.services[request->service];
  admit_needs_t needs = { .request_bytes = SIM_REQUEST_BYTES,
                          .answer_bytes = service->answer_bytes };
  cost_of_request (&sim->world.sheet, request->service, region, &needs.price);
  return needs;
}

/* Send REQUEST to CHOICE; false where a budget is closed.  */
static bool
send (sim_t *sim, request_t *request, const steer_choice_t *choice,
      refusal_t *refusal)
{
  ours_t *ours = sim->ours;
  const service_t *service = &sim->world.topology.services[request->service];
  admit_budgets_t budgets
      = front_budgets (sim, request->front, choice->region);
  admit_needs_t needs = front_needs (sim, request, choice->region);
  reservation_t reservation = { 0 };
  uint32_t keep = reservation_holdback_percent (KEEP_PERCENT, service->weight,
                                                WEIGHT_MAX);
  if (!reservation_take (&reservation, &budgets, &needs, keep,
                         request->deadline, sim->now, refusal))
    return false;
  attempt_t *attempt = sim_attempt (sim, request, choice->slot);
  attempt->front_reservation = reservation;
  steer_started (ours->front[request->front], choice->slot);
  usec_t timeout = request->deadline;
  if (request->service != WORLD_ONCE_SERVICE
      && request->n_attempts < SIM_ATTEMPTS_MAX)
    {
      usec_t patience
          = (usec_t)(attempt_timeout_factor * (double)choice->expected_time);
      if (patience < ATTEMPT_TIMEOUT_MIN)
        patience = ATTEMPT_TIMEOUT_MIN;
      if (sim->now + patience < timeout)
        timeout = sim->now + patience;
    }
  sim_at (sim, timeout, EVENT_ATTEMPT_TIMEOUT, attempt, 0);
  sim_send (sim, sim_front_domain (sim, request), choice->domain,
            SIM_REQUEST_BYTES, EVENT_BACKEND, attempt);
  return true;
}

/* Try to send REQUEST on; false where nothing may take it in time.  */
static bool
try_send (sim_t *sim, request_t *request)
{
  ours_t *ours = sim->ours;
  steer_request_t wanted = { .service = request->service,
                             .deadline = request->deadline,
                             .regions_open = ~(uint64_t)0,
                             .n_tried = request->n_attempts,
                             .domains_refused = request->domains_refused };
  for (size_t i = 0; i < request->n_attempts; i++)
    wanted.tried[i] = request->tried[i];
  for (int i = 0; i < WORLD_REGIONS; i++)
    {
      steer_choice_t choice;
      refusal_t refusal;
      if (!steer_choose (ours->front[request->front], &wanted, sim->now,
                         &sim->chooser, &choice)
          || sim->now + choice.expected_time > request->deadline)
        return false;
      if (send (sim, request, &choice, &refusal))
        return true;
      if (refusal == REFUSAL_SPEND)
        return false;
      wanted.regions_open &= ~((uint64_t)1 << choice.region);
    }
  return false;
}

void
ours_front (sim_t *sim, request_t *request)
{
  double *tokens = &sim->ours->retry_tokens[request->front][request->service];
  *tokens = fmin (*tokens + retry_part, RETRIES_SAVED);
  if (!try_send (sim, request))
    sim_refuse (sim, request);
}

static gate_t *
gate_of (sim_t *sim, const attempt_t *attempt)
{
  const sim_backend_t *backend = &sim->backends[attempt->backend];
  return &sim->ours->gates[backend->domain][backend->service];
}

/* A server of the gate with a free slot.  */
static uint16_t
choose_server (sim_t *sim, const gate_t *gate, service_id_t service)
{
  const steer_request_t wanted
      = { .service = service, .regions_open = ~(uint64_t)0 };
  steer_choice_t choice;
  uint32_t slots = sim->world.topology.services[service].slots;
  if (steer_choose_in_domain (sim->ours->inner[gate->domain], &wanted,
                              gate->domain, sim->now, &sim->chooser, &choice)
      && sim->backends[choice.slot].running < slots)
    return choice.slot;
  for (uint32_t b = 0; b < WORLD_BACKENDS; b++)
    if (sim->backends[b].service == service
        && sim->backends[b].domain == gate->domain
        && sim->backends[b].running < slots)
      return b;
  assert (false);
  return 0;
}

static void
gate_run (sim_t *sim, gate_t *gate, attempt_t *attempt)
{
  attempt->backend = choose_server (sim, gate, attempt->request->service);
  steer_started (sim->ours->inner[gate->domain], attempt->backend);
  sim_start_run (sim, attempt);
}

static double
gate_load (const gate_t *gate)
{
  return (double)(gate->admit.n_running + gate->admit.fair.n_queued)
         / WORLD_PER_BIN;
}

static void
gate_reply (sim_t *sim, const gate_t *gate, attempt_t *attempt, reply_t reply)
{
  attempt->peer_load = gate_load (gate);
  sim_reply (sim, attempt, reply);
}

static void
gate_pump (sim_t *sim, gate_t *gate)
{
  refusal_t refusal;
  admit_item_t *item;
  while ((item = admit_next (&gate->admit, sim->now)))
    gate_run (sim, gate, (attempt_t *)item);
  while ((item = admit_expired (&gate->admit, sim->now, &refusal)))
    gate_reply (sim, gate, (attempt_t *)item, REPLY_REFUSED);
}

void
ours_backend (sim_t *sim, attempt_t *attempt)
{
  const request_t *request = attempt->request;
  gate_t *gate = gate_of (sim, attempt);
  const topology_t *topology = &sim->world.topology;
  admit_item_t *item = &attempt->item;
  item->fair.tenant = request->tenant;
  item->budgets.capacity = &sim->ours->capacity_holder[gate->owner];
  item->deadline = request->deadline;
  item->return_time = topology->client_delay
                      + topology_delay (topology, gate->domain,
                                        sim_front_domain (sim, request));
  item->weight = topology->services[request->service].weight;
  refusal_t refusal;
  admit_item_t *displaced;
  switch (admit_offer (&gate->admit, item, sim->now, &refusal, &displaced))
    {
    case ADMIT_RUN:
      gate_run (sim, gate, attempt);
      break;
    case ADMIT_QUEUE:
      break;
    case ADMIT_REFUSE:
      gate_reply (sim, gate, attempt, REPLY_REFUSED);
      break;
    }
  if (displaced)
    gate_reply (sim, gate, (attempt_t *)displaced, REPLY_REFUSED);
}

void
ours_run_end (sim_t *sim, attempt_t *attempt)
{
  gate_t *gate = gate_of (sim, attempt);
  run_outcome_t outcome
      = attempt->reply == REPLY_ANSWERED ? OUTCOME_ANSWERED : OUTCOME_FAILED;
  admit_end (&gate->admit, &attempt->item, attempt->ran);
  steer_finished (sim->ours->inner[gate->domain], attempt->backend,
                  attempt->backend, outcome, attempt->ran, sim->now);
  attempt->peer_load = gate_load (gate);
  gate_pump (sim, gate);
}

static void
close_attempt (sim_t *sim, attempt_t *attempt, run_outcome_t outcome,
               usec_t latency)
{
  steer_t *steer = sim->ours->front[attempt->request->front];
  attempt->closed = true;
  reservation_end (&attempt->front_reservation, outcome != OUTCOME_REFUSED);
  steer_finished (steer, attempt->slot, attempt->backend, outcome, latency,
                  sim->now);
}

static bool
may_retry (sim_t *sim, const request_t *request)
{
  double *tokens = &sim->ours->retry_tokens[request->front][request->service];
  if (request->service == WORLD_ONCE_SERVICE || *tokens < 1
      || request->n_attempts >= SIM_ATTEMPTS_MAX)
    return false;
  *tokens -= 1;
  return true;
}

void
ours_reply (sim_t *sim, attempt_t *attempt)
{
  request_t *request = attempt->request;
  static const run_outcome_t outcomes[]
      = { OUTCOME_ANSWERED, OUTCOME_FAILED, OUTCOME_REFUSED };
  if (!attempt->closed)
    {
      hint_t hint = { .load = attempt->peer_load,
                      .healthy = true,
                      .measured_at = sim->now };
      backend_slot_t first = attempt->slot - attempt->slot % WORLD_PER_BIN;
      for (uint32_t i = 0; i < WORLD_PER_BIN; i++)
        steer_report_slot (sim->ours->front[request->front], first + i,
                           HINT_PEER, &hint);
      close_attempt (sim, attempt, outcomes[attempt->reply], attempt->ran);
    }
  if (request->done)
    return;
  switch (attempt->reply)
    {
    case REPLY_ANSWERED:
      sim_finish (sim, request, true);
      break;
    case REPLY_FAILED:
      if (!may_retry (sim, request) || !try_send (sim, request))
        sim_finish (sim, request, false);
      break;
    case REPLY_REFUSED:
      request->domains_refused |= (uint64_t)1
                                  << sim->backends[attempt->slot].domain;
      if (request->n_attempts < SIM_ATTEMPTS_MAX && try_send (sim, request))
        break;
      /* "Not run" is only said where no attempt may have run.  */
      if (request->n_unknown == 0)
        sim_refuse (sim, request);
      break;
    }
}

void
ours_timeout (sim_t *sim, attempt_t *attempt)
{
  if (attempt->closed)
    return;
  request_t *request = attempt->request;
  close_attempt (sim, attempt, OUTCOME_TIMED_OUT, sim->now - attempt->sent_at);
  request->n_unknown++;
  if (!request->done && sim->now < request->deadline
      && may_retry (sim, request))
    try_send (sim, request);
}
