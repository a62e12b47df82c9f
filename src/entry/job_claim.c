#include "entry/job_claim.h"

#include <stdlib.h>

enum
{
  VOTE_TIMEOUT_MSEC = 100,
  CONTEND_PAUSE_MSEC = 30,
  POLL_INTERVAL_MSEC = 40,
  ASK_TIMEOUT_MSEC = 1000,
  REFUSAL_MSEC = 300, /* before the deadline, to learn that it won't run */
};

static void
call_replica (job_t *job, uint8_t replica, ledger_op_t op, usec_t now)
{
  job_context_t *context = job->context;
  ledger_request_t message = claim_make_request (&job->claim, op);
  if (op == LEDGER_RECORD)
    message.outcome = job->recorded_outcome;
  vm_id_t vm = job->claim.options.ticket.replicas[replica].vm;
  if (vm == context->self)
    {
      peer_vote_t *vote = peer_ledger_call_local (context->peers, job->id,
                                                  replica, &message);
      job_on_vote (job, vote, now);
      free (vote);
      return;
    }
  const peer_ledger_call_t call
      = { .vm = vm,
          .job_id = job->id,
          .replica = replica,
          .timeout = ASK_TIMEOUT_MSEC * USEC_PER_MSEC,
          .message = &message,
          .receiver = context->receive_vote,
          .closure = context->closure };
  peer_ledger_call_replica (context->peers, &call);
}

static void
call_replicas (job_t *job, const claim_requests_t *requests, usec_t now)
{
  for (size_t i = 0; i < requests->n; i++)
    call_replica (job, requests->items[i].replica, requests->items[i].op, now);
}

/* Report the claim's result to the request, once it is settled.  */
static void
report_claim (job_t *job, usec_t now)
{
  if (!job->request.claim_pending || !claim_is_settled (&job->claim))
    return;
  request_event_t event = { .kind = EVENT_CLAIM_SETTLED };
  event.as.claim.phase = job->claim.phase;
  event.as.claim.cause = job->claim.cause;
  event.as.claim.generation = job->claim.generation;
  event.as.claim.status = job->claim.outcome.status;
  event.as.claim.body_kept = job->claim.outcome.body_kept;
  job_handle_event (job, &event, now);
}

void
job_claim_start (job_t *job, claim_intent_t intent, usec_t now)
{
  job_context_t *context = job->context;
  if (job->has_claim)
    claim_destroy (&job->claim);
  usec_t deadline = request_wakeup (&job->request);
  const claim_options_t options
      = { .order = CLAIM_ORDER_SEQUENTIAL,
          .intent = intent,
          .ticket = job->exchange->parsed_ticket,
          .attempt = { .vm = context->self,
                       .incarnation = context->incarnation,
                       .number = ++context->last_attempt_number },
          .fingerprint = job->fingerprint,
          .vote_timeout = VOTE_TIMEOUT_MSEC * USEC_PER_MSEC,
          .collect_until = deadline - REFUSAL_MSEC * USEC_PER_MSEC,
          .contention_backoff = CONTEND_PAUSE_MSEC * USEC_PER_MSEC,
          .poll_interval = POLL_INTERVAL_MSEC * USEC_PER_MSEC,
          .deadline = deadline };
  claim_requests_t requests = { 0 };
  claim_start (&job->claim, &options, now, &requests);
  job->has_claim = true;
  call_replicas (job, &requests, now);
  report_claim (job, now);
}

void
job_on_vote (job_t *job, const peer_vote_t *vote, usec_t now)
{
  if (!job->has_claim)
    return;
  if (job->request.phase == REQUEST_ANSWERED)
    {
      if (vote->is_answered && vote->vote.kind == VOTE_DONE
          && ++job->n_record_votes
                 >= ticket_majority (&job->claim.options.ticket))
        job_handle_simple_event (job, EVENT_RECORDED, now);
      return;
    }
  claim_requests_t requests = { 0 };
  if (vote->is_answered)
    claim_on_vote (&job->claim, vote->replica, &vote->vote, now, &requests);
  else
    claim_on_failure (&job->claim, vote->replica, now, &requests);
  call_replicas (job, &requests, now);
  report_claim (job, now);
}

void
job_claim_tick (job_t *job, usec_t now)
{
  if (!job->has_claim || claim_is_settled (&job->claim)
      || now < claim_wakeup (&job->claim))
    return;
  claim_requests_t requests = { 0 };
  claim_tick (&job->claim, now, &requests);
  call_replicas (job, &requests, now);
  report_claim (job, now);
}

void
job_claim_release (job_t *job, usec_t now)
{
  claim_requests_t requests = { 0 };
  claim_release (&job->claim, &requests);
  call_replicas (job, &requests, now);
}

void
job_claim_record (job_t *job, usec_t now)
{
  claim_requests_t requests = { 0 };
  claim_record (&job->claim, &requests);
  call_replicas (job, &requests, now);
}
