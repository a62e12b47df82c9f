#include "router/shutdown_phase.h"

/* Fractions of the grace period.  New requests are accepted during the first,
   so that each has the rest of the period to run.  Callers with an outdated
   look-up result are answered with a refusal until the second, even if no
   request is active.  */
static const double serve_fraction = 0.45;
static const double linger_fraction = 0.88;

/* The process exits this long before it would be killed.  */
#define EXIT_MARGIN (500 * USEC_PER_MSEC)

shutdown_phase_t
shutdown_phase_at (usec_t elapsed, usec_t grace, size_t n_active)
{
  if (elapsed < (usec_t)((double)grace * serve_fraction))
    return SHUTDOWN_SERVE;
  if (elapsed >= grace - EXIT_MARGIN)
    return SHUTDOWN_EXIT;
  if (n_active == 0 && elapsed >= (usec_t)((double)grace * linger_fraction))
    return SHUTDOWN_EXIT;
  return SHUTDOWN_REFUSE;
}
