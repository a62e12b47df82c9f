/* crash_evidence: whether a request ends the backend servers that run it, or
   merely ran there when they ended.

   Three things tell one from the other:
   - Time.  What ends many backend servers at once, such as the loss of a rack,
     is one event.  Crashes are separate if the later one came SAME_EVENT_TIME
     after the earlier one; runs that overlap can be separate.  Of a request
     that was never answered they are also if the later run was sent after the
     earlier crash.
   - Answers.  A request that ends its backend servers never has a complete
     answer.  One that had one shortly before its first crash needs more
     evidence; a complete answer afterwards discards all of it (crash_table).
   - Other requests.  A crash at which a request that is already quarantined
     was running is explained by that one, and counts against no other.

   A request is quarantined after

     answered before | crashes | of them separate
     no              | 3       | 3
     no              | 6       | 2
     yes             | 6       | 3

   Pure.  Only confirmed crashes count.  */

#ifndef FLEET_CRASH_EVIDENCE_H
#define FLEET_CRASH_EVIDENCE_H

#include "fleet/crash_defs.h"

/* The routers see what one event ends within this time.  */
#define SAME_EVENT_TIME (500 * USEC_PER_MSEC)
/* An answer that came longer than this before the first crash tells nothing
   of the request as the backend servers run it now.  */
#define ANSWERED_BEFORE_TIME (60 * USEC_PER_SEC)
/* After a crash, all routers know within this time what each of them has seen:
   a pull, a share between directors and a pull.  */
#define HOLD_BACK_TIME (1500 * USEC_PER_MSEC)

/* The number of SUSPECT's crashes that are separate, with the unconfirmed ones
   if WITH_UNCONFIRMED is true.  */
size_t suspect_count (const suspect_t *suspect, bool with_unconfirmed);

/* The number of SUSPECT's crashes that are confirmed.  */
size_t suspect_n_confirmed (const suspect_t *suspect);

/* Until when a request like SUSPECT, which was cut off at separate times, is
   held back, so that routers and directors tell each other of its last crash
   before it runs again; 0: it is not.  Also counts crashes that are not
   confirmed yet.  */
usec_t suspect_held_back_until (const suspect_t *suspect);

/* Whether SUSPECT ran where so many backend servers ended, at whatever times,
   that requests like it may only be tried one at a time.  Also counts crashes
   that are not confirmed yet.  */
bool suspect_is_on_trial (const suspect_t *suspect);

/* Whether a complete answer came to SUSPECT shortly before its first crash. */
bool suspect_was_answered (const suspect_t *suspect);

/* Set is_quarantined of the N SUSPECTS, by the evidence against all of them
   together.  */
void crash_evidence_judge (suspect_t *suspects, size_t n);

#endif
