/* delivery_world: three entry VMs with a ledger, slots and requests each, one
   backend server behind each of them, and callers that resend.  The
   fault matrix and the fuzz target of delivery use it.

   The backend servers are the reference: they count the runs, and they check
   that no more run at once than they have slots.  */

#ifndef TEST_SUPPORT_DELIVERY_WORLD_H
#define TEST_SUPPORT_DELIVERY_WORLD_H

#include "delivery_flight.h"

/* Answer ACTION_PLACE of flight INDEX with KIND: admitted to a local slot,
   forwarded to another entry VM, or not placed.  A hop is not forwarded.  */
static inline void
world_place (world_t *world, int index, request_event_kind_t kind)
{
  flight_t *flight = &world->flights[index];
  if (!is_steppable (world, index) || !flight->placing)
    return;
  request_event_t event = { .kind = kind };
  flight->placing = false;
  if (kind == EVENT_ADMITTED
      && slots_admit (world->slots[flight->vm], flight->vm,
                      flight->request.options.deadline, world->now,
                      &event.as.admitted.token)
             != SLOT_GRANTED)
    event.kind = EVENT_NOT_PLACED;
  if (kind == EVENT_FORWARD && flight->parent != NO_FLIGHT)
    event.kind = EVENT_NOT_PLACED;
  if (event.kind == EVENT_NOT_PLACED)
    event.as.reason = REASON_NO_CAPACITY;
  world_event (world, index, &event);
}

/* Returns the flight that WORK belongs to; NULL where it has ended or its VM
   is frozen.  */
static flight_t *
flight_of (world_t *world, const work_t *work)
{
  flight_t *flight = &world->flights[work->flight];
  bool is_present = flight->alive && flight->number == work->number
                    && !world->frozen[flight->vm];
  return is_present ? flight : NULL;
}

/* Send the first byte of work INDEX to the backend server if the request still
   waits to send it and the slot allows it; else the connection fails.  */
static inline void
world_start_send (world_t *world, int index)
{
  work_t *work = &world->works[index];
  flight_t *flight = flight_of (world, work);
  if (work->stage != WORK_CLAIMED || !flight)
    return;
  request_event_t event
      = { .kind = EVENT_SEND_STARTED, .request_id = work->send_id };
  work->stage = WORK_SENT;
  if (flight->request.phase != REQUEST_CLAIMED
      || flight->request.send_id != work->send_id
      || !slots_may_send (world->slots[flight->vm], &work->token, world->now))
    {
      work->stage = WORK_NONE;
      event.kind = EVENT_CONNECTION_FAILED;
    }
  world_event (world, work->flight, &event);
}

static void
record_run (world_t *world, const work_t *work)
{
  content_t *content = &world->contents[work->content];
  if (work->content == N_CONTENTS - 1)
    {
      require (!world->idempotent_refused[work->root],
               "a run after \"not run\"");
      world->idempotent_ran[work->root] = true;
      return;
    }
  content->n_runs++;
  content->ran_generation = work->generation;
  require (content->n_runs == 1, "a ticket ran twice");
  require (work->generation > content->refused, "a run after \"not run\"");
}

static uint32_t
count_running (const world_t *world, uint32_t backend)
{
  uint32_t n = 0;
  for (size_t i = 0; i < N_WORKS; i++)
    if (world->works[i].stage == WORK_RUNNING
        && world->works[i].backend == backend)
      n++;
  return n;
}

/* The bytes reach the backend server, which starts work INDEX unless the
   deadline has passed.  */
static inline void
world_run (world_t *world, int index)
{
  work_t *work = &world->works[index];
  if (work->stage != WORK_SENT)
    return;
  work->stage = WORK_NONE;
  if (world->now >= work->deadline)
    return;
  work->stage = WORK_RUNNING;
  record_run (world, work);
  require (count_running (world, work->backend) <= N_SLOTS,
           "more runs than slots");
}

/* Deliver the answer to WORK to flight TO; the last byte is missing where
   CUT_SHORT.  */
static void
send_answer (world_t *world, int to, const work_t *work, bool cut_short)
{
  request_event_t event = { .kind = EVENT_HEAD, .request_id = work->send_id };
  event.as.answer.status = (uint16_t)(STATUS_BASE + work->content);
  event.as.answer.framing = FRAMING_LENGTH;
  event.as.answer.length = ANSWER_BYTES;
  world_event (world, to, &event);
  event.kind = EVENT_BODY;
  event.as.answer.n_bytes = cut_short ? ANSWER_BYTES - 1 : ANSWER_BYTES;
  world_event (world, to, &event);
  event.kind = EVENT_END;
  event.as.answer.framed_end = true;
  bool was_reported = world->flights[to].is_reported;
  world_event (world, to, &event);
  const flight_t *flight = &world->flights[to];
  bool passed_on = flight->is_reported && !was_reported
                   && flight->outcome.kind == OUTCOME_ANSWER
                   && !flight->outcome.from_record;
  require (!(cut_short && passed_on), "a short answer was passed on");
}

static inline void
world_finish (world_t *world, int index, bool cut_short)
{
  work_t *work = &world->works[index];
  if (work->stage != WORK_RUNNING)
    return;
  work->stage = WORK_NONE;
  if (flight_of (world, work))
    send_answer (world, work->flight, work, cut_short);
}

/* The connection of work INDEX breaks; the backend server continues a run that
   it has started.  */
static inline void
world_break_connection (world_t *world, int index)
{
  work_t *work = &world->works[index];
  flight_t *flight = flight_of (world, work);
  const request_event_t event
      = { .kind = EVENT_CONNECTION_FAILED, .request_id = work->send_id };
  if (work->stage == WORK_CLAIMED)
    work->stage = WORK_NONE;
  if (flight && flight->work == index)
    {
      flight->work = NO_FLIGHT;
      world_event (world, work->flight, &event);
    }
}

/* The backend server refuses work INDEX before it starts it.  */
static inline void
world_refuse_work (world_t *world, int index)
{
  work_t *work = &world->works[index];
  if (work->stage != WORK_SENT)
    return;
  work->stage = WORK_NONE;
  request_event_t event
      = { .kind = EVENT_TARGET_REFUSED, .request_id = work->send_id };
  event.as.refusal.reason = REASON_NO_CAPACITY;
  if (flight_of (world, work))
    world_event (world, work->flight, &event);
}

/* The answer to work INDEX reaches flight TO, which did not send it.  */
static inline void
world_misdeliver_answer (world_t *world, int index, int to)
{
  const work_t *work = &world->works[index];
  if (work->stage != WORK_RUNNING || !is_steppable (world, to)
      || (work->flight == to && work->number == world->flights[to].number))
    return;
  send_answer (world, to, work, false);
}

static inline void
world_crash_backend (world_t *world, uint32_t backend)
{
  for (int i = 0; i < N_WORKS; i++)
    {
      work_t *work = &world->works[i];
      if (work->stage != WORK_RUNNING || work->backend != backend)
        continue;
      world_break_connection (world, i);
      work->stage = WORK_NONE;
    }
}

/* The outcome of hop INDEX reaches the flight that forwarded it; the
   connection fails instead where LOST.  */
static inline void
world_deliver_hop_outcome (world_t *world, int index, bool lost)
{
  flight_t *hop = &world->flights[index];
  if (!hop->alive || hop->parent == NO_FLIGHT
      || !is_steppable (world, hop->parent)
      || world->flights[hop->parent].hop != index)
    return;
  request_event_t event
      = { .kind = EVENT_CONNECTION_FAILED, .request_id = hop->send_id };
  const request_event_t left
      = { .kind = EVENT_SEND_STARTED, .request_id = hop->send_id };
  world_event (world, hop->parent, &left);
  if (lost)
    {
      world_event (world, hop->parent, &event);
      return;
    }
  if (!hop->is_reported)
    return;
  const work_t answer = { .send_id = hop->send_id, .content = hop->content };
  switch (hop->outcome.kind)
    {
    case OUTCOME_ANSWER:
      send_answer (world, hop->parent, &answer, false);
      return;
    case OUTCOME_NOT_RUN:
      event.kind = EVENT_TARGET_REFUSED;
      event.as.refusal.reason = hop->outcome.reason;
      event.as.refusal.generation = hop->outcome.generation;
      break;
    case OUTCOME_UNKNOWN:
      event.kind = EVENT_TARGET_UNKNOWN;
      event.as.reason = hop->outcome.reason;
      break;
    }
  world_event (world, hop->parent, &event);
}

static inline void
world_cancel (world_t *world, int index)
{
  const request_event_t event = { .kind = EVENT_CANCEL };
  if (is_steppable (world, index))
    world_event (world, index, &event);
}

static inline void
world_kill_vm (world_t *world, vm_id_t vm)
{
  for (size_t i = 0; i < N_FLIGHTS; i++)
    if (world->flights[i].vm == vm)
      world->flights[i].alive = false;
  for (size_t i = 0; i < N_WORKS; i++)
    if (world->works[i].stage == WORK_CLAIMED && world->works[i].backend == vm)
      world->works[i].stage = WORK_NONE;
  world->frozen[vm] = false;
  world_start_vm (world, vm);
}

static void
tick_flight (world_t *world, int index)
{
  flight_t *flight = &world->flights[index];
  if (!is_steppable (world, index))
    return;
  if (flight->has_claim && world->now >= claim_wakeup (&flight->claim))
    {
      claim_requests_t requests = { 0 };
      claim_tick (&flight->claim, world->now, &requests);
      deliver_claim_requests (world, index, &requests);
      claim_settled (world, index);
    }
  const request_event_t event = { .kind = EVENT_TICK };
  if (world->now >= request_wakeup (&flight->request))
    world_event (world, index, &event);
}

/* Advance the clock by SPAN: backend servers stop work that is past its
   deadline, requests and slots run their timers, and settled flights end.  */
static inline void
world_advance (world_t *world, usec_t span)
{
  world->now += span;
  for (size_t i = 0; i < N_WORKS; i++)
    if (world->works[i].stage == WORK_RUNNING
        && world->now >= world->works[i].deadline)
      world->works[i].stage = WORK_NONE;
  for (int i = 0; i < N_FLIGHTS; i++)
    tick_flight (world, i);
  for (vm_id_t i = 0; i < N_VMS; i++)
    if (!world->frozen[i])
      slots_tick (world->slots[i], world->now);
  /* Free the settled flights for new requests; a hop only after its parent
     has ended or has another hop.  */
  for (size_t i = 0; i < N_FLIGHTS; i++)
    {
      flight_t *flight = &world->flights[i];
      bool is_needed = flight->parent != NO_FLIGHT
                       && world->flights[flight->parent].alive
                       && world->flights[flight->parent].hop == (int)i;
      if (flight->arrived && flight->request.phase == REQUEST_SETTLED
          && !is_needed)
        flight->alive = false;
    }
}

#endif
