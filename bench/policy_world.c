#include "policy_world.h"

#include <stdio.h>
#include <stdlib.h>

#include "placement/topology.h"

const scenario_t world_scenarios[] = {
  { "load 50%", 0.50, FAULT_NONE },
  { "load 80%", 0.80, FAULT_NONE },
  { "load 95%", 0.95, FAULT_NONE },
  { "load 120%", 1.20, FAULT_NONE },
  { "load 150%", 1.50, FAULT_NONE },
  { "failure domain lost, 70%", 0.70, FAULT_DOMAIN_LOST },
  { "region lost, 55%", 0.55, FAULT_REGION_LOST },
  { "region cut off, 70%", 0.70, FAULT_REGION_CUT },
  { "drain of a domain, 70%", 0.70, FAULT_DRAIN },
  { "share moved, cold, 60%", 0.60, FAULT_SHARE_MOVED },
  { "reports stopped, 80%", 0.80, FAULT_REPORTS_STOPPED },
  { "reports lie, 70%", 0.70, FAULT_REPORTS_LIE },
  { "slow backend server, 70%", 0.70, FAULT_SLOW_BACKEND },
  { "flash crowd, 55%", 0.55, FAULT_FLASH_CROWD },
  { "tenant burst, 60%", 0.60, FAULT_TENANT_BURST },
  { "tight cap, 80%", 0.80, FAULT_TIGHT_CAP },
};

const size_t world_n_scenarios
    = sizeof world_scenarios / sizeof world_scenarios[0];

typedef struct service_plan
{
  const char *name;
  uint16_t weight;
  uint16_t slots;
  usec_t mean;
  usec_t deadline;
  uint32_t answer_bytes;
} service_plan_t;

typedef struct plan
{
  const char *name;
  const char *regions[WORLD_REGIONS];
  service_plan_t services[WORLD_SERVICES];
  usec_t domain_delay;
  usec_t client_delay;
  uint64_t link_bytes;
  objective_t objective;
} plan_t;

static const plan_t plans[] = {
  { .name = "consortium",
    .regions = { "sapporo", "asahikawa", "hakodate" },
    .services = { { "queueboard", 4, 3, 20000, 200000, 4000 },
                  { "dedicate", 4, 3, 40000, 500000, 1000 },
                  { "songfind", 3, 3, 60000, 400000, 20000 },
                  { "chartroom", 1, 3, 30000, 500000, 8000 } },
    .domain_delay = 500,
    .client_delay = 8000,
    .link_bytes = 500000000,
    .objective = { .latency = 1.0, .headroom = 0.3 } },
  { .name = "cooperative",
    .regions = { "zapad", "stred", "vychod" },
    .services = { { "kalendar", 3, 3, 20000, 300000, 20000 },
                  { "rezervacie", 4, 3, 40000, 500000, 4000 },
                  { "planovac", 2, 4, 50000, 400000, 30000 },
                  { "galeria", 1, 3, 60000, 600000, 300000 } },
    .domain_delay = 1000,
    .client_delay = 1000,
    .link_bytes = 35000000,
    .objective = { .latency = 0.5, .headroom = 1.0 } },
};

enum
{
  REGION_DELAY = 20000,
  CAPACITY_PERCENT = 125, /* of the slots of a region */
  CONNECTIONS = 330,
  PRICE_BASE = 90000, /* for 1,000 requests */
  PRICE_STEP = 5000,  /* dearer from region to region */
  PORT = 8000,
};

static void
name_format (name_t *name, const char *a, const char *b, size_t number)
{
  snprintf (name->text, sizeof name->text, "%s%s%zu", a, b, number);
}

static void
topology_open (topology_t *topology, const plan_t *plan)
{
  *topology = (topology_t){ .n_regions = WORLD_REGIONS,
                            .n_domains = WORLD_DOMAINS,
                            .n_vms = WORLD_VMS,
                            .n_services = WORLD_SERVICES,
                            .domain_delay = plan->domain_delay,
                            .client_delay = plan->client_delay,
                            .objective = plan->objective };
  topology->regions = calloc (WORLD_REGIONS, sizeof (region_t));
  topology->domains = calloc (WORLD_DOMAINS, sizeof (failure_domain_t));
  topology->vms = calloc (WORLD_VMS, sizeof (vm_t));
  topology->services = calloc (WORLD_SERVICES, sizeof (service_t));
  topology->links = calloc (WORLD_LINKS, sizeof (link_t));
  for (size_t r = 0; r < WORLD_REGIONS; r++)
    name_format (&topology->regions[r].name, plan->regions[r], "", 0);
  for (size_t d = 0; d < WORLD_DOMAINS; d++)
    topology->domains[d].region = (region_id_t)(d / 2);
  /* Three VMs a region: two in its first domain, one in its second.  */
  for (size_t v = 0; v < WORLD_VMS; v++)
    topology->vms[v].domain = (domain_id_t)(v / 3 * 2 + v % 3 / 2);
  for (uint32_t from = 0; from < WORLD_REGIONS; from++)
    for (uint32_t to = 0; to < WORLD_REGIONS; to++)
      if (from != to)
        topology->links[topology->n_links++]
            = (link_t){ .from = from,
                        .to = to,
                        .bytes_per_second = plan->link_bytes,
                        .delay = REGION_DELAY };
}

static void
services_open (world_t *world, const plan_t *plan)
{
  for (size_t s = 0; s < WORLD_SERVICES; s++)
    {
      const service_plan_t *from = &plan->services[s];
      service_t *service = &world->topology.services[s];
      name_format (&service->name, from->name, "", 0);
      service->weight = from->weight;
      service->slots = from->slots;
      service->connections = CONNECTIONS;
      service->deadline = from->deadline;
      service->answer_bytes = from->answer_bytes;
      world->service_time[s] = (double)from->mean;
      for (size_t r = 0; r < WORLD_REGIONS; r++)
        world->topology.regions[r].capacity += from->slots * WORLD_PER_BIN
                                               * WORLD_DOMAINS / WORLD_REGIONS
                                               * CAPACITY_PERCENT / 100;
    }
}

static void
backends_open (sheet_t *sheet)
{
  sheet->backends = calloc (WORLD_BACKENDS, sizeof (backend_t));
  for (size_t s = 0; s < WORLD_SERVICES; s++)
    for (size_t d = 0; d < WORLD_DOMAINS; d++)
      for (size_t i = 0; i < WORLD_PER_BIN; i++)
        {
          backend_t *backend = &sheet->backends[sheet->n_backends];
          name_format (&backend->name, "backend", "-", sheet->n_backends);
          backend->service = (service_id_t)s;
          backend->domain = (domain_id_t)d;
          backend->port = PORT;
          sheet->n_backends++;
        }
}

void
world_set_shares (world_t *world, const uint32_t *percent)
{
  sheet_t *sheet = &world->sheet;
  for (size_t s = 0; s < WORLD_SERVICES; s++)
    for (size_t r = 0; r < WORLD_REGIONS; r++)
      sheet->shares[s * WORLD_REGIONS + r]
          = (traffic_share_t){ .service = (service_id_t)s,
                               .region = (region_id_t)r,
                               .percent = percent[r] };
  sheet->n_shares = (size_t)WORLD_SERVICES * WORLD_REGIONS;
  sheet->number++;
}

void
world_open (world_t *world, organisation_t organisation)
{
  static const uint32_t percent[] = { 38, 33, 29 };
  const plan_t *plan = &plans[organisation];
  *world = (world_t){ .demand = { 0.38, 0.33, 0.29 } };
  topology_open (&world->topology, plan);
  services_open (world, plan);
  sheet_t *sheet = &world->sheet;
  backends_open (sheet);
  size_t n = (size_t)WORLD_SERVICES * WORLD_REGIONS;
  sheet->shares = calloc (n, sizeof (traffic_share_t));
  sheet->prices = calloc (n, sizeof (price_t));
  for (size_t i = 0; i < n; i++)
    sheet->prices[sheet->n_prices++] = (price_t){
      .service = (service_id_t)(i / WORLD_REGIONS),
      .region = (region_id_t)(i % WORLD_REGIONS),
      .per_thousand = PRICE_BASE + (money_t)(i % WORLD_REGIONS) * PRICE_STEP,
    };
  world_set_shares (world, percent);
}

void
world_close (world_t *world)
{
  topology_free (&world->topology);
  free (world->sheet.backends);
  free (world->sheet.shares);
  free (world->sheet.prices);
}

double
world_capacity (const world_t *world, service_id_t service)
{
  double slots = (double)world->topology.services[service].slots
                 * WORLD_DOMAINS * WORLD_PER_BIN;
  return slots * (double)USEC_PER_SEC / world->service_time[service];
}

static uint32_t
first_block (const world_t *world, region_id_t region)
{
  double before = 0;
  for (uint32_t r = 0; r < region; r++)
    before += world->demand[r];
  return region < WORLD_REGIONS ? (uint32_t)(before * WORLD_BLOCKS + 0.5)
                                : WORLD_BLOCKS;
}

region_id_t
world_block_region (const world_t *world, uint32_t block)
{
  region_id_t region = WORLD_REGIONS - 1;
  while (region > 0 && block < first_block (world, region))
    region--;
  return region;
}

uint32_t
world_block (const world_t *world, region_id_t region, random_state_t *random)
{
  uint32_t first = first_block (world, region);
  uint32_t end = first_block (world, region + 1);
  return first + (uint32_t)random_below (random, end - first);
}
