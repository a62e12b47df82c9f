/* job_place: finding a job its slot: here, at another entry VM, or after a
   wait in the line.  For job and the dispatcher only.  */

#ifndef ENTRY_JOB_PLACE_H
#define ENTRY_JOB_PLACE_H

#include "entry/job.h"

/* Place it now, or behind those of its service who wait already.  */
void job_place_begin (job_t *job, usec_t now);

/* Try now: it is the first in the line.  */
void job_place (job_t *job, usec_t now);

/* Time passed: try again where it waits for something else than a slot, and
   give up where another entry VM may do better.  */
void job_place_tick (job_t *job, usec_t now);

#endif
