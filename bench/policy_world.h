/* policy_world: the two organisations with the brief's places, services and
   sizes, and the scenarios that bench-policy runs.  */

#ifndef BENCH_POLICY_WORLD_H
#define BENCH_POLICY_WORLD_H

#include "base/random.h"
#include "shift/sheet_defs.h"

enum
{
  WORLD_REGIONS = 3,
  WORLD_DOMAINS = 6,
  WORLD_VMS = 9,
  WORLD_SERVICES = 4,
  WORLD_PER_BIN = 2, /* backend servers of a service in one domain */
  WORLD_BACKENDS = WORLD_SERVICES * WORLD_DOMAINS * WORLD_PER_BIN,
  WORLD_LINKS = 6,
  WORLD_TENANTS = 4,
  WORLD_BLOCKS = 3000,
  WORLD_ONCE_SERVICE = 1, /* not idempotent: never tried twice */
};

typedef enum
{
  ORGANISATION_CONSORTIUM,
  ORGANISATION_COOPERATIVE,
} organisation_t;

typedef enum
{
  FAULT_NONE,
  FAULT_DOMAIN_LOST,
  FAULT_REGION_LOST,
  FAULT_REGION_CUT,
  FAULT_DRAIN,
  FAULT_SHARE_MOVED,
  FAULT_REPORTS_STOPPED,
  FAULT_REPORTS_LIE,
  FAULT_SLOW_BACKEND,
  FAULT_FLASH_CROWD,
  FAULT_TENANT_BURST,
  FAULT_TIGHT_CAP,
} fault_t;

typedef struct scenario
{
  const char *name;
  double load; /* of all slots */
  fault_t fault;
} scenario_t;

extern const scenario_t world_scenarios[];
extern const size_t world_n_scenarios;

typedef struct world
{
  topology_t topology;
  double service_time[WORLD_SERVICES]; /* mean, usec */
  double demand[WORLD_REGIONS];        /* part of all requests */
  sheet_t sheet;
} world_t;

void world_open (world_t *world, organisation_t organisation);

void world_close (world_t *world);

/* Requests a second of SERVICE that all its slots carry.  */
double world_capacity (const world_t *world, service_id_t service);

/* The region of a block of clients, and a random block of a region.  */
region_id_t world_block_region (const world_t *world, uint32_t block);
uint32_t world_block (const world_t *world, region_id_t region,
                      random_state_t *random);

/* Give SERVICE's shares of all services, in percent.  */
void world_set_shares (world_t *world, const uint32_t *percent);

#endif
