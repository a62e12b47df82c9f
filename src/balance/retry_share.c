#include "balance/retry_share.h"

/* Parts of what is allowed.  The rest is room for routers that know of fewer
   others than there are, and for what is on its way.  */
static const double ratio_part = 0.6;
static const double base_part = 0.5;
static const double hand_part = 0.3; /* of the base, that may be in hand */

void
retry_share_refill (retry_share_t *share, const fleet_bounds_t *bounds,
                    size_t n_routers, usec_t now)
{
  double base = n_routers > 0 ? bounds->retry_base / (double)n_routers : 0;
  double most = base * hand_part > 1 ? base * hand_part : 1;
  if (share->refilled_at > 0 && bounds->retry_window > 0)
    share->tokens += base * base_part * (double)(now - share->refilled_at)
                     / (double)bounds->retry_window;
  share->refilled_at = now;
  share->tokens += bounds->retry_ratio * ratio_part;
  if (share->tokens > most)
    share->tokens = most;
}

bool
retry_share_take (retry_share_t *share)
{
  if (share->tokens < 1)
    return false;
  share->tokens -= 1;
  return true;
}
