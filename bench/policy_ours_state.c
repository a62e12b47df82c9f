#include "policy_ours.h"

#include <stdlib.h>

#include "placement/topology.h"

enum
{
  CAPACITY_FLOOR_PERCENT = 80,
  FLOOR_PERCENT = 30, /* of a link */
  QUEUE_MAX = 64,
  GRANT_PART = 12,
  GRANT_STEPS = 200, /* of the cost cap, in one step of a holder */
  CAPACITY_STEP = 4,
  ACCOUNTS_MAX = 64,
  RATE_BURST = 100000,
  LINK_PERCENT = 90, /* of a link that may be granted; the rest is burst */
};

static const lease_terms_t terms = { .duration = 3 * USEC_PER_SEC,
                                     .margin = 500 * USEC_PER_MSEC,
                                     .drift_ppm = 1000 };

static escrow_t *
granter (budget_kind_t kind, int64_t cap, int64_t reserved, int64_t part)
{
  escrow_options_t options = { .kind = kind,
                               .cap = cap,
                               .reserved = reserved,
                               .grant_divisor = part,
                               .n_accounts = ACCOUNTS_MAX,
                               .terms = terms };
  return escrow_new (&options, NULL);
}

static int64_t
link_cap (const link_t *link)
{
  return (int64_t)link->bytes_per_second * LINK_PERCENT / 100;
}

/* The VM of DOMAIN that admits to SERVICE: its first, or its second for odd
   services where it has two.  */
static vm_id_t
gate_owner (domain_id_t domain, service_id_t service)
{
  return (vm_id_t)(domain / 2 * 3 + (domain % 2 ? 2 : service % 2));
}

/* Slots of the services that V admits to.  */
static int64_t
vm_slots (const sim_t *sim, vm_id_t v)
{
  const topology_t *topology = &sim->world.topology;
  int64_t slots = 0;
  for (uint32_t s = 0; s < WORLD_SERVICES; s++)
    if (gate_owner (topology->vms[v].domain, s) == v)
      slots += (int64_t)topology->services[s].slots * WORLD_PER_BIN;
  return slots;
}

static int64_t
region_slots (const sim_t *sim)
{
  int64_t slots = 0;
  for (uint32_t v = 0; v < 3; v++)
    slots += vm_slots (sim, v);
  return slots;
}

void
ours_vm_start (sim_t *sim, vm_id_t v)
{
  ours_t *ours = sim->ours;
  const topology_t *topology = &sim->world.topology;
  ours->generation += 1000;
  escrow_holder_options_t options
      = { .kind = BUDGET_SPEND,
          .self = v,
          .generation = ours->generation,
          .increase_min = sim->world.sheet.cost_cap / GRANT_STEPS,
          .burst = RATE_BURST,
          .terms = terms };
  escrow_holder_init (&ours->spend_holder[v], &options, sim->now);
  region_id_t region = topology_region_of_vm (topology, v);
  options.kind = BUDGET_CAPACITY;
  options.increase_min = CAPACITY_STEP;
  options.floor = escrow_floor (topology->regions[region].capacity,
                                CAPACITY_FLOOR_PERCENT, vm_slots (sim, v),
                                region_slots (sim));
  escrow_holder_init (&ours->capacity_holder[v], &options, sim->now);
  options.kind = BUDGET_RATE;
  for (size_t l = 0; l < WORLD_LINKS; l++)
    {
      const link_t *link = &topology->links[l];
      bool touches = link->from == region || link->to == region;
      options.floor
          = touches ? escrow_floor (link_cap (link), FLOOR_PERCENT, 1, 6) : 0;
      options.increase_min = link_cap (link) / 10;
      escrow_holder_init (&ours->link_holder[v][l], &options, sim->now);
    }
  steer_free (ours->front[v]);
  steer_options_t steer
      = { .topology = topology, .home = topology->vms[v].domain };
  ours->front[v] = steer_new (&steer, NULL);
  steer_update (ours->front[v], &sim->world.sheet, sim->now, NULL);
}

void
ours_domain_start (sim_t *sim, domain_id_t d)
{
  ours_t *ours = sim->ours;
  const topology_t *topology = &sim->world.topology;
  steer_free (ours->inner[d]);
  steer_options_t options = { .topology = topology, .home = d };
  ours->inner[d] = steer_new (&options, NULL);
  steer_update (ours->inner[d], &sim->world.sheet, sim->now, NULL);
  for (uint32_t s = 0; s < WORLD_SERVICES; s++)
    {
      gate_t *gate = &ours->gates[d][s];
      admit_options_t admit
          = { .slots = topology->services[s].slots * WORLD_PER_BIN,
              .service_time = (usec_t)sim->world.service_time[s],
              .weight_max = WEIGHT_MAX,
              .holdback_percent = 0,
              .queue_max = QUEUE_MAX };
      admit_init (&gate->admit, &admit);
      gate->domain = d;
      /* The first VM of the domain, or its second for odd services.  */
      gate->owner = (vm_id_t)(d / 2 * 3 + (d % 2 ? 2 : s % 2));
    }
}

void
ours_tables_build (sim_t *sim, bool moved)
{
  ours_t *ours = sim->ours;
  const sheet_t *sheet = &sim->world.sheet;
  lookup_site_t sites[WORLD_VMS];
  uint32_t share[WORLD_REGIONS] = { 0 };
  bool live[WORLD_DOMAINS] = { 0 };
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    if (sheet->backends[i].state == BACKEND_SERVING)
      live[sheet->backends[i].domain] = true;
  for (uint32_t v = 0; v < WORLD_VMS; v++)
    {
      domain_id_t d = sim->world.topology.vms[v].domain;
      region_id_t region = sim_region (sim, d);
      bool drained = sim->scenario.fault == FAULT_DRAIN;
      sites[v] = (lookup_site_t){
        .vm = v, .region = region, .domain = d, .weight = d % 2 ? 2 : 1
      };
      if (!live[d] && !drained)
        sites[v].weight = 0;
      else
        share[region] = sheet->shares[region].percent;
    }
  lookup_table_options_t options = { .sites = sites,
                                     .n_sites = WORLD_VMS,
                                     .n_regions = WORLD_REGIONS,
                                     .region_share = share,
                                     .block_region = ours->block_region,
                                     .n_blocks = WORLD_BLOCKS };
  lookup_table_free (ours->previous);
  ours->previous = ours->table;
  ours->table = lookup_table_new (&options, NULL);
  ramp_options_t ramp = ramp_defaults ();
  ramp_begin (&ours->move, &ramp, sim->now);
  if (!moved)
    ramp_finish (&ours->move);
}

void
ours_open (sim_t *sim)
{
  ours_t *ours = calloc (1, sizeof *ours);
  const topology_t *topology = &sim->world.topology;
  sim->ours = ours;
  ours->spend
      = granter (BUDGET_SPEND, sim->world.sheet.cost_cap, 0, GRANT_PART);
  for (size_t r = 0; r < WORLD_REGIONS; r++)
    {
      int64_t cap = topology->regions[r].capacity;
      ours->capacity[r] = granter (BUDGET_CAPACITY, cap,
                                   cap * CAPACITY_FLOOR_PERCENT / 100, 1);
    }
  for (size_t l = 0; l < WORLD_LINKS; l++)
    {
      int64_t cap = link_cap (&topology->links[l]);
      ours->link[l] = granter (BUDGET_RATE, cap, cap * FLOOR_PERCENT / 100, 3);
    }
  for (uint32_t b = 0; b < WORLD_BLOCKS; b++)
    ours->block_region[b] = world_block_region (&sim->world, b);
  for (uint32_t v = 0; v < WORLD_VMS; v++)
    ours_vm_start (sim, v);
  for (uint32_t d = 0; d < WORLD_DOMAINS; d++)
    ours_domain_start (sim, d);
  ours_tables_build (sim, false);
}

void
ours_close (sim_t *sim)
{
  ours_t *ours = sim->ours;
  escrow_free (ours->spend);
  for (size_t r = 0; r < WORLD_REGIONS; r++)
    escrow_free (ours->capacity[r]);
  for (size_t l = 0; l < WORLD_LINKS; l++)
    escrow_free (ours->link[l]);
  for (size_t v = 0; v < WORLD_VMS; v++)
    steer_free (ours->front[v]);
  for (size_t d = 0; d < WORLD_DOMAINS; d++)
    steer_free (ours->inner[d]);
  lookup_table_free (ours->table);
  lookup_table_free (ours->previous);
  free (ours);
}
