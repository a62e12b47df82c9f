/* fuzz-runs: 30000 */
/* Schedules of attempts, lost, late, repeated and reordered messages,
   restarts, freezes and clock drift against the ledger and its claimants.

   The oracle is a backend server that counts its runs: no ticket runs twice;
   after "not run" under a generation no run under it or below happens, as
   none did before; a recorded outcome is the run's own.  A frozen VM is one
   whose attempts and messages the schedule leaves alone.  */

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
  MAX_CLAIMS = 3, /* small, so that the ledgers fill up */
  STATUS_BASE = 200,
  BODY_BYTES = 4,
  BODIES_BYTES = 3 * BODY_BYTES,
};

static const usec_t ticket_lifetime = 10 * USEC_PER_SEC;

typedef struct vm_state
{
  ledger_t *ledger;
  uint64_t incarnation;
  usec_t offset; /* of its clock */
} vm_state_t;

typedef struct ticket_state
{
  bool issued;
  ticket_t ticket;  /* of the newest generation that the caller holds */
  uint32_t refused; /* the highest generation told as "not run"; a run
                       under a higher one was sent after that */
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
  uint64_t number; /* of the attempt, to tell reused places apart */
  size_t replica;
  ledger_request_t ask;
  ledger_vote_t vote;
  char body[BODY_BYTES];
} message_t;

typedef struct world
{
  fuzz_input_t input;
  usec_t now;
  uint64_t n_numbers;
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
post_asks (world_t *world, size_t index, const claim_requests_t *asks)
{
  attempt_state_t *attempt = &world->attempts[index];
  for (size_t i = 0; i < asks->n; i++)
    {
      message_t message
          = { .attempt = index,
              .number = attempt->claim.options.attempt.number,
              .replica = asks->items[i].replica,
              .ask = claim_make_request (&attempt->claim, asks->items[i].op) };
      memset (message.body, (int)('a' + attempt->ticket), BODY_BYTES);
      message.ask.outcome
          = (outcome_t){ .status = (uint16_t)(STATUS_BASE + attempt->ticket),
                         .body_kept = true,
                         .n_body = BODY_BYTES };
      post (world, &message);
    }
}

/* What the attempt's caller is told, checked by the oracle.  */
static void
check_end (world_t *world, attempt_state_t *attempt)
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
      if (claim->generation > state->refused)
        state->refused = claim->generation;
      if (state->ticket.generation <= claim->generation)
        state->ticket.generation = claim->generation + 1;
    }
  if (claim->phase == CLAIM_WON)
    return;
  attempt->alive = false;
  claim_destroy (&attempt->claim);
}

static void
after_step (world_t *world, size_t index, const claim_requests_t *asks)
{
  attempt_state_t *attempt = &world->attempts[index];
  post_asks (world, index, asks);
  if (claim_is_settled (&attempt->claim))
    check_end (world, attempt);
}

static void
start_attempt (world_t *world)
{
  size_t index = fuzz_next_byte (&world->input) % N_ATTEMPTS;
  size_t ticket = fuzz_next_byte (&world->input) % N_TICKETS;
  uint8_t how = fuzz_next_byte (&world->input);
  attempt_state_t *attempt = &world->attempts[index];
  if (attempt->alive || !world->tickets[ticket].issued)
    return;
  vm_id_t vm = how % N_VMS;
  claim_options_t options
      = { .order = how & 16 ? CLAIM_ORDER_PARALLEL : CLAIM_ORDER_SEQUENTIAL,
          .intent = how & 32 ? CLAIM_TO_REFUSE : CLAIM_TO_RUN,
          .ticket = world->tickets[ticket].ticket,
          .attempt = { .vm = vm,
                       .incarnation = world->vms[vm].incarnation,
                       .number = ++world->n_numbers },
          .fingerprint = { .low = ticket, .high = 1 },
          .vote_timeout = 50 * USEC_PER_MSEC,
          .contention_backoff = 20 * USEC_PER_MSEC,
          .poll_interval = 100 * USEC_PER_MSEC,
          .deadline = local_time (world, vm) + 2 * USEC_PER_SEC };
  /* A caller may resend a ticket that it had before a refusal.  */
  if (how & 64 && options.ticket.generation > TICKET_GENERATION_FIRST)
    options.ticket.generation--;
  *attempt = (attempt_state_t){ .alive = true, .ticket = ticket, .vm = vm };
  claim_requests_t asks;
  claim_start (&attempt->claim, &options, local_time (world, vm), &asks);
  after_step (world, index, &asks);
}

static void
run_or_release (world_t *world, bool run)
{
  size_t index = fuzz_next_byte (&world->input) % N_ATTEMPTS;
  attempt_state_t *attempt = &world->attempts[index];
  if (!attempt->alive || attempt->claim.phase != CLAIM_WON)
    return;
  ticket_state_t *state = &world->tickets[attempt->ticket];
  claim_requests_t asks;
  if (!run && !attempt->ran)
    {
      claim_release (&attempt->claim, &asks);
      after_step (world, index, &asks);
      return;
    }
  if (!attempt->ran)
    {
      state->n_runs++;
      state->run_generation = attempt->claim.options.ticket.generation;
      attempt->ran = true;
      require (state->n_runs == 1, "a ticket ran twice");
      require (state->run_generation > state->refused,
               "a run after \"not run\"");
      return;
    }
  claim_record (&attempt->claim, &asks);
  post_asks (world, index, &asks);
  attempt->alive = false;
}

static void
deliver_ask (world_t *world, const message_t *message)
{
  const ticket_replica_t *replica
      = &message->ask.ticket.replicas[message->replica];
  ledger_request_t ask = message->ask;
  ask.outcome.body = message->body;
  message_t answer = *message;
  answer.is_vote = true;
  answer.vote = ledger_on_request (world->vms[replica->vm].ledger, &ask,
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
      deliver_ask (world, &message);
      return;
    }
  attempt_state_t *attempt = &world->attempts[message.attempt];
  if (!attempt->alive || attempt->claim.phase == CLAIM_WON
      || attempt->claim.options.attempt.number != message.number)
    return;
  claim_requests_t asks;
  usec_t now = local_time (world, attempt->vm);
  if (lose)
    claim_on_failure (&attempt->claim, message.replica, now, &asks);
  else
    {
      if (message.vote.outcome.body)
        message.vote.outcome.body = message.body;
      claim_on_vote (&attempt->claim, message.replica, &message.vote, now,
                     &asks);
    }
  after_step (world, message.attempt, &asks);
}

/* Messages that arrive in order make most attempts come to an end.  */
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
  uint8_t how = fuzz_next_byte (&world->input);
  usec_t span = (usec_t)(how & 15) * 10 * USEC_PER_MSEC;
  if (how & 128)
    span *= 100;
  world->now += span;
  /* Clocks drift apart by less than the bound.  */
  world->vms[how >> 4 & 3].offset += span / 2000;
  for (size_t i = 0; i < N_ATTEMPTS; i++)
    {
      attempt_state_t *attempt = &world->attempts[i];
      if (!attempt->alive || claim_is_settled (&attempt->claim))
        continue;
      claim_requests_t asks;
      claim_tick (&attempt->claim, local_time (world, attempt->vm), &asks);
      after_step (world, i, &asks);
    }
}

static void
heartbeat (world_t *world)
{
  uint8_t how = fuzz_next_byte (&world->input);
  vm_id_t from = how % N_VMS;
  vm_id_t to = how / N_VMS % N_VMS;
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
      run_or_release (world, true);
      break;
    case 8:
      run_or_release (world, false);
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
