#include "policy_sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "placement/topology.h"
#include "shift/cost.h"

enum
{
  STREAMS = WORLD_SERVICES * WORLD_REGIONS,
  COUNT_FROM = 1000000, /* requests before this only warm up */
  TICKS_A_SECOND = 10,
  LINK_BACKLOG_MAX = 50000,
  REFUSAL_BYTES = 200,
  WARM_OWN = 1000,
  WARM_OTHER = 300,
  WARM_SCALE = 100, /* requests that warm a cache for an origin by 1 - 1/e */
  MOVES_MIN_USE = 20,
  MOVE_FACTOR = 2, /* another region gets twice what the main one did */
  FAILING_RUN = 1000,
};

static const double cold_factor = 3; /* a miss in a cold cache */
void *
sim_allocate (sim_t *sim, size_t size)
{
  void *block = calloc (1, size);
  if ((sim->n_blocks & (sim->n_blocks + 1)) == 0)
    sim->blocks
        = realloc (sim->blocks, (sim->n_blocks * 2 + 2) * sizeof *sim->blocks);
  sim->blocks[sim->n_blocks++] = block;
  return block;
}

static bool
event_before (const event_t *a, const event_t *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

void
sim_at (sim_t *sim, usec_t at, event_kind_t kind, void *subject,
        uint32_t number)
{
  if (sim->n_heap == sim->heap_room)
    {
      sim->heap_room = sim->heap_room * 2 + 1024;
      sim->heap = realloc (sim->heap, sim->heap_room * sizeof *sim->heap);
    }
  event_t event = { .at = at,
                    .order = sim->order++,
                    .kind = kind,
                    .subject = subject,
                    .number = number };
  size_t i = sim->n_heap++;
  for (; i > 0 && event_before (&event, &sim->heap[(i - 1) / 2]);
       i = (i - 1) / 2)
    sim->heap[i] = sim->heap[(i - 1) / 2];
  sim->heap[i] = event;
}

static event_t
heap_pop (sim_t *sim)
{
  event_t top = sim->heap[0];
  event_t last = sim->heap[--sim->n_heap];
  size_t i = 0;
  for (size_t child = 1; child < sim->n_heap; child = 2 * i + 1)
    {
      if (child + 1 < sim->n_heap
          && event_before (&sim->heap[child + 1], &sim->heap[child]))
        child++;
      if (!event_before (&sim->heap[child], &last))
        break;
      sim->heap[i] = sim->heap[child];
      i = child;
    }
  sim->heap[i] = last;
  return top;
}

region_id_t
sim_region (const sim_t *sim, domain_id_t domain)
{
  return sim->world.topology.domains[domain].region;
}

domain_id_t
sim_front_domain (const sim_t *sim, const request_t *request)
{
  return sim->world.topology.vms[request->front].domain;
}

static bool
regions_cut (const sim_t *sim, region_id_t a, region_id_t b)
{
  return (a == sim->cut) != (b == sim->cut);
}

bool
sim_reachable (const sim_t *sim, domain_id_t a, domain_id_t b)
{
  return !sim->dead[a] && !sim->dead[b]
         && !regions_cut (sim, sim_region (sim, a), sim_region (sim, b));
}

link_t *
sim_link (sim_t *sim, region_id_t from, region_id_t to)
{
  for (size_t i = 0; i < WORLD_LINKS; i++)
    if (sim->world.topology.links[i].from == from
        && sim->world.topology.links[i].to == to)
      return &sim->world.topology.links[i];
  return NULL;
}

void
sim_send (sim_t *sim, domain_id_t from, domain_id_t to, uint32_t bytes,
          event_kind_t kind, void *subject)
{
  if (!sim_reachable (sim, from, to))
    return;
  usec_t leaves = sim->now;
  link_t *link = sim_link (sim, sim_region (sim, from), sim_region (sim, to));
  if (link)
    {
      size_t i = (size_t)(link - sim->world.topology.links);
      if (sim->link_free_at[i] > leaves)
        leaves = sim->link_free_at[i];
      leaves += (usec_t)((double)bytes * (double)USEC_PER_SEC
                         / (double)link->bytes_per_second);
      sim->link_free_at[i] = leaves;
      sim->link_bytes[i] += bytes;
    }
  sim_at (sim, leaves + topology_delay (&sim->world.topology, from, to), kind,
          subject, 0);
}

attempt_t *
sim_attempt (sim_t *sim, request_t *request, uint16_t backend)
{
  attempt_t *attempt = sim_allocate (sim, sizeof *attempt);
  attempt->request = request;
  attempt->backend = backend;
  attempt->slot = backend;
  attempt->sent_at = sim->now;
  list_init (&attempt->link);
  request->tried[request->n_attempts++] = backend;
  region_id_t region = sim_region (sim, sim->backends[backend].domain);
  sim->region_use[request->front][request->service][region]++;
  return attempt;
}

static usec_t
run_time (sim_t *sim, sim_backend_t *backend, const request_t *request)
{
  if (backend->failing)
    return FAILING_RUN;
  double mean = sim->world.service_time[backend->service] * backend->slow;
  double span = mean * 0.5 + random_exponential (&sim->random, mean * 0.5);
  double miss = exp (-backend->seen[request->origin] / WARM_SCALE);
  if (random_unit (&sim->random) < miss)
    span *= cold_factor;
  return (usec_t)span + 1;
}

void
sim_start_run (sim_t *sim, attempt_t *attempt)
{
  sim_backend_t *backend = &sim->backends[attempt->backend];
  attempt->run_at = sim->now;
  attempt->epoch = sim->epoch[backend->domain];
  backend->running++;
  money_t price = 0;
  cost_of_request (&sim->world.sheet, backend->service,
                   sim_region (sim, backend->domain), &price);
  sim->result.spent += price;
  sim_at (sim, sim->now + run_time (sim, backend, attempt->request),
          EVENT_RUN_END, attempt, 0);
}

void
sim_reply (sim_t *sim, attempt_t *attempt, reply_t reply)
{
  const sim_backend_t *backend = &sim->backends[attempt->backend];
  attempt->reply = reply;
  uint32_t bytes
      = reply == REPLY_ANSWERED
            ? sim->world.topology.services[backend->service].answer_bytes
            : REFUSAL_BYTES;
  sim_send (sim, backend->domain, sim_front_domain (sim, attempt->request),
            bytes, EVENT_REPLY, attempt);
}

static usec_t
client_delay (const sim_t *sim, const request_t *request)
{
  const topology_t *topology = &sim->world.topology;
  region_id_t region = sim_region (sim, sim_front_domain (sim, request));
  usec_t delay = topology->client_delay;
  const link_t *link = topology_link (topology, request->origin, region);
  return link ? delay + link->delay : delay;
}

static void
keep_sample (uint32_t *samples, size_t *n, usec_t value)
{
  if (*n < SIM_LATENCIES_MAX)
    samples[(*n)++] = (uint32_t)value;
}

void
sim_finish (sim_t *sim, request_t *request, bool whole)
{
  if (request->done)
    return;
  request->done = true;
  usec_t back_at = sim->now + client_delay (sim, request);
  if (!whole || request->arrived_at < COUNT_FROM)
    return;
  sim_result_t *result = &sim->result;
  keep_sample (result->latencies, &result->n_latencies,
               back_at - request->arrived_at);
  if (back_at > request->deadline)
    return;
  double weight = sim->world.topology.services[request->service].weight;
  result->n_in_time++;
  result->weight_in_time += weight;
  if (request->tenant != 0)
    result->weight_others_in_time += weight;
  result->work_in_time += sim->world.service_time[request->service];
}

void
sim_refuse (sim_t *sim, request_t *request)
{
  if (request->done)
    return;
  request->done = true;
  if (request->arrived_at < COUNT_FROM)
    return;
  sim->result.n_refused++;
  keep_sample (sim->result.refusals, &sim->result.n_refusals,
               sim->now - request->front_at);
}

/* Mean requests a second of one stream; numbers from STREAMS on are the
   bursting tenant's, one a service.  */
static double
stream_rate (const sim_t *sim, uint32_t stream)
{
  service_id_t service
      = (service_id_t)(stream < STREAMS ? stream / WORLD_REGIONS
                                        : stream - STREAMS);
  double rate = world_capacity (&sim->world, service) * sim->scenario.load;
  if (stream >= STREAMS)
    return rate * sim->tenant_rate;
  region_id_t region = (region_id_t)(stream % WORLD_REGIONS);
  return rate * sim->world.demand[region] * sim->rate[region];
}

static region_id_t
draw_origin (sim_t *sim)
{
  double at = random_unit (&sim->random);
  region_id_t region = 0;
  while (region + 1 < WORLD_REGIONS && at >= sim->world.demand[region])
    at -= sim->world.demand[region++];
  return region;
}

static void
next_arrival (sim_t *sim, uint32_t stream)
{
  double rate = stream_rate (sim, stream);
  usec_t wait = SIM_TICK;
  uint32_t idle = 1U << 31;
  if (rate > 0)
    {
      wait = (usec_t)random_exponential (&sim->random,
                                         (double)USEC_PER_SEC / rate);
      idle = 0;
    }
  if (sim->now + wait < SIM_END)
    sim_at (sim, sim->now + wait, EVENT_ARRIVAL, NULL, stream | idle);
}

static void
send_to_front (sim_t *sim, request_t *request, usec_t wait)
{
  request->front = request->fronts.vms[request->n_fronts];
  sim_at (sim, sim->now + wait + client_delay (sim, request), EVENT_FRONT,
          request, 0);
}

static void
arrive (sim_t *sim, uint32_t number)
{
  uint32_t stream = number & ~(1U << 31);
  next_arrival (sim, stream);
  if (number & (1U << 31))
    return;
  request_t *request = sim_allocate (sim, sizeof *request);
  bool burst = stream >= STREAMS;
  request->service
      = (service_id_t)(burst ? stream - STREAMS : stream / WORLD_REGIONS);
  request->origin
      = burst ? draw_origin (sim) : (region_id_t)(stream % WORLD_REGIONS);
  request->tenant
      = burst ? 0 : (tenant_id_t)random_below (&sim->random, WORLD_TENANTS);
  request->arrived_at = sim->now;
  request->deadline
      = sim->now + sim->world.topology.services[request->service].deadline;
  uint32_t block = world_block (&sim->world, request->origin, &sim->random);
  request->fronts = sim->policy == POLICY_OURS
                        ? ours_lookup (sim, block)
                        : baseline_lookup (sim, request->origin);
  if (request->arrived_at >= COUNT_FROM)
    {
      double weight = sim->world.topology.services[request->service].weight;
      sim->result.n_all++;
      sim->result.weight_all += weight;
      if (request->tenant != 0)
        sim->result.weight_others += weight;
    }
  send_to_front (sim, request, 0);
}

static void
reach_front (sim_t *sim, request_t *request)
{
  domain_id_t domain = sim_front_domain (sim, request);
  if (sim->dead[domain]
      || regions_cut (sim, request->origin, sim_region (sim, domain)))
    {
      request->n_fronts++;
      if (request->n_fronts < LOOKUP_ANSWER_VMS
          && request->fronts.vms[request->n_fronts] != TOPOLOGY_NONE)
        send_to_front (sim, request, SIM_CONNECT_TIMEOUT);
      return;
    }
  request->front_at = sim->now;
  if (sim->policy == POLICY_OURS)
    ours_front (sim, request);
  else
    baseline_front (sim, request);
}

static void
reach_backend (sim_t *sim, attempt_t *attempt)
{
  if (sim->dead[sim->backends[attempt->backend].domain])
    return;
  if (sim->policy == POLICY_OURS)
    ours_backend (sim, attempt);
  else
    baseline_backend (sim, attempt);
}

static void
run_end (sim_t *sim, attempt_t *attempt)
{
  sim_backend_t *backend = &sim->backends[attempt->backend];
  if (attempt->epoch != sim->epoch[backend->domain])
    return;
  backend->running--;
  backend->seen[attempt->request->origin]++;
  attempt->ran = sim->now - attempt->run_at;
  if (backend->domain == SIM_DRAINED_DOMAIN)
    sim->last_run_end = sim->now;
  attempt->reply = backend->failing ? REPLY_FAILED : REPLY_ANSWERED;
  reply_t reply = attempt->reply;
  if (sim->policy == POLICY_OURS)
    ours_run_end (sim, attempt);
  else
    baseline_run_end (sim, attempt);
  sim_reply (sim, attempt, reply);
}

static double
region_busy (const sim_t *sim, region_id_t region, uint32_t *in_flight)
{
  uint32_t running = 0;
  uint32_t slots = 0;
  *in_flight = 0;
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    {
      const sim_backend_t *backend = &sim->backends[i];
      if (sim_region (sim, backend->domain) != region
          || sim->dead[backend->domain])
        continue;
      running += backend->running;
      *in_flight += backend->running + backend->queued;
      slots += sim->world.topology.services[backend->service].slots;
    }
  return slots > 0 ? (double)running / slots : 0;
}

static void
count_moves (sim_t *sim)
{
  for (size_t v = 0; v < WORLD_VMS; v++)
    for (size_t s = 0; s < WORLD_SERVICES; s++)
      {
        uint32_t *use = sim->region_use[v][s];
        region_id_t main = 0;
        for (uint32_t r = 1; r < WORLD_REGIONS; r++)
          if (use[r] > use[main])
            main = r;
        if (use[main] < MOVES_MIN_USE)
          continue;
        region_id_t *before = &sim->region_main[v][s];
        if (sim->now <= COUNT_FROM * 2)
          *before = main;
        else if (use[main] > use[*before] * MOVE_FACTOR)
          {
            sim->result.n_moves++;
            *before = main;
          }
        memset (use, 0, sizeof sim->region_use[v][s]);
      }
}

static void
measure (sim_t *sim, uint64_t n_tick)
{
  sim_result_t *result = &sim->result;
  for (uint32_t r = 0; r < WORLD_REGIONS; r++)
    {
      uint32_t in_flight = 0;
      sim->busy[r] += region_busy (sim, r, &in_flight) / TICKS_A_SECOND;
      result->region_overload
          += in_flight > sim->world.topology.regions[r].capacity;
    }
  for (size_t i = 0; i < WORLD_LINKS; i++)
    result->link_overload
        += sim->link_free_at[i] > sim->now + LINK_BACKLOG_MAX;
  if (n_tick % TICKS_A_SECOND != 0)
    return;
  double busiest = 0;
  for (size_t r = 0; r < WORLD_REGIONS; r++)
    {
      busiest = fmax (busiest, sim->busy[r]);
      sim->busy[r] = 0;
    }
  for (size_t i = 0; i < WORLD_LINKS; i++)
    {
      double rate = (double)sim->world.topology.links[i].bytes_per_second;
      busiest = fmax (busiest, sim->link_bytes[i] / rate);
      sim->link_bytes[i] = 0;
    }
  result->headroom_sum += fmax (0, 1 - busiest);
  result->n_headroom++;
  count_moves (sim);
}

static void
tick (sim_t *sim)
{
  faults_tick (sim);
  if (sim->policy == POLICY_OURS)
    ours_tick (sim);
  measure (sim, (uint64_t)(sim->now / SIM_TICK));
  if (sim->now < SIM_END)
    sim_at (sim, sim->now + SIM_TICK, EVENT_TICK, NULL, 0);
}

static void
reply_arrives (sim_t *sim, attempt_t *attempt)
{
  if (sim->policy == POLICY_OURS)
    ours_reply (sim, attempt);
  else
    baseline_reply (sim, attempt);
}

static void
dispatch (sim_t *sim, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      arrive (sim, event->number);
      break;
    case EVENT_FRONT:
      reach_front (sim, event->subject);
      break;
    case EVENT_BACKEND:
      reach_backend (sim, event->subject);
      break;
    case EVENT_RUN_END:
      run_end (sim, event->subject);
      break;
    case EVENT_REPLY:
      reply_arrives (sim, event->subject);
      break;
    case EVENT_ATTEMPT_TIMEOUT:
      if (sim->policy == POLICY_OURS)
        ours_timeout (sim, event->subject);
      else
        baseline_timeout (sim, event->subject);
      break;
    case EVENT_ANSWER:
      ours_answer (sim, event->subject);
      break;
    case EVENT_TICK:
      tick (sim);
      break;
    }
}

static void
backends_open (sim_t *sim)
{
  for (size_t i = 0; i < WORLD_BACKENDS; i++)
    {
      sim_backend_t *backend = &sim->backends[i];
      const backend_t *from = &sim->world.sheet.backends[i];
      backend->service = from->service;
      backend->domain = from->domain;
      backend->slow = 1;
      list_init (&backend->queue);
      for (uint32_t r = 0; r < WORLD_REGIONS; r++)
        backend->seen[r]
            = r == sim_region (sim, backend->domain) ? WARM_OWN : WARM_OTHER;
    }
}

static void
sim_open (sim_t *sim, organisation_t organisation, uint64_t seed)
{
  world_open (&sim->world, organisation);
  random_seed (&sim->random, seed);
  random_seed (&sim->chooser, seed + 1);
  sim->cut = TOPOLOGY_NONE;
  for (size_t r = 0; r < WORLD_REGIONS; r++)
    sim->rate[r] = 1;
  backends_open (sim);
  sim->world.sheet.cost_cap = faults_cost_cap (sim);
  sim->result.cap = sim->world.sheet.cost_cap;
  sim->result.latencies = calloc (SIM_LATENCIES_MAX, sizeof (uint32_t));
  sim->result.refusals = calloc (SIM_LATENCIES_MAX, sizeof (uint32_t));
  if (sim->policy == POLICY_OURS)
    ours_open (sim);
  else
    baseline_open (sim);
  for (uint32_t stream = 0; stream < STREAMS + WORLD_SERVICES; stream++)
    next_arrival (sim, stream);
  sim_at (sim, 0, EVENT_TICK, NULL, 0);
}

sim_result_t
sim_run (organisation_t organisation, const scenario_t *scenario,
         policy_t policy, uint64_t seed)
{
  sim_t *sim = calloc (1, sizeof *sim);
  sim->scenario = *scenario;
  sim->policy = policy;
  sim_open (sim, organisation, seed);
  while (sim->n_heap > 0)
    {
      event_t event = heap_pop (sim);
      sim->now = event.at;
      dispatch (sim, &event);
    }
  sim_result_t result = sim->result;
  result.n_bad = result.n_all - result.n_in_time - result.n_refused;
  if (policy == POLICY_OURS)
    ours_close (sim);
  else
    baseline_close (sim);
  world_close (&sim->world);
  for (size_t i = 0; i < sim->n_blocks; i++)
    free (sim->blocks[i]);
  free (sim->blocks);
  free (sim->heap);
  free (sim);
  return result;
}
