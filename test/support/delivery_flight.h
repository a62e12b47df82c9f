/* delivery_flight: the requests in flight of a delivery_world, the actions
   that their state machines return, and the oracle that checks the outcomes.

   The oracle aborts where a ticket runs twice, where a request reported as
   "not run" has run, where an answer belongs to another request, where an
   outcome is reported twice, or where a slot is released twice.  */

#ifndef TEST_SUPPORT_DELIVERY_FLIGHT_H
#define TEST_SUPPORT_DELIVERY_FLIGHT_H

#include <string.h>

#include "delivery/request.h"
#include "delivery/slots.h"
#include "ledger/ledger.h"

#include "fuzz_input.h"

enum
{
  N_VMS = 3,
  N_CONTENTS = 4, /* distinct requests; the last one is idempotent */
  N_FLIGHTS = 16, /* requests in flight, hops included */
  N_WORKS = 32,
  N_SLOTS = 1,
  ANSWER_BYTES = 8,
  NO_FLIGHT = -1,
  N_ROOTS = 8192, /* sends and hops in one schedule */
  STATUS_BASE = 200,
};

static const usec_t request_deadline = 1 * USEC_PER_SEC;
static const usec_t longest_deadline = 2 * USEC_PER_SEC;
static const usec_t stop_margin = 100 * USEC_PER_MSEC;

/* A request in flight at one VM.  */
typedef struct flight
{
  bool alive;
  bool arrived; /* request_start was called; a hop: message received */
  bool placing;
  bool idempotent;
  vm_id_t vm;
  int parent;       /* of a hop: the flight that forwarded it */
  uint64_t send_id; /* of a hop: the parent's send that it answers */
  int hop;          /* flight that this one was forwarded to */
  int work;         /* index of its work at the backend server */
  size_t content;
  uint64_t root; /* number of the caller's send */
  uint64_t number;
  request_t request;
  claim_t claim;
  bool has_claim;
  bool is_reported;
  uint64_t released_serial; /* serial of the last released slot */
  request_outcome_t outcome;
} flight_t;

typedef enum
{
  WORK_NONE,
  WORK_CLAIMED, /* no byte sent yet */
  WORK_SENT,    /* bytes sent, not started by the backend server */
  WORK_RUNNING,
  WORK_DONE, /* the answer is in transit */
} work_stage_t;

typedef struct work
{
  work_stage_t stage;
  uint32_t backend;
  int flight;
  uint64_t number; /* of the flight */
  uint64_t root;
  uint32_t generation;
  uint64_t send_id;
  size_t content;
  usec_t deadline;
  slot_token_t token;
} work_t;

typedef struct content
{
  ticket_t ticket;
  uint32_t refused; /* highest generation reported as "not run" */
  uint32_t ran_generation;
  int n_runs;
} content_t;

typedef struct world
{
  usec_t now;
  uint64_t n_numbers;
  bool frozen[N_VMS];
  bool cut[N_VMS]; /* from the other VMs */
  bool lose_votes; /* requests to ledgers arrive, votes are lost */
  uint64_t incarnation[N_VMS];
  ledger_t *ledgers[N_VMS];
  slots_t *slots[N_VMS];
  retry_budget_t budget;
  request_counters_t counters;
  content_t contents[N_CONTENTS];
  flight_t flights[N_FLIGHTS];
  work_t works[N_WORKS];
  bool idempotent_ran[N_ROOTS]; /* by root */
  bool idempotent_refused[N_ROOTS];
} world_t;

static inline void
world_start_vm (world_t *world, vm_id_t vm)
{
  ledger_free (world->ledgers[vm]);
  slots_free (world->slots[vm]);
  world->incarnation[vm]++;
  const ledger_options_t ledger = { .self = vm,
                                    .incarnation = world->incarnation[vm],
                                    .max_vms = N_VMS,
                                    .max_claims = 16,
                                    .max_total_body_bytes = 1024,
                                    .max_body_bytes = 64,
                                    .ticket_lifetime = 60 * USEC_PER_SEC };
  world->ledgers[vm] = ledger_new (&ledger, world->now, NULL);
  const slots_options_t slots = { .self = vm,
                                  .owners = { vm },
                                  .n_owners = 1,
                                  .max_backends = N_VMS,
                                  .max_time_to_deadline = longest_deadline,
                                  .stop_margin = stop_margin,
                                  .started_at = world->now };
  world->slots[vm] = slots_new (&slots, NULL);
  const slot_backend_t backend
      = { .key = vm, .max_slots = N_SLOTS, .max_connections = 3 };
  slots_set_backend (world->slots[vm], vm, &backend, NULL);
}

static inline void
world_open (world_t *world)
{
  memset (world, 0, sizeof *world);
  retry_budget_init (&world->budget, 1000, 10);
  for (vm_id_t i = 0; i < N_VMS; i++)
    world_start_vm (world, i);
  world->now = longest_deadline + stop_margin;
  for (size_t i = 0; i < N_CONTENTS; i++)
    {
      ticket_t *ticket = &world->contents[i].ticket;
      *ticket = (ticket_t){ .id = { .issuer_incarnation = 1, .sequence = i },
                            .generation = TICKET_GENERATION_FIRST,
                            .n_replicas = N_VMS };
      for (vm_id_t vm = 0; vm < N_VMS; vm++)
        ticket->replicas[vm]
            = (ticket_replica_t){ .vm = vm, .incarnation = 1 };
    }
}

static inline void
world_close (world_t *world)
{
  for (size_t i = 0; i < N_VMS; i++)
    {
      ledger_free (world->ledgers[i]);
      slots_free (world->slots[i]);
    }
  for (size_t i = 0; i < N_FLIGHTS; i++)
    claim_destroy (&world->flights[i].claim);
}

static inline void world_event (world_t *world, int index,
                                const request_event_t *event);

static inline bool
world_reaches (const world_t *world, vm_id_t from, vm_id_t to)
{
  if (from == to)
    return true;
  return !world->cut[from] && !world->cut[to] && !world->frozen[to];
}

static void
claim_settled (world_t *world, int index)
{
  flight_t *flight = &world->flights[index];
  const claim_t *claim = &flight->claim;
  if (!flight->has_claim || !claim_is_settled (claim))
    return;
  flight->has_claim = false;
  request_event_t event = { .kind = EVENT_CLAIM_SETTLED };
  event.as.claim.phase = claim->phase;
  event.as.claim.cause = claim->cause;
  event.as.claim.generation = claim->generation;
  event.as.claim.status = claim->outcome.status;
  event.as.claim.body_kept = claim->outcome.body_kept;
  world_event (world, index, &event);
}

static void
deliver_claim_requests (world_t *world, int index,
                        const claim_requests_t *requests)
{
  flight_t *flight = &world->flights[index];
  for (size_t i = 0; i < requests->n; i++)
    {
      size_t replica = requests->items[i].replica;
      claim_requests_t next = { 0 };
      ledger_request_t request
          = claim_make_request (&flight->claim, requests->items[i].op);
      request.outcome
          = (outcome_t){ .status = (uint16_t)(STATUS_BASE + flight->content),
                         .body_kept = true };
      vm_id_t vm = request.ticket.replicas[replica].vm;
      bool arrives = world_reaches (world, flight->vm, vm);
      ledger_vote_t vote = { 0 };
      if (arrives)
        vote = ledger_on_request (world->ledgers[vm], &request, world->now);
      if (arrives && (!world->lose_votes || vm == flight->vm))
        claim_on_vote (&flight->claim, replica, &vote, world->now, &next);
      else
        claim_on_failure (&flight->claim, replica, world->now, &next);
      deliver_claim_requests (world, index, &next);
    }
}

static void
start_claim (world_t *world, int index, claim_intent_t intent)
{
  flight_t *flight = &world->flights[index];
  claim_options_t options
      = { .intent = intent,
          .ticket = world->contents[flight->content].ticket,
          .attempt = { .vm = flight->vm,
                       .incarnation = world->incarnation[flight->vm],
                       .number = flight->number },
          .fingerprint = { .low = flight->content },
          .vote_timeout = 50 * USEC_PER_MSEC,
          .contention_backoff = 10 * USEC_PER_MSEC,
          .poll_interval = 100 * USEC_PER_MSEC,
          .deadline = world->now + request_deadline / 2 };
  options.ticket.generation = flight->request.options.generation;
  claim_destroy (&flight->claim);
  claim_requests_t requests = { 0 };
  claim_start (&flight->claim, &options, world->now, &requests);
  flight->has_claim = true;
  deliver_claim_requests (world, index, &requests);
}

/* Check the outcome that FLIGHT reports to its caller or to the entry VM that
   forwarded it.  */
static void
check_outcome (world_t *world, const flight_t *flight)
{
  const request_outcome_t *outcome = &flight->outcome;
  content_t *content = &world->contents[flight->content];
  if (outcome->kind == OUTCOME_ANSWER)
    require (outcome->status == STATUS_BASE + flight->content,
             "an answer of another request");
  if (outcome->kind != OUTCOME_NOT_RUN || flight->parent != NO_FLIGHT)
    return;
  if (flight->idempotent)
    {
      require (!world->idempotent_ran[flight->root],
               "\"not run\" after a run");
      world->idempotent_refused[flight->root] = true;
      return;
    }
  /* The generation that was sent must never run, also where the refusal names
     a lower one.  */
  uint32_t generation = flight->request.options.generation;
  if (outcome->generation > generation)
    generation = outcome->generation;
  require (content->n_runs == 0 || content->ran_generation > generation,
           "\"not run\" after a run");
  if (generation > content->refused)
    content->refused = generation;
  if (content->ticket.generation <= generation)
    content->ticket.generation = generation + 1;
}

static int
find_free_flight (world_t *world)
{
  for (int i = 0; i < N_FLIGHTS; i++)
    if (!world->flights[i].alive)
      return i;
  return NO_FLIGHT;
}

static int
add_flight (world_t *world, vm_id_t vm, size_t content)
{
  int index = find_free_flight (world);
  if (index == NO_FLIGHT)
    return index;
  flight_t *flight = &world->flights[index];
  claim_destroy (&flight->claim);
  *flight = (flight_t){ .alive = true,
                        .idempotent = content == N_CONTENTS - 1,
                        .vm = vm,
                        .parent = NO_FLIGHT,
                        .hop = NO_FLIGHT,
                        .work = NO_FLIGHT,
                        .content = content,
                        .number = ++world->n_numbers };
  flight->root = flight->number;
  return index;
}

static void
add_work (world_t *world, int index, uint64_t send_id)
{
  flight_t *flight = &world->flights[index];
  flight->work = NO_FLIGHT;
  for (int i = 0; i < N_WORKS; i++)
    {
      if (world->works[i].stage != WORK_NONE)
        continue;
      world->works[i]
          = (work_t){ .stage = WORK_CLAIMED,
                      .backend = flight->request.token.backend,
                      .flight = index,
                      .number = flight->number,
                      .root = flight->root,
                      .generation = flight->request.options.generation,
                      .send_id = send_id,
                      .content = flight->content,
                      .deadline = flight->request.options.deadline,
                      .token = flight->request.token };
      flight->work = i;
      return;
    }
}

static void
add_hop (world_t *world, int index)
{
  flight_t *flight = &world->flights[index];
  vm_id_t vm = (vm_id_t)((flight->vm + 1 + flight->request.n_sends) % N_VMS);
  int hop = add_flight (world, vm, flight->content);
  flight->hop = hop;
  if (hop == NO_FLIGHT)
    return;
  world->flights[hop].parent = index;
  world->flights[hop].send_id = flight->request.send_id;
  world->flights[hop].root = flight->root;
  world->flights[hop].request.options = flight->request.options;
}

static void
act (world_t *world, int index, const request_action_t *action)
{
  flight_t *flight = &world->flights[index];
  claim_requests_t requests = { 0 };
  switch (action->kind)
    {
    case ACTION_PLACE:
      flight->placing = true;
      break;
    case ACTION_CLAIM:
      start_claim (world, index, action->as.intent);
      break;
    case ACTION_SEND:
      if (flight->request.forwarded)
        add_hop (world, index);
      else
        add_work (world, index, action->as.send_id);
      break;
    case ACTION_REPORT_OUTCOME:
      require (!flight->is_reported, "an outcome was reported twice");
      flight->is_reported = true;
      flight->outcome = action->as.outcome;
      check_outcome (world, flight);
      break;
    case ACTION_RELEASE_CLAIM:
      claim_release (&flight->claim, &requests);
      deliver_claim_requests (world, index, &requests);
      break;
    case ACTION_RECORD:
      claim_record (&flight->claim, &requests);
      deliver_claim_requests (world, index, &requests);
      break;
    case ACTION_CANCEL_TARGET:
      break;
    case ACTION_RELEASE_SLOT:
      {
        require (action->as.token.serial != flight->released_serial,
                 "a slot was given back twice");
        flight->released_serial = action->as.token.serial;
        bool freed
            = slots_release (world->slots[flight->vm], &action->as.token);
        require (freed || world->now >= flight->request.options.deadline,
                 "a slot was freed twice");
      }
      break;
    case ACTION_CANCEL_SLOT:
      slots_cancel (world->slots[flight->vm], &action->as.token);
      break;
    }
}

static inline void
world_act (world_t *world, int index, const request_actions_t *actions)
{
  for (size_t i = 0; i < actions->n; i++)
    act (world, index, &actions->items[i]);
  claim_settled (world, index);
}

static inline void
world_event (world_t *world, int index, const request_event_t *event)
{
  flight_t *flight = &world->flights[index];
  request_actions_t actions = { 0 };
  request_on_event (&flight->request, event, &world->budget, &world->counters,
                    world->now, &actions);
  world_act (world, index, &actions);
}

static void
start_request (world_t *world, int index, const request_options_t *options)
{
  request_actions_t actions = { 0 };
  request_start (&world->flights[index].request, options, world->now,
                 &actions);
  world->flights[index].arrived = true;
  world_act (world, index, &actions);
}

/* A caller sends CONTENT to VM.  Returns the index of the flight, or NO_FLIGHT
   where all are in use.  */
static inline int
world_send (world_t *world, vm_id_t vm, size_t content)
{
  int index = add_flight (world, vm, content);
  if (index == NO_FLIGHT)
    return index;
  flight_t *flight = &world->flights[index];
  const request_options_t options
      = { .role = REQUEST_ORIGIN,
          .idempotent = flight->idempotent,
          .id = flight->number << 8,
          .deadline = world->now + request_deadline,
          .linger_timeout = request_deadline,
          .refusal_timeout = request_deadline / 2,
          .generation = flight->idempotent
                            ? 0
                            : world->contents[content].ticket.generation,
          .max_sends = 3 };
  start_request (world, index, &options);
  return index;
}

/* The forwarded request of hop INDEX arrives at its VM.  */
static inline void
world_arrive (world_t *world, int index)
{
  flight_t *flight = &world->flights[index];
  if (flight->parent == NO_FLIGHT || flight->arrived)
    return;
  request_options_t options = flight->request.options;
  options.role = REQUEST_HOP;
  options.id = flight->number << 8;
  start_request (world, index, &options);
}

static bool
is_steppable (const world_t *world, int index)
{
  const flight_t *flight = &world->flights[index];
  return flight->alive && flight->arrived && !world->frozen[flight->vm];
}

#endif
