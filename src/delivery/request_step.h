/* request_step: what the steps of a request have in common.  For request.c
   only.  */

#ifndef DELIVERY_REQUEST_STEP_H
#define DELIVERY_REQUEST_STEP_H

#include "delivery/request.h"

/* What one step works on.  */
typedef struct step
{
  request_t *request;
  const request_event_t *event;
  retry_budget_t *budget;
  request_counters_t *counters;
  usec_t now;
  request_actions_t *actions;
} step_t;

/* The next action, to be filled in.  */
request_action_t *step_add_action (step_t *step, request_action_kind_t kind);

/* Ask the ledger to run, or to make a refusal true.  */
void step_start_claim (step_t *step, claim_intent_t intent);

/* Tell the outcome, where none was told yet.  */
void step_tell (step_t *step, request_outcome_t outcome);

/* Nothing is left to do.  */
void step_settle (step_t *step);

/* Stay in PHASE for late events.  */
void step_linger (step_t *step, request_phase_t phase);

/* Give the slot back, where one is held.  */
void step_release_slot (step_t *step);

void step_tell_not_run (step_t *step, request_reason_t reason,
                        uint32_t generation);

/* Tell, and settle.  */
void step_tell_unknown (step_t *step, request_reason_t reason);

/* The claim was won, and nothing was sent.  */
void step_release_claim (step_t *step);

/* End as "not run", or as "unknown" where that may be untrue.  */
void step_refuse (step_t *step, request_reason_t reason);

/* Look for a target.  */
void step_place (step_t *step);

bool step_may_send_again (const step_t *step);

/* Try elsewhere within the budget, or end.  */
void step_retry (step_t *step, request_reason_t reason);

/* The present attempt failed.  */
void step_fail_attempt (step_t *step, request_reason_t reason);

void step_send_now (step_t *step);

/* The request ends, but its target or its claim has not yet.  */
void step_abandon (step_t *step, request_reason_t reason);

bool step_is_past_deadline (const step_t *step);

#endif
