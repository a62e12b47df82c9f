/* policy_ours: the state of our entry VMs in the fake.  */

#ifndef BENCH_POLICY_OURS_H
#define BENCH_POLICY_OURS_H

#include "policy_sim.h"

enum
{
  WEIGHT_MAX = 4,
};

typedef struct gate
{
  admit_t admit;
  domain_id_t domain;
  vm_id_t owner; /* the VM that admits here */
} gate_t;

struct ours
{
  escrow_t *spend;
  escrow_t *capacity[WORLD_REGIONS];
  escrow_t *link[WORLD_LINKS];
  escrow_holder_t spend_holder[WORLD_VMS];
  escrow_holder_t capacity_holder[WORLD_VMS];
  escrow_holder_t link_holder[WORLD_VMS][WORLD_LINKS];
  uint64_t generation;
  steer_t *front[WORLD_VMS];
  steer_t *inner[WORLD_DOMAINS]; /* of the VM that admits in the domain */
  gate_t gates[WORLD_DOMAINS][WORLD_SERVICES];
  lookup_table_t *table;
  lookup_table_t *previous;
  ramp_t move;
  double retry_tokens[WORLD_VMS][WORLD_SERVICES];
  region_id_t block_region[WORLD_BLOCKS];
};

/* A VM starts, or starts again with nothing in memory.  */
void ours_vm_start (sim_t *sim, vm_id_t v);

/* The gates of a failure domain start.  */
void ours_domain_start (sim_t *sim, domain_id_t d);

/* Build the look-up table; callers go over in a ramp where MOVED.  */
void ours_tables_build (sim_t *sim, bool moved);

#endif
