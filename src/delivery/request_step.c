#include "delivery/request_step.h"

request_action_t *
step_add_action (step_t *step, request_action_kind_t kind)
{
  request_action_t *action = &step->actions->items[step->actions->n++];
  *action = (request_action_t){ .kind = kind };
  return action;
}

void
step_start_claim (step_t *step, claim_intent_t intent)
{
  step->request->claim_pending = true;
  step_add_action (step, ACTION_CLAIM)->as.intent = intent;
}

void
step_report (step_t *step, request_outcome_t outcome)
{
  if (step->request->outcome_reported)
    return;
  step->request->outcome_reported = true;
  step_add_action (step, ACTION_REPORT_OUTCOME)->as.outcome = outcome;
}

void
step_settle (step_t *step)
{
  step->request->phase = REQUEST_SETTLED;
}

void
step_linger (step_t *step, request_phase_t phase)
{
  step->request->phase = phase;
  step->request->phase_deadline
      = step->now + step->request->options.linger_timeout;
}

void
step_release_slot (step_t *step)
{
  request_t *request = step->request;
  if (!request->slot_held)
    return;
  request->slot_held = false;
  step_add_action (step, ACTION_RELEASE_SLOT)->as.token = request->token;
}

/* The work may continue: only a confirmation, or the deadline, releases the
   slot.  */
static void
cancel_slot (step_t *step)
{
  if (step->request->slot_held)
    step_add_action (step, ACTION_CANCEL_SLOT)->as.token
        = step->request->token;
}

void
step_report_not_run (step_t *step, request_reason_t reason,
                     uint32_t generation)
{
  step_report (step, (request_outcome_t){ .kind = OUTCOME_NOT_RUN,
                                          .reason = reason,
                                          .generation = generation });
  step_settle (step);
}

void
step_report_unknown (step_t *step, request_reason_t reason)
{
  step_report (
      step, (request_outcome_t){ .kind = OUTCOME_UNKNOWN, .reason = reason });
  step_settle (step);
}

void
step_release_claim (step_t *step)
{
  step->request->claim_won = false;
  step_add_action (step, ACTION_RELEASE_CLAIM);
}

void
step_refuse (step_t *step, request_reason_t reason)
{
  request_t *request = step->request;
  if (request->may_have_run)
    {
      step_report_unknown (step, reason);
      return;
    }
  if (request->claim_won)
    {
      step_release_claim (step);
      step_report_not_run (step, reason, request->options.generation);
      return;
    }
  if (request->options.idempotent || request->options.role == REQUEST_HOP)
    {
      step_report_not_run (step, reason, 0);
      return;
    }
  request->reason = reason;
  request->phase = REQUEST_REFUSING;
  request->phase_deadline = step->now + request->options.refusal_timeout;
  if (request->phase_deadline < request->options.deadline)
    request->phase_deadline = request->options.deadline;
  step_start_claim (step, CLAIM_TO_REFUSE);
}

void
step_place (step_t *step)
{
  request_t *request = step->request;
  request->phase = REQUEST_PLACING;
  request->forwarded = false;
  request->send_started = false;
  step_add_action (step, ACTION_PLACE);
}

bool
step_may_send_again (const step_t *step)
{
  const request_t *request = step->request;
  return request->options.role == REQUEST_ORIGIN
         && request->n_sends < request->options.max_sends
         && step->now < request->options.deadline;
}

void
step_retry (step_t *step, request_reason_t reason)
{
  if (!step_may_send_again (step))
    {
      step_refuse (step, reason);
      return;
    }
  if (!retry_budget_withdraw (step->budget))
    {
      step->counters->retries_denied++;
      step_refuse (step, REASON_RETRY_BUDGET);
      return;
    }
  step->counters->retries++;
  step_place (step);
}

void
step_fail_attempt (step_t *step, request_reason_t reason)
{
  request_t *request = step->request;
  if (!request->send_started)
    {
      step_release_slot (step);
      step_retry (step, reason);
      return;
    }
  cancel_slot (step);
  request->slot_held = false;
  if (request->options.idempotent)
    {
      request->may_have_run = true;
      step_retry (step, reason);
      return;
    }
  /* After a forward, the ledger decides whether the other entry VM ran the
     request.  */
  if (!request->forwarded)
    request->may_have_run = true;
  step_refuse (step, reason);
}

void
step_send_now (step_t *step)
{
  request_t *request = step->request;
  if (request->n_sends == 0)
    retry_budget_deposit (step->budget);
  request->n_sends++;
  request->send_started = false;
  request->received_bytes = 0;
  request->send_id = request->options.id + request->n_sends;
  request->phase = REQUEST_CLAIMED;
  step_add_action (step, ACTION_SEND)->as.send_id = request->send_id;
}

void
step_abandon (step_t *step, request_reason_t reason)
{
  request_t *request = step->request;
  bool has_target = request->phase == REQUEST_CLAIMED
                    || request->phase == REQUEST_SENT
                    || request->phase == REQUEST_RECEIVING;
  if (has_target)
    {
      step_add_action (step, ACTION_CANCEL_TARGET);
      cancel_slot (step);
    }
  else
    step_release_slot (step);
  step_report_unknown (step, reason);
  step_linger (step, REQUEST_LINGERING);
}

bool
step_is_past_deadline (const step_t *step)
{
  return step->now >= step->request->options.deadline;
}
