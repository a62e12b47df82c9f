#include "policy_sim.h"

#include <math.h>
#include <string.h>

#include "shift/cost.h"

enum
{
  LOST_DOMAIN = 0,
  LOST_REGION = 0,
  CUT_REGION = 2,
  SHIFT_SECONDS = 3600,
};

static const double slow_factor = 10;
static const double flash_factor = 2.5;
static const double burst_factor = 1.2; /* extra, of all requests */
static const double cap_margin = 1.10;
static const double tight_cap = 0.6;

static void
set_domain (sim_t *sim, domain_id_t domain, bool dead)
{
  sim->dead[domain] = dead;
  sim->epoch[domain]++;
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    {
      sim_backend_t *backend = &sim->backends[i];
      if (backend->domain != domain)
        continue;
      backend->running = 0;
      backend->queued = 0;
      list_init (&backend->queue);
      memset (backend->seen, 0, sizeof backend->seen);
    }
}

static uint32_t
domain_running (const sim_t *sim, domain_id_t domain)
{
  uint32_t running = 0;
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    if (sim->backends[i].domain == domain)
      running += sim->backends[i].running + sim->backends[i].queued;
  return running;
}

static void
set_states (sim_t *sim, domain_id_t domain, backend_state_t state)
{
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    if (sim->world.sheet.backends[i].domain == domain)
      sim->world.sheet.backends[i].state = state;
}

static void
sheet_changed (sim_t *sim)
{
  if (sim->policy == POLICY_OURS)
    ours_sheet (sim);
  else
    baseline_sheet (sim);
}

static void
lose (sim_t *sim, domain_id_t first, domain_id_t last, bool dead)
{
  for (uint32_t domain = first; domain <= last; domain++)
    set_domain (sim, domain, dead);
}

/* The platform's list follows a loss after its lag.  */
static void
list_lost (sim_t *sim, domain_id_t first, domain_id_t last, bool dead)
{
  for (uint32_t domain = first; domain <= last; domain++)
    set_states (sim, domain, dead ? BACKEND_LEAVING : BACKEND_SERVING);
  sheet_changed (sim);
}

static void
spoil_backends (sim_t *sim, bool spoilt)
{
  for (size_t s = 0; s < WORLD_SERVICES; s++)
    {
      sim_backend_t *backend
          = &sim->backends[s * WORLD_DOMAINS * WORLD_PER_BIN];
      if (sim->scenario.fault == FAULT_SLOW_BACKEND)
        backend->slow = spoilt ? slow_factor : 1;
      else
        backend->failing = spoilt;
    }
}

static void
move_share (sim_t *sim)
{
  static const uint32_t percent[] = { 20, 45, 35 };
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    if (sim_region (sim, sim->backends[i].domain) != LOST_REGION)
      sim->backends[i].seen[LOST_REGION] = 0;
  world_set_shares (&sim->world, percent);
  sheet_changed (sim);
}

static void
fault_begins (sim_t *sim)
{
  switch (sim->scenario.fault)
    {
    case FAULT_DOMAIN_LOST:
      lose (sim, LOST_DOMAIN, LOST_DOMAIN, true);
      break;
    case FAULT_REGION_LOST:
      lose (sim, LOST_REGION * 2, LOST_REGION * 2 + 1, true);
      break;
    case FAULT_REGION_CUT:
      sim->cut = CUT_REGION;
      break;
    case FAULT_DRAIN:
      set_states (sim, SIM_DRAINED_DOMAIN, BACKEND_LEAVING);
      sheet_changed (sim);
      break;
    case FAULT_SHARE_MOVED:
      move_share (sim);
      break;
    case FAULT_SLOW_BACKEND:
    case FAULT_REPORTS_LIE:
      spoil_backends (sim, true);
      break;
    case FAULT_FLASH_CROWD:
      sim->rate[0] = flash_factor;
      break;
    case FAULT_TENANT_BURST:
      sim->tenant_rate = burst_factor;
      break;
    case FAULT_NONE:
    case FAULT_REPORTS_STOPPED:
    case FAULT_TIGHT_CAP:
      break;
    }
}

static void
fault_ends (sim_t *sim)
{
  sim->cut = TOPOLOGY_NONE;
  sim->rate[0] = 1;
  sim->tenant_rate = 0;
  if (sim->scenario.fault == FAULT_DOMAIN_LOST)
    lose (sim, LOST_DOMAIN, LOST_DOMAIN, false);
  if (sim->scenario.fault == FAULT_REGION_LOST)
    lose (sim, LOST_REGION * 2, LOST_REGION * 2 + 1, false);
  if (sim->scenario.fault == FAULT_DRAIN)
    {
      sim->result.drain_time = sim->last_run_end - SIM_FAULT_AT;
      sim->result.n_cut = domain_running (sim, SIM_DRAINED_DOMAIN);
    }
  spoil_backends (sim, false);
}

static void
list_follows (sim_t *sim, bool dead)
{
  if (sim->scenario.fault == FAULT_DOMAIN_LOST)
    list_lost (sim, LOST_DOMAIN, LOST_DOMAIN, dead);
  if (sim->scenario.fault == FAULT_REGION_LOST)
    list_lost (sim, LOST_REGION * 2, LOST_REGION * 2 + 1, dead);
}

void
faults_tick (sim_t *sim)
{
  if (sim->now == SIM_FAULT_AT)
    fault_begins (sim);
  if (sim->now == SIM_FAULT_END)
    fault_ends (sim);
  if (sim->now == SIM_FAULT_AT + SIM_LIST_LAG)
    list_follows (sim, true);
  if (sim->now == SIM_FAULT_END + SIM_LIST_LAG)
    list_follows (sim, false);
}

/* Requests expected by the planner, against the plain load.  */
static double
expected_factor (const sim_t *sim)
{
  double span = (double)(SIM_FAULT_END - SIM_FAULT_AT) / SIM_END;
  if (sim->scenario.fault == FAULT_FLASH_CROWD)
    return 1 + (flash_factor - 1) * sim->world.demand[0] * span;
  if (sim->scenario.fault == FAULT_TENANT_BURST)
    return 1 + burst_factor * span;
  return 1;
}

/* The cap that a sheet for this load would carry: for an hour, of which the
   bench is a part, or for just the bench where the cap is tight.  */
money_t
faults_cost_cap (sim_t *sim)
{
  double load = fmin (1, sim->scenario.load * expected_factor (sim));
  double requests = 0;
  for (uint32_t s = 0; s < WORLD_SERVICES; s++)
    requests += world_capacity (&sim->world, s) * load;
  bool tight = sim->scenario.fault == FAULT_TIGHT_CAP;
  double shift = tight ? (double)SIM_END / USEC_PER_SEC : SHIFT_SECONDS;
  sim->world.sheet.expected_requests = (uint64_t)(requests * shift);
  cost_t cost;
  cost_of_sheet (&cost, &sim->world.sheet, &sim->world.topology, NULL, NULL);
  double part
      = sim->scenario.fault == FAULT_TIGHT_CAP ? tight_cap : cap_margin;
  money_t cap = (money_t)((double)cost.expected * part);
  cost_free (&cost);
  return cap;
}
