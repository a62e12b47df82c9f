/* job_claim: a job's claim on its ticket.  For job.c only, as are the events
   that both raise.  */

#ifndef ENTRY_JOB_CLAIM_H
#define ENTRY_JOB_CLAIM_H

#include "entry/job.h"

/* Give the request EVENT and perform_action on what it says.  */
void job_handle_event (job_t *job, const request_event_t *event, usec_t now);

/* An event that has nothing but its kind.  */
void job_handle_simple_event (job_t *job, request_event_kind_t kind,
                              usec_t now);

/* Start a claim in place of the former one.  */
void job_claim_start (job_t *job, claim_intent_t intent, usec_t now);

void job_claim_tick (job_t *job, usec_t now);
void job_claim_release (job_t *job, usec_t now);
void job_claim_record (job_t *job, usec_t now);

#endif
