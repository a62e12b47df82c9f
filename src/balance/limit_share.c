#include "balance/limit_share.h"

#include <stdint.h>

static size_t
n_sharers (const limit_place_t *place, double limit)
{
  if (limit >= (double)place->n_near)
    return place->n_near;
  size_t n = LIMIT_SHARERS_MIN + (size_t)limit;
  return n < place->n_near ? n : place->n_near;
}

bool
limit_share_is_sharer (const limit_place_t *place, double limit)
{
  return place->n_all == 0 || place->rank < n_sharers (place, limit);
}

/* Trials of the routers begin at different times, by SPREAD.  */
static double
trial_rate (const limit_place_t *place)
{
  double seconds = (double)LIMIT_TRIAL_INTERVAL / (double)USEC_PER_SEC
                   * (double)place->n_all;
  return (0.5 + place->spread) / seconds;
}

double
limit_share_rate (const limit_place_t *place, double limit)
{
  if (!limit_share_is_sharer (place, limit))
    return trial_rate (place);
  size_t n = n_sharers (place, limit);
  double rate = n > 0 ? limit / (double)n : limit;
  bool is_first = place->n_all == 0 || place->rank == 0;
  return is_first && rate < LIMIT_TRIAL_RATE ? LIMIT_TRIAL_RATE : rate;
}

static double
tokens_at (const limit_share_t *share, double limit, usec_t now)
{
  double rate = limit_share_rate (&share->place, limit);
  double seconds = (double)(now - share->refilled_at) / (double)USEC_PER_SEC;
  double most = rate * (double)LIMIT_BURST_TIME / (double)USEC_PER_SEC;
  most = most > 1 ? most : 1;
  double tokens = share->tokens + seconds * rate;
  return tokens < most ? tokens : most;
}

void
limit_share_begin (limit_share_t *share, usec_t now)
{
  share->tokens = 0;
  share->refilled_at = now;
}

void
limit_share_settle (limit_share_t *share, double limit, bool has_news,
                    usec_t now)
{
  bool is_trial_put_off
      = has_news && !limit_share_is_sharer (&share->place, limit);
  share->tokens = is_trial_put_off ? 0 : tokens_at (share, limit, now);
  share->refilled_at = now;
}

bool
limit_share_allows (const limit_share_t *share, double limit, usec_t now)
{
  return tokens_at (share, limit, now) >= 1;
}

void
limit_share_take (limit_share_t *share, double limit, usec_t now)
{
  share->tokens = tokens_at (share, limit, now) - 1;
  share->refilled_at = now;
}

usec_t
limit_share_ready_at (const limit_share_t *share, double limit, usec_t now)
{
  double missing = 1 - tokens_at (share, limit, now);
  double rate = limit_share_rate (&share->place, limit);
  if (missing <= 0)
    return now;
  if (rate <= 0)
    return INT64_MAX;
  return now + (usec_t)(missing / rate * (double)USEC_PER_SEC) + 1;
}
