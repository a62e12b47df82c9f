/* queue_wait: whether a request is worth its place in a router's queue, and
   when a caller that was refused finds room.  Pure.

   Load pattern: more requests than slots for some seconds.  A queue whose wait
   is longer than an answer within the target latency allows makes every answer
   late.  So a request that can't be answered within its route's target latency
   is refused when it arrives, as not run, while others use the places.

   A request that waits no longer than until the next place is free is never
   refused, however long it runs.  The wait counts only requests of the same or
   a higher priority.  Of the requests of one kind (route and client account)
   at most QUEUE_WAIT_REFUSED_MAX in a row are refused on arrival, so that none
   is starved by that; refusals of queued requests are not counted.  */

#ifndef BALANCE_QUEUE_WAIT_H
#define BALANCE_QUEUE_WAIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/random.h"
#include "base/time_defs.h"

enum
{
  QUEUE_WAIT_REFUSED_MAX = 8,
  QUEUE_WAIT_KINDS = 512, /* a power of two; of kinds that share entries the
                             one that was refused least is forgotten */
};

typedef struct queue_forecast
{
  usec_t waited;     /* since the request arrived */
  usec_t wait;       /* from now until it gets a place; 0: not known */
  usec_t run;        /* the shortest expected */
  usec_t target;     /* latency, from the arrival; the time until the deadline
                        if that is earlier or the route has no target */
  usec_t place_time; /* between two places that become free; 0: not known */
} queue_forecast_t;

typedef struct queue_kind
{
  uint64_t kind;
  uint32_t n_refused; /* on arrival, in a row */
} queue_kind_t;

/* Zero-initialized: nothing was refused.  */
typedef struct queue_wait
{
  queue_kind_t kinds[QUEUE_WAIT_KINDS];
} queue_wait_t;

/* When the callers that one service's queue refused come back.
   Zero-initialized: none does.  */
typedef struct queue_returns
{
  usec_t last_at; /* monotonic; the latest return that was promised room */
} queue_returns_t;

/* The longest wait, from the arrival, that leaves a request with FORECAST time
   for its run within its target latency; at least the time of one place.  */
usec_t queue_wait_max (const queue_forecast_t *forecast);

/* Whether a request with FORECAST would be answered later than its target
   latency because of its wait, and would wait for more than one place.  */
bool queue_wait_is_too_long (const queue_forecast_t *forecast);

/* Whether a request with FORECAST, of whose time LEFT is left, can still be
   answered before its deadline if it gets a place now.  */
bool queue_wait_can_end (const queue_forecast_t *forecast, usec_t left);

/* Whether the request of KIND (a hash) with FORECAST is refused on its
   arrival.  Sets *IS_EXEMPT if its wait is too long, but enough of its kind
   were refused: it goes first, and is not refused later.  */
bool queue_wait_refuses (queue_wait_t *wait, uint64_t kind,
                         const queue_forecast_t *forecast, bool *is_exempt);

/* The time after which a caller that was refused with FORECAST finds room:
   when the queue has drained so far, and behind those that were told to come
   back before it, one for each place.  At least QUEUE_RETURN_MIN and at most
   MOST, or QUEUE_RETURN_MIN if that is later; callers beyond MOST are spread
   over its second half.  */
usec_t queue_wait_return (queue_returns_t *returns,
                          const queue_forecast_t *forecast, usec_t most,
                          random_state_t *random, usec_t now);

#define QUEUE_RETURN_MIN (50 * USEC_PER_MSEC)

#endif
