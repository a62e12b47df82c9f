/* time_defs: the type of all times and durations: microseconds, as a signed
   integer.  */

#ifndef BASE_TIME_DEFS_H
#define BASE_TIME_DEFS_H

#include <stdint.h>

/* A duration in microseconds, or a time on a monotonic clock, whose origin is
   arbitrary.  */
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)

#endif
