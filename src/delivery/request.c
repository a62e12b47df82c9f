#include "delivery/request.h"

#include "delivery/request_step.h"

static void
on_placing (step_t *step)
{
  request_t *request = step->request;
  switch (step->event->kind)
    {
    case EVENT_ADMITTED:
      request->token = step->event->as.admitted.token;
      request->slot_held = true;
      if (step_is_past_deadline (step))
        {
          step_release_slot (step);
          step_refuse (step, REASON_DEADLINE);
        }
      else if (request->options.idempotent || request->claim_won)
        step_send_now (step);
      else
        {
          request->phase = REQUEST_ADMITTED;
          step_start_claim (step, CLAIM_TO_RUN);
        }
      break;
    case EVENT_FORWARD:
      /* The other entry VM could not win the claim, which this attempt
         holds.  */
      if (request->claim_won)
        {
          step_refuse (step, REASON_NO_CAPACITY);
          break;
        }
      request->forwarded = true;
      step_send_now (step);
      break;
    case EVENT_NOT_PLACED:
      step_refuse (step, step->event->as.reason);
      break;
    case EVENT_CANCEL:
      if (request->claim_won)
        step_release_claim (step);
      step_report_unknown (step, REASON_CALLER_GONE);
      break;
    case EVENT_TICK:
      if (step_is_past_deadline (step))
        step_refuse (step, REASON_DEADLINE);
      break;
    default:
      break;
    }
}

static request_reason_t
reason_for_cause (claim_cause_t cause)
{
  switch (cause)
    {
    case CLAIM_CAUSE_HELD:
    case CLAIM_CAUSE_SPLIT:
      return REASON_CLAIMED;
    case CLAIM_CAUSE_EXPIRED:
      return REASON_TICKET_EXPIRED;
    case CLAIM_CAUSE_CONFLICT:
      return REASON_TICKET_CONFLICT;
    case CLAIM_CAUSE_FULL:
      return REASON_NO_CAPACITY;
    case CLAIM_CAUSE_NONE:
    case CLAIM_CAUSE_UNREACHABLE:
    case CLAIM_CAUSE_RESTARTED:
      break;
    }
  return REASON_LEDGER;
}

static void
report_recorded (step_t *step)
{
  if (!step->event->as.claim.body_kept)
    {
      step_report_unknown (step, REASON_ANSWER_NOT_KEPT);
      return;
    }
  step_report (step,
               (request_outcome_t){ .kind = OUTCOME_ANSWER,
                                    .status = step->event->as.claim.status,
                                    .from_record = true });
  step_settle (step);
}

/* End the request as a claim that this attempt did not win says.  */
static void
end_with_claim_result (step_t *step, request_reason_t refusal_reason)
{
  request_reason_t reason = reason_for_cause (step->event->as.claim.cause);
  switch (step->event->as.claim.phase)
    {
    case CLAIM_REFUSED:
      step_report_not_run (
          step, refusal_reason == REASON_NONE ? reason : refusal_reason,
          step->event->as.claim.generation);
      break;
    case CLAIM_DONE:
      report_recorded (step);
      break;
    case CLAIM_COLLECTING:
    case CLAIM_WAITING:
    case CLAIM_WON:
    case CLAIM_UNKNOWN:
      step_report_unknown (step, reason);
      break;
    }
}

/* Handle EVENT_CANCEL and EVENT_TICK during a claim or a send.  */
static void
end_before_answer (step_t *step)
{
  if (step->event->kind == EVENT_CANCEL)
    step_abandon (step, REASON_CALLER_GONE);
  else if (step_is_past_deadline (step))
    step_abandon (step, REASON_DEADLINE);
}

static void
on_admitted (step_t *step)
{
  request_t *request = step->request;
  switch (step->event->kind)
    {
    case EVENT_CLAIM_SETTLED:
      request->claim_pending = false;
      request->claim_won = step->event->as.claim.phase == CLAIM_WON;
      if (request->claim_won && !step_is_past_deadline (step))
        {
          step_send_now (step);
          break;
        }
      step_release_slot (step);
      if (request->claim_won)
        step_refuse (step, REASON_DEADLINE);
      else
        end_with_claim_result (step, REASON_NONE);
      break;
    case EVENT_CANCEL:
    case EVENT_TICK:
      end_before_answer (step);
      break;
    default:
      break;
    }
}

static void
on_refusing (step_t *step)
{
  switch (step->event->kind)
    {
    case EVENT_CLAIM_SETTLED:
      step->request->claim_pending = false;
      end_with_claim_result (step, step->request->reason);
      break;
    case EVENT_CANCEL:
      step_report_unknown (step, REASON_CALLER_GONE);
      break;
    case EVENT_TICK:
      if (step->now >= step->request->phase_deadline)
        step_report_unknown (step, step->request->reason);
      break;
    default:
      break;
    }
}

/* Whether the event belongs to the current send; true for events that don't
   come from a target.  */
static bool
is_for_current_send (const step_t *step)
{
  switch (step->event->kind)
    {
    case EVENT_HEAD:
    case EVENT_BODY:
    case EVENT_END:
    case EVENT_TARGET_REFUSED:
    case EVENT_TARGET_UNKNOWN:
      return step->event->request_id == step->request->send_id;
    case EVENT_SEND_STARTED:
    case EVENT_CONNECTION_FAILED:
    case EVENT_CANCEL_CONFIRMED:
      return step->event->request_id == 0
             || step->event->request_id == step->request->send_id;
    default:
      return true;
    }
}

static bool
is_complete (const step_t *step)
{
  const request_t *request = step->request;
  if (request->phase != REQUEST_RECEIVING)
    return false;
  switch (request->framing)
    {
    case FRAMING_LENGTH:
      return request->received_bytes == request->expected_bytes;
    case FRAMING_CHUNKED:
      return step->event->as.answer.framed_end;
    case FRAMING_CLOSE:
      break;
    }
  return false;
}

static void
accept_head (step_t *step)
{
  request_t *request = step->request;
  request->send_started = true;
  request->phase = REQUEST_RECEIVING;
  request->status = step->event->as.answer.status;
  request->framing = step->event->as.answer.framing;
  request->expected_bytes = step->event->as.answer.length;
  request->received_bytes = 0;
}

/* Report a complete answer, unless another outcome was reported already, and
   record it where a claim is held.  */
static void
accept_answer (step_t *step)
{
  request_t *request = step->request;
  step_release_slot (step);
  step_report (step, (request_outcome_t){ .kind = OUTCOME_ANSWER,
                                          .status = request->status });
  step_settle (step);
  if (!request->claim_won)
    return;
  step_add_action (step, ACTION_RECORD);
  step_linger (step, REQUEST_ANSWERED);
}

static void
on_target_refused (step_t *step)
{
  request_t *request = step->request;
  request_reason_t reason = step->event->as.refusal.reason;
  uint32_t generation = step->event->as.refusal.generation;
  step_release_slot (step);
  request->send_started = false;
  request->may_have_run
      = request->may_have_run || step->event->as.refusal.may_have_run;
  if (request->forwarded && generation != 0)
    {
      step_report_not_run (step, reason, generation);
      return;
    }
  /* No backend server received the request, so no retry budget is spent.  */
  if (request->forwarded && step_may_send_again (step))
    {
      step_place (step);
      return;
    }
  step_retry (step, reason);
}

static void
on_target_unknown (step_t *step)
{
  if (step->request->options.idempotent)
    {
      step->request->send_started = true;
      step_fail_attempt (step, step->event->as.reason);
      return;
    }
  step_report_unknown (step, step->event->as.reason);
}

static void
on_sent (step_t *step)
{
  request_t *request = step->request;
  switch (step->event->kind)
    {
    case EVENT_SEND_STARTED:
      request->send_started = true;
      if (request->phase == REQUEST_CLAIMED)
        request->phase = REQUEST_SENT;
      break;
    case EVENT_HEAD:
      if (request->phase != REQUEST_RECEIVING)
        accept_head (step);
      break;
    case EVENT_BODY:
      request->received_bytes += step->event->as.answer.n_bytes;
      break;
    case EVENT_END:
      if (is_complete (step))
        {
          accept_answer (step);
          break;
        }
      step->counters->truncated_answers++;
      request->send_started = true;
      step_fail_attempt (step, REASON_SHORT_ANSWER);
      break;
    case EVENT_CONNECTION_FAILED:
      step_fail_attempt (step, REASON_BACKEND_FAILED);
      break;
    case EVENT_TARGET_REFUSED:
      on_target_refused (step);
      break;
    case EVENT_TARGET_UNKNOWN:
      on_target_unknown (step);
      break;
    case EVENT_CANCEL:
    case EVENT_TICK:
      end_before_answer (step);
      break;
    default:
      break;
    }
}

/* The cancelled work needs no more events.  STOPPED is true where the target
   confirmed that the work doesn't run.  */
static void
end_lingering (step_t *step, bool stopped)
{
  request_t *request = step->request;
  if (stopped || !request->send_started)
    step_release_slot (step);
  if (!request->send_started && request->claim_won)
    step_release_claim (step);
  step_settle (step);
}

/* The events before the end of a cancelled send.  */
static void
on_lingering_start (step_t *step)
{
  request_t *request = step->request;
  switch (step->event->kind)
    {
    case EVENT_CLAIM_SETTLED:
      request->claim_won = step->event->as.claim.phase == CLAIM_WON;
      if (request->claim_won)
        step_release_claim (step);
      step_settle (step);
      break;
    case EVENT_SEND_STARTED:
      request->send_started = true;
      break;
    case EVENT_HEAD:
      accept_head (step);
      request->phase = REQUEST_LINGERING;
      break;
    default:
      break;
    }
}

/* An answer that arrives after its request has ended is still recorded, so
   that a resend of the ticket receives it.  */
static void
on_lingering (step_t *step)
{
  request_t *request = step->request;
  switch (step->event->kind)
    {
    case EVENT_BODY:
      request->received_bytes += step->event->as.answer.n_bytes;
      break;
    case EVENT_END:
      if (request->status == 0)
        {
          end_lingering (step, false);
          break;
        }
      request->phase = REQUEST_RECEIVING;
      if (is_complete (step))
        accept_answer (step);
      else
        end_lingering (step, false);
      break;
    case EVENT_CANCEL_CONFIRMED:
    case EVENT_TARGET_REFUSED:
      end_lingering (step, true);
      break;
    case EVENT_TARGET_UNKNOWN:
    case EVENT_CONNECTION_FAILED:
      end_lingering (step, false);
      break;
    case EVENT_TICK:
      if (step->now >= request->phase_deadline)
        step_settle (step);
      break;
    default:
      on_lingering_start (step);
      break;
    }
}

static void
on_answered (step_t *step)
{
  bool is_over = step->event->kind == EVENT_RECORDED
                 || (step->event->kind == EVENT_TICK
                     && step->now >= step->request->phase_deadline);
  if (is_over)
    step_settle (step);
}

void
request_start (request_t *request, const request_options_t *options,
               usec_t now, request_actions_t *actions)
{
  *request = (request_t){ .options = *options };
  actions->n = 0;
  step_t step = { .request = request, .now = now, .actions = actions };
  if (step_is_past_deadline (&step))
    step_refuse (&step, REASON_DEADLINE);
  else
    step_place (&step);
}

void
request_on_event (request_t *request, const request_event_t *event,
                  retry_budget_t *budget, request_counters_t *counters,
                  usec_t now, request_actions_t *actions)
{
  actions->n = 0;
  step_t step = { .request = request,
                  .event = event,
                  .budget = budget,
                  .counters = counters,
                  .now = now,
                  .actions = actions };
  if (!is_for_current_send (&step))
    {
      counters->mismatched_answers += event->kind == EVENT_HEAD;
      return;
    }
  switch (request->phase)
    {
    case REQUEST_PLACING:
      on_placing (&step);
      break;
    case REQUEST_ADMITTED:
      on_admitted (&step);
      break;
    case REQUEST_CLAIMED:
    case REQUEST_SENT:
    case REQUEST_RECEIVING:
      on_sent (&step);
      break;
    case REQUEST_REFUSING:
      on_refusing (&step);
      break;
    case REQUEST_ANSWERED:
      on_answered (&step);
      break;
    case REQUEST_LINGERING:
      on_lingering (&step);
      break;
    case REQUEST_SETTLED:
      break;
    }
}

usec_t
request_wakeup (const request_t *request)
{
  switch (request->phase)
    {
    case REQUEST_SETTLED:
      return INT64_MAX;
    case REQUEST_REFUSING:
    case REQUEST_ANSWERED:
    case REQUEST_LINGERING:
      return request->phase_deadline;
    default:
      return request->options.deadline;
    }
}
