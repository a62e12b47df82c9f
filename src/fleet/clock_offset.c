#include "fleet/clock_offset.h"

#include "fleet/fleet_defs.h"

/* Long enough to see a message without delay, and short enough that the drift
   of the clocks does not count.  */
#define WINDOW (10 * USEC_PER_SEC)
/* No message is under way for longer.  */
#define DELAY_MAX (60 * USEC_PER_SEC)

static usec_t
least_of (const clock_offset_t *offset)
{
  return offset->least < offset->least_before ? offset->least
                                              : offset->least_before;
}

usec_t
clock_offset_delay (clock_offset_t *offset, usec_t sent_at, usec_t now)
{
  if (sent_at < 0 || sent_at > FLEET_TIME_MAX)
    return 0;
  usec_t difference = now - sent_at;
  if (offset->window_at == 0 || difference - least_of (offset) > DELAY_MAX)
    {
      *offset = (clock_offset_t){ .window_at = now,
                                  .least = difference,
                                  .least_before = difference };
      return 0;
    }
  if (now >= offset->window_at + WINDOW)
    {
      offset->window_at = now;
      offset->least_before = offset->least;
      offset->least = difference;
    }
  else if (difference < offset->least)
    offset->least = difference;
  return difference - least_of (offset);
}
