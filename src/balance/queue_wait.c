#include "balance/queue_wait.h"

enum
{
  PROBES_MAX = 4, /* entries in which a kind may be */
};

static usec_t
larger (usec_t a, usec_t b)
{
  return a > b ? a : b;
}

/* One place is always worth waiting for: otherwise a server could be idle
   until the next arrival, and a run longer than the target would never be
   served.  */
usec_t
queue_wait_max (const queue_forecast_t *forecast)
{
  return larger (forecast->target - forecast->run, forecast->place_time);
}

bool
queue_wait_is_too_long (const queue_forecast_t *forecast)
{
  return forecast->wait > forecast->place_time
         && forecast->waited + forecast->wait > queue_wait_max (forecast);
}

bool
queue_wait_can_end (const queue_forecast_t *forecast, usec_t left)
{
  return forecast->run <= left;
}

/* The entry of KIND, which takes the place of the one with the smallest count
   among PROBES_MAX if there is none.  */
static queue_kind_t *
kind_entry (queue_wait_t *wait, uint64_t kind)
{
  queue_kind_t *least = NULL;
  for (uint64_t i = 0; i < PROBES_MAX; i++)
    {
      queue_kind_t *entry = &wait->kinds[(kind + i) % QUEUE_WAIT_KINDS];
      if (entry->kind == kind)
        return entry;
      if (!least || entry->n_refused < least->n_refused)
        least = entry;
    }
  *least = (queue_kind_t){ .kind = kind };
  return least;
}

bool
queue_wait_refuses (queue_wait_t *wait, uint64_t kind,
                    const queue_forecast_t *forecast, bool *is_exempt)
{
  queue_kind_t *entry = kind_entry (wait, kind);
  *is_exempt = false;
  if (!queue_wait_is_too_long (forecast))
    {
      entry->n_refused = 0;
      return false;
    }
  if (entry->n_refused < QUEUE_WAIT_REFUSED_MAX)
    {
      entry->n_refused++;
      return true;
    }
  entry->n_refused = 0;
  *is_exempt = true;
  return false;
}

usec_t
queue_wait_return (queue_returns_t *returns, const queue_forecast_t *forecast,
                   usec_t most, random_state_t *random, usec_t now)
{
  usec_t excess = forecast->wait - queue_wait_max (forecast);
  usec_t drained_at = now + larger (excess, QUEUE_RETURN_MIN);
  usec_t at = larger (drained_at, returns->last_at + forecast->place_time);
  if (at - now <= most)
    {
      returns->last_at = at;
      return at - now;
    }
  usec_t half = most / 2;
  usec_t spread
      = half > 0 ? (usec_t)random_below (random, (uint64_t)half + 1) : 0;
  return larger (most - spread, QUEUE_RETURN_MIN);
}
