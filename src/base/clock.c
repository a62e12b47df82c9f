#include "base/clock.h"

#include <time.h>

enum
{
  NSEC_PER_USEC = 1000,
};

static usec_t
clock_read (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return now.tv_sec * USEC_PER_SEC + now.tv_nsec / NSEC_PER_USEC;
}

usec_t
clock_monotonic (void)
{
  return clock_read (CLOCK_BOOTTIME);
}

usec_t
clock_wall (void)
{
  return clock_read (CLOCK_REALTIME);
}
