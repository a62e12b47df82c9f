/* fuzz-runs: 30000 */
/* Guards against requests that run twice and false reports of "not run": runs
   random schedules of attempts, of lost, late, repeated and reordered
   messages, of restarts, pauses and clock drift against the ledger and its
   claimants.

   The oracle is a backend server that counts its runs.  It checks that no
   ticket runs twice; that where a generation is reported as "not run", no run
   under it or an earlier generation happened or happens later; and that a
   recorded outcome is that of the run.  A paused VM is one whose attempts and
   messages the schedule doesn't select.  */

#include <string.h>

#include "../support/fuzz_input.h"
#include "ledger/claim.h"
#include "ledger/ledger.h"

enum
{
  N_VMS = 4,
  N_TICKETS = 4,
  N_ATTEMPTS = 12,
  N_MESSAGES = 48,
  MAX_CLAIMS = 3, /* low, so that the ledgers become full */
  STATUS_BASE = 200,
  BODY_BYTES = 4,
  BODIES_BYTES = 3 * BODY_BYTES,
};

static const usec_t ticket_lifetime = 10 * USEC_PER_SEC;

typedef struct vm_state
{
  ledger_t *ledger;
  uint64_t incarnation;
  usec_t offset; /* of its clock from world_t's now */
} vm_state_t;

typedef struct ticket_state
{
  bool issued;
  ticket_t ticket;             /* with the highest generation that the caller
                                  has received */
  uint32_t refused_generation; /* highest generation that was reported as
                                 "not run"; a run under a higher one was sent
                                 after that */
  int n_runs;
  uint32_t run_generation;
} ticket_state_t;

typedef struct attempt_state
{
  bool alive;
  bool ran;
  size_t ticket;
  vm_id_t vm;
  claim_t claim;
} attempt_state_t;

typedef struct message
{
  bool used;
  bool is_vote;
  size_t attempt;
  uint64_t number; /* of the attempt, because the array's entries are
                      reused */
  size_t replica;
  ledger_request_t request;
  ledger_vote_t vote;
  char body[BODY_BYTES];
} message_t;

typedef struct world
{
  fuzz_input_t input;
  usec_t now;
  uint64_t n_attempt_numbers;
  random_state_t random;
  vm_state_t vms[N_VMS];
  ticket_state_t tickets[N_TICKETS];
  attempt_state_t attempts[N_ATTEMPTS];
  message_t messages[N_MESSAGES];
} world_t;

static usec_t
local_time (const world_t *world, vm_id_t vm)
{
  return world->now + world->vms[vm].offset;
}

static void
start_vm (world_t *world, vm_id_t vm)
{
  vm_state_t *state = &world->vms[vm];
  ledger_free (state->ledger);
  state->incarnation++;
  const ledger_options_t options = { .self = vm,
                                     .incarnation = state->incarnation,
                                     .max_vms = N_VMS,
                                     .max_claims = MAX_CLAIMS,
                                     .max_total_body_bytes = BODIES_BYTES,
                                     .max_body_bytes = BODY_BYTES,
                                     .ticket_lifetime = ticket_lifetime,
                                     .drift_ppm = 1000 };
  state->ledger = ledger_new (&options, local_time (world, vm), NULL);
}

static void
issue (world_t *world, size_t index)
{
  ticket_state_t *state = &world->tickets[index];
  if (state->issued)
    return;
  ticket_candidate_t candidates[N_VMS];
  for (size_t i = 0; i < N_VMS; i++)
    candidates[i]
        = (ticket_candidate_t){ .vm = (vm_id_t)i,
                                .incarnation = world->vms[i].incarnation,
                                .domain = (domain_id_t)i,
                                .region = (region_id_t)(i / 2),
                                .reachable = true };
  vm_id_t issuer = fuzz_next_byte (&world->input) % N_VMS;
  const ticket_issue_options_t options
      = { .issuer = issuer,
          .incarnation = world->vms[issuer].incarnation,
          .sequence = index + 1,
          .now = local_time (world, issuer),
          .candidates = candidates,
          .n_candidates = N_VMS };
  state->issued
      = ticket_issue (&state->ticket, &options, &world->random, NULL);
}

static void
post (world_t *world, const message_t *message)
{
  for (size_t i = 0; i < N_MESSAGES; i++)
    if (!world->messages[i].used)
      {
        world->messages[i] = *message;
        world->messages[i].used = true;
        return;
      }
}

static void
post_requests (world_t *world, size_t index, const claim_requests_t *requests)
{
  attempt_state_t *attempt = &world->attempts[index];
  for (size_t i = 0; i < requests->n; i++)
    {
      message_t message = { .attempt = index,
                            .number = attempt->claim.options.attempt.number,
                            .replica = requests->items[i].replica,
                            .request = claim_make_request (
                                &attempt->claim, requests->items[i].op) };
      memset (message.body, (int)('a' + attempt->ticket), BODY_BYTES);
      message.request.outcome
          = (outcome_t){ .status = (uint16_t)(STATUS_BASE + attempt->ticket),
                         .body_kept = true,
                         .n_body = BODY_BYTES };
      post (world, &message);
    }
}

/* Check the attempt's result against the oracle.  */
static void
check_result (world_t *world, attempt_state_t *attempt)
{
  ticket_state_t *state = &world->tickets[attempt->ticket];
  const claim_t *claim = &attempt->claim;
  if (claim->phase == CLAIM_DONE)
    {
      require (state->n_runs == 1, "an answer without a run");
      require (claim->outcome.status == STATUS_BASE + attempt->ticket,
               "an answer of another request");
      if (claim->outcome.body_kept)
        require (claim->outcome.n_body == BODY_BYTES
                     && claim->outcome.body[0]
                            == (char)('a' + attempt->ticket),
                 "a body of another request");
    }
  if (claim->phase == CLAIM_REFUSED)
    {
      require (state->n_runs == 0 || state->run_generation > claim->generation,
               "\"not run\" after a run");
      if (claim->generation > state->refused_generation)
        state->refused_generation = claim->generation;
      if (state->ticket.generation <= claim->generation)
        state->ticket.generation = claim->generation + 1;
    }
  if (claim->phase == CLAIM_WON)
    return;
  attempt->alive = false;
  claim_destroy (&attempt->claim);
}

static void
finish_step (world_t *world, size_t index, const claim_requests_t *requests)
{
  attempt_state_t *attempt = &world->attempts[index];
  post_requests (world, index, requests);
  if (claim_is_settled (&attempt->claim))
    check_result (world, attempt);
}

static void
start_attempt (world_t *world)
{
  size_t index = fuzz_next_byte (&world->input) % N_ATTEMPTS;
  size_t ticket = fuzz_next_byte (&world->input) % N_TICKETS;
  uint8_t bits = fuzz_next_byte (&world->input);
  attempt_state_t *attempt = &world->attempts[index];
  if (attempt->alive || !world->tickets[ticket].issued)
    return;
  vm_id_t vm = bits % N_VMS;
  claim_options_t options
      = { .order = bits & 16 ? CLAIM_ORDER_PARALLEL : CLAIM_ORDER_SEQUENTIAL,
          .intent = bits & 32 ? CLAIM_TO_REFUSE : CLAIM_TO_RUN,
          .ticket = world->tickets[ticket].ticket,
          .attempt = { .vm = vm,
                       .incarnation = world->vms[vm].incarnation,
                       .number = ++world->n_attempt_numbers },
          .fingerprint = { .low = ticket, .high = 1 },
          .vote_timeout = 50 * USEC_PER_MSEC,
          .contention_backoff = 20 * USEC_PER_MSEC,
          .poll_interval = 100 * USEC_PER_MSEC,
          .deadline = local_time (world, vm) + 2 * USEC_PER_SEC };
  /* A caller may resend a ticket that it received before a refusal.  */
  if (bits & 64 && options.ticket.generation > TICKET_GENERATION_FIRST)
    options.ticket.generation--;
  *attempt = (attempt_state_t){ .alive = true, .ticket = ticket, .vm = vm };
  claim_requests_t requests;
  claim_start (&attempt->claim, &options, local_time (world, vm), &requests);
  finish_step (world, index, &requests);
}

static void
run_record_or_release (world_t *world, bool run)
{
  size_t index = fuzz_next_byte (&world->input) % N_ATTEMPTS;
  attempt_state_t *attempt = &world->attempts[index];
  if (!attempt->alive || attempt->claim.phase != CLAIM_WON)
    return;
  ticket_state_t *state = &world->tickets[attempt->ticket];
  claim_requests_t requests;
  if (!run && !attempt->ran)
    {
      claim_release (&attempt->claim, &requests);
      finish_step (world, index, &requests);
      return;
    }
  if (!attempt->ran)
    {
      state->n_runs++;
      state->run_generation = attempt->claim.options.ticket.generation;
      attempt->ran = true;
      require (state->n_runs == 1, "a ticket ran twice");
      require (state->run_generation > state->refused_generation,
               "a run after \"not run\"");
      return;
    }
  claim_record (&attempt->claim, &requests);
  post_requests (world, index, &requests);
  attempt->alive = false;
}

static void
deliver_request (world_t *world, const message_t *message)
{
  const ticket_replica_t *replica
      = &message->request.ticket.replicas[message->replica];
  ledger_request_t request = message->request;
  request.outcome.body = message->body;
  message_t answer = *message;
  answer.is_vote = true;
  answer.vote = ledger_on_request (world->vms[replica->vm].ledger, &request,
                                   local_time (world, replica->vm));
  if (answer.vote.outcome.body)
    memcpy (answer.body, answer.vote.outcome.body, BODY_BYTES);
  post (world, &answer);
}

static void
deliver (world_t *world, bool keep, bool lose)
{
  size_t index = fuzz_next_byte (&world->input) % N_MESSAGES;
  message_t message = world->messages[index];
  if (!message.used)
    return;
  world->messages[index].used = keep;
  if (!message.is_vote && !lose)
    {
      deliver_request (world, &message);
      return;
    }
  attempt_state_t *attempt = &world->attempts[message.attempt];
  if (!attempt->alive || attempt->claim.phase == CLAIM_WON
      || attempt->claim.options.attempt.number != message.number)
    return;
  claim_requests_t requests;
  usec_t now = local_time (world, attempt->vm);
  if (lose)
    claim_on_failure (&attempt->claim, message.replica, now, &requests);
  else
    {
      if (message.vote.outcome.body)
        message.vote.outcome.body = message.body;
      claim_on_vote (&attempt->claim, message.replica, &message.vote, now,
                     &requests);
    }
  finish_step (world, message.attempt, &requests);
}

/* Deliver all messages in order, so that most attempts settle.  */
static void
deliver_all (world_t *world)
{
  for (size_t i = 0; i < N_MESSAGES; i++)
    {
      const uint8_t index = (uint8_t)i;
      const fuzz_input_t input = world->input;
      world->input = (fuzz_input_t){ .data = &index, .size = 1 };
      deliver (world, false, false);
      world->input = input;
    }
}

static void
restart (world_t *world)
{
  vm_id_t vm = fuzz_next_byte (&world->input) % N_VMS;
  for (size_t i = 0; i < N_ATTEMPTS; i++)
    if (world->attempts[i].alive && world->attempts[i].vm == vm)
      {
        world->attempts[i].alive = false;
        claim_destroy (&world->attempts[i].claim);
      }
  start_vm (world, vm);
}

static void
pass_time (world_t *world)
{
  uint8_t bits = fuzz_next_byte (&world->input);
  usec_t elapsed = (usec_t)(bits & 15) * 10 * USEC_PER_MSEC;
  if (bits & 128)
    elapsed *= 100;
  world->now += elapsed;
  /* The clocks drift apart by less than drift_ppm.  */
  world->vms[bits >> 4 & 3].offset += elapsed / 2000;
  for (size_t i = 0; i < N_ATTEMPTS; i++)
    {
      attempt_state_t *attempt = &world->attempts[i];
      if (!attempt->alive || claim_is_settled (&attempt->claim))
        continue;
      claim_requests_t requests;
      claim_tick (&attempt->claim, local_time (world, attempt->vm), &requests);
      finish_step (world, i, &requests);
    }
}

static void
heartbeat (world_t *world)
{
  uint8_t bits = fuzz_next_byte (&world->input);
  vm_id_t from = bits % N_VMS;
  vm_id_t to = bits / N_VMS % N_VMS;
  ledger_on_heartbeat (world->vms[to].ledger, from,
                       world->vms[from].incarnation, local_time (world, from),
                       local_time (world, to));
  ledger_sweep (world->vms[to].ledger, MAX_CLAIMS, local_time (world, to));
}

static void
step (world_t *world)
{
  switch (fuzz_next_byte (&world->input) % 12)
    {
    case 0:
      issue (world, fuzz_next_byte (&world->input) % N_TICKETS);
      break;
    case 1:
    case 2:
      start_attempt (world);
      break;
    case 3:
    case 4:
      deliver (world, false, false);
      break;
    case 5:
      deliver (world, true, false);
      break;
    case 6:
      deliver (world, false, true);
      break;
    case 7:
      run_record_or_release (world, true);
      break;
    case 8:
      run_record_or_release (world, false);
      break;
    case 9:
      pass_time (world);
      break;
    case 10:
      deliver_all (world);
      break;
    default:
      if (fuzz_next_byte (&world->input) & 1)
        heartbeat (world);
      else
        restart (world);
      break;
    }
}

/* The name is libFuzzer's.  */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  world_t *world = calloc (1, sizeof *world);
  world->input = (fuzz_input_t){ .data = data, .size = size };
  world->now = USEC_PER_SEC;
  random_seed (&world->random, 1);
  for (size_t i = 0; i < N_VMS; i++)
    {
      world->vms[i].offset = (usec_t)(i + 1) * 1000 * USEC_PER_SEC;
      start_vm (world, (vm_id_t)i);
    }
  while (world->input.size > 0)
    step (world);
  for (size_t i = 0; i < N_VMS; i++)
    ledger_free (world->vms[i].ledger);
  for (size_t i = 0; i < N_ATTEMPTS; i++)
    claim_destroy (&world->attempts[i].claim);
  free (world);
  return 0;
}
