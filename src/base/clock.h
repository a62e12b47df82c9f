/* clock: reading the machine's clocks.  Decisions never call these; they
   are given the time.  */

#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include "base/time_defs.h"

/* Microseconds on a clock that never steps and counts time in suspend, so
   that a lease lapses while its holder sleeps.  */
usec_t clock_monotonic (void);

/* Microseconds since 1970-01-01 UTC, for logs and operators only.  */
usec_t clock_wall (void);

#endif
