/* clock: reads the VM's clocks and waits with a time-out.  Functions that
   make decisions don't call these: the current time is passed to them as an
   argument.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <pthread.h>

#include "base/time_defs.h"

/* Returns microseconds on a clock that is never stepped and that includes the
   time the VM is suspended, so that a lease also expires while its holder is
   suspended.  */
usec_t clock_monotonic (void);

/* Returns microseconds since 1970-01-01 UTC, only for logs and for display to
   operators: this clock may be stepped.  */
usec_t clock_wall (void);

/* Wait until CHANGED is signalled or SPAN microseconds have passed.  LOCK must
   be held; the wait releases and reacquires it.  May return early (spurious
   wake-up), so the caller checks its condition again.  */
void clock_wait (pthread_cond_t *changed, pthread_mutex_t *lock, usec_t span);

#endif
