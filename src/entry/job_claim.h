/* job_claim: a job's claim on its ticket, which a majority of the ticket's
   replicas grants, and the functions that pass events to the job's request.
   For the job modules only.  */

#ifndef ENTRY_JOB_CLAIM_H
#define ENTRY_JOB_CLAIM_H

#include "entry/job.h"

/* Pass EVENT to the request and perform the actions that it returns.  */
void job_handle_event (job_t *job, const request_event_t *event, usec_t now);

/* Pass an event that has no data but its KIND.  */
void job_handle_simple_event (job_t *job, request_event_kind_t kind,
                              usec_t now);

/* Start a new claim in place of the previous one.  */
void job_claim_start (job_t *job, claim_intent_t intent, usec_t now);

/* Send again to replicas whose votes are overdue at NOW.  */
void job_claim_tick (job_t *job, usec_t now);

/* Release the claim at its replicas.  */
void job_claim_release (job_t *job, usec_t now);

/* Have the replicas record the outcome.  */
void job_claim_record (job_t *job, usec_t now);

#endif
