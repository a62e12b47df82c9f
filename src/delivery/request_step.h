/* request_step: helpers shared by the steps of the request state machine.
   Private to request.c and request_step.c.  */

#ifndef DELIVERY_REQUEST_STEP_H
#define DELIVERY_REQUEST_STEP_H

#include "delivery/request.h"

/* The arguments of one step of the state machine.  */
typedef struct step
{
  request_t *request;
  const request_event_t *event; /* NULL in request_start */
  retry_budget_t *budget;       /* NULL in request_start */
  request_counters_t *counters; /* NULL in request_start */
  usec_t now;
  request_actions_t *actions;
} step_t;

/* Append an action of KIND; the caller fills in the rest of the result.  */
request_action_t *step_add_action (step_t *step, request_action_kind_t kind);

/* Ask the ledger for the right to run, or to guarantee a refusal.  */
void step_start_claim (step_t *step, claim_intent_t intent);

/* Report OUTCOME, unless an outcome was reported already.  */
void step_report (step_t *step, request_outcome_t outcome);

/* Enter the final phase.  */
void step_settle (step_t *step);

/* Enter PHASE and stay there for late events, up to the linger timeout.  */
void step_linger (step_t *step, request_phase_t phase);

/* Release the slot, where one is held.  */
void step_release_slot (step_t *step);

/* Report "not run" and enter the final phase.  */
void step_report_not_run (step_t *step, request_reason_t reason,
                          uint32_t generation);

/* Report "unknown" and enter the final phase.  */
void step_report_unknown (step_t *step, request_reason_t reason);

/* Release a claim that was won and under which nothing was sent.  */
void step_release_claim (step_t *step);

/* End as "not run", or as "unknown" where an attempt may have run.  */
void step_refuse (step_t *step, request_reason_t reason);

/* Look for a target.  */
void step_place (step_t *step);

/* Whether this VM is the origin and has sends and time left.  */
bool step_may_send_again (const step_t *step);

/* Try another target where the retry budget allows it, else end.  */
void step_retry (step_t *step, request_reason_t reason);

/* The current attempt failed: retry or end.  */
void step_fail_attempt (step_t *step, request_reason_t reason);

/* Start the next send to the current target.  */
void step_send_now (step_t *step);

/* End the request while its target or its claim is still active.  */
void step_abandon (step_t *step, request_reason_t reason);

bool step_is_past_deadline (const step_t *step);

#endif
