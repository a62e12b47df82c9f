/* job_place: placing a job: in a slot of this entry VM, at another entry VM,
   or in the wait queue until a slot is free.  For job and the dispatcher
   only.  */

#ifndef ENTRY_JOB_PLACE_H
#define ENTRY_JOB_PLACE_H

#include "entry/job.h"

/* Place JOB now, or queue it where other requests for its service wait
   already.  A job whose turn would come after its deadline is refused.  */
void job_place_begin (job_t *job, usec_t now);

/* Try to place JOB now; it must be at the head of the queue or outside it.  */
void job_place (job_t *job, usec_t now);

/* Handle timers: try again where JOB waits for something other than a slot,
   and refuse a forwarded job that has waited so long that the entry VM that
   sent it should try another one.  */
void job_place_tick (job_t *job, usec_t now);

#endif
