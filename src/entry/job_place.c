#include "entry/job_place.h"

#include "entry/job_claim.h"
#include "placement/topology.h"

enum
{
  PLACE_INTERVAL_MSEC = 2,
  HOP_WAIT_MSEC = 20, /* for a slot, before a forwarded job is refused */
};

/* A request that may have crashed a backend server runs alone on a backend
   server, or is refused.  FOUND's slot is freed where it is not used.  */
static placement_t
apply_quarantine (job_t *job, placement_t found)
{
  quarantine_verdict_t verdict = shared_quarantine_check (
      job->context->quarantine, job->fingerprint, found.backend);
  bool must_wait
      = verdict == QUARANTINE_TRY_ELSEWHERE && found.kind == PLACE_LOCAL;
  if (verdict != QUARANTINE_REFUSE && !must_wait)
    return found;
  if (found.kind == PLACE_LOCAL)
    slots_release (backend_table_slots (job->context->backends), &found.token);
  found.kind = must_wait ? PLACE_WAIT : PLACE_QUARANTINED;
  return found;
}

/* Charge the costs of sending the job to PLACE.  Only the entry VM that
   received the request from the caller charges, not one that it is forwarded
   to.  */
static costs_result_t
charge_costs (job_t *job, const placement_t *place, usec_t now)
{
  if (job->request.options.role == REQUEST_HOP)
    return COSTS_CHARGED;
  const topology_t *topology = &job->context->settings->topology;
  vm_id_t vm = place->kind == PLACE_FORWARD ? place->vm : job->context->self;
  const costs_request_t request
      = { .service = job->exchange->service,
          .region = topology_region_of_vm (topology, vm),
          .request_bytes = job->exchange->body_bytes };
  job->is_sent = false;
  return costs_charge (job->context->costs, &request, &job->charge, now);
}

static bool
is_hop (const job_t *job)
{
  return job->request.options.role == REQUEST_HOP;
}

/* The first placement that has a slot and whose costs could be charged; where
   the link to a region has no bandwidth left, another region is tried.  A job
   that found no slot is in the wait queue afterwards.  */
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
      costs_result_t result = charge_costs (job, &found, now);
      if (result == COSTS_CHARGED)
        return found;
      if (found.kind == PLACE_LOCAL)
        slots_release (backend_table_slots (job->context->backends),
                       &found.token);
      if (result == COSTS_RETRY_LATER)
        return (placement_t){ .kind = PLACE_WAIT };
      *reason
          = result == COSTS_CAP_REACHED ? REASON_COST_CAP : REASON_LINK_FULL;
      if (result == COSTS_CAP_REACHED)
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

/* Whether the job's answer is expected after the deadline.  There is an
   estimate only while requests wait; otherwise the job is tried, which also
   detects that a service has become fast again.  */
static bool
misses_deadline (const job_t *job, usec_t now)
{
  wait_estimate_t forecast
      = wait_queue_estimate (job->context->wait_queue, &job->wait_item);
  usec_t wait_time
      = job->wait_item.state == WAIT_NOT_QUEUED ? forecast.wait_time : 0;
  return now + wait_time + forecast.run_time >= job->request.options.deadline;
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
