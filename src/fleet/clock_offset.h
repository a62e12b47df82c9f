/* clock_offset: how long a message was under way, from the sender's clock.

   The difference between two monotonic clocks stays the same.  So the message
   with the smallest difference between arrival and sending was the fastest,
   and every other one took longer by the excess of its difference.  The time
   that the fastest one took is not known and counts as 0.

   TCP delivers what was written before a cut after it, seconds late.  Ages in
   such a message count from its sending and not from its arrival.  */

#ifndef FLEET_CLOCK_OFFSET_H
#define FLEET_CLOCK_OFFSET_H

#include "base/time_defs.h"

/* The estimate for one sender.  Zero initialized at first.  */
typedef struct clock_offset
{
  usec_t window_at;    /* when the current window began; 0: no message yet */
  usec_t least;        /* difference of the clocks in the current window */
  usec_t least_before; /* in the window before */
} clock_offset_t;

/* Record a message that was sent at SENT_AT by its sender's clock and arrived
   at NOW by the local one.  Returns the time that it was under way, in usec.
   A SENT_AT that no clock shows is ignored and counts as NOW.  A sender whose
   clock began anew after a reboot is recognized by a difference
   that no delay explains.  */
usec_t clock_offset_delay (clock_offset_t *offset, usec_t sent_at, usec_t now);

#endif
