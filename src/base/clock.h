/* clock: reading the machine's clocks.  Decisions never call these; they
   are given the time.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <pthread.h>

#include "base/time_defs.h"

/* Microseconds on a clock that never steps and counts time in suspend, so
   that a lease lapses while its holder sleeps.  */
usec_t clock_monotonic (void);

/* Microseconds since 1970-01-01 UTC, for logs and operators only.  */
usec_t clock_wall (void);

/* Wait for CHANGED, with LOCK held, for SPAN at most.  May wake early.  */
void clock_wait (pthread_cond_t *changed, pthread_mutex_t *lock, usec_t span);

#endif
