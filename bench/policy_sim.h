/* policy_sim: a seeded queueing fake of backend servers, links and callers,
   on which bench-policy runs the decisions of the entry VMs or a baseline.
   It makes no decision itself.  */

#ifndef BENCH_POLICY_SIM_H
#define BENCH_POLICY_SIM_H

#include "admission/admit.h"
#include "base/random.h"
#include "placement/lookup_table.h"
#include "placement/steer.h"
#include "policy_world.h"

enum
{
  SIM_ATTEMPTS_MAX = 3,
  SIM_LATENCIES_MAX = 1 << 18,
  SIM_TICK = 100000,
  SIM_END = 20000000,
  SIM_FAULT_AT = 6000000,
  SIM_FAULT_END = 14000000,
  SIM_LIST_LAG = 3000000, /* of the platform's list of live VMs */
  SIM_CONNECT_TIMEOUT = 100000,
  SIM_REQUEST_BYTES = 1000,
  SIM_CONTROL_DOMAIN = 2,
  SIM_DRAINED_DOMAIN = 1,
};

typedef enum
{
  POLICY_OURS,
  POLICY_NEAREST,
  POLICY_ROUND_ROBIN,
  POLICY_LEAST_CONNECTIONS,
  POLICY_COUNT,
} policy_t;

typedef enum
{
  REPLY_ANSWERED,
  REPLY_FAILED,
  REPLY_REFUSED, /* not run */
} reply_t;

typedef struct request
{
  service_id_t service;
  region_id_t origin;
  tenant_id_t tenant;
  vm_id_t front;
  uint8_t n_attempts;
  uint8_t n_fronts;
  bool done;
  usec_t arrived_at;
  usec_t front_at;
  usec_t deadline;
  lookup_answer_t fronts;
  backend_slot_t tried[SIM_ATTEMPTS_MAX];
  uint64_t domains_refused;
  uint8_t n_unknown; /* attempts that were given up and may have run */
} request_t;

typedef struct attempt
{
  admit_item_t item; /* at the gate */
  request_t *request;
  reservation_t front_reservation;
  backend_slot_t slot; /* in the front's table */
  uint16_t backend;    /* index in the sheet; the gate may change it */
  uint32_t epoch;      /* of the backend's domain */
  usec_t sent_at;
  usec_t run_at;
  usec_t ran;
  double peer_load; /* told with the reply */
  reply_t reply;
  bool closed; /* by the front */
  list_t link; /* in a baseline's queue at the backend server */
} attempt_t;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_FRONT,
  EVENT_BACKEND,
  EVENT_RUN_END,
  EVENT_REPLY,
  EVENT_ATTEMPT_TIMEOUT,
  EVENT_ANSWER,
  EVENT_TICK,
} event_kind_t;

typedef struct grant_answer
{
  escrow_holder_t *holder;
  escrow_answer_t answer;
} grant_answer_t;

typedef struct event
{
  usec_t at;
  uint64_t order;
  event_kind_t kind;
  void *subject;
  uint32_t number;
} event_t;

typedef struct sim_backend
{
  service_id_t service;
  domain_id_t domain;
  uint32_t running;
  uint32_t queued;
  list_t queue;
  double slow;
  bool failing;
  double seen[WORLD_REGIONS]; /* requests served, by origin */
} sim_backend_t;

typedef struct sim_result
{
  double weight_all;
  double weight_in_time;
  double weight_others; /* tenants that do not burst */
  double weight_others_in_time;
  uint64_t n_all;
  uint64_t n_in_time;
  uint64_t n_bad; /* late, failed or lost */
  uint64_t n_refused;
  uint64_t n_cut;      /* runs that a planned stop cut */
  double work_in_time; /* usec of slots */
  double headroom_sum;
  uint64_t n_headroom;
  uint64_t region_overload; /* ticks in which a region was over capacity */
  uint64_t link_overload;   /* ticks with a backlog over its bound */
  money_t spent;
  money_t cap;
  usec_t drain_time;
  uint64_t n_moves;
  uint32_t *latencies;
  size_t n_latencies;
  uint32_t *refusals;
  size_t n_refusals;
} sim_result_t;

typedef struct ours ours_t;
typedef struct baseline baseline_t;

typedef struct sim
{
  world_t world;
  scenario_t scenario;
  policy_t policy;
  random_state_t random;  /* arrivals and service times */
  random_state_t chooser; /* the policy's own */
  usec_t now;
  event_t *heap;
  size_t n_heap;
  size_t heap_room;
  uint64_t order;
  sim_backend_t backends[WORLD_BACKENDS];
  usec_t link_free_at[WORLD_LINKS];
  double link_bytes[WORLD_LINKS]; /* in this second */
  double busy[WORLD_REGIONS];     /* of its ticks, summed */
  bool dead[WORLD_DOMAINS];
  uint32_t epoch[WORLD_DOMAINS];
  region_id_t cut; /* TOPOLOGY_NONE: none */
  double rate[WORLD_REGIONS];
  double tenant_rate; /* of the bursting tenant */
  void **blocks;      /* requests and attempts, freed at the end */
  size_t n_blocks;
  uint32_t region_use[WORLD_VMS][WORLD_SERVICES][WORLD_REGIONS];
  region_id_t region_main[WORLD_VMS][WORLD_SERVICES];
  usec_t last_run_end; /* in the drained domain */
  ours_t *ours;
  baseline_t *baseline;
  sim_result_t result;
} sim_t;

sim_result_t sim_run (organisation_t organisation, const scenario_t *scenario,
                      policy_t policy, uint64_t seed);

/* For the policies.  */
void *sim_allocate (sim_t *sim, size_t size);
void sim_at (sim_t *sim, usec_t at, event_kind_t kind, void *subject,
             uint32_t number);
/* Send BYTES from domain to domain; the event is lost where a cut or a dead
   domain is between them.  */
void sim_send (sim_t *sim, domain_id_t from, domain_id_t to, uint32_t bytes,
               event_kind_t kind, void *subject);
bool sim_reachable (const sim_t *sim, domain_id_t a, domain_id_t b);
void sim_start_run (sim_t *sim, attempt_t *attempt);
attempt_t *sim_attempt (sim_t *sim, request_t *request, uint16_t backend);
void sim_reply (sim_t *sim, attempt_t *attempt, reply_t reply);
void sim_finish (sim_t *sim, request_t *request, bool whole);
void sim_refuse (sim_t *sim, request_t *request);
domain_id_t sim_front_domain (const sim_t *sim, const request_t *request);
region_id_t sim_region (const sim_t *sim, domain_id_t domain);
link_t *sim_link (sim_t *sim, region_id_t from, region_id_t to);

/* The scenario's fault, at its times; and the cap that a sheet for its load
   would carry: for an hour, of which the bench is a part, or for just the
   bench where the cap is tight.  */
void faults_tick (sim_t *sim);
money_t faults_cost_cap (sim_t *sim);

/* The entry VMs' own decisions.  */
void ours_open (sim_t *sim);
void ours_close (sim_t *sim);
void ours_sheet (sim_t *sim); /* the sheet or the list of VMs changed */
void ours_tick (sim_t *sim);
lookup_answer_t ours_lookup (sim_t *sim, uint32_t block);
void ours_front (sim_t *sim, request_t *request);
void ours_backend (sim_t *sim, attempt_t *attempt);
void ours_run_end (sim_t *sim, attempt_t *attempt);
void ours_reply (sim_t *sim, attempt_t *attempt);
void ours_timeout (sim_t *sim, attempt_t *attempt);
void ours_answer (sim_t *sim, grant_answer_t *grant);

/* What the users would do by hand.  */
void baseline_open (sim_t *sim);
void baseline_close (sim_t *sim);
void baseline_sheet (sim_t *sim);
lookup_answer_t baseline_lookup (sim_t *sim, region_id_t origin);
void baseline_front (sim_t *sim, request_t *request);
void baseline_backend (sim_t *sim, attempt_t *attempt);
void baseline_run_end (sim_t *sim, attempt_t *attempt);
void baseline_reply (sim_t *sim, attempt_t *attempt);
void baseline_timeout (sim_t *sim, attempt_t *attempt);

#endif
