#include "router/stop_plan.h"

/* Parts of the grace.  A request that was taken before the first has the rest
   of it to run; callers that heard nothing are answered until the second.  */
static const double serve_part = 0.45;
static const double answer_part = 0.88;

/* The process ends so long before it would be killed.  */
#define STOP_MARGIN (500 * USEC_PER_MSEC)

stop_phase_t
stop_plan_phase (usec_t span, usec_t grace, size_t n_under_way)
{
  if (span < (usec_t)((double)grace * serve_part))
    return STOP_SERVES;
  if (span >= grace - STOP_MARGIN)
    return STOP_ENDS;
  if (n_under_way == 0 && span >= (usec_t)((double)grace * answer_part))
    return STOP_ENDS;
  return STOP_REFUSES;
}
