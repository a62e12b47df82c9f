#include "balance/retry_share.h"

/* Fractions of the allowed retries that are used.  The remainder is a margin
   for routers that know fewer routers than there are, and for retries that are
   in transit.  */
static const double ratio_fraction = 0.6;
static const double base_fraction = 0.5;
static const double burst_fraction = 0.3; /* of the base; bucket size */

void
retry_share_refill (retry_share_t *share, const fleet_bounds_t *bounds,
                    size_t n_routers, usec_t now)
{
  double base = n_routers > 0 ? bounds->retry_base / (double)n_routers : 0;
  double tokens_max = base * burst_fraction > 1 ? base * burst_fraction : 1;
  if (share->refilled_at > 0 && bounds->retry_window > 0)
    share->tokens += base * base_fraction * (double)(now - share->refilled_at)
                     / (double)bounds->retry_window;
  share->refilled_at = now;
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
