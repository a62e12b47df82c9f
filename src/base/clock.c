#include "base/clock.h"

#include <time.h>

enum
{
  NSEC_PER_USEC = 1000,
  NSEC_PER_SEC = 1000000000,
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

void
clock_wait (pthread_cond_t *changed, pthread_mutex_t *lock, usec_t span)
{
  struct timespec until;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += (span % USEC_PER_SEC) * NSEC_PER_USEC;
  until.tv_sec += span / USEC_PER_SEC + until.tv_nsec / NSEC_PER_SEC;
  until.tv_nsec %= NSEC_PER_SEC;
  pthread_cond_clockwait (changed, lock, CLOCK_MONOTONIC, &until);
}
