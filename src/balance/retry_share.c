#include "balance/retry_share.h"

#include <math.h>

/* Fractions of the allowed retries that are used.  The remainder is a margin
   for routers that know fewer routers than there are, and for retries that are
   in transit.  */
static const double ratio_fraction = 0.65;
static const double base_fraction = 0.5;
/* The size of the bucket is the sum of these.  */
static const double base_burst_fraction = 0.3;
static const double ratio_burst_fraction = 0.2;

/* Refills for the time since the last refill, and counts a request.  */
static void
pass_time (retry_share_t *share, const fleet_bounds_t *bounds, double base,
           usec_t now)
{
  if (share->refilled_at > 0 && bounds->retry_window > 0)
    {
      double windows
          = (double)(now - share->refilled_at) / (double)bounds->retry_window;
      share->tokens += base * base_fraction * windows;
      share->n_requests *= exp (-windows);
    }
  share->refilled_at = now;
  share->n_requests++;
}

void
retry_share_refill (retry_share_t *share, const fleet_bounds_t *bounds,
                    size_t n_routers, usec_t now)
{
  double base = n_routers > 0 ? bounds->retry_base / (double)n_routers : 0;
  pass_time (share, bounds, base, now);
  double tokens_max
      = base * base_burst_fraction
        + bounds->retry_ratio * ratio_burst_fraction * share->n_requests;
  if (tokens_max < 1)
    tokens_max = 1;
  share->tokens += bounds->retry_ratio * ratio_fraction;
  if (share->tokens > tokens_max)
    share->tokens = tokens_max;
}

bool
retry_share_take (retry_share_t *share)
{
  if (share->tokens < 1)
    return false;
  share->tokens -= 1;
  return true;
}
