#include "entry/job_place.h"

#include "entry/job_claim.h"
#include "placement/topology.h"

enum
{
  PLACE_INTERVAL_MSEC = 2,
  HOP_WAIT_MSEC = 20, /* for a slot, before another entry VM is told no */
};

/* A request that may have crashed a backend server runs alone, or not at
   all.  */
static placement_t
apply_quarantine (job_t *job, placement_t found)
{
  quarantine_verdict_t verdict = shared_quarantine_check (
      job->context->quarantine, job->fingerprint, found.backend);
  bool waits
      = verdict == QUARANTINE_TRY_ELSEWHERE && found.kind == PLACE_LOCAL;
  if (verdict != QUARANTINE_REFUSE && !waits)
    return found;
  if (found.kind == PLACE_LOCAL)
    slots_release (backend_table_slots (job->context->backends), &found.token);
  found.kind = waits ? PLACE_WAIT : PLACE_QUARANTINED;
  return found;
}

/* Charge what going to PLACE costs.  The VM that the caller chose pays; one
   that it was forwarded to does not.  */
static costs_result_t
charge (job_t *job, const placement_t *place, usec_t now)
{
  if (job->request.options.role == REQUEST_HOP)
    return COSTS_CHARGED;
  const topology_t *topology = &job->context->settings->topology;
  vm_id_t vm = place->kind == PLACE_FORWARD ? place->vm : job->context->self;
  const costs_request_t use = { .service = job->exchange->service,
                                .region = topology_region_of_vm (topology, vm),
                                .request_bytes = job->exchange->body_bytes };
  job->is_sent = false;
  return costs_charge (job->context->costs, &use, &job->charge, now);
}

static bool
is_hop (const job_t *job)
{
  return job->request.options.role == REQUEST_HOP;
}

/* The first place that is free and paid for; another region is tried where
   the link to one is full.  Who finds no slot is in the line then.  */
static placement_t
find_place (job_t *job, request_reason_t *reason, usec_t now)
{
  for (;;)
    {
      placement_t found = backend_table_place (
          job->context->backends, job->exchange->service,
          job->request.options.deadline, job->excluded_vms, !is_hop (job),
          now);
      if (found.kind == PLACE_WAIT)
        wait_queue_push (job->context->wait_queue, &job->wait_item);
      else
        wait_queue_remove (job->context->wait_queue, &job->wait_item);
      found = apply_quarantine (job, found);
      if (found.kind != PLACE_LOCAL && found.kind != PLACE_FORWARD)
        return found;
      costs_result_t costs = charge (job, &found, now);
      if (costs == COSTS_CHARGED)
        return found;
      if (found.kind == PLACE_LOCAL)
        slots_release (backend_table_slots (job->context->backends),
                       &found.token);
      if (costs == COSTS_RETRY_LATER)
        return (placement_t){ .kind = PLACE_WAIT };
      *reason
          = costs == COSTS_CAP_REACHED ? REASON_COST_CAP : REASON_LINK_FULL;
      if (costs == COSTS_CAP_REACHED)
        return (placement_t){ .kind = PLACE_NONE };
      job->excluded_vms |= UINT64_C (1) << found.vm;
    }
}

static bool
wait_has_expired (const job_t *job, usec_t now)
{
  return is_hop (job)
         && now - job->waiting_since > HOP_WAIT_MSEC * USEC_PER_MSEC;
}

void
job_place (job_t *job, usec_t now)
{
  request_event_t event = { .kind = EVENT_NOT_PLACED };
  event.as.reason = REASON_NO_CAPACITY;
  placement_t found = find_place (job, &event.as.reason, now);
  if (found.kind == PLACE_QUARANTINED)
    event.as.reason = REASON_QUARANTINED;
  switch (found.kind)
    {
    case PLACE_LOCAL:
      event.kind = EVENT_ADMITTED;
      event.as.admitted.backend = job->backend = found.backend;
      event.as.admitted.token = found.token;
      break;
    case PLACE_FORWARD:
      event.kind = EVENT_FORWARD;
      event.as.forward = job->forward_vm = found.vm;
      job->backend = found.backend;
      break;
    case PLACE_WAIT:
      if (wait_has_expired (job, now))
        break;
      job->is_waiting = true;
      job->next_placement_at = now + PLACE_INTERVAL_MSEC * USEC_PER_MSEC;
      job->excluded_vms = 0;
      return;
    case PLACE_NONE:
    case PLACE_QUARANTINED:
      break;
    }
  job->is_waiting = false;
  if (event.kind == EVENT_NOT_PLACED)
    wait_queue_remove (job->context->wait_queue, &job->wait_item);
  else
    wait_queue_mark_running (job->context->wait_queue, &job->wait_item);
  job_handle_event (job, &event, now);
}

/* Whether its answer would come after the deadline.  Only while others wait:
   else it is tried, which also shows when a service is quick again.  */
static bool
misses_deadline (const job_t *job, usec_t now)
{
  wait_estimate_t forecast
      = wait_queue_estimate (job->context->wait_queue, &job->wait_item);
  usec_t wait
      = job->wait_item.state == WAIT_NOT_QUEUED ? forecast.wait_time : 0;
  return now + wait + forecast.run_time >= job->request.options.deadline;
}

static void
refuse_for_deadline (job_t *job, usec_t now)
{
  request_event_t event = { .kind = EVENT_NOT_PLACED };
  event.as.reason = REASON_NO_CAPACITY;
  job->is_waiting = false;
  wait_queue_remove (job->context->wait_queue, &job->wait_item);
  job_handle_event (job, &event, now);
}

/* Place it now, or behind those of its service who wait already; refuse it at
   once where its turn would come too late.  */
void
job_place_begin (job_t *job, usec_t now)
{
  job->waiting_since = now;
  if (wait_queue_is_empty (job->context->wait_queue, job->exchange->service))
    {
      job_place (job, now);
      return;
    }
  if (misses_deadline (job, now))
    {
      refuse_for_deadline (job, now);
      return;
    }
  job->is_waiting = true;
  wait_queue_push (job->context->wait_queue, &job->wait_item);
}

void
job_place_tick (job_t *job, usec_t now)
{
  if (!job->is_waiting || job->request.phase != REQUEST_PLACING)
    return;
  bool is_due = job->wait_item.state == WAIT_NOT_QUEUED
                    ? now >= job->next_placement_at
                    : wait_has_expired (job, now);
  if (is_due && !is_hop (job) && misses_deadline (job, now))
    refuse_for_deadline (job, now);
  else if (is_due)
    job_place (job, now);
}
